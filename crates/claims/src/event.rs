//! What claims have to know of and what they want done.

use std::sync::Arc;

use bergamot_roster::RosterRecord;
use bergamot_types::prelude::*;

use crate::record::{ClaimKey, ClaimRecord, ClaimSerial, Claimant, StoredAnswer, Verdict};

/// Something the claims have to know of.
#[derive(Clone, Debug)]
pub enum ClaimEvent {
    /// Time passed.
    Tick,
    /// The roster changed.
    Roster(RosterRecord),
    /// An entry VM asks for a claim.
    Request(ClaimRequest),
    /// The claimant tells what became of the request. None says that it truly did not run.
    Finish {
        /// The key.
        key: ClaimKey,
        /// Who was granted it.
        claimant: Claimant,
        /// What became of it.
        outcome: FinishOutcome,
    },
    /// An owner asks to hold a copy.
    Copy {
        /// Names the question, for the answer.
        call_id: u64,
        /// The owner's epoch.
        epoch: u64,
        /// The owner.
        owner: EntryId,
        /// What to hold or drop.
        change: CopyChange,
    },
    /// A holder answered a copy.
    Copied {
        /// The operation.
        op: u64,
        /// The holder.
        holder: EntryId,
        /// Whether it holds the copy now.
        is_held: bool,
    },
    /// A new owner gives copies of what it collected.
    Replica {
        /// Names the question, for the answer.
        call_id: u64,
        /// The owner's epoch.
        epoch: u64,
        /// The claims.
        records: Vec<ClaimRecord>,
    },
    /// A holder took the copies of some slots.
    Replicated {
        /// The holder.
        holder: EntryId,
        /// The epoch the copies were for.
        epoch: u64,
        /// The slots.
        slots: Vec<u16>,
    },
    /// A new owner asks what is known of some slots.
    Collect {
        /// Names the question, for the answer.
        call_id: u64,
        /// The new owner's epoch.
        epoch: u64,
        /// The slots.
        slots: Vec<u16>,
    },
    /// A holder answered what it knows.
    Collected {
        /// The holder.
        holder: EntryId,
        /// The epoch the question was for.
        epoch: u64,
        /// The slots the question was for.
        slots: Vec<u16>,
        /// Its claims in them.
        records: Vec<ClaimRecord>,
    },
}

/// An entry VM's question whether it may run a request.
#[derive(Clone, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
pub struct ClaimRequest {
    /// Names the question, for the verdict.
    pub call_id: u64,
    /// The key.
    pub key: ClaimKey,
    /// Hash of the request.
    pub fingerprint: u64,
    /// Who would run it.
    pub claimant: Claimant,
    /// The claimant's roster epoch.
    pub epoch: u64,
    /// How long the request may run.
    pub grant: Millis,
}

/// What an owner tells another holder of one claim.
#[derive(Clone, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
pub enum CopyChange {
    /// Hold it.
    Hold(ClaimRecord),
    /// Drop this very grant: it did not run. A later grant of the key stays.
    Drop(ClaimKey, ClaimSerial),
}

impl CopyChange {
    /// The key it is about.
    pub fn key(&self) -> ClaimKey {
        match self {
            Self::Hold(record) => record.key,
            Self::Drop(key, _) => *key,
        }
    }
}

/// What an claimant says became of its request.
#[derive(Clone, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
pub enum FinishOutcome {
    /// It ran and was answered.
    Answered(Arc<StoredAnswer>),
    /// It was never sent, or the upstream said that it did not run it.
    NotRun,
    /// It was sent and nothing more is known.
    Unknown,
}

/// Something the claims want done.
#[derive(Clone, PartialEq, Debug)]
pub enum ClaimAction {
    /// Answer an [`ClaimEvent::Request`].
    Verdict {
        /// The question.
        call_id: u64,
        /// The answer.
        verdict: Verdict,
    },
    /// Ask a holder to hold a copy, or to drop it.
    SendCopy {
        /// The operation; its answer comes as [`ClaimEvent::Copied`].
        op: u64,
        /// The holder.
        to: EntryId,
        /// This owner's epoch.
        epoch: u64,
        /// What to hold or drop.
        change: CopyChange,
    },
    /// Answer a [`ClaimEvent::Copy`].
    AnswerCopy {
        /// The question.
        call_id: u64,
        /// Whether the copy is held.
        is_held: bool,
    },
    /// Give a holder copies of what was collected.
    SendReplica {
        /// The holder.
        to: EntryId,
        /// This owner's epoch.
        epoch: u64,
        /// The slots the copies are of.
        slots: Vec<u16>,
        /// The copies.
        records: Vec<ClaimRecord>,
    },
    /// Answer a [`ClaimEvent::Replica`].
    AnswerReplica {
        /// The question.
        call_id: u64,
        /// Whether the copies are held.
        is_held: bool,
    },
    /// Ask a holder what it knows.
    SendCollect {
        /// The holder.
        to: EntryId,
        /// This owner's epoch.
        epoch: u64,
        /// The slots.
        slots: Vec<u16>,
    },
    /// Answer a [`ClaimEvent::Collect`]; none when the epoch is not known here.
    AnswerCollect {
        /// The question.
        call_id: u64,
        /// The claims.
        records: Option<Vec<ClaimRecord>>,
    },
    /// Every owned slot was taken over in this epoch.
    Settled(u64),
}
