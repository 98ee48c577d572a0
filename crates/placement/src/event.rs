//! What a coordinator has to know of and what it wants done.

use bergamot_types::prelude::*;

use crate::quota::WantedModel;
use crate::record::DomainRecord;
use crate::report::{EngineReport, VmOrder};
use crate::views::VmListing;

/// What became of a compare-and-swap.
#[derive(Clone, PartialEq, Debug)]
pub enum SwapOutcome {
    /// Written, at this revision.
    Won(i64),
    /// Another write came first.
    Lost,
    /// The answer was lost; the write may have taken effect.
    Unknown,
    /// It was not sent.
    NotSent,
}

/// Something a coordinator has to know of.
#[derive(Clone, Debug)]
pub enum PlacementEvent {
    /// Time passed.
    Tick,
    /// The record was read, by a read begun at `started`. None if there is none.
    Record {
        /// The record in force.
        record: Option<DomainRecord>,
        /// The revision that wrote it.
        revision: i64,
        /// When the read began; for records passed on by a watch, when it arrived.
        started: Millis,
    },
    /// A swap ended.
    Swapped {
        /// Which one.
        nonce: u64,
        /// How.
        outcome: SwapOutcome,
    },
    /// The VM list was read: the engines of this fabric domain.
    Listed(Vec<VmListing>),
    /// An engine answered a question asked at `asked`.
    Report {
        /// Whose engine.
        vm: VmId,
        /// When it was asked.
        asked: Millis,
        /// What it said.
        report: EngineReport,
    },
    /// An engine did not answer a question asked at `asked`.
    Unanswered {
        /// Whose engine.
        vm: VmId,
        /// When it was asked.
        asked: Millis,
    },
    /// What should run here.
    Wanted {
        /// The roll that says so.
        roll: u64,
        /// The models with their counts here.
        models: Vec<WantedModel>,
        /// Whether old versions may be replaced here now.
        may_replace: bool,
    },
    /// Whether this entry VM should coordinate the fabric domain.
    Lead(bool),
    /// An order was answered or given up.
    Ordered {
        /// Whose engine.
        vm: VmId,
    },
}

/// Something a coordinator wants done.
#[derive(Clone, PartialEq, Debug)]
pub enum PlacementAction {
    /// Read the record.
    Read,
    /// Write the record if it is still at this revision.
    Swap {
        /// The record to write.
        record: DomainRecord,
        /// The revision it must still have; zero if it must be absent.
        expected: i64,
    },
    /// Tell an engine.
    Order {
        /// Whose engine.
        vm: VmId,
        /// What to do.
        order: VmOrder,
    },
}
