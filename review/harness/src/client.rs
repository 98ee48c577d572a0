//! Clients of the system.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, read_body, read_head, read_message};

/// One client attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub vm: String,
    pub key: String,
    pub sent_at: Instant,
    pub ended_at: Instant,
    /// None if the connection ended without a complete answer.
    pub answer: Option<Message>,
    /// What had arrived of an answer that is not complete.
    pub partial: Option<Message>,
}

/// What clients send.
#[derive(Clone, Debug)]
pub struct Load {
    pub vm: String,
    pub front: SocketAddr,
    pub method: &'static str,
    pub path: &'static str,
    pub key: String,
    pub deadline_ms: u64,
    /// Time between two requests of one client.
    pub pause: Duration,
    pub clients: usize,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Clients that send requests until they are told to stop.
pub struct Clients {
    attempts: Arc<Mutex<Vec<Attempt>>>,
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Clients {
    pub fn start(loads: &[Load]) -> Self {
        let attempts = Arc::new(Mutex::new(Vec::new()));
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for load in loads {
            for client in 0..load.clients {
                let (load, attempts, stop) =
                    (load.clone(), Arc::clone(&attempts), Arc::clone(&stop));
                threads.push(std::thread::spawn(move || {
                    std::thread::sleep(load.pause * client as u32 / load.clients as u32);
                    let mut connection = None;
                    while !stop.load(Ordering::SeqCst) {
                        let began = Instant::now();
                        let attempt = send(&load, &mut connection);
                        attempts.lock().unwrap().push(attempt);
                        std::thread::sleep(load.pause.saturating_sub(began.elapsed()));
                    }
                }));
            }
        }
        Self {
            attempts,
            stop,
            threads,
        }
    }

    /// Stops the clients and returns their attempts in the order in which they were sent.
    pub fn finish(self) -> Vec<Attempt> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let mut attempts = self.attempts.lock().unwrap().clone();
        attempts.sort_by_key(|attempt| attempt.sent_at);
        attempts
    }
}

/// Sends one request, on the kept connection if there is one.
fn send(load: &Load, kept: &mut Option<BufReader<TcpStream>>) -> Attempt {
    let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    let id = format!("{number:016x}");
    let sent_at = Instant::now();
    let (answer, partial) = match exchange(load, &id, kept) {
        Ok(answer) => (Some(answer), None),
        Err(partial) => (None, partial),
    };
    let must_close = answer.as_ref().is_none_or(|answer| {
        let connection = answer.header("connection");
        connection.is_some_and(|value| value.eq_ignore_ascii_case("close"))
    });
    if must_close {
        *kept = None;
    }
    Attempt {
        id,
        vm: load.vm.clone(),
        key: load.key.clone(),
        sent_at,
        ended_at: Instant::now(),
        answer,
        partial,
    }
}

/// Sends a request and reads its answer. The error is what arrived of it.
fn exchange(
    load: &Load,
    id: &str,
    kept: &mut Option<BufReader<TcpStream>>,
) -> Result<Message, Option<Message>> {
    let reader = match kept {
        Some(reader) => reader,
        None => kept.insert(connect(load).map_err(|_| None)?),
    };
    let body = match load.method {
        "GET" => "",
        _ => "do this once",
    };
    let request = format!(
        "{} {} HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nAuthorization: Token {}\r\nContent-Length: {}\r\n\r\n{body}",
        load.method,
        load.path,
        load.deadline_ms,
        load.key,
        body.len()
    );
    let sent = reader.get_mut().write_all(request.as_bytes());
    sent.map_err(|_| None)?;
    let head = read_head(reader).ok().flatten();
    let mut answer = head.ok_or(None)?;
    match read_body(reader, &mut answer) {
        Ok(()) => Ok(answer),
        Err(_) => Err(Some(answer)),
    }
}

fn connect(load: &Load) -> std::io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&load.front, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let patience = Duration::from_millis(load.deadline_ms + 1_000);
    stream.set_read_timeout(Some(patience))?;
    Ok(BufReader::new(stream))
}

/// Returns the status of a `GET` call.
pub fn get_status(addr: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_millis(300)).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_millis(500)))
        .ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let answer = read_message(&mut BufReader::new(stream)).ok()??;
    Some(answer.status())
}
