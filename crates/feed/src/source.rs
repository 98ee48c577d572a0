//! Selects where an entry VM gets store updates from.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// Number of peers that are queried in turn before falling back to the store.
const MAX_PEERS_QUERIED: usize = 2;

/// Entry VMs of a failure domain for each one that serves updates to the others. The first of these
/// servers reads the store; the others relay what it reads, so that the calls to the store do not
/// grow with the number of VMs. A server sends every change to its share of the VMs. Uncompressed updates to 100 VMs take 8.7 MB/s
/// while 3,000 upstreams start; compression cuts that to an eighth, and a link of 20 Mbit/s carries
/// 2.5 MB/s.
const VMS_PER_SERVER: usize = 48;

/// Period of confirmations at a VM that follows the store. They also show that its watch has not
/// stalled, and its peers rely on updates that are not much older.
const CONFIRM_PERIOD: Millis = Millis(800);
/// The same at a VM whose updates relays pass on, which takes them one more period of requests.
const RELAYED_CONFIRM_PERIOD: Millis = Millis(500);

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
    /// Peers that query this VM first; empty unless it serves updates to others.
    followers: Vec<String>,
    /// Peers whose relayed updates this VM may use: the relays of its failure domain, if it follows
    /// them. A relay uses updates from the reader alone, so that no two relay to each other.
    relays: Vec<String>,
    /// Whether this VM reads the store for relays.
    serves_relays: bool,
    /// Whether this VM serves updates to others, as the reader or as a relay.
    is_server: bool,
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
        let server_count = ranked.len().div_ceil(VMS_PER_SERVER);
        self.serves_relays = own_rank == 0 && server_count > 1;
        self.is_server = own_rank < server_count;
        let names: Vec<String> = ranked.into_iter().map(|(_, _, vm)| vm).collect();
        let first_choice = |rank: usize| match rank < server_count {
            true => 0,
            false => rank % server_count,
        };
        let follower_ranks = 1..names.len();
        let own_followers = follower_ranks.filter(|rank| first_choice(*rank) == own_rank);
        self.followers = own_followers.map(|rank| names[rank].clone()).collect();
        self.relays = match own_rank < server_count {
            true => Vec::new(),
            false => names[1..server_count].to_vec(),
        };
        let mut higher = names;
        let lower = higher.split_off(own_rank + 1);
        higher.pop();
        self.fallback = lower;
        if own_rank < server_count {
            self.fallback.extend(higher.drain(own_rank.min(1)..));
        } else {
            // Rotates the servers so that each one is the first choice of an equal share of the
            // other VMs.
            higher[..server_count].rotate_left(first_choice(own_rank));
        }
        self.preferred = higher;
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

    /// Whether this VM serves updates to others. Such a VM reads the whole contents from the store:
    /// after a start of all, its followers would wait for two reads one after the other.
    pub const fn is_server(&self) -> bool {
        self.is_server
    }

    /// Whether updates that `vm` relays from the reader may be used.
    pub fn is_relay(&self, vm: &str) -> bool {
        self.relays.iter().any(|relay| relay == vm)
    }

    /// Returns how often this VM, as one that follows the store, confirms its view of it.
    pub const fn confirm_period(&self) -> Millis {
        match self.serves_relays {
            true => RELAYED_CONFIRM_PERIOD,
            false => CONFIRM_PERIOD,
        }
    }

    /// Whether this VM reads the store, and so is the first to check whether the store is back.
    pub fn is_store_reader(&self) -> bool {
        self.preferred.is_empty()
    }

    /// Ends all backoffs. A VM that has just lost the store asks every peer, as one may have reached it
    /// again since.
    pub fn end_backoffs(&mut self) {
        self.backoff_until.clear();
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
