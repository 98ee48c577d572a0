//! A fleet in virtual time: streams at the leaders of one model, and requests that end each leader that runs them.

mod records;

use bergamot_quarantine::{
    BreakCause, BrokenRun, CrashEvidence, QuarantineAction, QuarantineEvent, QuarantineRecord,
    QuarantineState, RequestStanding,
};
use bergamot_types::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use records::print;

/// Time between two steps.
const STEP: Millis = Millis(10);
/// When a harmful request first comes: the leaders are busy.
const FIRST_HARM: Millis = Millis(4_000);
/// Length of a play after the last one has come.
const LENGTH: Millis = Millis::from_secs(8);
/// Entry VMs.
const VMS: usize = 8;
/// Requests a second, so that some twenty run at each of eight leaders.
const ARRIVALS: f64 = 140.0;
/// Time from the begin of a run to its first event, and between two events.
const FIRST_TIME: Millis = Millis(110);
const EVENT_TIME: Millis = Millis(40);
/// Events of a stream at most.
const MOST_EVENTS: u32 = 56;
/// Time in which one VM's news is at the others.
const NEWS_TIME: Millis = Millis(10);
/// Time for which a request waits for what the others saw of an end, before it is held back for it.
const SETTLE_TIME: Millis = Millis(30);
/// Time until an upstream that ended is back, as another run.
const DOWN_TIME: Millis = Millis(3_500);
/// Time after which a caller comes again that was refused or broken off, and how often it does.
const RETURN_TIME: Millis = Millis(300);
const RETURNS: u32 = 2;

/// What is played.
pub struct FleetCase {
    /// Its name.
    pub name: &'static str,
    /// Leaders of the model.
    pub leaders: usize,
    /// Requests that end upstreams.
    pub harmful: u64,
    /// Time between the first sends of two of them.
    pub gap: Millis,
    /// Time from the begin of such a run to the end of its upstream.
    pub end_time: Millis,
}

/// What came of it.
#[derive(Default, Debug)]
pub struct FleetOutcome {
    /// Upstreams that ended, by harmful request.
    pub ended: Vec<usize>,
    /// Other requests that were refused as in quarantine.
    pub innocents: usize,
    /// Other streams that were not gone on with.
    pub broken_off: usize,
    /// Other requests that had a stream at an upstream that ended.
    pub beside: usize,
}

/// A request of one caller.
#[derive(Clone, Copy)]
struct Request {
    number: u64,
    is_harmful: bool,
    events: u32,
    returns: u32,
}

/// Its stream at one leader.
#[derive(Clone, Copy)]
struct Run {
    request: Request,
    vm: usize,
    begun: Millis,
    /// Events that came before it, at other leaders.
    after: u32,
    leaders: u32,
}

impl Run {
    fn events(&self, now: Millis) -> u32 {
        let since = now.since(self.begun);
        match since < FIRST_TIME {
            true => 0,
            false => 1 + (since.since(FIRST_TIME).0 / EVENT_TIME.0) as u32,
        }
    }

    fn broken(&self, now: Millis) -> BrokenRun {
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

/// A request that is sent at a later time, for the first time or once more.
struct Sending {
    at: Millis,
    run: Run,
}

struct Fleet {
    now: Millis,
    case: &'static FleetCase,
    rng: ChaCha8Rng,
    leaders: Vec<Leader>,
    vms: Vec<QuarantineState>,
    sendings: Vec<Sending>,
    news: Vec<(Millis, QuarantineRecord)>,
    outcome: FleetOutcome,
    incarnations: u64,
}

/// Plays a case.
pub fn play(case: &'static FleetCase, seed: u64) -> FleetOutcome {
    let mut fleet = Fleet {
        now: Millis(1_000),
        case,
        rng: ChaCha8Rng::seed_from_u64(seed),
        leaders: Vec::new(),
        vms: (0..VMS).map(|_| QuarantineState::default()).collect(),
        sendings: Vec::new(),
        news: Vec::new(),
        outcome: FleetOutcome {
            ended: vec![0; case.harmful as usize],
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
    fleet.play();
    fleet.outcome
}

impl Fleet {
    fn play(&mut self) {
        for number in 0..self.case.harmful {
            let at = FIRST_HARM + Millis(number * self.case.gap.0);
            self.arrive(at, number, true);
        }
        let end = FIRST_HARM + Millis(self.case.harmful * self.case.gap.0) + LENGTH;
        let mut number = self.case.harmful;
        while self.now < end {
            self.now = self.now + STEP;
            let arrivals = ARRIVALS * STEP.0 as f64 / 1_000.0;
            let whole = arrivals.floor() as u64;
            let more = u64::from(self.rng.random_bool(arrivals.fract()));
            for _ in 0..whole + more {
                self.arrive(self.now, number, false);
                number += 1;
            }
            self.hear();
            self.send_due();
            self.end_leaders();
            self.finish();
        }
    }

    fn next_incarnation(&mut self) -> UpstreamIncarnation {
        self.incarnations += 1;
        UpstreamIncarnation::new(UpstreamId::new(&format!("u{}", self.incarnations)), None)
    }

    fn arrive(&mut self, at: Millis, number: u64, is_harmful: bool) {
        let request = Request {
            number,
            is_harmful,
            events: self.rng.random_range(1..=MOST_EVENTS),
            returns: 0,
        };
        self.come(at, request);
    }

    /// A caller comes, to any VM.
    fn come(&mut self, at: Millis, request: Request) {
        let run = Run {
            request,
            vm: self.rng.random_range(0..VMS),
            begun: at,
            after: 0,
            leaders: 0,
        };
        self.sendings.push(Sending { at, run });
    }

    fn hear(&mut self) {
        let now = self.now;
        let due = self.news.extract_if(.., |(at, _)| *at <= now);
        for (_, record) in due {
            for vm in &mut self.vms {
                vm.handle(now, QuarantineEvent::Reported(&record));
            }
        }
    }

    fn send_due(&mut self) {
        let now = self.now;
        let due: Vec<Sending> = self.sendings.extract_if(.., |it| it.at <= now).collect();
        for sending in due {
            self.send(sending.run);
        }
    }

    fn send(&mut self, mut run: Run) {
        let has_run = run.leaders > 0;
        let standing = self.vms[run.vm].standing(print(run.request.number));
        let (is_refused, place) = match standing {
            RequestStanding::Good => (false, None),
            RequestStanding::Suspected(place) => (place.is_alone && has_run, Some(place.number)),
            RequestStanding::Quarantined => (true, None),
        };
        if is_refused {
            let is_innocent = !run.request.is_harmful;
            let is_held = standing == RequestStanding::Quarantined;
            self.outcome.innocents += usize::from(is_innocent && is_held);
            self.outcome.broken_off += usize::from(is_innocent && has_run);
            self.come_again(run.request);
            return;
        }
        let now = self.now;
        let up = (0..self.leaders.len()).filter(|it| self.leaders[*it].up_at <= now);
        let up: Vec<usize> = up.collect();
        if up.is_empty() {
            self.come_again(run.request);
            return;
        }
        // The less busy of two that are drawn.
        let drawn = [0, 1].map(|_| up[self.rng.random_range(0..up.len())]);
        let [first, second] = drawn;
        let is_less = self.leaders[second].runs.len() < self.leaders[first].runs.len();
        let chosen = match place {
            Some(place) => up[(place % up.len() as u64) as usize],
            None if is_less => second,
            None => first,
        };
        run.begun = now;
        run.leaders += 1;
        self.leaders[chosen].runs.push(run);
    }

    fn come_again(&mut self, request: Request) {
        if request.returns < RETURNS {
            let returns = request.returns + 1;
            let pause = Millis(self.rng.random_range(RETURN_TIME.0..2 * RETURN_TIME.0));
            self.come(self.now + pause, Request { returns, ..request });
        }
    }

    /// Leaders end at which a harmful run has been for long enough, and all runs there break off.
    fn end_leaders(&mut self) {
        let now = self.now;
        for place in 0..self.leaders.len() {
            let ends =
                |run: &Run| run.request.is_harmful && now.since(run.begun) >= self.case.end_time;
            let leader = &self.leaders[place];
            let Some(harmful) = leader.runs.iter().find(|run| ends(run)) else {
                continue;
            };
            self.outcome.ended[harmful.request.number as usize] += 1;
            let incarnation = self.next_incarnation();
            let leader = &mut self.leaders[place];
            leader.up_at = now + DOWN_TIME;
            let ended = std::mem::replace(&mut leader.incarnation, incarnation);
            for run in std::mem::take(&mut leader.runs) {
                self.break_off(&ended, run);
            }
        }
    }

    fn break_off(&mut self, incarnation: &UpstreamIncarnation, run: Run) {
        let now = self.now;
        self.outcome.beside += usize::from(!run.request.is_harmful);
        let broken = run.broken(now);
        let vm = &mut self.vms[run.vm];
        let (cause, evidence) = (BreakCause::Closed, CrashEvidence::NoListener);
        let mut actions = vm.handle(
            now,
            QuarantineEvent::Broken {
                incarnation,
                run: broken,
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
        let is_held = vm.standing(broken.print) != RequestStanding::Good;
        for action in actions {
            if let QuarantineAction::Share(record) = action {
                self.news.push((now + NEWS_TIME, record));
            }
        }
        let run = Run {
            after: run.after + broken.events,
            ..run
        };
        let wait = if is_held { SETTLE_TIME } else { Millis::ZERO };
        self.sendings.push(Sending {
            at: now + wait + STEP,
            run,
        });
    }

    fn finish(&mut self) {
        let now = self.now;
        for leader in &mut self.leaders {
            let done = leader.runs.extract_if(.., |run| {
                run.after + run.events(now) >= run.request.events && !run.request.is_harmful
            });
            for run in done.filter(|run| run.leaders == 1) {
                let answered = QuarantineEvent::Answered(print(run.request.number));
                let vm = &mut self.vms[run.vm];
                if !vm.is_empty() {
                    vm.handle(now, answered);
                }
            }
        }
    }
}
