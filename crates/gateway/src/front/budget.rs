//! The retry budget of this VM. Keeps the retries of all entry VMs together within the bound
//! without any exchange between them: each VM applies the ratio to its own requests and uses an
//! equal share of the reserve.
//!
//! A process that starts does not know the retries of its predecessor on the VM, which count towards
//! the bound for a whole window. Until then it uses a small part of the ratio and of its share of the
//! reserve, so that the sum holds although processes restart.

use std::collections::VecDeque;

use bergamot_ports::ServingBounds;
use bergamot_types::Millis;
use bergamot_types::prelude::ServiceName;
use indexmap::IndexMap;

/// The fraction of the bound that is used. Leaves room for windows that begin at a different moment
/// on this VM.
const USED_FRACTION: f64 = 0.8;
/// The fraction of the bound that a process uses in its first window. It comes in addition to what
/// its predecessor may have used. The part of the reserve leaves room for two starts of every VM in
/// a window.
const FIRST_WINDOW_FRACTION: f64 = (1.0 - USED_FRACTION) / 2.0;
/// Number of entry VMs assumed until the key of one of them is known.
const DEFAULT_VM_COUNT: usize = 16;
/// Time within which VMs that start together know each other's keys.
const KEY_EXCHANGE_TIME: Millis = Millis(1_500);
/// How long the number of known entry VMs must be lower before the reserve is shared among fewer
/// VMs. Keys that expire while the store is unreachable are written and known again within about
/// seven seconds, and their VMs serve meanwhile: 3.2 s to the next renewal, 1.5 s to the new key,
/// and the delay of the store updates. At least the window of the bound, because the retries of VMs
/// that left count for that long.
const SHRINK_DELAY: Millis = Millis(10_000);

/// When requests and retries of one service were sent in the current window.
#[derive(Debug, Default)]
struct ServiceWindow {
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

/// The number of entry VMs that share the reserve. A missing key does not mean that its VM has
/// stopped.
#[derive(Debug, Default)]
struct SharerCount {
    /// Number of entry VMs whose keys are known.
    known: usize,
    /// Number of entry VMs that the reserve is shared among. `None` until the first key is known.
    effective: Option<usize>,
    /// When `known` dropped below `effective`.
    below_since: Option<Millis>,
}

impl SharerCount {
    /// Returns the number of sharers at `now`. A lower number applies only after `shrink_delay`.
    fn at(&mut self, now: Millis, shrink_delay: Millis) -> usize {
        let is_below = self
            .effective
            .is_some_and(|effective| self.known < effective);
        self.below_since = is_below.then(|| self.below_since.unwrap_or(now));
        let is_settled = self
            .below_since
            .is_none_or(|since| now.since(since) >= shrink_delay);
        if is_settled && self.known > 0 {
            self.effective = Some(self.known);
        }
        self.effective.unwrap_or(DEFAULT_VM_COUNT)
    }
}

/// How much of this VM's budget for one service is used at one moment.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct RetryUsage {
    /// Requests in the current window.
    pub requests: usize,
    /// Retries in the current window.
    pub retries: usize,
    /// How many retries may be sent in the current window.
    pub allowed: f64,
    /// Number of entry VMs that the reserve is shared among.
    pub sharers: usize,
    /// Time since this VM's process started.
    pub process_age: Millis,
}

impl RetryUsage {
    /// Whether another retry may be sent.
    fn has_retry_left(&self) -> bool {
        self.retries as f64 + 1.0 <= self.allowed
    }
}

/// Bounds retries by the number of requests in a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: ServingBounds,
    started_at: Millis,
    /// Whether no entry VM has served before.
    is_first_start: bool,
    sharers: SharerCount,
    services: IndexMap<ServiceName, ServiceWindow>,
}

impl RetryBudget {
    /// Creates the budget of a process that started at `started_at`, with the given bounds on
    /// retries.
    pub fn new(bounds: ServingBounds, started_at: Millis) -> Self {
        Self {
            bounds,
            started_at,
            is_first_start: false,
            sharers: SharerCount::default(),
            services: IndexMap::new(),
        }
    }

    /// Records that no entry VM has served before this process started, so that no earlier retries
    /// count.
    pub fn record_first_start(&mut self) {
        self.is_first_start = true;
    }

    /// Sets the bounds and the number of entry VMs whose keys are known.
    pub fn set_bounds(&mut self, bounds: ServingBounds, vms: usize) {
        self.bounds = bounds;
        self.sharers.known = vms;
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Millis, service: &ServiceName) {
        let window = self.bounds.retry_window;
        let service_window = self.window(service);
        drop_expired(&mut service_window.requests, now, window);
        service_window.requests.push_back(now);
    }

    /// Takes one retry from the budget. Returns whether one was left.
    pub fn try_take(&mut self, now: Millis, service: &ServiceName) -> bool {
        let is_granted = self.usage(now, service).has_retry_left();
        if is_granted {
            self.window(service).retries.push_back(now);
        }
        is_granted
    }

    /// Returns how much of the budget is used at `now`.
    pub fn usage(&mut self, now: Millis, service: &ServiceName) -> RetryUsage {
        let window = self.bounds.retry_window;
        let sharers = self.sharers.at(now, window.max(SHRINK_DELAY));
        let process_age = now.since(self.started_at);
        let service_window = self.window(service);
        drop_expired(&mut service_window.requests, now, window);
        drop_expired(&mut service_window.retries, now, window);
        let requests = service_window.requests.len();
        RetryUsage {
            requests,
            retries: service_window.retries.len(),
            allowed: self.allowed_retries(requests, sharers, process_age),
            sharers,
            process_age,
        }
    }

    /// Returns how many retries may be sent in a window with this number of requests.
    fn allowed_retries(&self, requests: usize, sharers: usize, process_age: Millis) -> f64 {
        let earned = requests as f64 * self.bounds.retry_ratio;
        if process_age < self.bounds.retry_window && !self.is_first_start {
            return (earned + self.reserve_of_known(sharers)) * FIRST_WINDOW_FRACTION;
        }
        let sharers = match process_age < KEY_EXCHANGE_TIME {
            true => sharers.max(DEFAULT_VM_COUNT),
            false => sharers,
        };
        (earned + self.bounds.retry_reserve / sharers as f64) * USED_FRACTION
    }

    /// Returns this VM's share of the reserve, or nothing as long as the VM knows only its own key and
    /// so cannot tell how many VMs serve.
    fn reserve_of_known(&self, sharers: usize) -> f64 {
        match self.sharers.known > 1 {
            true => self.bounds.retry_reserve / sharers as f64,
            false => 0.0,
        }
    }

    /// Returns a retry that was taken at `taken_at` to the budget, because it reached no upstream.
    /// The bound counts only retries that arrive.
    pub fn refund(&mut self, taken_at: Millis, service: &ServiceName) {
        let retries = &mut self.window(service).retries;
        if let Some(index) = retries.iter().rposition(|at| *at == taken_at) {
            retries.remove(index);
        }
    }

    fn window(&mut self, service: &ServiceName) -> &mut ServiceWindow {
        self.services.entry(service.clone()).or_default()
    }
}

fn drop_expired(times: &mut VecDeque<Millis>, now: Millis, window: Millis) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
