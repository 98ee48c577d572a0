//! A crowd of connections that all send the same bytes and stay open, and the resources that a process takes meanwhile.

use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use procfs::net::{TcpNetEntry, TcpState};
use procfs::process::{FDTarget, Process};

/// Pause between two rounds in which no connection took a byte.
const IDLE_ROUND: Duration = Duration::from_millis(2);
/// Rounds in a row in which no connection takes a byte, after which a process is seen to read no further.
const MAX_IDLE_ROUNDS: usize = 500;
/// Timeout for a connection, after which the queue of the listener counts as full. Covers a packet that is sent again.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two samples.
const SAMPLE_PERIOD: Duration = Duration::from_millis(20);

/// What each connection of a crowd sends.
#[derive(Clone)]
pub struct CrowdScript {
    pub connections: usize,
    /// How often a connection that the process closed is opened again.
    pub returns: usize,
    pub start: Vec<u8>,
    pub piece: Vec<u8>,
    pub pieces: usize,
    /// Most bytes that a connection sends before the others have their turn.
    pub turn_bytes: usize,
    /// Whether answers are read.
    pub reads: bool,
}

impl CrowdScript {
    fn total_bytes(&self) -> usize {
        self.start.len() + self.piece.len() * self.pieces
    }

    /// Returns the bytes that follow the first `sent` ones, up to the end of a piece or of a turn.
    fn bytes_after(&self, sent: usize) -> &[u8] {
        let rest = match sent.checked_sub(self.start.len()) {
            None => &self.start[sent..],
            Some(_) if sent == self.total_bytes() => &[],
            Some(in_pieces) => &self.piece[in_pieces % self.piece.len()..],
        };
        &rest[..rest.len().min(self.turn_bytes)]
    }
}

/// One connection of a crowd.
struct CrowdMember {
    stream: Option<TcpStream>,
    sent: usize,
    returns_left: usize,
}

impl CrowdMember {
    /// Sends the next bytes. Returns whether anything was done.
    fn advance(&mut self, addr: SocketAddr, script: &CrowdScript) -> bool {
        let Some(stream) = &mut self.stream else {
            return self.reconnect(addr);
        };
        let bytes = script.bytes_after(self.sent);
        let written = match bytes.is_empty() {
            true => Err(ErrorKind::WouldBlock),
            false => stream.write(bytes).map_err(|error| error.kind()),
        };
        match written {
            Ok(bytes) => {
                self.sent += bytes;
                return true;
            }
            Err(ErrorKind::WouldBlock) => {}
            Err(_) => {
                self.stream = None;
                return true;
            }
        }
        let mut answer = [0; 4_096];
        let is_closed = script.reads
            && match stream.read(&mut answer) {
                Ok(bytes) => bytes == 0,
                Err(error) => error.kind() != ErrorKind::WouldBlock,
            };
        if is_closed {
            self.stream = None;
        }
        is_closed
    }

    fn reconnect(&mut self, addr: SocketAddr) -> bool {
        if self.returns_left == 0 {
            return false;
        }
        self.returns_left -= 1;
        self.sent = 0;
        self.stream = connect(addr);
        true
    }
}

fn connect(addr: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).ok()?;
    stream.set_nonblocking(true).ok()?;
    Some(stream)
}

/// Connections that have sent what a process takes from them, and stay open until dropped.
pub struct Crowd {
    _members: Vec<CrowdMember>,
}

impl Crowd {
    /// Connects and sends in turns until all was sent, or the process reads no further.
    pub fn gather(addr: SocketAddr, script: &CrowdScript) -> Self {
        // A listener that takes no more connections is not asked again.
        let streams = (0..script.connections).map_while(|_| connect(addr));
        let members = streams.map(|stream| CrowdMember {
            stream: Some(stream),
            sent: 0,
            returns_left: script.returns,
        });
        let mut members: Vec<_> = members.collect();
        let mut idle_rounds = 0;
        while idle_rounds < MAX_IDLE_ROUNDS {
            let advanced = members
                .iter_mut()
                .filter_map(|member| member.advance(addr, script).then_some(()));
            if advanced.count() > 0 {
                idle_rounds = 0;
                continue;
            }
            idle_rounds += 1;
            std::thread::sleep(IDLE_ROUND);
        }
        Self { _members: members }
    }
}

/// The most that a process took at any time.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourcePeak {
    /// Resident memory and bytes that wait unread in sockets.
    pub memory_bytes: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Samples what a process takes until it is stopped.
pub struct ResourceSampler {
    is_stopped: Arc<AtomicBool>,
    sampling: JoinHandle<ResourcePeak>,
}

impl ResourceSampler {
    /// Samples a process that listens on `ip`, an address of its own.
    pub fn start(id: u32, ip: IpAddr) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&is_stopped);
        let sampling = std::thread::spawn(move || {
            let mut peak = ResourcePeak::default();
            while !stopped.load(Ordering::Relaxed) {
                let Some(sample) = sample(id, ip) else { break };
                peak.memory_bytes = peak.memory_bytes.max(sample.memory_bytes);
                peak.descriptors = peak.descriptors.max(sample.descriptors);
                std::thread::sleep(SAMPLE_PERIOD);
            }
            // Resident memory between two samples.
            let status = process(id).and_then(|process| process.status().ok());
            let peak_kib = status.and_then(|status| status.vmhwm).unwrap_or_default();
            peak.memory_bytes = peak.memory_bytes.max(peak_kib * 1_024);
            peak
        });
        Self {
            is_stopped,
            sampling,
        }
    }

    pub fn stop(self) -> ResourcePeak {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.sampling.join().expect("the sampler panicked")
    }
}

fn process(id: u32) -> Option<Process> {
    Process::new(i32::try_from(id).ok()?).ok()
}

fn sample(id: u32, ip: IpAddr) -> Option<ResourcePeak> {
    let process = process(id)?;
    let resident_bytes = process.status().ok()?.vmrss? * 1_024;
    let descriptors: Vec<_> = process.fd().ok()?.filter_map(Result::ok).collect();
    let sockets: Vec<u64> = descriptors
        .iter()
        .filter_map(|descriptor| match descriptor.target {
            FDTarget::Socket(inode) => Some(inode),
            _ => None,
        })
        .collect();
    // A connection that was not accepted yet has no inode.
    let is_own = |socket: &TcpNetEntry| {
        socket.state != TcpState::Listen
            && (sockets.contains(&socket.inode)
                || socket.inode == 0 && socket.local_address.ip() == ip)
    };
    let connections = procfs::net::tcp().ok()?;
    let unread = connections.iter().filter(|socket| is_own(socket));
    let unread_bytes: u64 = unread.map(|socket| u64::from(socket.rx_queue)).sum();
    Some(ResourcePeak {
        memory_bytes: resident_bytes + unread_bytes,
        descriptors: descriptors.len(),
    })
}
