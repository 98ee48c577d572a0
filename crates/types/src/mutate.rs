//! Wrong decisions that tests switch on to show that their checks catch them.
//!
//! Without the feature `mutate` every switch is off for good, and the compiler leaves it out.

/// One wrong decision for each promise.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Mutation {
    /// A group counts as whole although one member did not report it.
    TrustPartialGroup,
    /// An evicted VM counts as free before it was seen outside its group.
    FreeUnseen,
    /// A resumed stream passes on tokens that the caller already has.
    RepeatTokens,
    /// A broken attempt counts as not run.
    BrokenIsNotRun,
    /// A claim is granted before another holder has its copy.
    GrantWithoutCopy,
    /// A leaving VM's group goes on.
    KeepLeaving,
    /// A group is released without waiting for what is in flight.
    ReleaseUndrained,
    /// A roll is adopted whatever its number.
    AdoptAnyRoll,
    /// A lender keeps using what it lent.
    LendAndKeep,
}

#[cfg(feature = "mutate")]
mod switch {
    use std::cell::Cell;

    use super::Mutation;

    thread_local! {
        static ON: Cell<Option<Mutation>> = const { Cell::new(None) };
    }

    /// Whether the wrong decision is switched on in this thread.
    pub fn is_on(mutation: Mutation) -> bool {
        ON.get() == Some(mutation)
    }

    /// Switches one wrong decision on in this thread, or all off.
    pub fn set(mutation: Option<Mutation>) {
        ON.set(mutation);
    }
}

#[cfg(not(feature = "mutate"))]
mod switch {
    use super::Mutation;

    /// Whether the wrong decision is switched on: never.
    pub const fn is_on(_: Mutation) -> bool {
        false
    }
}

pub use switch::*;
