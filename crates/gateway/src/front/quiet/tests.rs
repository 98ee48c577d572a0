//! Guards against a VM that reports stalled upstreams while its own links may be the cause. Inside
//! the crate, as no other process sees which notices are not sent.

use bergamot_routing::{PartitionEvent, RouteUpstream, StallNotice};
use bergamot_types::prelude::*;
use tokio::sync::mpsc;

use super::{report_stall, send_stall_notice};
use crate::front::FrontContext;
use crate::shared::SharedState;
use crate::test_support as support;

fn leader(name: &str) -> RouteUpstream {
    RouteUpstream {
        incarnation: UpstreamIncarnation::new(UpstreamId::new(name), None),
        addr: ([127, 0, 0, 1], 1).into(),
        failure_domain: FailureDomain::new("east"),
        slots: 8,
        group: Some(GroupId::new(name)),
        speed: None,
    }
}

#[test]
fn a_vm_whose_own_links_may_be_down_reports_no_stalled_upstreams() {
    struct ReportCase {
        name: &'static str,
        /// Upstreams whose connections failed just before.
        failed: &'static [&'static str],
        reports: usize,
    }
    let cases = [
        ReportCase {
            name: "no failure",
            failed: &[],
            reports: 1,
        },
        ReportCase {
            name: "one upstream failed",
            failed: &["e1"],
            reports: 1,
        },
        ReportCase {
            name: "two upstreams failed",
            failed: &["e1", "e2"],
            reports: 0,
        },
    ];
    for case in &cases {
        let (coordinator_sender, mut coordinator_notices) = mpsc::channel(4);
        let (vm_sender, mut vm_notices) = mpsc::channel(4);
        let site = support::entry_site();
        let shared = SharedState::new(site, coordinator_sender, mpsc::channel(1).0);
        let (crashes, quotas) = (mpsc::channel(1).0, mpsc::channel(1).0);
        let front = FrontContext::new(shared, (), crashes, vm_sender, quotas);
        for name in case.failed {
            let failed = leader(name);
            let event = PartitionEvent::Failed((&failed).into());
            front
                .monitor
                .borrow_mut()
                .partition
                .handle(front.now(), event);
        }
        let notice = StallNotice {
            leader: 1,
            witness: 2,
        };
        report_stall(&front, &leader("e1"), true);
        send_stall_notice(&front, &leader("e1"), notice);
        let for_coordinator = std::iter::from_fn(|| coordinator_notices.try_recv().ok());
        assert_eq!(for_coordinator.count(), case.reports, "{}", case.name);
        let for_vms = std::iter::from_fn(|| vm_notices.try_recv().ok());
        assert_eq!(for_vms.count(), case.reports, "{}", case.name);
    }
}
