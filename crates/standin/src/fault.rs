//! Faults that are switched on over HTTP.

use std::time::Duration;

use hyper::{Method, StatusCode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::serve::{Abort, Answer, Question, empty, json};

/// Where faults are set and read.
pub const FAULT_PATH: &str = "/standin/faults";

/// The faults in force. `{}` clears them all.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultSet {
    /// Questions are taken and never answered.
    pub hang: bool,
    /// Every connection is broken off: the process counts as dead.
    pub dead: bool,
    /// Every call fails at once.
    pub outage: bool,
    /// The next answer breaks off after so many bytes of its body.
    pub die_after_bytes: Option<u64>,
    /// Answers have neither a length nor chunks and end with their connections. One that breaks off
    /// ends without a reset.
    pub unframed: bool,
    /// So many of the next questions take effect, but their answers are lost.
    pub lose_answer: u64,
    /// So many of the next answers lack their signature.
    pub omit_signature: u64,
    /// So many of the next questions are refused as not run.
    pub refuse_not_run: u64,
    /// Every answer is late by so many milliseconds.
    pub delay_ms: u64,
    /// Everything takes this many times as long; zero counts as one.
    pub slow_factor: u64,
    /// An upstream becomes cold for so many milliseconds, once.
    pub cold_ms: u64,
    /// Orders are obeyed whatever their fencing number.
    pub ignore_fencing: bool,
}

/// The switch of one stand-in.
#[derive(Debug, Default)]
pub struct FaultSwitch {
    faults: Mutex<FaultSet>,
}

impl FaultSwitch {
    /// The faults in force.
    pub fn get(&self) -> FaultSet {
        self.faults.lock().clone()
    }

    /// Puts faults in force.
    pub fn set(&self, faults: FaultSet) {
        *self.faults.lock() = faults;
    }

    /// Answers a question about faults; none if it is about something else.
    pub fn answer(&self, question: &Question) -> Option<Answer> {
        if question.path != FAULT_PATH {
            return None;
        }
        if question.method == Method::GET {
            return Some(json(StatusCode::OK, &self.get()));
        }
        Some(match serde_json::from_slice(&question.body) {
            Ok(faults) => {
                self.set(faults);
                empty(StatusCode::OK)
            }
            Err(error) => json(
                StatusCode::BAD_REQUEST,
                &serde_json::json!({ "error": error.to_string() }),
            ),
        })
    }

    /// Applies what befalls a question before it takes effect.
    ///
    /// # Errors
    /// When the connection is to be broken off.
    pub async fn before(&self) -> Result<(), Abort> {
        let faults = self.get();
        if faults.dead {
            return Err(Abort);
        }
        while self.get().hang {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        Ok(())
    }

    /// Whether this question's answer is to be lost.
    pub fn take_lost_answer(&self) -> bool {
        take_one(&mut self.faults.lock().lose_answer)
    }

    /// Whether this question's answer is to lack its signature.
    pub fn take_omitted_signature(&self) -> bool {
        take_one(&mut self.faults.lock().omit_signature)
    }

    /// Whether this question is to be refused as not run.
    pub fn take_refusal(&self) -> bool {
        take_one(&mut self.faults.lock().refuse_not_run)
    }

    /// The number of bytes after which this answer is to break off.
    pub fn take_death(&self) -> Option<u64> {
        self.faults.lock().die_after_bytes.take()
    }

    /// The time for which the upstream is to become cold now, if any.
    pub fn take_cold_time(&self) -> Option<Duration> {
        let cold_ms = std::mem::take(&mut self.faults.lock().cold_ms);
        (cold_ms > 0).then_some(Duration::from_millis(cold_ms))
    }

    /// How many times as long everything takes.
    pub fn slow_factor(&self) -> u32 {
        self.faults.lock().slow_factor.max(1) as u32
    }
}

fn take_one(count: &mut u64) -> bool {
    let has_one = *count > 0;
    *count = count.saturating_sub(1);
    has_one
}
