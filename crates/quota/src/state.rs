//! What one VM knows of limits, and its part in keeping to them.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::allowance::SendAllowance;
use crate::fleet::QuotaFleet;
use crate::limit::{LimitChange, LimitObservation, LimitTable};
use crate::message::{LimitReport, PermitAnswer, PermitClaim, PermitQuestion, PermitVerdict};

/// Time between two notices of one upstream's limit to all VMs, as each answer may name another one. Questions for permits
/// carry the newest one to the owner in any case.
const TELL_PERIOD: Millis = Millis(500);
/// Time for which an upstream is left alone whose quota's owner does not answer, or is not known.
const SILENT_TIME: Millis = Millis(500);
/// Questions without an answer that are remembered at most.
const MAX_ASKED: usize = 1_024;

/// An upstream with a limit, or without.
#[derive(Clone, Copy, Debug)]
pub struct QuotaTarget<'a> {
    /// Which run of it.
    pub incarnation: &'a UpstreamIncarnation,
    /// Where it is.
    pub failure_domain: &'a FailureDomain,
}

/// Something that happened.
#[derive(Clone, Copy, Debug)]
pub enum QuotaEvent<'a> {
    /// An upstream answered this VM.
    Observed(QuotaTarget<'a>, LimitObservation),
    /// Another VM tells of a limit.
    Reported(&'a LimitReport),
    /// Another VM asks for a permit.
    PermitRequested(&'a PermitQuestion),
    /// The owner answered a question of this VM.
    PermitAnswered(&'a PermitAnswer),
    /// No answer came in time to the question of this number.
    TimedOut(u64),
}

/// What is to be done.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum QuotaAction {
    /// Log the limit an upstream advertises now.
    LogChange(UpstreamIncarnation, LimitChange),
    /// Tell all other VMs.
    Broadcast(LimitReport),
    /// Answer the VM that asked.
    Answer {
        /// The VM.
        vm: String,
        /// What it is told.
        answer: PermitAnswer,
    },
    /// Send nothing more there for a while that is no more urgent.
    BackOff {
        /// The upstream.
        incarnation: UpstreamIncarnation,
        /// The rank of the request that was turned away.
        priority: u8,
        /// For how long.
        wait: Millis,
    },
}

/// How a request gets its permit.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum PermitStep {
    /// None is needed.
    NotNeeded,
    /// It has one.
    Granted,
    /// There is none for this time.
    Later(Millis),
    /// The owner is to be asked.
    Ask {
        /// The VM that owns the quota.
        owner: String,
        /// What it is asked.
        question: PermitQuestion,
    },
}

/// A question that is on its way.
#[derive(Clone, Debug)]
struct AskedPermit {
    incarnation: UpstreamIncarnation,
    priority: u8,
    asked_at: Millis,
}

/// Permits of one upstream that this VM gives out.
#[derive(Debug)]
struct OwnedQuota {
    failure_domain: FailureDomain,
    allowance: SendAllowance,
}

/// The state of one VM.
#[derive(Debug)]
pub struct QuotaState {
    fleet: QuotaFleet,
    limits: LimitTable,
    owned: IndexMap<UpstreamIncarnation, OwnedQuota>,
    asked: IndexMap<u64, AskedPermit>,
    told_at: IndexMap<UpstreamIncarnation, Millis>,
    next_number: u64,
}

impl QuotaState {
    /// The state of the VM of this name, which numbers its questions from `first_number`: another one at each start, so that
    /// no answer to an earlier process is taken for one to this.
    pub fn new(own: String, first_number: u64) -> Self {
        Self {
            fleet: QuotaFleet::new(own),
            limits: LimitTable::default(),
            owned: IndexMap::new(),
            asked: IndexMap::new(),
            told_at: IndexMap::new(),
            next_number: first_number,
        }
    }

    /// The limits that upstreams advertise.
    pub fn limits(&self) -> &LimitTable {
        &self.limits
    }

    /// The same, to note what cannot be read.
    pub fn limits_mut(&mut self) -> &mut LimitTable {
        &mut self.limits
    }

    /// Takes over which entry VMs there are, by failure domain.
    pub fn set_vms<Vms>(&mut self, now: Millis, vms: Vms)
    where
        Vms: IntoIterator<Item = (FailureDomain, String)>,
    {
        self.fleet.set(now, vms);
        let fleet = &self.fleet;
        self.owned.retain(|incarnation, owned| {
            fleet.owner(incarnation, &owned.failure_domain) == Some(fleet.own())
        });
    }

    /// Forgets the upstreams that the directory does not name any more, their limits some time later.
    pub fn retain<Keep>(&mut self, is_listed: Keep, now: Millis)
    where
        Keep: Fn(&UpstreamIncarnation) -> bool,
    {
        self.limits.retain(&is_listed, now);
        self.owned.retain(|incarnation, _| is_listed(incarnation));
        self.told_at.retain(|incarnation, _| is_listed(incarnation));
    }

    /// How a request that is to be sent to an upstream gets its permit.
    pub fn request_permit(
        &mut self,
        now: Millis,
        place: QuotaTarget<'_>,
        claim: PermitClaim,
    ) -> PermitStep {
        let Some((observation, rate)) = self.limits.limit(place.incarnation) else {
            return PermitStep::NotNeeded;
        };
        let Some(owner) = self.fleet.owner(place.incarnation, place.failure_domain) else {
            return PermitStep::Later(SILENT_TIME);
        };
        if owner == self.fleet.own() {
            return match self.deal(now, place, rate, claim) {
                PermitVerdict::Granted => PermitStep::Granted,
                PermitVerdict::Later(wait) => PermitStep::Later(wait),
                PermitVerdict::Unlimited => PermitStep::NotNeeded,
            };
        }
        let owner = owner.to_owned();
        let number = self.next_number;
        self.next_number = number.wrapping_add(1);
        let asked = AskedPermit {
            incarnation: place.incarnation.clone(),
            priority: claim.priority,
            asked_at: now,
        };
        if self.asked.len() >= MAX_ASKED {
            self.asked.shift_remove_index(0);
        }
        self.asked.insert(number, asked);
        PermitStep::Ask {
            owner,
            question: PermitQuestion {
                vm: self.fleet.own().to_owned(),
                number,
                report: LimitReport::of(place.incarnation, place.failure_domain, observation, now),
                claim,
            },
        }
    }

    /// Takes in what happened and says what to do.
    pub fn handle(&mut self, now: Millis, event: QuotaEvent<'_>) -> Vec<QuotaAction> {
        match event {
            QuotaEvent::Observed(place, observation) => self.hear(now, place, observation),
            QuotaEvent::Reported(report) => self.take_report(now, report).into_iter().collect(),
            QuotaEvent::PermitRequested(question) => self.answer(now, question),
            QuotaEvent::PermitAnswered(answer) => self.settle(now, answer),
            QuotaEvent::TimedOut(number) => self.give_up(number),
        }
    }

    fn hear(
        &mut self,
        now: Millis,
        place: QuotaTarget<'_>,
        observation: LimitObservation,
    ) -> Vec<QuotaAction> {
        let Some(change) = self.limits.note(place.incarnation, observation) else {
            return Vec::new();
        };
        let mut actions = vec![QuotaAction::LogChange(place.incarnation.clone(), change)];
        let told_at = self.told_at.get(place.incarnation);
        if told_at.is_none_or(|at| now.since(*at) >= TELL_PERIOD) {
            self.told_at.insert(place.incarnation.clone(), now);
            let report = LimitReport::of(place.incarnation, place.failure_domain, observation, now);
            actions.push(QuotaAction::Broadcast(report));
        }
        actions
    }

    fn take_report(&mut self, now: Millis, report: &LimitReport) -> Option<QuotaAction> {
        let change = self
            .limits
            .note(&report.incarnation, report.observation(now))?;
        Some(QuotaAction::LogChange(report.incarnation.clone(), change))
    }

    fn answer(&mut self, now: Millis, question: &PermitQuestion) -> Vec<QuotaAction> {
        let report = &question.report;
        let mut actions: Vec<QuotaAction> = self.take_report(now, report).into_iter().collect();
        let place = QuotaTarget {
            incarnation: &report.incarnation,
            failure_domain: &report.failure_domain,
        };
        let is_own =
            self.fleet.owner(place.incarnation, place.failure_domain) == Some(self.fleet.own());
        let verdict = match (self.limits.rate(place.incarnation), is_own) {
            (None, _) => PermitVerdict::Unlimited,
            (Some(rate), true) => self.deal(now, place, rate, question.claim),
            // By a list of VMs that is not this one's; one of the two is old.
            (Some(_), false) => PermitVerdict::Later(SILENT_TIME),
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

    /// Gives out a permit of a quota that this VM owns.
    fn deal(
        &mut self,
        now: Millis,
        place: QuotaTarget<'_>,
        rate: SendRate,
        claim: PermitClaim,
    ) -> PermitVerdict {
        let fleet = &self.fleet;
        let owned = self
            .owned
            .entry(place.incarnation.clone())
            .or_insert_with(|| {
                let opens_at = fleet.owns_from(place.incarnation, place.failure_domain);
                OwnedQuota {
                    failure_domain: place.failure_domain.clone(),
                    allowance: SendAllowance::new(rate, opens_at.max(now)),
                }
            });
        owned.allowance.ask(now, rate, claim)
    }

    fn settle(&mut self, now: Millis, answer: &PermitAnswer) -> Vec<QuotaAction> {
        let Some(asked) = self.asked.shift_remove(&answer.number) else {
            return Vec::new();
        };
        match answer.verdict {
            PermitVerdict::Granted => Vec::new(),
            PermitVerdict::Later(wait) => vec![asked.hold_back(wait)],
            PermitVerdict::Unlimited => {
                let observation = LimitObservation {
                    rate: None,
                    sent_at: asked.asked_at,
                    received_at: now,
                };
                let change = self.limits.note(&asked.incarnation, observation);
                let note = change.map(|change| QuotaAction::LogChange(asked.incarnation, change));
                note.into_iter().collect()
            }
        }
    }

    fn give_up(&mut self, number: u64) -> Vec<QuotaAction> {
        let asked = self.asked.shift_remove(&number);
        let held = asked.map(|asked| asked.hold_back(SILENT_TIME));
        held.into_iter().collect()
    }
}

impl AskedPermit {
    fn hold_back(self, wait: Millis) -> QuotaAction {
        QuotaAction::BackOff {
            incarnation: self.incarnation,
            priority: self.priority,
            wait,
        }
    }
}
