//! Which connection is closed for a new one.

use std::time::Duration;

/// Time after which a connection may be closed whose request body is still arriving, or whose answer is not read.
const MIN_STALL_TIME: Duration = Duration::from_secs(1);

/// What a connection is doing.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ConnectionPhase {
    /// No whole head of a request has arrived.
    Unused,
    /// The body of a request is arriving.
    Receiving,
    /// A request was answered, and no other one has begun.
    Idle,
    /// A request is being answered.
    Answering,
    /// An answer waits for its caller, who does not read it.
    Unread,
}

/// What a connection is doing, and for how long.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ConnectionStanding {
    /// What it is doing.
    pub phase: ConnectionPhase,
    /// For how long.
    pub age: Duration,
}

impl ConnectionStanding {
    /// Returns the rank among connections to close, the highest first; none if it stays open.
    fn rank(&self) -> Option<(u8, Duration)> {
        let rank = match self.phase {
            ConnectionPhase::Unused => 2,
            ConnectionPhase::Receiving | ConnectionPhase::Unread if self.age >= MIN_STALL_TIME => 1,
            ConnectionPhase::Idle => 0,
            _ => return None,
        };
        Some((rank, self.age))
    }
}

/// Returns the connection to close for a new one: of those that wait for their first request the oldest, then
/// the one whose body or unread answer takes longest, then the one idle for the longest time.
pub fn choose_victim<Id, Standings>(standings: Standings) -> Option<Id>
where
    Standings: IntoIterator<Item = (Id, ConnectionStanding)>,
{
    let ranked = standings.into_iter();
    let ranked = ranked.filter_map(|(id, standing)| Some((standing.rank()?, id)));
    let victim = ranked.max_by_key(|(rank, _)| *rank);
    victim.map(|(_, id)| id)
}
