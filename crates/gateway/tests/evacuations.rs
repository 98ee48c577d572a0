//! Guards against evacuations that end without their key's removal, or that outlast it.

use bergamot_gateway::evacuations::{
    ENDED_RETENTION, EvacuationEvent, EvacuationState, RESTORED_EVACUATION_HOLD,
};
use bergamot_ports::{StoreGeneration, StoreRevision};
use bergamot_types::prelude::*;

const START: Millis = Millis(1_000_000);

/// Short notation for an event that concerns the failure domain `east`.
#[derive(Clone, Copy)]
enum Step {
    /// Generation and number of a write.
    Write(u64, u64),
    Remove(u64, u64),
    /// A read at this revision that holds the key, which was written at the second one.
    ReadHolding((u64, u64), (u64, u64)),
    ReadLacking(u64, u64),
    /// A peer's hold that began this many milliseconds ago, of a key of this revision.
    Retain(u64, (u64, u64)),
    /// The end at this revision, of which a peer learned this many milliseconds ago.
    PeerEnd(u64, (u64, u64)),
    /// Time passes.
    Wait(Millis),
}

const fn revision((generation, number): (u64, u64)) -> StoreRevision {
    StoreRevision::new(StoreGeneration(generation), number)
}

/// Applies steps and returns the state and the time.
fn apply(steps: &[Step]) -> (EvacuationState, Millis) {
    let (mut state, mut now) = (EvacuationState::default(), START);
    let east = FailureDomain::new("east");
    for step in steps {
        let held;
        let event = match *step {
            Step::Write(generation, number) => {
                EvacuationEvent::Written(east.clone(), revision((generation, number)))
            }
            Step::Remove(generation, number) => {
                EvacuationEvent::Removed(east.clone(), revision((generation, number)))
            }
            Step::ReadHolding(read, key) => {
                held = [(east.clone(), revision(key))];
                let revision = revision(read);
                EvacuationEvent::Read {
                    domains: &held,
                    revision,
                }
            }
            Step::ReadLacking(generation, number) => EvacuationEvent::Read {
                domains: &[],
                revision: revision((generation, number)),
            },
            Step::Retain(age, key) => EvacuationEvent::Retained {
                domain: east.clone(),
                revision: revision(key),
                held_since: Millis(now.0 - age),
            },
            Step::PeerEnd(age, end) => EvacuationEvent::EndedAtPeer {
                domain: east.clone(),
                revision: revision(end),
                ended_at: Millis(now.0 - age),
            },
            Step::Wait(duration) => {
                now = now + duration;
                EvacuationEvent::Tick(revision((1, 90)))
            }
        };
        state.handle(now, event);
    }
    (state, now)
}

struct StateCase {
    name: &'static str,
    steps: &'static [Step],
    outcome: Outcome,
}

const fn case(name: &'static str, steps: &'static [Step], outcome: Outcome) -> StateCase {
    StateCase {
        name,
        steps,
        outcome,
    }
}

/// What is known of `east` in the end.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Evacuated,
    Ended,
    NeverKnown,
}

#[test]
fn an_evacuation_lasts_until_its_key_is_removed_and_no_longer() {
    use Outcome::{Ended, Evacuated, NeverKnown};
    use Step::{PeerEnd, ReadHolding, ReadLacking, Remove, Retain, Wait, Write};
    const JUST_BEFORE: Millis = Millis(RESTORED_EVACUATION_HOLD.0 - 1);
    let cases = [
        case(
            "a long time without news",
            &[Write(0, 5), Wait(Millis(100_000_000))],
            Evacuated,
        ),
        case("removal", &[Write(0, 5), Remove(0, 6)], Ended),
        case(
            "removed and added again",
            &[Write(0, 5), Remove(0, 6), Write(0, 7)],
            Evacuated,
        ),
        case(
            "only the second write is seen",
            &[Write(0, 5), Write(0, 7), Remove(0, 6)],
            Evacuated,
        ),
        case(
            "a read lacks the key",
            &[Write(0, 5), ReadLacking(0, 9)],
            Ended,
        ),
        case(
            "a read from a peer is older than the key",
            &[Write(0, 5), ReadLacking(0, 4)],
            Evacuated,
        ),
        case(
            "a read from a peer is older than the removal",
            &[Write(0, 5), Remove(0, 6), ReadHolding((0, 5), (0, 5))],
            Ended,
        ),
        case(
            "a read holds the key",
            &[ReadHolding((0, 9), (0, 5))],
            Evacuated,
        ),
        case(
            "the restored store lacks the key",
            &[Write(0, 50), ReadLacking(1, 9), Wait(JUST_BEFORE)],
            Evacuated,
        ),
        case(
            "it still lacks the key after the hold",
            &[
                Write(0, 50),
                ReadLacking(1, 9),
                Wait(RESTORED_EVACUATION_HOLD),
            ],
            Ended,
        ),
        case(
            "a second read during the hold lacks the key",
            &[Write(0, 50), ReadLacking(1, 9), ReadLacking(1, 12)],
            Evacuated,
        ),
        case(
            "a second read does not extend the hold",
            &[
                Write(0, 50),
                ReadLacking(1, 9),
                Wait(JUST_BEFORE),
                ReadLacking(1, 12),
                Wait(Millis(1)),
            ],
            Ended,
        ),
        case(
            "a peer's hold ends a moment later",
            &[
                Write(0, 50),
                ReadLacking(1, 9),
                Wait(RESTORED_EVACUATION_HOLD),
                Retain(JUST_BEFORE.0, (0, 50)),
            ],
            Ended,
        ),
        case(
            "the key is written again during the hold",
            &[
                Write(0, 50),
                ReadLacking(1, 9),
                Write(1, 12),
                Wait(RESTORED_EVACUATION_HOLD),
            ],
            Evacuated,
        ),
        case(
            "the key is removed during the hold",
            &[Write(0, 50), ReadLacking(1, 9), Remove(1, 12)],
            Ended,
        ),
        case(
            "the restored store holds a removed key",
            &[Write(0, 50), Remove(0, 60), ReadHolding((1, 55), (1, 50))],
            Evacuated,
        ),
        case(
            "a VM that starts after the restore learns of the hold",
            &[ReadLacking(1, 9), Retain(1_000, (0, 50))],
            Evacuated,
        ),
        case(
            "the hold of the peer counts from its beginning",
            &[
                ReadLacking(1, 9),
                Retain(1_000, (0, 50)),
                Wait(Millis(RESTORED_EVACUATION_HOLD.0 - 1_000)),
            ],
            Ended,
        ),
        case(
            "a peer holds what the operator has written and removed since",
            &[
                Write(0, 50),
                ReadLacking(1, 9),
                Write(1, 12),
                Remove(1, 13),
                Retain(5_000, (0, 50)),
            ],
            Ended,
        ),
        case(
            "a peer holds what was removed before the restore",
            &[
                Write(0, 50),
                Remove(0, 60),
                ReadLacking(1, 9),
                Retain(100, (0, 50)),
            ],
            Ended,
        ),
        case(
            "a peer saw the removal that this VM missed before the restore",
            &[Write(0, 50), ReadLacking(1, 9), PeerEnd(1_000, (0, 60))],
            Ended,
        ),
        case(
            "a peer saw an earlier removal only",
            &[Write(0, 50), ReadLacking(1, 9), PeerEnd(1_000, (0, 40))],
            Evacuated,
        ),
        case(
            "a peer saw a removal before the key was written again",
            &[ReadHolding((1, 9), (1, 5)), PeerEnd(1_000, (0, 60))],
            Evacuated,
        ),
        case(
            "a peer holds what was removed before this VM knew the domain",
            &[Remove(0, 60), ReadLacking(1, 9), Retain(100, (0, 50))],
            Ended,
        ),
        case(
            "a peer holds what has ended at another peer",
            &[
                ReadLacking(1, 9),
                PeerEnd(1_000, (0, 60)),
                Retain(100, (0, 50)),
            ],
            Ended,
        ),
        case(
            "a late removal does not make an earlier end forgotten",
            &[Remove(0, 60), PeerEnd(1_000, (0, 40)), Retain(100, (0, 50))],
            Ended,
        ),
        case(
            "a peer's end is too old to be passed on for ever",
            &[PeerEnd(120_001, (0, 60)), Retain(100, (0, 50))],
            Evacuated,
        ),
        case(
            "a peer's hold is over",
            &[
                ReadLacking(1, 9),
                Retain(RESTORED_EVACUATION_HOLD.0, (0, 50)),
            ],
            NeverKnown,
        ),
    ];
    let mut failures = Vec::new();
    for case in cases {
        let (state, now) = apply(case.steps);
        let outcome = match (state.evacuations().len(), state.ended(now).len()) {
            (1, 0) => Outcome::Evacuated,
            (0, 1) => Outcome::Ended,
            _ => Outcome::NeverKnown,
        };
        if outcome != case.outcome {
            failures.push(format!("{}: {state:?}", case.name));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

struct RetainCase {
    name: &'static str,
    steps: &'static [Step],
    /// What this VM knows of the store.
    known: (u64, u64),
    peer_generation: u64,
    /// Age in milliseconds of the hold that the peer is told of.
    expected: Option<u64>,
}

/// A VM that starts after a restore can learn of a lost key from its peers only. Peers do not pass on
/// keys that the store holds, which may be removed meanwhile.
#[test]
fn peers_are_told_of_exactly_the_keys_that_a_restored_store_lacks() {
    use Step::{ReadLacking, Wait, Write};
    let cases = [
        RetainCase {
            name: "the store holds the key",
            steps: &[Write(0, 5)],
            known: (0, 9),
            peer_generation: 0,
            expected: None,
        },
        RetainCase {
            name: "the restored store lacks the key",
            steps: &[Write(0, 50), ReadLacking(1, 9), Wait(Millis(700))],
            known: (1, 9),
            peer_generation: 1,
            expected: Some(700),
        },
        RetainCase {
            name: "this VM has not noticed the restore that the peer knows of",
            steps: &[Write(0, 50), Wait(Millis(700))],
            known: (0, 50),
            peer_generation: 1,
            expected: Some(0),
        },
    ];
    for case in cases {
        let (state, now) = apply(case.steps);
        let peer_generation = StoreGeneration(case.peer_generation);
        let retained = state.retained(revision(case.known), peer_generation, now);
        let ages: Vec<u64> = retained.iter().map(|retained| retained.age.0).collect();
        assert_eq!(ages, Vec::from_iter(case.expected), "{}", case.name);
    }
}

/// A VM that missed a removal before a restore learns of it from peers only. Without the age, VMs
/// would pass an end on to each other for ever.
#[test]
fn peers_are_told_of_recent_ends_with_their_age() {
    let steps = [Step::Remove(0, 60), Step::Wait(Millis(700))];
    let (state, now) = apply(&steps);
    let ends = state.recent_ends(now);
    let ends: Vec<_> = ends.iter().map(|end| (end.revision, end.age)).collect();
    assert_eq!(ends, [(revision((0, 60)), Millis(700))]);
    let later = now + Millis::from_secs(120);
    assert!(state.recent_ends(later).is_empty());
}

/// Warm-up compares the revisions of entries with that of the removal.
#[test]
fn the_end_of_an_evacuation_has_its_revision_and_is_forgotten_in_the_end() {
    let (state, now) = apply(&[Step::Write(0, 5), Step::Remove(0, 6)]);
    let end = state.ended(now)[&FailureDomain::new("east")];
    assert_eq!((end.revision, end.known_at), (revision((0, 6)), START));
    assert!(state.ended(now + ENDED_RETENTION + Millis(1)).is_empty());
}
