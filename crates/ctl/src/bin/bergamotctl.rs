//! The operators' command line.

use std::process::ExitCode;

use bergamot_ctl::cli::{options, run, usage};
use bergamot_ctl::outcome::EXIT_UNFIT;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let options = options();
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("bergamotctl: {error}; see --help");
            return ExitCode::from(EXIT_UNFIT);
        }
    };
    if matches.opt_present("help") {
        println!("{}", usage(&options));
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let outcome = match runtime {
        Ok(runtime) => runtime.block_on(run(&matches)),
        Err(error) => Err(error.into()),
    };
    match outcome {
        Ok(outcome) => {
            match matches.opt_present("json") {
                true => println!("{}", outcome.json),
                false => println!("{}", outcome.text),
            }
            ExitCode::from(outcome.code)
        }
        Err(error) => {
            eprintln!("bergamotctl: {error:#}");
            ExitCode::from(EXIT_UNFIT)
        }
    }
}
