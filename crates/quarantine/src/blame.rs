//! Which of the requests that upstreams ended under are to blame.
//!
//! All streams of an upstream that ends are broken off together, and where few leaders are left some of them go on at the
//! same next one, beside the request that ends it too. Counted by ends alone, five of six requests in quarantine had only
//! stood beside a harmful one (8 VMs before 54 upstreams; counted from the logs of a day). What tells them apart is how
//! far their runs had come: a request that ends its upstreams does so soon after its runs began, while those beside it
//! were in the middle of theirs.
//!
//! So requests are taken in the order in which they are likely to be harmful, and each is blamed for all ends of its own
//! that none before it is blamed for. Two that nothing tells apart are kept apart, so that the next end is that of one.

use std::cmp::Reverse;

use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};

use crate::fingerprint::RequestPrint;

/// Upstreams that ended under a request, and how many events had come from its run there.
pub(crate) type EndedRuns = IndexMap<UpstreamIncarnation, u32>;

/// Upstreams for whose ends a request is to blame before it is refused. One end has other causes as a rule, and a
/// request has two by chance where few leaders are left.
const QUARANTINE_ENDS: usize = 3;
/// The same, before a request is kept apart from others that nothing tells from it.
pub(crate) const SUSPECT_ENDS: usize = 2;
/// Upstreams that end under a request before it is refused, whoever else may be to blame for them, unless that one is
/// refused itself: a request that ends upstreams late in its runs always has others beside it that had come less far.
/// Such a request has two runs more than one that ends them at once.
const MOST_ENDS: usize = 5;
/// Events by which the runs of a request may differ when their upstreams end, so that they count as ended at the same
/// point. Less comes about by chance: an end is noticed within the time of about two events.
const POINT_EVENTS: u32 = 3;

/// What became clear about a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Verdict {
    /// It may be to blame.
    Suspected(SuspectPlace),
    /// It is to blame.
    Quarantined,
}

/// Where a suspected request goes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct SuspectPlace {
    /// Its number in an order of the upstreams that is the same for all VMs. Requests that nothing tells apart have
    /// different ones, and whoever sends one of them sends it to the same upstream.
    pub number: u64,
    /// Whether there is no other that it could be instead.
    pub is_alone: bool,
}

/// What became clear about requests; nothing about those that are left out.
pub(crate) type Verdicts = IndexMap<RequestPrint, Verdict>;

/// A request that several upstreams ended under.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    print: RequestPrint,
    ends: &'a EndedRuns,
    /// Its ends, less one for each [`POINT_EVENTS`] by which its runs differ.
    weight: usize,
    /// Events of the run that had come least far.
    least: u32,
}

impl<'a> Candidate<'a> {
    fn new(print: RequestPrint, ends: &'a EndedRuns) -> Self {
        let least = ends.values().min().copied().unwrap_or_default();
        let most = ends.values().max().copied().unwrap_or_default();
        let spread = (most - least) / POINT_EVENTS;
        Self {
            print,
            ends,
            weight: ends.len().saturating_sub(spread as usize),
            least,
        }
    }

    /// The most likely one first; of those with equal weight the one that had come least far.
    fn rank(&self) -> (Reverse<usize>, u32) {
        (Reverse(self.weight), self.least)
    }

    /// Whether nothing tells it from another, as far as it alone goes.
    fn is_like(&self, other: &Self) -> bool {
        self.weight == other.weight && self.least.abs_diff(other.least) < POINT_EVENTS
    }
}

/// Finds out which requests are to blame for the ends of upstreams.
pub(crate) fn judge<'a, Entries>(entries: Entries) -> Verdicts
where
    Entries: Iterator<Item = (RequestPrint, &'a EndedRuns)>,
{
    let entries = entries.filter(|(_, ends)| ends.len() >= SUSPECT_ENDS);
    let mut candidates: Vec<_> = entries
        .map(|(print, ends)| Candidate::new(print, ends))
        .collect();
    candidates.sort_by_key(|candidate| (candidate.rank(), candidate.print));
    let mut trial = Trial::new(&candidates);
    for candidate in &candidates {
        trial.blame(candidate);
    }
    trial.refuse_most(&candidates);
    trial.verdicts
}

/// Candidates in their order, and what has become clear so far.
struct Trial<'a> {
    by_incarnation: IndexMap<&'a UpstreamIncarnation, Vec<Candidate<'a>>>,
    /// Ends that a request is blamed for.
    blamed: IndexSet<&'a UpstreamIncarnation>,
    /// Of these, the ones whose request is in quarantine.
    convicted: IndexSet<&'a UpstreamIncarnation>,
    verdicts: Verdicts,
}

impl<'a> Trial<'a> {
    fn new(candidates: &[Candidate<'a>]) -> Self {
        let mut by_incarnation: IndexMap<&UpstreamIncarnation, Vec<Candidate<'_>>> =
            IndexMap::new();
        for candidate in candidates {
            for incarnation in candidate.ends.keys() {
                by_incarnation
                    .entry(incarnation)
                    .or_default()
                    .push(*candidate);
            }
        }
        Self {
            by_incarnation,
            blamed: IndexSet::new(),
            convicted: IndexSet::new(),
            verdicts: Verdicts::new(),
        }
    }

    /// Blames a request for its ends that none before it is blamed for.
    fn blame(&mut self, candidate: &Candidate<'a>) {
        let incarnations = candidate.ends.keys();
        let own: Vec<_> = incarnations
            .filter(|incarnation| !self.blamed.contains(incarnation))
            .collect();
        if own.len() < SUSPECT_ENDS {
            return;
        }
        let beside = self.like_beside(candidate, &own);
        let is_alone = beside.is_empty();
        let shared = beside.into_iter();
        let equals = shared.filter(|(_, count)| *count >= SUSPECT_ENDS);
        let equals: Vec<RequestPrint> = equals.map(|(print, _)| print).collect();
        if own.len() >= QUARANTINE_ENDS && equals.is_empty() {
            self.verdicts.insert(candidate.print, Verdict::Quarantined);
            self.convicted.extend(candidate.ends.keys());
        } else {
            self.keep_apart(candidate.print, equals, is_alone);
        }
        self.blamed.extend(own);
    }

    /// Requests that are like one which is blamed for the ends `own`, and how many of these they share with it. Those that
    /// share several are told from it by nothing; one that shares a single end may still be to blame for that.
    fn like_beside(
        &self,
        candidate: &Candidate<'_>,
        own: &[&UpstreamIncarnation],
    ) -> IndexMap<RequestPrint, usize> {
        let mut shared: IndexMap<RequestPrint, usize> = IndexMap::new();
        for incarnation in own {
            let beside = self.by_incarnation.get(incarnation).into_iter().flatten();
            let beside = beside.filter(|it| it.print != candidate.print);
            for equal in beside.filter(|it| it.is_like(candidate)) {
                *shared.entry(equal.print).or_default() += 1;
            }
        }
        shared
    }

    /// Gives requests that nothing tells apart places of their own.
    fn keep_apart(&mut self, print: RequestPrint, equals: Vec<RequestPrint>, is_alone: bool) {
        let mut suspects = equals;
        suspects.push(print);
        suspects.sort_unstable();
        let first = suspects.first().map_or(0, |print| print.to_hash());
        for (rank, suspect) in suspects.into_iter().enumerate() {
            let number = first.wrapping_add(rank as u64);
            let place = SuspectPlace { number, is_alone };
            let verdict = self.verdicts.entry(suspect);
            verdict.or_insert(Verdict::Suspected(place));
        }
    }

    /// Refuses requests under which most upstreams ended that none in quarantine is to blame for.
    fn refuse_most(&mut self, candidates: &[Candidate<'a>]) {
        for candidate in candidates {
            let incarnations = candidate.ends.keys();
            let open = incarnations.filter(|incarnation| !self.convicted.contains(incarnation));
            if open.count() >= MOST_ENDS {
                self.verdicts.insert(candidate.print, Verdict::Quarantined);
            }
        }
    }
}
