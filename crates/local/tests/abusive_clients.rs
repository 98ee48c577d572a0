//! The product's own interface before crowds of clients that use the limits all at once, or break them. Guards against
//! a process that takes more memory or descriptors than it has, or that answers no ordinary caller any more.

#[path = "../../entry/tests/crowd/mod.rs"]
mod crowd;

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bergamot_local::ready::ReadyFile;
use crowd::{Crowd, CrowdScript, ResourceSampler};

/// The memory of the process, as its options state it.
const MEMORY_MB: u64 = 64;
/// The descriptors that the process may open.
const MAX_DESCRIPTORS: usize = 400;
/// The largest body that the settings allow.
const BODY_BYTES: usize = 1 << 20;
/// Connections of a crowd that sends requests.
const CALLERS: usize = 120;
/// Connections of a crowd that wants descriptors.
const IDLERS: usize = 600;
/// Tries of an ordinary caller, which returns when it was asked to.
const ORDINARY_TRIES: usize = 20;
/// Limit on the wait for the process to serve.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Only one crowd at a time.
static TURN: Mutex<()> = Mutex::new(());

struct CrowdCase {
    name: &'static str,
    script: CrowdScript,
}

/// The whole system in one process, with one entry VM.
struct LocalProcess {
    process: Child,
    ready: ReadyFile,
}

impl LocalProcess {
    fn start(name: &str) -> Self {
        let file = format!("{name}-{}.json", std::process::id());
        let file: PathBuf = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
        let program = env!("CARGO_BIN_EXE_bergamot-local");
        let command = format!(
            "ulimit -n {MAX_DESCRIPTORS} && exec {program} --failure-domains 1 --entries 1 --engines 2 --replicas 1 \
             --memory-mb {MEMORY_MB} --ready-file {}",
            file.display()
        );
        let process = Command::new("sh")
            .args(["-c", &command])
            .stdout(Stdio::null())
            .spawn()
            .expect("the process starts");
        let deadline = Instant::now() + START_TIMEOUT;
        let ready = loop {
            let text = std::fs::read_to_string(&file).unwrap_or_default();
            if let Ok(ready) = serde_json::from_str(&text) {
                break ready;
            }
            assert!(Instant::now() < deadline, "the process does not serve");
            std::thread::sleep(Duration::from_millis(50));
        };
        Self { process, ready }
    }

    fn addr(&self) -> SocketAddr {
        self.ready.entries[0].parse().expect("an address")
    }

    fn head(&self, framing: &str) -> String {
        let token = &self.ready.accounts[0].token;
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {token}\r\n\
             {framing}\r\n\r\n"
        )
    }

    fn is_served(&self) -> bool {
        let model = &self.ready.model;
        let body = format!(
            "{{\"model\":\"{model}\",\"max_tokens\":2,\"messages\":[{{\"role\":\"user\",\"content\":\"x\"}}]}}"
        );
        let head = self.head(&format!(
            "Connection: close\r\nContent-Length: {}",
            body.len()
        ));
        let mut reply = String::new();
        let asked = TcpStream::connect(self.addr()).and_then(|mut stream| {
            stream.set_read_timeout(Some(Duration::from_secs(20)))?;
            stream.write_all((head + &body).as_bytes())?;
            stream.read_to_string(&mut reply)
        });
        asked.is_ok() && reply.starts_with("HTTP/1.1 200")
    }

    fn serves_ordinary_caller(&self) -> bool {
        (0..ORDINARY_TRIES).any(|_| {
            let is_served = self.is_served();
            if !is_served {
                std::thread::sleep(Duration::from_millis(200));
            }
            is_served
        })
    }
}

impl Drop for LocalProcess {
    fn drop(&mut self) {
        // Fails if the process has ended, which the test has reported.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn play<Script>(name: &'static str, connections: usize, script: Script)
where
    Script: Fn(&LocalProcess) -> CrowdScript,
{
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut local = LocalProcess::start(&name.replace(' ', "-"));
    let case = CrowdCase {
        name,
        script: CrowdScript {
            connections,
            ..script(&local)
        },
    };
    let ip = IpAddr::from(Ipv4Addr::LOCALHOST);
    let sampler = ResourceSampler::start(local.process.id(), ip);
    let crowd = Crowd::gather(local.addr(), &case.script);
    let is_served_beside = local.serves_ordinary_caller();
    drop(crowd);
    let is_served_after = local.serves_ordinary_caller();
    let peak = sampler.stop();
    println!("{}: {peak:?}", case.name);
    let ended = local.process.try_wait().ok().flatten();
    assert!(ended.is_none(), "{}: the process ended", case.name);
    assert!(
        peak.memory_bytes <= MEMORY_MB * 1_000_000,
        "{}: {peak:?}",
        case.name
    );
    assert!(is_served_beside, "{}: beside the crowd", case.name);
    assert!(is_served_after, "{}: after the crowd", case.name);
}

fn script(start: String, piece: Vec<u8>, pieces: usize) -> CrowdScript {
    CrowdScript {
        connections: 0,
        returns: 0,
        start: start.into_bytes(),
        piece,
        pieces,
        turn_bytes: 64 << 10,
        reads: true,
    }
}

#[test]
fn large_bodies_whose_last_byte_is_missing_take_no_more_memory_than_there_is() {
    play("large bodies", CALLERS, |local| {
        let head = local.head(&format!("Content-Length: {BODY_BYTES}"));
        script(head, vec![b'x'; (BODY_BYTES - 1) / 15], 15)
    });
}

#[test]
fn bodies_in_chunks_of_a_byte_take_no_more_memory_than_there_is() {
    play("small chunks", CALLERS, |local| {
        let head = local.head("Transfer-Encoding: chunked");
        script(head, "1\r\nx\r\n".repeat(1_024).into(), 100)
    });
}

#[test]
fn idle_connections_leave_descriptors_for_others() {
    play("idle connections", IDLERS, |_| {
        script(String::new(), Vec::new(), 0)
    });
}
