//! A proxy of one link, which misbehaves when told to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::plan::LinkState;

/// Bytes read at once: one is a whole answer of the stand-ins, or many events.
const CHUNK: usize = 16 << 10;

/// One link: whoever connects to `addr` reaches the target, as its state allows.
#[derive(Clone, Debug)]
pub struct LinkProxy {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
    target: Arc<watch::Sender<Option<SocketAddr>>>,
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
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let proxy = Self {
            addr: listener.local_addr()?,
            state: Arc::new(watch::channel(LinkState::Whole).0),
            target: Arc::new(watch::channel(None).0),
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
                Ok((stream, _)) => {
                    tokio::spawn(self.clone().carry(stream));
                }
                Err(error) => {
                    eprintln!("link not accepted: {error}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }

    /// Carries one connection until an end closes it or it is reset.
    async fn carry(self, near: TcpStream) {
        let mut state = self.state.subscribe();
        if *state.borrow_and_update() == LinkState::Reset {
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
        let forward = pass(
            near_read,
            far_write,
            self.state.subscribe(),
            Direction::Forward,
        );
        let backward = pass(
            far_read,
            near_write,
            self.state.subscribe(),
            Direction::Backward,
        );
        tokio::select! {
            () = async { tokio::join!(forward, backward); } => {}
            _ = state.wait_for(|state| *state == LinkState::Reset) => {}
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
    mut state: watch::Receiver<LinkState>,
    direction: Direction,
) {
    let mut chunk = vec![0; CHUNK];
    loop {
        let read = from.read(&mut chunk).await;
        let held = state.wait_for(|state| passes(*state, direction)).await;
        let delay = match held.map(|state| *state) {
            Ok(LinkState::Delayed(delay)) => Some(delay),
            Ok(_) => None,
            Err(_) => return,
        };
        if let Some(delay) = delay {
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
        LinkState::Whole | LinkState::Delayed(_) => true,
        LinkState::Reset | LinkState::Silent => false,
        LinkState::CutForward => matches!(direction, Direction::Backward),
        LinkState::CutBackward => matches!(direction, Direction::Forward),
    }
}
