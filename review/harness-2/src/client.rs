//! Clients that send one request after another on kept connections.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::read_message;
use crate::record::millis;

/// A request and what became of it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub at: Instant,
    /// Status of the answer; 0 if the connection ended without one.
    pub status: u16,
}

#[derive(Default)]
pub struct Clients {
    sent: Mutex<Vec<Sent>>,
    last_id: AtomicU64,
    is_over: AtomicBool,
}

/// What all requests of a client have in common.
#[derive(Clone)]
pub struct Call {
    pub method: &'static str,
    pub path: &'static str,
    pub key: &'static str,
    pub pause: Duration,
}

impl Clients {
    pub fn sent(&self) -> Vec<Sent> {
        self.sent.lock().unwrap().clone()
    }

    pub fn stop(&self) {
        self.is_over.store(true, Ordering::SeqCst);
    }

    /// Starts a client of one machine.
    pub fn start(self: &Arc<Self>, front: SocketAddr, call: Call) -> JoinHandle<()> {
        let clients = Arc::clone(self);
        thread::spawn(move || {
            let mut connection = None;
            while !clients.is_over.load(Ordering::SeqCst) {
                connection = clients.send(front, &call, connection);
                thread::sleep(call.pause);
            }
        })
    }

    /// Sends one request. Returns the connection if it can be used again.
    fn send(
        &self,
        front: SocketAddr,
        call: &Call,
        connection: Option<BufReader<TcpStream>>,
    ) -> Option<BufReader<TcpStream>> {
        let mut connection = match connection {
            Some(connection) => connection,
            None => {
                let stream = TcpStream::connect_timeout(&front, millis(1_000)).ok()?;
                stream.set_nodelay(true).ok()?;
                stream.set_read_timeout(Some(millis(3_000))).ok()?;
                BufReader::new(stream)
            }
        };
        let number = self.last_id.fetch_add(1, Ordering::SeqCst);
        let id = format!("{number:016x}");
        let body = if call.method == "GET" { "" } else { "bid" };
        let request = format!(
            "{} {} HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\n\
             Authorization: Token {}\r\nContent-Length: {}\r\n\r\n{body}",
            call.method,
            call.path,
            call.key,
            body.len()
        );
        let at = Instant::now();
        let written = connection.get_mut().write_all(request.as_bytes());
        let answered = written.and_then(|()| read_message(&mut connection));
        let (status, is_kept) = match &answered {
            Ok(answer) => {
                let closes = answer
                    .header("connection")
                    .is_some_and(|value| value == "close");
                (answer.status(), !closes)
            }
            Err(_) => (0, false),
        };
        self.sent.lock().unwrap().push(Sent { id, at, status });
        is_kept.then_some(connection)
    }
}
