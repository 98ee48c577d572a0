//! Compares what callers were told with what the upstreams began.

use std::collections::HashMap;
use std::time::Duration;

use bergamot_local::ReadyFile;
use bergamot_platform::HttpClient;
use bergamot_standin::RunItem;
use serde::Serialize;

use super::caller::CallOutcome;

/// Time to read one upstream's list.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// What the comparison found. All but the first two must be empty.
#[derive(Clone, Debug, Default, Serialize)]
pub struct AuditResult {
    /// Executions of confirmations.
    pub confirmations_run: usize,
    /// Executions of chats.
    pub chats_run: usize,
    /// Answers that were not whole or not the caller's own.
    pub defects: Vec<String>,
    /// Keys that ran more than once.
    pub ran_twice: Vec<String>,
    /// Requests refused as not run that ran.
    pub ran_though_refused: Vec<String>,
    /// Requests answered with success that never ran.
    pub answered_unrun: Vec<String>,
    /// Upstreams whose list could not be read.
    pub unread: Vec<String>,
}

impl AuditResult {
    /// Whether nothing was found.
    pub fn is_clean(&self) -> bool {
        let lists = [
            &self.defects,
            &self.ran_twice,
            &self.ran_though_refused,
            &self.answered_unrun,
            &self.unread,
        ];
        lists.into_iter().all(Vec::is_empty)
    }
}

/// Reads every upstream's list and compares.
pub async fn audit(ready: &ReadyFile, outcomes: &[CallOutcome]) -> AuditResult {
    let caller = HttpClient::new(LIST_TIMEOUT);
    let mut result = AuditResult::default();
    let mut by_key: HashMap<String, usize> = HashMap::new();
    let mut by_request: HashMap<String, usize> = HashMap::new();
    for upstream in &ready.upstreams {
        let url = format!("http://{}/standin/runs", upstream.addr);
        let Ok(runs) = caller.get_json::<Vec<RunItem>>(&url, LIST_TIMEOUT).await else {
            result.unread.push(upstream.name.clone());
            continue;
        };
        for run in runs {
            if upstream.kind == "service" {
                result.confirmations_run += 1;
                *by_key.entry(run.idempotency_key).or_default() += 1;
            } else {
                result.chats_run += 1;
            }
            *by_request.entry(run.request_id).or_default() += 1;
        }
    }
    compare(outcomes, &by_key, &by_request, &mut result);
    result
}

fn compare(
    outcomes: &[CallOutcome],
    by_key: &HashMap<String, usize>,
    by_request: &HashMap<String, usize>,
    result: &mut AuditResult,
) {
    for outcome in outcomes {
        if let Some(defect) = &outcome.defect {
            result.defects.push(format!("{}: {defect}", outcome.id));
        }
        let runs = by_request.get(&outcome.id).copied().unwrap_or(0);
        if outcome.ran == "no" && runs > 0 {
            let line = format!("{}: {} but ran {runs} times", outcome.id, outcome.code);
            result.ran_though_refused.push(line);
        }
        let Some(key) = &outcome.key else {
            continue;
        };
        let runs = by_key.get(key).copied().unwrap_or(0);
        if runs > 1 && !result.ran_twice.contains(key) {
            result.ran_twice.push(key.clone());
        }
        if outcome.status == 200 && runs == 0 {
            result.answered_unrun.push(outcome.id.clone());
        }
    }
}
