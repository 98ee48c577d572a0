//! Routes and keys that configurations add one after another, and whether a process refuses them as
//! unknown once they must be in force.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::audit::AuditBook;
use crate::caller::{CallEnd, CallRecord, DEADLINE, RequestKind, call_once};
use crate::cuts::ProcessSet;
use crate::options::SoakOptions;
use crate::plan::{FaultKind, LinkState, TimedFault};
use crate::run::SoakRun;
use crate::site::{LASTING_KEY, SoakSite};
use crate::violation::Violation;

/// Time after which a change of the configuration is in force, as the processes' settings state it.
pub const CONFIG_APPLY_TIME: Duration = Duration::from_millis(2_000);
/// Pause between two checks of a process.
const CHECK_PAUSE: Duration = Duration::from_millis(100);
/// How the keys of added grants begin. The version that added one follows.
const ADDED_KEY: &str = "added-";
/// Routes that a large addition brings besides its own, so that the configuration exceeds what a VM
/// passes on to another with other changes.
const LARGE_ROUTES: usize = 300;
/// Time from one addition of a series to the next, in milliseconds: shorter than a VM takes to confirm
/// a configuration, and longer.
const PAUSE_MS: std::ops::Range<u64> = 200..1_500;
/// Additions of a series.
const SERIES: std::ops::Range<u64> = 3..9;
/// How long the store turns processes away meanwhile, in milliseconds: below the time in which changes
/// are in force, and well past it.
const TURNED_AWAY_MS: std::ops::Range<u64> = 500..9_000;
/// Tells the source of additions from those of other faults.
const ADDITION_SOURCE: u64 = 0x4144_4453;

/// How much an addition adds.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum GrantSize {
    /// One key and one route.
    Small,
    /// Many more routes.
    Large,
}

/// A key and a route that a version of the configuration added for good.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct AddedGrant {
    /// The version.
    pub number: u64,
    /// How much it added.
    pub size: GrantSize,
    /// When the store had acknowledged it.
    pub at: Instant,
}

impl AddedGrant {
    /// The key.
    pub fn key(&self) -> String {
        format!("{ADDED_KEY}{}", self.number)
    }
}

/// Adds the routes of grants to a configuration.
pub(crate) fn add_routes(config: &mut Value, grants: &[AddedGrant]) {
    let Some(routes) = config["routes"].as_array_mut() else {
        return;
    };
    let read = routes[1].clone();
    let mut add = |name: String| {
        let mut route = read.clone();
        route["prefix"] = json!(format!("/{name}/"));
        route["name"] = json!(name);
        routes.push(route);
    };
    for grant in grants {
        add(format!("{ADDED_KEY}{}", grant.number));
        let extra = match grant.size {
            GrantSize::Small => 0,
            GrantSize::Large => LARGE_ROUTES,
        };
        for index in 0..extra {
            add(format!("{ADDED_KEY}{}-{index}", grant.number));
        }
    }
}

impl SoakSite {
    /// Adds a key and a route, with the next version.
    pub fn add_grant(&self, size: GrantSize) {
        let mut keys = self.keys.lock();
        keys.version += 1;
        let number = keys.version;
        keys.added.push(AddedGrant {
            number,
            size,
            at: Instant::now(),
        });
        self.write_config(&keys);
        if let Some(grant) = keys.added.last_mut() {
            grant.at = Instant::now();
        }
    }
}

/// Draws series of additions from a source of their own, and times in which the store turns processes
/// away, one for each series.
pub(crate) fn draw_additions(seed: u64, options: &SoakOptions) -> Vec<TimedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(24) ^ ADDITION_SOURCE);
    let length = options.length.as_millis() as u64;
    let states = [LinkState::Silent, LinkState::Reset];
    let mut faults = Vec::new();
    for _ in 0..options.additions {
        let mut at = rng.random_range(0..length);
        let mut numbers: Vec<usize> = (0..options.entries).collect();
        numbers.shuffle(&mut rng);
        match rng.random_bool(0.5) {
            // A whole failure domain: every other process.
            true => numbers.retain(|number| number.is_multiple_of(2)),
            false => numbers.truncate(rng.random_range(1..=options.entries.div_ceil(2))),
        }
        let set = numbers.iter().fold(0, |set, number| set | 1 << number);
        let state = *states.choose(&mut rng).unwrap_or(&LinkState::Silent);
        faults.push(TimedFault {
            at: Duration::from_millis(at),
            length: Duration::from_millis(rng.random_range(TURNED_AWAY_MS)),
            kind: FaultKind::StoreLinks(ProcessSet(set), state),
        });
        for _ in 0..rng.random_range(SERIES) {
            let size = match rng.random_bool(0.2) {
                true => GrantSize::Large,
                false => GrantSize::Small,
            };
            faults.push(TimedFault {
                at: Duration::from_millis(at),
                length: Duration::ZERO,
                kind: FaultKind::AddsGrant(size),
            });
            at += rng.random_range(PAUSE_MS);
        }
    }
    faults
}

/// Sends requests to one process on the route and with the key that were added last and must be in
/// force, each on a connection of its own and whether or not those before have been answered.
pub(crate) struct GrantCheck {
    pub(crate) run: Arc<SoakRun>,
    pub(crate) entry: usize,
}

impl GrantCheck {
    /// Sends requests until the task is dropped.
    pub(crate) async fn run(self) {
        let mut calls = JoinSet::new();
        for count in 0_u64.. {
            tokio::time::sleep(CHECK_PAUSE).await;
            while calls.try_join_next().is_some() {}
            let Some(grant) = due_grant(&self.run.site) else {
                continue;
            };
            let requests = [
                (RequestKind::Added(grant.number), LASTING_KEY.to_owned()),
                (RequestKind::Read, grant.key()),
            ];
            for (index, (kind, key)) in requests.into_iter().enumerate() {
                let id = format!("added-{}-{count}-{index}", self.entry);
                calls.spawn(send(Arc::clone(&self.run), self.entry, id, kind, key));
            }
        }
    }
}

async fn send(run: Arc<SoakRun>, entry: usize, id: String, kind: RequestKind, key: String) {
    let sent_at = Instant::now();
    let end = call_once(run.entries[entry].place, &id, kind, &key).await;
    run.records.lock().push(CallRecord {
        id,
        kind,
        entry,
        key,
        sent_at,
        answer_time: DEADLINE,
        ended_at: Instant::now(),
        end,
    });
}

/// Returns the newest grant that is in force everywhere by now.
fn due_grant(site: &SoakSite) -> Option<AddedGrant> {
    let keys = site.keys.lock();
    let mut grants = keys.added.iter().rev();
    let due = grants.find(|grant| grant.at.elapsed() > CONFIG_APPLY_TIME);
    due.copied()
}

impl AuditBook {
    /// A route or key that was added is refused nowhere as unknown once it must be in force. Nothing
    /// that befalls a process excuses this, as it can say that it does not know.
    pub(crate) fn check_grant(&self, record: &CallRecord) -> Option<Violation> {
        let CallEnd::Answered {
            status: status @ (401 | 403 | 404),
            ..
        } = record.end
        else {
            return None;
        };
        let grant = self.granted.iter().find(|grant| {
            record.kind == RequestKind::Added(grant.number) || record.key == grant.key()
        })?;
        let after = record.sent_at.checked_duration_since(grant.at)?;
        (after > CONFIG_APPLY_TIME).then(|| Violation::RefusedAsUnknown {
            id: record.id.clone(),
            entry: record.entry,
            status,
            after,
        })
    }
}
