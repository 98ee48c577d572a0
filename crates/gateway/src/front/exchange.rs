//! Datagrams between entry VMs: load reports, notices of stalled and suspected leaders, notices of
//! crashes, and reports and permits for upstream limits.

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
use indexmap::IndexSet;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use super::FrontContext;
use super::addresses::SourceAddresses;
use super::limits::apply_quota_actions;
use super::pace::record_pace;
use super::permits::{QuotaMessage, deliver_permit_answer};
use super::warmup::{self, answer_cold_question, deliver_cold_answer};
use crate::metrics::GatewayMetrics;
use crate::view::ClusterView;

/// Number of consecutive periods without requests in flight after which no more load reports are
/// sent.
const MAX_IDLE_PERIODS: u32 = 4;

/// A notice and the entry VM that receives it.
struct AddressedNotice {
    vm: String,
    notice: PeerNotice,
}

/// Exchanges datagrams with the other entry VMs until the process stops. Sends load reports and
/// what arrives on the three receivers, handles and relays what peers send, and passes suspicions
/// of leaders to the assembly of groups through `suspicions`.
pub async fn exchange<Dialect>(
    front: Rc<FrontContext<Dialect>>,
    socket: UdpSocket,
    suspicions: mpsc::Sender<SuspicionNotice>,
    mut crash_records: mpsc::Receiver<QuarantineRecord>,
    mut leader_stalls: mpsc::Receiver<LeaderStall>,
    mut quota_messages: mpsc::Receiver<QuotaMessage>,
) {
    let mut report_ticks = tokio::time::interval(LOAD_REPORT_PERIOD.as_duration());
    report_ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut changes = front.shared.view_changed.subscribe();
    let mut buffer = [0_u8; MAX_DATAGRAM_BYTES];
    let mut addresses = SourceAddresses::default();
    let mut idle_periods = 0;
    loop {
        let notices = tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                handle_datagram(&front, &buffer, received, &suspicions, &mut addresses)
            }
            due = report_ticks.tick() => {
                record_pace(&front, due.into_std());
                load_notices(tick(&front, &mut idle_periods))
            }
            Some(record) = crash_records.recv() => crash_notices(&front, &record),
            Some(stall) = leader_stalls.recv() => {
                let hops = front.monitor.borrow().occupancy.origin_hops(front.now());
                address_stall(&front, hops, stall)
            }
            Some(message) = quota_messages.recv() => quota_notices(&front, message),
            changed = changes.changed() => {
                if changed.is_err() {
                    return;
                }
                let view = front.shared.view.load();
                front.monitor.borrow_mut().occupancy.set_peers(peer_descriptors(&view));
                let domains = view.upstreams.values().map(|entry| &entry.failure_domain);
                let domains: IndexSet<_> = domains.collect();
                front.monitor.borrow_mut().partition.set_domains(domains.len());
                let vms = peer_descriptors(&view).map(|peer| (peer.failure_domain, peer.vm));
                front.quota.borrow_mut().set_vms(front.now(), vms);
                Vec::new()
            }
        };
        if !notices.is_empty() {
            let view = front.shared.view.load();
            let addr_of = |vm: &str| addresses.resolve(vm, &view.entries, front.now());
            send(&front.shared.metrics, &socket, addr_of, notices);
        }
    }
}

/// Returns descriptors of the entry VMs in a view.
fn peer_descriptors(view: &ClusterView) -> impl Iterator<Item = PeerDescriptor> {
    view.entries.values().map(|entry| PeerDescriptor {
        vm: entry.vm.clone(),
        failure_domain: entry.failure_domain.clone(),
        millicores: entry.millicores,
    })
}

fn tick<Dialect>(front: &FrontContext<Dialect>, idle_periods: &mut u32) -> Vec<OccupancyAction> {
    warmup::tick(front);
    let now = front.now();
    let mut book = front.monitor.borrow_mut();
    let in_flight = book.in_flight();
    *idle_periods = match in_flight.is_empty() {
        true => *idle_periods + 1,
        false => 0,
    };
    // A collector keeps reporting as long as other VMs use it.
    if *idle_periods > MAX_IDLE_PERIODS && !book.occupancy.is_collector() {
        return Vec::new();
    }
    front.shared.set_collector(book.occupancy.is_collector());
    book.occupancy.handle(now, OccupancyEvent::Tick(in_flight))
}

fn handle_datagram<Dialect>(
    front: &FrontContext<Dialect>,
    buffer: &[u8],
    received: std::io::Result<(usize, SocketAddr)>,
    suspicions: &mpsc::Sender<SuspicionNotice>,
    addresses: &mut SourceAddresses,
) -> Vec<AddressedNotice> {
    let (length, source) = match received {
        Ok(received) => received,
        Err(error) => {
            log::debug!("event=notice_not_received reason={error:?}");
            return Vec::new();
        }
    };
    front.shared.metrics.count_datagram("received", length);
    let notice = frame::decode(&buffer[..length]);
    if let Some(vm) = notice.as_ref().ok().and_then(awaiting_vm) {
        addresses.record(vm, source, front.now());
    }
    match notice {
        Ok(PeerNotice::Load(notice)) => {
            let now = front.now();
            let mut book = front.monitor.borrow_mut();
            let event = OccupancyEvent::Received(&notice);
            load_notices(book.occupancy.handle(now, event))
        }
        Ok(PeerNotice::Crash(notice)) => apply_crash(front, &notice),
        Ok(PeerNotice::Silent(notice)) => apply_stall(front, &notice),
        Ok(PeerNotice::Limit(notice)) => apply_limit(front, &notice),
        Ok(PeerNotice::PermitQuestion(question)) => {
            answer_permit_request(front, QuotaEvent::PermitRequested(&question))
        }
        Ok(PeerNotice::PermitAnswer(answer)) => {
            deliver_permit_answer(front, &answer);
            Vec::new()
        }
        Ok(PeerNotice::ColdQuestion(question)) => {
            let answer = answer_cold_question(front, &question).into_iter();
            let notices = answer.map(|(vm, answer)| AddressedNotice {
                vm,
                notice: PeerNotice::ColdAnswer(answer),
            });
            notices.collect()
        }
        Ok(PeerNotice::ColdAnswer(answer)) => {
            deliver_cold_answer(front, &answer);
            Vec::new()
        }
        Ok(PeerNotice::Quiet(notice)) => {
            if let Err(error) = suspicions.try_send(notice) {
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

/// Returns the VM that sent a notice and awaits a reply to it.
fn awaiting_vm(notice: &PeerNotice) -> Option<&str> {
    match notice {
        PeerNotice::Load(notice) => Some(&notice.vm),
        PeerNotice::PermitQuestion(question) => Some(&question.vm),
        PeerNotice::ColdQuestion(question) => Some(&question.vm),
        _ => None,
    }
}

fn load_notices(actions: Vec<OccupancyAction>) -> Vec<AddressedNotice> {
    let notices = actions.into_iter();
    let notices = notices.map(|action| AddressedNotice {
        vm: action.vm,
        notice: PeerNotice::Load(action.report),
    });
    notices.collect()
}

/// Returns the notices of a crash that this VM saw.
fn crash_notices<Dialect>(
    front: &FrontContext<Dialect>,
    record: &QuarantineRecord,
) -> Vec<AddressedNotice> {
    let hops = front.monitor.borrow().occupancy.origin_hops(front.now());
    address_record(front, hops, record)
}

/// Applies a notice of a crash that another VM saw, and returns the notices that relay it.
fn apply_crash<Dialect>(
    front: &FrontContext<Dialect>,
    notice: &CrashNotice,
) -> Vec<AddressedNotice> {
    let now = front.now();
    let mut quarantine = front.shared.quarantine.lock();
    quarantine.handle(now, QuarantineEvent::Reported(&notice.record));
    drop(quarantine);
    let book = front.monitor.borrow();
    let hops = book.occupancy.forward_hops(&notice.vm, notice.scope);
    address_record(front, hops, &notice.record)
}

/// Applies a notice that the streams of a leader are stalled. Returns the notices that relay it,
/// unless the same notice arrived a moment ago.
fn apply_stall<Dialect>(
    front: &FrontContext<Dialect>,
    notice: &LeaderStallNotice,
) -> Vec<AddressedNotice> {
    let stall = notice.stall;
    if !stall.is_stalled {
        return Vec::new();
    }
    let mut book = front.monitor.borrow_mut();
    let stall_notice = StallNotice {
        leader: stall.leader,
        witness: stall.witness,
    };
    if !book.record_stall_notice(stall_notice, front.now()) {
        return Vec::new();
    }
    let hops = book.occupancy.forward_hops(&notice.vm, notice.scope);
    address_stall(front, hops, stall)
}

/// Returns the limit reports and permit requests that this VM sends.
fn quota_notices<Dialect>(
    front: &FrontContext<Dialect>,
    message: QuotaMessage,
) -> Vec<AddressedNotice> {
    match message {
        QuotaMessage::Report(report) => {
            let hops = front.monitor.borrow().occupancy.origin_hops(front.now());
            address_limit(front, hops, &report)
        }
        QuotaMessage::Question { vm, question } => {
            let notice = PeerNotice::PermitQuestion(question);
            vec![AddressedNotice { vm, notice }]
        }
        QuotaMessage::ColdQuestion { vm, question } => {
            let notice = PeerNotice::ColdQuestion(question);
            vec![AddressedNotice { vm, notice }]
        }
    }
}

/// Applies another VM's report of an upstream's limit, and returns the notices that relay it.
fn apply_limit<Dialect>(
    front: &FrontContext<Dialect>,
    notice: &LimitNotice,
) -> Vec<AddressedNotice> {
    let event = QuotaEvent::Reported(&notice.report);
    let actions = front.quota.borrow_mut().handle(front.now(), event);
    apply_quota_actions(front, actions);
    let hops = {
        let book = front.monitor.borrow();
        book.occupancy.forward_hops(&notice.vm, notice.scope)
    };
    address_limit(front, hops, &notice.report)
}

/// Handles another VM's request for a permit, and returns the answers that can be given now.
fn answer_permit_request<Dialect>(
    front: &FrontContext<Dialect>,
    event: QuotaEvent<'_>,
) -> Vec<AddressedNotice> {
    let actions = front.quota.borrow_mut().handle(front.now(), event);
    let quota_actions = apply_quota_actions(front, actions).into_iter();
    let notices = quota_actions.filter_map(|action| match action {
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

fn address_stall<Dialect>(
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

fn address_record<Dialect>(
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

/// Sends notices. A notice that cannot be sent at once is dropped, like a datagram lost on the
/// network: the next period sends another.
fn send<AddrOf>(
    metrics: &GatewayMetrics,
    socket: &UdpSocket,
    addr_of: AddrOf,
    notices: Vec<AddressedNotice>,
) where
    AddrOf: Fn(&str) -> Option<SocketAddr>,
{
    for AddressedNotice { vm, notice } in notices {
        let Some(addr) = addr_of(&vm) else {
            continue;
        };
        let bytes = match frame::encode(&notice) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("event=notice_not_written reason={error:?}");
                continue;
            }
        };
        match socket.try_send_to(&bytes, addr) {
            Ok(length) => metrics.count_datagram("sent", length),
            Err(error) => log::debug!("event=notice_not_sent reason={error:?}"),
        }
    }
}
