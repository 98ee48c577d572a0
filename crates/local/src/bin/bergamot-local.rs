//! The whole system in one process, on ephemeral ports, with a sample bundle.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use anyhow::Context;
use bergamot_entry::StopOutcome;
use bergamot_local::ask::LocalCaller;
use bergamot_local::{LocalFleet, LocalOptions, SiteFleet, sample};
use getopts::{Matches, Options};
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("bergamot-local: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("", "once", "send one request, print its answer and exit");
    options.optflag(
        "",
        "platform",
        "one daemon on a stand-in of the users' platform",
    );
    options.optopt(
        "",
        "ready-file",
        "write addresses here once serving",
        "PATH",
    );
    options.optopt("", "failure-domains", "failure domains (default 3)", "N");
    options.optopt("", "entries", "entry VMs in each (default 2)", "N");
    options.optopt("", "engines", "engine VMs in each (default 5)", "N");
    options.optopt(
        "",
        "replicas",
        "replicas of the sample model (default 6)",
        "N",
    );
    options.optopt("", "size", "VMs in each replica (default 2)", "N");
    options.optopt(
        "",
        "memory-mb",
        "memory of each entry VM (default 512)",
        "MB",
    );
    options.optflag("h", "help", "print this help");
    options
}

fn fleet_options(matches: &Matches) -> anyhow::Result<LocalOptions> {
    let base = match matches.opt_present("once") {
        true => LocalOptions::smallest(),
        false => LocalOptions::default(),
    };
    let memory_mb: Option<u64> = matches.opt_get("memory-mb")?;
    Ok(LocalOptions {
        failure_domains: matches
            .opt_get("failure-domains")?
            .unwrap_or(base.failure_domains),
        entries_per_domain: matches
            .opt_get("entries")?
            .unwrap_or(base.entries_per_domain),
        engines_per_domain: matches
            .opt_get("engines")?
            .unwrap_or(base.engines_per_domain),
        replicas: matches.opt_get("replicas")?.unwrap_or(base.replicas),
        vms_per_replica: matches.opt_get("size")?.unwrap_or(base.vms_per_replica),
        memory_bytes: memory_mb.map(|megabytes| megabytes * 1_000_000),
        ..base
    })
}

fn run() -> anyhow::Result<ExitCode> {
    let options = options();
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: bergamot-local [OPTIONS]"));
        return Ok(ExitCode::SUCCESS);
    }
    if matches.opt_present("platform") {
        return run_on_platform(matches.opt_present("once"));
    }
    let sizes = fleet_options(&matches)?;
    let stopped = stop_flag()?;
    let fleet = LocalFleet::start(&sizes)?;
    let document = sample::document("1", sizes.replicas, sizes.vms_per_replica);
    let number = fleet.roll(&document)?;
    println!("rolled the sample bundle as roll {number}");
    fleet.wait_serving(sizes.replicas as usize)?;
    println!("{} groups serve", sizes.replicas);
    if let Some(path) = matches.opt_str("ready-file") {
        let text = serde_json::to_string_pretty(&fleet.ready_file())?;
        std::fs::write(&path, text).with_context(|| format!("{path} cannot be written"))?;
    }
    if matches.opt_present("once") {
        ask_once(&fleet)?;
    } else {
        let ready = fleet.ready_file();
        println!("callers: {}", ready.entries.join(" "));
        println!("admins:  {}", ready.admins.join(" "));
        println!(
            "token:   {}   model: {}",
            ready.accounts[0].token, ready.model
        );
        while !stopped.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(50));
        }
    }
    Ok(match fleet.stop() {
        StopOutcome::Graceful => ExitCode::SUCCESS,
        StopOutcome::Aborted(cut) => {
            eprintln!("bergamot-local: {cut} requests were cut");
            ExitCode::from(1)
        }
    })
}

/// Runs one daemon on a stand-in of the users' platform.
fn run_on_platform(is_once: bool) -> anyhow::Result<ExitCode> {
    let stopped = stop_flag()?;
    let fleet = SiteFleet::start()?;
    let answer = fleet.ask()?;
    println!("{answer}");
    if is_once {
        return Ok(ExitCode::SUCCESS);
    }
    println!("callers: {}", fleet.callers);
    println!("metrics: {}", fleet.metrics);
    while !stopped.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(50));
    }
    Ok(ExitCode::SUCCESS)
}

fn ask_once(fleet: &LocalFleet) -> anyhow::Result<()> {
    let ready = fleet.ready_file();
    let caller = LocalCaller::new(&ready.entries[0]);
    let reply = fleet
        .runtime()
        .block_on(caller.chat("Describe lot 12.", 8))?;
    println!("{} {}", reply.status, String::from_utf8_lossy(&reply.body));
    anyhow::ensure!(reply.status.is_success(), "the request was refused");
    Ok(())
}

/// Becomes true with SIGTERM or SIGINT.
fn stop_flag() -> anyhow::Result<Arc<AtomicBool>> {
    let flag = Arc::new(AtomicBool::new(false));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let signals = runtime.block_on(async {
        Ok::<_, std::io::Error>((
            signal(SignalKind::terminate())?,
            signal(SignalKind::interrupt())?,
        ))
    });
    let (mut terminate, mut interrupt) = signals?;
    let seen = Arc::clone(&flag);
    std::thread::spawn(move || {
        runtime.block_on(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            seen.store(true, Ordering::Relaxed);
        });
    });
    Ok(flag)
}
