//! Answers peers that ask for changes of the store.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bergamot_peer::{UpdateRequest, frame};
use tokio::net::{TcpListener, TcpStream};

use super::board::NewsBoard;
use crate::listen::next_connection;
use crate::shared::SharedState;

/// Time without a question after which a peer's connection is closed: forty times the time between
/// two questions of one that lives.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Time for an answer to leave. A peer that takes longer has given it up.
const WRITE_TIME: Duration = Duration::from_secs(1);

/// Answers peers for as long as the process lives.
pub(crate) async fn serve_news(
    shared: Arc<SharedState>,
    board: Rc<RefCell<NewsBoard>>,
    listener: std::net::TcpListener,
) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("event=duty_not_started duty=news reason={error:?}");
            return;
        }
    };
    loop {
        let stream = next_connection(&listener).await;
        let (shared, board) = (Arc::clone(&shared), Rc::clone(&board));
        tokio::task::spawn_local(async move {
            let reason = answer_peer(&shared, &board, stream).await;
            log::debug!("event=news_connection_ended reason={reason:?}");
        });
    }
}

/// Answers one peer until its connection ends; says why it did.
async fn answer_peer(
    shared: &SharedState,
    board: &RefCell<NewsBoard>,
    mut stream: TcpStream,
) -> String {
    if let Err(error) = stream.set_nodelay(true) {
        return error.to_string();
    }
    loop {
        let question = tokio::time::timeout(IDLE_TIME, frame::read_frame(&mut stream)).await;
        let question: UpdateRequest = match question {
            Ok(Ok(question)) => question,
            Ok(Err(error)) => return error.to_string(),
            Err(_) => return "idle".to_owned(),
        };
        let now = shared.clock.now();
        let answer = board
            .borrow()
            .answer(&question, now, shared.config_age(now));
        let written = frame::write_frame(&mut stream, &answer);
        match tokio::time::timeout(WRITE_TIME, written).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return error.to_string(),
            Err(_) => return "the answer was not taken".to_owned(),
        }
    }
}
