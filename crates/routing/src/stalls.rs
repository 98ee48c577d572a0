//! Stalled leaders that entry VMs report to each other.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// How long a stall that one VM reported is valid. The VM moves its streams to other upstreams and
/// then has none left at the leader from which to report again. A single VM may also have lost its
/// own path to a healthy leader.
const STALL_VALIDITY: Millis = Millis(1_000);
/// How long a stall that two VMs reported is valid. By then a group that really stalled was stopped
/// or has failed.
const CONFIRMED_STALL_VALIDITY: Millis = Millis(5_000);
/// Shortest time between two notices about the same leader.
const NOTICE_PERIOD: Millis = Millis(100);

/// A notice that the streams from one entry VM to a leader are stalled. Mere suspicion is not sent:
/// most suspected leaders recover, and if all VMs avoided them, they would overload the other
/// leaders.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct StallNotice {
    /// Hash of the leader's incarnation.
    pub leader: u32,
    /// Hash of the name of the entry VM that observed the stall.
    pub witness: u32,
}

/// Who is to be informed of a stall. Nobody, if they were informed a moment ago.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct StallRecipients {
    /// Whether the coordinator is informed, which then probes the group.
    pub is_for_coordinator: bool,
    /// The notice for the other entry VMs.
    pub for_vms: Option<StallNotice>,
}

/// Stalled leaders that entry VMs reported.
#[derive(Clone, Debug, Default)]
pub struct StallTable {
    stalls: IndexMap<u32, KnownStall>,
}

#[derive(Clone, Copy, Debug)]
struct KnownStall {
    expires_at: Millis,
    reported_at: Millis,
    /// The VMs whose streams are stalled, two at most.
    first_witness: u32,
    second_witness: Option<u32>,
}

impl KnownStall {
    /// Adds a VM. Returns whether it is the second one to report the leader.
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
    /// Records a notice. Returns whether it should be passed on, which is not the case shortly
    /// after an equal one.
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

    /// Drops the stall of a leader from which something was received.
    pub fn clear(&mut self, leader: u32) {
        if !self.stalls.is_empty() {
            self.stalls.shift_remove(&leader);
        }
    }

    /// Whether no stall is recorded.
    pub fn is_empty(&self) -> bool {
        self.stalls.is_empty()
    }

    /// Whether streams of a leader are reported as stalled.
    pub fn is_stalled(&self, now: Millis, leader: u32) -> bool {
        let stall = self.stalls.get(&leader);
        stall.is_some_and(|stall| stall.expires_at > now)
    }
}
