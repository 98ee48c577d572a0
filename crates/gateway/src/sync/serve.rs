//! Server of the update feed: responds to peers' requests for store updates.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bergamot_membership::prelude::*;
use bergamot_peer::{UpdateRequest, frame};
use tokio::net::{TcpListener, TcpStream};

use super::board::FeedState;
use crate::connection_set::{ActivityMark, ConnectionSet};
use crate::listen::next_connection;
use crate::shared::SharedState;

/// Time without a request after which a peer's connection is closed. 40 times the period of a live
/// peer's requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for writing a response. A peer that takes longer to receive it has given up the request.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves peers until the process ends.
pub(crate) async fn serve_updates(
    shared: Arc<SharedState>,
    feed_state: Rc<RefCell<FeedState>>,
    presence: Rc<RefCell<PresenceState>>,
    listener: std::net::TcpListener,
) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("event=duty_not_started duty=news reason={error:?}");
            return;
        }
    };
    let mut connections = ConnectionSet::<ActivityMark>::default();
    loop {
        let stream = next_connection(&listener).await;
        let most = shared.resource_shares().feed_connections;
        let (shared, feed_state) = (Arc::clone(&shared), Rc::clone(&feed_state));
        let presence = Rc::clone(&presence);
        connections.admit(most);
        let activity = ActivityMark::default();
        let connection_activity = activity.clone();
        let task = tokio::task::spawn_local(async move {
            let reason = serve_peer(&shared, &feed_state, &presence, stream, &activity).await;
            log::debug!("event=news_connection_ended reason={reason:?}");
        });
        connections.insert(task.abort_handle(), connection_activity);
    }
}

/// Serves one peer until its connection ends. Returns why it ended.
async fn serve_peer(
    shared: &SharedState,
    feed_state: &RefCell<FeedState>,
    presence: &RefCell<PresenceState>,
    mut stream: TcpStream,
    activity: &ActivityMark,
) -> String {
    if let Err(error) = stream.set_nodelay(true) {
        return error.to_string();
    }
    loop {
        let request = tokio::time::timeout(IDLE_TIMEOUT, frame::read_frame(&mut stream)).await;
        let request: UpdateRequest = match request {
            Ok(Ok(request)) => request,
            Ok(Err(error)) => return error.to_string(),
            Err(_) => return "idle".to_owned(),
        };
        activity.touch();
        let now = shared.clock.now();
        let requested = PresenceEvent::Requested(request.requester);
        presence.borrow_mut().handle(now, requested);
        let response = feed_state
            .borrow()
            .respond(&request, now, shared.config_age(now));
        let write = frame::write_frame(&mut stream, &response);
        match tokio::time::timeout(WRITE_TIMEOUT, write).await {
            Ok(Ok(())) => shared.metrics.feed_requests_served.inc(),
            Ok(Err(error)) => return error.to_string(),
            Err(_) => return "timed out writing a response; closing the connection".to_owned(),
        }
    }
}
