//! Guards against treating a leader as stalled because of requests that wait in its queue.

use std::cell::RefCell;
use std::rc::Rc;

use bergamot_feed::PeerDescriptor;
use bergamot_gateway::flight::FlightGuard;
use bergamot_routing::UpstreamMonitor;
use bergamot_types::prelude::*;

#[test]
fn a_request_that_only_waits_says_nothing_about_its_group() {
    let descriptor = PeerDescriptor {
        vm: "vm-1".to_owned(),
        failure_domain: FailureDomain::new("east"),
        millicores: 250,
    };
    let monitor = Rc::new(RefCell::new(UpstreamMonitor::new(descriptor)));
    let leader = UpstreamIncarnation::new(UpstreamId::new("leader"), None);
    let enter = |sent_at| FlightGuard::enter(&monitor, &leader, None, 100, Millis(sent_at));
    let has_begun = || monitor.borrow().load(&leader).has_begun();

    let mut streaming = enter(1_000);
    assert!(
        !has_begun(),
        "the request may wait behind others in the queue"
    );
    streaming.mark_begun();
    streaming.mark_begun();
    monitor.borrow_mut().record_progress(&leader, Millis(1_100));
    assert!(has_begun());

    // The second request waits in the leader's queue when the first has its complete answer.
    let queued = enter(1_200);
    assert!(has_begun());
    drop(streaming);
    assert!(
        !has_begun(),
        "no event of a queued request is expected soon"
    );
    assert_eq!(
        monitor.borrow().load(&leader).inactivity(Millis(1_800)),
        Millis(700)
    );
    drop(queued);
    assert_eq!(
        monitor.borrow().load(&leader).inactivity(Millis(1_800)),
        Millis(0)
    );
}
