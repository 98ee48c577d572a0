//! A stand-in for the platform's metadata store. Each VM reaches it on a port of its own, so that the
//! store can treat the VMs differently.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, read_message, write_answer};
use crate::json::{Value, base64, parse};

/// How long the store keeps its history, as `retentionS` says.
const RETENTION: Duration = Duration::from_secs(20);
/// Items in one page of a range.
const PAGE_ITEMS: usize = 500;

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    at: Instant,
    revision: u64,
    key: String,
    /// None for a removal.
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: VecDeque<Change>,
    /// Changes up to this revision are forgotten.
    floor: u64,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

/// How the store treats one VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct Treatment {
    /// All calls are answered with 503.
    pub rejects: bool,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    treatments: Mutex<HashMap<usize, Treatment>>,
}

impl Store {
    pub fn new() -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            treatments: Mutex::default(),
        });
        let expiring = Arc::clone(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        store
    }

    /// Opens the port of one VM.
    pub fn listen(self: &Arc<Self>, vm: usize) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let store = Arc::clone(self);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                std::thread::spawn(move || {
                    let _ = store.serve(vm, stream);
                });
            }
        });
        Ok(addr)
    }

    pub fn treat(&self, vm: usize, treatment: Treatment) {
        self.treatments.lock().unwrap().insert(vm, treatment);
    }

    /// Writes a key on behalf of operators and servers. Returns the revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        let revision = state.begin();
        state.write(key, base64(value.as_bytes()), 0, revision);
        drop(state);
        self.changed.notify_all();
        revision
    }

    /// Returns the bytes of keys and values of all items.
    pub fn bytes(&self) -> usize {
        let state = self.state.lock().unwrap();
        let sizes = state.items.iter();
        sizes
            .map(|(key, item)| key.len() + item.value.len() * 3 / 4)
            .sum()
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &ended {
            state.end_lease(*id);
        }
        while state
            .history
            .front()
            .is_some_and(|change| now - change.at > RETENTION)
        {
            if let Some(change) = state.history.pop_front() {
                state.floor = change.revision;
            }
        }
        drop(state);
        if !ended.is_empty() {
            self.changed.notify_all();
        }
    }

    fn treatment(&self, vm: usize) -> Treatment {
        self.treatments
            .lock()
            .unwrap()
            .get(&vm)
            .copied()
            .unwrap_or_default()
    }

    fn serve(&self, vm: usize, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(call) = read_message(&mut reader)? {
            if self.treatment(vm).rejects {
                answer(
                    &mut writer,
                    "503 Service Unavailable",
                    "{\"error\":\"busy\"}",
                )?;
                continue;
            }
            let (status, body) = self.answer(vm, &call);
            answer(&mut writer, status, &body)?;
        }
        Ok(())
    }

    fn answer(&self, vm: usize, call: &Message) -> (&'static str, String) {
        let path = call.target().split('?').next().unwrap_or("");
        let last = path.rsplit('/').next().unwrap_or("").parse().unwrap_or(0);
        match (call.method(), path) {
            ("GET", "/-/kv-key") => self.key(&call.query("key")),
            ("GET", "/-/kv-range") => self.range(&call.query("prefix"), &call.query("after")),
            ("GET", "/-/kv-watch") => {
                let after = call.query("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(call.query("waitMs").parse().unwrap_or(0));
                self.watch(vm, &call.query("prefix"), after, wait)
            }
            ("POST", "/-/kv-txn") => self.commit(&parse(&call.body)),
            ("POST", "/-/kv-lease") => self.open_lease(parse(&call.body).get("ttlMs").number()),
            ("POST", path) if path.starts_with("/-/kv-keep/") => self.keep_lease(last),
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                self.state.lock().unwrap().end_lease(last);
                self.changed.notify_all();
                ("200 OK", "{}".to_owned())
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn key(&self, key: &str) -> (&'static str, String) {
        let state = self.state.lock().unwrap();
        match state.items.get(key) {
            Some(item) => ("200 OK", item.text(key, Some(state.revision))),
            None => ("404 Not Found", format!("{{\"at\":{}}}", state.revision)),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (&'static str, String) {
        let state = self.state.lock().unwrap();
        let matching = state.items.iter();
        let matching: Vec<String> = matching
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .take(PAGE_ITEMS + 1)
            .map(|(key, item)| item.text(key, None))
            .collect();
        let has_more = matching.len() > PAGE_ITEMS;
        let page = &matching[..matching.len().min(PAGE_ITEMS)];
        let at = state.revision;
        let entries = page.join(",");
        (
            "200 OK",
            format!("{{\"entries\":[{entries}],\"hasMore\":{has_more},\"at\":{at}}}"),
        )
    }

    fn watch(&self, vm: usize, prefix: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let began = Instant::now();
        let mut state = self.state.lock().unwrap();
        loop {
            if after < state.floor {
                return ("410 Gone", "{}".to_owned());
            }
            let changes = state.history.iter();
            let events: Vec<String> = changes
                .filter(|change| change.revision > after && change.key.starts_with(prefix))
                .map(Change::text)
                .collect();
            if !events.is_empty() || began.elapsed() >= wait {
                let (events, at) = (events.join(","), state.revision);
                return ("200 OK", format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            if self.treatment(vm).rejects {
                return ("503 Service Unavailable", "{\"error\":\"busy\"}".to_owned());
            }
            let pause = Duration::from_millis(20);
            state = self.changed.wait_timeout(state, pause).unwrap().0;
        }
    }

    fn commit(&self, txn: &Value) -> (&'static str, String) {
        let mut state = self.state.lock().unwrap();
        let rows = txn.get("expected").list();
        let holds = rows.iter().all(|row| {
            let item = state.items.get(row.get("key").text());
            item.map_or(0, |item| item.revision) == row.get("revision").number()
        });
        if !holds {
            let items = rows.iter().filter_map(|row| {
                let key = row.get("key").text();
                Some(state.items.get(key)?.text(key, None))
            });
            let items = items.collect::<Vec<_>>().join(",");
            return (
                "412 Precondition Failed",
                format!("{{\"entries\":[{items}]}}"),
            );
        }
        let (writes, removes) = (txn.get("writes").list(), txn.get("remove").list());
        let is_platforms = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if writes
            .iter()
            .any(|write| is_platforms(write.get("key").text()))
        {
            return ("403 Forbidden", "{}".to_owned());
        }
        let mut leases = writes.iter().map(|write| write.get("lease").number());
        if leases.any(|lease| lease != 0 && !state.leases.contains_key(&lease)) {
            return ("404 Not Found", "{}".to_owned());
        }
        if !writes.is_empty() || !removes.is_empty() {
            let revision = state.begin();
            for write in writes {
                let (key, value) = (write.get("key").text(), write.get("value").text());
                state.write(key, value.to_owned(), write.get("lease").number(), revision);
            }
            for key in removes {
                state.remove(key.text(), revision);
            }
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        ("200 OK", format!("{{\"revision\":{revision}}}"))
    }

    fn open_lease(&self, ttl_ms: u64) -> (&'static str, String) {
        let mut state = self.state.lock().unwrap();
        state.next_lease += 1;
        let (id, ttl) = (state.next_lease, Duration::from_millis(ttl_ms));
        state.leases.insert(id, (ttl, Instant::now() + ttl));
        ("200 OK", format!("{{\"lease\":{id},\"ttlMs\":{ttl_ms}}}"))
    }

    fn keep_lease(&self, id: u64) -> (&'static str, String) {
        let mut state = self.state.lock().unwrap();
        let Some((ttl, until)) = state.leases.get_mut(&id) else {
            return ("404 Not Found", "{}".to_owned());
        };
        *until = Instant::now() + *ttl;
        ("200 OK", format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
    }
}

impl State {
    fn begin(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    fn write(&mut self, key: &str, value: String, lease: u64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.record(key, Some(item), revision);
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            self.record(key, None, revision);
        }
    }

    fn record(&mut self, key: &str, item: Option<Item>, revision: u64) {
        self.history.push_back(Change {
            at: Instant::now(),
            revision,
            key: key.to_owned(),
            item,
        });
    }

    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let keys = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            let revision = self.begin();
            for key in keys {
                self.remove(&key, revision);
            }
        }
    }
}

impl Item {
    fn text(&self, key: &str, at: Option<u64>) -> String {
        let at = at.map_or_else(String::new, |at| format!(",\"at\":{at}"));
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}{at}}}",
            self.value, self.revision, self.created, self.lease
        )
    }
}

impl Change {
    fn text(&self) -> String {
        match &self.item {
            Some(item) => item.text(&self.key, None),
            None => format!(
                "{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}",
                self.key, self.revision
            ),
        }
    }
}

fn answer(writer: &mut TcpStream, status: &str, body: &str) -> io::Result<()> {
    let headers = [("Content-Type", "application/json")];
    write_answer(writer, status, &headers, body.as_bytes())
}
