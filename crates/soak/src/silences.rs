//! Sound upstreams that send nothing for a while, and go on where they were.

use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_site_standin::SiteUpstream;
use indexmap::IndexMap;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::audit::{AuditBook, Trouble, may_be_cut};
use crate::caller::{CallEnd, CallRecord, RequestKind};
use crate::options::SoakOptions;
use crate::plan::{FaultKind, LATE_STOPS_MS, LONGEST_MS, TimedFault, draw_stops};
use crate::process::EntryProcess;
use crate::run::{SoakRun, is_served};
use crate::site::UpstreamRole;
use crate::violation::Violation;

/// Duration of a silence, in milliseconds: below and past every inactivity that leads to a suspicion, and a fraction of
/// the callers' deadlines.
const SILENCE_MS: Range<u64> = 500..2_000;
/// The longest silence.
const LONGEST_SILENCE: Duration = Duration::from_millis(SILENCE_MS.end);
/// Time for which an upstream is sound after a silence: longer than the longest stream takes, so that a silence and an
/// answer fit into a deadline.
const SOUND_TIME: Duration = Duration::from_millis(1_500);
/// Time in which an upstream answers, streams included, on a busy machine.
const ANSWER_TIME: Duration = Duration::from_millis(1_000);
/// Time before a deadline in which an answer may be given up as late.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);
/// Time around the signal of a planned stop in which silences begin, in milliseconds from its beginning.
const AROUND_STOP_MS: Range<u64> = 0..1_500;
/// Age below which a process counts as just started.
const FRESH_AGE: Duration = Duration::from_millis(500);
/// Time in which a process that stops is expected back: its grace and the longest pause after it.
const RETURN_PATIENCE: Duration = Duration::from_secs(12);
/// Time between two looks at the age of a process.
const AGE_LOOK: Duration = Duration::from_millis(20);
/// Share of the upstreams in a silence of most.
const MOST: f64 = 0.7;
/// Distinguishes the source of silences from those of other faults.
const SILENCE_SOURCE: u64 = 0x5349_4c45;

/// A set of upstreams, a bit for each place.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct UpstreamSet {
    /// Engines.
    pub engines: u32,
    /// Instances of the plain service.
    pub desks: u32,
}

impl UpstreamSet {
    /// All upstreams.
    pub const ALL: Self = Self {
        engines: u32::MAX,
        desks: u32::MAX,
    };

    const fn has(self, role: UpstreamRole, index: usize) -> bool {
        let places = match role {
            UpstreamRole::Engine => self.engines,
            UpstreamRole::Desk => self.desks,
        };
        places >> index & 1 == 1
    }
}

/// When a silence begins.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SilenceStart {
    /// At the time of the fault.
    AtOnce,
    /// Once a process has just been started.
    AfterStart(usize),
}

/// Draws silences, each beside a new configuration, from a source of their own, so that the other faults of a seed stay
/// what they were. One in four begins around a planned stop, one after the start that follows.
pub(crate) fn draw_silences(seed: u64, options: &SoakOptions) -> Vec<TimedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(24) ^ SILENCE_SOURCE);
    let stops = draw_stops(seed, options);
    let whole = 0..options.length.as_millis() as u64 + LONGEST_MS + LATE_STOPS_MS;
    let mut faults = Vec::new();
    for number in 0..options.silences {
        let set = draw_set(&mut rng, options);
        let length = Duration::from_millis(rng.random_range(SILENCE_MS));
        let drawn_at = Duration::from_millis(rng.random_range(whole.clone()));
        let offset = Duration::from_millis(rng.random_range(AROUND_STOP_MS));
        let stop = stops.choose(&mut rng);
        let (at, start) = match (number % 4, stop.map(|stop| (stop.at, stop.kind))) {
            (1, Some((at, _))) => (at + offset, SilenceStart::AtOnce),
            (3, Some((at, FaultKind::StopEntry(entry)))) => (at, SilenceStart::AfterStart(entry)),
            _ => (drawn_at, SilenceStart::AtOnce),
        };
        faults.push(TimedFault {
            at,
            length,
            kind: FaultKind::Silence(set, start),
        });
        faults.push(TimedFault {
            at: at + length.mul_f64(rng.random()),
            length: Duration::ZERO,
            kind: FaultKind::ChangeKeys,
        });
    }
    faults
}

fn draw_set<Source>(rng: &mut Source, options: &SoakOptions) -> UpstreamSet
where
    Source: Rng,
{
    match rng.random_range(0..6) {
        0..=2 => UpstreamSet::ALL,
        3 | 4 => UpstreamSet {
            engines: draw_most(rng, options.engines),
            desks: draw_most(rng, options.desks),
        },
        _ => UpstreamSet {
            engines: 1 << rng.random_range(0..options.engines),
            desks: 1 << rng.random_range(0..options.desks),
        },
    }
}

fn draw_most<Source>(rng: &mut Source, count: usize) -> u32
where
    Source: Rng,
{
    (0..count).fold(0, |set, index| {
        set | u32::from(rng.random_bool(MOST)) << index
    })
}

/// A time in which all upstreams of a role were silent.
#[derive(Clone, Copy, Debug)]
pub struct AllSilentPeriod {
    /// The role.
    pub role: UpstreamRole,
    /// Since when.
    pub from: Instant,
    /// Until when.
    pub until: Instant,
}

/// Silences of a run.
#[derive(Debug, Default)]
pub(crate) struct SilenceBook {
    /// End of the last silence of each upstream, by its id.
    ends: IndexMap<String, Instant>,
    /// When all upstreams of a role were silent.
    pub(crate) all_silent: Vec<AllSilentPeriod>,
}

impl SilenceBook {
    /// Notes a silence, unless the upstream is silent already or was a short time ago.
    fn begin(&mut self, upstream: &SiteUpstream, now: Instant, length: Duration) -> bool {
        let last = self.ends.get(upstream.id());
        if last.is_some_and(|end| now < *end + SOUND_TIME) {
            return false;
        }
        self.ends.insert(upstream.id().to_owned(), now + length);
        true
    }
}

/// New requests while all upstreams that could serve them were silent.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct SilenceReport {
    /// Requests.
    pub requests: usize,
    /// Requests that were refused as not run.
    pub refused: usize,
}

impl SoakRun {
    /// Makes upstreams silent for a time.
    pub(crate) async fn silence(&self, set: UpstreamSet, length: Duration) {
        let silenced = self.begin_silence(set, length);
        tokio::time::sleep(length).await;
        for upstream in silenced {
            upstream.silence(false);
        }
    }

    fn begin_silence(&self, set: UpstreamSet, length: Duration) -> Vec<Arc<SiteUpstream>> {
        let now = Instant::now();
        let mut book = self.silences.lock();
        let mut silenced = Vec::new();
        for role in [UpstreamRole::Engine, UpstreamRole::Desk] {
            let count = self.site.places(role).lock().len();
            let mut ends = Vec::new();
            for index in 0..count {
                let Some(upstream) = self.site.staying(role, index) else {
                    continue;
                };
                if set.has(role, index) && book.begin(&upstream, now, length) {
                    upstream.silence(true);
                    silenced.push(Arc::clone(&upstream));
                }
                let end = book.ends.get(upstream.id());
                ends.push(end.map_or(now, |end| *end));
            }
            let until = ends.into_iter().min().unwrap_or(now);
            if until > now {
                let from = now;
                book.all_silent.push(AllSilentPeriod { role, from, until });
            }
        }
        silenced
    }

    /// Waits until a process has just been started. False when it is not in time.
    pub(crate) async fn wait_started(&self, index: usize) -> bool {
        let end = Instant::now() + RETURN_PATIENCE;
        let is_fresh = |process: &EntryProcess| process.is_started() && process.age() < FRESH_AGE;
        while Instant::now() < end {
            if is_fresh(&*self.entries[index].process.lock().await) {
                return true;
            }
            tokio::time::sleep(AGE_LOOK).await;
        }
        false
    }
}

impl Trouble {
    /// Whether it excuses that a request to upstreams of this role got no whole answer. Silences, configurations, reloads
    /// and planned stops do not.
    fn excuses_loss(&self, entry: usize, role: UpstreamRole) -> bool {
        match self.kind {
            FaultKind::Silence(..)
            | FaultKind::ChangeKeys
            | FaultKind::ReloadEntry(_)
            | FaultKind::StopEntry(_) => false,
            FaultKind::KillEntry(it) | FaultKind::PauseEntry(it) | FaultKind::StoreLink(it, _) => {
                it == entry
            }
            FaultKind::UpstreamsCut(cut_off, _) => cut_off.has(entry),
            _ => self.kind.role().is_none_or(|it| it == role),
        }
    }
}

impl AuditBook {
    /// A request that a sound upstream took gets its whole answer, however long the upstream is silent within the
    /// deadline.
    pub(crate) fn check_silence(&self, record: &CallRecord) -> Option<Violation> {
        let (from, until) = (record.sent_at, record.ended_at);
        let role = record.kind.role();
        let mut during = self
            .troubles
            .iter()
            .filter(|trouble| trouble.overlaps(from, until));
        let mut silences = during.clone();
        if !silences.any(|trouble| matches!(trouble.kind, FaultKind::Silence(..))) {
            return None;
        }
        let runs = self.runs(record);
        if !is_lost(record, runs) || is_past_deadline(record) {
            return None;
        }
        let is_excused = during.any(|trouble| {
            let is_stop = trouble.kind == FaultKind::StopEntry(record.entry);
            let is_cut = is_stop && may_be_cut(record, trouble.from);
            is_cut || trouble.excuses_loss(record.entry, role)
        });
        (!is_excused).then(|| Violation::CutWhileSilent {
            id: record.id.clone(),
            entry: record.entry,
            kind: record.kind,
            end: record.end.clone(),
            took: until - from,
            runs,
        })
    }

    /// How new requests were answered while all upstreams that could serve them were silent.
    pub fn silence_report(&self) -> SilenceReport {
        let mut report = SilenceReport::default();
        for record in &self.records {
            let mut periods = self.all_silent.iter();
            let is_during = periods.any(|period| {
                let is_within = period.from <= record.sent_at && record.sent_at < period.until;
                is_within && period.role == record.kind.role()
            });
            if is_during {
                report.requests += 1;
                report.refused += usize::from(is_refused(&record.end));
            }
        }
        report
    }
}

const fn is_refused(end: &CallEnd) -> bool {
    matches!(
        end,
        CallEnd::Answered {
            status: 429 | 503,
            ..
        }
    )
}

/// Whether a request ran, or may have run, and got no whole answer. A connection that ends before the head, of a request
/// that no upstream saw, may have been idle.
fn is_lost(record: &CallRecord, runs: usize) -> bool {
    if is_served(&record.end) || matches!(record.kind, RequestKind::Harmful(..)) {
        return false;
    }
    match record.end {
        CallEnd::Answered { status, .. } => runs > 0 || matches!(status, 500 | 502 | 504),
        CallEnd::Cut { had_head } => runs > 0 || had_head,
        CallEnd::NotSent => false,
        CallEnd::GivenUp => true,
    }
}

/// Whether a request had less time than a silence and an answer take, and all of it has passed.
fn is_past_deadline(record: &CallRecord) -> bool {
    let took = record.ended_at - record.sent_at;
    let is_short = record.answer_time < LONGEST_SILENCE + ANSWER_TIME;
    is_short && took + DEADLINE_MARGIN >= record.answer_time
}
