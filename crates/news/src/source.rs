//! Whom an entry VM learns changes of the store from.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// Peers that are asked in turn before the store is read.
const PEERS_ASKED: usize = 2;

/// Entry VMs of a failure domain for each that reads the store, which makes four calls a second. Each reader sends
/// every change to so many: to a hundred 8.7 MB/s were sent while 3,000 upstreams came up, before news was
/// compressed to an eighth; a link of 20 Mbit/s carries 2.5 MB/s.
const VMS_PER_READER: usize = 48;

/// Time for which a peer that did not answer, or knew nothing fresh, is not asked again. Without it
/// each look would wait for it once more.
const PEER_AVOIDANCE: Millis = Millis(1_500);

/// The same while this VM cannot read the store either: any peer may be the first that can.
const AWAY_AVOIDANCE: Millis = Millis(500);

/// Where a peer stands, for the ranking.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct PeerPlace {
    /// The VM's name.
    pub vm: String,
    /// Where it can be cut off.
    pub failure_domain: FailureDomain,
    /// Thousandths of a core that it may use.
    pub millicores: u32,
}

impl PeerPlace {
    /// The place in the order of duties within a failure domain; higher comes first. Those with the most
    /// processor do, as the first one answers the others.
    pub fn order(&self) -> (u32, u64, String) {
        let key = hash_bytes(self.failure_domain.as_str().as_bytes());
        let score = rendezvous_score(key, &self.vm);
        (self.millicores, score, self.vm.clone())
    }
}

/// Where the next changes come from.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum NewsSource {
    /// The store itself.
    Store,
    /// These peers, one after another, and then the store.
    Peers(Vec<String>),
}

/// The other entry VMs of a failure domain in the order in which they are asked. The order of any
/// two is the same for all, so that in the end one of them reads the store.
#[derive(Clone, Debug, Default)]
pub struct PeerRanking {
    /// Those that are asked; none where this VM reads the store.
    before: Vec<String>,
    /// The others: asked only when this VM cannot read the store itself.
    after: Vec<String>,
    avoided: IndexMap<String, Millis>,
}

impl PeerRanking {
    /// Ranks the peers in the failure domain of this VM, `own`: those with the most processor first,
    /// as the first of them answer the others.
    pub fn rank<Peers>(&mut self, peers: Peers, own: &PeerPlace)
    where
        Peers: IntoIterator<Item = PeerPlace>,
    {
        let own_order = own.order();
        let near = peers
            .into_iter()
            .filter(|it| it.failure_domain == own.failure_domain && it.vm != own.vm);
        let mut ranked: Vec<_> = near.map(|it| it.order()).collect();
        ranked.push(own_order.clone());
        ranked.sort_by(|a, b| b.cmp(a));
        let own_rank = ranked.iter().position(|it| *it == own_order).unwrap_or(0);
        let readers = ranked.len().div_ceil(VMS_PER_READER);
        let mut names: Vec<String> = ranked.into_iter().map(|(_, _, vm)| vm).collect();
        self.after = names.split_off(own_rank + 1);
        names.pop();
        self.before = names;
        if own_rank < readers {
            self.after.append(&mut self.before);
            return;
        }
        // The readers share the others out; each of them is the first for an equal part.
        self.before[..readers].rotate_left(own_rank % readers);
    }

    /// Where this VM learns of changes. `is_away` says that it cannot read the store.
    pub fn source(&self, is_away: bool, now: Millis) -> NewsSource {
        let after = self.after.iter().filter(|_| is_away);
        let usable = self.before.iter().chain(after).filter(|vm| {
            let until = self.avoided.get(*vm);
            until.is_none_or(|until| *until <= now)
        });
        let peers: Vec<String> = usable.take(PEERS_ASKED).cloned().collect();
        match peers.is_empty() {
            true => NewsSource::Store,
            false => NewsSource::Peers(peers),
        }
    }

    /// Whether this VM reads the store: it is to find out first that the store is back.
    pub fn is_first(&self) -> bool {
        self.before.is_empty()
    }

    /// Notes that a peer did not answer, or knew nothing fresh, when this VM could read the store
    /// itself or not (`is_away`).
    pub fn note_failure(&mut self, vm: &str, is_away: bool, now: Millis) {
        let avoidance = match is_away {
            true => AWAY_AVOIDANCE,
            false => PEER_AVOIDANCE,
        };
        self.avoided.retain(|_, until| *until > now);
        self.avoided.insert(vm.to_owned(), now + avoidance);
    }
}
