//! Decides which VMs form which replica group, and how groups are formed, repaired and released.
//!
//! Each fabric domain has one record that states for every VM which group it belongs to. As group
//! membership is a field of the VM, a record cannot contain a VM in two groups. The record changes
//! only by compare-and-swap.
//!
//! This crate does no I/O, reads no clock and draws no random numbers. See
//! [`PlacementState::handle`].
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
pub use views::{ListingState, VmListing, VmView};
