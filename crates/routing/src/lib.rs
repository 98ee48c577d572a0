//! Decisions about a request: admission under limits, selection of an upstream, attempts, retries
//! and resumption.
//!
//! The crate does no I/O and reads no clock. Random numbers derive from a seed or are passed in.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod admission;
pub mod attempt;
pub mod balance;
pub mod monitor;

pub mod assignment;
pub mod choose;
pub mod forward;
pub mod gate;
pub mod latency;
pub mod load;
pub mod partition;
mod reach;
pub mod resume;
pub mod retry;
pub mod returns;
pub mod share;
pub mod stalls;
pub mod table;
pub mod upstream;

pub use admission::{AdmissionDecision, AdmissionOutcome, AdmissionQueue, AdmissionRequest};
pub use attempt::{Answered, Attempt, NotSent, Sent, SentOutcome};
pub use balance::{BalanceOptions, BalancePolicy, Balancer, Choice, PickRequest};
pub use monitor::UpstreamMonitor;

pub use assignment::LeaderAssignment;
pub use choose::{UpstreamChoice, UpstreamCriteria};
pub use forward::{
    ForwardPeers, MAX_FORWARDED_REQUESTS, PeerCandidate, PeerDecline, has_forward_place,
};
pub use gate::{GateState, GateTable};
pub use latency::{
    DispatchedRequest, LeaderInactivity, ModelLatencies, ModelLatency, StallVerdict,
    SuspicionTimeouts,
};
pub use load::UpstreamLoad;
pub use partition::{
    PROBED_UPSTREAMS, PartitionAction, PartitionEvent, PartitionFacts, PartitionState,
    SuspectUpstream, draw_probes,
};
pub use resume::StreamResume;
pub use retry::RetryBudget;
pub use returns::{ReturnDelays, ServingOutage, longest_delay};
pub use share::{LimitShares, LoanReply, LoanRequest, ShareOptions};
pub use stalls::{StallNotice, StallRecipients, StallTable};
pub use table::{ObservedLoad, UpstreamFact, UpstreamTable};
pub use upstream::RouteUpstream;
