//! How long the record of a request in quarantine is kept for all VMs.
//!
//! The promise is a day after the request last came, wherever that was. Cause: the VM that coordinates went by the refusals
//! that it gave itself, a sample of what all VMs see, and removed the record for all of them.

#[path = "support/records.rs"]
mod records;

use bergamot_quarantine::{QuarantineAction, QuarantineEvent, QuarantineRecord, QuarantineState};
use bergamot_types::prelude::*;
use records::{incarnation, kept, print};

const NOW: Millis = Millis(10_000);
const HOUR: Millis = Millis::from_secs(3_600);
const TODAY: UnixMillis = UnixMillis(1_700_000_000_000);
/// At the VM that coordinates.
const HOUSEKEEPING: QuarantineEvent<'static> = QuarantineEvent::Housekeeping {
    coordinator_clock: Some(TODAY),
};

struct ElsewhereCase {
    name: &'static str,
    /// When the request was last refused, at another VM than the one that coordinates.
    refused_at: Millis,
    is_kept: bool,
}

#[test]
fn a_record_stays_for_a_day_after_its_request_last_came_to_any_vm() {
    let day = Millis(24 * HOUR.0);
    let cases = [
        ElsewhereCase {
            name: "it came to another VM an hour ago",
            refused_at: NOW + Millis(23 * HOUR.0),
            is_kept: true,
        },
        ElsewhereCase {
            name: "it has not come since its quarantine began",
            refused_at: NOW,
            is_kept: false,
        },
    ];
    for case in cases {
        let key = "held";
        let record = &QuarantineRecord::Quarantined {
            print: print(7),
            incarnations: (1..=3).map(incarnation).collect(),
            since: TODAY,
        };
        let mut coordinator = QuarantineState::default();
        let mut other = QuarantineState::default();
        for vm in [&mut coordinator, &mut other] {
            vm.handle(NOW, QuarantineEvent::Stored { key, record });
        }
        other.record_rejection(case.refused_at, print(7));
        // What the other VM tells of it reaches the one that coordinates.
        let event = QuarantineEvent::Housekeeping {
            coordinator_clock: None,
        };
        let told = kept(other.handle(case.refused_at, event));
        for record in &told {
            coordinator.handle(case.refused_at, QuarantineEvent::Stored { key, record });
        }
        let actions = coordinator.handle(NOW + day, HOUSEKEEPING);
        let removed = QuarantineAction::Remove(vec![key.to_owned()]);
        let is_kept = !actions.contains(&removed);
        assert_eq!(is_kept, case.is_kept, "{}", case.name);
    }
}
