//! Decides whether a new connection is accepted.

use std::collections::VecDeque;
use std::time::Duration;

use crate::period::ThreadPeriod;

/// Fraction of the thread's time that may be used for the connections that are accepted. Above it, each
/// step of every request waits for many others.
const TARGET_USE: f64 = 0.7;
/// Fraction above which the thread has no time left for more connections. Between it and the target
/// nothing changes, so that a busy VM does not begin and cease to turn connections away in turn.
const FULL_USE: f64 = 0.9;
/// Time over which the use is judged whether it is too high. Several periods of a processor quota, which
/// stops a process for most of each while it is used up.
const JUDGED_TIME: Duration = Duration::from_millis(500);
/// Time over which the cost of a connection is measured. The work for a connection goes on for as long
/// as its answer.
const COST_TIME: Duration = Duration::from_secs(4);
/// Factor on the rate after a judged time with time left. Below the ratio of the two uses, so that the rate
/// comes to rest between them.
const RATE_INCREASE: f64 = 1.15;
/// Factor after one with more than half of the target left. The work for what was accepted in the last second
/// may still be to come.
const FAST_INCREASE: f64 = 1.5;
/// Connections a second that are accepted however busy the thread is. A VM that is slow for another reason
/// shows by them when it no longer is.
const MIN_RATE: f64 = 8.0;

/// What a new connection is met with.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum IntakeDecision {
    /// It is served.
    Accept,
    /// It is closed before anything is read from it.
    TurnAway,
}

/// A change of the state.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum IntakeChange {
    /// From now on at most this many connections are accepted a second.
    Limited(f64),
    /// Every connection is accepted again.
    Unlimited,
}

/// One period with the connections that were accepted in it.
#[derive(Clone, Copy, Debug, Default)]
struct IntakePeriod {
    elapsed: Duration,
    busy: Duration,
    accepted: u32,
}

/// Sums over the latest periods.
#[derive(Clone, Copy, Debug, Default)]
struct IntakeSum {
    elapsed: Duration,
    busy: Duration,
    accepted: u32,
}

impl IntakeSum {
    /// Returns the fraction of the time in which the thread was busy.
    fn used(&self) -> f64 {
        self.busy.as_secs_f64() / self.elapsed.as_secs_f64().max(f64::EPSILON)
    }

    /// Returns the connections accepted a second.
    fn rate(&self) -> f64 {
        f64::from(self.accepted) / self.elapsed.as_secs_f64().max(f64::EPSILON)
    }

    /// Returns the connections a second at which the thread would be used as much as it may be.
    fn rate_at_target(&self) -> f64 {
        self.rate() * TARGET_USE / self.used().max(f64::EPSILON)
    }
}

/// How many connections may be accepted while the thread is full.
#[derive(Clone, Copy, Debug)]
struct IntakeLimit {
    /// Connections a second.
    rate: f64,
    /// Connections that may be accepted now.
    credit: f64,
    /// Time since a connection was last turned away.
    unneeded: Duration,
    /// Time since the rate was last adjusted.
    unadjusted: Duration,
}

impl IntakeLimit {
    /// Creates a limit under which nothing may be accepted yet.
    const fn new(rate: f64) -> Self {
        Self {
            rate,
            credit: 0.0,
            unneeded: Duration::ZERO,
            unadjusted: Duration::ZERO,
        }
    }

    /// Applies a period in which so many connections were turned away.
    fn earn(&mut self, elapsed: Duration, turned_away: u32) {
        self.unneeded = match turned_away {
            0 => self.unneeded + elapsed,
            _ => Duration::ZERO,
        };
        self.unadjusted += elapsed;
        let most = self.rate * JUDGED_TIME.as_secs_f64();
        self.credit = (self.credit + self.rate * elapsed.as_secs_f64()).min(most);
    }

    /// Adjusts the rate once the use that it led to is known.
    fn adjust(&mut self, judged: IntakeSum) {
        if self.unadjusted < JUDGED_TIME {
            return;
        }
        self.unadjusted = Duration::ZERO;
        let used = judged.used();
        if used >= FULL_USE {
            self.rate = self.rate.min(judged.rate_at_target()).max(MIN_RATE);
        } else if used < TARGET_USE && self.unneeded < JUDGED_TIME {
            self.rate *= match used < TARGET_USE / 2.0 {
                true => FAST_INCREASE,
                false => RATE_INCREASE,
            };
        }
    }
}

/// Bounds the connections that are accepted by what the thread that serves them has time for.
#[derive(Clone, Debug, Default)]
pub struct IntakeState {
    /// The latest periods, the oldest first.
    periods: VecDeque<IntakePeriod>,
    /// Connections accepted since the last tick.
    accepted: u32,
    /// Connections turned away since the last tick.
    turned_away: u32,
    /// None while the thread has time left.
    limit: Option<IntakeLimit>,
}

impl IntakeState {
    /// Decides on a new connection.
    pub fn decide(&mut self) -> IntakeDecision {
        if let Some(limit) = &mut self.limit {
            if limit.credit < 1.0 {
                self.turned_away += 1;
                return IntakeDecision::TurnAway;
            }
            limit.credit -= 1.0;
        }
        self.accepted += 1;
        IntakeDecision::Accept
    }

    /// Ends a period, and returns what changes.
    pub fn record_period(&mut self, period: ThreadPeriod) -> Option<IntakeChange> {
        self.periods.push_back(IntakePeriod {
            elapsed: period.elapsed,
            busy: period.busy(),
            accepted: std::mem::take(&mut self.accepted),
        });
        while self.sum_over(Duration::MAX).elapsed > COST_TIME && self.periods.len() > 1 {
            self.periods.pop_front();
        }
        let turned_away = std::mem::take(&mut self.turned_away);
        let judged = self.sum_over(JUDGED_TIME);
        if judged.elapsed < JUDGED_TIME {
            return None;
        }
        match &mut self.limit {
            None if judged.used() < FULL_USE || judged.rate() <= MIN_RATE => None,
            None => {
                let rate = self.expected_rate(judged);
                self.limit = Some(IntakeLimit::new(rate));
                Some(IntakeChange::Limited(rate))
            }
            Some(limit) => {
                limit.earn(period.elapsed, turned_away);
                if limit.unneeded >= COST_TIME && judged.used() < TARGET_USE {
                    self.limit = None;
                    return Some(IntakeChange::Unlimited);
                }
                limit.adjust(judged);
                None
            }
        }
    }

    /// Returns the rate at the target by the cost of connections so far, which other work of the thread
    /// makes seem higher. What was accepted in the `judged` time is left out: most of the work for it has
    /// not been done yet.
    fn expected_rate(&self, judged: IntakeSum) -> f64 {
        let all = self.sum_over(COST_TIME);
        let earlier = IntakeSum {
            elapsed: all.elapsed.saturating_sub(judged.elapsed),
            busy: all.busy.saturating_sub(judged.busy),
            accepted: all.accepted.saturating_sub(judged.accepted),
        };
        let rate = earlier.rate_at_target().min(judged.rate_at_target());
        rate.max(MIN_RATE)
    }

    /// Returns the sum over the latest periods that take this time together.
    fn sum_over(&self, time: Duration) -> IntakeSum {
        let mut sum = IntakeSum::default();
        for period in self.periods.iter().rev() {
            if sum.elapsed >= time {
                break;
            }
            sum.elapsed += period.elapsed;
            sum.busy += period.busy;
            sum.accepted += period.accepted;
        }
        sum
    }
}
