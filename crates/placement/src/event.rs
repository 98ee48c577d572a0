//! Inputs and outputs of [`PlacementState`](crate::PlacementState).

use bergamot_types::prelude::*;

use crate::quota::WantedModel;
use crate::record::DomainRecord;
use crate::report::{EngineReport, VmOrder};
use crate::views::VmListing;

/// Outcome of a compare-and-swap.
#[derive(Clone, PartialEq, Debug)]
pub enum SwapOutcome {
    /// The record was written at this revision.
    Won(i64),
    /// Another write came first.
    Lost,
    /// The reply was lost; the write may have taken effect.
    Unknown,
    /// The swap was not sent.
    NotSent,
}

/// An input of [`PlacementState`](crate::PlacementState).
#[derive(Clone, Debug)]
pub enum PlacementEvent {
    /// Time has passed.
    Tick,
    /// The record was read.
    Record {
        /// The current record, or none if the store has none.
        record: Option<DomainRecord>,
        /// The revision that wrote the record.
        revision: i64,
        /// When the read began; for a record from a watch, when it arrived.
        started: Millis,
    },
    /// A swap completed.
    Swapped {
        /// Nonce of the record in the swap.
        nonce: u64,
        /// Outcome of the swap.
        outcome: SwapOutcome,
    },
    /// The VM list was read. Carries the engine VMs of this fabric domain.
    Listed(Vec<VmListing>),
    /// An engine answered a query.
    Report {
        /// The engine's VM.
        vm: VmId,
        /// When the query was sent.
        asked: Millis,
        /// The engine's answer.
        report: EngineReport,
    },
    /// An engine did not answer a query.
    Unanswered {
        /// The engine's VM.
        vm: VmId,
        /// When the query was sent.
        asked: Millis,
    },
    /// The models that this fabric domain should run have changed.
    Wanted {
        /// The roll that specifies the models.
        roll: u64,
        /// The models, with the number of groups in this fabric domain.
        models: Vec<WantedModel>,
        /// Whether groups of old versions may be replaced in this fabric domain now.
        may_replace: bool,
    },
    /// Whether this entry VM should coordinate the fabric domain.
    Lead(bool),
    /// An order was answered or given up.
    Ordered {
        /// The VM that the order was for.
        vm: VmId,
    },
}

/// An output of [`PlacementState`](crate::PlacementState).
#[derive(Clone, PartialEq, Debug)]
pub enum PlacementAction {
    /// Read the record.
    Read,
    /// Write the record if the stored one is still at the expected revision.
    Swap {
        /// The record to write.
        record: DomainRecord,
        /// Expected revision of the stored record; zero if there must be none.
        expected: i64,
    },
    /// Send an order to an engine.
    Order {
        /// The engine's VM.
        vm: VmId,
        /// The order.
        order: VmOrder,
    },
}
