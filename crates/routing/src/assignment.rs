//! Which entry VMs use which leaders of groups.

use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};

use crate::upstream::RouteUpstream;

/// Entry VMs that use one leader at most, in parts of its slots. An entry VM may always have one request
/// at a leader, so this bounds what waits there when all of them are full: twice as many as run. With a
/// quarter of it (23 of 90 VMs at 30 slots) leaders got unequal parts of the load, and the mean worth of
/// five days with trouble was 0.688 instead of 0.707, one run each (90 VMs, 300 upstreams).
const MAX_USERS_PER_SLOT: usize = 3;

/// The leaders that are one entry VM's to use.
#[derive(Debug, Default)]
pub struct LeaderAssignment {
    /// Entry VMs that send to the same upstreams.
    vm_count: usize,
    /// Leaders that are this VM's to use; none while there are few entry VMs.
    assigned: Option<IndexSet<UpstreamIncarnation>>,
    /// The entry VMs by which leaders were shared out.
    assigned_vms: Vec<String>,
    /// For each leader how many entry VMs come before this one, by those sharers.
    ranks: IndexMap<UpstreamIncarnation, usize>,
}

impl LeaderAssignment {
    /// Shares the leaders out over the entry VMs `vms`, of which `own` is this one.
    pub fn assign<'a, Leaders>(&mut self, leaders: Leaders, vms: &[&str], own: &str)
    where
        Leaders: Iterator<Item = &'a RouteUpstream>,
    {
        self.vm_count = vms.len();
        if !self.assigned_vms.iter().eq(vms.iter().copied()) {
            self.assigned_vms = vms.iter().map(|vm| (*vm).to_owned()).collect();
            self.ranks.clear();
        }
        let mut ranks = IndexMap::new();
        let mut assigned = IndexSet::new();
        let mut is_partial = false;
        for leader in leaders {
            let max_user_count = max_users(leader.slots);
            is_partial |= max_user_count < vms.len();
            // Worked out once: at 400 leaders and 300 entry VMs it is 120,000 scores.
            let rank = self.ranks.get(&leader.incarnation).copied();
            let rank = rank.unwrap_or_else(|| vm_rank(&leader.incarnation, vms, own));
            if rank < max_user_count {
                assigned.insert(leader.incarnation.clone());
            }
            ranks.insert(leader.incarnation.clone(), rank);
        }
        self.ranks = ranks;
        self.assigned = is_partial.then_some(assigned);
    }

    /// Whether a leader is this VM's to use.
    pub fn is_assigned(&self, incarnation: &UpstreamIncarnation) -> bool {
        self.assigned
            .as_ref()
            .is_none_or(|assigned| assigned.contains(incarnation))
    }

    /// Entry VMs that use a leader with so many slots; one at least.
    pub fn user_count(&self, slots: u32) -> usize {
        self.vm_count.min(max_users(slots)).max(1)
    }
}

fn max_users(slots: u32) -> usize {
    (slots as usize * MAX_USERS_PER_SLOT).max(1)
}

/// How many of the entry VMs `vms` come before `own` in the order in which they use a leader.
fn vm_rank(leader: &UpstreamIncarnation, vms: &[&str], own: &str) -> usize {
    let key = hash_bytes(leader.as_str().as_bytes());
    let score = rendezvous_score(key, own);
    let higher = vms.iter().filter(|vm| rendezvous_score(key, vm) > score);
    higher.count()
}
