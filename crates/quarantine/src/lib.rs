//! Requests under which upstreams end: a request may end each upstream that runs it, and comes again at any entry VM.
//!
//! | module | what it knows |
//! | --- | --- |
//! | [`fingerprint`] | which requests are the same one |
//! | [`ends`] | which upstreams ended under which requests, and by what evidence |
//! | `blame` | which of the requests that an upstream ended under is to blame |
//! | [`ledger`] | how many upstreams ended under a request, and when it is sent no more |
//! | [`record`] | what entry VMs keep for each other in the store |
//! | [`kept`] | which of these records are too old or too many |
//! | [`state`] | all of it for one VM |
//!
//! Everything is joined as sets: news that comes twice, late or in another order leads to the same sets. What one VM
//! sees goes to the others twice. A datagram is there within milliseconds, as a harmful request comes to several VMs at
//! once. A record in the store also reaches failure domains that are cut off from each other, and VMs that start later.
//!
//! Decisions only: no sockets and no clock.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod blame;
pub mod ends;
pub mod fingerprint;
pub mod kept;
pub mod ledger;
pub mod record;
pub mod state;

pub use blame::SuspectPlace;
pub use ends::{BreakCause, BreakOutcome, BrokenRun, CrashEvidence, EndWatch};
pub use fingerprint::RequestPrint;
pub use kept::KeptRecords;
pub use ledger::{CrashLedger, RequestStanding};
pub use record::{QuarantineRecord, RecordError};
pub use state::{QuarantineAction, QuarantineEvent, QuarantineState};
