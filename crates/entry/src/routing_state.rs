//! The state of routing on this VM. Each request touches it twice for a moment, from any worker
//! of the callers' side, so it is behind one lock and not behind a ring.

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

/// What a request is for. Each kind has places of its own, so that models cannot starve services.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum PoolKind {
    /// A model.
    Model,
    /// A plain service.
    Service,
}

impl PoolKind {
    /// The kind's name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Service => "service",
        }
    }
}

/// Names the balancer of a model or a service.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub enum RouteName {
    /// A model.
    Model(ModelName),
    /// A plain service.
    Service(ServiceName),
}

/// The answer to a request for a place.
pub enum Place {
    /// Go on.
    Admitted,
    /// Wait for the word.
    Waiting(u64, oneshot::Receiver<Option<ErrorKind>>),
    /// Refused.
    Refused(ErrorKind, Millis),
}

/// The state.
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

/// Retries that may come at once.
const RETRY_RESERVE: f64 = 20.0;
/// Places beyond an equal share of the replicas' own, as callers do not spread evenly.
const PLACE_HEADROOM: f64 = 1.5;
/// Time between two samples of demand.
const SAMPLE_PERIOD: Millis = Millis(250);
/// Peers asked for a loan at once.
const LENDERS_ASKED: usize = 2;

impl RoutingState {
    /// A state without routes.
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

    /// The newest snapshot.
    pub fn view(&self) -> &Arc<RouteView> {
        &self.view
    }

    /// Takes over a snapshot.
    pub fn take_view(&mut self, now: Millis, view: Arc<RouteView>) {
        self.shares.set_roster(&view.roster, &self.me);
        let mut names = Vec::new();
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
            names.push(name);
        }
        for (name, balancer) in &mut self.balancers {
            if !names.contains(name) {
                balancer.replace(Vec::new());
            }
        }
        let replicas: usize = view.models.values().map(Vec::len).sum();
        let entries = view.trusted.len().max(1) as f64;
        let places = (self.tuning.requests_per_replica * replicas) as f64;
        let places = (places * PLACE_HEADROOM / entries).ceil();
        self.pools[PoolKind::Model as usize].set_concurrency(places as usize);
        self.view = view;
        self.set_quotas(now);
    }

    fn set_quotas(&mut self, now: Millis) {
        let Some(force) = self.view.force.clone() else {
            return;
        };
        for account in &force.document.accounts {
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

    /// Asks for a place.
    pub fn ask_place(
        &mut self,
        now: Millis,
        pool: PoolKind,
        account: &ClientAccount,
        priority: u8,
        deadline: Millis,
    ) -> Place {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let request = AdmissionRequest {
            ticket,
            account: account.clone(),
            priority,
            deadline,
        };
        match self.pools[pool as usize].admit(now, request) {
            AdmissionOutcome::Admitted => Place::Admitted,
            AdmissionOutcome::Rejected(kind, wait) => Place::Refused(kind, wait),
            AdmissionOutcome::Queued => {
                let (sender, receiver) = oneshot::channel();
                self.waiting.insert(ticket, sender);
                Place::Waiting(ticket, receiver)
            }
        }
    }

    /// Forgets a request that waits no more.
    pub fn cancel_place(&mut self, pool: PoolKind, ticket: u64) {
        self.waiting.swap_remove(&ticket);
        self.pools[pool as usize].cancel(ticket);
    }

    /// Gives a place back.
    pub fn release_place(
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
            for decided in self.pools[index].poll(now) {
                let word = self.waiting.swap_remove(&decided.ticket);
                let is_heard = word.is_some_and(|word| word.send(decided.refusal).is_ok());
                if !is_heard && decided.refusal.is_none() {
                    log::debug!("event=place_unclaimed ticket={}", decided.ticket);
                }
            }
        }
    }

    /// Chooses an upstream.
    pub fn pick(&mut self, now: Millis, route: &RouteName, request: &PickRequest<'_>) -> Choice {
        let balancer = self.balancers.get_mut(route);
        balancer.map_or(Choice::None, |balancer| balancer.pick(now, request))
    }

    /// The balancer of a model or service.
    pub fn balancer(&mut self, route: &RouteName) -> Option<&mut Balancer> {
        self.balancers.get_mut(route)
    }

    /// The retry budget.
    pub fn retries(&mut self) -> &mut RetryBudget {
        &mut self.retries
    }

    /// Samples demand, lets waiting requests on, and returns loans to ask for, with whom to ask.
    pub fn tick(&mut self, now: Millis) -> Vec<(EntryId, LoanRequest)> {
        self.sample_demand(now);
        self.set_quotas(now);
        self.admit_waiting(now);
        let Some(force) = self.view.force.clone() else {
            return Vec::new();
        };
        let mut questions = Vec::new();
        for account in &force.document.accounts {
            let Some(mut wish) = self
                .shares
                .needed_loan(now, &account.name, force.record.number)
            else {
                continue;
            };
            let hash = DemandFact::account_hash(&account.name);
            let lenders = match self.view.lenders.get(&hash) {
                Some(lenders) => lenders.clone(),
                None => self.any_lenders(now),
            };
            for (lender, slack) in lenders.iter().take(LENDERS_ASKED) {
                let offer = f64::from(*slack) / 1_000.0;
                if offer <= 0.0 || wish.wanted <= 0.0 {
                    break;
                }
                let part = self.shares.request_loan(&wish, wish.wanted.min(offer));
                wish.wanted -= part.wanted;
                questions.push((lender.clone(), part));
            }
        }
        questions
    }

    /// Members to ask when nobody's offer is known, others with each period.
    fn any_lenders(&self, now: Millis) -> Vec<(EntryId, u16)> {
        const ALL: u16 = 1_000;
        let members = &self.view.roster.members;
        let others: Vec<&EntryId> = members
            .iter()
            .map(|member| &member.entry)
            .filter(|entry| **entry != self.me)
            .collect();
        let start = (now.0 / SAMPLE_PERIOD.0) as usize;
        (0..others.len().min(LENDERS_ASKED))
            .map(|step| (others[(start + step) % others.len()].clone(), ALL))
            .collect()
    }

    /// Whether this VM may use some of every account's limit.
    pub fn has_share(&self, now: Millis) -> bool {
        let force = self.view.force.as_ref();
        force.is_some_and(|force| {
            let accounts = &force.document.accounts;
            accounts
                .iter()
                .all(|account| self.shares.share(now, &account.name) > 0.0)
        })
    }

    fn sample_demand(&mut self, now: Millis) {
        let span = now.since(self.sampled_at);
        if span < SAMPLE_PERIOD {
            return;
        }
        self.sampled_at = now;
        let Some(force) = self.view.force.clone() else {
            return;
        };
        for account in &force.document.accounts {
            let mut demand: f64 = 0.0;
            for pool in &mut self.pools {
                let asked = pool.take_request_count(&account.name) as f64;
                let rate = asked / span.as_secs_f64() / account.requests_per_second;
                let wanted = pool.demand(&account.name) as f64;
                let places = wanted / f64::from(account.concurrency.max(1));
                demand = demand.max(rate).max(places);
            }
            self.shares.record_demand(&account.name, demand);
        }
    }

    /// What this VM could lend of each account's limit.
    pub fn slack(&self, now: Millis) -> Vec<DemandFact> {
        let Some(force) = self.view.force.as_ref() else {
            return Vec::new();
        };
        let accounts = force.document.accounts.iter();
        accounts
            .map(|account| DemandFact {
                account: DemandFact::account_hash(&account.name),
                slack: (self.shares.slack(now, &account.name) * 1_000.0) as u16,
            })
            .filter(|fact| fact.slack > 0)
            .collect()
    }

    /// Answers a peer's question for a loan.
    pub fn lend(&mut self, now: Millis, question: &LoanRequest) -> LoanReply {
        let force = self.view.force.as_ref();
        let roll = force.map_or(0, |force| force.record.number);
        let lend = self.shares.lend(now, question, roll);
        self.set_quotas(now);
        lend
    }

    /// Takes a peer's answer.
    pub fn take_lend(&mut self, now: Millis, asked: Millis, answer: &LoanReply) {
        self.shares.accept_loan(now, asked, answer);
        self.set_quotas(now);
        self.admit_waiting(now);
    }

    /// Requests that go on, by pool.
    pub fn running(&self, pool: PoolKind) -> usize {
        self.pools[pool as usize].running_total()
    }

    /// The state as JSON, for the dump.
    pub fn dump(&self, now: Millis) -> serde_json::Value {
        let limits: Vec<serde_json::Value> = self
            .view
            .force
            .iter()
            .flat_map(|force| &force.document.accounts)
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
