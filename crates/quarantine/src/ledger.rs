//! How many upstreams ended under a request, and when it is sent no more.

use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};

use crate::fingerprint::RequestPrint;

/// Upstreams that end under a request before it is refused. One end has other causes as a rule, and a request that
/// stood beside a harmful one by chance has one or two: of 26 that stand beside it at one of seven leaders, four go on
/// at the same next leader, and one at the one after that.
const QUARANTINE_ENDS: usize = 3;
/// Upstreams that end under a request before this system repeats it no more by itself. After one, those that stood beside
/// a harmful request are served elsewhere; a second repeat would end a third group for no caller's gain.
const REPEAT_ENDS: usize = 2;
/// Ends of one request that are kept: enough to show operators which upstreams they were.
const MAX_ENDS: usize = 16;
/// Cleared ends of one request that are kept, so that late news of them does not count: those of the last minutes where
/// an upstream ends every few seconds.
const MAX_CLEARED: usize = 64;
/// Requests that are kept at most. Each takes some 400 bytes, so all of them 3 MB of the 160 MB of the smallest VM.
const MAX_REQUESTS: usize = 8_192;
/// Time without a further end after which a request that is not in quarantine is forgotten.
const SUSPECT_TIME: Millis = Millis::from_secs(3_600);
/// Time without a refusal or an end after which a request leaves quarantine: a caller that sends it once a day has a new
/// version of the model by then, or ends three more upstreams.
const QUARANTINE_TIME: Millis = Millis::from_secs(24 * 3_600);

/// What may be done with a request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum RequestStanding {
    /// It is sent like any other.
    Good,
    /// It is sent when its caller sends it, and not repeated by this system.
    Suspected,
    /// It is refused.
    Quarantined,
}

/// What is known of one request.
#[derive(Clone, Debug, Default)]
struct CrashEntry {
    /// Upstreams that ended under it and that it is not cleared of.
    ends: IndexSet<UpstreamLife>,
    /// Those that a whole answer, or an operator, has cleared it of.
    cleared: IndexSet<UpstreamLife>,
    /// Whether one of them was seen from this VM.
    is_own: bool,
    /// Since when it has been known.
    since: Millis,
    /// When it last mattered.
    used_at: Millis,
}

impl CrashEntry {
    fn standing(&self) -> RequestStanding {
        match self.ends.len() {
            0..REPEAT_ENDS => RequestStanding::Good,
            REPEAT_ENDS..QUARANTINE_ENDS => RequestStanding::Suspected,
            _ => RequestStanding::Quarantined,
        }
    }

    fn is_expired(&self, now: Millis) -> bool {
        let time = match self.standing() {
            RequestStanding::Quarantined => QUARANTINE_TIME,
            RequestStanding::Good | RequestStanding::Suspected => SUSPECT_TIME,
        };
        now.since(self.used_at) >= time
    }
}

/// A request in quarantine, for operators.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct QuarantinedRequest {
    /// Which.
    pub print: RequestPrint,
    /// The upstreams that ended under it.
    pub ends: Vec<UpstreamLife>,
    /// Since when this VM has known of it.
    pub since: Millis,
}

/// Requests under which upstreams ended.
///
/// Ends and what clears a request of them are sets that only grow, so it does not matter how often or in which order
/// VMs hear of them.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    entries: IndexMap<RequestPrint, CrashEntry>,
}

impl CrashLedger {
    /// Whether no upstream has ended under any request: no print needs to be worked out then.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Requests that are known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// What may be done with a request.
    pub fn standing(&self, print: RequestPrint) -> RequestStanding {
        let entry = self.entries.get(&print);
        entry.map_or(RequestStanding::Good, CrashEntry::standing)
    }

    /// Upstreams that ended under a request and that it is not cleared of.
    pub fn open_ends(&self, print: RequestPrint) -> usize {
        self.entries.get(&print).map_or(0, |entry| entry.ends.len())
    }

    /// Notes that a request was refused as one in quarantine.
    pub fn note_refused(&mut self, now: Millis, print: RequestPrint) {
        if let Some(entry) = self.entries.get_mut(&print) {
            entry.used_at = now;
        }
    }

    /// Notes that an upstream ended under a request.
    pub fn note_end(&mut self, now: Millis, print: RequestPrint, life: &UpstreamLife) {
        let entry = self.entry(now, print);
        let counts = entry.ends.len() < MAX_ENDS && !entry.cleared.contains(life);
        if counts && entry.ends.insert(life.clone()) {
            entry.used_at = now;
        }
    }

    /// Notes that it was seen from this VM that an upstream ended under a request.
    pub fn note_own(&mut self, now: Millis, print: RequestPrint, life: &UpstreamLife) {
        self.note_end(now, print, life);
        self.entry(now, print).is_own = true;
    }

    /// Whether an end of an upstream under a request was seen from this VM.
    pub fn is_own(&self, print: RequestPrint) -> bool {
        self.entries.get(&print).is_some_and(|entry| entry.is_own)
    }

    /// Clears a request of the ends of these upstreams, also of those that are heard of later.
    pub fn clear<Lives>(&mut self, now: Millis, print: RequestPrint, lives: Lives)
    where
        Lives: IntoIterator<Item = UpstreamLife>,
    {
        let entry = self.entry(now, print);
        for life in lives {
            entry.ends.shift_remove(&life);
            entry.cleared.insert(life);
        }
        while entry.cleared.len() > MAX_CLEARED {
            entry.cleared.shift_remove_index(0);
        }
    }

    /// The upstreams that ended under a request and that it is not cleared of.
    pub fn ends(&self, print: RequestPrint) -> Vec<UpstreamLife> {
        let entry = self.entries.get(&print);
        let ends = entry.into_iter().flat_map(|entry| &entry.ends);
        ends.cloned().collect()
    }

    /// Requests in quarantine.
    pub fn quarantined(&self) -> Vec<QuarantinedRequest> {
        let entries = self.entries.iter();
        let held = entries.filter(|(_, entry)| entry.standing() == RequestStanding::Quarantined);
        held.map(|(print, entry)| QuarantinedRequest {
            print: *print,
            ends: self.ends(*print),
            since: entry.since,
        })
        .collect()
    }

    /// Forgets what has not mattered for long.
    pub fn expire(&mut self, now: Millis) {
        self.entries.retain(|_, entry| !entry.is_expired(now));
    }

    fn entry(&mut self, now: Millis, print: RequestPrint) -> &mut CrashEntry {
        if self.entries.len() >= MAX_REQUESTS && !self.entries.contains_key(&print) {
            self.make_room(now);
        }
        self.entries.entry(print).or_insert_with(|| CrashEntry {
            since: now,
            used_at: now,
            ..CrashEntry::default()
        })
    }

    /// Drops a part of what matters least: requests with the fewest ends, and of these the ones that mattered last
    /// longest ago. A flood of requests under which one upstream ended throws out none in quarantine.
    fn make_room(&mut self, now: Millis) {
        self.expire(now);
        if self.entries.len() < MAX_REQUESTS {
            return;
        }
        let rank = |entry: &CrashEntry| (entry.ends.len().min(QUARANTINE_ENDS), entry.used_at);
        self.entries.sort_by(|_, a, _, b| rank(b).cmp(&rank(a)));
        self.entries.truncate(MAX_REQUESTS * 3 / 4);
    }
}
