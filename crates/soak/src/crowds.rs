//! Most new connections go to few of the processes, each of which has a small share of a core.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use crate::audit::AuditBook;
use crate::caller::{CallEnd, CallRecord, DEADLINE, RequestKind, call_once};
use crate::cpu_share::CpuQuota;
use crate::cuts::{ProcessSet, TryCount};
use crate::options::SoakOptions;
use crate::plan::{FaultKind, TimedFault};
use crate::run::{SoakRun, is_served};
use crate::site::{LASTING_KEY, UpstreamRole};
use crate::violation::Violation;

/// Time in which connections are spread evenly before a crowd begins, to compare with.
const CALM_TIME: Duration = Duration::from_secs(3);
/// Time from the beginning of a crowd from which on callers must be served as before, as the users set it.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// One connection of a crowd in so many goes to any process.
const SPREAD_SHARE: u32 = 10;
/// Tries of a caller whose request is not read.
const MAX_TRIES: usize = 4;
/// Events of the callers' streams: a tenth of a second.
const STREAM_EVENTS: u64 = 20;
/// Two in so many requests are streams.
const KIND_DRAWS: u32 = 5;
/// Length of drawn crowds, in milliseconds: past the time after which callers must be served.
const CROWD_MS: std::ops::Range<u64> = 5_000..9_000;
/// Shares of a core of drawn crowds, in permille: from one in which little is left once a process is idle.
const PERMILLES: std::ops::Range<u32> = 20..120;
/// Connections a second of drawn crowds.
const RATES: std::ops::Range<u32> = 100..300;
/// Tells the source of crowds from those of other faults.
const CROWD_SOURCE: u64 = 0x4352_4f57;

/// Most new connections go to these processes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CrowdFault {
    /// The processes, each in turn.
    pub crowded: ProcessSet,
    /// Share of a core that each process of the run has meanwhile, in permille.
    pub permille: u32,
    /// Connections a second over all processes; half of it in the calm time before.
    pub rate: u32,
}

/// Draws crowds from a source of their own, so that the other faults of a seed stay what they were.
pub(crate) fn draw_crowds(seed: u64, options: &SoakOptions) -> Vec<TimedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(24) ^ CROWD_SOURCE);
    let crowds = (0..options.crowds).map(|_| {
        let numbers = (0..rng.random_range(1..=2)).map(|_| rng.random_range(0..options.entries));
        let crowded = numbers.fold(0, |set, number| set | 1 << number);
        TimedFault {
            at: Duration::from_millis(rng.random_range(0..options.length.as_millis() as u64)),
            length: CALM_TIME + Duration::from_millis(rng.random_range(CROWD_MS)),
            kind: FaultKind::Crowd(CrowdFault {
                crowded: ProcessSet(crowded),
                permille: rng.random_range(PERMILLES),
                rate: rng.random_range(RATES),
            }),
        }
    });
    crowds.collect()
}

/// A request of a crowd: all its tries, of which the last is the first that was read, if any was.
#[derive(Clone, Debug)]
pub struct CrowdCall {
    /// When the first try was made.
    pub sent_at: Instant,
    /// When connections began to crowd.
    pub crowd_from: Instant,
    /// The tries' ids.
    pub ids: Vec<String>,
    /// How the last try ended.
    pub end: CallEnd,
}

/// How the callers of a crowd were served at the first try that was read.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CrowdReport {
    /// Before most connections went to few processes.
    pub before: TryCount,
    /// From then on until they must be served as before.
    pub early: TryCount,
    /// Later.
    pub late: TryCount,
    /// Tries that were refused or closed unread.
    pub unread: usize,
}

impl CrowdReport {
    /// Whether callers are served less than three quarters as often as before, the users' bound.
    pub const fn is_broken(&self) -> bool {
        let Self { before, late, .. } = self;
        late.served * before.tries * 4 < before.served * late.tries * 3
    }
}

/// What the callers of a crowd share.
#[derive(Clone)]
struct CrowdScene {
    run: Arc<SoakRun>,
    fault: CrowdFault,
    crowd_from: Instant,
    calls: Arc<Mutex<Vec<CrowdCall>>>,
}

impl SoakRun {
    /// Lets most connections go to few processes for a time, after a calm one.
    pub(crate) async fn crowd(self: &Arc<Self>, fault: CrowdFault, length: Duration) {
        let mut quotas = Vec::new();
        for entry in &self.entries {
            let id = entry.process.lock().await.id();
            quotas.extend(id.map(|id| CpuQuota::limit(id, fault.permille)));
        }
        let scene = CrowdScene {
            run: Arc::clone(self),
            fault,
            crowd_from: Instant::now() + CALM_TIME,
            calls: Arc::clone(&self.crowd_calls),
        };
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ CROWD_SOURCE);
        let mut callers = JoinSet::new();
        let (began, mut number) = (Instant::now(), 0);
        while began.elapsed() < length {
            let rate = match Instant::now() < scene.crowd_from {
                true => fault.rate / 2,
                false => fault.rate,
            };
            tokio::time::sleep(Duration::from_secs(1) / rate.max(1)).await;
            callers.spawn(scene.clone().call(number, rng.random()));
            number += 1;
        }
        callers.join_all().await;
        drop(quotas);
    }
}

impl CrowdScene {
    /// Makes tries until one is read.
    async fn call(self, number: usize, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let kind = match rng.random_range(0..KIND_DRAWS) {
            0 | 1 => RequestKind::Single(UpstreamRole::Desk, STREAM_EVENTS),
            2 => RequestKind::Bid,
            _ => RequestKind::Read,
        };
        let sent_at = Instant::now();
        let mut call = CrowdCall {
            sent_at,
            crowd_from: self.crowd_from,
            ids: Vec::new(),
            end: CallEnd::NotSent,
        };
        for attempt in 0..MAX_TRIES {
            let entry = self.draw_entry(&mut rng, attempt);
            let id = format!("crowd{seed:x}-{number}-{attempt}");
            let tried_at = Instant::now();
            let place = self.run.entries[entry].place;
            call.end = call_once(place, &id, kind, LASTING_KEY).await;
            self.run.records.lock().push(CallRecord {
                id: id.clone(),
                kind,
                entry,
                key: LASTING_KEY.to_owned(),
                sent_at: tried_at,
                answer_time: DEADLINE,
                ended_at: Instant::now(),
                end: call.end.clone(),
            });
            call.ids.push(id);
            if !is_unread(&call.end) {
                break;
            }
        }
        self.calls.lock().push(call);
    }

    /// The process that the balancer chooses. Retries meet any.
    fn draw_entry(&self, rng: &mut ChaCha8Rng, attempt: usize) -> usize {
        let count = self.run.entries.len();
        let is_spread =
            attempt > 0 || Instant::now() < self.crowd_from || rng.random_ratio(1, SPREAD_SHARE);
        let crowded: Vec<usize> = (0..count)
            .filter(|number| self.fault.crowded.has(*number))
            .collect();
        match is_spread || crowded.is_empty() {
            true => rng.random_range(0..count),
            false => crowded[rng.random_range(0..crowded.len())],
        }
    }
}

/// Whether a try ended without a byte.
const fn is_unread(end: &CallEnd) -> bool {
    matches!(end, CallEnd::NotSent | CallEnd::Cut { had_head: false })
}

impl AuditBook {
    /// How the callers of all crowds were served.
    pub(crate) fn crowd_report(&self) -> CrowdReport {
        let counted = |is_counted: &dyn Fn(&CrowdCall) -> bool| {
            let calls = self.crowd_calls.iter().filter(|call| is_counted(call));
            calls.fold(TryCount::default(), |count, call| TryCount {
                served: count.served + usize::from(self.is_call_served(call)),
                tries: count.tries + 1,
            })
        };
        let must_be_served = |call: &CrowdCall| call.sent_at >= call.crowd_from + CONTACT_TIME;
        let unread = self.crowd_calls.iter().map(|call| call.ids.len() - 1);
        CrowdReport {
            before: counted(&|call| call.sent_at < call.crowd_from),
            early: counted(&|call| call.sent_at >= call.crowd_from && !must_be_served(call)),
            late: counted(&must_be_served),
            unread: unread.sum(),
        }
    }

    /// Whether the first try that was read was served. A try that reached an upstream was read.
    fn is_call_served(&self, call: &CrowdCall) -> bool {
        let Some((_, earlier)) = call.ids.split_last() else {
            return false;
        };
        let is_lost = earlier.iter().any(|id| self.seen.contains_key(id));
        is_served(&call.end) && !is_lost
    }

    /// Callers are served as before while most connections go to few processes and nothing else happens.
    pub(crate) fn check_crowds(&self) -> Option<Violation> {
        let mut troubles = self.troubles.iter();
        let is_alone = troubles.all(|trouble| matches!(trouble.kind, FaultKind::Crowd(_)));
        let report = self.crowd_report();
        (is_alone && report.is_broken()).then_some(Violation::WorseInCrowd(report))
    }
}
