//! Whether an upstream takes requests now, as one entry VM knows it.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// Time for which what an upstream said is kept after the directory last named it: one that was cut off from the directory
/// comes back in the same run.
const GATE_RETENTION: Millis = Millis::from_secs(600);

/// Whether an upstream takes a request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum GateState {
    /// Nothing speaks against it.
    Open,
    /// It advertises a limit, and there is no permit for a request of this rank before this moment.
    Limited(Millis),
    /// It asked this VM to back off until this moment.
    BackingOff(Millis),
    /// It says that it leaves: this run of it takes nothing any more.
    Leaving,
}

impl GateState {
    /// Whether a request may be sent.
    pub const fn is_open(self) -> bool {
        matches!(self, Self::Open)
    }

    /// Its name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Limited(_) => "limited",
            Self::BackingOff(_) => "backing_off",
            Self::Leaving => "leaving",
        }
    }

    /// When it may take requests again, where that is known.
    pub const fn opens_at(self) -> Option<Millis> {
        match self {
            Self::Open | Self::Leaving => None,
            Self::Limited(until) | Self::BackingOff(until) => Some(until),
        }
    }
}

/// Requests of a rank that get no permit for a while.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct PriorityLimit {
    priority: u8,
    until: Millis,
}

/// What speaks against sending to one upstream.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
struct UpstreamGate {
    limits: Vec<PriorityLimit>,
    backoff_until: Millis,
    is_leaving: bool,
    /// When the directory last named it, as far as was looked.
    listed_at: Millis,
}

impl UpstreamGate {
    fn state(&self, priority: u8, now: Millis) -> GateState {
        if self.is_leaving {
            return GateState::Leaving;
        }
        if self.backoff_until > now {
            return GateState::BackingOff(self.backoff_until);
        }
        let limits = self.limits.iter();
        // Where the more urgent wait the less urgent do.
        let limits = limits.filter(|limit| limit.priority <= priority && limit.until > now);
        let until = limits.map(|limit| limit.until).max();
        until.map_or(GateState::Open, GateState::Limited)
    }

    fn is_idle(&self, now: Millis) -> bool {
        !self.is_leaving
            && self.backoff_until <= now
            && self.limits.iter().all(|limit| limit.until <= now)
    }
}

/// The upstreams that do not take all requests, by their runs.
#[derive(Clone, Debug, Default)]
pub struct GateTable {
    gates: IndexMap<UpstreamIncarnation, UpstreamGate>,
}

impl GateTable {
    /// Whether an upstream takes a request of this rank.
    pub fn state(&self, incarnation: &UpstreamIncarnation, priority: u8, now: Millis) -> GateState {
        match self.gates.get(incarnation) {
            None => GateState::Open,
            Some(gate) => gate.state(priority, now),
        }
    }

    /// Sends nothing to an upstream until then that is no more urgent than this.
    pub fn limit_until(
        &mut self,
        incarnation: &UpstreamIncarnation,
        priority: u8,
        until: Millis,
        now: Millis,
    ) {
        let gate = self.gate_mut(incarnation, now);
        gate.limits
            .retain(|limit| limit.until > now && limit.priority != priority);
        gate.limits.push(PriorityLimit { priority, until });
    }

    /// Sends nothing to an upstream until then, whatever its rank. Of several such times the latest holds, as each was asked
    /// for. Says whether this VM was not backing off from it already.
    pub fn back_off(
        &mut self,
        incarnation: &UpstreamIncarnation,
        until: Millis,
        now: Millis,
    ) -> bool {
        let gate = self.gate_mut(incarnation, now);
        let is_new = gate.backoff_until <= now;
        gate.backoff_until = gate.backoff_until.max(until);
        is_new
    }

    /// Sends nothing to this run of an upstream any more. Says whether it had not said so before.
    pub fn mark_leaving(&mut self, incarnation: &UpstreamIncarnation, now: Millis) -> bool {
        let gate = self.gate_mut(incarnation, now);
        !std::mem::replace(&mut gate.is_leaving, true)
    }

    /// Whether an upstream says that it leaves.
    pub fn is_leaving(&self, incarnation: &UpstreamIncarnation) -> bool {
        self.gates
            .get(incarnation)
            .is_some_and(|gate| gate.is_leaving)
    }

    fn gate_mut(&mut self, incarnation: &UpstreamIncarnation, now: Millis) -> &mut UpstreamGate {
        let gate = self.gates.entry(incarnation.clone()).or_default();
        gate.listed_at = gate.listed_at.max(now);
        gate
    }

    /// Upstreams that this VM backs off from now.
    pub fn backing_off_count(&self, now: Millis) -> usize {
        let gates = self.gates.values();
        gates.filter(|gate| gate.backoff_until > now).count()
    }

    /// Forgets that requests were held back, as the upstream advertises no limit any more.
    pub fn clear_limits(&mut self, incarnation: &UpstreamIncarnation) {
        if let Some(gate) = self.gates.get_mut(incarnation) {
            gate.limits.clear();
        }
    }

    /// Forgets what has passed, and upstreams that the directory has not named for long.
    pub fn retain<IsListed>(&mut self, is_listed: IsListed, now: Millis)
    where
        IsListed: Fn(&UpstreamIncarnation) -> bool,
    {
        self.gates.retain(|incarnation, gate| {
            if is_listed(incarnation) {
                gate.listed_at = now;
            }
            !gate.is_idle(now) && now.since(gate.listed_at) < GATE_RETENTION
        });
    }
}
