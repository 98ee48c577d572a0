//! What the duties have in common: rings, snapshots, clock, metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};

use arc_swap::ArcSwap;
use bergamot_claims::{ClaimEvent, ClaimKey, FinishOutcome, Verdict};
use bergamot_peer::{Answer, Datagram, GroupsEntry, Question};
use bergamot_placement::VmOrder;
use bergamot_quarantine::QuarantineState;
use bergamot_types::prelude::*;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::clock::BootClock;
use crate::control::{ControlEvent, ProbeTarget};
use crate::metrics::EntryMetrics;
use crate::ring::RingSender;
use crate::route_view::RouteView;
use crate::routing_state::RoutingState;
use crate::settings::EntrySettings;

/// What goes to the control duty.
pub enum ControlInbox {
    /// An event.
    Event(ControlEvent),
    /// The state is wanted as JSON.
    Dump(oneshot::Sender<serde_json::Value>),
    /// The records of groups are wanted.
    Groups(oneshot::Sender<Vec<GroupsEntry>>),
}

/// What goes to the platform duty.
pub enum PlatformTask {
    /// Read a key.
    Read(String),
    /// Write a key if it is still at this revision.
    Swap {
        /// The key.
        key: String,
        /// The revision it must have.
        expected: i64,
        /// The value.
        value: Vec<u8>,
        /// The nonce in the value.
        nonce: u64,
    },
}

/// What goes to the peer duty.
pub enum PeerTask {
    /// Send a datagram.
    Send(SocketAddr, Box<Datagram>),
    /// Ask a peer; the answer, if there is one, comes back.
    Ask(SocketAddr, Question, oneshot::Sender<Option<Answer>>),
}

/// What goes to the probe duty.
pub enum ProbeTask {
    /// Ask an engine for its report.
    Probe(ProbeTarget),
    /// Give an engine an order.
    Order(ProbeTarget, VmOrder),
}

/// What goes to the claims duty.
pub enum ClaimsFront {
    /// A request with a key wants to run.
    Ask {
        /// The key.
        key: ClaimKey,
        /// Hash of the request.
        body: u64,
        /// How long it may run.
        grant: Millis,
        /// Where the verdict goes, with the number of the attempt.
        reply: oneshot::Sender<(u64, Verdict)>,
    },
    /// A granted request ended.
    Finish {
        /// The key.
        key: ClaimKey,
        /// The number of the attempt.
        attempt: u64,
        /// How.
        outcome: FinishOutcome,
        /// Held until its owner knows.
        note: ClaimNote,
    },
    /// A peer's question, with where its answer goes.
    Peer(Question, oneshot::Sender<Answer>),
    /// Something the claims themselves asked for came back.
    Event(ClaimEvent),
    /// The state is wanted as JSON.
    Dump(oneshot::Sender<serde_json::Value>),
}

/// A note on a claim that the process must not end before: a verdict for a peer, or how a request ended. Without it a claim stays granted
/// that nobody uses, and its key cannot be decided.
pub struct ClaimNote {
    count: Arc<AtomicI64>,
}

impl Drop for ClaimNote {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Everything the duties share.
pub struct SharedState {
    /// The settings.
    pub settings: EntrySettings,
    /// This run of the daemon.
    pub incarnation: u64,
    /// The clock.
    pub clock: BootClock,
    /// The metrics.
    pub metrics: EntryMetrics,
    /// The newest snapshot of routes.
    pub view: ArcSwap<RouteView>,
    /// Requests under which upstreams ended.
    pub quarantine: Mutex<QuarantineState>,
    /// The state of routing.
    pub routing: Mutex<RoutingState>,
    /// Whether the daemon is stopping.
    pub stopping: AtomicBool,
    /// Callers' requests that have not been answered in full.
    pub in_flight: AtomicI64,
    /// Notes on claims that are on their way; see [`ClaimNote`].
    pub claim_notes: Arc<AtomicI64>,
    /// Whether no claim is granted any more, as the process is about to end.
    pub are_claims_closed: AtomicBool,
    /// To the control duty.
    pub control: RingSender<ControlInbox>,
    /// To the platform duty.
    pub platform: RingSender<PlatformTask>,
    /// To the peer duty.
    pub peer: RingSender<PeerTask>,
    /// To the probe duty.
    pub probe: RingSender<ProbeTask>,
    /// To the claims duty.
    pub claims: RingSender<ClaimsFront>,
    /// Calls to the key-value service so far.
    pub kv_calls: ArcSwap<serde_json::Value>,
}

impl SharedState {
    /// Hands an event to control.
    pub fn tell_control(&self, event: ControlEvent) {
        if !self.control.push(ControlInbox::Event(event)) {
            self.metrics
                .dropped
                .with_label_values(&["control_ring_full"])
                .inc();
        }
    }

    /// Counts a note on a claim until the guard is dropped.
    pub fn claim_note(&self) -> ClaimNote {
        self.claim_notes.fetch_add(1, Ordering::SeqCst);
        ClaimNote {
            count: Arc::clone(&self.claim_notes),
        }
    }

    /// Whether the daemon is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Asks a peer and waits for its answer.
    pub async fn ask_peer(self: &Arc<Self>, to: SocketAddr, question: Question) -> Option<Answer> {
        let (sender, receiver) = oneshot::channel();
        if !self.peer.push(PeerTask::Ask(to, question, sender)) {
            return None;
        }
        receiver.await.ok().flatten()
    }

    /// The peer address of a member, by the newest roster.
    pub fn peer_addr(&self, entry: &EntryId) -> Option<SocketAddr> {
        let view = self.view.load();
        view.roster.member(entry).map(|member| member.peer_addr)
    }
}
