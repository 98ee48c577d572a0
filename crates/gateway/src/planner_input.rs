//! Passes the view of the cluster to the planner of the replica groups.

use bergamot_groups::{GroupOptions, GroupPlanner};
use bergamot_ports::EngineSpec;
use bergamot_types::prelude::*;

use crate::group_actions::HOLD_TTL;
use crate::lead_term::CoordinatorTerm;
use crate::shared::SharedState;
use crate::view::ClusterView;

/// Returns the service whose upstreams are members of replica groups.
pub(crate) fn engine_service(view: &ClusterView) -> Option<(ServiceName, EngineSpec)> {
    let mut services = view.config.as_ref()?.services.values();
    services.find_map(|spec| {
        let engine = spec.engine.clone()?;
        Some((spec.name.clone(), engine))
    })
}

/// Updates the planner of a coordinator, which begins with the first view of its term.
pub(crate) fn update_planner(
    shared: &SharedState,
    planner: &mut Option<GroupPlanner>,
    view: &ClusterView,
    term: &CoordinatorTerm,
) {
    let Some((service, spec)) = engine_service(view) else {
        return;
    };
    let planner = planner.get_or_insert_with(|| {
        let options = GroupOptions {
            stall_time: shared.bounds().stall_time,
            ..GroupOptions::default()
        };
        let now = shared.clock.now();
        let holds = view.holds.iter();
        let inherited = holds.map(|(group, members)| (GroupId::new(group), members.clone()));
        let inherited = inherited.collect();
        let (fence, is_first) = (term.fence, term.is_first);
        let mut planner = GroupPlanner::new(options, spec.clone(), fence, is_first, inherited, now);
        planner.set_regions(shared.site.regions.clone());
        if view.restored_at.is_some_and(|at| now < at + HOLD_TTL) {
            planner.expect_lost_holds();
        }
        planner
    });
    planner.set_spec(spec);
    planner.set_evacuated(view.evacuations.keys().cloned());
    let now = shared.clock.now();
    let memberships = shared.memberships.lock();
    planner.set_departures(&memberships, |id| view.upstreams.get(id), now);
    drop(memberships);
    let entries = view.upstreams.values();
    let members = entries.filter(|entry| entry.service == service);
    planner.set_directory(members, view.revision.to_ordinal(), now);
}
