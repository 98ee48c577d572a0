//! Interfaces through which the serving path uses the platform it runs on.
//!
//! The types use the terms of this project and the traits are narrow; nothing here depends on the
//! names of a platform.
//!
//! | port | trait |
//! | --- | --- |
//! | state store | [`StateStore`] |
//! | configuration source and upstream directory | [`StoreCatalog`] |
//! | upstream control | [`UpstreamControl`] |
//! | caller dialect | [`CallerDialect`] |
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod call;
pub mod catalog;
pub mod config;
pub mod control;
pub mod directory;
pub mod generation;
pub mod port_set;
pub mod region;
pub mod residency;
pub mod revision;
pub mod site;
pub mod store;

pub use call::{
    CallerCall, CallerDialect, MAX_PART_ID_BYTES, MAX_PROMPT_PARTS, OutgoingContext,
    PromptPartsError, RefusalContext, ReplyFacts,
};
pub use catalog::{CatalogError, MAX_ENTRY_BYTES, StoreCatalog};
pub use config::{
    AccountGrant, CallerLimits, EngineSpec, EngineSpeed, ModelSpec, Route, RouteKind, RouteTarget,
    ServiceSpec, ServingConfig, WarmUpSpec,
};
pub use control::{
    ControlError, GroupOrder, OrderOutcome, OrderRequest, UpstreamControl, UpstreamReport,
    UpstreamTarget,
};
pub use directory::{GroupMembership, MAX_COLD_TIME, MemberState, UpstreamEntry, UpstreamState};
pub use generation::{StoreGeneration, StoreLease};
pub use port_set::PortSet;
pub use region::{HomeRegions, RegionMap};
pub use residency::RequestHomes;
pub use revision::StoreRevision;
pub use site::{ServingBounds, VmLimits, VmSite, WarmUpBounds};
pub use store::{
    KeyCondition, KeyWrite, StateStore, StoreError, StoreEvent, StoreItem, StoreRange, StoreTxn,
    TxnOutcome, WatchOutcome,
};
