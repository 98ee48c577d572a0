//! Requests against entry VMs, and a check of every answer.

pub mod audit;
pub mod caller;
pub mod plot;
pub mod report;
pub mod run;

pub use audit::{AuditResult, audit};
pub use report::TrafficReport;
pub use run::{TrafficOptions, run_traffic};
