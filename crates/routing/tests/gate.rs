//! Which requests an upstream takes.

use bergamot_routing::{GateState, GateTable};
use bergamot_types::prelude::*;

fn life() -> UpstreamLife {
    UpstreamLife::new(UpstreamId::new("u"), Some(UnixMillis(1)))
}

#[test]
fn where_the_more_urgent_wait_the_less_urgent_do() {
    let mut gates = GateTable::default();
    gates.hold_back(&life(), 3, Millis(500), Millis(0));
    assert_eq!(gates.state(&life(), 2, Millis(0)), GateState::Open);
    assert_eq!(
        gates.state(&life(), 3, Millis(0)),
        GateState::Limited(Millis(500))
    );
    assert_eq!(
        gates.state(&life(), 4, Millis(499)),
        GateState::Limited(Millis(500))
    );
    assert_eq!(gates.state(&life(), 4, Millis(500)), GateState::Open);
    gates.hold_back(&life(), 1, Millis(900), Millis(100));
    assert_eq!(
        gates.state(&life(), 4, Millis(200)),
        GateState::Limited(Millis(900))
    );
}

#[test]
fn a_later_run_under_the_same_id_takes_requests() {
    let mut gates = GateTable::default();
    gates.hold_back(&life(), 0, Millis(500), Millis(0));
    let next = UpstreamLife::new(UpstreamId::new("u"), Some(UnixMillis(2)));
    assert_eq!(gates.state(&next, 0, Millis(0)), GateState::Open);
    gates.release(&life());
    assert_eq!(gates.state(&life(), 0, Millis(0)), GateState::Open);
}
