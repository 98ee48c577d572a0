//! Which VMs form which replica group, and how a group is assembled, repaired and released.
//!
//! One record per fabric domain says which VM belongs to which group, as one field of the VM, so
//! that a VM in two groups cannot be written. The record changes only by compare-and-swap.
//!
//! Decisions only: no I/O, no clock, no random numbers. See [`PlacementState::handle`].
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod advance;
pub mod cost;
pub mod event;
pub mod evidence;
pub mod fence;
pub mod options;
pub mod orders;
pub mod quota;
pub mod record;
pub mod repair;
pub mod report;
pub mod state;
pub mod views;

pub use event::{PlacementAction, PlacementEvent, SwapOutcome};
pub use evidence::{GroupEvidence, group_evidence};
pub use fence::TermFence;
pub use options::{PlacementOptions, RepairPolicy};
pub use quota::{DomainCapacity, WantedModel, distribute_replicas};
pub use record::{DomainRecord, GroupPhase, GroupRecord, ModelRef, VmSlot, VmUse};
pub use report::{EnginePhase, EngineReport, OrderKind, VmOrder};
pub use state::PlacementState;
pub use views::{ListedState, VmListing, VmView};
