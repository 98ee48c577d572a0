//! The records that entry VMs exchange through the store.

use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::crashes::BrokenRun;
use crate::fingerprint::RequestPrint;

/// A record in the store, under a key of its own that is written once.
///
/// Later versions append variants. A VM skips records that it cannot decode.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum QuarantineRecord {
    /// An upstream crashed while it ran these requests. No longer written, as it lacks the progress
    /// of the runs.
    CrashWithoutProgress {
        /// The upstream.
        incarnation: UpstreamIncarnation,
        /// The requests one VM had in flight there.
        prints: Vec<RequestPrint>,
    },
    /// A request is cleared of the crashes of these upstreams, by a complete answer or by an
    /// operator.
    Cleared {
        /// The request.
        print: RequestPrint,
        /// The upstreams.
        incarnations: Vec<UpstreamIncarnation>,
    },
    /// A request is in quarantine. Stored longer than the crashes that led to it.
    Quarantined {
        /// The request.
        print: RequestPrint,
        /// The upstreams that crashed.
        incarnations: Vec<UpstreamIncarnation>,
        /// When the quarantine began, by the writer's wall clock. Informational only.
        since: UnixMillis,
    },
    /// An upstream crashed during these runs.
    Crash {
        /// The upstream.
        incarnation: UpstreamIncarnation,
        /// The runs one VM had in flight there.
        runs: Vec<BrokenRun>,
    },
}

/// A record cannot be encoded or decoded.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
#[error("no record of this version: {0}")]
pub struct RecordError(#[from] postcard::Error);

impl QuarantineRecord {
    /// Encodes the record for the store.
    ///
    /// # Errors
    /// If the encoding fails.
    pub fn to_bytes(&self) -> Result<Vec<u8>, RecordError> {
        Ok(postcard::to_stdvec(self)?)
    }

    /// Decodes a record.
    ///
    /// # Errors
    /// If the record is of a later version or was not written by an entry VM.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, RecordError> {
        Ok(postcard::from_bytes(bytes)?)
    }
}
