//! Promises that can be broken.

use std::fmt;
use std::time::Duration;

use crate::caller::{CallEnd, RequestKind};
use crate::crowds::CrowdReport;
use crate::cuts::CutReport;

/// A promise that was broken.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Violation {
    /// A request that is not idempotent ran more than once.
    RanTwice {
        /// The request.
        id: String,
        /// How often it ran.
        runs: usize,
    },
    /// A request that ends no upstream was refused as one that does.
    InnocentHeld {
        /// The request.
        id: String,
    },
    /// A request was said not to have run, and had, or did later.
    FalselyNotRun {
        /// The request.
        id: String,
        /// What was answered.
        status: u16,
    },
    /// An answer was not the whole one to its own request.
    WrongAnswer {
        /// The request.
        id: String,
    },
    /// A request that was given up on without a word on when to come back.
    NoRetryAfter {
        /// The request.
        id: String,
        /// What was answered.
        status: u16,
    },
    /// A request had no answer for longer than its deadline.
    HeldTooLong {
        /// The request.
        id: String,
        /// For how long.
        took: Duration,
    },
    /// A good key was refused.
    Denied {
        /// The request.
        id: String,
        /// What was answered.
        status: u16,
    },
    /// A route or key was refused as unknown, long after it had been added.
    RefusedAsUnknown {
        /// The request.
        id: String,
        /// The process.
        entry: usize,
        /// What was answered.
        status: u16,
        /// How long after.
        after: Duration,
    },
    /// A key was good long after it had been taken away.
    RevokedServed {
        /// The request.
        id: String,
        /// How long after.
        after: Duration,
    },
    /// A process went by an older configuration than before.
    Reverted {
        /// The request.
        id: String,
        /// The process.
        entry: usize,
    },
    /// An upstream got new work long after it had said that it was leaving.
    WorkWhileLeaving {
        /// The request.
        id: String,
        /// The upstream.
        upstream: String,
        /// How long after.
        after: Duration,
    },
    /// An upstream got new work long after its entry had named none.
    WorkWhileUnnamed {
        /// The request.
        id: String,
        /// The upstream.
        upstream: String,
    },
    /// A planned stop cut a request off.
    CutByStop {
        /// The request.
        id: String,
        /// The process.
        entry: usize,
    },
    /// A request got no whole answer while upstreams were silent, although nothing else befell it.
    CutWhileSilent {
        /// The request.
        id: String,
        /// The process.
        entry: usize,
        /// What it was for.
        kind: RequestKind,
        /// How it ended.
        end: CallEnd,
        /// After what time.
        took: Duration,
        /// How often it ran.
        runs: usize,
    },
    /// A process did not end within its grace.
    DidNotStop {
        /// The process.
        entry: usize,
    },
    /// An upstream is a member of two groups that serve.
    TwoGroups {
        /// The upstream.
        member: String,
        /// Both leaders, or the leader and the other group.
        leaders: [String; 2],
    },
    /// A request under which upstreams end reached more of them than it may.
    NotBounded {
        /// The number of the request.
        number: usize,
        /// How often it reached one after all could know.
        late: usize,
    },
    /// An upstream got more than the limit that it had named allows, over all processes.
    OverLimit {
        /// Requests a second that it takes.
        limit: String,
        /// Requests in one span.
        requests: usize,
    },
    /// An upstream that had asked a process for rest got more from it than it may.
    RestBroken {
        /// The process.
        entry: usize,
        /// Requests in that time.
        requests: usize,
    },
    /// An upstream got new work from a process long after it had answered it that it leaves.
    WorkWhileSaidLeaving {
        /// The request.
        id: String,
        /// How long after.
        after: Duration,
    },
    /// An upstream of an evacuated failure domain got work from a process that must know of it.
    WorkWhileEvacuated {
        /// The first such request.
        id: String,
        /// Its process.
        entry: usize,
        /// The upstream.
        upstream: String,
        /// How long after the store had acknowledged the key.
        after: Duration,
        /// Such requests at this upstream.
        requests: usize,
    },
    /// A cold upstream got more than the bound within one second.
    OverColdBound {
        /// The upstream.
        upstream: String,
        /// Requests within one second.
        requests: usize,
    },
    /// A request with a home region reached an upstream elsewhere.
    OutsideHomeRegion {
        /// The first such request.
        id: String,
        /// The upstream.
        upstream: String,
        /// Such requests at this upstream.
        requests: usize,
    },
    /// Processes that are cut off from all upstreams serve their callers far worse than the others.
    WorseWhileCutOff(CutReport),
    /// Callers are served far worse while most connections go to few processes.
    WorseInCrowd(CrowdReport),
    /// Some time after the last fault a process does not serve.
    NotBack {
        /// The process.
        entry: usize,
        /// What it does not serve.
        kind: RequestKind,
        /// How the last try ended.
        end: CallEnd,
    },
    /// Some time after the last fault a process does not go by the newest configuration.
    OldConfig {
        /// The process.
        entry: usize,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}
