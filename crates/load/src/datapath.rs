//! What one entry VM adds to a request: the same stand-in called directly and through the entry
//! VM, in turns within one run.

use std::time::{Duration, Instant};

use bergamot_local::{LocalFleet, LocalOptions, sample};
use bergamot_standin::EngineOptions;
use hdrhistogram::Histogram;

use crate::traffic::caller::{CallKind, CallPlan, call, client};

/// What to send.
#[derive(Clone, Copy, Debug)]
pub struct DatapathOptions {
    /// Requests at once.
    pub concurrency: usize,
    /// Tokens of each answer.
    pub tokens: u64,
    /// Time between the engine's tokens.
    pub token_time: Duration,
    /// Length of each turn.
    pub turn: Duration,
    /// Turns of each way.
    pub turns: usize,
}

impl Default for DatapathOptions {
    fn default() -> Self {
        Self {
            concurrency: 64,
            tokens: 64,
            token_time: Duration::from_millis(4),
            turn: Duration::from_secs(3),
            turns: 3,
        }
    }
}

/// What one way came to.
struct WayResult {
    first: Histogram<u64>,
    between: Histogram<u64>,
    requests: u64,
    tokens: u64,
    seconds: f64,
    caller_cpu: f64,
}

impl WayResult {
    fn new() -> Self {
        const MOST_US: u64 = 60_000_000;
        let histogram = || Histogram::new_with_max(MOST_US, 3).expect("the bounds are constants");
        Self {
            first: histogram(),
            between: histogram(),
            requests: 0,
            tokens: 0,
            seconds: 0.0,
            caller_cpu: 0.0,
        }
    }

    fn line(&self, name: &str) -> String {
        let ms = |histogram: &Histogram<u64>, q| histogram.value_at_quantile(q) as f64 / 1e3;
        format!(
            "{name:8} {:9.2} {:9.2} {:9.2} {:9.2} {:9.0} {:9.0}",
            ms(&self.first, 0.5),
            ms(&self.first, 0.99),
            ms(&self.between, 0.5),
            ms(&self.between, 0.99),
            self.requests as f64 / self.seconds,
            self.tokens as f64 / self.seconds
        )
    }
}

/// Runs both ways in turns and returns the table.
///
/// # Errors
/// When the fleet does not come up.
pub fn datapath(options: &DatapathOptions) -> anyhow::Result<Vec<String>> {
    let sizes = LocalOptions {
        entries_per_domain: 1,
        engine: EngineOptions {
            token_time: options.token_time,
            prefill_time: Duration::ZERO,
            batch: options.concurrency * 2,
            ..EngineOptions::default()
        },
        ..LocalOptions::smallest()
    };
    let fleet = LocalFleet::start(&sizes)?;
    fleet.roll(&sample::document("1", 1, sizes.vms_per_replica))?;
    fleet.wait_serving(1)?;
    let ready = fleet.ready_file();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name("load")
        .enable_all()
        .build()?;
    let leader = runtime.block_on(leader(&ready, options));
    let Some(leader) = leader else {
        anyhow::bail!("no engine answers directly");
    };
    let mut direct = WayResult::new();
    let mut through = WayResult::new();
    for _ in 0..options.turns {
        for (addr, result) in [(&leader, &mut direct), (&ready.entries[0], &mut through)] {
            let before = cpu_seconds("duty-callers");
            runtime.block_on(turn(&ready, addr, options, result));
            result.caller_cpu += cpu_seconds("duty-callers") - before;
        }
    }
    let cpu = through.caller_cpu.max(1e-9);
    let added = |q| {
        let (a, b) = (&through.first, &direct.first);
        (a.value_at_quantile(q) as f64 - b.value_at_quantile(q) as f64) / 1e3
    };
    let lines = vec![
        "way      first p50 first p99   gap p50   gap p99     req/s  tokens/s".to_owned(),
        direct.line("direct"),
        through.line("through"),
        format!(
            "added to the first token: p50 {:.2} ms, p99 {:.2} ms",
            added(0.5),
            added(0.99)
        ),
        format!(
            "one core of the callers' side carries {:.0} requests/s and {:.0} tokens/s \
             ({:.1} us a token)",
            through.requests as f64 / cpu,
            through.tokens as f64 / cpu,
            cpu / through.tokens.max(1) as f64 * 1e6
        ),
    ];
    fleet.stop();
    Ok(lines)
}

fn plan(ready: &bergamot_local::ReadyFile, addr: &str, id: String, tokens: u64) -> CallPlan {
    CallPlan {
        entry: addr.to_owned(),
        token: ready.accounts[0].token.clone(),
        model: ready.model.clone(),
        service: ready.service.clone(),
        kind: CallKind::Chat {
            prompt: format!("the same prefix for all {id}"),
            tokens,
            stream: true,
        },
        id,
    }
}

/// The engine that answers when it is asked directly.
async fn leader(ready: &bergamot_local::ReadyFile, options: &DatapathOptions) -> Option<String> {
    let client = client();
    for upstream in ready.upstreams.iter().filter(|u| u.kind == "engine") {
        let plan = plan(ready, &upstream.addr, "probe".to_owned(), options.tokens);
        if call(&client, &plan, options.turn).await.status == 200 {
            return Some(upstream.addr.clone());
        }
    }
    None
}

async fn turn(
    ready: &bergamot_local::ReadyFile,
    addr: &str,
    options: &DatapathOptions,
    result: &mut WayResult,
) {
    let client = client();
    let started = Instant::now();
    let callers = (0..options.concurrency).map(|caller| {
        let client = client.clone();
        async move {
            let mut outcomes = Vec::new();
            while started.elapsed() < options.turn {
                let id = format!("{caller}-{}", outcomes.len());
                let plan = plan(ready, addr, id, options.tokens);
                outcomes.push(call(&client, &plan, options.turn * 4).await);
            }
            outcomes
        }
    });
    let outcomes = futures::future::join_all(callers).await;
    result.seconds += started.elapsed().as_secs_f64();
    for outcome in outcomes.into_iter().flatten().filter(|o| o.status == 200) {
        result.requests += 1;
        result.tokens += outcome.tokens;
        if let Some(first) = outcome.first {
            result.first.saturating_record(first.as_micros() as u64);
        }
        for gap in outcome.between {
            result.between.saturating_record(gap.as_micros() as u64);
        }
    }
}

/// Processor time of this process's threads of a name, in seconds.
fn cpu_seconds(name: &str) -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let tasks = std::fs::read_dir("/proc/self/task").into_iter().flatten();
    let stats = tasks
        .filter_map(Result::ok)
        .filter_map(|task| std::fs::read_to_string(task.path().join("stat")).ok());
    let ticks: f64 = stats
        .filter(|stat| stat.contains(&format!("({name}")))
        .filter_map(|stat| {
            let rest = stat.rsplit(')').next()?.to_owned();
            let fields: Vec<&str> = rest.split_whitespace().collect();
            // User and system time are the 14th and 15th field, the 12th and 13th after the name.
            let user: f64 = fields.get(11)?.parse().ok()?;
            let system: f64 = fields.get(12)?.parse().ok()?;
            Some(user + system)
        })
        .sum();
    ticks / TICKS_PER_SECOND
}
