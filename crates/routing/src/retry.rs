//! How many extra calls to upstreams failures may cause.

/// Earns a fraction of a retry with each request, so that retries stay a bounded share.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    earned_per_request: f64,
    capacity: f64,
    tokens: f64,
    requests: u64,
    retries: u64,
    rejected: u64,
}

impl RetryBudget {
    /// A budget that lets retries be `share` of all requests, with a reserve of `most`.
    pub fn new(share: f64, capacity: f64) -> Self {
        Self {
            earned_per_request: share,
            capacity,
            tokens: capacity,
            requests: 0,
            retries: 0,
            rejected: 0,
        }
    }

    /// Counts a first attempt.
    pub fn record_request(&mut self) {
        self.requests += 1;
        self.tokens = (self.tokens + self.earned_per_request).min(self.capacity);
    }

    /// Takes one retry out of the budget.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            self.rejected += 1;
            return false;
        }
        self.tokens -= 1.0;
        self.retries += 1;
        true
    }

    /// First attempts, retries and refused retries so far.
    pub fn counts(&self) -> (u64, u64, u64) {
        (self.requests, self.retries, self.rejected)
    }
}
