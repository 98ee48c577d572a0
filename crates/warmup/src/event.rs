//! Inputs of the warm-up state, and the actions that follow.

use bergamot_types::prelude::*;

use crate::cold::{ColdSpan, ColdTarget, EndedEvacuation};
use crate::message::{ColdAnswer, ColdQuestion};

/// An input of [`WarmUpState`](crate::WarmUpState).
#[derive(Clone, Copy, Debug)]
pub enum WarmUpEvent<'a> {
    /// An answer of an upstream stated how much longer it is cold.
    Answered(ColdTarget<'a>, Millis),
    /// An evacuation ended.
    EvacuationEnded(&'a EndedEvacuation),
    /// The list of entry VMs was current at this time. Passed at least once per second.
    ListConfirmed(Millis),
    /// Another VM asked for a permit for an upstream, which is none if it is not known here.
    PermitRequested(&'a ColdQuestion, Option<ColdTarget<'a>>),
    /// The owner answered a question of this VM.
    PermitAnswered(&'a ColdAnswer),
    /// The question with this number was not answered in time.
    TimedOut(u64),
}

/// An action for the caller to take.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum WarmUpAction {
    /// Log that an upstream is cold.
    LogCold(UpstreamIncarnation, ColdSpan),
    /// Log that an upstream is warm again.
    LogWarm(UpstreamIncarnation),
    /// Answer a question.
    Answer {
        /// The VM that asked.
        vm: String,
        /// The answer.
        answer: ColdAnswer,
    },
    /// Pass the verdict to the request that waits for it.
    Resolve(ColdAnswer),
    /// Send no request of this or a less urgent priority to the upstream for a while.
    BackOff {
        /// The upstream.
        incarnation: UpstreamIncarnation,
        /// The priority of the deferred request.
        priority: u8,
        /// How long to send nothing.
        wait: Millis,
    },
}

/// A request that needs a permit.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ColdClaim {
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Whether the request can wait for an owner's answer.
    pub may_ask: bool,
}

/// How a request gets its permit.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ColdStep {
    /// The upstream is warm.
    NotNeeded,
    /// The permit is granted.
    Granted,
    /// No permit is available for this time.
    Later(Millis),
    /// No VM owns the permits. The upstream is left out for this time.
    NoOwner(Millis),
    /// Another VM owns the permits, and this request may not ask it. The upstream is left out for
    /// this request only.
    NotAsked,
    /// Ask the owner of the permits.
    Ask {
        /// The VM that owns the permits.
        owner: String,
        /// The question to send.
        question: ColdQuestion,
    },
}
