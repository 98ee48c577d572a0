//! Guards against load reports that stay unanswered because the store has dropped a VM's key.

use std::net::SocketAddr;

use bergamot_gateway::addresses::SourceAddresses;
use bergamot_gateway::own_keys::EntryRecord;
use bergamot_types::prelude::*;
use indexmap::IndexMap;

const REPORTED_AT: Millis = Millis(5_000);

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

struct AddressCase {
    name: &'static str,
    /// Port in the VM's record, if the store has one.
    recorded: Option<u16>,
    /// Source port of the VM's last report, if there was one.
    reported: Option<u16>,
    asked_at: Millis,
    port: Option<u16>,
}

#[test]
fn a_vm_whose_key_has_lapsed_gets_replies_to_its_load_reports() {
    let cases = [
        AddressCase {
            name: "a record and no report",
            recorded: Some(1),
            reported: None,
            asked_at: REPORTED_AT,
            port: Some(1),
        },
        AddressCase {
            name: "the record goes first",
            recorded: Some(1),
            reported: Some(2),
            asked_at: REPORTED_AT,
            port: Some(1),
        },
        AddressCase {
            name: "a report and no record",
            recorded: None,
            reported: Some(2),
            asked_at: REPORTED_AT + Millis(100),
            port: Some(2),
        },
        AddressCase {
            name: "a VM that stopped reporting is gone",
            recorded: None,
            reported: Some(2),
            asked_at: REPORTED_AT + Millis(2_500),
            port: None,
        },
        AddressCase {
            name: "neither",
            recorded: None,
            reported: None,
            asked_at: REPORTED_AT,
            port: None,
        },
    ];
    for case in cases {
        let mut addresses = SourceAddresses::default();
        if let Some(port) = case.reported {
            addresses.record("vm-1", addr(port), REPORTED_AT);
            addresses.record("vm-2", addr(9), REPORTED_AT);
        }
        let entries = case.recorded.map(|port| {
            let record = EntryRecord {
                vm: "vm-1".to_owned(),
                peer_addr: addr(port),
                failure_domain: FailureDomain::new("east"),
                millicores: 120,
                forwarding: None,
            };
            (record.vm.clone(), record)
        });
        let entries: IndexMap<String, EntryRecord> = entries.into_iter().collect();
        let resolved = addresses.resolve("vm-1", &entries, case.asked_at);
        assert_eq!(resolved, case.port.map(addr), "{}", case.name);
    }
}
