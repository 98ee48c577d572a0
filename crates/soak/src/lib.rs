//! A soak of the real program: many processes of `bergamot-entry` on one machine, before stand-ins of the
//! store and the upstreams, with faults from outside them.
//!
//! A run is drawn from a seed ([`FaultPlan`]). Faults come one upon another: connections are delayed,
//! reset, cut one way or silenced by a proxy ([`LinkProxy`]), also those of a process to all upstreams
//! ([`UpstreamLinks`]); processes are stopped, paused, killed and
//! started again ([`EntryProcess`]); the store and the upstreams fail ([`SoakSite`]). Callers
//! ([`caller`]) keep their connections until the process is gone. What they and the upstreams saw is
//! checked against the promises ([`audit`]). Nothing but log lines goes by the time of day, so clocks are
//! left alone.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod additions;
mod around_stop;
pub mod audit;
pub mod caller;
mod cold;
pub mod cpu_share;
pub mod crowds;
pub mod cuts;
pub mod domains;
mod faults;
pub mod groups;
pub mod harmful;
mod keys;
pub mod options;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod request;
pub mod run;
pub mod said;
pub mod silences;
pub mod site;
mod slow_stream;
pub mod upstream_links;
pub mod violation;

pub use additions::{AddedGrant, GrantSize};
pub use audit::AuditBook;
pub use crowds::{CrowdFault, CrowdReport};
pub use cuts::{CutReport, ProcessSet, TryCount};
pub use domains::{DomainChoice, EvacuationPeriod, UpstreamArrivals};
pub use options::SoakOptions;
pub use plan::{FaultKind, FaultPlan, LinkState, TimedFault};
pub use process::EntryProcess;
pub use proxy::LinkProxy;
pub use run::{SoakOutcome, run_plan, run_seed};
pub use said::SaidFault;
pub use silences::{SilenceReport, SilenceStart, UpstreamSet};
pub use site::SoakSite;
pub use upstream_links::UpstreamLinks;
pub use violation::Violation;
