//! What engines report and what they are ordered to do.

use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::record::ModelRef;

/// What an engine is doing.
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
    /// In a group, taking no new requests.
    Draining,
}

/// One engine's report of itself. Its load lags behind reality.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct EngineReport {
    /// The group it thinks it is in.
    pub group: Option<GroupId>,
    /// The epoch of that group it joined.
    pub epoch: u32,
    /// The newest term it took an order of.
    pub term: u64,
    /// What it runs.
    pub model: Option<ModelRef>,
    /// What it is doing.
    pub phase: EnginePhase,
    /// Requests it is generating for.
    pub running: u32,
    /// Requests it has queued.
    pub queued: u32,
    /// Models whose weights it holds in memory.
    #[serde(default)]
    pub warm: Vec<ModelRef>,
}

impl EngineReport {
    /// Whether the engine says it is ready in this epoch of this group.
    pub fn is_ready_in(&self, group: &GroupId, epoch: u32) -> bool {
        self.is_in(group, epoch) && self.phase == EnginePhase::Ready
    }

    /// Whether the engine says it is in this epoch of this group.
    pub fn is_in(&self, group: &GroupId, epoch: u32) -> bool {
        self.group.as_ref() == Some(group) && self.epoch == epoch
    }
}

/// What an engine is told to do.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum OrderKind {
    /// Join the group and load the model.
    Join {
        /// What to run.
        model: ModelRef,
        /// All members, the leader first.
        members: Vec<VmId>,
    },
    /// Take no new requests.
    Drain,
    /// Leave the group.
    Leave,
    /// Hold the weights in memory without joining a group.
    Warm {
        /// What to hold.
        model: ModelRef,
    },
}

/// An order with the numbers that fence it.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct VmOrder {
    /// Which group it is about; none for [`OrderKind::Warm`].
    pub group: Option<GroupId>,
    /// Which epoch of the group.
    pub epoch: u32,
    /// The coordinator's term.
    pub term: u64,
    /// What to do.
    #[serde(flatten)]
    pub kind: OrderKind,
}
