//! Failure domains: their evacuation, and requests with home regions.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bergamot_adapter::sample::{COLD_TIME, HOME_REGION, ZONES, region_of};
use bergamot_site_standin::ArrivedRequest;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::audit::AuditBook;
use crate::caller::{CallRecord, RequestKind};
use crate::options::SoakOptions;
use crate::plan::{FaultKind, LONGEST_MS, TimedFault};
use crate::run::SoakRun;
use crate::site::UpstreamRole;
use crate::violation::Violation;

/// Time after which an evacuated failure domain gets nothing from connected processes, as in the
/// settings of the processes.
const EVACUATION_BOUND: Duration = Duration::from_millis(3_000);
/// Age of what a process knows of the store from which on it does not count as connected.
const CONTACT_AGE: Duration = Duration::from_secs(4);
/// Time after a fault of a link in which what it held back still arrives: above its longest delay.
const LINK_SHADOW: Duration = Duration::from_secs(1);
/// How long an evacuation lasts, in milliseconds: on both sides of the bound.
const EVACUATED_MS: std::ops::Range<u64> = 1_000..8_000;
/// Time in which evacuations begin in the runs where all of them come after the other faults, in
/// milliseconds.
const LATE_MS: u64 = 4_000;
/// One in so many runs has its evacuations after all other faults, so that no fault excuses an arrival.
const LATE_RUNS: u32 = 3;
/// Distinguishes the random source of evacuations from those of other faults.
const EVACUATION_SOURCE: u64 = 0x4556_4143;

/// Which failure domains are evacuated.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DomainChoice {
    /// One of them, by its number among the sample's failure domains.
    One(usize),
    /// All of them.
    All,
}

impl DomainChoice {
    fn names(self) -> Vec<&'static str> {
        let zones = ZONES.iter().enumerate();
        let chosen = zones.filter(|(number, _)| match self {
            Self::One(one) => one == *number,
            Self::All => true,
        });
        chosen.map(|(_, (zone, _))| *zone).collect()
    }
}

/// Draws evacuations from a source of their own, so that the other faults of a seed stay what they were.
pub(crate) fn draw_evacuations(seed: u64, options: &SoakOptions) -> Vec<TimedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(24) ^ EVACUATION_SOURCE);
    let length = options.length.as_millis() as u64;
    let begins = match rng.random_ratio(1, LATE_RUNS) {
        true => length + LONGEST_MS..length + LONGEST_MS + LATE_MS,
        false => 0..length,
    };
    let evacuations = (0..options.evacuations).map(|_| TimedFault {
        at: Duration::from_millis(rng.random_range(begins.clone())),
        length: Duration::from_millis(rng.random_range(EVACUATED_MS)),
        kind: FaultKind::Evacuates(match rng.random_bool(0.75) {
            true => DomainChoice::One(rng.random_range(0..ZONES.len())),
            false => DomainChoice::All,
        }),
    });
    evacuations.collect()
}

/// The time in which a failure domain was evacuated.
#[derive(Clone, Copy, Debug)]
pub struct EvacuationPeriod {
    /// The failure domain.
    pub failure_domain: &'static str,
    /// When the store had acknowledged the key.
    pub from: Instant,
    /// When the operator began to remove the key; none before.
    pub until: Option<Instant>,
}

/// Requests by id.
pub(crate) type RecordIndex<'a> = BTreeMap<&'a str, &'a CallRecord>;

/// What reached one upstream, run or not.
#[derive(Clone, Debug)]
pub struct UpstreamArrivals {
    /// The upstream's id.
    pub upstream: String,
    /// Its role.
    pub role: UpstreamRole,
    /// The number of its place.
    pub place: usize,
    /// Its failure domain.
    pub failure_domain: String,
    /// The requests.
    pub requests: Vec<ArrivedRequest>,
}

impl SoakRun {
    /// Evacuates failure domains for a time, except those that are evacuated already.
    pub(crate) async fn evacuate(&self, choice: DomainChoice, length: Duration) {
        let mut begun = choice.names();
        begun.retain(|name| self.begin_evacuation(name));
        tokio::time::sleep(length).await;
        for name in begun {
            self.end_evacuation(name);
        }
    }

    fn begin_evacuation(&self, name: &'static str) -> bool {
        let mut periods = self.evacuations.lock();
        let is_open = |it: &EvacuationPeriod| it.failure_domain == name && it.until.is_none();
        if periods.iter().any(is_open) {
            return false;
        }
        self.site.store.evacuate(name);
        periods.push(EvacuationPeriod {
            failure_domain: name,
            from: Instant::now(),
            until: None,
        });
        true
    }

    /// Ends an evacuation. Upstreams that warm up at all return cold, as they got no requests.
    fn end_evacuation(&self, name: &str) {
        let mut periods = self.evacuations.lock();
        let mut open = periods.iter_mut().rev();
        if let Some(period) = open.find(|it| it.failure_domain == name) {
            period.until = Some(Instant::now());
        }
        for run in self.site.all_runs() {
            if run.upstream.failure_domain() == name && self.site.features.has_warm_up {
                run.upstream.turn_cold(COLD_TIME);
            }
        }
        self.site.store.end_evacuation(name);
    }
}

impl AuditBook {
    /// Evacuated failure domains get nothing from processes that must know of it.
    pub(crate) fn check_evacuations(
        &self,
        arrivals: &UpstreamArrivals,
        records: &RecordIndex<'_>,
    ) -> Option<Violation> {
        let late = arrivals.requests.iter().filter_map(|request| {
            let after = self.evacuated_for(&arrivals.failure_domain, request.at)?;
            let record = records.get(request.id.as_str())?;
            let is_excused = request.is_misdirected
                || self.is_out_of_contact(record.entry, request.at)
                || self.is_link_strained(arrivals, request.at);
            (after > EVACUATION_BOUND && !is_excused).then_some((record, after))
        });
        let late: Vec<_> = late.collect();
        let (record, after) = late.first()?;
        Some(Violation::WorkWhileEvacuated {
            id: record.id.clone(),
            entry: record.entry,
            upstream: arrivals.upstream.clone(),
            after: *after,
            requests: late.len(),
        })
    }

    /// Whether faults of the link to an upstream may have held back what arrived at this time.
    pub(crate) fn is_link_strained(&self, arrivals: &UpstreamArrivals, at: Instant) -> bool {
        let mut troubles = self.troubles.iter();
        troubles.any(|trouble| {
            let (role, place) = match trouble.kind {
                FaultKind::EngineLink(place, _) => (UpstreamRole::Engine, place),
                FaultKind::DeskLink(place, _) => (UpstreamRole::Desk, place),
                FaultKind::RestartsCutOff(role, place) => (role, place),
                _ => return false,
            };
            let is_here = role == arrivals.role && place == arrivals.place;
            is_here && trouble.from <= at && at <= trouble.until + LINK_SHADOW
        })
    }

    fn evacuated_for(&self, failure_domain: &str, at: Instant) -> Option<Duration> {
        let mut periods = self.evacuations.iter();
        let period = periods.find(|it| {
            let is_over = it.until.is_some_and(|until| until <= at);
            it.failure_domain == failure_domain && it.from <= at && !is_over
        })?;
        Some(at - period.from)
    }

    /// Whether a process may not have known the store's contents at this time: it was paused, killed or
    /// kept from the store, or the store was disturbed. A restore disturbs the store when it ends.
    fn is_out_of_contact(&self, entry: usize, at: Instant) -> bool {
        let since = at - CONTACT_AGE;
        let mut troubles = self.troubles.iter();
        let is_store_disturbed = troubles.any(|it| match it.kind {
            FaultKind::StoreLosesAnswers(_) => it.from <= at && it.until >= since,
            FaultKind::StoreRestored => it.until <= at && it.until >= since,
            _ => false,
        });
        is_store_disturbed || self.is_disturbed(entry, since, at)
    }
}

/// Requests with a home region reach no upstream elsewhere, whatever befell their process.
pub(crate) fn check_regions(
    arrivals: &UpstreamArrivals,
    records: &RecordIndex<'_>,
) -> Option<Violation> {
    if region_of(&arrivals.failure_domain) == Some(HOME_REGION) {
        return None;
    }
    let requests = arrivals.requests.iter();
    let records = requests.filter_map(|request| records.get(request.id.as_str()));
    let bound: Vec<_> = records
        .filter(|record| record.kind == RequestKind::Home)
        .collect();
    Some(Violation::OutsideHomeRegion {
        id: bound.first()?.id.clone(),
        upstream: arrivals.upstream.clone(),
        requests: bound.len(),
    })
}
