//! How many upstreams ended under a request, and when it is sent no more.

use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};

use crate::blame::{EndedRuns, SUSPECT_ENDS, SuspectPlace, Verdict, Verdicts, judge};
use crate::ends::BrokenRun;
use crate::fingerprint::RequestPrint;

/// Ends of one request that are kept: enough to show operators which upstreams they were.
const MAX_ENDS: usize = 16;
/// Cleared ends of one request that are kept, so that late news of them does not count: those of the last minutes where
/// an upstream ends every few seconds.
const MAX_CLEARED: usize = 64;
/// Requests that are kept at most. Each takes some 500 bytes, so all of them 4 MB of the 160 MB of the smallest VM.
const MAX_REQUESTS: usize = 8_192;
/// Time without a further end after which a request that is not in quarantine is forgotten.
const SUSPECT_TIME: Millis = Millis::from_secs(3_600);
/// Time without a refusal or an end after which a request leaves quarantine: a caller that sends it once a day has a new
/// version of the model by then, or ends three more upstreams.
const QUARANTINE_TIME: Millis = Millis::from_secs(24 * 3_600);

/// What may be done with a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RequestStanding {
    /// It is sent like any other.
    Good,
    /// It is sent to a place of its own, so that the next end there is its own. Where there is no other that it could be
    /// instead, it is sent when its caller sends it, and not repeated by this system: a repeat would end a third group
    /// for no caller's gain.
    Suspected(SuspectPlace),
    /// It is refused.
    Quarantined,
}

/// What is known of one request.
#[derive(Clone, Debug, Default)]
struct CrashEntry {
    /// Upstreams that ended under it and that it is not cleared of.
    ends: EndedRuns,
    /// Those that a whole answer, or an operator, has cleared it of.
    cleared: IndexSet<UpstreamIncarnation>,
    /// Whether one of them was seen from this VM.
    is_own: bool,
    /// Since when it has been known.
    since: Millis,
    /// When an upstream last ended under it.
    struck_at: Millis,
    /// When it last mattered.
    used_at: Millis,
}

/// A request in quarantine, for operators.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct QuarantinedRequest {
    /// Which.
    pub print: RequestPrint,
    /// The upstreams that ended under it.
    pub ends: Vec<UpstreamIncarnation>,
    /// Since when this VM has known of it.
    pub since: Millis,
    /// When an upstream last ended under it, as far as this VM knows.
    pub struck_at: Millis,
    /// When it last came, as far as this VM knows.
    pub used_at: Millis,
}

/// Requests under which upstreams ended.
///
/// Ends and what clears a request of them are sets that only grow, so it does not matter how often or in which order
/// VMs hear of them.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    entries: IndexMap<RequestPrint, CrashEntry>,
    verdicts: Verdicts,
    /// Whether ends have changed since the verdicts were worked out.
    is_changed: bool,
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
    pub fn standing(&mut self, print: RequestPrint) -> RequestStanding {
        match self.verdict(print) {
            None => RequestStanding::Good,
            Some(Verdict::Suspected(place)) => RequestStanding::Suspected(place),
            Some(Verdict::Quarantined) => RequestStanding::Quarantined,
        }
    }

    fn verdict(&mut self, print: RequestPrint) -> Option<Verdict> {
        // Few requests are known, and hardly one of these has several ends.
        if self.open_ends(print) < SUSPECT_ENDS {
            return None;
        }
        self.judge();
        self.verdicts.get(&print).copied()
    }

    /// Works out what the ends say, if they have changed.
    fn judge(&mut self) {
        if std::mem::take(&mut self.is_changed) {
            let entries = self.entries.iter();
            self.verdicts = judge(entries.map(|(print, entry)| (*print, &entry.ends)));
        }
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

    /// Notes that an upstream ended under a run of a request. Of several runs there the one counts that had come least
    /// far.
    pub fn note_end(&mut self, now: Millis, incarnation: &UpstreamIncarnation, run: BrokenRun) {
        let entry = self.entry(now, run.print);
        if entry.cleared.contains(incarnation) {
            return;
        }
        if let Some(events) = entry.ends.get_mut(incarnation) {
            let is_less = run.events < *events;
            *events = run.events.min(*events);
            self.is_changed |= is_less;
            return;
        }
        if entry.ends.len() >= MAX_ENDS {
            return;
        }
        entry.ends.insert(incarnation.clone(), run.events);
        entry.struck_at = now;
        entry.used_at = now;
        self.is_changed = true;
    }

    /// Notes that it was seen from this VM that an upstream ended under a run of a request.
    pub fn note_own(&mut self, now: Millis, incarnation: &UpstreamIncarnation, run: BrokenRun) {
        self.note_end(now, incarnation, run);
        self.entry(now, run.print).is_own = true;
    }

    /// Whether an end of an upstream under a request was seen from this VM.
    pub fn is_own(&self, print: RequestPrint) -> bool {
        self.entries.get(&print).is_some_and(|entry| entry.is_own)
    }

    /// Clears a request of the ends of these upstreams, also of those that are heard of later.
    pub fn clear<Incarnations>(
        &mut self,
        now: Millis,
        print: RequestPrint,
        incarnations: Incarnations,
    ) where
        Incarnations: IntoIterator<Item = UpstreamIncarnation>,
    {
        let entry = self.entry(now, print);
        for incarnation in incarnations {
            entry.ends.shift_remove(&incarnation);
            entry.cleared.insert(incarnation);
        }
        while entry.cleared.len() > MAX_CLEARED {
            entry.cleared.shift_remove_index(0);
        }
        self.is_changed = true;
    }

    /// The upstreams that ended under a request and that it is not cleared of.
    pub fn ends(&self, print: RequestPrint) -> Vec<UpstreamIncarnation> {
        let entry = self.entries.get(&print);
        let ends = entry.into_iter().flat_map(|entry| entry.ends.keys());
        ends.cloned().collect()
    }

    /// Requests in quarantine.
    pub fn quarantined(&mut self) -> Vec<QuarantinedRequest> {
        self.judge();
        let verdicts = self.verdicts.iter();
        let held = verdicts.filter(|(_, verdict)| **verdict == Verdict::Quarantined);
        let entries = held.filter_map(|(print, _)| Some((print, self.entries.get(print)?)));
        entries
            .map(|(print, entry)| QuarantinedRequest {
                print: *print,
                ends: entry.ends.keys().cloned().collect(),
                since: entry.since,
                struck_at: entry.struck_at,
                used_at: entry.used_at,
            })
            .collect()
    }

    /// Forgets what has not mattered for long.
    pub fn expire(&mut self, now: Millis) {
        self.judge();
        let known = self.entries.len();
        let verdicts = &self.verdicts;
        self.entries.retain(|print, entry| {
            let time = match verdicts.get(print) {
                Some(Verdict::Quarantined) => QUARANTINE_TIME,
                Some(Verdict::Suspected(_)) | None => SUSPECT_TIME,
            };
            now.since(entry.used_at) < time
        });
        self.is_changed |= self.entries.len() < known;
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
        let verdicts = &self.verdicts;
        let rank = |print: &RequestPrint, entry: &CrashEntry| {
            let is_held = verdicts.get(print) == Some(&Verdict::Quarantined);
            (is_held, entry.ends.len(), entry.used_at)
        };
        self.entries
            .sort_by(|a, of_a, b, of_b| rank(b, of_b).cmp(&rank(a, of_a)));
        self.entries.truncate(MAX_REQUESTS * 3 / 4);
        self.is_changed = true;
    }
}
