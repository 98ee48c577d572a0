//! Records of entry VMs are read by versions that do not know all of their fields.

mod support;

use bergamot_gateway::own_keys::{EntryRecord, ForwardEndpoint};
use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The record as versions without forwarding write and read it.
#[derive(PartialEq, Eq, Debug, Serialize, Deserialize)]
struct EarlierRecord {
    vm: String,
    peer_addr: SocketAddr,
    failure_domain: FailureDomain,
    millicores: u32,
}

#[test]
fn versions_with_and_without_forwarding_read_each_others_records() {
    let record = EntryRecord::of(&support::entry_site());
    let earlier = EarlierRecord {
        vm: record.vm.clone(),
        peer_addr: record.peer_addr,
        failure_domain: record.failure_domain.clone(),
        millicores: record.millicores,
    };
    let endpoint = ForwardEndpoint {
        addr: record.peer_addr,
        secret: u64::MAX,
    };
    for forwarding in [None, Some(endpoint)] {
        let record = record.clone().with_forwarding(forwarding);
        let bytes = record.to_bytes();
        assert_eq!(EntryRecord::from_bytes(&bytes), Some(record));
        let read: EarlierRecord =
            postcard::from_bytes(&bytes).expect("an earlier version reads it");
        assert_eq!(read, earlier);
    }
    let bytes = postcard::to_stdvec(&earlier).expect("the record is encoded");
    assert_eq!(EntryRecord::from_bytes(&bytes), Some(record));
}
