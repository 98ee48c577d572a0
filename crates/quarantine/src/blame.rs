//! Decides which of the requests in flight at crashed upstreams caused the crashes.
//!
//! All streams of a crashed upstream break at the same time. With few leaders left, some of them
//! resume at the same next leader as the harmful request and break again when it crashes that
//! leader too. When only crashes were counted, five of six quarantined requests had merely run
//! beside a harmful one (8 entry VMs and 54 upstreams, counted in one day of logs). Progress tells
//! the two kinds apart: a harmful request crashes an upstream soon after its run there begins,
//! while the runs beside it are interrupted midway.
//!
//! Prompt parts are candidates as well as requests. A harmful part is present at more crashes than
//! any request with it, and the parts beside it have been answered elsewhere, so they rank last.
//!
//! Candidates are therefore ranked by how likely they are harmful, and each one is blamed for those
//! of its crashes that no higher-ranked candidate is blamed for. Indistinguishable candidates are
//! routed to different upstreams, so that the next crash identifies the harmful one.

use std::cmp::Reverse;

use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};

use crate::fingerprint::RequestPrint;

/// The upstreams that crashed while they ran a request, with the number of events received from
/// each run.
pub(crate) type CrashedRuns = IndexMap<UpstreamIncarnation, u32>;

/// Number of crashes a request must be blamed for before it is rejected. A single crash usually has
/// another cause, and with few leaders left a harmless request can run at two crashed upstreams by
/// chance.
const QUARANTINE_CRASHES: usize = 3;
/// Number of crashes a request must be blamed for before it is routed apart from requests that
/// cannot be told from it.
pub(crate) const SUSPECT_CRASHES: usize = 2;
/// Number of crashes, without those of quarantined requests, after which a request is rejected
/// whichever request is blamed for them. Covers a request that crashes upstreams late in its runs:
/// there are always other requests beside it with less progress. Such a request is rejected two
/// runs later than one that crashes upstreams at once.
const UNEXPLAINED_CRASHES: usize = 5;
/// Runs that end within this many events of each other count as interrupted at the same point.
/// Smaller differences occur by chance, as a crash is noticed within the time of about two events.
const SAME_POINT_EVENTS: u32 = 3;

/// The conclusion about a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Verdict {
    /// May have caused the crashes.
    Suspected(SuspectPlace),
    /// Caused the crashes.
    Quarantined,
}

/// Where a suspected request is sent.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct SuspectPlace {
    /// Position in an order of the upstreams that is the same on all VMs. Indistinguishable
    /// requests get different numbers, and every VM sends a given request to the same upstream.
    pub number: u64,
    /// Whether no other request can have caused the crashes instead.
    pub is_alone: bool,
}

/// Verdicts by request. Requests without a verdict are absent.
pub(crate) type Verdicts = IndexMap<RequestPrint, Verdict>;

/// A request that was running at several crashed upstreams.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    print: RequestPrint,
    runs: &'a CrashedRuns,
    /// Number of crashes, reduced by one for each [`SAME_POINT_EVENTS`] by which the progress of the
    /// runs differs.
    weight: usize,
    /// Number of events of the run with the least progress.
    least_progress: u32,
    /// Whether this is a prompt part that is known to be harmless.
    is_harmless: bool,
}

impl<'a> Candidate<'a> {
    fn new(print: RequestPrint, runs: &'a CrashedRuns, is_harmless: bool) -> Self {
        let least_progress = runs.values().min().copied().unwrap_or_default();
        let most_progress = runs.values().max().copied().unwrap_or_default();
        let spread = (most_progress - least_progress) / SAME_POINT_EVENTS;
        Self {
            print,
            runs,
            weight: runs.len().saturating_sub(spread as usize),
            least_progress,
            is_harmless,
        }
    }

    /// Returns the sort key: the heaviest candidate comes first, then a request before the parts of
    /// its prompt, then the one with the least progress.
    fn rank(&self) -> (bool, Reverse<usize>, bool, u32) {
        let is_part = self.print.is_part();
        let weight = Reverse(self.weight);
        (self.is_harmless, weight, is_part, self.least_progress)
    }

    /// Whether this request cannot be told from another by weight and progress. Parts go wherever
    /// their requests go, so sending them to different upstreams would not tell them apart.
    fn is_indistinguishable_from(&self, other: &Self) -> bool {
        let are_requests = !self.print.is_part() && !other.print.is_part();
        are_requests
            && self.weight == other.weight
            && self.least_progress.abs_diff(other.least_progress) < SAME_POINT_EVENTS
    }
}

/// Decides which requests and prompt parts caused the crashes, given which of the parts are known to
/// be harmless.
pub(crate) fn assign_blame<'a, Entries, Harmless>(
    entries: Entries,
    is_harmless: Harmless,
) -> Verdicts
where
    Entries: Iterator<Item = (RequestPrint, &'a CrashedRuns)>,
    Harmless: Fn(RequestPrint) -> bool,
{
    let entries = entries.filter(|(_, runs)| runs.len() >= SUSPECT_CRASHES);
    let mut candidates: Vec<_> = entries
        .map(|(print, runs)| Candidate::new(print, runs, is_harmless(print)))
        .collect();
    candidates.sort_by_key(|candidate| (candidate.rank(), candidate.print));
    let mut assignment = BlameAssignment::new(&candidates);
    for candidate in &candidates {
        assignment.blame(candidate);
    }
    assignment.quarantine_unexplained(&candidates);
    assignment.verdicts
}

/// The ranked candidates and the conclusions so far.
struct BlameAssignment<'a> {
    candidates_by_crash: IndexMap<&'a UpstreamIncarnation, Vec<Candidate<'a>>>,
    /// Crashes that a request is blamed for.
    blamed: IndexSet<&'a UpstreamIncarnation>,
    /// Crashes of the requests in quarantine.
    explained: IndexSet<&'a UpstreamIncarnation>,
    verdicts: Verdicts,
}

impl<'a> BlameAssignment<'a> {
    fn new(candidates: &[Candidate<'a>]) -> Self {
        let mut candidates_by_crash: IndexMap<&UpstreamIncarnation, Vec<Candidate<'_>>> =
            IndexMap::new();
        for candidate in candidates {
            for incarnation in candidate.runs.keys() {
                candidates_by_crash
                    .entry(incarnation)
                    .or_default()
                    .push(*candidate);
            }
        }
        Self {
            candidates_by_crash,
            blamed: IndexSet::new(),
            explained: IndexSet::new(),
            verdicts: Verdicts::new(),
        }
    }

    /// Blames a request for those of its crashes that no higher-ranked request is blamed for.
    fn blame(&mut self, candidate: &Candidate<'a>) {
        let incarnations = candidate.runs.keys();
        let unblamed: Vec<_> = incarnations
            .filter(|incarnation| !self.blamed.contains(incarnation))
            .collect();
        if unblamed.len() < SUSPECT_CRASHES {
            return;
        }
        // Unlike a request, a part can be at several upstreams at once, at different points.
        let evidence = candidate.weight.min(unblamed.len());
        if candidate.print.is_part() && evidence < QUARANTINE_CRASHES {
            return;
        }
        let beside = self.count_shared_crashes(candidate, &unblamed);
        let is_alone = beside.is_empty();
        let shared = beside.into_iter();
        let indistinguishable = shared.filter(|(_, count)| *count >= SUSPECT_CRASHES);
        let indistinguishable: Vec<RequestPrint> =
            indistinguishable.map(|(print, _)| print).collect();
        if unblamed.len() >= QUARANTINE_CRASHES && indistinguishable.is_empty() {
            self.verdicts.insert(candidate.print, Verdict::Quarantined);
            self.explained.extend(candidate.runs.keys());
        } else {
            self.assign_places(candidate.print, indistinguishable, is_alone);
        }
        self.blamed.extend(unblamed);
    }

    /// Returns the requests indistinguishable from `candidate`, with the number of crashes in
    /// `unblamed` that they share with it. A request that shares several cannot be told apart; one
    /// that shares a single crash may still have caused that one.
    fn count_shared_crashes(
        &self,
        candidate: &Candidate<'_>,
        unblamed: &[&UpstreamIncarnation],
    ) -> IndexMap<RequestPrint, usize> {
        let mut shared: IndexMap<RequestPrint, usize> = IndexMap::new();
        for incarnation in unblamed {
            let beside = self
                .candidates_by_crash
                .get(incarnation)
                .into_iter()
                .flatten();
            let beside = beside.filter(|other| other.print != candidate.print);
            for other in beside.filter(|other| other.is_indistinguishable_from(candidate)) {
                *shared.entry(other.print).or_default() += 1;
            }
        }
        shared
    }

    /// Marks indistinguishable requests as suspected and assigns them different upstreams.
    fn assign_places(
        &mut self,
        print: RequestPrint,
        indistinguishable: Vec<RequestPrint>,
        is_alone: bool,
    ) {
        let mut suspects = indistinguishable;
        suspects.push(print);
        suspects.sort_unstable();
        let first_hash = suspects.first().map_or(0, |print| print.to_hash());
        for (rank, suspect) in suspects.into_iter().enumerate() {
            let number = first_hash.wrapping_add(rank as u64);
            let place = SuspectPlace { number, is_alone };
            let verdict = self.verdicts.entry(suspect);
            verdict.or_insert(Verdict::Suspected(place));
        }
    }

    /// Quarantines requests with [`UNEXPLAINED_CRASHES`] or more crashes that no quarantined
    /// request explains.
    fn quarantine_unexplained(&mut self, candidates: &[Candidate<'a>]) {
        for candidate in candidates {
            let incarnations = candidate.runs.keys();
            let unexplained =
                incarnations.filter(|incarnation| !self.explained.contains(incarnation));
            let unexplained_count = match candidate.print.is_part() {
                true => candidate.weight.min(unexplained.count()),
                false => unexplained.count(),
            };
            if unexplained_count >= UNEXPLAINED_CRASHES {
                self.verdicts.insert(candidate.print, Verdict::Quarantined);
            }
        }
    }
}
