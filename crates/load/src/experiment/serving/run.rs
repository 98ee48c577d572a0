//! Plays a case in virtual time: the real decisions of each entry VM before modelled leaders.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use bergamot_feed::PeerDescriptor;
use bergamot_occupancy::{LOAD_REPORT_PERIOD, OccupancyAction, OccupancyEvent};
use bergamot_peer::LoadNotice;
use bergamot_routing::{
    ReturnDelays, RouteUpstream, UpstreamChoice, UpstreamCriteria, UpstreamMonitor,
};
use bergamot_types::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::case::{RequestKind, ServingCase, ServingResult};
use super::engine::{EngineModel, EngineRequest};

/// One way between two VMs or a VM and a leader, in milliseconds.
const WAY: u64 = 1;
/// Times that a refused caller comes back.
const RETURNS: u32 = 1;

/// Something that happens at a time.
enum Event {
    Arrive(usize),
    Try(usize),
    Reach(usize),
    PassEnds(usize),
    Tick(usize),
    Notice(usize, LoadNotice),
}

struct CallerRequest {
    kind: usize,
    prompt: u32,
    events: u32,
    tried_at: u64,
    tries: u32,
    vm: usize,
    leader: usize,
    last_at: u64,
    is_late: bool,
    has_begun: bool,
}

struct ServingRun {
    case: ServingCase,
    random: ChaCha8Rng,
    now: u64,
    order: u64,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    pending: Vec<Option<Event>>,
    books: Vec<UpstreamMonitor>,
    returns: Vec<ReturnDelays>,
    model: ModelName,
    domains: Vec<FailureDomain>,
    pool: Vec<RouteUpstream>,
    engines: Vec<EngineModel>,
    requests: Vec<CallerRequest>,
    result: ServingResult,
}

/// Plays a case.
pub fn run_serving(case: &ServingCase) -> ServingResult {
    let mut run = ServingRun::new(case.clone());
    for kind in 0..case.kinds.len() {
        let wait = run.next_wait(kind);
        run.at(wait, Event::Arrive(kind));
    }
    if case.is_told {
        for vm in 0..case.vms {
            run.at(
                vm as u64 * LOAD_REPORT_PERIOD.0 / case.vms as u64,
                Event::Tick(vm),
            );
        }
    }
    run.play();
    run.result
}

fn vm_name(vm: usize) -> String {
    format!("vm-{vm}")
}

fn domain_of(index: usize) -> FailureDomain {
    FailureDomain::from(format!("domain-{}", index % 3))
}

impl ServingRun {
    fn new(case: ServingCase) -> Self {
        let place = |vm: usize| PeerDescriptor {
            vm: vm_name(vm),
            failure_domain: domain_of(vm),
            millicores: 250,
        };
        let pool = (0..case.leaders).map(|leader| RouteUpstream {
            incarnation: UpstreamIncarnation::new(
                UpstreamId::from(format!("leader-{leader}")),
                None,
            ),
            addr: ([127, 0, 0, 1], 1).into(),
            failure_domain: domain_of(leader),
            slots: case.slots,
            group: Some(GroupId::from(format!("group-{leader}"))),
            speed: Some(case.speed),
        });
        let pool: Vec<RouteUpstream> = pool.collect();
        let names: Vec<String> = (0..case.vms).map(vm_name).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let books = (0..case.vms).map(|vm| {
            let mut book = UpstreamMonitor::new(place(vm));
            book.assign_leaders(pool.iter(), &names, names[vm]);
            // Alone, a VM knows of no other and counts its own requests only.
            book.occupancy.set_peers((0..case.vms).map(place));
            book
        });
        let kinds = case
            .kinds
            .iter()
            .map(|kind| (kind.name, Default::default()));
        Self {
            random: ChaCha8Rng::seed_from_u64(case.seed),
            now: 0,
            order: 0,
            events: BinaryHeap::new(),
            pending: Vec::new(),
            books: books.collect(),
            returns: (0..case.vms).map(|_| ReturnDelays::default()).collect(),
            model: ModelName::new("model"),
            domains: (0..case.vms).map(domain_of).collect(),
            engines: vec![EngineModel::new(case.slots as usize, case.speed); case.leaders],
            requests: Vec::new(),
            result: ServingResult {
                kinds: kinds.collect(),
            },
            pool,
            case,
        }
    }

    fn at(&mut self, wait: u64, event: Event) {
        self.order += 1;
        self.events
            .push(Reverse((self.now + wait, self.order, self.pending.len())));
        self.pending.push(Some(event));
    }

    fn play(&mut self) {
        while let Some(Reverse((at, _, index))) = self.events.pop() {
            self.now = at;
            let Some(event) = self.pending[index].take() else {
                continue;
            };
            let is_over = self.now >= self.case.length.0;
            match event {
                Event::Arrive(_) | Event::Tick(_) if is_over => {}
                Event::Arrive(kind) => self.arrive(kind),
                Event::Try(request) => self.try_request(request),
                Event::Reach(request) => self.reach(request),
                Event::PassEnds(leader) => self.end_pass(leader),
                Event::Tick(vm) => self.tick(vm),
                Event::Notice(vm, notice) => self.hear(vm, &notice),
            }
        }
    }

    /// An exponentially distributed time until the next request of a kind.
    fn next_wait(&mut self, kind: usize) -> u64 {
        let drawn: f64 = self.random.random_range(1e-9..1.0);
        (-drawn.ln() * 1_000.0 / self.case.kinds[kind].rate) as u64
    }

    /// A size about `mean`: a quarter to two and a half times as large.
    fn draw_size(&mut self, mean: f64) -> f64 {
        let drawn: f64 = self.random.random_range(0.0..1.0);
        mean * (0.25 + 2.25 * drawn * drawn)
    }

    fn kind(&self, request: usize) -> RequestKind {
        self.case.kinds[self.requests[request].kind]
    }

    fn arrive(&mut self, kind: usize) {
        let wait = self.next_wait(kind);
        self.at(wait, Event::Arrive(kind));
        let spec = self.case.kinds[kind];
        let prompt = self.draw_size(spec.prompt);
        let events = self.draw_size(spec.events);
        self.requests.push(CallerRequest {
            kind,
            prompt: prompt as u32,
            events: (events as u32).max(1),
            tried_at: self.now,
            tries: 0,
            vm: 0,
            leader: 0,
            last_at: 0,
            is_late: false,
            has_begun: false,
        });
        self.result.kinds[spec.name].asked += 1;
        self.try_request(self.requests.len() - 1);
    }

    /// A caller tries at some entry VM; some VMs get twice as much as others.
    fn try_request(&mut self, number: usize) {
        let drawn: f64 = self.random.random_range(0.0..1.0);
        let vm = ((drawn * 0.6 + drawn * drawn * 0.4) * self.case.vms as f64) as usize;
        let kind = self.kind(number);
        let request = &mut self.requests[number];
        request.vm = vm;
        request.tried_at = self.now;
        request.tries += 1;
        let ask = UpstreamCriteria {
            priority: 0,
            home: &self.domains[vm],
            tried: &[],
            allowed_domains: None,
            idle_connections: &[],
            has_begun_elsewhere: false,
            must_be_sound: false,
            prompt_tokens: request.prompt,
            objective: kind.objective,
            random: self.random.random(),
            isolation_index: None,
        };
        let choice = self.books[vm].choose(&self.pool, &ask, Millis(self.now));
        let UpstreamChoice::Chosen(chosen) = choice else {
            return self.refuse(number);
        };
        let incarnation = chosen.incarnation.clone();
        let leader = self
            .pool
            .iter()
            .position(|it| it.incarnation == incarnation);
        request.leader = leader.unwrap_or(0);
        self.books[vm].record_sent(&incarnation, None, request.prompt, Millis(self.now));
        self.at(WAY, Event::Reach(number));
    }

    fn refuse(&mut self, number: usize) {
        if self.requests[number].tries <= RETURNS {
            let vm = self.requests[number].vm;
            let wait = self.returns[vm].delay_if_full(Some(&self.model), self.random.random());
            let wait = match self.case.return_time {
                Some(fixed) => fixed,
                None => wait,
            };
            return self.at(wait.0, Event::Try(number));
        }
        let name = self.kind(number).name;
        self.result.kinds[name].refused += 1;
    }

    fn reach(&mut self, number: usize) {
        let request = &self.requests[number];
        let leader = request.leader;
        let sent = EngineRequest {
            number,
            unread: f64::from(request.prompt),
            events: request.events,
        };
        if let Some(pass) = self.engines[leader].arrive(sent) {
            self.at(pass, Event::PassEnds(leader));
        }
    }

    fn end_pass(&mut self, leader: usize) {
        let (events, next) = self.engines[leader].end_pass();
        for (number, is_last) in events {
            self.note_event(number, is_last);
        }
        if let Some(pass) = next {
            self.at(pass, Event::PassEnds(leader));
        }
    }

    fn note_event(&mut self, number: usize, is_last: bool) {
        let kind = self.kind(number);
        let now = self.now;
        let request = &mut self.requests[number];
        let incarnation = &self.pool[request.leader].incarnation;
        let book = &mut self.books[request.vm];
        if request.has_begun {
            request.is_late |= now - request.last_at > kind.pause.0;
        } else {
            request.has_begun = true;
            let took = Millis(now - request.tried_at);
            request.is_late |= took > kind.objective;
            book.record_answer_begun(incarnation, request.prompt);
            let leader = &self.pool[request.leader];
            book.record_first_event(leader, took, kind.objective, Millis(now));
        }
        request.last_at = now;
        book.record_progress(incarnation, Millis(now));
        if !is_last {
            return;
        }
        book.record_ended(incarnation, true, request.prompt);
        let took = Millis(now - request.tried_at);
        self.returns[request.vm].record_answer(&self.model, took);
        let result = &mut self.result.kinds[kind.name];
        match (request.is_late, request.tries) {
            (true, _) => result.late += 1,
            (false, 1) => result.in_time += 1,
            (false, _) => result.returned_in_time += 1,
        }
    }

    fn tick(&mut self, vm: usize) {
        self.at(LOAD_REPORT_PERIOD.0, Event::Tick(vm));
        let in_flight = self.books[vm].in_flight();
        let event = OccupancyEvent::Tick(in_flight);
        let actions = self.books[vm].occupancy.handle(Millis(self.now), event);
        self.send(actions);
    }

    fn hear(&mut self, vm: usize, notice: &LoadNotice) {
        let event = OccupancyEvent::Received(notice);
        let actions = self.books[vm].occupancy.handle(Millis(self.now), event);
        self.send(actions);
    }

    fn send(&mut self, actions: Vec<OccupancyAction>) {
        for action in actions {
            let vm = (0..self.case.vms).find(|vm| vm_name(*vm) == action.vm);
            if let Some(vm) = vm {
                self.at(WAY, Event::Notice(vm, action.report));
            }
        }
    }
}
