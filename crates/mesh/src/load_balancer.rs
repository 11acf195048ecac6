//! Load balancing of requests without a key: each goes to the host with the earliest expected
//! completion.
//!
//! Handles load that shifts between zones, slow backend servers, backend servers that fail fast and
//! therefore look idle, and new backend servers. A host's load report is corrected by the requests
//! sent to it since, and its observed failures outweigh what it reports.

use model::{HostAddr, Millis, derive_common};

/// How far away a host is.
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

/// The acceptable extra wait to avoid sending 1 KB to another region, in milliseconds.
const REGION_COST_MS_PER_KB: f64 = 4.0;

impl Distance {
    /// The extra wait at a closer host that is acceptable to avoid sending a request with a body of
    /// `body_bytes` this far, in milliseconds: the round trip, plus the cost of the traffic between
    /// regions, which is a fraction of what a request is worth.
    fn cost_ms(self, body_bytes: u64) -> f64 {
        match self {
            Self::SameHost | Self::SameZone => 0.0,
            Self::SameRegion => 25.0,
            Self::OtherRegion => 250.0 + body_bytes as f64 / 1_024.0 * REGION_COST_MS_PER_KB,
        }
    }
}

derive_common! {
    value
    /// The load of a host's backend server, sent with each response.
    #[derive(Default, bincode::Encode, bincode::Decode)]
    pub struct LoadReport {
        /// The number of running jobs.
        pub running: u16,
        /// The number of waiting jobs.
        pub waiting: u16,
        /// The number of jobs that may run concurrently.
        pub slots: u16,
        /// The mean run time, in milliseconds.
        pub mean_run_ms: u32,
        /// Whether the host accepts new requests.
        pub accepting: bool,
        /// How long a large body waits until it may be sent to the host, in milliseconds.
        pub body_wait_ms: u32,
        /// What the link of the host carries, in bytes per millisecond; 0 if it is not known.
        pub link_bytes_per_ms: u32,
    }
}

/// How sending a request to a host ended, which updates the host's statistics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The response was not a failure.
    Success,
    /// The backend server failed, or there was no response.
    Failed,
    /// The host refused the request before running it.
    Refused,
    /// The host could not be reached.
    Unreachable,
    /// The caller gave up before the result was known.
    Abandoned,
}

/// The weight of one result in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.2;

/// The half-life of the failure rate without new results, in milliseconds, so that a recovered
/// backend server is tried again.
const FAILURE_HALF_LIFE_MS: f64 = 4_000.0;

/// The waiting time that a failure rate of 1 is equivalent to, in milliseconds.
const FAILURE_COST_MS: f64 = 3_000.0;

/// The first and the longest backoff after a host could not be reached, in milliseconds. It doubles
/// each time.
const BACKOFF_MS: (u64, u64) = (500, 4_000);

/// A host that reported not to accept requests is tried again after this.
const CLOSED_RETRY: Millis = Millis(4_000);

/// The same if no host accepts requests, as after a restart of the whole deployment, when backend
/// servers report within a second that they have started.
const ALL_CLOSED_RETRY: Millis = Millis(300);

/// The weight of a load report falls linearly to zero in this time, in milliseconds.
const REPORT_LIFETIME_MS: f64 = 2_000.0;

/// A host that has not reported for this long, or never, is probed before other hosts of its zone.
const PROBE_AFTER: Millis = Millis(4_000);

/// The run time assumed of such a host, in milliseconds: less than that of any backend server.
const PROBE_RUN_MS: f64 = 20.0;

/// The run time assumed before the first report, in milliseconds.
const INITIAL_RUN_MS: u32 = 150;

/// A host of a service and its statistics.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The address.
    pub host: HostAddr,
    /// How far away the host is.
    pub distance: Distance,
    report: LoadReport,
    reported_at: Millis,
    /// The number of requests sent there that have not ended.
    in_flight: u32,
    /// The size of their large bodies.
    in_flight_bytes: u64,
    /// The failure rate as of `failures_updated_at`.
    failures: f64,
    failures_updated_at: Millis,
    backoff_until: Millis,
    /// The number of failed connection attempts in a row.
    connect_failures: u32,
}

impl Peer {
    fn failure_rate(&self, now: Millis) -> f64 {
        let age = now.since(self.failures_updated_at).0 as f64;
        self.failures * (-age / FAILURE_HALF_LIFE_MS * std::f64::consts::LN_2).exp()
    }

    /// Returns the expected time to completion of a request with a large body of `body_bytes`, or
    /// without one, plus penalties, in milliseconds.
    fn cost_ms(&self, body_bytes: u64, now: Millis) -> f64 {
        let r = &self.report;
        let slots = f64::from(r.slots.max(1));
        let stale = self.reported_at == Millis::ZERO || now.since(self.reported_at) > PROBE_AFTER;
        // Only one request at a time is sent as a probe.
        let probe = stale && self.in_flight == 0;
        let run = if probe { PROBE_RUN_MS } else { f64::from(r.mean_run_ms.max(1)) };
        let age = now.since(self.reported_at).0 as f64;
        let freshness = (1.0 - age / REPORT_LIFETIME_MS).max(0.0);
        let reported = f64::from(r.running + r.waiting) * freshness;
        let demand = reported.max(f64::from(self.in_flight)) + 1.0;
        let queued = (demand - slots).max(0.0) / slots * run;
        // Backend servers slow down when nearly full, so utilization counts before all slots are
        // taken.
        let congestion = (demand / slots).min(1.0).powi(3) * run * 0.5;
        run + queued
            + congestion
            + self.transfer_ms(body_bytes, freshness)
            + self.distance.cost_ms(body_bytes)
            + self.failure_rate(now) * FAILURE_COST_MS
    }
}

impl Peer {
    /// Returns how long a large body takes to arrive, in milliseconds. The bodies that were sent
    /// there and did not end outweigh a report that is older.
    fn transfer_ms(&self, body_bytes: u64, freshness: f64) -> f64 {
        let rate = f64::from(self.report.link_bytes_per_ms);
        if body_bytes == 0 || rate == 0.0 {
            return 0.0;
        }
        let reported = f64::from(self.report.body_wait_ms) * freshness;
        reported.max(self.in_flight_bytes as f64 / rate) + body_bytes as f64 / rate
    }
}

/// Picks among the hosts of one service.
#[derive(Clone, Debug, Default)]
pub struct LoadBalancer {
    peers: Vec<Peer>, // Sorted by host.
}

/// Queries.
impl LoadBalancer {
    /// Picks a host for a request, other than the hosts in `tried` that it was already sent to.
    /// `body_bytes` is the size of its body if that is large, or else 0, and `random` breaks ties. If
    /// no host accepts requests, one whose report of this is old enough is tried again.
    pub fn pick(
        &self,
        tried: &[HostAddr],
        body_bytes: u64,
        random: u32,
        now: Millis,
    ) -> Option<HostAddr> {
        let pick =
            |retry_after| self.pick_with_closed_retry(retry_after, tried, body_bytes, random, now);
        pick(CLOSED_RETRY).or_else(|| pick(ALL_CLOSED_RETRY))
    }

    /// Picks among hosts that accept requests and those whose last report is older than
    /// `retry_after`.
    fn pick_with_closed_retry(
        &self,
        retry_after: Millis,
        tried: &[HostAddr],
        body_bytes: u64,
        random: u32,
        now: Millis,
    ) -> Option<HostAddr> {
        let usable = |p: &&Peer| {
            let closed = !p.report.accepting && p.reported_at > Millis::ZERO;
            let retry = now.since(p.reported_at) > retry_after;
            !tried.contains(&p.host) && p.backoff_until <= now && (!closed || retry)
        };
        let count = u32::try_from(self.peers.len().max(1)).unwrap_or(u32::MAX);
        let tie_break = |i: usize| (u32::try_from(i).unwrap_or(0) + random % count) % count;
        let cost = |(i, p): &(usize, &Peer)| (p.cost_ms(body_bytes, now) as u64, tie_break(*i));
        let usable = self.peers.iter().enumerate().filter(|(_, p)| usable(p));
        usable.min_by_key(cost).map(|(_, p)| p.host)
    }

    /// Returns whether a host is currently in backoff after it could not be reached.
    pub fn in_backoff(&self, host: HostAddr, now: Millis) -> bool {
        self.find(host).is_ok_and(|i| self.peers[i].backoff_until > now)
    }

    fn find(&self, host: HostAddr) -> Result<usize, usize> {
        self.peers.binary_search_by_key(&host, |p| p.host)
    }
}

/// Commands.
impl LoadBalancer {
    /// Adds a host, unless it is known already.
    pub fn add(&mut self, host: HostAddr, distance: Distance) {
        let Err(i) = self.find(host) else { return };
        let peer = Peer {
            host,
            distance,
            report: LoadReport {
                mean_run_ms: INITIAL_RUN_MS,
                accepting: true,
                ..LoadReport::default()
            },
            reported_at: Millis::ZERO,
            in_flight: 0,
            in_flight_bytes: 0,
            failures: 0.0,
            failures_updated_at: Millis::ZERO,
            backoff_until: Millis::ZERO,
            connect_failures: 0,
        };
        self.peers.insert(i, peer);
    }

    /// Removes a host and its statistics.
    pub fn remove(&mut self, host: HostAddr) {
        if let Ok(i) = self.find(host) {
            self.peers.remove(i);
        }
    }

    /// Records that a request with a large body of `body_bytes`, or without one, is being sent to
    /// `host`.
    pub fn attempt_started(&mut self, host: HostAddr, body_bytes: u64) {
        if let Ok(i) = self.find(host) {
            self.peers[i].in_flight += 1;
            self.peers[i].in_flight_bytes += body_bytes;
        }
    }

    /// Records the result of an attempt that [`LoadBalancer::attempt_started`] announced, and the
    /// load report that came with it.
    pub fn attempt_ended(
        &mut self,
        host: HostAddr,
        body_bytes: u64,
        result: AttemptResult,
        report: Option<LoadReport>,
        now: Millis,
    ) {
        let Ok(i) = self.find(host) else { return };
        let p = &mut self.peers[i];
        p.in_flight = p.in_flight.saturating_sub(1);
        p.in_flight_bytes = p.in_flight_bytes.saturating_sub(body_bytes);
        if let Some(report) = report {
            p.report = report;
            p.reported_at = now;
        }
        match result {
            AttemptResult::Success | AttemptResult::Failed => {
                let value = if result == AttemptResult::Failed { 1.0 } else { 0.0 };
                let rate = p.failure_rate(now);
                p.failures = rate + (value - rate) * FAILURE_WEIGHT;
                p.failures_updated_at = now;
                p.connect_failures = 0;
            }
            AttemptResult::Unreachable => {
                let backoff = BACKOFF_MS.0 << p.connect_failures.min(8);
                p.connect_failures += 1;
                p.backoff_until = now + Millis(backoff.min(BACKOFF_MS.1));
            }
            AttemptResult::Refused => p.connect_failures = 0,
            AttemptResult::Abandoned => {}
        }
    }
}
