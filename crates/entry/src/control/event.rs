//! What control has to know of and what it wants done.

use std::net::SocketAddr;
use std::sync::Arc;

use bergamot_bundle::{BundleDigest, RollRecord, SignedBundle};
use bergamot_peer::{Datagram, DemandFact, GroupsEntry};
use bergamot_placement::{EngineReport, SwapOutcome, VmOrder};
use bergamot_platform::{KvEntry, VmFact};
use bergamot_roster::RosterRecord;
use bergamot_types::prelude::*;

use crate::route_view::RouteView;

/// Something control has to know of.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// Time passed.
    Tick,
    /// A key was read, by a read begun at `started`.
    Read {
        /// The key.
        key: String,
        /// Its entry; none if it is absent.
        entry: Option<KvEntry>,
        /// When the read began.
        started: Millis,
    },
    /// A key was not read.
    ReadFailed {
        /// The key.
        key: String,
    },
    /// A compare-and-swap ended.
    Swapped {
        /// The key.
        key: String,
        /// The nonce in the value.
        nonce: u64,
        /// How it ended.
        outcome: SwapOutcome,
    },
    /// The VM list was read.
    Listed(Vec<VmFact>),
    /// A datagram came in from this address.
    Datagram(Box<Datagram>, SocketAddr),
    /// A peer gave its roll.
    PeerRoll(Box<(RollRecord, SignedBundle)>),
    /// A peer gave its roster.
    PeerRoster(RosterRecord),
    /// A peer gave its records of groups.
    PeerGroups(Vec<GroupsEntry>),
    /// An engine was asked at `asked`; none if it did not answer.
    Report {
        /// Whose engine.
        vm: VmId,
        /// When it was asked.
        asked: Millis,
        /// What it said.
        report: Option<EngineReport>,
    },
    /// An order was answered or given up.
    Ordered {
        /// Whose engine.
        vm: VmId,
    },
    /// Claims have settled on an epoch.
    ClaimsSettled(u64),
    /// What this VM could lend of each account's limit.
    Slack(Vec<DemandFact>),
    /// The daemon is stopping.
    Stopping,
}

/// An engine to ask.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ProbeTarget {
    /// Its VM.
    pub vm: VmId,
    /// Where it listens.
    pub addr: SocketAddr,
}

/// Something control wants done.
#[derive(Clone, Debug)]
pub enum ControlAction {
    /// Read a key.
    Read(String),
    /// Write a key if it is still at this revision.
    Swap {
        /// The key.
        key: String,
        /// The revision it must have; zero if it must be absent.
        expected: i64,
        /// The value.
        value: Vec<u8>,
        /// The nonce in the value.
        nonce: u64,
    },
    /// Send a datagram.
    Send(SocketAddr, Box<Datagram>),
    /// Ask a peer for a roll newer than this.
    AskRoll(SocketAddr, u64),
    /// Ask a peer for its roster.
    AskRoster(SocketAddr),
    /// Ask a peer for its records of groups.
    AskGroups(SocketAddr),
    /// Ask an engine for its report.
    Probe(ProbeTarget),
    /// Give an engine an order.
    Order {
        /// The engine.
        target: ProbeTarget,
        /// What to do.
        order: VmOrder,
    },
    /// The roster changed.
    Roster(RosterRecord),
    /// Routes changed.
    Publish(Arc<RouteView>),
    /// A roll was adopted.
    Adopted(u64, BundleDigest),
    /// Something for the log.
    Note(String),
}
