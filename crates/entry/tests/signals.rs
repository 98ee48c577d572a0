//! Signals to the program outside of `--platform` mode, before its first bundle and while it stops.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use bergamot_entry::EntrySettings;

/// Limit on the wait for a process to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Bound on the time from the signal to the exit if no caller is connected: the notice to peers, and
/// some slack for a busy host.
const PROMPT_EXIT: Duration = Duration::from_secs(3);

/// A process that reaches neither a store nor peers.
struct IsolatedEntry {
    process: Child,
    settings: PathBuf,
    caller_addr: SocketAddr,
}

impl IsolatedEntry {
    /// Starts a process and returns as soon as it logs `event=entry_started`.
    fn start(name: &str) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let sample = EntrySettings {
            caller_addr: any_port,
            peer_addr: any_port,
            admin_addr: any_port,
            kv_url: "http://127.0.0.1:9".to_owned(),
            vm_list_url: "http://127.0.0.1:9".to_owned(),
            ..EntrySettings::sample()
        };
        let text = serde_json::to_string(&sample).expect("JSON");
        let file = format!("bergamot-signals-{name}-{}.json", std::process::id());
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text).expect("the settings file cannot be written");
        let mut process = Command::new(env!("CARGO_BIN_EXE_bergamot-entry"))
            .arg("--settings")
            .arg(&settings)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the process cannot be started");
        let stderr = process.stderr.take().expect("stderr is not piped");
        let mut lines = BufReader::new(stderr).lines().map_while(Result::ok);
        let started_line = lines.find(|line| line.contains("event=entry_started"));
        let started_line = started_line.expect("no event=entry_started in the log");
        // Reads the rest of the log, so that the process does not block on a full pipe.
        std::thread::spawn(move || lines.count());
        let caller_addr = started_line
            .split_once("caller=")
            .and_then(|(_, rest)| rest.split(' ').next())
            .and_then(|addr| addr.parse().ok());
        Self {
            process,
            settings,
            caller_addr: caller_addr.expect("no caller= address in the log line"),
        }
    }

    fn signal(&self) {
        let id = self.process.id().to_string();
        let kill_status = Command::new("kill").args(["-s", "TERM", &id]).status();
        assert!(kill_status.is_ok_and(|status| status.success()));
    }

    /// Waits for the process to exit. Returns its status and the time it took.
    fn wait_for_exit(&mut self) -> (ExitStatus, Duration) {
        let wait_started_at = Instant::now();
        loop {
            if let Some(status) = self
                .process
                .try_wait()
                .expect("the process status cannot be read")
            {
                return (status, wait_started_at.elapsed());
            }
            assert!(
                wait_started_at.elapsed() < EXIT_TIMEOUT,
                "the process does not exit"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for IsolatedEntry {
    fn drop(&mut self) {
        // The process has exited already if the test passed.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// A signal that arrives as soon as callers can connect must cause a planned stop, even before the
/// first bundle is in force.
#[test]
fn signal_right_after_start_causes_a_planned_stop() {
    const START_COUNT: usize = 12;
    let starts = (0..START_COUNT).map(|number| {
        std::thread::spawn(move || {
            let mut entry = IsolatedEntry::start(&format!("early-{number}"));
            entry.signal();
            entry.wait_for_exit()
        })
    });
    let starts: Vec<_> = starts.collect();
    let exits = starts
        .into_iter()
        .map(|start| start.join().expect("start thread panicked"));
    let exits: Vec<_> = exits.collect();
    let is_planned_stop =
        |(status, duration): &(ExitStatus, Duration)| status.success() && *duration < PROMPT_EXIT;
    assert!(exits.iter().all(is_planned_stop), "{exits:?}");
}

/// A request that arrives before the first bundle, while the process stops, must get an error response
/// instead of a closed connection.
#[test]
fn request_before_the_first_bundle_is_rejected_while_stopping() {
    let mut entry = IsolatedEntry::start("refused");
    std::thread::sleep(Duration::from_millis(200));
    entry.signal();
    std::thread::sleep(Duration::from_millis(100));
    let mut stream = TcpStream::connect(entry.caller_addr).expect("the process does not listen");
    let head = b"POST /services/ring/confirm HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    stream.write_all(head).expect("the connection is closed");
    let mut reply = String::new();
    stream
        .read_to_string(&mut reply)
        .expect("the response cannot be read");
    assert!(reply.starts_with("HTTP/1.1 503"), "{reply}");
    assert!(reply.contains("bergamot-ran: no"), "{reply}");
    let (status, duration) = entry.wait_for_exit();
    assert!(
        status.success() && duration < PROMPT_EXIT,
        "{status} {duration:?}"
    );
}

/// A second signal must end a stop that waits for an incomplete request.
#[test]
fn second_signal_ends_a_stop_that_waits_for_a_request() {
    let mut entry = IsolatedEntry::start("second");
    std::thread::sleep(Duration::from_millis(200));
    let mut stream = TcpStream::connect(entry.caller_addr).expect("the process does not listen");
    stream
        .write_all(b"POST /x HTTP/1.1\r\n")
        .expect("the connection is closed");
    std::thread::sleep(Duration::from_millis(100));
    entry.signal();
    std::thread::sleep(Duration::from_millis(1_800));
    let is_waiting = entry
        .process
        .try_wait()
        .expect("the process status cannot be read")
        .is_none();
    assert!(
        is_waiting,
        "the process does not wait for the rest of the request head"
    );
    entry.signal();
    let (status, duration) = entry.wait_for_exit();
    assert!(duration < Duration::from_secs(1), "{status} {duration:?}");
}
