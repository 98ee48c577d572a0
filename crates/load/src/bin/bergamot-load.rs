//! Load, experiments and capacity measurements from the command line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context, bail};
use bergamot_load::capacity::{full_size, slopes};
use bergamot_load::datapath::{DatapathOptions, datapath};
use bergamot_load::experiment::limits::limits_table;
use bergamot_load::experiment::tables::{placement_table, routing_table};
use bergamot_load::rolls::rolls;
use bergamot_load::traffic::{TrafficOptions, TrafficReport, audit, plot, run_traffic};
use bergamot_local::ReadyFile;
use getopts::{Matches, Options};

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("bergamot-load: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "",
        "ready-file",
        "addresses, as bergamot-local writes them",
        "FILE",
    );
    options.optopt("", "rate", "requests per second (default 100)", "N");
    options.optopt("", "seconds", "how long (default 10)", "N");
    options.optopt("", "tokens", "most tokens of a chat (default 32)", "N");
    options.optopt(
        "",
        "confirms",
        "share of confirmations (default 0.2)",
        "SHARE",
    );
    options.optopt("", "seed", "seed of the load (default 1)", "N");
    options.optopt("", "out", "folder for report.json and report.svg", "DIR");
    options.optflag("h", "help", "print this help");
    options
}

const BRIEF: &str = "Usage: bergamot-load COMMAND [OPTIONS]

Commands:
  run                      send load to entry VMs and check every answer
  experiment placement     both users' fleets under failures, against a rebuild from scratch
  experiment routing       policies for choosing replicas, against each other
  experiment limits        ways to keep to an upstream's limit over all entry VMs
  rolls                    how soon a roll is in force on nine entry VMs
  datapath                 what one entry VM adds to a request
  capacity                 what each role costs as the fleet grows

Exit codes: 0 done, 1 an answer failed its check, 2 unfit input";

fn run() -> anyhow::Result<ExitCode> {
    let options = options();
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options.usage(BRIEF));
        return Ok(ExitCode::SUCCESS);
    }
    let arguments: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match arguments.as_slice() {
        ["run"] => return traffic(&matches),
        ["experiment", "placement"] => print(&placement_table()),
        ["experiment", "routing"] => print(&routing_table()),
        ["experiment", "limits"] => print(&limits_table()),
        ["datapath"] => print(&datapath(&DatapathOptions::default())?),
        ["rolls"] => print(&rolls()?),
        ["capacity"] => {
            let rows = slopes();
            print(&rows.iter().map(|row| row.line()).collect::<Vec<_>>());
            print(&full_size());
        }
        _ => bail!("a command is needed; --help lists them"),
    }
    Ok(ExitCode::SUCCESS)
}

fn print(lines: &[String]) {
    for line in lines {
        println!("{line}");
    }
}

fn traffic(matches: &Matches) -> anyhow::Result<ExitCode> {
    let Some(file) = matches.opt_str("ready-file") else {
        bail!("--ready-file FILE is needed");
    };
    let text = std::fs::read_to_string(&file).with_context(|| format!("{file} cannot be read"))?;
    let ready: ReadyFile = serde_json::from_str(&text).with_context(|| file.clone())?;
    let base = TrafficOptions::default();
    let options = TrafficOptions {
        rate: matches.opt_get("rate")?.unwrap_or(base.rate),
        duration: Duration::from_secs(matches.opt_get("seconds")?.unwrap_or(10)),
        most_tokens: matches.opt_get("tokens")?.unwrap_or(base.most_tokens),
        confirm_share: matches.opt_get("confirms")?.unwrap_or(base.confirm_share),
        seed: matches.opt_get("seed")?.unwrap_or(base.seed),
        ..base
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let report = runtime.block_on(async {
        let outcomes = run_traffic(&ready, &options).await;
        let audit = audit(&ready, &outcomes).await;
        TrafficReport::new(&outcomes, audit)
    });
    print(&report.table());
    if let Some(folder) = matches.opt_str("out").map(PathBuf::from) {
        write(&report, &folder)?;
    }
    Ok(match report.audit.is_clean() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(1),
    })
}

fn write(report: &TrafficReport, folder: &Path) -> anyhow::Result<()> {
    std::fs::create_dir_all(folder)?;
    let json = serde_json::to_string_pretty(report)?;
    std::fs::write(folder.join("report.json"), json)?;
    plot::plot(report, &folder.join("report.svg"))
}
