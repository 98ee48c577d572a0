//! Runs one process of the program with a stand-in for the store and one upstream of a plain service.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_adapter::SETTINGS_VARIABLE;
use bergamot_adapter::sample::{
    CALLER_PORT, CONFIG_KEY, METRICS_PORT, READY_PORT, SampleRequest, SampleSettings, config,
};
use bergamot_ports::VmLimits;
use bergamot_site_standin::{
    GroupTimes, SiteStoreOptions, SiteStoreStandin, SiteUpstream, UpstreamOptions,
};
use bergamot_standin::fault::FaultSet;
use tokio::runtime::Runtime;

/// Limit on the wait for a condition or a response.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay of the upstream's responses, in milliseconds.
const RESPONSE_DELAY_MS: u64 = 900;

pub fn program(settings: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bergamot-entry"));
    command.env(SETTINGS_VARIABLE, settings);
    command.args(["--platform", "--metrics-port", &METRICS_PORT.to_string()]);
    command
}

pub fn write_settings(name: &str, text: &str) -> PathBuf {
    let name = format!("bergamot-{name}-{}.toml", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("the settings file cannot be written");
    path
}

pub fn sample_settings(ip: Ipv4Addr, store: SocketAddr) -> String {
    SampleSettings::on_address(ip, store).to_text()
}

/// A running process with its store and the only upstream of a plain service.
pub struct RunningEntry {
    pub process: Child,
    pub settings: PathBuf,
    pub caller_addr: SocketAddr,
    pub ready_addr: SocketAddr,
    pub desk: Arc<SiteUpstream>,
    pub store: Arc<SiteStoreStandin>,
    pub runtime: Runtime,
}

impl RunningEntry {
    pub fn start(ip: Ipv4Addr) -> Self {
        let config = config(1, &["key-1"]);
        let entry = Self::start_with(ip, &config, VmLimits::default());
        entry.desk.faults.set(FaultSet {
            delay_ms: RESPONSE_DELAY_MS,
            ..FaultSet::default()
        });
        entry
    }

    /// Starts a process on a VM with these limits, whose upstream responds without a delay.
    pub fn start_with(ip: Ipv4Addr, config: &serde_json::Value, limits: VmLimits) -> Self {
        let runtime = Runtime::new().expect("the runtime cannot be started");
        let store = SiteStoreStandin::new(SiteStoreOptions::default());
        let store_addr = runtime.block_on(async {
            let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await;
            let listener = listener.expect("no port is free");
            tokio::spawn(Arc::clone(&store).expire_leases());
            bergamot_standin::serve_on(listener, Arc::clone(&store))
                .expect("the store stand-in cannot be started")
        });
        store.put(CONFIG_KEY, config.to_string().as_bytes());
        let options = UpstreamOptions {
            id: "d0".to_owned(),
            service: "desk".to_owned(),
            failure_domain: "east".to_owned(),
            fabric: None,
            times: GroupTimes::default(),
            advertised: None,
            crash: None,
            warm_up: None,
        };
        let desk = SiteUpstream::start(options, Arc::clone(&store));
        let desk = runtime
            .block_on(desk)
            .expect("the upstream stand-in cannot be started");
        let sample = SampleSettings {
            limits,
            ..SampleSettings::on_address(ip, store_addr)
        };
        let settings = write_settings(&ip.to_string(), &sample.to_text());
        let process = program(&settings)
            .stdout(Stdio::null())
            .spawn()
            .expect("the process cannot be started");
        let addr_of = |port: u16| SocketAddr::from((ip, port));
        let entry = Self {
            process,
            settings,
            caller_addr: addr_of(CALLER_PORT),
            ready_addr: addr_of(READY_PORT),
            desk,
            store,
            runtime,
        };
        entry.wait_until("readiness", || entry.is_ready());
        entry.wait_until("first successful response", || {
            send_request(entry.caller_addr).is_some_and(|reply| reply.starts_with("HTTP/1.1 200"))
        });
        entry
    }

    pub fn wait_until(&self, condition: &str, is_met: impl Fn() -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !is_met() {
            assert!(
                Instant::now() < deadline,
                "timed out waiting for {condition}"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn is_ready(&self) -> bool {
        let text = "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        exchange(self.ready_addr, text).is_some_and(|reply| reply.starts_with("HTTP/1.1 200"))
    }

    pub fn signal(&self, name: &str) {
        let id = self.process.id().to_string();
        let kill_status = Command::new("kill").args(["-s", name, &id]).status();
        assert!(kill_status.is_ok_and(|status| status.success()), "{name}");
    }

    /// Signals the process while a request is in flight at the upstream, and returns the response.
    pub fn signal_during_request(&self, name: &str) -> String {
        let seen_before = self.desk.seen().len();
        let caller_addr = self.caller_addr;
        let caller = std::thread::spawn(move || send_request(caller_addr));
        self.wait_until("request in flight", || self.desk.seen().len() > seen_before);
        self.signal(name);
        let reply = caller.join().expect("caller thread panicked");
        reply.expect("the caller received no response")
    }
}

impl Drop for RunningEntry {
    fn drop(&mut self) {
        // The process has exited already if the test passed.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

pub fn exchange(addr: SocketAddr, text: &str) -> Option<String> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply).ok()?;
    Some(reply)
}

pub fn send_request(caller_addr: SocketAddr) -> Option<String> {
    let mut text = "GET /read/x HTTP/1.1\r\nConnection: close\r\n".to_owned();
    let request = SampleRequest {
        id: "first-look",
        key: "key-1",
        answer_tokens: None,
    };
    for (name, value) in request.headers() {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    exchange(caller_addr, &text)
}
