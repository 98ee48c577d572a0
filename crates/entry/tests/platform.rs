//! The real program on the platform: its checked settings, and its signals.

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

fn program(settings: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bergamot-entry"));
    command.env(SETTINGS_VARIABLE, settings);
    command.args(["--platform", "--metrics-port", &METRICS_PORT.to_string()]);
    command
}

fn write_settings(name: &str, text: &str) -> PathBuf {
    let name = format!("bergamot-{name}-{}.toml", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("the folder can be written");
    path
}

fn sample_settings(ip: Ipv4Addr, store: SocketAddr) -> String {
    SampleSettings::on_address(ip, store).to_text()
}

#[test]
fn settings_are_checked_and_errors_name_the_field() {
    struct CheckCase {
        name: &'static str,
        before: &'static str,
        after: &'static str,
        /// What the error says; none where the settings are good.
        error: Option<&'static str>,
    }
    let cases = [
        CheckCase {
            name: "as they are, with a field of tomorrow",
            before: "",
            after: "",
            error: None,
        },
        CheckCase {
            name: "a field is missing",
            before: "drainMs = 2000",
            after: "",
            error: Some("drainMs"),
        },
        CheckCase {
            name: "an address is none",
            before: "[listen]\nfront = \"",
            after: "[listen]\nfront = \"somewhere ",
            error: Some("front"),
        },
        CheckCase {
            name: "not the format",
            before: "[listen]",
            after: "[listen",
            error: Some("expected"),
        },
    ];
    let store = SocketAddr::from(([127, 0, 0, 1], 9));
    for case in cases {
        let text = sample_settings(Ipv4Addr::LOCALHOST, store);
        let path = write_settings("check", &text.replacen(case.before, case.after, 1));
        let output = program(&path).arg("--check").output().expect("it starts");
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(
            output.status.success(),
            case.error.is_none(),
            "{}",
            case.name
        );
        let said = case.error.is_none_or(|words| error.contains(words));
        assert!(said, "{}: {error}", case.name);
        std::fs::remove_file(path).expect("it was written");
    }
}

/// One process before a store and one instance of a plain service.
struct RunningEntry {
    process: Child,
    settings: PathBuf,
    front: SocketAddr,
    ready: SocketAddr,
    desk: Arc<SiteUpstream>,
    _runtime: Runtime,
}

impl RunningEntry {
    fn start(ip: Ipv4Addr) -> Self {
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

    fn wait(&self, what: &str, holds: impl Fn() -> bool) {
        let end = Instant::now() + PATIENCE;
        while !holds() {
            assert!(Instant::now() < end, "{what} did not come true");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn is_ready(&self) -> bool {
        let text = "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        exchange(self.ready, text).is_some_and(|reply| reply.starts_with("HTTP/1.1 200"))
    }

    fn signal(&self, name: &str) {
        let id = self.process.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.is_ok_and(|status| status.success()), "{name}");
    }

    /// Signals the process while a request is at the upstream, and gives its answer.
    fn signal_during_a_request(&self, name: &str) -> String {
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

fn exchange(addr: SocketAddr, text: &str) -> Option<String> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply).ok()?;
    Some(reply)
}

fn ask(front: SocketAddr) -> Option<String> {
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

#[test]
fn a_hang_up_reads_the_settings_again_and_cuts_nothing() {
    let entry = RunningEntry::start(Ipv4Addr::new(127, 77, 1, 1));
    let text = std::fs::read_to_string(&entry.settings).expect("it was written");
    let text = text.replace("drainMs = 2000", "drainMs = 2500");
    std::fs::write(&entry.settings, text).expect("it can be written");
    let reply = entry.signal_during_a_request("HUP");
    assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    assert!(entry.is_ready());
    // Settings that cannot be read change nothing either.
    std::fs::write(&entry.settings, "[listen").expect("it can be written");
    let reply = entry.signal_during_a_request("HUP");
    assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    assert!(entry.is_ready());
}

#[test]
fn a_hang_up_while_the_process_starts_does_not_end_it() {
    // The settings come through a pipe, which holds the start up until something is written.
    let pipe = std::env::temp_dir().join(format!("bergamot-pipe-{}", std::process::id()));
    let made = Command::new("mkfifo").arg(&pipe).status();
    assert!(made.is_ok_and(|status| status.success()));
    let mut process = program(&pipe)
        .arg("--check")
        .stdout(Stdio::null())
        .spawn()
        .expect("it starts");
    std::thread::sleep(Duration::from_millis(300));
    let id = process.id().to_string();
    let sent = Command::new("kill").args(["-s", "HUP", &id]).status();
    assert!(sent.is_ok_and(|status| status.success()));
    std::thread::sleep(Duration::from_millis(100));
    let ended = process.try_wait().expect("it can be asked for");
    if ended.is_none() {
        let store = SocketAddr::from(([127, 0, 0, 1], 9));
        let text = sample_settings(Ipv4Addr::LOCALHOST, store);
        std::fs::write(&pipe, text).expect("it reads");
    }
    let status = process.wait().expect("it ends");
    std::fs::remove_file(&pipe).expect("it was made");
    assert!(status.success(), "{status}");
}

#[test]
fn a_stop_is_told_at_once_and_cuts_nothing() {
    let mut entry = RunningEntry::start(Ipv4Addr::new(127, 77, 1, 2));
    let reply = entry.signal_during_a_request("TERM");
    assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    assert!(!entry.is_ready(), "it still wants callers");
    // Callers who have not heard of the stop yet are served.
    let late = ask(entry.front).expect("there is an answer");
    assert!(late.starts_with("HTTP/1.1 200"), "{late}");
    let began = Instant::now();
    let status = entry.process.wait().expect("it ends");
    assert!(status.success(), "{status}");
    assert!(
        began.elapsed() < Duration::from_secs(8),
        "{:?}",
        began.elapsed()
    );
}
