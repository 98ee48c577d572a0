//! Plays seeds of the soak.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context, bail};
use bergamot_soak::{SoakOptions, SoakOutcome, run_seed};
use getopts::Options;
use tokio::signal::unix::{SignalKind, signal};

const USAGE: &str = "bergamot-soak [options]: plays random faults on processes of bergamot-entry";

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("bergamot-soak: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn run() -> anyhow::Result<ExitCode> {
    let mut options = Options::new();
    options.optopt("", "seeds", "seeds to play (10)", "COUNT");
    options.optopt(
        "",
        "first",
        "the first seed; by default drawn from the clock",
        "SEED",
    );
    options.optopt("", "entries", "processes (6)", "COUNT");
    options.optopt("", "faults", "faults in a run (16)", "COUNT");
    options.optopt(
        "",
        "harmful",
        "requests that end each upstream that runs them (1)",
        "COUNT",
    );
    options.optopt(
        "",
        "said",
        "limits, rests and leavings that upstreams say in their answers (3)",
        "COUNT",
    );
    options.optopt(
        "",
        "restores",
        "restores of the store from an older copy besides (2)",
        "COUNT",
    );
    options.optopt("", "stops", "planned stops besides (8)", "COUNT");
    options.optopt(
        "",
        "evacuations",
        "evacuations of failure domains (0)",
        "COUNT",
    );
    options.optopt(
        "",
        "cold",
        "upstreams that start or become cold; above 0 all are cold after a start (0)",
        "COUNT",
    );
    options.optopt(
        "",
        "home-callers",
        "callers of each process whose requests have a home region (0)",
        "COUNT",
    );
    options.optopt(
        "",
        "cuts",
        "cuts between some processes and all upstreams (0)",
        "COUNT",
    );
    options.optopt(
        "",
        "crowds",
        "times in which most connections go to few processes, each with a small share of a core (0)",
        "N",
    );
    options.optopt(
        "",
        "silences",
        "silences of sound upstreams, each beside a new configuration; above 0 there are streams that may not be resumed (0)",
        "COUNT",
    );
    options.optopt(
        "",
        "additions",
        "series of configurations that add keys and routes, while the store turns some processes away (0)",
        "COUNT",
    );
    options.optopt("", "seconds", "time in which faults begin (12)", "SECONDS");
    options.optopt(
        "",
        "program",
        "the program; by default beside this one",
        "FILE",
    );
    options.optopt("", "folder", "where logs are kept (target/soak)", "FOLDER");
    options.optflag("h", "help", "this text");
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options.usage(USAGE));
        return Ok(ExitCode::SUCCESS);
    }
    let first = match matches.opt_get("first")? {
        Some(first) => first,
        None => drawn_seed()?,
    };
    let seeds: u64 = matches.opt_get_default("seeds", 10)?;
    let runtime = tokio::runtime::Runtime::new()?;
    let mut failed = Vec::new();
    for seed in first..first + seeds {
        let run = run_options(&matches, seed)?;
        let outcome = runtime.block_on(play(seed, &run))?;
        print_outcome(&outcome);
        if outcome.violations.is_empty() {
            std::fs::remove_dir_all(&run.folder)?;
        } else {
            println!("  kept: {}", run.folder.display());
            failed.push(seed);
        }
    }
    println!(
        "{} of {seeds} seeds broke a promise: {failed:?}",
        failed.len()
    );
    Ok(match failed.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

/// Plays one seed. A signal to stop ends it and the processes that it started.
async fn play(seed: u64, run: &SoakOptions) -> anyhow::Result<SoakOutcome> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        outcome = run_seed(seed, run) => outcome,
        _ = terminate.recv() => bail!("seed {seed}: told to stop"),
        _ = hangup.recv() => bail!("seed {seed}: the terminal is gone"),
        _ = interrupt.recv() => bail!("seed {seed}: interrupted"),
    }
}

fn drawn_seed() -> anyhow::Result<u64> {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    Ok(since.context("the clock stands before 1970")?.as_millis() as u64)
}

fn run_options(matches: &getopts::Matches, seed: u64) -> anyhow::Result<SoakOptions> {
    let beside = std::env::current_exe()?.with_file_name("bergamot-entry");
    let program = matches.opt_get_default("program", beside)?;
    let folder = matches.opt_get_default("folder", PathBuf::from("target/soak"))?;
    let usual = SoakOptions::usual(program, folder.join(seed.to_string()));
    let seconds = matches.opt_get_default("seconds", usual.length.as_secs())?;
    Ok(SoakOptions {
        entries: matches.opt_get_default("entries", usual.entries)?,
        faults: matches.opt_get_default("faults", usual.faults)?,
        said: matches.opt_get_default("said", usual.said)?,
        restores: matches.opt_get_default("restores", usual.restores)?,
        harmful: matches.opt_get_default("harmful", usual.harmful)?,
        stops: matches.opt_get_default("stops", usual.stops)?,
        evacuations: matches.opt_get_default("evacuations", usual.evacuations)?,
        cold: matches.opt_get_default("cold", usual.cold)?,
        home_callers: matches.opt_get_default("home-callers", usual.home_callers)?,
        cuts: matches.opt_get_default("cuts", usual.cuts)?,
        crowds: matches.opt_get_default("crowds", usual.crowds)?,
        silences: matches.opt_get_default("silences", usual.silences)?,
        additions: matches.opt_get_default("additions", usual.additions)?,
        length: Duration::from_secs(seconds),
        ..usual
    })
}

fn print_outcome(outcome: &SoakOutcome) {
    println!(
        "seed {}: {} planned stops, {} requests, {} served, {} refused as not run, {} violations",
        outcome.seed,
        outcome.stops,
        outcome.requests,
        outcome.served,
        outcome.refused,
        outcome.violations.len()
    );
    if outcome.evacuations > 0 || outcome.cold_requests > 0 {
        println!(
            "  {} evacuated domains, {} requests to cold upstreams, at most {} in a second",
            outcome.evacuations, outcome.cold_requests, outcome.cold_peak
        );
    }
    let silence = outcome.silence;
    if silence.requests > 0 {
        println!(
            "  {} requests while all upstreams were silent, {} of them refused",
            silence.requests, silence.refused
        );
    }
    for cut in &outcome.cuts {
        println!("  {cut:?}");
    }
    for violation in &outcome.violations {
        println!("  {violation}");
    }
}
