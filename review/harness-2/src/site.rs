//! A small deployment: the store, runners of a plain service, and their heartbeats.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Handler, serve};
use crate::record::millis;
use crate::runner::Runner;
use crate::store::Store;

/// `heartbeatMs` of the deployment.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// `contactMs`, after which a machine is in touch again.
pub const CONTACT: Duration = Duration::from_millis(3_000);
/// `drainMs`.
pub const DRAIN: Duration = Duration::from_millis(2_000);
/// Time that a request takes at a runner.
const WORK: Duration = Duration::from_millis(60);
const RUNNERS: usize = 3;

pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

pub struct Site {
    pub store: Arc<Store>,
    pub store_addr: std::net::SocketAddr,
    /// Those that write their entries.
    runners: Mutex<Vec<Arc<Runner>>>,
    all_runners: Mutex<Vec<Arc<Runner>>>,
    heartbeats: AtomicU64,
    last_heartbeat: Mutex<Instant>,
    started: AtomicU64,
}

/// What was seen of a runner that left.
pub struct Departure {
    /// When the store had accepted it.
    pub acked_at: Instant,
    /// From when on the machine that the requests go through is in touch.
    pub in_touch_from: Instant,
    pub runner: Arc<Runner>,
}

impl Site {
    pub fn start(has_models: bool) -> std::io::Result<Arc<Self>> {
        let store = Store::start();
        let served = Arc::clone(&store);
        let handler: Handler = Arc::new(move |request| Some(served.answer(&request)));
        let site = Arc::new(Self {
            store_addr: serve(handler)?,
            store,
            runners: Mutex::default(),
            all_runners: Mutex::default(),
            heartbeats: AtomicU64::new(1),
            last_heartbeat: Mutex::new(Instant::now()),
            started: AtomicU64::new(0),
        });
        site.store.put("op/config", &config(has_models));
        for _ in 0..RUNNERS {
            site.add_runner()?;
        }
        let beating = Arc::clone(&site);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                let sequence = beating.heartbeats.fetch_add(1, Ordering::SeqCst) + 1;
                *beating.last_heartbeat.lock().unwrap() = Instant::now();
                for runner in beating.runners.lock().unwrap().iter() {
                    runner.heartbeat(sequence);
                }
            }
        });
        Ok(site)
    }

    pub fn add_runner(&self) -> std::io::Result<()> {
        let number = self.started.fetch_add(1, Ordering::SeqCst) + 1;
        let id = format!("i-{number:08x}");
        let place = ("wuno96b", "kecskemet");
        let runner = Runner::start(&self.store, &id, place, WORK)?;
        self.all_runners.lock().unwrap().push(Arc::clone(&runner));
        self.runners.lock().unwrap().push(runner);
        Ok(())
    }

    /// Returns all runners that there were.
    pub fn all_runners(&self) -> Vec<Arc<Runner>> {
        self.all_runners.lock().unwrap().clone()
    }

    /// Takes the runner that is there for the longest time out of those that go on.
    pub fn next_leaver(&self) -> Arc<Runner> {
        self.runners.lock().unwrap().remove(0)
    }

    pub fn sequence(&self) -> u64 {
        self.heartbeats.load(Ordering::SeqCst)
    }

    /// Waits until so long after the next heartbeat.
    pub fn wait_after_heartbeat(&self, delay: Duration) {
        let before = *self.last_heartbeat.lock().unwrap();
        loop {
            let last = *self.last_heartbeat.lock().unwrap();
            if last != before {
                let left = (last + delay).saturating_duration_since(Instant::now());
                return thread::sleep(left);
            }
            thread::sleep(millis(1));
        }
    }
}

/// The first configuration. With `has_models` there is a service of model runners, which have not
/// been started: the machines elect one that would form their groups.
pub fn config(has_models: bool) -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"ficu95.example\",\"prefix\":\"/{name}/\",\
             \"routeKind\":\"{kind}\",\"timeoutMs\":1500,\"latencySloMs\":300,\"priority\":2,\
             \"service\":\"wuno96b\",\"maxAttempts\":{attempts},\"public\":false}}"
        )
    };
    let models = "{\"name\":\"huvo11a\",\"healthPath\":\"/health\",\"maxConns\":474,\"engine\":\
        {\"slots\":26,\"models\":[{\"name\":\"daka510000\",\"size\":3,\"share\":1.0,\"pace\":1.0,\
        \"loadS\":12.0,\"warmupS\":1.1}],\"loadsPerS\":4.5,\"loads_at_once\":6,\"keeps\":1,\
        \"formMs\":300.0}},";
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{}{{\"name\":\"wuno96b\",\
         \"healthPath\":\"/health\",\"maxConns\":110}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"]}}]}}",
        route("bid", "non_idempotent", 1),
        route("read", "idempotent", 2),
        if has_models { models } else { "" }
    )
}
