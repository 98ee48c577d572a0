//! Processes with low limits, crowds before them, and what is checked.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bergamot_adapter::sample::{
    METRICS_PORT, PEER_PORT, READY_PORT, config_with_body_limit, post_head,
};
use bergamot_gateway::ForwardContext;
use bergamot_gateway::own_keys::{ENTRY_PREFIX, EntryRecord};
use bergamot_ports::VmLimits;
use bergamot_site_standin::bulk::{LARGE_PATH, start_bulk_upstream};
use bergamot_types::prelude::*;
use hyper::HeaderMap;

use crate::crowd::{Crowd, CrowdScript, ResourceSampler};
use crate::support::{RunningEntry, exchange, send_request};

/// The memory of the VM, as its settings state it.
pub const MEMORY_MB: u64 = 64;
/// The descriptors of the VM, as its settings state them.
pub const MAX_DESCRIPTORS: usize = 600;
/// The VM's name.
pub const VM: &str = "front-east-1";
/// Descriptors that the platform keeps for files.
pub const FILE_DESCRIPTORS: usize = 200;
/// The largest body that the configuration allows.
pub const BODY_BYTES: usize = 1 << 20;
/// Size of an answer of the slow service: several times what is held of one.
pub const ANSWER_BYTES: usize = 2 << 20;
/// Connections of a crowd that sends requests.
pub const CALLERS: usize = 120;
/// Connections of a crowd that wants descriptors.
pub const IDLERS: usize = 700;
/// Tries of an ordinary caller, which returns when it was asked to.
pub const ORDINARY_TRIES: usize = 20;

/// Only one crowd at a time.
pub static TURN: Mutex<()> = Mutex::new(());

/// Where a crowd connects.
#[derive(Clone, Copy)]
pub enum CrowdListener {
    Callers,
    Forwards,
    Feed,
    Ready,
    Metrics,
}

pub struct CrowdCase {
    pub name: &'static str,
    pub listener: CrowdListener,
    pub script: CrowdScript,
}

impl CrowdCase {
    pub fn new(name: &'static str, start: &str, piece: &[u8], pieces: usize) -> Self {
        Self {
            name,
            listener: CrowdListener::Callers,
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
    pub fn idle(name: &'static str, listener: CrowdListener, start: &str) -> Self {
        let mut case = Self::new(name, start, b"", 0);
        case.script.connections = IDLERS;
        Self { listener, ..case }
    }

    pub fn with_turns(mut self, turn_bytes: usize) -> Self {
        self.script.turn_bytes = turn_bytes;
        self
    }

    pub fn with_returns(mut self, returns: usize) -> Self {
        self.script.returns = returns;
        self
    }

    pub fn without_reading(mut self) -> Self {
        self.script.reads = false;
        self
    }
}

/// Returns the head of a request of a caller with a key. The service `attic` answers most requests not at all.
pub fn head(path: &str, framing: &str) -> String {
    post_head("r-1", "key-1", path, framing)
}

pub fn sized(path: &str, bytes: usize) -> String {
    head(path, &format!("Content-Length: {bytes}"))
}

pub fn chunked(path: &str) -> String {
    head(path, "Transfer-Encoding: chunked")
}

/// Returns `count` chunks of so many bytes each.
pub fn chunks(bytes: usize, count: usize) -> Vec<u8> {
    let data = "x".repeat(bytes);
    format!("{bytes:x}\r\n{data}\r\n").repeat(count).into()
}

/// A process whose limits are low, with a service whose requests wait, and one that answers at once.
pub struct CrowdSite {
    pub entry: RunningEntry,
    ip: Ipv4Addr,
}

impl CrowdSite {
    pub fn start(number: u8) -> Self {
        let [.., high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, high | 128, low, number);
        let config = config_with_body_limit(1, &["key-1"], BODY_BYTES);
        let limits = VmLimits {
            memory_bytes: MEMORY_MB * 1_000_000,
            descriptors: MAX_DESCRIPTORS,
        };
        let entry = RunningEntry::start_with(ip, &config, limits);
        Self { entry, ip }
    }

    pub fn addr(&self, listener: CrowdListener) -> SocketAddr {
        let port = match listener {
            CrowdListener::Callers => return self.entry.caller_addr,
            CrowdListener::Forwards => PEER_PORT + 1,
            CrowdListener::Feed => PEER_PORT,
            CrowdListener::Ready => READY_PORT,
            CrowdListener::Metrics => METRICS_PORT,
        };
        SocketAddr::from((self.ip, port))
    }

    /// Starts an upstream of the service `attic`, most of whose answers never come.
    pub fn start_attic(&self) {
        let starting = start_bulk_upstream(&self.entry.store, "attic", ANSWER_BYTES);
        let started = self.entry.runtime.block_on(starting);
        started.expect("a port is free");
        let probe = sized(&format!("/read/deep/{LARGE_PATH}"), 0);
        let probe = probe.replacen("Host", "Connection: close\r\nHost", 1);
        self.entry.wait_until("the service attic", || {
            exchange(self.entry.caller_addr, &probe)
                .is_some_and(|reply| reply.starts_with("HTTP/1.1 200"))
        });
    }

    /// Returns what a request carries that another VM forwards to the process.
    pub fn forward_lines(&self) -> String {
        let key = format!("{ENTRY_PREFIX}{VM}");
        let record = self.entry.store.get(&key);
        let record = record.and_then(|bytes| EntryRecord::from_bytes(&bytes));
        let endpoint = record.and_then(|record| record.forwarding);
        let secret = endpoint
            .expect("the process takes forwarded requests")
            .secret;
        let context = ForwardContext {
            vm: "front-east-2".to_owned(),
            elapsed: Millis::ZERO,
            time_left: Millis::from_secs(60),
            possible_runs: Vec::new(),
            arrivals: 0,
            resume_after: None,
        };
        let mut headers = HeaderMap::new();
        context.insert_into(&mut headers, secret);
        let lines = headers.iter().filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            Some(format!("{name}: {value}\r\n"))
        });
        lines.collect()
    }

    pub fn serves_ordinary_caller(&self) -> bool {
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
    pub fn play(&mut self, cases: &[CrowdCase]) -> Vec<String> {
        let sampler = ResourceSampler::start(self.entry.process.id(), self.ip.into());
        let crowds: Vec<Crowd> = std::thread::scope(|scope| {
            let gathering = cases
                .iter()
                .map(|case| scope.spawn(|| Crowd::gather(self.addr(case.listener), &case.script)));
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
pub fn play_each(first_number: u8, cases: &[CrowdCase]) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut failures = Vec::new();
    for (number, case) in (first_number..).zip(cases) {
        let mut site = CrowdSite::start(number);
        site.start_attic();
        failures.extend(site.play(std::slice::from_ref(case)));
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
