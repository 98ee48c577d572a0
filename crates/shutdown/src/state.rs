//! What moves a process from one phase to the next.

use bergamot_types::prelude::*;

use crate::options::ShutdownOptions;
use crate::phase::{
    ClosingPhase, CountedPhase, DrainingPhase, EndedPhase, NotifiedPhase, PhaseName, ServingPhase,
};

/// What befell a process.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ShutdownEvent {
    /// It was told to stop. Only the first signal counts: a second one neither cuts what is in flight nor gives it longer.
    Signalled(ShutdownOptions),
    /// A caller's connection was accepted. Told before anything is read from it.
    Accepted,
    /// A connection that was accepted has ended: its last answer has left, or its caller.
    Released,
    /// The listener is closed, and all that it had accepted was told.
    ListenerClosed,
    /// Time has passed.
    TimePassed,
}

/// What the process has to do.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ShutdownAction {
    /// Tell the balancer and the other duties of the stop.
    Announce,
    /// Accept who waits to be accepted, and close the listener; close the connections whose callers wait for no answer.
    CloseListener,
    /// Close a connection that was accepted too late, unread.
    Reject,
    /// End the process; so many connections are cut.
    Exit {
        /// Connections that are still open.
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
    /// Takes in what befell the process, and says what it has to do, in this order.
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

    /// The phase that the process is in.
    pub fn phase(&self) -> PhaseName {
        match &self.phase {
            CurrentPhase::Serving(_) => PhaseName::Serving,
            CurrentPhase::Notified(_) => PhaseName::Notified,
            CurrentPhase::Closing(_) => PhaseName::Closing,
            CurrentPhase::Draining(_) => PhaseName::Draining,
            CurrentPhase::Ended(_) => PhaseName::Ended,
        }
    }

    /// Connections of callers that are open.
    pub fn connections(&self) -> usize {
        match &self.phase {
            CurrentPhase::Serving(state) => state.connections(),
            CurrentPhase::Notified(state) => state.connections(),
            CurrentPhase::Closing(state) => state.connections(),
            CurrentPhase::Draining(state) => state.connections(),
            CurrentPhase::Ended(state) => state.connections(),
        }
    }

    /// When a request that is read now must be over, so that the end of the process cannot cut it. None while every
    /// request is taken: callers who have not heard of a stop may send requests that outlast its grace.
    pub fn answer_deadline(&self, now: Millis) -> Option<Millis> {
        match &self.phase {
            CurrentPhase::Serving(_) => None,
            CurrentPhase::Notified(state) => {
                let NotifiedPhase { began, options } = state.phase();
                let is_noticed = now.since(*began) >= options.notice;
                is_noticed.then(|| *began + options.answer_end)
            }
            CurrentPhase::Closing(state) => {
                Some(state.phase().began + state.phase().options.answer_end)
            }
            CurrentPhase::Draining(state) => {
                Some(state.phase().began + state.phase().options.answer_end)
            }
            CurrentPhase::Ended(_) => Some(Millis::ZERO),
        }
    }

    fn notify(&mut self, now: Millis, options: ShutdownOptions, actions: &mut Vec<ShutdownAction>) {
        self.replace(|phase| match phase {
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
        self.replace(|phase| match phase {
            CurrentPhase::Closing(state) => CurrentPhase::Draining(state.drain()),
            other => other,
        });
    }

    /// Moves on as far as the time and the open connections allow.
    fn advance(&mut self, now: Millis, actions: &mut Vec<ShutdownAction>) {
        self.replace(|phase| match phase {
            CurrentPhase::Notified(state) if may_close(&state, now) => {
                actions.push(ShutdownAction::CloseListener);
                CurrentPhase::Closing(state.close())
            }
            other => other,
        });
        self.replace(|phase| match phase {
            // The bound on the grace holds also where the listener's end is not told in time.
            CurrentPhase::Closing(state)
                if is_over(state.phase().began, state.phase().options, now) =>
            {
                CurrentPhase::Draining(state.drain())
            }
            other => other,
        });
        self.replace(|phase| match phase {
            CurrentPhase::Draining(state) if may_end(&state, now) => {
                let cut = state.connections();
                actions.push(ShutdownAction::Exit { cut });
                CurrentPhase::Ended(state.end())
            }
            other => other,
        });
    }

    fn replace<Step>(&mut self, step: Step)
    where
        Step: FnOnce(CurrentPhase) -> CurrentPhase,
    {
        self.phase = step(std::mem::take(&mut self.phase));
    }
}

fn may_close(state: &CountedPhase<NotifiedPhase>, now: Millis) -> bool {
    now.since(state.phase().began) >= state.phase().options.notice
}

fn may_end(state: &CountedPhase<DrainingPhase>, now: Millis) -> bool {
    state.connections() == 0 || is_over(state.phase().began, state.phase().options, now)
}

fn is_over(began: Millis, options: ShutdownOptions, now: Millis) -> bool {
    now.since(began) >= options.end
}
