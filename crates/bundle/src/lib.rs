//! The configuration bundle that operators publish, its validation and signatures, and the roll
//! record that activates a bundle.
//!
//! A bundle is an immutable JSON document that is identified by the SHA-256 digest of its bytes.
//! The roll record contains the digest of the active bundle and a roll number that only increases.
//! Both are signed with Ed25519 keys.
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
