//! Invariants of the system, checked where a fault could violate them.
//!
//! A violation is counted and logged. Tests make violations fatal, see [`make_violations_fatal`].

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// One invariant of the system.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Invariant {
    /// No partially assembled group serves a request.
    WholeGroup,
    /// No VM is a member of two groups.
    OneGroupPerVm,
    /// Each caller gets the complete answer to its own request.
    OwnWholeAnswer,
    /// A request that was reported as not run did not run.
    NotRunIsTrue,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving upstream gets no new work.
    NoWorkForLeaving,
    /// A planned stop aborts no request in flight.
    GracefulStop,
    /// The bundle in force never reverts to an older one.
    BundleNeverReverts,
    /// The shares of a limit never add up to more than the limit.
    LimitSum,
}

/// All invariants, in the order of their counters.
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

static VIOLATION_COUNTS: [AtomicU64; INVARIANTS.len()] =
    [const { AtomicU64::new(0) }; INVARIANTS.len()];
static ARE_VIOLATIONS_FATAL: AtomicBool = AtomicBool::new(false);

impl Invariant {
    /// Returns how many violations this process has seen.
    pub fn violations(self) -> u64 {
        VIOLATION_COUNTS[self as usize].load(Ordering::Relaxed)
    }

    /// Returns `holds`, after counting and logging a violation if it is false.
    ///
    /// # Panics
    /// On a violation, after [`make_violations_fatal`].
    pub fn check(self, holds: bool, detail: impl FnOnce() -> String) -> bool {
        if holds {
            return true;
        }
        VIOLATION_COUNTS[self as usize].fetch_add(1, Ordering::Relaxed);
        let detail = detail();
        log::error!("event=invariant_violated invariant={self:?} detail={detail:?}");
        assert!(
            !ARE_VIOLATIONS_FATAL.load(Ordering::Relaxed),
            "{self:?} violated: {detail}"
        );
        false
    }
}

/// Makes every later violation in this process panic. Tests call this first.
pub fn make_violations_fatal() {
    ARE_VIOLATIONS_FATAL.store(true, Ordering::Relaxed);
}
