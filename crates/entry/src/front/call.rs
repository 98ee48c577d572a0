//! One request on its way: its place, its deadline, and what is known of whether it ran.

use std::sync::Arc;

use bergamot_quarantine::RequestPrint;
use bergamot_routing::UpstreamFact;
use bergamot_routing::attempt::NextStep;
use bergamot_routing::{Attempt, Choice, NotSent, PickRequest, SentOutcome};
use bergamot_types::prelude::*;

use super::FrontContext;
use super::answer::Refusal;
use super::probe::probe_group;
use super::server::InFlight;
use crate::routing_state::{PoolKind, RouteName, SlotReply};

/// A request that has a place.
pub struct CallContext {
    /// What every request needs.
    pub front: Arc<FrontContext>,
    /// What the request is.
    pub spec: CallSpec,
    pool: PoolKind,
    tried: Vec<UpstreamId>,
    attempts: u32,
    maybe_ran: bool,
    sends_without_refusal: u32,
    _place: PlaceGuard,
    _in_flight: InFlight,
}

/// What a request is, before it has a place.
pub struct CallSpec {
    /// The request's name.
    pub id: RequestId,
    /// Whose request.
    pub account: ClientAccount,
    /// Its priority.
    pub priority: u8,
    /// Which upstreams it may go to.
    pub route: RouteName,
    /// Hash of the prompt's first part.
    pub prefix: u64,
    /// What is the same however often the request comes.
    pub print: RequestPrint,
    /// Whether it may run twice.
    pub is_idempotent: bool,
    /// When it came in.
    pub arrived: Millis,
    /// When its answer is of no use any more.
    pub deadline: Millis,
}

/// Gives the place back when dropped.
struct PlaceGuard {
    front: Arc<FrontContext>,
    pool: PoolKind,
    account: ClientAccount,
    since: Millis,
}

impl Drop for PlaceGuard {
    fn drop(&mut self) {
        let shared = &self.front.shared;
        let now = shared.clock.now();
        let took = now.since(self.since);
        let mut routing = shared.routing.lock();
        routing.release_slot(now, self.pool, &self.account, took);
        let gauge = &shared.metrics.in_flight;
        gauge.with_label_values(&[self.pool.as_str()]).dec();
    }
}

/// Forgets a waiting request when dropped, unless its place was given.
struct WaitGuard<'a> {
    front: &'a FrontContext,
    pool: PoolKind,
    account: &'a ClientAccount,
    ticket: u64,
    is_done: bool,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if !self.is_done {
            let shared = &self.front.shared;
            let mut routing = shared.routing.lock();
            routing.cancel_slot_request(self.pool, self.ticket);
        }
    }
}

impl CallContext {
    /// Waits for a place.
    ///
    /// # Errors
    /// When the account's limit is used up or no place comes up in time.
    pub async fn admit(
        front: &Arc<FrontContext>,
        spec: CallSpec,
        in_flight: InFlight,
    ) -> Result<Self, Refusal> {
        let shared = &front.shared;
        let pool = match spec.route {
            RouteName::Model(_) => PoolKind::Model,
            RouteName::Service(_) => PoolKind::Service,
        };
        let now = shared.clock.now();
        let asked = shared.routing.lock().request_slot(
            now,
            pool,
            &spec.account,
            spec.priority,
            spec.deadline,
        );
        match asked {
            SlotReply::Admitted => {}
            SlotReply::Refused(kind, retry_after) => return Err(Refusal { kind, retry_after }),
            SlotReply::Waiting(ticket, word) => {
                let mut guard = WaitGuard {
                    front,
                    pool,
                    account: &spec.account,
                    ticket,
                    is_done: false,
                };
                let word = word.await;
                guard.is_done = true;
                log::trace!(
                    "event=place_given account={} ticket={ticket}",
                    guard.account
                );
                match word {
                    Ok(None) => {}
                    Ok(Some(kind)) => return Err(kind.into()),
                    Err(_) => return Err(ErrorKind::Internal.into()),
                }
            }
        }
        shared
            .metrics
            .in_flight
            .with_label_values(&[pool.as_str()])
            .inc();
        let place = PlaceGuard {
            front: Arc::clone(front),
            pool,
            account: spec.account.clone(),
            since: shared.clock.now(),
        };
        shared.routing.lock().retries().record_request();
        Ok(Self {
            front: Arc::clone(front),
            spec,
            pool,
            tried: Vec::new(),
            attempts: 0,
            maybe_ran: false,
            sends_without_refusal: 0,
            _place: place,
            _in_flight: in_flight,
        })
    }

    /// The kind's name in metrics.
    pub fn kind(&self) -> &'static str {
        self.pool.as_str()
    }

    /// The time now.
    pub fn now(&self) -> Millis {
        self.front.shared.clock.now()
    }

    /// Whether any attempt may have run.
    pub fn maybe_ran(&self) -> bool {
        self.maybe_ran
    }

    /// The error to answer with: what is refused as not run must not have run.
    pub fn truthful(&self, kind: ErrorKind) -> ErrorKind {
        let is_claim = kind.response().ran == RanState::No;
        match (is_claim && self.maybe_ran, kind) {
            (false, kind) => kind,
            (true, ErrorKind::DeadlineBeforeSend) => ErrorKind::DeadlineAfterSend,
            (true, _) => ErrorKind::UpstreamLost,
        }
    }

    /// Chooses an upstream with fresh evidence and plans an attempt.
    ///
    /// # Errors
    /// When the deadline has passed, attempts are used up, or there is no upstream.
    pub async fn plan(&mut self) -> Result<(UpstreamFact, Attempt<NotSent>), ErrorKind> {
        let max = self.front.shared.settings.tuning.max_attempts;
        loop {
            let now = self.now();
            if now >= self.spec.deadline {
                return Err(ErrorKind::DeadlineBeforeSend);
            }
            if self.attempts >= max {
                return Err(ErrorKind::UpstreamRefused);
            }
            self.check_standing()?;
            match self.pick(now) {
                Choice::Upstream(fact) => {
                    let attempt = Attempt::plan(fact.id.clone(), self.spec.is_idempotent);
                    return Ok((fact, attempt));
                }
                Choice::Probe(fact) => {
                    if !probe_group(&self.front, &self.spec.route, &fact).await {
                        self.tried.push(fact.id);
                    }
                }
                Choice::None if self.attempts > 0 => return Err(ErrorKind::UpstreamRefused),
                Choice::None => return Err(ErrorKind::NoUpstream),
            }
        }
    }

    fn pick(&self, now: Millis) -> Choice {
        let shared = &self.front.shared;
        let request = PickRequest {
            account: &self.spec.account,
            prefix: self.spec.prefix,
            home: &shared.settings.failure_domain,
            tried: &self.tried,
        };
        shared.routing.lock().pick(now, &self.spec.route, &request)
    }

    /// Notes that a request is about to leave for an upstream.
    pub fn note_sent(&mut self, fact: &UpstreamFact) {
        self.attempts += 1;
        self.sends_without_refusal += 1;
        let may_send = self.spec.is_idempotent || self.sends_without_refusal == 1;
        Invariant::AtMostOnce.check(may_send, || format!("request={} sent again", self.spec.id));
        let shared = &self.front.shared;
        let max_age = shared.settings.balance.evidence_max_age;
        let age = self.now().since(fact.evidence_at);
        // Twice the bound: the choice was within it, and the send follows at once.
        Invariant::WholeGroup.check(age.0 <= max_age.0 * 2, || {
            format!("upstream={} evidence_age_ms={age}", fact.id)
        });
        let mut routing = shared.routing.lock();
        if let Some(balancer) = routing.balancer(&self.spec.route) {
            balancer.record_sent(&fact.id);
        }
    }

    /// Notes the end of an attempt.
    pub fn note_ended(&mut self, fact: &UpstreamFact, outcome: &str) {
        let shared = &self.front.shared;
        let attempts = &shared.metrics.attempts;
        attempts.with_label_values(&[self.kind(), outcome]).inc();
        let mut routing = shared.routing.lock();
        if let Some(balancer) = routing.balancer(&self.spec.route) {
            balancer.record_ended(&fact.id);
        }
    }

    /// Notes the first token or answer of an upstream.
    pub fn note_first(&self, fact: &UpstreamFact, sent: Millis) {
        let now = self.now();
        let shared = &self.front.shared;
        let mut routing = shared.routing.lock();
        if let Some(balancer) = routing.balancer(&self.spec.route) {
            balancer.record_latency(now, &fact.id, now.since(sent));
            balancer.record_evidence(&fact.id, fact.epoch, sent);
        }
    }

    /// Waits until an upstream that a request runs at has gone without evidence for so long that
    /// its silence is no pause between tokens. Never for a request that must not run twice.
    pub async fn upstream_lost(&self, id: &UpstreamId) {
        let mut missing = 0;
        while missing < LOST_LOOKS || !self.spec.is_idempotent {
            tokio::time::sleep(LOST_LOOK.as_duration()).await;
            let shared = &self.front.shared;
            let max_age = shared.settings.balance.evidence_max_age;
            let view = shared.view.load();
            let mut facts = view.models.values().flatten();
            let is_seen = facts
                .find(|fact| fact.id == *id)
                .is_some_and(|fact| self.now().since(fact.evidence_at) <= max_age);
            missing = if is_seen { 0 } else { missing + 1 };
        }
    }

    /// Notes a failed attempt and says whether another may follow.
    ///
    /// # Errors
    /// The error to answer with if none may.
    pub fn after_failure(
        &mut self,
        fact: &UpstreamFact,
        failed: FailedAttempt,
    ) -> Result<(), ErrorKind> {
        let now = self.now();
        match failed.outcome {
            SentOutcome::RefusedNotRun | SentOutcome::NeverConnected => {
                self.sends_without_refusal -= 1;
            }
            SentOutcome::Broken => self.maybe_ran = true,
        }
        self.tried.push(fact.id.clone());
        let shared = &self.front.shared;
        let mut routing = shared.routing.lock();
        if let Some(balancer) = routing.balancer(&self.spec.route) {
            balancer.record_failure(now, &fact.id);
        }
        if failed.next == NextStep::OutcomeUnknown {
            return Err(ErrorKind::UpstreamLost);
        }
        match routing.retries().take() {
            true => Ok(()),
            false => Err(ErrorKind::UpstreamRefused),
        }
    }
}

/// Time between two looks at the evidence of an upstream that is silent.
const LOST_LOOK: Millis = Millis(500);
/// Looks in a row without evidence that give it up.
const LOST_LOOKS: u32 = 3;

/// A failed attempt, and what the typestate says may follow.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// How it failed.
    pub outcome: SentOutcome,
    /// What may follow.
    pub next: NextStep,
}
