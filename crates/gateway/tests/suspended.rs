//! Guards against timeouts that do not count the seconds in which the VM was suspended. Callers,
//! peers and the store keep running in that time.

mod support;

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bergamot_gateway::clock::BootClock;
use bergamot_gateway::deadline::{DeadlinePassed, with_deadline};
use bergamot_gateway::shared::SharedState;
use bergamot_types::prelude::*;
use support::{CONFIG_APPLY_TIME, REVOKE_TIME, entry_site, source_files};
use tokio::sync::mpsc;

/// Time since boot in milliseconds. Unlike the timers of the process, it includes suspensions.
static BOOT_TIME_MS: AtomicU64 = AtomicU64::new(70_000);

fn boot_time() -> Duration {
    Duration::from_millis(BOOT_TIME_MS.load(Ordering::SeqCst))
}

fn suspend(duration: Millis) {
    BOOT_TIME_MS.fetch_add(duration.0, Ordering::SeqCst);
}

/// A key may have been revoked while the VM was suspended. Guards against accepting it because the
/// suspension does not count toward the age of the configuration.
#[test]
fn a_key_revoked_during_a_suspension_is_not_accepted() {
    let (stall_sender, _) = mpsc::channel(1);
    let (record_sender, _) = mpsc::channel(1);
    let clock = BootClock::with_source(boot_time);
    let shared = SharedState::with_clock(entry_site(), stall_sender, record_sender, clock);
    let confirmation = &shared.view.load().confirmation;
    confirmation.record(shared.clock.now());
    assert!(shared.is_confirmed(shared.clock.now()));
    suspend(REVOKE_TIME);
    assert!(!shared.is_confirmed(shared.clock.now()));
    assert_eq!(shared.config_age(shared.clock.now()), REVOKE_TIME);
}

/// A route may have been added while the VM was suspended. Guards against refusing it as unknown by
/// the configuration from before.
#[test]
fn a_route_added_during_a_suspension_is_not_refused_as_unknown() {
    static OWN_BOOT_TIME_MS: AtomicU64 = AtomicU64::new(70_000);
    let (stall_sender, _) = mpsc::channel(1);
    let (record_sender, _) = mpsc::channel(1);
    let clock =
        BootClock::with_source(|| Duration::from_millis(OWN_BOOT_TIME_MS.load(Ordering::SeqCst)));
    let shared = SharedState::with_clock(entry_site(), stall_sender, record_sender, clock);
    let view = shared.view.load_full();
    view.confirmation.record(clock.now());
    for (suspension, may_refuse) in [(Millis::ZERO, true), (CONFIG_APPLY_TIME, false)] {
        OWN_BOOT_TIME_MS.fetch_add(suspension.0, Ordering::SeqCst);
        let standing = view.config_standing(clock.now());
        assert_eq!(shared.may_refuse_by(standing), may_refuse);
    }
}

/// Guards against a timer that pauses during a suspension and so runs for another five seconds
/// after the deadline.
#[tokio::test]
async fn a_suspension_does_not_extend_a_deadline() {
    static OWN_BOOT_TIME_MS: AtomicU64 = AtomicU64::new(70_000);
    let clock =
        BootClock::with_source(|| Duration::from_millis(OWN_BOOT_TIME_MS.load(Ordering::SeqCst)));
    let deadline = clock.now() + Millis(5_000);
    let started_at = std::time::Instant::now();
    let suspended_future = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        OWN_BOOT_TIME_MS.fetch_add(5_000, Ordering::SeqCst);
        std::future::pending::<()>().await;
    };
    assert_eq!(
        with_deadline(clock, deadline, suspended_future).await,
        Err(DeadlinePassed)
    );
    assert!(started_at.elapsed() < Duration::from_millis(2_500));
    // A future that finishes before its deadline returns its output.
    let deadline = clock.now() + Millis(5_000);
    assert_eq!(with_deadline(clock, deadline, async { 7 }).await, Ok(7));
}

/// The files that may use a clock that pauses while the VM is suspended, and why that is harmless.
const ALLOWED_FILES: [(&str, &str); 7] = [
    (
        "connection_set.rs",
        "which connection was of use last; a suspension befalls all of them",
    ),
    (
        "sync/mod.rs",
        "delay until the next request to the store; the age of the data uses the boot clock",
    ),
    (
        "front/pace.rs",
        "load of a thread, which a suspension does not raise",
    ),
    ("sync/read.rs", "how long to wait for peers at startup"),
    ("sync/peers.rs", "delay of a retry after a failure"),
    (
        "groups.rs",
        "delay until the next pass; the validity of the lease for orders uses the boot clock",
    ),
    (
        "front/head_timer.rs",
        "time limit for the head of a request; a longer one affects no other caller",
    ),
];

#[test]
fn only_listed_files_use_a_clock_that_pauses_during_a_suspension() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut files = Vec::new();
    source_files(&root, &mut files);
    for file in files {
        let text = std::fs::read_to_string(&file).expect("the source file is readable");
        let name = file
            .strip_prefix(&root)
            .expect("the file is below the source folder");
        let is_allowed = ALLOWED_FILES
            .iter()
            .any(|(allowed, _)| Path::new(allowed) == name);
        let uses_instant = text.contains("Instant");
        assert_eq!(
            uses_instant, is_allowed,
            "{name:?} must be in ALLOWED_FILES exactly if it uses Instant"
        );
    }
}
