//! Guards against requests with a key that was taken away, at a VM that catches up in batches: the
//! configuration of a batch confirms nothing before requests are authorized by it.

mod support;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bergamot_gateway::StoreSync;
use bergamot_gateway::own_keys::{ENTRY_PREFIX, EntryRecord};
use bergamot_gateway::shared::SharedState;
use bergamot_peer::{StoreUpdates, UpdateRequest, UpdateResponse, frame};
use bergamot_ports::{StoreEvent, StoreItem, StoreRevision};
use bergamot_types::prelude::*;
use support::entry_site;
use support::store::{CONFIG_KEY, ConfigCatalog, FixedStore, item, revision};
use tokio::sync::mpsc;

/// Longer than a VM takes to make the four requests of a case.
const RUN_TIME: Duration = Duration::from_millis(900);
/// Age of a confirmation from before the pause between two polls, and less than this pause.
const OUTDATED_AGE: Millis = Millis(200);

/// What requests are authorized by.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct AuthorizedState {
    config_version: u64,
    is_recent: bool,
}

impl AuthorizedState {
    fn of(shared: &SharedState) -> Self {
        let view = shared.view.load();
        Self {
            config_version: view.config.as_ref().map_or(0, |config| config.version),
            is_recent: shared.config_age(shared.clock.now()) < OUTDATED_AGE,
        }
    }
}

struct BatchCase {
    name: &'static str,
    /// Whether more changes follow the batch with the second configuration.
    has_more: bool,
    /// What requests are authorized by when the VM asks again.
    expected: AuthorizedState,
}

/// A peer that serves the updates of a case.
struct FakePeer<'a> {
    shared: Arc<SharedState>,
    /// The peer's record.
    entry: StoreItem,
    case: &'a BatchCase,
    /// Takes what requests are authorized by at each request to the peer.
    states: mpsc::UnboundedSender<AuthorizedState>,
}

impl FakePeer<'_> {
    async fn serve(self, listener: tokio::net::TcpListener) {
        let (mut stream, _) = listener.accept().await.expect("the VM connects");
        for index in 0.. {
            let Ok(request) = frame::read_frame(&mut stream).await else {
                return;
            };
            let _ = self.states.send(AuthorizedState::of(&self.shared));
            let updates = self.respond(&request, index);
            let response = UpdateResponse::Changes(Box::new(updates));
            let _ = frame::write_frame(&mut stream, &response).await;
        }
    }

    /// Returns the answer to the request with this index: the first configuration, nothing new, the
    /// second configuration, then nothing new.
    fn respond(&self, request: &UpdateRequest, index: usize) -> StoreUpdates {
        let config = |version, number| item(CONFIG_KEY, vec![version], number);
        let (config_version, items) = match index {
            0 => (1, vec![self.entry.clone(), config(1, 5)]),
            1 => (1, vec![]),
            2 => (2, vec![config(2, 9)]),
            _ => (2, vec![]),
        };
        let last_write = items.last().map(|item| item.revision);
        let known = last_write.unwrap_or(request.after);
        let has_more = index == 2 && self.case.has_more;
        StoreUpdates {
            changes: items.into_iter().map(StoreEvent::Written).collect(),
            revision: known,
            has_more,
            reached: match has_more {
                true => revision(12),
                false => known,
            },
            is_relayed: false,
            age: Millis::ZERO,
            config_version,
            config: None,
            config_age: Millis::ZERO,
            since_return: None,
            since_restore: None,
            retained_evacuations: Vec::new(),
            evacuation_ends: Vec::new(),
        }
    }
}

/// Returns what requests are authorized by at each of the VM's requests to its peer.
async fn play(case: &BatchCase) -> Vec<AuthorizedState> {
    let (stalls, records) = (mpsc::channel(1).0, mpsc::channel(1).0);
    let shared = SharedState::new(entry_site(), stalls, records);
    let peer_listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let peer_listener = peer_listener.expect("a port is free");
    let mut record = EntryRecord::of(&shared.site);
    record.vm = "entry-0".to_owned();
    record.millicores = shared.site.millicores + 1;
    record.peer_addr = peer_listener.local_addr().expect("the socket is bound");
    let entry = item(&format!("{ENTRY_PREFIX}entry-0"), record.to_bytes(), 1);
    let store = FixedStore::with_items(vec![entry.clone()], StoreRevision::ZERO);
    let sync = StoreSync::new(Arc::clone(&shared), Rc::new(store), ConfigCatalog);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.set_nonblocking(true).expect("the socket is open");
    let (states, mut seen_states) = mpsc::unbounded_channel();
    let peer = FakePeer {
        shared,
        entry,
        case,
        states,
    };
    let follow = sync.run(listener, mpsc::channel(1).1);
    let run = async { tokio::join!(follow, peer.serve(peer_listener)) };
    let local = tokio::task::LocalSet::new();
    let _ = local.run_until(tokio::time::timeout(RUN_TIME, run)).await;
    std::iter::from_fn(|| seen_states.try_recv().ok()).collect()
}

#[tokio::test]
async fn a_configuration_confirms_nothing_before_it_is_published() {
    let cases = [
        BatchCase {
            name: "the configuration comes in the last batch",
            has_more: false,
            expected: AuthorizedState {
                config_version: 2,
                is_recent: false,
            },
        },
        BatchCase {
            name: "more changes follow the configuration",
            has_more: true,
            expected: AuthorizedState {
                config_version: 1,
                is_recent: false,
            },
        },
    ];
    for case in &cases {
        let states = play(case).await;
        assert_eq!(states.get(3), Some(&case.expected), "{}", case.name);
    }
}
