//! What upstreams say of themselves in their answers, and what must follow from it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bergamot_site_standin::{AdvertisedState, ArrivedRequest};

use crate::audit::AuditBook;
use crate::caller::{CallEnd, CallRecord};
use crate::plan::FaultKind;
use crate::run::SoakRun;
use crate::site::UpstreamRole;
use crate::violation::Violation;

/// Time after which a process whose links are whole must go by a limit, as the users set it.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time after an answer from which on its process must go by it, as the users set it.
const NOTICE_TIME: Duration = Duration::from_millis(500);
/// The span over which requests are counted against a limit, as the users set it.
const LIMIT_SPAN: Duration = Duration::from_secs(4);
/// Factor on what a limit allows, and requests on top of it, as the users set them.
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_MORE: f64 = 5.0;
/// Requests that may reach an upstream in its rest, as the users set it.
const REST_REQUESTS: usize = 2;
/// Time after which an upstream that says that it leaves gets no new work, as in the processes' settings.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// One request in so many is turned away by an upstream that asks for rest: the others look as if all were well.
const REST_EACH: usize = 3;

/// What an upstream says.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SaidFault {
    /// That it takes so many thousandths of a request a second from all processes.
    Limit(u32),
    /// That it wants nothing for so many milliseconds, with one in three requests.
    Rest(u64),
    /// That it leaves; another run of it follows.
    Leaving,
}

impl SaidFault {
    fn words(self) -> AdvertisedState {
        let none = AdvertisedState::default();
        match self {
            Self::Limit(milli) => AdvertisedState {
                limit: Some(format!("{}.{:03}", milli / 1_000, milli % 1_000)),
                ..none
            },
            Self::Rest(ms) => AdvertisedState {
                backoff: Some(format!("{}.{:03}", ms / 1_000, ms % 1_000)),
                reject_every: REST_EACH,
                ..none
            },
            Self::Leaving => AdvertisedState {
                is_leaving: true,
                ..none
            },
        }
    }
}

impl SoakRun {
    /// Lets an upstream say something for a time, unless it says something already.
    pub(crate) async fn say(
        &self,
        role: UpstreamRole,
        index: usize,
        said: SaidFault,
        length: Duration,
    ) {
        let Some(upstream) = self.site.staying(role, index) else {
            return;
        };
        let (none, words) = (AdvertisedState::default(), said.words());
        if !upstream.replace_advertised(&none, words.clone()) {
            return;
        }
        tokio::time::sleep(length).await;
        match said {
            SaidFault::Leaving => self.restart(role, index, None).await,
            SaidFault::Limit(_) | SaidFault::Rest(_) => {
                upstream.replace_advertised(&words, none);
            }
        }
    }
}

/// A request that reached an upstream, with what its caller saw.
#[derive(Clone, Copy)]
struct KnownArrival<'a> {
    request: &'a ArrivedRequest,
    record: &'a CallRecord,
}

impl KnownArrival<'_> {
    /// Whether its caller got the upstream's whole answer.
    fn is_passed_on(&self) -> bool {
        let is_whole = matches!(
            self.record.end,
            CallEnd::Answered {
                status: 200,
                is_whole: true,
                ..
            }
        );
        is_whole && self.request.backoff.is_none()
    }
}

impl AuditBook {
    /// Upstreams get no more than they say.
    pub(crate) fn check_said(&self) -> Vec<Violation> {
        let records: BTreeMap<&str, &CallRecord> = self
            .records
            .iter()
            .map(|record| (record.id.as_str(), record))
            .collect();
        let mut found = Vec::new();
        for arrived in &self.arrived {
            let mut runs: BTreeMap<u64, Vec<KnownArrival<'_>>> = BTreeMap::new();
            for request in &arrived.requests {
                if let Some(record) = records.get(request.id.as_str()) {
                    let known = KnownArrival { request, record };
                    runs.entry(request.started_at).or_default().push(known);
                }
            }
            for run in runs.values() {
                found.extend(self.check_limits(run));
                found.extend(self.check_rests(run));
                found.extend(self.check_said_leaving(run));
            }
        }
        found
    }

    fn check_limits(&self, run: &[KnownArrival<'_>]) -> Option<Violation> {
        let limited: Vec<&KnownArrival<'_>> = run
            .iter()
            .filter(|it| it.request.advertised.limit.is_some())
            .collect();
        let first = limited.first()?;
        let limit = first.request.advertised.limit.clone()?;
        let bound = first.request.at + CONTACT_TIME;
        let counted: Vec<Instant> = limited
            .iter()
            .filter(|it| it.request.at >= bound && self.must_keep(&limited, it))
            .map(|it| it.request.at)
            .collect();
        let within = |start: &Instant| {
            let times = counted.iter();
            times
                .filter(|at| **at >= *start && **at - *start < LIMIT_SPAN)
                .count()
        };
        let requests = counted.iter().map(within).max().unwrap_or(0);
        let rate: f64 = limit.parse().ok()?;
        let allowed = rate * LIMIT_SPAN.as_secs_f64() * LIMIT_FACTOR + LIMIT_MORE;
        (requests as f64 > allowed).then_some(Violation::OverLimit { limit, requests })
    }

    fn check_rests(&self, run: &[KnownArrival<'_>]) -> Option<Violation> {
        run.iter().find_map(|asked| {
            let rest: f64 = asked.request.backoff.as_ref()?.parse().ok()?;
            let (from, until) = (
                asked.request.at + NOTICE_TIME,
                asked.request.at + Duration::from_secs_f64(rest),
            );
            let entry = asked.record.entry;
            let within = run.iter().filter(|it| {
                let is_within = it.request.at > from && it.request.at < until;
                is_within && it.record.entry == entry
            });
            let requests = within.count();
            let is_excused = self.is_disturbed(entry, asked.request.at, until)
                || self.has_restarted(entry, asked.request.at, until);
            let is_broken = requests > REST_REQUESTS && !is_excused;
            is_broken.then_some(Violation::RestBroken { entry, requests })
        })
    }

    fn check_said_leaving(&self, run: &[KnownArrival<'_>]) -> Option<Violation> {
        run.iter().find_map(|late| {
            let told = run.iter().filter(|it| {
                let is_same = it.record.entry == late.record.entry;
                is_same && it.request.advertised.is_leaving && it.is_passed_on()
            });
            let told_at = told.map(|it| it.record.ended_at).min()?;
            let after = late.record.sent_at.checked_duration_since(told_at)?;
            let (entry, at) = (late.record.entry, late.request.at);
            let is_excused =
                self.is_disturbed(entry, told_at, at) || self.has_restarted(entry, told_at, at);
            (after > DRAIN_TIME && !is_excused).then(|| Violation::WorkWhileSaidLeaving {
                id: late.record.id.clone(),
                after,
            })
        })
    }

    /// Whether the process of a request had passed on an answer with the limit, and nothing befell it since that excuses it.
    fn must_keep(&self, limited: &[&KnownArrival<'_>], late: &KnownArrival<'_>) -> bool {
        let entry = late.record.entry;
        let told = limited
            .iter()
            .filter(|it| it.record.entry == entry && it.is_passed_on());
        let Some(told_at) = told.map(|it| it.record.ended_at).min() else {
            return false;
        };
        let at = late.request.at;
        let is_told = told_at + NOTICE_TIME <= at;
        is_told
            && !self.has_restarted(entry, told_at, at)
            && !self.is_disturbed(entry, at - CONTACT_TIME, at)
    }

    /// Whether a process has started anew in this time, so that it knows nothing of before.
    fn has_restarted(&self, entry: usize, from: Instant, until: Instant) -> bool {
        let mut troubles = self.troubles.iter();
        troubles.any(|it| {
            let is_restart =
                it.kind == FaultKind::StopEntry(entry) || it.kind == FaultKind::KillEntry(entry);
            is_restart && it.from <= until && it.until >= from
        })
    }
}
