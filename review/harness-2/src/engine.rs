//! A stand-in of model runners that form groups, as PROTOCOL.md describes them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Handler, Message, answer, json_answer, serve};
use crate::json::Json;
use crate::record::{Record, millis};
use crate::site::HEARTBEAT;
use crate::store::Store;

/// `stallMs`.
const STALL: Duration = Duration::from_millis(4_000);
/// `warmupS`, joining a group whose model is on the host.
const WARM_UP: Duration = Duration::from_millis(1_100);
/// Joining a group with the model of the last one.
const REJOIN: Duration = Duration::from_millis(200);
/// `formMs`.
const FORM: Duration = Duration::from_millis(300);
/// Heartbeats after which an entry is removed.
const LAPSE_HEARTBEATS: u32 = 3;
/// Time that a process that has crashed takes to start again.
const RESTART: Duration = Duration::from_millis(200);

pub const SERVICE: &str = "huvo11a";
pub const MODEL: &str = "daka510000";

#[derive(Clone)]
struct Group {
    name: String,
    epoch: u64,
    members: Vec<String>,
    rank: usize,
    state: &'static str,
    /// When a join or an opening is done.
    due: Option<Instant>,
}

#[derive(Default)]
struct Life {
    born: u64,
    sequence: u64,
    highest_fence: u64,
    highest_epoch: u64,
    last_model: Option<String>,
    group: Option<Group>,
    /// Since when the head of a group lacks a member.
    stands_still: Option<Instant>,
    is_down: bool,
    is_cut: bool,
    last_entry: Option<Instant>,
}

pub struct Engine {
    pub id: String,
    addr: Mutex<Option<SocketAddr>>,
    life: Mutex<Life>,
}

/// All model runners, and what was seen of their groups.
pub struct Fleet {
    store: Arc<Store>,
    record: Arc<Record>,
    pub engines: Vec<Arc<Engine>>,
    /// One guard for all orders, so that the state of a head is exact when another runner joins.
    orders: Mutex<usize>,
}

fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

fn describe_group(group: &Option<Group>) -> String {
    group.as_ref().map_or_else(String::new, |group| {
        format!(
            ",\"group\":{{\"name\":\"{}\",\"epoch\":{},\"rank\":{},\"state\":\"{}\"}}",
            group.name, group.epoch, group.rank, group.state
        )
    })
}

impl Fleet {
    pub fn start(
        store: &Arc<Store>,
        record: &Arc<Record>,
        count: usize,
    ) -> std::io::Result<Arc<Self>> {
        let engines = (1..=count).map(|number| {
            Arc::new(Engine {
                id: format!("i-{number:08x}"),
                addr: Mutex::default(),
                life: Mutex::new(Life {
                    born: unix_millis(),
                    ..Life::default()
                }),
            })
        });
        let fleet = Arc::new(Self {
            store: Arc::clone(store),
            record: Arc::clone(record),
            engines: engines.collect(),
            orders: Mutex::default(),
        });
        for engine in &fleet.engines {
            let (served_fleet, served) = (Arc::clone(&fleet), Arc::clone(engine));
            let handler: Handler = Arc::new(move |request| served_fleet.answer(&served, &request));
            *engine.addr.lock().unwrap() = Some(serve(handler)?);
            fleet.write_entry(engine);
        }
        let living = Arc::clone(&fleet);
        thread::spawn(move || {
            loop {
                thread::sleep(millis(5));
                living.advance();
            }
        });
        Ok(fleet)
    }

    /// Returns how often a runner joined another group while the head of its group was open.
    pub fn broken(&self) -> usize {
        *self.orders.lock().unwrap()
    }

    /// Returns the members of the group that the first open head leads, the head first.
    pub fn open_group(&self) -> Option<Vec<Arc<Engine>>> {
        let members = self.engines.iter().find_map(|engine| {
            let life = engine.life.lock().unwrap();
            let group = life.group.as_ref().filter(|group| group.state == "open")?;
            Some(group.members.clone())
        })?;
        let members = members.iter().filter_map(|id| self.engine(id));
        Some(members.collect())
    }

    pub fn open_groups(&self) -> usize {
        let engines = self.engines.iter();
        let open = engines.filter(|engine| {
            let life = engine.life.lock().unwrap();
            life.group
                .as_ref()
                .is_some_and(|group| group.state == "open")
        });
        open.count()
    }

    /// Partitions a runner from the store, or ends that.
    pub fn cut_from_store(&self, engine: &Engine, is_cut: bool) {
        engine.life.lock().unwrap().is_cut = is_cut;
        let what = if is_cut {
            "is partitioned from the store"
        } else {
            "reaches the store"
        };
        self.record.note(&format!("{} {what}", engine.id));
    }

    /// Lets a runner crash. It starts again under its id and knows nothing of before; the weights
    /// stay on its host.
    pub fn crash(self: &Arc<Self>, engine: &Arc<Engine>) {
        engine.life.lock().unwrap().is_down = true;
        self.record.note(&format!("{} crashes", engine.id));
        let (fleet, engine) = (Arc::clone(self), Arc::clone(engine));
        thread::spawn(move || {
            thread::sleep(RESTART);
            *engine.life.lock().unwrap() = Life {
                born: unix_millis(),
                ..Life::default()
            };
            fleet.write_entry(&engine);
            fleet
                .record
                .note(&format!("{} starts again under its id", engine.id));
        });
    }

    fn engine(&self, id: &str) -> Option<Arc<Engine>> {
        let mut engines = self.engines.iter();
        engines.find(|engine| engine.id == id).cloned()
    }

    fn key(engine: &Engine) -> String {
        format!("servers/{}", engine.id)
    }

    fn write_entry(&self, engine: &Engine) {
        let Some(addr) = *engine.addr.lock().unwrap() else {
            return;
        };
        let mut life = engine.life.lock().unwrap();
        if life.is_down || life.is_cut {
            return;
        }
        let entry = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{addr}\",\"zone\":\"kecskemet\",\
             \"version\":\"v1\",\"slots\":26,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":{},\
             \"born\":{},\"domain\":\"d1\",\"staged\":[\"{MODEL}\"],\"phase\":\"both\",\
             \"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}]{}}}",
            unix_millis() - life.born,
            life.born,
            describe_group(&life.group)
        );
        life.last_entry = Some(Instant::now());
        drop(life);
        self.store.put(&Self::key(engine), &entry);
    }

    /// Completes what is due, breaks groups that stood still, and writes entries.
    fn advance(&self) {
        let guard = self.orders.lock().unwrap();
        let now = Instant::now();
        for engine in &self.engines {
            let lacks_member = self.lacks_member(engine);
            let mut life = engine.life.lock().unwrap();
            life.stands_still = match lacks_member {
                true => life.stands_still.or(Some(now)),
                false => None,
            };
            let is_over = life.stands_still.is_some_and(|since| now - since >= STALL);
            let mut has_changed = false;
            if let Some(group) = &mut life.group {
                if group.due.is_some_and(|due| due <= now) {
                    group.due = None;
                    group.state = match group.state {
                        "joining" => "ready",
                        _ => "open",
                    };
                    has_changed = true;
                }
                if is_over && group.state == "open" {
                    group.state = "broken";
                    has_changed = true;
                    self.record
                        .note(&format!("{} breaks {}", engine.id, group.name));
                }
            }
            let (age, is_cut) = (life.last_entry.map(|at| now - at), life.is_cut);
            drop(life);
            if is_cut && age.is_some_and(|age| age >= HEARTBEAT * LAPSE_HEARTBEATS) {
                engine.life.lock().unwrap().last_entry = None;
                self.store.remove(&Self::key(engine));
                self.record
                    .note(&format!("the entry of {} is removed", engine.id));
            } else if has_changed || age.is_none_or(|age| age >= HEARTBEAT) {
                self.write_entry(engine);
            }
        }
        drop(guard);
    }

    /// Whether this head of an open group lacks a member.
    fn lacks_member(&self, engine: &Engine) -> bool {
        let group = engine.life.lock().unwrap().group.clone();
        let Some(group) = group.filter(|group| group.rank == 0 && group.state == "open") else {
            return false;
        };
        group.members.iter().any(|id| {
            let member = self.engine(id);
            member.is_none_or(|member| {
                let life = member.life.lock().unwrap();
                let is_in = life
                    .group
                    .as_ref()
                    .is_some_and(|its| its.name == group.name && its.epoch == group.epoch);
                life.is_down || !is_in
            })
        })
    }

    fn answer(&self, engine: &Engine, request: &Message) -> Option<Vec<u8>> {
        if engine.life.lock().unwrap().is_down {
            return None;
        }
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != engine.id) {
            return Some(answer(421, &[("Instance-Id", &engine.id)], b""));
        }
        Some(match (request.method(), request.path()) {
            ("GET", "/-/report") => self.report(engine),
            ("POST", "/-/order") => {
                let order = Json::parse(&request.body).unwrap_or(Json::Null);
                let status = self.order(engine, &order);
                self.record.note(&format!(
                    "order to {}: {} answered {status}",
                    engine.id,
                    String::from_utf8_lossy(&request.body)
                ));
                self.write_entry(engine);
                json_answer(status, "{}")
            }
            _ => answer(421, &[("Instance-Id", &engine.id)], b""),
        })
    }

    fn report(&self, engine: &Engine) -> Vec<u8> {
        let life = engine.life.lock().unwrap();
        let body = format!(
            "{{\"phase\":\"both\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\
             \"adapters\":[]}}],\"busy\":false,\"sequence\":{},\"waiting\":0,\"running\":0,\
             \"kvUsed\":0,\"kvTotal\":1590000,\"handles\":0,\"pace\":1.0,\"born\":{},\
             \"domain\":\"d1\",\"staged\":[\"{MODEL}\"]{}}}",
            life.sequence,
            life.born,
            describe_group(&life.group)
        );
        json_answer(200, &body)
    }

    fn order(&self, engine: &Engine, order: &Json) -> u16 {
        let mut broken = self.orders.lock().unwrap();
        let (name, epoch) = (order.get("group").text(), order.get("epoch").number());
        let epoch = epoch.unwrap_or(0);
        let operation = order.get("operation").text();
        let members = order.get("members").list().iter();
        let members: Vec<String> = members.map(|id| id.text().to_owned()).collect();
        let mut life = engine.life.lock().unwrap();
        let fence = order.get("fenceToken").number().unwrap_or(0);
        if fence < life.highest_fence {
            return 412;
        }
        life.highest_fence = fence;
        let own = life.group.clone();
        let is_own = own
            .as_ref()
            .is_some_and(|own| own.name == name && own.epoch == epoch);
        let state = own.as_ref().map_or("", |own| own.state);
        if operation == "join" {
            let has_other_list = is_own && own.as_ref().is_some_and(|own| own.members != members);
            if epoch < life.highest_epoch || has_other_list {
                return 412;
            }
        }
        let holds = match operation {
            "join" => is_own,
            "open" => is_own && state == "open",
            "leave" => !is_own,
            _ => false,
        };
        if holds {
            return 200;
        }
        let expected = order.get("expected").number();
        if expected.is_some_and(|expected| expected != life.sequence) {
            return 409;
        }
        let now = Instant::now();
        match operation {
            "join" => {
                life.sequence += 1;
                life.highest_epoch = epoch;
                let model = order.get("model").text().to_owned();
                let span = match life.last_model.as_ref() == Some(&model) {
                    true => REJOIN,
                    false => WARM_UP,
                };
                life.last_model = Some(model);
                let rank = members.iter().position(|id| *id == engine.id);
                life.group = Some(Group {
                    name: name.to_owned(),
                    epoch,
                    members,
                    rank: rank.unwrap_or(0),
                    state: "joining",
                    due: Some(now + span),
                });
                drop(life);
                *broken += self.judge_join(engine, name);
                202
            }
            "open" if is_own && state == "ready" => {
                life.sequence += 1;
                if let Some(group) = &mut life.group {
                    group.due = Some(now + FORM);
                }
                202
            }
            "close" if is_own && state == "open" => {
                life.sequence += 1;
                if let Some(group) = &mut life.group {
                    group.state = "ready";
                }
                202
            }
            "leave" => {
                life.sequence += 1;
                life.group = None;
                200
            }
            _ => 409,
        }
    }

    /// Returns 1 if the head of another group that this runner is a member of is open, standing
    /// still or not.
    fn judge_join(&self, joined: &Engine, name: &str) -> usize {
        let mut broken = 0;
        for head in self.engines.iter().filter(|head| head.id != joined.id) {
            let life = head.life.lock().unwrap();
            let group = life.group.as_ref().filter(|_| !life.is_down);
            let group = group.filter(|group| {
                group.rank == 0 && group.state == "open" && group.members.contains(&joined.id)
            });
            let Some(group) = group.filter(|group| group.name != name) else {
                continue;
            };
            broken = 1;
            let since = life.stands_still.map(|since| since.elapsed().as_millis());
            self.record.say(&format!(
                "{} takes a join of {name} while {} is open as the head of {} (epoch {}, members \
                 {:?}); it stands still for {:?} ms and breaks after {} ms",
                joined.id,
                head.id,
                group.name,
                group.epoch,
                group.members,
                since.unwrap_or(0),
                STALL.as_millis()
            ));
        }
        broken
    }
}
