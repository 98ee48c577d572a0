//! Resumes a broken token stream at another upstream. The caller gets each token once and in order.

use bergamot_types::Invariant;
use bergamot_types::mutate::{Mutation, is_on};

/// Progress of a caller's stream.
#[derive(Clone, Debug, Default)]
pub struct StreamResume {
    delivered: u64,
    resumes: u32,
    is_done: bool,
}

/// What to do with a received token.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TokenStep {
    /// Pass the token on to the caller.
    Deliver,
    /// Drop the token, as the caller already has it.
    Skip,
    /// Tokens are missing before this one: the upstream did not resume at the requested offset.
    Gap,
}

impl StreamResume {
    /// Returns the offset that the next token must have.
    pub fn next_offset(&self) -> u64 {
        self.delivered
    }

    /// Returns how often the stream was resumed.
    pub fn resumes(&self) -> u32 {
        self.resumes
    }

    /// Records that another upstream takes over, and returns the offset at which it must resume.
    pub fn resume(&mut self) -> u64 {
        self.resumes += 1;
        self.delivered
    }

    /// Records a token at its offset in the complete answer, and returns what to do with it.
    pub fn accept_token(&mut self, offset: u64) -> TokenStep {
        if offset < self.delivered && !is_on(Mutation::ResendTokens) {
            return TokenStep::Skip;
        }
        if offset > self.delivered {
            return TokenStep::Gap;
        }
        Invariant::OwnWholeAnswer.check(!self.is_done, || {
            format!("received a token at offset {offset} after the end of the stream")
        });
        self.delivered += u64::from(offset == self.delivered);
        TokenStep::Deliver
    }

    /// Records the end of the stream, with the length that the upstream states. Returns false if
    /// tokens are missing.
    pub fn finish(&mut self, length: u64) -> bool {
        self.is_done = length == self.delivered;
        self.is_done
    }
}
