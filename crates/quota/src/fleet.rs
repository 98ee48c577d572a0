//! Determines which VM owns the quota of which upstream.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// How long another VM may still use an earlier list of entry VMs: two queries to peers, plus the
/// age of their updates.
pub const STALE_LIST_TIMEOUT: Millis = Millis(2_000);

/// The entry VMs of each failure domain.
type VmsByDomain = IndexMap<FailureDomain, Vec<String>>;

/// A list of entry VMs that was replaced.
#[derive(Clone, Debug)]
struct ReplacedList {
    vms: VmsByDomain,
    replaced_at: Millis,
}

/// The entry VMs, among which the owner of each quota is chosen.
#[derive(Clone, Debug)]
pub struct QuotaFleet {
    own_vm: String,
    /// How long another VM may still use an earlier list.
    stale_timeout: Millis,
    vms: VmsByDomain,
    /// Lists that other VMs may still use. The first one is empty: the owners before this VM
    /// started are unknown.
    replaced: Vec<ReplacedList>,
}

impl QuotaFleet {
    /// Creates the fleet as known to the VM named `own`: empty, even without itself.
    pub fn new(own_vm: String) -> Self {
        Self::with_stale_timeout(own_vm, STALE_LIST_TIMEOUT)
    }

    /// Creates the same fleet for owners that assume that another VM may still use an earlier list
    /// for `stale_timeout`.
    pub fn with_stale_timeout(own_vm: String, stale_timeout: Millis) -> Self {
        Self {
            own_vm,
            stale_timeout,
            vms: VmsByDomain::new(),
            replaced: Vec::new(),
        }
    }

    /// Returns the name of this VM.
    pub fn own_vm(&self) -> &str {
        &self.own_vm
    }

    /// Replaces the list of entry VMs.
    pub fn set_vms<Vms>(&mut self, now: Millis, vms: Vms)
    where
        Vms: IntoIterator<Item = (FailureDomain, String)>,
    {
        let mut by_domain = VmsByDomain::new();
        for (failure_domain, vm) in vms {
            by_domain.entry(failure_domain).or_default().push(vm);
        }
        by_domain.values_mut().for_each(|vms| vms.sort_unstable());
        by_domain.sort_unstable_keys();
        self.replaced
            .retain(|list| now.since(list.replaced_at) < self.stale_timeout);
        if by_domain == self.vms {
            return;
        }
        let vms = std::mem::replace(&mut self.vms, by_domain);
        self.replaced.push(ReplacedList {
            vms,
            replaced_at: now,
        });
    }

    /// Returns the VM that owns an upstream's quota. It is in the upstream's failure domain, so
    /// that whoever reaches the upstream also reaches the owner. If the domain has no VM, any VM
    /// may own the quota; if no VM is known, none does.
    pub fn owner(
        &self,
        incarnation: &UpstreamIncarnation,
        failure_domain: &FailureDomain,
    ) -> Option<&str> {
        owner_among(&self.vms, incarnation, failure_domain)
    }

    /// Returns the VM that owns an upstream's quota, if the upstream's failure domain has VMs.
    pub fn domain_owner(
        &self,
        incarnation: &UpstreamIncarnation,
        failure_domain: &FailureDomain,
    ) -> Option<&str> {
        let vms = self.vms.get(failure_domain)?;
        highest_scored(upstream_key(incarnation), vms)
    }

    /// Returns when this VM, as the owner of an upstream's quota, may start to grant permits: once
    /// no other VM can still use an earlier list that names another owner.
    pub fn grants_from(
        &self,
        incarnation: &UpstreamIncarnation,
        failure_domain: &FailureDomain,
    ) -> Millis {
        let other_owned = self.replaced.iter().filter(|list| {
            let owner = owner_among(&list.vms, incarnation, failure_domain);
            owner != Some(self.own_vm.as_str())
        });
        let last_replaced_at = other_owned.map(|list| list.replaced_at).max();
        last_replaced_at.map_or(Millis::ZERO, |replaced_at| replaced_at + self.stale_timeout)
    }
}

fn owner_among<'a>(
    vms: &'a VmsByDomain,
    incarnation: &UpstreamIncarnation,
    failure_domain: &FailureDomain,
) -> Option<&'a str> {
    let key = upstream_key(incarnation);
    let in_domain = vms.get(failure_domain);
    in_domain
        .and_then(|vms| highest_scored(key, vms))
        .or_else(|| highest_scored(key, vms.values().flatten()))
}

fn upstream_key(incarnation: &UpstreamIncarnation) -> u64 {
    hash_bytes(incarnation.as_str().as_bytes())
}

fn highest_scored<'a, Vms>(key: u64, vms: Vms) -> Option<&'a str>
where
    Vms: IntoIterator<Item = &'a String>,
{
    let names = vms.into_iter().map(String::as_str);
    names.max_by_key(|vm| (rendezvous_score(key, vm), *vm))
}
