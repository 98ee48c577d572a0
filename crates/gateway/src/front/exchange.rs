//! Datagrams between entry VMs: what each has in flight at leaders, leaders that stand still, doubts for the groups' duty,
//! and requests under which upstreams ended.

use std::net::SocketAddr;
use std::rc::Rc;

use bergamot_feed::PeerDescriptor;
use bergamot_occupancy::{LOAD_REPORT_PERIOD, OccupancyAction, OccupancyEvent, RelayHop};
use bergamot_peer::{
    CrashNotice, LeaderStall, LeaderStallNotice, LimitNotice, MAX_DATAGRAM_BYTES, PeerNotice,
    SuspicionNotice, frame,
};
use bergamot_quarantine::{QuarantineEvent, QuarantineRecord};
use bergamot_quota::{LimitReport, QuotaAction, QuotaEvent};
use bergamot_routing::StallNotice;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use super::FrontContext;
use super::limits::act;
use super::permits::{QuotaNews, settle};
use crate::view::ClusterView;

/// Periods in a row without anything in flight after which peers are told no more.
const IDLE_PERIODS: u32 = 4;

/// A notice and the entry VM that it is for.
struct AddressedNotice {
    vm: String,
    notice: PeerNotice,
}

/// Tells peers what is in flight from here, `crash_news` and `still_news`, and takes in what they tell, until the process ends. Doubts
/// about leaders are passed on to the groups' duty by `doubts`.
pub async fn exchange<Dialect>(
    front: Rc<FrontContext<Dialect>>,
    socket: UdpSocket,
    doubts: mpsc::Sender<SuspicionNotice>,
    mut crash_news: mpsc::Receiver<QuarantineRecord>,
    mut still_news: mpsc::Receiver<LeaderStall>,
    mut quota_news: mpsc::Receiver<QuotaNews>,
) {
    let mut periods = tokio::time::interval(LOAD_REPORT_PERIOD.as_duration());
    periods.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut changes = front.shared.view_changed.subscribe();
    let mut buffer = [0_u8; MAX_DATAGRAM_BYTES];
    let mut idle = 0;
    loop {
        let notices = tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                receive(&front, &buffer, received, &doubts)
            }
            _ = periods.tick() => to_notices(tick(&front, &mut idle)),
            Some(record) = crash_news.recv() => tell_crash(&front, &record),
            Some(stall) = still_news.recv() => {
                let hops = front.book.borrow().occupancy.origin_hops(front.now());
                address_silence(&front, hops, stall)
            }
            Some(news) = quota_news.recv() => tell_quota(&front, news),
            changed = changes.changed() => {
                if changed.is_err() {
                    return;
                }
                let view = front.shared.view.load();
                front.book.borrow_mut().occupancy.set_peers(places(&view));
                let vms = places(&view).map(|place| (place.failure_domain, place.vm));
                front.quota.borrow_mut().set_vms(front.now(), vms);
                Vec::new()
            }
        };
        if !notices.is_empty() {
            let view = front.shared.view.load();
            send(&socket, &view, notices);
        }
    }
}

/// Where the entry VMs of a view are.
fn places(view: &ClusterView) -> impl Iterator<Item = PeerDescriptor> {
    view.entries.values().map(|entry| PeerDescriptor {
        vm: entry.vm.clone(),
        failure_domain: entry.failure_domain.clone(),
        millicores: entry.millicores,
    })
}

fn tick<Dialect>(front: &FrontContext<Dialect>, idle: &mut u32) -> Vec<OccupancyAction> {
    let now = front.now();
    let mut book = front.book.borrow_mut();
    let in_flight = book.in_flight();
    *idle = match in_flight.is_empty() {
        true => *idle + 1,
        false => 0,
    };
    // A collector goes on for as long as others ask it.
    if *idle > IDLE_PERIODS && !book.occupancy.is_collector() {
        return Vec::new();
    }
    book.occupancy.handle(now, OccupancyEvent::Tick(in_flight))
}

fn receive<Dialect>(
    front: &FrontContext<Dialect>,
    buffer: &[u8],
    received: std::io::Result<(usize, SocketAddr)>,
    doubts: &mpsc::Sender<SuspicionNotice>,
) -> Vec<AddressedNotice> {
    let length = match received {
        Ok((length, _)) => length,
        Err(error) => {
            log::debug!("event=notice_not_received reason={error:?}");
            return Vec::new();
        }
    };
    match frame::decode(&buffer[..length]) {
        Ok(PeerNotice::Load(notice)) => {
            let now = front.now();
            let mut book = front.book.borrow_mut();
            let event = OccupancyEvent::Received(&notice);
            to_notices(book.occupancy.handle(now, event))
        }
        Ok(PeerNotice::Crash(notice)) => take_crash(front, &notice),
        Ok(PeerNotice::Silent(notice)) => take_silence(front, &notice),
        Ok(PeerNotice::Limit(notice)) => take_limit(front, &notice),
        Ok(PeerNotice::PermitQuestion(question)) => {
            answer_quota(front, QuotaEvent::PermitRequested(&question))
        }
        Ok(PeerNotice::PermitAnswer(answer)) => {
            settle(front, &answer);
            Vec::new()
        }
        Ok(PeerNotice::Quiet(notice)) => {
            if let Err(error) = doubts.try_send(notice) {
                log::debug!("event=quiet_not_passed_on reason={error}");
            }
            Vec::new()
        }
        Err(error) => {
            log::info!("event=notice_unreadable reason={error:?}");
            Vec::new()
        }
    }
}

fn to_notices(actions: Vec<OccupancyAction>) -> Vec<AddressedNotice> {
    let notices = actions.into_iter();
    let notices = notices.map(|action| AddressedNotice {
        vm: action.vm,
        notice: PeerNotice::Load(action.report),
    });
    notices.collect()
}

/// Tells the other VMs what this one saw.
fn tell_crash<Dialect>(
    front: &FrontContext<Dialect>,
    record: &QuarantineRecord,
) -> Vec<AddressedNotice> {
    let hops = front.book.borrow().occupancy.origin_hops(front.now());
    address(front, hops, record)
}

/// Takes over what another VM saw, and passes it on.
fn take_crash<Dialect>(
    front: &FrontContext<Dialect>,
    notice: &CrashNotice,
) -> Vec<AddressedNotice> {
    let now = front.now();
    let mut quarantine = front.shared.quarantine.lock();
    quarantine.handle(now, QuarantineEvent::Reported(&notice.record));
    drop(quarantine);
    let book = front.book.borrow();
    let hops = book.occupancy.forward_hops(&notice.vm, notice.scope);
    address(front, hops, &notice.record)
}

/// Takes over that streams of a leader stand still, and passes it on unless it was told a moment ago.
fn take_silence<Dialect>(
    front: &FrontContext<Dialect>,
    notice: &LeaderStallNotice,
) -> Vec<AddressedNotice> {
    let stall = notice.stall;
    if !stall.is_stalled {
        return Vec::new();
    }
    let mut book = front.book.borrow_mut();
    let told = StallNotice {
        leader: stall.leader,
        witness: stall.witness,
    };
    if !book.record_stall_notice(told, front.now()) {
        return Vec::new();
    }
    let hops = book.occupancy.forward_hops(&notice.vm, notice.scope);
    address_silence(front, hops, stall)
}

/// What this VM tells or asks about limits.
fn tell_quota<Dialect>(front: &FrontContext<Dialect>, news: QuotaNews) -> Vec<AddressedNotice> {
    match news {
        QuotaNews::Report(report) => {
            let hops = front.book.borrow().occupancy.origin_hops(front.now());
            address_limit(front, hops, &report)
        }
        QuotaNews::Question { vm, question } => {
            let notice = PeerNotice::PermitQuestion(question);
            vec![AddressedNotice { vm, notice }]
        }
    }
}

/// Takes over what another VM heard of an upstream's limit, and passes it on.
fn take_limit<Dialect>(
    front: &FrontContext<Dialect>,
    notice: &LimitNotice,
) -> Vec<AddressedNotice> {
    let event = QuotaEvent::Reported(&notice.report);
    let actions = front.quota.borrow_mut().handle(front.now(), event);
    act(front, actions);
    let hops = {
        let book = front.book.borrow();
        book.occupancy.forward_hops(&notice.vm, notice.scope)
    };
    address_limit(front, hops, &notice.report)
}

/// Answers another VM that asks for a permit.
fn answer_quota<Dialect>(
    front: &FrontContext<Dialect>,
    event: QuotaEvent<'_>,
) -> Vec<AddressedNotice> {
    let actions = front.quota.borrow_mut().handle(front.now(), event);
    let answers = act(front, actions).into_iter();
    let notices = answers.filter_map(|action| match action {
        QuotaAction::Answer { vm, answer } => Some(AddressedNotice {
            vm,
            notice: PeerNotice::PermitAnswer(answer),
        }),
        _ => None,
    });
    notices.collect()
}

fn address_limit<Dialect>(
    front: &FrontContext<Dialect>,
    hops: Vec<RelayHop>,
    report: &LimitReport,
) -> Vec<AddressedNotice> {
    let notices = hops.into_iter().map(|hop| AddressedNotice {
        notice: PeerNotice::Limit(LimitNotice {
            vm: front.shared.site.vm.to_string(),
            scope: hop.scope,
            report: report.clone(),
        }),
        vm: hop.vm,
    });
    notices.collect()
}

fn address_silence<Dialect>(
    front: &FrontContext<Dialect>,
    hops: Vec<RelayHop>,
    stall: LeaderStall,
) -> Vec<AddressedNotice> {
    let notices = hops.into_iter().map(|hop| AddressedNotice {
        notice: PeerNotice::Silent(LeaderStallNotice {
            vm: front.shared.site.vm.to_string(),
            scope: hop.scope,
            stall,
        }),
        vm: hop.vm,
    });
    notices.collect()
}

fn address<Dialect>(
    front: &FrontContext<Dialect>,
    hops: Vec<RelayHop>,
    record: &QuarantineRecord,
) -> Vec<AddressedNotice> {
    let notices = hops.into_iter().map(|hop| {
        let notice = CrashNotice {
            vm: front.shared.site.vm.to_string(),
            scope: hop.scope,
            record: record.clone(),
        };
        AddressedNotice {
            vm: hop.vm,
            notice: PeerNotice::Crash(notice),
        }
    });
    notices.collect()
}

/// Sends notices. One that cannot be sent at once is lost, like one that is lost on its way: the next
/// period brings another.
fn send(socket: &UdpSocket, view: &ClusterView, notices: Vec<AddressedNotice>) {
    for AddressedNotice { vm, notice } in notices {
        let Some(entry) = view.entries.get(&vm) else {
            continue;
        };
        let bytes = match frame::encode(&notice) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("event=notice_not_written reason={error:?}");
                continue;
            }
        };
        if let Err(error) = socket.try_send_to(&bytes, entry.peer_addr) {
            log::debug!("event=notice_not_sent reason={error:?}");
        }
    }
}
