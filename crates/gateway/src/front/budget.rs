//! How many repeats this VM may send, so that all entry VMs together stay within the bound
//! without talking to each other: each keeps to the ratio over its own requests and to an equal
//! part of the reserve.

use std::collections::VecDeque;

use bergamot_ports::ServingBounds;
use bergamot_types::Millis;
use bergamot_types::prelude::ServiceName;
use indexmap::IndexMap;

/// The part of the bound that is used, for windows that begin at another moment here.
const USED_PART: f64 = 0.8;
/// Entry VMs assumed until the others are known.
const ASSUMED_VMS: usize = 16;

/// Requests and repeats of one service in the current window.
#[derive(Debug, Default)]
struct ServiceWindow {
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

/// Counts requests and repeats over a sliding window.
#[derive(Debug)]
pub struct RepeatBudget {
    bounds: ServingBounds,
    vms: usize,
    services: IndexMap<ServiceName, ServiceWindow>,
}

impl RepeatBudget {
    /// A budget that keeps to the bounds on repeats.
    pub fn new(bounds: ServingBounds) -> Self {
        Self {
            bounds,
            vms: ASSUMED_VMS,
            services: IndexMap::new(),
        }
    }

    /// Sets the bounds, and how many entry VMs share the reserve.
    pub fn set_bounds(&mut self, bounds: ServingBounds, vms: usize) {
        self.bounds = bounds;
        self.vms = vms.max(1);
    }

    /// Counts a request.
    pub fn note_request(&mut self, now: Millis, service: &ServiceName) {
        let window = self.bounds.retry_window;
        let counts = self.counts(service);
        forget(&mut counts.requests, now, window);
        counts.requests.push_back(now);
    }

    /// Takes one repeat, if there is one left.
    pub fn take(&mut self, now: Millis, service: &ServiceName) -> bool {
        let window = self.bounds.retry_window;
        let ratio = self.bounds.retry_ratio;
        let reserve = self.bounds.retry_reserve / self.vms as f64;
        let counts = self.counts(service);
        forget(&mut counts.requests, now, window);
        forget(&mut counts.repeats, now, window);
        let allowed = (counts.requests.len() as f64 * ratio + reserve) * USED_PART;
        if counts.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        counts.repeats.push_back(now);
        true
    }

    fn counts(&mut self, service: &ServiceName) -> &mut ServiceWindow {
        self.services.entry(service.clone()).or_default()
    }
}

fn forget(times: &mut VecDeque<Millis>, now: Millis, window: Millis) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
