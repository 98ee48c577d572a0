//! Detects and quarantines requests that crash upstreams. Such a request can crash every upstream
//! that runs it, and its caller may send it again to any entry VM.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`fingerprint`] | identifies requests by their content |
//! | [`crashes`] | which upstreams crashed while running which requests, and by what evidence |
//! | `blame` | which of the requests at a crashed upstream caused the crash |
//! | [`parts`] | prompt parts that requests share, which may be harmful themselves |
//! | [`ledger`] | the crashes of each request, and when it is no longer sent |
//! | [`record`] | the records that entry VMs exchange through the store |
//! | [`housekeeping`] | which of these records are expired or surplus |
//! | [`state`] | the state of one VM, which combines the above |
//!
//! State is merged as sets, so that duplicate, late and reordered reports lead to the same result.
//! Each VM shares its observations twice. A datagram arrives within milliseconds, as a harmful
//! request comes to several VMs at once. A record in the store also reaches failure domains that
//! are partitioned from each other, and VMs that start later.
//!
//! The crate only makes decisions: it uses no sockets and no clock.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod blame;
pub mod crashes;
pub mod fingerprint;
pub mod housekeeping;
pub mod ledger;
pub mod parts;
pub mod record;
pub mod state;

pub use blame::SuspectPlace;
pub use crashes::{BreakCause, BreakOutcome, BrokenRun, CrashEvidence, CrashWatch};
pub use fingerprint::RequestPrint;
pub use housekeeping::StoreRecords;
pub use ledger::{CrashLedger, RequestStanding};
pub use parts::PartRuns;
pub use record::{QuarantineRecord, RecordError};
pub use state::{QuarantineAction, QuarantineEvent, QuarantineState};
