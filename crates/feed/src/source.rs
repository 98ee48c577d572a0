//! Selects where an entry VM gets store updates from.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// Number of peers that are queried in turn before falling back to the store.
const MAX_PEERS_QUERIED: usize = 2;

/// Entry VMs of a failure domain per reader of the store. A reader makes four store calls a second
/// and sends every change to its share of the VMs. Uncompressed updates to 100 VMs take 8.7 MB/s
/// while 3,000 upstreams start; compression cuts that to an eighth, and a link of 20 Mbit/s carries
/// 2.5 MB/s.
const VMS_PER_READER: usize = 48;

/// How long a peer is skipped after it did not answer or had no current updates. Without this pause
/// every query would wait for that peer again.
const PEER_BACKOFF: Millis = Millis(1_500);

/// Shorter pause while this VM cannot read the store either, as any peer may be the first to regain
/// access.
const PEER_BACKOFF_WITHOUT_STORE: Millis = Millis(500);

/// Properties of an entry VM by which peers are ranked.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PeerDescriptor {
    /// The VM's name.
    pub vm: String,
    /// The VM's failure domain.
    pub failure_domain: FailureDomain,
    /// The VM's CPU limit in thousandths of a core.
    pub millicores: u32,
}

impl PeerDescriptor {
    /// Returns the sort key for shared duties within a failure domain; the highest comes first. VMs
    /// with the most CPU rank highest, as the first VM answers the others.
    pub fn rank_key(&self) -> (u32, u64, String) {
        let key = hash_bytes(self.failure_domain.as_str().as_bytes());
        let score = rendezvous_score(key, &self.vm);
        (self.millicores, score, self.vm.clone())
    }
}

/// Where the next updates are read from.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum UpdateSource {
    /// The store itself.
    Store,
    /// These peers in turn, then the store.
    Peers(Vec<String>),
}

/// The other entry VMs of a failure domain in the order in which they are queried. All VMs agree on
/// the relative order of any two peers, so that in the end one of them reads the store.
#[derive(Clone, Debug, Default)]
pub struct PeerRanking {
    /// Peers that are queried; empty if this VM reads the store.
    preferred: Vec<String>,
    /// Peers that are queried only when this VM cannot read the store itself.
    fallback: Vec<String>,
    /// Peers that query this VM first; empty unless it reads the store for others.
    followers: Vec<String>,
    /// Peers in backoff, with the end of the pause.
    backoff_until: IndexMap<String, Millis>,
}

impl PeerRanking {
    /// Ranks the peers in the failure domain of this VM, `own`. VMs with the most CPU come first,
    /// as the first ones answer the others.
    pub fn rank_peers<Peers>(&mut self, peers: Peers, own: &PeerDescriptor)
    where
        Peers: IntoIterator<Item = PeerDescriptor>,
    {
        let own_key = own.rank_key();
        let domain_peers = peers
            .into_iter()
            .filter(|peer| peer.failure_domain == own.failure_domain && peer.vm != own.vm);
        let mut ranked: Vec<_> = domain_peers.map(|peer| peer.rank_key()).collect();
        ranked.push(own_key.clone());
        ranked.sort_by(|a, b| b.cmp(a));
        let own_rank = ranked
            .iter()
            .position(|rank_key| *rank_key == own_key)
            .unwrap_or(0);
        let reader_count = ranked.len().div_ceil(VMS_PER_READER);
        let ranked_count = ranked.len();
        let mut names: Vec<String> = ranked.into_iter().map(|(_, _, vm)| vm).collect();
        let is_first = |rank: usize| rank % reader_count == own_rank;
        self.followers.clear();
        if own_rank < reader_count {
            let follower_ranks = (reader_count..ranked_count).filter(|rank| is_first(*rank));
            self.followers = follower_ranks.map(|rank| names[rank].clone()).collect();
        }
        self.fallback = names.split_off(own_rank + 1);
        names.pop();
        self.preferred = names;
        if own_rank < reader_count {
            self.fallback.append(&mut self.preferred);
            return;
        }
        // Rotates the readers so that each one is the first choice of an equal share of the other
        // VMs.
        self.preferred[..reader_count].rotate_left(own_rank % reader_count);
    }

    /// Returns where this VM reads updates. `is_store_unreachable` is set while it cannot read the
    /// store.
    pub fn source(&self, is_store_unreachable: bool, now: Millis) -> UpdateSource {
        let fallback = self.fallback.iter().filter(|_| is_store_unreachable);
        let available = self.preferred.iter().chain(fallback).filter(|vm| {
            let backoff_until = self.backoff_until.get(*vm);
            backoff_until.is_none_or(|backoff_until| *backoff_until <= now)
        });
        let peers: Vec<String> = available.take(MAX_PEERS_QUERIED).cloned().collect();
        match peers.is_empty() {
            true => UpdateSource::Store,
            false => UpdateSource::Peers(peers),
        }
    }

    /// Returns the peers whose first choice for updates is this VM.
    pub fn followers(&self) -> &[String] {
        &self.followers
    }

    /// Whether this VM reads the store, and so is the first to check whether the store is back.
    pub fn is_store_reader(&self) -> bool {
        self.preferred.is_empty()
    }

    /// Backs off from a peer that did not answer or had no current updates. `is_store_unreachable`
    /// is set if this VM could not read the store at that time.
    pub fn back_off(&mut self, vm: &str, is_store_unreachable: bool, now: Millis) {
        let backoff = match is_store_unreachable {
            true => PEER_BACKOFF_WITHOUT_STORE,
            false => PEER_BACKOFF,
        };
        self.backoff_until
            .retain(|_, backoff_until| *backoff_until > now);
        self.backoff_until.insert(vm.to_owned(), now + backoff);
    }
}
