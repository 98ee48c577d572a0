//! Checks that a VM which catches up with a peer in batches neither authorizes nor refuses a request
//! for good by a configuration that was replaced longer ago than the bound.

mod support;

use bergamot_feed::{ConfigConfirmation, UpdateTable};
use bergamot_ports::{StoreEvent, StoreItem, StoreRevision};
use bergamot_types::mutate::Mutation;
use bergamot_types::prelude::*;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use support::{expect_caught, random, seeds};

const CONFIG_KEY: &str = "config";
/// How long the keys of a replaced configuration may be in use.
const REVOKE_TIME: Millis = Millis(5_000);
/// How long requests may be refused for good by a replaced configuration.
const APPLY_TIME: Millis = Millis(2_000);
/// How long a run lasts.
const RUN_TIME: Millis = Millis(60_000);
/// Time between two polls.
const POLL_PERIOD: u64 = 250;

/// The VM that reads the store, which is always up to date.
struct ModelReader {
    table: UpdateTable,
    revision: StoreRevision,
    /// When each version of the configuration was written, from version 0 on.
    written_at: Vec<Millis>,
}

impl ModelReader {
    fn new() -> Self {
        Self {
            table: UpdateTable::from_items([], StoreRevision::ZERO),
            revision: StoreRevision::ZERO,
            written_at: vec![Millis::ZERO],
        }
    }

    fn write(&mut self, key: String, value: Vec<u8>) {
        self.revision = self.revision.next();
        let item = StoreItem {
            key,
            value,
            revision: self.revision,
        };
        self.table.record(&StoreEvent::Written(item));
        self.table.mark_complete(self.revision);
    }

    fn write_config(&mut self, now: Millis) {
        let version = self.latest_version() + 1;
        self.write(CONFIG_KEY.to_owned(), vec![version as u8]);
        self.written_at.push(now);
    }

    fn latest_version(&self) -> usize {
        self.written_at.len() - 1
    }

    /// Whether `version` was replaced more than `bound` before `now`.
    fn is_outdated(&self, version: usize, bound: Millis, now: Millis) -> bool {
        let replaced_at = self.written_at.get(version + 1);
        replaced_at.is_some_and(|at| now.since(*at) > bound)
    }
}

/// A configuration and its confirmation.
#[derive(Clone, Default)]
struct ModelConfig {
    version: usize,
    confirmation: ConfigConfirmation,
}

/// A VM that follows the reader.
#[derive(Default)]
struct ModelFollower {
    revision: StoreRevision,
    known: ModelConfig,
    published: ModelConfig,
}

impl ModelFollower {
    /// Applies one batch. Returns whether more follow.
    fn poll(&mut self, reader: &ModelReader, now: Millis) -> bool {
        let batch = reader.table.changes_since(self.revision, self.revision);
        let batch = batch.expect("the model removes no keys");
        for change in batch.changes {
            if let StoreEvent::Written(item) = change
                && item.key == CONFIG_KEY
            {
                self.known = ModelConfig {
                    version: usize::from(item.value[0]),
                    confirmation: self.known.confirmation.successor(),
                };
            }
        }
        self.revision = batch.revision;
        if self.known.version == reader.latest_version() {
            self.known.confirmation.record(now);
        }
        if !batch.has_more {
            self.published = self.known.clone();
        }
        batch.has_more
    }
}

/// Writes what may happen in a millisecond to the store.
fn write_changes(reader: &mut ModelReader, random: &mut ChaCha8Rng, now: Millis) {
    if random.random_bool(0.000_5) {
        reader.write_config(now);
    }
    if random.random_bool(0.02) {
        let key = format!("entry/{}", random.random_range(0..400));
        reader.write(key, vec![0; 1_000]);
    }
}

/// Lets a VM follow a reader through cuts, and checks each millisecond what it decides by while its
/// configuration was confirmed within `bound`.
fn check_catching_up(seed: u64, bound: Millis) -> Result<(), String> {
    let mut random = random(seed);
    let (mut reader, mut follower) = (ModelReader::new(), ModelFollower::default());
    let mut cut_until = Millis::ZERO;
    let mut poll_at = Millis::ZERO;
    for now in (0..RUN_TIME.0).map(Millis) {
        write_changes(&mut reader, &mut random, now);
        if now >= cut_until && random.random_bool(0.000_2) {
            cut_until = now + Millis(random.random_range(1_000..12_000));
        }
        if now >= cut_until && now >= poll_at {
            let pause = match follower.poll(&reader, now) {
                true => random.random_range(1..POLL_PERIOD),
                false => POLL_PERIOD,
            };
            poll_at = now + Millis(pause);
        }
        let published = &follower.published;
        let is_decisive = published.confirmation.age(now) < bound;
        if is_decisive && reader.is_outdated(published.version, bound, now) {
            let version = published.version;
            return Err(format!("version {version} is in use at {now}"));
        }
    }
    Ok(())
}

/// A decision that a confirmed configuration allows.
struct DecisionCase {
    name: &'static str,
    bound: Millis,
}

const CASES: [DecisionCase; 2] = [
    DecisionCase {
        name: "a key is accepted",
        bound: REVOKE_TIME,
    },
    DecisionCase {
        name: "a request is refused for good",
        bound: APPLY_TIME,
    },
];

#[test]
fn a_replaced_configuration_is_not_in_use_after_the_bound() {
    for case in CASES {
        for seed in seeds(300) {
            let outcome = check_catching_up(seed, case.bound);
            outcome.unwrap_or_else(|failure| panic!("{}, seed {seed}: {failure}", case.name));
        }
    }
}

#[test]
fn a_confirmation_before_the_view_is_caught() {
    for case in CASES {
        expect_caught(
            Mutation::ConfirmBeforePublishing,
            300,
            "is in use at",
            |seed| check_catching_up(seed, case.bound),
        );
    }
}
