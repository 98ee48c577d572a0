//! Runs one case of the review: `review-harness CASE ROOT FOLDER`. Writes `record.txt` in FOLDER. Exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod client;
mod entry;
mod http;
mod json;
mod record;
mod server;
mod site;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = &arguments[..] else {
        eprintln!("usage: review-harness CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let run = match case.as_str() {
        "keys" => cases::keys::run,
        "silence" => cases::silence::run,
        "slots" => cases::slots::run,
        _ => {
            eprintln!("no such case: {case}");
            return ExitCode::from(2);
        }
    };
    match run(&root, &folder, has_trouble) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::NotRun(reason)) => {
            eprintln!("not run: {reason}");
            ExitCode::from(2)
        }
        Err(error) => {
            eprintln!("not run: {error}");
            ExitCode::from(2)
        }
    }
}
