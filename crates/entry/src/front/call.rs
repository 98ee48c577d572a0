//! The state of one request in progress: its concurrency slot, deadline and attempts, and whether it may have run.

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

/// A request that was admitted and holds a concurrency slot.
pub struct CallContext {
    /// The context shared by all requests.
    pub front: Arc<FrontContext>,
    /// The description of the request.
    pub spec: CallSpec,
    pool: PoolKind,
    tried: Vec<UpstreamId>,
    attempts: u32,
    maybe_ran: bool,
    sends_without_refusal: u32,
    _slot: SlotGuard,
    _in_flight: InFlight,
}

/// Describes a request independently of its admission.
pub struct CallSpec {
    /// The request id.
    pub id: RequestId,
    /// The account the request is made for.
    pub account: ClientAccount,
    /// The priority of the request.
    pub priority: u8,
    /// The model or service whose upstreams may run the request.
    pub route: RouteName,
    /// Hash of the beginning of the prompt, used for affinity.
    pub prefix: u64,
    /// The fingerprint that is equal for every copy of the request.
    pub print: RequestPrint,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// When the request arrived.
    pub arrived_at: Millis,
    /// When the caller no longer needs the answer.
    pub deadline: Millis,
}

/// Releases the concurrency slot when dropped.
struct SlotGuard {
    front: Arc<FrontContext>,
    pool: PoolKind,
    account: ClientAccount,
    acquired_at: Millis,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let shared = &self.front.shared;
        let now = shared.clock.now();
        let held_for = now.since(self.acquired_at);
        let mut routing = shared.routing.lock();
        routing.release_slot(now, self.pool, &self.account, held_for);
        let gauge = &shared.metrics.in_flight;
        gauge.with_label_values(&[self.pool.as_str()]).dec();
    }
}

/// Removes a queued request when dropped, unless the queue has already decided on it.
struct QueueGuard<'a> {
    front: &'a FrontContext,
    pool: PoolKind,
    account: &'a ClientAccount,
    ticket: u64,
    is_decided: bool,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if !self.is_decided {
            let shared = &self.front.shared;
            let mut routing = shared.routing.lock();
            routing.cancel_slot_request(self.pool, self.ticket);
        }
    }
}

impl CallContext {
    /// Waits for a concurrency slot.
    ///
    /// # Errors
    /// When the account's limit is exhausted or no slot becomes free in time.
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
        let admission = shared.routing.lock().request_slot(
            now,
            pool,
            &spec.account,
            spec.priority,
            spec.deadline,
        );
        match admission {
            SlotReply::Admitted => {}
            SlotReply::Refused(kind, retry_after) => return Err(Refusal { kind, retry_after }),
            SlotReply::Waiting(ticket, decision) => {
                let mut guard = QueueGuard {
                    front,
                    pool,
                    account: &spec.account,
                    ticket,
                    is_decided: false,
                };
                let decision = decision.await;
                guard.is_decided = true;
                log::trace!(
                    "event=place_given account={} ticket={ticket}",
                    guard.account
                );
                match decision {
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
        let slot = SlotGuard {
            front: Arc::clone(front),
            pool,
            account: spec.account.clone(),
            acquired_at: shared.clock.now(),
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
            _slot: slot,
            _in_flight: in_flight,
        })
    }

    /// Returns the name of the request's pool in metrics.
    pub fn kind(&self) -> &'static str {
        self.pool.as_str()
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        self.front.shared.clock.now()
    }

    /// Whether the request may have run in any attempt.
    pub fn maybe_ran(&self) -> bool {
        self.maybe_ran
    }

    /// Returns the error to answer with. Replaces an error that claims the request did not run if an attempt may have
    /// run it.
    pub fn error_for_run_state(&self, kind: ErrorKind) -> ErrorKind {
        let claims_not_run = kind.response().ran == RanState::No;
        match (claims_not_run && self.maybe_ran, kind) {
            (false, kind) => kind,
            (true, ErrorKind::DeadlineBeforeSend) => ErrorKind::DeadlineAfterSend,
            (true, _) => ErrorKind::UpstreamLost,
        }
    }

    /// Chooses an upstream with fresh evidence and plans an attempt.
    ///
    /// # Errors
    /// When the deadline has passed, the attempts are exhausted, the request is quarantined or suspected, or no
    /// upstream is available.
    pub async fn plan_attempt(&mut self) -> Result<(UpstreamFact, Attempt<NotSent>), ErrorKind> {
        let max_attempts = self.front.shared.settings.tuning.max_attempts;
        loop {
            let now = self.now();
            if now >= self.spec.deadline {
                return Err(ErrorKind::DeadlineBeforeSend);
            }
            if self.attempts >= max_attempts {
                return Err(ErrorKind::UpstreamRefused);
            }
            self.check_quarantine()?;
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

    /// Records that the request is about to be sent to an upstream.
    pub fn record_sent(&mut self, fact: &UpstreamFact) {
        self.attempts += 1;
        self.sends_without_refusal += 1;
        let may_send = self.spec.is_idempotent || self.sends_without_refusal == 1;
        Invariant::AtMostOnce.check(may_send, || format!("request={} sent again", self.spec.id));
        let shared = &self.front.shared;
        let max_age = shared.settings.balance.evidence_max_age;
        let age = self.now().since(fact.evidence_at);
        // The choice enforced the bound itself. Twice the bound allows for the time between choice and send.
        Invariant::WholeGroup.check(age.0 <= max_age.0 * 2, || {
            format!("upstream={} evidence_age_ms={age}", fact.id)
        });
        let mut routing = shared.routing.lock();
        if let Some(balancer) = routing.balancer(&self.spec.route) {
            balancer.record_sent(&fact.id);
        }
    }

    /// Records the end of an attempt and its outcome.
    pub fn record_attempt_ended(&mut self, fact: &UpstreamFact, outcome: &str) {
        let shared = &self.front.shared;
        let attempts = &shared.metrics.attempts;
        attempts.with_label_values(&[self.kind(), outcome]).inc();
        let mut routing = shared.routing.lock();
        if let Some(balancer) = routing.balancer(&self.spec.route) {
            balancer.record_ended(&fact.id);
        }
    }

    /// Records the latency of an upstream's first token or answer, which also counts as evidence.
    pub fn record_first_response(&self, fact: &UpstreamFact, sent: Millis) {
        let now = self.now();
        let shared = &self.front.shared;
        let mut routing = shared.routing.lock();
        if let Some(balancer) = routing.balancer(&self.spec.route) {
            balancer.record_latency(now, &fact.id, now.since(sent));
            balancer.record_evidence(&fact.id, fact.epoch, sent);
        }
    }

    /// Waits until the upstream that runs the request has lacked fresh evidence for so long that it is
    /// stalled rather than pausing between tokens. Never returns for a request that must not run twice.
    pub async fn wait_for_stall(&self, id: &UpstreamId) {
        let mut missed_checks = 0;
        while missed_checks < MAX_MISSED_CHECKS || !self.spec.is_idempotent {
            tokio::time::sleep(EVIDENCE_CHECK_INTERVAL.as_duration()).await;
            let shared = &self.front.shared;
            let max_age = shared.settings.balance.evidence_max_age;
            let view = shared.view.load();
            let mut facts = view.models.values().flatten();
            let has_fresh_evidence = facts
                .find(|fact| fact.id == *id)
                .is_some_and(|fact| self.now().since(fact.evidence_at) <= max_age);
            missed_checks = if has_fresh_evidence {
                0
            } else {
                missed_checks + 1
            };
        }
    }

    /// Records a failed attempt. Returns `Ok` if the request may be retried.
    ///
    /// # Errors
    /// The error to answer with if the request must not be retried.
    pub fn record_failed_attempt(
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

/// Interval between two checks of the evidence of an upstream while a request waits for it.
const EVIDENCE_CHECK_INTERVAL: Millis = Millis(500);
/// Consecutive checks without fresh evidence after which the upstream counts as stalled.
const MAX_MISSED_CHECKS: u32 = 3;

/// A failed attempt, and the next step that its typestate permits.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// How the attempt failed.
    pub outcome: SentOutcome,
    /// The permitted next step.
    pub next: NextStep,
}
