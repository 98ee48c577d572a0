//! Open-loop arrivals: requests start when they are due, whatever became of earlier ones.

use std::io::IsTerminal;
use std::time::{Duration, Instant};

use bergamot_local::ReadyFile;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use super::caller::{CallKind, CallOutcome, CallPlan, call, client};

/// What to send.
#[derive(Clone, Debug)]
pub struct TrafficOptions {
    /// Requests per second.
    pub rate: f64,
    /// How long.
    pub duration: Duration,
    /// Share of plain service calls that must run at most once.
    pub confirm_share: f64,
    /// Share of confirmations that are sent again at another entry VM at once.
    pub repeat_share: f64,
    /// Share of chats that are streamed.
    pub stream_share: f64,
    /// Tokens of a chat, at most.
    pub most_tokens: u64,
    /// Distinct prompt prefixes.
    pub prefixes: u64,
    /// Time for one request.
    pub timeout: Duration,
    /// The seed of the load.
    pub seed: u64,
}

impl Default for TrafficOptions {
    fn default() -> Self {
        Self {
            rate: 100.0,
            duration: Duration::from_secs(10),
            confirm_share: 0.2,
            repeat_share: 0.2,
            stream_share: 0.7,
            most_tokens: 32,
            prefixes: 100,
            timeout: Duration::from_secs(60),
            seed: 1,
        }
    }
}

/// Sends the load and waits for every answer.
pub async fn run_traffic(ready: &ReadyFile, options: &TrafficOptions) -> Vec<CallOutcome> {
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let client = client();
    let mut running: JoinSet<CallOutcome> = JoinSet::new();
    let mut outcomes = Vec::new();
    let started = Instant::now();
    let mut due = Duration::ZERO;
    let mut number = 0_u64;
    let mut shown = Duration::ZERO;
    while due < options.duration {
        tokio::time::sleep_until((started + due).into()).await;
        let plans = plan(ready, options, &mut random, number);
        number += 1;
        for plan in plans {
            let client = client.clone();
            let timeout = options.timeout;
            running.spawn(async move { call(&client, &plan, timeout).await });
        }
        while let Some(Ok(outcome)) = running.try_join_next() {
            outcomes.push(outcome);
        }
        if started.elapsed() >= shown {
            shown += Duration::from_secs(1);
            progress(started.elapsed(), outcomes.len(), running.len());
        }
        let unit: f64 = random.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-unit.ln() / options.rate);
    }
    while let Some(joined) = running.join_next().await {
        outcomes.extend(joined.ok());
    }
    outcomes
}

fn progress(elapsed: Duration, done: usize, running: usize) {
    if std::io::stderr().is_terminal() {
        eprint!(
            "\r{:4} s  done {done}  running {running}   ",
            elapsed.as_secs()
        );
    }
}

fn plan(
    ready: &ReadyFile,
    options: &TrafficOptions,
    random: &mut ChaCha8Rng,
    number: u64,
) -> Vec<CallPlan> {
    let entry = random.random_range(0..ready.entries.len());
    let account = random.random_range(0..ready.accounts.len());
    let id = format!("load-{}-{number}", options.seed);
    let make = |entry: usize, id: String, kind: CallKind| CallPlan {
        entry: ready.entries[entry].clone(),
        token: ready.accounts[account].token.clone(),
        model: ready.model.clone(),
        service: ready.service.clone(),
        id,
        kind,
    };
    if random.random_bool(options.confirm_share) {
        let kind = CallKind::Confirm {
            key: format!("key-{id}"),
        };
        let mut plans = vec![make(entry, id.clone(), kind.clone())];
        if random.random_bool(options.repeat_share) {
            let other = random.random_range(0..ready.entries.len());
            plans.push(make(other, format!("{id}-again"), kind));
        }
        return plans;
    }
    let prefix = random.random_range(0..options.prefixes);
    // The first characters decide the prefix; the number makes each answer the caller's own.
    let prompt = format!("{prefix:064}{id}");
    let kind = CallKind::Chat {
        prompt,
        tokens: random.random_range(1..=options.most_tokens),
        stream: random.random_bool(options.stream_share),
    };
    vec![make(entry, id, kind)]
}
