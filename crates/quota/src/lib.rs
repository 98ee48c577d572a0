//! How many requests all entry VMs together send to an upstream that advertises a limit.
//!
//! Each such upstream has an owner among the entry VMs, drawn by rendezvous. Before a request is sent there its VM asks the
//! owner for a permit; without an answer nothing is sent. So the sum over all VMs is kept at one place, whatever the others
//! have heard, and a VM that reaches no owner sends nothing.
//!
//! | module | what it knows |
//! | --- | --- |
//! | [`limit`] | which limits upstreams advertise, and which of two words holds |
//! | [`message`] | what VMs tell and ask each other |
//! | [`fleet`] | which VM owns which quota, and from when on |
//! | [`allowance`] | the permits of one upstream, and in which order requests get them |
//! | [`state`] | all of it for one VM |
//! | [`bucket`] | a rate limit |
//!
//! Decisions only: no sockets and no clock.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod allowance;
pub mod bucket;
pub mod fleet;
pub mod limit;
pub mod message;
pub mod state;

pub use allowance::SendAllowance;
pub use bucket::TokenBucket;
pub use fleet::QuotaFleet;
pub use limit::{LimitChange, LimitObservation, LimitTable};
pub use message::{LimitReport, PermitAnswer, PermitClaim, PermitQuestion, PermitVerdict};
pub use state::{PermitStep, QuotaAction, QuotaEvent, QuotaState, QuotaTarget};
