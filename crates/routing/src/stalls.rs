//! Leaders of whose silence entry VMs tell each other.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// Time for which a leader counts as silent whose streams one VM finds to stand still: they go on elsewhere, and nobody is
/// left there who would tell again. One VM alone may have lost its way to a sound leader.
const STALL_VALIDITY: Millis = Millis(1_000);
/// The same where the streams of several VMs do: a group that stands still is ended by then, or breaks by itself.
const CONFIRMED_STALL_VALIDITY: Millis = Millis(5_000);
/// Time between two notices of the same leader.
const NOTICE_PERIOD: Millis = Millis(100);

/// That the streams which one entry VM has at a leader stand still. Doubt is not told: most leaders that are only suspected
/// go on, and all VMs that left them alone would crowd the others.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct StallNotice {
    /// The leader's short name.
    pub leader: u32,
    /// The short name of the entry VM that saw it.
    pub witness: u32,
}

/// Who is to hear of a silence: nobody of what was told a moment ago.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct StallRecipients {
    /// Whether the coordinator is, which asks the group.
    pub is_for_coordinator: bool,
    /// What the other entry VMs are told.
    pub for_vms: Option<StallNotice>,
}

/// What entry VMs told of leaders.
#[derive(Clone, Debug, Default)]
pub struct StallTable {
    stalls: IndexMap<u32, KnownStall>,
}

#[derive(Clone, Copy, Debug)]
struct KnownStall {
    expires_at: Millis,
    reported_at: Millis,
    /// Whose streams stand still, two at most.
    first_witness: u32,
    second_witness: Option<u32>,
}

impl KnownStall {
    /// Whether the VM has not told of the leader before, and is the second one.
    fn add_witness(&mut self, witness: u32) -> bool {
        if self.first_witness == witness || self.second_witness.is_some() {
            return false;
        }
        self.second_witness = Some(witness);
        true
    }

    const fn validity(&self) -> Millis {
        match self.second_witness {
            None => STALL_VALIDITY,
            Some(_) => CONFIRMED_STALL_VALIDITY,
        }
    }
}

impl StallTable {
    /// Notes what was told. Says whether that is to be passed on: not what was told a moment ago.
    pub fn record(&mut self, now: Millis, notice: StallNotice) -> bool {
        self.stalls.retain(|_, stall| stall.expires_at > now);
        let mut is_new = false;
        let stall = self.stalls.entry(notice.leader).or_insert_with(|| {
            is_new = true;
            KnownStall {
                expires_at: now,
                reported_at: now,
                first_witness: notice.witness,
                second_witness: None,
            }
        });
        let is_second_witness = stall.add_witness(notice.witness);
        let is_due = is_new || is_second_witness || now.since(stall.reported_at) >= NOTICE_PERIOD;
        stall.expires_at = stall.expires_at.max(now + stall.validity());
        if is_due {
            stall.reported_at = now;
        }
        is_due
    }

    /// Notes that something came from a leader.
    pub fn clear(&mut self, leader: u32) {
        if !self.stalls.is_empty() {
            self.stalls.shift_remove(&leader);
        }
    }

    /// Whether anything is told of any leader.
    pub fn is_empty(&self) -> bool {
        self.stalls.is_empty()
    }

    /// Whether streams of a leader stand still.
    pub fn is_stalled(&self, now: Millis, leader: u32) -> bool {
        let stall = self.stalls.get(&leader);
        stall.is_some_and(|stall| stall.expires_at > now)
    }
}
