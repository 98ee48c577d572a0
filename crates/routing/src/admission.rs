//! Decides which requests run, which wait and which are rejected.
//!
//! Each pool has its own queue, so that model load does not delay calls to plain services. Within a
//! pool the most urgent priority goes first and accounts take turns. A request that cannot be
//! served before its deadline is rejected at once.

use bergamot_types::prelude::*;
use indexmap::IndexMap;
use std::collections::VecDeque;

use bergamot_quota::TokenBucket;

/// Limits of one pool.
#[derive(Clone, Debug)]
pub struct PoolOptions {
    /// Largest number of requests that run at once.
    pub concurrency: usize,
    /// Largest number of requests that wait.
    pub queue: usize,
}

/// A request for admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Identifies the request until it is released.
    pub ticket: u64,
    /// The account that sent the request.
    pub account: ClientAccount,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// When the answer is no longer useful.
    pub deadline: Millis,
}

/// The part of an account's limit that this VM may use now.
#[derive(Clone, Copy, Debug)]
pub struct AccountQuota {
    /// Requests per second.
    pub rate: f64,
    /// Requests that run at once. May be fractional: half a slot is one slot half of the time.
    pub concurrency: f64,
}

/// Answer to a request for admission.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AdmissionOutcome {
    /// The request may run now.
    Admitted,
    /// The request waits until an [`AdmissionDecision`] names its ticket.
    Queued,
    /// The request is rejected, with the time after which the caller should return.
    Rejected(ErrorKind, Millis),
}

/// Decision about a waiting request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct AdmissionDecision {
    /// The ticket of the request.
    pub ticket: u64,
    /// None if the request may run, or else why it is rejected.
    pub refusal: Option<ErrorKind>,
}

#[derive(Clone, Debug)]
struct AccountState {
    bucket: TokenBucket,
    quota: AccountQuota,
    running: usize,
    request_count: u64,
}

/// Admission queue of one pool.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    options: PoolOptions,
    accounts: IndexMap<ClientAccount, AccountState>,
    /// Waiting requests by priority and account. Accounts take turns.
    waiting: IndexMap<u8, IndexMap<ClientAccount, VecDeque<AdmissionRequest>>>,
    waiting_count: usize,
    running: usize,
    /// Smoothed time for which a request occupies its slot, in milliseconds.
    service_time: f64,
    /// Time of a quick request, in milliseconds. No request is expected to finish in less.
    quick_time: f64,
}

/// Weight of a new sample in the smoothed service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// Weights of shorter and longer samples in the quick time.
const QUICK_TIME_WEIGHTS: (f64, f64) = (0.2, 0.02);
/// Service time assumed before the first sample, in milliseconds.
const INITIAL_SERVICE_MS: f64 = 200.0;

impl AdmissionQueue {
    /// Creates the queue of an idle pool.
    pub fn new(options: PoolOptions) -> Self {
        Self {
            options,
            accounts: IndexMap::new(),
            waiting: IndexMap::new(),
            waiting_count: 0,
            running: 0,
            service_time: INITIAL_SERVICE_MS,
            quick_time: 0.0,
        }
    }

    /// Sets how many requests run at once. Called as upstreams come and go.
    pub fn set_concurrency(&mut self, concurrency: usize) {
        self.options.concurrency = concurrency;
    }

    /// Sets the quota of an account on this VM.
    pub fn set_quota(&mut self, now: Millis, account: &ClientAccount, quota: AccountQuota) {
        let state = self
            .accounts
            .entry(account.clone())
            .or_insert_with(|| AccountState {
                bucket: TokenBucket::new(quota.rate, now),
                quota,
                running: 0,
                request_count: 0,
            });
        state.quota = quota;
        state.bucket.set_rate(now, quota.rate);
    }

    /// Returns the number of running requests of an account.
    pub fn running(&self, account: &ClientAccount) -> usize {
        self.accounts.get(account).map_or(0, |state| state.running)
    }

    /// Returns the number of requests that an account made since the last call, whether admitted or
    /// not.
    pub fn take_request_count(&mut self, account: &ClientAccount) -> u64 {
        let state = self.accounts.get_mut(account);
        state.map_or(0, |state| std::mem::take(&mut state.request_count))
    }

    /// Returns the number of running and waiting requests of an account.
    pub fn demand(&self, account: &ClientAccount) -> usize {
        let queues = self
            .waiting
            .values()
            .filter_map(|queues| queues.get(account));
        self.running(account) + queues.map(VecDeque::len).sum::<usize>()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting_count
    }

    /// Returns the number of running requests.
    pub fn running_total(&self) -> usize {
        self.running
    }

    /// Admits, queues or rejects a request.
    pub fn admit(&mut self, now: Millis, request: AdmissionRequest) -> AdmissionOutcome {
        let Some(state) = self.accounts.get_mut(&request.account) else {
            return AdmissionOutcome::Rejected(ErrorKind::RateLimited, Millis(1_000));
        };
        state.request_count += 1;
        if request.deadline <= now {
            return AdmissionOutcome::Rejected(ErrorKind::DeadlineBeforeSend, Millis::ZERO);
        }
        if !state.bucket.take(now) {
            return AdmissionOutcome::Rejected(ErrorKind::RateLimited, state.bucket.wait());
        }
        let may_run = may_run(state) && self.running < self.options.concurrency;
        if may_run && !self.has_waiting_before(&request) {
            self.start(&request.account);
            return AdmissionOutcome::Admitted;
        }
        self.enqueue(now, request)
    }

    fn has_waiting_before(&self, request: &AdmissionRequest) -> bool {
        self.waiting.iter().any(|(priority, accounts)| {
            *priority <= request.priority
                && accounts.iter().any(|(account, queue)| {
                    !queue.is_empty() && self.accounts.get(account).is_some_and(may_run)
                })
        })
    }

    fn enqueue(&mut self, now: Millis, request: AdmissionRequest) -> AdmissionOutcome {
        let wait = self.expected_wait(&request);
        // A request that would finish too late is rejected, as it would waste a slot that another
        // could use.
        if now + wait + self.quick_time() > request.deadline {
            return AdmissionOutcome::Rejected(ErrorKind::Overloaded, wait);
        }
        if self.waiting_count >= self.options.queue && !self.shed_for(&request) {
            return AdmissionOutcome::Rejected(ErrorKind::Overloaded, wait);
        }
        let queue = self.waiting.entry(request.priority).or_default();
        let queue = queue.entry(request.account.clone()).or_default();
        queue.push_back(request);
        self.waiting_count += 1;
        AdmissionOutcome::Queued
    }

    fn quick_time(&self) -> Millis {
        Millis(self.quick_time as u64)
    }

    /// Estimates the wait at the smoothed service time. A request waits for all more urgent ones
    /// and, as accounts take turns, for as many requests of each other account as its own account
    /// has waiting.
    fn expected_wait(&self, request: &AdmissionRequest) -> Millis {
        let own_waiting = self.waiting_of(request.priority, &request.account) + 1;
        let mut requests_ahead = 0;
        for (priority, accounts) in &self.waiting {
            for (account, queue) in accounts {
                requests_ahead += match priority.cmp(&request.priority) {
                    std::cmp::Ordering::Less => queue.len(),
                    std::cmp::Ordering::Equal if *account == request.account => queue.len(),
                    std::cmp::Ordering::Equal => queue.len().min(own_waiting),
                    std::cmp::Ordering::Greater => 0,
                };
            }
        }
        let slots = self.options.concurrency.max(1) as f64;
        Millis((requests_ahead as f64 * self.service_time / slots) as u64)
    }

    fn waiting_of(&self, priority: u8, account: &ClientAccount) -> usize {
        let accounts = self.waiting.get(&priority);
        let queue = accounts.and_then(|accounts| accounts.get(account));
        queue.map_or(0, VecDeque::len)
    }

    /// Marks a waiting request to be rejected in favour of `request`: a less urgent one, or one of
    /// an account that has more waiting. Returns false if there is none.
    fn shed_for(&mut self, request: &AdmissionRequest) -> bool {
        let own_waiting = self.waiting_of(request.priority, &request.account) + 1;
        let is_lower_ranked = |priority: u8, length: usize| {
            priority > request.priority || (priority == request.priority && length > own_waiting)
        };
        let longest = self
            .waiting
            .iter_mut()
            .flat_map(|(priority, accounts)| {
                let queues = accounts.values_mut();
                queues.map(move |queue| (*priority, queue))
            })
            .filter(|(priority, queue)| is_lower_ranked(*priority, queue.len()))
            .max_by_key(|(priority, queue)| (*priority, queue.len()));
        let Some((_, queue)) = longest else {
            return false;
        };
        let is_unmarked = |waiting: &&mut AdmissionRequest| waiting.deadline > Millis::ZERO;
        let Some(latest) = queue.iter_mut().rev().find(is_unmarked) else {
            return false;
        };
        // The next poll rejects the request. Its position counts as free from now on.
        latest.deadline = Millis::ZERO;
        true
    }

    fn start(&mut self, account: &ClientAccount) {
        self.running += 1;
        if let Some(state) = self.accounts.get_mut(account) {
            state.running += 1;
        }
    }

    /// Ends an admitted request that ran for `took`.
    pub fn release(&mut self, account: &ClientAccount, duration: Millis) {
        self.running = self.running.saturating_sub(1);
        let duration = duration.0 as f64;
        self.service_time += (duration - self.service_time) * SERVICE_TIME_WEIGHT;
        let weight = match duration < self.quick_time {
            true => QUICK_TIME_WEIGHTS.0,
            false => QUICK_TIME_WEIGHTS.1,
        };
        self.quick_time += (duration - self.quick_time) * weight;
        if let Some(state) = self.accounts.get_mut(account) {
            state.running = state.running.saturating_sub(1);
        }
    }

    /// Drops a waiting request whose caller left.
    pub fn cancel(&mut self, ticket: u64) {
        for queue in self
            .waiting
            .values_mut()
            .flat_map(|accounts| accounts.values_mut())
        {
            let previous_len = queue.len();
            queue.retain(|request| request.ticket != ticket);
            self.waiting_count -= previous_len - queue.len();
        }
    }

    /// Returns the waiting requests that may run or are rejected now.
    pub fn poll(&mut self, now: Millis) -> Vec<AdmissionDecision> {
        let mut decisions = self.reject_late(now);
        while self.running < self.options.concurrency {
            let Some(request) = self.next_waiting() else {
                break;
            };
            self.start(&request.account);
            decisions.push(AdmissionDecision {
                ticket: request.ticket,
                refusal: None,
            });
        }
        decisions
    }

    fn reject_late(&mut self, now: Millis) -> Vec<AdmissionDecision> {
        let mut rejected = Vec::new();
        let min_time_left = self.quick_time();
        for queue in self
            .waiting
            .values_mut()
            .flat_map(|accounts| accounts.values_mut())
        {
            queue.retain(|request| {
                let is_late = request.deadline < now + min_time_left;
                if is_late {
                    let refusal = match request.deadline <= now && request.deadline > Millis::ZERO {
                        true => ErrorKind::DeadlineBeforeSend,
                        false => ErrorKind::Overloaded,
                    };
                    rejected.push(AdmissionDecision {
                        ticket: request.ticket,
                        refusal: Some(refusal),
                    });
                }
                !is_late
            });
        }
        self.waiting_count -= rejected.len();
        rejected
    }

    fn next_waiting(&mut self) -> Option<AdmissionRequest> {
        let mut priorities: Vec<u8> = self.waiting.keys().copied().collect();
        priorities.sort_unstable();
        for priority in priorities {
            let accounts = self.waiting.get_mut(&priority)?;
            let states = &self.accounts;
            let next = accounts.iter().position(|(account, queue)| {
                !queue.is_empty() && states.get(account).is_some_and(may_run)
            });
            let Some(index) = next else {
                continue;
            };
            let (account, mut queue) = accounts.shift_remove_index(index)?;
            let request = queue.pop_front()?;
            // Moves the account to the end, so that all accounts take turns.
            if !queue.is_empty() {
                accounts.insert(account, queue);
            }
            self.waiting_count -= 1;
            return Some(request);
        }
        None
    }
}

fn may_run(state: &AccountState) -> bool {
    (state.running as f64) < state.quota.concurrency.floor()
}
