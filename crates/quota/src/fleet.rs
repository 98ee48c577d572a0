//! Which VM owns the quota of which upstream.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// Time for which another VM may still go by an earlier list of entry VMs: two questions to peers and the age of their news.
pub(crate) const LIST_LAG: Millis = Millis(2_000);

/// The entry VMs as of some moment.
type VmsByDomain = IndexMap<FailureDomain, Vec<String>>;

/// A list of entry VMs that no longer holds.
#[derive(Clone, Debug)]
struct PastList {
    vms: VmsByDomain,
    ended_at: Millis,
}

/// The entry VMs, and who owns what among them.
#[derive(Clone, Debug)]
pub struct QuotaFleet {
    own: String,
    vms: VmsByDomain,
    /// Lists that others may still go by. The first one is empty: nobody knows who owned what before this VM started.
    past: Vec<PastList>,
}

impl QuotaFleet {
    /// The fleet as the VM of this name knows it: no other yet, nor itself.
    pub fn new(own: String) -> Self {
        Self {
            own,
            vms: VmsByDomain::new(),
            past: Vec::new(),
        }
    }

    /// This VM's name.
    pub fn own(&self) -> &str {
        &self.own
    }

    /// Takes over which entry VMs there are.
    pub fn set<Vms>(&mut self, now: Millis, vms: Vms)
    where
        Vms: IntoIterator<Item = (FailureDomain, String)>,
    {
        let mut by_domain = VmsByDomain::new();
        for (failure_domain, vm) in vms {
            by_domain.entry(failure_domain).or_default().push(vm);
        }
        by_domain.values_mut().for_each(|vms| vms.sort_unstable());
        by_domain.sort_unstable_keys();
        self.past.retain(|list| now.since(list.ended_at) < LIST_LAG);
        if by_domain == self.vms {
            return;
        }
        let vms = std::mem::replace(&mut self.vms, by_domain);
        self.past.push(PastList { vms, ended_at: now });
    }

    /// The VM that owns an upstream's quota: one of its own failure domain, as who reaches the upstream then reaches the
    /// owner too. Any VM where that has none; none where no VM is known.
    pub fn owner(
        &self,
        incarnation: &UpstreamIncarnation,
        failure_domain: &FailureDomain,
    ) -> Option<&str> {
        owner_among(&self.vms, incarnation, failure_domain)
    }

    /// From when on this VM may give permits out that owns an upstream's quota now: once no other VM can go by an earlier list
    /// any more by which another one owns it.
    pub fn owns_from(
        &self,
        incarnation: &UpstreamIncarnation,
        failure_domain: &FailureDomain,
    ) -> Millis {
        let foreign = self.past.iter().filter(|list| {
            let owner = owner_among(&list.vms, incarnation, failure_domain);
            owner != Some(self.own.as_str())
        });
        let ended = foreign.map(|list| list.ended_at).max();
        ended.map_or(Millis::ZERO, |at| at + LIST_LAG)
    }
}

fn owner_among<'a>(
    vms: &'a VmsByDomain,
    incarnation: &UpstreamIncarnation,
    failure_domain: &FailureDomain,
) -> Option<&'a str> {
    let key = hash_bytes(incarnation.as_str().as_bytes());
    let best = |vms: &'a [String]| {
        let names = vms.iter().map(String::as_str);
        names.max_by_key(|vm| (rendezvous_score(key, vm), *vm))
    };
    let near = vms.get(failure_domain).and_then(|vms| best(vms));
    near.or_else(|| {
        let all = vms.values().flatten().map(String::as_str);
        all.max_by_key(|vm| (rendezvous_score(key, vm), *vm))
    })
}
