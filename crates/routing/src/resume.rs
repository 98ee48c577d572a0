//! A broken token stream goes on at another upstream, each token once and in order.

use bergamot_types::Invariant;
use bergamot_types::mutate::{Mutation, is_on};

/// How far a caller's stream has come.
#[derive(Clone, Debug, Default)]
pub struct StreamResume {
    delivered: u64,
    resumes: u32,
    is_done: bool,
}

/// What to do with a token that came in.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TokenStep {
    /// Pass it on.
    Deliver,
    /// The caller has it already.
    Skip,
    /// A token between is missing: the upstream did not resume where it was asked to.
    Gap,
}

impl StreamResume {
    /// The offset the next token must have.
    pub fn next_offset(&self) -> u64 {
        self.delivered
    }

    /// How often the stream was resumed.
    pub fn resumes(&self) -> u32 {
        self.resumes
    }

    /// Notes that another upstream takes over, and returns the offset to ask it for.
    pub fn resume(&mut self) -> u64 {
        self.resumes += 1;
        self.delivered
    }

    /// Notes a token with its offset in the whole answer.
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

    /// Notes the end, with the length the upstream claims. False if tokens are missing.
    pub fn finish(&mut self, length: u64) -> bool {
        self.is_done = length == self.delivered;
        self.is_done
    }
}
