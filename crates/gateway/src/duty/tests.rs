//! Guards against a background loop that ends while the process goes on without it. Inside the
//! crate, as no input from outside is known to end one.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio::sync::mpsc;

use super::{DutyEnd, run_required, run_restarted};
use crate::shared::SharedState;
use crate::test_support as support;

fn shared_state() -> Arc<SharedState> {
    let (stalls, records) = (mpsc::channel(1).0, mpsc::channel(1).0);
    SharedState::new(support::entry_site(), stalls, records)
}

struct RequiredCase {
    name: &'static str,
    is_stopping: bool,
    panics: bool,
    reason: Option<&'static str>,
}

#[tokio::test]
async fn the_end_of_a_required_loop_ends_the_process() {
    let cases = [
        RequiredCase {
            name: "a panic",
            is_stopping: false,
            panics: true,
            reason: Some("broken"),
        },
        RequiredCase {
            name: "a panic during a stop",
            is_stopping: true,
            panics: true,
            reason: Some("broken"),
        },
        RequiredCase {
            name: "a return",
            is_stopping: false,
            panics: false,
            reason: Some("it returned"),
        },
        RequiredCase {
            name: "a return during a stop",
            is_stopping: true,
            panics: false,
            reason: None,
        },
    ];
    for case in cases {
        let shared = shared_state();
        shared.stopping.store(case.is_stopping, Ordering::Relaxed);
        let running = async { assert!(!case.panics, "broken") };
        run_required(Arc::clone(&shared), "store", running).await;
        let expected = case.reason.map(|reason| DutyEnd {
            duty: "store",
            reason: reason.to_owned(),
        });
        assert_eq!(shared.duties.first_end(), expected, "{}", case.name);
        if expected.is_some() {
            shared.duties.wait_end().await;
        }
    }
}

#[tokio::test]
async fn a_loop_whose_state_outlives_it_is_begun_again() {
    let shared = shared_state();
    let runs = Rc::new(Cell::new(0));
    let begin = || {
        let (shared, runs) = (Arc::clone(&shared), Rc::clone(&runs));
        async move {
            runs.set(runs.get() + 1);
            match runs.get() {
                1 => panic!("broken"),
                2 => {}
                _ => shared.stopping.store(true, Ordering::Relaxed),
            }
        }
    };
    run_restarted(Arc::clone(&shared), "sweep", begin).await;
    assert_eq!(runs.get(), 3);
    let restarts = &shared.metrics.duty_restarts;
    assert_eq!(restarts.with_label_values(&["sweep"]).get(), 2);
    assert_eq!(shared.duties.first_end(), None);
}
