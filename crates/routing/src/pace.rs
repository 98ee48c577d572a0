//! How fast the leaders of a model are seen to be, and what silence of one means by that.

use std::collections::VecDeque;

use bergamot_ports::EngineSpeed;
use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// Times that are kept of each kind: the last ones, so that what changed counts after some seconds where a VM sends one
/// request a second to a model.
const KEPT_TIMES: usize = 256;
/// Times below which the configuration says more than what was seen.
const ENOUGH_TIMES: usize = 20;
/// Times that are noted between two looks at what follows from them: a look sorts all that are kept.
const LOOK_TIMES: usize = 16;
/// Part of pauses and first events that are no sign of trouble.
const USUAL_PART: f64 = 0.99;

/// Factor on the usual longest pause after which a leader is suspected to stand still. All streams there get their events
/// together, so each VM that has one sees it. With 1.3 four of five leaders that were suspected went on (87 VMs before 165
/// upstreams, a day on which two go dark every 3 s).
const SUSPECT_FACTOR: f64 = 2.0;
/// Passes that make a pause where none was seen yet.
const FIRST_PAUSE_PASSES: f64 = 3.0;
/// The shortest silence that counts: processes of a VM on an eighth of a core are not run for this long at times.
const MIN_SUSPECT: Millis = Millis(60);
/// The longest one that passes without suspicion, however slow all leaders are.
const MAX_SUSPECT: Millis = Millis(350);
/// Silence after which others are better used where nothing was seen of a model yet. With 350 ms 0.029 instead of 0.026 of a
/// load as large as the leaders bear were refused for good (`experiment::serving`).
const UNSEEN_SILENCE: Millis = Millis(200);
/// Factor on that silence after which requests go on elsewhere that still wait for their first event there. The sooner, the
/// more of them are in time; of those silences that reached this, two in three did not end (the same day).
const STALLED_FACTOR: f64 = 1.7;
/// The same for streams that have begun. Their pause is late by then, so there is no hurry.
const STILL_FACTOR: f64 = 3.0;
/// The longest silence in which streams wait, whatever was seen.
const MAX_STILL: Millis = Millis(600);
/// Factor on what first events usually come later than expected at most, after which a request goes on elsewhere where the
/// leader has room for it.
const FIRST_FACTOR: f64 = 1.5;
/// The same where requests of others may wait before it, or where nothing was seen yet. Callers leave after two seconds.
const QUEUE_TIME: Millis = Millis(1_300);
/// The least time that a request waits at a leader of whose silence others tell: it may just have gone on.
const TOLD_WAIT: Millis = Millis(40);

/// The last times of one kind.
#[derive(Clone, Debug, Default)]
struct SeenTimes {
    times: VecDeque<u32>,
}

impl SeenTimes {
    fn note(&mut self, took: Millis) {
        if self.times.len() >= KEPT_TIMES {
            self.times.pop_front();
        }
        self.times.push_back(took.0.try_into().unwrap_or(u32::MAX));
    }

    /// The time below which the usual part stays, in milliseconds; none where too few were seen.
    fn usual_ms(&self) -> Option<f64> {
        if self.times.len() < ENOUGH_TIMES {
            return None;
        }
        let mut times: Vec<u32> = self.times.iter().copied().collect();
        let place = ((times.len() - 1) as f64 * USUAL_PART) as usize;
        let (_, usual, _) = times.select_nth_unstable(place);
        Some(f64::from(*usual))
    }
}

/// How fast the leaders of one model are seen to be.
#[derive(Clone, Debug, Default)]
pub struct ModelPace {
    pauses: SeenTimes,
    firsts: SeenTimes,
    /// How much later than expected first events came.
    excesses: SeenTimes,
    /// What follows from them. Kept, as it is asked for at each look.
    limits: PaceLimits,
    /// Times noted since the limits were worked out.
    fresh: usize,
}

/// Silences that mean something.
#[derive(Clone, Copy, Debug)]
struct PaceLimits {
    patience: LeaderPatience,
    /// Time beyond the expected one after which a request goes on elsewhere that waits for its first event.
    excess: Millis,
}

impl Default for PaceLimits {
    fn default() -> Self {
        Self {
            patience: LeaderPatience::default(),
            excess: QUEUE_TIME,
        }
    }
}

/// Silences of a leader after which others are better used.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LeaderPatience {
    /// Where a stream from there has begun.
    pub pause: Millis,
    /// Where only first events are due.
    pub first: Millis,
}

impl Default for LeaderPatience {
    fn default() -> Self {
        Self {
            pause: UNSEEN_SILENCE,
            first: UNSEEN_SILENCE,
        }
    }
}

impl ModelPace {
    /// Notes the time between two events of a stream at one leader.
    pub fn note_pause(&mut self, took: Millis, speed: Option<EngineSpeed>, slots: u32) {
        self.pauses.note(took);
        self.look(speed, slots);
    }

    /// Notes the time from a send to the first event, and the one that was expected.
    pub fn note_first(
        &mut self,
        took: Millis,
        expected: Millis,
        speed: Option<EngineSpeed>,
        slots: u32,
    ) {
        self.firsts.note(took);
        self.excesses.note(took.since(expected));
        self.look(speed, slots);
    }

    /// Works the limits out anew, now and then.
    fn look(&mut self, speed: Option<EngineSpeed>, slots: u32) {
        self.fresh += 1;
        if self.fresh < LOOK_TIMES {
            return;
        }
        self.fresh = 0;
        let pass = speed.map(|speed| speed.pass_ms(f64::from(slots)));
        let told = pass.map(|pass| pass * FIRST_PAUSE_PASSES);
        let pause = self.pauses.usual_ms().or(told);
        let suspect = pause.map_or(MAX_SUSPECT, |pause| Millis((pause * SUSPECT_FACTOR) as u64));
        let first = self.firsts.usual_ms();
        let excess = self.excesses.usual_ms();
        let excess = excess.map_or(QUEUE_TIME, |excess| Millis((excess * FIRST_FACTOR) as u64));
        self.limits = PaceLimits {
            patience: LeaderPatience {
                pause: suspect.max(MIN_SUSPECT).min(MAX_SUSPECT),
                first: first.map_or(MAX_SUSPECT, |first| Millis(first as u64)),
            },
            excess: excess.min(QUEUE_TIME),
        };
    }

    /// What a leader's silence means.
    pub fn judge(&self, silence: LeaderSilence) -> SilenceVerdict {
        match silence.has_begun {
            true => self.judge_pause(silence),
            false => self.judge_first(silence),
        }
    }

    /// The same where a stream from there has begun.
    fn judge_pause(&self, silence: LeaderSilence) -> SilenceVerdict {
        let suspect = self.limits.patience.pause;
        let after = |factor: f64| Millis((suspect.0 as f64 * factor) as u64).min(MAX_STILL);
        let still = match silence.run.is_last {
            true => MAX_STILL,
            false => after(STILL_FACTOR),
        };
        match silence.length {
            // One that came when the leader had long been silent has yet to give it the time for an answer.
            length if length >= still && silence.waited >= suspect => SilenceVerdict::Still,
            length if length >= after(STALLED_FACTOR) => SilenceVerdict::Stalled,
            length if length >= suspect => SilenceVerdict::Suspected,
            _ => SilenceVerdict::Sound,
        }
    }

    /// The same where only first events are due.
    fn judge_first(&self, silence: LeaderSilence) -> SilenceVerdict {
        if silence.run.is_last || silence.has_queue {
            return match silence.length {
                length if length >= QUEUE_TIME => SilenceVerdict::Still,
                length if length >= MAX_STILL => SilenceVerdict::Suspected,
                _ => SilenceVerdict::Sound,
            };
        }
        let latest = silence.run.expected + self.limits.excess;
        let is_late = silence.length >= latest.min(QUEUE_TIME);
        let is_told = silence.is_stalled && silence.waited >= TOLD_WAIT;
        match is_late || is_told {
            true => SilenceVerdict::Still,
            false => SilenceVerdict::Sound,
        }
    }
}

/// A request that was sent to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct SentRun {
    /// When.
    pub at: Millis,
    /// The time from there to its first event that was expected then.
    pub expected: Millis,
    /// Whether it may be sent to no further upstream: it gets the most time, as nothing is left to it elsewhere.
    pub is_last: bool,
}

/// What is known of a leader from which nothing comes.
#[derive(Clone, Copy, Debug)]
pub struct LeaderSilence {
    /// How long nothing has come from it.
    pub length: Millis,
    /// How long the request that asks has waited there.
    pub waited: Millis,
    /// The request that asks.
    pub run: SentRun,
    /// Whether a stream from there has begun, so that its next event is due.
    pub has_begun: bool,
    /// Whether requests may wait there behind others.
    pub has_queue: bool,
    /// Whether another VM tells that its streams there stand still.
    pub is_stalled: bool,
}

/// What a silence means.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum SilenceVerdict {
    /// Nothing: events come in passes.
    Sound,
    /// It may stand still: new requests of this VM go elsewhere, and the coordinator is told.
    Suspected,
    /// It stands still by all appearances: requests that wait there for their first event go on elsewhere, and the other VMs
    /// are told.
    Stalled,
    /// It stands still: requests go on elsewhere.
    Still,
}

/// How fast the leaders of each model are seen to be.
#[derive(Clone, Debug, Default)]
pub struct ModelPaces {
    paces: IndexMap<ModelName, ModelPace>,
}

impl ModelPaces {
    /// The pace of a model.
    pub fn get_mut(&mut self, model: &ModelName) -> &mut ModelPace {
        if !self.paces.contains_key(model) {
            self.paces.insert(model.clone(), ModelPace::default());
        }
        &mut self.paces[model]
    }

    /// What a silence of a leader of this model means.
    pub fn judge(&self, model: Option<&ModelName>, silence: LeaderSilence) -> SilenceVerdict {
        let pace = model.and_then(|model| self.paces.get(model));
        match pace {
            Some(pace) => pace.judge(silence),
            None => ModelPace::default().judge(silence),
        }
    }

    /// Silences of a leader of this model after which others are better used.
    pub fn patience(&self, model: Option<&ModelName>) -> LeaderPatience {
        let pace = model.and_then(|model| self.paces.get(model));
        pace.map_or_else(LeaderPatience::default, |pace| pace.limits.patience)
    }
}
