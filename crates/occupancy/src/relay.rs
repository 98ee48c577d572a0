//! Relays a notice from one entry VM to all others through the collectors.

use bergamot_peer::RelayScope;
use bergamot_types::prelude::*;

use crate::state::OccupancyState;

/// One hop of a relayed notice.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RelayHop {
    /// The VM that receives the notice.
    pub vm: String,
    /// The VMs that the receiver relays the notice to.
    pub scope: RelayScope,
}

impl OccupancyState {
    /// Returns the hops of a notice that originates here: to the collector, or to all VMs if this
    /// VM is a collector.
    pub fn origin_hops(&self, now: Millis) -> Vec<RelayHop> {
        match self.collector(now) {
            Some(collector) => vec![RelayHop {
                vm: collector.to_owned(),
                scope: RelayScope::Vm,
            }],
            None => self.hops_to_all(self.own_vm()),
        }
    }

    /// Returns the hops on which a notice from `sender` is forwarded. Relaying a notice takes one
    /// datagram per VM and two per failure domain, whatever the fleet size.
    pub fn forward_hops(&self, sender: &str, scope: RelayScope) -> Vec<RelayHop> {
        match scope {
            RelayScope::Vm => self.hops_to_all(sender),
            RelayScope::FailureDomain => self.member_hops(sender),
            RelayScope::Member => Vec::new(),
        }
    }

    fn hops_to_all(&self, sender: &str) -> Vec<RelayHop> {
        let collectors = self.other_collectors();
        let collectors = collectors.map(|vm| RelayHop {
            vm: vm.clone(),
            scope: RelayScope::FailureDomain,
        });
        let mut hops: Vec<RelayHop> = collectors.collect();
        hops.extend(self.member_hops(sender));
        hops
    }

    /// Returns the hops to the other VMs of this failure domain, except the sender.
    fn member_hops(&self, sender: &str) -> Vec<RelayHop> {
        let members = self.domain_vms().iter();
        let members = members.filter(|vm| vm.as_str() != sender && vm.as_str() != self.own_vm());
        let hops = members.map(|vm| RelayHop {
            vm: vm.clone(),
            scope: RelayScope::Member,
        });
        hops.collect()
    }
}
