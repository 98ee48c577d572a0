//! The serving configuration: routes, services, client accounts and limits.

use bergamot_types::AccountToken;
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::region::HomeRegions;

/// Whether a request may run more than once.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum RouteKind {
    /// A request may run any number of times.
    Idempotent,
    /// A request runs at most once per request id.
    NonIdempotent,
    /// The answer is an event stream. A request runs at most once unless the route is resumable.
    Streaming,
}

impl RouteKind {
    /// Returns the name of the kind in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Streaming => "streaming",
        }
    }
}

/// A service that a route sends requests to.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the other targets of the route.
    pub weight: u32,
}

/// A route.
#[derive(Clone, PartialEq, Debug)]
pub struct Route {
    /// Its name in logs.
    pub name: String,
    /// The path prefix that it matches, with a slash at both ends.
    pub prefix: String,
    /// How often its requests may run.
    pub kind: RouteKind,
    /// Maximum time that a caller waits.
    pub timeout: Millis,
    /// Latency objective: the time within which an answer counts as in time.
    pub objective: Millis,
    /// Maximum pause between two events that counts as in time.
    pub pause_objective: Option<Millis>,
    /// Maximum number of upstreams that a request is sent to.
    pub max_attempts: u32,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// Whether it accepts requests without an account token.
    pub is_public: bool,
    /// Whether a broken stream may be resumed at another upstream.
    pub is_resumable: bool,
    /// The services that receive its requests.
    pub targets: Vec<RouteTarget>,
    /// Regions in which its requests may be processed.
    pub home_regions: HomeRegions,
}

impl Route {
    /// Whether a request that may have run already may be sent again.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.is_resumable,
        }
    }
}

/// One model of an engine service.
#[derive(Clone, PartialEq, Debug)]
pub struct ModelSpec {
    /// Its name.
    pub name: ModelName,
    /// Number of upstreams in one replica.
    pub group_size: usize,
    /// Its expected share of the load, as a fraction of the upstreams from 0 to 1.
    pub demand_share: f64,
    /// Factor on all processing times of its groups; lower is faster.
    pub pace: f64,
    /// Time to load its weights from the weight store.
    pub load_time: Millis,
    /// Time to become ready if its weights are on the host.
    pub warmup_time: Millis,
}

/// Speed of a replica whose model has a pace of 1.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct EngineSpeed {
    /// Time of one step in milliseconds. Each running request gets one token per step.
    pub step_ms: f64,
    /// Additional time of a step per running request, in milliseconds.
    pub step_ms_per_request: f64,
    /// Number of steps in a pass. Events are sent and new prompts are read between passes.
    pub steps_per_pass: u32,
    /// Prompt tokens that are read per millisecond.
    pub tokens_per_ms: f64,
}

impl EngineSpeed {
    /// Returns the time in milliseconds of a pass with `running` requests that reads no prompt.
    pub fn pass_ms(&self, running: f64) -> f64 {
        let step = self.step_ms + self.step_ms_per_request * running;
        step * f64::from(self.steps_per_pass)
    }

    /// Returns the speed of a model whose processing times are `pace` times as long.
    #[must_use]
    pub fn scaled_by_pace(self, pace: f64) -> Self {
        Self {
            step_ms: self.step_ms * pace,
            step_ms_per_request: self.step_ms_per_request * pace,
            tokens_per_ms: self.tokens_per_ms / pace.max(1e-3),
            ..self
        }
    }
}

/// Capabilities of the engines of a service.
#[derive(Clone, PartialEq, Debug)]
pub struct EngineSpec {
    /// Number of requests that one group runs concurrently.
    pub slots: u32,
    /// Models by name.
    pub models: IndexMap<ModelName, ModelSpec>,
    /// Maximum number of loads from the weight store that may begin per second.
    pub loads_per_second: f64,
    /// Number of concurrent loads that run at full speed.
    pub parallel_loads: usize,
    /// Time from the readiness of a group until it serves requests.
    pub open_time: Millis,
    /// Speed of the engines, if known.
    pub speed: Option<EngineSpeed>,
}

/// The slow start of a service's upstreams.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct WarmUpSpec {
    /// For how long an upstream is cold after it has started during traffic.
    pub start_time: Millis,
    /// Requests that a cold upstream tolerates from all entry VMs together.
    pub rate: SendRate,
}

/// A service.
#[derive(Clone, PartialEq, Debug)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceName,
    /// Maximum number of connections that an upstream accepts from all entry VMs together.
    pub max_connections: u32,
    /// Set if its upstreams are members of replica groups.
    pub engine: Option<EngineSpec>,
    /// Set if its upstreams start slowly.
    pub warm_up: Option<WarmUpSpec>,
}

/// Size and time limits for what callers send.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CallerLimits {
    /// Maximum size of a request's head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Maximum time until a request's head has arrived.
    pub header_timeout: Millis,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    /// Limits until the first configuration is read.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// The account that a token grants access to.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct AccountGrant {
    /// The account.
    pub account: ClientAccount,
    /// Priority that overrides the one of the route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Regions in which the account's requests may be processed.
    pub home_regions: HomeRegions,
}

/// One version of the configuration.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct ServingConfig {
    /// The operator's version number, which only increases.
    pub version: u64,
    /// Routes by lower-case host name, longest prefix first.
    pub hosts: IndexMap<String, Vec<Route>>,
    /// Services by name.
    pub services: IndexMap<ServiceName, ServiceSpec>,
    /// Accounts by token; none if requests carry no tokens.
    pub accounts: Option<IndexMap<AccountToken, AccountGrant>>,
    /// Limits for what callers send.
    pub caller_limits: CallerLimits,
    /// Whether any route or account has home regions, as [`Self::mark_home_regions`] found.
    pub has_home_regions: bool,
}

impl ServingConfig {
    /// Determines once whether any route or account has home regions, so that requests need not
    /// look them up where none has.
    #[must_use]
    pub fn mark_home_regions(mut self) -> Self {
        let has_home_regions = self.home_regions().next().is_some();
        self.has_home_regions = has_home_regions;
        self
    }

    /// Returns the home regions of all routes and accounts, with repetitions.
    pub fn home_regions(&self) -> impl Iterator<Item = &Region> {
        let routes = self.hosts.values().flatten();
        let grants = self.accounts.iter().flat_map(IndexMap::values);
        let of_routes = routes.flat_map(|route| route.home_regions.iter());
        of_routes.chain(grants.flat_map(|grant| grant.home_regions.iter()))
    }

    /// Returns the grant of a token.
    pub fn grant(&self, token: Option<&AccountToken>) -> Option<&AccountGrant> {
        self.accounts.as_ref()?.get(token?)
    }

    /// Returns the route for a host and a path. Costs one lookup and a scan of the host's routes.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host_name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host_name) {
            Some(routes) => routes,
            None => self.hosts.get(&host_name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}
