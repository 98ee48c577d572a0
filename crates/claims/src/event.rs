//! Inputs and outputs of [`ClaimState`](crate::ClaimState).

use std::sync::Arc;

use bergamot_roster::RosterRecord;
use bergamot_types::prelude::*;

use crate::record::{ClaimKey, ClaimRecord, ClaimSerial, Claimant, StoredAnswer, Verdict};

/// An input of [`ClaimState`](crate::ClaimState).
#[derive(Clone, Debug)]
pub enum ClaimEvent {
    /// Time has passed.
    Tick,
    /// The roster changed.
    Roster(RosterRecord),
    /// An entry VM requests a claim.
    Request(ClaimRequest),
    /// The claimant reports the outcome of its request. Without a report, the request counts as
    /// possibly run.
    Finish {
        /// The claimed key.
        key: ClaimKey,
        /// The claimant that was granted the key.
        claimant: Claimant,
        /// The outcome of the request.
        outcome: FinishOutcome,
    },
    /// An owner asks this VM to store or drop a copy of a claim.
    Copy {
        /// Matches the answer to this event.
        call_id: u64,
        /// The owner's roster epoch.
        epoch: u64,
        /// The owner of the claim's slot.
        owner: EntryId,
        /// The copy to store or drop.
        change: CopyChange,
    },
    /// A holder answered a [`ClaimAction::SendCopy`].
    Copied {
        /// The operation that the holder answered.
        op: u64,
        /// The holder.
        holder: EntryId,
        /// Whether the holder has the copy.
        is_held: bool,
    },
    /// A new owner sends copies of the claims it collected.
    Replica {
        /// Matches the answer to this event.
        call_id: u64,
        /// The owner's roster epoch.
        epoch: u64,
        /// The collected claims.
        records: Vec<ClaimRecord>,
    },
    /// A holder stored the copies of some slots.
    Replicated {
        /// The holder.
        holder: EntryId,
        /// The epoch in which the copies were sent.
        epoch: u64,
        /// The slots whose claims were copied.
        slots: Vec<u16>,
    },
    /// A new owner asks for the claims in some slots.
    Collect {
        /// Matches the answer to this event.
        call_id: u64,
        /// The new owner's roster epoch.
        epoch: u64,
        /// The slots to report.
        slots: Vec<u16>,
    },
    /// A holder reported its claims in some slots.
    Collected {
        /// The holder.
        holder: EntryId,
        /// The epoch in which the claims were requested.
        epoch: u64,
        /// The reported slots.
        slots: Vec<u16>,
        /// The holder's claims in these slots.
        records: Vec<ClaimRecord>,
    },
}

/// An entry VM's request for permission to run a caller's request.
#[derive(Clone, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
pub struct ClaimRequest {
    /// Matches the verdict to this request.
    pub call_id: u64,
    /// The key to claim.
    pub key: ClaimKey,
    /// Hash of the caller's request.
    pub fingerprint: u64,
    /// The claimant that would run the request.
    pub claimant: Claimant,
    /// The claimant's roster epoch.
    pub epoch: u64,
    /// How long the request may run.
    pub grant: Millis,
}

/// A change to the copy of one claim at another holder.
#[derive(Clone, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
pub enum CopyChange {
    /// Store this copy.
    Hold(ClaimRecord),
    /// Drop the copy of the grant with this serial, as its request did not run. A later grant of
    /// the key is retained.
    Drop(ClaimKey, ClaimSerial),
}

impl CopyChange {
    /// Returns the key of the claim.
    pub fn key(&self) -> ClaimKey {
        match self {
            Self::Hold(record) => record.key,
            Self::Drop(key, _) => *key,
        }
    }
}

/// The outcome of a claimed request, as its claimant reports it.
#[derive(Clone, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
pub enum FinishOutcome {
    /// The request ran and was answered.
    Answered(Arc<StoredAnswer>),
    /// The request was never sent, or the upstream reported that it did not run it.
    NotRun,
    /// The request was sent, and it is not known whether it ran.
    Unknown,
}

/// An output of [`ClaimState`](crate::ClaimState).
#[derive(Clone, PartialEq, Debug)]
pub enum ClaimAction {
    /// Answer a [`ClaimEvent::Request`].
    Verdict {
        /// The `call_id` of the request.
        call_id: u64,
        /// The verdict.
        verdict: Verdict,
    },
    /// Ask a holder to store or drop a copy.
    SendCopy {
        /// The operation; its answer arrives as [`ClaimEvent::Copied`]. Zero if no grant waits for
        /// the answer.
        op: u64,
        /// The holder.
        to: EntryId,
        /// This owner's roster epoch.
        epoch: u64,
        /// The copy to store or drop.
        change: CopyChange,
    },
    /// Answer a [`ClaimEvent::Copy`].
    AnswerCopy {
        /// The `call_id` of the event.
        call_id: u64,
        /// Whether the change was applied.
        is_held: bool,
    },
    /// Send a holder copies of the collected claims.
    SendReplica {
        /// The holder.
        to: EntryId,
        /// This owner's roster epoch.
        epoch: u64,
        /// The slots whose claims are copied.
        slots: Vec<u16>,
        /// The copies.
        records: Vec<ClaimRecord>,
    },
    /// Answer a [`ClaimEvent::Replica`].
    AnswerReplica {
        /// The `call_id` of the event.
        call_id: u64,
        /// Whether the copies were stored.
        is_held: bool,
    },
    /// Ask a holder for its claims.
    SendCollect {
        /// The holder.
        to: EntryId,
        /// This owner's roster epoch.
        epoch: u64,
        /// The slots to report.
        slots: Vec<u16>,
    },
    /// Answer a [`ClaimEvent::Collect`].
    AnswerCollect {
        /// The `call_id` of the event.
        call_id: u64,
        /// The claims; `None` if this VM is in another epoch.
        records: Option<Vec<ClaimRecord>>,
    },
    /// The takeover of every owned slot is complete in this epoch.
    Settled(u64),
}
