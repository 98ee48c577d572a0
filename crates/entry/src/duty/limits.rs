//! The limits duty: samples the demand of client accounts and borrows shares of their limits from
//! peers.

use std::sync::Arc;
use std::time::Duration;

use bergamot_peer::{Answer, Question};
use bergamot_routing::LoanReply;

use super::shared::SharedState;
use crate::control::ControlEvent;

/// Interval between ticks of the routing state.
const ROUTING_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the duty until the task is dropped.
pub async fn run(shared: Arc<SharedState>) {
    let mut interval = tokio::time::interval(ROUTING_TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let now = shared.clock.now();
        let (loan_requests, slack) = {
            let mut routing = shared.routing.lock();
            (routing.tick(now), routing.slack(now))
        };
        shared.send_control(ControlEvent::Slack(slack));
        for (lender, loan_request) in loan_requests {
            let Some(addr) = shared.peer_addr(&lender) else {
                continue;
            };
            let shared = Arc::clone(&shared);
            tokio::spawn(async move {
                let (account, serial) = (loan_request.account.clone(), loan_request.serial);
                let question = Question::Borrow {
                    account: loan_request.account,
                    wanted: loan_request.wanted,
                    epoch: loan_request.epoch,
                    roll: loan_request.roll,
                };
                let asked_at = shared.clock.now();
                if let Some(Answer::Lent { lent, loan }) = shared.ask_peer(addr, question).await {
                    let now = shared.clock.now();
                    let loan_reply = LoanReply {
                        account,
                        serial,
                        lent,
                        loan,
                    };
                    shared
                        .routing
                        .lock()
                        .accept_loan(now, asked_at, &loan_reply);
                }
            });
        }
    }
}
