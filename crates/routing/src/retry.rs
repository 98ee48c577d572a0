//! Limits how many additional upstream requests failures may cause.

/// Budget that earns a fraction of a retry with each request, so that retries remain a bounded
/// share of the traffic.
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
    /// Creates a budget that allows retries for `share` of all requests, with a reserve of
    /// `capacity`.
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

    /// Records a first attempt.
    pub fn record_request(&mut self) {
        self.requests += 1;
        self.tokens = (self.tokens + self.earned_per_request).min(self.capacity);
    }

    /// Takes one retry from the budget. Returns false if the budget is used up.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            self.rejected += 1;
            return false;
        }
        self.tokens -= 1.0;
        self.retries += 1;
        true
    }

    /// Returns the number of first attempts, retries and rejected retries.
    pub fn counts(&self) -> (u64, u64, u64) {
        (self.requests, self.retries, self.rejected)
    }
}
