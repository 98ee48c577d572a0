//! Signal handling before and while the daemon runs.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal requests of the process.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ProcessSignal {
    /// Stop serving and exit.
    Stop,
    /// Read the settings again.
    Reload,
}

/// Receivers of the signals that a running process handles.
pub struct SignalSet {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl SignalSet {
    /// Installs handlers for all signals.
    ///
    /// # Errors
    /// If a handler cannot be installed.
    pub fn install() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> ProcessSignal {
        tokio::select! {
            _ = self.terminate.recv() => ProcessSignal::Stop,
            _ = self.interrupt.recv() => ProcessSignal::Stop,
            _ = self.reload.recv() => ProcessSignal::Reload,
        }
    }
}

/// Installs a handler for `SIGHUP`, which otherwise ends the process. A signal that arrives while
/// the process starts has no effect: the settings are about to be read anyway, and are read again
/// soon.
///
/// # Errors
/// If the handler cannot be installed.
pub fn install_reload_handler() -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build()?;
    let _entered = runtime.enter();
    // The handler stays installed after the receiver and the runtime are dropped.
    signal(SignalKind::hangup()).map(drop)
}
