//! Questions and answers between entry VMs.

use bergamot_bundle::{RollRecord, SignedBundle};
use bergamot_claims::{
    ClaimKey, ClaimRecord, ClaimRequest, Claimant, CopyChange, FinishOutcome, Verdict,
};
use bergamot_quarantine::QuarantineRecord;
use bergamot_roster::RosterRecord;
use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A question to a peer.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub enum Question {
    /// May this request run?
    Claim(ClaimRequest),
    /// This is what became of it.
    Finish {
        /// The key.
        key: ClaimKey,
        /// Who was granted it.
        claimant: Claimant,
        /// What became of it.
        outcome: FinishOutcome,
    },
    /// Hold or drop a copy of a claim.
    Copy {
        /// The owner's epoch.
        epoch: u64,
        /// The owner.
        owner: EntryId,
        /// What to hold or drop.
        change: CopyChange,
    },
    /// Hold copies of what a new owner collected.
    Replica {
        /// The owner's epoch.
        epoch: u64,
        /// The claims.
        records: Vec<ClaimRecord>,
    },
    /// What is known of these slots?
    Collect {
        /// The new owner's epoch.
        epoch: u64,
        /// The slots.
        slots: Vec<u16>,
    },
    /// The roll in force, if it is newer than this.
    Roll {
        /// The number in force at the sender.
        newer_than: u64,
    },
    /// The newest roster.
    Roster,
    /// The newest records of groups.
    Groups,
    /// Part of an account's limit.
    Borrow {
        /// Which account's.
        account: ClientAccount,
        /// Share wanted, 0 to 1.
        wanted: f64,
        /// The borrower's roster epoch.
        epoch: u64,
        /// The roll whose limits are meant.
        roll: u64,
    },
    /// What the sender saw of requests under which upstreams ended. A member that does not know this kind of question
    /// closes the connection.
    Crash(QuarantineRecord),
}

/// One fabric domain's record as the key-value service holds it.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct GroupsEntry {
    /// The key.
    pub key: String,
    /// The revision that wrote it.
    pub revision: i64,
    /// The record, as JSON.
    pub value: Vec<u8>,
}

/// The answer to a [`Question`].
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub enum Answer {
    /// To [`Question::Claim`].
    Claim(Verdict),
    /// To [`Question::Copy`] and [`Question::Replica`]: whether it is held.
    Held(bool),
    /// To [`Question::Collect`]; none when the epochs differ.
    Collected(Option<Vec<ClaimRecord>>),
    /// To [`Question::Roll`]; none when there is no newer one.
    Roll(Option<Box<(RollRecord, SignedBundle)>>),
    /// To [`Question::Roster`].
    Roster(RosterRecord),
    /// To [`Question::Groups`].
    Groups(Vec<GroupsEntry>),
    /// To [`Question::Borrow`].
    Lent {
        /// Share lent, 0 to 1.
        lent: f64,
        /// How long, from when the question was asked.
        loan: Millis,
    },
    /// To [`Question::Finish`] and [`Question::Crash`].
    Noted,
    /// The sender is not known here, or cannot be answered now.
    Refused,
}
