//! A plain service: `POST /confirm` must not be repeated, everything else may be.

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use parking_lot::Mutex;
use serde_json::json as value;

use crate::fault::FaultSwitch;
use crate::run_log::{RUNS_PATH, RunLog};
use crate::serve::{Abort, Answer, Question, StandinServer, json};

/// The stand-in.
pub struct ServiceStandin {
    /// The faults in force.
    pub faults: FaultSwitch,
    /// The executions begun.
    pub runs: RunLog,
    work: Duration,
    counter: Mutex<u64>,
}

impl ServiceStandin {
    /// A service whose calls take `work`.
    pub fn new(work: Duration) -> Arc<Self> {
        Arc::new(Self {
            faults: FaultSwitch::default(),
            runs: RunLog::default(),
            work,
            counter: Mutex::new(0),
        })
    }
}

impl StandinServer for ServiceStandin {
    async fn answer(&self, question: Question) -> Answer {
        if let Some(answer) = self.faults.answer(&question) {
            return answer;
        }
        if question.path == RUNS_PATH {
            return json(StatusCode::OK, &self.runs.list());
        }
        self.faults.before().await?;
        if question.path == "/healthz" {
            return json(StatusCode::OK, &value!({ "ok": true }));
        }
        if self.faults.take_refusal() {
            let mut refusal = json(StatusCode::SERVICE_UNAVAILABLE, &value!({}))?;
            let no = hyper::header::HeaderValue::from_static("no");
            refusal.headers_mut().insert("bergamot-ran", no);
            return Ok(refusal);
        }
        let request_id = question.header("x-request-id").to_owned();
        let run = self
            .runs
            .begin(&request_id, question.header("idempotency-key"));
        tokio::time::sleep(self.work * self.faults.slow_factor()).await;
        let number = {
            let mut counter = self.counter.lock();
            *counter += 1;
            *counter
        };
        self.runs.end(run);
        if self.faults.take_lost_answer() || self.faults.take_death().is_some() {
            return Err(Abort);
        }
        let body = String::from_utf8_lossy(&question.body);
        let answer = value!({
            "request_id": request_id,
            "path": question.path,
            "number": number,
            "echo": body,
        });
        json(StatusCode::OK, &answer)
    }
}
