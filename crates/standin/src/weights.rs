//! The weight store: loads share one rate.

use std::sync::Arc;
use std::time::Duration;

use bergamot_platform::WeightStoreState;
use hyper::StatusCode;
use parking_lot::Mutex;

use crate::fault::FaultSwitch;
use crate::serve::{Answer, Question, StandinServer, empty, json};

/// Size and rate.
#[derive(Clone, Copy, Debug)]
pub struct WeightOptions {
    /// Bytes that one VM loads for any model.
    pub bytes_per_load: f64,
    /// Bytes per second over all loads.
    pub bytes_per_second: f64,
}

impl Default for WeightOptions {
    fn default() -> Self {
        Self {
            bytes_per_load: 1e9,
            bytes_per_second: 2e10,
        }
    }
}

/// The stand-in.
pub struct WeightStandin {
    /// The faults in force.
    pub faults: FaultSwitch,
    options: WeightOptions,
    active: Mutex<u32>,
}

/// How often a load looks at how many others there are.
const STEP: Duration = Duration::from_millis(10);

impl WeightStandin {
    /// An idle store.
    pub fn new(options: WeightOptions) -> Arc<Self> {
        Arc::new(Self {
            faults: FaultSwitch::default(),
            options,
            active: Mutex::new(0),
        })
    }

    /// Loads one VM's part of a model, as fast as the shared rate allows.
    pub async fn load(&self) {
        *self.active.lock() += 1;
        let mut left = self.options.bytes_per_load;
        while left > 0.0 {
            tokio::time::sleep(STEP).await;
            let faults = self.faults.get();
            if faults.hang || faults.outage || faults.dead {
                continue;
            }
            let sharers = f64::from((*self.active.lock()).max(1));
            let slow = f64::from(self.faults.slow_factor());
            left -= self.options.bytes_per_second * STEP.as_secs_f64() / sharers / slow;
        }
        *self.active.lock() -= 1;
    }
}

impl StandinServer for WeightStandin {
    async fn answer(&self, question: Question) -> Answer {
        if let Some(answer) = self.faults.answer(&question) {
            return answer;
        }
        self.faults.before().await?;
        match question.path.as_str() {
            "/state" => {
                let state = WeightStoreState {
                    bytes_per_second: self.options.bytes_per_second,
                    active_loads: *self.active.lock(),
                };
                json(StatusCode::OK, &state)
            }
            "/load" => {
                self.load().await;
                empty(StatusCode::OK)
            }
            _ => empty(StatusCode::NOT_FOUND),
        }
    }
}
