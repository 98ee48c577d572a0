//! Who may go on, who waits, and who is told to come back.
//!
//! One queue for each pool, so that model load cannot keep a plain service's call waiting.
//! Within a pool the most urgent priority goes first and accounts take turns; what cannot be
//! served before its deadline is refused at once.

use bergamot_types::prelude::*;
use indexmap::IndexMap;
use std::collections::VecDeque;

use bergamot_quota::TokenBucket;

/// Bounds of one pool.
#[derive(Clone, Debug)]
pub struct PoolOptions {
    /// Requests that go on at once.
    pub concurrency: usize,
    /// Requests that wait at most.
    pub queue: usize,
}

/// What is asked for.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Names the request until it is released.
    pub ticket: u64,
    /// Whose request.
    pub account: ClientAccount,
    /// 0 is the most urgent.
    pub priority: u8,
    /// When the answer is of no use any more.
    pub deadline: Millis,
}

/// What this VM may use of an account's limit now.
#[derive(Clone, Copy, Debug)]
pub struct AccountQuota {
    /// Requests per second.
    pub rate: f64,
    /// Requests at once. Fractions add up: half a place is a place half of the time.
    pub concurrency: f64,
}

/// The answer to a request for admission.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AdmissionOutcome {
    /// Go on now.
    Admitted,
    /// Wait; an [`AdmissionDecision`] or a refusal will name the ticket.
    Queued,
    /// Refused, with the time to come back after.
    Rejected(ErrorKind, Millis),
}

/// A waiting request that may go on now, or is refused now.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct AdmissionDecision {
    /// Which.
    pub ticket: u64,
    /// None to go on, else why not.
    pub refusal: Option<ErrorKind>,
}

#[derive(Clone, Debug)]
struct AccountState {
    bucket: TokenBucket,
    quota: AccountQuota,
    running: usize,
    request_count: u64,
}

/// The admission of one pool.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    options: PoolOptions,
    accounts: IndexMap<ClientAccount, AccountState>,
    /// For each priority, each account's waiting requests; accounts take turns.
    waiting: IndexMap<u8, IndexMap<ClientAccount, VecDeque<AdmissionRequest>>>,
    waiting_count: usize,
    running: usize,
    /// Smoothed time a request occupies its place, in milliseconds.
    service_time: f64,
    /// What a quick request takes, in milliseconds: less than this is not enough for any.
    quick_time: f64,
}

/// How much of a new sample enters the smoothed service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// How fast the quick time follows shorter and longer samples.
const QUICK_TIME_WEIGHTS: (f64, f64) = (0.2, 0.02);
/// Service time assumed before the first sample, in milliseconds.
const INITIAL_SERVICE_MS: f64 = 200.0;

impl AdmissionQueue {
    /// An idle pool.
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

    /// Sets how many requests go on at once, as upstreams come and go.
    pub fn set_concurrency(&mut self, concurrency: usize) {
        self.options.concurrency = concurrency;
    }

    /// Sets what an account may use here now.
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

    /// Requests of an account that go on now.
    pub fn running(&self, account: &ClientAccount) -> usize {
        self.accounts.get(account).map_or(0, |state| state.running)
    }

    /// Requests that an account asked for since the last call, admitted or not.
    pub fn take_request_count(&mut self, account: &ClientAccount) -> u64 {
        let state = self.accounts.get_mut(account);
        state.map_or(0, |state| std::mem::take(&mut state.request_count))
    }

    /// Requests of an account that go on or wait.
    pub fn demand(&self, account: &ClientAccount) -> usize {
        let queues = self
            .waiting
            .values()
            .filter_map(|queues| queues.get(account));
        self.running(account) + queues.map(VecDeque::len).sum::<usize>()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting_count
    }

    /// Requests that go on.
    pub fn running_total(&self) -> usize {
        self.running
    }

    /// Asks for admission.
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
        // To be served too late is to be served in vain, in the place of one that is not too late.
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

    /// The wait behind everything more urgent and, as accounts take turns, behind as many requests
    /// of each other account as this one's own has waiting; at the pace of late.
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

    /// Marks a waiting request to be refused in favour of `request`: one that is less urgent, or
    /// one of an account that has more waiting.
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
        // It is refused with the next poll; its place counts as free from now on.
        latest.deadline = Millis::ZERO;
        true
    }

    fn start(&mut self, account: &ClientAccount) {
        self.running += 1;
        if let Some(state) = self.accounts.get_mut(account) {
            state.running += 1;
        }
    }

    /// Ends a request that was admitted, after `took`.
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

    /// Forgets a waiting request whose caller left.
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

    /// The waiting requests that go on or are refused now.
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
            // The account goes to the end of the line, so that all take turns.
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
