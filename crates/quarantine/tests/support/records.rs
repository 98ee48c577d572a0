//! Requests, upstreams and records, by number.
#![allow(dead_code, reason = "each test file uses a part")]

use bergamot_quarantine::{QuarantineAction, QuarantineRecord, RequestPrint};
use bergamot_types::prelude::*;

pub fn print(number: u64) -> RequestPrint {
    RequestPrint::of(None, "/history", &number.to_le_bytes())
}

pub fn incarnation(number: u64) -> UpstreamIncarnation {
    let id = UpstreamId::new(&format!("u{number}"));
    UpstreamIncarnation::new(id, Some(UnixMillis(number)))
}

/// Returns the records to share with the other VMs.
pub fn shared_records(actions: Vec<QuarantineAction>) -> Vec<QuarantineRecord> {
    let shared_records = actions.into_iter().filter_map(|action| match action {
        QuarantineAction::Share(record) => Some(record),
        _ => None,
    });
    shared_records.collect()
}
