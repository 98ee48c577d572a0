//! What is kept of a claimed key.

use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A hashed account and idempotency key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub struct ClaimKey(pub u128);

impl ClaimKey {
    /// The key of one account's idempotency key.
    pub fn of(account: &ClientAccount, key: &str) -> Self {
        let low = rendezvous_score(hash_bytes(account.as_str().as_bytes()), key);
        let high = rendezvous_score(!low, key) ^ hash_bytes(account.as_str().as_bytes());
        Self(u128::from(high) << 64 | u128::from(low))
    }

    /// The slot it falls into.
    pub fn slot(self) -> u16 {
        bergamot_roster::slot_of(self.0)
    }
}

/// The roster epoch a claim was granted in and the owner's count of grants: later ones are greater.
#[derive(
    Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default, Serialize, Deserialize,
)]
pub struct ClaimSerial {
    /// The roster epoch.
    pub epoch: u64,
    /// The owner's count.
    pub count: u64,
}

/// Who asks for a claim: one attempt of one run of one entry VM's daemon.
///
/// The attempt keeps a late word on an earlier one from ending a later one.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct Claimant {
    /// The entry VM.
    pub entry: EntryId,
    /// Which run of its daemon.
    pub incarnation: u64,
    /// Which of its attempts.
    pub attempt: u64,
}

/// The first answer, kept for repeats.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// The body; none when it was too large to keep.
    pub body: Option<Vec<u8>>,
}

/// What became of the claimed request.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum ClaimPhase {
    /// It may be running.
    Granted,
    /// It ran, and this is the answer.
    Done(Arc<StoredAnswer>),
    /// It may have run; nobody knows.
    Lost,
}

/// One claim.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The key.
    pub key: ClaimKey,
    /// Orders the claims that were ever granted on one key.
    pub serial: ClaimSerial,
    /// Hash of the request it was first used with.
    pub fingerprint: u64,
    /// Who may run it.
    pub claimant: Claimant,
    /// What became of it.
    pub phase: ClaimPhase,
    /// Milliseconds left until a grant counts as lost, as of when the record was sent.
    pub grant_left: Millis,
    /// Milliseconds left until it is forgotten, as of when the record was sent.
    pub retention_left: Millis,
}

/// The owner's word on a request with a key.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Verdict {
    /// Run it, now and once.
    Granted,
    /// It ran; this is the first answer.
    Replay(Arc<StoredAnswer>),
    /// The first is still running.
    InProgress,
    /// The key was used with another request.
    KeyReused,
    /// The first was sent, and its outcome is not known.
    OutcomeUnknown,
    /// Refused, not run: the holders cannot be reached or do not agree on the roster.
    Unavailable,
    /// Refused: holders that may have known the key were lost together.
    Forgotten,
}

impl Verdict {
    /// The error a caller gets; none for a grant or a kept answer.
    pub fn error(&self) -> Option<ErrorKind> {
        match self {
            Self::Granted | Self::Replay(_) => None,
            Self::InProgress => Some(ErrorKind::KeyInProgress),
            Self::KeyReused => Some(ErrorKind::KeyReused),
            Self::OutcomeUnknown => Some(ErrorKind::KeyOutcomeUnknown),
            Self::Unavailable => Some(ErrorKind::ClaimUnavailable),
            Self::Forgotten => Some(ErrorKind::ClaimForgotten),
        }
    }
}
