//! Probes the members of a replica group whose evidence is too old for a request to be sent to it.

use bergamot_placement::EngineReport;
use bergamot_routing::UpstreamFact;
use bergamot_types::prelude::*;
use futures::future::join_all;

use super::FrontContext;
use crate::routing_state::RouteName;

/// Queries all members at once. Returns whether all of them are ready in the group's epoch and answered within the
/// maximum age of evidence. If all are ready, records fresh evidence for the group.
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
    let probed_at = shared.clock.now();
    let reports = group
        .members
        .iter()
        .map(|(_, addr)| front.client.report(*addr, timeout));
    let reports = join_all(reports).await;
    let is_ready = |report: &EngineReport| {
        report.is_ready_in(&group.id, fact.epoch)
            && report.model.as_ref() == Some(&group.group.model)
    };
    let all_ready = reports
        .iter()
        .all(|report| report.as_ref().is_ok_and(is_ready));
    if all_ready {
        let mut routing = shared.routing.lock();
        if let Some(balancer) = routing.balancer(route) {
            balancer.record_evidence(&fact.id, fact.epoch, probed_at);
        }
    }
    log::debug!(
        "event=group_probed group={} epoch={} whole={all_ready} took_ms={}",
        fact.id,
        fact.epoch,
        shared.clock.now().since(probed_at)
    );
    all_ready
        && shared.clock.now().since(probed_at) < Millis(shared.settings.balance.evidence_max_age.0)
}
