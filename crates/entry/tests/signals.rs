//! Signals to the program on the product's own interface, before its first bundle and while it stops.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use bergamot_entry::EntrySettings;

/// The longest a test waits for a process to end.
const PATIENCE: Duration = Duration::from_secs(20);
/// The longest a process takes to end after its second signal, or after its first where nobody is connected: the notice to peers, and
/// a machine that is busy.
const PROMPT: Duration = Duration::from_secs(3);

/// One process without store or peers.
struct LoneEntry {
    process: Child,
    settings: PathBuf,
    front: SocketAddr,
}

impl LoneEntry {
    /// Starts it, and returns as soon as it says that it has started.
    fn start(name: &str) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let sample = EntrySettings {
            caller_addr: any,
            peer_addr: any,
            admin_addr: any,
            kv_url: "http://127.0.0.1:9".to_owned(),
            vm_list_url: "http://127.0.0.1:9".to_owned(),
            ..EntrySettings::sample()
        };
        let text = serde_json::to_string(&sample).expect("JSON");
        let file = format!("bergamot-signals-{name}-{}.json", std::process::id());
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text).expect("the folder can be written");
        let mut process = Command::new(env!("CARGO_BIN_EXE_bergamot-entry"))
            .arg("--settings")
            .arg(&settings)
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        let log = process.stderr.take().expect("it logs");
        let mut lines = BufReader::new(log).lines().map_while(Result::ok);
        let started = lines.find(|line| line.contains("event=entry_started"));
        let started = started.expect("it says so");
        // The rest is read, so that the process can write it.
        std::thread::spawn(move || lines.count());
        let front = started
            .split_once("caller=")
            .and_then(|(_, rest)| rest.split(' ').next())
            .and_then(|addr| addr.parse().ok());
        Self {
            process,
            settings,
            front: front.expect("it says where callers connect"),
        }
    }

    fn signal(&self) {
        let id = self.process.id().to_string();
        let sent = Command::new("kill").args(["-s", "TERM", &id]).status();
        assert!(sent.is_ok_and(|status| status.success()));
    }

    /// How it ended, and how long that took.
    fn end(&mut self) -> (ExitStatus, Duration) {
        let began = Instant::now();
        loop {
            if let Some(status) = self.process.try_wait().expect("it is a child") {
                return (status, began.elapsed());
            }
            assert!(began.elapsed() < PATIENCE, "it does not end");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for LoneEntry {
    fn drop(&mut self) {
        // Ended already where the test went well.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// A signal that comes as soon as callers can connect stops the process as any other, also before its first bundle.
#[test]
fn a_signal_right_after_the_start_is_a_planned_stop() {
    const STARTS: usize = 12;
    let starts = (0..STARTS).map(|number| {
        std::thread::spawn(move || {
            let mut entry = LoneEntry::start(&format!("early-{number}"));
            entry.signal();
            entry.end()
        })
    });
    let starts: Vec<_> = starts.collect();
    let ends = starts.into_iter().map(|start| start.join().expect("ends"));
    let ends: Vec<_> = ends.collect();
    let planned = |(status, took): &(ExitStatus, Duration)| status.success() && *took < PROMPT;
    assert!(ends.iter().all(planned), "{ends:?}");
}

/// Before the first bundle a request that comes while the process stops gets its refusal.
#[test]
fn a_request_before_the_first_bundle_is_refused_while_stopping() {
    let mut entry = LoneEntry::start("refused");
    std::thread::sleep(Duration::from_millis(200));
    entry.signal();
    std::thread::sleep(Duration::from_millis(100));
    let mut stream = TcpStream::connect(entry.front).expect("it listens");
    let head = b"POST /services/ring/confirm HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    stream.write_all(head).expect("it is open");
    let mut reply = String::new();
    stream.read_to_string(&mut reply).expect("it is answered");
    assert!(reply.starts_with("HTTP/1.1 503"), "{reply}");
    assert!(reply.contains("bergamot-ran: no"), "{reply}");
    let (status, took) = entry.end();
    assert!(status.success() && took < PROMPT, "{status} {took:?}");
}

/// A second signal ends a stop that waits for a caller.
#[test]
fn a_second_signal_ends_a_stop_that_waits() {
    let mut entry = LoneEntry::start("second");
    std::thread::sleep(Duration::from_millis(200));
    let mut stream = TcpStream::connect(entry.front).expect("it listens");
    stream
        .write_all(b"POST /x HTTP/1.1\r\n")
        .expect("it is open");
    std::thread::sleep(Duration::from_millis(100));
    entry.signal();
    std::thread::sleep(Duration::from_millis(1_800));
    let waits = entry.process.try_wait().expect("it is a child").is_none();
    assert!(waits, "it waits for the rest of the head");
    entry.signal();
    let (status, took) = entry.end();
    assert!(took < Duration::from_secs(1), "{status} {took:?}");
}
