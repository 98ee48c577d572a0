//! The promises of the system, checked where they could break.
//!
//! A violation is counted and logged. In tests it is fatal, see [`make_fatal`].

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// One promise of the system.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Invariant {
    /// No partially assembled group serves a request.
    WholeGroup,
    /// No VM is a member of two groups.
    OneGroupPerVm,
    /// Each caller gets the whole answer to its own request.
    OwnWholeAnswer,
    /// What was refused as not run did not run.
    NotRunIsTrue,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving upstream gets no new work.
    NoWorkForLeaving,
    /// A planned stop cuts nothing in flight.
    GracefulStop,
    /// The bundle in force never goes back.
    BundleNeverReverts,
    /// The shares of a limit never sum to more than the limit.
    LimitSum,
}

/// Every promise, in the order of its counter.
pub const INVARIANTS: [Invariant; 9] = [
    Invariant::WholeGroup,
    Invariant::OneGroupPerVm,
    Invariant::OwnWholeAnswer,
    Invariant::NotRunIsTrue,
    Invariant::AtMostOnce,
    Invariant::NoWorkForLeaving,
    Invariant::GracefulStop,
    Invariant::BundleNeverReverts,
    Invariant::LimitSum,
];

static COUNTS: [AtomicU64; INVARIANTS.len()] = [const { AtomicU64::new(0) }; INVARIANTS.len()];
static FATAL: AtomicBool = AtomicBool::new(false);

impl Invariant {
    /// How often this process saw the promise broken.
    pub fn violations(self) -> u64 {
        COUNTS[self as usize].load(Ordering::Relaxed)
    }

    /// Checks the promise: counts and logs a violation when `held` is false, and returns `held`.
    ///
    /// # Panics
    /// On a violation, after [`make_fatal`].
    pub fn check(self, held: bool, detail: impl FnOnce() -> String) -> bool {
        if held {
            return true;
        }
        COUNTS[self as usize].fetch_add(1, Ordering::Relaxed);
        let detail = detail();
        log::error!("event=invariant_violated invariant={self:?} detail={detail:?}");
        assert!(
            !FATAL.load(Ordering::Relaxed),
            "{self:?} violated: {detail}"
        );
        false
    }
}

/// Makes every later violation in this process panic. Tests call it first.
pub fn make_fatal() {
    FATAL.store(true, Ordering::Relaxed);
}
