//! A bounded search: all orders of a few faults over a small deployment in simulated time, breadth
//! first. States that were seen before are not visited again. Random faults meet such an order only
//! by chance.

use std::collections::HashSet;
use std::fmt::Write as _;
use std::hash::{DefaultHasher, Hash, Hasher};

use mesh::{
    BackendHeartbeat, ConditionalWrite, DepartureLog, HeldRange, Incarnation, KeyMap, KeyOwnership,
    KeyRange, LeaseReader, OwnershipTiming, PeerHost, RowName, Witness, WitnessReply, WriteOutcome,
};
use model::{Fence, Millis, RowVersion};

use crate::simulation::{Store, addr, is_sent};

const TICK: Millis = Millis(500);

/// The ticks in which the hosts at the start take their keys, before the search begins.
const WARM_UP_TICKS: usize = 12;

/// The ticks after the last fault: longer than the longest term of a lease.
const SETTLE_TICKS: usize = 26;

/// The same where the store goes back, after which keys are taken over that much later.
const ROLLBACK_SETTLE_TICKS: usize = 44;

/// How many ticks ago the copy was made to which the store goes back.
const COPY_AGE_TICKS: usize = 4;

const LAST_HOST: usize = 3;

/// The host to which the faults happen. It is not among the first two, which watch the leases.
const HOLDER: usize = 2;

const KEYS: [u16; 8] = [0, 9_000, 17_000, 25_000, 33_000, 41_000, 50_000, 65_535];

/// Clocks of backend servers may run slow by one part in this many.
const CLOCK_DRIFT_DIVISOR: u64 = 50;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fault {
    /// Another host joins, which changes the witnesses and the placement.
    Join,
    /// The answers to the holder's writes are lost for two ticks, and the writes may be done later.
    LoseAnswers,
    /// The same, but the writes are done at once.
    LoseAnswersOfDone,
    /// The writes that may be done late are attempted.
    ApplyLate,
    /// The map changes, and the holder learns of no change for three ticks.
    HoldChanges,
    /// The holder is cut from the store for the rest of the time.
    CutStore,
    /// The holder's process makes no step for eight ticks; its backend server goes on.
    Freeze,
    /// A process is replaced by a new one beside the same backend server.
    Restart(usize),
    /// The backend server of the holder starts anew under the same id.
    RestartBackend,
    /// The map asks the holder to hand a range over to another host.
    AskMove,
    /// A heartbeat of the holder's backend server is held back.
    HoldHeartbeat,
    /// Heartbeats of the holder's backend server get lost for four ticks.
    LoseHeartbeats,
    /// The heartbeat that was held back arrives.
    DeliverHeartbeat,
    /// The holder's backend server deregisters and sends no more heartbeats.
    Deregister,
    /// The store goes back to an earlier state.
    RollBack,
    /// A process is lost, with its backend server.
    Lose(usize),
}

#[derive(Clone)]
struct Backend {
    incarnation: Incarnation,
    seq: u64,
    /// The ranges that it holds, each with the end of its grant.
    held: Vec<(HeldRange, Millis)>,
    released: Vec<(u16, u16, String)>,
    left: bool,
}

#[derive(Clone)]
struct Node {
    ownership: KeyOwnership,
    witness: Witness,
    departures: DepartureLog,
    process: u64,
    joined: bool,
    losing_until: Millis,
    done_at_once: bool,
    changes_held_until: Millis,
    frozen_until: Millis,
    heartbeats_lost_until: Millis,
    cut: bool,
    backend: Backend,
    held_heartbeat: Option<BackendHeartbeat>,
}

/// The deployment, with its store and what is checked.
#[derive(Clone)]
struct World {
    now: Millis,
    store: Store,
    /// The states of the store at the end of the last ticks.
    copies: Vec<Store>,
    nodes: Vec<Node>,
    late: Vec<ConditionalWrite>,
    /// The departure that the store has for the holder.
    departure: (RowVersion, Option<mesh::Departure>),
    /// The incarnation whose deregistration was confirmed.
    confirmed: Option<Incarnation>,
    /// The highest fence with which each of `KEYS` was held, and by which incarnation.
    fences: Vec<(Fence, Incarnation)>,
}

fn incarnation(i: usize, started_at: u64) -> Incarnation {
    Incarnation { started_at, id: format!("b{i}") }
}

fn is_dropped(range: HeldRange, kept: &[HeldRange]) -> bool {
    !kept.iter().any(|k| k.from <= range.from && range.to <= k.to)
}

impl World {
    fn new() -> Self {
        let now = Millis(10_000);
        let mut store = Store::default();
        let owner = |i: u16| addr(usize::from(i) % LAST_HOST);
        let range = |i: u16| KeyRange {
            from: i * 8_192,
            to: i * 8_192 + 8_191,
            owner: owner(i),
            fence: Fence(1),
            handover: String::new(),
            next_owner: None,
        };
        let map = KeyMap {
            last_fence: Fence(1),
            ranges: (0..8).map(range).collect(),
            ..KeyMap::default()
        };
        store.apply(&ConditionalWrite {
            put: vec![(RowName::Map, map.encode())],
            ..ConditionalWrite::default()
        });
        let node = |i: usize| Node {
            ownership: KeyOwnership::new(addr(i), i as u64, OwnershipTiming::default(), now),
            witness: Witness::default(),
            departures: DepartureLog::default(),
            process: i as u64,
            joined: i < LAST_HOST,
            losing_until: Millis::ZERO,
            done_at_once: false,
            changes_held_until: Millis::ZERO,
            frozen_until: Millis::ZERO,
            heartbeats_lost_until: Millis::ZERO,
            cut: false,
            backend: Backend {
                incarnation: incarnation(i, 1),
                seq: 0,
                held: Vec::new(),
                released: Vec::new(),
                left: false,
            },
            held_heartbeat: None,
        };
        let mut world = Self {
            now,
            store,
            copies: Vec::new(),
            nodes: (0..=LAST_HOST).map(node).collect(),
            late: Vec::new(),
            departure: (RowVersion(0), None),
            confirmed: None,
            fences: vec![(Fence(0), Incarnation::default()); KEYS.len()],
        };
        world.nodes.iter_mut().for_each(|n| n.departures.update_stored(RowVersion(0), None));
        for _ in 0..WARM_UP_TICKS {
            world.step().unwrap();
        }
        let held = KEYS.iter().filter(|k| world.holder_of(**k).len() == 1).count();
        assert_eq!(held, KEYS.len(), "not all keys are held before the search");
        world
    }

    fn apply(&mut self, fault: Fault) {
        let now = self.now;
        let n = &mut self.nodes[HOLDER];
        match fault {
            Fault::Join => self.nodes[LAST_HOST].joined = true,
            Fault::LoseAnswers | Fault::LoseAnswersOfDone => {
                n.losing_until = now + Millis(2 * TICK.0 + 1);
                n.done_at_once = fault == Fault::LoseAnswersOfDone;
            }
            Fault::ApplyLate => {
                for write in std::mem::take(&mut self.late) {
                    self.store.apply(&write);
                }
            }
            Fault::HoldChanges => {
                n.changes_held_until = now + Millis(3 * TICK.0);
                self.ask_for_move(1, HOLDER);
            }
            Fault::CutStore => n.cut = true,
            Fault::Freeze => n.frozen_until = now + Millis(8 * TICK.0),
            Fault::Restart(i) => self.restart(i),
            Fault::RestartBackend => {
                let b = &mut n.backend;
                b.incarnation.started_at += 1;
                (b.seq, b.left) = (0, false);
                b.held.clear();
                b.released.clear();
            }
            Fault::AskMove => self.ask_for_move(HOLDER, 0),
            Fault::HoldHeartbeat if n.backend.left => {}
            Fault::HoldHeartbeat => n.held_heartbeat = Some(n.next_heartbeat()),
            Fault::LoseHeartbeats => n.heartbeats_lost_until = now + Millis(4 * TICK.0),
            Fault::DeliverHeartbeat => {
                if let Some(heartbeat) = n.held_heartbeat.take() {
                    n.receive(&heartbeat, now);
                }
            }
            Fault::Deregister => self.deregister(),
            Fault::RollBack => self.store = self.store.restored_from(&self.copies[0]),
            Fault::Lose(i) => {
                let n = &mut self.nodes[i];
                n.frozen_until = Millis(u64::MAX);
                n.backend.held.clear();
            }
        }
    }

    /// Writes a map that asks a host to hand a range over to another one.
    fn ask_for_move(&mut self, from: usize, to: usize) {
        let (version, mut map) = self.store.map().unwrap();
        let own = map.ranges.iter_mut().find(|r| r.owner == addr(from));
        own.into_iter().for_each(|r| r.next_owner = Some(addr(to)));
        self.store.apply(&ConditionalWrite {
            expect: vec![(RowName::Map, version)],
            put: vec![(RowName::Map, map.encode())],
            ..ConditionalWrite::default()
        });
    }

    fn restart(&mut self, i: usize) {
        let n = &mut self.nodes[i];
        n.process += 100;
        n.ownership = KeyOwnership::new(addr(i), n.process, OwnershipTiming::default(), self.now);
        n.witness = Witness::default();
        n.departures = DepartureLog::default();
    }

    /// The backend server of the holder deregisters, which is confirmed once it is recorded.
    fn deregister(&mut self) {
        let n = &mut self.nodes[HOLDER];
        n.backend.left = true;
        n.ownership.backend_deregistered();
        n.departures.record_deregistration(n.backend.incarnation.clone());
        if n.cut {
            return;
        }
        if let Some((_, departure)) = n.departures.next_write() {
            let departure = departure.clone();
            self.departure = (RowVersion(self.departure.0.0 + 1), Some(departure));
            n.departures.update_stored(self.departure.0, self.departure.1.clone());
        }
        if n.departures.is_recorded() {
            self.confirmed = Some(n.backend.incarnation.clone());
        }
    }

    /// Makes one tick. Returns what is violated.
    fn step(&mut self) -> Result<(), String> {
        self.now += TICK;
        for i in 0..self.nodes.len() {
            if self.nodes[i].joined && self.now >= self.nodes[i].frozen_until {
                self.step_node(i);
            }
            self.check()?;
        }
        self.copies.push(self.store.clone());
        if self.copies.len() > COPY_AGE_TICKS {
            self.copies.remove(0);
        }
        Ok(())
    }

    fn step_node(&mut self, i: usize) {
        let now = self.now;
        let peer = |(i, n): (usize, &Node)| {
            n.joined.then_some(PeerHost { host: addr(i), process: n.process, failure_domain: 0 })
        };
        let peers: Vec<PeerHost> = self.nodes.iter().enumerate().filter_map(peer).collect();
        let alone = self.nodes.iter().any(|n| n.joined && (n.cut || now < n.frozen_until));
        let reader = if alone { LeaseReader::SuspiciousWriter } else { LeaseReader::Writer };
        let members = (0..self.nodes.len())
            .filter(|o| *o != i && self.nodes[*o].joined)
            .find_map(|o| self.nodes[o].ownership.fresh_members(now));
        let n = &mut self.nodes[i];
        if !n.cut && now >= n.changes_held_until {
            n.ownership.set_peers(peers);
            n.ownership.note_map_read();
            if let Some((version, map)) = self.store.map() {
                n.ownership.update_map(version, map, now);
            }
        }
        if !n.cut && !n.departures.is_known() {
            let (version, departure) =
                if i == HOLDER { self.departure.clone() } else { (RowVersion(0), None) };
            n.departures.update_stored(version, departure);
        }
        if !n.cut && n.ownership.wants_lease_read(reader, now) {
            n.ownership.update_leases(self.store.leases(), now);
        }
        if n.ownership.wants_members(now) {
            n.ownership.members_asked(now);
            if let Some(members) = members {
                n.ownership.update_members(members, now);
            }
        }
        if !n.backend.left && now >= n.heartbeats_lost_until {
            let heartbeat = n.next_heartbeat();
            n.receive(&heartbeat, now);
        }
        self.ask_witnesses(i);
        for _ in 0..3 {
            let Some(write) = self.nodes[i].ownership.next_write(now) else { break };
            let outcome = self.write(i, write);
            self.nodes[i].ownership.write_finished(outcome, now);
        }
    }

    fn write(&mut self, i: usize, write: ConditionalWrite) -> WriteOutcome {
        let n = &self.nodes[i];
        if n.cut || !is_sent(&write, n.ownership.era()) {
            return WriteOutcome::NotApplied;
        }
        if self.now >= n.losing_until {
            return self.store.apply(&write);
        }
        if n.done_at_once {
            self.store.apply(&write);
        } else {
            self.late.push(write);
        }
        WriteOutcome::Unknown
    }

    fn ask_witnesses(&mut self, i: usize) {
        let now = self.now;
        for (host, request) in self.nodes[i].ownership.witness_requests(now) {
            let Some(to) = (0..self.nodes.len()).find(|o| addr(*o) == host) else { continue };
            let witness = &mut self.nodes[to];
            if !witness.joined || now < witness.frozen_until {
                continue;
            }
            let reply: WitnessReply = witness.witness.answer(&request, witness.process, now);
            self.nodes[i].ownership.witness_replied(&request, reply, now, now);
        }
    }

    fn holder_of(&self, key: u16) -> Vec<(usize, Fence)> {
        let now = self.now;
        let holds = |(i, n): (usize, &Node)| {
            let held = n.backend.held.iter();
            let mut held = held.filter(|(r, until)| r.from <= key && key <= r.to && now < *until);
            held.next().map(|(r, _)| (i, r.fence))
        };
        self.nodes.iter().enumerate().filter_map(holds).collect()
    }

    fn check(&mut self) -> Result<(), String> {
        let now = self.now;
        for (at, key) in KEYS.into_iter().enumerate() {
            let holders = self.holder_of(key);
            if holders.len() > 1 {
                return Err(format!("at {now} ms, key {key} has holders {holders:?}"));
            }
            let Some((i, fence)) = holders.first().copied() else { continue };
            let current = &self.nodes[i].backend.incarnation;
            let (highest, last) = &mut self.fences[at];
            if fence < *highest || fence == *highest && current != last {
                return Err(format!("at {now} ms, key {key} has fence {fence} after {highest}"));
            }
            (*highest, *last) = (fence, current.clone());
        }
        let ownership = &self.nodes[HOLDER].ownership;
        let used = ownership.backend_incarnation().filter(|_| ownership.backend_serving());
        match (&self.confirmed, used) {
            (Some(left), Some(used)) if left == used => {
                Err(format!("at {now} ms, {} is used after it has left", used.id))
            }
            _ => Ok(()),
        }
    }

    /// Hashes all that decides what follows.
    fn digest(&self) -> u64 {
        let mut text = String::new();
        let store = (self.store.map(), self.store.leases());
        let copies: Vec<_> = self.copies.iter().map(|c| (c.map(), c.leases())).collect();
        write!(
            text,
            "{store:?} {copies:?} {:?} {:?} {:?}",
            self.late, self.departure, self.confirmed
        )
        .unwrap();
        for n in &self.nodes {
            let Node { ownership, witness, departures, backend: b, held_heartbeat, .. } = n;
            let times = (n.losing_until, n.changes_held_until, n.frozen_until);
            write!(text, "{:?} {:?}", n.heartbeats_lost_until, n.done_at_once).unwrap();
            write!(text, "{ownership:?} {witness:?} {departures:?} {held_heartbeat:?}").unwrap();
            write!(text, "{times:?} {:?} {:?}", (n.joined, n.cut, n.process), b.incarnation)
                .unwrap();
            write!(text, "{:?} {:?} {:?}", b.seq, b.held, (&b.released, b.left)).unwrap();
        }
        let mut hasher = DefaultHasher::new();
        (text, format!("{:?}", self.fences)).hash(&mut hasher);
        hasher.finish()
    }
}

impl Node {
    fn next_heartbeat(&mut self) -> BackendHeartbeat {
        let b = &mut self.backend;
        b.seq += 1;
        BackendHeartbeat {
            incarnation: b.incarnation.clone(),
            seq: b.seq,
            draining: false,
            held: b.held.iter().map(|(r, _)| *r).collect(),
            released: std::mem::take(&mut b.released),
        }
    }

    fn receive(&mut self, heartbeat: &BackendHeartbeat, now: Millis) {
        let b = &mut self.backend;
        b.held.retain(|(_, until)| now < *until);
        let departures = &self.departures;
        if !departures.is_known() || !departures.admits(&heartbeat.incarnation, heartbeat.seq) {
            return;
        }
        let reply = self.ownership.handle_heartbeat(heartbeat, now);
        let current = heartbeat.incarnation == b.incarnation && heartbeat.seq == b.seq;
        let Some(grants) = reply.grants.filter(|_| current) else { return };
        let granted: Vec<HeldRange> = grants.iter().map(|g| g.range).collect();
        let dropped = b.held.iter().map(|(r, _)| *r).filter(|r| is_dropped(*r, &granted));
        let dropped: Vec<HeldRange> = dropped.collect();
        b.released.extend(dropped.iter().map(|r| (r.from, r.to, "h".to_owned())));
        let until = now + reply.valid_for + Millis(reply.valid_for.0 / CLOCK_DRIFT_DIVISOR);
        b.held = granted.into_iter().map(|r| (r, until)).collect();
    }
}

/// The faults of a search, each of which happens at most once, and its size.
struct Space {
    name: &'static str,
    faults: Vec<Fault>,
    /// The ticks in which faults happen.
    ticks: usize,
    /// The ticks after the last fault.
    settle_ticks: usize,
    /// The most faults that happen.
    budget: usize,
}

/// Searches a space. Returns the number of states, or a trace to a violation.
fn search(space: &Space) -> Result<usize, String> {
    let mut level: Vec<(World, Vec<(usize, Fault)>)> = vec![(World::new(), Vec::new())];
    let mut visited = 0;
    for tick in 0..space.ticks {
        let mut seen = HashSet::new();
        let mut next = Vec::new();
        for (world, trace) in level {
            for mut faults in choices(space, &trace) {
                let (mut world, mut trace) = (world.clone(), trace.clone());
                trace.extend(faults.iter().map(|f| (tick, *f)));
                faults.drain(..).for_each(|f| world.apply(f));
                let stepped = world.check().and_then(|()| world.step());
                stepped.map_err(|e| format!("{}: {e}: {trace:?}", space.name))?;
                let mut used: Vec<Fault> = trace.iter().map(|(_, f)| *f).collect();
                used.sort_by_key(|f| space.faults.iter().position(|g| g == f));
                if seen.insert((world.digest(), used)) {
                    next.push((world, trace));
                }
            }
        }
        visited += next.len();
        level = next;
    }
    for (mut world, trace) in level {
        for _ in 0..space.settle_ticks {
            world.step().map_err(|e| format!("{}: {e}: {trace:?}", space.name))?;
        }
    }
    Ok(visited)
}

/// Returns the faults that may happen in one tick: none, one, or two in the order of the space.
fn choices(space: &Space, trace: &[(usize, Fault)]) -> Vec<Vec<Fault>> {
    let left = space.budget - trace.len();
    let unused = |f: &&Fault| !trace.iter().any(|(_, g)| g == *f);
    let unused: Vec<Fault> = space.faults.iter().filter(unused).copied().collect();
    let mut all = vec![Vec::new()];
    if left > 0 {
        all.extend(unused.iter().map(|f| vec![*f]));
    }
    if left > 1 {
        for (i, a) in unused.iter().enumerate() {
            all.extend(unused[i + 1..].iter().map(|b| vec![*a, *b]));
        }
    }
    all
}

fn check(space: Space) {
    match search(&space) {
        Ok(states) => println!("{}: {states} states", space.name),
        Err(violation) => panic!("{violation}"),
    }
}

#[test]
fn late_writes_and_changed_witnesses() {
    check(Space {
        name: "late writes and changed witnesses",
        faults: vec![
            Fault::Join,
            Fault::LoseAnswers,
            Fault::AskMove,
            Fault::HoldChanges,
            Fault::CutStore,
            Fault::ApplyLate,
        ],
        ticks: 4,
        settle_ticks: SETTLE_TICKS,
        budget: 6,
    });
}

#[test]
fn departures_restarts_and_late_heartbeats() {
    check(Space {
        name: "departures, restarts and late heartbeats",
        faults: vec![
            Fault::HoldHeartbeat,
            Fault::Deregister,
            Fault::Restart(HOLDER),
            Fault::DeliverHeartbeat,
            Fault::CutStore,
        ],
        ticks: 4,
        settle_ticks: SETTLE_TICKS,
        budget: 4,
    });
}

#[test]
fn restarts_and_lost_answers() {
    check(Space {
        name: "restarts and lost answers",
        faults: vec![
            Fault::LoseAnswers,
            Fault::Restart(HOLDER),
            Fault::Restart(0),
            Fault::ApplyLate,
            Fault::RestartBackend,
        ],
        ticks: 4,
        settle_ticks: SETTLE_TICKS,
        budget: 4,
    });
}

#[test]
fn freezes_and_lost_answers() {
    check(Space {
        name: "freezes and lost answers",
        faults: vec![
            Fault::Join,
            Fault::LoseAnswersOfDone,
            Fault::Freeze,
            Fault::CutStore,
            Fault::Restart(1),
        ],
        ticks: 4,
        settle_ticks: SETTLE_TICKS,
        budget: 4,
    });
}

#[test]
fn moves_restarts_and_late_heartbeats() {
    check(Space {
        name: "moves, restarts and late heartbeats",
        faults: vec![
            Fault::RestartBackend,
            Fault::HoldHeartbeat,
            Fault::LoseHeartbeats,
            Fault::Restart(HOLDER),
            Fault::AskMove,
            Fault::DeliverHeartbeat,
        ],
        ticks: 5,
        settle_ticks: SETTLE_TICKS,
        budget: 6,
    });
}

#[test]
fn rollbacks_of_the_store_and_moves() {
    check(Space {
        name: "rollbacks of the store and moves",
        faults: vec![
            Fault::AskMove,
            Fault::RollBack,
            Fault::LoseAnswers,
            Fault::ApplyLate,
            Fault::CutStore,
        ],
        ticks: 6,
        settle_ticks: ROLLBACK_SETTLE_TICKS,
        budget: 4,
    });
}

#[test]
fn rollbacks_of_the_store_and_restarts() {
    check(Space {
        name: "rollbacks of the store and restarts",
        faults: vec![
            Fault::AskMove,
            Fault::RollBack,
            Fault::Restart(HOLDER),
            Fault::Restart(0),
            Fault::RestartBackend,
        ],
        ticks: 6,
        settle_ticks: ROLLBACK_SETTLE_TICKS,
        budget: 3,
    });
}

#[test]
fn rollbacks_of_the_store_and_lost_hosts() {
    check(Space {
        name: "rollbacks of the store and lost hosts",
        faults: vec![
            Fault::AskMove,
            Fault::RollBack,
            Fault::Join,
            Fault::Freeze,
            Fault::CutStore,
            Fault::Lose(1),
        ],
        ticks: 6,
        settle_ticks: ROLLBACK_SETTLE_TICKS,
        budget: 3,
    });
}
