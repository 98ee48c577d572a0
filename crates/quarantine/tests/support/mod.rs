//! Simulates a fleet in virtual time: streams at the leaders of one model, and requests that crash
//! every leader that runs them.

mod records;

use bergamot_quarantine::{
    BreakCause, BrokenRun, CrashEvidence, QuarantineAction, QuarantineEvent, QuarantineRecord,
    QuarantineState, RequestStanding,
};
use bergamot_types::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use records::print;

/// Simulated time per step.
const STEP: Millis = Millis(10);
/// When the first harmful request comes. The leaders are busy by then.
const FIRST_HARMFUL_AT: Millis = Millis(4_000);
/// Length of the simulation after the last harmful request has come.
const LENGTH_AFTER_LAST: Millis = Millis::from_secs(8);
/// Number of entry VMs.
const VM_COUNT: usize = 8;
/// Requests per second, such that some twenty run at each of eight leaders.
const ARRIVALS_PER_SECOND: f64 = 140.0;
/// Time from the start of a run to its first event, and between two events.
const FIRST_EVENT_DELAY: Millis = Millis(110);
const EVENT_PERIOD: Millis = Millis(40);
/// Maximum number of events of a stream.
const MAX_EVENTS: u32 = 56;
/// Delay until a VM's reports reach the others.
const REPORT_DELAY: Millis = Millis(10);
/// How long a request waits for the other VMs' reports of a crash before it is checked.
const SETTLE_DELAY: Millis = Millis(30);
/// Time until a crashed upstream is back as a new incarnation.
const RESTART_DELAY: Millis = Millis(3_500);
/// Shortest delay before a rejected or interrupted caller returns, and how often it does.
const RETURN_DELAY: Millis = Millis(300);
const MAX_RETURNS: u32 = 2;

/// A case to simulate.
pub struct FleetCase {
    /// The name of the case.
    pub name: &'static str,
    /// Number of leaders of the model.
    pub leaders: usize,
    /// Number of requests that crash upstreams.
    pub harmful: u64,
    /// Time between the first sends of two harmful requests.
    pub gap: Millis,
    /// Time from the start of a harmful run to the crash of its upstream.
    pub crash_delay: Millis,
}

/// The outcome of a simulation.
#[derive(Default, Debug)]
pub struct FleetOutcome {
    /// Number of crashed upstreams, by harmful request.
    pub crashed: Vec<usize>,
    /// Number of healthy requests rejected as quarantined.
    pub rejected: usize,
    /// Number of healthy streams that were not resumed.
    pub not_resumed: usize,
    /// Number of healthy streams interrupted by a crash.
    pub beside: usize,
}

/// A caller's request.
#[derive(Clone, Copy)]
struct Request {
    number: u64,
    is_harmful: bool,
    events: u32,
    returns: u32,
}

/// A request's run at one leader.
#[derive(Clone, Copy)]
struct Run {
    request: Request,
    vm: usize,
    start: Millis,
    /// Number of events received from earlier leaders.
    earlier_events: u32,
    leader_count: u32,
}

impl Run {
    fn events(&self, now: Millis) -> u32 {
        let age = now.since(self.start);
        match age < FIRST_EVENT_DELAY {
            true => 0,
            false => 1 + (age.since(FIRST_EVENT_DELAY).0 / EVENT_PERIOD.0) as u32,
        }
    }

    fn interrupted(&self, now: Millis) -> BrokenRun {
        BrokenRun {
            print: print(self.request.number),
            events: self.events(now),
        }
    }
}

struct Leader {
    incarnation: UpstreamIncarnation,
    up_at: Millis,
    runs: Vec<Run>,
}

/// A request to send at a later time, for the first time or again.
struct ScheduledSend {
    at: Millis,
    run: Run,
}

struct Fleet {
    now: Millis,
    case: &'static FleetCase,
    rng: ChaCha8Rng,
    leaders: Vec<Leader>,
    vms: Vec<QuarantineState>,
    scheduled_sends: Vec<ScheduledSend>,
    reports: Vec<(Millis, QuarantineRecord)>,
    outcome: FleetOutcome,
    incarnations: u64,
}

/// Simulates a case.
pub fn simulate(case: &'static FleetCase, seed: u64) -> FleetOutcome {
    let mut fleet = Fleet {
        now: Millis(1_000),
        case,
        rng: ChaCha8Rng::seed_from_u64(seed),
        leaders: Vec::new(),
        vms: (0..VM_COUNT).map(|_| QuarantineState::default()).collect(),
        scheduled_sends: Vec::new(),
        reports: Vec::new(),
        outcome: FleetOutcome {
            crashed: vec![0; case.harmful as usize],
            ..FleetOutcome::default()
        },
        incarnations: 0,
    };
    for _ in 0..case.leaders {
        let incarnation = fleet.next_incarnation();
        let (up_at, runs) = (Millis::ZERO, Vec::new());
        fleet.leaders.push(Leader {
            incarnation,
            up_at,
            runs,
        });
    }
    fleet.simulate();
    fleet.outcome
}

impl Fleet {
    fn simulate(&mut self) {
        for number in 0..self.case.harmful {
            let at = FIRST_HARMFUL_AT + Millis(number * self.case.gap.0);
            self.add_request(at, number, true);
        }
        let ends_at =
            FIRST_HARMFUL_AT + Millis(self.case.harmful * self.case.gap.0) + LENGTH_AFTER_LAST;
        let mut number = self.case.harmful;
        while self.now < ends_at {
            self.now = self.now + STEP;
            let arrivals = ARRIVALS_PER_SECOND * STEP.0 as f64 / 1_000.0;
            let whole_arrivals = arrivals.floor() as u64;
            let extra_arrival = u64::from(self.rng.random_bool(arrivals.fract()));
            for _ in 0..whole_arrivals + extra_arrival {
                self.add_request(self.now, number, false);
                number += 1;
            }
            self.deliver_reports();
            self.send_due();
            self.crash_leaders();
            self.finish_runs();
        }
    }

    fn next_incarnation(&mut self) -> UpstreamIncarnation {
        self.incarnations += 1;
        UpstreamIncarnation::new(UpstreamId::new(&format!("u{}", self.incarnations)), None)
    }

    fn add_request(&mut self, at: Millis, number: u64, is_harmful: bool) {
        let request = Request {
            number,
            is_harmful,
            events: self.rng.random_range(1..=MAX_EVENTS),
            returns: 0,
        };
        self.schedule(at, request);
    }

    /// Sends a caller's request to a random VM.
    fn schedule(&mut self, at: Millis, request: Request) {
        let run = Run {
            request,
            vm: self.rng.random_range(0..VM_COUNT),
            start: at,
            earlier_events: 0,
            leader_count: 0,
        };
        self.scheduled_sends.push(ScheduledSend { at, run });
    }

    fn deliver_reports(&mut self) {
        let now = self.now;
        let due = self.reports.extract_if(.., |(at, _)| *at <= now);
        for (_, record) in due {
            for vm in &mut self.vms {
                vm.handle(now, QuarantineEvent::Reported(&record));
            }
        }
    }

    fn send_due(&mut self) {
        let now = self.now;
        let due: Vec<ScheduledSend> = self
            .scheduled_sends
            .extract_if(.., |send| send.at <= now)
            .collect();
        for scheduled in due {
            self.send(scheduled.run);
        }
    }

    fn send(&mut self, mut run: Run) {
        let has_run = run.leader_count > 0;
        let standing = self.vms[run.vm].standing(print(run.request.number));
        let (is_rejected, place) = match standing {
            RequestStanding::Good => (false, None),
            RequestStanding::Suspected(place) => (place.is_alone && has_run, Some(place.number)),
            RequestStanding::Quarantined => (true, None),
        };
        if is_rejected {
            let is_healthy = !run.request.is_harmful;
            let is_quarantined = standing == RequestStanding::Quarantined;
            self.outcome.rejected += usize::from(is_healthy && is_quarantined);
            self.outcome.not_resumed += usize::from(is_healthy && has_run);
            self.schedule_return(run.request);
            return;
        }
        let now = self.now;
        let running = (0..self.leaders.len()).filter(|index| self.leaders[*index].up_at <= now);
        let running: Vec<usize> = running.collect();
        if running.is_empty() {
            self.schedule_return(run.request);
            return;
        }
        // Chooses the less loaded of two random leaders.
        let drawn = [0, 1].map(|_| running[self.rng.random_range(0..running.len())]);
        let [first, second] = drawn;
        let is_less_loaded = self.leaders[second].runs.len() < self.leaders[first].runs.len();
        let chosen = match place {
            Some(place) => running[(place % running.len() as u64) as usize],
            None if is_less_loaded => second,
            None => first,
        };
        run.start = now;
        run.leader_count += 1;
        self.leaders[chosen].runs.push(run);
    }

    fn schedule_return(&mut self, request: Request) {
        if request.returns < MAX_RETURNS {
            let returns = request.returns + 1;
            let delay = Millis(self.rng.random_range(RETURN_DELAY.0..2 * RETURN_DELAY.0));
            self.schedule(self.now + delay, Request { returns, ..request });
        }
    }

    /// Crashes the leaders whose harmful run has lasted long enough, and interrupts all runs there.
    fn crash_leaders(&mut self) {
        let now = self.now;
        for index in 0..self.leaders.len() {
            let is_crashing =
                |run: &Run| run.request.is_harmful && now.since(run.start) >= self.case.crash_delay;
            let leader = &self.leaders[index];
            let Some(harmful) = leader.runs.iter().find(|run| is_crashing(run)) else {
                continue;
            };
            self.outcome.crashed[harmful.request.number as usize] += 1;
            let incarnation = self.next_incarnation();
            let leader = &mut self.leaders[index];
            leader.up_at = now + RESTART_DELAY;
            let crashed = std::mem::replace(&mut leader.incarnation, incarnation);
            for run in std::mem::take(&mut leader.runs) {
                self.interrupt(&crashed, run);
            }
        }
    }

    fn interrupt(&mut self, incarnation: &UpstreamIncarnation, run: Run) {
        let now = self.now;
        self.outcome.beside += usize::from(!run.request.is_harmful);
        let interrupted = run.interrupted(now);
        let vm = &mut self.vms[run.vm];
        let (cause, evidence) = (BreakCause::Closed, CrashEvidence::NoListener);
        let mut actions = vm.handle(
            now,
            QuarantineEvent::Broken {
                incarnation,
                run: interrupted,
                cause,
            },
        );
        actions.extend(vm.handle(
            now,
            QuarantineEvent::Crashed {
                incarnation,
                evidence,
            },
        ));
        let must_wait = vm.standing(interrupted.print) != RequestStanding::Good;
        for action in actions {
            if let QuarantineAction::Share(record) = action {
                self.reports.push((now + REPORT_DELAY, record));
            }
        }
        let run = Run {
            earlier_events: run.earlier_events + interrupted.events,
            ..run
        };
        let wait = if must_wait {
            SETTLE_DELAY
        } else {
            Millis::ZERO
        };
        self.scheduled_sends.push(ScheduledSend {
            at: now + wait + STEP,
            run,
        });
    }

    fn finish_runs(&mut self) {
        let now = self.now;
        for leader in &mut self.leaders {
            let finished_runs = leader.runs.extract_if(.., |run| {
                run.earlier_events + run.events(now) >= run.request.events
                    && !run.request.is_harmful
            });
            for run in finished_runs.filter(|run| run.leader_count == 1) {
                let answered = QuarantineEvent::Answered(print(run.request.number));
                let vm = &mut self.vms[run.vm];
                if !vm.is_empty() {
                    vm.handle(now, answered);
                }
            }
        }
    }
}
