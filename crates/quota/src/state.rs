//! State of one entry VM: the limits it knows, the permits it grants and those it waits for.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::allowance::SendAllowance;
use crate::fleet::QuotaFleet;
use crate::limit::{LimitChange, LimitObservation, LimitTable};
use crate::message::{LimitReport, PermitAnswer, PermitClaim, PermitQuestion, PermitVerdict};

/// Shortest time between two reports of one upstream's limit to all VMs, as every answer may
/// advertise a different one. Permit questions carry the latest limit to the owner in any case.
const REPORT_PERIOD: Millis = Millis(500);
/// How long an upstream is backed off from if the owner of its quota does not answer or is unknown.
const OWNER_BACKOFF: Millis = Millis(500);
/// Maximum number of pending questions.
const MAX_PENDING_QUESTIONS: usize = 1_024;

/// An upstream to send to, whether or not it advertises a limit.
#[derive(Clone, Copy, Debug)]
pub struct QuotaTarget<'a> {
    /// The upstream.
    pub incarnation: &'a UpstreamIncarnation,
    /// The upstream's failure domain.
    pub failure_domain: &'a FailureDomain,
}

/// An input of [`QuotaState`].
#[derive(Clone, Copy, Debug)]
pub enum QuotaEvent<'a> {
    /// An upstream answered a request of this VM.
    Observed(QuotaTarget<'a>, LimitObservation),
    /// Another VM reported a limit.
    Reported(&'a LimitReport),
    /// Another VM asked for a permit.
    PermitRequested(&'a PermitQuestion),
    /// The owner of a quota answered a question of this VM.
    PermitAnswered(&'a PermitAnswer),
    /// The question with this number was not answered in time.
    TimedOut(u64),
}

/// An action for the caller to take.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum QuotaAction {
    /// Log that the advertised limit changed.
    LogChange(UpstreamIncarnation, LimitChange),
    /// Send the report to all other VMs.
    Broadcast(LimitReport),
    /// Answer a question.
    Answer {
        /// The VM that asked.
        vm: String,
        /// The answer.
        answer: PermitAnswer,
    },
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

/// How a request gets its permit.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum PermitStep {
    /// No permit is needed.
    NotNeeded,
    /// The permit is granted.
    Granted,
    /// No permit is available for this time.
    Later(Millis),
    /// Ask the owner of the quota.
    Ask {
        /// The VM that owns the quota.
        owner: String,
        /// The question to send.
        question: PermitQuestion,
    },
}

/// A question that the owner has not answered yet.
#[derive(Clone, Debug)]
struct PendingQuestion {
    incarnation: UpstreamIncarnation,
    priority: u8,
    sent_at: Millis,
}

/// The permits of an upstream whose quota this VM owns.
#[derive(Debug)]
struct OwnedQuota {
    failure_domain: FailureDomain,
    allowance: SendAllowance,
}

/// The quota state of one entry VM.
#[derive(Debug)]
pub struct QuotaState {
    fleet: QuotaFleet,
    limits: LimitTable,
    owned_quotas: IndexMap<UpstreamIncarnation, OwnedQuota>,
    pending_questions: IndexMap<u64, PendingQuestion>,
    reported_at: IndexMap<UpstreamIncarnation, Millis>,
    next_number: u64,
}

impl QuotaState {
    /// Creates the state of the VM named `own`, which numbers its questions from `first_number`.
    /// The number must differ at each start, so that an answer to an earlier incarnation of this VM
    /// is not mistaken for one to this incarnation.
    pub fn new(own_vm: String, first_number: u64) -> Self {
        Self {
            fleet: QuotaFleet::new(own_vm),
            limits: LimitTable::default(),
            owned_quotas: IndexMap::new(),
            pending_questions: IndexMap::new(),
            reported_at: IndexMap::new(),
            next_number: first_number,
        }
    }

    /// Returns the limits that upstreams advertise.
    pub fn limits(&self) -> &LimitTable {
        &self.limits
    }

    /// Returns the limits for recording malformed ones.
    pub fn limits_mut(&mut self) -> &mut LimitTable {
        &mut self.limits
    }

    /// Replaces the list of entry VMs, by failure domain.
    pub fn set_vms<Vms>(&mut self, now: Millis, vms: Vms)
    where
        Vms: IntoIterator<Item = (FailureDomain, String)>,
    {
        self.fleet.set_vms(now, vms);
        let fleet = &self.fleet;
        self.owned_quotas.retain(|incarnation, owned| {
            fleet.owner(incarnation, &owned.failure_domain) == Some(fleet.own_vm())
        });
    }

    /// Drops the permits of upstreams that the directory no longer lists, and their limits some
    /// time later.
    pub fn retain<Keep>(&mut self, is_listed: Keep, now: Millis)
    where
        Keep: Fn(&UpstreamIncarnation) -> bool,
    {
        self.limits.retain(&is_listed, now);
        self.owned_quotas
            .retain(|incarnation, _| is_listed(incarnation));
        self.reported_at
            .retain(|incarnation, _| is_listed(incarnation));
    }

    /// Returns how a request to an upstream gets its permit.
    pub fn request_permit(
        &mut self,
        now: Millis,
        target: QuotaTarget<'_>,
        claim: PermitClaim,
    ) -> PermitStep {
        let Some((observation, rate)) = self.limits.limit(target.incarnation) else {
            return PermitStep::NotNeeded;
        };
        let Some(owner) = self.fleet.owner(target.incarnation, target.failure_domain) else {
            return PermitStep::Later(OWNER_BACKOFF);
        };
        if owner == self.fleet.own_vm() {
            return match self.grant_permit(now, target, rate, claim) {
                PermitVerdict::Granted => PermitStep::Granted,
                PermitVerdict::Later(wait) => PermitStep::Later(wait),
                PermitVerdict::Unlimited => PermitStep::NotNeeded,
            };
        }
        let owner = owner.to_owned();
        let number = self.next_number;
        self.next_number = number.wrapping_add(1);
        let pending = PendingQuestion {
            incarnation: target.incarnation.clone(),
            priority: claim.priority,
            sent_at: now,
        };
        if self.pending_questions.len() >= MAX_PENDING_QUESTIONS {
            self.pending_questions.shift_remove_index(0);
        }
        self.pending_questions.insert(number, pending);
        PermitStep::Ask {
            owner,
            question: PermitQuestion {
                vm: self.fleet.own_vm().to_owned(),
                number,
                report: LimitReport::of(
                    target.incarnation,
                    target.failure_domain,
                    observation,
                    now,
                ),
                claim,
            },
        }
    }

    /// Handles an event and returns the actions to take.
    pub fn handle(&mut self, now: Millis, event: QuotaEvent<'_>) -> Vec<QuotaAction> {
        match event {
            QuotaEvent::Observed(target, observation) => self.observe(now, target, observation),
            QuotaEvent::Reported(report) => self.merge_report(now, report).into_iter().collect(),
            QuotaEvent::PermitRequested(question) => self.answer_question(now, question),
            QuotaEvent::PermitAnswered(answer) => self.resolve_question(now, answer),
            QuotaEvent::TimedOut(number) => self.expire_question(number),
        }
    }

    fn observe(
        &mut self,
        now: Millis,
        target: QuotaTarget<'_>,
        observation: LimitObservation,
    ) -> Vec<QuotaAction> {
        let Some(change) = self.limits.record(target.incarnation, observation) else {
            return Vec::new();
        };
        let mut actions = vec![QuotaAction::LogChange(target.incarnation.clone(), change)];
        let reported_at = self.reported_at.get(target.incarnation);
        if reported_at.is_none_or(|at| now.since(*at) >= REPORT_PERIOD) {
            self.reported_at.insert(target.incarnation.clone(), now);
            let report =
                LimitReport::of(target.incarnation, target.failure_domain, observation, now);
            actions.push(QuotaAction::Broadcast(report));
        }
        actions
    }

    fn merge_report(&mut self, now: Millis, report: &LimitReport) -> Option<QuotaAction> {
        let change = self
            .limits
            .record(&report.incarnation, report.observation(now))?;
        Some(QuotaAction::LogChange(report.incarnation.clone(), change))
    }

    fn answer_question(&mut self, now: Millis, question: &PermitQuestion) -> Vec<QuotaAction> {
        let report = &question.report;
        let mut actions: Vec<QuotaAction> = self.merge_report(now, report).into_iter().collect();
        let target = QuotaTarget {
            incarnation: &report.incarnation,
            failure_domain: &report.failure_domain,
        };
        let is_owner = self.fleet.owner(target.incarnation, target.failure_domain)
            == Some(self.fleet.own_vm());
        let verdict = match (self.limits.rate(target.incarnation), is_owner) {
            (None, _) => PermitVerdict::Unlimited,
            (Some(rate), true) => self.grant_permit(now, target, rate, question.claim),
            // The two VMs use different lists of entry VMs, one of which is outdated.
            (Some(_), false) => PermitVerdict::Later(OWNER_BACKOFF),
        };
        actions.push(QuotaAction::Answer {
            vm: question.vm.clone(),
            answer: PermitAnswer {
                number: question.number,
                verdict,
            },
        });
        actions
    }

    /// Grants or defers a permit of a quota that this VM owns.
    fn grant_permit(
        &mut self,
        now: Millis,
        target: QuotaTarget<'_>,
        rate: SendRate,
        claim: PermitClaim,
    ) -> PermitVerdict {
        let fleet = &self.fleet;
        let owned = self
            .owned_quotas
            .entry(target.incarnation.clone())
            .or_insert_with(|| {
                let opens_at = fleet.grants_from(target.incarnation, target.failure_domain);
                OwnedQuota {
                    failure_domain: target.failure_domain.clone(),
                    allowance: SendAllowance::new(rate, opens_at.max(now)),
                }
            });
        owned.allowance.request_permit(now, rate, claim)
    }

    fn resolve_question(&mut self, now: Millis, answer: &PermitAnswer) -> Vec<QuotaAction> {
        let Some(pending) = self.pending_questions.shift_remove(&answer.number) else {
            return Vec::new();
        };
        match answer.verdict {
            PermitVerdict::Granted => Vec::new(),
            PermitVerdict::Later(wait) => vec![pending.back_off(wait)],
            PermitVerdict::Unlimited => {
                let observation = LimitObservation {
                    rate: None,
                    sent_at: pending.sent_at,
                    received_at: now,
                };
                let change = self.limits.record(&pending.incarnation, observation);
                let action =
                    change.map(|change| QuotaAction::LogChange(pending.incarnation, change));
                action.into_iter().collect()
            }
        }
    }

    fn expire_question(&mut self, number: u64) -> Vec<QuotaAction> {
        let pending = self.pending_questions.shift_remove(&number);
        let actions = pending.map(|pending| pending.back_off(OWNER_BACKOFF));
        actions.into_iter().collect()
    }
}

impl PendingQuestion {
    fn back_off(self, wait: Millis) -> QuotaAction {
        QuotaAction::BackOff {
            incarnation: self.incarnation,
            priority: self.priority,
            wait,
        }
    }
}
