//! Operators see which requests are refused for the upstreams that ended under them, and let one go.

use std::net::SocketAddr;
use std::sync::Arc;

use bergamot_adapter::SitePorts;
use bergamot_ctl::cli::{options, run};
use bergamot_ctl::outcome::{CommandOutcome, EXIT_OK, EXIT_REFUSED};
use bergamot_gateway::own_keys::{QUARANTINE_PREFIX, crash_key, quarantine_key};
use bergamot_ports::{PortSet, StateStore};
use bergamot_quarantine::{
    QuarantineEvent, QuarantineRecord, QuarantineState, RequestPrint, RequestStanding,
};
use bergamot_site_standin::{SiteStoreOptions, SiteStoreStandin};
use bergamot_types::prelude::*;

fn incarnation(number: u64) -> UpstreamIncarnation {
    UpstreamIncarnation::new(
        UpstreamId::new(&format!("u{number}")),
        Some(UnixMillis(number)),
    )
}

fn print() -> RequestPrint {
    RequestPrint::of(None, "/history", b"harmful")
}

async fn store() -> (Arc<SiteStoreStandin>, SocketAddr) {
    let store = SiteStoreStandin::new(SiteStoreOptions::default());
    let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await;
    let addr = bergamot_standin::serve_on(listener.expect("a port is free"), Arc::clone(&store));
    (store, addr.expect("the store serves"))
}

async fn command(addr: SocketAddr, words: &[&str]) -> CommandOutcome {
    let addr = addr.to_string();
    let store = ["--store", &addr];
    let words = words.iter().chain(&store);
    let matches = options().parse(words).expect("the options are known");
    run(&matches).await.expect("the command runs")
}

/// What a VM that reads the store makes of the request.
async fn standing(addr: SocketAddr) -> RequestStanding {
    let store = SitePorts::new(addr).store();
    let range = store.range(QUARANTINE_PREFIX).await;
    let mut vm = QuarantineState::default();
    for item in range.expect("the store answers").items {
        let record = QuarantineRecord::from_bytes(&item.value).expect("it is ours");
        let event = QuarantineEvent::Stored {
            key: &item.key,
            record: &record,
        };
        vm.handle(Millis(1_000), event);
    }
    vm.standing(print())
}

#[tokio::test]
async fn a_request_in_quarantine_is_listed_and_let_go() {
    let (store, addr) = store().await;
    let listed = command(addr, &["quarantine"]).await;
    assert_eq!(listed.text, "no request is in quarantine");
    let put = |key: &str, record: &QuarantineRecord| {
        store.put(key, &record.to_bytes().expect("it can be written"));
    };
    for number in 1..=3 {
        let end = QuarantineRecord::CrashWithoutProgress {
            incarnation: incarnation(number),
            prints: vec![print()],
        };
        put(&crash_key(&VmId::new("entry-1"), 7, number), &end);
    }
    let held = QuarantineRecord::Quarantined {
        print: print(),
        incarnations: (1..=3).map(incarnation).collect(),
        since: UnixMillis(1_700_000_000_000),
    };
    put(&quarantine_key(print()), &held);
    assert_eq!(standing(addr).await, RequestStanding::Quarantined);
    let listed = command(addr, &["quarantine"]).await;
    let expected = format!("{} since 1700000000000: u1 u2 u3", print());
    assert_eq!((listed.code, listed.text), (EXIT_OK, expected));
    let name = print().to_string();
    let released = command(addr, &["release", &name]).await;
    assert_eq!(released.code, EXIT_OK, "{}", released.text);
    assert_eq!(standing(addr).await, RequestStanding::Good);
    let again = command(addr, &["release", &name]).await;
    assert_eq!(again.code, EXIT_REFUSED, "{}", again.text);
    // It ends three more.
    for number in 4..=6 {
        let end = QuarantineRecord::CrashWithoutProgress {
            incarnation: incarnation(number),
            prints: vec![print()],
        };
        put(&crash_key(&VmId::new("entry-1"), 7, number), &end);
    }
    assert_eq!(standing(addr).await, RequestStanding::Quarantined);
}
