//! Callers that come around the end of a planned stop.
//!
//! Other callers keep their connections, so a process that stops seldom sees a moment without one. These come and go at
//! short pauses, send on connections that are about to be closed, and leave requests half sent.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use crate::caller::{
    CallRecord, CallerConnection, DEADLINE, RequestKind, call_on, connect, connect_slowly,
};
use crate::process::EntryPlace;
use crate::request::CallOrder;
use crate::site::LASTING_KEY;
use crate::slow_stream::HeldPart;

/// Time before the signal from which on they call, so that connections are open and idle at the signal.
pub(crate) const LEAD_TIME: Duration = Duration::from_millis(150);
/// The longest pause between two calls on a connection each, in milliseconds: about the time between two looks of a
/// process that stops, so that some looks find no connection and some calls come right after one.
const SHORT_PAUSE_MS: u64 = 60;
/// The longest time for which a connection stays idle or a request half sent, in milliseconds: past the time after which
/// a process that stops closes idle connections.
const LONG_PAUSE_MS: u64 = 3_000;
/// The longest streams that they ask for, in events: short, as long ones leave no moment without a connection.
const MAX_EVENTS: u64 = 10;
/// The deadlines of all but streams: short, as a process that stops refuses what could outlast its grace. A stream is
/// broken off at its deadline, and the caller cannot tell that from what a stop breaks off.
const DEADLINES: std::ops::Range<Duration> =
    Duration::from_millis(500)..Duration::from_millis(2_500);
/// Callers with a connection for each call at one stop: so many that some come in the time between two looks of a process
/// that stops, and so few that they leave moments without a connection.
const COMING: std::ops::RangeInclusive<usize> = 2..=4;
/// Callers of each other habit at one stop at most.
const MAX_CALLERS: usize = 2;

/// How a caller uses its connections.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum CallHabit {
    /// A connection for each call.
    OneEach,
    /// Keeps its connection, idle for a while or not at all.
    Keeps,
    /// Connects and sends nothing for a while.
    Silent,
    /// Sends a part of the request and the rest after a while.
    Halting(HeldPart),
}

/// Habits that leave a connection open without a whole request.
const HOLDING: [CallHabit; 3] = [
    CallHabit::Silent,
    CallHabit::Halting(HeldPart::HalfHead),
    CallHabit::Halting(HeldPart::BodyEnd),
];

/// Draws the habits of the callers at one stop. At half of the stops none holds connections open, as a process that
/// waits for those ends at the bound of its grace only.
fn draw_habits<Source>(rng: &mut Source) -> Vec<CallHabit>
where
    Source: Rng,
{
    let mut habits = vec![CallHabit::OneEach; rng.random_range(COMING)];
    habits.extend(vec![CallHabit::Keeps; rng.random_range(0..=MAX_CALLERS)]);
    if rng.random_bool(0.5) {
        for habit in HOLDING {
            habits.extend(vec![habit; rng.random_range(0..=MAX_CALLERS)]);
        }
    }
    habits
}

/// One planned stop, as its callers know it.
#[derive(Clone)]
pub(crate) struct StopScene {
    /// Begins the ids of their requests.
    pub(crate) name: String,
    /// The process that stops.
    pub(crate) entry: usize,
    /// Where it listens.
    pub(crate) place: EntryPlace,
    /// What they draw from.
    pub(crate) seed: u64,
    /// Whether the process is gone: they end then.
    pub(crate) is_gone: Arc<AtomicBool>,
    /// Where requests are noted.
    pub(crate) records: Arc<Mutex<Vec<CallRecord>>>,
}

impl StopScene {
    /// Starts callers of drawn habits.
    pub(crate) fn start_callers(&self, callers: &mut JoinSet<()>) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        for (number, habit) in draw_habits(&mut rng).into_iter().enumerate() {
            let caller = StopCaller {
                name: format!("{}-{number}", self.name),
                habit,
                rng: ChaCha8Rng::seed_from_u64(self.seed ^ (number as u64 + 1)),
                scene: self.clone(),
            };
            callers.spawn(caller.run());
        }
    }
}

struct StopCaller {
    name: String,
    habit: CallHabit,
    rng: ChaCha8Rng,
    scene: StopScene,
}

impl StopCaller {
    /// Calls until the process is gone.
    async fn run(mut self) {
        let mut kept = None;
        for count in 0_u64.. {
            self.pause().await;
            if self.scene.is_gone.load(Ordering::Relaxed) {
                return;
            }
            let id = format!("{}-{count}", self.name);
            let record = self.call(&mut kept, id).await;
            self.scene.records.lock().push(record);
            if self.habit != CallHabit::Keeps {
                kept = None;
            }
        }
    }

    async fn pause(&mut self) {
        let longest = match self.habit {
            CallHabit::Keeps if self.rng.random_bool(0.25) => LONG_PAUSE_MS,
            // Sends again at once, while the other end may be closing.
            CallHabit::Keeps => 2,
            _ => SHORT_PAUSE_MS,
        };
        let pause = self.rng.random_range(0..longest);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }

    async fn call(&mut self, kept: &mut Option<CallerConnection>, id: String) -> CallRecord {
        let kind = self.draw_kind();
        let pause = Duration::from_millis(self.rng.random_range(0..LONG_PAUSE_MS));
        let place = self.scene.place;
        let mut sent_at = Instant::now();
        let mut held = Duration::ZERO;
        match self.habit {
            CallHabit::OneEach | CallHabit::Keeps => {}
            CallHabit::Silent => {
                *kept = connect(place).await;
                tokio::time::sleep(pause).await;
                sent_at = Instant::now();
            }
            CallHabit::Halting(part) => {
                *kept = connect_slowly(place, part, pause).await;
                // Nobody can begin on a request before its head has come.
                match part {
                    HeldPart::HalfHead => sent_at += pause,
                    HeldPart::BodyEnd => held = pause,
                }
            }
        }
        let deadline = match kind {
            RequestKind::Stream(_) => DEADLINE,
            _ => self.rng.random_range(DEADLINES),
        };
        let order = CallOrder {
            id: &id,
            kind,
            key: LASTING_KEY,
            deadline,
        };
        let end = call_on(kept, place, order).await;
        CallRecord {
            id,
            kind,
            entry: self.scene.entry,
            key: LASTING_KEY.to_owned(),
            sent_at,
            answer_time: deadline.saturating_sub(held),
            ended_at: Instant::now(),
            end,
        }
    }

    /// A request whose end is held back has a body.
    fn draw_kind(&mut self) -> RequestKind {
        let first = match self.habit {
            CallHabit::Halting(HeldPart::BodyEnd) => 1,
            _ => 0,
        };
        match self.rng.random_range(first..4) {
            0 => RequestKind::Read,
            1 | 2 => RequestKind::Bid,
            _ => RequestKind::Stream(self.rng.random_range(1..=MAX_EVENTS)),
        }
    }
}
