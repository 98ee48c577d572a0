//! Requests that are routed and arrive.

use super::*;

impl World {
    pub(super) fn request(&mut self) {
        let wait = self.random.random_range(10..120);
        self.wire.at(self.now + Millis(wait), Message::Request);
        let node = self.random.random_range(0..NODES);
        if self.nodes[node].paused_until > self.now {
            return;
        }
        self.dispatch(node, self.random.clone().random());
        let _: u64 = self.random.random();
    }

    pub(super) fn dispatch(&mut self, node: usize, prefix: u64) {
        let now = self.now;
        let account = ClientAccount::new("a");
        let home = FailureDomain::from(format!("fd-{}", node % DOMAINS));
        let request = PickRequest {
            account: &account,
            prefix,
            home: &home,
            tried: &[],
        };
        match self.nodes[node].balancer.pick(now, &request) {
            Choice::None => self.refused += 1,
            Choice::Upstream(fact) => {
                self.max_age_seen = self.max_age_seen.max(now.since(fact.evidence_at));
                let leader = self.nodes[node].view.groups[&fact.id].members[0].0.clone();
                if !self.is_cut(node, self.domain_of(&leader)) {
                    let sent = self.now;
                    self.send(Message::Arrive(node, leader, sent));
                }
            }
            Choice::Probe(fact) => {
                self.probed += 1;
                let members = &self.nodes[node].view.groups[&fact.id].members;
                let members = members.iter().map(|(vm, _)| vm.clone()).collect();
                let incarnation = self.nodes[node].incarnation;
                let message = Message::Probed(node, incarnation, fact.id, members, now);
                self.wire.at(now + Millis(20), message);
            }
        }
    }

    pub(super) fn take_probed(
        &mut self,
        node: usize,
        incarnation: u64,
        upstream: &UpstreamId,
        members: &[VmId],
        asked: Millis,
    ) {
        if !self.is_live(node, incarnation) {
            return;
        }
        let Some(route) = self.nodes[node].view.groups.get(upstream).cloned() else {
            return;
        };
        let epoch = route.group.epoch;
        let is_whole = members.iter().all(|vm| {
            let is_reached = !self.is_cut(node, self.domain_of(vm));
            let report = self.engines.report(asked, vm);
            is_reached && report.is_some_and(|report| report.is_ready_in(&route.id, epoch))
        });
        if is_whole {
            self.nodes[node]
                .balancer
                .record_evidence(upstream, epoch, asked);
        }
    }

    pub(super) fn arrive(&mut self, node: usize, vm: &VmId, sent: Millis) -> Result<(), String> {
        // A VM that is cut off from the list cannot know.
        if let Some(since) = self.leaving.get(vm)
            && !self.is_off_platform(node)
            && sent.since(*since) > LEAVING_GRACE
            && sent.since(self.last_disturbed) > LEAVING_GRACE
        {
            return Err(format!(
                "entry-{node} sent to {vm}, which leaves since {since}"
            ));
        }
        let now = self.now;
        match self.engines.accept(now, vm) {
            None => self.refused += 1,
            Some(key) => {
                self.served += 1;
                let takes = self.random.random_range(50..3_000);
                self.wire.at(now + Millis(takes), Message::Complete(key));
            }
        }
        Ok(())
    }

    pub(super) fn any_engine(&mut self) -> VmId {
        let domain = self.random.random_range(0..DOMAINS);
        engine_vm(domain, self.random.random_range(0..ENGINES))
    }

    pub(super) fn change_list(&mut self, change: impl FnOnce(&mut Vec<VmFact>)) {
        let mut vms = self
            .listed
            .last()
            .map_or_else(Vec::new, |(_, vms)| vms.clone());
        change(&mut vms);
        self.listed.push((self.now + LIST_LAG, vms));
    }
}
