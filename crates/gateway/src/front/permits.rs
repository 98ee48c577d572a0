//! Permits to send to an upstream that advertises a limit.

use std::cell::RefCell;
use std::time::Duration;

use bergamot_quota::{
    LimitReport, PermitAnswer, PermitClaim, PermitQuestion, PermitStep, PermitVerdict, QuotaEvent,
};
use bergamot_routing::{GateState, RouteUpstream};
use bergamot_types::prelude::*;
use indexmap::IndexMap;
use tokio::sync::oneshot;

use super::FrontContext;
use super::attempt::SentRequest;
use super::limits::{apply_quota_actions, hold_back, place_of};

/// The longest wait for the owner of an upstream's quota: two datagrams and a busy process on an eighth of a core. Others are
/// sent to instead after it, so it stays well within the shortest objectives.
const PERMIT_WAIT: Duration = Duration::from_millis(50);
/// The longest time between a permit and the send: a connection, and a process that waits for its turn. A permit that is older
/// was given for another moment.
const PERMIT_TIME: Millis = Millis(500);

/// What is told or asked of other VMs.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum QuotaMessage {
    /// What an upstream says of its limit, for all.
    Report(LimitReport),
    /// A question for the owner of a quota.
    Question {
        /// The owner.
        vm: String,
        /// What it is asked.
        question: PermitQuestion,
    },
}

/// That a request may be sent to an upstream as far as its limit goes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SendPermit {
    /// The upstream advertised no limit.
    Free,
    /// The owner of its quota gave a permit at this moment.
    Given(Millis),
}

impl SendPermit {
    /// Whether it still holds for an upstream that advertises a limit now or does not.
    fn holds(self, is_limited: bool, now: Millis) -> bool {
        match self {
            Self::Free => !is_limited,
            Self::Given(at) => now.since(at) <= PERMIT_TIME,
        }
    }
}

/// Questions of this VM that wait for their answer, by number.
#[derive(Debug, Default)]
pub struct PermitQueue {
    waiting: RefCell<IndexMap<u64, oneshot::Sender<PermitVerdict>>>,
}

impl PermitQueue {
    fn enter(&self, number: u64) -> oneshot::Receiver<PermitVerdict> {
        let (sender, receiver) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        // Callers who have left wait no more.
        waiting.retain(|_, sender| !sender.is_closed());
        waiting.insert(number, sender);
        receiver
    }

    fn leave(&self, number: u64) -> Option<oneshot::Sender<PermitVerdict>> {
        self.waiting.borrow_mut().swap_remove(&number)
    }
}

/// Gets a permit for one request. None where there is none for now: the upstream is held back then.
pub async fn obtain<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    upstream: &RouteUpstream,
) -> Option<SendPermit> {
    let claim = claim_of(request);
    let now = front.now();
    let step = front
        .quota
        .borrow_mut()
        .request_permit(now, place_of(upstream), claim);
    let permit = match step {
        PermitStep::NotNeeded => return Some(SendPermit::Free),
        PermitStep::Granted => Some(SendPermit::Given(now)),
        PermitStep::Later(wait) => {
            hold_back(front, &upstream.incarnation, claim.priority, wait);
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

fn claim_of(request: &SentRequest) -> PermitClaim {
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
) -> Option<SendPermit> {
    let number = question.number;
    let incarnation = question.report.incarnation.clone();
    let asked_of = owner.clone();
    // The owner gave it at some moment from now on; the process may be suspended before it sees the answer.
    let asked_at = front.now();
    let answer = front.permits.enter(number);
    front.send_quota(QuotaMessage::Question {
        vm: owner,
        question,
    });
    let answer = tokio::time::timeout(PERMIT_WAIT, answer).await;
    match answer {
        Ok(Ok(PermitVerdict::Granted)) => Some(SendPermit::Given(asked_at)),
        Ok(Ok(PermitVerdict::Unlimited)) => Some(SendPermit::Free),
        Ok(Ok(PermitVerdict::Later(_))) => None,
        Ok(Err(_)) | Err(_) => {
            front.permits.leave(number);
            let event = QuotaEvent::TimedOut(number);
            let actions = front.quota.borrow_mut().handle(front.now(), event);
            apply_quota_actions(front, actions);
            log::info!("event=permit_unanswered upstream={incarnation} owner={asked_of}");
            None
        }
    }
}

/// Takes in the owner's answer to a question of this VM.
pub fn deliver_permit_answer<Dialect>(front: &FrontContext<Dialect>, answer: &PermitAnswer) {
    let event = QuotaEvent::PermitAnswered(answer);
    let actions = front.quota.borrow_mut().handle(front.now(), event);
    apply_quota_actions(front, actions);
    if let Some(waiting) = front.permits.leave(answer.number) {
        // Nobody waits any more where its caller has left.
        let _ = waiting.send(answer.verdict);
    }
}

/// Whether a request may still be sent: its upstream may have advertised a limit since it was chosen, or asked to back off. Its permit
/// stands above the limit's gate, which others may have closed meanwhile.
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
    permit.holds(is_limited, now) && !is_closed
}

impl<Dialect> FrontContext<Dialect> {
    /// Tells or asks other VMs.
    pub(super) fn send_quota(&self, news: QuotaMessage) {
        if let Err(error) = self.quota_messages.try_send(news) {
            log::info!("event=notice_not_sent reason=\"{error}\"");
        }
    }
}
