//! Rolling: one compare-and-swap on one record, so that of racing operators one wins and the
//! others are told.

use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use bergamot_bundle::{BundleDigest, RollRecord, SignerKey};
use bergamot_platform::{CasOutcome, KvClient, KvEntry};
use serde::Serialize;

use crate::publish::BUNDLE_PREFIX;

/// The roll record's key.
pub const ROLL_KEY: &str = "/bergamot/live/roll";
/// Time between two tries to learn what became of a write.
const SETTLE_RETRY: Duration = Duration::from_millis(300);

/// What a roll needs.
pub struct RollContext<'a> {
    /// The key-value service.
    pub kv: &'a KvClient,
    /// The operators' keys.
    pub keys: &'a [SignerKey],
    /// The number that must be in force; none for whatever is.
    pub expected: Option<u64>,
    /// How long to find out what became of a write whose answer was lost.
    pub settle_timeout: Duration,
}

/// What became of a roll.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RollOutcome {
    /// It is in force, with this number.
    Rolled {
        /// Its number.
        number: u64,
        /// Its digest.
        digest: BundleDigest,
    },
    /// Another operator's roll came first; nothing was changed.
    LostRace {
        /// The number in force.
        in_force: u64,
        /// The digest in force.
        digest: BundleDigest,
    },
    /// It was sent, and what became of it could not be learnt in time.
    Unknown {
        /// The number it would have.
        number: u64,
    },
}

/// Puts a published bundle in force.
///
/// # Errors
/// When the bundle is not published or the service cannot be reached; nothing was changed then.
pub async fn roll(context: &RollContext<'_>, digest: BundleDigest) -> anyhow::Result<RollOutcome> {
    let kv = context.kv;
    let bundle = kv.get(&format!("{BUNDLE_PREFIX}{digest}")).await;
    if bundle.context("the roll was refused")?.is_none() {
        bail!("bundle {digest} is not published");
    }
    let current = kv.get(ROLL_KEY).await.context("the roll was refused")?;
    let revision = current.as_ref().map_or(0, |entry| entry.revision);
    let current = current.as_ref().map(parse).transpose()?;
    let in_force = current.as_ref().map_or(0, |record| record.number);
    if let (Some(expected), Some(record)) = (context.expected, &current)
        && expected != in_force
    {
        return Ok(RollOutcome::LostRace {
            in_force,
            digest: record.digest,
        });
    }
    let nonce = rand::random();
    let next = RollRecord::next(current.as_ref(), digest, nonce, context.keys);
    let value = serde_json::to_vec(&next)?;
    match kv.cas(ROLL_KEY, revision, &value).await {
        Ok(CasOutcome::Won(_)) => Ok(RollOutcome::Rolled {
            number: next.number,
            digest,
        }),
        Ok(CasOutcome::Lost(entry)) => lost(entry.as_ref(), &next),
        Err(error) if error.is_ambiguous() => settle(context, &next).await,
        Err(error) => Err(error).context("the roll was refused"),
    }
}

fn parse(entry: &KvEntry) -> anyhow::Result<RollRecord> {
    serde_json::from_slice(&entry.value).context("the roll record cannot be read")
}

fn lost(entry: Option<&KvEntry>, next: &RollRecord) -> anyhow::Result<RollOutcome> {
    let Some(entry) = entry else {
        bail!("the roll record is gone");
    };
    let record = parse(entry)?;
    Ok(match record.nonce == next.nonce {
        // Our own write, which a lost answer hid from us.
        true => RollOutcome::Rolled {
            number: record.number,
            digest: record.digest,
        },
        false => RollOutcome::LostRace {
            in_force: record.number,
            digest: record.digest,
        },
    })
}

/// Learns by reading what became of a write whose answer was lost. It is never written again.
async fn settle(context: &RollContext<'_>, next: &RollRecord) -> anyhow::Result<RollOutcome> {
    let started = Instant::now();
    loop {
        let read = context.kv.get(ROLL_KEY).await;
        if let Ok(Some(entry)) = &read {
            let record = parse(entry)?;
            if record.nonce == next.nonce || record.number >= next.number {
                return lost(Some(entry), next);
            }
        }
        if started.elapsed() >= context.settle_timeout {
            return match read {
                // It was not written when it was given up, and a late write would still need
                // the old revision; only a read after the next roll could rule it out.
                Ok(_) | Err(_) => Ok(RollOutcome::Unknown {
                    number: next.number,
                }),
            };
        }
        tokio::time::sleep(SETTLE_RETRY).await;
    }
}
