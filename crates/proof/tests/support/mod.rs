//! Parts shared by the randomised runs: a network that delays, duplicates and drops messages, and
//! seeds.
#![allow(dead_code)]

pub mod engines;
pub mod platform;

use std::collections::BTreeMap;

use bergamot_types::Millis;
use bergamot_types::mutate::{self, Mutation};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Returns the seeds to run: `default_count` seeds, or `BERGAMOT_RUNS` seeds if set, or only the
/// seed in `BERGAMOT_SEED`.
pub fn seeds(default_count: u64) -> std::ops::Range<u64> {
    let env_number = |name: &str| {
        let text = std::env::var(name).ok();
        text.and_then(|text| text.parse::<u64>().ok())
    };
    match env_number("BERGAMOT_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..env_number("BERGAMOT_RUNS").unwrap_or(default_count),
    }
}

/// Creates the random number generator of a seed.
pub fn random(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

/// Scheduled messages and timers, ordered by time.
pub struct EventQueue<Message> {
    messages: BTreeMap<(Millis, u64), Message>,
    last_sequence: u64,
}

/// How the network drops, duplicates and delays messages.
#[derive(Clone, Copy)]
pub struct NetworkOptions {
    pub loss_probability: f64,
    pub duplicate_probability: f64,
    pub max_delay_ms: u64,
}

impl<Message: Clone> EventQueue<Message> {
    pub fn new() -> Self {
        Self {
            messages: BTreeMap::new(),
            last_sequence: 0,
        }
    }

    /// Sends a message through the network, which delays it and may drop or duplicate it.
    pub fn send(
        &mut self,
        now: Millis,
        random: &mut ChaCha8Rng,
        network: NetworkOptions,
        message: Message,
    ) {
        if random.random_bool(network.loss_probability) {
            return;
        }
        if random.random_bool(network.duplicate_probability) {
            self.send_delayed(now, random, network, message.clone());
        }
        self.send_delayed(now, random, network, message);
    }

    fn send_delayed(
        &mut self,
        now: Millis,
        random: &mut ChaCha8Rng,
        network: NetworkOptions,
        message: Message,
    ) {
        let delay_ms = random.random_range(1..=network.max_delay_ms);
        self.schedule(now + Millis(delay_ms), message);
    }

    /// Schedules a message for a fixed time, as a timer does.
    pub fn schedule(&mut self, due_at: Millis, message: Message) {
        self.last_sequence += 1;
        self.messages.insert((due_at, self.last_sequence), message);
    }

    /// Removes and returns the next message, with its time.
    pub fn pop_next(&mut self) -> Option<(Millis, Message)> {
        let ((due_at, _), message) = self.messages.pop_first()?;
        Some((due_at, message))
    }
}

/// Runs `check` with a deliberate fault on one seed after another, until a run fails with a message
/// that contains `expected`. Panics if none does.
pub fn expect_caught(
    mutation: Mutation,
    seeds: u64,
    expected: &str,
    check: impl Fn(u64) -> Result<(), String>,
) {
    mutate::set(Some(mutation));
    let mut failures = (0..seeds).filter_map(|seed| check(seed).err());
    let expected_failure = failures.find(|failure| failure.contains(expected));
    mutate::set(None);
    assert!(
        expected_failure.is_some(),
        "no run of {seeds} seeds with {mutation:?} failed with {expected:?}"
    );
}
