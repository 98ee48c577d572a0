//! One run: everything is started, faults come and go, and what was seen is checked.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_standin::fault::FaultSet;
use nix::sys::signal::Signal;
use parking_lot::Mutex;
use tokio::task::JoinSet;

use crate::audit::{AuditBook, Trouble, Violation};
use crate::caller::{CallEnd, CallRecord, CallerLoop, RequestKind, call_once};
use crate::groups::GroupWatch;
use crate::options::SoakOptions;
use crate::plan::{FaultKind, FaultPlan, LinkState, TimedFault};
use crate::process::EntryProcess;
use crate::proxy::LinkProxy;
use crate::site::{LASTING_KEY, SoakSite, UpstreamRole};

/// Time after the last fault in which all must serve again. Longer than the bound of 12 s in the
/// settings allows nothing.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time a test of one process waits before the next try.
const RETRY: Duration = Duration::from_millis(200);
/// Time in which what is still on its way arrives, after the callers have ended.
const SETTLE: Duration = Duration::from_millis(1_500);

/// What a run brought.
#[derive(Debug)]
pub struct SoakOutcome {
    /// Its seed.
    pub seed: u64,
    /// Requests.
    pub requests: usize,
    /// Requests with their whole answers.
    pub served: usize,
    /// Requests that were refused as not run.
    pub refused: usize,
    /// What was broken.
    pub violations: Vec<Violation>,
}

struct EntryProcesses {
    process: tokio::sync::Mutex<EntryProcess>,
    store_link: LinkProxy,
}

/// What the tasks of a run share.
struct SoakRun {
    site: Arc<SoakSite>,
    entries: Vec<EntryProcesses>,
    troubles: Mutex<Vec<Trouble>>,
    violations: Arc<Mutex<Vec<Violation>>>,
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
    let run = SoakRun::start(options).await?;
    let run = Arc::new(run);
    let mut background = JoinSet::new();
    let watch = GroupWatch::default();
    background.spawn(watch.run(Arc::clone(&run.site), Arc::clone(&run.violations)));
    run.check_back().await;
    let records = Arc::new(Mutex::new(Vec::new()));
    let callers = run.start_callers(seed, options, &records).await;
    run.play(plan).await?;
    run.check_back().await;
    run.check_config().await;
    drop(callers);
    tokio::time::sleep(SETTLE).await;
    let records = std::mem::take(&mut *records.lock());
    let outcome = run.judge(seed, records);
    let told: Vec<String> = outcome.violations.iter().map(ToString::to_string).collect();
    std::fs::write(options.folder.join("violations.txt"), told.join("\n"))?;
    for entry in &run.entries {
        entry.process.lock().await.kill().await;
    }
    Ok(outcome)
}

impl SoakRun {
    async fn start(options: &SoakOptions) -> anyhow::Result<Self> {
        let site = SoakSite::start(options).await?;
        let mut entries = Vec::new();
        for number in 0..options.entries {
            let store_link = LinkProxy::start().await?;
            store_link.lead_to(site.store_addr);
            let mut process = EntryProcess::prepare(number, options, store_link.addr)?;
            process.start()?;
            entries.push(EntryProcesses {
                process: tokio::sync::Mutex::new(process),
                store_link,
            });
        }
        Ok(Self {
            site,
            entries,
            troubles: Mutex::default(),
            violations: Arc::default(),
        })
    }

    /// Starts the callers; they end when the set is dropped.
    async fn start_callers(
        &self,
        seed: u64,
        options: &SoakOptions,
        records: &Arc<Mutex<Vec<CallRecord>>>,
    ) -> JoinSet<()> {
        let mut callers = JoinSet::new();
        for (index, entry) in self.entries.iter().enumerate() {
            let place = entry.process.lock().await.place;
            for number in 0..options.callers {
                let caller = CallerLoop {
                    number: index * options.callers + number,
                    entry: index,
                    place,
                    site: Arc::clone(&self.site),
                    records: Arc::clone(records),
                    seed,
                };
                callers.spawn(caller.run());
            }
        }
        callers
    }

    /// Plays the faults, and waits for the end of the last.
    async fn play(self: &Arc<Self>, plan: &FaultPlan) -> anyhow::Result<()> {
        let began = Instant::now();
        let mut faults = JoinSet::new();
        for fault in &plan.faults {
            tokio::time::sleep_until((began + fault.at).into()).await;
            faults.spawn(Arc::clone(self).befall(*fault));
        }
        while let Some(outcome) = faults.join_next().await {
            outcome??;
        }
        Ok(())
    }

    /// Lets one fault begin and end, and notes when it was in force.
    async fn befall(self: Arc<Self>, fault: TimedFault) -> anyhow::Result<()> {
        let from = Instant::now();
        let noted = self.note(fault.kind, from);
        self.apply(fault).await?;
        self.troubles.lock()[noted].until = Instant::now();
        Ok(())
    }

    fn note(&self, kind: FaultKind, from: Instant) -> usize {
        let mut troubles = self.troubles.lock();
        let until = from + RECOVERY * 10;
        troubles.push(Trouble { kind, from, until });
        troubles.len() - 1
    }

    async fn apply(&self, fault: TimedFault) -> anyhow::Result<()> {
        let length = fault.length;
        match fault.kind {
            FaultKind::KillEntry(index) => {
                let mut process = self.entries[index].process.lock().await;
                process.kill().await;
                tokio::time::sleep(length).await;
                process.start()?;
            }
            FaultKind::StopEntry(index) => self.stop_entry(index, length).await?,
            FaultKind::PauseEntry(index) => {
                // Held for the whole time: a process that stands still cannot stop in order.
                let process = self.entries[index].process.lock().await;
                process.signal(Signal::SIGSTOP);
                tokio::time::sleep(length).await;
                process.signal(Signal::SIGCONT);
            }
            FaultKind::ReloadEntry(index) => {
                let process = self.entries[index].process.lock().await;
                process.wait_signals().await;
                process.signal(Signal::SIGHUP);
            }
            FaultKind::StoreLink(index, state) => {
                let link = &self.entries[index].store_link;
                strain(link, state, length).await;
            }
            FaultKind::EngineLink(index, state) => {
                let link = self.site.engines.lock()[index].link.clone();
                strain(&link, state, length).await;
            }
            FaultKind::DeskLink(index, state) => {
                let link = self.site.desks.lock()[index].link.clone();
                strain(&link, state, length).await;
            }
            FaultKind::StoreForgets => self.site.store.compact(),
            FaultKind::ChangeKeys => self.site.change_keys(),
            FaultKind::EngineDies(index) => self.lose(UpstreamRole::Engine, index, length).await?,
            FaultKind::DeskDies(index) => self.lose(UpstreamRole::Desk, index, length).await?,
            FaultKind::EngineLeaves(index) => {
                self.leave(UpstreamRole::Engine, index, length).await?;
            }
            FaultKind::DeskLeaves(index) => self.leave(UpstreamRole::Desk, index, length).await?,
            _ => self.switch(fault).await,
        }
        Ok(())
    }

    /// Switches faults of the stand-ins on and off again.
    async fn switch(&self, fault: TimedFault) {
        let faults = match fault.kind {
            FaultKind::StoreOutage => FaultSet {
                outage: true,
                ..FaultSet::default()
            },
            FaultKind::StoreHang => FaultSet {
                hang: true,
                ..FaultSet::default()
            },
            FaultKind::StoreSlow(delay) | FaultKind::DeskSlow(_, delay) => FaultSet {
                delay_ms: delay.as_millis() as u64,
                ..FaultSet::default()
            },
            FaultKind::StoreLosesAnswers(count) | FaultKind::DeskLosesAnswers(_, count) => {
                FaultSet {
                    lose_answer: count,
                    ..FaultSet::default()
                }
            }
            FaultKind::DeskRefuses(_, count) => FaultSet {
                refuse_not_run: count,
                ..FaultSet::default()
            },
            FaultKind::EngineBreaksOff(_, count) => FaultSet {
                die_after_bytes: Some(count),
                ..FaultSet::default()
            },
            _ => FaultSet::default(),
        };
        let upstream = match fault.kind {
            FaultKind::DeskSlow(index, _)
            | FaultKind::DeskLosesAnswers(index, _)
            | FaultKind::DeskRefuses(index, _) => self.site.now(UpstreamRole::Desk, index),
            FaultKind::EngineBreaksOff(index, _) => self.site.now(UpstreamRole::Engine, index),
            _ => None,
        };
        // One that has fallen silent stays so.
        if upstream.as_ref().is_some_and(|upstream| upstream.is_dead()) {
            return;
        }
        let target = upstream.as_ref();
        let target = target.map_or(&self.site.store.faults, |upstream| &upstream.faults);
        target.set(faults);
        tokio::time::sleep(fault.length).await;
        if !upstream.as_ref().is_some_and(|upstream| upstream.is_dead()) {
            target.set(FaultSet::default());
        }
    }

    async fn stop_entry(&self, index: usize, length: Duration) -> anyhow::Result<()> {
        let mut process = self.entries[index].process.lock().await;
        process.signal(Signal::SIGTERM);
        if process.wait_stopped().await.is_none() {
            let violation = Violation::DidNotStop { entry: index };
            self.violations.lock().push(violation);
        }
        tokio::time::sleep(length).await;
        process.start()
    }

    async fn lose(&self, role: UpstreamRole, index: usize, length: Duration) -> anyhow::Result<()> {
        if !self.site.kill(role, index) {
            return Ok(());
        }
        tokio::time::sleep(length).await;
        self.site.replace(role, index).await
    }

    async fn leave(
        &self,
        role: UpstreamRole,
        index: usize,
        length: Duration,
    ) -> anyhow::Result<()> {
        if !self.site.drain(role, index) {
            return Ok(());
        }
        tokio::time::sleep(length).await;
        self.site.replace(role, index).await
    }

    /// Waits until every process serves every kind of request.
    async fn check_back(&self) {
        let end = Instant::now() + RECOVERY;
        let checks = self
            .entries
            .iter()
            .enumerate()
            .map(|(index, entry)| async move {
                let place = entry.process.lock().await.place;
                for kind in [RequestKind::Read, RequestKind::Bid, RequestKind::Stream(3)] {
                    let mut count = 0;
                    loop {
                        count += 1;
                        let id = format!("back-{index}-{count}-{}", self.site.keys.lock().version);
                        let call = call_once(place, &id, kind, LASTING_KEY).await;
                        if is_served(&call) {
                            break;
                        }
                        if Instant::now() > end {
                            let violation = Violation::NotBack {
                                entry: index,
                                kind,
                                end: call,
                            };
                            self.violations.lock().push(violation);
                            break;
                        }
                        tokio::time::sleep(RETRY).await;
                    }
                }
            });
        futures::future::join_all(checks).await;
    }

    /// Whether every process goes by the newest configuration.
    async fn check_config(&self) {
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

    fn judge(&self, seed: u64, records: Vec<CallRecord>) -> SoakOutcome {
        let book = AuditBook {
            records,
            seen: self.site.requests_seen(),
            troubles: self.troubles.lock().clone(),
            revoked: self.site.keys.lock().revoked.clone(),
        };
        let mut violations = book.check();
        violations.extend(self.violations.lock().iter().cloned());
        violations.dedup();
        let count = |holds: fn(&CallEnd) -> bool| {
            let records = book.records.iter();
            records.filter(|record| holds(&record.end)).count()
        };
        SoakOutcome {
            seed,
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

async fn strain(link: &LinkProxy, state: LinkState, length: Duration) {
    link.set(state);
    tokio::time::sleep(length).await;
    link.set(LinkState::Whole);
}

const fn is_served(end: &CallEnd) -> bool {
    matches!(
        end,
        CallEnd::Answered {
            status: 200,
            is_whole: true,
            ..
        }
    )
}
