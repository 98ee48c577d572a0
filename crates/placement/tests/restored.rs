//! The key-value service is restored from an older copy, so that revisions go back.

use bergamot_placement::{DomainRecord, PlacementEvent, PlacementOptions, PlacementState};
use bergamot_types::prelude::*;

fn read(record: &DomainRecord, revision: i64, started: Millis) -> PlacementEvent {
    PlacementEvent::Record {
        record: Some(record.clone()),
        revision,
        started,
    }
}

#[test]
fn a_record_that_is_read_after_a_restore_is_known_although_its_revision_is_lower() {
    let fabric = FabricDomain::new("east-d0");
    let failure_domain = FailureDomain::new("east");
    let mut state = PlacementState::new(
        EntryId::new("entry-1"),
        1,
        fabric.clone(),
        failure_domain.clone(),
        PlacementOptions::default(),
    );
    let record = DomainRecord::empty(fabric, failure_domain);
    state.handle(Millis(1_000), read(&record, 50, Millis(990)));
    let restored = DomainRecord { term: 7, ..record };
    state.handle(Millis(2_000), read(&restored, 10, Millis(1_990)));
    state.handle(Millis(3_000), read(&restored, 10, Millis(2_990)));
    assert_eq!(state.record(), Some(&restored));
    assert_eq!(state.revision(), 10);
}
