//! Random orders of arrivals, ends, signals and looks.

use bergamot_shutdown::{PhaseName, ShutdownAction, ShutdownEvent, ShutdownOptions, ShutdownState};
use bergamot_types::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Runs, each with a seed of its own.
const RUNS: u64 = 5_000;
/// Steps of a run.
const STEPS: usize = 400;
/// The longest time between two steps, in milliseconds: some 12 s in a run, more than the longest grace.
const LONGEST_STEP_MS: u64 = 60;

/// What a process would have seen, kept apart from the state.
#[derive(Default)]
struct StopAccount {
    signalled: Option<(Millis, ShutdownOptions)>,
    open: usize,
    is_closing: bool,
    is_closed: bool,
    has_ended: bool,
}

impl StopAccount {
    /// Draws what comes next.
    fn draw<Source>(&self, rng: &mut Source, options: ShutdownOptions) -> ShutdownEvent
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

    fn note(&mut self, now: Millis, event: ShutdownEvent, actions: &[ShutdownAction]) {
        match event {
            ShutdownEvent::Signalled(options) => {
                self.signalled.get_or_insert((now, options));
            }
            ShutdownEvent::Accepted => {
                let is_rejected = actions.contains(&ShutdownAction::Reject);
                assert_eq!(is_rejected, self.is_closed || self.has_ended);
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
        let (began, options) = self.signalled.expect("nothing is done without a signal");
        let age = now.since(began);
        match action {
            ShutdownAction::Announce => assert_eq!(age, Millis::ZERO),
            ShutdownAction::CloseListener => {
                assert!(!self.is_closing && age >= options.notice);
                self.is_closing = true;
            }
            ShutdownAction::Reject => {}
            ShutdownAction::Exit { cut } => {
                assert!(!self.has_ended, "it ends once");
                assert_eq!(cut, self.open);
                let is_over = age >= options.end;
                assert!(is_over || self.is_closed && self.open == 0);
                self.has_ended = true;
            }
        }
    }
}

/// Each phase, and the one that follows it.
const NEXT: [(PhaseName, PhaseName); 4] = [
    (PhaseName::Serving, PhaseName::Notified),
    (PhaseName::Notified, PhaseName::Closing),
    (PhaseName::Closing, PhaseName::Draining),
    (PhaseName::Draining, PhaseName::Ended),
];

fn play(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut state = ShutdownState::default();
    let mut account = StopAccount::default();
    let mut now = Millis(1);
    for _ in 0..STEPS {
        now = now + Millis(rng.random_range(0..LONGEST_STEP_MS));
        let options = ShutdownOptions::within(Millis(rng.random_range(0..9_000)));
        let event = account.draw(&mut rng, options);
        let before = state.phase();
        let actions = state.handle(now, event);
        account.note(now, event, &actions);
        assert_eq!(state.connections(), account.open, "seed {seed}");
        assert!(state.phase() >= before, "seed {seed}: {before:?} again");
        check_steps(before, state.phase(), &actions, seed);
        check_bounds(&state, &account, now, seed);
    }
}

/// A phase is only reached by way of all before it, each with what it has to do.
fn check_steps(before: PhaseName, after: PhaseName, actions: &[ShutdownAction], seed: u64) {
    let passed = NEXT
        .iter()
        .filter(|(from, to)| before <= *from && *to <= after);
    for (_, to) in passed {
        let is_done = match to {
            PhaseName::Serving | PhaseName::Draining => true,
            PhaseName::Notified => actions.contains(&ShutdownAction::Announce),
            PhaseName::Closing => actions.contains(&ShutdownAction::CloseListener),
            PhaseName::Ended => {
                let mut ends = actions.iter();
                ends.any(|it| matches!(it, ShutdownAction::Exit { .. }))
            }
        };
        assert!(is_done, "seed {seed}: {to:?} without its action");
    }
}

fn check_bounds(state: &ShutdownState, account: &StopAccount, now: Millis, seed: u64) {
    let Some((began, options)) = account.signalled else {
        return;
    };
    let is_over = now.since(began) >= options.end;
    assert!(!is_over || account.has_ended, "seed {seed}: past its grace");
    let end = state.answer_deadline(now);
    let is_bounded = end.is_some_and(|end| end <= began + options.end);
    let is_noticed = now.since(began) >= options.notice;
    assert!(!is_noticed || is_bounded, "seed {seed}: {end:?}");
    assert!(!account.has_ended || end == Some(Millis::ZERO));
}

#[test]
fn no_order_of_events_skips_a_phase_or_outlasts_the_grace() {
    for seed in 0..RUNS {
        play(seed);
    }
}
