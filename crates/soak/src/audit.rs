//! The promises, checked from what callers and upstreams saw.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bergamot_site_standin::upstream::SeenRequest;

use crate::additions::AddedGrant;
use crate::caller::{CallEnd, CallRecord, DEADLINE, RequestKind};
use crate::crowds::CrowdCall;
use crate::domains::{EvacuationPeriod, RecordIndex, UpstreamArrivals, check_regions};
use crate::plan::FaultKind;
use crate::silences::AllSilentPeriod;
use crate::site::{LASTING_KEY, RevokedKey, UpstreamRole, UpstreamRun};
use crate::violation::Violation;

/// Time after which a key that was taken away is good nowhere: the bound in the processes' settings,
/// and 250 ms for a request on its way.
const REVOKE_BOUND: Duration = Duration::from_millis(5_250);
/// Time after which a leaving upstream gets no new work, from processes whose links are whole.
const LEAVE_BOUND: Duration = Duration::from_millis(2_000);
/// Time before a request's arrival in which a fault of the upstream's link may have held it up, as the
/// users set it.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time past its deadline in which a request has its answer on a busy machine; not tuned.
const ANSWER_SLACK: Duration = Duration::from_millis(1_000);
/// Time after the end of a fault in which it still counts as a cause: the two seconds after which a VM
/// whose link is back is up to date, and one retry.
const FAULT_SHADOW: Duration = Duration::from_millis(2_500);

/// Time from the signal to stop to the end of the process, as the users set it.
const STOP_GRACE: Duration = Duration::from_secs(8);
/// Time after the signal up to which a stream may be sent that the end of the grace cuts, as the users set it.
const STREAM_TAKEN: Duration = Duration::from_secs(3);
/// Time after the signal from which on such a stream may be cut: the last sixth of the grace, as the users set it.
const STREAM_CUT: Duration = Duration::from_micros(STOP_GRACE.as_micros() as u64 * 5 / 6);

/// Something that befell processes or upstreams for a time.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// What.
    pub kind: FaultKind,
    /// Since when.
    pub from: Instant,
    /// Until when.
    pub until: Instant,
}

impl Trouble {
    pub(crate) fn overlaps(&self, from: Instant, until: Instant) -> bool {
        self.from <= until && from <= self.until + FAULT_SHADOW
    }

    /// Whether a process can be late, cut off or gone because of it.
    pub(crate) fn befalls(&self, entry: usize) -> bool {
        match self.kind {
            FaultKind::KillEntry(it) | FaultKind::PauseEntry(it) | FaultKind::StoreLink(it, _) => {
                it == entry
            }
            FaultKind::StoreLinks(set, _) => set.has(entry),
            FaultKind::StoreOutage | FaultKind::StoreHang | FaultKind::StoreSlow(_) => true,
            // Each process has a small share of a core meanwhile.
            FaultKind::Crowd(_) => true,
            _ => false,
        }
    }

    /// Whether an answer can break because of it that one of these upstreams gave. Any engine may be in
    /// the group that streams.
    fn breaks_answers(&self, runs: &[(UpstreamRun, SeenRequest)]) -> bool {
        match self.kind {
            FaultKind::EngineLink(..)
            | FaultKind::EngineDies(_)
            | FaultKind::EngineBreaksOff(..)
            | FaultKind::EngineLeaves(_) => runs.iter().any(|(run, _)| run.is_engine()),
            FaultKind::HarmfulRequest(UpstreamRole::Engine, _) => {
                runs.iter().any(|(run, _)| run.is_engine())
            }
            FaultKind::HarmfulRequest(UpstreamRole::Desk, _) => {
                runs.iter().any(|(run, _)| !run.is_engine())
            }
            FaultKind::Restarts(UpstreamRole::Engine, _)
            | FaultKind::RestartsCutOff(UpstreamRole::Engine, _) => {
                runs.iter().any(|(run, _)| run.is_engine())
            }
            FaultKind::Restarts(UpstreamRole::Desk, desk)
            | FaultKind::RestartsCutOff(UpstreamRole::Desk, desk)
            | FaultKind::DeskLink(desk, _)
            | FaultKind::DeskDies(desk)
            | FaultKind::DeskLosesAnswers(desk, _) => runs.iter().any(|(run, _)| run.is_desk(desk)),
            _ => false,
        }
    }
}

/// Everything that was seen in a run.
#[derive(Default)]
pub struct AuditBook {
    /// What callers saw.
    pub records: Vec<CallRecord>,
    /// What upstreams began to run, by the request's id.
    pub seen: BTreeMap<String, Vec<(UpstreamRun, SeenRequest)>>,
    /// Faults, as they really were.
    pub troubles: Vec<Trouble>,
    /// Keys that were taken away.
    pub revoked: Vec<RevokedKey>,
    /// Keys and routes that were added.
    pub granted: Vec<AddedGrant>,
    /// What reached each upstream, run or not.
    pub arrived: Vec<UpstreamArrivals>,
    /// When failure domains were evacuated.
    pub evacuations: Vec<EvacuationPeriod>,
    /// Requests of crowds.
    pub crowd_calls: Vec<CrowdCall>,
    /// When all upstreams of a role were silent.
    pub all_silent: Vec<AllSilentPeriod>,
}

impl AuditBook {
    /// What was broken.
    pub fn check(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        for record in &self.records {
            found.extend(self.check_runs(record));
            found.extend(self.check_answer(record));
            found.extend(check_held(record));
            found.extend(self.check_key(record));
            found.extend(self.check_grant(record));
            found.extend(self.check_stop(record));
            found.extend(self.check_silence(record));
            found.extend(self.check_leaving(record));
            found.extend(self.check_unnamed(record));
        }
        found.extend(self.check_order());
        found.extend(self.check_harmful());
        found.extend(self.check_said());
        found.extend(self.check_arrivals());
        found.extend(self.check_cuts());
        found.extend(self.check_crowds());
        found
    }

    fn check_arrivals(&self) -> Vec<Violation> {
        let records: RecordIndex<'_> = self
            .records
            .iter()
            .map(|record| (record.id.as_str(), record))
            .collect();
        let mut found = Vec::new();
        for arrivals in &self.arrived {
            found.extend(self.check_evacuations(arrivals, &records));
            found.extend(check_regions(arrivals, &records));
            found.extend(self.check_cold(arrivals));
        }
        found
    }

    pub(crate) fn runs(&self, record: &CallRecord) -> usize {
        self.seen.get(&record.id).map_or(0, Vec::len)
    }

    fn is_troubled(&self, entry: usize, from: Instant, until: Instant) -> bool {
        let mut troubles = self.troubles.iter();
        troubles.any(|trouble| trouble.befalls(entry) && trouble.overlaps(from, until))
    }

    fn check_runs(&self, record: &CallRecord) -> Option<Violation> {
        let runs = self.runs(record);
        let id = record.id.clone();
        if record.kind == RequestKind::Bid && runs > 1 {
            return Some(Violation::RanTwice { id, runs });
        }
        let CallEnd::Answered {
            status,
            says_not_run,
            ..
        } = record.end
        else {
            return None;
        };
        // On an idempotent route such an answer may be an upstream's own statement.
        let is_checked = record.kind == RequestKind::Bid || record.kind.is_stream();
        let is_promised = is_checked && matches!(status, 408 | 421 | 429 | 503);
        let is_false = runs > 0 && (is_promised || says_not_run);
        is_false.then_some(Violation::FalselyNotRun { id, status })
    }

    fn check_answer(&self, record: &CallRecord) -> Option<Violation> {
        let id = record.id.clone();
        let took = record.ended_at - record.sent_at;
        let is_troubled = self.is_troubled(record.entry, record.sent_at, record.ended_at);
        if took > DEADLINE + ANSWER_SLACK && !is_troubled {
            return Some(Violation::HeldTooLong { id, took });
        }
        match record.end {
            CallEnd::Answered {
                status: 200,
                is_whole: false,
                ..
            } => Some(Violation::WrongAnswer { id }),
            CallEnd::Answered {
                status: status @ (429 | 503),
                has_retry_after: false,
                ..
            } => Some(Violation::NoRetryAfter { id, status }),
            _ => None,
        }
    }

    fn check_key(&self, record: &CallRecord) -> Option<Violation> {
        let CallEnd::Answered { status, .. } = record.end else {
            return None;
        };
        let id = record.id.clone();
        if record.key == LASTING_KEY && !matches!(record.kind, RequestKind::Added(_)) {
            let is_denied = matches!(status, 401 | 403 | 404);
            return is_denied.then_some(Violation::Denied { id, status });
        }
        let mut revoked = self.revoked.iter();
        let revoked = revoked.find(|revoked| revoked.key == record.key)?;
        let after = record.sent_at.checked_duration_since(revoked.at)?;
        let is_served = status == 200 && after > REVOKE_BOUND;
        is_served.then_some(Violation::RevokedServed { id, after })
    }

    /// A request that was sent on must end with an answer, also one that came after the signal to stop.
    fn check_stop(&self, record: &CallRecord) -> Option<Violation> {
        if !matches!(record.end, CallEnd::Cut { .. } | CallEnd::GivenUp) {
            return None;
        }
        let (from, until) = (record.sent_at, record.ended_at);
        let mut stops = self.troubles.iter().filter(|trouble| {
            let is_stop = trouble.kind == FaultKind::StopEntry(record.entry);
            is_stop && from <= trouble.until && trouble.from <= until
        });
        let is_cut = stops.any(|stop| !may_be_cut(record, stop.from));
        // One that no upstream saw may have met the end of an idle connection.
        let runs = self.seen.get(&record.id).filter(|runs| !runs.is_empty())?;
        let is_excused = self.troubles.iter().any(|trouble| {
            let can_break = trouble.befalls(record.entry) || trouble.breaks_answers(runs);
            can_break && trouble.overlaps(from, until)
        });
        let is_excused = is_excused || self.is_cut_off(record.entry, from, until);
        (is_cut && !is_excused).then(|| Violation::CutByStop {
            id: record.id.clone(),
            entry: record.entry,
        })
    }

    fn check_leaving(&self, record: &CallRecord) -> Option<Violation> {
        let runs = self.seen.get(&record.id)?;
        runs.iter().find_map(|(run, seen)| {
            let leaving_since = run.leaving_since?;
            let after = seen.at.checked_duration_since(leaving_since)?;
            let is_late = after > LEAVE_BOUND;
            let is_held_up = record.sent_at <= leaving_since + LEAVE_BOUND
                && self.may_be_held_up(run, record.sent_at.max(seen.at - CONTACT_TIME), seen.at);
            let is_troubled = self.is_troubled(record.entry, seen.at - LEAVE_BOUND, seen.at);
            let is_excused = is_held_up || is_troubled;
            (is_late && !is_excused).then(|| Violation::WorkWhileLeaving {
                id: record.id.clone(),
                upstream: run.upstream.id().to_owned(),
                after,
            })
        })
    }

    /// Whether bytes to an upstream may have been held back on its link at some time between these.
    fn may_be_held_up(&self, run: &UpstreamRun, from: Instant, until: Instant) -> bool {
        let mut troubles = self.troubles.iter();
        troubles.any(|trouble| {
            let is_strained = match trouble.kind {
                FaultKind::DeskLink(index, _) => run.is_at(UpstreamRole::Desk, index),
                FaultKind::EngineLink(index, _) => run.is_at(UpstreamRole::Engine, index),
                FaultKind::RestartsCutOff(role, index) => run.is_at(role, index),
                _ => false,
            };
            is_strained && trouble.from <= until && from <= trouble.until
        })
    }

    /// An entry that cannot be read names no upstream, like one that is removed.
    fn check_unnamed(&self, record: &CallRecord) -> Option<Violation> {
        let runs = self.seen.get(&record.id)?;
        runs.iter().find_map(|(run, seen)| {
            let written = self.troubles.iter().filter(|trouble| {
                let FaultKind::ForeignEntry(role, index, _) = trouble.kind else {
                    return false;
                };
                run.is_at(role, index)
            });
            // The upstream writes its entry at the end of each such fault, also while another one lasts.
            let is_named_since = |from: Instant| {
                let mut ends = written.clone().map(|trouble| trouble.until);
                ends.any(|until| from < until && until < seen.at)
            };
            let is_unnamed = written.clone().any(|trouble| {
                seen.at > trouble.from + LEAVE_BOUND && !is_named_since(trouble.from)
            });
            let is_excused = self.is_troubled(record.entry, seen.at - LEAVE_BOUND, seen.at);
            (is_unnamed && !is_excused).then(|| Violation::WorkWhileUnnamed {
                id: record.id.clone(),
                upstream: run.upstream.id().to_owned(),
            })
        })
    }
}

/// Only those that end upstreams are refused for it.
fn check_held(record: &CallRecord) -> Option<Violation> {
    let is_harmful = matches!(record.kind, RequestKind::Harmful(..));
    let is_held = matches!(record.end, CallEnd::Answered { is_held: true, .. });
    let id = record.id.clone();
    (is_held && !is_harmful).then_some(Violation::InnocentHeld { id })
}

/// Whether a stop that was told at this time may cut a request: only a stream that was sent early and runs until the
/// last part of the grace.
pub(crate) fn may_be_cut(record: &CallRecord, told: Instant) -> bool {
    record.kind.is_stream()
        && record.sent_at <= told + STREAM_TAKEN
        && record.ended_at >= told + STREAM_CUT
}
