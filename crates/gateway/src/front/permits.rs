//! Permits to send to an upstream that advertises a rate limit.

use std::cell::RefCell;
use std::time::Duration;

use bergamot_quota::{
    LimitReport, PermitAnswer, PermitClaim, PermitQuestion, PermitStep, PermitVerdict, QuotaEvent,
};
use bergamot_routing::{GateState, RouteUpstream};
use bergamot_types::prelude::*;
use bergamot_warmup::{ANSWER_TIMEOUT, ColdQuestion};
use indexmap::IndexMap;
use tokio::sync::oneshot;

use super::FrontContext;
use super::attempt::SentRequest;
use super::limits::{apply_quota_actions, back_off, quota_target};
use super::warmup::{is_cold_permit_valid, obtain_cold_permit};

/// How long to wait for the owner of an upstream's quota: two datagrams, and a busy process on an
/// eighth of a core. After it another upstream is chosen, so it stays well within the shortest
/// objectives.
const PERMIT_ANSWER_TIMEOUT: Duration = Duration::from_millis(50);
/// How long a permit is valid before the request is sent. Covers connecting, and the time until the
/// process is scheduled. An older permit says nothing about the rate at the time of sending.
const PERMIT_VALIDITY: Millis = Millis(500);

/// A message to other entry VMs about the quota of an upstream.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum QuotaMessage {
    /// The limit that an upstream advertises, for all VMs.
    Report(LimitReport),
    /// A question to the owner of a quota.
    Question {
        /// The VM that owns the quota.
        vm: String,
        /// The question.
        question: PermitQuestion,
    },
    /// A question to the owner of a cold upstream's permits.
    ColdQuestion {
        /// The VM that owns the permits.
        vm: String,
        /// The question.
        question: ColdQuestion,
    },
}

/// Permission to send a request to an upstream, as far as one bound on its requests is concerned.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PermitGrant {
    /// The bound does not apply to the upstream.
    Free,
    /// The owner granted a permit at this time.
    Granted(Millis),
}

impl PermitGrant {
    /// Whether the permit is valid now, given whether the bound applies.
    pub fn is_valid(self, is_bounded: bool, now: Millis, validity: Millis) -> bool {
        match self {
            Self::Free => !is_bounded,
            Self::Granted(granted_at) => now.since(granted_at) <= validity,
        }
    }
}

/// Permission to send a request to an upstream.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct SendPermit {
    /// By the limit that the upstream advertises.
    limit: PermitGrant,
    /// By what the upstream tolerates while it is cold.
    warm_up: PermitGrant,
}

impl SendPermit {
    /// The permit for an upstream that no bound applies to.
    #[cfg(test)]
    pub const FREE: Self = Self {
        limit: PermitGrant::Free,
        warm_up: PermitGrant::Free,
    };
}

/// Why a request got no permit.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PermitDenial {
    /// The upstream advertises a limit.
    Limited,
    /// The upstream is cold. Its gate is closed.
    Cold,
    /// The upstream is cold, and the request has no time left to wait for its owner's answer. Its
    /// gate stays as it is for other requests.
    OutOfTime,
}

/// Unanswered permit questions of this VM, by number.
#[derive(Debug)]
pub struct PendingPermits<Verdict> {
    unanswered: RefCell<IndexMap<u64, oneshot::Sender<Verdict>>>,
}

impl<Verdict> Default for PendingPermits<Verdict> {
    fn default() -> Self {
        Self {
            unanswered: RefCell::default(),
        }
    }
}

impl<Verdict> PendingPermits<Verdict> {
    /// Adds a question and returns the receiver of its verdict.
    pub fn insert(&self, number: u64) -> oneshot::Receiver<Verdict> {
        let (sender, receiver) = oneshot::channel();
        let mut unanswered = self.unanswered.borrow_mut();
        // Drops the questions of callers that have disconnected.
        unanswered.retain(|_, sender| !sender.is_closed());
        unanswered.insert(number, sender);
        receiver
    }

    /// Removes a question.
    pub fn take(&self, number: u64) -> Option<oneshot::Sender<Verdict>> {
        self.unanswered.borrow_mut().swap_remove(&number)
    }
}

/// Obtains the permits for one request, which has waited for the answers of other VMs for
/// `asking_time` already. If one of them is not available now, the upstream backs off, unless the
/// request has no time left to ask for it.
///
/// # Errors
/// Which permit is not available.
pub async fn obtain_permit<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    upstream: &RouteUpstream,
    asking_time: Millis,
) -> Result<SendPermit, PermitDenial> {
    let time_left = ANSWER_TIMEOUT.since(asking_time);
    let warm_up = obtain_cold_permit(front, request.priority, upstream, time_left).await?;
    let limit = obtain_limit_permit(front, request, upstream).await;
    let limit = limit.ok_or(PermitDenial::Limited)?;
    Ok(SendPermit { limit, warm_up })
}

/// Obtains a permit for one request if the upstream advertises a limit. Returns `None` if none is
/// available now; the upstream then backs off.
async fn obtain_limit_permit<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    upstream: &RouteUpstream,
) -> Option<PermitGrant> {
    let claim = permit_claim(request);
    let now = front.now();
    let step = front
        .quota
        .borrow_mut()
        .request_permit(now, quota_target(upstream), claim);
    let permit = match step {
        PermitStep::NotNeeded => return Some(PermitGrant::Free),
        PermitStep::Granted => Some(PermitGrant::Granted(now)),
        PermitStep::Later(wait) => {
            back_off(front, &upstream.incarnation, claim.priority, wait);
            None
        }
        PermitStep::Ask { owner, question } => ask_owner(front, owner, question).await,
    };
    let outcome = match permit {
        Some(_) => "given",
        None => "held_back",
    };
    let permits = &front.shared.metrics.permits;
    permits.with_label_values(&[outcome]).inc();
    permit
}

fn permit_claim(request: &SentRequest) -> PermitClaim {
    let account = request.account.as_ref();
    PermitClaim {
        priority: request.priority,
        account: account.map_or(0, |account| hash_bytes(account.as_str().as_bytes()) as u32),
    }
}

async fn ask_owner<Dialect>(
    front: &FrontContext<Dialect>,
    owner: String,
    question: PermitQuestion,
) -> Option<PermitGrant> {
    let number = question.number;
    let incarnation = question.report.incarnation.clone();
    let owner_vm = owner.clone();
    // The owner grants the permit at this time or later. The time of the answer would be too late:
    // the process may be suspended before it reads the answer.
    let sent_at = front.now();
    let answer = front.permits.insert(number);
    front.send_quota(QuotaMessage::Question {
        vm: owner,
        question,
    });
    let answer = tokio::time::timeout(PERMIT_ANSWER_TIMEOUT, answer).await;
    match answer {
        Ok(Ok(PermitVerdict::Granted)) => Some(PermitGrant::Granted(sent_at)),
        Ok(Ok(PermitVerdict::Unlimited)) => Some(PermitGrant::Free),
        Ok(Ok(PermitVerdict::Later(_))) => None,
        Ok(Err(_)) | Err(_) => {
            front.permits.take(number);
            let event = QuotaEvent::TimedOut(number);
            let actions = front.quota.borrow_mut().handle(front.now(), event);
            apply_quota_actions(front, actions);
            log::info!("event=permit_unanswered upstream={incarnation} owner={owner_vm}");
            None
        }
    }
}

/// Handles the owner's answer to a question of this VM.
pub fn deliver_permit_answer<Dialect>(front: &FrontContext<Dialect>, answer: &PermitAnswer) {
    let event = QuotaEvent::PermitAnswered(answer);
    let actions = front.quota.borrow_mut().handle(front.now(), event);
    apply_quota_actions(front, actions);
    if let Some(sender) = front.permits.take(answer.number) {
        // Fails if the caller has disconnected, so that nobody waits for the answer.
        let _ = sender.send(answer.verdict);
    }
}

/// Whether a request may be sent now: since it was chosen, its upstream may have advertised a limit,
/// turned cold or asked for backoff, or its failure domain may have been evacuated. A permit
/// overrides the gate of the limit, which other requests may have
/// closed in the meantime.
pub fn may_send<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    upstream: &RouteUpstream,
    permit: SendPermit,
) -> bool {
    let now = front.now();
    let is_limited = front
        .quota
        .borrow()
        .limits()
        .rate(&upstream.incarnation)
        .is_some();
    let gate = front
        .monitor
        .borrow()
        .gates
        .state(&upstream.incarnation, request.priority, now);
    let is_closed = !matches!(gate, GateState::Open | GateState::Limited(_));
    let view = front.shared.view.load();
    let is_evacuated = view.is_evacuated(&upstream.failure_domain);
    permit.limit.is_valid(is_limited, now, PERMIT_VALIDITY)
        && is_cold_permit_valid(front, upstream, permit.warm_up)
        && !is_closed
        && !is_evacuated
}

impl<Dialect> FrontContext<Dialect> {
    /// Sends a message to other VMs.
    pub(super) fn send_quota(&self, message: QuotaMessage) {
        if let Err(error) = self.quota_messages.try_send(message) {
            log::info!("event=notice_not_sent reason=\"{error}\"");
        }
    }
}
