//! The phases of a process. Each transition consumes a phase and returns the next one, so that no
//! phase can be skipped.

use bergamot_types::prelude::*;

use crate::options::ShutdownOptions;

/// A process in one of its phases, with its number of open caller connections.
#[derive(Debug)]
pub struct CountedPhase<Phase> {
    connections: usize,
    phase: Phase,
}

/// The process accepts callers; no shutdown is in progress.
#[derive(Debug)]
pub struct ServingPhase;

/// The stop signal was received. Callers that do not know of it are still accepted.
#[derive(Debug)]
pub struct NotifiedPhase {
    /// When the signal was received.
    pub started_at: Millis,
    /// Deadlines of this shutdown.
    pub options: ShutdownOptions,
}

/// The listener is being closed; connections in its backlog are still accepted.
#[derive(Debug)]
pub struct ClosingPhase {
    /// When the shutdown began.
    pub started_at: Millis,
    /// Deadlines of this shutdown.
    pub options: ShutdownOptions,
}

/// The listener is closed; accepted connections are served.
#[derive(Debug)]
pub struct DrainingPhase {
    /// When the shutdown began.
    pub started_at: Millis,
    /// Deadlines of this shutdown.
    pub options: ShutdownOptions,
}

/// The process exits. No request is forwarded any more.
#[derive(Debug)]
pub struct EndedPhase;

/// Name of a phase.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum PhaseName {
    /// See [`ServingPhase`].
    Serving,
    /// See [`NotifiedPhase`].
    Notified,
    /// See [`ClosingPhase`].
    Closing,
    /// See [`DrainingPhase`].
    Draining,
    /// See [`EndedPhase`].
    Ended,
}

/// A phase in which connections are accepted.
pub trait ListeningPhase {}

impl ListeningPhase for ServingPhase {}
impl ListeningPhase for NotifiedPhase {}
impl ListeningPhase for ClosingPhase {}

impl<Phase> CountedPhase<Phase> {
    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// Returns the data of this phase.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Counts a closed connection.
    pub fn release(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    fn advance_to<Next>(self, phase: Next) -> CountedPhase<Next> {
        CountedPhase {
            connections: self.connections,
            phase,
        }
    }
}

impl<Phase> CountedPhase<Phase>
where
    Phase: ListeningPhase,
{
    /// Counts an accepted connection.
    pub fn accept(&mut self) {
        self.connections += 1;
    }
}

impl Default for CountedPhase<ServingPhase> {
    fn default() -> Self {
        Self {
            connections: 0,
            phase: ServingPhase,
        }
    }
}

impl CountedPhase<ServingPhase> {
    /// Begins a shutdown.
    pub fn notify(self, now: Millis, options: ShutdownOptions) -> CountedPhase<NotifiedPhase> {
        self.advance_to(NotifiedPhase {
            started_at: now,
            options,
        })
    }
}

impl CountedPhase<NotifiedPhase> {
    /// Requests that the listener be closed.
    pub fn close(self) -> CountedPhase<ClosingPhase> {
        let NotifiedPhase {
            started_at,
            options,
        } = self.phase;
        self.advance_to(ClosingPhase {
            started_at,
            options,
        })
    }
}

impl CountedPhase<ClosingPhase> {
    /// Records that the listener is closed.
    pub fn drain(self) -> CountedPhase<DrainingPhase> {
        let ClosingPhase {
            started_at,
            options,
        } = self.phase;
        self.advance_to(DrainingPhase {
            started_at,
            options,
        })
    }
}

impl CountedPhase<DrainingPhase> {
    /// Ends the process.
    pub fn end(self) -> CountedPhase<EndedPhase> {
        self.advance_to(EndedPhase)
    }
}
