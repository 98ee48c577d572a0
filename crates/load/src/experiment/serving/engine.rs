//! The leader of a group as its published timing describes it: passes that read prompts and move every
//! running answer on by one event.

use std::collections::VecDeque;

use bergamot_ports::EngineSpeed;

/// Prompt tokens read in one step of a pass at most.
const STEP_TOKENS: f64 = 2_048.0;

/// A request at a leader.
#[derive(Clone, Copy, Debug)]
pub struct EngineRequest {
    /// Its number.
    pub number: usize,
    /// Tokens of its prompt that are still to be read.
    pub unread: f64,
    /// Events that are still to come.
    pub events: u32,
}

/// One leader.
#[derive(Clone, Debug)]
pub struct EngineModel {
    slots: usize,
    speed: EngineSpeed,
    running: Vec<EngineRequest>,
    waiting: VecDeque<EngineRequest>,
    is_busy: bool,
}

impl EngineModel {
    /// An idle leader.
    pub fn new(slots: usize, speed: EngineSpeed) -> Self {
        Self {
            slots,
            speed,
            running: Vec::new(),
            waiting: VecDeque::new(),
            is_busy: false,
        }
    }

    /// Takes a request in. Returns the length of the pass that begins with it, in milliseconds, if none runs.
    pub fn arrive(&mut self, request: EngineRequest) -> Option<u64> {
        self.waiting.push_back(request);
        match self.is_busy {
            true => None,
            false => Some(self.begin_pass()),
        }
    }

    /// Begins a pass and returns its length, in milliseconds.
    fn begin_pass(&mut self) -> u64 {
        self.is_busy = true;
        while self.running.len() < self.slots
            && let Some(request) = self.waiting.pop_front()
        {
            self.running.push(request);
        }
        let mut budget = STEP_TOKENS * f64::from(self.speed.steps_per_pass);
        let mut read = 0.0;
        for request in &mut self.running {
            let part = request.unread.min(budget);
            request.unread -= part;
            budget -= part;
            read += part;
        }
        let writing = self.speed.pass_ms(self.running.len() as f64);
        (writing + read / self.speed.tokens_per_ms).ceil() as u64
    }

    /// Ends a pass: the requests that got an event, with whether it was the last, and the length of the next
    /// pass if there is work.
    pub fn end_pass(&mut self) -> (Vec<(usize, bool)>, Option<u64>) {
        let mut events = Vec::new();
        for request in self.running.iter_mut().filter(|it| it.unread <= 0.0) {
            request.events -= 1;
            events.push((request.number, request.events == 0));
        }
        self.running.retain(|it| it.events > 0);
        self.is_busy = false;
        let has_work = !self.running.is_empty() || !self.waiting.is_empty();
        (events, has_work.then(|| self.begin_pass()))
    }
}
