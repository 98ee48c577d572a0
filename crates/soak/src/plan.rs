//! The faults of a run, drawn from its seed.

use std::time::Duration;

use bergamot_adapter::sample::FOREIGN_ENTRIES;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::additions::{GrantSize, draw_additions};
use crate::cold::draw_cold;
use crate::crowds::{CrowdFault, draw_crowds};
use crate::cuts::{ProcessSet, draw_cuts};
use crate::domains::{DomainChoice, draw_evacuations};
use crate::options::SoakOptions;
use crate::said::SaidFault;
use crate::silences::{SilenceStart, UpstreamSet, draw_silences};
use crate::site::UpstreamRole;

/// What befalls the bytes of a link.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LinkState {
    /// They pass.
    Whole,
    /// They pass this much later.
    Delayed(Duration),
    /// Connections are reset, old and new.
    Reset,
    /// Nothing passes towards the listener; what it sends does.
    CutForward,
    /// Nothing passes towards the connecting side.
    CutBackward,
    /// Nothing passes.
    Silent,
    /// Connections that are open live on, and new ones are reset.
    RefusesNew,
}

impl LinkState {
    /// By how much bytes are delayed.
    pub(crate) const fn delay(self) -> Duration {
        match self {
            Self::Delayed(delay) => delay,
            _ => Duration::ZERO,
        }
    }
}

/// What goes wrong, or is done on purpose. Numbers name a process, an engine or a desk.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FaultKind {
    /// A process is killed and started again at the end.
    KillEntry(usize),
    /// A process is told to stop, and started again once it has ended and the time is over.
    StopEntry(usize),
    /// A process stands still.
    PauseEntry(usize),
    /// A process is told to read its settings again.
    ReloadEntry(usize),
    /// A process's link to the store.
    StoreLink(usize, LinkState),
    /// The links of some processes to all upstreams.
    UpstreamsCut(ProcessSet, LinkState),
    /// All processes' links to an engine.
    EngineLink(usize, LinkState),
    /// All processes' links to an instance of the plain service.
    DeskLink(usize, LinkState),
    /// The store fails every call.
    StoreOutage,
    /// The store takes calls and does not answer.
    StoreHang,
    /// The store answers this much later.
    StoreSlow(Duration),
    /// The store does so many calls and loses the answers.
    StoreLosesAnswers(u64),
    /// The store forgets its history.
    StoreForgets,
    /// At the end the store is restored from a copy that is made at the start.
    StoreRestored,
    /// An engine falls silent; another run of it comes back at the end.
    EngineDies(usize),
    /// An engine leaves; another run of it comes back at the end.
    EngineLeaves(usize),
    /// An instance of the plain service falls silent; another comes back at the end.
    DeskDies(usize),
    /// An instance of the plain service leaves; another comes back at the end.
    DeskLeaves(usize),
    /// A desk runs so many requests and loses the answers.
    DeskLosesAnswers(usize, u64),
    /// A desk refuses so many requests as not run.
    DeskRefuses(usize, u64),
    /// A desk answers this much later.
    DeskSlow(usize, Duration),
    /// An engine breaks its next stream off after so many events.
    EngineBreaksOff(usize, u64),
    /// An upstream starts again under its id.
    Restarts(UpstreamRole, usize),
    /// The same while nothing passes between it and the others, nor between it and the store.
    RestartsCutOff(UpstreamRole, usize),
    /// Another writer overwrites an upstream's entry with one of [`FOREIGN_ENTRIES`].
    ForeignEntry(UpstreamRole, usize, usize),
    /// A request that ends each upstream that runs it is sent again and again to all processes; the number tells such
    /// requests of a run apart.
    HarmfulRequest(UpstreamRole, usize),
    /// An upstream says something of itself in its answers.
    Says(UpstreamRole, usize, SaidFault),
    /// Failure domains are evacuated; their upstreams return at the end, cold if they warm up.
    Evacuates(DomainChoice),
    /// An upstream becomes cold while it serves.
    TurnsCold(UpstreamRole, usize),
    /// The operator takes a key away and gives out another.
    ChangeKeys,
    /// The operator adds a key and a route.
    AddsGrant(GrantSize),
    /// The links of some processes to the store.
    StoreLinks(ProcessSet, LinkState),
    /// Most new connections go to few processes.
    Crowd(CrowdFault),
    /// Sound upstreams send nothing, and go on where they were at the end.
    Silence(UpstreamSet, SilenceStart),
}

impl FaultKind {
    /// The role of the upstreams that it befalls; none where it is not about upstreams.
    pub(crate) const fn role(self) -> Option<UpstreamRole> {
        match self {
            Self::EngineLink(..)
            | Self::EngineDies(_)
            | Self::EngineLeaves(_)
            | Self::EngineBreaksOff(..) => Some(UpstreamRole::Engine),
            Self::DeskLink(..)
            | Self::DeskDies(_)
            | Self::DeskLeaves(_)
            | Self::DeskLosesAnswers(..)
            | Self::DeskRefuses(..)
            | Self::DeskSlow(..) => Some(UpstreamRole::Desk),
            Self::Restarts(role, _)
            | Self::RestartsCutOff(role, _)
            | Self::ForeignEntry(role, ..)
            | Self::HarmfulRequest(role, _)
            | Self::Says(role, ..)
            | Self::TurnsCold(role, _) => Some(role),
            _ => None,
        }
    }
}

/// A fault with its time.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct TimedFault {
    /// When it begins, from the start of the run.
    pub at: Duration,
    /// How long it lasts.
    pub length: Duration,
    /// What it is.
    pub kind: FaultKind,
}

/// All faults of a run, in the order in which they begin.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct FaultPlan {
    /// The faults.
    pub faults: Vec<TimedFault>,
}

/// The shortest fault, in milliseconds: below the time of one call to the store.
const SHORTEST_MS: u64 = 100;
/// The longest: past the store's leases, the time after which a group breaks, and the time for which a
/// key may be trusted without a confirmation.
pub(crate) const LONGEST_MS: u64 = 9_000;

/// How long a harmful request comes again, in milliseconds: well past the time after which all processes must know it.
const HARMFUL_MS: std::ops::Range<u64> = 6_000..14_000;

/// Time from the end of a process that was stopped besides to its next start, in milliseconds: short, so that one
/// process can be stopped again and again.
const STOPPED_MS: std::ops::Range<u64> = 100..1_000;
/// Time in which the late ones of them come, in milliseconds: short against the grace, so that they overlap.
pub(crate) const LATE_STOPS_MS: u64 = 3_000;
/// How long an upstream says something of itself, in milliseconds: past the time after which all processes must go by it, and
/// the span over which requests are counted.
const SAID_MS: std::ops::Range<u64> = 5_000..12_000;
/// Tells the source of what upstreams say from those of other faults.
const SAID_SOURCE: u64 = 0x5341_4944;
/// Age of the copies that the store is restored from, in milliseconds: from less than a lease to some seconds, so
/// that restores overlap, also one to a copy older than an earlier one's.
const COPY_AGE_MS: std::ops::Range<u64> = 300..6_000;
/// Tells the source of restores from those of other faults.
const RESTORE_SOURCE: u64 = 0x5245_5354;
/// Tells the source of planned stops from those of other faults.
const STOP_SOURCE: u64 = 0x5354_4f50;

impl FaultPlan {
    /// Draws a plan. Faults overlap, and may befall the same thing twice.
    pub fn draw(seed: u64, options: &SoakOptions) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut faults: Vec<TimedFault> = (0..options.faults)
            .map(|_| TimedFault {
                at: Duration::from_millis(rng.random_range(0..options.length.as_millis() as u64)),
                length: Duration::from_millis(rng.random_range(SHORTEST_MS..LONGEST_MS)),
                kind: draw_kind(&mut rng, options),
            })
            .collect();
        faults.extend(draw_harmful(seed, options));
        faults.extend(draw_stops(seed, options));
        faults.extend(draw_said(seed, options));
        faults.extend(draw_restores(seed, options));
        faults.extend(draw_evacuations(seed, options));
        faults.extend(draw_cold(seed, options));
        faults.extend(draw_cuts(seed, options));
        faults.extend(draw_crowds(seed, options));
        faults.extend(draw_silences(seed, options));
        faults.extend(draw_additions(seed, options));
        faults.sort_by_key(|fault| fault.at);
        Self { faults }
    }

    /// Whether it adds keys and routes.
    pub fn has_additions(&self) -> bool {
        let mut faults = self.faults.iter();
        faults.any(|fault| matches!(fault.kind, FaultKind::AddsGrant(_)))
    }

    /// Whether it cuts processes off from all upstreams.
    pub fn has_cuts(&self) -> bool {
        let mut faults = self.faults.iter();
        faults.any(|fault| matches!(fault.kind, FaultKind::UpstreamsCut(..)))
    }
}

/// Planned stops have a source of their own too. Every other one comes once all other faults are over, as what a stop cuts
/// is told apart from what a fault cuts only where no fault befalls the process.
pub(crate) fn draw_stops(seed: u64, options: &SoakOptions) -> Vec<TimedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(32) ^ STOP_SOURCE);
    let length = options.length.as_millis() as u64;
    let late = length + LONGEST_MS..length + LONGEST_MS + LATE_STOPS_MS;
    let stops = (0..options.stops).map(|number| TimedFault {
        at: Duration::from_millis(match number.is_multiple_of(2) {
            true => rng.random_range(0..length),
            false => rng.random_range(late.clone()),
        }),
        length: Duration::from_millis(rng.random_range(STOPPED_MS)),
        kind: FaultKind::StopEntry(rng.random_range(0..options.entries)),
    });
    stops.collect()
}

/// What upstreams say has a source of its own as well.
fn draw_said(seed: u64, options: &SoakOptions) -> Vec<TimedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(16) ^ SAID_SOURCE);
    let faults = (0..options.said).map(|_| {
        let said = match rng.random_range(0..4) {
            0 | 1 => SaidFault::Limit(rng.random_range(0..8_000)),
            2 => SaidFault::Rest(rng.random_range(200..4_000)),
            _ => SaidFault::Leaving,
        };
        let kind = match rng.random_bool(0.5) {
            true => FaultKind::Says(
                UpstreamRole::Engine,
                rng.random_range(0..options.engines),
                said,
            ),
            false => FaultKind::Says(UpstreamRole::Desk, rng.random_range(0..options.desks), said),
        };
        TimedFault {
            at: Duration::from_millis(rng.random_range(0..options.length.as_millis() as u64)),
            length: Duration::from_millis(rng.random_range(SAID_MS)),
            kind,
        }
    });
    faults.collect()
}

/// Restores have a source of their own as well.
fn draw_restores(seed: u64, options: &SoakOptions) -> Vec<TimedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(48) ^ RESTORE_SOURCE);
    let length = options.length.as_millis() as u64;
    let faults = (0..options.restores).map(|_| TimedFault {
        at: Duration::from_millis(rng.random_range(0..length)),
        length: Duration::from_millis(rng.random_range(COPY_AGE_MS)),
        kind: FaultKind::StoreRestored,
    });
    faults.collect()
}

/// Harmful requests have a source of their own, so that the other faults of a seed stay what they were.
fn draw_harmful(seed: u64, options: &SoakOptions) -> Vec<TimedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(!seed);
    let faults = (0..options.harmful).map(|number| TimedFault {
        at: Duration::from_millis(rng.random_range(0..options.length.as_millis() as u64)),
        length: Duration::from_millis(rng.random_range(HARMFUL_MS)),
        kind: match rng.random_bool(0.7) {
            true => FaultKind::HarmfulRequest(UpstreamRole::Engine, number),
            false => FaultKind::HarmfulRequest(UpstreamRole::Desk, number),
        },
    });
    faults.collect()
}

fn draw_link<Source>(rng: &mut Source) -> LinkState
where
    Source: Rng,
{
    let delay = Duration::from_millis(rng.random_range(5..400));
    let states = [
        LinkState::Delayed(delay),
        LinkState::Reset,
        LinkState::CutForward,
        LinkState::CutBackward,
        LinkState::Silent,
    ];
    *states.choose(rng).unwrap_or(&LinkState::Silent)
}

fn draw_kind<Source>(rng: &mut Source, options: &SoakOptions) -> FaultKind
where
    Source: Rng,
{
    let entry = rng.random_range(0..options.entries);
    let engine = rng.random_range(0..options.engines);
    let desk = rng.random_range(0..options.desks);
    let count = rng.random_range(1..6);
    let delay = Duration::from_millis(rng.random_range(20..1_500));
    let link = draw_link(rng);
    let upstream = match rng.random_bool(0.7) {
        true => (UpstreamRole::Engine, engine),
        false => (UpstreamRole::Desk, desk),
    };
    let foreign = rng.random_range(0..FOREIGN_ENTRIES.len());
    match rng.random_range(0..26) {
        0 => FaultKind::KillEntry(entry),
        1 | 2 => FaultKind::StopEntry(entry),
        3 => FaultKind::PauseEntry(entry),
        4 => FaultKind::ReloadEntry(entry),
        5 | 6 => FaultKind::StoreLink(entry, link),
        7 => FaultKind::EngineLink(engine, link),
        8 => FaultKind::DeskLink(desk, link),
        9 => FaultKind::StoreOutage,
        10 => FaultKind::StoreHang,
        11 => FaultKind::StoreSlow(delay),
        12 => FaultKind::StoreLosesAnswers(count),
        13 => FaultKind::StoreForgets,
        14 => FaultKind::EngineDies(engine),
        15 => FaultKind::EngineLeaves(engine),
        16 => match rng.random_bool(0.5) {
            true => FaultKind::DeskDies(desk),
            false => FaultKind::DeskLeaves(desk),
        },
        17 => FaultKind::DeskLosesAnswers(desk, count),
        18 => match rng.random_bool(0.5) {
            true => FaultKind::DeskRefuses(desk, count),
            false => FaultKind::DeskSlow(desk, delay),
        },
        19 => FaultKind::EngineBreaksOff(engine, count),
        20 | 21 => FaultKind::Restarts(upstream.0, upstream.1),
        22 => FaultKind::RestartsCutOff(upstream.0, upstream.1),
        23 => FaultKind::ForeignEntry(upstream.0, upstream.1, foreign),
        _ => FaultKind::ChangeKeys,
    }
}
