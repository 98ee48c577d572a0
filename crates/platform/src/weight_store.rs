//! Client for the rate-limited store that engines load weights from. This system only reads its
//! rate and load.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::http::{Error, HttpClient};

/// The load that the store reports.
#[derive(Clone, Copy, PartialEq, Debug, Serialize, Deserialize)]
pub struct WeightStoreState {
    /// Total transfer rate of all loads, in bytes per second.
    pub bytes_per_second: f64,
    /// Number of loads in progress.
    pub active_loads: u32,
}

/// Client for the weight store.
#[derive(Clone)]
pub struct WeightStoreClient {
    url: String,
    client: HttpClient,
    timeout: Duration,
}

impl WeightStoreClient {
    /// Creates a client for the store at `base_url`.
    pub fn new(base_url: &str, timeout: Duration) -> Self {
        Self {
            url: format!("{}/state", base_url.trim_end_matches('/')),
            client: HttpClient::new(timeout),
            timeout,
        }
    }

    /// Reads the store's rate and load with a single call.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn state(&self) -> Result<WeightStoreState, Error> {
        self.client.get_json(&self.url, self.timeout).await
    }
}
