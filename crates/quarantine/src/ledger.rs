//! Counts the crashes of each request and decides when it is no longer sent.

use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};

use crate::blame::{CrashedRuns, SUSPECT_CRASHES, SuspectPlace, Verdict, Verdicts, assign_blame};
use crate::crashes::BrokenRun;
use crate::fingerprint::RequestPrint;
use crate::parts::{HarmlessParts, PartRuns};

/// Maximum number of crashes recorded per request: enough to show operators which upstreams
/// crashed.
const MAX_CRASHES: usize = 16;
/// Maximum number of cleared crashes recorded per request, so that late reports of them are
/// ignored. Covers the last minutes if an upstream crashes every few seconds.
const MAX_CLEARED: usize = 64;
/// Maximum number of requests. Each takes some 500 bytes, so all of them take 4 MB of the 160 MB of
/// the smallest VM.
const MAX_REQUESTS: usize = 8_192;
/// How long a request outside quarantine is remembered after its last crash.
const SUSPECT_RETENTION: Millis = Millis::from_secs(3_600);
/// How long a request stays in quarantine after its last rejection or crash. A caller that sends it
/// once a day has a new version of the model by then, or crashes three more upstreams.
const QUARANTINE_RETENTION: Millis = Millis::from_secs(24 * 3_600);
/// How long a prompt part outside quarantine is remembered after its last crash.
const PART_SUSPECT_RETENTION: Millis = Millis::from_secs(600);
/// How long a prompt part stays in quarantine after its last crash. Rejections do not prolong it, as
/// requests of many callers may contain the part.
const PART_QUARANTINE_RETENTION: Millis = Millis::from_secs(3_600);

/// How a request may be handled.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RequestStanding {
    /// Sent like any other request.
    Good,
    /// Sent to an upstream of its own, so that the next crash there is attributable to it. If no
    /// other request can be the cause, it is sent when its caller sends it but never retried by
    /// this system: a retry would crash a third group without benefit to the caller.
    Suspected(SuspectPlace),
    /// Rejected.
    Quarantined,
}

/// History of one request.
#[derive(Clone, Debug, Default)]
struct CrashEntry {
    /// Crashes that the request is not cleared of.
    crashes: CrashedRuns,
    /// Crashes that a complete answer or an operator cleared the request of.
    cleared: IndexSet<UpstreamIncarnation>,
    /// Whether this VM observed one of the crashes.
    is_observed: bool,
    /// When the request was first recorded.
    recorded_at: Millis,
    /// Time of the last crash.
    last_crash_at: Millis,
    /// Time of the last crash or rejection.
    last_active_at: Millis,
}

/// A quarantined request, as shown to operators.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct QuarantinedRequest {
    /// The request.
    pub print: RequestPrint,
    /// The upstreams that crashed.
    pub crashes: Vec<UpstreamIncarnation>,
    /// When this VM first recorded the request.
    pub recorded_at: Millis,
    /// Time of the last crash known to this VM.
    pub last_crash_at: Millis,
    /// Time of the last crash or rejection known to this VM.
    pub last_active_at: Millis,
}

/// The requests that were running at crashed upstreams.
///
/// Crashes and clearances are grow-only sets, so the order and number of reports from other VMs
/// does not matter.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    entries: IndexMap<RequestPrint, CrashEntry>,
    harmless_parts: HarmlessParts,
    verdicts: Verdicts,
    /// Whether crashes have changed since the verdicts were computed.
    is_changed: bool,
}

impl CrashLedger {
    /// Whether no crash is recorded, in which case no fingerprint needs to be computed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of recorded requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns how a request may be handled.
    pub fn standing(&mut self, print: RequestPrint) -> RequestStanding {
        match self.verdict(print) {
            None => RequestStanding::Good,
            Some(Verdict::Suspected(place)) => RequestStanding::Suspected(place),
            Some(Verdict::Quarantined) => RequestStanding::Quarantined,
        }
    }

    fn verdict(&mut self, print: RequestPrint) -> Option<Verdict> {
        // Few requests are recorded, and hardly any of them has several crashes.
        if self.open_crashes(print) < SUSPECT_CRASHES {
            return None;
        }
        self.update_verdicts();
        self.verdicts.get(&print).copied()
    }

    /// Recomputes the verdicts if the crashes have changed.
    fn update_verdicts(&mut self) {
        if std::mem::take(&mut self.is_changed) {
            let entries = self.entries.iter();
            let entries = entries.map(|(print, entry)| (*print, &entry.crashes));
            self.verdicts = assign_blame(entries, |print| self.harmless_parts.contains(print));
        }
    }

    /// Returns the number of crashes that a request is not cleared of.
    pub fn open_crashes(&self, print: RequestPrint) -> usize {
        self.entries
            .get(&print)
            .map_or(0, |entry| entry.crashes.len())
    }

    /// Records that a quarantined request was rejected.
    pub fn record_rejection(&mut self, now: Millis, print: RequestPrint) {
        if let Some(entry) = self.entries.get_mut(&print) {
            entry.last_active_at = now;
        }
    }

    /// Records a complete answer to a request with this prompt part. Returns whether crashes are
    /// attributed to the part.
    pub fn record_part_answer(&mut self, now: Millis, part: RequestPrint) -> bool {
        let is_new = self.harmless_parts.record_answer(now, part);
        let has_crashes = self.open_crashes(part) > 0;
        self.is_changed |= is_new && has_crashes;
        has_crashes
    }

    /// Whether a crash counts against a prompt part of an interrupted run. A part that is known to
    /// be harmless may have stood beside the cause at many upstreams that crashed at the same time,
    /// so only the first of them counts until another run has been sent, and only if its answer had
    /// not begun.
    pub fn counts_against_part(&self, part: RequestPrint, runs: &PartRuns<'_>) -> bool {
        if !self.harmless_parts.contains(part) {
            return true;
        }
        let last_crash_at = self.entries.get(&part).map(|entry| entry.last_crash_at);
        runs.events == 0 && last_crash_at.is_none_or(|at| runs.sent_at > at)
    }

    /// Records that an upstream crashed during a run of a request. If the request had several runs
    /// there, the one with the least progress counts.
    pub fn record_crash(&mut self, now: Millis, incarnation: &UpstreamIncarnation, run: BrokenRun) {
        let entry = self.entry(now, run.print);
        if entry.cleared.contains(incarnation) {
            return;
        }
        if let Some(known_events) = entry.crashes.get_mut(incarnation) {
            let has_less_progress = run.events < *known_events;
            *known_events = run.events.min(*known_events);
            self.is_changed |= has_less_progress;
            return;
        }
        if entry.crashes.len() >= MAX_CRASHES {
            return;
        }
        entry.crashes.insert(incarnation.clone(), run.events);
        entry.last_crash_at = now;
        entry.last_active_at = now;
        self.is_changed = true;
    }

    /// Records a crash that this VM observed itself.
    pub fn record_observed_crash(
        &mut self,
        now: Millis,
        incarnation: &UpstreamIncarnation,
        run: BrokenRun,
    ) {
        self.record_crash(now, incarnation, run);
        self.entry(now, run.print).is_observed = true;
    }

    /// Whether this VM observed a crash of the request itself.
    pub fn is_observed(&self, print: RequestPrint) -> bool {
        self.entries
            .get(&print)
            .is_some_and(|entry| entry.is_observed)
    }

    /// Clears a request of crashes, including those reported later.
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
            entry.crashes.shift_remove(&incarnation);
            entry.cleared.insert(incarnation);
        }
        while entry.cleared.len() > MAX_CLEARED {
            entry.cleared.shift_remove_index(0);
        }
        self.is_changed = true;
    }

    /// Returns the upstreams whose crashes a request is not cleared of.
    pub fn crashed_upstreams(&self, print: RequestPrint) -> Vec<UpstreamIncarnation> {
        let entry = self.entries.get(&print);
        let crashes = entry.into_iter().flat_map(|entry| entry.crashes.keys());
        crashes.cloned().collect()
    }

    /// Returns the quarantined requests.
    pub fn quarantined(&mut self) -> Vec<QuarantinedRequest> {
        self.update_verdicts();
        let verdicts = self.verdicts.iter();
        let quarantined = verdicts.filter(|(_, verdict)| **verdict == Verdict::Quarantined);
        let entries = quarantined.filter_map(|(print, _)| Some((print, self.entries.get(print)?)));
        entries
            .map(|(print, entry)| QuarantinedRequest {
                print: *print,
                crashes: entry.crashes.keys().cloned().collect(),
                recorded_at: entry.recorded_at,
                last_crash_at: entry.last_crash_at,
                last_active_at: entry.last_active_at,
            })
            .collect()
    }

    /// Drops requests whose last crash or rejection was long ago.
    pub fn expire(&mut self, now: Millis) {
        self.is_changed |= self.harmless_parts.expire(now);
        self.update_verdicts();
        let count_before = self.entries.len();
        let verdicts = &self.verdicts;
        self.entries.retain(|print, entry| {
            let is_quarantined = verdicts.get(print) == Some(&Verdict::Quarantined);
            let (since, retention) = match (print.is_part(), is_quarantined) {
                (true, true) => (entry.last_crash_at, PART_QUARANTINE_RETENTION),
                (true, false) => (entry.last_crash_at, PART_SUSPECT_RETENTION),
                (false, true) => (entry.last_active_at, QUARANTINE_RETENTION),
                (false, false) => (entry.last_active_at, SUSPECT_RETENTION),
            };
            now.since(since.max(entry.recorded_at)) < retention
        });
        self.is_changed |= self.entries.len() < count_before;
    }

    fn entry(&mut self, now: Millis, print: RequestPrint) -> &mut CrashEntry {
        if self.entries.len() >= MAX_REQUESTS && !self.entries.contains_key(&print) {
            self.evict_requests(now);
        }
        self.entries.entry(print).or_insert_with(|| CrashEntry {
            recorded_at: now,
            last_active_at: now,
            ..CrashEntry::default()
        })
    }

    /// Evicts a quarter of the requests: those outside quarantine with the fewest crashes first,
    /// and among equals the least recently active. A flood of requests with one crash each evicts
    /// no quarantined request.
    fn evict_requests(&mut self, now: Millis) {
        self.expire(now);
        if self.entries.len() < MAX_REQUESTS {
            return;
        }
        let verdicts = &self.verdicts;
        let rank = |print: &RequestPrint, entry: &CrashEntry| {
            let is_quarantined = verdicts.get(print) == Some(&Verdict::Quarantined);
            (is_quarantined, entry.crashes.len(), entry.last_active_at)
        };
        self.entries
            .sort_by(|a, entry_a, b, entry_b| rank(b, entry_b).cmp(&rank(a, entry_a)));
        self.entries.truncate(MAX_REQUESTS * 3 / 4);
        self.is_changed = true;
    }
}
