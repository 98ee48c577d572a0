//! Arguments and commands.

use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context, bail};
use bergamot_bundle::{BundleDigest, SignedBundle, SignerKey, check};
use bergamot_platform::{CallBudget, HttpClient, KvClient};
use getopts::{Matches, Options};
use serde_json::{Value, json};

use crate::account::RequestAccount;
use crate::account::plot::plot;
use crate::account::table::to_text;
use crate::domains::{describe_knowledge, read_knowledge, read_metrics};
use crate::explain::explain;
use crate::files::{read_document, read_key, read_signed};
use crate::outcome::{
    CommandOutcome, EXIT_LOST_RACE, EXIT_NOT_EVERYWHERE, EXIT_OK, EXIT_REFUSED, EXIT_UNFIT,
    EXIT_UNKNOWN, refused,
};
use crate::publish::publish;
use crate::quarantine::{list, release};
use crate::roll::{RollContext, RollOutcome, roll};
use crate::status::{dump, fleet, wait_in_force};
use crate::story::{StorySubject, tell};

/// Time for one call to the key-value service.
const KV_TIMEOUT: Duration = Duration::from_secs(2);

/// The page that `--help` prints.
pub fn usage(options: &Options) -> String {
    let brief = "Usage: bergamotctl COMMAND [ARGUMENTS] [OPTIONS]

Commands:
  keygen FILE                  make an operator key; prints its public half
  check BUNDLE                 check a bundle document
  sign BUNDLE OUT --key FILE   sign a bundle (--key again for more signers)
  publish SIGNED               store a signed bundle under its digest
  roll DIGEST --key FILE       put a published bundle in force
  retire MODEL BUNDLE OUT      write the bundle without a model, to be signed and rolled
  status                       what is in force where
  explain NAME                 why a group or VM is where it is
  explain KIND NAME --log FILE the story of a request, group or vm out of logs (--log again for more)
  account --log FILE           where requests went, out of logs (--log again for more; --plot FILE draws it)
  domains                      evacuated failure domains and cold upstreams, out of logs (--log) and metrics (--metrics)
  dump                         the whole state of each entry VM
  quarantine                   requests refused because upstreams ended under them
  release PRINT                let one of them go, as after a mend of the upstreams

Exit codes: 0 done, 2 unfit input, 3 another roll came first, 4 refused and nothing changed,
5 sent with unknown outcome, 6 not in force everywhere in time";
    options.usage(brief)
}

/// The options of all commands.
pub fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "kv", "key-value service, http://HOST:PORT", "URL");
    options.optopt("", "store", "store of the users' platform", "HOST:PORT");
    options.optmulti("", "admin", "admin address of an entry VM", "HOST:PORT");
    options.optmulti("", "metrics", "metrics address of an entry VM", "HOST:PORT");
    options.optmulti("", "log", "log of a process on the platform", "FILE");
    options.optopt("", "plot", "picture to draw, SVG", "FILE");
    options.optmulti("", "key", "operator key file", "FILE");
    options.optopt(
        "",
        "expect",
        "roll only if this number is in force",
        "NUMBER",
    );
    options.optflag("", "wait", "wait until the roll is in force everywhere");
    options.optopt("", "timeout", "seconds to wait (default 19)", "SECONDS");
    options.optflag("", "json", "print JSON");
    options.optflag("h", "help", "print this help");
    options
}

/// Runs one command.
///
/// # Errors
/// With everything that has no exit code of its own.
pub async fn run(matches: &Matches) -> anyhow::Result<CommandOutcome> {
    let arguments: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match arguments.as_slice() {
        ["keygen", file] => keygen(Path::new(file)),
        ["check", bundle] => check_bundle(Path::new(bundle)),
        ["sign", bundle, out] => sign(matches, Path::new(bundle), Path::new(out)),
        ["publish", signed] => publish_signed(matches, Path::new(signed)).await,
        ["roll", digest] => roll_digest(matches, digest).await,
        ["retire", model, bundle, out] => retire(model, Path::new(bundle), Path::new(out)),
        ["status"] => status(matches).await,
        ["explain", name] => explain_name(matches, name).await,
        ["explain", kind, name] => explain_by_logs(matches, kind, name),
        ["account"] => account_by_logs(matches),
        ["domains"] => show_domains(matches).await,
        ["dump"] => dump_all(matches).await,
        ["quarantine"] => list(matches).await,
        ["release", print] => release(matches, print).await,
        [] => bail!("a command is needed; --help lists them"),
        [command, ..] => bail!("{command}: no such command, or the wrong arguments; see --help"),
    }
}

fn keygen(file: &Path) -> anyhow::Result<CommandOutcome> {
    let seed: [u8; 32] = rand::random();
    if file.exists() {
        bail!("{} exists; a key is never overwritten", file.display());
    }
    std::fs::write(file, hex::encode(seed))
        .with_context(|| format!("{} cannot be written", file.display()))?;
    restrict(file)?;
    let public = SignerKey::from_seed(&seed).public().to_hex();
    let json = json!({ "public": public });
    Ok(CommandOutcome::new(EXIT_OK, public, json))
}

fn restrict(file: &Path) -> anyhow::Result<()> {
    use std::os::unix::fs::PermissionsExt;
    const OWNER_ONLY: u32 = 0o600;
    std::fs::set_permissions(file, std::fs::Permissions::from_mode(OWNER_ONLY))?;
    Ok(())
}

fn check_bundle(path: &Path) -> anyhow::Result<CommandOutcome> {
    let (bytes, document) = read_document(path)?;
    let problems = check(&document);
    if problems.is_empty() {
        let digest = BundleDigest::of(&bytes);
        let text = format!("{}: ok, digest {digest}", path.display());
        return Ok(CommandOutcome::new(
            EXIT_OK,
            text,
            json!({ "digest": digest, "problems": [] }),
        ));
    }
    let lines: Vec<String> = problems
        .iter()
        .map(|problem| format!("{}: {problem}", path.display()))
        .collect();
    let json = json!({ "problems": lines });
    Ok(CommandOutcome::new(EXIT_UNFIT, lines.join("\n"), json))
}

fn keys(matches: &Matches) -> anyhow::Result<Vec<SignerKey>> {
    let files = matches.opt_strs("key");
    if files.is_empty() {
        bail!("--key FILE is needed");
    }
    files.iter().map(|file| read_key(Path::new(file))).collect()
}

fn sign(matches: &Matches, bundle: &Path, out: &Path) -> anyhow::Result<CommandOutcome> {
    let checked = check_bundle(bundle)?;
    if checked.code != EXIT_OK {
        return Ok(checked);
    }
    let (bytes, _) = read_document(bundle)?;
    let signed = SignedBundle::sign(bytes, &keys(matches)?);
    std::fs::write(out, serde_json::to_vec_pretty(&signed)?)
        .with_context(|| format!("{} cannot be written", out.display()))?;
    let digest = signed.digest();
    Ok(CommandOutcome::new(
        EXIT_OK,
        digest.to_string(),
        json!({ "digest": digest, "signatures": signed.signatures.len() }),
    ))
}

fn retire(model: &str, bundle: &Path, out: &Path) -> anyhow::Result<CommandOutcome> {
    let (_, mut document) = read_document(bundle)?;
    let before = document.models.len();
    document.models.retain(|spec| spec.name.as_str() != model);
    if document.models.len() == before {
        bail!("{} has no model {model}", bundle.display());
    }
    std::fs::write(out, serde_json::to_vec_pretty(&document)?)?;
    let text = format!("wrote {} without {model}; sign and roll it", out.display());
    Ok(CommandOutcome::new(
        EXIT_OK,
        text,
        json!({ "retired": model }),
    ))
}

fn kv(matches: &Matches) -> anyhow::Result<KvClient> {
    let Some(url) = matches.opt_str("kv") else {
        bail!("--kv URL is needed");
    };
    Ok(kv_client(&url))
}

/// A client for a person's or a script's few calls.
pub fn kv_client(url: &str) -> KvClient {
    const CALLS_PER_SECOND: f64 = 50.0;
    const BURST: f64 = 200.0;
    KvClient::new(url, KV_TIMEOUT, CallBudget::new(CALLS_PER_SECOND, BURST))
}

fn admins(matches: &Matches) -> anyhow::Result<Vec<String>> {
    match matches.opt_strs("admin") {
        admins if admins.is_empty() => bail!("--admin HOST:PORT is needed, once for each entry VM"),
        admins => Ok(admins),
    }
}

async fn publish_signed(matches: &Matches, path: &Path) -> anyhow::Result<CommandOutcome> {
    let signed = read_signed(path)?;
    match publish(&kv(matches)?, &signed).await {
        Ok(outcome) => Ok(CommandOutcome::new(
            EXIT_OK,
            signed.digest().to_string(),
            json!({ "outcome": outcome }),
        )),
        Err(error) => Ok(refused(&error)),
    }
}

async fn roll_digest(matches: &Matches, digest: &str) -> anyhow::Result<CommandOutcome> {
    let bytes = hex::decode(digest).context("DIGEST must be 64 hex digits")?;
    let bytes =
        <[u8; 32]>::try_from(bytes).map_err(|_| anyhow::anyhow!("DIGEST must be 64 hex digits"))?;
    let keys = keys(matches)?;
    let kv = kv(matches)?;
    let expected = matches.opt_get("expect")?;
    let seconds: u64 = matches.opt_get("timeout")?.unwrap_or(19);
    let most = Duration::from_secs(seconds);
    let context = RollContext {
        kv: &kv,
        keys: &keys,
        expected,
        settle_timeout: most,
    };
    let outcome = match roll(&context, BundleDigest(bytes)).await {
        Ok(outcome) => outcome,
        Err(error) => return Ok(refused(&error)),
    };
    let json = json!({ "outcome": outcome });
    Ok(match outcome {
        RollOutcome::LostRace { in_force, digest } => CommandOutcome::new(
            EXIT_LOST_RACE,
            format!("nothing was changed: roll {in_force} of {digest} is in force"),
            json,
        ),
        RollOutcome::Unknown { number } => CommandOutcome::new(
            EXIT_UNKNOWN,
            format!("roll {number} was sent; see `status` for what became of it"),
            json,
        ),
        RollOutcome::Rolled { number, .. } => {
            if matches.opt_present("wait") {
                let admins = admins(matches)?;
                let caller = HttpClient::new(KV_TIMEOUT);
                if !wait_in_force(&kv, &caller, &admins, number, most).await {
                    let text = format!("roll {number} is not in force everywhere yet");
                    return Ok(CommandOutcome::new(EXIT_NOT_EVERYWHERE, text, json));
                }
            }
            CommandOutcome::new(EXIT_OK, format!("roll {number} is in force"), json)
        }
    })
}

async fn status(matches: &Matches) -> anyhow::Result<CommandOutcome> {
    let caller = HttpClient::new(KV_TIMEOUT);
    let status = fleet(&kv(matches)?, &caller, &admins(matches)?).await;
    let record = match &status.record {
        Some(record) => format!("roll {} of {}", record.number, record.digest),
        None => status.record_error.clone().unwrap_or_default(),
    };
    let lines = status.entries.iter().map(|entry| match entry.roll {
        None => format!("{}: no answer", entry.admin),
        Some(roll) => format!(
            "{} ({}): roll {roll}, {} groups serve, {} on the way{}",
            entry.entry.as_deref().unwrap_or("?"),
            entry.admin,
            entry.serving_groups,
            entry.other_groups,
            entry
                .gate
                .as_ref()
                .map_or_else(String::new, |gate| format!(", roll {gate}")),
        ),
    });
    let text: Vec<String> = [record].into_iter().chain(lines).collect();
    let code = match status.record {
        Some(_) => EXIT_OK,
        None => EXIT_REFUSED,
    };
    let json = serde_json::to_value(&status)?;
    Ok(CommandOutcome::new(code, text.join("\n"), json))
}

fn explain_by_logs(matches: &Matches, kind: &str, name: &str) -> anyhow::Result<CommandOutcome> {
    let subject = StorySubject::new(kind, name)
        .with_context(|| format!("{kind}: what can be explained is request, group or vm"))?;
    let told = tell(&subject, &logs(matches)?)?;
    let lines: Vec<String> = told
        .iter()
        .map(|it| format!("{}:{}: {}", it.log, it.number, it.line.text))
        .collect();
    let json = json!({"lines": lines});
    if lines.is_empty() {
        let text = format!("no log says anything of {kind} {name}");
        return Ok(CommandOutcome::new(EXIT_UNFIT, text, json));
    }
    Ok(CommandOutcome::new(EXIT_OK, lines.join("\n"), json))
}

/// The logs that are named, at least one.
fn logs(matches: &Matches) -> anyhow::Result<Vec<PathBuf>> {
    let logs = matches.opt_strs("log").into_iter().map(PathBuf::from);
    let logs: Vec<PathBuf> = logs.collect();
    if logs.is_empty() {
        bail!("--log is needed: the logs of the processes");
    }
    Ok(logs)
}

fn account_by_logs(matches: &Matches) -> anyhow::Result<CommandOutcome> {
    let mut account = RequestAccount::default();
    for log in logs(matches)? {
        account.read(&log)?;
    }
    if let Some(path) = matches.opt_str("plot") {
        plot(&account, Path::new(&path)).with_context(|| format!("{path} cannot be drawn"))?;
    }
    let json = serde_json::to_value(&account)?;
    let code = match account.routes.is_empty() {
        true => EXIT_UNFIT,
        false => EXIT_OK,
    };
    Ok(CommandOutcome::new(code, to_text(&account), json))
}

async fn show_domains(matches: &Matches) -> anyhow::Result<CommandOutcome> {
    let logs = matches.opt_strs("log").into_iter().map(PathBuf::from);
    let logs: Vec<PathBuf> = logs.collect();
    let addrs = matches.opt_strs("metrics");
    if logs.is_empty() && addrs.is_empty() {
        bail!("--log FILE or --metrics HOST:PORT is needed");
    }
    let knowledge = read_knowledge(&logs)?;
    let mut lines = describe_knowledge(&knowledge);
    if lines.is_empty() && !logs.is_empty() {
        lines.push("no log tells of an evacuated domain or a cold upstream".to_owned());
    }
    let caller = HttpClient::new(KV_TIMEOUT);
    let mut metrics = serde_json::Map::new();
    let mut code = EXIT_OK;
    for addr in addrs {
        let read = read_metrics(&caller, &addr).await.unwrap_or_else(|error| {
            code = EXIT_UNFIT;
            vec![error.to_string()]
        });
        lines.extend(read.iter().map(|line| format!("{addr}: {line}")));
        metrics.insert(addr, json!(read));
    }
    let json = json!({ "vms": knowledge, "metrics": metrics });
    Ok(CommandOutcome::new(code, lines.join("\n"), json))
}

async fn explain_name(matches: &Matches, name: &str) -> anyhow::Result<CommandOutcome> {
    let caller = HttpClient::new(KV_TIMEOUT);
    let mut lines = Vec::new();
    for admin in admins(matches)? {
        match dump(&caller, &admin).await {
            Ok(state) => lines.extend(explain(&state, name)),
            Err(error) => lines.push(format!("{admin}: {error}")),
        }
    }
    let code = if lines.is_empty() {
        EXIT_UNFIT
    } else {
        EXIT_OK
    };
    if lines.is_empty() {
        lines.push(format!("no entry VM knows {name}"));
    }
    let json = json!({ "lines": lines });
    Ok(CommandOutcome::new(code, lines.join("\n"), json))
}

async fn dump_all(matches: &Matches) -> anyhow::Result<CommandOutcome> {
    let caller = HttpClient::new(KV_TIMEOUT);
    let mut dumps = serde_json::Map::new();
    for admin in admins(matches)? {
        let state = dump(&caller, &admin).await;
        let state = state.unwrap_or_else(|error| json!({ "error": error.to_string() }));
        dumps.insert(admin, state);
    }
    let json = Value::Object(dumps);
    let text = serde_json::to_string_pretty(&json)?;
    Ok(CommandOutcome::new(EXIT_OK, text, json))
}
