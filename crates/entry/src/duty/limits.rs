//! The limits duty: samples demand and borrows from peers.

use std::sync::Arc;
use std::time::Duration;

use bergamot_peer::{Answer, Question};
use bergamot_routing::LoanReply;

use super::shared::SharedState;
use crate::control::ControlEvent;

/// Time between two ticks of routing.
const ROUTING_TICK: Duration = Duration::from_millis(50);

/// Runs until it is dropped.
pub async fn run(shared: Arc<SharedState>) {
    let mut ticks = tokio::time::interval(ROUTING_TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = shared.clock.now();
        let (questions, slack) = {
            let mut routing = shared.routing.lock();
            (routing.tick(now), routing.slack(now))
        };
        shared.tell_control(ControlEvent::Slack(slack));
        for (lender, question) in questions {
            let Some(addr) = shared.peer_addr(&lender) else {
                continue;
            };
            let shared = Arc::clone(&shared);
            tokio::spawn(async move {
                let (account, serial) = (question.account.clone(), question.serial);
                let question = Question::Borrow {
                    account: question.account,
                    wanted: question.wanted,
                    epoch: question.epoch,
                    roll: question.roll,
                };
                let asked = shared.clock.now();
                if let Some(Answer::Lent { lent, loan }) = shared.ask_peer(addr, question).await {
                    let now = shared.clock.now();
                    let answer = LoanReply {
                        account,
                        serial,
                        lent,
                        loan,
                    };
                    shared.routing.lock().accept_loan(now, asked, &answer);
                }
            });
        }
    }
}
