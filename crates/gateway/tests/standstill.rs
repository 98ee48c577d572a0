//! When requests at the leader of a group may be said to stand still.

use std::cell::RefCell;
use std::rc::Rc;

use bergamot_feed::PeerDescriptor;
use bergamot_gateway::flight::FlightGuard;
use bergamot_routing::UpstreamMonitor;
use bergamot_types::prelude::*;

#[test]
fn a_request_that_only_waits_says_nothing_about_its_group() {
    let place = PeerDescriptor {
        vm: "vm-1".to_owned(),
        failure_domain: FailureDomain::new("east"),
        millicores: 250,
    };
    let book = Rc::new(RefCell::new(UpstreamMonitor::new(place)));
    let leader = UpstreamIncarnation::new(UpstreamId::new("leader"), None);
    let enter = |at| FlightGuard::enter(&book, &leader, None, 100, Millis(at));
    let has_begun = || book.borrow().load(&leader).has_begun();

    let mut streaming = enter(1_000);
    assert!(!has_begun(), "it may wait behind others");
    streaming.mark_begun();
    streaming.mark_begun();
    book.borrow_mut().record_progress(&leader, Millis(1_100));
    assert!(has_begun());

    // The second one waits in the leader's queue when the first has its whole answer.
    let waiting = enter(1_200);
    assert!(has_begun());
    drop(streaming);
    assert!(!has_begun(), "nothing is to be expected soon");
    assert_eq!(
        book.borrow().load(&leader).inactivity(Millis(1_800)),
        Millis(700)
    );
    drop(waiting);
    assert_eq!(
        book.borrow().load(&leader).inactivity(Millis(1_800)),
        Millis(0)
    );
}
