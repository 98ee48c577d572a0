//! Addresses of the entry VMs for datagrams.

use std::net::SocketAddr;

use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::own_keys::EntryRecord;

/// How long the source address of a datagram is used. Several times the period of load reports, so
/// that the reply to a report always has an address.
const SOURCE_VALIDITY: Millis = Millis(2_000);

/// Source addresses of datagrams, by entry VM.
///
/// The store drops the key of a VM that was cut off from it for some seconds, and cannot take it
/// back during an outage. Such a VM still reports its load; without the replies it does not know the
/// load of the others, and overloads the leaders that they use.
#[derive(Debug, Default)]
pub struct SourceAddresses {
    sources: IndexMap<String, DatagramSource>,
}

#[derive(Clone, Copy, Debug)]
struct DatagramSource {
    addr: SocketAddr,
    received_at: Millis,
}

impl SourceAddresses {
    /// Records the source address of a datagram from `vm`.
    pub fn record(&mut self, vm: &str, addr: SocketAddr, now: Millis) {
        let source = DatagramSource {
            addr,
            received_at: now,
        };
        match self.sources.get_mut(vm) {
            Some(known) => *known = source,
            None => {
                self.sources
                    .retain(|_, known| now.since(known.received_at) < SOURCE_VALIDITY);
                self.sources.insert(vm.to_owned(), source);
            }
        }
    }

    /// Returns the address of `vm`: the one in its record, or else the source of its last datagram.
    pub fn resolve(
        &self,
        vm: &str,
        entries: &IndexMap<String, EntryRecord>,
        now: Millis,
    ) -> Option<SocketAddr> {
        if let Some(entry) = entries.get(vm) {
            return Some(entry.peer_addr);
        }
        let source = self.sources.get(vm)?;
        (now.since(source.received_at) < SOURCE_VALIDITY).then_some(source.addr)
    }
}
