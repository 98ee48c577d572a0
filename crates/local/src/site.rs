//! One daemon on a stand-in of the users' platform, for the first look.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use bergamot_adapter::{SitePorts, SiteSettings, sample};
use bergamot_gateway::GatewayDaemon;
use bergamot_platform::HttpClient;
use bergamot_platform::http::build;
use bergamot_site_standin::{
    GroupTimes, SiteStoreOptions, SiteStoreStandin, SiteUpstream, UpstreamOptions,
};
use bergamot_standin::serve_on;
use bytes::Bytes;
use hyper::Method;
use tokio::runtime::Runtime;

/// Engine upstreams, all in one fabric domain: two groups of two and a spare.
const ENGINES: usize = 5;
/// Instances of the plain service.
const DESKS: usize = 2;
/// The key that callers send.
const KEY: &str = "key-1";
/// The longest wait for the first group.
const PATIENCE: Duration = Duration::from_secs(20);
/// Time between two looks while waiting.
const LOOK: Duration = Duration::from_millis(50);

/// The daemon and what it meets.
pub struct SiteFleet {
    runtime: Runtime,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    _upstreams: Vec<Arc<SiteUpstream>>,
}

impl SiteFleet {
    /// Starts everything on ephemeral ports. The daemon ends with the process.
    ///
    /// # Errors
    /// When a port or a thread cannot be had.
    pub fn start() -> anyhow::Result<Self> {
        let runtime = Runtime::new()?;
        let store = SiteStoreStandin::new(SiteStoreOptions::default());
        let store_addr = runtime.block_on(async {
            let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await?;
            tokio::spawn(Arc::clone(&store).expire_leases());
            serve_on(listener, Arc::clone(&store))
        })?;
        let config = sample::config(1, &[KEY]).to_string();
        store.put(sample::CONFIG_KEY, config.as_bytes());
        let mut upstreams = Vec::new();
        for index in 0..ENGINES + DESKS {
            let is_engine = index < ENGINES;
            let options = UpstreamOptions {
                id: format!("upstream-{index}"),
                service: if is_engine { "engines" } else { "desk" }.to_owned(),
                failure_domain: "east".to_owned(),
                fabric: is_engine.then(|| "east-d0".to_owned()),
                times: GroupTimes::default(),
                advertised: None,
                crash: None,
                warm_up: None,
            };
            let started = SiteUpstream::start(options, Arc::clone(&store));
            upstreams.push(runtime.block_on(started)?);
        }
        let (callers, ready, metrics) = (free_addr()?, free_addr()?, free_addr()?);
        let peers = free_addr()?.port();
        let text = sample::SampleSettings::local(store_addr, callers, ready, peers).to_text();
        let settings = SiteSettings::parse(&text).map_err(anyhow::Error::msg)?;
        let site = settings.site(metrics.port());
        let daemon = GatewayDaemon::new(site, SitePorts::new(store_addr));
        std::thread::Builder::new()
            .name("daemon".to_owned())
            .spawn(move || {
                if let Err(error) = daemon.run() {
                    log::error!("event=daemon_ended reason={error:?}");
                }
            })?;
        Ok(Self {
            runtime,
            callers,
            metrics,
            _upstreams: upstreams,
        })
    }

    /// Asks for a stream until a group answers, and gives the answer's text.
    ///
    /// # Errors
    /// When no group serves in time.
    pub fn ask(&self) -> anyhow::Result<String> {
        let end = Instant::now() + PATIENCE;
        loop {
            let asked = self.runtime.block_on(self.ask_once());
            match asked {
                Ok((200, text)) => return Ok(text),
                Ok((status, text)) if Instant::now() > end => bail!("{status} {text}"),
                Err(error) if Instant::now() > end => return Err(error),
                _ => std::thread::sleep(LOOK),
            }
        }
    }

    async fn ask_once(&self) -> anyhow::Result<(u16, String)> {
        let url = format!("http://{}/stream/lot-12", self.callers);
        let mut request = build(Method::POST, &url, Bytes::from_static(b"Describe lot 12."))?;
        let headers = request.headers_mut();
        let sample = sample::SampleRequest {
            id: "first-look",
            key: KEY,
            answer_tokens: Some(28),
        };
        for (name, value) in sample.headers() {
            headers.insert(name, value.parse().context(name)?);
        }
        let caller = HttpClient::new(PATIENCE);
        let reply = caller.call(request, PATIENCE).await?;
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        Ok((reply.status.as_u16(), text))
    }
}

fn free_addr() -> anyhow::Result<SocketAddr> {
    Ok(TcpListener::bind(("127.0.0.1", 0))?.local_addr()?)
}
