//! Processes of the system, started as the deploy file says.

use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::client::get_status;

const FRONT_PORT: u16 = 8_227;
const READY_PORT: u16 = 8_220;
const FIRST_PEER_PORT: u16 = 7_340;
const LAST_PEER_PORT: u16 = 7_355;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

const SIGTERM: i32 = 15;
const SIGKILL: u64 = 9;
/// The `prctl` option that names the signal that a process gets when its parent ends.
const SET_PARENT_DEATH_SIGNAL: i32 = 1;

/// One entry VM.
pub struct EntryVm {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    root: PathBuf,
    child: Option<Child>,
}

impl EntryVm {
    /// Writes the settings of a VM that reaches the store at `store`.
    pub fn prepare(
        root: &Path,
        folder: &Path,
        name: &str,
        zone: &str,
        zones: &[&str],
        ip: Ipv4Addr,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let zone_rows: String = zones
            .iter()
            .map(|zone| format!("{zone} = \"region-1\"\n"))
            .collect();
        let settings = folder.join(format!("{name}.toml"));
        let text = format!(
            r#"nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "region-1"
portRange = [{FIRST_PEER_PORT},{LAST_PEER_PORT}]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","gangs"]
[zones]
{zone_rows}[listen]
front = "{ip}:{FRONT_PORT}"
ready = "{ip}:{READY_PORT}"
control = "{ip}:8229"
[limits]
cpuShare = 0.25
cpuCores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
maxSkewMs = 5000
revokeEverywhere = true
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 134
recoveryS = 12
forwardMs = 120
retryAfterS = 0
stallMs = 4000
requireFence = true
ceilingWindowS = 5
ceilingExcess = 1.1
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
retentionS = 20
valueBytes = 1048576
minTtlMs = 1000
"#
        );
        std::fs::write(&settings, text)?;
        Ok(Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            ip,
            settings,
            log: folder.join(format!("{name}.log")),
            root: root.to_owned(),
            child: None,
        })
    }

    pub fn front(&self) -> SocketAddr {
        (self.ip, FRONT_PORT).into()
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(self.root.join("target/release/bergamot-entry"));
        // The process ends with this program, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(SET_PARENT_DEATH_SIGNAL, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .args(["--platform", "--metrics-port", "9464"])
            .current_dir(&self.root)
            .env("BERGAMOTSTEP_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Waits until the VM reports that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if get_status((self.ip, READY_PORT).into(), "/-/ready") == Some(200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        if let Some(child) = &self.child {
            // The process was started here and is not reaped yet, so the id is its own.
            unsafe { kill(child.id() as i32, SIGTERM) };
        }
    }

    /// Waits until the process has ended by itself. Returns false if it has not.
    pub fn wait_end(&mut self, limit: Duration) -> io::Result<bool> {
        let until = Instant::now() + limit;
        while let Some(child) = &mut self.child {
            if child.try_wait()?.is_some() {
                self.child = None;
                return Ok(true);
            }
            if Instant::now() >= until {
                return Ok(false);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(true)
    }
}

impl Drop for EntryVm {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
