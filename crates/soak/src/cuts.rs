//! Processes that are cut off from all upstreams, while callers, the store and the others reach them.

use std::time::{Duration, Instant};

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::audit::{AuditBook, Trouble};
use crate::caller::{CallRecord, RequestKind};
use crate::options::SoakOptions;
use crate::plan::{FaultKind, LinkState, TimedFault};
use crate::run::is_served;
use crate::site::LASTING_KEY;
use crate::violation::Violation;

/// Time from the beginning of a cut until callers of the processes must be served again, as the users
/// set it.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
/// First tries that may fail at such processes, whatever the others do, as the users set it.
const FREE_FAILURES: usize = 10;
/// One in so many may fail besides, as the users set it.
const FAILURE_SHARE: usize = 50;
/// Number of first tries at processes that are not cut off from which on their share counts.
const MIN_OTHER_TRIES: usize = 30;
/// How long a cut lasts, in milliseconds: below the bound, and well past it.
const CUT_MS: std::ops::Range<u64> = 500..9_000;
/// Tells the source of cuts from those of other faults.
const CUT_SOURCE: u64 = 0x4355_5453;

/// A set of processes, a bit for each.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ProcessSet(pub u32);

impl ProcessSet {
    /// Whether it has this process.
    pub const fn has(self, number: usize) -> bool {
        self.0 >> number & 1 == 1
    }
}

/// Draws cuts from a source of their own, so that the other faults of a seed stay what they were.
pub(crate) fn draw_cuts(seed: u64, options: &SoakOptions) -> Vec<TimedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(8) ^ CUT_SOURCE);
    let states = [LinkState::Silent, LinkState::Reset, LinkState::RefusesNew];
    let cuts = (0..options.cuts).map(|_| {
        let mut numbers: Vec<usize> = (0..options.entries).collect();
        numbers.shuffle(&mut rng);
        match rng.random_range(0..3) {
            // A whole failure domain: every other process.
            0 => numbers.retain(|number| number.is_multiple_of(2)),
            // All but one.
            1 => numbers.truncate(options.entries.saturating_sub(1)),
            _ => numbers.truncate(rng.random_range(1..=options.entries.div_ceil(2))),
        }
        let set = numbers.iter().fold(0, |set, number| set | 1 << number);
        let state = *states.choose(&mut rng).unwrap_or(&LinkState::Silent);
        TimedFault {
            at: Duration::from_millis(rng.random_range(0..options.length.as_millis() as u64)),
            length: Duration::from_millis(rng.random_range(CUT_MS)),
            kind: FaultKind::UpstreamsCut(ProcessSet(set), state),
        }
    });
    cuts.collect()
}

/// First tries and how many of them were served.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct TryCount {
    /// Served.
    pub served: usize,
    /// All.
    pub tries: usize,
}

impl TryCount {
    fn of<'a, Records>(records: Records) -> Self
    where
        Records: Iterator<Item = &'a CallRecord>,
    {
        records.fold(Self::default(), |count, record| Self {
            served: count.served + usize::from(is_served(&record.end)),
            tries: count.tries + 1,
        })
    }

    /// Whether these are served less than two thirds as often as the others, and more fail than may
    /// anyway.
    pub const fn is_worse_than(self, others: Self) -> bool {
        let failed = self.tries - self.served;
        let is_rarer = self.served * others.tries * 3 < others.served * self.tries * 2;
        is_rarer && failed > FREE_FAILURES + self.tries / FAILURE_SHARE
    }
}

/// How callers were served while processes were cut off from all upstreams.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CutReport {
    /// The processes.
    pub cut_off: ProcessSet,
    /// First tries there.
    pub served_there: TryCount,
    /// First tries at the others.
    pub served_elsewhere: TryCount,
}

impl AuditBook {
    /// Processes that are cut off from all upstreams serve as the others do, from some time on.
    pub(crate) fn check_cuts(&self) -> Vec<Violation> {
        let reports = self.cut_reports().into_iter();
        let broken = reports.filter(|report| {
            let has_measure = report.served_elsewhere.tries >= MIN_OTHER_TRIES;
            has_measure && report.served_there.is_worse_than(report.served_elsewhere)
        });
        broken.map(Violation::WorseWhileCutOff).collect()
    }

    /// How callers were served during each cut.
    pub fn cut_reports(&self) -> Vec<CutReport> {
        let troubles = self.troubles.iter();
        let reports = troubles.filter_map(|trouble| match trouble.kind {
            FaultKind::UpstreamsCut(cut_off, _) => Some(self.report_cut(trouble, cut_off)),
            _ => None,
        });
        reports.collect()
    }

    fn report_cut(&self, trouble: &Trouble, cut_off: ProcessSet) -> CutReport {
        let (from, until) = (trouble.from + CONTACT_TIME, trouble.until);
        let is_undisturbed = |entry: usize| !self.is_disturbed_during(entry, from, until);
        let counted = |is_cut_off: bool| {
            let records = self.records.iter();
            TryCount::of(records.filter(|record| {
                record.sent_at >= from
                    && record.sent_at < until
                    && record.key == LASTING_KEY
                    && !matches!(record.kind, RequestKind::Harmful(..))
                    && cut_off.has(record.entry) == is_cut_off
                    && (is_cut_off || !self.is_cut_off(record.entry, from, until))
                    && is_undisturbed(record.entry)
            }))
        };
        CutReport {
            cut_off,
            served_there: counted(true),
            served_elsewhere: counted(false),
        }
    }

    /// Whether a process is cut off from all upstreams at some time between these.
    pub(crate) fn is_cut_off(&self, entry: usize, from: Instant, until: Instant) -> bool {
        let mut troubles = self.troubles.iter();
        troubles.any(|trouble| {
            let is_cut = matches!(trouble.kind, FaultKind::UpstreamsCut(set, _) if set.has(entry));
            is_cut && trouble.overlaps(from, until)
        })
    }

    /// Whether something else befalls a process at some time between these.
    fn is_disturbed_during(&self, entry: usize, from: Instant, until: Instant) -> bool {
        let mut troubles = self.troubles.iter();
        troubles.any(|trouble| {
            let is_stop = trouble.kind == FaultKind::StopEntry(entry);
            (is_stop || trouble.befalls(entry)) && trouble.overlaps(from, until)
        })
    }
}
