//! One process of `bergamot-entry`.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use bergamot_adapter::SETTINGS_VARIABLE;
use bergamot_adapter::sample::{CALLER_PORT, METRICS_PORT, SampleSettings};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::process::{Child, Command};

use crate::options::SoakOptions;
use crate::upstream_links::UpstreamLinks;

/// Time a process that was told to stop may take: its grace of 8 s and some room.
const STOP_PATIENCE: Duration = Duration::from_secs(12);

/// Time between a process's start and the moment from which on it is to have taken its signals over.
const SIGNAL_TIME: Duration = Duration::from_millis(100);

/// Where a process listens: an address of the loopback range of its own, so that its ports are free.
#[derive(Clone, Copy, Debug)]
pub struct EntryPlace {
    /// The address.
    pub ip: Ipv4Addr,
}

impl EntryPlace {
    /// The place of the process with this number, in a run of this program.
    pub fn new(number: usize) -> Self {
        let [.., high, low] = std::process::id().to_be_bytes();
        let [upper, lower] = (number as u16 + 1).to_be_bytes();
        // Runs of several programs at once must not meet: the second byte is the program's.
        let second = 64 | (high ^ low) & 63 | upper << 7;
        Self {
            ip: Ipv4Addr::new(127, second, low, lower),
        }
    }

    /// Where callers connect.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, CALLER_PORT))
    }
}

/// A signal to stop that a process got.
#[derive(Clone, Copy, Debug)]
pub struct StopNotice {
    /// When it got the first one.
    pub at: Instant,
    /// Which run of the process got it.
    pub run: usize,
    /// When it must have ended.
    until: Instant,
}

/// How far the stop of a run has come.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StopState {
    /// It has not ended yet.
    Running,
    /// It has ended, or another run has begun.
    Ended,
    /// It has not ended, and should have.
    Overdue,
}

/// A process, running or not.
#[derive(Debug)]
pub struct EntryProcess {
    /// Where it listens.
    pub place: EntryPlace,
    /// Its number in its run.
    number: usize,
    /// The links of all processes to upstreams.
    links: Arc<UpstreamLinks>,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    started_at: Instant,
    /// How often it was started.
    run: usize,
    /// The signal to stop that this run got.
    notice: Option<StopNotice>,
}

impl EntryProcess {
    /// Writes the settings of a process. It reaches the store at `store`.
    ///
    /// # Errors
    /// When the file cannot be written.
    pub fn prepare(
        number: usize,
        options: &SoakOptions,
        store: SocketAddr,
        links: Arc<UpstreamLinks>,
    ) -> anyhow::Result<Self> {
        let folder = &options.folder;
        let place = EntryPlace::new(options.first_place + number);
        let failure_domain = if number.is_multiple_of(2) {
            "east"
        } else {
            "west"
        };
        let settings = folder.join(format!("entry-{number}.toml"));
        let sample = SampleSettings {
            vm: format!("entry-{number}"),
            failure_domain: failure_domain.to_owned(),
            ..SampleSettings::on_address(place.ip, store)
        };
        std::fs::write(&settings, sample.to_text()).context("settings")?;
        Ok(Self {
            place,
            number,
            links,
            settings,
            log: folder.join(format!("entry-{number}.log")),
            program: options.program.clone(),
            child: None,
            started_at: Instant::now(),
            run: 0,
            notice: None,
        })
    }

    /// Starts it. Its log goes on where it ended.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn start(&mut self) -> anyhow::Result<()> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(&self.program)
            .env(SETTINGS_VARIABLE, &self.settings)
            .args(["--platform", "--metrics-port", &METRICS_PORT.to_string()])
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("{} cannot be started", self.program.display()))?;
        if let Some(id) = child.id().and_then(|id| i32::try_from(id).ok()) {
            self.links.note_started(self.number, id);
        }
        self.child = Some(child);
        self.started_at = Instant::now();
        self.run += 1;
        self.notice = None;
        Ok(())
    }

    /// Waits until a process that was just started had the time to take its signals over.
    pub async fn wait_signals(&self) {
        tokio::time::sleep_until((self.started_at + SIGNAL_TIME).into()).await;
    }

    /// Notes that it has stood still since then. One that was paused before it had taken its signals over, or while it
    /// stops, has as much longer to do so: it has run for none of that time.
    pub fn note_paused(&mut self, since: Instant) {
        if let Some(notice) = &mut self.notice {
            notice.until += since.elapsed();
        }
        if since < self.started_at + SIGNAL_TIME {
            self.started_at += since.elapsed();
        }
    }

    /// Its id while it runs.
    pub fn id(&self) -> Option<i32> {
        let id = self.child.as_ref().and_then(Child::id);
        id.and_then(|id| i32::try_from(id).ok())
    }

    /// Sends it a signal, by its id.
    pub fn signal(&self, signal: Signal) {
        let Some(id) = self.id() else {
            return;
        };
        if let Err(error) = kill(Pid::from_raw(id), signal) {
            eprintln!("signal {signal} not sent to {id}: {error}");
        }
    }

    /// Kills it and waits for its end.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take()
            && let Err(error) = child.kill().await
        {
            eprintln!("process not killed: {error}");
        }
    }

    /// Tells it to stop. A run that was told before is told again, and must end as early as before.
    pub fn tell_stop(&mut self) -> StopNotice {
        self.signal(Signal::SIGTERM);
        let at = Instant::now();
        *self.notice.get_or_insert(StopNotice {
            at,
            run: self.run,
            until: at + STOP_PATIENCE,
        })
    }

    /// How far the stop of a run has come.
    pub fn stop_state(&mut self, run: usize) -> StopState {
        let is_next = self.run != run;
        let Some(child) = self.child.as_mut().filter(|_| !is_next) else {
            return StopState::Ended;
        };
        match child.try_wait() {
            Ok(None) => {}
            Ok(Some(_)) => {
                self.child = None;
                return StopState::Ended;
            }
            Err(error) => eprintln!("process not waited for: {error}"),
        }
        let is_overdue = self.notice.is_some_and(|it| Instant::now() > it.until);
        match is_overdue {
            true => StopState::Overdue,
            false => StopState::Running,
        }
    }

    /// Time since its last start.
    pub fn age(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Whether it was started and not seen to end since.
    pub const fn is_started(&self) -> bool {
        self.child.is_some()
    }
}
