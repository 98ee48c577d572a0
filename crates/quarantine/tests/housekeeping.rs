//! Guards against removing the record of a quarantined request too early.
//!
//! The record must stay for a day after the request last came to any VM. The coordinator used only
//! the rejections it made itself, a sample of what all VMs see, and removed the record for all of
//! them.

#[path = "support/records.rs"]
mod records;

use bergamot_quarantine::{QuarantineAction, QuarantineEvent, QuarantineRecord, QuarantineState};
use bergamot_types::prelude::*;
use records::{incarnation, print, shared_records};

const NOW: Millis = Millis(10_000);
const HOUR: Millis = Millis::from_secs(3_600);
const TODAY: UnixMillis = UnixMillis(1_700_000_000_000);
/// Housekeeping on the coordinator.
const HOUSEKEEPING: QuarantineEvent<'static> = QuarantineEvent::Housekeeping {
    coordinator_clock: Some(TODAY),
};

struct RenewalCase {
    name: &'static str,
    /// When the request was last rejected by a VM other than the coordinator.
    rejected_at: Millis,
    is_stored: bool,
}

#[test]
fn quarantine_record_is_kept_for_a_day_after_the_request_last_came_to_any_vm() {
    let day = Millis(24 * HOUR.0);
    let cases = [
        RenewalCase {
            name: "the request came to another VM an hour ago",
            rejected_at: NOW + Millis(23 * HOUR.0),
            is_stored: true,
        },
        RenewalCase {
            name: "the request has not come since its quarantine began",
            rejected_at: NOW,
            is_stored: false,
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
        other.record_rejection(case.rejected_at, print(7));
        // The other VM's report reaches the coordinator.
        let event = QuarantineEvent::Housekeeping {
            coordinator_clock: None,
        };
        let reports = shared_records(other.handle(case.rejected_at, event));
        for record in &reports {
            coordinator.handle(case.rejected_at, QuarantineEvent::Stored { key, record });
        }
        let actions = coordinator.handle(NOW + day, HOUSEKEEPING);
        let removed = QuarantineAction::Remove(vec![key.to_owned()]);
        let is_stored = !actions.contains(&removed);
        assert_eq!(is_stored, case.is_stored, "{}", case.name);
    }
}
