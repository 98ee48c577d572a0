//! Claims on idempotency keys as they are stored and sent.

use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Hash of a client account and its idempotency key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub struct ClaimKey(pub u128);

impl ClaimKey {
    /// Hashes an account's idempotency key.
    pub fn of(account: &ClientAccount, key: &str) -> Self {
        let low = rendezvous_score(hash_bytes(account.as_str().as_bytes()), key);
        let high = rendezvous_score(!low, key) ^ hash_bytes(account.as_str().as_bytes());
        Self(u128::from(high) << 64 | u128::from(low))
    }

    /// Returns the slot that the key maps to.
    pub fn slot(self) -> u16 {
        bergamot_roster::slot_of(self.0)
    }
}

/// Orders grants: the roster epoch of the grant, then the owner's grant counter.
#[derive(
    Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default, Serialize, Deserialize,
)]
pub struct ClaimSerial {
    /// The roster epoch in which the claim was granted.
    pub epoch: u64,
    /// The owner's grant counter.
    pub count: u64,
}

/// The entry VM that requests a claim, with its incarnation and the attempt.
///
/// The attempt number ensures that a late outcome of an earlier attempt does not finish a later
/// one.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct Claimant {
    /// The entry VM.
    pub entry: EntryId,
    /// The incarnation of its daemon.
    pub incarnation: u64,
    /// The number of the attempt within the incarnation.
    pub attempt: u64,
}

/// The first answer to a request, replayed to retries.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// The body; `None` if it was too large to store.
    pub body: Option<Vec<u8>>,
}

/// State of a claimed request.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum ClaimPhase {
    /// The request may be running.
    Granted,
    /// The request ran and got this answer.
    Done(Arc<StoredAnswer>),
    /// The request may have run; its outcome will not become known.
    OutcomeUnknown,
}

/// A claim as it is sent between holders.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The claimed key.
    pub key: ClaimKey,
    /// Orders all grants of the key.
    pub serial: ClaimSerial,
    /// Hash of the first request that used the key.
    pub fingerprint: u64,
    /// The claimant that may run the request.
    pub claimant: Claimant,
    /// State of the request.
    pub phase: ClaimPhase,
    /// Time until the outcome of an unfinished grant counts as unknown, measured when the record
    /// was sent.
    pub grant_left: Millis,
    /// Time until the claim is dropped, measured when the record was sent.
    pub retention_left: Millis,
}

/// The owner's decision on a request with an idempotency key.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Verdict {
    /// The request may run now, once.
    Granted,
    /// The request ran before; this is its first answer.
    Replay(Arc<StoredAnswer>),
    /// The first request with the key is still running.
    InProgress,
    /// The key was used with a different request.
    KeyReused,
    /// The first request was sent, and its outcome is unknown.
    OutcomeUnknown,
    /// Rejected before it ran: this VM does not serve the key's slot, no other holder took the
    /// copy, the claims are at their limit, or the roster epochs differ.
    Unavailable,
    /// Rejected: holders that may have known the key were lost together.
    Forgotten,
}

impl Verdict {
    /// Returns the caller's error, or `None` for a grant or a replayed answer.
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
