//! Whether an upstream accepts requests now, as far as this entry VM knows.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// How long state is kept after an upstream was last listed in the directory. An upstream that was
/// cut off from the directory may return as the same incarnation.
const GATE_RETENTION: Millis = Millis::from_secs(600);

/// Whether an upstream accepts a request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum GateState {
    /// The upstream accepts requests.
    Open,
    /// The upstream advertises a limit, and no permit is available for this priority before the
    /// given time.
    Limited(Millis),
    /// The upstream asked this VM to back off until the given time.
    BackingOff(Millis),
    /// The upstream announced that it leaves. This incarnation accepts no more requests.
    Leaving,
}

impl GateState {
    /// Whether a request may be sent.
    pub const fn is_open(self) -> bool {
        matches!(self, Self::Open)
    }

    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Limited(_) => "limited",
            Self::BackingOff(_) => "backing_off",
            Self::Leaving => "leaving",
        }
    }

    /// Returns when the upstream may accept requests again, if known.
    pub const fn opens_at(self) -> Option<Millis> {
        match self {
            Self::Open | Self::Leaving => None,
            Self::Limited(until) | Self::BackingOff(until) => Some(until),
        }
    }
}

/// A priority for which no permit is available for a while.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct PriorityLimit {
    priority: u8,
    until: Millis,
}

/// Reasons not to send requests to one upstream.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
struct UpstreamGate {
    /// By the limit that the upstream advertises.
    limits: Vec<PriorityLimit>,
    /// By what the upstream tolerates while it is cold.
    cold_limits: Vec<PriorityLimit>,
    backoff_until: Millis,
    is_leaving: bool,
    /// When the directory was last seen to list the upstream.
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
        let limits = self.limits.iter().chain(&self.cold_limits);
        // A limit for an urgent priority also holds back all less urgent ones.
        let limits = limits.filter(|limit| limit.priority <= priority && limit.until > now);
        let until = limits.map(|limit| limit.until).max();
        until.map_or(GateState::Open, GateState::Limited)
    }

    fn is_idle(&self, now: Millis) -> bool {
        !self.is_leaving
            && self.backoff_until <= now
            && self.limits.iter().all(|limit| limit.until <= now)
            && self.cold_limits.iter().all(|limit| limit.until <= now)
    }
}

/// The upstreams that do not accept all requests, by incarnation.
#[derive(Clone, Debug, Default)]
pub struct GateTable {
    gates: IndexMap<UpstreamIncarnation, UpstreamGate>,
}

impl GateTable {
    /// Returns whether an upstream accepts a request of this priority.
    pub fn state(&self, incarnation: &UpstreamIncarnation, priority: u8, now: Millis) -> GateState {
        match self.gates.get(incarnation) {
            None => GateState::Open,
            Some(gate) => gate.state(priority, now),
        }
    }

    /// Holds back requests of this priority, and less urgent ones, from an upstream until the given
    /// time.
    pub fn limit_until(
        &mut self,
        incarnation: &UpstreamIncarnation,
        priority: u8,
        until: Millis,
        now: Millis,
    ) {
        let limits = &mut self.gate_mut(incarnation, now).limits;
        replace_limit(limits, PriorityLimit { priority, until }, now);
    }

    /// Like [`Self::limit_until`], because the upstream is cold.
    pub fn limit_cold_until(
        &mut self,
        incarnation: &UpstreamIncarnation,
        priority: u8,
        until: Millis,
        now: Millis,
    ) {
        let limits = &mut self.gate_mut(incarnation, now).cold_limits;
        replace_limit(limits, PriorityLimit { priority, until }, now);
    }

    /// Holds back all requests from an upstream until the given time. If it asked for several
    /// backoffs, the latest end applies. Returns whether this VM was not backing off already.
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

    /// Holds back all requests from this incarnation of an upstream for good. Returns whether it
    /// was not known to be leaving.
    pub fn mark_leaving(&mut self, incarnation: &UpstreamIncarnation, now: Millis) -> bool {
        let gate = self.gate_mut(incarnation, now);
        !std::mem::replace(&mut gate.is_leaving, true)
    }

    /// Whether an upstream announced that it leaves.
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

    /// Returns the number of upstreams in backoff.
    pub fn backing_off_count(&self, now: Millis) -> usize {
        let gates = self.gates.values();
        gates.filter(|gate| gate.backoff_until > now).count()
    }

    /// Drops the limits of an upstream that no longer advertises one.
    pub fn clear_limits(&mut self, incarnation: &UpstreamIncarnation) {
        if let Some(gate) = self.gates.get_mut(incarnation) {
            gate.limits.clear();
        }
    }

    /// Drops the limits of an upstream that is no longer cold.
    pub fn clear_cold_limits(&mut self, incarnation: &UpstreamIncarnation) {
        if let Some(gate) = self.gates.get_mut(incarnation) {
            gate.cold_limits.clear();
        }
    }

    /// Drops expired entries, and upstreams that the directory has not listed for a long time.
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

/// Replaces the limit for a priority, and drops expired ones.
fn replace_limit(limits: &mut Vec<PriorityLimit>, limit: PriorityLimit, now: Millis) {
    limits.retain(|known| known.until > now && known.priority != limit.priority);
    limits.push(limit);
}
