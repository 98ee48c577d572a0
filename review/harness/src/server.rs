//! A stand-in for a server of a plain service.

use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, read_message, write_answer};
use crate::store::Store;

/// Period at which a server writes its entry, as `heartbeatMs` says.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Events of a stream, and the time between two of them.
pub const EVENTS: usize = 6;
const EVENT_GAP: Duration = Duration::from_millis(50);
/// The event before which a stream pauses.
const PAUSE_BEFORE: usize = 4;
/// Period at which a server checks whether its caller has closed the connection.
const CLOSE_CHECK_PERIOD: Duration = Duration::from_millis(10);

/// A request that the server began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
}

#[derive(Clone, Debug)]
pub struct ServerOptions {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    /// How long it works on a request.
    pub work: Duration,
    /// One in so many answers is spoiled: a wrong byte in its head makes the signature unreadable.
    pub spoils_one_in: Option<u64>,
    /// How long a stream pauses after its third event.
    pub pause: Duration,
}

pub struct Server {
    options: ServerOptions,
    addr: SocketAddr,
    store: Arc<Store>,
    runs: Mutex<Vec<Run>>,
    heartbeats: AtomicU64,
    streams: AtomicU64,
    /// Requests whose answers were spoiled.
    spoiled: Mutex<Vec<String>>,
    /// Requests whose connection the system closed while the server was at work on them.
    closed_on: Mutex<Vec<(String, Instant)>>,
}

impl Server {
    pub fn start(options: ServerOptions, store: &Arc<Store>) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((options.ip, 0))?;
        let server = Arc::new(Self {
            addr: listener.local_addr()?,
            options,
            store: Arc::clone(store),
            runs: Mutex::default(),
            heartbeats: AtomicU64::new(0),
            streams: AtomicU64::new(0),
            spoiled: Mutex::default(),
            closed_on: Mutex::default(),
        });
        let beating = Arc::clone(&server);
        std::thread::spawn(move || {
            loop {
                beating.write_entry();
                std::thread::sleep(HEARTBEAT);
            }
        });
        let serving = Arc::clone(&server);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&serving);
                std::thread::spawn(move || {
                    let _ = server.serve(stream);
                });
            }
        });
        Ok(server)
    }

    pub fn id(&self) -> &str {
        &self.options.id
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns the requests whose answers were spoiled.
    pub fn spoiled(&self) -> Vec<String> {
        self.spoiled.lock().unwrap().clone()
    }

    /// Returns the requests whose connection was closed while the server was at work on them.
    pub fn closed_on(&self) -> Vec<(String, Instant)> {
        self.closed_on.lock().unwrap().clone()
    }

    fn write_entry(&self) {
        let ServerOptions { service, zone, .. } = &self.options;
        let sequence = self.heartbeats.fetch_add(1, Ordering::SeqCst);
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":{sequence}}}",
            self.addr
        );
        self.store
            .put(&format!("servers/{}", self.options.id), &entry);
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            self.answer(&mut writer, &request)?;
        }
        Ok(())
    }

    fn answer(&self, writer: &mut TcpStream, request: &Message) -> io::Result<()> {
        let own_id = self.options.id.as_str();
        if request.target() == "/health" {
            return write_answer(writer, "200 OK", &[("Instance-Id", own_id)], b"");
        }
        if request.header("expect-instance") != Some(own_id) {
            let headers = [("Instance-Id", own_id)];
            return write_answer(writer, "421 Misdirected Request", &headers, b"");
        }
        let id = request.header("request-id").unwrap_or("").to_owned();
        self.runs.lock().unwrap().push(Run {
            at: Instant::now(),
            id: id.clone(),
        });
        std::thread::sleep(self.options.work);
        match request.target().starts_with("/stream/") {
            true => self.write_stream(writer, &id),
            false => {
                let stamp = format!("{own_id}.{id}");
                let body = format!("answer to {id} by {own_id}");
                let headers = [
                    ("Request-Id", id.as_str()),
                    ("Response-Stamp", stamp.as_str()),
                ];
                write_answer(writer, "200 OK", &headers, body.as_bytes())
            }
        }
    }

    fn write_stream(&self, writer: &mut TcpStream, id: &str) -> io::Result<()> {
        let number = self.streams.fetch_add(1, Ordering::SeqCst);
        let spoils_one_in = self.options.spoils_one_in;
        let is_spoiled = spoils_one_in.is_some_and(|period| number % period == period - 1);
        let name = match is_spoiled {
            true => {
                self.spoiled.lock().unwrap().push(id.to_owned());
                "Responsx-Stamp"
            }
            false => "Response-Stamp",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n{name}: {}.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.options.id
        );
        writer.write_all(head.as_bytes())?;
        for number in 1..=EVENTS {
            let pause = match number {
                PAUSE_BEFORE => self.options.pause,
                _ => EVENT_GAP,
            };
            if is_closed_within(writer, pause)? {
                let closed = (id.to_owned(), Instant::now());
                self.closed_on.lock().unwrap().push(closed);
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let event = format!("id: {number}\ndata: piece {number} of {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            writer.write_all(chunk.as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

/// Waits for a time. Returns early, and true, if the other end closes the connection.
fn is_closed_within(stream: &TcpStream, time: Duration) -> io::Result<bool> {
    let until = Instant::now() + time;
    stream.set_nonblocking(true)?;
    let is_closed = loop {
        match stream.peek(&mut [0]) {
            Ok(0) => break true,
            Err(error) if error.kind() != io::ErrorKind::WouldBlock => break true,
            _ => {}
        }
        if Instant::now() >= until {
            break false;
        }
        std::thread::sleep(CLOSE_CHECK_PERIOD);
    };
    stream.set_nonblocking(false)?;
    Ok(is_closed)
}
