//! The types that users of this crate need.

pub use crate::connection::{ConnectionPhase, ConnectionStanding, choose_victim};
pub use crate::ledger::{BodyId, BodyLedger, GrowOutcome};
pub use crate::shares::ResourceShares;
