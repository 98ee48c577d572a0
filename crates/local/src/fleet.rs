//! Stand-ins and entry VMs on ephemeral ports.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use bergamot_bundle::{BundleDocument, KeyRing, SignedBundle, SignerKey};
use bergamot_ctl::cli::kv_client;
use bergamot_ctl::{RollContext, RollOutcome, publish, roll};
use bergamot_entry::{EntryDaemon, EntrySettings, StopOutcome};
use bergamot_platform::{KvClient, VmFact, VmKind, VmState};
use bergamot_standin::engine::EngineServer;
use bergamot_standin::{
    EngineStandin, FabricRegistry, KvOptions, KvStandin, ServiceStandin, StandinServer,
    VmListStandin, WeightStandin, serve_abortable, serve_on,
};
use bergamot_types::prelude::*;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::task::AbortHandle;

use crate::options::LocalOptions;
use crate::ready::{ReadyAccount, ReadyFile, ReadyUpstream};
use crate::sample;

/// An engine stand-in with where it is.
pub struct LocalEngine {
    /// What the platform says of it.
    pub fact: VmFact,
    /// The stand-in.
    pub engine: Arc<EngineStandin>,
}

/// A service stand-in with where it is.
pub struct LocalService {
    /// What the platform says of it.
    pub fact: VmFact,
    /// The stand-in.
    pub service: Arc<ServiceStandin>,
    /// Ends its process: nothing listens there any more.
    pub process: AbortHandle,
}

/// The running fleet.
pub struct LocalFleet {
    runtime: Runtime,
    key: SignerKey,
    /// The key-value stand-in.
    pub kv: Arc<KvStandin>,
    /// The VM list stand-in.
    pub vm_list: Arc<VmListStandin>,
    /// The engines.
    pub engines: Vec<LocalEngine>,
    /// The services.
    pub services: Vec<LocalService>,
    /// The entry VMs; none where one was stopped or killed.
    pub entries: Vec<Option<EntryDaemon>>,
    kv_addr: SocketAddr,
    list_addr: SocketAddr,
    weight_addr: SocketAddr,
    settings: Vec<EntrySettings>,
}

/// Time for a fleet to come up.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two looks at what is waited for.
const LOOK: Duration = Duration::from_millis(20);
/// Accelerators in each engine VM.
const ACCELERATORS: u32 = 8;

fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl LocalFleet {
    /// Starts stand-ins and entry VMs; nothing is rolled yet. Call it outside of any runtime.
    ///
    /// # Errors
    /// When a port cannot be bound.
    pub fn start(options: &LocalOptions) -> anyhow::Result<Self> {
        const STANDIN_THREADS: usize = 2;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(STANDIN_THREADS)
            .thread_name("standin")
            .enable_all()
            .build()?;
        let weights = WeightStandin::new(options.weights);
        let kv = KvStandin::new(KvOptions::default());
        let fabric = FabricRegistry::new();
        let mut engines = Vec::new();
        let mut services = Vec::new();
        for domain in 0..options.failure_domains {
            for index in 0..options.engines_per_domain {
                let vm = VmId::from(format!("vm-{}-{}", domain + 1, index + 1));
                let engine = EngineStandin::new(
                    vm.clone(),
                    options.engine.clone(),
                    Arc::clone(&fabric),
                    Arc::clone(&weights),
                );
                engine.faults.set(bergamot_standin::fault::FaultSet {
                    ignore_fencing: options.ignore_fencing,
                    ..Default::default()
                });
                let server = Arc::new(EngineServer(Arc::clone(&engine)));
                let addr = serve(&runtime, server)?;
                let fact = fact(vm, VmKind::Engine, domain, addr);
                engines.push(LocalEngine { fact, engine });
            }
        }
        for index in 0..options.services {
            const WORK: Duration = Duration::from_millis(2);
            let service = ServiceStandin::new(WORK);
            let (addr, process) = serve_process(&runtime, Arc::clone(&service))?;
            let vm = VmId::from(format!("vm-{}-{}", sample::SERVICE, index + 1));
            let kind = VmKind::Service(ServiceName::new(sample::SERVICE));
            let fact = fact(vm, kind, index % options.failure_domains, addr);
            services.push(LocalService {
                fact,
                service,
                process,
            });
        }
        let facts = engines.iter().map(|engine| engine.fact.clone());
        let facts = facts.chain(services.iter().map(|service| service.fact.clone()));
        let vm_list = VmListStandin::new(facts.collect(), options.list_lag);
        let kv_addr = serve(&runtime, Arc::clone(&kv))?;
        let list_addr = serve(&runtime, Arc::clone(&vm_list))?;
        let weight_addr = serve(&runtime, weights)?;
        let mut fleet = Self {
            runtime,
            key: SignerKey::from_seed(&rand::random()),
            kv,
            vm_list,
            engines,
            services,
            entries: Vec::new(),
            kv_addr,
            list_addr,
            weight_addr,
            settings: Vec::new(),
        };
        for index in 0..options.failure_domains * options.entries_per_domain {
            let domain = index / options.entries_per_domain;
            fleet.add_entry(domain, index, options)?;
        }
        Ok(fleet)
    }

    fn add_entry(
        &mut self,
        domain: usize,
        index: usize,
        options: &LocalOptions,
    ) -> anyhow::Result<()> {
        let mut settings = EntrySettings {
            entry: EntryId::from(format!("entry-{}", index + 1)),
            vm: VmId::from(format!("vm-entry-{}", index + 1)),
            failure_domain: FailureDomain::from(format!("fd-{}", domain + 1)),
            caller_addr: local(0),
            peer_addr: local(0),
            admin_addr: local(0),
            kv_url: format!("http://{}", self.kv_addr),
            vm_list_url: format!("http://{}", self.list_addr),
            operators: KeyRing {
                signers: [self.key.public()].into(),
                threshold: 1,
            },
            ..EntrySettings::sample()
        };
        if let Some(memory_bytes) = options.memory_bytes {
            settings.tuning.memory_bytes = memory_bytes;
        }
        (options.tune)(&mut settings);
        if let Some((field, reason)) = settings.problem() {
            bail!("{field}: {reason}");
        }
        let daemon = EntryDaemon::start(settings.clone())?;
        self.list_entry(domain, &settings, daemon.peer_addr());
        self.settings.push(settings);
        self.entries.push(Some(daemon));
        Ok(())
    }

    fn list_entry(&self, domain: usize, settings: &EntrySettings, addr: SocketAddr) {
        let mut listed = fact(settings.vm.clone(), VmKind::Entry, domain, addr);
        listed.accelerators = 0;
        self.vm_list.put(listed);
    }

    /// Starts an entry VM again that was killed or stopped, on new ports.
    ///
    /// # Errors
    /// When no port can be bound.
    pub fn restart_entry(&mut self, index: usize) -> anyhow::Result<()> {
        let settings = self.settings[index].clone();
        let daemon = EntryDaemon::start(settings.clone())?;
        let name = settings.failure_domain.as_str();
        let domain: usize = name.trim_start_matches("fd-").parse()?;
        self.list_entry(domain - 1, &settings, daemon.peer_addr());
        self.entries[index] = Some(daemon);
        Ok(())
    }

    /// Kills an entry VM as a crash would; the platform still lists it.
    pub fn kill_entry(&mut self, index: usize) {
        if let Some(daemon) = self.entries[index].take() {
            daemon.kill();
        }
    }

    /// The platform notices that an entry VM is gone.
    pub fn unlist_entry(&self, index: usize) {
        self.vm_list.remove(&self.settings[index].vm);
    }

    /// A client of the key-value service for operators' calls.
    pub fn operator_kv(&self) -> KvClient {
        kv_client(&format!("http://{}", self.kv_addr))
    }

    /// The runtime of the stand-ins, for callers of this process.
    pub fn runtime(&self) -> &Runtime {
        &self.runtime
    }

    /// Signs, publishes and rolls a bundle.
    ///
    /// # Errors
    /// When it was refused or lost a race.
    pub fn roll(&self, document: &BundleDocument) -> anyhow::Result<u64> {
        let bytes = serde_json::to_vec_pretty(document)?;
        let key = [SignerKey::from_seed(&self.key.to_seed())];
        let signed = SignedBundle::sign(bytes, &key);
        let kv = self.operator_kv();
        let context = RollContext {
            kv: &kv,
            keys: &key,
            expected: None,
            settle_timeout: Duration::from_secs(5),
        };
        let outcome = self.runtime.block_on(async {
            publish(&kv, &signed).await?;
            roll(&context, signed.digest()).await
        })?;
        match outcome {
            RollOutcome::Rolled { number, .. } => Ok(number),
            other => bail!("not rolled: {other:?}"),
        }
    }

    /// Waits until `is_true`, looking over and over.
    ///
    /// # Errors
    /// Names `what` when the time is up.
    pub fn wait_for(&self, what: &str, is_true: impl Fn(&Self) -> bool) -> anyhow::Result<()> {
        let started = Instant::now();
        while !is_true(self) {
            if started.elapsed() > START_TIMEOUT {
                bail!("{what} did not come about in {START_TIMEOUT:?}");
            }
            std::thread::sleep(LOOK);
        }
        Ok(())
    }

    /// The entry VMs that run.
    pub fn running(&self) -> impl Iterator<Item = &EntryDaemon> {
        self.entries.iter().flatten()
    }

    /// Waits until every running entry VM is ready, routes to so many groups, and all have settled
    /// on one roster.
    ///
    /// # Errors
    /// When that takes too long.
    pub fn wait_serving(&self, groups: usize) -> anyhow::Result<()> {
        self.wait_for(&format!("{groups} serving groups"), |fleet| {
            let entries = fleet.running().count();
            fleet.running().all(|entry| {
                entry.is_ready()
                    && entry.routable_groups() >= groups
                    && entry.settled_members() >= Some(entries)
            })
        })
    }

    /// Where everything is.
    pub fn ready_file(&self) -> ReadyFile {
        let engines = self.engines.iter().map(|engine| &engine.fact);
        let services = self.services.iter().map(|service| &service.fact);
        ReadyFile {
            entries: self
                .running()
                .map(|e| e.caller_addr().to_string())
                .collect(),
            admins: self.running().map(|e| e.admin_addr().to_string()).collect(),
            accounts: sample::ACCOUNTS
                .iter()
                .map(|(name, token, _)| ReadyAccount {
                    name: (*name).to_owned(),
                    token: (*token).to_owned(),
                })
                .collect(),
            upstreams: engines.chain(services).map(upstream).collect(),
            kv: format!("http://{}", self.kv_addr),
            vm_list: format!("http://{}", self.list_addr),
            weight_store: format!("http://{}", self.weight_addr),
            model: sample::MODEL.to_owned(),
            service: sample::SERVICE.to_owned(),
        }
    }

    /// Stops every entry VM gracefully, all at once, and then the stand-ins.
    pub fn stop(mut self) -> StopOutcome {
        let daemons: Vec<EntryDaemon> = self.entries.drain(..).flatten().collect();
        let stopping: Vec<_> = daemons
            .into_iter()
            .map(|daemon| std::thread::spawn(move || daemon.stop(|| false)))
            .collect();
        let mut cut = 0;
        for thread in stopping {
            if let Ok(StopOutcome::Aborted(count)) = thread.join() {
                cut += count;
            }
        }
        self.runtime.shutdown_background();
        match cut {
            0 => StopOutcome::Graceful,
            cut => StopOutcome::Aborted(cut),
        }
    }
}

fn serve<Server>(runtime: &Runtime, server: Arc<Server>) -> anyhow::Result<SocketAddr>
where
    Server: StandinServer,
{
    runtime
        .block_on(async {
            let listener = TcpListener::bind(local(0)).await?;
            serve_on(listener, server)
        })
        .context("a stand-in cannot listen")
}

/// The same with a handle that ends it.
fn serve_process<Server>(
    runtime: &Runtime,
    server: Arc<Server>,
) -> anyhow::Result<(SocketAddr, AbortHandle)>
where
    Server: StandinServer,
{
    runtime
        .block_on(async {
            let listener = TcpListener::bind(local(0)).await?;
            let addr = listener.local_addr()?;
            std::io::Result::Ok((addr, serve_abortable(listener, server)))
        })
        .context("a stand-in cannot listen")
}

fn fact(vm: VmId, kind: VmKind, domain: usize, addr: SocketAddr) -> VmFact {
    VmFact {
        vm,
        kind,
        state: VmState::Live,
        failure_domain: FailureDomain::from(format!("fd-{}", domain + 1)),
        fabric_domain: FabricDomain::from(format!("fabric-{}", domain + 1)),
        addr,
        accelerators: ACCELERATORS,
    }
}

fn upstream(fact: &VmFact) -> ReadyUpstream {
    let kind = match fact.kind {
        VmKind::Engine => "engine",
        VmKind::Service(_) => "service",
        VmKind::Entry => "entry",
    };
    ReadyUpstream {
        name: fact.vm.to_string(),
        kind: kind.to_owned(),
        vm: fact.vm.to_string(),
        failure_domain: fact.failure_domain.to_string(),
        fabric_domain: fact.fabric_domain.to_string(),
        addr: fact.addr.to_string(),
    }
}
