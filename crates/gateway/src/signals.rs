//! Signals, before and while the daemon runs.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal asks of the process.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ProcessSignal {
    /// To stop.
    Stop,
    /// To read its settings again.
    Reload,
}

/// The signals that a running process takes.
pub struct SignalSet {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl SignalSet {
    /// Takes the signals over.
    ///
    /// # Errors
    /// When one cannot be taken over.
    pub fn take() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// The next signal.
    pub async fn next(&mut self) -> ProcessSignal {
        tokio::select! {
            _ = self.terminate.recv() => ProcessSignal::Stop,
            _ = self.interrupt.recv() => ProcessSignal::Stop,
            _ = self.reload.recv() => ProcessSignal::Reload,
        }
    }
}

/// Takes over hang-up signals, which end a process that does not. One that comes while the process
/// starts changes nothing then: the settings are about to be read anyway, and looked at again soon.
///
/// # Errors
/// When the signal cannot be taken over.
pub fn install_reload_handler() -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build()?;
    let _entered = runtime.enter();
    // What was taken over stays so after the receiver and the runtime are gone.
    signal(SignalKind::hangup()).map(drop)
}
