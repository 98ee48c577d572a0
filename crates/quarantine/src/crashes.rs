//! Records which upstreams crashed while running which requests, and the evidence for each crash.

use std::fmt;

use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::fingerprint::RequestPrint;

/// How long after a break evidence of a crash is attributed to it. The directory drops an entry 3.6
/// s after the last heartbeat and may be read a second later. Any later crash is unrelated to the
/// break.
const EVIDENCE_WINDOW: Millis = Millis(8_000);
/// Delay before a crash is reviewed. As with [`EVIDENCE_WINDOW`], the directory has dropped a
/// crashed upstream by then; an upstream behind a partition that refuses connections is still
/// listed.
const REVIEW_DELAY: Millis = EVIDENCE_WINDOW;
/// How long a crash is remembered for its review and for breaks that are noticed late. Longer than
/// [`REVIEW_DELAY`], as the directory may be unreachable in between; a crash that is never reviewed
/// stands.
const CRASH_RETENTION: Millis = Millis(60_000);
/// Maximum number of requests recorded per upstream: twice the number that run and wait at one. The
/// latest are kept.
const MAX_BREAKS_PER_UPSTREAM: usize = 64;
/// Maximum number of prompt parts recorded per upstream. The latest are kept.
const MAX_PARTS_PER_UPSTREAM: usize = 128;

/// A request's run at one upstream that was interrupted.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct BrokenRun {
    /// The request.
    pub print: RequestPrint,
    /// Number of events received from this run. Zero if the run had not begun or the answer is not
    /// a stream.
    pub events: u32,
}

/// How a request was interrupted.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum BreakCause {
    /// The connection closed, because the process exited or because of a reset along the way.
    Closed,
    /// No data arrived for too long, and this VM gave the request up.
    Stalled,
    /// The caller disconnected or the deadline passed. The upstream may have started the request
    /// nevertheless and crash a moment later.
    CallerLeft,
}

/// Evidence that an upstream crashed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CrashEvidence {
    /// A new connection was refused: nothing listens at the address. Partitions can refuse
    /// connections too, so this evidence is reviewed later.
    NoListener,
    /// The directory lists a newer incarnation.
    Restarted,
    /// The directory no longer lists the upstream, which had not announced that it leaves.
    Unlisted,
}

impl CrashEvidence {
    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoListener => "no_listener",
            Self::Restarted => "restarted",
            Self::Unlisted => "unlisted",
        }
    }

    /// Whether this evidence shows a crash under a request interrupted for this cause. A missing
    /// directory entry does not if the upstream also sent nothing: it may be partitioned from the
    /// store as well, and callers give up on an unresponsive upstream.
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

/// How to handle a break.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum BreakOutcome {
    /// The upstream is known to have crashed.
    Crashed,
    /// Unknown: check whether anything listens at the upstream.
    Probe,
    /// A check is already in progress, or waits for the next break.
    Pending,
}

/// Requests interrupted at one upstream.
#[derive(Clone, Debug)]
struct UpstreamBreaks {
    requests: IndexMap<RequestPrint, RequestBreak>,
    /// The prompt parts of these requests.
    parts: IndexMap<RequestPrint, RequestBreak>,
    /// Whether a probe of the upstream was requested.
    is_probed: bool,
}

#[derive(Clone, Copy, Debug)]
struct RequestBreak {
    cause: BreakCause,
    at: Millis,
    /// Number of events received from the run.
    events: u32,
}

/// Tracks interrupted requests until it is known whether their upstreams crashed.
///
/// A closed connection alone is no crash: network failures, resets, drains and pauses close
/// connections too.
#[derive(Clone, Debug, Default)]
pub struct CrashWatch {
    pending: IndexMap<UpstreamIncarnation, UpstreamBreaks>,
    crashed: IndexMap<UpstreamIncarnation, ObservedCrash>,
}

/// A crash and the requests that were running at the time.
#[derive(Clone, Debug)]
struct ObservedCrash {
    at: Millis,
    requests: IndexSet<RequestPrint>,
}

impl CrashWatch {
    /// Records that a request was interrupted at an upstream that had not announced that it leaves.
    pub fn record_break(
        &mut self,
        now: Millis,
        incarnation: &UpstreamIncarnation,
        run: BrokenRun,
        cause: BreakCause,
    ) -> BreakOutcome {
        self.expire(now);
        let BrokenRun { print, events } = run;
        if let Some(crash) = self.crashed.get_mut(incarnation) {
            crash.requests.insert(print);
            return BreakOutcome::Crashed;
        }
        let breaks = self
            .pending
            .entry(incarnation.clone())
            .or_insert(UpstreamBreaks {
                requests: IndexMap::new(),
                parts: IndexMap::new(),
                is_probed: false,
            });
        if breaks.requests.len() >= MAX_BREAKS_PER_UPSTREAM {
            // The oldest break is the least likely to be related to a later crash.
            breaks.requests.shift_remove_index(0);
        }
        let at = now;
        let broken = RequestBreak { cause, at, events };
        breaks.requests.insert(print, broken);
        // Callers disconnect all the time, and each probe costs a connection.
        if breaks.is_probed || cause == BreakCause::CallerLeft {
            return BreakOutcome::Pending;
        }
        breaks.is_probed = true;
        BreakOutcome::Probe
    }

    /// Records the part of a request that was interrupted at the same time as the request, which is
    /// recorded first. Returns whether the upstream is known to have crashed.
    pub fn record_part_break(
        &mut self,
        now: Millis,
        incarnation: &UpstreamIncarnation,
        run: BrokenRun,
        cause: BreakCause,
    ) -> bool {
        let BrokenRun { print, events } = run;
        if let Some(crash) = self.crashed.get_mut(incarnation) {
            crash.requests.insert(print);
            return true;
        }
        if let Some(breaks) = self.pending.get_mut(incarnation) {
            if breaks.parts.len() >= MAX_PARTS_PER_UPSTREAM {
                breaks.parts.shift_remove_index(0);
            }
            let at = now;
            let broken = RequestBreak { cause, at, events };
            breaks.parts.insert(print, broken);
        }
        false
    }

    /// Drops the breaks at an upstream that announced that it leaves, as its exit is planned.
    pub fn forget(&mut self, incarnation: &UpstreamIncarnation) {
        self.pending.shift_remove(incarnation);
    }

    /// Records evidence that an upstream crashed and returns the runs it interrupted. Returns none
    /// if no request was interrupted there.
    pub fn record_crash(
        &mut self,
        now: Millis,
        incarnation: &UpstreamIncarnation,
        evidence: CrashEvidence,
    ) -> Option<Vec<BrokenRun>> {
        self.expire(now);
        let breaks = self.pending.shift_remove(incarnation)?;
        let interrupted = breaks.requests.into_iter().chain(breaks.parts);
        let counted = interrupted.filter(|(_, broken)| evidence.counts_for(broken.cause));
        let runs = counted.map(|(print, broken)| BrokenRun {
            print,
            events: broken.events,
        });
        let runs: Vec<BrokenRun> = runs.collect();
        if runs.is_empty() {
            return None;
        }
        let crash = ObservedCrash {
            at: now,
            requests: runs.iter().map(|run| run.print).collect(),
        };
        self.crashed.insert(incarnation.clone(), crash);
        Some(runs)
    }

    /// Whether requests were interrupted at an upstream that may have crashed.
    pub fn may_have_crashed(&self, incarnation: &UpstreamIncarnation) -> bool {
        self.pending.contains_key(incarnation)
    }

    /// Whether the upstream is known to have crashed.
    pub fn has_crashed(&self, incarnation: &UpstreamIncarnation) -> bool {
        self.crashed.contains_key(incarnation)
    }

    /// Returns the crashes due for review, given that the directory has been up to date since
    /// `fresh_since`.
    pub fn due_for_review(&self, now: Millis, fresh_since: Millis) -> Vec<UpstreamIncarnation> {
        let crashes = self.crashed.iter();
        let due = crashes.filter(|(_, crash)| now.since(crash.at.max(fresh_since)) >= REVIEW_DELAY);
        due.map(|(incarnation, _)| incarnation.clone()).collect()
    }

    /// Drops a reviewed crash and returns the requests that were running at the time.
    pub fn take_reviewed(&mut self, incarnation: &UpstreamIncarnation) -> Vec<RequestPrint> {
        let crash = self.crashed.shift_remove(incarnation);
        crash.map_or_else(Vec::new, |crash| crash.requests.into_iter().collect())
    }

    /// Returns the upstreams at which requests were interrupted and that may have crashed.
    pub fn pending_upstreams(&self) -> IndexSet<UpstreamIncarnation> {
        self.pending.keys().cloned().collect()
    }

    /// Drops expired breaks and crashes.
    fn expire(&mut self, now: Millis) {
        self.pending.retain(|_, breaks| {
            breaks
                .requests
                .retain(|_, broken| now.since(broken.at) < EVIDENCE_WINDOW);
            !breaks.requests.is_empty()
        });
        self.crashed
            .retain(|_, crash| now.since(crash.at) < CRASH_RETENTION);
    }
}
