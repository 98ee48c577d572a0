//! Deliberate faults for mutation tests, which show that the invariant checks catch them.
//!
//! Without the feature `mutate` no fault can be enabled, and the compiler removes the checks.

/// Deliberate faults, one for each invariant.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Mutation {
    /// A group counts as complete although one member did not report it.
    AcceptPartialGroup,
    /// An evicted VM counts as free before a report shows it outside its group.
    FreeUnconfirmedVm,
    /// A resumed stream sends tokens that the caller already has.
    ResendTokens,
    /// A failed attempt counts as not run.
    ReportFailedAsNotRun,
    /// A claim is granted before another holder has a replica of it.
    GrantWithoutReplica,
    /// The group of a leaving VM keeps serving.
    KeepLeavingGroup,
    /// A group is released without waiting for its requests in flight.
    ReleaseWithoutDrain,
    /// A roll is adopted regardless of its number.
    AdoptAnyRoll,
    /// A lender keeps using the share it lent.
    UseLentShare,
    /// A configuration that is not published yet confirms the published one.
    ConfirmBeforePublishing,
}

#[cfg(feature = "mutate")]
mod switch {
    use std::cell::Cell;

    use super::Mutation;

    thread_local! {
        static ENABLED_MUTATION: Cell<Option<Mutation>> = const { Cell::new(None) };
    }

    /// Whether the fault is enabled in this thread.
    pub fn is_on(mutation: Mutation) -> bool {
        ENABLED_MUTATION.get() == Some(mutation)
    }

    /// Enables one fault in this thread, or disables all.
    pub fn set(mutation: Option<Mutation>) {
        ENABLED_MUTATION.set(mutation);
    }
}

#[cfg(not(feature = "mutate"))]
mod switch {
    use super::Mutation;

    /// Always false: faults need the feature `mutate`.
    pub const fn is_on(_: Mutation) -> bool {
        false
    }
}

pub use switch::*;
