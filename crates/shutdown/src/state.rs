//! The state machine that moves a process from one phase to the next.

use bergamot_types::prelude::*;

use crate::options::ShutdownOptions;
use crate::phase::{
    ClosingPhase, CountedPhase, DrainingPhase, EndedPhase, NotifiedPhase, PhaseName, ServingPhase,
};

/// An input of [`ShutdownState`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ShutdownEvent {
    /// The stop signal was received. Only the first one counts: a second signal neither cuts
    /// requests in flight nor extends the shutdown.
    Signalled(ShutdownOptions),
    /// A caller's connection was accepted. Reported before any data is read from it.
    Accepted,
    /// An accepted connection closed, by the caller or after its last answer was sent.
    Released,
    /// The listener is closed, and every connection it accepted was reported.
    ListenerClosed,
    /// Time has passed.
    TimePassed,
}

/// An action for the process to take.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ShutdownAction {
    /// Announce the shutdown to the balancer and to the other tasks of the process.
    Announce,
    /// Accept the connections in the backlog, then close the listener and all connections without a
    /// request in flight.
    CloseListener,
    /// Close a connection that was accepted too late, without reading from it.
    Reject,
    /// Exit the process.
    Exit {
        /// Number of open connections that the exit cuts.
        cut: usize,
    },
}

#[derive(Debug)]
enum CurrentPhase {
    Serving(CountedPhase<ServingPhase>),
    Notified(CountedPhase<NotifiedPhase>),
    Closing(CountedPhase<ClosingPhase>),
    Draining(CountedPhase<DrainingPhase>),
    Ended(CountedPhase<EndedPhase>),
}

impl Default for CurrentPhase {
    fn default() -> Self {
        Self::Serving(CountedPhase::default())
    }
}

/// The life cycle of one process.
#[derive(Debug, Default)]
pub struct ShutdownState {
    phase: CurrentPhase,
}

impl ShutdownState {
    /// Handles an event and returns the actions to take, in order.
    pub fn handle(&mut self, now: Millis, event: ShutdownEvent) -> Vec<ShutdownAction> {
        let mut actions = Vec::new();
        match event {
            ShutdownEvent::Signalled(options) => self.notify(now, options, &mut actions),
            ShutdownEvent::Accepted => self.accept(&mut actions),
            ShutdownEvent::Released => self.release(),
            ShutdownEvent::ListenerClosed => self.drain(),
            ShutdownEvent::TimePassed => {}
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Returns the current phase.
    pub fn phase(&self) -> PhaseName {
        match &self.phase {
            CurrentPhase::Serving(_) => PhaseName::Serving,
            CurrentPhase::Notified(_) => PhaseName::Notified,
            CurrentPhase::Closing(_) => PhaseName::Closing,
            CurrentPhase::Draining(_) => PhaseName::Draining,
            CurrentPhase::Ended(_) => PhaseName::Ended,
        }
    }

    /// Returns the number of open caller connections.
    pub fn connections(&self) -> usize {
        match &self.phase {
            CurrentPhase::Serving(state) => state.connections(),
            CurrentPhase::Notified(state) => state.connections(),
            CurrentPhase::Closing(state) => state.connections(),
            CurrentPhase::Draining(state) => state.connections(),
            CurrentPhase::Ended(state) => state.connections(),
        }
    }

    /// Returns the latest end of a request that is read now, so that the exit cannot cut it.
    /// Returns none while every request is accepted: callers that do not know of the stop may send
    /// requests that outlast the grace period.
    pub fn answer_deadline(&self, now: Millis) -> Option<Millis> {
        match &self.phase {
            CurrentPhase::Serving(_) => None,
            CurrentPhase::Notified(state) => {
                let NotifiedPhase {
                    started_at,
                    options,
                } = state.phase();
                let has_notice_elapsed = now.since(*started_at) >= options.notice_period;
                has_notice_elapsed.then(|| *started_at + options.answer_deadline)
            }
            CurrentPhase::Closing(state) => {
                Some(state.phase().started_at + state.phase().options.answer_deadline)
            }
            CurrentPhase::Draining(state) => {
                Some(state.phase().started_at + state.phase().options.answer_deadline)
            }
            CurrentPhase::Ended(_) => Some(Millis::ZERO),
        }
    }

    fn notify(&mut self, now: Millis, options: ShutdownOptions, actions: &mut Vec<ShutdownAction>) {
        self.transition(|phase| match phase {
            CurrentPhase::Serving(state) => {
                actions.push(ShutdownAction::Announce);
                CurrentPhase::Notified(state.notify(now, options))
            }
            other => other,
        });
    }

    fn accept(&mut self, actions: &mut Vec<ShutdownAction>) {
        match &mut self.phase {
            CurrentPhase::Serving(state) => state.accept(),
            CurrentPhase::Notified(state) => state.accept(),
            CurrentPhase::Closing(state) => state.accept(),
            CurrentPhase::Draining(_) | CurrentPhase::Ended(_) => {
                actions.push(ShutdownAction::Reject);
            }
        }
    }

    fn release(&mut self) {
        match &mut self.phase {
            CurrentPhase::Serving(state) => state.release(),
            CurrentPhase::Notified(state) => state.release(),
            CurrentPhase::Closing(state) => state.release(),
            CurrentPhase::Draining(state) => state.release(),
            CurrentPhase::Ended(state) => state.release(),
        }
    }

    fn drain(&mut self) {
        self.transition(|phase| match phase {
            CurrentPhase::Closing(state) => CurrentPhase::Draining(state.drain()),
            other => other,
        });
    }

    /// Moves to the next phases as far as the time and the open connections allow.
    fn advance(&mut self, now: Millis, actions: &mut Vec<ShutdownAction>) {
        self.transition(|phase| match phase {
            CurrentPhase::Notified(state) if may_close(&state, now) => {
                actions.push(ShutdownAction::CloseListener);
                CurrentPhase::Closing(state.close())
            }
            other => other,
        });
        self.transition(|phase| match phase {
            // Enforces the limit on the grace period even if the listener does not report in time
            // that it is closed.
            CurrentPhase::Closing(state)
                if has_timed_out(state.phase().started_at, state.phase().options, now) =>
            {
                CurrentPhase::Draining(state.drain())
            }
            other => other,
        });
        self.transition(|phase| match phase {
            CurrentPhase::Draining(state) if may_exit(&state, now) => {
                let cut = state.connections();
                actions.push(ShutdownAction::Exit { cut });
                CurrentPhase::Ended(state.end())
            }
            other => other,
        });
    }

    fn transition<Step>(&mut self, step: Step)
    where
        Step: FnOnce(CurrentPhase) -> CurrentPhase,
    {
        self.phase = step(std::mem::take(&mut self.phase));
    }
}

fn may_close(state: &CountedPhase<NotifiedPhase>, now: Millis) -> bool {
    now.since(state.phase().started_at) >= state.phase().options.notice_period
}

fn may_exit(state: &CountedPhase<DrainingPhase>, now: Millis) -> bool {
    state.connections() == 0 || has_timed_out(state.phase().started_at, state.phase().options, now)
}

fn has_timed_out(started_at: Millis, options: ShutdownOptions, now: Millis) -> bool {
    now.since(started_at) >= options.exit_deadline
}
