//! Guards against a request that is sent although its home regions changed after the selection of
//! its upstream, and against home regions of another route or account. Other processes cannot time
//! such changes, so these tests are inside the crate.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use bergamot_ports::{
    AccountGrant, CallerCall, CallerDialect, HomeRegions, OutgoingContext, RefusalContext,
    ReplyFacts, Route, RouteKind, ServingConfig, UpstreamEntry, VmSite,
};
use bergamot_routing::{DispatchedRequest, RouteUpstream};
use bergamot_types::AccountToken;
use bergamot_types::prelude::*;
use bytes::Bytes;
use hyper::http::{request, response};
use hyper::{HeaderMap, Request, Response};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::{LatestHomes, allowed_domains};
use crate::front::FrontContext;
use crate::front::admit::AdmittedCaller;
use crate::front::attempt::{AttemptError, SentRequest, send};
use crate::front::permits::SendPermit;
use crate::shared::SharedState;
use crate::test_support as support;
use crate::view::ClusterView;

/// How long the upstream waits for a request.
const READ_TIMEOUT: Duration = Duration::from_millis(200);

/// Sends requests without headers. Answers are never read.
struct BareDialect;

impl CallerDialect for BareDialect {
    fn read_call(&self, _: &request::Parts) -> Result<CallerCall, ErrorKind> {
        Err(ErrorKind::BadRequest)
    }

    fn outgoing_headers(&self, _: &CallerCall, _: &OutgoingContext<'_>) -> HeaderMap {
        HeaderMap::new()
    }

    fn reply_facts(&self, _: &RequestId, _: &response::Parts) -> ReplyFacts {
        unreachable!("no upstream of this test answers")
    }

    fn report_request(&self, _: &UpstreamEntry) -> Request<()> {
        Request::new(())
    }

    fn peer_headers(&self, _: &HeaderMap) -> HeaderMap {
        HeaderMap::new()
    }

    fn answer_headers(&self, _: &response::Parts) -> HeaderMap {
        HeaderMap::new()
    }

    fn refusal(&self, _: &RefusalContext<'_>) -> Response<String> {
        Response::default()
    }
}

fn route(homes: &[&str]) -> Route {
    let homes = homes.iter().map(|name| Region::new(name));
    Route {
        name: "bid".to_owned(),
        prefix: "/bid/".to_owned(),
        kind: RouteKind::NonIdempotent,
        timeout: Millis(1_000),
        objective: Millis(1_000),
        pause_objective: None,
        max_attempts: 1,
        priority: 0,
        is_public: true,
        is_resumable: false,
        targets: Vec::new(),
        home_regions: homes.collect::<HomeRegions>(),
    }
}

fn config(version: u64, routes: Vec<Route>) -> ServingConfig {
    let config = ServingConfig {
        version,
        hosts: [("h".to_owned(), routes)].into(),
        ..ServingConfig::default()
    };
    config.mark_home_regions()
}

fn new_front() -> FrontContext<BareDialect> {
    let domains = [("east", "north"), ("west", "south")];
    let regions = domains.map(|(domain, region)| (FailureDomain::new(domain), Region::new(region)));
    let site = VmSite {
        regions: regions.into_iter().collect(),
        ..support::entry_site()
    };
    let shared = SharedState::new(site, mpsc::channel(1).0, mpsc::channel(1).0);
    let (crashes, stalls, quotas) = (mpsc::channel(1).0, mpsc::channel(1).0, mpsc::channel(1).0);
    FrontContext::new(shared, BareDialect, crashes, stalls, quotas)
}

fn new_request(admitted_under: &Route) -> SentRequest {
    let head = Request::post("/bid/a").body(()).expect("a valid request");
    let call = CallerCall {
        id: RequestId::new("r"),
        host: "h".to_owned(),
        key: None,
        deadline: None,
        model: None,
        resume_after: None,
        tokens: None,
        shared_parts: Ok(Vec::new()),
        headers: HeaderMap::new(),
    };
    let caller = AdmittedCaller {
        account: None,
        priority: 0,
        homes: LatestHomes::new(admitted_under, None),
    };
    SentRequest::new(
        head.into_parts().0,
        Bytes::from_static(b"17").into(),
        call,
        caller,
    )
}

/// Sends a request to an upstream in the region `north`. Returns the outcome and what arrived.
async fn send_once(
    front: &FrontContext<BareDialect>,
    request: &SentRequest,
) -> (AttemptError, String) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await;
    let listener = listener.expect("a port is free");
    let upstream = RouteUpstream {
        incarnation: UpstreamIncarnation::new(UpstreamId::new("u"), None),
        addr: listener.local_addr().expect("the listener has an address"),
        failure_domain: FailureDomain::new("east"),
        slots: 4,
        group: None,
        speed: None,
    };
    let arrival = tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("the sender connects");
        let mut buffer = vec![0; 1_024];
        // A request that is held back leaves its connection open.
        let read = tokio::time::timeout(READ_TIMEOUT, stream.read(&mut buffer)).await;
        let length = read.map_or(0, |read| read.unwrap_or(0));
        String::from_utf8_lossy(&buffer[..length]).into_owned()
    });
    let run = DispatchedRequest {
        sent_at: front.now(),
        expected_first_event: Millis::ZERO,
        is_last: true,
    };
    let permit = SendPermit::FREE;
    let sent = send(front, request, &upstream, permit, run, Millis(500), None).await;
    let error = sent.err().expect("the upstream does not answer");
    (error, arrival.await.expect("the upstream's task completes"))
}

struct ChangeCase {
    name: &'static str,
    selected_under: ServingConfig,
    sent_under: ServingConfig,
    is_sent: bool,
}

#[test]
fn a_request_whose_home_regions_changed_after_the_selection_is_held_back() {
    let (anywhere, north, south) = (route(&[]), route(&["north"]), route(&["south"]));
    let cases = [
        ChangeCase {
            name: "the same configuration",
            selected_under: config(1, vec![north.clone()]),
            sent_under: config(1, vec![north.clone()]),
            is_sent: true,
        },
        ChangeCase {
            name: "a newer one that still allows the upstream",
            selected_under: config(1, vec![anywhere.clone()]),
            sent_under: config(2, vec![north.clone()]),
            is_sent: true,
        },
        ChangeCase {
            name: "a newer one that no longer does",
            selected_under: config(1, vec![anywhere.clone()]),
            sent_under: config(2, vec![south]),
            is_sent: false,
        },
        ChangeCase {
            name: "a newer one without the route, which keeps its home regions",
            selected_under: config(1, vec![north]),
            sent_under: config(2, Vec::new()),
            is_sent: true,
        },
    ];
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().expect("runtime starts");
    for case in cases {
        let front = new_front();
        let request = new_request(&case.selected_under.hosts["h"][0]);
        let selected = allowed_domains(&front, &case.selected_under, &request);
        assert!(selected.is_ok(), "{}: {selected:?}", case.name);
        front.shared.publish(ClusterView {
            config: Some(Arc::new(case.sent_under)),
            ..ClusterView::default()
        });
        let sending = tokio::task::LocalSet::new();
        let sending = sending.block_on(&runtime, send_once(&front, &request));
        let (error, arrived) = sending;
        let is_held_back = matches!(error, AttemptError::HeldBack);
        assert_eq!(is_held_back, !case.is_sent, "{}: {error}", case.name);
        assert_eq!(
            arrived.is_empty(),
            !case.is_sent,
            "{}: {arrived}",
            case.name
        );
    }
}

#[test]
fn a_route_that_is_gone_keeps_the_home_regions_of_its_waiting_requests() {
    let front = new_front();
    let south = route(&["south"]);
    let request = new_request(&south);
    let without_route = config(2, Vec::new());
    let west = FailureDomain::new("west");
    assert!(!without_route.has_home_regions);
    assert_eq!(
        allowed_domains(&front, &without_route, &request),
        Ok(Some(vec![&west]))
    );
}

struct LookupCase {
    name: &'static str,
    /// Home regions of the account `a` at admission.
    account: &'static [&'static str],
    /// The configurations in which the request is looked up, in order.
    configs: Vec<ServingConfig>,
    allowed: Option<&'static str>,
}

fn grant(account: &str, homes: &[&str]) -> AccountGrant {
    AccountGrant {
        account: ClientAccount::new(account),
        priority: None,
        home_regions: homes.iter().map(|name| Region::new(name)).collect(),
    }
}

fn with_grant(config: ServingConfig, grant: AccountGrant) -> ServingConfig {
    let accounts = Some([(AccountToken::new("key"), grant)].into());
    ServingConfig { accounts, ..config }.mark_home_regions()
}

#[test]
fn only_the_admitted_route_and_account_change_the_home_regions_of_a_request() {
    let fallback = Route {
        name: "fallback".to_owned(),
        prefix: "/".to_owned(),
        ..route(&[])
    };
    let north = || config(2, vec![route(&["north"])]);
    let cases = [
        LookupCase {
            name: "a less specific route without home regions is found instead",
            account: &[],
            configs: vec![north(), config(3, vec![fallback.clone()])],
            allowed: Some("east"),
        },
        LookupCase {
            name: "the route gets home regions and is removed",
            account: &[],
            configs: vec![north(), config(3, Vec::new())],
            allowed: Some("east"),
        },
        LookupCase {
            name: "the route no longer has home regions",
            account: &[],
            configs: vec![north(), config(3, vec![route(&[])])],
            allowed: None,
        },
        LookupCase {
            name: "the key moves to an account without home regions",
            account: &["south"],
            configs: vec![with_grant(config(2, vec![route(&[])]), grant("b", &[]))],
            allowed: Some("west"),
        },
        LookupCase {
            name: "the account gets home regions and its key moves",
            account: &[],
            configs: vec![
                with_grant(config(2, vec![route(&[])]), grant("a", &["south"])),
                with_grant(config(3, vec![route(&[])]), grant("b", &["north"])),
            ],
            allowed: Some("west"),
        },
    ];
    let front = new_front();
    for case in cases {
        let mut request = new_request(&route(&[]));
        request.call.key = Some(AccountToken::new("key"));
        let admitted = LatestHomes::new(&route(&[]), Some(&grant("a", case.account)));
        request.homes = RefCell::new(admitted);
        let lookups = case.configs.iter();
        let allowed = lookups.map(|config| allowed_domains(&front, config, &request));
        let domain = case.allowed.map(FailureDomain::new);
        let expected = domain.as_ref().map(|domain| vec![domain]);
        assert_eq!(allowed.last(), Some(Ok(expected)), "{}", case.name);
    }
}

#[test]
fn nothing_is_looked_up_where_the_configuration_has_no_home_region() {
    let front = new_front();
    let unrestricted = config(1, vec![route(&[])]);
    assert!(!unrestricted.has_home_regions);
    // Not marked as restricted, so a lookup of the route would be noticed.
    let unmarked = ServingConfig {
        has_home_regions: false,
        ..config(1, vec![route(&["south"])])
    };
    let request = new_request(&route(&[]));
    assert_eq!(allowed_domains(&front, &unmarked, &request), Ok(None));
}
