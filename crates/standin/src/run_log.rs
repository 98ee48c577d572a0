//! Which executions an upstream began, for checks that nothing ran twice.

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::clock::wall_ms;

/// Where the list is read.
pub const RUNS_PATH: &str = "/standin/runs";

/// One execution.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct RunItem {
    /// The caller's request.
    pub request_id: String,
    /// The operation, if the caller named it.
    pub idempotency_key: String,
    /// When it began, in milliseconds since 1970.
    pub started: u64,
    /// When it ended; none while it runs or if it was cancelled.
    pub finished: Option<u64>,
}

/// Executions kept; the oldest make room.
const MAX_RUNS: usize = 200_000;

/// The list of one upstream.
#[derive(Debug, Default)]
pub struct RunLog {
    runs: Mutex<(u64, std::collections::VecDeque<RunItem>)>,
}

impl RunLog {
    /// Notes the begin of an execution, and returns its number.
    pub fn begin(&self, request_id: &str, idempotency_key: &str) -> u64 {
        let mut runs = self.runs.lock();
        if runs.1.len() >= MAX_RUNS {
            runs.1.pop_front();
            runs.0 += 1;
        }
        runs.1.push_back(RunItem {
            request_id: request_id.to_owned(),
            idempotency_key: idempotency_key.to_owned(),
            started: wall_ms(),
            finished: None,
        });
        runs.0 + runs.1.len() as u64 - 1
    }

    /// Notes the end of an execution.
    pub fn end(&self, number: u64) {
        let mut runs = self.runs.lock();
        let index = number.checked_sub(runs.0).map(|index| index as usize);
        if let Some(item) = index.and_then(|index| runs.1.get_mut(index)) {
            item.finished = Some(wall_ms());
        }
    }

    /// All executions kept.
    pub fn list(&self) -> Vec<RunItem> {
        self.runs.lock().1.iter().cloned().collect()
    }
}
