//! One process of the program before a stand-in of the store and one instance of a plain service.
#![allow(dead_code, reason = "each test file uses a part")]

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
use bergamot_site_standin::{
    GroupTimes, SiteStoreOptions, SiteStoreStandin, SiteUpstream, UpstreamOptions,
};
use bergamot_standin::fault::FaultSet;
use tokio::runtime::Runtime;

/// The longest a test waits for something to come true.
const PATIENCE: Duration = Duration::from_secs(20);
/// How long the upstream takes for an answer, in milliseconds.
const ANSWER_DELAY_MS: u64 = 900;

pub fn program(settings: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bergamot-entry"));
    command.env(SETTINGS_VARIABLE, settings);
    command.args(["--platform", "--metrics-port", &METRICS_PORT.to_string()]);
    command
}

pub fn write_settings(name: &str, text: &str) -> PathBuf {
    let name = format!("bergamot-{name}-{}.toml", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("the folder can be written");
    path
}

pub fn sample_settings(ip: Ipv4Addr, store: SocketAddr) -> String {
    SampleSettings::on_address(ip, store).to_text()
}

/// One process before a store and one instance of a plain service.
pub struct RunningEntry {
    pub process: Child,
    pub settings: PathBuf,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub desk: Arc<SiteUpstream>,
    _runtime: Runtime,
}

impl RunningEntry {
    pub fn start(ip: Ipv4Addr) -> Self {
        let runtime = Runtime::new().expect("a runtime starts");
        let store = SiteStoreStandin::new(SiteStoreOptions::default());
        let store_addr = runtime.block_on(async {
            let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await;
            let listener = listener.expect("a port is free");
            tokio::spawn(Arc::clone(&store).expire_leases());
            bergamot_standin::serve_on(listener, Arc::clone(&store)).expect("the store serves")
        });
        let text = config(1, &["key-1"]).to_string();
        store.put(CONFIG_KEY, text.as_bytes());
        let options = UpstreamOptions {
            id: "d0".to_owned(),
            service: "desk".to_owned(),
            failure_domain: "east".to_owned(),
            fabric: None,
            times: GroupTimes::default(),
            advertised: None,
            crash: None,
        };
        let desk = SiteUpstream::start(options, Arc::clone(&store));
        let desk = runtime.block_on(desk).expect("an upstream starts");
        let settings = write_settings(&ip.to_string(), &sample_settings(ip, store_addr));
        let process = program(&settings)
            .stdout(Stdio::null())
            .spawn()
            .expect("it starts");
        let port = |port: u16| SocketAddr::from((ip, port));
        let entry = Self {
            process,
            settings,
            front: port(CALLER_PORT),
            ready: port(READY_PORT),
            desk,
            _runtime: runtime,
        };
        entry.wait("it is ready", || entry.is_ready());
        entry.wait("it serves", || {
            ask(entry.front).is_some_and(|reply| reply.starts_with("HTTP/1.1 200"))
        });
        entry.desk.faults.set(FaultSet {
            delay_ms: ANSWER_DELAY_MS,
            ..FaultSet::default()
        });
        entry
    }

    pub fn wait(&self, what: &str, holds: impl Fn() -> bool) {
        let end = Instant::now() + PATIENCE;
        while !holds() {
            assert!(Instant::now() < end, "{what} did not come true");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn is_ready(&self) -> bool {
        let text = "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        exchange(self.ready, text).is_some_and(|reply| reply.starts_with("HTTP/1.1 200"))
    }

    pub fn signal(&self, name: &str) {
        let id = self.process.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.is_ok_and(|status| status.success()), "{name}");
    }

    /// Signals the process while a request is at the upstream, and gives its answer.
    pub fn signal_during_a_request(&self, name: &str) -> String {
        let before = self.desk.seen().len();
        let front = self.front;
        let asked = std::thread::spawn(move || ask(front));
        self.wait("the request runs", || self.desk.seen().len() > before);
        self.signal(name);
        let reply = asked.join().expect("the caller ends");
        reply.expect("there is an answer")
    }
}

impl Drop for RunningEntry {
    fn drop(&mut self) {
        // Ended already where the test went well.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

pub fn exchange(addr: SocketAddr, text: &str) -> Option<String> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply).ok()?;
    Some(reply)
}

pub fn ask(front: SocketAddr) -> Option<String> {
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
    exchange(front, &text)
}
