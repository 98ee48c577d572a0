//! Reports from engines and orders to engines.

use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::record::ModelRef;

/// State of an engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EnginePhase {
    /// In no group.
    #[default]
    Idle,
    /// In a group, loading weights.
    Loading,
    /// In a group, able to serve.
    Ready,
    /// In a group, accepting no new requests.
    Draining,
}

/// An engine's report on its own state. The load figures lag behind.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct EngineReport {
    /// The group that the engine believes it is in.
    pub group: Option<GroupId>,
    /// The epoch of the group in which the engine joined.
    pub epoch: u32,
    /// The newest term whose orders the engine has accepted.
    pub term: u64,
    /// The model that the engine runs.
    pub model: Option<ModelRef>,
    /// State of the engine.
    pub phase: EnginePhase,
    /// Number of requests that the engine generates output for.
    pub running: u32,
    /// Number of requests in the engine's queue.
    pub queued: u32,
    /// Models whose weights the engine holds in memory.
    #[serde(default)]
    pub warm: Vec<ModelRef>,
}

impl EngineReport {
    /// Whether the engine reports that it is ready in this epoch of the group.
    pub fn is_ready_in(&self, group: &GroupId, epoch: u32) -> bool {
        self.is_in(group, epoch) && self.phase == EnginePhase::Ready
    }

    /// Whether the engine reports that it is in this epoch of the group.
    pub fn is_in(&self, group: &GroupId, epoch: u32) -> bool {
        self.group.as_ref() == Some(group) && self.epoch == epoch
    }
}

/// The operation that an order requests.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum OrderKind {
    /// Join the group and load the model.
    Join {
        /// The model to run.
        model: ModelRef,
        /// All members, the leader first.
        members: Vec<VmId>,
    },
    /// Accept no new requests.
    Drain,
    /// Leave the group.
    Leave,
    /// Load the weights into memory without joining a group.
    Warm {
        /// The model to load.
        model: ModelRef,
    },
}

/// An order with its fencing token.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct VmOrder {
    /// The group that the order concerns; none for [`OrderKind::Warm`].
    pub group: Option<GroupId>,
    /// Epoch of the group.
    pub epoch: u32,
    /// Term of the coordinator, which is the fencing token.
    pub term: u64,
    /// The operation.
    #[serde(flatten)]
    pub kind: OrderKind,
}
