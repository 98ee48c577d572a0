//! Forwards requests to other entry VMs while this VM reaches no upstream.

use std::rc::Rc;

use bergamot_bounded::status::is_final;
use bergamot_ports::{CallerDialect, RouteKind};
use bergamot_routing::PeerDecline;
use bergamot_types::prelude::*;
use hyper::Request;
use hyper::http::response::Parts as ReplyParts;

use super::super::FrontContext;
use super::super::answer::CallerAnswer;
use super::super::attempt::SentRequest;
use super::super::deadline::{DeadlinePassed, with_deadline};
use super::super::gates::record_availability;
use super::super::held::{HeldBody, ReplyBody};
use super::super::large::pass_on;
use super::super::pool::UpstreamConnection;
use super::super::refusal::{CallRefusal, RETURN_NO_UPSTREAM, RETURN_SPREAD};
use super::super::state::CallState;
use super::PeerFlight;
use super::choose::{PeerChoice, PeerTarget, next_peer};
use super::context::{ForwardContext, ForwardVerdict, take_reaches_none, take_upstream};

/// How many VMs that may reach upstreams a request is offered to, one after another. Those that reach
/// none do not count: each is asked again only after a while, by whichever request comes first.
const MAX_OFFERS: usize = 4;

/// An answer of another VM whose body is not read yet. Closes its connection when dropped, so that
/// the VM stops working on the request.
pub struct PeerReply {
    /// The VM.
    pub vm: VmId,
    /// The answer's head, without what is meant for this VM.
    pub head: ReplyParts,
    /// The answer's body.
    pub body: ReplyBody,
    connection: UpstreamConnection,
    _flight: PeerFlight,
}

impl PeerReply {
    /// Returns the connection to the pool after the whole body was read.
    pub fn finish<Dialect>(self, front: &FrontContext<Dialect>) {
        let pool = &front.forwards.pool;
        pool.give_back(&self.vm, self.connection, None);
    }
}

/// The outcome of forwarding a request.
pub enum ForwardOutcome {
    /// The head of a successful event stream arrived.
    Opened(Box<PeerReply>),
    /// An upstream's complete answer, or a refusal of a request that has not run.
    Answered(CallerAnswer),
    /// An upstream's complete answer with a 5xx status.
    ErrorAnswer(CallerAnswer),
    /// The request may have run, and has no answer.
    Lost,
    /// This VM refuses the request: no VM takes it, or it may not be sent again.
    Refused(CallRefusal),
    /// This VM sends the request itself.
    NotForwarded,
}

/// Whether requests of this VM's callers are forwarded now.
pub fn must_forward<Dialect>(front: &FrontContext<Dialect>, state: &CallState) -> bool {
    !state.is_forwarded && front.monitor.borrow().partition.is_partitioned()
}

/// Offers a request to other VMs until one takes it, and waits for the head of its answer.
/// `resume_after` is the last event that the caller has received.
pub async fn forward<Dialect>(
    front: &Rc<FrontContext<Dialect>>,
    request: &SentRequest,
    state: &mut CallState,
    resume_after: Option<u64>,
) -> ForwardOutcome
where
    Dialect: CallerDialect + 'static,
{
    let mut offered: Vec<String> = Vec::new();
    let mut refused_offers = 0;
    let mut reach_none = false;
    while refused_offers < MAX_OFFERS {
        let target = match next_peer(front, request, state, &offered) {
            Ok(PeerChoice::Offer(target)) => target,
            Ok(PeerChoice::NoneLeft { reach_none: none }) => {
                reach_none = none;
                break;
            }
            Err(refusal) => return ForwardOutcome::Refused(refusal),
        };
        offered.push(target.vm.to_string());
        match offer(front, request, state, &target, resume_after).await {
            Ok(reply) => return receive(front, request, state, reply).await,
            Err(OfferError::Declined(decline, reason)) => {
                refused_offers += usize::from(decline != PeerDecline::ReachesNone);
                let now = front.now();
                let mut peers = front.forwards.peers.borrow_mut();
                peers.record_declined(target.vm.as_str(), decline, now);
                drop(peers);
                count(front, ForwardVerdict::Declined.as_str());
                log::info!(
                    "event=forward_declined request={} vm={} reason={reason:?}",
                    request.call.id,
                    target.vm
                );
            }
            Err(OfferError::Lost(reason)) => {
                record_lost(front, request, state, &target.vm, &reason);
                return ForwardOutcome::Lost;
            }
        }
    }
    log::info!(
        "event=no_peer_takes request={} offers={} reach_none={reach_none}",
        request.call.id,
        offered.len()
    );
    // If no VM reaches an upstream, the upstreams are silent rather than all links cut. They may go on
    // in a moment, so the request waits at one of them. Otherwise connections from before the partition
    // may still serve it. A VM without others has no other way than to try, and learns so that the
    // partition has ended.
    let is_silent = front.monitor.borrow().partition.is_silent();
    if reach_none || !is_silent || !has_takers(front) {
        return ForwardOutcome::NotForwarded;
    }
    let jitter = Millis(rand::random_range(0..=RETURN_SPREAD.0));
    let delay = RETURN_NO_UPSTREAM + jitter;
    ForwardOutcome::Refused(CallRefusal::retry_in(
        ErrorKind::UpstreamsUnreachable,
        delay,
    ))
}

/// Whether any other VM accepts forwarded requests.
fn has_takers<Dialect>(front: &FrontContext<Dialect>) -> bool {
    let view = front.shared.view.load();
    let own = front.shared.site.vm.as_str();
    let mut entries = view.entries.values();
    entries.any(|entry| entry.forwarding.is_some() && entry.vm != own)
}

enum OfferError {
    /// The VM did not take the request, so it has not run there.
    Declined(PeerDecline, String),
    /// The request may have run.
    Lost(String),
}

/// Sends a request to another VM and waits for the head of the answer.
async fn offer<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    state: &CallState,
    target: &PeerTarget,
    resume_after: Option<u64>,
) -> Result<PeerReply, OfferError>
where
    Dialect: CallerDialect,
{
    let flight = PeerFlight::enter(&front.forwards.peers, &target.vm);
    let connection = match front.forwards.pool.take_idle(&target.vm) {
        Some(connection) => Ok(connection),
        None => front.forwards.pool.connect_new(target.addr).await,
    };
    let not_asked = |reason: String| OfferError::Declined(PeerDecline::NotAsked, reason);
    let mut connection = connection.map_err(|error| not_asked(error.to_string()))?;
    let now = front.now();
    let context = ForwardContext {
        vm: front.shared.site.vm.to_string(),
        elapsed: now.since(state.arrived),
        time_left: state.deadline.since(now),
        possible_runs: state.possible_runs.clone(),
        arrivals: u32::try_from(state.arrivals).unwrap_or(u32::MAX),
        resume_after,
    };
    let mut outgoing = Request::new(request.body.to_outgoing());
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    *outgoing.headers_mut() = front.dialect.peer_headers(&request.headers);
    context.insert_into(outgoing.headers_mut(), target.secret);
    state.trace.record_forwarded();
    let sending = connection.sender.try_send_request(outgoing);
    let reply = with_deadline(front.shared.clock, state.deadline, sending).await;
    let reply = match reply {
        Err(DeadlinePassed) => {
            let reason = "no answer head arrived before the deadline";
            return Err(OfferError::Lost(reason.to_owned()));
        }
        Ok(Ok(reply)) => reply,
        Ok(Err(mut error)) => {
            let reason = error.error().to_string();
            return Err(match error.take_message() {
                Some(_) => not_asked(reason),
                None => OfferError::Lost(reason),
            });
        }
    };
    let (mut head, body) = reply.into_parts();
    if !is_final(head.status) {
        let status = head.status.as_u16();
        return Err(OfferError::Lost(format!(
            "the status {status} ends no exchange"
        )));
    }
    let body = ReplyBody::new(body, connection.meter.clone());
    let upstream = take_upstream(&mut head.headers);
    if let Some(upstream) = upstream.and_then(|id| listed_incarnation(front, &id)) {
        // What the upstream announces of itself binds this VM too.
        let facts = front.dialect.reply_facts(&request.call.id, &head);
        record_availability(front, &upstream, &facts);
    }
    let decline = match take_reaches_none(&mut head.headers) {
        true => PeerDecline::ReachesNone,
        false => PeerDecline::Other,
    };
    match ForwardVerdict::take_from(&mut head.headers) {
        Some(ForwardVerdict::Declined) => {
            let reason = format!("status {}", head.status);
            Err(OfferError::Declined(decline, reason))
        }
        Some(ForwardVerdict::Lost) | None => {
            Err(OfferError::Lost(format!("status {}", head.status)))
        }
        Some(ForwardVerdict::Answered | ForwardVerdict::Refused) => Ok(PeerReply {
            vm: target.vm.clone(),
            head,
            body,
            connection,
            _flight: flight,
        }),
    }
}

fn listed_incarnation<Dialect>(
    front: &FrontContext<Dialect>,
    id: &UpstreamId,
) -> Option<UpstreamIncarnation> {
    let view = front.shared.view.load();
    view.upstreams
        .get(id)
        .map(|entry| entry.incarnation.clone())
}

/// Passes on the answer of another VM: as a stream, or read to its end.
async fn receive<Dialect>(
    front: &Rc<FrontContext<Dialect>>,
    request: &SentRequest,
    state: &mut CallState,
    reply: PeerReply,
) -> ForwardOutcome
where
    Dialect: CallerDialect + 'static,
{
    let id = &request.call.id;
    let status = reply.head.status;
    let is_signed = front.dialect.reply_facts(id, &reply.head).is_signed;
    if state.route.kind == RouteKind::Streaming && status.is_success() {
        record_run(state, &reply.vm);
        count(front, "opened");
        return ForwardOutcome::Opened(Box::new(reply));
    }
    let PeerReply {
        vm,
        head,
        mut body,
        connection,
        _flight: flight,
    } = reply;
    let clock = front.shared.clock;
    let reading = HeldBody::read(&mut body, &front.held);
    let held_body = with_deadline(clock, state.deadline, reading).await;
    let held_body = match held_body {
        Ok(Ok(held_body)) => held_body,
        Ok(Err(error)) => {
            record_lost(front, request, state, &vm, &error.to_string());
            return ForwardOutcome::Lost;
        }
        Err(DeadlinePassed) => {
            record_lost(front, request, state, &vm, "the answer did not end in time");
            return ForwardOutcome::Lost;
        }
    };
    count(front, ForwardVerdict::Answered.as_str());
    log::info!(
        "event=forwarded request={id} vm={vm} status={} waited={}",
        status.as_u16(),
        front.now().since(state.arrived)
    );
    let answer_body = match held_body.is_whole {
        true => {
            front.forwards.pool.give_back(&vm, connection, None);
            drop(flight);
            held_body.into_answer_body()
        }
        false => {
            let finish = async move |_end| drop((flight, connection));
            pass_on(front, state.deadline, held_body.into_bytes(), body, finish)
        }
    };
    let mut answer = CallerAnswer::new(answer_body);
    *answer.status_mut() = status;
    *answer.headers_mut() = front.dialect.answer_headers(&head);
    if is_signed && status.is_server_error() {
        record_run(state, &vm);
        return ForwardOutcome::ErrorAnswer(answer);
    }
    let outcome = if status.is_success() {
        "ok"
    } else {
        "forwarded"
    };
    front.count_outcome(state.route.kind, outcome);
    ForwardOutcome::Answered(answer)
}

/// Records that a request may have run at an upstream that another VM sent it to.
pub fn record_run(state: &mut CallState, vm: &VmId) {
    let unknown = UpstreamIncarnation::new(UpstreamId::new(&format!("by-{vm}")), None);
    state.tried.push(unknown.clone());
    state.possible_runs.push(unknown);
    state.arrivals += 1;
}

fn record_lost<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    state: &mut CallState,
    vm: &VmId,
    reason: &str,
) {
    record_run(state, vm);
    count(front, ForwardVerdict::Lost.as_str());
    log::info!(
        "event=forward_lost request={} vm={vm} reason={reason:?} waited={}",
        request.call.id,
        front.now().since(state.arrived)
    );
}

fn count<Dialect>(front: &FrontContext<Dialect>, outcome: &str) {
    let forwards = &front.shared.metrics.forwards;
    forwards.with_label_values(&[outcome]).inc();
}
