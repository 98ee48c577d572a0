//! The routing state of this VM. Each request accesses it briefly twice, from any of the threads
//! that serve callers, so it is guarded by a lock instead of being owned by a duty behind a ring.

use std::sync::Arc;

use bergamot_peer::DemandFact;
use bergamot_routing::admission::{AccountQuota, PoolOptions};
use bergamot_routing::{
    AdmissionOutcome, AdmissionQueue, AdmissionRequest, BalanceOptions, Balancer, Choice,
    LimitShares, LoanReply, LoanRequest, PickRequest, RetryBudget, ShareOptions,
};
use bergamot_types::prelude::*;
use indexmap::IndexMap;
use tokio::sync::oneshot;

use crate::route_view::RouteView;
use crate::settings::TuningSettings;

/// The kind of route a request takes. Each kind has its own concurrency slots, so that model
/// requests cannot starve services.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum PoolKind {
    /// Requests to models.
    Model,
    /// Requests to plain services.
    Service,
}

impl PoolKind {
    /// Returns the name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Service => "service",
        }
    }
}

/// Identifies the balancer of a model or a service.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub enum RouteName {
    /// A model.
    Model(ModelName),
    /// A plain service.
    Service(ServiceName),
}

/// The reply to a request for a concurrency slot.
pub enum SlotReply {
    /// The request holds a slot and may proceed.
    Admitted,
    /// The request is queued under this ticket. The receiver yields `None` once it is admitted, or
    /// the error if it is rejected.
    Waiting(u64, oneshot::Receiver<Option<ErrorKind>>),
    /// The request was rejected with this error, and may be retried after this time.
    Refused(ErrorKind, Millis),
}

/// Balancers, admission queues, limit shares and the retry budget of this VM.
pub struct RoutingState {
    me: EntryId,
    balance: BalanceOptions,
    tuning: TuningSettings,
    view: Arc<RouteView>,
    balancers: IndexMap<RouteName, Balancer>,
    pools: [AdmissionQueue; 2],
    waiting: IndexMap<u64, oneshot::Sender<Option<ErrorKind>>>,
    shares: LimitShares,
    retries: RetryBudget,
    next_ticket: u64,
    sampled_at: Millis,
}

/// Number of retries that the budget allows in a burst.
const RETRY_RESERVE: f64 = 20.0;
/// Factor on an entry VM's equal share of the replicas' concurrency slots, as callers do not spread
/// evenly over the entry VMs.
const SLOT_HEADROOM: f64 = 1.5;
/// Interval between samples of demand.
const SAMPLE_PERIOD: Millis = Millis(250);
/// Maximum number of peers that are asked for a loan at once.
const MAX_LENDERS_ASKED: usize = 2;

impl RoutingState {
    /// Creates a state without routes.
    pub fn new(me: EntryId, balance: BalanceOptions, tuning: TuningSettings) -> Self {
        let pool = |concurrency, queue| AdmissionQueue::new(PoolOptions { concurrency, queue });
        Self {
            me,
            balance,
            pools: [
                pool(0, tuning.model_queue),
                pool(tuning.service_concurrency, tuning.service_queue),
            ],
            retries: RetryBudget::new(tuning.retry_share, RETRY_RESERVE),
            tuning,
            view: Arc::new(RouteView::default()),
            balancers: IndexMap::new(),
            waiting: IndexMap::new(),
            shares: LimitShares::new(ShareOptions::default()),
            next_ticket: 1,
            sampled_at: Millis::ZERO,
        }
    }

    /// Returns the latest route snapshot.
    pub fn view(&self) -> &Arc<RouteView> {
        &self.view
    }

    /// Replaces the route snapshot and updates the balancers and limits accordingly.
    pub fn take_view(&mut self, now: Millis, view: Arc<RouteView>) {
        self.shares.set_roster(&view.roster, &self.me);
        let mut route_names = Vec::new();
        let models = view.models.iter();
        let models = models.map(|(name, facts)| (RouteName::Model(name.clone()), facts));
        let services = view.services.iter();
        let services = services.map(|(name, facts)| (RouteName::Service(name.clone()), facts));
        for (name, facts) in models.chain(services) {
            let seed = hash_bytes(format!("{}/{name:?}", self.me).as_bytes());
            let balance = &self.balance;
            let balancer = self
                .balancers
                .entry(name.clone())
                .or_insert_with(|| Balancer::new(balance.clone(), seed));
            balancer.replace(facts.clone());
            route_names.push(name);
        }
        for (name, balancer) in &mut self.balancers {
            if !route_names.contains(name) {
                balancer.replace(Vec::new());
            }
        }
        let replica_count: usize = view.models.values().map(Vec::len).sum();
        let entry_count = view.trusted.len().max(1) as f64;
        let slots = (self.tuning.requests_per_replica * replica_count) as f64;
        let slots = (slots * SLOT_HEADROOM / entry_count).ceil();
        self.pools[PoolKind::Model as usize].set_concurrency(slots as usize);
        self.view = view;
        self.set_quotas(now);
    }

    fn set_quotas(&mut self, now: Millis) {
        let Some(active_bundle) = self.view.active_bundle.clone() else {
            return;
        };
        for account in &active_bundle.document.accounts {
            let share = self.shares.share(now, &account.name);
            Invariant::LimitSum.check(share <= 1.0 + 1e-6, || {
                format!("account={} share={share}", account.name)
            });
            let quota = AccountQuota {
                rate: account.requests_per_second * share,
                concurrency: f64::from(account.concurrency) * share,
            };
            for pool in &mut self.pools {
                pool.set_quota(now, &account.name, quota);
            }
        }
    }

    /// Requests a concurrency slot.
    pub fn request_slot(
        &mut self,
        now: Millis,
        pool: PoolKind,
        account: &ClientAccount,
        priority: u8,
        deadline: Millis,
    ) -> SlotReply {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let request = AdmissionRequest {
            ticket,
            account: account.clone(),
            priority,
            deadline,
        };
        match self.pools[pool as usize].admit(now, request) {
            AdmissionOutcome::Admitted => SlotReply::Admitted,
            AdmissionOutcome::Rejected(kind, wait) => SlotReply::Refused(kind, wait),
            AdmissionOutcome::Queued => {
                let (sender, receiver) = oneshot::channel();
                self.waiting.insert(ticket, sender);
                SlotReply::Waiting(ticket, receiver)
            }
        }
    }

    /// Removes a request from the queue after its caller stopped waiting.
    pub fn cancel_slot_request(&mut self, pool: PoolKind, ticket: u64) {
        self.waiting.swap_remove(&ticket);
        self.pools[pool as usize].cancel(ticket);
    }

    /// Releases a concurrency slot and admits queued requests.
    pub fn release_slot(
        &mut self,
        now: Millis,
        pool: PoolKind,
        account: &ClientAccount,
        took: Millis,
    ) {
        self.pools[pool as usize].release(account, took);
        self.admit_waiting(now);
    }

    fn admit_waiting(&mut self, now: Millis) {
        for index in 0..self.pools.len() {
            for decision in self.pools[index].poll(now) {
                let reply_sender = self.waiting.swap_remove(&decision.ticket);
                let is_delivered = reply_sender
                    .is_some_and(|reply_sender| reply_sender.send(decision.refusal).is_ok());
                if !is_delivered && decision.refusal.is_none() {
                    log::debug!("event=place_unclaimed ticket={}", decision.ticket);
                }
            }
        }
    }

    /// Picks an upstream for a request.
    pub fn pick(&mut self, now: Millis, route: &RouteName, request: &PickRequest<'_>) -> Choice {
        let balancer = self.balancers.get_mut(route);
        balancer.map_or(Choice::None, |balancer| balancer.pick(now, request))
    }

    /// Returns the balancer of a model or service.
    pub fn balancer(&mut self, route: &RouteName) -> Option<&mut Balancer> {
        self.balancers.get_mut(route)
    }

    /// Returns the retry budget.
    pub fn retries(&mut self) -> &mut RetryBudget {
        &mut self.retries
    }

    /// Samples demand, admits queued requests, and returns the loan requests to send to peers.
    pub fn tick(&mut self, now: Millis) -> Vec<(EntryId, LoanRequest)> {
        self.sample_demand(now);
        self.set_quotas(now);
        self.admit_waiting(now);
        let Some(active_bundle) = self.view.active_bundle.clone() else {
            return Vec::new();
        };
        let mut loan_requests = Vec::new();
        for account in &active_bundle.document.accounts {
            let Some(mut needed_loan) =
                self.shares
                    .needed_loan(now, &account.name, active_bundle.record.number)
            else {
                continue;
            };
            let hash = DemandFact::account_hash(&account.name);
            let lenders = match self.view.lenders.get(&hash) {
                Some(lenders) => lenders.clone(),
                None => self.fallback_lenders(now),
            };
            for (lender, slack) in lenders.iter().take(MAX_LENDERS_ASKED) {
                let offer = f64::from(*slack) / 1_000.0;
                if offer <= 0.0 || needed_loan.wanted <= 0.0 {
                    break;
                }
                let request = self
                    .shares
                    .request_loan(&needed_loan, needed_loan.wanted.min(offer));
                needed_loan.wanted -= request.wanted;
                loan_requests.push((lender.clone(), request));
            }
        }
        loan_requests
    }

    /// Returns members to ask when no offer is known. The selection rotates each period.
    fn fallback_lenders(&self, now: Millis) -> Vec<(EntryId, u16)> {
        const WHOLE_LIMIT: u16 = 1_000;
        let members = &self.view.roster.members;
        let peers: Vec<&EntryId> = members
            .iter()
            .map(|member| &member.entry)
            .filter(|entry| **entry != self.me)
            .collect();
        let start = (now.0 / SAMPLE_PERIOD.0) as usize;
        (0..peers.len().min(MAX_LENDERS_ASKED))
            .map(|step| (peers[(start + step) % peers.len()].clone(), WHOLE_LIMIT))
            .collect()
    }

    /// Whether this VM has a share of every account's limit.
    pub fn has_share(&self, now: Millis) -> bool {
        let active_bundle = self.view.active_bundle.as_ref();
        active_bundle.is_some_and(|active_bundle| {
            let accounts = &active_bundle.document.accounts;
            accounts
                .iter()
                .all(|account| self.shares.share(now, &account.name) > 0.0)
        })
    }

    fn sample_demand(&mut self, now: Millis) {
        let elapsed = now.since(self.sampled_at);
        if elapsed < SAMPLE_PERIOD {
            return;
        }
        self.sampled_at = now;
        let Some(active_bundle) = self.view.active_bundle.clone() else {
            return;
        };
        for account in &active_bundle.document.accounts {
            let mut demand: f64 = 0.0;
            for pool in &mut self.pools {
                let request_count = pool.take_request_count(&account.name) as f64;
                let rate = request_count / elapsed.as_secs_f64() / account.requests_per_second;
                let slot_demand = pool.demand(&account.name) as f64;
                let slots = slot_demand / f64::from(account.concurrency.max(1));
                demand = demand.max(rate).max(slots);
            }
            self.shares.record_demand(&account.name, demand);
        }
    }

    /// Returns the part of each account's limit that this VM could lend.
    pub fn slack(&self, now: Millis) -> Vec<DemandFact> {
        let Some(active_bundle) = self.view.active_bundle.as_ref() else {
            return Vec::new();
        };
        let accounts = active_bundle.document.accounts.iter();
        accounts
            .map(|account| DemandFact {
                account: DemandFact::account_hash(&account.name),
                slack: (self.shares.slack(now, &account.name) * 1_000.0) as u16,
            })
            .filter(|fact| fact.slack > 0)
            .collect()
    }

    /// Answers a peer's loan request.
    pub fn lend(&mut self, now: Millis, request: &LoanRequest) -> LoanReply {
        let active_bundle = self.view.active_bundle.as_ref();
        let roll = active_bundle.map_or(0, |active_bundle| active_bundle.record.number);
        let reply = self.shares.lend(now, request, roll);
        self.set_quotas(now);
        reply
    }

    /// Adds a loan from a peer's reply and admits queued requests. `asked` is when the request was
    /// sent.
    pub fn accept_loan(&mut self, now: Millis, asked: Millis, reply: &LoanReply) {
        self.shares.accept_loan(now, asked, reply);
        self.set_quotas(now);
        self.admit_waiting(now);
    }

    /// Returns the number of admitted requests in a pool.
    pub fn running(&self, pool: PoolKind) -> usize {
        self.pools[pool as usize].running_total()
    }

    /// Returns the state as JSON for the admin dump.
    pub fn dump(&self, now: Millis) -> serde_json::Value {
        let limits: Vec<serde_json::Value> = self
            .view
            .active_bundle
            .iter()
            .flat_map(|active_bundle| &active_bundle.document.accounts)
            .map(|account| {
                serde_json::json!({
                    "account": account.name,
                    "share": self.shares.share(now, &account.name),
                    "running": self.pools.iter().map(|p| p.running(&account.name)).sum::<usize>(),
                })
            })
            .collect();
        let upstreams: IndexMap<String, serde_json::Value> = self
            .balancers
            .iter()
            .map(|(name, balancer)| {
                let loads = balancer.table().loads();
                (format!("{name:?}"), serde_json::json!(loads))
            })
            .collect();
        let (requests, retries, refused) = self.retries.counts();
        serde_json::json!({
            "limits": limits,
            "upstreams": upstreams,
            "queues": {
                "model": { "running": self.pools[0].running_total(), "waiting": self.pools[0].waiting() },
                "service": { "running": self.pools[1].running_total(), "waiting": self.pools[1].waiting() },
            },
            "retries": { "requests": requests, "retries": retries, "refused": refused },
        })
    }
}
