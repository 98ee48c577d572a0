//! Processes before crowds of clients that use the limits all at once, or break them. Guards against a process that
//! takes more memory or descriptors than its VM has, that ends, or that answers no ordinary caller any more.

mod crowd;
#[path = "support/mod.rs"]
mod support;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bergamot_adapter::sample::{METRICS_PORT, PEER_PORT, READY_PORT, config};
use crowd::{Crowd, CrowdScript, ResourceSampler};
use serde_json::json;
use support::{RunningEntry, exchange, send_request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// The memory of the VM, as its settings state it.
const MEMORY_MB: u64 = 64;
/// The descriptors of the VM, as its settings state them.
const MAX_DESCRIPTORS: usize = 600;
/// Descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: usize = 200;
/// The largest body that the configuration allows.
const BODY_BYTES: usize = 1 << 20;
/// Size of an answer of the slow service: several times what is held of one.
const ANSWER_BYTES: usize = 2 << 20;
/// Connections of a crowd that sends requests.
const CALLERS: usize = 120;
/// Connections of a crowd that wants descriptors.
const IDLERS: usize = 700;
/// Tries of an ordinary caller, which returns when it was asked to.
const ORDINARY_TRIES: usize = 20;

/// Only one crowd at a time.
static TURN: Mutex<()> = Mutex::new(());

/// Where a crowd connects.
#[derive(Clone, Copy)]
enum CrowdDoor {
    Callers,
    Forwards,
    Feed,
    Ready,
    Metrics,
}

struct CrowdCase {
    name: &'static str,
    door: CrowdDoor,
    script: CrowdScript,
}

impl CrowdCase {
    fn new(name: &'static str, start: &str, piece: &[u8], pieces: usize) -> Self {
        Self {
            name,
            door: CrowdDoor::Callers,
            script: CrowdScript {
                connections: CALLERS,
                returns: 0,
                start: start.as_bytes().to_vec(),
                piece: piece.to_vec(),
                pieces,
                turn_bytes: 64 << 10,
                reads: true,
            },
        }
    }

    /// Connections that send only `start`, as many as want all descriptors.
    fn idle(name: &'static str, door: CrowdDoor, start: &str) -> Self {
        let mut case = Self::new(name, start, b"", 0);
        case.script.connections = IDLERS;
        Self { door, ..case }
    }

    fn with_turns(mut self, turn_bytes: usize) -> Self {
        self.script.turn_bytes = turn_bytes;
        self
    }

    fn with_returns(mut self, returns: usize) -> Self {
        self.script.returns = returns;
        self
    }

    fn without_reading(mut self) -> Self {
        self.script.reads = false;
        self
    }
}

/// Returns the head of a request of a caller with a key. The service `attic` answers nothing meanwhile.
fn head(path: &str, framing: &str) -> String {
    head_with_key(path, framing, "key-1")
}

fn head_with_key(path: &str, framing: &str, key: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: r-1\r\nDeadline-Ms: 60000\r\n\
         Authorization: Token {key}\r\n{framing}\r\n\r\n"
    )
}

fn sized(path: &str, bytes: usize) -> String {
    head(path, &format!("Content-Length: {bytes}"))
}

fn chunked(path: &str) -> String {
    head(path, "Transfer-Encoding: chunked")
}

/// Returns `count` chunks of so many bytes each.
fn chunks(bytes: usize, count: usize) -> Vec<u8> {
    let data = "x".repeat(bytes);
    format!("{bytes:x}\r\n{data}\r\n").repeat(count).into()
}

const PIECE: [u8; 16 << 10] = [b'x'; 16 << 10];
/// Pieces of a body that ends a byte short of the largest one.
const SHORT_PIECES: usize = 15;

/// Returns the piece that makes up such a body.
fn short_piece() -> Vec<u8> {
    vec![b'x'; (BODY_BYTES - 1) / SHORT_PIECES]
}

/// A process whose limits are low, with a service whose requests wait, and one that answers at once.
struct CrowdSite {
    entry: RunningEntry,
    ip: Ipv4Addr,
}

impl CrowdSite {
    fn start(number: u8) -> Self {
        let [.., high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, high | 128, low, number);
        let mut config = config(1, &["key-1"]);
        config["limits"]["maxBodyBytes"] = json!(BODY_BYTES);
        if let Some(routes) = config["routes"].as_array_mut() {
            for route in routes {
                route["timeoutMs"] = json!(60_000);
            }
        }
        let entry = RunningEntry::start_with(ip, &config, |settings| {
            let limits = format!("maxFds = {MAX_DESCRIPTORS}\nmemoryMb = {MEMORY_MB}");
            settings.replace("maxFds = 4100", &limits)
        });
        Self { entry, ip }
    }

    fn addr(&self, door: CrowdDoor) -> SocketAddr {
        let port = match door {
            CrowdDoor::Callers => return self.entry.caller_addr,
            CrowdDoor::Forwards => PEER_PORT + 1,
            CrowdDoor::Feed => PEER_PORT,
            CrowdDoor::Ready => READY_PORT,
            CrowdDoor::Metrics => METRICS_PORT,
        };
        SocketAddr::from((self.ip, port))
    }

    /// Starts an upstream of the service `attic` that reads requests. It answers those of the path `/read/deep/large`
    /// with many bytes, and no others.
    fn start_attic(&self) {
        let listener = self
            .entry
            .runtime
            .block_on(TcpListener::bind("127.0.0.1:0"));
        let listener = listener.expect("a port is free");
        let addr = listener.local_addr().expect("the socket is bound");
        self.entry.runtime.spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                tokio::spawn(async move {
                    let mut buffer = vec![0; 64 << 10];
                    let bytes = stream.read(&mut buffer).await.unwrap_or(0);
                    if String::from_utf8_lossy(&buffer[..bytes]).contains("/read/deep/large") {
                        let head = "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nRequest-Id: r-1\r\n";
                        let head = format!("{head}Content-Length: {ANSWER_BYTES}\r\n\r\n");
                        let _ = stream.write_all(head.as_bytes()).await;
                        let _ = stream.write_all(&vec![b'a'; ANSWER_BYTES]).await;
                    }
                    while stream.read(&mut buffer).await.is_ok_and(|bytes| bytes > 0) {}
                });
            }
        });
        let entry = json!({
            "service": "attic", "address": addr.to_string(), "zone": "east", "version": "v1",
            "slots": 500, "state": "ready", "coldLeftMs": 0, "sequence": 1,
        });
        let key = "servers/attic-0";
        self.entry.store.put(key, entry.to_string().as_bytes());
        let small = "GET /read/deep/large/probe HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: r-1\r\n\
                     Deadline-Ms: 4000\r\nAuthorization: Token key-1\r\nConnection: close\r\n\r\n";
        self.entry.wait_until("the slow service", || {
            exchange(self.entry.caller_addr, small)
                .is_some_and(|reply| reply.starts_with("HTTP/1.1 200"))
        });
    }

    fn serves_ordinary_caller(&self) -> bool {
        (0..ORDINARY_TRIES).any(|_| {
            let reply = send_request(self.entry.caller_addr);
            let is_served = reply.is_some_and(|reply| reply.starts_with("HTTP/1.1 200"));
            if !is_served {
                std::thread::sleep(Duration::from_millis(200));
            }
            is_served
        })
    }

    /// Gathers the crowds of all `cases` at once and returns what is wrong.
    fn play(&mut self, cases: &[CrowdCase]) -> Vec<String> {
        let sampler = ResourceSampler::start(self.entry.process.id(), self.ip.into());
        let crowds: Vec<Crowd> = std::thread::scope(|scope| {
            let gathering = cases
                .iter()
                .map(|case| scope.spawn(|| Crowd::gather(self.addr(case.door), &case.script)));
            let gathering: Vec<_> = gathering.collect();
            let gathered = gathering.into_iter().map(|crowd| crowd.join());
            gathered
                .map(|crowd| crowd.expect("a crowd panicked"))
                .collect()
        });
        let is_served_beside = self.serves_ordinary_caller();
        drop(crowds);
        let is_served_after = self.serves_ordinary_caller();
        let peak = sampler.stop();
        let names: Vec<_> = cases.iter().map(|case| case.name).collect();
        let memory_mb = peak.memory_bytes.div_ceil(1_000_000);
        println!(
            "{names:?}: {memory_mb} MB, {} descriptors",
            peak.descriptors
        );
        let ended = self.entry.process.try_wait().ok().flatten();
        let checks = [
            (ended.is_some(), "the process ended"),
            (memory_mb > MEMORY_MB, "memory"),
            (
                peak.descriptors > MAX_DESCRIPTORS - FILE_DESCRIPTORS,
                "descriptors",
            ),
            (!is_served_beside, "ordinary caller beside the crowd"),
            (!is_served_after, "ordinary caller after the crowd"),
        ];
        let broken = checks.into_iter().filter(|(is_broken, _)| *is_broken);
        broken
            .map(|(_, what)| format!("{names:?}: {what}: {peak:?}"))
            .collect()
    }
}

/// Plays each case on a process of its own.
fn play_each(first_number: u8, cases: &[CrowdCase]) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut failures = Vec::new();
    for (number, case) in (first_number..).zip(cases) {
        let mut site = CrowdSite::start(number);
        site.start_attic();
        failures.extend(site.play(std::slice::from_ref(case)));
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
fn large_bodies_whose_last_bytes_are_missing_take_no_more_memory_than_there_is() {
    let body = short_piece();
    let head = sized("/read/x", BODY_BYTES);
    play_each(
        1,
        &[
            CrowdCase::new("short of their end", &head, &body, SHORT_PIECES),
            CrowdCase::new("in small pieces", &head, &body, SHORT_PIECES).with_turns(4 << 10),
            CrowdCase::new("that come again", &head, &body, SHORT_PIECES).with_returns(3),
        ],
    );
}

#[test]
fn whole_bodies_that_wait_for_an_upstream_take_no_more_memory_than_there_is() {
    let head = sized("/read/deep/x", BODY_BYTES);
    let case = CrowdCase::new("whole", &head, &PIECE, BODY_BYTES / PIECE.len());
    play_each(10, &[case]);
}

#[test]
fn chunked_bodies_without_an_end_take_no_more_memory_than_there_is() {
    let head = chunked("/read/x");
    play_each(
        20,
        &[
            CrowdCase::new("in large chunks", &head, &chunks(64 << 10, 1), 16),
            CrowdCase::new("in chunks of a byte", &head, &chunks(1, 1_024), 100),
        ],
    );
}

#[test]
fn bodies_beyond_the_limit_take_no_more_memory_than_there_is() {
    let pieces = 4 * BODY_BYTES / PIECE.len();
    play_each(
        30,
        &[
            CrowdCase::new("announced", &sized("/read/x", 1 << 30), &PIECE, pieces),
            CrowdCase::new("sent", &chunked("/read/x"), &chunks(16 << 10, 1), pieces),
        ],
    );
}

#[test]
fn bodies_of_callers_without_a_key_take_no_more_memory_than_there_is() {
    let pieces = BODY_BYTES / PIECE.len();
    let announced = format!("Content-Length: {BODY_BYTES}");
    let head = |framing: &str| head_with_key("/read/x", framing, "nobody's");
    let chunked = head("Transfer-Encoding: chunked");
    play_each(
        40,
        &[
            CrowdCase::new("with a length", &head(&announced), &PIECE, pieces - 1),
            CrowdCase::new("in chunks of a byte", &chunked, &chunks(1, 1_024), 100),
        ],
    );
}

#[test]
fn connections_without_a_request_take_no_more_descriptors_than_there_are() {
    let begun = "POST /read/x HTTP/1.1\r\nHost: calls.example\r\n";
    let expecting = head("/read/x", "Expect: 100-continue\r\nContent-Length: 100");
    play_each(
        50,
        &[
            CrowdCase::idle("without a byte", CrowdDoor::Callers, ""),
            CrowdCase::idle("with half a head", CrowdDoor::Callers, begun).with_returns(1),
            CrowdCase::idle("that wait to go on", CrowdDoor::Callers, &expecting),
        ],
    );
}

#[test]
fn connections_at_other_ports_take_no_more_descriptors_than_there_are() {
    play_each(
        60,
        &[
            CrowdCase::idle("forwards", CrowdDoor::Forwards, ""),
            CrowdCase::idle("feed", CrowdDoor::Feed, ""),
            CrowdCase::idle("readiness", CrowdDoor::Ready, ""),
            CrowdCase::idle("metrics", CrowdDoor::Metrics, ""),
        ],
    );
}

#[test]
fn messages_to_the_feed_whose_last_bytes_are_missing_take_no_more_memory_than_there_is() {
    let announced = "\0\u{3f}\0\0";
    let pieces = 3 * (1 << 20) / PIECE.len();
    let case = CrowdCase::new("large messages", announced, &PIECE, pieces);
    let door = CrowdDoor::Feed;
    play_each(65, &[CrowdCase { door, ..case }]);
}

#[test]
fn answers_that_nobody_reads_take_no_more_memory_than_there_is() {
    let head = sized("/read/deep/large", 0);
    let case = CrowdCase::new("unread answers", &head, b"", 0);
    play_each(70, &[case.without_reading()]);
}

#[test]
fn requests_behind_one_that_waits_take_no_more_memory_than_there_is() {
    let next = sized("/read/deep/x", 0).repeat(100);
    let case = CrowdCase::new("pipelined", &next, next.as_bytes(), 64);
    play_each(80, &[case]);
}

/// All of them at once.
#[test]
fn crowds_of_every_kind_at_once_take_no_more_than_there_is() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut site = CrowdSite::start(90);
    site.start_attic();
    let body = short_piece();
    let cases = [
        CrowdCase::new("short", &sized("/read/x", BODY_BYTES), &body, SHORT_PIECES).with_returns(1),
        CrowdCase::new("whole", &sized("/read/deep/x", BODY_BYTES), &PIECE, 64),
        CrowdCase::new(
            "large chunks",
            &chunked("/read/x"),
            &chunks(64 << 10, 1),
            16,
        ),
        CrowdCase::new("small chunks", &chunked("/read/x"), &chunks(1, 1_024), 100),
        CrowdCase::new("unread", &sized("/read/deep/large", 0), b"", 0).without_reading(),
    ];
    let failures = site.play(&cases);
    assert!(failures.is_empty(), "{failures:#?}");
}

/// A stop ends although bodies never do.
#[test]
fn a_stop_does_not_wait_for_bodies_that_never_end() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut site = CrowdSite::start(100);
    let case = CrowdCase::new("short", &sized("/read/x", BODY_BYTES), &PIECE, 1);
    let crowd = Crowd::gather(site.entry.caller_addr, &case.script);
    site.entry.signal("TERM");
    let process = std::cell::RefCell::new(&mut site.entry.process);
    let deadline = std::time::Instant::now() + Duration::from_secs(20);
    while process.borrow_mut().try_wait().ok().flatten().is_none() {
        assert!(std::time::Instant::now() < deadline, "the process goes on");
        std::thread::sleep(Duration::from_millis(50));
    }
    drop(crowd);
}

struct CalmCase {
    name: &'static str,
    head: String,
    body: Vec<u8>,
}

/// Guards against limits that a single caller meets.
#[test]
fn the_largest_body_alone_is_served_in_every_form() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let site = CrowdSite::start(110);
    let end: &[u8] = b"0\r\n\r\n";
    let cases = [
        CalmCase {
            name: "with a length",
            head: sized("/read/x", BODY_BYTES),
            body: vec![b'x'; BODY_BYTES],
        },
        CalmCase {
            name: "in large chunks",
            head: chunked("/read/x"),
            body: [&chunks(64 << 10, 16), end].concat(),
        },
        CalmCase {
            name: "in chunks of a byte",
            head: chunked("/read/x"),
            body: [&chunks(1, BODY_BYTES), end].concat(),
        },
    ];
    for case in cases {
        let seen_before = site.entry.desk.seen().len();
        let head = case
            .head
            .replace("Request-Id", "Connection: close\r\nRequest-Id");
        let text = head + &String::from_utf8_lossy(&case.body);
        let reply = exchange(site.entry.caller_addr, &text);
        let is_served = reply.is_some_and(|reply| reply.starts_with("HTTP/1.1 200"));
        assert!(is_served, "{}", case.name);
        let seen = site.entry.desk.seen();
        assert_eq!(seen.len(), seen_before + 1, "{}", case.name);
        let body = &seen[seen_before].body;
        let is_whole = body.len() == BODY_BYTES && body.iter().all(|byte| *byte == b'x');
        assert!(is_whole, "{}", case.name);
    }
}
