//! Where a request without a key goes: the host with the earliest expected end.
//!
//! Answers load that swings between zones, slow servers, servers that fail at once and look idle,
//! and servers that just joined. What a host reports is corrected by what was sent there since;
//! what is seen of its results goes before what it reports.

use model::{HostAddr, Millis, derive_common};

/// How far a host is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// This host.
    SameHost,
    /// The same availability zone.
    SameZone,
    /// Another zone of the region.
    SameRegion,
    /// Another region.
    OtherRegion,
}

impl Distance {
    /// The wait that is worth sending one step less far, in milliseconds: the round trip, and for
    /// bytes between regions a part of what the request is worth.
    fn cost_ms(self) -> f64 {
        match self {
            Self::SameHost | Self::SameZone => 0.0,
            Self::SameRegion => 25.0,
            Self::OtherRegion => 250.0,
        }
    }
}

derive_common! {
    value
    /// What a host says about its backend server with each answer.
    #[derive(Default, bincode::Encode, bincode::Decode)]
    pub struct LoadReport {
        /// Jobs that run.
        pub running: u16,
        /// Jobs that wait.
        pub waiting: u16,
        /// Jobs that may run at once.
        pub slots: u16,
        /// Mean run time in milliseconds.
        pub mean_run_ms: u32,
        /// Whether it takes new requests.
        pub accepting: bool,
    }
}

/// How a request ended, for the record of the host that it was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// With an answer that isn't a failure.
    Success,
    /// With a failure of the backend server, or none at all.
    Failed,
    /// Turned away before it ran.
    Refused,
    /// The host could not be reached.
    Unreachable,
    /// Given up by the caller.
    Abandoned,
}

/// Weight of one result in the failure rate.
const WEIGHT: f64 = 0.2;

/// The failure rate halves in this span without results, so that a mended server is tried again.
const FORGIVE_MS: f64 = 4_000.0;

/// What a certain failure is worth in waiting time, in milliseconds.
const FAILURE_MS: f64 = 3_000.0;

/// A host that could not be reached is left alone for this span, doubled each time.
const AVOID_MS: (u64, u64) = (500, 4_000);

/// A host that said it is closed is asked again after this.
const CLOSED: Millis = Millis(4_000);

/// The same if all hosts are closed, as after a start of everything: backend servers that start
/// say so within a second.
const ALL_CLOSED: Millis = Millis(300);

/// A report says nothing about the load after this span, in milliseconds.
const REPORT_MS: f64 = 2_000.0;

/// A host that said nothing for this long, or never, is tried again before others of its zone.
const FORGOTTEN: Millis = Millis(4_000);

/// The run time that is assumed of such a host, in milliseconds: less than any server takes.
const HOPE_MS: f64 = 20.0;

/// The run time that is assumed before the first report, in milliseconds.
const FIRST_RUN_MS: u32 = 150;

/// One host of a service, as this process knows it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its address.
    pub host: HostAddr,
    /// How far it is.
    pub distance: Distance,
    report: LoadReport,
    reported: Millis,
    sent: u32,
    failing: f64,
    failing_at: Millis,
    avoid_until: Millis,
    misses: u32,
}

impl Peer {
    fn failure_rate(&self, now: Millis) -> f64 {
        let age = now.since(self.failing_at).0 as f64;
        self.failing * (-age / FORGIVE_MS * std::f64::consts::LN_2).exp()
    }

    fn cost_ms(&self, now: Millis) -> f64 {
        let r = &self.report;
        let slots = f64::from(r.slots.max(1));
        let forgotten = self.reported == Millis::ZERO || now.since(self.reported) > FORGOTTEN;
        // Only one request at a time goes to find out.
        let hopeful = forgotten && self.sent == 0;
        let run = if hopeful { HOPE_MS } else { f64::from(r.mean_run_ms.max(1)) };
        let age = now.since(self.reported).0 as f64;
        let fresh = (1.0 - age / REPORT_MS).max(0.0);
        let reported = f64::from(r.running + r.waiting) * fresh;
        let demand = reported.max(f64::from(self.sent)) + 1.0;
        let queued = (demand - slots).max(0.0) / slots * run;
        // Servers slow down when nearly full, so room counts before the last slot is taken.
        let crowded = (demand / slots).min(1.0).powi(3) * run * 0.5;
        run + queued + crowded + self.distance.cost_ms() + self.failure_rate(now) * FAILURE_MS
    }
}

/// The hosts of one service.
#[derive(Clone, Debug, Default)]
pub struct LoadBalancer {
    all: Vec<Peer>, // Sorted by host.
}

/// Queries.
impl LoadBalancer {
    /// Picks a host for a request that was not sent to `tried` yet. Ties go by `point`. If all are
    /// closed, one that said so a while ago is asked again.
    pub fn pick(&self, tried: &[HostAddr], point: u32, now: Millis) -> Option<HostAddr> {
        self.pick_closed_since(CLOSED, tried, point, now)
            .or_else(|| self.pick_closed_since(ALL_CLOSED, tried, point, now))
    }

    /// Picks among open hosts and those that last said longer ago than `closed` that they aren't.
    fn pick_closed_since(
        &self,
        closed: Millis,
        tried: &[HostAddr],
        point: u32,
        now: Millis,
    ) -> Option<HostAddr> {
        let usable = |p: &&Peer| {
            let is_closed = !p.report.accepting && p.reported > Millis::ZERO;
            let asked_again = now.since(p.reported) > closed;
            !tried.contains(&p.host) && p.avoid_until <= now && (!is_closed || asked_again)
        };
        let count = u32::try_from(self.all.len().max(1)).unwrap_or(u32::MAX);
        let turn = |i: usize| (u32::try_from(i).unwrap_or(0) + point % count) % count;
        let cost = |(i, p): &(usize, &Peer)| (p.cost_ms(now) as u64, turn(*i));
        let usable = self.all.iter().enumerate().filter(|(_, p)| usable(p));
        usable.min_by_key(cost).map(|(_, p)| p.host)
    }

    /// Returns whether a host is left alone at the moment.
    pub fn in_backoff(&self, host: HostAddr, now: Millis) -> bool {
        self.find(host).is_ok_and(|i| self.all[i].avoid_until > now)
    }

    fn find(&self, host: HostAddr) -> Result<usize, usize> {
        self.all.binary_search_by_key(&host, |p| p.host)
    }
}

/// Commands.
impl LoadBalancer {
    /// Takes in a host.
    pub fn add(&mut self, host: HostAddr, distance: Distance) {
        let Err(i) = self.find(host) else { return };
        let peer = Peer {
            host,
            distance,
            report: LoadReport {
                mean_run_ms: FIRST_RUN_MS,
                accepting: true,
                ..LoadReport::default()
            },
            reported: Millis::ZERO,
            sent: 0,
            failing: 0.0,
            failing_at: Millis::ZERO,
            avoid_until: Millis::ZERO,
            misses: 0,
        };
        self.all.insert(i, peer);
    }

    /// Forgets a host.
    pub fn remove(&mut self, host: HostAddr) {
        if let Ok(i) = self.find(host) {
            self.all.remove(i);
        }
    }

    /// Counts a request that is sent to `host`.
    pub fn attempt_started(&mut self, host: HostAddr) {
        if let Ok(i) = self.find(host) {
            self.all[i].sent += 1;
        }
    }

    /// Takes in how a request ended that was counted with [`LoadBalancer::sent`].
    pub fn attempt_ended(
        &mut self,
        host: HostAddr,
        end: AttemptResult,
        report: Option<LoadReport>,
        now: Millis,
    ) {
        let Ok(i) = self.find(host) else { return };
        let p = &mut self.all[i];
        p.sent = p.sent.saturating_sub(1);
        if let Some(report) = report {
            p.report = report;
            p.reported = now;
        }
        match end {
            AttemptResult::Success | AttemptResult::Failed => {
                let value = if end == AttemptResult::Failed { 1.0 } else { 0.0 };
                let rate = p.failure_rate(now);
                p.failing = rate + (value - rate) * WEIGHT;
                p.failing_at = now;
                p.misses = 0;
            }
            AttemptResult::Unreachable => {
                let span = AVOID_MS.0 << p.misses.min(8);
                p.misses += 1;
                p.avoid_until = now + Millis(span.min(AVOID_MS.1));
            }
            AttemptResult::Refused => p.misses = 0,
            AttemptResult::Abandoned => {}
        }
    }
}
