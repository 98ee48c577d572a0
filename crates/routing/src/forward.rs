//! Chooses the entry VM to which a VM that reaches no upstream forwards a request.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// How long a VM that declined a request or did not answer is not chosen. About the time between two
/// probes of a VM that reaches no upstream either.
const PEER_AVOIDANCE: Millis = Millis(500);

/// How long the reason why a VM declined counts. Longer than it is not chosen, as many VMs are asked
/// one after another.
const DECLINE_VALIDITY: Millis = Millis(1_000);

/// Why a VM did not take a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PeerDecline {
    /// It reaches no upstream either.
    ReachesNone,
    /// It could not be asked, which says nothing about the upstreams that it reaches.
    NotAsked,
    /// Another reason, such as a shutdown or a lack of places.
    Other,
}

/// A VM that accepts forwarded requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PeerCandidate<'a> {
    /// The VM's name.
    pub vm: &'a str,
    /// Whether it is in the failure domain of this VM.
    pub is_near: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct PeerLoad {
    in_flight: u32,
    avoided_until: Millis,
    declined: Option<(PeerDecline, Millis)>,
}

impl PeerLoad {
    /// Returns why the VM declined a request a moment ago, if it did.
    fn decline(&self, now: Millis) -> Option<PeerDecline> {
        let (decline, declined_at) = self.declined?;
        (now.since(declined_at) < DECLINE_VALIDITY).then_some(decline)
    }
}

/// The requests that this VM forwarded to others, and which of them declined some.
#[derive(Clone, Debug, Default)]
pub struct ForwardPeers {
    loads: IndexMap<String, PeerLoad>,
}

impl ForwardPeers {
    /// Chooses one of two VMs that are drawn at random, the one with fewer requests from this VM, so
    /// that many VMs without upstreams spread their requests without knowing of each other. VMs in
    /// `tried` and those that declined a request a moment ago are left out.
    pub fn choose<'a, Candidates>(
        &self,
        candidates: Candidates,
        tried: &[String],
        now: Millis,
        random: u64,
    ) -> Option<&'a str>
    where
        Candidates: Iterator<Item = PeerCandidate<'a>>,
    {
        let usable = candidates.filter(|candidate| {
            let is_tried = tried.iter().any(|vm| vm == candidate.vm);
            !is_tried && self.load(candidate.vm).avoided_until <= now
        });
        let mut ranked: Vec<_> = usable
            .map(|candidate| (rendezvous_score(random, candidate.vm), candidate))
            .collect();
        ranked.sort_unstable_by_key(|(score, _)| *score);
        let sampled = ranked.into_iter().take(2).map(|(_, candidate)| candidate);
        let preferred = sampled.min_by_key(|peer| (self.load(peer.vm).in_flight, !peer.is_near));
        preferred.map(|candidate| candidate.vm)
    }

    /// Records that a request was forwarded.
    pub fn record_sent(&mut self, vm: &str) {
        self.load_mut(vm).in_flight += 1;
    }

    /// Records the end of a forwarded request.
    pub fn record_ended(&mut self, vm: &str) {
        let load = self.load_mut(vm);
        load.in_flight = load.in_flight.saturating_sub(1);
    }

    /// Records that a VM declined a request, or could not be reached.
    pub fn record_declined(&mut self, vm: &str, decline: PeerDecline, now: Millis) {
        let load = self.load_mut(vm);
        load.avoided_until = now + PEER_AVOIDANCE;
        load.declined = Some((decline, now));
    }

    /// Whether no VM reaches an upstream, as far as the VMs could be asked. The upstreams are the
    /// likelier cause then than the links of all VMs.
    pub fn reach_none<'a, Candidates>(&self, candidates: Candidates, now: Millis) -> bool
    where
        Candidates: Iterator<Item = PeerCandidate<'a>>,
    {
        let mut is_said = false;
        for candidate in candidates {
            match self.load(candidate.vm).decline(now) {
                Some(PeerDecline::ReachesNone) => is_said = true,
                Some(PeerDecline::NotAsked) => {}
                Some(PeerDecline::Other) | None => return false,
            }
        }
        is_said
    }

    /// Drops VMs that are no longer listed and have no requests of this VM.
    pub fn retain<IsListed>(&mut self, is_listed: IsListed)
    where
        IsListed: Fn(&str) -> bool,
    {
        self.loads
            .retain(|vm, load| load.in_flight > 0 || is_listed(vm));
    }

    fn load(&self, vm: &str) -> PeerLoad {
        self.loads.get(vm).copied().unwrap_or_default()
    }

    fn load_mut(&mut self, vm: &str) -> &mut PeerLoad {
        self.loads.entry(vm.to_owned()).or_default()
    }
}

/// Largest number of forwarded requests that a VM serves at a time, besides those of its own callers.
pub const MAX_FORWARDED_REQUESTS: usize = 512;
/// Least share of these places that a priority may use, in tenths. Priorities from 5 on have it.
const MIN_SHARE_TENTHS: usize = 5;

/// Whether a VM that serves this many forwarded requests has a place for one of this priority; 0 is
/// the most urgent.
pub fn has_forward_place(in_flight: usize, priority: u8) -> bool {
    let share_tenths = 10_usize
        .saturating_sub(usize::from(priority))
        .max(MIN_SHARE_TENTHS);
    in_flight < MAX_FORWARDED_REQUESTS * share_tenths / 10
}
