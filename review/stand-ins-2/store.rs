//! The platform's store: tables of rows that are read, watched and conditionally written.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Head};
use crate::json::{Json, base64};

/// The most bytes that one read returns.
const MAX_PAGE_BYTES: usize = 1_000_000;

type Name = (String, String, String);

#[derive(Clone)]
struct Row {
    value: String,
    version: u64,
    deleted: bool,
}

struct State {
    rows: BTreeMap<Name, Row>,
    version: u64,
    /// Watches from before this version get 410.
    history_from: u64,
    /// How often it came back from a copy, and one.
    era: u64,
    /// Rejects all calls with 503.
    away: bool,
}

struct Inner {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

/// A copy of the rows and the newest version.
#[derive(Clone)]
pub struct Copy {
    rows: BTreeMap<Name, Row>,
    version: u64,
}

/// An address of the store for one machine, which it may turn away.
#[derive(Clone)]
pub struct Door {
    pub address: SocketAddr,
    closed: Arc<AtomicBool>,
}

impl Door {
    /// Rejects the calls of this machine with 503, or serves them again.
    pub fn set_closed(&self, closed: bool) {
        self.closed.store(closed, Ordering::SeqCst);
    }
}

#[derive(Clone)]
pub struct Store {
    inner: Arc<Inner>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let state =
            State { rows: BTreeMap::new(), version: 10, history_from: 0, era: 1, away: false };
        let inner =
            Inner { state: Mutex::new(state), changed: Condvar::new(), started: Instant::now() };
        let store = Store { inner: Arc::new(inner), address };
        store.listen(listener, Arc::default());
        store
    }

    /// Opens an address for one machine.
    pub fn open_door(&self) -> Door {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let closed = Arc::<AtomicBool>::default();
        self.listen(listener, closed.clone());
        Door { address, closed }
    }

    fn listen(&self, listener: TcpListener, closed: Arc<AtomicBool>) {
        let shared = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, closed) = (shared.clone(), closed.clone());
                thread::spawn(move || store.serve(stream, &closed));
            }
        });
    }

    fn serve(&self, stream: TcpStream, closed: &AtomicBool) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        while let Ok(Some((head, body))) = http::read(&mut stream) {
            let away = self.inner.state.lock().unwrap().away || closed.load(Ordering::SeqCst);
            let response = match away {
                true => self.reply("503 Service Unavailable", &Json::Object(Vec::new())),
                false => self.respond(&head, &body),
            };
            if stream.get_mut().write_all(&response).is_err() {
                return;
            }
        }
    }

    fn reply(&self, status: &str, body: &Json) -> Vec<u8> {
        let era = self.inner.state.lock().unwrap().era.to_string();
        let headers = [("Content-Type", "application/json"), ("Store-Era", &*era)];
        http::response(status, &headers, body.to_string().as_bytes())
    }

    fn respond(&self, head: &Head, body: &[u8]) -> Vec<u8> {
        let target = head.target().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            let value = pairs.filter(|(n, _)| *n == name).map(|(_, v)| v).next().unwrap_or("");
            percent_decode(value)
        };
        match path {
            "/v1/rows-tx" => self.transact(body),
            "/v1/rows-get" => self.read(&field),
            "/v1/rows-feed" => self.feed(&field),
            _ => self.reply("404 Not Found", &Json::Object(Vec::new())),
        }
    }

    fn now_ms(&self) -> Json {
        Json::Number(self.inner.started.elapsed().as_millis() as f64)
    }

    fn transact(&self, body: &[u8]) -> Vec<u8> {
        let Some(tx) = Json::parse(body) else {
            return self.reply("400 Bad Request", &Json::Object(Vec::new()));
        };
        let name = |row: &Json| {
            let part = |field: &str| row.get(field).text().to_owned();
            (part("table"), part("part"), part("key"))
        };
        let mut state = self.inner.state.lock().unwrap();
        let version_of = |state: &State, n: &Name| {
            state.rows.get(n).filter(|r| !r.deleted).map_or(0, |r| r.version)
        };
        let expected = tx.get("expect_rev").list();
        if expected.iter().any(|e| version_of(&state, &name(e)) != e.get("ver").number()) {
            let found = expected.iter().filter_map(|e| {
                let n = name(e);
                let row = state.rows.get(&n).filter(|r| !r.deleted)?;
                Some(to_json(&n, row))
            });
            let rows = Json::List(found.collect());
            let version = Json::Number(state.version as f64);
            drop(state);
            let body = Json::Object(vec![("rows".into(), rows), ("ver".into(), version)]);
            return self.reply("412 Precondition Failed", &body);
        }
        state.version += 1;
        let version = state.version;
        for put in tx.get("puts").list() {
            let value = put.get("value").text().to_owned();
            state.rows.insert(name(put), Row { value, version, deleted: false });
        }
        for gone in tx.get("remove").list() {
            let row = Row { value: String::new(), version, deleted: true };
            state.rows.insert(name(gone), row);
        }
        drop(state);
        self.inner.changed.notify_all();
        let version = Json::Number(version as f64);
        let body = Json::Object(vec![("ver".into(), version), ("now_ms".into(), self.now_ms())]);
        self.reply("200 OK", &body)
    }

    fn read(&self, field: &dyn Fn(&str) -> String) -> Vec<u8> {
        let (table, part, from, to) =
            (field("table"), field("part"), field("from"), field("target"));
        let limit: usize = field("limit").parse().unwrap_or(500).min(500);
        let state = self.inner.state.lock().unwrap();
        let selected = state.rows.iter().filter(|((t, p, k), r)| {
            *t == table && *p == part && !r.deleted && *k >= from && (to.is_empty() || *k < to)
        });
        let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
        for (name, row) in selected {
            more = rows.len() == limit || bytes + row.value.len() > MAX_PAGE_BYTES;
            if more {
                break;
            }
            bytes += row.value.len();
            rows.push(to_json(name, row));
        }
        let version = Json::Number(state.version as f64);
        drop(state);
        let body = Json::Object(vec![
            ("rows".into(), Json::List(rows)),
            ("has_more".into(), Json::Bool(more)),
            ("ver".into(), version),
            ("now_ms".into(), self.now_ms()),
        ]);
        self.reply("200 OK", &body)
    }

    fn feed(&self, field: &dyn Fn(&str) -> String) -> Vec<u8> {
        let table = field("table");
        let after: u64 = field("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut state = self.inner.state.lock().unwrap();
        let era = state.era;
        loop {
            if state.era != era || after > state.version || after < state.history_from {
                drop(state);
                return self.reply("410 Gone", &Json::Object(Vec::new()));
            }
            let newer = state.rows.iter().filter(|((t, ..), r)| *t == table && r.version > after);
            let mut newer: Vec<_> = newer.collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !newer.is_empty() || left.is_zero() {
                newer.sort_by_key(|(_, r)| r.version);
                let rows = newer.iter().map(|(n, r)| to_json(n, r)).collect();
                let version = Json::Number(state.version as f64);
                drop(state);
                let body = Json::Object(vec![
                    ("rows".into(), Json::List(rows)),
                    ("ver".into(), version),
                    ("now_ms".into(), self.now_ms()),
                ]);
                return self.reply("200 OK", &body);
            }
            state = self.inner.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Writes a row of the operator.
    pub fn put_config(&self, document: &str) {
        self.put_row("op", "config", document.as_bytes());
    }

    /// Writes a row with an empty part, as another writer does.
    pub fn put_row(&self, table: &str, key: &str, value: &[u8]) {
        let mut state = self.inner.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let name = (table.to_owned(), String::new(), key.to_owned());
        let value = base64(value);
        state.rows.insert(name, Row { value, version, deleted: false });
        drop(state);
        self.inner.changed.notify_all();
    }

    /// Returns a copy of all rows.
    pub fn copy(&self) -> Copy {
        let state = self.inner.state.lock().unwrap();
        Copy { rows: state.rows.clone(), version: state.version }
    }

    /// Rejects all calls from now on.
    pub fn go_away(&self) {
        self.inner.state.lock().unwrap().away = true;
    }

    /// Comes back from a copy.
    pub fn come_back(&self, copy: &Copy) {
        let mut state = self.inner.state.lock().unwrap();
        state.rows.clone_from(&copy.rows);
        state.version = copy.version;
        state.era += 1;
        state.away = false;
        drop(state);
        self.inner.changed.notify_all();
    }

    /// Forgets the history of all changes so far.
    pub fn compact(&self) {
        let mut state = self.inner.state.lock().unwrap();
        state.version += 1;
        state.history_from = state.version;
        drop(state);
        self.inner.changed.notify_all();
    }
}

fn to_json(name: &Name, row: &Row) -> Json {
    let (table, part, key) = name.clone();
    Json::Object(vec![
        ("table".into(), Json::Text(table)),
        ("part".into(), Json::Text(part)),
        ("key".into(), Json::Text(key)),
        ("value".into(), Json::Text(row.value.clone())),
        ("ver".into(), Json::Number(row.version as f64)),
        ("deleted".into(), Json::Bool(row.deleted)),
    ])
}

fn percent_decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(b) = bytes.next() {
        match b {
            b'%' => {
                let digits: Vec<u8> = bytes.by_ref().take(2).collect();
                let digits = String::from_utf8_lossy(&digits).into_owned();
                out.push(u8::from_str_radix(&digits, 16).unwrap_or(b'%'));
            }
            other => out.push(other),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
