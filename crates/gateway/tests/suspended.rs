//! A VM that is suspended for seconds while callers, peers and the store go on.

mod support;

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bergamot_gateway::clock::BootClock;
use bergamot_gateway::deadline::{DeadlinePassed, with_deadline};
use bergamot_gateway::shared::SharedState;
use bergamot_types::prelude::*;
use support::{REVOKE_TIME, site, sources};
use tokio::sync::mpsc;

/// Time since the machine started, in milliseconds: what the process's timers do not see while it is suspended.
static BOOT: AtomicU64 = AtomicU64::new(70_000);

fn boot() -> Duration {
    Duration::from_millis(BOOT.load(Ordering::SeqCst))
}

fn suspend(time: Millis) {
    BOOT.fetch_add(time.0, Ordering::SeqCst);
}

/// A key may have been taken away while the VM was suspended.
#[test]
fn a_key_is_not_trusted_over_the_time_in_which_the_vm_was_suspended() {
    let (quiet, _) = mpsc::channel(1);
    let (records, _) = mpsc::channel(1);
    let clock = BootClock::with_source(boot);
    let shared = SharedState::with_clock(site(), quiet, records, clock);
    shared.record_confirmation(shared.clock.now());
    assert!(shared.is_confirmed(shared.clock.now()));
    suspend(REVOKE_TIME);
    assert!(!shared.is_confirmed(shared.clock.now()));
    assert_eq!(shared.config_age(shared.clock.now()), REVOKE_TIME);
}

/// Its timer would run for another five seconds.
#[tokio::test]
async fn a_request_is_not_held_past_its_deadline_by_a_suspension() {
    static SLEEPER: AtomicU64 = AtomicU64::new(70_000);
    let clock = BootClock::with_source(|| Duration::from_millis(SLEEPER.load(Ordering::SeqCst)));
    let deadline = clock.now() + Millis(5_000);
    let began = std::time::Instant::now();
    let resumed = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        SLEEPER.fetch_add(5_000, Ordering::SeqCst);
        std::future::pending::<()>().await;
    };
    assert_eq!(
        with_deadline(clock, deadline, resumed).await,
        Err(DeadlinePassed)
    );
    assert!(began.elapsed() < Duration::from_millis(2_500));
    // One that has time left is waited for.
    let deadline = clock.now() + Millis(5_000);
    assert_eq!(with_deadline(clock, deadline, async { 7 }).await, Ok(7));
}

/// Who may go by the clock that stands still while a VM is suspended, and why that harms nobody.
const PACED: [(&str, &str); 5] = [
    (
        "sync/mod.rs",
        "when to ask the store next; what it said ages by the other clock",
    ),
    ("sync/read.rs", "how long to wait for peers at the start"),
    ("sync/peers.rs", "when to ask again after a failure"),
    (
        "groups.rs",
        "when to look next; whether orders may be given goes by the other clock",
    ),
    (
        "front/head_timer.rs",
        "how long a caller may take for a head: longer harms nobody else",
    ),
];

#[test]
fn nothing_that_others_rely_on_goes_by_a_clock_that_stands_still() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut files = Vec::new();
    sources(&root, &mut files);
    for file in files {
        let text = std::fs::read_to_string(&file).expect("a source file");
        let name = file.strip_prefix(&root).expect("it is below");
        let is_paced = PACED.iter().any(|(paced, _)| Path::new(paced) == name);
        let has_steady = text.contains("Instant");
        assert_eq!(has_steady, is_paced, "{name:?} and its place in the table");
    }
}
