//! Asks the members of a group when what is known of it is too old to send to it.

use bergamot_placement::EngineReport;
use bergamot_routing::UpstreamFact;
use bergamot_types::prelude::*;
use futures::future::join_all;

use super::FrontContext;
use crate::routing_state::RouteName;

/// Asks every member at once; true if all are ready in the group's epoch, which is then noted.
pub async fn probe_group(front: &FrontContext, route: &RouteName, fact: &UpstreamFact) -> bool {
    let shared = &front.shared;
    let view = shared.view.load_full();
    let Some(group) = view.groups.get(&fact.id) else {
        return false;
    };
    if group.group.epoch != fact.epoch {
        return false;
    }
    let timeout = shared.settings.tuning.probe_timeout.as_duration();
    let asked = shared.clock.now();
    let reports = group
        .members
        .iter()
        .map(|(_, addr)| front.client.report(*addr, timeout));
    let reports = join_all(reports).await;
    let is_ready = |report: &EngineReport| {
        report.is_ready_in(&group.id, fact.epoch)
            && report.model.as_ref() == Some(&group.group.model)
    };
    let is_whole = reports
        .iter()
        .all(|report| report.as_ref().is_ok_and(is_ready));
    if is_whole {
        let mut routing = shared.routing.lock();
        if let Some(balancer) = routing.balancer(route) {
            balancer.record_evidence(&fact.id, fact.epoch, asked);
        }
    }
    log::debug!(
        "event=group_probed group={} epoch={} whole={is_whole} took_ms={}",
        fact.id,
        fact.epoch,
        shared.clock.now().since(asked)
    );
    is_whole && shared.clock.now().since(asked) < Millis(shared.settings.balance.evidence_max_age.0)
}
