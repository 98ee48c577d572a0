//! The bundle operators publish, its checks and signatures, and the record that puts one in force.
//!
//! A bundle is an immutable JSON document named by the SHA-256 of its bytes. A roll record names
//! the digest in force and carries a number that only grows. Both are signed with ed25519 keys.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod check;
pub mod document;
pub mod keys;
pub mod roll;
pub mod stage;

pub use check::{Problem, check};
pub use document::{AccountSpec, BundleDocument, ModelSpec, RouteSpec, ServiceSpec};
pub use keys::{BundleDigest, Error, KeyRing, Signature, SignerKey, SignerPublic};
pub use roll::{AdoptOutcome, RollAdopter, RollRecord, SignedBundle};
pub use stage::{GateOutcome, StageGate};
