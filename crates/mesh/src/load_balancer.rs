//! Load balancing of requests without a key: each goes to the host with the earliest expected
//! completion.
//!
//! Handles load that shifts between zones, slow backend servers, backend servers that fail fast and
//! therefore look idle, and new backend servers. A host's load report is corrected by the requests
//! sent to it since, and its observed failures outweigh what it reports.
//!
//! Handles many processes that choose among few backend servers of different speed by reports that
//! are seconds old. Hosts with nearly the same expected completion are chosen at random, so that
//! not all processes send to the same one. Each pick comes with the longest wait after which
//! another host is expected to be faster; a host with a longer queue refuses the request at once
//! and reports its load with the refusal, and the request goes elsewhere.

mod peer;

use model::{HostAddr, Millis, RegionName, derive_common};

pub use self::peer::Peer;

use self::peer::Estimate;

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

/// The extra wait that is acceptable to stay in this zone or region, as a fraction of the time left
/// to the latency target. Callers notice a wait only if the target is missed, so what they can
/// spare decides how far it pays to go.
const ZONE_COST: f64 = 0.03;
const REGION_COST: f64 = 0.3;

/// The bounds on that wait, in milliseconds: not below the round trip, and for requests with ample
/// time not above what a queue of one run takes.
const ZONE_COST_MS: (f64, f64) = (5.0, 50.0);
const REGION_COST_MS: (f64, f64) = (80.0, 500.0);

impl Distance {
    /// The extra wait at a closer host that is acceptable to avoid sending a request this far, in
    /// milliseconds.
    fn cost_ms(self, req: &PickRequest<'_>) -> f64 {
        let spare = req.target_left.0 as f64;
        match self {
            Self::SameHost | Self::SameZone => 0.0,
            Self::SameRegion => (spare * ZONE_COST).clamp(ZONE_COST_MS.0, ZONE_COST_MS.1),
            Self::OtherRegion => {
                let bytes = req.body_bytes + req.response_bytes;
                (spare * REGION_COST).clamp(REGION_COST_MS.0, REGION_COST_MS.1)
                    + bytes as f64 / 1_024.0 * REGION_COST_MS_PER_KB
            }
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

derive_common! {
    value
    /// What a host tells about requests of one class.
    #[derive(Default, bincode::Encode, bincode::Decode)]
    pub struct ClassLoad {
        /// The mean run time there, in milliseconds; 0 if none has run.
        pub run_ms: u32,
        /// How long a response waits for the link of the host, in milliseconds.
        pub delivery_ms: u32,
    }
}

/// A request for which a host is picked.
#[derive(Clone, Copy, Debug, Default)]
pub struct PickRequest<'a> {
    /// Requests of one class have similar run times.
    pub class: u64,
    /// The hosts that the request was already sent to.
    pub tried: &'a [HostAddr],
    /// The regions that the request may be sent to, sorted; empty if all are allowed.
    pub regions: &'a [RegionName],
    /// The size of the body if it is large, or else 0.
    pub body_bytes: u64,
    /// The expected size of the response if it is large, or else 0.
    pub response_bytes: u64,
    /// The time left to the latency target.
    pub target_left: Millis,
    /// Breaks ties.
    pub random: u32,
}

/// The host that a request is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    /// The host.
    pub host: HostAddr,
    /// If the request has to wait longer there, another host is expected to be faster. `None` if
    /// there is no other host.
    pub max_wait: Option<Millis>,
}

/// A host that reported not to accept requests is tried again after this.
const CLOSED_RETRY: Millis = Millis(4_000);

/// The same if no host accepts requests, as after a restart of the whole deployment, when backend
/// servers report within a second that they have started.
const ALL_CLOSED_RETRY: Millis = Millis(300);

/// Hosts whose expected completion exceeds the earliest one by less than this fraction are chosen
/// at random: the estimates are no more accurate than that. Hosts farther away than the earliest
/// one are left out, because with long runs this fraction exceeds the cost of another region.
const TIE_FRACTION: f64 = 0.15;

/// The time that a refusal and another try take, in milliseconds: a round trip within the region
/// and the work of both hosts.
const REDIRECT_COST_MS: f64 = 10.0;

/// Smaller responses cost next to nothing to send, in bytes.
const LARGE_RESPONSE_BYTES: f64 = 16_384.0;

/// The weight of one response in the moving average of the sizes of a class.
const RESPONSE_SIZE_WEIGHT: f64 = 0.1;

/// Picks among the hosts of one service.
#[derive(Clone, Debug, Default)]
pub struct LoadBalancer {
    peers: Vec<Peer>, // Sorted by host.
    /// The mean size of the responses of each class, sorted by class.
    response_sizes: Vec<(u64, f64)>,
}

/// Queries.
impl LoadBalancer {
    /// Picks a host for a request, other than those that it was already sent to. If no host accepts
    /// requests, one whose report of this is old enough is tried again.
    pub fn pick(&self, req: &PickRequest<'_>, now: Millis) -> Option<Pick> {
        let pick = |closed_retry| self.pick_usable(req, closed_retry, now);
        pick(CLOSED_RETRY).or_else(|| pick(ALL_CLOSED_RETRY))
    }

    fn pick_usable(
        &self,
        req: &PickRequest<'_>,
        closed_retry: Millis,
        now: Millis,
    ) -> Option<Pick> {
        let usable = |p: &&Peer| {
            let allowed = req.regions.is_empty() || req.regions.binary_search(&p.region).is_ok();
            allowed && !req.tried.contains(&p.host) && p.usable(closed_retry, now)
        };
        let utilization = self.utilization(now);
        let usable = self.peers.iter().filter(usable);
        let mut candidates: Vec<(HostAddr, Estimate)> =
            usable.map(|p| (p.host, p.estimate(req, utilization, now))).collect();
        let (_, earliest) =
            candidates.iter().min_by(|(_, a), (_, b)| a.total.total_cmp(&b.total))?;
        let (limit, distance_cost) =
            (earliest.total * (1.0 + TIE_FRACTION), earliest.distance_cost);
        let is_tied = |e: &Estimate| e.total <= limit && e.distance_cost <= distance_cost;
        let tied = (0..candidates.len()).filter(|i| is_tied(&candidates[*i].1));
        let tied: Vec<usize> = tied.collect();
        let (host, estimate) = candidates.swap_remove(tied[req.random as usize % tied.len()]);
        let next = candidates.iter().map(|(_, e)| e.total).reduce(f64::min);
        let max_wait = next.map(|next| {
            let without_wait = estimate.total - estimate.wait;
            Millis((next + REDIRECT_COST_MS - without_wait).max(estimate.wait) as u64)
        });
        Some(Pick { host, max_wait })
    }

    /// Returns the mean number of jobs per slot over the hosts that reported lately.
    fn utilization(&self, now: Millis) -> f64 {
        let sum = |(jobs, slots): (f64, f64), (j, s): (f64, f64)| (jobs + j, slots + s);
        let loads = self.peers.iter().map(|p| p.weighted_load(now));
        let (jobs, slots) = loads.fold((0.0, 0.0), sum);
        if slots > 0.0 { jobs / slots } else { 0.0 }
    }

    /// Returns whether a host is currently in backoff after it could not be reached.
    pub fn in_backoff(&self, host: HostAddr, now: Millis) -> bool {
        self.find(host).is_ok_and(|i| self.peers[i].in_backoff(now))
    }

    /// Returns the mean size of the responses of a class, or 0 if they are small or unknown.
    pub fn mean_response_bytes(&self, class: u64) -> u64 {
        let at = self.response_sizes.binary_search_by_key(&class, |(c, _)| *c);
        let mean = at.map_or(0.0, |i| self.response_sizes[i].1);
        if mean < LARGE_RESPONSE_BYTES { 0 } else { mean as u64 }
    }

    fn find(&self, host: HostAddr) -> Result<usize, usize> {
        self.peers.binary_search_by_key(&host, |p| p.host)
    }
}

/// Commands.
impl LoadBalancer {
    /// Adds a host, unless it is known already.
    pub fn add(&mut self, host: HostAddr, distance: Distance, region: RegionName) {
        let Err(i) = self.find(host) else { return };
        self.peers.insert(i, Peer::new(host, distance, region));
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
            self.peers[i].attempt_started(body_bytes);
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
        self.peers[i].attempt_ended(body_bytes, result, now);
        if let Some(report) = report {
            self.peers[i].reported(report, now);
        }
    }

    /// Records the size of a response to a request of a class.
    pub fn response_received(&mut self, class: u64, bytes: usize) {
        match self.response_sizes.binary_search_by_key(&class, |(c, _)| *c) {
            Ok(i) => {
                let mean = &mut self.response_sizes[i].1;
                *mean += (bytes as f64 - *mean) * RESPONSE_SIZE_WEIGHT;
            }
            Err(i) => self.response_sizes.insert(i, (class, bytes as f64)),
        }
    }

    /// Records what a host told about requests of a class.
    pub fn class_reported(&mut self, host: HostAddr, class: u64, load: ClassLoad) {
        if let Ok(i) = self.find(host) {
            self.peers[i].class_reported(class, load);
        }
    }
}
