//! The peer duty: exchanges datagrams with peers, sends them questions and answers theirs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bergamot_gateway::listen::next_connection;
use bergamot_peer::{
    Answer, Datagram, MAX_DATAGRAM_BYTES, Question, decode, encode, read_frame, write_frame,
};
use bergamot_quarantine::QuarantineEvent;
use bergamot_routing::LoanRequest;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::oneshot;

use super::shared::{ClaimsInbox, ControlInbox, PeerTask, SharedState};
use crate::control::ControlEvent;
use crate::ring::RingReceiver;

/// Bound on the idle connections in the pool per peer.
const MAX_IDLE_PER_PEER: usize = 8;
/// Size of the receive buffer; longer datagrams are truncated.
const RECEIVE_BUFFER_BYTES: usize = 2_048;
/// Closes an accepted connection on which no question arrives for this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Idle outgoing connections by peer address.
type Pool = Arc<Mutex<IndexMap<SocketAddr, Vec<TcpStream>>>>;

/// Runs the duty until the task ring is closed.
pub async fn run(
    shared: Arc<SharedState>,
    mut tasks: RingReceiver<PeerTask>,
    socket: UdpSocket,
    listener: TcpListener,
) {
    let socket = Arc::new(socket);
    let pool: Pool = Arc::default();
    let receiving = receive_loop(Arc::clone(&shared), Arc::clone(&socket));
    shared.spawn_required("peer_datagrams", receiving);
    let accepting = accept_loop(Arc::clone(&shared), listener);
    shared.spawn_required("peer_connections", accepting);
    while let Some(task) = tasks.recv().await {
        match task {
            PeerTask::Send(to, datagram) => send(&shared, &socket, to, *datagram).await,
            PeerTask::Ask(to, question, reply) => {
                let shared = Arc::clone(&shared);
                let pool = Arc::clone(&pool);
                tokio::spawn(async move {
                    let _ = reply.send(ask(&shared, &pool, to, &question).await);
                });
            }
        }
    }
}

fn count_bytes(shared: &SharedState, direction: &str, bytes: usize) {
    let counter = &shared.metrics.peer_bytes;
    counter.with_label_values(&[direction]).inc_by(bytes as u64);
}

fn count_message(shared: &SharedState, kind: &str, direction: &str) {
    let counter = &shared.metrics.peer_messages;
    counter.with_label_values(&[kind, direction]).inc();
}

fn count_drop(shared: &SharedState, reason: &str) {
    shared.metrics.dropped.with_label_values(&[reason]).inc();
}

async fn send(shared: &SharedState, socket: &UdpSocket, to: SocketAddr, mut datagram: Datagram) {
    loop {
        let Ok(bytes) = encode(&datagram) else {
            return;
        };
        if bytes.len() > MAX_DATAGRAM_BYTES {
            // Drops a quarter of the evidence, the least important part of a datagram.
            let kept_len = datagram.evidence.len() * 3 / 4;
            let can_shrink = kept_len < datagram.evidence.len();
            datagram.evidence.truncate(kept_len);
            if can_shrink {
                continue;
            }
            count_drop(shared, "datagram_too_large");
            return;
        }
        count_bytes(shared, "out", bytes.len());
        count_message(shared, "datagram", "out");
        if let Err(error) = socket.send_to(&bytes, to).await {
            log::debug!("event=datagram_not_sent to={to} reason={error:?}");
        }
        return;
    }
}

async fn receive_loop(shared: Arc<SharedState>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        let Ok((size, from)) = socket.recv_from(&mut buffer).await else {
            // A send to a peer that is down can make the next receive fail. The socket stays usable.
            continue;
        };
        count_bytes(&shared, "in", size);
        match decode::<Datagram>(&buffer[..size]) {
            Ok(datagram) => {
                count_message(&shared, "datagram", "in");
                shared.send_control(ControlEvent::Datagram(Box::new(datagram), from));
            }
            Err(error) => {
                count_drop(&shared, "datagram_unreadable");
                log::debug!("event=datagram_dropped from={from} reason={error:?}");
            }
        }
    }
}

async fn ask(
    shared: &SharedState,
    pool: &Pool,
    to: SocketAddr,
    question: &Question,
) -> Option<Answer> {
    let timeout = shared.settings.tuning.peer_timeout.as_duration();
    count_message(shared, "question", "out");
    let pooled = pool.lock().get_mut(&to).and_then(Vec::pop);
    let exchange = async {
        let mut stream = match pooled {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect(to).await?;
                stream.set_nodelay(true)?;
                stream
            }
        };
        write_frame(&mut stream, question).await?;
        let answer: Answer = read_frame(&mut stream).await?;
        Ok::<_, bergamot_peer::Error>((stream, answer))
    };
    match tokio::time::timeout(timeout, exchange).await {
        Ok(Ok((stream, answer))) => {
            let mut pool = pool.lock();
            let idle_streams = pool.entry(to).or_default();
            if idle_streams.len() < MAX_IDLE_PER_PEER {
                idle_streams.push(stream);
            }
            Some(answer)
        }
        Ok(Err(error)) => {
            // The pooled connections to this peer have probably failed too, so they are dropped.
            pool.lock().swap_remove(&to);
            log::debug!("event=peer_question_failed to={to} reason={error:?}");
            None
        }
        Err(_) => None,
    }
}

async fn accept_loop(shared: Arc<SharedState>, listener: TcpListener) {
    loop {
        let stream = next_connection(&listener).await;
        let _ = stream.set_nodelay(true);
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            if let Err(error) = serve_connection(&shared, stream).await {
                log::trace!("event=peer_connection_ended reason={error:?}");
            }
        });
    }
}

async fn serve_connection(
    shared: &Arc<SharedState>,
    mut stream: TcpStream,
) -> Result<(), bergamot_peer::Error> {
    loop {
        let question = match tokio::time::timeout(IDLE_TIMEOUT, read_frame(&mut stream)).await {
            Ok(Ok(question)) => question,
            Ok(Err(error)) => {
                if !matches!(error, bergamot_peer::Error::Io(_)) {
                    count_drop(shared, "frame_unreadable");
                }
                return Err(error);
            }
            Err(_) => return Ok(()),
        };
        count_message(shared, "question", "in");
        // A grant that the claimant does not receive would leave the key in progress. The note keeps
        // the process from exiting before the answer is written.
        let note = matches!(question, Question::Claim(_)).then(|| shared.claim_note());
        let answer = answer(shared, question).await;
        write_frame(&mut stream, &answer).await?;
        drop(note);
    }
}

async fn answer(shared: &Arc<SharedState>, question: Question) -> Answer {
    match question {
        Question::Roll { newer_than } => {
            let view = shared.view.load();
            let newer = view
                .active_bundle
                .as_ref()
                .filter(|force| force.record.number > newer_than);
            Answer::Roll(newer.map(|force| Box::new((force.record.clone(), force.signed.clone()))))
        }
        Question::Roster => Answer::Roster((*shared.view.load().roster).clone()),
        Question::Groups => {
            let (sender, receiver) = oneshot::channel();
            shared.control.push(ControlInbox::Groups(sender));
            Answer::Groups(receiver.await.unwrap_or_default())
        }
        Question::Borrow {
            account,
            wanted,
            epoch,
            roll,
        } => {
            let now = shared.clock.now();
            let loan_request = LoanRequest {
                account,
                wanted,
                epoch,
                roll,
                serial: 0,
            };
            let loan_reply = shared.routing.lock().lend(now, &loan_request);
            Answer::Lent {
                lent: loan_reply.lent,
                loan: loan_reply.loan,
            }
        }
        Question::Crash(record) => {
            let now = shared.clock.now();
            let event = QuarantineEvent::Reported(&record);
            shared.quarantine.lock().handle(now, event);
            Answer::Noted
        }
        question => {
            let (sender, receiver) = oneshot::channel();
            shared.claims.push(ClaimsInbox::Peer(question, sender));
            receiver.await.unwrap_or(Answer::Refused)
        }
    }
}
