//! The agreed roster of entry VMs.

use std::net::SocketAddr;

use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One incarnation of the daemon on an entry VM.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Member {
    /// The entry VM.
    pub entry: EntryId,
    /// The entry VM's id in the platform's VM list.
    pub vm: VmId,
    /// Differs between starts of the daemon, so that a restarted daemon is a new member.
    pub incarnation: u64,
    /// The failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Address for peers, both UDP and TCP.
    pub peer_addr: SocketAddr,
    /// The first epoch that includes the member.
    pub since: u64,
}

/// A removed member. Kept until all remaining members have settled on an epoch without it.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Departed {
    /// The member.
    pub member: Member,
    /// The first epoch that does not include the member.
    pub left: u64,
}

/// The roster record in the key-value store.
#[derive(Clone, PartialEq, Eq, Default, Debug, Serialize, Deserialize)]
pub struct RosterRecord {
    /// Incremented with each change of `members`.
    pub epoch: u64,
    /// An epoch that all members had settled on when the record was written.
    pub settled: u64,
    /// The members, sorted by entry id.
    pub members: Vec<Member>,
    /// Members that left after the epoch `settled`.
    pub departed: Vec<Departed>,
    /// Identifies the attempt to write this record.
    pub nonce: u64,
}

impl RosterRecord {
    /// Returns the member on this entry VM.
    pub fn member(&self, entry: &EntryId) -> Option<&Member> {
        let index = self
            .members
            .binary_search_by(|member| member.entry.cmp(entry));
        index.ok().map(|index| &self.members[index])
    }

    /// Whether this incarnation of the daemon is a member.
    pub fn holds(&self, entry: &EntryId, incarnation: u64) -> bool {
        self.member(entry)
            .is_some_and(|member| member.incarnation == incarnation)
    }

    /// Returns the members in `epoch`. Complete only for epochs from `settled` on.
    pub fn members_at(&self, epoch: u64) -> Vec<&Member> {
        let remaining = self.members.iter().filter(|member| member.since <= epoch);
        let departed = self
            .departed
            .iter()
            .filter(|departed| departed.member.since <= epoch && epoch < departed.left)
            .map(|departed| &departed.member);
        let mut members: Vec<&Member> = remaining.chain(departed).collect();
        members.sort_by(|a, b| a.entry.cmp(&b.entry));
        members
    }

    /// Returns the epochs in which a claim may have been made: from the settled one to the newest.
    pub fn open_epochs(&self) -> std::ops::RangeInclusive<u64> {
        self.settled.min(self.epoch)..=self.epoch
    }

    /// Returns the record with `joining` as a member of a new epoch. Replaces an earlier
    /// incarnation of the same entry VM.
    pub fn with_member(&self, joining: Member) -> Self {
        let mut next = self.without(|member| member.entry == joining.entry);
        next.epoch = self.epoch + 1;
        let joining = Member {
            since: next.epoch,
            ..joining
        };
        next.members.push(joining);
        next.members.sort_by(|a, b| a.entry.cmp(&b.entry));
        if next.members.len() == 1 {
            next.settled = next.epoch;
        }
        next
    }

    /// Returns the record without the members for which `is_departing` holds. Starts a new epoch if
    /// there are any.
    pub fn without(&self, is_departing: impl Fn(&Member) -> bool) -> Self {
        let mut next = self.clone();
        let epoch = self.epoch + 1;
        let (departing, remaining): (Vec<Member>, Vec<Member>) = next
            .members
            .into_iter()
            .partition(|member| is_departing(member));
        next.members = remaining;
        if !departing.is_empty() {
            next.epoch = epoch;
        }
        let departed = departing.into_iter().map(|member| Departed {
            member,
            left: epoch,
        });
        next.departed.extend(departed);
        next
    }

    /// Returns the record with `settled` advanced to this epoch, and without the members that left
    /// up to that epoch.
    pub fn settled_at(&self, settled: u64) -> Self {
        let mut next = self.clone();
        next.settled = settled.min(self.epoch).max(self.settled);
        let settled_epoch = next.settled;
        next.departed
            .retain(|departed| departed.left > settled_epoch);
        next
    }

    /// Whether the members are sorted and unique, and the settled epoch is not beyond the newest.
    pub fn is_valid(&self) -> bool {
        self.members
            .windows(2)
            .all(|pair| pair[0].entry < pair[1].entry)
            && self.settled <= self.epoch
    }
}
