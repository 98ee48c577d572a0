//! State of one entry VM: the collector it reports to, and the load that other VMs reported.

use bergamot_feed::PeerDescriptor;
use bergamot_peer::{LeaderCount, LoadNotice, LoadScope, MAX_LEADER_COUNTS};
use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};

use crate::counts::{LeaderCounts, LeaderLoad};
use crate::domain::DomainReport;

/// Time between two load reports. A leader of a busy model gets 10 to 15 requests a second, so it
/// gets one or two before other VMs know of a request.
pub const LOAD_REPORT_PERIOD: Millis = Millis(50);
/// How long reported counts are valid. Covers the loss of a few datagrams.
pub(crate) const REPORT_VALIDITY: Millis = Millis(300);
/// How long a collector may leave a report unanswered before another VM is used.
const COLLECTOR_TIMEOUT: Millis = Millis(200);
/// How long a collector that timed out is not used.
const COLLECTOR_BACKOFF: Millis = Millis(1_500);

/// An input of [`OccupancyState`].
#[derive(Clone, Debug)]
pub enum OccupancyEvent<'a> {
    /// A report period has passed. Carries the requests in flight from this VM now.
    Tick(LeaderCounts),
    /// A load report arrived from a peer.
    Received(&'a LoadNotice),
}

/// A load report to send.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct OccupancyAction {
    /// The entry VM that receives the report.
    pub vm: String,
    /// The report.
    pub report: LoadNotice,
}

/// Counts that a VM reported.
#[derive(Clone, Debug)]
struct ReportedCounts {
    /// The VM that sent the report.
    vm: String,
    counts: LeaderCounts,
    received_at: Millis,
}

impl ReportedCounts {
    fn is_fresh(&self, now: Millis) -> bool {
        now.since(self.received_at) < REPORT_VALIDITY
    }
}

/// What one entry VM knows about the requests that the others have in flight.
#[derive(Debug)]
pub struct OccupancyState {
    own: PeerDescriptor,
    /// The VMs of each failure domain, this one included, in the order in which they become
    /// collector.
    collector_ranking: IndexMap<FailureDomain, Vec<String>>,
    /// Whether this VM is in the list of entry VMs that it knows.
    is_listed: bool,
    /// Requests in flight from this VM as of the last period.
    in_flight: LeaderCounts,
    /// Leaders that this VM sends to; empty if it sends to all.
    used_leaders: IndexSet<u32>,
    /// Leaders in the sum that this VM last reported to other failure domains.
    reported_leaders: IndexSet<u32>,
    /// Counts that VMs reported to this one as their collector, by VM.
    member_reports: IndexMap<String, ReportedCounts>,
    /// Sums that collectors of the other failure domains reported, by VM. While VMs know different
    /// lists of entry VMs, a domain may have two collectors, each with the reports of other VMs.
    domain_reports: IndexMap<String, DomainReport>,
    /// The sum over all other VMs, as the collector reported it.
    others_report: Option<ReportedCounts>,
    /// On a collector: the sum of its own requests in flight and all reported ones. Cached, as
    /// summing anew for each reply would be quadratic in the number of VMs.
    fleet_total: LeaderCounts,
    /// When `fleet_total` was last summed anew.
    fleet_total_at: Millis,
    /// When the oldest report was sent that the collector has not answered.
    unanswered_since: Option<Millis>,
    /// VMs that did not answer, with the end of their backoff.
    backoff_until: IndexMap<String, Millis>,
}

impl OccupancyState {
    /// Creates the state of an entry VM that knows no other VM.
    pub fn new(own: PeerDescriptor) -> Self {
        Self {
            collector_ranking: IndexMap::new(),
            is_listed: true,
            in_flight: LeaderCounts::default(),
            used_leaders: IndexSet::new(),
            reported_leaders: IndexSet::new(),
            member_reports: IndexMap::new(),
            domain_reports: IndexMap::new(),
            others_report: None,
            fleet_total: LeaderCounts::default(),
            fleet_total_at: Millis::ZERO,
            unanswered_since: None,
            backoff_until: IndexMap::new(),
            own,
        }
    }

    /// Replaces the set of known entry VMs. The VM with the most CPU in each failure domain becomes
    /// its collector.
    ///
    /// If this VM is not among them, it is the last to become collector, unless others report to it:
    /// one that lost its key in a partition, and acted as collector with its own requests alone, hid
    /// the sum of 20 VMs from the other failure domains.
    pub fn set_peers<Peers>(&mut self, peers: Peers)
    where
        Peers: IntoIterator<Item = PeerDescriptor>,
    {
        let mut ranked_peers: Vec<PeerDescriptor> = peers.into_iter().collect();
        self.is_listed = ranked_peers.iter().any(|peer| peer.vm == self.own.vm);
        ranked_peers.sort_by_cached_key(|peer| std::cmp::Reverse(peer.rank_key()));
        if !self.is_listed {
            ranked_peers.push(self.own.clone());
        }
        self.collector_ranking.clear();
        for peer in ranked_peers {
            let vms = self
                .collector_ranking
                .entry(peer.failure_domain)
                .or_default();
            vms.push(peer.vm);
        }
    }

    /// Sets the leaders that this VM sends to, none if it sends to all. What others have in flight at
    /// these is asked for.
    pub fn set_used_leaders<Leaders>(&mut self, leaders: Leaders)
    where
        Leaders: IntoIterator<Item = u32>,
    {
        self.used_leaders = leaders.into_iter().take(MAX_LEADER_COUNTS).collect();
    }

    /// Handles an event and returns the reports to send.
    pub fn handle(&mut self, now: Millis, event: OccupancyEvent<'_>) -> Vec<OccupancyAction> {
        match event {
            OccupancyEvent::Tick(in_flight) => {
                self.in_flight = in_flight;
                self.tick(now)
            }
            OccupancyEvent::Received(report) => self.receive(now, report),
        }
    }

    /// Whether other VMs use this one as their collector.
    pub fn is_collector(&self) -> bool {
        !self.member_reports.is_empty()
    }

    /// Whether the load of the other VMs is known.
    pub fn is_remote_load_known(&self, now: Millis) -> bool {
        let has_fresh_report = self
            .others_report
            .as_ref()
            .is_some_and(|reported| reported.is_fresh(now));
        has_fresh_report || self.collector(now).is_none()
    }

    /// Returns the load that the other VMs have in flight at a leader, as far as known.
    pub fn remote_load_at(&self, leader: u32, now: Millis) -> LeaderLoad {
        if let Some(reported) = self
            .others_report
            .as_ref()
            .filter(|reported| reported.is_fresh(now))
        {
            return reported.counts.get(leader);
        }
        match now.since(self.fleet_total_at) < REPORT_VALIDITY {
            true => self
                .fleet_total
                .get(leader)
                .saturating_sub(self.in_flight.get(leader)),
            false => LeaderLoad::default(),
        }
    }

    /// Returns the collector of this VM, or none if this VM is a collector itself.
    pub(crate) fn collector(&self, now: Millis) -> Option<&str> {
        // The VMs that report here still have this VM in their lists, and nobody else sums them.
        if !self.is_listed && self.is_collector() {
            return None;
        }
        let vms = self.collector_ranking.get(&self.own.failure_domain)?;
        let is_backing_off =
            |vm: &str| self.backoff_until.get(vm).is_some_and(|until| *until > now);
        let collector = vms.iter().find(|vm| !is_backing_off(vm))?;
        (*collector != self.own.vm).then_some(collector.as_str())
    }

    fn tick(&mut self, now: Millis) -> Vec<OccupancyAction> {
        self.give_up_unresponsive_collector(now);
        self.sum_reports(now);
        let Some(collector) = self.collector(now).map(str::to_owned) else {
            self.others_report = None;
            return self.report_domain_sum();
        };
        self.unanswered_since.get_or_insert(now);
        let mut counts = self.in_flight.to_wire(&self.used_leaders);
        let idle = self.used_leaders.iter();
        let idle = idle.filter(|leader| self.in_flight.get(**leader).requests == 0);
        counts.extend(idle.map(|leader| LeaderCount::idle(*leader)));
        counts.truncate(MAX_LEADER_COUNTS);
        let report = self.load_report(LoadScope::Vm, counts);
        let action = OccupancyAction {
            vm: collector,
            report,
        };
        vec![action]
    }

    /// Backs off from a collector that has not answered in time.
    fn give_up_unresponsive_collector(&mut self, now: Millis) {
        let is_overdue =
            |unanswered_since: Millis| now.since(unanswered_since) >= COLLECTOR_TIMEOUT;
        if !self.unanswered_since.is_some_and(is_overdue) {
            return;
        }
        self.unanswered_since = None;
        self.backoff_until.retain(|_, until| *until > now);
        if let Some(unresponsive) = self.collector(now).map(str::to_owned) {
            self.backoff_until
                .insert(unresponsive, now + COLLECTOR_BACKOFF);
        }
    }

    /// Drops expired reports and sums what all VMs have in flight.
    fn sum_reports(&mut self, now: Millis) {
        self.member_reports
            .retain(|_, reported| reported.is_fresh(now));
        self.domain_reports.retain(|_, report| report.expire(now));
        self.fleet_total = self.in_flight.clone();
        for reported in self.member_reports.values() {
            self.fleet_total.add_all(&reported.counts);
        }
        for report in self.domain_reports.values() {
            self.fleet_total.add_all(&report.counts());
        }
        self.fleet_total_at = now;
    }

    /// Reports the sum of this failure domain to the collectors of the others.
    fn report_domain_sum(&mut self) -> Vec<OccupancyAction> {
        let mut sum = self.fleet_total.clone();
        for report in self.domain_reports.values() {
            sum.subtract_all(&report.counts());
        }
        let parts = sum.to_wire_parts(&self.reported_leaders);
        self.reported_leaders = sum.busy_leaders();
        let collectors = self.other_collectors();
        let reports = collectors.flat_map(|vm| parts.iter().map(move |part| (vm, part)));
        let actions = reports.map(|(vm, part)| OccupancyAction {
            vm: vm.clone(),
            report: self.load_report(LoadScope::FailureDomain, part.clone()),
        });
        actions.collect()
    }

    /// Returns the collectors of the other failure domains, as far as known.
    pub(crate) fn other_collectors(&self) -> impl Iterator<Item = &String> {
        let other_domains = self.collector_ranking.iter();
        let other_domains = other_domains.filter(|(domain, _)| **domain != self.own.failure_domain);
        other_domains.flat_map(|(domain, vms)| {
            let reports = self.domain_reports.iter();
            let reports = reports.filter(move |(_, report)| report.failure_domain == *domain);
            let reporters: Vec<&String> = reports.map(|(vm, _)| vm).collect();
            match reporters.is_empty() {
                true => vms.first().into_iter().collect(),
                false => reporters,
            }
        })
    }

    /// Returns the VMs of this failure domain.
    pub(crate) fn domain_vms(&self) -> &[String] {
        let vms = self.collector_ranking.get(&self.own.failure_domain);
        vms.map_or(&[], Vec::as_slice)
    }

    /// Returns the name of this VM.
    pub(crate) fn own_vm(&self) -> &str {
        &self.own.vm
    }

    fn receive(&mut self, now: Millis, report: &LoadNotice) -> Vec<OccupancyAction> {
        let reported = ReportedCounts {
            vm: report.vm.clone(),
            counts: LeaderCounts::from(report.counts.as_slice()),
            received_at: now,
        };
        match report.scope {
            LoadScope::Vm => {
                let leaders = report.counts.iter().map(|count| count.leader);
                vec![self.record_member(now, reported, &leaders.collect())]
            }
            LoadScope::FailureDomain => {
                self.record_domain(now, report);
                Vec::new()
            }
            LoadScope::Others => {
                self.unanswered_since = None;
                self.others_report = Some(reported);
                Vec::new()
            }
        }
    }

    /// Records the report of a VM that uses this one as its collector and listed `leaders`, and
    /// replies with the sum over all other VMs.
    fn record_member(
        &mut self,
        now: Millis,
        reported: ReportedCounts,
        leaders: &IndexSet<u32>,
    ) -> OccupancyAction {
        let vm = reported.vm.clone();
        if now.since(self.fleet_total_at) >= REPORT_VALIDITY {
            self.sum_reports(now);
        }
        let mut other_counts = self.fleet_total.clone();
        if let Some(previous) = self.member_reports.get(&vm) {
            other_counts.subtract_all(&previous.counts);
        }
        self.fleet_total = other_counts.clone();
        self.fleet_total.add_all(&reported.counts);
        self.member_reports.insert(vm.clone(), reported);
        OccupancyAction {
            vm,
            report: self.load_report(LoadScope::Others, other_counts.to_wire(leaders)),
        }
    }

    /// Records a part of the sum that a collector of another failure domain reported.
    fn record_domain(&mut self, now: Millis, notice: &LoadNotice) {
        let domain = &notice.failure_domain;
        if *domain == self.own.failure_domain {
            return;
        }
        let report = self.domain_reports.entry(notice.vm.clone());
        let report = report.or_insert_with(|| DomainReport::new(domain.clone(), now));
        self.fleet_total.subtract_all(&report.counts());
        report.record(now, &notice.counts);
        self.fleet_total.add_all(&report.counts());
    }

    fn load_report(&self, scope: LoadScope, counts: Vec<LeaderCount>) -> LoadNotice {
        LoadNotice {
            vm: self.own.vm.clone(),
            failure_domain: self.own.failure_domain.clone(),
            scope,
            counts,
        }
    }
}
