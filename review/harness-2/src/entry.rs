//! Processes of the system, started with the command of the deploy file.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

const SIGTERM: i32 = 15;

unsafe extern "C" {
    /// POSIX.
    fn kill(process: i32, signal: i32) -> i32;
}

/// The program of the deploy file.
const PROGRAM: &str = "target/release/bergamot-entry";

pub struct Entry {
    pub front: SocketAddr,
    pub log: PathBuf,
    child: Child,
}

/// What differs between the settings of machines.
pub struct Place<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub store: SocketAddr,
}

/// Returns a port after which another one is free, too.
fn free_ports() -> u16 {
    loop {
        let Ok(first) = TcpListener::bind("127.0.0.1:0") else {
            continue;
        };
        let port = first.local_addr().map_or(0, |addr| addr.port());
        if port < u16::MAX - 1 && TcpListener::bind(("127.0.0.1", port + 1)).is_ok() {
            return port;
        }
    }
}

impl Entry {
    /// Starts a process with the bounds of a small deployment.
    pub fn start(folder: &str, place: &Place<'_>) -> std::io::Result<Self> {
        let Place { name, zone, store } = place;
        let (callers, peers) = (free_ports(), free_ports());
        let metrics = free_ports();
        let ready = callers + 1;
        let settings = format!(
            "nodeName = \"{name}\"\nrole = \"entry\"\nmachineClass = \"front\"\n\
             serves = [\"front\",\"control\"]\nip = \"127.0.0.1\"\nzone = \"{zone}\"\n\
             region = \"alfold-del\"\nportRange = [{peers},{}]\nbootstrap = true\n\
             discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n\
             [zones]\nkecskemet = \"alfold-del\"\nszeged-ring = \"alfold-del\"\n\
             [listen]\nfront = \"127.0.0.1:{callers}\"\nready = \"127.0.0.1:{ready}\"\n\
             [limits]\ncpuShare = 0.25\ncpuCores = 1\nmemoryMb = 260\nmaxFds = 4100\n\
             linkMbps = 1000.0\ndiskMb = 0\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\n\
             catchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\n\
             downgradeSlackMs = 250\nmaxSkewMs = 5000\nrevokeEverywhere = true\nrevokeMs = 5000\n\
             retryRatio = 0.2\nretryWindowS = 10\nretrySlack = 134\nrecoveryS = 12\n\
             forwardMs = 120\nretryAfterS = 0\nstallMs = 4000\nrequireFence = true\n\
             ceilingWindowS = 5\nceilingExcess = 1.1\n\
             [platform]\naddress = \"{store}\"\nform = \"kv\"\nwritesPerS = 400\n\
             readsPerS = 2000\nretentionS = 20\nvalueBytes = 1048576\nminTtlMs = 1000\n",
            peers + 1
        );
        let path = format!("{folder}/{name}.toml");
        std::fs::write(&path, settings)?;
        let log = PathBuf::from(format!("{folder}/{name}.log"));
        let output = File::create(&log)?;
        let child = Command::new(PROGRAM)
            .args(["--platform", "--metrics-port", &metrics.to_string()])
            .env("BERGAMOTSTEP_CONFIG", &path)
            .stdin(Stdio::null())
            .stderr(output.try_clone()?)
            .stdout(output)
            .spawn()?;
        Ok(Self {
            front: SocketAddr::from(([127, 0, 0, 1], callers)),
            log,
            child,
        })
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Whether its log has a line with all these words.
    pub fn has_logged(&self, words: &[&str]) -> bool {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let mut lines = text.lines();
        lines.any(|line| words.iter().all(|word| line.contains(word)))
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        unsafe { kill(self.child.id() as i32, SIGTERM) };
    }

    pub fn kill(&mut self) {
        let _ = (self.child.kill(), self.child.wait());
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}
