//! Leaders of whose silence entry VMs tell each other.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// Time for which a leader counts as silent whose streams one VM finds to stand still: they go on elsewhere, and nobody is
/// left there who would tell again. One VM alone may have lost its way to a sound leader.
const STALLED_TIME: Millis = Millis(1_000);
/// The same where the streams of several VMs do: a group that stands still is ended by then, or breaks by itself.
const CONFIRMED_TIME: Millis = Millis(5_000);
/// Time between two notices of the same leader.
const TELL_PERIOD: Millis = Millis(100);

/// That the streams which one entry VM has at a leader stand still. Doubt is not told: most leaders that are only suspected
/// go on, and all VMs that left them alone would crowd the others.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ToldSilence {
    /// The leader's short name.
    pub leader: u32,
    /// The short name of the entry VM that saw it.
    pub witness: u32,
}

/// Who is to hear of a silence: nobody of what was told a moment ago.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct SilenceNews {
    /// Whether the coordinator is, which asks the group.
    pub is_for_coordinator: bool,
    /// What the other entry VMs are told.
    pub for_vms: Option<ToldSilence>,
}

/// What entry VMs told of leaders.
#[derive(Clone, Debug, Default)]
pub struct ToldSilences {
    silences: IndexMap<u32, KnownSilence>,
}

#[derive(Clone, Copy, Debug)]
struct KnownSilence {
    until: Millis,
    told_at: Millis,
    /// Whose streams stand still, two at most.
    first: u32,
    second: Option<u32>,
}

impl KnownSilence {
    /// Whether the VM has not told of the leader before, and is the second one.
    fn note_witness(&mut self, witness: u32) -> bool {
        if self.first == witness || self.second.is_some() {
            return false;
        }
        self.second = Some(witness);
        true
    }

    const fn time(&self) -> Millis {
        match self.second {
            None => STALLED_TIME,
            Some(_) => CONFIRMED_TIME,
        }
    }
}

impl ToldSilences {
    /// Notes what was told. Says whether that is to be passed on: not what was told a moment ago.
    pub fn note(&mut self, now: Millis, told: ToldSilence) -> bool {
        self.silences.retain(|_, known| known.until > now);
        let mut is_new = false;
        let known = self.silences.entry(told.leader).or_insert_with(|| {
            is_new = true;
            KnownSilence {
                until: now,
                told_at: now,
                first: told.witness,
                second: None,
            }
        });
        let is_witness = known.note_witness(told.witness);
        let is_due = is_new || is_witness || now.since(known.told_at) >= TELL_PERIOD;
        known.until = known.until.max(now + known.time());
        if is_due {
            known.told_at = now;
        }
        is_due
    }

    /// Notes that something came from a leader.
    pub fn forget(&mut self, leader: u32) {
        if !self.silences.is_empty() {
            self.silences.shift_remove(&leader);
        }
    }

    /// Whether anything is told of any leader.
    pub fn is_empty(&self) -> bool {
        self.silences.is_empty()
    }

    /// Whether streams of a leader stand still.
    pub fn has(&self, now: Millis, leader: u32) -> bool {
        let known = self.silences.get(&leader);
        known.is_some_and(|known| known.until > now)
    }
}
