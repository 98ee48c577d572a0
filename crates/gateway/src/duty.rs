//! Background loops of the process, and what follows when one ends.
//!
//! A loop is either restarted, if all its state outlives it, or required: its end begins a stop of
//! the process, so that the platform starts a new one. A process that went on without it would
//! serve from what it last knew.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::panics::catch_panic;
use crate::shared::SharedState;

/// Pause before a loop that ended is begun again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// A required loop that ended while the process was to go on.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
#[error("the background loop {duty} ended: {reason}")]
pub struct DutyEnd {
    /// Name of the loop.
    pub duty: &'static str,
    /// Why it ended.
    pub reason: String,
}

/// The first end of a required loop.
#[derive(Debug)]
pub struct DutyWatch {
    first_end: watch::Sender<Option<DutyEnd>>,
}

impl Default for DutyWatch {
    fn default() -> Self {
        Self {
            first_end: watch::channel(None).0,
        }
    }
}

impl DutyWatch {
    /// Records the end of a required loop.
    pub fn record(&self, end: DutyEnd) {
        log::error!("event=duty_ended duty={} reason={:?}", end.duty, end.reason);
        self.first_end.send_if_modified(|first| {
            let is_first = first.is_none();
            first.get_or_insert(end);
            is_first
        });
    }

    /// Runs a loop that the process cannot go on without. Records its end, unless it returns while
    /// the process stops.
    pub async fn watch<Running, IsStopping>(
        &self,
        duty: &'static str,
        running: Running,
        is_stopping: IsStopping,
    ) where
        Running: Future<Output = ()>,
        IsStopping: Fn() -> bool,
    {
        let reason = match catch_panic(running).await {
            Err(panic) => panic.to_string(),
            Ok(()) if is_stopping() => return,
            Ok(()) => "it returned".to_owned(),
        };
        self.record(DutyEnd { duty, reason });
    }

    /// Returns the first end, if there was one.
    pub fn first_end(&self) -> Option<DutyEnd> {
        self.first_end.borrow().clone()
    }

    /// Waits for the end of a required loop.
    pub async fn wait_end(&self) {
        let mut ends = self.first_end.subscribe();
        // Never fails, as the sender lives as long as `self`.
        let _ = ends.wait_for(Option::is_some).await;
    }
}

/// Runs a loop that the process cannot go on without. If it ends, the process stops.
pub async fn run_required<Running>(shared: Arc<SharedState>, duty: &'static str, running: Running)
where
    Running: Future<Output = ()>,
{
    let is_stopping = || shared.is_stopping();
    shared.duties.watch(duty, running, is_stopping).await;
}

/// Runs a loop whose state outlives it. If it ends before the process stops, it is begun again.
pub async fn run_restarted<Begin, Running>(
    shared: Arc<SharedState>,
    duty: &'static str,
    mut begin: Begin,
) where
    Begin: FnMut() -> Running,
    Running: Future<Output = ()>,
{
    loop {
        let outcome = catch_panic(begin()).await;
        if shared.is_stopping() && outcome.is_ok() {
            return;
        }
        let reason = outcome.err().map(|panic| panic.to_string());
        let reason = reason.as_deref().unwrap_or("it returned");
        log::error!("event=duty_restarted duty={duty} reason={reason:?}");
        let restarts = &shared.metrics.duty_restarts;
        restarts.with_label_values(&[duty]).inc();
        tokio::time::sleep(RESTART_PAUSE).await;
    }
}

#[cfg(test)]
mod tests;
