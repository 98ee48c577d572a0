//! Requests that are refused because upstreams ended while they ran them.

use std::net::SocketAddr;

use anyhow::{Context, bail};
use bergamot_adapter::{SitePorts, SiteStore};
use bergamot_gateway::own_keys::{QUARANTINE_PREFIX, quarantine_key};
use bergamot_ports::{KeyWrite, PortSet, StateStore, StoreTxn, TxnOutcome};
use bergamot_quarantine::{QuarantineRecord, RequestPrint};
use bergamot_types::prelude::*;
use getopts::Matches;
use serde::Serialize;
use serde_json::json;

use crate::outcome::{CommandOutcome, EXIT_OK, refused};

/// A request in quarantine, as the coordinator wrote it down.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
struct HeldRequest {
    /// Which; log lines name it too.
    print: String,
    /// Since when, in milliseconds since 1970.
    since: UnixMillis,
    /// The upstreams that ended under it.
    upstreams: Vec<UpstreamIncarnation>,
}

/// Requests in quarantine.
///
/// # Errors
/// When the store does not answer.
async fn list_held<Store>(store: &Store) -> anyhow::Result<Vec<HeldRequest>>
where
    Store: StateStore,
{
    let range = store.range(QUARANTINE_PREFIX).await?;
    let records = range.items.iter().filter_map(|item| {
        // One of a later version is not for this program.
        QuarantineRecord::from_bytes(&item.value).ok()
    });
    let held = records.filter_map(|record| match record {
        QuarantineRecord::Quarantined {
            print,
            incarnations,
            since,
        } => Some(HeldRequest {
            print: print.to_string(),
            since,
            upstreams: incarnations,
        }),
        QuarantineRecord::CrashWithoutProgress { .. }
        | QuarantineRecord::Crash { .. }
        | QuarantineRecord::Cleared { .. } => None,
    });
    Ok(held.collect())
}

/// Lets a request go: it is sent again like any other, at all VMs within about a second. Upstreams that end under it from
/// then on count anew.
///
/// # Errors
/// When it is not in quarantine, or the store does not answer.
async fn clear<Store>(store: &Store, print: RequestPrint) -> anyhow::Result<()>
where
    Store: StateStore,
{
    let held = list_held(store).await?;
    let name = print.to_string();
    let Some(request) = held.into_iter().find(|it| it.print == name) else {
        bail!("{print} is not in quarantine");
    };
    let cleared = QuarantineRecord::Cleared {
        print,
        incarnations: request.upstreams,
    };
    let drawn: u64 = rand::random();
    let txn = StoreTxn {
        writes: vec![KeyWrite {
            key: format!("{QUARANTINE_PREFIX}seen/operator-{drawn:016x}"),
            value: cleared.to_bytes()?,
            lease: None,
        }],
        removes: vec![quarantine_key(print)],
        ..StoreTxn::default()
    };
    let outcome = store.commit(&txn).await;
    match outcome.context("the outcome is not known; list what is in quarantine")? {
        TxnOutcome::Done(_) => Ok(()),
        other => bail!("nothing was changed: {other:?}"),
    }
}

fn site_store(matches: &Matches) -> anyhow::Result<SiteStore> {
    let Some(addr) = matches.opt_get::<SocketAddr>("store")? else {
        bail!("--store HOST:PORT is needed");
    };
    Ok(SitePorts::new(addr).store())
}

/// Lists them.
///
/// # Errors
/// When the arguments are unfit.
pub async fn list(matches: &Matches) -> anyhow::Result<CommandOutcome> {
    let held = match list_held(&site_store(matches)?).await {
        Ok(held) => held,
        Err(error) => return Ok(refused(&error)),
    };
    let lines = held.iter().map(|request| {
        let upstreams: Vec<&str> = request
            .upstreams
            .iter()
            .map(UpstreamIncarnation::as_str)
            .collect();
        let (print, since) = (&request.print, request.since.0);
        format!("{print} since {since}: {}", upstreams.join(" "))
    });
    let lines: Vec<String> = lines.collect();
    let text = match lines.is_empty() {
        true => "no request is in quarantine".to_owned(),
        false => lines.join("\n"),
    };
    let json = json!({ "quarantine": held });
    Ok(CommandOutcome::new(EXIT_OK, text, json))
}

/// Lets one go.
///
/// # Errors
/// When the arguments are unfit.
pub async fn release(matches: &Matches, print: &str) -> anyhow::Result<CommandOutcome> {
    let print: RequestPrint = print.parse()?;
    match clear(&site_store(matches)?, print).await {
        Ok(()) => {
            let text = format!("{print} is sent again");
            Ok(CommandOutcome::new(
                EXIT_OK,
                text,
                json!({ "released": print.to_string() }),
            ))
        }
        Err(error) => Ok(refused(&error)),
    }
}
