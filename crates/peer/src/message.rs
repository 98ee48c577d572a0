//! Requests between entry VMs and their answers.

use bergamot_bundle::{RollRecord, SignedBundle};
use bergamot_claims::{
    ClaimKey, ClaimRecord, ClaimRequest, Claimant, CopyChange, FinishOutcome, Verdict,
};
use bergamot_quarantine::QuarantineRecord;
use bergamot_roster::RosterRecord;
use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::frame::PeerMessage;

impl PeerMessage for Question {}

impl PeerMessage for Answer {}

/// A request to a peer.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub enum Question {
    /// Asks whether a caller's request may run.
    Claim(ClaimRequest),
    /// Reports the outcome of a request that was granted.
    Finish {
        /// The claim's key.
        key: ClaimKey,
        /// The claimant to which the request was granted.
        claimant: Claimant,
        /// The request's outcome.
        outcome: FinishOutcome,
    },
    /// Asks a peer to hold or drop a copy of a claim.
    Copy {
        /// The owner's epoch.
        epoch: u64,
        /// The owner of the claim.
        owner: EntryId,
        /// The copy to hold or drop.
        change: CopyChange,
    },
    /// Asks a peer to hold copies of the claims that a new owner collected.
    Replica {
        /// The owner's epoch.
        epoch: u64,
        /// The collected claims.
        records: Vec<ClaimRecord>,
    },
    /// Asks for the claims known in hash slots.
    Collect {
        /// The new owner's epoch.
        epoch: u64,
        /// The hash slots.
        slots: Vec<u16>,
    },
    /// Asks for the roll in force, if it is newer than the sender's.
    Roll {
        /// Number of the roll in force at the sender.
        newer_than: u64,
    },
    /// Asks for the newest roster.
    Roster,
    /// Asks for the newest records of groups.
    Groups,
    /// Asks to borrow part of an account's limit.
    Borrow {
        /// The account whose limit is borrowed from.
        account: ClientAccount,
        /// Share of the limit asked for, from 0 to 1.
        wanted: f64,
        /// The borrower's roster epoch.
        epoch: u64,
        /// Number of the roll that sets the limit.
        roll: u64,
    },
    /// Reports a record of requests that were running at upstreams that crashed. A member that does
    /// not support this kind of request closes the connection.
    Crash(QuarantineRecord),
}

/// The record of a fabric domain as stored in the key-value service.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct GroupsEntry {
    /// The record's key.
    pub key: String,
    /// The revision at which the record was written.
    pub revision: i64,
    /// The record as JSON.
    pub value: Vec<u8>,
}

/// A peer's answer to a [`Question`].
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub enum Answer {
    /// Answers [`Question::Claim`].
    Claim(Verdict),
    /// Answers [`Question::Copy`] and [`Question::Replica`]: whether the copies are held.
    Held(bool),
    /// Answers [`Question::Collect`]; `None` if the epochs differ.
    Collected(Option<Vec<ClaimRecord>>),
    /// Answers [`Question::Roll`]; `None` if there is no newer roll.
    Roll(Option<Box<(RollRecord, SignedBundle)>>),
    /// Answers [`Question::Roster`].
    Roster(RosterRecord),
    /// Answers [`Question::Groups`].
    Groups(Vec<GroupsEntry>),
    /// Answers [`Question::Borrow`].
    Lent {
        /// Share of the limit that is lent, from 0 to 1.
        lent: f64,
        /// Length of the loan, counted from when the request was sent.
        loan: Millis,
    },
    /// Acknowledges [`Question::Finish`] and [`Question::Crash`].
    Noted,
    /// Rejects a request because the sender is unknown or no answer is possible now.
    Refused,
}
