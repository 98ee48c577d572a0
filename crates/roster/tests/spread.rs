//! Heartbeats detect a failed member, and suspect no other, at constant cost per member.
//!
//! Covers rosters up to the size that is expected in two years, with lost datagrams.

use bergamot_roster::{
    Member, RosterAction, RosterEvent, RosterOptions, RosterRecord, RosterState,
};
use bergamot_types::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

struct SpreadCase {
    members: usize,
    loss: f64,
}

fn member(index: usize) -> Member {
    Member {
        entry: EntryId::from(format!("entry-{index:04}")),
        vm: VmId::from(format!("vm-{index}")),
        incarnation: 1,
        failure_domain: FailureDomain::from(format!("fd-{}", index % 5)),
        peer_addr: ([10, 0, (index / 250) as u8, (index % 250) as u8], 1).into(),
        since: 1,
    }
}

#[test]
fn only_the_failed_member_is_suspected() {
    let cases = [
        SpreadCase {
            members: 9,
            loss: 0.05,
        },
        SpreadCase {
            members: 60,
            loss: 0.05,
        },
        SpreadCase {
            members: 370,
            loss: 0.05,
        },
    ];
    for case in cases {
        run(&case);
    }
}

fn run(case: &SpreadCase) {
    const PERIOD_MS: u64 = 500;
    const FAILED_MEMBER: usize = 3;
    let mut rng = ChaCha8Rng::seed_from_u64(case.members as u64);
    let record = RosterRecord {
        epoch: 1,
        settled: 1,
        members: (0..case.members).map(member).collect(),
        ..RosterRecord::default()
    };
    let mut states: Vec<RosterState> = (0..case.members)
        .map(|index| RosterState::new(member(index), RosterOptions::default()))
        .collect();
    for state in &mut states {
        state.handle(Millis(1_000), RosterEvent::Record(record.clone()));
    }
    let mut max_facts = 0;
    let mut suspicions = vec![0; case.members];
    let periods = 60 + case.members / 8;
    let failed_from = periods / 2;
    for period in 0..periods {
        let now = Millis(period as u64 * PERIOD_MS + 1_000);
        let mut heartbeats = Vec::new();
        for (index, state) in states.iter_mut().enumerate() {
            if index == FAILED_MEMBER && period >= failed_from {
                continue;
            }
            let actions = state.handle(now, RosterEvent::Tick);
            let sent = actions
                .iter()
                .filter(|a| matches!(a, RosterAction::Send(..)));
            assert!(
                sent.count() <= 3,
                "expected at most 3 heartbeats per member and period"
            );
            for action in actions {
                match action {
                    RosterAction::Send(receiver, heartbeat) => {
                        max_facts = max_facts.max(heartbeat.facts.len());
                        if !rng.random_bool(case.loss) {
                            heartbeats.push((receiver.entry, heartbeat));
                        }
                    }
                    RosterAction::Suspect(entry) => {
                        let suspect: usize = entry.as_str()[6..].parse().expect("entry number");
                        suspicions[suspect] += 1;
                        assert!(
                            suspect == FAILED_MEMBER && period >= failed_from,
                            "{} members: {entry} was suspected by {index} in period {period}",
                            case.members
                        );
                    }
                    _ => {}
                }
            }
        }
        for (receiver, heartbeat) in heartbeats {
            let receiver: usize = receiver.as_str()[6..].parse().expect("entry number");
            states[receiver].handle(now, RosterEvent::Heartbeat(heartbeat));
        }
    }
    assert!(max_facts <= RosterOptions::default().facts_per_heartbeat);
    // Members of the failed member's domain share its duties, so they must notice within the run.
    let noticed = suspicions[FAILED_MEMBER];
    let near_members = case.members / 5 - 1;
    assert!(
        noticed >= near_members,
        "{noticed} of {} members suspected the failed one",
        case.members
    );
}
