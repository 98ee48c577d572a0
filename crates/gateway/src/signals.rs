//! Signals before the daemon runs.

use tokio::signal::unix::{SignalKind, signal};

/// Takes over hang-up signals, which end a process that does not. One that comes while the process
/// starts changes nothing then: the settings are about to be read anyway, and looked at again soon.
///
/// # Errors
/// When the signal cannot be taken over.
pub fn take_reload_signals() -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build()?;
    let _entered = runtime.enter();
    // What was taken over stays so after the receiver and the runtime are gone.
    signal(SignalKind::hangup()).map(drop)
}
