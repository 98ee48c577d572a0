//! Who tells whom, and what is known of the others.

use bergamot_feed::PeerDescriptor;
use bergamot_peer::{LoadNotice, LoadScope};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::counts::{LeaderCounts, LeaderLoad};

/// Time between two notices. A leader of a busy model gets 10 to 15 requests a second, so that one or two
/// come between what happens and what is known of it.
pub const TELL_PERIOD: Millis = Millis(50);
/// Time for which what a VM or a collector told counts: a few lost datagrams.
const TOLD_TIME: Millis = Millis(300);
/// Time without an answer after which a collector is given up.
const ANSWER_TIME: Millis = Millis(200);
/// Time for which it is left alone then.
const AVOIDANCE: Millis = Millis(1_500);

/// Something that happened.
#[derive(Clone, Debug)]
pub enum OccupancyEvent<'a> {
    /// A period is over; what is in flight from here now.
    Tick(LeaderCounts),
    /// A notice came from a peer.
    Received(&'a LoadNotice),
}

/// A notice to be sent.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct OccupancyAction {
    /// The entry VM that it is for.
    pub vm: String,
    /// What it is told.
    pub notice: LoadNotice,
}

/// Counts, and when they were told.
#[derive(Clone, Debug)]
struct ToldCounts {
    /// Who told them.
    vm: String,
    counts: LeaderCounts,
    at: Millis,
}

impl ToldCounts {
    fn is_fresh(&self, now: Millis) -> bool {
        now.since(self.at) < TOLD_TIME
    }
}

/// What one entry VM knows of requests in flight from the others.
#[derive(Debug)]
pub struct OccupancyState {
    own: PeerDescriptor,
    /// The VMs of each failure domain in the order in which they collect, this one among them.
    ranked: IndexMap<FailureDomain, Vec<String>>,
    /// In flight from here, as of the last period.
    in_flight: LeaderCounts,
    /// What VMs told this one as their collector, by VM.
    members: IndexMap<String, ToldCounts>,
    /// Sums of the other failure domains.
    domains: IndexMap<FailureDomain, ToldCounts>,
    /// What the collector told of all others.
    others: Option<ToldCounts>,
    /// Where this VM collects: what it and all that told it have in flight. Kept, as working it out for each answer
    /// would cost the square of the VMs.
    whole: LeaderCounts,
    /// When that was last worked out anew.
    whole_at: Millis,
    /// Since when the collector owes an answer.
    asked_at: Option<Millis>,
    /// VMs that did not answer, and until when they are left alone.
    avoided: IndexMap<String, Millis>,
}

impl OccupancyState {
    /// The state of an entry VM that knows of no other.
    pub fn new(own: PeerDescriptor) -> Self {
        Self {
            ranked: IndexMap::new(),
            in_flight: LeaderCounts::default(),
            members: IndexMap::new(),
            domains: IndexMap::new(),
            others: None,
            whole: LeaderCounts::default(),
            whole_at: Millis::ZERO,
            asked_at: None,
            avoided: IndexMap::new(),
            own,
        }
    }

    /// Takes over which entry VMs there are. Those with the most processor collect.
    pub fn set_peers<Peers>(&mut self, peers: Peers)
    where
        Peers: IntoIterator<Item = PeerDescriptor>,
    {
        let others = peers.into_iter().filter(|it| it.vm != self.own.vm);
        let mut places: Vec<PeerDescriptor> = others.collect();
        places.push(self.own.clone());
        places.sort_by_cached_key(|it| std::cmp::Reverse(it.rank_key()));
        self.ranked.clear();
        for place in places {
            let vms = self.ranked.entry(place.failure_domain).or_default();
            vms.push(place.vm);
        }
    }

    /// Takes in what happened and says what to send.
    pub fn handle(&mut self, now: Millis, event: OccupancyEvent<'_>) -> Vec<OccupancyAction> {
        match event {
            OccupancyEvent::Tick(in_flight) => {
                self.in_flight = in_flight;
                self.tick(now)
            }
            OccupancyEvent::Received(notice) => self.receive(now, notice),
        }
    }

    /// Whether other VMs have this one collect for them.
    pub fn is_asked(&self) -> bool {
        !self.members.is_empty()
    }

    /// Whether it is known what the other VMs have in flight.
    pub fn is_known(&self, now: Millis) -> bool {
        let is_told = self.others.as_ref().is_some_and(|told| told.is_fresh(now));
        is_told || self.collector(now).is_none()
    }

    /// What the other VMs have in flight at a leader, as far as known.
    pub fn others_at(&self, leader: u32, now: Millis) -> LeaderLoad {
        if let Some(told) = self.others.as_ref().filter(|told| told.is_fresh(now)) {
            return told.counts.get(leader);
        }
        match now.since(self.whole_at) < TOLD_TIME {
            true => self.whole.get(leader).minus(self.in_flight.get(leader)),
            false => LeaderLoad::default(),
        }
    }

    /// The VM that collects for this one; none where it collects itself.
    pub(crate) fn collector(&self, now: Millis) -> Option<&str> {
        let vms = self.ranked.get(&self.own.failure_domain)?;
        let is_avoided = |vm: &str| self.avoided.get(vm).is_some_and(|until| *until > now);
        let first = vms.iter().find(|vm| !is_avoided(vm))?;
        (*first != self.own.vm).then_some(first.as_str())
    }

    fn tick(&mut self, now: Millis) -> Vec<OccupancyAction> {
        self.give_up_silent(now);
        self.add_up(now);
        let Some(collector) = self.collector(now).map(str::to_owned) else {
            self.others = None;
            return self.tell_domains();
        };
        self.asked_at.get_or_insert(now);
        let notice = self.notice(LoadScope::Vm, &self.in_flight);
        let action = OccupancyAction {
            vm: collector,
            notice,
        };
        vec![action]
    }

    /// Leaves a collector alone that owes an answer for too long.
    fn give_up_silent(&mut self, now: Millis) {
        let is_overdue = |at: Millis| now.since(at) >= ANSWER_TIME;
        if !self.asked_at.is_some_and(is_overdue) {
            return;
        }
        self.asked_at = None;
        self.avoided.retain(|_, until| *until > now);
        if let Some(silent) = self.collector(now).map(str::to_owned) {
            self.avoided.insert(silent, now + AVOIDANCE);
        }
    }

    /// Works out what all have in flight.
    fn add_up(&mut self, now: Millis) {
        self.members.retain(|_, told| told.is_fresh(now));
        self.domains.retain(|_, told| told.is_fresh(now));
        self.whole = self.in_flight.clone();
        for told in self.members.values().chain(self.domains.values()) {
            self.whole.add_all(&told.counts);
        }
        self.whole_at = now;
    }

    /// Tells the collectors of the other failure domains the sum of this one.
    fn tell_domains(&self) -> Vec<OccupancyAction> {
        let mut sum = self.whole.clone();
        for told in self.domains.values() {
            sum.remove_all(&told.counts);
        }
        self.other_collectors()
            .map(|vm| OccupancyAction {
                vm: vm.clone(),
                notice: self.notice(LoadScope::FailureDomain, &sum),
            })
            .collect()
    }

    /// The collectors of the other failure domains, as far as known.
    pub(crate) fn other_collectors(&self) -> impl Iterator<Item = &String> {
        let others = self.ranked.iter();
        let others = others.filter(|(domain, _)| **domain != self.own.failure_domain);
        others.filter_map(|(domain, vms)| {
            let told = self.domains.get(domain);
            told.map(|told| &told.vm).or(vms.first())
        })
    }

    /// The VMs of this failure domain.
    pub(crate) fn near(&self) -> &[String] {
        let vms = self.ranked.get(&self.own.failure_domain);
        vms.map_or(&[], Vec::as_slice)
    }

    /// This VM's name.
    pub(crate) fn own_vm(&self) -> &str {
        &self.own.vm
    }

    fn receive(&mut self, now: Millis, notice: &LoadNotice) -> Vec<OccupancyAction> {
        let told = ToldCounts {
            vm: notice.vm.clone(),
            counts: LeaderCounts::from(notice.counts.as_slice()),
            at: now,
        };
        match notice.scope {
            LoadScope::Vm => vec![self.take_member(now, told)],
            LoadScope::FailureDomain => {
                self.take_domain(&notice.failure_domain, told);
                Vec::new()
            }
            LoadScope::Others => {
                self.asked_at = None;
                self.others = Some(told);
                Vec::new()
            }
        }
    }

    /// Takes over what a VM tells this one as its collector, and tells it what all but itself have in flight.
    fn take_member(&mut self, now: Millis, told: ToldCounts) -> OccupancyAction {
        let vm = told.vm.clone();
        if now.since(self.whole_at) >= TOLD_TIME {
            self.add_up(now);
        }
        let mut others = self.whole.clone();
        if let Some(before) = self.members.get(&vm) {
            others.remove_all(&before.counts);
        }
        self.whole = others.clone();
        self.whole.add_all(&told.counts);
        self.members.insert(vm.clone(), told);
        OccupancyAction {
            vm,
            notice: self.notice(LoadScope::Others, &others),
        }
    }

    /// Takes over the sum of another failure domain.
    fn take_domain(&mut self, domain: &FailureDomain, told: ToldCounts) {
        if *domain == self.own.failure_domain {
            return;
        }
        if let Some(before) = self.domains.get(domain) {
            self.whole.remove_all(&before.counts);
        }
        self.whole.add_all(&told.counts);
        self.domains.insert(domain.clone(), told);
    }

    fn notice(&self, scope: LoadScope, counts: &LeaderCounts) -> LoadNotice {
        LoadNotice {
            vm: self.own.vm.clone(),
            failure_domain: self.own.failure_domain.clone(),
            scope,
            counts: counts.to_wire(),
        }
    }
}
