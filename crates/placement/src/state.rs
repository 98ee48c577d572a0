//! State of one entry VM for one fabric domain, which it may coordinate.

mod history;
mod swaps;

use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::advance::{AdvanceContext, DrainProgress, advance};
use crate::event::{PlacementAction, PlacementEvent};
use crate::fence::TermFence;
use crate::options::PlacementOptions;
use crate::orders::due_orders;
use crate::quota::WantedModel;
use crate::record::DomainRecord;
use crate::report::VmOrder;
use crate::views::{ListingState, VmView};

/// A swap whose outcome is not known yet.
#[derive(Clone, Debug)]
struct PendingSwap {
    record: DomainRecord,
    /// When the swap was sent, or when it was given up if its outcome is unknown.
    sent_at: Millis,
    /// Whether the reply was lost, so that a read must settle the outcome.
    is_unknown: bool,
    /// Whether the swap starts a new term.
    is_takeover: bool,
}

/// One entry VM's view of a fabric domain, and the coordination of the domain if the VM leads it.
#[derive(Clone, Debug)]
pub struct PlacementState {
    own_entry: EntryId,
    incarnation: u64,
    fabric: FabricDomain,
    failure_domain: FailureDomain,
    options: PlacementOptions,
    record: Option<DomainRecord>,
    revision: i64,
    /// Whether `record` is known to be current.
    is_record_read: bool,
    fence: TermFence,
    /// Whether this VM should coordinate the fabric domain.
    should_lead: bool,
    views: IndexMap<VmId, VmView>,
    wanted: Option<Vec<WantedModel>>,
    roll: u64,
    may_replace: bool,
    pending_swap: Option<PendingSwap>,
    next_nonce: u64,
    /// The last order to each VM, with the time when it was sent.
    last_orders: IndexMap<VmId, (Millis, VmOrder)>,
    drains: IndexMap<GroupId, DrainProgress>,
    surplus_since: IndexMap<ModelName, Millis>,
    /// When the read was requested that has not been answered.
    read_requested_at: Option<Millis>,
    should_lead_since: Option<Millis>,
    /// The record's term, with the time when it was first seen.
    term_first_seen: Option<(u64, Millis)>,
}

/// How long a VM must have been designated to lead, and the current term must have lasted, before
/// the VM takes over the record.
///
/// Rosters differ between VMs for a moment. Without this delay, two VMs that both consider
/// themselves the leader would take over the record from each other with every message.
const TAKEOVER_HOLD: Millis = Millis(1_500);
/// Number of consecutive reads of the VM list that must lack a VM before it counts as delisted.
const DELIST_AFTER_READS: u32 = 2;
/// Minimum time between two reads of the record.
const READ_PERIOD: Millis = Millis(500);
/// With fewer VMs, no number of unresponsive ones counts as the loss of the fabric domain.
const MIN_STORM_VMS: usize = 4;

impl PlacementState {
    /// Creates the state for a fabric domain that nothing is known about yet.
    pub fn new(
        own_entry: EntryId,
        incarnation: u64,
        fabric: FabricDomain,
        failure_domain: FailureDomain,
        options: PlacementOptions,
    ) -> Self {
        let next_nonce = hash_bytes(format!("{own_entry}/{incarnation}/{fabric}").as_bytes());
        Self {
            own_entry,
            incarnation,
            fabric,
            failure_domain,
            options,
            record: None,
            revision: 0,
            is_record_read: false,
            fence: TermFence::default(),
            should_lead: false,
            views: IndexMap::new(),
            wanted: None,
            roll: 0,
            may_replace: true,
            pending_swap: None,
            next_nonce,
            last_orders: IndexMap::new(),
            drains: IndexMap::new(),
            surplus_since: IndexMap::new(),
            read_requested_at: None,
            should_lead_since: None,
            term_first_seen: None,
        }
    }

    /// Returns the newest known record.
    pub fn record(&self) -> Option<&DomainRecord> {
        self.record.as_ref()
    }

    /// Returns the revision of the newest known record.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Returns what is known about each VM.
    pub fn views(&self) -> &IndexMap<VmId, VmView> {
        &self.views
    }

    /// Whether this VM holds the record's term, as far as it knows.
    pub fn is_coordinator(&self) -> bool {
        self.fence.term().is_some()
    }

    /// Whether so many VMs are unresponsive at once that the fabric domain counts as lost.
    pub fn is_storm(&self, now: Millis) -> bool {
        let listed = self
            .views
            .values()
            .filter(|view| view.listing != ListingState::Delisted);
        let (mut total, mut unresponsive) = (0_usize, 0_usize);
        for view in listed {
            // A VM that has never answered is no evidence of a loss.
            if view.last_report.is_none() {
                continue;
            }
            total += 1;
            let is_dead = view.is_dead(now, &self.options);
            unresponsive += usize::from(is_dead);
        }
        total >= MIN_STORM_VMS && unresponsive as f64 > total as f64 * self.options.storm_share
    }

    /// Handles an event and returns the actions to take.
    pub fn handle(&mut self, now: Millis, event: PlacementEvent) -> Vec<PlacementAction> {
        match event {
            PlacementEvent::Tick => return self.tick(now),
            PlacementEvent::Record {
                record,
                revision,
                started,
            } => self.apply_record(now, record, revision, started),
            PlacementEvent::Swapped { nonce, outcome } => self.apply_swap(now, nonce, &outcome),
            PlacementEvent::Listed(listings) => self.apply_vm_list(now, &listings),
            PlacementEvent::Report { vm, asked, report } => {
                if let Some(view) = self.views.get_mut(&vm) {
                    view.record_report(asked, report);
                }
            }
            PlacementEvent::Unanswered { vm, asked } => {
                if let Some(view) = self.views.get_mut(&vm) {
                    view.record_unanswered(asked);
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
            PlacementEvent::Lead(should_lead) => {
                let since = self
                    .should_lead_since
                    .filter(|_| should_lead && self.should_lead);
                self.should_lead_since = should_lead.then(|| since.unwrap_or(now));
                self.should_lead = should_lead;
            }
            // The effect of an order shows in the next report. The order is not repeated before
            // that report is due.
            PlacementEvent::Ordered { .. } => {}
        }
        Vec::new()
    }

    fn apply_record(
        &mut self,
        now: Millis,
        record: Option<DomainRecord>,
        revision: i64,
        started_at: Millis,
    ) {
        self.read_requested_at = None;
        self.is_record_read = true;
        if revision < self.revision {
            return;
        }
        self.settle_unknown_swap(now, record.as_ref(), revision, started_at);
        self.revision = revision;
        self.record = record;
        let is_own = self.holds_record();
        match (is_own, self.fence.term()) {
            (true, Some(_)) => self.fence.confirm(started_at),
            (true, None) => {}
            (false, _) => self.fence.lose(),
        }
        self.track_phases(now);
    }

    fn context(&self, now: Millis) -> AdvanceContext<'_> {
        AdvanceContext {
            now,
            options: &self.options,
            views: &self.views,
            wanted: self.wanted.as_deref(),
            roll: self.roll,
            may_replace: self.may_replace,
            drains: &self.drains,
            surplus_since: &self.surplus_since,
            handover_until: self.fence.handover_until(),
            is_storm: self.is_storm(now),
        }
    }

    fn tick(&mut self, now: Millis) -> Vec<PlacementAction> {
        if !self.should_lead {
            return Vec::new();
        }
        let mut actions = Vec::new();
        if self.needs_read(now) {
            self.read_requested_at = Some(now);
            actions.push(PlacementAction::Read);
        }
        if !self.is_record_read {
            return actions;
        }
        self.track_surplus(now);
        self.track_drains();
        if self.pending_swap.is_none() {
            actions.extend(self.next_swap(now));
        }
        self.send_orders(now, &mut actions);
        actions
    }

    fn needs_read(&self, now: Millis) -> bool {
        let is_requested = self
            .read_requested_at
            .is_some_and(|requested_at| now.since(requested_at) < READ_PERIOD);
        let is_stale = self
            .fence
            .needs_confirmation(now, self.options.confirm_bound);
        // A read that began before the swap was given up does not settle its outcome.
        let is_unsettled = self
            .pending_swap
            .as_ref()
            .is_some_and(|pending| pending.is_unknown);
        !is_requested && (!self.is_record_read || is_stale || is_unsettled)
    }

    fn may_take_over(&self, now: Millis) -> bool {
        let has_held = |since: Millis| now.since(since) >= TAKEOVER_HOLD;
        match self.record {
            None => true,
            Some(_) => {
                self.should_lead_since.is_some_and(has_held)
                    && self
                        .term_first_seen
                        .is_none_or(|(_, since)| has_held(since))
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
                next.coordinator = self.own_entry.clone();
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
        self.pending_swap = Some(PendingSwap {
            record: next.clone(),
            sent_at: now,
            is_unknown: false,
            is_takeover,
        });
        Some(PlacementAction::Swap {
            record: next,
            expected: self.revision,
        })
    }

    fn send_orders(&mut self, now: Millis, actions: &mut Vec<PlacementAction>) {
        let bound = self.options.confirm_bound;
        let Some(term) = self.fence.active_term(now, bound) else {
            return;
        };
        // A pending swap may be about to change the record that orders are derived from.
        if self.pending_swap.is_some() {
            return;
        }
        let Some(record) = &self.record else {
            return;
        };
        let orders = due_orders(record, &self.context(now), term);
        for (vm, order) in orders {
            let is_in_flight = self.last_orders.get(&vm).is_some_and(|(sent_at, last)| {
                *last == order && now.since(*sent_at) < self.options.order_timeout
            });
            if is_in_flight {
                continue;
            }
            self.last_orders.insert(vm.clone(), (now, order.clone()));
            if let Some(view) = self.views.get_mut(&vm) {
                view.order_in_flight_until = now + self.options.order_timeout;
            }
            actions.push(PlacementAction::Order { vm, order });
        }
    }
}
