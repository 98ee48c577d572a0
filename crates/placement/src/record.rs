//! The record of one fabric domain, with all its VMs and groups.

use std::net::SocketAddr;

use bergamot_types::prelude::*;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// The model that a group's engines run.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct ModelRef {
    /// The model's name.
    pub name: ModelName,
    /// Version of the weights.
    pub version: String,
    /// Adapter that is loaded on top of the weights.
    pub adapter: Option<String>,
}

/// How a VM is used. Group membership is recorded nowhere else.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmUse {
    /// In no group. May join a group once its engine has reported that it is idle.
    Free,
    /// A member of the group.
    Member(GroupId),
    /// Removed from the group, but its engine has not yet reported that it left.
    Evicted(GroupId),
}

/// One VM of the fabric domain.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct VmSlot {
    /// How the VM is used.
    pub usage: VmUse,
    /// Address of the VM's engine.
    pub addr: SocketAddr,
    /// Number of accelerators of the VM.
    pub accelerators: u32,
}

/// Phase of a group's life cycle.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupPhase {
    /// Members are reserved; they join and load the model.
    Forming,
    /// Every member has reported that it is ready; requests may be routed to the group.
    Serving,
    /// The group gets no new requests; requests in flight complete.
    Draining,
    /// Members are ordered to leave.
    Releasing,
}

/// One replica group.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct GroupRecord {
    /// The model that the group runs.
    pub model: ModelRef,
    /// The roll that the group was formed for.
    pub roll: u64,
    /// Increases with each change of members.
    pub epoch: u32,
    /// Number of members that the group needs.
    pub size: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Phase of the group's life cycle.
    pub phase: GroupPhase,
}

/// The record of a fabric domain in the key-value store.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct DomainRecord {
    /// The fabric domain.
    pub fabric: FabricDomain,
    /// The failure domain that contains the fabric domain.
    pub failure_domain: FailureDomain,
    /// Increases with each new coordinator; the fencing token of its orders.
    pub term: u64,
    /// The entry VM that coordinates the fabric domain.
    pub coordinator: EntryId,
    /// Incarnation of the coordinator.
    pub incarnation: u64,
    /// Identifies the attempt to write this record.
    pub nonce: u64,
    /// Number of the next group, so that no group id is used twice.
    pub next_group: u64,
    /// All VMs of the fabric domain.
    pub vms: IndexMap<VmId, VmSlot>,
    /// All groups of the fabric domain.
    pub groups: IndexMap<GroupId, GroupRecord>,
}

impl DomainRecord {
    /// Creates an empty record that has no coordinator yet.
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

    /// Returns the members of a group. The first one is the leader, which receives the requests.
    pub fn members<'a>(
        &'a self,
        group: &'a GroupId,
    ) -> impl Iterator<Item = (&'a VmId, &'a VmSlot)> {
        self.vms
            .iter()
            .filter(move |(_, slot)| matches!(&slot.usage, VmUse::Member(id) if id == group))
    }

    /// Returns the member that receives the group's requests.
    pub fn leader<'a>(&'a self, group: &'a GroupId) -> Option<(&'a VmId, &'a VmSlot)> {
        self.members(group).next()
    }

    /// Whether the group has as many members as it needs.
    pub fn is_full(&self, id: &GroupId) -> bool {
        self.groups
            .get(id)
            .is_some_and(|group| self.members(id).count() == group.size as usize)
    }

    /// Adds a group with the members `vms` and returns its id.
    pub fn form(&mut self, group: GroupRecord, vms: &[VmId]) -> GroupId {
        let id = GroupId::from(format!("{}.{}", self.fabric, self.next_group));
        self.next_group += 1;
        self.groups.insert(id.clone(), group);
        self.add_members(&id, vms);
        id
    }

    /// Adds the free `vms` to a group.
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

    /// Removes a member from its group. The VM becomes free once its engine reports that it left.
    pub fn evict(&mut self, vm: &VmId) {
        let Some(slot) = self.vms.get_mut(vm) else {
            return;
        };
        if let VmUse::Member(group) = &slot.usage {
            slot.usage = VmUse::Evicted(group.clone());
        }
    }

    /// Removes a group after all its members have reported that they left.
    pub fn dissolve(&mut self, id: &GroupId) {
        for slot in self.vms.values_mut() {
            if matches!(&slot.usage, VmUse::Member(group) if group == id) {
                slot.usage = VmUse::Free;
            }
        }
        self.groups.shift_remove(id);
    }

    /// Returns the first inconsistency in the record.
    pub fn problem(&self) -> Option<String> {
        for (vm, slot) in &self.vms {
            let VmUse::Member(group) = &slot.usage else {
                continue;
            };
            if !self.groups.contains_key(group) {
                return Some(format!("VM {vm} is a member of the unknown group {group}"));
            }
        }
        for (id, group) in &self.groups {
            let count = self.members(id).count();
            if count > group.size as usize {
                return Some(format!(
                    "group {id} has {count} members, limit {}",
                    group.size
                ));
            }
            if group.phase == GroupPhase::Serving && count != group.size as usize {
                return Some(format!(
                    "group {id} serves with {count} of {} members",
                    group.size
                ));
            }
        }
        None
    }
}
