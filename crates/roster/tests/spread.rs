//! News of every member reaches everyone at constant cost, also at the size of two years.

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
fn nobody_is_suspected_wrongly_and_the_silent_one_is() {
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
    const PERIOD: u64 = 500;
    const SILENT: usize = 3;
    let mut random = ChaCha8Rng::seed_from_u64(case.members as u64);
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
    let mut most_facts = 0;
    let mut suspects = vec![0; case.members];
    let periods = 60 + case.members / 8;
    let silent_from = periods / 2;
    for period in 0..periods {
        let now = Millis(period as u64 * PERIOD + 1_000);
        let mut beats = Vec::new();
        for (index, state) in states.iter_mut().enumerate() {
            if index == SILENT && period >= silent_from {
                continue;
            }
            let actions = state.handle(now, RosterEvent::Tick);
            let sent = actions
                .iter()
                .filter(|a| matches!(a, RosterAction::Send(..)));
            assert!(sent.count() <= 3, "traffic is constant");
            for action in actions {
                match action {
                    RosterAction::Send(to, beat) => {
                        most_facts = most_facts.max(beat.facts.len());
                        if !random.random_bool(case.loss) {
                            beats.push((to.entry, beat));
                        }
                    }
                    RosterAction::Suspect(entry) => {
                        let suspect: usize = entry.as_str()[6..].parse().expect("numbered");
                        suspects[suspect] += 1;
                        assert!(
                            suspect == SILENT && period >= silent_from,
                            "{} members: {entry} was suspected by {index} in period {period}",
                            case.members
                        );
                    }
                    _ => {}
                }
            }
        }
        for (to, beat) in beats {
            let to: usize = to.as_str()[6..].parse().expect("numbered");
            states[to].handle(now, RosterEvent::Heartbeat(beat));
        }
    }
    assert!(most_facts <= RosterOptions::default().facts_per_beat);
    // Those of its own failure domain share its work, so they must notice within the run.
    let noticed = suspects[SILENT];
    let near = case.members / 5 - 1;
    assert!(
        noticed >= near,
        "{noticed} of {} noticed the silent one",
        case.members
    );
}
