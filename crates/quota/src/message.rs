//! What entry VMs tell and ask each other about limits.

use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::limit::LimitObservation;

/// Time that a message between entry VMs takes at most as a rule: three datagrams, each through a process on an eighth of a core.
/// One that takes longer may end a limit too early, until the next answer names it again.
const NEWS_TIME: Millis = Millis(100);

/// What one VM heard of an upstream's limit. Moments are told as ages, as VMs share no clock.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LimitReport {
    /// The upstream.
    pub incarnation: UpstreamIncarnation,
    /// Where it is.
    pub failure_domain: FailureDomain,
    /// Its limit; none where it advertises none any more.
    pub rate: Option<SendRate>,
    /// Time since the request was sent whose answer said so.
    pub sent_age: Millis,
    /// Time since that answer came.
    pub received_age: Millis,
}

impl LimitReport {
    /// The report as of `now`.
    pub(crate) fn of(
        incarnation: &UpstreamIncarnation,
        failure_domain: &FailureDomain,
        observation: LimitObservation,
        now: Millis,
    ) -> Self {
        Self {
            incarnation: incarnation.clone(),
            failure_domain: failure_domain.clone(),
            rate: observation.rate,
            sent_age: now.since(observation.sent_at),
            received_age: now.since(observation.received_at),
        }
    }

    /// The observation by the clock of the VM that it has come to. The time on the way is not known, so the span is the longest
    /// that it may have been.
    pub(crate) fn observation(&self, now: Millis) -> LimitObservation {
        LimitObservation {
            rate: self.rate,
            sent_at: now.since(self.sent_age + NEWS_TIME),
            received_at: now.since(self.received_age),
        }
    }
}

/// Whose request is to be sent, for the order in which VMs get permits.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct PermitClaim {
    /// 0 is the most urgent.
    pub priority: u8,
    /// The short name of the client account.
    pub account: u32,
}

/// Asks the owner of an upstream's quota whether one request may be sent there.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct PermitQuestion {
    /// The VM that asks.
    pub vm: String,
    /// Tells its questions apart.
    pub number: u64,
    /// The limit as it knows it, for an owner that has not heard of it.
    pub report: LimitReport,
    /// Whose request it is.
    pub claim: PermitClaim,
}

/// The owner's answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// The question's number.
    pub number: u64,
    /// What may be done.
    pub verdict: PermitVerdict,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum PermitVerdict {
    /// One, at once.
    Granted,
    /// Not now; to be asked again after this time.
    Later(Millis),
    /// The upstream advertises no limit any more.
    Unlimited,
}
