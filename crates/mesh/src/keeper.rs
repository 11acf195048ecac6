//! The keys of one host: its lease, what its backend server was granted, and releases.
//!
//! A lease that the store does not renew lasts a short span, or longer while witnesses confirm its
//! holder ([`crate::Witness`]).
//!
//! Three promises hold each other up. The backend server holds keys until the end that a grant
//! gave; a grant ends before the lease that backs it; a lease ends, for everyone else, only after
//! its holder stopped counting on it. A key changes hands by one conditional write of the map,
//! made by its owner after the backend server released it, or by anyone after the owner's lease
//! ended, on condition that the lease row is still the one that was seen to end.

use model::{Fence, HostAddr, Millis, RowVersion, derive_common};

use crate::leases::{Boot, LeaseRow, LeaseWatch};
use crate::plan::{self, Member};
use crate::witness::{self, Ask, Question, Word};
use crate::{Demand, KeyMap, Run};

/// How long things last. All spans in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperTimes {
    /// A lease runs this long from before its renewal was sent, if nobody confirms its holder.
    pub short: Millis,
    /// A lease runs at most this long from before its renewal was sent, if witnesses confirm.
    pub term: Millis,
    /// Witnesses are asked if the last renewal was sent longer ago than this.
    pub ask_after: Millis,
    /// Witnesses are asked again after this.
    pub ask_every: Millis,
    /// A lease is renewed this long after the last renewal was sent.
    pub renew_after: Millis,
    /// A renewal that failed is sent again after this.
    pub retry_after: Millis,
    /// A grant runs at most this long.
    pub hold: Millis,
    /// A host whose renewal is late by this is given no keys.
    pub doubt: Millis,
    /// Others wait this much longer than the term before they take the keys.
    pub margin: Millis,
    /// The first map waits this long for other hosts to show up.
    pub gather: Millis,
    /// Leases are read this often by the first member; later members read less often.
    pub watch_every: Millis,
    /// Loads are measured anew for this long before more keys are given away.
    pub settle: Millis,
    /// A backend server without heartbeats for this long after its last grant ended is gone.
    pub silence: Millis,
}

impl KeeperTimes {
    model::setters! {
        /// Sets how long a grant runs at most.
        hold: Millis,
        /// Sets how long a lease runs that nobody confirms.
        short: Millis,
        /// Sets how long a lease runs at most.
        term: Millis,
    }
}

impl Default for KeeperTimes {
    fn default() -> Self {
        Self {
            // Users want a key served again within 3 s of a loss; two renewals may fail before.
            short: Millis(3_000),
            // Outages of the store of 9 s occur; shorter leases would stop all keyed work in them.
            term: Millis(12_000),
            // A renewal takes up to 0.4 s while the store is slow.
            ask_after: Millis(1_500),
            // Two questions may be lost before a witness counts the holder as silent.
            ask_every: Millis(500),
            renew_after: Millis(1_000),
            retry_after: Millis(300),
            // Outlasts three heartbeats, so one or two may be lost.
            hold: Millis(4_000),
            // Leases are read each second, and a renewal takes some of the next.
            doubt: Millis(1_300),
            margin: Millis(300),
            // Hosts of a new deployment start within 0.3 s; the rest is their first renewal.
            gather: Millis(2_000),
            watch_every: Millis(1_000),
            // A move takes about a second, and the counts fade in 1.5 s.
            settle: Millis(3_000),
            silence: Millis(500),
        }
    }
}

/// The longest list of grants, in bytes of text. Backend servers ignore answers above 4 KiB, and
/// the frame around the list takes some.
const GRANTS_BYTES: usize = 3_900;

/// A clock that measures a grant may run slow by one part in this many.
const SLOW_CLOCK: u64 = 50;

/// A row that a transaction names.
pub type RowChange = (RowName, RowVersion);

derive_common! {
    value
    /// The rows that hosts of a service share.
    pub enum RowName {
        /// The key map.
        Map,
        /// The lease of a host.
        Lease(HostAddr),
    }
}

/// One conditional write that the shell carries out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Todo {
    /// Versions that rows must have; 0 for a row that must not exist.
    pub expect: Vec<RowChange>,
    /// Rows to write.
    pub put: Vec<(RowName, Vec<u8>)>,
    /// Rows to remove.
    pub remove: Vec<RowName>,
    /// Why, for the log.
    pub why: &'static str,
}

/// How a write ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Written {
    /// It was made, at this version.
    Done(RowVersion),
    /// A row had another version; these are the rows as they are, `None` if they don't exist.
    Conflict(Vec<(RowName, RowVersion, Option<Vec<u8>>)>),
    /// It may have been made, or may be made later.
    Unknown,
}

derive_common! {
    value
    /// Keys that a backend server holds.
    pub struct Held {
        /// The first key.
        pub from: u16,
        /// The last key.
        pub to: u16,
        /// The fence.
        pub fence: Fence,
    }
}

/// What a heartbeat says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Beat {
    /// Names this start of the backend server.
    pub boot: Boot,
    /// Grows with each heartbeat of one start.
    pub seq: u64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// What it holds or still works on.
    pub holds: Vec<Held>,
    /// What it released since the last confirmed heartbeat, with what the next holder gets.
    pub released: Vec<(u16, u16, String)>,
}

/// A range that the backend server is to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The range and its fence.
    pub held: Held,
    /// What the last holder gave; empty if nothing, or if it was passed on already.
    pub handover: String,
}

impl Grant {
    /// Returns the length of the grant as text: numbers, quotes, commas and brackets.
    fn bytes(&self) -> usize {
        let digits = |n: u64| n.checked_ilog10().unwrap_or(0) as usize + 1;
        let Held { from, to, fence } = self.held;
        digits(from.into()) + digits(to.into()) + digits(fence.0) + self.handover.len() + 8
    }
}

impl From<&Run> for Grant {
    fn from(run: &Run) -> Self {
        let held = Held { from: run.from, to: run.to, fence: run.fence };
        Self { held, handover: run.handover.clone() }
    }
}

/// Joins neighbours with one fence, so that the list stays short.
fn join(grants: &mut Vec<Grant>) {
    grants.dedup_by(|next, grant| {
        let touch = u32::from(grant.held.to) + 1 == u32::from(next.held.from);
        let alike = grant.held.fence == next.held.fence
            && grant.handover.is_empty()
            && next.handover.is_empty();
        if touch && alike {
            grant.held.to = next.held.to;
        }
        touch && alike
    });
}

fn own_grants(map: &KeyMap, owner: HostAddr) -> Vec<Grant> {
    let mut grants = map.owned_by(owner).map(Grant::from).collect();
    join(&mut grants);
    grants
}

/// Returns what is left of a run without the keys that are being released.
fn without(run: &Run, releases: &[Release]) -> Vec<Run> {
    let mut left = vec![run.clone()];
    for r in releases {
        left = left.into_iter().flat_map(|run| cut(run, r.from, r.to)).collect();
    }
    left
}

fn cut(run: Run, from: u16, to: u16) -> Vec<Run> {
    if to < run.from || run.to < from {
        return vec![run];
    }
    let mut left = Vec::new();
    if run.from < from {
        left.push(Run { to: from - 1, ..run.clone() });
    }
    if to < run.to {
        left.push(Run { from: to + 1, ..run });
    }
    left
}

fn grants_bytes(grants: &[Grant]) -> usize {
    grants.iter().map(Grant::bytes).sum()
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BeatReply {
    /// Everything that it is to hold, or `None` if nothing is renewed.
    pub grants: Option<Vec<Grant>>,
    /// How long, from when the heartbeat was sent.
    pub hold: Millis,
}

derive_common! {
    value
    /// What to do with a heartbeat.
    pub enum Heard {
        /// It is older than what is known.
        Late,
        /// Its sender has to do something.
        AnswerNow,
        /// Nothing changes yet; an answer that waits brings the next change sooner.
        MayWait,
    }
}

derive_common! {
    value
    /// Why a keyed request may not run here now.
    pub enum Refused {
        /// No map is known.
        NoMap,
        /// Another host owns the key.
        Owner(HostAddr),
        /// The key is being released to another host.
        Moving,
        /// The key belongs here, but the backend server was not granted it yet.
        NotGranted,
        /// The lease ended.
        NoLease,
    }
}

#[derive(Clone, Debug, Default)]
struct Backend {
    boot: Boot,
    seq: u64,
    heard: Millis,
    leaving: bool,
    /// It holds nothing of ours after this.
    grants_end: Millis,
    /// It surely holds what was granted until this.
    granted_until: Millis,
    granted: Vec<Held>,
    holds: Vec<Held>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    version: RowVersion,
    /// When the last confirmed renewal was sent.
    sent: Millis,
    /// When the questions were sent that a majority of the witnesses answered.
    confirmed: Millis,
}

/// The answers of witnesses to one question.
#[derive(Clone, Debug)]
struct Round {
    sent: Millis,
    confirmed: usize,
}

/// A witness's word that it confirms a lease no more.
#[derive(Clone, Copy, Debug)]
struct Denial {
    holder: HostAddr,
    process: u64,
    generation: u64,
    witness: u64,
    /// What it confirmed before has ended by then.
    ended: Millis,
}

/// The most witnesses of a lease: two may be lost.
const WITNESSES: usize = 5;

/// A denial helps only the eviction that it was asked for.
const DENIAL_AGE: Millis = Millis(10_000);

/// A release under way.
#[derive(Clone, Debug)]
struct Release {
    from: u16,
    to: u16,
    /// Set once the backend server no longer holds the keys.
    done: bool,
    /// What it gave for the next holder.
    handover: String,
    /// Who is to get the keys; a neighbour if there is none.
    target: Option<HostAddr>,
}

impl Denial {
    fn is_for(&self, ask: &Ask) -> bool {
        let holder = self.holder == HostAddr(ask.holder) && self.process == ask.process;
        holder && self.generation == ask.generation && self.witness == ask.witness
    }
}

fn asks_of(holder: HostAddr, row: &LeaseRow, question: Question) -> Vec<(HostAddr, Ask)> {
    let ask = |&(host, witness): &(std::net::SocketAddr, u64)| {
        let (process, generation) = (row.process, row.generation);
        (HostAddr(host), Ask { question, holder: holder.0, process, generation, witness })
    };
    row.witnesses.iter().map(ask).collect()
}

/// The keys of one host.
#[derive(Debug)]
pub struct Keeper {
    me: HostAddr,
    process: u64,
    times: KeeperTimes,
    started: Millis,
    lease: Option<Lease>,
    row: LeaseRow,
    found: Option<(RowVersion, LeaseRow)>,
    asked: bool,
    map: Option<(RowVersion, KeyMap)>,
    map_read: bool,
    backend: Option<Backend>,
    releases: Vec<Release>,
    watch: LeaseWatch,
    watched_at: Millis,
    next_write: Millis,
    renewed: Millis,
    under_way: Option<(Todo, Millis)>,
    /// Whether the store can hold no other witnesses than the known row.
    settled: bool,
    refused: bool,
    asked_at: Millis,
    rounds: Vec<Round>,
    denials: Vec<Denial>,
    store_heard: Millis,
    load: (u32, u32),
    rebalanced: Millis,
    shed: Millis,
}

/// Queries.
impl Keeper {
    /// Tells whether a request with `key` may be sent to the backend server.
    pub fn may_run(&self, key: u16, now: Millis) -> Result<Fence, Refused> {
        let Some((_, map)) = &self.map else { return Err(Refused::NoMap) };
        let run = map.run(key);
        if run.owner != self.me {
            return Err(Refused::Owner(run.owner));
        }
        if self.lease_until().is_none_or(|until| now >= until) {
            return Err(Refused::NoLease);
        }
        if self.releases.iter().any(|r| r.from <= key && key <= r.to) {
            return Err(Refused::Moving);
        }
        let backend = self.backend.as_ref().filter(|b| now < b.granted_until);
        let held = |b: &&Backend| {
            b.granted.iter().any(|h| h.from <= key && key <= h.to && h.fence == run.fence)
        };
        match backend.filter(held) {
            Some(_) => Ok(run.fence),
            None => Err(Refused::NotGranted),
        }
    }

    /// Returns the host that owns `key`.
    pub fn owner(&self, key: u16) -> Option<HostAddr> {
        self.map.as_ref().map(|(_, m)| m.run(key).owner)
    }

    /// Returns the start of the backend server that was heard last.
    pub fn backend(&self) -> Option<&Boot> {
        self.backend.as_ref().map(|b| &b.boot)
    }

    /// Returns whether the backend server was heard and did not say that it leaves.
    pub fn serving(&self) -> bool {
        self.backend.as_ref().is_some_and(|b| !b.leaving)
    }

    /// Returns the map with its version.
    pub fn map(&self) -> Option<&(RowVersion, KeyMap)> {
        self.map.as_ref()
    }

    /// Returns when the lease ends, if there is one.
    pub fn lease_until(&self) -> Option<Millis> {
        let times = &self.times;
        self.lease.map(|l| {
            let confirmed = l.sent.max(l.confirmed) + times.short;
            confirmed.min(l.sent + times.term)
        })
    }

    /// Returns whether the leases are to be read now.
    pub fn wants_watch(&self, now: Millis) -> bool {
        if !self.asked {
            return true;
        }
        // The first member by address looks often; the others only in case it doesn't.
        let hosts = self.watch.hosts();
        let rank = hosts.iter().position(|(h, _)| *h == self.me).unwrap_or(hosts.len());
        let rank = u64::try_from(rank).unwrap_or(u64::MAX).min(4);
        let rank = if self.crowded() { 0 } else { rank };
        let doubtful = self.times.renew_after + Millis(600);
        let doubt = rank == 0 && !self.watch.silent(doubtful, now).is_empty();
        let every = Millis(self.times.watch_every.0 * (1 + 2 * rank));
        let every = if doubt { self.times.retry_after } else { every };
        self.lease.is_some() && now.since(self.watched_at) >= every
    }

    /// Tells whether there is more work than room, so that the loads of others matter.
    fn crowded(&self) -> bool {
        let (load, room) = self.load;
        room > 0 && load * 3 > room * 2
    }

    /// Returns whether the host has keys or a lease to give back.
    pub fn idle(&self) -> bool {
        self.map.as_ref().is_none_or(|(_, m)| m.owned_by(self.me).next().is_none())
    }
}

/// Commands.
impl Keeper {
    /// Makes the keeper of `me`. `process` differs at each start.
    pub fn new(me: HostAddr, process: u64, times: KeeperTimes, now: Millis) -> Self {
        Self {
            me,
            process,
            times,
            started: now,
            lease: None,
            row: LeaseRow::default(),
            found: None,
            asked: false,
            map: None,
            map_read: false,
            backend: None,
            releases: Vec::new(),
            watch: LeaseWatch::default(),
            watched_at: Millis::ZERO,
            next_write: Millis::ZERO,
            renewed: Millis::ZERO,
            under_way: None,
            settled: true,
            refused: false,
            asked_at: Millis::ZERO,
            rounds: Vec::new(),
            denials: Vec::new(),
            store_heard: Millis::ZERO,
            load: (0, 0),
            rebalanced: now,
            shed: now,
        }
    }

    /// Tells that the map was looked for, whether there is one or not.
    pub fn map_read(&mut self) {
        self.map_read = true;
    }

    /// Takes in a version of the map; older ones are ignored.
    pub fn learn_map(&mut self, version: RowVersion, map: KeyMap) -> bool {
        if self.map.as_ref().is_some_and(|(known, _)| *known >= version) {
            return false;
        }
        let me = self.me;
        // A release ends when the map no longer names this host.
        self.releases.retain(|r| map.run(r.from).owner == me);
        self.map = Some((version, map));
        true
    }

    /// Takes in the lease rows as read at once.
    pub fn learn_leases(&mut self, rows: Vec<(HostAddr, RowVersion, LeaseRow)>, now: Millis) {
        if !self.asked {
            let own = rows.iter().find(|(h, ..)| *h == self.me);
            self.found = own.map(|(_, version, row)| (*version, row.clone()));
            self.asked = true;
        }
        self.watched_at = now;
        self.store_heard = now;
        self.watch.read(rows, now);
    }

    /// Takes in the slots that keyed work occupies and the room for it, in hundredths.
    pub fn learn_load(&mut self, load: u32, room: u32) {
        self.load = (load, room);
    }

    /// Starts to give away keys if there is more work than room and others have room, but not to
    /// `lost` hosts. Returns how many pieces.
    pub fn shed(&mut self, demand: &Demand, lost: &[HostAddr], now: Millis) -> usize {
        let fresh = now.since(self.watched_at) <= self.times.watch_every + Millis(500);
        let settled = self.releases.is_empty() && now.since(self.shed) >= self.times.settle;
        if !fresh || !settled || !self.store_answers(now) || self.lease.is_none() {
            return 0;
        }
        let me = Member { host: self.me, takes_keys: true, load: self.load.0, room: self.load.1 };
        let mut others = self.members(now);
        others.retain(|m| !lost.contains(&m.host));
        let pieces = plan::shed(me, &self.own_runs(), &others, demand);
        if !pieces.is_empty() {
            self.shed = now;
        }
        for p in &pieces {
            self.release(p.from, p.to, Some(p.to_host));
        }
        pieces.len()
    }

    /// Answers a heartbeat at once. A late one, of an earlier start or out of order, renews
    /// nothing.
    pub fn beat(&mut self, beat: &Beat, now: Millis) -> BeatReply {
        match self.hear(beat, now) {
            Heard::Late => BeatReply::default(),
            Heard::AnswerNow | Heard::MayWait => self.reply(beat, now),
        }
    }

    /// Takes in a heartbeat and tells whether its answer may wait for news.
    pub fn hear(&mut self, beat: &Beat, now: Millis) -> Heard {
        if self.is_late(beat, now) {
            return Heard::Late;
        }
        if self.backend.as_ref().is_none_or(|b| b.boot != beat.boot) {
            // Of the start before nothing is left: one host runs one backend server. What this
            // start holds was granted by an earlier process on this host.
            let held_until = now + self.times.hold + self.times.silence;
            let grants_end = if beat.holds.is_empty() { Millis::ZERO } else { held_until };
            let boot = beat.boot.clone();
            self.backend = Some(Backend { boot, grants_end, ..Backend::default() });
            self.releases.clear();
        }
        let Some(b) = self.backend.as_mut() else { return Heard::Late };
        b.seq = beat.seq;
        b.heard = now;
        b.leaving = beat.leaving;
        b.holds.clone_from(&beat.holds);
        self.note_released(beat);
        if beat.leaving {
            self.release_all();
        }
        self.release_asked(now);
        if beat.leaving || !self.releases.is_empty() || self.has_news(beat, now) {
            return Heard::AnswerNow;
        }
        Heard::MayWait
    }

    /// Tells whether the answer to a heartbeat would change what its sender holds.
    pub fn has_news(&self, beat: &Beat, came: Millis) -> bool {
        let Some((grants, _)) = self.grants(came) else { return false };
        let mut held = beat.holds.clone();
        held.sort_unstable();
        !self.releases.is_empty() || held != grants.iter().map(|g| g.held).collect::<Vec<_>>()
    }

    /// Answers a heartbeat that came at `came`, unless a later one came since.
    pub fn reply(&mut self, beat: &Beat, came: Millis) -> BeatReply {
        let current =
            self.backend.as_ref().is_some_and(|b| b.boot == beat.boot && b.seq == beat.seq);
        let granted = if current { self.grants(came) } else { None };
        let (Some((grants, hold)), Some(b)) = (granted, &mut self.backend) else {
            return BeatReply::default();
        };
        b.granted = grants.iter().map(|g| g.held).collect();
        b.granted_until = came + hold;
        let end = came + hold + Millis(hold.0 / SLOW_CLOCK + 100);
        b.grants_end = b.grants_end.max(end);
        BeatReply { grants: Some(grants), hold }
    }

    fn is_late(&self, beat: &Beat, now: Millis) -> bool {
        let Some(b) = &self.backend else { return false };
        if b.boot == beat.boot {
            return b.seq >= beat.seq;
        }
        // A clock that was set back makes a new start look old; the former one is silent then.
        beat.boot < b.boot && now.since(b.heard) < self.times.hold
    }

    /// Tells that the backend server leaves and sends no more heartbeats. It goes on serving the
    /// keys that it holds until its grants end.
    pub fn leave(&mut self) {
        if let Some(b) = &mut self.backend {
            b.leaving = true;
        }
    }

    /// Returns the write that is due, if any. Its end is told with [`Keeper::written`].
    pub fn todo(&mut self, now: Millis) -> Option<Todo> {
        if self.under_way.is_some() || now < self.next_write || !self.asked {
            return None;
        }
        if self.lease_until().is_some_and(|until| now >= until) {
            self.lease = None;
        }
        let todo = self
            .register()
            .or_else(|| self.follow_boot())
            .or_else(|| self.finish_releases(now))
            .or_else(|| self.join_own_runs())
            .or_else(|| self.renew(now))
            .or_else(|| self.plan(now))?;
        if self.puts_other_witnesses(&todo) {
            self.settled = false;
        }
        self.under_way = Some((todo.clone(), now));
        Some(todo)
    }

    fn puts_other_witnesses(&self, todo: &Todo) -> bool {
        let own = RowName::Lease(self.me);
        let row = todo.put.iter().find(|(name, _)| *name == own);
        let row = row.and_then(|(_, bytes)| LeaseRow::decode(bytes).ok());
        row.is_some_and(|row| row.generation != self.row.generation)
    }

    /// Returns the questions that are due to other hosts, to be answered soon or not at all. Each
    /// answer is told with [`Keeper::told`].
    pub fn asks(&mut self, now: Millis) -> Vec<(HostAddr, Ask)> {
        if now.since(self.asked_at) < self.times.ask_every {
            return Vec::new();
        }
        let mut asks = self.own_asks(now);
        asks.extend(self.denial_asks(now));
        if !asks.is_empty() {
            self.asked_at = now;
        }
        asks
    }

    fn own_asks(&mut self, now: Millis) -> Vec<(HostAddr, Ask)> {
        let waits = |l: &Lease| now.since(l.sent) > self.times.ask_after;
        if !self.settled || !self.lease.as_ref().is_some_and(waits) {
            self.rounds.clear();
            return Vec::new();
        }
        self.rounds.push(Round { sent: now, confirmed: 0 });
        asks_of(self.me, &self.row, Question::Confirm)
    }

    fn denial_asks(&mut self, now: Millis) -> Vec<(HostAddr, Ask)> {
        self.denials.retain(|d| now.since(d.ended) < DENIAL_AGE);
        let fresh = now.since(self.watched_at) <= self.times.watch_every + Millis(500);
        if !fresh || self.lease.is_none() {
            return Vec::new();
        }
        // Asked a little early, so that the words are there when the short span ends.
        let early = self.times.short.since(Millis(500));
        let mut asks = Vec::new();
        for (holder, _) in self.watch.silent(early, now) {
            if holder == self.me {
                continue;
            }
            let Some((_, row, _)) = self.watch.row(holder, now) else { continue };
            let of_row = asks_of(holder, row, Question::Deny);
            let told = |ask: &Ask| self.denials.iter().any(|d| d.is_for(ask));
            asks.extend(of_row.into_iter().filter(|(_, ask)| !told(ask)));
        }
        asks
    }

    /// Takes in the answer of a witness to a question that was sent at `sent`.
    pub fn told(&mut self, ask: &Ask, word: Word, sent: Millis, now: Millis) {
        match (ask.question, word) {
            (Question::Confirm, Word::Confirmed) => self.confirmed(ask, sent),
            (Question::Confirm, _) => self.refused = true,
            (Question::Deny, Word::Denied { confirmed_ago_ms }) => {
                let left = confirmed_ago_ms.map_or(Millis::ZERO, |ago| {
                    (self.times.short + self.times.margin).since(Millis(ago))
                });
                self.denials.push(Denial {
                    holder: HostAddr(ask.holder),
                    process: ask.process,
                    generation: ask.generation,
                    witness: ask.witness,
                    ended: now + left,
                });
            }
            (Question::Deny, Word::Confirmed | Word::Refused) => {}
        }
    }

    fn confirmed(&mut self, ask: &Ask, sent: Millis) {
        let current = ask.generation == self.row.generation && self.settled;
        let needed = witness::majority(self.row.witnesses.len());
        let Some(round) = self.rounds.iter_mut().find(|r| r.sent == sent) else { return };
        round.confirmed += 1;
        if current
            && round.confirmed >= needed
            && let Some(lease) = &mut self.lease
        {
            lease.confirmed = lease.confirmed.max(sent);
        }
    }

    /// Tells whether the lease of `holder` surely ended, as the store has it.
    fn ended(&self, holder: HostAddr, now: Millis) -> bool {
        let Some((_, row, silent)) = self.watch.row(holder, now) else { return true };
        if silent > self.times.term + self.times.margin {
            return true;
        }
        if silent <= self.times.short + self.times.margin {
            return false;
        }
        let asks = asks_of(holder, row, Question::Deny);
        let denied = |(_, ask): &&(HostAddr, Ask)| {
            self.denials.iter().any(|d| d.is_for(ask) && d.ended <= now)
        };
        row.witnesses.is_empty()
            || asks.iter().filter(denied).count() >= witness::majority(row.witnesses.len())
    }

    /// Takes in how the write under way ended.
    pub fn written(&mut self, end: Written, now: Millis) {
        let Some((todo, sent)) = self.under_way.take() else { return };
        match end {
            Written::Done(version) => self.made(&todo, version, sent, now),
            Written::Conflict(rows) => {
                self.store_heard = now;
                self.conflicted(rows, now);
            }
            Written::Unknown => self.next_write = now + self.times.retry_after,
        }
    }

    fn made(&mut self, todo: &Todo, version: RowVersion, sent: Millis, now: Millis) {
        self.store_heard = now;
        for (name, bytes) in &todo.put {
            match name {
                RowName::Lease(_) => {
                    self.lease = Some(Lease { version, sent, confirmed: sent });
                    self.settled = true;
                    self.renewed = sent;
                    if let Ok(row) = LeaseRow::decode(bytes) {
                        self.refused = self.refused && row.generation == self.row.generation;
                        self.row = row;
                    }
                }
                RowName::Map => {
                    if let Ok(map) = KeyMap::decode(bytes) {
                        self.learn_map(version, map);
                    }
                }
            }
        }
    }

    fn conflicted(&mut self, rows: Vec<(RowName, RowVersion, Option<Vec<u8>>)>, now: Millis) {
        for (name, version, value) in rows {
            match (name, value) {
                (RowName::Map, Some(bytes)) => {
                    if let Ok(map) = KeyMap::decode(&bytes) {
                        self.learn_map(version, map);
                    }
                }
                (RowName::Lease(host), value) if host == self.me => {
                    self.own_lease_differs(version, value);
                }
                // Another host renewed after all, or others ended its lease already.
                (RowName::Lease(_), _) => self.watched_at = Millis::ZERO,
                (RowName::Map, None) => {}
            }
        }
        self.next_write = now + Millis(20);
    }

    fn own_lease_differs(&mut self, version: RowVersion, value: Option<Vec<u8>>) {
        let row = value.and_then(|bytes| LeaseRow::decode(&bytes).ok());
        match row {
            Some(row) if row.process == self.process => {
                // An earlier write of this process whose answer was lost.
                self.row = row;
                self.settled = true;
                match &mut self.lease {
                    Some(lease) => lease.version = version,
                    None => self.found = Some((version, self.row.clone())),
                }
            }
            Some(row) => {
                self.lease = None;
                self.found = Some((version, row));
            }
            None => {
                self.lease = None;
                self.found = None;
            }
        }
    }

    fn fresh_row(&self) -> LeaseRow {
        let takes = self.backend.as_ref().is_some_and(|b| !b.leaving);
        let witnesses = self.wanted_witnesses();
        let changed = self.refused || witnesses != self.row.witnesses;
        LeaseRow {
            process: self.process,
            takes_keys: takes,
            generation: self.row.generation + u64::from(changed),
            witnesses,
            load: self.load.0,
            room: self.load.1,
            ..self.row.clone()
        }
    }

    /// Picks the next hosts by address, so that all are picked about as often.
    fn wanted_witnesses(&self) -> Vec<(std::net::SocketAddr, u64)> {
        let hosts = self.watch.hosts();
        let after = hosts.partition_point(|(h, _)| *h <= self.me);
        let others = hosts[after..].iter().chain(&hosts[..after]).filter(|(h, _)| *h != self.me);
        others.take(WITNESSES).map(|(h, row)| (h.0, row.process)).collect()
    }

    /// A lease of an earlier process on this host goes on; its backend server may live.
    fn register(&mut self) -> Option<Todo> {
        if self.lease.is_some() || self.backend.is_none() || !self.map_read {
            return None;
        }
        let version = match &self.found {
            Some((version, row)) => {
                self.row.boot.clone_from(&row.boot);
                self.row.floor = row.floor;
                *version
            }
            None => {
                self.row.boot = Boot::default();
                RowVersion(0)
            }
        };
        // The map that is known has to be the newest: a write of the process before may have been
        // made after the map was read. From here on such a write fails, as it names the lease.
        let map = self.map.as_ref().map_or(RowVersion(0), |(version, _)| *version);
        Some(Todo {
            expect: vec![(RowName::Lease(self.me), version), (RowName::Map, map)],
            put: vec![(RowName::Lease(self.me), self.fresh_row().encode())],
            why: "register",
            ..Todo::default()
        })
    }

    /// Another start of the backend server gets its keys under a higher fence.
    fn follow_boot(&mut self) -> Option<Todo> {
        let lease = self.lease?;
        let boot = &self.backend.as_ref()?.boot;
        if *boot == self.row.boot {
            return None;
        }
        let mut row = LeaseRow { boot: boot.clone(), ..self.fresh_row() };
        let mut todo = Todo {
            expect: vec![(RowName::Lease(self.me), lease.version)],
            why: "new-boot",
            ..Todo::default()
        };
        if let Some((version, map)) = &self.map {
            row.floor = map.top.0;
            todo.expect.push((RowName::Map, *version));
            if map.owned_by(self.me).next().is_some() {
                let mut map = map.clone();
                let fence = map.draw_fence();
                let own = map.runs.iter_mut().filter(|r| r.owner == self.me);
                own.for_each(|r| r.fence = fence);
                todo.put.push((RowName::Map, map.encode()));
            }
        }
        todo.put.push((RowName::Lease(self.me), row.encode()));
        Some(todo)
    }

    fn renew(&mut self, now: Millis) -> Option<Todo> {
        let lease = self.lease?;
        let fresh = self.fresh_row();
        // A host that starts or stops to take keys says so at once.
        let changed = fresh.takes_keys != self.row.takes_keys;
        let gone = self.backend_gone(now) && self.idle();
        if gone || now.since(self.renewed) < self.times.renew_after && !changed {
            return None;
        }
        Some(Todo {
            expect: vec![(RowName::Lease(self.me), lease.version)],
            put: vec![(RowName::Lease(self.me), fresh.encode())],
            why: "renew",
            ..Todo::default()
        })
    }

    fn backend_gone(&self, now: Millis) -> bool {
        let quiet =
            |b: &Backend| now > b.grants_end.max(b.heard + self.times.hold) + self.times.silence;
        self.backend.as_ref().is_some_and(quiet)
    }

    fn note_released(&mut self, beat: &Beat) {
        for (from, to, handover) in &beat.released {
            for r in &mut self.releases {
                if *from <= r.from && r.to <= *to {
                    r.handover.clone_from(handover);
                }
            }
        }
        for r in &mut self.releases {
            r.done = r.done || !beat.holds.iter().any(|h| h.from <= r.to && r.from <= h.to);
        }
    }

    fn own_runs(&self) -> Vec<Run> {
        let Some((_, map)) = &self.map else { return Vec::new() };
        map.owned_by(self.me).cloned().collect()
    }

    fn release_all(&mut self) {
        for run in self.own_runs() {
            self.release(run.from, run.to, run.next);
        }
    }

    /// A release that can't be written leaves its keys without an owner.
    fn store_answers(&self, now: Millis) -> bool {
        now.since(self.store_heard) <= self.times.renew_after + Millis(500)
    }

    fn release_asked(&mut self, now: Millis) {
        if !self.store_answers(now) {
            return;
        }
        let asked = self.own_runs().into_iter().filter(|r| r.next.is_some_and(|n| n != self.me));
        for run in asked.collect::<Vec<_>>() {
            self.release(run.from, run.to, run.next);
        }
    }

    fn release(&mut self, from: u16, to: u16, target: Option<HostAddr>) {
        let under_way = |r: &Release| r.from <= to && from <= r.to;
        if self.releases.iter().any(under_way) {
            return;
        }
        let overlaps = |all: &[Held]| all.iter().any(|h| h.from <= to && from <= h.to);
        let held =
            self.backend.as_ref().is_some_and(|b| overlaps(&b.holds) || overlaps(&b.granted));
        self.releases.push(Release { from, to, done: !held, handover: String::new(), target });
    }

    fn finish_releases(&mut self, now: Millis) -> Option<Todo> {
        let lease = self.lease?;
        if self.backend_gone(now) {
            self.release_all();
        }
        let ended = self.backend.as_ref().is_none_or(|b| now > b.grants_end);
        if !self.releases.iter().any(|r| r.done || ended) {
            return None;
        }
        let takers = self.takers(now);
        let (version, known) = self.map.as_ref()?;
        let mut map = known.clone();
        let fence = map.draw_fence();
        let ready: Vec<&Release> = self.releases.iter().filter(|r| r.done || ended).collect();
        for r in &ready {
            map.split_at(r.from);
            if let Some(after) = r.to.checked_add(1) {
                map.split_at(after);
            }
        }
        let mut given = 0;
        for i in 0..map.runs.len() {
            let run = &map.runs[i];
            let of = |r: &&&Release| r.from <= run.from && run.to <= r.to;
            let Some(r) = ready.iter().find(of) else { continue };
            if run.owner != self.me {
                continue;
            }
            let near = [i.checked_sub(1), Some(i + 1)].into_iter().flatten();
            let mut near = near.filter_map(|n| map.runs.get(n)).map(|n| n.owner);
            let near = near.find(|h| *h != self.me && takers.contains(h));
            let any = (!takers.is_empty()).then(|| takers[given % takers.len()]);
            let Some(owner) = r.target.filter(|n| takers.contains(n)).or(near).or(any) else {
                continue;
            };
            given += 1;
            let handover = r.handover.clone();
            map.runs[i] = Run { owner, fence, handover, next: None, ..run.clone() };
        }
        if given == 0 {
            return None;
        }
        Some(Todo {
            expect: vec![(RowName::Map, *version), (RowName::Lease(self.me), lease.version)],
            put: vec![(RowName::Map, map.encode())],
            why: "release",
            ..Todo::default()
        })
    }

    /// Joins the own neighbours under a new fence if a grant of all can't be told any more.
    fn join_own_runs(&self) -> Option<Todo> {
        let lease = self.lease?;
        let (version, map) = self.map.as_ref()?;
        if !self.releases.is_empty() || grants_bytes(&own_grants(map, self.me)) <= GRANTS_BYTES {
            return None;
        }
        let mut joined = map.clone();
        let fence = joined.draw_fence();
        let me = self.me;
        let own = |r: &Run| r.owner == me && r.next.is_none();
        for i in 1..joined.runs.len() {
            if own(&joined.runs[i - 1]) && own(&joined.runs[i]) {
                for run in &mut joined.runs[i - 1..=i] {
                    run.fence = fence;
                    run.handover.clear();
                }
            }
        }
        if own_grants(&joined, me).len() == own_grants(map, me).len() {
            return None;
        }
        let map = joined;
        Some(Todo {
            expect: vec![(RowName::Map, *version), (RowName::Lease(self.me), lease.version)],
            put: vec![(RowName::Map, map.encode())],
            why: "join",
            ..Todo::default()
        })
    }

    /// Returns the other hosts that may be given keys.
    fn takers(&self, now: Millis) -> Vec<HostAddr> {
        let ready = self.members(now).into_iter().filter(|m| m.takes_keys && m.host != self.me);
        ready.map(|m| m.host).collect()
    }

    /// Returns the hosts with a lease. One that missed a renewal is given nothing: its row shows
    /// no load because it is cut off.
    fn members(&self, now: Millis) -> Vec<Member> {
        let late = self.watch.silent(self.times.renew_after + self.times.doubt, now);
        let hosts = self.watch.hosts().into_iter();
        let member = |(host, row): (HostAddr, &LeaseRow)| Member {
            host,
            takes_keys: row.takes_keys && !late.iter().any(|(h, _)| *h == host),
            load: row.load,
            room: row.room,
        };
        hosts.map(member).collect()
    }

    /// What the hosts of a service do for each other. Races end at the conditions of the write.
    fn plan(&mut self, now: Millis) -> Option<Todo> {
        self.lease?;
        // Old knowledge of the leases is no ground to act on.
        if now.since(self.watched_at) > self.times.watch_every + Millis(500) {
            return None;
        }
        let Some((version, map)) = &self.map else { return self.first(now) };
        let silent = self.watch.silent(self.times.short + self.times.margin, now);
        let mut gone: Vec<(HostAddr, RowVersion)> =
            silent.into_iter().filter(|(h, _)| *h != self.me && self.ended(*h, now)).collect();
        let unknown = map.owners().into_iter().filter(|h| !self.watch.knows(*h));
        gone.extend(unknown.map(|h| (h, RowVersion(0))));
        let names: Vec<HostAddr> = gone.iter().map(|(h, _)| *h).collect();
        let mut takers = self.takers(now);
        if self.fresh_row().takes_keys {
            takers.push(self.me);
        }
        takers.retain(|h| !names.contains(h));
        let expect_map = (RowName::Map, *version);
        if !gone.is_empty() {
            let map = plan::evict(map, &names, &takers);
            let mut todo = Todo { expect: vec![expect_map], why: "evict", ..Todo::default() };
            for (host, version) in gone {
                todo.expect.push((RowName::Lease(host), version));
                if version != RowVersion(0) {
                    todo.remove.push(RowName::Lease(host));
                }
            }
            todo.put.extend(map.map(|m| (RowName::Map, m.encode())));
            let empty = todo.put.is_empty() && todo.remove.is_empty();
            return (!empty).then_some(todo);
        }
        let first = self.watch.hosts().first().is_some_and(|(h, _)| *h == self.me);
        if !first || now.since(self.rebalanced) < Millis(2 * self.times.watch_every.0) {
            return None;
        }
        let map = plan::rebalance(map, &self.members(now))?;
        self.rebalanced = now;
        Some(Todo {
            expect: vec![expect_map],
            put: vec![(RowName::Map, map.encode())],
            why: "rebalance",
            ..Todo::default()
        })
    }

    fn first(&self, now: Millis) -> Option<Todo> {
        if now.since(self.started) < self.times.gather {
            return None;
        }
        let hosts = self.watch.hosts();
        let first = hosts.first().is_some_and(|(h, _)| *h == self.me);
        // Others may make the map too, in case the first host can't.
        if !first && now.since(self.started) < Millis(3 * self.times.gather.0) {
            return None;
        }
        let takers: Vec<HostAddr> =
            hosts.iter().filter(|(_, row)| row.takes_keys).map(|(h, _)| *h).collect();
        let map = plan::first_map(&takers)?;
        Some(Todo {
            expect: vec![(RowName::Map, RowVersion(0))],
            put: vec![(RowName::Map, map.encode())],
            why: "first-map",
            ..Todo::default()
        })
    }

    /// Returns what the backend server is to hold and how long, from `came`.
    fn grants(&self, came: Millis) -> Option<(Vec<Grant>, Millis)> {
        let ((_, map), b) = (self.map.as_ref()?, self.backend.as_ref()?);
        // A grant that a slow clock measures still ends before the lease.
        let left = self.lease_until()?.since(came + Millis(100));
        let hold = self.times.hold.min(left - Millis(left.0 / SLOW_CLOCK));
        if b.boot != self.row.boot || hold == Millis::ZERO {
            return None;
        }
        let mut grants = Vec::new();
        let own = map.owned_by(self.me).filter(|r| r.fence.0 > self.row.floor);
        for run in own.flat_map(|run| without(run, &self.releases)) {
            let mut grant = Grant::from(&run);
            let Held { from, to, fence } = grant.held;
            let holds = |h: &Held| h.from <= from && to <= h.to && h.fence == fence;
            if b.holds.iter().any(holds) {
                grant.handover.clear();
            }
            grants.push(grant);
        }
        join(&mut grants);
        let mut bytes = 0;
        grants.retain(|g| {
            bytes += g.bytes();
            bytes <= GRANTS_BYTES
        });
        Some((grants, hold))
    }
}
