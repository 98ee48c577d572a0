//! State of one entry VM: what it knows of cold upstreams, the permits it grants and those it waits
//! for.

use bergamot_quota::QuotaFleet;
use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};

use crate::cold::{ColdSource, ColdSpan, ColdTable, ColdTarget};
use crate::event::{ColdClaim, ColdStep, WarmUpAction, WarmUpEvent};
use crate::message::{ColdAnswer, ColdQuestion, ColdVerdict};
use crate::silence::{SILENCE_TIME, SilentOwners};
use crate::supply::{GRANT_SPAN, PermitPace, PermitSupply};

/// How long to wait for the owner's answer: two datagrams, and a busy process on an eighth of a
/// core.
pub const ANSWER_TIMEOUT: Millis = Millis(50);
/// Age of the confirmation of an owner's list of entry VMs from which on it grants nothing.
const MAX_LIST_AGE: Millis = Millis(2_500);
/// Time from a change of the list to the first grant of a new owner. The previous owner may grant
/// until its list is [`MAX_LIST_AGE`] old. The rest covers the time between the confirmation of a
/// list on one thread of that owner and its use on another.
const OWNER_WAIT: Millis = Millis(2_700);
/// Longest time between two confirmations after which an owner still grants at once. The list may
/// have named another owner for the time in between.
const MAX_CONFIRM_GAP: Millis = Millis(2_000);
/// Wait stated to a VM that asks for an upstream that the owner does not know yet: the period at
/// which VMs ask for store updates.
const UNKNOWN_UPSTREAM_WAIT: Millis = Millis(250);
/// How long an unused supply of permits is kept after the upstream has become warm.
const SUPPLY_RETENTION: Millis = Millis(5_000);
/// Maximum number of pending questions.
const MAX_PENDING_QUESTIONS: usize = 1_024;

/// A question that the owner has not answered yet.
#[derive(Clone, Debug)]
struct PendingQuestion {
    incarnation: UpstreamIncarnation,
    failure_domain: FailureDomain,
    owner: String,
    priority: u8,
    /// When the upstream is warm, so that its gate is not closed for longer.
    cold_until: Millis,
}

/// The warm-up state of one entry VM.
#[derive(Debug)]
pub struct WarmUpState {
    fleet: QuotaFleet,
    table: ColdTable,
    /// Upstreams that were logged as cold.
    logged_cold: IndexSet<UpstreamIncarnation>,
    supplies: IndexMap<UpstreamIncarnation, PermitSupply>,
    pending_questions: IndexMap<u64, PendingQuestion>,
    silent_owners: SilentOwners,
    /// When the list of entry VMs was last confirmed.
    confirmed_at: Millis,
    /// When the list was confirmed after a time in which other VMs may have owned permits.
    regained_at: Millis,
    next_number: u64,
}

impl WarmUpState {
    /// Creates the state of the VM named `own_vm`, which numbers its questions from `first_number`.
    /// The number must differ at each start, so that an answer to an earlier process of this VM is
    /// not mistaken for one to this process.
    pub fn new(own_vm: String, first_number: u64) -> Self {
        Self {
            fleet: QuotaFleet::with_stale_timeout(own_vm, OWNER_WAIT + GRANT_SPAN),
            table: ColdTable::default(),
            logged_cold: IndexSet::new(),
            supplies: IndexMap::new(),
            pending_questions: IndexMap::new(),
            silent_owners: SilentOwners::default(),
            confirmed_at: Millis::ZERO,
            regained_at: Millis::ZERO,
            next_number: first_number,
        }
    }

    /// Replaces the list of entry VMs, by failure domain.
    pub fn set_vms<Vms>(&mut self, now: Millis, vms: Vms)
    where
        Vms: IntoIterator<Item = (FailureDomain, String)>,
    {
        self.fleet.set_vms(now, vms);
        let fleet = &self.fleet;
        self.supplies.retain(|incarnation, supply| {
            fleet.domain_owner(incarnation, supply.failure_domain()) == Some(fleet.own_vm())
        });
    }

    /// Returns the cold time of an upstream.
    pub fn span(&self, target: &ColdTarget<'_>) -> ColdSpan {
        self.table.span(target)
    }

    /// Returns the number of upstreams that were last seen to be cold.
    pub fn cold_count(&self) -> usize {
        self.logged_cold.len()
    }

    /// Compares which upstreams are cold with what was logged, and drops the state of upstreams
    /// that are not in `targets`. The actions log the changes, the upstreams that became warm first:
    /// lines do not tell incarnations apart, and the last one about an upstream must be that of its
    /// new incarnation.
    pub fn review<'a, Targets>(&mut self, now: Millis, targets: Targets) -> Vec<WarmUpAction>
    where
        Targets: IntoIterator<Item = ColdTarget<'a>>,
    {
        let (mut warm_actions, mut cold_actions) = (Vec::new(), Vec::new());
        let mut cold: IndexSet<&UpstreamIncarnation> = IndexSet::new();
        let mut answered: IndexSet<&UpstreamIncarnation> = IndexSet::new();
        for target in targets {
            if self.table.has_answer(target.incarnation) {
                answered.insert(target.incarnation);
            }
            let span = self.table.span(&target);
            if !span.is_cold(now) {
                continue;
            }
            cold.insert(target.incarnation);
            if !self.logged_cold.contains(target.incarnation) {
                let incarnation = target.incarnation.clone();
                if has_been_warm(&target, span, now) {
                    // Requests without permits may be on their way, so saved permits do not count.
                    self.supplies.swap_remove(&incarnation);
                }
                self.logged_cold.insert(incarnation.clone());
                cold_actions.push(WarmUpAction::LogCold(incarnation, span));
            }
        }
        self.logged_cold.retain(|incarnation| {
            let is_cold = cold.contains(incarnation);
            if !is_cold {
                warm_actions.push(WarmUpAction::LogWarm(incarnation.clone()));
            }
            is_cold
        });
        self.supplies.retain(|incarnation, supply| {
            cold.contains(incarnation) || supply.idle_time(now) < SUPPLY_RETENTION
        });
        self.table
            .retain(now, |incarnation| answered.contains(incarnation));
        warm_actions.append(&mut cold_actions);
        warm_actions
    }

    /// Returns how a request to an upstream gets its permit.
    pub fn request_permit(
        &mut self,
        now: Millis,
        target: ColdTarget<'_>,
        claim: ColdClaim,
    ) -> ColdStep {
        let span = self.table.span(&target);
        if !span.is_cold(now) {
            return ColdStep::NotNeeded;
        }
        let cold_left = span.until.since(now);
        let (incarnation, failure_domain) = (target.incarnation, target.failure_domain);
        let Some(owner) = self.fleet.domain_owner(incarnation, failure_domain) else {
            return ColdStep::NoOwner(SILENCE_TIME.min(cold_left));
        };
        if owner == self.fleet.own_vm() {
            return match self.grant_permit(now, target) {
                ColdVerdict::Granted => ColdStep::Granted,
                ColdVerdict::Later(wait) => ColdStep::Later(wait.min(cold_left)),
            };
        }
        let silent_until = self.silent_owners.silent_until(now, owner, failure_domain);
        if let Some(until) = silent_until {
            return ColdStep::Later(until.since(now).min(cold_left));
        }
        if !claim.may_ask {
            return ColdStep::NotAsked;
        }
        let pending = PendingQuestion {
            incarnation: incarnation.clone(),
            failure_domain: failure_domain.clone(),
            owner: owner.to_owned(),
            priority: claim.priority,
            cold_until: span.until,
        };
        self.ask(pending)
    }

    fn ask(&mut self, pending: PendingQuestion) -> ColdStep {
        let number = self.next_number;
        self.next_number = number.wrapping_add(1);
        let owner = pending.owner.clone();
        let question = ColdQuestion {
            vm: self.fleet.own_vm().to_owned(),
            number,
            incarnation: pending.incarnation.clone(),
        };
        if self.pending_questions.len() >= MAX_PENDING_QUESTIONS {
            self.pending_questions.shift_remove_index(0);
        }
        self.pending_questions.insert(number, pending);
        ColdStep::Ask { owner, question }
    }

    /// Handles an event and returns the actions to take.
    pub fn handle(&mut self, now: Millis, event: WarmUpEvent<'_>) -> Vec<WarmUpAction> {
        match event {
            WarmUpEvent::Answered(target, cold_left) => {
                self.table.record_answer(now, &target, cold_left);
                Vec::new()
            }
            WarmUpEvent::EvacuationEnded(ended) => {
                self.table.record_ended(ended);
                Vec::new()
            }
            WarmUpEvent::ListConfirmed(confirmed_at) => {
                self.confirm_list(now, confirmed_at);
                Vec::new()
            }
            WarmUpEvent::PermitRequested(question, target) => {
                vec![self.answer_question(now, question, target)]
            }
            WarmUpEvent::PermitAnswered(answer) => self.resolve_question(now, *answer),
            WarmUpEvent::TimedOut(number) => self.expire_question(now, number),
        }
    }

    fn confirm_list(&mut self, now: Millis, confirmed_at: Millis) {
        if confirmed_at.since(self.confirmed_at) > MAX_CONFIRM_GAP {
            self.regained_at = now;
            self.supplies.clear();
        }
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
    }

    fn answer_question(
        &mut self,
        now: Millis,
        question: &ColdQuestion,
        target: Option<ColdTarget<'_>>,
    ) -> WarmUpAction {
        let known_target = target.filter(|target| *target.incarnation == question.incarnation);
        let verdict = match known_target {
            None => ColdVerdict::Later(UNKNOWN_UPSTREAM_WAIT),
            Some(target) => self.grant_permit(now, target),
        };
        WarmUpAction::Answer {
            vm: question.vm.clone(),
            answer: ColdAnswer {
                number: question.number,
                verdict,
            },
        }
    }

    /// Grants or defers a permit, also for an upstream that this VM believes to be warm: the VM
    /// that asks may have heard of a later cold time.
    fn grant_permit(&mut self, now: Millis, target: ColdTarget<'_>) -> ColdVerdict {
        let owner = self
            .fleet
            .domain_owner(target.incarnation, target.failure_domain);
        let is_list_fresh = now.since(self.confirmed_at) < MAX_LIST_AGE;
        if owner != Some(self.fleet.own_vm()) || !is_list_fresh {
            return ColdVerdict::Later(SILENCE_TIME);
        }
        let Some(pace) = PermitPace::new(target.spec.rate, target.bounds) else {
            return ColdVerdict::Later(SILENCE_TIME);
        };
        let owned_since = self.owned_since(&target);
        let span = self.table.span(&target);
        let was_warm = has_been_warm(&target, span, now);
        let supply = self
            .supplies
            .entry(target.incarnation.clone())
            .or_insert_with(|| {
                let opens_at = owned_since + OWNER_WAIT;
                let is_new_owner = now < opens_at + GRANT_SPAN;
                let failure_domain = target.failure_domain.clone();
                match was_warm || is_new_owner {
                    true => PermitSupply::empty(failure_domain, pace, opens_at.max(now)),
                    false => PermitSupply::with_permit(failure_domain, pace, now),
                }
            });
        match supply.take(now, pace) {
            Ok(()) => ColdVerdict::Granted,
            Err(wait) => ColdVerdict::Later(wait),
        }
    }

    /// Returns since when no other VM can have become the owner of an upstream's permits. Zero if
    /// that is too long ago to matter.
    fn owned_since(&self, target: &ColdTarget<'_>) -> Millis {
        let undisputed_at = self
            .fleet
            .grants_from(target.incarnation, target.failure_domain);
        let listed_at = undisputed_at.since(OWNER_WAIT + GRANT_SPAN);
        listed_at.max(self.regained_at)
    }

    fn resolve_question(&mut self, now: Millis, answer: ColdAnswer) -> Vec<WarmUpAction> {
        let Some(pending) = self.pending_questions.shift_remove(&answer.number) else {
            return Vec::new();
        };
        self.silent_owners.forget(&pending.owner);
        let resolve = WarmUpAction::Resolve(answer);
        match answer.verdict {
            ColdVerdict::Granted => vec![resolve],
            ColdVerdict::Later(wait) => {
                vec![pending.back_off(now, wait), resolve]
            }
        }
    }

    fn expire_question(&mut self, now: Millis, number: u64) -> Vec<WarmUpAction> {
        let Some(pending) = self.pending_questions.shift_remove(&number) else {
            return Vec::new();
        };
        let (owner, failure_domain) = (pending.owner.clone(), pending.failure_domain.clone());
        self.silent_owners.record(now, owner, failure_domain);
        vec![pending.back_off(now, SILENCE_TIME)]
    }
}

/// Whether an upstream was warm before its cold time, or is warm to this VM's knowledge.
fn has_been_warm(target: &ColdTarget<'_>, span: ColdSpan, now: Millis) -> bool {
    target.entry.was_warm || span.source != ColdSource::Entry || !span.is_cold(now)
}

impl PendingQuestion {
    /// Returns the action that closes the upstream's gate, at most until the upstream is warm.
    fn back_off(self, now: Millis, wait: Millis) -> WarmUpAction {
        let wait = wait.min(self.cold_until.since(now)).max(Millis(1));
        WarmUpAction::BackOff {
            incarnation: self.incarnation,
            priority: self.priority,
            wait,
        }
    }
}
