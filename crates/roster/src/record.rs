//! The agreed roster.

use std::net::SocketAddr;

use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One run of the daemon on one entry VM.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Member {
    /// The entry VM.
    pub entry: EntryId,
    /// The same VM in the platform's list.
    pub vm: VmId,
    /// Differs with each start of the daemon, so that a returning one is never its old self.
    pub incarnation: u64,
    /// Where it can be cut off.
    pub failure_domain: FailureDomain,
    /// Its address for peers, UDP and TCP alike.
    pub peer_addr: SocketAddr,
    /// The first epoch it is in.
    pub since: u64,
}

/// A member that is gone, kept until every remaining member has settled without it.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Departed {
    /// The member.
    pub member: Member,
    /// The first epoch it is not in.
    pub left: u64,
}

/// The record in the key-value service.
#[derive(Clone, PartialEq, Eq, Default, Debug, Serialize, Deserialize)]
pub struct RosterRecord {
    /// Grows by one with each change of `members`.
    pub epoch: u64,
    /// Every member had settled on this epoch when the record was written.
    pub settled: u64,
    /// The members, by entry id.
    pub members: Vec<Member>,
    /// Members gone since `settled`.
    pub departed: Vec<Departed>,
    /// Names the writer's attempt.
    pub nonce: u64,
}

impl RosterRecord {
    /// The member of that name.
    pub fn member(&self, entry: &EntryId) -> Option<&Member> {
        let index = self
            .members
            .binary_search_by(|member| member.entry.cmp(entry));
        index.ok().map(|index| &self.members[index])
    }

    /// Whether this run of the daemon is a member.
    pub fn holds(&self, entry: &EntryId, incarnation: u64) -> bool {
        self.member(entry)
            .is_some_and(|member| member.incarnation == incarnation)
    }

    /// Who was a member in `epoch`, as far back as `settled`.
    pub fn members_at(&self, epoch: u64) -> Vec<&Member> {
        let stayed = self.members.iter().filter(|member| member.since <= epoch);
        let gone = self
            .departed
            .iter()
            .filter(|departed| departed.member.since <= epoch && epoch < departed.left)
            .map(|departed| &departed.member);
        let mut members: Vec<&Member> = stayed.chain(gone).collect();
        members.sort_by(|a, b| a.entry.cmp(&b.entry));
        members
    }

    /// The epochs a claim may have been made in: from the settled one to the newest.
    pub fn open_epochs(&self) -> std::ops::RangeInclusive<u64> {
        self.settled.min(self.epoch)..=self.epoch
    }

    /// The record with `joining` in it, replacing its earlier run if there was one.
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

    /// The record without the members that `is_gone`, in a new epoch if there are any.
    pub fn without(&self, is_gone: impl Fn(&Member) -> bool) -> Self {
        let mut next = self.clone();
        let epoch = self.epoch + 1;
        let (gone, stay): (Vec<Member>, Vec<Member>) =
            next.members.into_iter().partition(|member| is_gone(member));
        next.members = stay;
        if !gone.is_empty() {
            next.epoch = epoch;
        }
        let departed = gone.into_iter().map(|member| Departed {
            member,
            left: epoch,
        });
        next.departed.extend(departed);
        next
    }

    /// The record with everything before `settled` forgotten.
    pub fn settled_at(&self, settled: u64) -> Self {
        let mut next = self.clone();
        next.settled = settled.clamp(self.settled, self.epoch);
        let keep_after = next.settled;
        next.departed.retain(|departed| departed.left > keep_after);
        next
    }

    /// Whether the members are sorted and each is there once.
    pub fn is_valid(&self) -> bool {
        self.members
            .windows(2)
            .all(|pair| pair[0].entry < pair[1].entry)
            && self.settled <= self.epoch
    }
}
