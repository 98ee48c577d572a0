//! The way of a notice from one entry VM to all others.

use bergamot_peer::RelayScope;
use bergamot_types::prelude::*;

use crate::state::OccupancyState;

/// One VM that a notice is passed on to.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RelayHop {
    /// The VM.
    pub vm: String,
    /// Whom it passes it on to.
    pub scope: RelayScope,
}

impl OccupancyState {
    /// Whom a notice of this VM's own is sent to: its collector, or everybody where it collects itself.
    pub fn relay_own(&self, now: Millis) -> Vec<RelayHop> {
        match self.collector(now) {
            Some(collector) => vec![RelayHop {
                vm: collector.to_owned(),
                scope: RelayScope::Vm,
            }],
            None => self.relay_to_all(self.own_vm()),
        }
    }

    /// Whom a notice that came from `sender` is passed on to. One datagram for each VM and two for each failure domain in
    /// all, whatever the size of the fleet.
    pub fn relay(&self, sender: &str, scope: RelayScope) -> Vec<RelayHop> {
        match scope {
            RelayScope::Vm => self.relay_to_all(sender),
            RelayScope::FailureDomain => self.members(sender),
            RelayScope::Member => Vec::new(),
        }
    }

    fn relay_to_all(&self, sender: &str) -> Vec<RelayHop> {
        let collectors = self.other_collectors();
        let collectors = collectors.map(|vm| RelayHop {
            vm: vm.clone(),
            scope: RelayScope::FailureDomain,
        });
        let mut hops: Vec<RelayHop> = collectors.collect();
        hops.extend(self.members(sender));
        hops
    }

    /// The other VMs of this failure domain, but for the sender.
    fn members(&self, sender: &str) -> Vec<RelayHop> {
        let members = self.near().iter();
        let members = members.filter(|vm| vm.as_str() != sender && vm.as_str() != self.own_vm());
        let hops = members.map(|vm| RelayHop {
            vm: vm.clone(),
            scope: RelayScope::Member,
        });
        hops.collect()
    }
}
