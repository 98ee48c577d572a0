//! Detects that this entry VM reaches no upstream at all, as after a network partition.
//!
//! A failed connection says little by itself: the upstream, its failure domain or this VM may be the
//! cause. Failures in two failure domains make the VM suspect its own links, and it probes others at once
//! on new connections. Only if none of these answers, and nothing arrived on another new connection
//! meanwhile, is the VM partitioned. Older connections may live on, so data received on them is no
//! evidence against a partition.

use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::upstream::RouteUpstream;

/// Number of upstreams at which failures make this VM suspect its own links. A single upstream may
/// have ended.
const MIN_SUSPECTS: usize = 2;
/// Number of failure domains in which they are, if as many have upstreams. One may be down.
const MIN_SUSPECT_DOMAINS: usize = 2;
/// How long a failure counts: several times the time in which a connection fails.
const FAILURE_VALIDITY: Millis = Millis(1_000);
/// Shortest time between two suspicions, so that upstreams that end one after another cost few
/// probes.
const SUSPICION_PERIOD: Millis = Millis(500);
/// Number of rounds of probes that must fail while data arrives on older connections. Several
/// upstreams may have ended at once.
const LIVE_ROUNDS: u32 = 3;
/// Number of upstreams to which connections are opened in a round of probes.
pub const PROBED_UPSTREAMS: usize = 3;

/// An upstream at which something failed.
#[derive(Clone, Copy, Debug)]
pub struct SuspectUpstream<'a> {
    /// Its incarnation.
    pub incarnation: &'a UpstreamIncarnation,
    /// Its failure domain.
    pub failure_domain: &'a FailureDomain,
}

impl<'a> From<&'a RouteUpstream> for SuspectUpstream<'a> {
    fn from(upstream: &'a RouteUpstream) -> Self {
        Self {
            incarnation: &upstream.incarnation,
            failure_domain: &upstream.failure_domain,
        }
    }
}

/// An observation about connections to upstreams.
#[derive(Clone, Copy, Debug)]
pub enum PartitionEvent<'a> {
    /// A connection could not be established, or broke before the end of an answer. Established
    /// connections are no evidence: something between may accept them.
    Failed(SuspectUpstream<'a>),
    /// Data arrived from an upstream on a connection that was opened at this time.
    Received {
        /// When the connection was opened.
        opened_at: Millis,
    },
    /// Requests at an upstream got no data for longer than they usually wait.
    Silent(SuspectUpstream<'a>),
    /// A round of probes is over. An answer to one of them was recorded as [`Self::Received`].
    ProbesEnded {
        /// How many upstreams were probed; 0 if none is listed.
        probed: usize,
        /// How many of them accepted the connection and did not answer in time.
        unanswered: usize,
    },
}

/// What follows from an event.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PartitionAction {
    /// Probe upstreams on new connections, repeatedly while the VM is partitioned.
    Probe,
    /// The VM reaches no upstream.
    LogLost(PartitionFacts),
    /// The VM reaches upstreams again.
    LogRegained {
        /// Time since the first failure.
        duration: Millis,
    },
}

/// What a partition was concluded from.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PartitionFacts {
    /// Number of upstreams at which connections failed or requests were silent.
    pub suspects: usize,
    /// Number of upstreams that did not answer a probe.
    pub probed: usize,
    /// Time from the first failure to the conclusion.
    pub detected_after: Millis,
    /// Time since data last arrived from any upstream.
    pub silent_for: Millis,
}

/// The VM reaches upstreams, as far as known.
#[derive(Clone, Debug, Default)]
struct Reaching {
    /// Upstreams whose connections failed or whose requests were silent.
    failures: IndexMap<UpstreamIncarnation, Failure>,
    /// When the last suspicion began.
    last_suspected_at: Option<Millis>,
}

#[derive(Clone, Debug)]
struct Failure {
    failure_domain: FailureDomain,
    first_at: Millis,
    last_at: Millis,
    /// Whether only the absence of data shows it.
    is_silence: bool,
}

/// The VM suspects its own links, and waits for the outcome of probes.
#[derive(Clone, Debug)]
struct Suspecting {
    since: Millis,
    began_at: Millis,
    suspects: usize,
    /// Failure domains in which they are.
    domains: IndexSet<FailureDomain>,
    /// Number of rounds of probes without an answer.
    rounds: u32,
}

/// The VM reaches no upstream.
#[derive(Clone, Copy, Debug)]
struct Partitioned {
    since: Millis,
}

impl Reaching {
    fn record_failure(&mut self, upstream: SuspectUpstream<'_>, is_silence: bool, now: Millis) {
        self.failures
            .retain(|_, failure| now.since(failure.last_at) < FAILURE_VALIDITY);
        let failure = self.failures.entry(upstream.incarnation.clone());
        let failure = failure.or_insert_with(|| Failure {
            failure_domain: upstream.failure_domain.clone(),
            first_at: now,
            last_at: now,
            is_silence,
        });
        failure.last_at = now;
        failure.is_silence &= is_silence;
    }

    /// Forgets the failures that data on a connection opened at this time disproves.
    fn record_received(&mut self, opened_at: Millis) {
        self.failures
            .retain(|_, failure| !failure.is_silence && failure.first_at > opened_at);
    }

    /// Returns the suspicion that the failures justify, if any.
    fn suspect(&self, listed_domains: usize, now: Millis) -> Option<Suspecting> {
        let is_recent = |at: Millis| now.since(at) < SUSPICION_PERIOD;
        let domains = self
            .failures
            .values()
            .map(|failure| &failure.failure_domain);
        let domains: IndexSet<_> = domains.collect();
        let min_domains = MIN_SUSPECT_DOMAINS.min(listed_domains);
        if self.failures.len() < MIN_SUSPECTS || domains.len() < min_domains {
            return None;
        }
        if self.last_suspected_at.is_some_and(is_recent) {
            return None;
        }
        let first_failures = self.failures.values().map(|failure| failure.first_at);
        Some(Suspecting {
            since: first_failures.min()?,
            began_at: now,
            suspects: self.failures.len(),
            domains: domains.into_iter().cloned().collect(),
            rounds: 0,
        })
    }
}

impl Suspecting {
    /// Ends the suspicion, as an upstream answered.
    fn refuted(self) -> Reaching {
        Reaching {
            failures: IndexMap::new(),
            last_suspected_at: Some(self.began_at),
        }
    }

    fn confirmed(self) -> Partitioned {
        Partitioned { since: self.since }
    }
}

#[derive(Clone, Debug)]
enum Phase {
    Reaching(Reaching),
    Suspecting(Suspecting),
    Partitioned(Partitioned),
}

/// Whether this VM reaches upstreams.
#[derive(Clone, Debug)]
pub struct PartitionState {
    phase: Phase,
    last_received_at: Millis,
    /// Number of failure domains with upstreams.
    listed_domains: usize,
}

impl Default for PartitionState {
    fn default() -> Self {
        Self {
            phase: Phase::Reaching(Reaching::default()),
            last_received_at: Millis::ZERO,
            listed_domains: 0,
        }
    }
}

impl PartitionState {
    /// Whether this VM reaches no upstream.
    pub const fn is_partitioned(&self) -> bool {
        matches!(self.phase, Phase::Partitioned(_))
    }

    /// Whether this VM reaches no upstream, or suspects so. What it observes says nothing about the
    /// upstreams then.
    pub const fn is_in_doubt(&self) -> bool {
        !matches!(self.phase, Phase::Reaching(_))
    }

    /// Whether the suspicion that this VM reaches no upstream is due to failures in this domain.
    pub fn is_suspect_domain(&self, domain: &FailureDomain) -> bool {
        match &self.phase {
            Phase::Suspecting(suspecting) => suspecting.domains.contains(domain),
            Phase::Reaching(_) | Phase::Partitioned(_) => false,
        }
    }

    /// Whether nothing arrived from any upstream since the partition began, so that connections
    /// from before are dead too.
    pub fn is_silent(&self) -> bool {
        match &self.phase {
            Phase::Partitioned(partitioned) => self.last_received_at < partitioned.since,
            _ => false,
        }
    }

    /// Sets the number of failure domains with upstreams.
    pub fn set_domains(&mut self, listed_domains: usize) {
        self.listed_domains = listed_domains;
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Millis, event: PartitionEvent<'_>) -> Option<PartitionAction> {
        match event {
            PartitionEvent::Received { opened_at } => self.record_received(opened_at, now),
            PartitionEvent::Failed(upstream) => self.record_failure(upstream, false, now),
            PartitionEvent::Silent(upstream) => self.record_failure(upstream, true, now),
            PartitionEvent::ProbesEnded { probed, unanswered } => {
                self.conclude(probed, unanswered, now)
            }
        }
    }

    fn record_received(&mut self, opened_at: Millis, now: Millis) -> Option<PartitionAction> {
        self.last_received_at = now;
        match &mut self.phase {
            Phase::Reaching(reaching) => {
                reaching.record_received(opened_at);
                None
            }
            Phase::Suspecting(suspecting) if opened_at >= suspecting.since => {
                self.phase = Phase::Reaching(suspecting.clone().refuted());
                None
            }
            Phase::Partitioned(partitioned) if opened_at >= partitioned.since => {
                let duration = now.since(partitioned.since);
                self.phase = Phase::Reaching(Reaching::default());
                Some(PartitionAction::LogRegained { duration })
            }
            Phase::Suspecting(_) | Phase::Partitioned(_) => None,
        }
    }

    fn record_failure(
        &mut self,
        upstream: SuspectUpstream<'_>,
        is_silence: bool,
        now: Millis,
    ) -> Option<PartitionAction> {
        let Phase::Reaching(reaching) = &mut self.phase else {
            return None;
        };
        reaching.record_failure(upstream, is_silence, now);
        let suspecting = reaching.suspect(self.listed_domains, now)?;
        self.phase = Phase::Suspecting(suspecting);
        Some(PartitionAction::Probe)
    }

    /// Concludes from a round of probes that nothing has answered since the suspicion.
    fn conclude(
        &mut self,
        probed: usize,
        unanswered: usize,
        now: Millis,
    ) -> Option<PartitionAction> {
        let Phase::Suspecting(suspecting) = &mut self.phase else {
            return None;
        };
        suspecting.rounds += 1;
        // Without a listed upstream there is nothing that a peer could reach either. Upstreams that
        // accept connections and send data on others are merely slow.
        let is_live = self.last_received_at >= suspecting.began_at;
        let is_slow = unanswered > 0 && is_live;
        if probed == 0 || is_slow {
            self.phase = Phase::Reaching(suspecting.clone().refuted());
            return None;
        }
        if is_live && suspecting.rounds < LIVE_ROUNDS {
            return None;
        }
        let facts = PartitionFacts {
            suspects: suspecting.suspects,
            probed,
            detected_after: now.since(suspecting.since),
            silent_for: now.since(self.last_received_at),
        };
        self.phase = Phase::Partitioned(suspecting.clone().confirmed());
        Some(PartitionAction::LogLost(facts))
    }
}

/// Draws the upstreams to probe, from as many failure domains as possible, those with the lowest rank
/// first.
pub fn draw_probes<'a, Upstream, Upstreams, RankOf>(
    upstreams: Upstreams,
    rank_of: RankOf,
    seed: u64,
) -> Vec<Upstream>
where
    Upstreams: Iterator<Item = (&'a FailureDomain, Upstream)>,
    RankOf: Fn(&FailureDomain) -> u8,
{
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut domains: IndexMap<&FailureDomain, Vec<Upstream>> = IndexMap::new();
    for (domain, upstream) in upstreams {
        domains.entry(domain).or_default().push(upstream);
    }
    let mut ranked: Vec<_> = domains.into_iter().collect();
    ranked.shuffle(&mut rng);
    ranked.sort_by_key(|(domain, _)| rank_of(domain));
    let mut pools: Vec<_> = ranked.into_iter().map(|(_, pool)| pool).collect();
    let mut drawn = Vec::with_capacity(PROBED_UPSTREAMS);
    while drawn.len() < PROBED_UPSTREAMS && !pools.is_empty() {
        for pool in &mut pools {
            let index = rng.random_range(0..pool.len());
            drawn.push(pool.swap_remove(index));
        }
        pools.retain(|pool| !pool.is_empty());
    }
    drawn.truncate(PROBED_UPSTREAMS);
    drawn
}
