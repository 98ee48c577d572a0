//! What entry VMs keep for each other in the store.

use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::ends::BrokenRun;
use crate::fingerprint::RequestPrint;

/// A record, each under a key of its own that is written once.
///
/// Later versions add kinds at the end. A VM leaves out a record that it cannot read.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum QuarantineRecord {
    /// An upstream ended under these requests. Not written any more: it does not say how far their runs had come.
    CrashWithoutProgress {
        /// The upstream.
        incarnation: UpstreamIncarnation,
        /// What one VM had in flight there.
        prints: Vec<RequestPrint>,
    },
    /// A request is cleared of the ends of these upstreams: it was answered whole, or an operator lets it go.
    Cleared {
        /// The request.
        print: RequestPrint,
        /// The upstreams.
        incarnations: Vec<UpstreamIncarnation>,
    },
    /// A request is in quarantine. Kept longer than the ends that led to it.
    Quarantined {
        /// The request.
        print: RequestPrint,
        /// The upstreams that ended under it.
        incarnations: Vec<UpstreamIncarnation>,
        /// When it began by the writer's time of day. For people: nothing goes by it.
        since: UnixMillis,
    },
    /// An upstream ended under these runs of requests.
    Crash {
        /// The upstream.
        incarnation: UpstreamIncarnation,
        /// What one VM had in flight there.
        runs: Vec<BrokenRun>,
    },
}

/// Why a record cannot be written or read.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
#[error("no record of this version: {0}")]
pub struct RecordError(#[from] postcard::Error);

impl QuarantineRecord {
    /// The record as it is kept.
    ///
    /// # Errors
    /// When it cannot be written.
    pub fn to_bytes(&self) -> Result<Vec<u8>, RecordError> {
        Ok(postcard::to_stdvec(self)?)
    }

    /// Reads a record.
    ///
    /// # Errors
    /// When it is of a later version, or of another writer.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, RecordError> {
        Ok(postcard::from_bytes(bytes)?)
    }
}
