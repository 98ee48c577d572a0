//! A replica as its load shows: places, a queue, a bounded prefix cache, a speed.

use std::collections::VecDeque;

use bergamot_types::Millis;

/// Speeds of a healthy replica.
#[derive(Clone, Copy, Debug)]
pub struct RunnerSpeed {
    /// Requests that generate at once.
    pub places: usize,
    /// Prefixes held.
    pub prefixes: usize,
    /// Time to read a prompt whose prefix is held.
    pub hit: Millis,
    /// Time to read a prompt whose prefix is not held.
    pub miss: Millis,
    /// Time for one token.
    pub token: Millis,
}

impl Default for RunnerSpeed {
    fn default() -> Self {
        Self {
            places: 24,
            prefixes: 60,
            hit: Millis(25),
            miss: Millis(180),
            token: Millis(15),
        }
    }
}

/// A request at a replica.
#[derive(Clone, Copy, Debug)]
pub struct QueuedRequest {
    /// Its number.
    pub number: usize,
    /// Hash of its prefix.
    pub prefix: u64,
    /// Tokens it generates.
    pub tokens: u64,
}

/// One replica.
#[derive(Clone, Debug)]
pub struct RunnerModel {
    speed: RunnerSpeed,
    /// How many times as long everything takes.
    pub slow: f64,
    running: usize,
    queue: VecDeque<QueuedRequest>,
    held: VecDeque<u64>,
    /// Requests served.
    pub served: u64,
    /// Prompts whose prefix was held.
    pub hits: u64,
}

/// A request that began: when its first token and its end come.
#[derive(Clone, Copy, Debug)]
pub struct BegunRequest {
    /// Its number.
    pub number: usize,
    /// When the first token comes.
    pub first: Millis,
    /// When it ends.
    pub end: Millis,
}

impl RunnerModel {
    /// An idle replica.
    pub fn new(speed: RunnerSpeed, slow: f64) -> Self {
        Self {
            speed,
            slow,
            running: 0,
            queue: VecDeque::new(),
            held: VecDeque::new(),
            served: 0,
            hits: 0,
        }
    }

    /// Requests running and queued.
    pub fn load(&self) -> u32 {
        (self.running + self.queue.len()) as u32
    }

    /// A request arrives.
    pub fn arrive(&mut self, now: Millis, request: QueuedRequest) -> Option<BegunRequest> {
        self.queue.push_back(request);
        self.begin(now)
    }

    /// A request ends; another may begin.
    pub fn end(&mut self, now: Millis) -> Option<BegunRequest> {
        self.running -= 1;
        self.begin(now)
    }

    fn begin(&mut self, now: Millis) -> Option<BegunRequest> {
        if self.running >= self.speed.places {
            return None;
        }
        let request = self.queue.pop_front()?;
        self.running += 1;
        self.served += 1;
        let is_hit = self.touch(request.prefix);
        self.hits += u64::from(is_hit);
        let read = if is_hit {
            self.speed.hit
        } else {
            self.speed.miss
        };
        // A fuller batch makes every token a little slower.
        let crowd = 1.0 + self.running as f64 / self.speed.places as f64 * 0.5;
        let first = read.0 as f64 * self.slow * crowd;
        let rest = (self.speed.token.0 * request.tokens) as f64 * self.slow * crowd;
        Some(BegunRequest {
            number: request.number,
            first: now + Millis(first as u64),
            end: now + Millis((first + rest) as u64),
        })
    }

    fn touch(&mut self, prefix: u64) -> bool {
        let found = self.held.iter().position(|held| *held == prefix);
        if let Some(index) = found {
            self.held.remove(index);
        }
        self.held.push_back(prefix);
        if self.held.len() > self.speed.prefixes {
            self.held.pop_front();
        }
        found.is_some()
    }
}
