//! The daemon of an entry VM.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use bergamot_adapter::{SETTINGS_VARIABLE, SitePorts, SiteSettings};
use bergamot_entry::{EntryDaemon, EntrySettings, StopOutcome};
use bergamot_gateway::GatewayDaemon;
use getopts::Options;
use tokio::signal::unix::{SignalKind, signal};

/// Port of the metrics endpoint if `--metrics-port` is not given.
const DEFAULT_METRICS_PORT: u16 = 9464;

/// Runs on the platform, which provides a settings file for each process.
fn run_on_platform(matches: &getopts::Matches) -> anyhow::Result<ExitCode> {
    bergamot_gateway::signals::install_reload_handler()?;
    let path = std::env::var_os(SETTINGS_VARIABLE)
        .ok_or_else(|| anyhow::anyhow!("{SETTINGS_VARIABLE} is not set"))?;
    let settings = SiteSettings::load(Path::new(&path))?;
    let port = matches.opt_get_default("metrics-port", DEFAULT_METRICS_PORT)?;
    if matches.opt_present("check") {
        println!("{}: ok", Path::new(&path).display());
        return Ok(ExitCode::SUCCESS);
    }
    let logs = bergamot_gateway::logs::start()?;
    let ports = SitePorts::new(settings.store_addr());
    let read_settings = move || Ok(SiteSettings::load(Path::new(&path))?.site(port));
    let result = GatewayDaemon::new(settings.site(port), ports)
        .with_reader(Box::new(read_settings))
        .run();
    logs.flush();
    result.map(|()| ExitCode::SUCCESS)
}

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("bergamot-entry: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn run() -> anyhow::Result<ExitCode> {
    let mut options = Options::new();
    options.optopt("s", "settings", "settings file", "FILE");
    options.optflag(
        "",
        "platform",
        "run on the platform that provides the settings file",
    );
    options.optopt(
        "",
        "metrics-port",
        "port of the metrics endpoint on the platform",
        "PORT",
    );
    options.optflag("", "check", "check the settings and exit");
    options.optflag("", "print-default", "print sample settings and exit");
    options.optflag("h", "help", "print this help");
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!(
            "{}",
            options.usage("Usage: bergamot-entry --settings FILE | --platform")
        );
        return Ok(ExitCode::SUCCESS);
    }
    if matches.opt_present("print-default") {
        println!(
            "{}",
            serde_json::to_string_pretty(&EntrySettings::sample())?
        );
        return Ok(ExitCode::SUCCESS);
    }
    if matches.opt_present("platform") {
        return run_on_platform(&matches);
    }
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let Some(file) = matches.opt_str("settings") else {
        anyhow::bail!("--settings FILE is required; --print-default prints a sample");
    };
    let settings = EntrySettings::load(Path::new(&file))?;
    if matches.opt_present("check") {
        println!("{file}: ok");
        return Ok(ExitCode::SUCCESS);
    }
    // Signal handlers are installed before callers can connect. Without them a signal would end the
    // process at once and lose the accepted requests.
    let signals = Arc::new(AtomicU32::new(0));
    count_stop_signals(Arc::clone(&signals))?;
    let daemon = EntryDaemon::start(settings)?;
    while signals.load(Ordering::Relaxed) == 0 && daemon.duty_end().is_none() {
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    let duty_end = daemon.duty_end();
    let outcome = daemon.stop(|| signals.load(Ordering::Relaxed) > 1);
    if let Some(end) = duty_end {
        return Err(end.into());
    }
    Ok(match outcome {
        StopOutcome::Graceful => ExitCode::SUCCESS,
        StopOutcome::Aborted(aborted) => {
            eprintln!("bergamot-entry: {aborted} requests were aborted");
            ExitCode::from(1)
        }
    })
}

/// Counts SIGTERM and SIGINT. The first stops the daemon gracefully, a second one at once.
fn count_stop_signals(count: Arc<AtomicU32>) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (mut terminate, mut interrupt) = runtime.block_on(async {
        Ok::<_, std::io::Error>((
            signal(SignalKind::terminate())?,
            signal(SignalKind::interrupt())?,
        ))
    })?;
    std::thread::spawn(move || {
        runtime.block_on(async move {
            loop {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
                count.fetch_add(1, Ordering::Relaxed);
            }
        });
    });
    Ok(())
}
