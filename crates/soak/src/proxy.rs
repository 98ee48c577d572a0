//! A proxy of one link, which misbehaves when told to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::plan::LinkState;
use crate::upstream_links::UpstreamLinks;

/// Bytes read at once: one is a whole answer of the stand-ins, or many events.
const CHUNK: usize = 16 << 10;

/// One link: whoever connects to `addr` reaches the target, as its state allows.
#[derive(Clone, Debug)]
pub struct LinkProxy {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
    target: Arc<watch::Sender<Option<SocketAddr>>>,
    /// The links of processes, if they are those that connect.
    process_links: Option<Arc<UpstreamLinks>>,
}

#[derive(Clone, Copy)]
enum Direction {
    Forward,
    Backward,
}

impl LinkProxy {
    /// A proxy that leads nowhere yet.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        Self::start_with(None).await
    }

    /// A proxy that leads nowhere yet, over the links of the processes that connect.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start_over(links: Arc<UpstreamLinks>) -> std::io::Result<Self> {
        Self::start_with(Some(links)).await
    }

    async fn start_with(process_links: Option<Arc<UpstreamLinks>>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let proxy = Self {
            addr: listener.local_addr()?,
            state: Arc::new(watch::channel(LinkState::Whole).0),
            target: Arc::new(watch::channel(None).0),
            process_links,
        };
        tokio::spawn(proxy.clone().accept(listener));
        Ok(proxy)
    }

    /// Leads new connections here.
    pub fn lead_to(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Puts a state in force, for connections that are open too.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, from)) => {
                    tokio::spawn(self.clone().carry(stream, from));
                }
                Err(error) => {
                    eprintln!("link not accepted: {error}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }

    /// Carries one connection until an end closes it or it is reset.
    async fn carry(self, near: TcpStream, from: SocketAddr) {
        let links = self.process_links.as_ref();
        let process_state = links.and_then(|links| links.link_of(from, self.addr));
        let path = LinkPath {
            state: self.state.subscribe(),
            process_state: process_state.unwrap_or_else(|| self.state.subscribe()),
        };
        if path.refuses_new() {
            reset(&near);
            return;
        }
        let target = *self.target.borrow();
        let Some(target) = target else {
            return;
        };
        let Ok(far) = TcpStream::connect(target).await else {
            reset(&near);
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let forward = pass(near_read, far_write, path.clone(), Direction::Forward);
        let backward = pass(far_read, near_write, path.clone(), Direction::Backward);
        tokio::select! {
            () = async { tokio::join!(forward, backward); } => {}
            () = path.wait_reset() => {}
        }
    }
}

/// What a connection goes over: the proxy's link, and that of the process which connected.
#[derive(Clone)]
struct LinkPath {
    state: watch::Receiver<LinkState>,
    process_state: watch::Receiver<LinkState>,
}

impl LinkPath {
    fn refuses_new(&self) -> bool {
        let states = [*self.state.borrow(), *self.process_state.borrow()];
        let mut states = states.iter();
        states.any(|state| matches!(state, LinkState::Reset | LinkState::RefusesNew))
    }

    async fn wait_reset(mut self) {
        let is_reset = |state: &LinkState| *state == LinkState::Reset;
        tokio::select! {
            _ = self.state.wait_for(is_reset) => {}
            _ = self.process_state.wait_for(is_reset) => {}
        }
    }

    /// Waits until bytes pass in a direction. Returns by how much they are delayed, or nothing once
    /// the proxy is gone.
    async fn wait_passing(&mut self, direction: Direction) -> Option<Duration> {
        let is_passing = |state: &LinkState| passes(*state, direction);
        loop {
            let process_state = *self.process_state.wait_for(is_passing).await.ok()?;
            let state = *self.state.wait_for(is_passing).await.ok()?;
            if passes(*self.process_state.borrow(), direction) {
                return Some(state.delay().max(process_state.delay()));
            }
        }
    }
}

/// Makes the connection end in a reset rather than in an orderly close.
fn reset(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        eprintln!("link not reset: {error}");
    }
}

/// Passes bytes on in one direction. What is held back while nothing passes is delivered when the
/// link is whole again, as a network does that sends again.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut path: LinkPath,
    direction: Direction,
) {
    let mut chunk = vec![0; CHUNK];
    loop {
        let read = from.read(&mut chunk).await;
        let Some(delay) = path.wait_passing(direction).await else {
            return;
        };
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let Ok(count @ 1..) = read else {
            let _ = to.shutdown().await;
            return;
        };
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}

fn passes(state: LinkState, direction: Direction) -> bool {
    match state {
        LinkState::Whole | LinkState::Delayed(_) | LinkState::RefusesNew => true,
        LinkState::Reset | LinkState::Silent => false,
        LinkState::CutForward => matches!(direction, Direction::Backward),
        LinkState::CutBackward => matches!(direction, Direction::Forward),
    }
}
