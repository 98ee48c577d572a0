//! A stand-in of a runner of a plain service.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{answer, read_message};
use crate::record::millis;
use crate::store::Store;

/// A request that reached a runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
}

pub struct Runner {
    pub id: String,
    pub addr: SocketAddr,
    service: String,
    zone: String,
    work: Duration,
    store: Arc<Store>,
    arrivals: Mutex<Vec<Arrival>>,
    connections: Mutex<Vec<TcpStream>>,
    /// Whether it writes its entry.
    is_registered: AtomicBool,
    is_gone: AtomicBool,
}

impl Runner {
    /// Starts a runner and registers it. It is to write its entry again at every heartbeat.
    pub fn start(
        store: &Arc<Store>,
        id: &str,
        (service, zone): (&str, &str),
        work: Duration,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let runner = Arc::new(Self {
            id: id.to_owned(),
            addr: listener.local_addr()?,
            service: service.to_owned(),
            zone: zone.to_owned(),
            work,
            store: Arc::clone(store),
            arrivals: Mutex::default(),
            connections: Mutex::default(),
            is_registered: AtomicBool::new(true),
            is_gone: AtomicBool::new(false),
        });
        runner.heartbeat(1);
        let serving = Arc::clone(&runner);
        listener.set_nonblocking(true)?;
        thread::spawn(move || {
            while !serving.is_gone.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(millis(1));
                    continue;
                };
                let runner = Arc::clone(&serving);
                thread::spawn(move || runner.serve(stream));
            }
        });
        Ok(runner)
    }

    /// Writes the entry, unless the runner has left.
    pub fn heartbeat(&self, sequence: u64) {
        if self.is_registered.load(Ordering::SeqCst) {
            self.write("ready", sequence);
        }
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    fn write(&self, state: &str, sequence: u64) {
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":16,\
             \"state\":\"{state}\",\"coldLeftMs\":0,\"sequence\":{sequence}}}",
            self.service, self.addr, self.zone
        );
        self.store.put(&self.key(), &entry);
    }

    /// Reports that it is draining. Returns when the store had accepted it.
    pub fn drain(&self, sequence: u64) -> Instant {
        self.is_registered.store(false, Ordering::SeqCst);
        self.write("draining", sequence);
        Instant::now()
    }

    /// Leaves without a report: its entry is removed. Returns when the store had accepted it.
    pub fn unregister(&self) -> Instant {
        self.is_registered.store(false, Ordering::SeqCst);
        self.store.remove(&self.key());
        Instant::now()
    }

    /// Ends the process, and with it all requests that it is at work on.
    pub fn exit(&self) {
        self.is_gone.store(true, Ordering::SeqCst);
        self.store.remove(&self.key());
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
        let (Ok(mut writer), Ok(copy)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        self.connections.lock().unwrap().push(copy);
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_message(&mut reader) {
            let at = Instant::now();
            let expected = request.header("expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let headers = [("Instance-Id", self.id.as_str())];
                let _ = writer.write_all(&answer(421, &headers, b""));
                continue;
            }
            let id = request.header("request-id").unwrap_or("").to_owned();
            if id.is_empty() {
                let headers = [("Not-Executed", "1")];
                let _ = writer.write_all(&answer(400, &headers, b""));
                continue;
            }
            let arrival = Arrival { id: id.clone(), at };
            self.arrivals.lock().unwrap().push(arrival);
            thread::sleep(self.work);
            let headers = [
                ("Request-Id", id.as_str()),
                ("Response-Stamp", self.id.as_str()),
            ];
            if self.is_gone.load(Ordering::SeqCst)
                || writer.write_all(&answer(200, &headers, b"done")).is_err()
            {
                return;
            }
        }
    }
}
