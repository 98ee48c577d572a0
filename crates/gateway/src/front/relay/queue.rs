//! Events that wait until the caller's connection takes them.

use std::sync::Arc;
use std::time::Duration;

use bergamot_types::prelude::*;
use bytes::Bytes;
use tokio::sync::{Semaphore, mpsc};

use crate::clock::BootClock;
use crate::front::answer::AnswerMessage;
use crate::front::held::HeldTotal;

/// Most events that wait for a slow caller before back pressure reaches the upstream.
const MAX_EVENTS: usize = 64;
/// Most bytes of them. A single event may be larger.
const MAX_BYTES: usize = 32 << 10;
/// Time without an event taken after which a caller counts as stalled.
const UNREAD_TIME: Duration = Duration::from_secs(1);

/// Why an event could not be queued.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum QueueEnd {
    /// The caller has disconnected.
    CallerLeft,
    /// The caller reads nothing, and the memory for answers is used up.
    CallerStalled,
    /// The caller reads nothing, and its deadline has passed.
    DeadlinePassed,
}

impl QueueEnd {
    /// Returns the outcome's name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::CallerLeft => "caller_left",
            Self::CallerStalled => "caller_stalled",
            Self::DeadlinePassed => "deadline_exceeded_after_send",
        }
    }
}

/// The events of a stream that wait for its caller.
pub struct EventQueue {
    /// Passes messages to the caller's connection.
    pub sender: mpsc::Sender<AnswerMessage>,
    bytes: Arc<Semaphore>,
    held: HeldTotal,
    clock: BootClock,
    deadline: Millis,
}

impl EventQueue {
    /// Creates an empty queue, and the receiver of its messages.
    pub fn new(
        held: HeldTotal,
        clock: BootClock,
        deadline: Millis,
    ) -> (Self, mpsc::Receiver<AnswerMessage>) {
        let (sender, receiver) = mpsc::channel(MAX_EVENTS);
        let queue = Self {
            sender,
            bytes: Arc::new(Semaphore::new(MAX_BYTES)),
            held,
            clock,
            deadline,
        };
        (queue, receiver)
    }

    /// Queues an event once there is room for it. A caller that takes events gets them, also after its deadline.
    ///
    /// # Errors
    /// See [`QueueEnd`].
    pub async fn push(&self, bytes: Bytes) -> Result<(), QueueEnd> {
        let permits = u32::try_from(bytes.len().min(MAX_BYTES)).unwrap_or(u32::MAX);
        loop {
            let waiting = async {
                let permit = Arc::clone(&self.bytes).acquire_many_owned(permits).await;
                let place = self.sender.reserve().await;
                Some((permit.ok()?, place.ok()?))
            };
            match tokio::time::timeout(UNREAD_TIME, waiting).await {
                Ok(Some((permit, place))) => {
                    let event = self.held.hold_with(bytes, permit);
                    place.send(AnswerMessage::Chunk(event));
                    return Ok(());
                }
                Ok(None) => return Err(QueueEnd::CallerLeft),
                Err(_) if self.held.is_full() => return Err(QueueEnd::CallerStalled),
                Err(_) if self.clock.now() >= self.deadline => {
                    return Err(QueueEnd::DeadlinePassed);
                }
                Err(_) => {}
            }
        }
    }
}
