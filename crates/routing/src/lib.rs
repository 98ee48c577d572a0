//! What becomes of a request: admission under limits, the choice of an upstream, attempts,
//! retries and resumption.
//!
//! Decisions only: no I/O, no clock, and random numbers come from a seed that is handed in.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod admission;
pub mod attempt;
pub mod balance;
pub mod book;

pub mod choose;
pub mod gate;
pub mod load;
pub mod pace;
mod reach;
pub mod resume;
pub mod retry;
pub mod returns;
pub mod runner;
pub mod share;
pub mod sharing;
pub mod told;
pub mod upstream;

pub use admission::{AdmissionOutcome, AdmissionQueue, AdmissionRequest, Admitted};
pub use attempt::{Answered, Attempt, NotSent, Sent, SentOutcome};
pub use balance::{BalanceOptions, BalancePolicy, Balancer, Choice, PickRequest};
pub use book::UpstreamBook;

pub use choose::{UpstreamAsk, UpstreamChoice};
pub use gate::{GateState, GateTable};
pub use load::UpstreamLoad;
pub use pace::{LeaderPatience, LeaderSilence, ModelPace, ModelPaces, SentRun, SilenceVerdict};
pub use resume::StreamResume;
pub use retry::RetryBudget;
pub use returns::{ReturnTimes, ServingOutage, patience};
pub use runner::{RunnerFact, RunnerLoad, RunnerTable};
pub use share::{Borrow, Lend, LimitShares, ShareOptions};
pub use sharing::LeaderSharing;
pub use told::{SilenceNews, ToldSilence, ToldSilences};
pub use upstream::RouteUpstream;
