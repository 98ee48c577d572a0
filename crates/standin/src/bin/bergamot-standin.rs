//! Stand-ins as separate processes.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, bail};
use bergamot_platform::VmFact;
use bergamot_standin::engine::EngineServer;
use bergamot_standin::{
    EngineOptions, EngineStandin, FabricRegistry, KvOptions, KvStandin, ServiceStandin,
    StandinServer, VmListStandin, WeightOptions, WeightStandin, serve_on,
};
use bergamot_types::VmId;
use getopts::{Matches, Options};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

const BRIEF: &str = "Usage: bergamot-standin ROLE [OPTIONS]

Roles:
  kv        key-value service (etcd v3 JSON) at --listen
  vm-list   VM list at --listen, of the VMs in --vms FILE (JSON), --lag-ms behind
  weights   weight store at --listen
  service   plain service at --listen
  engines   model engines, one for each --engine VM=ADDR, joined by one interconnect

Faults are switched on over HTTP at /standin/faults of each.";

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "listen", "address", "ADDR");
    options.optopt("", "vms", "VMs, as the list shows them", "FILE");
    options.optopt("", "lag-ms", "how far the list lags (default 500)", "MS");
    options.optmulti("", "engine", "one engine", "VM=ADDR");
    options.optflag("h", "help", "print this help");
    options
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bergamot-standin: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn run() -> anyhow::Result<()> {
    let options = options();
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options.usage(BRIEF));
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let roles: Vec<&str> = matches.free.iter().map(String::as_str).collect();
        match roles.as_slice() {
            ["kv"] => serve(&matches, KvStandin::new(KvOptions::default())).await?,
            ["vm-list"] => serve(&matches, vm_list(&matches)?).await?,
            ["weights"] => serve(&matches, WeightStandin::new(WeightOptions::default())).await?,
            ["service"] => {
                const WORK: Duration = Duration::from_millis(2);
                serve(&matches, ServiceStandin::new(WORK)).await?;
            }
            ["engines"] => engines(&matches).await?,
            _ => bail!("a role is needed; --help lists them"),
        }
        signal(SignalKind::terminate())?.recv().await;
        Ok(())
    })
}

async fn serve<Server>(matches: &Matches, server: Arc<Server>) -> anyhow::Result<()>
where
    Server: StandinServer,
{
    let listen = matches
        .opt_str("listen")
        .context("--listen ADDR is needed")?;
    serve_at(&listen, server).await
}

async fn serve_at<Server>(listen: &str, server: Arc<Server>) -> anyhow::Result<()>
where
    Server: StandinServer,
{
    let addr: SocketAddr = listen.parse().with_context(|| listen.to_owned())?;
    let listener = TcpListener::bind(addr)
        .await
        .with_context(|| listen.to_owned())?;
    let addr = serve_on(listener, server)?;
    log::info!("event=standin_started addr={addr}");
    Ok(())
}

fn vm_list(matches: &Matches) -> anyhow::Result<Arc<VmListStandin>> {
    let file = matches.opt_str("vms").context("--vms FILE is needed")?;
    let text = std::fs::read_to_string(&file).with_context(|| file.clone())?;
    let vms: Vec<VmFact> = serde_json::from_str(&text).with_context(|| file.clone())?;
    let lag = matches.opt_get("lag-ms")?.unwrap_or(500);
    Ok(VmListStandin::new(vms, Duration::from_millis(lag)))
}

async fn engines(matches: &Matches) -> anyhow::Result<()> {
    let fabric = FabricRegistry::new();
    let weights = WeightStandin::new(WeightOptions::default());
    let wanted = matches.opt_strs("engine");
    if wanted.is_empty() {
        bail!("--engine VM=ADDR is needed, once for each engine");
    }
    for engine in wanted {
        let (vm, addr) = engine
            .split_once('=')
            .with_context(|| format!("{engine}: not VM=ADDR"))?;
        let standin = EngineStandin::new(
            VmId::new(vm),
            EngineOptions::default(),
            Arc::clone(&fabric),
            Arc::clone(&weights),
        );
        serve_at(addr, Arc::new(EngineServer(standin))).await?;
    }
    Ok(())
}
