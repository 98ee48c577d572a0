//! The phases of a process. Each may only be followed by the next one: a phase is taken to make the one after it.

use bergamot_types::prelude::*;

use crate::options::ShutdownOptions;

/// A process in one of its phases, with the connections of callers that are open.
#[derive(Debug)]
pub struct CountedPhase<Phase> {
    connections: usize,
    phase: Phase,
}

/// Callers are taken in, and no stop is under way.
#[derive(Debug)]
pub struct ServingPhase;

/// The signal to stop has come; callers who have not heard of it are taken in as before.
#[derive(Debug)]
pub struct NotifiedPhase {
    /// When it came.
    pub began: Millis,
    /// The times of this stop.
    pub options: ShutdownOptions,
}

/// The listener is to be closed; callers that wait to be accepted are taken in.
#[derive(Debug)]
pub struct ClosingPhase {
    /// When the stop began.
    pub began: Millis,
    /// The times of this stop.
    pub options: ShutdownOptions,
}

/// The listener is closed; what was accepted is served.
#[derive(Debug)]
pub struct DrainingPhase {
    /// When the stop began.
    pub began: Millis,
    /// The times of this stop.
    pub options: ShutdownOptions,
}

/// The process ends. Nothing is sent on any more.
#[derive(Debug)]
pub struct EndedPhase;

/// A phase by its name.
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

/// A phase in which callers are taken in.
pub trait ListeningPhase {}

impl ListeningPhase for ServingPhase {}
impl ListeningPhase for NotifiedPhase {}
impl ListeningPhase for ClosingPhase {}

impl<Phase> CountedPhase<Phase> {
    /// Connections that are open.
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// What is known in this phase.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Counts the end of a connection.
    pub fn release(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    fn follow<Next>(self, phase: Next) -> CountedPhase<Next> {
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
    /// Counts a connection that was accepted.
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
    /// Begins a stop.
    pub fn notify(self, now: Millis, options: ShutdownOptions) -> CountedPhase<NotifiedPhase> {
        self.follow(NotifiedPhase {
            began: now,
            options,
        })
    }
}

impl CountedPhase<NotifiedPhase> {
    /// Asks for the listener to be closed.
    pub fn close(self) -> CountedPhase<ClosingPhase> {
        let NotifiedPhase { began, options } = self.phase;
        self.follow(ClosingPhase { began, options })
    }
}

impl CountedPhase<ClosingPhase> {
    /// Notes that the listener is closed.
    pub fn drain(self) -> CountedPhase<DrainingPhase> {
        let ClosingPhase { began, options } = self.phase;
        self.follow(DrainingPhase { began, options })
    }
}

impl CountedPhase<DrainingPhase> {
    /// Ends the process.
    pub fn end(self) -> CountedPhase<EndedPhase> {
        self.follow(EndedPhase)
    }
}
