//! Faults as they begin and end.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bergamot_adapter::sample::FOREIGN_ENTRIES;
use bergamot_standin::fault::FaultSet;
use nix::sys::signal::Signal;
use tokio::sync::MutexGuard;
use tokio::task::JoinSet;

use crate::around_stop::{LEAD_TIME, StopScene};
use crate::audit::Trouble;
use crate::cuts::ProcessSet;
use crate::plan::{FaultKind, FaultPlan, LinkState, TimedFault};
use crate::process::{EntryProcess, StopState};
use crate::proxy::LinkProxy;
use crate::run::SoakRun;
use crate::silences::SilenceStart;
use crate::site::UpstreamRole;
use crate::violation::Violation;

/// Time in which connections to an upstream that starts again are reset.
const RESTART_TIME: Duration = Duration::from_millis(50);
/// Time after which the entry of an upstream that does not reach the store is removed: three of the
/// platform's heartbeats.
const ENTRY_LAPSE: Duration = Duration::from_millis(3_600);

/// Time between two looks whether a process has stopped: short against the pauses of its callers.
const STOP_LOOK: Duration = Duration::from_millis(10);

/// Until when a fault counts that has not ended: longer than any run.
const ENDLESS: Duration = Duration::from_secs(600);

impl SoakRun {
    /// Plays the faults, and waits for the end of the last.
    pub(crate) async fn play(self: &Arc<Self>, plan: &FaultPlan) -> anyhow::Result<()> {
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
        match fault.kind {
            FaultKind::Crowd(crowd) => self.crowd(crowd, fault.length).await,
            _ => self.apply(fault, noted).await?,
        }
        self.troubles.lock()[noted].until = Instant::now();
        Ok(())
    }

    fn note(&self, kind: FaultKind, from: Instant) -> usize {
        let mut troubles = self.troubles.lock();
        let until = from + ENDLESS;
        troubles.push(Trouble { kind, from, until });
        troubles.len() - 1
    }

    /// Notes that a fault which waited for its turn begins now: it is no excuse for what was before.
    fn note_begun(&self, noted: usize, from: Instant) {
        self.troubles.lock()[noted].from = from;
    }

    async fn apply(&self, fault: TimedFault, noted: usize) -> anyhow::Result<()> {
        let length = fault.length;
        match fault.kind {
            FaultKind::KillEntry(index) => {
                let mut process = self.entries[index].process.lock().await;
                self.note_begun(noted, Instant::now());
                process.kill().await;
                tokio::time::sleep(length).await;
                process.start()?;
            }
            FaultKind::StopEntry(index) => self.stop_entry(index, fault, noted).await?,
            FaultKind::PauseEntry(index) => {
                // Held for the whole time: nobody ends it while it stands still.
                let mut process = self.entries[index].process.lock().await;
                let since = Instant::now();
                self.note_begun(noted, since);
                process.signal(Signal::SIGSTOP);
                tokio::time::sleep(length).await;
                process.signal(Signal::SIGCONT);
                process.note_paused(since);
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
            FaultKind::StoreLinks(turned_away, state) => {
                let entries = self.entries.iter().enumerate();
                let entries = entries.filter(|(number, _)| turned_away.has(*number));
                let strained = entries.map(|(_, entry)| strain(&entry.store_link, state, length));
                futures::future::join_all(strained).await;
            }
            FaultKind::AddsGrant(size) => self.site.add_grant(size),
            FaultKind::UpstreamsCut(cut_off, state) => {
                self.cut_upstreams(cut_off, state);
                tokio::time::sleep(length).await;
                self.cut_upstreams(cut_off, LinkState::Whole);
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
            FaultKind::StoreRestored => {
                let copy = self.site.store.copy();
                tokio::time::sleep(length).await;
                self.site.store.restore_and_write_again(&copy);
            }
            FaultKind::ChangeKeys => self.site.change_keys(),
            FaultKind::EngineDies(index) => self.lose(UpstreamRole::Engine, index, length).await?,
            FaultKind::DeskDies(index) => self.lose(UpstreamRole::Desk, index, length).await?,
            FaultKind::EngineLeaves(index) => {
                self.leave(UpstreamRole::Engine, index, length).await?;
            }
            FaultKind::DeskLeaves(index) => self.leave(UpstreamRole::Desk, index, length).await?,
            FaultKind::Restarts(role, index) => self.restart(role, index, None).await,
            FaultKind::RestartsCutOff(role, index) => {
                self.restart(role, index, Some(length)).await;
            }
            FaultKind::HarmfulRequest(role, number) => {
                self.send_harmful(fault, role, number).await;
            }
            FaultKind::Silence(set, start) => {
                if let SilenceStart::AfterStart(index) = start
                    && !self.wait_started(index).await
                {
                    return Ok(());
                }
                self.note_begun(noted, Instant::now());
                self.silence(set, length).await;
            }
            FaultKind::Evacuates(choice) => self.evacuate(choice, length).await,
            FaultKind::TurnsCold(role, index) => self.turn_cold(role, index, length),
            FaultKind::Says(role, index, said) => self.say(role, index, said, length).await,
            FaultKind::ForeignEntry(role, index, entry) => {
                let Some(upstream) = self.site.staying(role, index) else {
                    return Ok(());
                };
                upstream.block_store_writes(true);
                self.site.write_entry(&upstream, FOREIGN_ENTRIES[entry]);
                tokio::time::sleep(length).await;
                upstream.block_store_writes(false);
            }
            _ => self.switch(fault).await,
        }
        Ok(())
    }

    fn cut_upstreams(&self, cut_off: ProcessSet, state: LinkState) {
        for number in 0..self.entries.len() {
            if cut_off.has(number) {
                self.site.links.set(number, state);
            }
        }
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

    /// Stops a process among callers that come around its end. Others may pause, kill or signal it meanwhile.
    async fn stop_entry(
        &self,
        index: usize,
        fault: TimedFault,
        noted: usize,
    ) -> anyhow::Result<()> {
        let slot = &self.entries[index];
        let mut process = slot.process.lock().await;
        let scene = StopScene {
            name: format!("s{noted}"),
            entry: index,
            place: slot.place,
            seed: self.seed ^ (index as u64) << 48 ^ (fault.at.as_millis() as u64) << 16,
            is_gone: Arc::default(),
            records: Arc::clone(&self.records),
        };
        scene.start_callers(&mut self.around.lock());
        tokio::time::sleep(LEAD_TIME).await;
        let notice = process.tell_stop();
        self.note_begun(noted, notice.at);
        drop(process);
        let mut process = self.wait_stopped(index, notice.run).await;
        scene.is_gone.store(true, Ordering::Relaxed);
        if process.is_started() {
            return Ok(());
        }
        tokio::time::sleep(fault.length).await;
        process.start()
    }

    /// Waits for the end of a run that was told to stop, and holds the process from then on.
    async fn wait_stopped(&self, index: usize, run: usize) -> MutexGuard<'_, EntryProcess> {
        loop {
            tokio::time::sleep(STOP_LOOK).await;
            let mut process = self.entries[index].process.lock().await;
            match process.stop_state(run) {
                StopState::Running => {}
                StopState::Ended => return process,
                StopState::Overdue => {
                    let violation = Violation::DidNotStop { entry: index };
                    self.violations.lock().push(violation);
                    process.kill().await;
                    return process;
                }
            }
        }
    }

    async fn lose(&self, role: UpstreamRole, index: usize, length: Duration) -> anyhow::Result<()> {
        if !self.site.kill(role, index) {
            return Ok(());
        }
        tokio::time::sleep(length).await;
        self.site.replace(role, index).await
    }

    /// Starts an upstream again under its id, cut off for a time or not. Its connections end.
    pub(crate) async fn restart(
        &self,
        role: UpstreamRole,
        index: usize,
        cut_for: Option<Duration>,
    ) {
        let Some(upstream) = self.site.staying(role, index) else {
            return;
        };
        let link = self.site.places(role).lock()[index].link.clone();
        upstream.block_store_writes(cut_for.is_some());
        upstream.restart();
        match cut_for {
            None => strain(&link, LinkState::Reset, RESTART_TIME).await,
            Some(length) => {
                let lapse = tokio::time::sleep(ENTRY_LAPSE.min(length));
                let strained = strain(&link, LinkState::Silent, length);
                let lapsed = async {
                    lapse.await;
                    self.site.remove_entry(&upstream);
                };
                tokio::join!(strained, lapsed);
                upstream.block_store_writes(false);
            }
        }
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
}

async fn strain(link: &LinkProxy, state: LinkState, length: Duration) {
    link.set(state);
    tokio::time::sleep(length).await;
    link.set(LinkState::Whole);
}
