//! Which upstreams ended under which requests, and by what evidence.

use std::fmt;

use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::fingerprint::RequestPrint;

/// Time after a break in which evidence that the upstream ended counts: the directory drops an entry 3.6 s after the
/// last heartbeat and may be read a second later. After it, an end has nothing to do with the break.
const EVIDENCE_TIME: Millis = Millis(8_000);
/// Time after an end at which it is looked at once more: the entry of an upstream that has ended is gone by then, as for
/// [`EVIDENCE_TIME`]. Where a partition refuses connections, the entry is still there.
const REVIEW_TIME: Millis = EVIDENCE_TIME;
/// Time for which an end is remembered, for breaks that are noticed after it and for its review. Longer than that where
/// the directory was not to be read meanwhile; an end that is not reviewed then stays.
const END_TIME: Millis = Millis(60_000);
/// Requests that were broken off at one upstream and are kept at most, the latest ones: twice what runs and waits at one.
const MAX_BREAKS: usize = 64;

/// A run of a request at one upstream that was broken off.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct BrokenRun {
    /// The request.
    pub print: RequestPrint,
    /// Events that had come from this run. None from a run that had not begun, or whose answer is no stream.
    pub events: u32,
}

/// How a request was broken off.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum BreakCause {
    /// The connection ended. So it does when a process ends, and also by a reset on the way.
    Closed,
    /// Nothing came for too long, and it was given up here.
    Stalled,
    /// Its caller left, or its time was up. The upstream may have begun it all the same, and end a moment later.
    CallerLeft,
}

/// What shows that an upstream has ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CrashEvidence {
    /// A new connection was refused: nothing listens there. Partitions may refuse connections too, so this is looked at
    /// again.
    NoListener,
    /// The directory has a younger run of it.
    Restarted,
    /// The directory has no entry of it any more, and it did not say that it was leaving.
    Unlisted,
}

impl CrashEvidence {
    /// Its name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoListener => "no_listener",
            Self::Restarted => "restarted",
            Self::Unlisted => "unlisted",
        }
    }

    /// Whether it shows that an upstream ended under a request that was broken off so. An entry that is gone does not,
    /// where nothing came from the upstream either: it may only be cut off, from the store too, and callers leave what is
    /// silent.
    const fn counts_for(self, cause: BreakCause) -> bool {
        match (self, cause) {
            (Self::Unlisted, BreakCause::Stalled | BreakCause::CallerLeft) => false,
            (Self::NoListener | Self::Restarted | Self::Unlisted, _) => true,
        }
    }
}

impl fmt::Display for CrashEvidence {
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
    prints: IndexMap<RequestPrint, PrintBreak>,
    /// Whether it was found out whether anything listens there.
    is_probed: bool,
}

#[derive(Clone, Copy, Debug)]
struct PrintBreak {
    cause: BreakCause,
    at: Millis,
    /// Events that had come from the run.
    events: u32,
}

/// Requests that were broken off, until it is known whether their upstreams ended.
///
/// A connection that breaks is no end: cuts, resets, drains and pauses break connections too.
#[derive(Clone, Debug, Default)]
pub struct EndWatch {
    awaited: IndexMap<UpstreamIncarnation, RunBreaks>,
    ended: IndexMap<UpstreamIncarnation, RunEnd>,
}

/// An end, and the requests under which it was.
#[derive(Clone, Debug)]
struct RunEnd {
    at: Millis,
    prints: IndexSet<RequestPrint>,
}

impl EndWatch {
    /// Notes that a request was broken off at an upstream that had not said that it was leaving.
    pub fn note_break(
        &mut self,
        now: Millis,
        incarnation: &UpstreamIncarnation,
        run: BrokenRun,
        cause: BreakCause,
    ) -> BreakOutcome {
        self.expire(now);
        let BrokenRun { print, events } = run;
        if let Some(end) = self.ended.get_mut(incarnation) {
            end.prints.insert(print);
            return BreakOutcome::Ended;
        }
        let breaks = self
            .awaited
            .entry(incarnation.clone())
            .or_insert(RunBreaks {
                prints: IndexMap::new(),
                is_probed: false,
            });
        if breaks.prints.len() >= MAX_BREAKS {
            // The one that is least likely to have to do with an end that is yet to come.
            breaks.prints.shift_remove_index(0);
        }
        let at = now;
        let broken = PrintBreak { cause, at, events };
        breaks.prints.insert(print, broken);
        // Callers leave all the time, and each probe is a connection.
        if breaks.is_probed || cause == BreakCause::CallerLeft {
            return BreakOutcome::Awaited;
        }
        breaks.is_probed = true;
        BreakOutcome::Probe
    }

    /// Forgets what was broken off at an upstream that says that it leaves: its end is planned.
    pub fn forget(&mut self, incarnation: &UpstreamIncarnation) {
        self.awaited.shift_remove(incarnation);
    }

    /// Notes evidence that an upstream ended, and gives the runs of requests under which it did. None where no request
    /// was broken off there.
    pub fn note_end(
        &mut self,
        now: Millis,
        incarnation: &UpstreamIncarnation,
        evidence: CrashEvidence,
    ) -> Option<Vec<BrokenRun>> {
        self.expire(now);
        let breaks = self.awaited.shift_remove(incarnation)?;
        let prints = breaks.prints.into_iter();
        let counted = prints.filter(|(_, broken)| evidence.counts_for(broken.cause));
        let runs = counted.map(|(print, broken)| BrokenRun {
            print,
            events: broken.events,
        });
        let runs: Vec<BrokenRun> = runs.collect();
        if runs.is_empty() {
            return None;
        }
        let end = RunEnd {
            at: now,
            prints: runs.iter().map(|run| run.print).collect(),
        };
        self.ended.insert(incarnation.clone(), end);
        Some(runs)
    }

    /// Whether requests were broken off at an upstream of which it is not known whether it ended.
    pub fn is_awaited(&self, incarnation: &UpstreamIncarnation) -> bool {
        self.awaited.contains_key(incarnation)
    }

    /// Whether it is known here that an upstream has ended.
    pub fn has_ended(&self, incarnation: &UpstreamIncarnation) -> bool {
        self.ended.contains_key(incarnation)
    }

    /// Ends that are to be looked at once more, where the directory has been up to date since `fresh_since`.
    pub fn to_review(&self, now: Millis, fresh_since: Millis) -> Vec<UpstreamIncarnation> {
        let ends = self.ended.iter();
        let due = ends.filter(|(_, end)| now.since(end.at.max(fresh_since)) >= REVIEW_TIME);
        due.map(|(incarnation, _)| incarnation.clone()).collect()
    }

    /// Forgets an end that was looked at once more, and gives the requests under which it was.
    pub fn take_reviewed(&mut self, incarnation: &UpstreamIncarnation) -> Vec<RequestPrint> {
        let end = self.ended.shift_remove(incarnation);
        end.map_or_else(Vec::new, |end| end.prints.into_iter().collect())
    }

    /// Upstreams at which requests were broken off, and of which it is not known whether they ended.
    pub fn awaited(&self) -> IndexSet<UpstreamIncarnation> {
        self.awaited.keys().cloned().collect()
    }

    /// Forgets what is too old to count.
    fn expire(&mut self, now: Millis) {
        self.awaited.retain(|_, breaks| {
            breaks
                .prints
                .retain(|_, broken| now.since(broken.at) < EVIDENCE_TIME);
            !breaks.prints.is_empty()
        });
        self.ended.retain(|_, end| now.since(end.at) < END_TIME);
    }
}
