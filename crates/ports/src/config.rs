//! The configuration in force: routes, services, client accounts, limits.

use bergamot_types::AccountToken;
use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// Whether a request may run more than once.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum RouteKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once for each request id.
    NonIdempotent,
    /// Answered with events; runs at most once unless the route is resumable.
    Streaming,
}

impl RouteKind {
    /// The kind as it stands in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Streaming => "streaming",
        }
    }
}

/// One service that a route sends to, with its share.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its part of the requests, relative to the route's other targets.
    pub weight: u32,
}

/// One route.
#[derive(Clone, PartialEq, Debug)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The start of the paths it takes, with a slash at both ends.
    pub prefix: String,
    /// Whether its requests may be repeated.
    pub kind: RouteKind,
    /// The longest time a caller is kept waiting.
    pub timeout: Millis,
    /// The time within which an answer is on time.
    pub objective: Millis,
    /// The longest pause between two events that is still on time.
    pub pause_objective: Option<Millis>,
    /// Upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Whether it takes requests without an account's key.
    pub is_public: bool,
    /// Whether a broken stream may go on at another upstream.
    pub is_resumable: bool,
    /// Where its requests go.
    pub targets: Vec<RouteTarget>,
}

impl Route {
    /// Whether a request that may have run may be sent once more.
    pub fn is_repeatable(&self) -> bool {
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
    /// Upstreams that one replica spans.
    pub group_size: usize,
    /// Its expected share of the work, as a part of the upstreams, 0 to 1.
    pub demand_share: f64,
    /// Factor on all times of its groups; lower is faster.
    pub pace: f64,
    /// Time to load its weights from the weight store.
    pub load_time: Millis,
    /// Time to get ready where its weights are on the host.
    pub warmup_time: Millis,
}

/// How fast a replica is when its model has a pace of 1.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct EngineSpeed {
    /// Time of one step, in which each running request gets a token, in milliseconds.
    pub step_ms: f64,
    /// Added to it for each running request, in milliseconds.
    pub step_ms_per_request: f64,
    /// Steps of a pass, after which events leave and new prompts are read.
    pub steps_per_pass: u32,
    /// Prompt tokens read in a millisecond.
    pub tokens_per_ms: f64,
}

impl EngineSpeed {
    /// The time of a pass with so many running requests that reads no prompt, in milliseconds.
    pub fn pass_ms(&self, running: f64) -> f64 {
        let step = self.step_ms + self.step_ms_per_request * running;
        step * f64::from(self.steps_per_pass)
    }

    /// The speed of a model whose times are `pace` times as long.
    #[must_use]
    pub fn paced(self, pace: f64) -> Self {
        Self {
            step_ms: self.step_ms * pace,
            step_ms_per_request: self.step_ms_per_request * pace,
            tokens_per_ms: self.tokens_per_ms / pace.max(1e-3),
            ..self
        }
    }
}

/// What the engines of a service can do.
#[derive(Clone, PartialEq, Debug)]
pub struct EngineSpec {
    /// Requests one group runs at once.
    pub slots: u32,
    /// The models by name.
    pub models: IndexMap<ModelName, ModelSpec>,
    /// Loads from the weight store that may begin in a second.
    pub loads_per_second: f64,
    /// Loads that run at full speed side by side.
    pub parallel_loads: usize,
    /// Time a ready group takes to begin serving.
    pub open_time: Millis,
    /// How fast they are, where it is known.
    pub speed: Option<EngineSpeed>,
}

/// One service.
#[derive(Clone, PartialEq, Debug)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceName,
    /// Connections one upstream takes from all entry VMs together.
    pub max_connections: u32,
    /// Set where its upstreams are members of replica groups.
    pub engine: Option<EngineSpec>,
}

/// What a caller may send, and how slowly.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head to arrive.
    pub header_timeout: Millis,
    /// Time a connection may stay idle.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    /// What holds before the first configuration is read.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// An account as a key leads to it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct AccountGrant {
    /// The account.
    pub account: ClientAccount,
    /// Its rank, which goes before the route's; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// One version of the configuration.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct ServingConfig {
    /// The operator's version number. It only grows.
    pub version: u64,
    /// Routes by host in lower case, longest prefix first.
    pub hosts: IndexMap<String, Vec<Route>>,
    /// Services by name.
    pub services: IndexMap<ServiceName, ServiceSpec>,
    /// Accounts by key; none where requests carry no keys.
    pub accounts: Option<IndexMap<AccountToken, AccountGrant>>,
    /// Limits on what callers send.
    pub caller_limits: CallerLimits,
}

impl ServingConfig {
    /// The route for a host and a path. Costs one look-up and a scan of the host's routes.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}
