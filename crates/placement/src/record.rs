//! The record of one fabric domain: every VM and every group in it.

use std::net::SocketAddr;

use bergamot_types::prelude::*;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// What a group's engines run.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct ModelRef {
    /// The model's name.
    pub name: ModelName,
    /// Version of the weights.
    pub version: String,
    /// Adapter on top, if any.
    pub adapter: Option<String>,
}

/// What a VM is used for. The only place where membership is written.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmUse {
    /// In no group, free for one once its engine was seen idle.
    Free,
    /// A member of the group.
    Member(GroupId),
    /// No member any more, but not yet seen outside the group.
    Evicted(GroupId),
}

/// One VM of the fabric domain.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct VmSlot {
    /// What it is used for.
    pub usage: VmUse,
    /// Where its engine listens.
    pub addr: SocketAddr,
    /// Accelerators in it.
    pub accelerators: u32,
}

/// Where a group is in its life.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupPhase {
    /// Members are reserved; they join and load.
    Forming,
    /// Every member was seen ready: requests may be routed to it.
    Serving,
    /// No new requests; those in flight end.
    Draining,
    /// Members are told to leave.
    Releasing,
}

/// One replica group.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct GroupRecord {
    /// What it runs.
    pub model: ModelRef,
    /// The roll it was formed for.
    pub roll: u64,
    /// Grows with each change of members.
    pub epoch: u32,
    /// Members it needs.
    pub size: u32,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Where it is in its life.
    pub phase: GroupPhase,
}

/// The record of a fabric domain in the key-value service.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct DomainRecord {
    /// The fabric domain.
    pub fabric: FabricDomain,
    /// The failure domain it is in.
    pub failure_domain: FailureDomain,
    /// Grows with each new coordinator; the fencing number of its orders.
    pub term: u64,
    /// Who coordinates.
    pub coordinator: EntryId,
    /// Which run of the coordinator.
    pub incarnation: u64,
    /// Names the writer's attempt.
    pub nonce: u64,
    /// Counts groups, so that no id is used twice.
    pub next_group: u64,
    /// Every VM of the fabric domain.
    pub vms: IndexMap<VmId, VmSlot>,
    /// Every group.
    pub groups: IndexMap<GroupId, GroupRecord>,
}

impl DomainRecord {
    /// An empty record, before its first coordinator.
    pub fn empty(fabric: FabricDomain, failure_domain: FailureDomain) -> Self {
        Self {
            fabric,
            failure_domain,
            term: 0,
            coordinator: EntryId::default(),
            incarnation: 0,
            nonce: 0,
            next_group: 1,
            vms: IndexMap::new(),
            groups: IndexMap::new(),
        }
    }

    /// The members of a group; the first is its leader, which takes the requests.
    pub fn members<'a>(
        &'a self,
        group: &'a GroupId,
    ) -> impl Iterator<Item = (&'a VmId, &'a VmSlot)> {
        self.vms
            .iter()
            .filter(move |(_, slot)| matches!(&slot.usage, VmUse::Member(id) if id == group))
    }

    /// The member that takes the group's requests.
    pub fn leader<'a>(&'a self, group: &'a GroupId) -> Option<(&'a VmId, &'a VmSlot)> {
        self.members(group).next()
    }

    /// Whether the group has as many members as it needs.
    pub fn is_full(&self, id: &GroupId) -> bool {
        self.groups
            .get(id)
            .is_some_and(|group| self.members(id).count() == group.size as usize)
    }

    /// Reserves `vms` in a new group.
    pub fn form(&mut self, group: GroupRecord, vms: &[VmId]) -> GroupId {
        let id = GroupId::from(format!("{}.{}", self.fabric, self.next_group));
        self.next_group += 1;
        self.groups.insert(id.clone(), group);
        self.add_members(&id, vms);
        id
    }

    /// Makes free `vms` members of a group.
    pub fn add_members(&mut self, id: &GroupId, vms: &[VmId]) {
        for vm in vms {
            let Some(slot) = self.vms.get_mut(vm) else {
                continue;
            };
            Invariant::OneGroupPerVm.check(slot.usage == VmUse::Free, || {
                format!("vm={vm} usage={:?} group={id}", slot.usage)
            });
            slot.usage = VmUse::Member(id.clone());
        }
    }

    /// Takes a member out; it becomes free once it is seen outside the group.
    pub fn evict(&mut self, vm: &VmId) {
        let Some(slot) = self.vms.get_mut(vm) else {
            return;
        };
        if let VmUse::Member(group) = &slot.usage {
            slot.usage = VmUse::Evicted(group.clone());
        }
    }

    /// Removes a group whose members were all seen outside.
    pub fn dissolve(&mut self, id: &GroupId) {
        for slot in self.vms.values_mut() {
            if matches!(&slot.usage, VmUse::Member(group) if group == id) {
                slot.usage = VmUse::Free;
            }
        }
        self.groups.shift_remove(id);
    }

    /// What is wrong with the record, if anything.
    pub fn problem(&self) -> Option<String> {
        for (vm, slot) in &self.vms {
            let VmUse::Member(group) = &slot.usage else {
                continue;
            };
            if !self.groups.contains_key(group) {
                return Some(format!("vm {vm} is in the unknown group {group}"));
            }
        }
        for (id, group) in &self.groups {
            let count = self.members(id).count();
            if count > group.size as usize {
                return Some(format!("group {id} has {count} members of {}", group.size));
            }
            if group.phase == GroupPhase::Serving && count != group.size as usize {
                return Some(format!("group {id} serves with {count} of {}", group.size));
            }
        }
        None
    }
}
