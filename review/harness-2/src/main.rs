//! Stand-ins and judges of the scripts under `review/4` and later.
//!
//! `review-2 CASE FOLDER RECORD` exits with 0 if the rule held, 1 if it was broken and 2 if the case
//! could not run. `TROUBLE=0` leaves the disruption out. Settings and logs go to FOLDER.

mod cases;
mod client;
mod engine;
mod entry;
mod http;
mod json;
mod judge;
mod proxy;
mod record;
mod runner;
mod site;
mod store;

use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, record] = arguments.as_slice() else {
        eprintln!("review-2 CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(record) else {
        return ExitCode::from(2);
    };
    let record = Arc::new(record);
    record.say(&format!("{case}, with the disruption: {has_trouble}"));
    let held = match case.as_str() {
        "left-while-cut" => cases::left_while_cut(&record, folder, has_trouble),
        "drained-while-silent" => cases::drained_while_silent(&record, folder, has_trouble),
        "member-of-two" => cases::member_of_two(&record, folder, has_trouble),
        _ => None,
    };
    match held {
        Some(true) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Some(false) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        None => {
            record.say("the case could not run");
            ExitCode::from(2)
        }
    }
}
