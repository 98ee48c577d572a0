use bergamot_ports::{StoreGeneration, StoreRevision};

use super::*;
use crate::evacuations::EvacuationEvent;

/// Guards against a VM that knows the end of an evacuation and does not pass it on.
#[test]
fn responses_carry_ends_of_evacuations() {
    let removed_at = StoreRevision::new(StoreGeneration(0), 60);
    let mut feed_state = FeedState {
        table: Some(UpdateTable::from_items([], removed_at)),
        ..FeedState::default()
    };
    let removal = EvacuationEvent::Removed(FailureDomain::new("east"), removed_at);
    feed_state.evacuations.handle(Millis(1_000), removal);
    let request = UpdateRequest {
        requester: 0,
        after: removed_at,
        unaffected_until: removed_at,
        lacks_config_after: None,
    };
    let response = feed_state.respond(&request, Millis(1_500), Millis::ZERO);
    let UpdateResponse::Changes(updates) = response else {
        panic!("the feed has updates");
    };
    let ends = updates.evacuation_ends.iter();
    let ends: Vec<_> = ends.map(|end| (end.revision, end.age)).collect();
    assert_eq!(ends, [(removed_at, Millis(500))]);
}
