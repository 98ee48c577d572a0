//! Members that left their groups or restarted, as any entry VM sees them in the directory.
//!
//! Each VM keeps a log, so that one that takes over as coordinator knows which upstreams may still be
//! members of a group whose leader is open, although no entry says so any more.

use std::hash::Hash;

use bergamot_ports::{GroupMembership, MemberState, UpstreamEntry};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::view::GroupKey;

/// Upper bound of the upstreams remembered of each kind; the earliest are dropped. Several times as
/// many as there are members in a fleet of 1,100 upstreams.
const MAX_REMEMBERED: usize = 4_096;

/// A member that is in its group no longer.
#[derive(Clone, PartialEq, Eq, Debug)]
struct MemberDeparture {
    key: GroupKey,
    /// When this VM learned of it.
    at: Millis,
}

/// Members that left their groups, and what shows whether the leaders of these may be open.
#[derive(Clone, Debug, Default)]
pub struct MembershipLog {
    /// When this VM first read the directory.
    followed_since: Option<Millis>,
    /// The last memberships of upstreams that are not listed.
    unlisted: IndexMap<UpstreamId, GroupMembership>,
    /// The leader of each member list.
    leaders: IndexMap<GroupKey, UpstreamId>,
    /// In the order in which this VM learned of them.
    departures: IndexMap<UpstreamId, MemberDeparture>,
}

impl MembershipLog {
    /// Records that this VM has read the whole directory at `now`.
    pub fn record_read(&mut self, now: Millis) {
        self.followed_since.get_or_insert(now);
    }

    /// Returns when this VM first read the directory. What changed before is not known to it.
    pub const fn followed_since(&self) -> Option<Millis> {
        self.followed_since
    }

    /// Records an upstream's entry, which replaces `previous` if it was listed before.
    pub fn record_entry(
        &mut self,
        previous: Option<&UpstreamEntry>,
        entry: &UpstreamEntry,
        now: Millis,
    ) {
        let id = &entry.incarnation.id;
        let previous = match previous {
            Some(previous) => previous.membership.clone(),
            None => self.unlisted.shift_remove(id),
        };
        if previous == entry.membership {
            return;
        }
        if let Some(membership) = &entry.membership
            && membership.rank == 0
        {
            let leaders = &mut self.leaders;
            remember(leaders, key_of(membership), id.clone());
        }
        let Some(previous) = previous else {
            return;
        };
        let key = key_of(&previous);
        let is_member = entry.membership.as_ref().map(key_of).as_ref() == Some(&key);
        // A group whose leader left serves no more.
        if !is_member && previous.rank != 0 {
            let departure = MemberDeparture { key, at: now };
            remember(&mut self.departures, id.clone(), departure);
        }
    }

    /// Records that an upstream is no longer listed, or that its entry cannot be read.
    pub fn record_removal(&mut self, entry: &UpstreamEntry) {
        if let Some(membership) = &entry.membership {
            let id = entry.incarnation.id.clone();
            remember(&mut self.unlisted, id, membership.clone());
        }
    }

    /// Returns the members that left at most `hold_time` ago, each with the end of that time, unless
    /// the directory shows that the leader of the group has left it or serves no more.
    pub fn holds<'a, Find>(
        &self,
        find_entry: Find,
        hold_time: Millis,
        now: Millis,
    ) -> IndexMap<UpstreamId, Millis>
    where
        Find: Fn(&UpstreamId) -> Option<&'a UpstreamEntry>,
    {
        let may_be_open = |key: &GroupKey| {
            let leader = self.leaders.get(key).and_then(&find_entry);
            leader.is_none_or(|leader| is_open_in(leader, key))
        };
        let latest_first = self.departures.iter().rev();
        let recent = latest_first.take_while(|(_, departure)| departure.at + hold_time > now);
        let held = recent.filter(|(_, departure)| may_be_open(&departure.key));
        held.map(|(id, departure)| (id.clone(), departure.at + hold_time))
            .collect()
    }
}

fn key_of(membership: &GroupMembership) -> GroupKey {
    (membership.group.clone(), membership.epoch)
}

/// Whether an entry shows its upstream as a member of a group that may serve.
fn is_open_in(entry: &UpstreamEntry, key: &GroupKey) -> bool {
    let membership = entry.membership.as_ref();
    membership.is_some_and(|membership| {
        let is_open = matches!(membership.state, MemberState::Open | MemberState::Closing);
        is_open && membership.group == key.0 && membership.epoch == key.1
    })
}

/// Inserts a value as the latest one, within [`MAX_REMEMBERED`].
fn remember<Key, Value>(values: &mut IndexMap<Key, Value>, key: Key, value: Value)
where
    Key: Hash + Eq,
{
    values.shift_remove(&key);
    values.insert(key, value);
    if values.len() > MAX_REMEMBERED {
        values.shift_remove_index(0);
    }
}
