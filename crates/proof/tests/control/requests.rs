//! Routes requests and delivers them to leaders.

use super::*;

impl Simulation {
    pub(super) fn request(&mut self) {
        let wait_ms = self.random.random_range(10..120);
        self.queue
            .schedule(self.now + Millis(wait_ms), Message::Request);
        let daemon = self.random.random_range(0..DAEMON_COUNT);
        if self.daemons[daemon].paused_until > self.now {
            return;
        }
        self.dispatch(daemon, self.random.clone().random());
        let _: u64 = self.random.random();
    }

    pub(super) fn dispatch(&mut self, daemon: usize, prefix: u64) {
        let now = self.now;
        let account = ClientAccount::new("a");
        let home = FailureDomain::from(format!("fd-{}", daemon % DOMAIN_COUNT));
        let request = PickRequest {
            account: &account,
            prefix,
            home: &home,
            tried: &[],
        };
        match self.daemons[daemon].balancer.pick(now, &request) {
            Choice::None => self.refused_count += 1,
            Choice::Upstream(fact) => {
                self.max_evidence_age = self.max_evidence_age.max(now.since(fact.evidence_at));
                let leader = self.daemons[daemon].view.groups[&fact.id].members[0]
                    .0
                    .clone();
                if !self.is_partitioned(daemon, self.domain_of(&leader)) {
                    let sent_at = self.now;
                    self.send(Message::Arrive(daemon, leader, sent_at));
                }
            }
            Choice::Probe(fact) => {
                self.probed_count += 1;
                let members = &self.daemons[daemon].view.groups[&fact.id].members;
                let member_vms = members.iter().map(|(vm, _)| vm.clone()).collect();
                let incarnation = self.daemons[daemon].incarnation;
                let message = Message::Probed(daemon, incarnation, fact.id, member_vms, now);
                self.queue.schedule(now + Millis(20), message);
            }
        }
    }

    pub(super) fn handle_probed(
        &mut self,
        daemon: usize,
        incarnation: u64,
        upstream: &UpstreamId,
        members: &[VmId],
        probed_at: Millis,
    ) {
        if !self.is_live(daemon, incarnation) {
            return;
        }
        let Some(route) = self.daemons[daemon].view.groups.get(upstream).cloned() else {
            return;
        };
        let epoch = route.group.epoch;
        let is_complete = members.iter().all(|vm| {
            let is_reachable = !self.is_partitioned(daemon, self.domain_of(vm));
            let report = self.engines.report(probed_at, vm);
            is_reachable && report.is_some_and(|report| report.is_ready_in(&route.id, epoch))
        });
        if is_complete {
            self.daemons[daemon]
                .balancer
                .record_evidence(upstream, epoch, probed_at);
        }
    }

    pub(super) fn arrive(
        &mut self,
        daemon: usize,
        vm: &VmId,
        sent_at: Millis,
    ) -> Result<(), String> {
        // A daemon that cannot read the VM list does not know that the VM is leaving.
        if let Some(leaving_since) = self.leaving.get(vm)
            && !self.is_cut_from_platform(daemon)
            && sent_at.since(*leaving_since) > LEAVING_GRACE
            && sent_at.since(self.last_disturbed_at) > LEAVING_GRACE
        {
            return Err(format!(
                "entry-{daemon} sent to {vm}, which has been leaving since {leaving_since}"
            ));
        }
        let now = self.now;
        match self.engines.accept(now, vm) {
            None => self.refused_count += 1,
            Some(key) => {
                self.served_count += 1;
                let duration_ms = self.random.random_range(50..3_000);
                self.queue
                    .schedule(now + Millis(duration_ms), Message::Complete(key));
            }
        }
        Ok(())
    }

    pub(super) fn random_engine(&mut self) -> VmId {
        let domain = self.random.random_range(0..DOMAIN_COUNT);
        engine_vm(domain, self.random.random_range(0..ENGINES_PER_DOMAIN))
    }

    /// Changes the VM list. Daemons read the new version after `VM_LIST_LAG`.
    pub(super) fn change_vm_list(&mut self, change: impl FnOnce(&mut Vec<VmFact>)) {
        let mut vms = self
            .vm_lists
            .last()
            .map_or_else(Vec::new, |(_, vms)| vms.clone());
        change(&mut vms);
        self.vm_lists.push((self.now + VM_LIST_LAG, vms));
    }
}
