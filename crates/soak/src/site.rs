//! What the processes meet: the store and the upstreams, each behind a proxy.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_adapter::sample::{CONFIG_KEY, SampleFeatures, UPSTREAM_PREFIX, config_with_features};
use bergamot_site_standin::upstream::SeenRequest;
use bergamot_site_standin::{
    GroupTimes, SiteStoreOptions, SiteStoreStandin, SiteUpstream, UpstreamOptions,
};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::additions::{AddedGrant, add_routes};
use crate::cold::WARM_UP;
use crate::domains::UpstreamArrivals;
use crate::harmful::CRASH;
use crate::options::SoakOptions;
use crate::proxy::LinkProxy;
use crate::upstream_links::UpstreamLinks;

/// The key that is good all the time.
pub const LASTING_KEY: &str = "key-lasting";
/// How the keys that change begin; the version that gave one out follows.
pub const CHANGING_KEY: &str = "key-";
/// The service of groups, as the sample configuration names it.
const ENGINES: &str = "engines";
/// The plain service.
const DESK: &str = "desk";
/// Upstreams that a request may be sent to that may run once only: more than one, so that it is up to
/// the system.
const MAX_ATTEMPTS: u32 = 3;
/// Times of groups: loads and warm-ups short enough that many fit into a run, and not instant.
const GROUP_TIMES: GroupTimes = GroupTimes {
    load: Duration::from_millis(400),
    warmup: Duration::from_millis(150),
    rejoin: Duration::from_millis(60),
    open: Duration::from_millis(30),
};

/// One run of an upstream.
#[derive(Clone)]
pub struct UpstreamRun {
    /// The stand-in.
    pub upstream: Arc<SiteUpstream>,
    /// When it said that it was leaving.
    pub leaving_since: Option<Instant>,
}

impl UpstreamRun {
    /// Whether it is an engine.
    pub fn is_engine(&self) -> bool {
        self.upstream.id().starts_with(ENGINES)
    }

    /// Whether it is a run of the plain service's instance with this number.
    pub fn is_desk(&self, desk: usize) -> bool {
        self.is_at(UpstreamRole::Desk, desk)
    }

    /// Whether it is a run at this place.
    pub fn is_at(&self, role: UpstreamRole, index: usize) -> bool {
        let id = self.upstream.id().strip_prefix(role.service());
        id.is_some_and(|rest| rest.starts_with(&format!("-{index}-")))
    }
}

/// A place for an upstream: one run after another behind one proxy each.
#[derive(Clone)]
pub struct UpstreamPlace {
    /// The proxy of the run that is there now.
    pub link: LinkProxy,
    /// All runs, the last of them now.
    pub runs: Vec<UpstreamRun>,
}

impl UpstreamPlace {
    /// The run that is there now.
    pub fn now(&self) -> Option<&UpstreamRun> {
        self.runs.last()
    }
}

/// A key that was taken away.
#[derive(Clone, Debug)]
pub struct RevokedKey {
    /// The key.
    pub key: String,
    /// When the store had the configuration without it.
    pub at: Instant,
}

/// Keys by the version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct KeyBook {
    /// The version in the store.
    pub version: u64,
    /// The key that is changed from time to time.
    pub current: String,
    /// Keys that were taken away.
    pub revoked: Vec<RevokedKey>,
    /// Keys that were given out, with routes of their own, and are not taken away.
    pub added: Vec<AddedGrant>,
}

/// Which upstreams a place is for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum UpstreamRole {
    /// Members of groups.
    Engine,
    /// Instances of the plain service.
    Desk,
}

impl UpstreamRole {
    const fn service(self) -> &'static str {
        match self {
            Self::Engine => ENGINES,
            Self::Desk => DESK,
        }
    }

    /// The route of streams that may not be resumed.
    pub(crate) const fn single_route(self) -> &'static str {
        match self {
            Self::Engine => "once",
            Self::Desk => "feed",
        }
    }
}

/// Adds routes for streams that may be sent to one upstream only.
fn add_single_streams(config: &mut Value) {
    let Some(routes) = config["routes"].as_array_mut() else {
        return;
    };
    let stream = routes[0].clone();
    for role in [UpstreamRole::Engine, UpstreamRole::Desk] {
        let mut route = stream.clone();
        let name = role.single_route();
        route["name"] = json!(name);
        route["prefix"] = json!(format!("/{name}/"));
        route["service"] = json!(role.service());
        route["maxAttempts"] = json!(1);
        route["resumable"] = json!(false);
        routes.push(route);
    }
}

fn entry_key(upstream: &SiteUpstream) -> String {
    format!("{UPSTREAM_PREFIX}{}", upstream.id())
}

/// The store and the upstreams.
pub struct SoakSite {
    /// The store.
    pub store: Arc<SiteStoreStandin>,
    /// Where it listens; processes reach it through proxies.
    pub store_addr: SocketAddr,
    /// Engines.
    pub engines: Mutex<Vec<UpstreamPlace>>,
    /// Instances of the plain service.
    pub desks: Mutex<Vec<UpstreamPlace>>,
    /// Keys of callers.
    pub keys: Mutex<KeyBook>,
    /// The links of the processes to all upstreams.
    pub links: Arc<UpstreamLinks>,
    /// Optional parts of the configuration.
    pub features: SampleFeatures,
    /// Whether there are routes for streams that may not be resumed.
    pub has_single_streams: bool,
}

impl SoakSite {
    /// Starts the store and all upstreams.
    ///
    /// # Errors
    /// When a port cannot be bound.
    pub async fn start(options: &SoakOptions) -> anyhow::Result<Arc<Self>> {
        let store = SiteStoreStandin::new(SiteStoreOptions::default());
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        tokio::spawn(Arc::clone(&store).expire_leases());
        let store_addr = bergamot_standin::serve_on(listener, Arc::clone(&store))?;
        let site = Arc::new(Self {
            store,
            store_addr,
            engines: Mutex::default(),
            desks: Mutex::default(),
            keys: Mutex::default(),
            links: Arc::new(UpstreamLinks::new(options.entries)),
            features: SampleFeatures {
                has_warm_up: options.cold > 0,
                has_home_route: options.home_callers > 0,
            },
            has_single_streams: options.silences + options.crowds > 0,
        });
        site.change_keys();
        for index in 0..options.engines {
            let place = site.new_place(UpstreamRole::Engine, index).await?;
            site.engines.lock().push(place);
        }
        for index in 0..options.desks {
            let place = site.new_place(UpstreamRole::Desk, index).await?;
            site.desks.lock().push(place);
        }
        Ok(site)
    }

    /// The places of a role.
    pub const fn places(&self, role: UpstreamRole) -> &Mutex<Vec<UpstreamPlace>> {
        match role {
            UpstreamRole::Engine => &self.engines,
            UpstreamRole::Desk => &self.desks,
        }
    }

    /// The upstream that is at a place now.
    pub fn now(&self, role: UpstreamRole, index: usize) -> Option<Arc<SiteUpstream>> {
        let places = self.places(role).lock();
        places[index].now().map(|run| Arc::clone(&run.upstream))
    }

    async fn new_place(&self, role: UpstreamRole, index: usize) -> anyhow::Result<UpstreamPlace> {
        let (link, run) = self.start_run(role, index, 0).await?;
        Ok(UpstreamPlace {
            link,
            runs: vec![run],
        })
    }

    async fn start_run(
        &self,
        role: UpstreamRole,
        index: usize,
        run: usize,
    ) -> anyhow::Result<(LinkProxy, UpstreamRun)> {
        let link = LinkProxy::start_over(Arc::clone(&self.links)).await?;
        let failure_domain = if index.is_multiple_of(2) {
            "east"
        } else {
            "west"
        };
        let (service, fabric) = match role {
            UpstreamRole::Engine => (ENGINES, Some(format!("{failure_domain}-d0"))),
            UpstreamRole::Desk => (DESK, None),
        };
        let options = UpstreamOptions {
            id: format!("{service}-{index}-{run}"),
            service: service.to_owned(),
            failure_domain: failure_domain.to_owned(),
            fabric,
            times: GROUP_TIMES,
            advertised: Some(link.addr),
            crash: Some(CRASH),
            warm_up: self.features.has_warm_up.then_some(WARM_UP),
        };
        let upstream = SiteUpstream::start(options, Arc::clone(&self.store)).await?;
        link.lead_to(upstream.addr());
        let run = UpstreamRun {
            upstream,
            leaving_since: None,
        };
        Ok((link, run))
    }

    /// Puts another run at a place.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn replace(&self, role: UpstreamRole, index: usize) -> anyhow::Result<()> {
        let run = self.places(role).lock()[index].runs.len();
        let (link, started) = self.start_run(role, index, run).await?;
        let mut places = self.places(role).lock();
        places[index].link = link;
        places[index].runs.push(started);
        Ok(())
    }

    /// The upstream at a place, unless it is leaving or silent.
    pub fn staying(&self, role: UpstreamRole, index: usize) -> Option<Arc<SiteUpstream>> {
        let places = self.places(role).lock();
        let run = places[index].now()?;
        let stays = run.leaving_since.is_none() && !run.upstream.is_dead();
        stays.then(|| Arc::clone(&run.upstream))
    }

    /// Writes these bytes in the place of an upstream's entry.
    pub fn write_entry(&self, upstream: &SiteUpstream, bytes: &[u8]) {
        self.store.put(&entry_key(upstream), bytes);
    }

    /// Removes an upstream's entry.
    pub fn remove_entry(&self, upstream: &SiteUpstream) {
        self.store.remove(&entry_key(upstream));
    }

    /// Lets the run at a place fall silent. False when it is leaving or silent already.
    pub fn kill(&self, role: UpstreamRole, index: usize) -> bool {
        let places = self.places(role).lock();
        let Some(run) = places[index].now() else {
            return false;
        };
        if run.leaving_since.is_some() || run.upstream.is_dead() {
            return false;
        }
        run.upstream.hang_and_unregister();
        true
    }

    /// Lets the run at a place say that it leaves. False when it is leaving or silent already.
    pub fn drain(&self, role: UpstreamRole, index: usize) -> bool {
        let mut places = self.places(role).lock();
        let Some(run) = places[index].runs.last_mut() else {
            return false;
        };
        if run.leaving_since.is_some() || run.upstream.is_dead() {
            return false;
        }
        run.upstream.drain();
        run.leaving_since = Some(Instant::now());
        true
    }

    /// Takes the changing key away and gives out another, with the next version.
    pub fn change_keys(&self) {
        let mut keys = self.keys.lock();
        keys.version += 1;
        let next = format!("{CHANGING_KEY}{}", keys.version);
        let key = std::mem::replace(&mut keys.current, next);
        self.write_config(&keys);
        if !key.is_empty() {
            let at = Instant::now();
            keys.revoked.push(RevokedKey { key, at });
        }
    }

    pub(crate) fn write_config(&self, keys: &KeyBook) {
        let mut given_out = vec![LASTING_KEY.to_owned(), keys.current.clone()];
        given_out.extend(keys.added.iter().map(AddedGrant::key));
        let given_out: Vec<&str> = given_out.iter().map(String::as_str).collect();
        let mut config =
            config_with_features(keys.version, &given_out, MAX_ATTEMPTS, self.features);
        if self.has_single_streams {
            add_single_streams(&mut config);
        }
        add_routes(&mut config, &keys.added);
        let text = config.to_string();
        self.store.put(CONFIG_KEY, text.as_bytes());
    }

    /// All runs that there were.
    pub fn all_runs(&self) -> Vec<UpstreamRun> {
        let engines = self.engines.lock();
        let desks = self.desks.lock();
        let places = engines.iter().chain(desks.iter());
        places.flat_map(|place| place.runs.clone()).collect()
    }

    /// What reached each upstream, run or not.
    pub fn requests_arrived(&self) -> Vec<UpstreamArrivals> {
        let mut arrived = Vec::new();
        for role in [UpstreamRole::Engine, UpstreamRole::Desk] {
            for (index, place) in self.places(role).lock().iter().enumerate() {
                let runs = place.runs.iter();
                arrived.extend(runs.map(|run| UpstreamArrivals {
                    upstream: run.upstream.id().to_owned(),
                    role,
                    place: index,
                    failure_domain: run.upstream.failure_domain().to_owned(),
                    requests: run.upstream.arrived(),
                }));
            }
        }
        arrived
    }

    /// What upstreams began to run, by the request's id.
    pub fn requests_seen(&self) -> BTreeMap<String, Vec<(UpstreamRun, SeenRequest)>> {
        let mut seen: BTreeMap<String, Vec<_>> = BTreeMap::new();
        for run in self.all_runs() {
            for request in run.upstream.seen() {
                let id = request.id().to_owned();
                seen.entry(id).or_default().push((run.clone(), request));
            }
        }
        seen
    }
}
