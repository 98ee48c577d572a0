//! What is in force where, as the entry VMs' dumps and the roll record say.

use std::time::{Duration, Instant};

use bergamot_bundle::RollRecord;
use bergamot_platform::{HttpClient, KvClient};
use serde::Serialize;
use serde_json::Value;

use crate::roll::ROLL_KEY;

/// Time for one dump.
const DUMP_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two looks while waiting.
const WAIT_STEP: Duration = Duration::from_millis(200);

/// One entry VM's status.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct EntryStatus {
    /// Its admin address.
    pub admin: String,
    /// Its name; none if it did not answer.
    pub entry: Option<String>,
    /// The roll in force there.
    pub roll: Option<u64>,
    /// Why a staged roll stands still there, if it does.
    pub gate: Option<String>,
    /// The groups it knows: phase and count.
    pub serving_groups: usize,
    /// Groups on the way.
    pub other_groups: usize,
}

/// The fleet's status.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct FleetStatus {
    /// The roll record in the key-value service; none if it cannot be read.
    pub record: Option<RollRecord>,
    /// Why there is no record.
    pub record_error: Option<String>,
    /// Each entry VM asked.
    pub entries: Vec<EntryStatus>,
}

impl FleetStatus {
    /// Whether every entry VM that answers has this roll in force, and at least one does.
    pub fn is_in_force(&self, number: u64) -> bool {
        let mut answering = self
            .entries
            .iter()
            .filter_map(|entry| entry.roll)
            .peekable();
        answering.peek().is_some() && answering.all(|roll| roll >= number)
    }
}

/// Reads an entry VM's dump.
///
/// # Errors
/// When it does not answer.
pub async fn dump(caller: &HttpClient, admin: &str) -> Result<Value, bergamot_platform::Error> {
    caller
        .get_json(&format!("http://{admin}/dump"), DUMP_TIMEOUT)
        .await
}

/// Asks every entry VM and the key-value service.
pub async fn fleet(kv: &KvClient, caller: &HttpClient, admins: &[String]) -> FleetStatus {
    let (record, record_error) = match read_record(kv).await {
        Ok(record) => (Some(record), None),
        Err(error) => (None, Some(error.to_string())),
    };
    let mut entries = Vec::with_capacity(admins.len());
    for admin in admins {
        let dump = dump(caller, admin).await.ok();
        entries.push(entry_status(admin, dump.as_ref()));
    }
    FleetStatus {
        record,
        record_error,
        entries,
    }
}

/// Why the roll record is not known.
#[derive(Debug, thiserror::Error)]
enum RecordError {
    #[error("the key-value service does not answer: {0}")]
    Unanswered(#[from] bergamot_platform::Error),
    #[error("nothing was rolled yet")]
    Absent,
    #[error("the roll record cannot be read: {0}")]
    Unreadable(#[from] serde_json::Error),
}

async fn read_record(kv: &KvClient) -> Result<RollRecord, RecordError> {
    let entry = kv.get(ROLL_KEY).await?.ok_or(RecordError::Absent)?;
    Ok(serde_json::from_slice(&entry.value)?)
}

fn entry_status(admin: &str, dump: Option<&Value>) -> EntryStatus {
    let control = dump.map(|dump| &dump["control"]);
    let text = |value: &Value| value.as_str().map(str::to_owned);
    let groups: Vec<&Value> = control
        .and_then(|control| control["fabric_domains"].as_array())
        .into_iter()
        .flatten()
        .filter_map(|fabric| fabric["groups"].as_array())
        .flatten()
        .collect();
    let is_serving = |group: &&&Value| group["record"]["phase"] == "serving";
    let serving_groups = groups.iter().filter(is_serving).count();
    EntryStatus {
        admin: admin.to_owned(),
        entry: control.and_then(|control| text(&control["entry"]["entry"])),
        roll: control.and_then(|control| control["roll"]["number"].as_u64()),
        gate: control.and_then(|control| text(&control["roll"]["gate"])),
        serving_groups,
        other_groups: groups.len() - serving_groups,
    }
}

/// Waits until a roll is in force everywhere; false when the time is up.
pub async fn wait_in_force(
    kv: &KvClient,
    caller: &HttpClient,
    admins: &[String],
    number: u64,
    most: Duration,
) -> bool {
    let started = Instant::now();
    loop {
        if fleet(kv, caller, admins).await.is_in_force(number) {
            return true;
        }
        if started.elapsed() >= most {
            return false;
        }
        tokio::time::sleep(WAIT_STEP).await;
    }
}
