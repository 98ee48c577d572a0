//! The rate-limited store that engines load weights from. Only its rate matters to us.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::http::{Error, HttpCaller};

/// What the store says of itself.
#[derive(Clone, Copy, PartialEq, Debug, Serialize, Deserialize)]
pub struct WeightStoreState {
    /// Bytes per second over all loads.
    pub bytes_per_second: f64,
    /// Loads going on.
    pub active_loads: u32,
}

/// A client of the store.
#[derive(Clone)]
pub struct WeightStoreClient {
    url: String,
    caller: HttpCaller,
    timeout: Duration,
}

impl WeightStoreClient {
    /// A client of the store at `base`.
    pub fn new(base: &str, timeout: Duration) -> Self {
        Self {
            url: format!("{}/state", base.trim_end_matches('/')),
            caller: HttpCaller::new(timeout),
            timeout,
        }
    }

    /// Reads the store's rate and load.
    ///
    /// # Errors
    /// See [`Error`]; one call.
    pub async fn state(&self) -> Result<WeightStoreState, Error> {
        self.caller.get_json(&self.url, self.timeout).await
    }
}
