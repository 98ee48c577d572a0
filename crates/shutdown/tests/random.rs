//! Random sequences of connections, signals and elapsed time.

use bergamot_shutdown::{PhaseName, ShutdownAction, ShutdownEvent, ShutdownOptions, ShutdownState};
use bergamot_types::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of runs, each with its own seed.
const RUNS: u64 = 5_000;
/// Steps per run.
const STEPS: usize = 400;
/// Longest time between two steps, in milliseconds. A run covers about 12 s, more than the longest
/// grace period.
const MAX_STEP_MS: u64 = 60;

/// A model of the process, tracked independently of the state machine.
#[derive(Default)]
struct ProcessModel {
    signalled: Option<(Millis, ShutdownOptions)>,
    open: usize,
    is_closing: bool,
    is_closed: bool,
    has_exited: bool,
}

impl ProcessModel {
    /// Draws the next event.
    fn draw_event<Source>(&self, rng: &mut Source, options: ShutdownOptions) -> ShutdownEvent
    where
        Source: Rng,
    {
        match rng.random_range(0..10) {
            0..4 if !self.is_closed => ShutdownEvent::Accepted,
            4..8 if self.open > 0 => ShutdownEvent::Released,
            8 if self.is_closing && !self.is_closed => ShutdownEvent::ListenerClosed,
            9 if rng.random_ratio(1, 20) => ShutdownEvent::Signalled(options),
            _ => ShutdownEvent::TimePassed,
        }
    }

    fn apply(&mut self, now: Millis, event: ShutdownEvent, actions: &[ShutdownAction]) {
        match event {
            ShutdownEvent::Signalled(options) => {
                self.signalled.get_or_insert((now, options));
            }
            ShutdownEvent::Accepted => {
                let is_rejected = actions.contains(&ShutdownAction::Reject);
                assert_eq!(is_rejected, self.is_closed || self.has_exited);
                self.open += usize::from(!is_rejected);
            }
            ShutdownEvent::Released => self.open -= 1,
            ShutdownEvent::ListenerClosed => self.is_closed = true,
            ShutdownEvent::TimePassed => {}
        }
        for action in actions {
            self.check(now, *action);
        }
    }

    fn check(&mut self, now: Millis, action: ShutdownAction) {
        let (started_at, options) = self.signalled.expect("no action is taken before a signal");
        let age = now.since(started_at);
        match action {
            ShutdownAction::Announce => assert_eq!(age, Millis::ZERO),
            ShutdownAction::CloseListener => {
                assert!(!self.is_closing && age >= options.notice_period);
                self.is_closing = true;
            }
            ShutdownAction::Reject => {}
            ShutdownAction::Exit { cut } => {
                assert!(!self.has_exited, "the process exits once");
                assert_eq!(cut, self.open);
                let has_timed_out = age >= options.exit_deadline;
                assert!(has_timed_out || self.is_closed && self.open == 0);
                self.has_exited = true;
            }
        }
    }
}

/// Each phase and its successor.
const TRANSITIONS: [(PhaseName, PhaseName); 4] = [
    (PhaseName::Serving, PhaseName::Notified),
    (PhaseName::Notified, PhaseName::Closing),
    (PhaseName::Closing, PhaseName::Draining),
    (PhaseName::Draining, PhaseName::Ended),
];

fn run(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut state = ShutdownState::default();
    let mut model = ProcessModel::default();
    let mut now = Millis(1);
    for _ in 0..STEPS {
        now = now + Millis(rng.random_range(0..MAX_STEP_MS));
        let options = ShutdownOptions::within(Millis(rng.random_range(0..9_000)));
        let event = model.draw_event(&mut rng, options);
        let phase_before = state.phase();
        let actions = state.handle(now, event);
        model.apply(now, event, &actions);
        assert_eq!(state.connections(), model.open, "seed {seed}");
        assert!(
            state.phase() >= phase_before,
            "seed {seed}: {phase_before:?} was left for an earlier phase"
        );
        check_transitions(phase_before, state.phase(), &actions, seed);
        check_bounds(&state, &model, now, seed);
    }
}

/// Checks that every phase between the two was entered with its action.
fn check_transitions(
    phase_before: PhaseName,
    phase_after: PhaseName,
    actions: &[ShutdownAction],
    seed: u64,
) {
    let passed = TRANSITIONS
        .iter()
        .filter(|(current, next)| phase_before <= *current && *next <= phase_after);
    for (_, next) in passed {
        let has_action = match next {
            PhaseName::Serving | PhaseName::Draining => true,
            PhaseName::Notified => actions.contains(&ShutdownAction::Announce),
            PhaseName::Closing => actions.contains(&ShutdownAction::CloseListener),
            PhaseName::Ended => {
                let mut emitted = actions.iter();
                emitted.any(|action| matches!(action, ShutdownAction::Exit { .. }))
            }
        };
        assert!(
            has_action,
            "seed {seed}: {next:?} entered without its action"
        );
    }
}

fn check_bounds(state: &ShutdownState, model: &ProcessModel, now: Millis, seed: u64) {
    let Some((started_at, options)) = model.signalled else {
        return;
    };
    let has_timed_out = now.since(started_at) >= options.exit_deadline;
    assert!(
        !has_timed_out || model.has_exited,
        "seed {seed}: still running after the exit deadline"
    );
    let deadline = state.answer_deadline(now);
    let is_bounded =
        deadline.is_some_and(|deadline| deadline <= started_at + options.exit_deadline);
    let has_notice_elapsed = now.since(started_at) >= options.notice_period;
    assert!(
        !has_notice_elapsed || is_bounded,
        "seed {seed}: {deadline:?}"
    );
    assert!(!model.has_exited || deadline == Some(Millis::ZERO));
}

#[test]
fn no_sequence_of_events_skips_a_phase_or_outlasts_the_grace_period() {
    for seed in 0..RUNS {
        run(seed);
    }
}
