//! Which upstreams ended under which requests, and by what evidence.

use std::fmt;

use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};

use crate::fingerprint::RequestPrint;

/// Time after a break in which evidence that the upstream ended counts: the directory drops an entry 3.6 s after the
/// last heartbeat and may be read a second later. After it, an end has nothing to do with the break.
const EVIDENCE_TIME: Millis = Millis(8_000);
/// Time for which an end is remembered, for breaks that are noticed after it; as long as evidence counts.
const END_TIME: Millis = EVIDENCE_TIME;
/// Broken-off requests for one upstream that are kept at most: twice what runs and waits at one.
const MAX_BREAKS: usize = 64;

/// How a request was broken off.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum BreakCause {
    /// The connection ended. So it does when a process ends, and also by a reset on the way.
    Closed,
    /// Nothing came for too long, and it was given up here.
    Silent,
}

/// What shows that an upstream has ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EndEvidence {
    /// A new connection was refused: the VM is there, and the process is not.
    NoListener,
    /// The directory has a younger run of it.
    Restarted,
    /// The directory has no entry of it any more, and it did not say that it was leaving.
    Unlisted,
}

impl EndEvidence {
    /// Its name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoListener => "no_listener",
            Self::Restarted => "restarted",
            Self::Unlisted => "unlisted",
        }
    }

    /// Whether it shows that an upstream ended under a request that was broken off so. An entry that is gone does not,
    /// where nothing came from the upstream either: it may only be cut off, from the store too.
    const fn counts_for(self, cause: BreakCause) -> bool {
        match (self, cause) {
            (Self::Unlisted, BreakCause::Silent) => false,
            (Self::NoListener | Self::Restarted | Self::Unlisted, _) => true,
        }
    }
}

impl fmt::Display for EndEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// What is to be done about a break.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum BreakOutcome {
    /// The upstream is known to have ended.
    Ended,
    /// Nobody knows yet: find out whether something listens there.
    Probe,
    /// It is being found out.
    Awaited,
}

/// Requests that were broken off at one upstream.
#[derive(Clone, Debug)]
struct RunBreaks {
    prints: IndexMap<RequestPrint, BreakCause>,
    since: Millis,
}

/// Requests that were broken off, until it is known whether their upstreams ended.
///
/// A connection that breaks is no end: cuts, resets, drains and pauses break connections too.
#[derive(Clone, Debug, Default)]
pub struct EndWatch {
    awaited: IndexMap<UpstreamLife, RunBreaks>,
    ended: IndexMap<UpstreamLife, Millis>,
}

impl EndWatch {
    /// Notes that a request was broken off at an upstream that had not said that it was leaving.
    pub fn note_break(
        &mut self,
        now: Millis,
        life: &UpstreamLife,
        print: RequestPrint,
        cause: BreakCause,
    ) -> BreakOutcome {
        self.expire(now);
        if self.ended.contains_key(life) {
            return BreakOutcome::Ended;
        }
        let is_first = !self.awaited.contains_key(life);
        let breaks = self.awaited.entry(life.clone()).or_insert(RunBreaks {
            prints: IndexMap::new(),
            since: now,
        });
        if breaks.prints.len() < MAX_BREAKS {
            breaks.prints.insert(print, cause);
        }
        match is_first {
            true => BreakOutcome::Probe,
            false => BreakOutcome::Awaited,
        }
    }

    /// Notes evidence that an upstream ended, and gives the requests under which it did. None where no request was
    /// broken off there.
    pub fn note_end(
        &mut self,
        now: Millis,
        life: &UpstreamLife,
        evidence: EndEvidence,
    ) -> Option<Vec<RequestPrint>> {
        self.expire(now);
        let breaks = self.awaited.shift_remove(life)?;
        let prints = breaks.prints.into_iter();
        let counted = prints.filter(|(_, cause)| evidence.counts_for(*cause));
        let prints: Vec<RequestPrint> = counted.map(|(print, _)| print).collect();
        if prints.is_empty() {
            return None;
        }
        self.ended.insert(life.clone(), now);
        Some(prints)
    }

    /// Upstreams at which requests were broken off, and of which it is not known whether they ended.
    pub fn awaited(&self) -> IndexSet<UpstreamLife> {
        self.awaited.keys().cloned().collect()
    }

    /// Forgets what is too old to count.
    fn expire(&mut self, now: Millis) {
        self.awaited
            .retain(|_, breaks| now.since(breaks.since) < EVIDENCE_TIME);
        self.ended.retain(|_, at| now.since(*at) < END_TIME);
    }
}
