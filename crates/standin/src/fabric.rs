//! The interconnect between the engines of one process: a replica works only while all its
//! members are alive and in the same epoch of the same group.

use std::sync::Arc;

use bergamot_types::{GroupId, VmId};
use indexmap::IndexMap;
use parking_lot::RwLock;

/// What the others see of a member.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct MemberState {
    /// Its group and epoch, if it is ready in one.
    pub ready_in: Option<(GroupId, u32)>,
    /// Whether it is alive.
    pub is_alive: bool,
}

/// All engines of one process.
#[derive(Debug, Default)]
pub struct FabricRegistry {
    members: RwLock<IndexMap<VmId, MemberState>>,
}

impl FabricRegistry {
    /// An interconnect without engines.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Tells the others of a member.
    pub fn set(&self, vm: &VmId, state: MemberState) {
        self.members.write().insert(vm.clone(), state);
    }

    /// Whether every one of `vms` is alive and ready in this epoch of this group.
    pub fn is_whole(&self, group: &GroupId, epoch: u32, vms: &[VmId]) -> bool {
        let members = self.members.read();
        vms.iter().all(|vm| {
            members.get(vm).is_some_and(|state| {
                state.is_alive && state.ready_in.as_ref() == Some(&(group.clone(), epoch))
            })
        })
    }
}
