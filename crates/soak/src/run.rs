//! One run: everything is started, faults come and go, and what was seen is checked.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::task::JoinSet;

use crate::additions::GrantCheck;
use crate::audit::{AuditBook, Trouble};
use crate::caller::{CallEnd, CallRecord, CallerHabit, CallerLoop, RequestKind, call_once};
use crate::crowds::{CrowdCall, CrowdReport};
use crate::cuts::CutReport;
use crate::domains::EvacuationPeriod;
use crate::groups::GroupWatch;
use crate::options::SoakOptions;
use crate::plan::{FaultKind, FaultPlan};
use crate::process::{EntryPlace, EntryProcess};
use crate::proxy::LinkProxy;
use crate::silences::{SilenceBook, SilenceReport};
use crate::site::{LASTING_KEY, SoakSite};
use crate::violation::Violation;

/// Time after the last fault in which all must serve again: the bound that the users' deployments set.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time a test of one process waits before the next try.
const RETRY: Duration = Duration::from_millis(200);
/// Time in which what is still on its way arrives, after the callers have ended.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Callers of each process, in runs with silences, whose streams may not be resumed.
const SINGLE_CALLERS: usize = 2;

/// What a run brought.
#[derive(Debug)]
pub struct SoakOutcome {
    /// Its seed.
    pub seed: u64,
    /// Planned stops.
    pub stops: usize,
    /// Requests.
    pub requests: usize,
    /// Requests with their whole answers.
    pub served: usize,
    /// Requests that were refused as not run.
    pub refused: usize,
    /// Evacuations, counted for each failure domain.
    pub evacuations: usize,
    /// Requests that reached cold upstreams.
    pub cold_requests: usize,
    /// The most of them that one upstream got within a second.
    pub cold_peak: usize,
    /// How callers were served while processes were cut off from all upstreams.
    pub cuts: Vec<CutReport>,
    /// How callers were served while most connections went to few processes.
    pub crowds: CrowdReport,
    /// How new requests were answered while all upstreams that could serve them were silent.
    pub silence: SilenceReport,
    /// What was broken.
    pub violations: Vec<Violation>,
}

/// A process with its link to the store. Whoever stops, pauses or starts it holds the lock meanwhile.
pub(crate) struct EntrySlot {
    pub(crate) process: tokio::sync::Mutex<EntryProcess>,
    pub(crate) store_link: LinkProxy,
    pub(crate) place: EntryPlace,
}

/// What the tasks of a run share.
pub(crate) struct SoakRun {
    pub(crate) site: Arc<SoakSite>,
    pub(crate) entries: Vec<EntrySlot>,
    pub(crate) troubles: Mutex<Vec<Trouble>>,
    pub(crate) violations: Arc<Mutex<Vec<Violation>>>,
    /// All requests that were sent.
    pub(crate) records: Arc<Mutex<Vec<CallRecord>>>,
    /// Callers around planned stops.
    pub(crate) around: Mutex<JoinSet<()>>,
    /// When failure domains were evacuated.
    pub(crate) evacuations: Mutex<Vec<EvacuationPeriod>>,
    /// Requests of crowds.
    pub(crate) crowd_calls: Arc<Mutex<Vec<CrowdCall>>>,
    /// Silences of sound upstreams.
    pub(crate) silences: Mutex<SilenceBook>,
    /// What callers draw from.
    pub(crate) seed: u64,
}

/// Plays one seed.
///
/// # Errors
/// When something cannot be started.
pub async fn run_seed(seed: u64, options: &SoakOptions) -> anyhow::Result<SoakOutcome> {
    run_plan(&FaultPlan::draw(seed, options), seed, options).await
}

/// Plays these faults; the seed says what callers do.
///
/// # Errors
/// When something cannot be started.
pub async fn run_plan(
    plan: &FaultPlan,
    seed: u64,
    options: &SoakOptions,
) -> anyhow::Result<SoakOutcome> {
    std::fs::create_dir_all(&options.folder)?;
    std::fs::write(options.folder.join("plan.txt"), format!("{plan:#?}"))?;
    let run = SoakRun::start(seed, options).await?;
    if plan.has_cuts() {
        run.site.links.watch();
    }
    let run = Arc::new(run);
    let mut background = JoinSet::new();
    let watch = GroupWatch::default();
    background.spawn(watch.run(Arc::clone(&run.site), Arc::clone(&run.violations)));
    run.check_back("start").await;
    let callers = run.start_callers(options).await;
    let checks = run.start_grant_checks(plan);
    run.play(plan).await?;
    run.check_back("end").await;
    run.check_config().await;
    drop((callers, checks));
    let around = std::mem::take(&mut *run.around.lock());
    around.join_all().await;
    tokio::time::sleep(SETTLE).await;
    let outcome = run.judge();
    let told: Vec<String> = outcome.violations.iter().map(ToString::to_string).collect();
    std::fs::write(options.folder.join("violations.txt"), told.join("\n"))?;
    for entry in &run.entries {
        entry.process.lock().await.kill().await;
    }
    Ok(outcome)
}

impl SoakRun {
    async fn start(seed: u64, options: &SoakOptions) -> anyhow::Result<Self> {
        let site = SoakSite::start(options).await?;
        let mut entries = Vec::new();
        for number in 0..options.entries {
            let store_link = LinkProxy::start().await?;
            store_link.lead_to(site.store_addr);
            let links = Arc::clone(&site.links);
            let mut process = EntryProcess::prepare(number, options, store_link.addr, links)?;
            process.start()?;
            let place = process.place;
            entries.push(EntrySlot {
                process: tokio::sync::Mutex::new(process),
                store_link,
                place,
            });
        }
        Ok(Self {
            site,
            entries,
            troubles: Mutex::default(),
            violations: Arc::default(),
            records: Arc::default(),
            around: Mutex::default(),
            evacuations: Mutex::default(),
            crowd_calls: Arc::default(),
            silences: Mutex::default(),
            seed,
        })
    }

    /// Starts the callers; they end when the set is dropped.
    async fn start_callers(&self, options: &SoakOptions) -> JoinSet<()> {
        let mut callers = JoinSet::new();
        for (index, entry) in self.entries.iter().enumerate() {
            let place = entry.process.lock().await.place;
            let homed = options.callers + options.home_callers;
            let single = match options.silences {
                0 => 0,
                _ => SINGLE_CALLERS,
            };
            for number in 0..homed + single {
                let caller = CallerLoop {
                    // The usual callers keep their numbers whatever others there are.
                    number: match number < options.callers {
                        true => index * options.callers + number,
                        false => (number + 1) * self.entries.len() + index,
                    },
                    habit: match number {
                        _ if number < options.callers => CallerHabit::Usual,
                        _ if number < homed => CallerHabit::Home,
                        _ => CallerHabit::Single,
                    },
                    entry: index,
                    place,
                    site: Arc::clone(&self.site),
                    records: Arc::clone(&self.records),
                    seed: self.seed,
                };
                callers.spawn(caller.run());
            }
        }
        callers
    }

    /// Starts the checks of added keys and routes; they end when the set is dropped.
    fn start_grant_checks(self: &Arc<Self>, plan: &FaultPlan) -> JoinSet<()> {
        let entries = (0..self.entries.len()).filter(|_| plan.has_additions());
        let checks = entries.map(|entry| GrantCheck {
            run: Arc::clone(self),
            entry,
        });
        checks.map(GrantCheck::run).collect()
    }

    /// Waits until every process serves every kind of request; `stage` tells the checks of a run apart.
    async fn check_back(&self, stage: &str) {
        let end = Instant::now() + RECOVERY;
        let checks = self.entries.iter().enumerate().map(|(index, entry)| {
            let kinds = [RequestKind::Read, RequestKind::Bid, RequestKind::Stream(3)];
            async move {
                let place = entry.process.lock().await.place;
                for (number, kind) in kinds.into_iter().enumerate() {
                    let name = format!("{stage}-{index}-{number}");
                    let Err(end) = wait_served(place, &name, kind, end).await else {
                        continue;
                    };
                    let violation = Violation::NotBack {
                        entry: index,
                        kind,
                        end,
                    };
                    self.violations.lock().push(violation);
                }
            }
        });
        futures::future::join_all(checks).await;
    }

    /// Waits until no upstream is cold, as one that is may get no request of a check.
    async fn wait_warm(&self) {
        let end = Instant::now() + RECOVERY;
        let is_cold = || {
            let runs = self.site.all_runs();
            runs.iter().any(|run| !run.upstream.cold_left().is_zero())
        };
        while is_cold() && Instant::now() < end {
            tokio::time::sleep(RETRY).await;
        }
    }

    /// Whether every process goes by the newest configuration.
    async fn check_config(&self) {
        self.wait_warm().await;
        self.site.change_keys();
        tokio::time::sleep(SETTLE).await;
        let key = self.site.keys.lock().current.clone();
        for (index, entry) in self.entries.iter().enumerate() {
            let place = entry.process.lock().await.place;
            let id = format!("config-{index}");
            if !is_served(&call_once(place, &id, RequestKind::Read, &key).await) {
                let violation = Violation::OldConfig { entry: index };
                self.violations.lock().push(violation);
            }
        }
    }

    fn judge(&self) -> SoakOutcome {
        let keys = self.site.keys.lock().clone();
        let book = AuditBook {
            records: std::mem::take(&mut *self.records.lock()),
            seen: self.site.requests_seen(),
            troubles: self.troubles.lock().clone(),
            revoked: keys.revoked,
            granted: keys.added,
            arrived: self.site.requests_arrived(),
            evacuations: self.evacuations.lock().clone(),
            crowd_calls: std::mem::take(&mut *self.crowd_calls.lock()),
            all_silent: self.silences.lock().all_silent.clone(),
        };
        let mut violations = book.check();
        violations.extend(self.violations.lock().iter().cloned());
        violations.dedup();
        let count = |holds: fn(&CallEnd) -> bool| {
            let records = book.records.iter();
            records.filter(|record| holds(&record.end)).count()
        };
        let stops = book.troubles.iter();
        let stops = stops.filter(|trouble| matches!(trouble.kind, FaultKind::StopEntry(_)));
        let (cold_requests, cold_peak) = book.cold_counts();
        SoakOutcome {
            seed: self.seed,
            cuts: book.cut_reports(),
            crowds: book.crowd_report(),
            silence: book.silence_report(),
            evacuations: book.evacuations.len(),
            cold_requests,
            cold_peak,
            stops: stops.count(),
            requests: book.records.len(),
            served: count(is_served),
            refused: count(|end| {
                matches!(
                    end,
                    CallEnd::Answered {
                        status: 429 | 503,
                        ..
                    }
                )
            }),
            violations,
        }
    }
}

/// Calls until a request is served, or past `until`. How the last try ended is the error.
async fn wait_served(
    place: EntryPlace,
    name: &str,
    kind: RequestKind,
    until: Instant,
) -> Result<(), CallEnd> {
    let mut count = 0;
    loop {
        count += 1;
        let id = format!("{name}-{count}");
        let end = call_once(place, &id, kind, LASTING_KEY).await;
        if is_served(&end) {
            return Ok(());
        }
        if Instant::now() > until {
            return Err(end);
        }
        tokio::time::sleep(RETRY).await;
    }
}

pub(crate) const fn is_served(end: &CallEnd) -> bool {
    matches!(
        end,
        CallEnd::Answered {
            status: 200,
            is_whole: true,
            ..
        }
    )
}
