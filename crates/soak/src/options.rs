//! What a run consists of.

use std::path::PathBuf;
use std::time::Duration;

/// What a run consists of.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The program, `bergamot-entry`.
    pub program: PathBuf,
    /// Where the processes' settings and logs are kept.
    pub folder: PathBuf,
    /// Processes.
    pub entries: usize,
    /// Engine upstreams; two make a group.
    pub engines: usize,
    /// Instances of the plain service.
    pub desks: usize,
    /// Callers of each process.
    pub callers: usize,
    /// Time in which faults begin.
    pub length: Duration,
    /// Faults in that time.
    pub faults: usize,
    /// Requests in that time, besides, that end each upstream that runs them.
    pub harmful: usize,
    /// Limits, rests and leavings that upstreams say in their answers, besides.
    pub said: usize,
    /// Restores of the store from an older copy, besides.
    pub restores: usize,
    /// Planned stops, besides those among the faults: half of them while faults begin, half once all are over.
    pub stops: usize,
    /// Evacuations of failure domains, besides.
    pub evacuations: usize,
    /// Upstreams that start or become cold, besides. Above 0, all upstreams are cold after a start.
    pub cold: usize,
    /// Callers of each process, besides, whose requests have a home region.
    pub home_callers: usize,
    /// Cuts between some processes and all upstreams, besides.
    pub cuts: usize,
    /// Times in which most new connections go to few processes, besides. Above 0, there are routes for streams that may
    /// not be resumed.
    pub crowds: usize,
    /// Silences of sound upstreams, each beside a new configuration, besides. Above 0, there are callers of streams that
    /// may not be resumed.
    pub silences: usize,
    /// Series of configurations that add keys and routes, each while the store turns some processes away, besides. Above
    /// 0, each process is asked for the newest of them that must be in force.
    pub additions: usize,
    /// The number of the first place for processes; runs that go on side by side need others.
    pub first_place: usize,
}

impl SoakOptions {
    /// A run of a dozen processes and some twenty seconds.
    pub fn usual(program: PathBuf, folder: PathBuf) -> Self {
        Self {
            program,
            folder,
            entries: 6,
            engines: 9,
            desks: 3,
            callers: 4,
            length: Duration::from_secs(12),
            faults: 16,
            harmful: 1,
            said: 3,
            restores: 2,
            stops: 8,
            evacuations: 0,
            cold: 0,
            home_callers: 0,
            cuts: 0,
            crowds: 0,
            silences: 0,
            additions: 0,
            first_place: 0,
        }
    }
}
