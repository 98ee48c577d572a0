//! Inputs and outputs of the control state machine.

use std::net::SocketAddr;
use std::sync::Arc;

use bergamot_bundle::{BundleDigest, RollRecord, SignedBundle};
use bergamot_peer::{Datagram, DemandFact, GroupsEntry};
use bergamot_placement::{EngineReport, SwapOutcome, VmOrder};
use bergamot_platform::{KvEntry, VmFact};
use bergamot_roster::RosterRecord;
use bergamot_types::prelude::*;

use crate::route_view::RouteView;

/// An input of the control state machine.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// A timer fired.
    Tick,
    /// A read of a key succeeded.
    Read {
        /// The key.
        key: String,
        /// The key's entry, or `None` if the key is absent.
        entry: Option<KvEntry>,
        /// When the read was started.
        started: Millis,
    },
    /// A read of a key failed.
    ReadFailed {
        /// The key.
        key: String,
    },
    /// A compare-and-swap completed.
    Swapped {
        /// The key.
        key: String,
        /// The nonce in the value, which identifies the swap.
        nonce: u64,
        /// The result of the swap.
        outcome: SwapOutcome,
    },
    /// The VM list was read.
    Listed(Vec<VmFact>),
    /// A datagram was received from this address.
    Datagram(Box<Datagram>, SocketAddr),
    /// A peer sent its roll and the signed bundle.
    PeerRoll(Box<(RollRecord, SignedBundle)>),
    /// A peer sent its roster.
    PeerRoster(RosterRecord),
    /// A peer sent its group records.
    PeerGroups(Vec<GroupsEntry>),
    /// A probe of an engine completed.
    Report {
        /// The engine's VM.
        vm: VmId,
        /// When the probe was sent.
        asked: Millis,
        /// The engine's report, or `None` if the engine did not answer.
        report: Option<EngineReport>,
    },
    /// An order was answered or abandoned.
    Ordered {
        /// The engine's VM.
        vm: VmId,
    },
    /// The claims duty has settled on this roster epoch.
    ClaimsSettled(u64),
    /// The part of each account's limit that this VM could lend.
    Slack(Vec<DemandFact>),
    /// The daemon is stopping.
    Stopping,
}

/// An engine to probe or to send an order to.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ProbeTarget {
    /// The engine's VM.
    pub vm: VmId,
    /// The address the engine listens on.
    pub addr: SocketAddr,
}

/// An output of the control state machine, for the duty to carry out.
#[derive(Clone, Debug)]
pub enum ControlAction {
    /// Read a key.
    Read(String),
    /// Write a key if its revision is unchanged.
    Swap {
        /// The key.
        key: String,
        /// The expected revision; zero if the key must be absent.
        expected: i64,
        /// The value to write.
        value: Vec<u8>,
        /// The nonce in the value, which identifies the swap.
        nonce: u64,
    },
    /// Send a datagram.
    Send(SocketAddr, Box<Datagram>),
    /// Query a peer for a roll newer than this number.
    QueryRoll(SocketAddr, u64),
    /// Query a peer for its roster.
    QueryRoster(SocketAddr),
    /// Query a peer for its group records.
    QueryGroups(SocketAddr),
    /// Query an engine for its report.
    Probe(ProbeTarget),
    /// Send an order to an engine.
    Order {
        /// The engine that receives the order.
        target: ProbeTarget,
        /// The order.
        order: VmOrder,
    },
    /// The roster changed.
    Roster(RosterRecord),
    /// Publish a new snapshot of the routes.
    Publish(Arc<RouteView>),
    /// A roll with this number and bundle was adopted.
    Adopted(u64, BundleDigest),
    /// Write a line to the log.
    Note(String),
}
