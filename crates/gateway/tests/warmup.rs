//! Guards against requests that are sent to a cold upstream without a valid permit, because the
//! upstream turned cold or the VM was suspended after the permit was obtained.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bergamot_gateway::clock::BootClock;
use bergamot_gateway::cold::ColdEntry;
use bergamot_gateway::own_keys::EntryRecord;
use bergamot_gateway::shared::SharedState;
use bergamot_gateway::view::ClusterView;
use bergamot_gateway::warmup::{
    answer_cold_question, is_cold_permit_valid, obtain_cold_permit, record_cold_time, tick,
};
use bergamot_gateway::{FrontContext, PermitDenial, PermitGrant};
use bergamot_ports::{ReplyFacts, StoreRevision, WarmUpSpec};
use bergamot_routing::RouteUpstream;
use bergamot_types::prelude::*;
use bergamot_warmup::{ANSWER_TIMEOUT, ColdQuestion, ColdVerdict, EntryStatement};
use support::entry_site;
use tokio::sync::mpsc;

/// The log lines of all tests in this process.
static LOG_LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Keeps log lines for the tests that check them.
struct LineRecorder;

impl log::Log for LineRecorder {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut lines = LOG_LINES.lock().expect("no test fails while it logs");
        lines.push(record.args().to_string());
    }

    fn flush(&self) {}
}

static BOOT_TIME_MS: AtomicU64 = AtomicU64::new(70_000);

fn boot_time() -> Duration {
    Duration::from_millis(BOOT_TIME_MS.load(Ordering::SeqCst))
}

/// Returns a view in which the upstream's entry, received now, states this cold time.
fn view(upstream: &RouteUpstream, cold_left: Millis, now: Millis) -> ClusterView {
    let entry = ColdEntry {
        incarnation: upstream.incarnation.clone(),
        failure_domain: upstream.failure_domain.clone(),
        spec: WarmUpSpec {
            start_time: Millis(3_000),
            rate: SendRate::from_milli(17_000),
        },
        statement: EntryStatement {
            revision: StoreRevision::ZERO,
            received_at: now,
            cold_left,
            was_warm: true,
            may_be_outdated: false,
        },
    };
    ClusterView {
        cold_entries: [(upstream.incarnation.id.clone(), entry)].into(),
        ..ClusterView::default()
    }
}

fn upstream() -> RouteUpstream {
    RouteUpstream {
        incarnation: UpstreamIncarnation::new(UpstreamId::new("u"), Some(UnixMillis(1))),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: FailureDomain::new("east"),
        slots: 8,
        group: None,
        speed: None,
    }
}

/// Returns the state of a VM that has just started.
fn front(clock: BootClock) -> FrontContext<()> {
    let (stalls, records) = (mpsc::channel(1).0, mpsc::channel(1).0);
    let shared = SharedState::with_clock(entry_site(), stalls, records, clock);
    let (crashes, stalls, messages) = (mpsc::channel(1).0, mpsc::channel(1).0, mpsc::channel(1).0);
    FrontContext::new(shared, (), crashes, stalls, messages)
}

#[test]
fn a_permit_is_checked_again_before_the_request_is_sent() {
    let upstream = upstream();
    let clock = BootClock::with_source(boot_time);
    let front = front(clock);
    let shared = Arc::clone(&front.shared);
    let is_valid = |permit| is_cold_permit_valid(&front, &upstream, permit);
    assert!(is_valid(PermitGrant::Free), "no service has slow start");
    shared.publish(view(&upstream, Millis::ZERO, clock.now()));
    assert!(is_valid(PermitGrant::Free), "the upstream is warm");
    shared.publish(view(&upstream, Millis(3_000), clock.now()));
    assert!(!is_valid(PermitGrant::Free), "the upstream turned cold");
    let granted = PermitGrant::Granted(clock.now());
    assert!(is_valid(granted), "the permit is fresh");
    BOOT_TIME_MS.fetch_add(201, Ordering::SeqCst);
    assert!(!is_valid(granted), "the VM was suspended");
    BOOT_TIME_MS.fetch_add(2_800, Ordering::SeqCst);
    assert!(is_valid(PermitGrant::Free), "the cold time has passed");
}

/// Guards against two owners that grant at once: one of them has not received the list that names
/// the other, while its configuration is confirmed.
#[test]
fn an_owner_whose_list_is_not_confirmed_grants_nothing() {
    static OWN_BOOT_TIME_MS: AtomicU64 = AtomicU64::new(70_000);
    let clock =
        BootClock::with_source(|| Duration::from_millis(OWN_BOOT_TIME_MS.load(Ordering::SeqCst)));
    let (upstream, front) = (upstream(), front(clock));
    let shared = Arc::clone(&front.shared);
    let own_entry = EntryRecord::of(&shared.site);
    shared.publish(ClusterView {
        entries: [(own_entry.vm.clone(), own_entry)].into(),
        ..view(&upstream, Millis(600_000), clock.now())
    });
    let pass_time = |duration: u64, is_list_current: bool| {
        for _ in 0..duration / 100 {
            OWN_BOOT_TIME_MS.fetch_add(100, Ordering::SeqCst);
            shared.view.load().confirmation.record(clock.now());
            if is_list_current {
                shared.record_view_current(clock.now());
            }
            tick(&front);
        }
    };
    let is_granted = || {
        let question = ColdQuestion {
            vm: "entry-2".to_owned(),
            number: 1,
            incarnation: upstream.incarnation.clone(),
        };
        let answer = answer_cold_question(&front, &question);
        answer.is_some_and(|(_, answer)| answer.verdict == ColdVerdict::Granted)
    };
    pass_time(10_000, true);
    // The first question creates the supply, which starts empty.
    is_granted();
    pass_time(1_000, true);
    assert!(is_granted(), "the list is confirmed");
    pass_time(3_000, false);
    assert!(!is_granted(), "only the configuration is confirmed");
}

/// Guards against an upstream that gets no requests for the rest of a wait for a permit although it
/// has become warm.
#[test]
fn the_gate_of_an_upstream_opens_when_it_becomes_warm() {
    static OWN_BOOT_TIME_MS: AtomicU64 = AtomicU64::new(70_000);
    let clock =
        BootClock::with_source(|| Duration::from_millis(OWN_BOOT_TIME_MS.load(Ordering::SeqCst)));
    let (upstream, front) = (upstream(), front(clock));
    let incarnation = &upstream.incarnation;
    let now = clock.now();
    let close = || {
        front.shared.publish(view(&upstream, Millis(3_000), now));
        tick(&front);
        let gates = &mut front.monitor.borrow_mut().gates;
        gates.limit_cold_until(incarnation, 0, now + Millis(500), now);
    };
    let is_open = || {
        let monitor = front.monitor.borrow();
        monitor.gates.state(incarnation, 0, now).is_open()
    };
    close();
    assert!(!is_open());
    front.shared.publish(view(&upstream, Millis::ZERO, now));
    tick(&front);
    assert!(is_open(), "by its entry");
    close();
    let facts = ReplyFacts {
        matches_request: true,
        is_not_run: false,
        is_misdirected: false,
        is_signed: false,
        keep_alive: None,
        send_limit: Ok(None),
        backoff: Ok(None),
        is_leaving: false,
        cold_left: Ok(Some(Millis::ZERO)),
    };
    OWN_BOOT_TIME_MS.fetch_add(1, Ordering::SeqCst);
    record_cold_time(&front, &upstream, &facts);
    assert!(is_open(), "by an answer");
}

/// Returns the state of a VM that has just started, where another VM owns the upstream's permits.
fn front_of_other(upstream: &RouteUpstream, clock: BootClock) -> FrontContext<()> {
    let front = front(clock);
    let owner = EntryRecord {
        vm: "entry-2".to_owned(),
        ..EntryRecord::of(&front.shared.site)
    };
    front.shared.publish(ClusterView {
        entries: [(owner.vm.clone(), owner)].into(),
        ..view(upstream, Millis(3_000), clock.now())
    });
    front
}

fn is_gate_open(front: &FrontContext<()>, upstream: &RouteUpstream) -> bool {
    let gates = &front.monitor.borrow().gates;
    let gate = gates.state(&upstream.incarnation, 1, front.shared.clock.now());
    gate.is_open()
}

/// Guards against a request that has no time left to ask an owner and closes the gate of the
/// upstream to requests that have it.
#[tokio::test]
async fn a_request_without_time_to_ask_leaves_the_gate_open() {
    let clock = BootClock::with_source(|| Duration::from_secs(70));
    let upstream = upstream();
    let front = front_of_other(&upstream, clock);
    let permit = obtain_cold_permit(&front, 1, &upstream, Millis::ZERO).await;
    assert_eq!(permit, Err(PermitDenial::OutOfTime));
    assert!(is_gate_open(&front, &upstream));
}

/// Guards against operators who take a cold upstream for warm, because the last line about it is of
/// its earlier incarnation, and against times in the log that they cannot relate to its lines.
#[test]
fn the_last_line_about_a_restarted_upstream_says_how_long_it_is_cold() {
    static OWN_BOOT_TIME_MS: AtomicU64 = AtomicU64::new(70_000);
    log::set_logger(&LineRecorder).expect("no other test sets a logger");
    log::set_max_level(log::LevelFilter::Info);
    let clock =
        BootClock::with_source(|| Duration::from_millis(OWN_BOOT_TIME_MS.load(Ordering::SeqCst)));
    let incarnation =
        |start| UpstreamIncarnation::new(UpstreamId::new("restarted"), Some(UnixMillis(start)));
    let (mut upstream, front) = (upstream(), front(clock));
    for start in [1, 2] {
        upstream.incarnation = incarnation(start);
        let view = view(&upstream, Millis(3_000), clock.now());
        OWN_BOOT_TIME_MS.fetch_add(100, Ordering::SeqCst);
        front.shared.publish(view);
        tick(&front);
    }
    let mut lines = LOG_LINES
        .lock()
        .expect("no test fails while it logs")
        .clone();
    lines.retain(|line| line.contains("upstream=restarted"));
    let cold_line = "event=upstream_cold upstream=restarted left=2900 source=entry age=100";
    let warm_line = "event=upstream_warm upstream=restarted";
    assert_eq!(lines, [cold_line, warm_line, cold_line]);
}

struct AskingCase {
    name: &'static str,
    time_left: Millis,
    /// Time after which the request must have gone on.
    max_duration: Duration,
    denial: PermitDenial,
    is_gate_open: bool,
}

/// Guards against requests that wait for owners for longer than 50 ms in all, and against owners that
/// count as silent although they had less time to answer.
#[tokio::test]
async fn a_request_waits_for_an_owner_only_for_the_time_it_has_left() {
    let cases = [
        AskingCase {
            name: "after a wait for another owner",
            time_left: Millis(10),
            max_duration: Duration::from_millis(35),
            denial: PermitDenial::OutOfTime,
            is_gate_open: true,
        },
        AskingCase {
            name: "the first question",
            time_left: ANSWER_TIMEOUT,
            max_duration: Duration::from_millis(500),
            denial: PermitDenial::Cold,
            is_gate_open: false,
        },
    ];
    for case in cases {
        let clock = BootClock::with_source(|| Duration::from_secs(70));
        let upstream = upstream();
        let front = front_of_other(&upstream, clock);
        let permit = obtain_cold_permit(&front, 1, &upstream, case.time_left);
        // Does not fail on a busy machine: an outcome counts even if it is late.
        let permit = tokio::time::timeout(case.max_duration, permit).await;
        assert_eq!(permit, Ok(Err(case.denial)), "{}", case.name);
        let is_open = is_gate_open(&front, &upstream);
        assert_eq!(is_open, case.is_gate_open, "{}", case.name);
    }
}
