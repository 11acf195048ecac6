//! The platform's metadata store, as PROTOCOL.md tells it: tables of rows, transactions and feeds.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, respond, serve};
use crate::json::{Json, quote};

type Name = (String, String, String);

#[derive(Clone, Debug)]
pub struct Row {
    pub value: String,
    pub ver: u64,
    pub deleted: bool,
}

#[derive(Default)]
pub struct Rows {
    pub ver: u64,
    pub rows: BTreeMap<Name, Row>,
}

/// A transaction as it arrived.
#[derive(Clone, Debug)]
pub struct Tx {
    pub expect: Vec<(Name, u64)>,
    pub puts: Vec<(Name, String)>,
    pub remove: Vec<Name>,
}

/// What the store does with a transaction.
pub enum Fate {
    Answer,
    /// The connection ends without an answer, and the transaction is done after this time if its
    /// condition still holds.
    LateClosed(Arc<Late>),
    /// It is done after this time, and answered.
    Slow(Duration),
}

/// When a transaction is done that isn't answered.
pub struct Late {
    least: Duration,
    most: Duration,
    noticed: Mutex<bool>,
    notice: Condvar,
}

impl Late {
    pub fn fixed(time: Duration) -> Arc<Late> {
        Self::on_notice(time, time)
    }

    /// At the next notice, but not before and not after these times.
    pub fn on_notice(least: Duration, most: Duration) -> Arc<Late> {
        Arc::new(Late { least, most, noticed: Mutex::new(false), notice: Condvar::new() })
    }

    pub fn notify(&self) {
        *self.noticed.lock().unwrap() = true;
        self.notice.notify_all();
    }

    fn wait(&self) {
        *self.noticed.lock().unwrap() = false;
        let end = Instant::now() + self.most;
        thread::sleep(self.least);
        let mut noticed = self.noticed.lock().unwrap();
        while !*noticed && Instant::now() < end {
            let left = end.saturating_duration_since(Instant::now());
            noticed = self.notice.wait_timeout(noticed, left).unwrap().0;
        }
    }
}

pub type Hook = Box<dyn Fn(&Tx, &Rows) -> Fate + Send + Sync>;

pub struct Store {
    pub rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    hook: Mutex<Option<Arc<Hook>>>,
    pub on_done: Mutex<Option<Box<dyn Fn(&Tx, u64) + Send + Sync>>>,
}

const TX_TIME: Duration = Duration::from_millis(4);

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Store> {
        let store = Arc::new(Store {
            rows: Mutex::new(Rows { ver: 10, ..Rows::default() }),
            changed: Condvar::new(),
            started: Instant::now(),
            hook: Mutex::new(None),
            on_done: Mutex::new(None),
        });
        let shared = store.clone();
        let listener = TcpListener::bind(address).expect("the store's address is free");
        serve(listener, move |m, s| shared.handle(m, s));
        store
    }

    pub fn set_hook(&self, hook: Hook) {
        *self.hook.lock().unwrap() = Some(Arc::new(hook));
    }

    /// Writes a row as the operator.
    pub fn put(&self, table: &str, part: &str, key: &str, value: &[u8]) {
        let mut rows = self.rows.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        let name = (table.into(), part.into(), key.into());
        rows.rows.insert(name, Row { value: base64(value), ver, deleted: false });
        drop(rows);
        self.changed.notify_all();
    }

    fn handle(&self, m: &Message, s: &mut TcpStream) -> bool {
        match m.path() {
            "/v1/rows-tx" => self.transact(m, s),
            "/v1/rows-get" => {
                thread::sleep(TX_TIME);
                let rows = self.rows.lock().unwrap();
                let (table, part) = (m.query("table"), m.query("part"));
                let from = m.query("from").replace("%00", "\0");
                let limit = m.query("limit").parse().unwrap_or(500).min(500);
                let selected = |(n, r): &(&Name, &Row)| {
                    n.0 == table && n.1 == part && n.2 >= from && !r.deleted
                };
                let all: Vec<_> = rows.rows.iter().filter(selected).collect();
                let page: Vec<String> =
                    all.iter().take(limit).map(|(n, r)| row_json(n, r)).collect();
                let body = format!(
                    "{{\"rows\":[{}],\"has_more\":{},\"ver\":{},\"now_ms\":{}}}",
                    page.join(","),
                    all.len() > limit,
                    rows.ver,
                    self.started.elapsed().as_millis()
                );
                drop(rows);
                json_answer(s, "200 OK", &body)
            }
            "/v1/rows-feed" => {
                let (table, after) = (m.query("table"), m.query("after"));
                let after: u64 = after.parse().unwrap_or(0);
                let wait: u64 = m.query("wait_ms").parse().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                let mut rows = self.rows.lock().unwrap();
                let body = loop {
                    let mut found: Vec<_> =
                        rows.rows.iter().filter(|(n, r)| n.0 == table && r.ver > after).collect();
                    let now = Instant::now();
                    if !found.is_empty() || now >= end {
                        found.sort_by_key(|(_, r)| r.ver);
                        let found: Vec<String> =
                            found.into_iter().map(|(n, r)| row_json(n, r)).collect();
                        break format!(
                            "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                            found.join(","),
                            rows.ver,
                            self.started.elapsed().as_millis()
                        );
                    }
                    rows = self.changed.wait_timeout(rows, end - now).unwrap().0;
                };
                drop(rows);
                json_answer(s, "200 OK", &body)
            }
            _ => respond(s, "404 Not Found", &[], b""),
        }
    }

    fn transact(&self, m: &Message, s: &mut TcpStream) -> bool {
        let Some(wire) = Json::parse(&m.body) else {
            return respond(s, "400 Bad Request", &[], b"");
        };
        let name = |r: &Json| {
            let text = |f: &str| r.get(f).str().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let rows_of = |f: &str| wire.get(f).list().to_vec();
        let tx = Tx {
            expect: rows_of("expect_rev").iter().map(|r| (name(r), r.get("ver").num())).collect(),
            puts: rows_of("puts")
                .iter()
                .map(|r| (name(r), r.get("value").str().to_owned()))
                .collect(),
            remove: rows_of("remove").iter().map(name).collect(),
        };
        let hook = self.hook.lock().unwrap().clone();
        let fate = match hook {
            Some(hook) => hook(&tx, &self.rows.lock().unwrap()),
            None => Fate::Answer,
        };
        match fate {
            Fate::Answer => thread::sleep(TX_TIME),
            Fate::Slow(time) => thread::sleep(time),
            Fate::LateClosed(late) => {
                let _ = s.shutdown(std::net::Shutdown::Both);
                late.wait();
                let _ = self.apply(&tx);
                return false;
            }
        }
        match self.apply(&tx) {
            Ok(ver) => json_answer(s, "200 OK", &format!("{{\"ver\":{ver},\"now_ms\":0}}")),
            Err(body) => json_answer(s, "412 Precondition Failed", &body),
        }
    }

    fn apply(&self, tx: &Tx) -> Result<u64, String> {
        let mut rows = self.rows.lock().unwrap();
        let version =
            |rows: &Rows, n: &Name| rows.rows.get(n).filter(|r| !r.deleted).map_or(0, |r| r.ver);
        if tx.expect.iter().any(|(n, v)| version(&rows, n) != *v) {
            let found = tx.expect.iter().filter_map(|(n, _)| {
                rows.rows.get(n).filter(|r| !r.deleted).map(|r| row_json(n, r))
            });
            let found: Vec<String> = found.collect();
            return Err(format!("{{\"rows\":[{}],\"ver\":{}}}", found.join(","), rows.ver));
        }
        rows.ver += 1;
        let ver = rows.ver;
        for (n, value) in &tx.puts {
            rows.rows.insert(n.clone(), Row { value: value.clone(), ver, deleted: false });
        }
        for n in &tx.remove {
            if let Some(r) = rows.rows.get_mut(n) {
                *r = Row { value: String::new(), ver, deleted: true };
            }
        }
        drop(rows);
        self.changed.notify_all();
        if let Some(f) = &*self.on_done.lock().unwrap() {
            f(tx, ver);
        }
        Ok(ver)
    }
}

fn json_answer(s: &mut TcpStream, status: &str, body: &str) -> bool {
    respond(s, status, &[("Content-Type", "application/json")], body.as_bytes())
}

fn row_json(n: &Name, r: &Row) -> String {
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"value\":{},\"ver\":{},\"deleted\":{}}}",
        quote(&n.0),
        quote(&n.1),
        quote(&n.2),
        quote(&r.value),
        r.ver,
        r.deleted
    )
}

pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for c in bytes.chunks(3) {
        let n = c.iter().fold(0_u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - c.len()));
        for i in 0..4 {
            if i <= c.len() {
                out.push(SIGNS[(n >> (18 - 6 * i) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
