//! A small deployment in simulated time: the real key ownership logic with a simulated store,
//! network and backend servers, which can fail.

use std::net::SocketAddr;

use mesh::{
    BackendHeartbeat, ConditionalWrite, GrantCall, GrantCallId, GrantCallOutcome, GrantDelivery,
    HeldRange, Incarnation, KeyMap, KeyOwnership, KeyRequestCounts, LeaseReader, LeaseRow, MAX_KEY,
    OwnershipTiming, PeerHost, Renewal, RenewalBatch, RenewalWriterSelector, RowName, Witness,
    WitnessReply, WitnessRequest, WriteOutcome,
};
use model::{Fence, HostAddr, Millis, RowVersion};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The time step of the simulation, in milliseconds.
const STEP_MS: u64 = 20;

/// How long a host waits for the outcome of a renewal that another host writes.
const RENEWAL_TIMEOUT_MS: u64 = 700;

/// How long a backend server that crashed is down.
const RESTART_MS: std::ops::Range<u64> = 300..8_000;

/// How long a host waits for the reply to a grant call.
const GRANT_TIMEOUT_MS: u64 = 300;

/// The clock of a backend server runs slow by one part in this many.
const CLOCK_DRIFT_DIVISOR: u64 = 50;

/// Fault rates. `late_writes`, `late_calls`, `lost_messages` and `stale_reads` are percentages of
/// the calls, `outages` and `rollbacks` are per 100 s, all others per host and 100 s.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub restarts: u32,
    pub crashes: u32,
    pub drains: u32,
    pub freezes: u32,
    pub outages: u32,
    pub rollbacks: u32,
    pub late_writes: u32,
    pub late_calls: u32,
    pub lost_messages: u32,
    pub stale_reads: u32,
    pub store_partitions: u32,
    pub host_partitions: u32,
    /// How often the evacuation of a host starts or ends.
    pub evacuations: u32,
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
    /// How often the store went back to an earlier state.
    era: u64,
    unavailable_until: u64,
}

struct LateWrite {
    at: u64,
    write: ConditionalWrite,
}

#[derive(Clone)]
struct Backend {
    incarnation: Incarnation,
    seq: u64,
    up_from: u64,
    next_heartbeat: u64,
    draining: bool,
    /// The ranges that it holds, each with the end of its grant.
    held: Vec<(HeldRange, u64)>,
    /// The ranges that it was granted by calls.
    seen: Vec<HeldRange>,
    running: Vec<(u16, u64)>,
    released: Vec<(u16, u16, String)>,
}

/// A grant that is carried out some time after the call arrived.
struct LateGrant {
    at: u64,
    host: usize,
    backend: Incarnation,
    range: HeldRange,
    until: u64,
}

/// The reply to a grant call on its way.
struct GrantReply {
    at: u64,
    host: usize,
    process: u64,
    id: GrantCallId,
    outcome: GrantCallOutcome,
}

struct Host {
    addr: HostAddr,
    ownership: KeyOwnership,
    up_from: u64,
    frozen_until: u64,
    backend: Backend,
    write_response: Option<(u64, WriteOutcome)>,
    /// The renewal that is being written together with others: when it was sent, and to whom.
    renewing: Option<(u64, HostAddr)>,
    renewals: RenewalBatch<HostAddr>,
    renewal_writers: RenewalWriterSelector,
    /// The outcome of the batch that this host is writing.
    batch_response: Option<(u64, WriteOutcome)>,
    next_map_read: u64,
    next_grants: u64,
    process: u64,
    /// The incarnation of the backend server to which connections for grant calls are open.
    connected_to: Option<Incarnation>,
    witness: Witness,
    /// Partitioned from the store until this time.
    store_partition_until: u64,
    /// Partitioned from all other hosts until this time.
    host_partition_until: u64,
    evacuated: bool,
}

/// A renewal on its way to the host that writes it, or its outcome on the way back.
struct RenewalMessage {
    at: u64,
    from: usize,
    to: usize,
    renewal: Renewal,
    outcome: Option<WriteOutcome>,
}

/// A witness request between hosts, or its reply.
struct Message {
    at: u64,
    from: usize,
    to: usize,
    request: WitnessRequest,
    sent: u64,
    reply: Option<WitnessReply>,
}

pub struct Simulation {
    rng: StdRng,
    now: u64,
    faults: Faults,
    store: Store,
    history: Vec<(u64, Store)>,
    pending_writes: Vec<LateWrite>,
    messages: Vec<Message>,
    renewal_messages: Vec<RenewalMessage>,
    late_grants: Vec<LateGrant>,
    grant_replies: Vec<GrantReply>,
    delivery: GrantDelivery,
    hosts: Vec<Host>,
    last_id: u64,
    vary_load: bool,
    /// The last holder of each sampled key: the key, its fence and the backend server's id.
    last_holders: Vec<(u16, u64, String)>,
    /// How often a sampled key was held.
    pub held_samples: u64,
}

pub fn addr(i: usize) -> HostAddr {
    let text = format!("10.0.0.{}:7000", i + 1);
    HostAddr(text.parse::<SocketAddr>().unwrap())
}

fn backend(id: u64, now: u64, up_from: u64) -> Backend {
    Backend {
        incarnation: Incarnation { started_at: now, id: format!("b{id}") },
        seq: 0,
        up_from,
        next_heartbeat: up_from,
        draining: false,
        held: Vec::new(),
        seen: Vec::new(),
        running: Vec::new(),
        released: Vec::new(),
    }
}

fn new_ownership(i: usize, process: u64, delivery: GrantDelivery, now: u64) -> KeyOwnership {
    let timing = OwnershipTiming::default();
    let mut ownership = KeyOwnership::new(addr(i), process, timing, Millis(now));
    ownership.set_grant_delivery(delivery, Millis(now));
    ownership
}

impl Backend {
    /// Carries out a grant, unless a higher fence was granted on one of its keys.
    fn grant(&mut self, range: HeldRange, until: u64) -> GrantCallOutcome {
        let overlaps = |r: &HeldRange| r.from <= range.to && range.from <= r.to;
        if self.seen.iter().any(|s| overlaps(s) && s.fence > range.fence) {
            return GrantCallOutcome::HigherFence;
        }
        if !self.seen.contains(&range) {
            self.seen.push(range);
        }
        self.remove(range.from, range.to);
        self.held.push((range, until));
        GrantCallOutcome::Done { handover: String::new() }
    }

    /// Stops holding a range of keys.
    fn remove(&mut self, from: u16, to: u16) {
        let mut left = Vec::new();
        for (r, until) in self.held.drain(..) {
            if r.to < from || to < r.from {
                left.push((r, until));
                continue;
            }
            if r.from < from {
                left.push((HeldRange { to: from - 1, ..r }, until));
            }
            if to < r.to {
                left.push((HeldRange { from: to + 1, ..r }, until));
            }
        }
        self.held = left;
    }
}

impl Simulation {
    pub fn new(seed: u64, count: usize, delivery: GrantDelivery, faults: Faults) -> Self {
        let store = Store { version: 10, ..Store::default() };
        let mut sim = Self {
            rng: StdRng::seed_from_u64(seed),
            now: 1_000,
            faults,
            store,
            history: Vec::new(),
            pending_writes: Vec::new(),
            messages: Vec::new(),
            renewal_messages: Vec::new(),
            late_grants: Vec::new(),
            grant_replies: Vec::new(),
            delivery,
            hosts: Vec::new(),
            last_id: 0,
            vary_load: true,
            last_holders: Vec::new(),
            held_samples: 0,
        };
        for i in 0..count {
            let process = sim.next_id();
            let id = sim.next_id();
            sim.hosts.push(Host {
                addr: addr(i),
                ownership: new_ownership(i, process, delivery, 1_000),
                up_from: 0,
                frozen_until: 0,
                backend: backend(id, 1_000, 1_000),
                write_response: None,
                renewing: None,
                renewals: RenewalBatch::default(),
                renewal_writers: RenewalWriterSelector::default(),
                batch_response: None,
                next_map_read: 0,
                next_grants: 0,
                process,
                connected_to: None,
                witness: Witness::default(),
                store_partition_until: 0,
                host_partition_until: 0,
                evacuated: false,
            });
        }
        sim
    }

    /// Ends all faults and load changes.
    pub fn stop_faults(&mut self) {
        self.faults = Faults::default();
        self.vary_load = false;
        for h in &mut self.hosts {
            h.ownership.update_load(100, 600);
            h.evacuated = false;
            h.ownership.set_evacuation(false, Vec::new());
        }
    }

    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP_MS;
            self.inject_faults();
            self.apply_late_writes();
            self.deliver_messages();
            self.deliver_renewals();
            self.apply_late_grants();
            self.history.push((self.now, self.store.clone()));
            if self.history.len() > 200 {
                self.history.remove(0);
            }
            for i in 0..self.hosts.len() {
                self.step_backend(i);
                self.step_host(i);
            }
            self.check_holders();
        }
    }

    /// Returns the number of sampled keys that no backend server holds.
    pub fn count_unheld_keys(&self) -> usize {
        let held = |key: u16| self.hosts.iter().any(|h| self.holds(h, key));
        (0..=MAX_KEY).step_by(37).filter(|key| !held(*key)).count()
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn occurs(&mut self, per_100_s: u32) -> bool {
        let steps = 100_000 / STEP_MS;
        self.rng.random_range(0..steps) < u64::from(per_100_s)
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn inject_faults(&mut self) {
        let f = self.faults;
        if self.occurs(f.outages) {
            self.store.unavailable_until = self.now + self.rng.random_range(500..20_000);
        }
        if f.rollbacks > 0 && self.occurs(f.rollbacks) && !self.history.is_empty() {
            let copy = &self.history[self.rng.random_range(0..self.history.len())].1;
            self.store = self.store.restored_from(copy);
        }
        for i in 0..self.hosts.len() {
            if self.occurs(f.restarts) {
                let process = self.next_id();
                let up_from = self.now + self.rng.random_range(20..4_000);
                self.abandon_write(i);
                let h = &mut self.hosts[i];
                h.ownership = new_ownership(i, process, self.delivery, up_from);
                h.ownership.set_evacuation(h.evacuated, Vec::new());
                h.connected_to = None;
                h.next_grants = up_from;
                h.up_from = up_from;
                h.next_map_read = 0;
                h.process = process;
                h.witness = Witness::default();
            }
            if self.occurs(f.crashes) {
                let id = self.next_id();
                let back = self.now + self.rng.random_range(RESTART_MS);
                self.hosts[i].backend = backend(id, back, back);
                let first_heartbeat = back + self.rng.random_range(0..900);
                self.hosts[i].backend.next_heartbeat = first_heartbeat;
            }
            if self.occurs(f.drains) {
                self.hosts[i].backend.draining = true;
            }
            if self.occurs(f.store_partitions) {
                self.hosts[i].store_partition_until = self.now + self.rng.random_range(100..20_000);
            }
            if self.occurs(f.host_partitions) {
                self.hosts[i].host_partition_until = self.now + self.rng.random_range(100..20_000);
            }
            // No number is drawn without this fault, which keeps the course of the other seeds.
            if f.evacuations > 0 && self.occurs(f.evacuations) {
                let h = &mut self.hosts[i];
                h.evacuated = !h.evacuated;
                h.ownership.set_evacuation(h.evacuated, Vec::new());
            }
            if self.occurs(f.freezes) {
                self.hosts[i].frozen_until = self.now + self.rng.random_range(100..20_000);
            }
        }
    }

    /// Drops the response to the write of a process that ends. The write itself may have been
    /// applied, be applied later, or never be applied.
    fn abandon_write(&mut self, i: usize) {
        let h = &mut self.hosts[i];
        h.write_response = None;
        h.renewing = None;
        h.renewals = RenewalBatch::default();
        h.renewal_writers = RenewalWriterSelector::default();
        h.batch_response = None;
    }

    fn apply_late_writes(&mut self) {
        let due: Vec<LateWrite> = {
            let now = self.now;
            let (due, rest) =
                std::mem::take(&mut self.pending_writes).into_iter().partition(|l| l.at <= now);
            self.pending_writes = rest;
            due
        };
        for late in due {
            self.store.apply(&late.write);
        }
    }

    fn is_up(&self, i: usize) -> bool {
        let h = &self.hosts[i];
        self.now >= h.up_from && self.now >= h.frozen_until
    }

    fn deliver_messages(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|m| m.at <= now);
        self.messages = rest;
        for m in due {
            let reached = self.is_up(m.to)
                && now >= self.hosts[m.to].host_partition_until
                && now >= self.hosts[m.from].host_partition_until;
            if !reached || self.chance(self.faults.lost_messages) {
                continue;
            }
            let h = &mut self.hosts[m.to];
            match m.reply {
                Some(reply) => {
                    h.ownership.witness_replied(&m.request, reply, Millis(m.sent), Millis(now));
                }
                None => {
                    let reply = Some(h.witness.answer(&m.request, h.process, Millis(now)));
                    let at = now + self.rng.random_range(1..400);
                    self.messages.push(Message { at, from: m.to, to: m.from, reply, ..m });
                }
            }
        }
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        let cut = |i: usize| self.now < self.hosts[i].host_partition_until;
        a == b || !cut(a) && !cut(b)
    }

    fn deliver_renewals(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.renewal_messages).into_iter().partition(|m| m.at <= now);
        self.renewal_messages = rest;
        for m in due {
            let lost = m.from != m.to && self.chance(self.faults.lost_messages);
            if lost || !self.is_up(m.to) || !self.connected(m.from, m.to) {
                continue;
            }
            let from = self.hosts[m.from].addr;
            let h = &mut self.hosts[m.to];
            let Some(outcome) = m.outcome else {
                let submitter = m.renewal.host;
                h.renewals.submit(m.renewal, submitter, Millis(now));
                continue;
            };
            // The outcome of a renewal that was given up is ignored.
            if h.renewing.is_some_and(|(_, writer)| writer == from) {
                h.renewing = None;
                match outcome {
                    WriteOutcome::Committed(_) | WriteOutcome::Conflict(_) => {
                        h.renewal_writers.record_success(from);
                    }
                    WriteOutcome::NotApplied | WriteOutcome::Unknown => {
                        h.renewal_writers.record_failure(from, Millis(now));
                    }
                }
                h.write_response = Some((now, outcome));
            }
        }
    }

    /// Sends a renewal to the host that writes those of all hosts.
    fn renew(&mut self, i: usize, renewal: Renewal) {
        let now = self.now;
        let all: Vec<HostAddr> = self.hosts.iter().map(|h| h.addr).collect();
        let h = &mut self.hosts[i];
        let writer = h.renewal_writers.select(h.addr, &all, Millis(now));
        h.renewing = Some((now, writer));
        let to = all.iter().position(|h| *h == writer).unwrap();
        let at = now + if to == i { 0 } else { self.rng.random_range(1..100) };
        self.renewal_messages.push(RenewalMessage { at, from: i, to, renewal, outcome: None });
    }

    /// Writes the batch of renewals that is due at a host.
    fn step_renewals(&mut self, i: usize) {
        let now = self.now;
        if let Some((sent, writer)) = self.hosts[i].renewing
            && now >= sent + RENEWAL_TIMEOUT_MS
        {
            let h = &mut self.hosts[i];
            h.renewing = None;
            h.renewal_writers.record_failure(writer, Millis(now));
            h.write_response = Some((now, WriteOutcome::Unknown));
        }
        if let Some((_, outcome)) = self.hosts[i].batch_response.take_if(|(at, _)| *at <= now) {
            if let WriteOutcome::Committed(version) = outcome {
                self.hosts[i].ownership.record_store_version(version, Millis(now));
            }
            for (host, outcome) in self.hosts[i].renewals.finished(&outcome, Millis(now)) {
                let Some(to) = self.hosts.iter().position(|h| h.addr == host) else { continue };
                let at = now + if to == i { 0 } else { self.rng.random_range(1..100) };
                let renewal = Renewal { host, expected: RowVersion(0), row: Vec::new() };
                let outcome = Some(outcome);
                self.renewal_messages.push(RenewalMessage { at, from: i, to, renewal, outcome });
            }
        }
        let era = self.hosts[i].ownership.era();
        for host in self.hosts[i].renewals.remove_other_eras(era) {
            let Some(to) = self.hosts.iter().position(|h| h.addr == host) else { continue };
            let at = now + if to == i { 0 } else { self.rng.random_range(1..100) };
            let renewal = Renewal { host, expected: RowVersion(0), row: Vec::new() };
            let outcome = Some(WriteOutcome::NotApplied);
            self.renewal_messages.push(RenewalMessage { at, from: i, to, renewal, outcome });
        }
        if self.hosts[i].batch_response.is_none()
            && let Some(write) = self.hosts[i].renewals.next_write(Millis(now))
        {
            self.hosts[i].batch_response = Some(self.write(i, write));
        }
    }

    fn send_witness_requests(&mut self, i: usize) {
        let now = self.now;
        for (host, request) in self.hosts[i].ownership.witness_requests(Millis(now)) {
            let Some(to) = self.hosts.iter().position(|h| h.addr == host) else { continue };
            let at = now + self.rng.random_range(1..400);
            self.messages.push(Message { at, from: i, to, request, sent: now, reply: None });
        }
    }

    fn apply_late_grants(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.late_grants).into_iter().partition(|g| g.at <= now);
        self.late_grants = rest;
        for g in due {
            let b = &mut self.hosts[g.host].backend;
            if b.incarnation == g.backend && now < g.until {
                b.grant(g.range, g.until);
            }
        }
    }

    fn step_backend(&mut self, i: usize) {
        let now = self.now;
        let h = &mut self.hosts[i];
        if now < h.backend.up_from || now < h.frozen_until {
            return;
        }
        let b = &mut h.backend;
        b.running.retain(|(_, until)| *until > now);
        b.held.retain(|(_, until)| *until > now);
        if now < b.next_heartbeat {
            return;
        }
        b.next_heartbeat = now + 870;
        if now < h.up_from {
            return;
        }
        b.seq += 1;
        let by_call = self.delivery == GrantDelivery::Call;
        let mut held: Vec<HeldRange> = b.held.iter().map(|(r, _)| *r).collect();
        held.extend(b.running.iter().map(|(k, _)| HeldRange { from: *k, to: *k, fence: Fence(0) }));
        let heartbeat = BackendHeartbeat {
            incarnation: b.incarnation.clone(),
            seq: b.seq,
            draining: b.draining,
            held: if by_call { Vec::new() } else { held },
            released: std::mem::take(&mut b.released),
        };
        let reply = h.ownership.handle_heartbeat(&heartbeat, Millis(now));
        if by_call {
            assert_eq!(reply.grants, None, "granted in the reply to a heartbeat");
            h.connected_to = Some(h.backend.incarnation.clone());
        } else if let Some(grants) = reply.grants {
            let before = std::mem::take(&mut b.held);
            let until = now + reply.valid_for.0 + reply.valid_for.0 / CLOCK_DRIFT_DIVISOR;
            b.held = grants.iter().map(|g| (g.range, until)).collect();
            let kept = |r: &HeldRange| b.held.iter().any(|(h, _)| h.from <= r.from && r.to <= h.to);
            let dropped: Vec<HeldRange> =
                before.into_iter().map(|(r, _)| r).filter(|r| !kept(r)).collect();
            if !dropped.is_empty() {
                b.next_heartbeat = now + 100;
            }
            for r in dropped {
                b.released.push((r.from, r.to, format!("h{}", r.from)));
            }
        }
        if self.rng.random_bool(0.3) {
            let key: u16 = self.rng.random();
            let b = &mut self.hosts[i].backend;
            let held = b.held.iter().find(|(r, _)| r.from <= key && key <= r.to).copied();
            if let Some((_, held_until)) = held
                && self.hosts[i].ownership.check_key(key, Millis(now)).is_ok()
            {
                let until = now + self.rng.random_range(10..1_500);
                self.hosts[i].backend.running.push((key, until.min(held_until)));
            }
        }
    }

    /// Sends the due grant calls of a host, and delivers the replies to earlier ones.
    fn step_grants(&mut self, i: usize) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.grant_replies)
            .into_iter()
            .partition(|r| r.host == i && r.at <= now);
        self.grant_replies = rest;
        let process = self.hosts[i].process;
        for reply in due.into_iter().filter(|r| r.process == process) {
            let ownership = &mut self.hosts[i].ownership;
            ownership.grant_call_finished(reply.id, reply.outcome, Millis(now));
        }
        let h = &mut self.hosts[i];
        if now < h.next_grants {
            return;
        }
        h.next_grants = now + 60;
        let up = now >= h.backend.up_from;
        let is_open = |h: &Host| up && h.connected_to.as_ref() == Some(&h.backend.incarnation);
        let connected = is_open(h);
        let calls = h.ownership.next_grant_calls(connected, Millis(now));
        let may_open =
            |(id, _): &(GrantCallId, GrantCall)| h.ownership.may_connect_for(*id, Millis(now));
        if !connected && up && calls.first().is_some_and(may_open) {
            h.connected_to = Some(h.backend.incarnation.clone());
        }
        let connected = is_open(h);
        for (id, call) in calls {
            let (after, outcome) = match connected {
                true => self.carry_out(i, &call),
                false => (0, GrantCallOutcome::NotSent),
            };
            let process = self.hosts[i].process;
            self.grant_replies.push(GrantReply { at: now + after, host: i, process, id, outcome });
        }
    }

    /// Carries out a grant call at the backend server of a host. Returns when the host learns the
    /// outcome.
    fn carry_out(&mut self, i: usize, call: &GrantCall) -> (u64, GrantCallOutcome) {
        let now = self.now;
        let lost = self.chance(self.faults.lost_messages);
        let late = self.chance(self.faults.late_calls);
        let delay = self.rng.random_range(1..40);
        let late_at = now + self.rng.random_range(500..6_000);
        let b = &mut self.hosts[i].backend;
        let outcome = match call {
            GrantCall::Grant { grant, valid_for } => {
                let until = now + valid_for.0 + valid_for.0 / CLOCK_DRIFT_DIVISOR;
                let range = grant.range;
                if late {
                    let backend = b.incarnation.clone();
                    self.late_grants.push(LateGrant {
                        at: late_at,
                        host: i,
                        backend,
                        range,
                        until,
                    });
                    return (GRANT_TIMEOUT_MS, GrantCallOutcome::Unknown);
                }
                b.grant(range, until)
            }
            GrantCall::Release { range } => {
                if late {
                    return (GRANT_TIMEOUT_MS, GrantCallOutcome::Unknown);
                }
                b.remove(range.from, range.to);
                let running = b.running.iter().filter(|(k, _)| range.from <= *k && *k <= range.to);
                let end = running.map(|(_, until)| *until).max().unwrap_or(now);
                let done = GrantCallOutcome::Done { handover: format!("h{}", range.from) };
                return if lost {
                    (GRANT_TIMEOUT_MS, GrantCallOutcome::Unknown)
                } else {
                    (end - now + delay, done)
                };
            }
        };
        if lost { (GRANT_TIMEOUT_MS, GrantCallOutcome::Unknown) } else { (delay, outcome) }
    }

    fn step_host(&mut self, i: usize) {
        let now = self.now;
        if now < self.hosts[i].up_from || now < self.hosts[i].frozen_until {
            return;
        }
        self.send_witness_requests(i);
        if self.delivery == GrantDelivery::Call {
            self.step_grants(i);
        }
        self.step_renewals(i);
        if self.hosts[i].renewing.is_some() {
            return;
        }
        if let Some((at, _)) = &self.hosts[i].write_response {
            if *at <= now
                && let Some((_, outcome)) = self.hosts[i].write_response.take()
            {
                self.hosts[i].ownership.write_finished(outcome, Millis(now));
            }
            return;
        }
        if self.store.unavailable_until <= now && self.hosts[i].store_partition_until <= now {
            self.read(i);
        }
        if self.hosts[i].ownership.wants_members(Millis(now)) {
            self.hosts[i].ownership.members_asked(Millis(now));
            let others = (0..self.hosts.len()).filter(|o| *o != i);
            let others = others.filter(|o| self.is_up(*o) && self.connected(i, *o));
            let members =
                others.filter_map(|o| self.hosts[o].ownership.fresh_members(Millis(now))).next();
            if let Some(members) = members {
                self.hosts[i].ownership.update_members(members, Millis(now));
            }
        }
        // Random loads make the hosts move keys all the time.
        if self.vary_load && self.rng.random_bool(0.01) {
            let load = self.rng.random_range(0..1_200);
            self.hosts[i].ownership.update_load(load, 600);
            let mut request_counts = KeyRequestCounts::default();
            (0..50).for_each(|_| request_counts.record(self.rng.random()));
            self.hosts[i].ownership.shed_keys(&request_counts, &[], Millis(now));
        }
        let write = self.hosts[i].ownership.next_write(Millis(now));
        let Some(write) = write else { return };
        match Renewal::from_write(&write) {
            Some(renewal) => self.renew(i, renewal),
            None => self.hosts[i].write_response = Some(self.write(i, write)),
        }
    }

    fn read(&mut self, i: usize) {
        let now = self.now;
        let stale = self.faults.stale_reads;
        let store = if self.chance(stale) {
            let at = self.rng.random_range(0..self.history.len());
            self.history[at].1.clone()
        } else {
            self.store.clone()
        };
        if store.era() < self.hosts[i].ownership.era() {
            return;
        }
        let processes: Vec<_> = self.hosts.iter().map(|h| (h.addr, h.process)).collect();
        let suspicious = (0..self.hosts.len()).any(|o| !self.is_up(o) || !self.connected(i, o));
        let h = &mut self.hosts[i];
        let peer = |(host, process)| PeerHost { host, process, failure_domain: 0 };
        h.ownership.set_peers(processes.into_iter().map(peer).collect());
        if now >= h.next_map_read {
            h.next_map_read = now + 100;
            let map = store.map();
            h.ownership.note_map_read();
            if let Some((version, map)) = map {
                h.ownership.update_map(version, map, Millis(now));
            }
        }
        let writer = h.renewals.active_within(Millis(3_000), Millis(now));
        let reader = match writer {
            true if suspicious => LeaseReader::SuspiciousWriter,
            true => LeaseReader::Writer,
            false => LeaseReader::Member,
        };
        if h.ownership.wants_lease_read(reader, Millis(now)) {
            h.ownership.update_leases(store.leases(), Millis(now));
        }
    }

    /// Writes to the store. Returns the outcome and when the host learns it.
    fn write(&mut self, i: usize, write: ConditionalWrite) -> (u64, WriteOutcome) {
        let now = self.now;
        let unavailable =
            self.store.unavailable_until > now || self.hosts[i].store_partition_until > now;
        let (late, lost) = (self.faults.late_writes, self.faults.lost_messages);
        let delay = self.rng.random_range(10..150);
        if !is_sent(&write, self.hosts[i].ownership.era()) {
            (now, WriteOutcome::NotApplied)
        } else if self.chance(late) {
            let at = now + self.rng.random_range(50..6_000);
            self.pending_writes.push(LateWrite { at, write });
            (now + 1_500, WriteOutcome::Unknown)
        } else if unavailable && self.rng.random_bool(0.5) {
            (now + delay, WriteOutcome::NotApplied)
        } else if unavailable {
            (now + 1_500, WriteOutcome::Unknown)
        } else if self.chance(lost) {
            self.store.apply(&write);
            (now + 1_500, WriteOutcome::Unknown)
        } else {
            (now + delay, self.store.apply(&write))
        }
    }

    fn holds(&self, h: &Host, key: u16) -> bool {
        let b = &h.backend;
        let held =
            b.held.iter().any(|(r, until)| r.from <= key && key <= r.to && self.now < *until);
        let running = b.running.iter().any(|(k, until)| *k == key && self.now < *until);
        self.now >= b.up_from && (held || running)
    }

    fn check_holders(&mut self) {
        for key in (0..=MAX_KEY).step_by(251) {
            let holders: Vec<usize> =
                (0..self.hosts.len()).filter(|i| self.holds(&self.hosts[*i], key)).collect();
            assert!(holders.len() < 2, "at {} ms, key {key} has holders {holders:?}", self.now);
            let Some(&i) = holders.first() else { continue };
            self.held_samples += 1;
            let b = &self.hosts[i].backend;
            let held = b.held.iter().find(|(r, _)| r.from <= key && key <= r.to);
            // The key may have been released, while work on it is still running.
            let Some(fence) = held.map(|(r, _)| r.fence.0) else { continue };
            let known = self.last_holders.iter().position(|(k, ..)| *k == key);
            let Some(at) = known else {
                self.last_holders.push((key, fence, b.incarnation.id.clone()));
                continue;
            };
            let (_, previous, last_id) = &mut self.last_holders[at];
            let same = *last_id == b.incarnation.id;
            assert!(
                fence > *previous || same && fence == *previous,
                "at {} ms, key {key} has fence {fence} after {previous}",
                self.now
            );
            *previous = fence;
            last_id.clone_from(&b.incarnation.id);
        }
    }
}

/// Returns whether the client of a host that has seen `era` sends a write: none that expects versions
/// of another era.
pub fn is_sent(write: &ConditionalWrite, era: u64) -> bool {
    write.expect.iter().all(|(_, v)| *v == RowVersion(0) || v.era() == era)
}

impl Store {
    /// Returns how often the store went back to an earlier state.
    pub fn era(&self) -> u64 {
        self.era
    }

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

    /// Returns the version that a client reports for a row.
    fn stamp(&self, number: u64) -> RowVersion {
        RowVersion::in_era(self.era, number)
    }

    /// Returns the store after it went back to the state `copy`.
    pub fn restored_from(&self, copy: &Self) -> Self {
        Self { era: self.era + 1, unavailable_until: self.unavailable_until, ..copy.clone() }
    }

    /// Applies a write. Like a store, it knows nothing of the era in which the write was sent.
    pub fn apply(&mut self, write: &ConditionalWrite) -> WriteOutcome {
        let differs = write.expect.iter().any(|(name, v)| self.get(*name).0 != v.number());
        if differs {
            let row = |(name, _): &(RowName, RowVersion)| {
                let (version, value) = self.get(*name);
                (*name, self.stamp(version), value)
            };
            return WriteOutcome::Conflict(write.expect.iter().map(row).collect());
        }
        self.version += 1;
        for (name, value) in &write.put {
            self.set(*name, Some(value.clone()));
        }
        for name in &write.remove {
            self.set(*name, None);
        }
        WriteOutcome::Committed(self.stamp(self.version))
    }

    pub fn map(&self) -> Option<(RowVersion, KeyMap)> {
        let (version, value) = self.get(RowName::Map);
        value.map(|v| (self.stamp(version), KeyMap::decode(&v).unwrap()))
    }

    pub fn leases(&self) -> Vec<(HostAddr, RowVersion, LeaseRow)> {
        let lease = |r: &Row| match (r.name, &r.value) {
            (RowName::Lease(host), Some(value)) => {
                Some((host, self.stamp(r.version), LeaseRow::decode(value).unwrap()))
            }
            _ => None,
        };
        self.rows.iter().filter_map(lease).collect()
    }
}
