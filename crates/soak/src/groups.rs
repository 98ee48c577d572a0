//! The groups as upstreams see them: what holds a group together, and what must never be.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_site_standin::SiteUpstream;
use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::site::SoakSite;
use crate::violation::Violation;

/// Time between two looks: a third of the time in which the stand-in's groups can be re-formed.
const LOOK: Duration = Duration::from_millis(20);
/// Time without a member after which a leader gives its group up: the bound that the processes'
/// settings name.
const STALL: Duration = Duration::from_millis(4_000);

/// Watches all groups.
#[derive(Default)]
pub struct GroupWatch {
    /// Leaders without all their members, and since when.
    incomplete: IndexMap<String, Instant>,
}

impl GroupWatch {
    /// Watches until the task is dropped; what must not be goes to `violations`.
    pub async fn run(mut self, site: Arc<SoakSite>, violations: Arc<Mutex<Vec<Violation>>>) {
        loop {
            tokio::time::sleep(LOOK).await;
            let found = self.look(&site);
            violations.lock().extend(found);
        }
    }

    fn look(&mut self, site: &SoakSite) -> Vec<Violation> {
        let places = site.engines.lock();
        let runs = places.iter().flat_map(|place| &place.runs);
        let alive: BTreeMap<&str, &Arc<SiteUpstream>> = runs
            .map(|run| &run.upstream)
            .filter(|upstream| !upstream.is_dead())
            .map(|upstream| (upstream.id(), upstream))
            .collect();
        let leaders = alive.values().filter(|upstream| upstream.is_open());
        let leaders: Vec<_> = leaders.copied().cloned().collect();
        let mut found = Vec::new();
        let mut led_by: BTreeMap<String, String> = BTreeMap::new();
        for leader in &leaders {
            for member in leader.members() {
                if let Some(other) = led_by.insert(member.clone(), leader.id().to_owned()) {
                    found.push(Violation::TwoGroups {
                        member,
                        leaders: [other, leader.id().to_owned()],
                    });
                }
            }
            found.extend(poached_members(leader, &alive));
            let seat = leader.membership();
            let is_whole = leader.members().iter().all(|member| {
                let member = alive.get(member.as_str());
                member.is_some_and(|member| member.membership() == seat)
            });
            self.hold(leader, is_whole);
        }
        found
    }

    /// A leader that lacks a member stands still, and gives the group up after a time.
    fn hold(&mut self, leader: &Arc<SiteUpstream>, is_whole: bool) {
        leader.stall(!is_whole);
        if is_whole {
            self.incomplete.swap_remove(leader.id());
            return;
        }
        let since = self.incomplete.entry(leader.id().to_owned());
        let since = *since.or_insert_with(Instant::now);
        if since.elapsed() > STALL {
            leader.break_group();
            self.incomplete.swap_remove(leader.id());
        }
    }
}

/// Members of an open group that belong to another one.
fn poached_members(
    leader: &SiteUpstream,
    alive: &BTreeMap<&str, &Arc<SiteUpstream>>,
) -> Vec<Violation> {
    let own = leader.membership();
    let members = leader.members().into_iter();
    let elsewhere = members.filter_map(|id| {
        let member = alive.get(id.as_str())?;
        let seat = member
            .membership()
            .filter(|seat| Some(seat) != own.as_ref())?;
        Some(Violation::TwoGroups {
            member: id,
            leaders: [leader.id().to_owned(), format!("{} {}", seat.0, seat.1)],
        })
    });
    elsewhere.collect()
}
