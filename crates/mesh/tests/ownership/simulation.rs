//! A small deployment in simulated time: the shipped keepers, and an environment that fails.

use std::net::SocketAddr;

use mesh::{
    BackendHeartbeat, ConditionalWrite, HeldRange, Incarnation, KeyMap, KeyOwnership,
    KeyRequestCounts, LeaseRow, MAX_KEY, OwnershipTiming, RowName, Witness, WitnessReply,
    WitnessRequest, WriteOutcome,
};
use model::{Fence, HostAddr, Millis, RowVersion};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The step of the simulation in milliseconds.
const STEP: u64 = 20;

/// How often things go wrong. Events per host and 100 s, shares of calls in percent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub restarts: u32,
    pub crashes: u32,
    pub leaves: u32,
    pub freezes: u32,
    pub outages: u32,
    pub late: u32,
    pub lost: u32,
    pub stale: u32,
    pub cuts: u32,
    pub alone: u32,
}

#[derive(Clone)]
struct Row {
    name: RowName,
    version: u64,
    value: Option<Vec<u8>>,
}

#[derive(Clone, Default)]
pub struct Store {
    rows: Vec<Row>,
    version: u64,
    away_until: u64,
}

struct LateWrite {
    at: u64,
    todo: ConditionalWrite,
}

#[derive(Clone)]
struct Backend {
    boot: Incarnation,
    seq: u64,
    up_from: u64,
    next_beat: u64,
    leaving: bool,
    holds: Vec<HeldRange>,
    hold_until: u64,
    working: Vec<(u16, u64)>,
    released: Vec<(u16, u16, String)>,
}

struct Host {
    addr: HostAddr,
    keeper: KeyOwnership,
    up_from: u64,
    frozen_until: u64,
    backend: Backend,
    answer: Option<(u64, WriteOutcome)>,
    follow_at: u64,
    process: u64,
    witness: Witness,
    /// Cut off from the store until then.
    cut_until: u64,
    /// Cut off from all other hosts until then.
    alone_until: u64,
}

/// A question between hosts, or its answer.
struct Message {
    at: u64,
    from: usize,
    to: usize,
    ask: WitnessRequest,
    sent: u64,
    word: Option<WitnessReply>,
}

pub struct World {
    rng: StdRng,
    now: u64,
    faults: Faults,
    store: Store,
    past: Vec<(u64, Store)>,
    late: Vec<LateWrite>,
    messages: Vec<Message>,
    hosts: Vec<Host>,
    drawn: u64,
    moving: bool,
    /// The last holder of each sampled key: its fence and its start.
    last: Vec<(u16, u64, String)>,
    /// Keys that were sampled as held.
    pub served: u64,
}

pub fn addr(i: usize) -> HostAddr {
    let text = format!("10.0.0.{}:7000", i + 1);
    HostAddr(text.parse::<SocketAddr>().unwrap())
}

fn backend(boot: u64, now: u64, up_from: u64) -> Backend {
    Backend {
        boot: Incarnation { started_at: now, id: format!("b{boot}") },
        seq: 0,
        up_from,
        next_beat: up_from,
        leaving: false,
        holds: Vec::new(),
        hold_until: 0,
        working: Vec::new(),
        released: Vec::new(),
    }
}

impl World {
    pub fn new(seed: u64, count: usize, faults: Faults) -> Self {
        let store = Store { rows: Vec::new(), version: 10, away_until: 0 };
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now: 1_000,
            faults,
            store,
            past: Vec::new(),
            late: Vec::new(),
            messages: Vec::new(),
            hosts: Vec::new(),
            drawn: 0,
            moving: true,
            last: Vec::new(),
            served: 0,
        };
        for i in 0..count {
            let process = world.draw();
            let boot = world.draw();
            world.hosts.push(Host {
                addr: addr(i),
                keeper: KeyOwnership::new(
                    addr(i),
                    process,
                    OwnershipTiming::default(),
                    Millis(1_000),
                ),
                up_from: 0,
                frozen_until: 0,
                backend: backend(boot, 1_000, 1_000),
                answer: None,
                follow_at: 0,
                process,
                witness: Witness::default(),
                cut_until: 0,
                alone_until: 0,
            });
        }
        world
    }

    pub fn calm(&mut self) {
        self.faults = Faults::default();
        self.moving = false;
        self.hosts.iter_mut().for_each(|h| h.keeper.update_load(100, 600));
    }

    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.fail();
            self.write_late();
            self.deliver();
            self.past.push((self.now, self.store.clone()));
            if self.past.len() > 200 {
                self.past.remove(0);
            }
            for i in 0..self.hosts.len() {
                self.step_backend(i);
                self.step_host(i);
            }
            self.check_holders();
        }
    }

    /// Counts sampled keys that no backend server holds.
    pub fn unheld(&self) -> usize {
        let held = |key: u16| self.hosts.iter().any(|h| self.holds(h, key));
        (0..=MAX_KEY).step_by(37).filter(|key| !held(*key)).count()
    }

    fn draw(&mut self) -> u64 {
        self.drawn += 1;
        self.drawn
    }

    fn happens(&mut self, per_100_s: u32) -> bool {
        let steps = 100_000 / STEP;
        self.rng.random_range(0..steps) < u64::from(per_100_s)
    }

    fn share(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn fail(&mut self) {
        let f = self.faults;
        if self.happens(f.outages) {
            self.store.away_until = self.now + self.rng.random_range(500..20_000);
        }
        for i in 0..self.hosts.len() {
            if self.happens(f.restarts) {
                let process = self.draw();
                let up_from = self.now + self.rng.random_range(20..4_000);
                self.abandon_write(i);
                let h = &mut self.hosts[i];
                h.keeper =
                    KeyOwnership::new(h.addr, process, OwnershipTiming::default(), Millis(up_from));
                h.up_from = up_from;
                h.follow_at = 0;
                h.process = process;
                h.witness = Witness::default();
            }
            if self.happens(f.crashes) {
                let boot = self.draw();
                let back = self.now + self.rng.random_range(20..8_000);
                self.hosts[i].backend = backend(boot, back, back);
            }
            if self.happens(f.leaves) {
                self.hosts[i].backend.leaving = true;
            }
            if self.happens(f.cuts) {
                self.hosts[i].cut_until = self.now + self.rng.random_range(100..20_000);
            }
            if self.happens(f.alone) {
                self.hosts[i].alone_until = self.now + self.rng.random_range(100..20_000);
            }
            if self.happens(f.freezes) {
                self.hosts[i].frozen_until = self.now + self.rng.random_range(100..20_000);
            }
        }
    }

    /// A write whose process ends is made, is made later, or is not made.
    fn abandon_write(&mut self, i: usize) {
        self.hosts[i].answer = None;
    }

    fn write_late(&mut self) {
        let due: Vec<LateWrite> = {
            let now = self.now;
            let (due, rest) = std::mem::take(&mut self.late).into_iter().partition(|l| l.at <= now);
            self.late = rest;
            due
        };
        for late in due {
            self.store.apply(&late.todo);
        }
    }

    fn lives(&self, i: usize) -> bool {
        let h = &self.hosts[i];
        self.now >= h.up_from && self.now >= h.frozen_until
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|m| m.at <= now);
        self.messages = rest;
        for m in due {
            let reached = self.lives(m.to)
                && now >= self.hosts[m.to].alone_until
                && now >= self.hosts[m.from].alone_until;
            if !reached || self.share(self.faults.lost) {
                continue;
            }
            let h = &mut self.hosts[m.to];
            match m.word {
                Some(word) => h.keeper.witness_replied(&m.ask, word, Millis(m.sent), Millis(now)),
                None => {
                    let word = Some(h.witness.answer(&m.ask, h.process, Millis(now)));
                    let at = now + self.rng.random_range(1..400);
                    self.messages.push(Message { at, from: m.to, to: m.from, word, ..m });
                }
            }
        }
    }

    fn ask(&mut self, i: usize) {
        let now = self.now;
        for (host, ask) in self.hosts[i].keeper.witness_requests(Millis(now)) {
            let Some(to) = self.hosts.iter().position(|h| h.addr == host) else { continue };
            let at = now + self.rng.random_range(1..400);
            self.messages.push(Message { at, from: i, to, ask, sent: now, word: None });
        }
    }

    fn step_backend(&mut self, i: usize) {
        let now = self.now;
        let h = &mut self.hosts[i];
        if now < h.backend.up_from || now < h.frozen_until {
            return;
        }
        let b = &mut h.backend;
        b.working.retain(|(_, until)| *until > now);
        if b.hold_until <= now {
            b.holds.clear();
        }
        if now < b.next_beat {
            return;
        }
        b.next_beat = now + 870;
        if now < h.up_from || now < h.frozen_until {
            return;
        }
        b.seq += 1;
        let mut holds = b.holds.clone();
        let working =
            b.working.iter().map(|(k, _)| HeldRange { from: *k, to: *k, fence: Fence(0) });
        holds.extend(working);
        let beat = BackendHeartbeat {
            incarnation: b.boot.clone(),
            seq: b.seq,
            draining: b.leaving,
            held: holds,
            released: std::mem::take(&mut b.released),
        };
        let reply = h.keeper.handle_heartbeat(&beat, Millis(now));
        let Some(grants) = reply.grants else { return };
        let before = std::mem::take(&mut b.holds);
        for g in &grants {
            b.holds.push(g.range);
        }
        b.hold_until = now + reply.valid_for.0;
        let still = |r: &HeldRange| b.holds.iter().any(|h| h.from <= r.from && r.to <= h.to);
        let dropped: Vec<HeldRange> = before.into_iter().filter(|r| !still(r)).collect();
        if !dropped.is_empty() {
            b.next_beat = now + 100;
        }
        for r in dropped {
            b.released.push((r.from, r.to, format!("h{}", r.from)));
        }
        if self.rng.random_bool(0.3) {
            let key: u16 = self.rng.random();
            let b = &mut self.hosts[i].backend;
            let held = b.holds.iter().any(|h| h.from <= key && key <= h.to);
            if held && self.hosts[i].keeper.check_key(key, Millis(now)).is_ok() {
                let until = now + self.rng.random_range(10..1_500);
                let b = &mut self.hosts[i].backend;
                b.working.push((key, until.min(b.hold_until)));
            }
        }
    }

    fn step_host(&mut self, i: usize) {
        let now = self.now;
        if now < self.hosts[i].up_from || now < self.hosts[i].frozen_until {
            return;
        }
        self.ask(i);
        if let Some((at, _)) = &self.hosts[i].answer {
            if *at <= now
                && let Some((_, written)) = self.hosts[i].answer.take()
            {
                self.hosts[i].keeper.write_finished(written, Millis(now));
            }
            return;
        }
        if self.store.away_until <= now && self.hosts[i].cut_until <= now {
            self.read(i);
        }
        // Loads that swing make the planner move runs all the time.
        if self.moving && self.rng.random_bool(0.01) {
            let load = self.rng.random_range(0..1_200);
            self.hosts[i].keeper.update_load(load, 600);
            let mut demand = KeyRequestCounts::default();
            (0..50).for_each(|_| demand.record(self.rng.random()));
            self.hosts[i].keeper.shed_keys(&demand, &[], Millis(now));
        }
        let todo = self.hosts[i].keeper.next_write(Millis(now));
        if let Some(todo) = todo {
            self.write(i, todo);
        }
    }

    fn read(&mut self, i: usize) {
        let now = self.now;
        let stale = self.faults.stale;
        let store = if self.share(stale) {
            let at = self.rng.random_range(0..self.past.len());
            self.past[at].1.clone()
        } else {
            self.store.clone()
        };
        let h = &mut self.hosts[i];
        if now >= h.follow_at {
            h.follow_at = now + 100;
            let map = store.map();
            h.keeper.note_map_read();
            if let Some((version, map)) = map {
                h.keeper.update_map(version, map);
            }
        }
        if h.keeper.wants_lease_read(Millis(now)) {
            h.keeper.update_leases(store.leases(), Millis(now));
        }
    }

    fn write(&mut self, i: usize, todo: ConditionalWrite) {
        let now = self.now;
        let away = self.store.away_until > now || self.hosts[i].cut_until > now;
        let (late, lost) = (self.faults.late, self.faults.lost);
        let delay = self.rng.random_range(10..150);
        let answer = if self.share(late) {
            let at = now + self.rng.random_range(50..6_000);
            self.late.push(LateWrite { at, todo });
            (now + 1_500, WriteOutcome::Unknown)
        } else if away && self.rng.random_bool(0.5) {
            (now + delay, WriteOutcome::NotApplied)
        } else if away {
            (now + 1_500, WriteOutcome::Unknown)
        } else if self.share(lost) {
            self.store.apply(&todo);
            (now + 1_500, WriteOutcome::Unknown)
        } else {
            (now + delay, self.store.apply(&todo))
        };
        self.hosts[i].answer = Some(answer);
    }

    fn holds(&self, h: &Host, key: u16) -> bool {
        let b = &h.backend;
        let held = b.holds.iter().any(|r| r.from <= key && key <= r.to);
        self.now >= b.up_from && self.now < b.hold_until && held
    }

    fn check_holders(&mut self) {
        for key in (0..=MAX_KEY).step_by(251) {
            let holders: Vec<usize> =
                (0..self.hosts.len()).filter(|i| self.holds(&self.hosts[*i], key)).collect();
            assert!(holders.len() < 2, "at {} key {key} has holders {holders:?}", self.now);
            let Some(&i) = holders.first() else { continue };
            self.served += 1;
            let b = &self.hosts[i].backend;
            let held = b.holds.iter().find(|r| r.from <= key && key <= r.to);
            let fence = held.map_or(0, |r| r.fence.0);
            let known = self.last.iter().position(|(k, ..)| *k == key);
            let Some(at) = known else {
                self.last.push((key, fence, b.boot.id.clone()));
                continue;
            };
            let (_, before, boot) = &mut self.last[at];
            let same = *boot == b.boot.id;
            assert!(
                fence > *before || same && fence == *before,
                "at {} key {key}: fence {fence} after {before}",
                self.now
            );
            *before = fence;
            boot.clone_from(&b.boot.id);
        }
    }
}

impl Store {
    fn get(&self, name: RowName) -> (u64, Option<Vec<u8>>) {
        let row = self.rows.iter().find(|r| r.name == name && r.value.is_some());
        row.map_or((0, None), |r| (r.version, r.value.clone()))
    }

    fn set(&mut self, name: RowName, value: Option<Vec<u8>>) {
        let version = self.version;
        match self.rows.iter_mut().find(|r| r.name == name) {
            Some(row) => (row.version, row.value) = (version, value),
            None => self.rows.push(Row { name, version, value }),
        }
    }

    pub fn apply(&mut self, todo: &ConditionalWrite) -> WriteOutcome {
        let differs = todo.expect.iter().any(|(name, v)| self.get(*name).0 != v.0);
        if differs {
            let row = |(name, _): &(RowName, RowVersion)| {
                let (version, value) = self.get(*name);
                (*name, RowVersion(version), value)
            };
            return WriteOutcome::Conflict(todo.expect.iter().map(row).collect());
        }
        self.version += 1;
        for (name, value) in &todo.put {
            self.set(*name, Some(value.clone()));
        }
        for name in &todo.remove {
            self.set(*name, None);
        }
        WriteOutcome::Committed(RowVersion(self.version))
    }

    pub fn map(&self) -> Option<(RowVersion, KeyMap)> {
        let (version, value) = self.get(RowName::Map);
        value.map(|v| (RowVersion(version), KeyMap::decode(&v).unwrap()))
    }

    pub fn leases(&self) -> Vec<(HostAddr, RowVersion, LeaseRow)> {
        let lease = |r: &Row| match (r.name, &r.value) {
            (RowName::Lease(host), Some(value)) => {
                Some((host, RowVersion(r.version), LeaseRow::decode(value).unwrap()))
            }
            _ => None,
        };
        self.rows.iter().filter_map(lease).collect()
    }
}
