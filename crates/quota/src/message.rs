//! Messages between entry VMs about limits and permits.

use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::limit::LimitObservation;

/// Upper bound on the usual delay of a message between entry VMs: three datagrams, each through a
/// process with an eighth of a core. A slower message may withdraw a limit too early, until the
/// next answer advertises it again.
const MAX_TRANSIT: Millis = Millis(100);

/// An upstream's limit as one VM observed it. Times are sent as ages, as VMs share no clock.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LimitReport {
    /// The upstream.
    pub incarnation: UpstreamIncarnation,
    /// The upstream's failure domain.
    pub failure_domain: FailureDomain,
    /// The limit; none if the upstream no longer advertises one.
    pub rate: Option<SendRate>,
    /// Time since the request was sent whose answer carried the limit.
    pub sent_age: Millis,
    /// Time since that answer was received.
    pub received_age: Millis,
}

impl LimitReport {
    /// Creates the report of an observation as of `now`.
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

    /// Converts the report to an observation on the clock of the receiving VM. The transit time is
    /// unknown, so the span is the longest possible one.
    pub(crate) fn observation(&self, now: Millis) -> LimitObservation {
        LimitObservation {
            rate: self.rate,
            sent_at: now.since(self.sent_age + MAX_TRANSIT),
            received_at: now.since(self.received_age),
        }
    }
}

/// Identifies whose request is to be sent, which determines the order of permits.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct PermitClaim {
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// 32-bit hash of the client account's name.
    pub account: u32,
}

/// Asks the owner of an upstream's quota whether one request may be sent there.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct PermitQuestion {
    /// The VM that asks.
    pub vm: String,
    /// Identifies the question among those of this VM.
    pub number: u64,
    /// The limit as the asking VM knows it, in case the owner does not know it.
    pub report: LimitReport,
    /// Whose request it is.
    pub claim: PermitClaim,
}

/// The owner's answer to a [`PermitQuestion`].
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// The number of the question.
    pub number: u64,
    /// The owner's decision.
    pub verdict: PermitVerdict,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum PermitVerdict {
    /// One request may be sent now.
    Granted,
    /// No request may be sent now; ask again after this time.
    Later(Millis),
    /// The upstream no longer advertises a limit.
    Unlimited,
}
