//! The phases of a process. Each may only be followed by the next one: a phase is taken to make the one after it.

use bergamot_types::prelude::*;

use crate::options::ShutdownOptions;

/// A process in one of its phases, with the connections of callers that are open.
#[derive(Debug)]
pub struct PhaseState<Phase> {
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
    /// When the last caller was accepted since then.
    pub accepted_at: Millis,
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
pub trait ListeningPhase {
    /// Notes that a caller was accepted.
    fn note_accepted(&mut self, now: Millis);
}

impl ListeningPhase for ServingPhase {
    fn note_accepted(&mut self, _now: Millis) {}
}

impl ListeningPhase for NotifiedPhase {
    fn note_accepted(&mut self, now: Millis) {
        self.accepted_at = now;
    }
}

impl ListeningPhase for ClosingPhase {
    fn note_accepted(&mut self, _now: Millis) {}
}

impl<Phase> PhaseState<Phase> {
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

    fn follow<Next>(self, phase: Next) -> PhaseState<Next> {
        PhaseState {
            connections: self.connections,
            phase,
        }
    }
}

impl<Phase> PhaseState<Phase>
where
    Phase: ListeningPhase,
{
    /// Counts a connection that was accepted.
    pub fn accept(&mut self, now: Millis) {
        self.connections += 1;
        self.phase.note_accepted(now);
    }
}

impl Default for PhaseState<ServingPhase> {
    fn default() -> Self {
        Self {
            connections: 0,
            phase: ServingPhase,
        }
    }
}

impl PhaseState<ServingPhase> {
    /// Begins a stop.
    pub fn notify(self, now: Millis, options: ShutdownOptions) -> PhaseState<NotifiedPhase> {
        self.follow(NotifiedPhase {
            began: now,
            options,
            accepted_at: now,
        })
    }
}

impl PhaseState<NotifiedPhase> {
    /// Asks for the listener to be closed.
    pub fn close(self) -> PhaseState<ClosingPhase> {
        let NotifiedPhase { began, options, .. } = self.phase;
        self.follow(ClosingPhase { began, options })
    }
}

impl PhaseState<ClosingPhase> {
    /// Notes that the listener is closed.
    pub fn drain(self) -> PhaseState<DrainingPhase> {
        let ClosingPhase { began, options } = self.phase;
        self.follow(DrainingPhase { began, options })
    }
}

impl PhaseState<DrainingPhase> {
    /// Ends the process.
    pub fn end(self) -> PhaseState<EndedPhase> {
        self.follow(EndedPhase)
    }
}
