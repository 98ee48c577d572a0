//! A request that ends each upstream that runs it, sent again and again to all processes, and the bound on that.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bergamot_site_standin::CrashOptions;
use tokio::task::JoinSet;

use crate::audit::AuditBook;
use crate::caller::{CallRecord, DEADLINE, RequestKind, call_once};
use crate::plan::TimedFault;
use crate::run::SoakRun;
use crate::site::{LASTING_KEY, UpstreamRole};
use crate::violation::Violation;

/// What the bodies of such requests contain.
pub const MARKER: &str = "ends its upstream";
/// Time from the begin of such a run to the end of the process, and from there until it is back.
pub const CRASH: CrashOptions = CrashOptions {
    marker: MARKER,
    delay: Duration::from_millis(25),
    restart_delay: Duration::from_millis(1_200),
};
/// Time between two sends: several are on their way at different processes at once.
const SEND_PERIOD: Duration = Duration::from_millis(120);
/// Upstreams that may end under a request before it is bounded, as the users set it.
const FREE_ENDS: usize = 3;
/// Times that it may reach upstreams from processes that know of it, as the users set it.
const LATE_RUNS: usize = 3;
/// Time in which a process whose links are whole must know, as the users set it.
const CONTACT_TIME: Duration = Duration::from_secs(3);

impl SoakRun {
    /// Sends one harmful request to all processes in turn for the time of a fault, and waits for the answers.
    pub(crate) async fn send_harmful(&self, fault: TimedFault, role: UpstreamRole, number: usize) {
        let end = Instant::now() + fault.length;
        let mut calls = JoinSet::new();
        let entries = self.entries.iter().enumerate().cycle();
        for (count, (entry, slot)) in entries.enumerate() {
            if Instant::now() > end {
                break;
            }
            let kind = RequestKind::Harmful(role, number);
            let id = format!("harmful-{number}-{count}");
            let place = slot.place;
            calls.spawn(async move {
                let sent_at = Instant::now();
                let end = call_once(place, &id, kind, LASTING_KEY).await;
                CallRecord {
                    id,
                    kind,
                    entry,
                    key: LASTING_KEY.to_owned(),
                    sent_at,
                    answer_time: DEADLINE,
                    ended_at: Instant::now(),
                    end,
                }
            });
            tokio::time::sleep(SEND_PERIOD).await;
        }
        let records = calls.join_all().await;
        self.records.lock().extend(records);
    }
}

/// A run of a harmful request.
struct HarmfulRun {
    at: Instant,
    entry: usize,
    upstream: String,
}

impl AuditBook {
    /// Once three upstreams have ended under a request, it reaches three more at most from processes that can know.
    pub(crate) fn check_harmful(&self) -> Vec<Violation> {
        let mut runs: BTreeMap<usize, Vec<HarmfulRun>> = BTreeMap::new();
        for record in &self.records {
            let RequestKind::Harmful(_, number) = record.kind else {
                continue;
            };
            let seen = self.seen.get(&record.id).into_iter().flatten();
            runs.entry(number)
                .or_default()
                .extend(seen.map(|(run, request)| HarmfulRun {
                    at: request.at,
                    entry: record.entry,
                    upstream: run.upstream.id().to_owned(),
                }));
        }
        let found = runs.into_iter().filter_map(|(number, mut runs)| {
            runs.sort_by_key(|run| run.at);
            let third = third_end(&runs)?;
            let late = runs.iter().filter(|run| {
                let can_know = run.at.checked_sub(CONTACT_TIME);
                let is_late = can_know.is_some_and(|known| known > third);
                is_late && !self.is_disturbed(run.entry, run.at - CONTACT_TIME, run.at)
            });
            let late = late.count();
            (late > LATE_RUNS).then_some(Violation::NotBounded { number, late })
        });
        found.collect()
    }
}

/// When the third upstream ended. Runs at one upstream within the time in which it is gone ended it once.
fn third_end(runs: &[HarmfulRun]) -> Option<Instant> {
    let mut ends: BTreeMap<&str, Instant> = BTreeMap::new();
    let mut count = 0;
    for run in runs {
        let before = ends.get(run.upstream.as_str());
        if before.is_some_and(|at| run.at - *at < CRASH.restart_delay) {
            continue;
        }
        ends.insert(&run.upstream, run.at);
        count += 1;
        if count == FREE_ENDS {
            return Some(run.at + CRASH.delay);
        }
    }
    None
}

impl AuditBook {
    /// Whether anything befell a process in this time. What ended before leaves no excuse: the time to know is long
    /// enough for one whose links are whole again.
    pub(crate) fn is_disturbed(&self, entry: usize, from: Instant, until: Instant) -> bool {
        let mut troubles = self.troubles.iter();
        troubles.any(|it| it.befalls(entry) && it.from <= until && it.until >= from)
    }
}
