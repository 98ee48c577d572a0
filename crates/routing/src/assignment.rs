//! Assigns the leaders of groups to entry VMs.

use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};

use crate::upstream::RouteUpstream;

/// Largest number of entry VMs that use one leader, per slot of the leader. An entry VM may always
/// have one request at a leader, so this limits the requests that queue there when all leaders are
/// full to twice the running ones. With a quarter of this value (23 of 90 VMs at 30 slots) the load
/// was spread unevenly over leaders, and the mean value of five days with faults was 0.688 instead
/// of 0.707, one run each (90 VMs, 300 upstreams).
const MAX_USERS_PER_SLOT: usize = 3;

/// The leaders that one entry VM uses.
#[derive(Debug, Default)]
pub struct LeaderAssignment {
    /// Number of entry VMs that send to the same upstreams.
    vm_count: usize,
    /// Leaders that this VM uses; none if every VM uses all of them.
    assigned: Option<IndexSet<UpstreamIncarnation>>,
    /// The entry VMs to which leaders were last assigned.
    assigned_vms: Vec<String>,
    /// Rank of this VM among `assigned_vms` for each leader.
    ranks: IndexMap<UpstreamIncarnation, usize>,
}

impl LeaderAssignment {
    /// Assigns the leaders to the entry VMs `vms`, of which `own` is this one. Returns the number of
    /// scores that were computed.
    ///
    /// A VM that comes or goes costs one score for each leader. Anew, 290 leaders and 986 entry VMs
    /// would take 286,000.
    pub fn assign<'a, Leaders>(&mut self, leaders: Leaders, vms: &[&str], own: &str) -> usize
    where
        Leaders: Iterator<Item = &'a RouteUpstream>,
    {
        self.vm_count = vms.len();
        let mut score_count = 0;
        let earlier_vms = std::mem::take(&mut self.assigned_vms);
        let change = VmListChange::between(&earlier_vms, vms);
        if change.len() >= vms.len() {
            self.ranks.clear();
        }
        let mut ranks = IndexMap::new();
        let mut assigned = IndexSet::new();
        let mut is_partial = false;
        for leader in leaders {
            let max_user_count = max_users(leader.slots);
            is_partial |= max_user_count < vms.len();
            let rank = match self.ranks.get(&leader.incarnation) {
                Some(rank) => {
                    score_count += change.len();
                    change.adjust(*rank, &leader.incarnation, own)
                }
                None => {
                    score_count += vms.len();
                    count_higher(&leader.incarnation, vms.iter().copied(), own)
                }
            };
            if rank < max_user_count {
                assigned.insert(leader.incarnation.clone());
            }
            ranks.insert(leader.incarnation.clone(), rank);
        }
        self.ranks = ranks;
        self.assigned = is_partial.then_some(assigned);
        self.assigned_vms = vms.iter().map(|vm| (*vm).to_owned()).collect();
        score_count
    }

    /// Whether this VM uses a leader.
    pub fn is_assigned(&self, incarnation: &UpstreamIncarnation) -> bool {
        self.assigned
            .as_ref()
            .is_none_or(|assigned| assigned.contains(incarnation))
    }

    /// Returns the leaders that this VM uses; none if every VM uses all of them.
    pub fn assigned(&self) -> Option<&IndexSet<UpstreamIncarnation>> {
        self.assigned.as_ref()
    }

    /// Returns the number of entry VMs that use a leader with this many slots, at least one.
    pub fn user_count(&self, slots: u32) -> usize {
        self.vm_count.min(max_users(slots)).max(1)
    }
}

fn max_users(slots: u32) -> usize {
    (slots as usize * MAX_USERS_PER_SLOT).max(1)
}

/// The difference between two lists of entry VMs.
struct VmListChange<'a> {
    added: Vec<&'a str>,
    removed: Vec<&'a str>,
}

impl<'a> VmListChange<'a> {
    fn between(earlier: &'a [String], current: &[&'a str]) -> Self {
        let earlier: IndexSet<&str> = earlier.iter().map(String::as_str).collect();
        let current: IndexSet<&str> = current.iter().copied().collect();
        Self {
            added: current.difference(&earlier).copied().collect(),
            removed: earlier.difference(&current).copied().collect(),
        }
    }

    const fn len(&self) -> usize {
        self.added.len() + self.removed.len()
    }

    /// Returns the rank of `own` for a leader after the change, given the rank before it.
    fn adjust(&self, rank: usize, leader: &UpstreamIncarnation, own: &str) -> usize {
        let added = count_higher(leader, self.added.iter().copied(), own);
        let removed = count_higher(leader, self.removed.iter().copied(), own);
        (rank + added).saturating_sub(removed)
    }
}

/// Returns how many of the entry VMs `vms` rank before `own` for a leader.
fn count_higher<'a, Vms>(leader: &UpstreamIncarnation, vms: Vms, own: &str) -> usize
where
    Vms: Iterator<Item = &'a str>,
{
    let key = hash_bytes(leader.as_str().as_bytes());
    let score = rendezvous_score(key, own);
    let higher = vms.filter(|vm| rendezvous_score(key, vm) > score);
    higher.count()
}
