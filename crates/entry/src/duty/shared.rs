//! State shared by the duties: rings, snapshots, the clock and the metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};

use arc_swap::ArcSwap;
use bergamot_claims::{ClaimEvent, ClaimKey, FinishOutcome, Verdict};
use bergamot_gateway::duty::DutyWatch;
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

/// Input of the control duty.
pub enum ControlInbox {
    /// An event for the control state.
    Event(ControlEvent),
    /// Requests the state as JSON.
    Dump(oneshot::Sender<serde_json::Value>),
    /// Requests the records of the groups.
    Groups(oneshot::Sender<Vec<GroupsEntry>>),
}

/// Task for the platform duty.
pub enum PlatformTask {
    /// Reads a key.
    Read(String),
    /// Writes a key if its revision is the expected one.
    Swap {
        /// The key.
        key: String,
        /// The expected revision; 0 if the key must not exist.
        expected: i64,
        /// The new value.
        value: Vec<u8>,
        /// The nonce stored in the value, which identifies this write.
        nonce: u64,
    },
}

/// Task for the peer duty.
pub enum PeerTask {
    /// Sends a datagram.
    Send(SocketAddr, Box<Datagram>),
    /// Sends a question to a peer. The sender receives the answer, or `None` if there is none.
    Ask(SocketAddr, Question, oneshot::Sender<Option<Answer>>),
}

/// Task for the probe duty.
pub enum ProbeTask {
    /// Queries an engine for its report.
    Probe(ProbeTarget),
    /// Sends an order to an engine.
    Order(ProbeTarget, VmOrder),
}

/// Input of the claims duty.
pub enum ClaimsInbox {
    /// Requests the claim of an idempotency key, so that a request may run.
    Ask {
        /// The key.
        key: ClaimKey,
        /// The fingerprint of the request.
        body: u64,
        /// How long the request may run.
        grant: Millis,
        /// Receives the number of the attempt and the verdict.
        reply: oneshot::Sender<(u64, Verdict)>,
    },
    /// Reports that a request with a granted claim ended.
    Finish {
        /// The key.
        key: ClaimKey,
        /// The number of the attempt.
        attempt: u64,
        /// How the request ended.
        outcome: FinishOutcome,
        /// Held until the owner of the claim has been notified.
        note: ClaimNote,
    },
    /// A question from a peer and the sender for its answer.
    Peer(Question, oneshot::Sender<Answer>),
    /// The result of a call that the claim state requested.
    Event(ClaimEvent),
    /// Requests the state as JSON.
    Dump(oneshot::Sender<serde_json::Value>),
}

/// Guard for a message about a claim that must be delivered before the process exits: a verdict for a
/// peer, or the outcome of a request. If the message is lost, the claim stays granted although nothing
/// runs under it, and the outcome of its key cannot be determined.
pub struct ClaimNote {
    count: Arc<AtomicI64>,
}

impl Drop for ClaimNote {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::SeqCst);
    }
}

/// State shared by all duties.
pub struct SharedState {
    /// The settings of this entry VM.
    pub settings: EntrySettings,
    /// The incarnation of this process.
    pub incarnation: u64,
    /// The time since boot.
    pub clock: BootClock,
    /// The exported metrics.
    pub metrics: EntryMetrics,
    /// The latest snapshot of the routes.
    pub view: ArcSwap<RouteView>,
    /// Requests that are suspected of crashing upstreams.
    pub quarantine: Mutex<QuarantineState>,
    /// The routing state.
    pub routing: Mutex<RoutingState>,
    /// Whether the daemon is stopping.
    pub stopping: AtomicBool,
    /// Callers' requests whose response is not complete.
    pub in_flight: AtomicI64,
    /// Number of live [`ClaimNote`] guards.
    pub claim_notes: Arc<AtomicI64>,
    /// Whether claims are rejected because the process is about to exit.
    pub are_claims_closed: AtomicBool,
    /// The inbox of the control duty.
    pub control: RingSender<ControlInbox>,
    /// Tasks for the platform duty.
    pub platform: RingSender<PlatformTask>,
    /// Tasks for the peer duty.
    pub peer: RingSender<PeerTask>,
    /// Tasks for the probe duty.
    pub probe: RingSender<ProbeTask>,
    /// The inbox of the claims duty.
    pub claims: RingSender<ClaimsInbox>,
    /// Counts of calls to the key-value store, for the dump.
    pub kv_calls: ArcSwap<serde_json::Value>,
    /// Ends of loops that the process cannot go on without.
    pub duties: DutyWatch,
}

impl SharedState {
    /// Queues an event for control. If the ring is full, the event is dropped and counted.
    pub fn send_control(&self, event: ControlEvent) {
        if !self.control.push(ControlInbox::Event(event)) {
            self.metrics
                .dropped
                .with_label_values(&["control_ring_full"])
                .inc();
        }
    }

    /// Registers a message about a claim until the returned guard is dropped.
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

    /// Spawns a loop that the process cannot go on without.
    pub fn spawn_required<Running>(self: &Arc<Self>, duty: &'static str, running: Running)
    where
        Running: Future<Output = ()> + Send + 'static,
    {
        let shared = Arc::clone(self);
        tokio::spawn(async move { shared.watch(duty, running).await });
    }

    /// Runs a loop that the process cannot go on without.
    pub async fn watch<Running>(&self, duty: &'static str, running: Running)
    where
        Running: Future<Output = ()>,
    {
        let is_stopping = || self.is_stopping();
        self.duties.watch(duty, running, is_stopping).await;
    }

    /// Sends a question to a peer and waits for its answer. Returns `None` if there is none.
    pub async fn ask_peer(self: &Arc<Self>, to: SocketAddr, question: Question) -> Option<Answer> {
        let (sender, receiver) = oneshot::channel();
        if !self.peer.push(PeerTask::Ask(to, question, sender)) {
            return None;
        }
        receiver.await.ok().flatten()
    }

    /// Returns the peer address of a member, according to the latest roster.
    pub fn peer_addr(&self, entry: &EntryId) -> Option<SocketAddr> {
        let view = self.view.load();
        view.roster.member(entry).map(|member| member.peer_addr)
    }
}
