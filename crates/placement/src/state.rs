//! One entry VM's part in coordinating one fabric domain.

mod notes;
mod swaps;

use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::advance::{AdvanceContext, DrainTimes, advance};
use crate::event::{PlacementAction, PlacementEvent};
use crate::fence::TermFence;
use crate::options::PlacementOptions;
use crate::orders::due_orders;
use crate::quota::WantedModel;
use crate::record::DomainRecord;
use crate::report::VmOrder;
use crate::views::{ListedState, VmView};

/// A swap that is on its way.
#[derive(Clone, Debug)]
struct PendingSwap {
    record: DomainRecord,
    sent: Millis,
    is_unknown: bool,
    is_takeover: bool,
}

/// One entry VM's view of one fabric domain, and its work if it coordinates it.
#[derive(Clone, Debug)]
pub struct PlacementState {
    me: EntryId,
    incarnation: u64,
    fabric: FabricDomain,
    failure_domain: FailureDomain,
    options: PlacementOptions,
    record: Option<DomainRecord>,
    revision: i64,
    is_read: bool,
    fence: TermFence,
    leads: bool,
    views: IndexMap<VmId, VmView>,
    wanted: Option<Vec<WantedModel>>,
    roll: u64,
    may_replace: bool,
    pending: Option<PendingSwap>,
    next_nonce: u64,
    ordered: IndexMap<VmId, (Millis, VmOrder)>,
    draining_since: IndexMap<GroupId, DrainTimes>,
    surplus_since: IndexMap<ModelName, Millis>,
    read_asked: Option<Millis>,
    leads_since: Option<Millis>,
    term_since: Option<(u64, Millis)>,
}

/// Time a VM must have led, and a term have stood, before the VM takes the record over.
///
/// Rosters differ for moments; without it two VMs that both think they lead take the record from
/// each other with every message.
const TAKEOVER_HOLD: Millis = Millis(1_500);
/// Reads of the VM list in a row that must lack a VM before it counts as gone.
const MISSING_LOOKS: u32 = 2;
/// Time between two reads of a record that is wanted anew.
const READ_PERIOD: Millis = Millis(500);
/// VMs below which silence of many at once is not taken for the loss of the fabric domain.
const STORM_FLOOR: usize = 4;

impl PlacementState {
    /// A view of a fabric domain of which nothing is known yet.
    pub fn new(
        me: EntryId,
        incarnation: u64,
        fabric: FabricDomain,
        failure_domain: FailureDomain,
        options: PlacementOptions,
    ) -> Self {
        let next_nonce = hash_bytes(format!("{me}/{incarnation}/{fabric}").as_bytes());
        Self {
            me,
            incarnation,
            fabric,
            failure_domain,
            options,
            record: None,
            revision: 0,
            is_read: false,
            fence: TermFence::default(),
            leads: false,
            views: IndexMap::new(),
            wanted: None,
            roll: 0,
            may_replace: true,
            pending: None,
            next_nonce,
            ordered: IndexMap::new(),
            draining_since: IndexMap::new(),
            surplus_since: IndexMap::new(),
            read_asked: None,
            leads_since: None,
            term_since: None,
        }
    }

    /// The newest record known, if any.
    pub fn record(&self) -> Option<&DomainRecord> {
        self.record.as_ref()
    }

    /// The revision of that record.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// What is known of each VM.
    pub fn views(&self) -> &IndexMap<VmId, VmView> {
        &self.views
    }

    /// Whether this VM holds the record's term, as far as it knows.
    pub fn is_coordinator(&self) -> bool {
        self.fence.term().is_some()
    }

    /// Whether so much of the fabric domain is silent at once that it counts as lost.
    pub fn is_storm(&self, now: Millis) -> bool {
        let listed = self
            .views
            .values()
            .filter(|view| view.listed != ListedState::Gone);
        let (mut all, mut silent) = (0_usize, 0_usize);
        for view in listed {
            // A VM that was never heard says nothing about a loss.
            if view.report.is_none() {
                continue;
            }
            all += 1;
            let is_dead = view.is_dead(now, &self.options);
            silent += usize::from(is_dead);
        }
        all >= STORM_FLOOR && silent as f64 > all as f64 * self.options.storm_share
    }

    /// Takes one event and says what to do.
    pub fn handle(&mut self, now: Millis, event: PlacementEvent) -> Vec<PlacementAction> {
        match event {
            PlacementEvent::Tick => return self.tick(now),
            PlacementEvent::Record {
                record,
                revision,
                started,
            } => self.take_record(now, record, revision, started),
            PlacementEvent::Swapped { nonce, outcome } => self.take_swap(now, nonce, &outcome),
            PlacementEvent::Listed(listings) => self.take_list(now, &listings),
            PlacementEvent::Report { vm, asked, report } => {
                if let Some(view) = self.views.get_mut(&vm) {
                    view.note_report(asked, report);
                }
            }
            PlacementEvent::Unanswered { vm, asked } => {
                if let Some(view) = self.views.get_mut(&vm) {
                    view.note_silence(asked);
                }
            }
            PlacementEvent::Wanted {
                roll,
                models,
                may_replace,
            } => {
                if roll >= self.roll {
                    self.roll = roll;
                    self.wanted = Some(models);
                    self.may_replace = may_replace;
                }
            }
            PlacementEvent::Lead(leads) => {
                let since = self.leads_since.filter(|_| leads && self.leads);
                self.leads_since = leads.then(|| since.unwrap_or(now));
                self.leads = leads;
            }
            // What an order did shows in the next report; until that is due it is not repeated.
            PlacementEvent::Ordered { .. } => {}
        }
        Vec::new()
    }

    fn take_record(
        &mut self,
        now: Millis,
        record: Option<DomainRecord>,
        revision: i64,
        started: Millis,
    ) {
        self.read_asked = None;
        self.is_read = true;
        if revision < self.revision {
            return;
        }
        self.settle_unknown(now, record.as_ref(), revision, started);
        self.revision = revision;
        self.record = record;
        let is_mine = self.holds_record();
        match (is_mine, self.fence.term()) {
            (true, Some(_)) => self.fence.confirm(started),
            (true, None) => {}
            (false, _) => self.fence.lose(),
        }
        self.note_phases(now);
    }

    fn context(&self, now: Millis) -> AdvanceContext<'_> {
        AdvanceContext {
            now,
            options: &self.options,
            views: &self.views,
            wanted: self.wanted.as_deref(),
            roll: self.roll,
            may_replace: self.may_replace,
            draining_since: &self.draining_since,
            surplus_since: &self.surplus_since,
            quiet_until: self.fence.quiet_until(),
            is_storm: self.is_storm(now),
        }
    }

    fn tick(&mut self, now: Millis) -> Vec<PlacementAction> {
        if !self.leads {
            return Vec::new();
        }
        let mut actions = Vec::new();
        if self.wants_read(now) {
            self.read_asked = Some(now);
            actions.push(PlacementAction::Read);
        }
        if !self.is_read {
            return actions;
        }
        self.note_surplus(now);
        self.note_drains();
        if self.pending.is_none() {
            actions.extend(self.next_swap(now));
        }
        self.give_orders(now, &mut actions);
        actions
    }

    fn wants_read(&self, now: Millis) -> bool {
        let is_asked = self
            .read_asked
            .is_some_and(|asked| now.since(asked) < READ_PERIOD);
        let is_stale = self
            .fence
            .wants_confirmation(now, self.options.confirm_bound);
        // A read that began before the swap was given up settles nothing.
        let is_unsettled = self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.is_unknown);
        !is_asked && (!self.is_read || is_stale || is_unsettled)
    }

    fn may_take_over(&self, now: Millis) -> bool {
        let has_stood = |since: Millis| now.since(since) >= TAKEOVER_HOLD;
        match self.record {
            None => true,
            Some(_) => {
                self.leads_since.is_some_and(has_stood)
                    && self.term_since.is_none_or(|(_, since)| has_stood(since))
            }
        }
    }

    fn next_swap(&mut self, now: Millis) -> Option<PlacementAction> {
        let (mut next, is_takeover) = match &self.record {
            Some(record) if self.fence.term().is_some() => {
                let next = advance(record, &self.context(now));
                if next == *record {
                    return None;
                }
                (next, false)
            }
            current => {
                if !self.may_take_over(now) {
                    return None;
                }
                let empty =
                    || DomainRecord::empty(self.fabric.clone(), self.failure_domain.clone());
                let mut next = current.clone().unwrap_or_else(empty);
                next.term += 1;
                next.coordinator = self.me.clone();
                next.incarnation = self.incarnation;
                (next, true)
            }
        };
        self.next_nonce = self.next_nonce.wrapping_add(1);
        next.nonce = self.next_nonce;
        let problem = next.problem();
        Invariant::WholeGroup.check(problem.is_none(), || problem.clone().unwrap_or_default());
        if problem.is_some() {
            return None;
        }
        self.pending = Some(PendingSwap {
            record: next.clone(),
            sent: now,
            is_unknown: false,
            is_takeover,
        });
        Some(PlacementAction::Swap {
            record: next,
            expected: self.revision,
        })
    }

    fn give_orders(&mut self, now: Millis, actions: &mut Vec<PlacementAction>) {
        let bound = self.options.confirm_bound;
        let Some(term) = self.fence.may_order(now, bound) else {
            return;
        };
        // While a swap is on its way, the record may be about to say something else.
        if self.pending.is_some() {
            return;
        }
        let Some(record) = &self.record else {
            return;
        };
        let orders = due_orders(record, &self.context(now), term);
        for (vm, order) in orders {
            let is_waiting = self.ordered.get(&vm).is_some_and(|(sent, before)| {
                *before == order && now.since(*sent) < self.options.order_timeout
            });
            if is_waiting {
                continue;
            }
            self.ordered.insert(vm.clone(), (now, order.clone()));
            if let Some(view) = self.views.get_mut(&vm) {
                view.ordered_until = now + self.options.order_timeout;
            }
            actions.push(PlacementAction::Order { vm, order });
        }
    }
}
