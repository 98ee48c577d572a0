//! A proxy of the link between one machine and the store. It can cut the link, or let single open
//! connections go silent while new ones work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::record::millis;

unsafe extern "C" {
    /// POSIX; called again on a listener, it changes the length of its queue.
    fn listen(socket: i32, backlog: i32) -> i32;
}

const CHECK_PERIOD: Duration = millis_const(2);

const fn millis_const(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[derive(Default)]
struct Carried {
    /// Whether a watch is waiting on this connection.
    has_watch: AtomicBool,
    is_silent: AtomicBool,
    is_closed: AtomicBool,
}

pub struct Link {
    pub addr: SocketAddr,
    target: SocketAddr,
    listener: TcpListener,
    is_cut: AtomicBool,
    open: Mutex<Vec<Arc<Carried>>>,
    /// Connections that fill the queue of the listener, so that the system drops further SYNs.
    fillers: Mutex<Vec<TcpStream>>,
}

impl Link {
    pub fn start(target: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let link = Arc::new(Self {
            addr: listener.local_addr()?,
            target,
            listener,
            is_cut: AtomicBool::new(false),
            open: Mutex::default(),
            fillers: Mutex::default(),
        });
        let accepting = Arc::clone(&link);
        thread::spawn(move || accepting.accept());
        Ok(link)
    }

    /// Cuts the link as a partition does: nothing passes, and SYNs are lost.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        thread::sleep(millis(10));
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        let mut fillers = self.fillers.lock().unwrap();
        while let Ok(filler) = TcpStream::connect_timeout(&self.addr, millis(20)) {
            fillers.push(filler);
        }
    }

    /// Ends the cut. What was held back on open connections is delivered.
    pub fn heal(&self) {
        unsafe { listen(self.listener.as_raw_fd(), 128) };
        self.fillers.lock().unwrap().clear();
        self.is_cut.store(false, Ordering::SeqCst);
    }

    /// Lets the connections on which a watch waits go silent for good. Returns how many there are.
    pub fn silence_watches(&self) -> usize {
        let open = self.open.lock().unwrap();
        let watching = open.iter().filter(|carried| {
            let is_open = !carried.is_closed.load(Ordering::SeqCst);
            is_open && carried.has_watch.load(Ordering::SeqCst)
        });
        let watching: Vec<_> = watching.collect();
        for carried in &watching {
            carried.is_silent.store(true, Ordering::SeqCst);
        }
        watching.len()
    }

    fn accept(self: Arc<Self>) {
        loop {
            if self.is_cut.load(Ordering::SeqCst) {
                thread::sleep(CHECK_PERIOD);
                continue;
            }
            let Ok((near, _)) = self.listener.accept() else {
                thread::sleep(CHECK_PERIOD);
                continue;
            };
            let link = Arc::clone(&self);
            thread::spawn(move || link.carry(near));
        }
    }

    fn carry(self: Arc<Self>, near: TcpStream) {
        let _ = near.set_nonblocking(false);
        let Ok(far) = TcpStream::connect(self.target) else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let carried = Arc::new(Carried::default());
        self.open.lock().unwrap().push(Arc::clone(&carried));
        let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let (link, backward) = (Arc::clone(&self), Arc::clone(&carried));
        let backwards = thread::spawn(move || link.pass(far_copy, near_copy, &backward, false));
        self.pass(near, far, &carried, true);
        let _ = backwards.join();
        carried.is_closed.store(true, Ordering::SeqCst);
    }

    /// Passes bytes in one direction until an end closes.
    fn pass(&self, mut from: TcpStream, mut to: TcpStream, carried: &Carried, is_request: bool) {
        let mut chunk = vec![0; 64 << 10];
        loop {
            let read = from.read(&mut chunk).unwrap_or(0);
            if is_request && read > 0 {
                let is_watch = chunk[..read].starts_with(b"GET /-/kv-watch");
                carried.has_watch.store(is_watch, Ordering::SeqCst);
            }
            while self.is_cut.load(Ordering::SeqCst) || carried.is_silent.load(Ordering::SeqCst) {
                thread::sleep(CHECK_PERIOD);
            }
            if read == 0 || to.write_all(&chunk[..read]).is_err() {
                let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
                return;
            }
        }
    }
}
