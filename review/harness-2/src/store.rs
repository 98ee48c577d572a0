//! A stand-in of the platform's store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, json_answer};
use crate::json::{Json, quote};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Change {
    key: String,
    revision: u64,
    /// None if the key was removed.
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

fn describe(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Change {
            key: key.to_owned(),
            revision: self.revision,
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        self.history.push(Change {
            key: key.to_owned(),
            revision: self.revision,
            item: None,
        });
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let was_there = self.leases.remove(&id).is_some();
        let items = self.items.iter();
        let keys = items.filter(|(_, item)| item.lease == id && id != 0);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
        was_there
    }
}

impl Store {
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self::default());
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let mut state = expiring.state.lock().unwrap();
                let now = Instant::now();
                let leases = state.leases.iter();
                let ended = leases.filter(|(_, (_, ends_at))| *ends_at <= now);
                let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
                for id in &ended {
                    state.end_lease(*id);
                }
                drop(state);
                expiring.changed.notify_all();
            }
        });
        store
    }

    /// Writes a key on behalf of the operator or of a runner.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.write(key, base64(value.as_bytes()), 0);
        drop(state);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
        self.changed.notify_all();
    }

    pub fn answer(&self, request: &Message) -> Vec<u8> {
        let last = request.path().rsplit('/').next().unwrap_or("");
        let id = last.parse().unwrap_or(0);
        match (request.method(), request.path()) {
            ("GET", "/-/kv-key") => self.key(request),
            ("GET", "/-/kv-range") => self.range(request),
            ("GET", "/-/kv-watch") => self.watch(request),
            ("POST", "/-/kv-txn") => self.commit(request),
            ("POST", "/-/kv-lease") => self.open_lease(request),
            ("POST", path) if path.starts_with("/-/kv-keep/") => self.keep(id),
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let was_there = self.state.lock().unwrap().end_lease(id);
                self.changed.notify_all();
                json_answer(if was_there { 200 } else { 404 }, "{}")
            }
            _ => json_answer(404, "{}"),
        }
    }

    fn key(&self, request: &Message) -> Vec<u8> {
        let key = request.parameter("key");
        let state = self.state.lock().unwrap();
        match state.items.get(&key) {
            Some(item) => json_answer(200, &describe(&key, item)),
            None => json_answer(404, &format!("{{\"at\":{}}}", state.revision)),
        }
    }

    fn range(&self, request: &Message) -> Vec<u8> {
        let (prefix, after) = (request.parameter("prefix"), request.parameter("after"));
        let state = self.state.lock().unwrap();
        let items = state.items.iter();
        let matching = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let matching: Vec<String> = matching.map(|(key, item)| describe(key, item)).collect();
        let has_more = matching.len() > 500;
        let page = &matching[..matching.len().min(500)];
        let body = format!(
            "{{\"entries\":[{}],\"hasMore\":{has_more},\"at\":{}}}",
            page.join(","),
            state.revision
        );
        json_answer(200, &body)
    }

    fn watch(&self, request: &Message) -> Vec<u8> {
        let prefix = request.parameter("prefix");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait: u64 = request.parameter("waitMs").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let changes = state.history.iter();
            let new = changes.filter(|it| it.revision > after && it.key.starts_with(&prefix));
            let new: Vec<String> = new
                .map(|change| match &change.item {
                    Some(item) => describe(&change.key, item),
                    None => format!(
                        "{{\"key\":{},\"revision\":{},\"deleted\":true}}",
                        quote(&change.key),
                        change.revision
                    ),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                let events = new.join(",");
                let body = format!("{{\"events\":[{events}],\"at\":{}}}", state.revision);
                return json_answer(200, &body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn commit(&self, request: &Message) -> Vec<u8> {
        let Some(txn) = Json::parse(&request.body) else {
            return json_answer(400, "{}");
        };
        let mut state = self.state.lock().unwrap();
        let expected = txn.get("expected").list();
        let revision_of = |key: &str| state.items.get(key).map_or(0, |item| item.revision);
        let holds = expected
            .iter()
            .all(|row| Some(revision_of(row.get("key").text())) == row.get("revision").number());
        if !holds {
            let rows = expected.iter().map(|row| row.get("key").text());
            let items = rows.filter_map(|key| Some(describe(key, state.items.get(key)?)));
            let items: Vec<String> = items.collect();
            return json_answer(412, &format!("{{\"entries\":[{}]}}", items.join(",")));
        }
        let writes = txn.get("writes").list();
        let lease_of = |write: &Json| write.get("lease").number().unwrap_or(0);
        let mut leases = writes.iter().map(lease_of);
        if leases.any(|lease| lease != 0 && !state.leases.contains_key(&lease)) {
            return json_answer(404, "{}");
        }
        for write in writes {
            let value = write.get("value").text().to_owned();
            state.write(write.get("key").text(), value, lease_of(write));
        }
        for key in txn.get("remove").list() {
            state.remove(key.text());
        }
        let body = format!("{{\"revision\":{}}}", state.revision);
        drop(state);
        self.changed.notify_all();
        json_answer(200, &body)
    }

    fn open_lease(&self, request: &Message) -> Vec<u8> {
        let ttl = Json::parse(&request.body).and_then(|body| body.get("ttlMs").number());
        let ttl = ttl.unwrap_or(1_000).clamp(1_000, 600_000);
        let mut state = self.state.lock().unwrap();
        state.last_lease += 1;
        let id = state.last_lease;
        let span = Duration::from_millis(ttl);
        state.leases.insert(id, (span, Instant::now() + span));
        json_answer(200, &format!("{{\"lease\":{id},\"ttlMs\":{ttl}}}"))
    }

    fn keep(&self, id: u64) -> Vec<u8> {
        let mut state = self.state.lock().unwrap();
        let Some((span, ends_at)) = state.leases.get_mut(&id) else {
            return json_answer(404, "{}");
        };
        *ends_at = Instant::now() + *span;
        json_answer(200, &format!("{{\"ttlMs\":{}}}", span.as_millis()))
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place) & 63) as usize] as char;
            text.push(if place <= group.len() { digit } else { '=' });
        }
    }
    text
}
