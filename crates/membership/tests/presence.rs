//! Tests of readers that watch their followers: who is removed, how soon, and at which cost.

use bergamot_membership::prelude::*;
use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Followers of one reader, at any size of the fleet.
const FOLLOWERS: usize = 48;
const STEP: Millis = Millis(250);
/// Time that a probe of a VM that does not answer takes.
const PROBE_TIMEOUT: Millis = Millis(250);

/// One reader with its followers.
struct Domain {
    now: Millis,
    reader: PresenceState,
    names: Vec<String>,
    /// VMs that neither ask nor answer.
    silent: IndexSet<String>,
    /// VMs that ask another reader, but answer probes.
    elsewhere: IndexSet<String>,
    /// Share of probes that are lost.
    loss: f64,
    random: ChaCha8Rng,
    /// When each VM's key was first removed.
    removed_at: IndexMap<String, Millis>,
    probes: usize,
}

impl Domain {
    fn new(seed: u64) -> Self {
        let names: Vec<String> = (0..FOLLOWERS).map(|vm| format!("entry-{vm}")).collect();
        let now = Millis::from_secs(100);
        let mut reader = PresenceState::default();
        reader.set_followers(now, names.iter().map(String::as_str));
        Self {
            now,
            reader,
            names,
            silent: IndexSet::new(),
            elsewhere: IndexSet::new(),
            loss: 0.0,
            random: ChaCha8Rng::seed_from_u64(seed),
            removed_at: IndexMap::new(),
            probes: 0,
        }
    }

    fn silence(&mut self, count: usize) {
        self.silent.extend(self.names.iter().take(count).cloned());
    }

    fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            for vm in &self.names {
                if !self.silent.contains(vm) && !self.elsewhere.contains(vm) {
                    let requested = PresenceEvent::Requested(hash_bytes(vm.as_bytes()));
                    self.reader.handle(self.now, requested);
                }
            }
            for action in self.reader.handle(self.now, PresenceEvent::Tick) {
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: PresenceAction) {
        match action {
            PresenceAction::Probe(vm) => {
                self.probes += 1;
                let is_lost = self.random.random_bool(self.loss) || self.silent.contains(&vm);
                let (at, event) = match is_lost {
                    true => (self.now + PROBE_TIMEOUT, PresenceEvent::Unanswered(&vm)),
                    false => (self.now, PresenceEvent::Answered(&vm)),
                };
                for action in self.reader.handle(at, event) {
                    self.carry_out(action);
                }
            }
            PresenceAction::Remove(vm) => {
                self.removed_at.entry(vm).or_insert(self.now);
            }
        }
    }
}

struct SilenceCase {
    what: &'static str,
    silent: usize,
    elsewhere: usize,
    loss: f64,
    expected_removed: usize,
}

#[test]
fn only_keys_of_vms_that_stopped_are_removed() {
    let cases = [
        SilenceCase {
            what: "all request updates",
            silent: 0,
            elsewhere: 0,
            loss: 0.0,
            expected_removed: 0,
        },
        SilenceCase {
            what: "some request updates from another reader, and a tenth of the probes is lost",
            silent: 0,
            elsewhere: 20,
            loss: 0.1,
            expected_removed: 0,
        },
        SilenceCase {
            what: "one VM stopped",
            silent: 1,
            elsewhere: 0,
            loss: 0.0,
            expected_removed: 1,
        },
        SilenceCase {
            what: "a third of the VMs stopped",
            silent: FOLLOWERS / 3,
            elsewhere: 0,
            loss: 0.0,
            expected_removed: FOLLOWERS / 3,
        },
        SilenceCase {
            what: "no VM is heard of, so this one may be cut off",
            silent: FOLLOWERS,
            elsewhere: 0,
            loss: 0.0,
            expected_removed: 0,
        },
    ];
    for case in cases {
        let mut domain = Domain::new(7);
        domain.loss = case.loss;
        let elsewhere = domain.names.iter().rev().take(case.elsewhere).cloned();
        domain.elsewhere = elsewhere.collect();
        domain.run(Millis::from_secs(5));
        let stopped_at = domain.now;
        domain.silence(case.silent);
        domain.run(Millis::from_secs(60));
        assert_eq!(
            domain.removed_at.len(),
            case.expected_removed,
            "{}",
            case.what
        );
        for (vm, at) in &domain.removed_at {
            assert!(domain.silent.contains(vm), "{}: {vm}", case.what);
            let after = at.since(stopped_at);
            // Not before a short lease would have ended, and soon after.
            let bounds = LeaseTerm::SHORT.ttl.since(STEP)..Millis::from_secs(14);
            assert!(bounds.contains(&after), "{}: after {after} ms", case.what);
        }
    }
}

/// Guards against a cost of the watch in a fleet whose followers all request updates.
#[test]
fn followers_that_request_updates_are_not_probed() {
    let mut domain = Domain::new(1);
    domain.run(Millis::from_secs(60));
    assert_eq!(domain.probes, 0);
}

/// A VM that restarts, or is paused for less than its lease, keeps its key.
#[test]
fn vms_that_return_within_a_short_lease_keep_their_keys() {
    for seed in 0..20 {
        let mut domain = Domain::new(seed);
        domain.run(Millis::from_secs(3));
        for _ in 0..10 {
            let count = domain.random.random_range(1..FOLLOWERS);
            domain.silence(count);
            let pause = domain.random.random_range(500..9_500);
            domain.run(Millis(pause));
            domain.silent.clear();
            domain.run(Millis::from_secs(1));
        }
        assert!(domain.removed_at.is_empty(), "seed {seed}");
    }
}

/// A reader that takes over judges its followers by what it sees itself.
#[test]
fn new_followers_get_the_whole_time_before_they_are_removed() {
    let mut domain = Domain::new(3);
    domain.silence(1);
    domain.run(Millis::from_secs(9));
    let names = domain.names.clone();
    domain.reader = PresenceState::default();
    let followers = names.iter().map(String::as_str);
    domain.reader.set_followers(domain.now, followers);
    domain.run(Millis::from_secs(9));
    assert!(domain.removed_at.is_empty());
    domain.run(Millis::from_secs(4));
    assert_eq!(domain.removed_at.len(), 1);
}
