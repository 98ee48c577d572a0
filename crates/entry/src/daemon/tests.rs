//! Guards against a duty that ends while the process goes on without it. Inside the crate, as no input
//! from outside is known to end one.

use std::time::{Duration, Instant};

use super::EntryDaemon;
use crate::settings::EntrySettings;

struct DutyCase {
    name: &'static str,
    /// The panic of the duty; it returns if there is none.
    panic: Option<&'static str>,
    reason: &'static str,
}

#[test]
fn the_end_of_a_duty_is_known() {
    let cases = [
        DutyCase {
            name: "a panic",
            panic: Some("broken"),
            reason: "broken",
        },
        DutyCase {
            name: "a return",
            panic: None,
            reason: "it returned",
        },
    ];
    for case in cases {
        let any_port = ([127, 0, 0, 1], 0).into();
        let settings = EntrySettings {
            caller_addr: any_port,
            peer_addr: any_port,
            admin_addr: any_port,
            ..EntrySettings::sample()
        };
        let mut daemon = EntryDaemon::start(settings).expect("the daemon starts");
        assert_eq!(daemon.duty_end(), None, "{}", case.name);
        let panic = case.panic;
        let duty =
            move |_| async move { assert!(panic.is_none(), "{}", panic.unwrap_or_default()) };
        daemon.spawn("test", duty).expect("the thread starts");
        let started_at = Instant::now();
        while daemon.duty_end().is_none() && started_at.elapsed() < Duration::from_secs(10) {
            std::thread::sleep(Duration::from_millis(10));
        }
        let end = daemon.duty_end().expect("the end is recorded");
        assert_eq!(
            (end.duty, end.reason.as_str()),
            ("test", case.reason),
            "{}",
            case.name
        );
        daemon.stop(|| true);
    }
}
