//! What is played, and what came of it.

use bergamot_ports::EngineSpeed;
use bergamot_types::Millis;
use indexmap::IndexMap;
use serde::Serialize;

/// One kind of request.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    /// Its name.
    pub name: &'static str,
    /// Requests a second.
    pub rate: f64,
    /// Tokens of a prompt on the mean.
    pub prompt: f64,
    /// Events of an answer on the mean.
    pub events: f64,
    /// Time within which the first event is in time.
    pub objective: Millis,
    /// The longest pause between events that is in time.
    pub pause: Millis,
    /// Time that a caller will wait.
    pub deadline: Millis,
}

/// Callers before the leaders of one model.
#[derive(Clone, Debug)]
pub struct ServingCase {
    /// What the row is called.
    pub name: &'static str,
    /// Entry VMs, in three failure domains.
    pub vms: usize,
    /// Leaders.
    pub leaders: usize,
    /// Requests that one leader runs at once.
    pub slots: u32,
    /// How fast a leader is.
    pub speed: EngineSpeed,
    /// The kinds of request.
    pub kinds: Vec<RequestKind>,
    /// Whether the VMs tell each other what they have in flight.
    pub is_told: bool,
    /// When refused callers are told to come back; none: when the VM expects room.
    pub return_time: Option<Millis>,
    /// Virtual time.
    pub length: Millis,
    /// The seed of the load.
    pub seed: u64,
}

impl ServingCase {
    /// Long prompts and short answers: reading takes half of the leaders' time.
    pub fn long_prompts() -> Self {
        let kind = |name, rate, prompt, events, objective| RequestKind {
            name,
            rate,
            prompt,
            events,
            objective: Millis(objective),
            pause: Millis(300),
            deadline: Millis(8_000),
        };
        Self {
            name: "long prompts",
            vms: 8,
            leaders: 4,
            slots: 26,
            speed: EngineSpeed {
                step_ms: 5.95,
                step_ms_per_request: 0.0445,
                steps_per_pass: 7,
                tokens_per_ms: 50.7,
            },
            kinds: vec![
                kind("long answers", 36.0, 1_460.0, 25.0, 300),
                kind("short answers", 25.0, 2_000.0, 3.0, 400),
            ],
            is_told: true,
            return_time: None,
            length: Millis(30_000),
            seed: 1,
        }
    }
}

/// What became of the requests of one kind.
#[derive(Clone, Copy, PartialEq, Debug, Default, Serialize)]
pub struct KindResult {
    /// Callers' requests, repeats not counted.
    pub asked: u64,
    /// Answered in time, as counted from the caller's first try.
    pub in_time: u64,
    /// Answered in time, as counted from the try that was taken.
    pub returned_in_time: u64,
    /// Answered late.
    pub late: u64,
    /// Refused for good: also when they came back.
    pub refused: u64,
}

impl KindResult {
    fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.in_time += other.in_time;
        self.returned_in_time += other.returned_in_time;
        self.late += other.late;
        self.refused += other.refused;
    }

    /// A part of what was asked.
    pub fn part(&self, count: u64) -> f64 {
        count as f64 / self.asked.max(1) as f64
    }
}

/// What came of a case.
#[derive(Clone, PartialEq, Debug, Default, Serialize)]
pub struct ServingResult {
    /// By kind of request.
    pub kinds: IndexMap<&'static str, KindResult>,
}

impl ServingResult {
    /// All kinds together.
    pub fn whole(&self) -> KindResult {
        let mut whole = KindResult::default();
        for kind in self.kinds.values() {
            whole.add(kind);
        }
        whole
    }
}
