//! Which entry VMs use which leaders of groups.

use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};

use crate::upstream::RouteUpstream;

/// Entry VMs that use one leader at most, in parts of its slots. An entry VM may always have one request
/// at a leader, so this bounds what waits there when all of them are full: twice as many as run. With a
/// quarter of it (23 of 90 VMs at 30 slots) leaders got unequal parts of the load, and the mean worth of
/// five days with trouble was 0.688 instead of 0.707, one run each (90 VMs, 300 upstreams).
const USERS_PER_SLOT: usize = 3;

/// The leaders that are one entry VM's to use.
#[derive(Debug, Default)]
pub struct LeaderSharing {
    /// Entry VMs that send to the same upstreams.
    vms: usize,
    /// Leaders that are this VM's to use; none while there are few entry VMs.
    own: Option<IndexSet<UpstreamIncarnation>>,
    /// The entry VMs by which leaders were shared out.
    sharers: Vec<String>,
    /// For each leader how many entry VMs come before this one, by those sharers.
    before: IndexMap<UpstreamIncarnation, usize>,
}

impl LeaderSharing {
    /// Shares the leaders out over the entry VMs `vms`, of which `own` is this one.
    pub fn share<'a, Leaders>(&mut self, leaders: Leaders, vms: &[&str], own: &str)
    where
        Leaders: Iterator<Item = &'a RouteUpstream>,
    {
        self.vms = vms.len();
        if !self.sharers.iter().eq(vms.iter().copied()) {
            self.sharers = vms.iter().map(|vm| (*vm).to_owned()).collect();
            self.before.clear();
        }
        let mut known = IndexMap::new();
        let mut mine = IndexSet::new();
        let mut is_shared = false;
        for leader in leaders {
            let users = users_of(leader.slots);
            is_shared |= users < vms.len();
            // Worked out once: at 400 leaders and 300 entry VMs it is 120,000 scores.
            let before = self.before.get(&leader.incarnation).copied();
            let before = before.unwrap_or_else(|| vms_before(&leader.incarnation, vms, own));
            if before < users {
                mine.insert(leader.incarnation.clone());
            }
            known.insert(leader.incarnation.clone(), before);
        }
        self.before = known;
        self.own = is_shared.then_some(mine);
    }

    /// Whether a leader is this VM's to use.
    pub fn is_own(&self, incarnation: &UpstreamIncarnation) -> bool {
        self.own
            .as_ref()
            .is_none_or(|own| own.contains(incarnation))
    }

    /// Entry VMs that use a leader with so many slots; one at least.
    pub fn users(&self, slots: u32) -> usize {
        self.vms.min(users_of(slots)).max(1)
    }
}

fn users_of(slots: u32) -> usize {
    (slots as usize * USERS_PER_SLOT).max(1)
}

/// How many of the entry VMs `vms` come before `own` in the order in which they use a leader.
fn vms_before(leader: &UpstreamIncarnation, vms: &[&str], own: &str) -> usize {
    let key = hash_bytes(leader.as_str().as_bytes());
    let score = rendezvous_score(key, own);
    let higher = vms.iter().filter(|vm| rendezvous_score(key, vm) > score);
    higher.count()
}
