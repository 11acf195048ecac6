//! What one process knows about a host of a service, and the completion time that it expects there.

use model::{HostAddr, Millis, RegionName};

use super::{AttemptResult, ClassLoad, Distance, LoadReport, PickRequest};

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

/// The weight of a load report falls linearly to zero in this time, in milliseconds.
const REPORT_LIFETIME_MS: f64 = 2_000.0;

/// A host that has not reported for this long, or never, is probed before other hosts of its zone.
/// One of another region is only taken for idle, so that it is probed when the hosts of the region
/// are loaded: otherwise each process would send it one request in this time, whatever the load.
const PROBE_AFTER: Millis = Millis(4_000);

/// Multiplies the time of a report, so that reports a few milliseconds apart lead to probes at very
/// different times.
const PROBE_SPREAD: u64 = 2_654_435_761;

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
    /// The region of the host.
    pub region: RegionName,
    report: LoadReport,
    reported_at: Millis,
    /// What the host last told about classes of requests, sorted by class.
    classes: Vec<(u64, ClassLoad)>,
    /// The number of requests sent there that have not ended.
    in_flight: u32,
    /// The number of requests sent there since the last report.
    sent_since_report: u32,
    /// The size of the large bodies in flight.
    in_flight_bytes: u64,
    /// The failure rate as of `failures_updated_at`.
    failures: f64,
    failures_updated_at: Millis,
    backoff_until: Millis,
    /// The number of failed connection attempts in a row.
    connect_failures: u32,
}

/// The expected completion of a request at a host, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    /// How long the request waits for a slot and for the link of the host.
    pub(super) wait: f64,
    /// The extra wait that is acceptable elsewhere to avoid the distance.
    pub(super) distance_cost: f64,
    /// The whole time, plus penalties.
    pub(super) total: f64,
}

/// Queries.
impl Peer {
    /// Returns whether requests may be sent to the host. One that reported to accept none is tried
    /// again when its report is older than `closed_retry`.
    pub(super) fn usable(&self, closed_retry: Millis, now: Millis) -> bool {
        let closed = !self.report.accepting && self.reported_at > Millis::ZERO;
        let retry = now.since(self.reported_at) > closed_retry;
        !self.in_backoff(now) && (!closed || retry)
    }

    pub(super) fn in_backoff(&self, now: Millis) -> bool {
        self.backoff_until > now
    }

    /// Returns the reported jobs and slots, each weighted by the freshness of the report.
    pub(super) fn weighted_load(&self, now: Millis) -> (f64, f64) {
        let weight = self.freshness(now);
        let jobs = f64::from(self.report.running) + f64::from(self.report.waiting);
        (jobs * weight, f64::from(self.report.slots) * weight)
    }

    /// Returns the expected completion of a request. `utilization` is the mean number of jobs per
    /// slot at the hosts of the service, which is assumed of a host as its report gets older: many
    /// processes that took a silent host for idle would all send to it.
    pub(super) fn estimate(
        &self,
        req: &PickRequest<'_>,
        utilization: f64,
        now: Millis,
    ) -> Estimate {
        let r = &self.report;
        let slots = f64::from(r.slots.max(1));
        // Only one request at a time is sent as a probe.
        let probe = self.needs_probe(now) && self.in_flight == 0;
        let near_probe = probe && self.distance != Distance::OtherRegion;
        let class = self.class(req.class);
        let mean_run = if near_probe { PROBE_RUN_MS } else { f64::from(r.mean_run_ms.max(1)) };
        let class_run = class.filter(|c| !near_probe && c.run_ms > 0);
        let run = class_run.map_or(mean_run, |c| f64::from(c.run_ms));
        let freshness = self.freshness(now);
        let jobs = f64::from(r.running) + f64::from(r.waiting);
        let assumed = if probe { 0.0 } else { utilization * slots * (1.0 - freshness) };
        let since_report = f64::from(self.sent_since_report);
        let demand =
            (jobs * freshness + assumed + since_report).max(f64::from(self.in_flight)) + 1.0;
        let queued = (demand - slots).max(0.0) / slots * mean_run;
        // Backend servers slow down when nearly full, so utilization counts before all slots are
        // taken.
        let congestion = (demand / slots).min(1.0).powi(3) * run * 0.5;
        let delivery = class.map_or(0.0, |c| f64::from(c.delivery_ms) * freshness);
        let wait = queued + delivery;
        let distance_cost = self.distance.cost_ms(req);
        let total = run
            + wait
            + congestion
            + self.transfer_ms(req.body_bytes, freshness)
            + distance_cost
            + self.failure_rate(now) * FAILURE_COST_MS;
        Estimate { wait, distance_cost, total }
    }

    fn class(&self, class: u64) -> Option<ClassLoad> {
        let at = self.classes.binary_search_by_key(&class, |(c, _)| *c).ok()?;
        Some(self.classes[at].1)
    }

    /// Returns whether the host never reported or was silent for one to two [`PROBE_AFTER`]. How long
    /// exactly depends on the time of its report, which differs between processes: otherwise those
    /// that started together would go on probing a slow host all at once.
    fn needs_probe(&self, now: Millis) -> bool {
        let spread = Millis(self.reported_at.0.wrapping_mul(PROBE_SPREAD) % PROBE_AFTER.0);
        self.reported_at == Millis::ZERO || now.since(self.reported_at) > PROBE_AFTER + spread
    }

    fn freshness(&self, now: Millis) -> f64 {
        if self.reported_at == Millis::ZERO {
            return 0.0;
        }
        (1.0 - now.since(self.reported_at).0 as f64 / REPORT_LIFETIME_MS).max(0.0)
    }

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

    fn failure_rate(&self, now: Millis) -> f64 {
        let age = now.since(self.failures_updated_at).0 as f64;
        self.failures * (-age / FAILURE_HALF_LIFE_MS * std::f64::consts::LN_2).exp()
    }
}

/// Commands.
impl Peer {
    pub(super) fn new(host: HostAddr, distance: Distance, region: RegionName) -> Self {
        Self {
            host,
            distance,
            region,
            report: LoadReport {
                mean_run_ms: INITIAL_RUN_MS,
                accepting: true,
                ..LoadReport::default()
            },
            reported_at: Millis::ZERO,
            classes: Vec::new(),
            in_flight: 0,
            sent_since_report: 0,
            in_flight_bytes: 0,
            failures: 0.0,
            failures_updated_at: Millis::ZERO,
            backoff_until: Millis::ZERO,
            connect_failures: 0,
        }
    }

    pub(super) fn attempt_started(&mut self, body_bytes: u64) {
        self.in_flight += 1;
        self.sent_since_report += 1;
        self.in_flight_bytes += body_bytes;
    }

    pub(super) fn attempt_ended(&mut self, body_bytes: u64, result: AttemptResult, now: Millis) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.in_flight_bytes = self.in_flight_bytes.saturating_sub(body_bytes);
        match result {
            AttemptResult::Success | AttemptResult::Failed => {
                let value = if result == AttemptResult::Failed { 1.0 } else { 0.0 };
                let rate = self.failure_rate(now);
                self.failures = rate + (value - rate) * FAILURE_WEIGHT;
                self.failures_updated_at = now;
                self.connect_failures = 0;
            }
            AttemptResult::Unreachable => {
                let backoff = BACKOFF_MS.0 << self.connect_failures.min(8);
                self.connect_failures += 1;
                self.backoff_until = now + Millis(backoff.min(BACKOFF_MS.1));
            }
            AttemptResult::Refused => self.connect_failures = 0,
            AttemptResult::Abandoned => {}
        }
    }

    pub(super) fn reported(&mut self, report: LoadReport, now: Millis) {
        self.report = report;
        self.reported_at = now;
        self.sent_since_report = 0;
    }

    pub(super) fn class_reported(&mut self, class: u64, load: ClassLoad) {
        match self.classes.binary_search_by_key(&class, |(c, _)| *c) {
            Ok(i) => self.classes[i].1 = load,
            Err(i) => self.classes.insert(i, (class, load)),
        }
    }
}
