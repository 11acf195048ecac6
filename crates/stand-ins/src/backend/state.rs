//! The admission decisions of the test backend server, and the log of what it ran.

use std::sync::Arc;

use model::Millis;
use tokio::sync::Notify;

use super::protocol::{FaultSettings, FenceChecking, Grant, Grants, Load, Phase, Run, RunOutcome};

/// The most runs that the log holds; later ones are run but not logged.
const MAX_LOGGED_RUNS: usize = 1_000_000;

/// Why a request is rejected before it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// All slots are in use, or load shedding was injected.
    Shed,
    /// The fence differs from the one in the grant.
    Fence,
    /// The server is draining.
    Draining,
    /// The deadline has passed.
    Deadline,
    /// No valid grant covers the partition.
    NotGranted,
}

impl RejectReason {
    /// Returns the value of the [`REJECT_REASON`](super::protocol::REJECT_REASON) header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Shed => "shed",
            Self::Fence => "fence",
            Self::Draining => "draining",
            Self::Deadline => "deadline",
            Self::NotGranted => "not-granted",
        }
    }
}

/// The parts of a request that decide whether it may run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// The key in the run log.
    pub key: String,
    /// The partition; `None` if the service is not partitioned by key.
    pub partition: Option<u32>,
    /// The fence under which the host process sent the request.
    pub fence: Option<u64>,
    /// The request id, if the request must run at most once.
    pub request_id: Option<String>,
    /// The number of the attempt.
    pub call: Option<u64>,
    /// The time until the deadline.
    pub time_left: Option<Millis>,
}

/// Handle to a run in progress.
#[derive(Clone, Debug)]
pub struct StartedRun {
    /// Index of the run in the run log.
    pub run: usize,
    /// Notified when the run is cancelled.
    pub cancelled: Arc<Notify>,
}

struct Running {
    run: usize,
    call: Option<u64>,
    cancelled: Arc<Notify>,
}

/// The state of a test backend server, without I/O and clock.
pub struct BackendState {
    slots: u32,
    fences: FenceChecking,
    cold_until: Millis,
    draining: bool,
    grants: Vec<Grant>,
    grants_expire_at: Millis,
    highest_fences: Vec<Grant>,
    running: Vec<Running>,
    runs: Vec<Run>,
    started_count: usize,
    fault_settings: FaultSettings,
}

impl BackendState {
    /// Creates the state of a server that is cold until `cold_until`.
    pub fn new(slots: u32, fences: FenceChecking, cold_until: Millis) -> Self {
        Self {
            slots,
            fences,
            cold_until,
            draining: false,
            grants: Vec::new(),
            grants_expire_at: Millis::ZERO,
            highest_fences: Vec::new(),
            running: Vec::new(),
            runs: Vec::new(),
            started_count: 0,
            fault_settings: FaultSettings::default(),
        }
    }
}

/// Queries.
impl BackendState {
    /// Returns the lifecycle phase of the server.
    pub fn phase(&self, now: Millis) -> Phase {
        match (self.draining, now < self.cold_until) {
            (true, _) => Phase::Draining,
            (false, true) => Phase::Cold,
            (false, false) => Phase::Ready,
        }
    }

    /// Returns the faults in effect.
    pub fn fault_settings(&self) -> &FaultSettings {
        &self.fault_settings
    }

    /// Returns the log of all runs so far.
    pub fn runs(&self) -> &[Run] {
        &self.runs
    }

    /// Returns the number of running requests.
    pub fn in_use(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Returns the load to report, which a fault may override.
    pub fn load(&self) -> Load {
        let in_use = self.fault_settings.claimed_in_use.unwrap_or_else(|| self.in_use());
        Load { slots: self.slots, in_use }
    }

    /// Returns the health to report, which a fault may override.
    pub fn is_healthy(&self) -> bool {
        self.fault_settings.claimed_healthy.unwrap_or(!self.draining)
    }

    /// Decides whether a request may run. `shed_draw` is a random number below 1,000.
    fn check(&self, info: &RequestInfo, now: Millis, shed_draw: u32) -> Result<(), RejectReason> {
        if self.draining {
            return Err(RejectReason::Draining);
        }
        if info.time_left == Some(Millis::ZERO) {
            return Err(RejectReason::Deadline);
        }
        self.check_grant(info, now)?;
        if shed_draw < self.fault_settings.shed_per_mille || self.in_use() >= self.slots {
            return Err(RejectReason::Shed);
        }
        Ok(())
    }

    fn check_grant(&self, info: &RequestInfo, now: Millis) -> Result<(), RejectReason> {
        let (FenceChecking::Checked, Some(partition)) = (self.fences, info.partition) else {
            return Ok(());
        };
        let found = self.grants.binary_search_by_key(&partition, |g| g.partition);
        let grant = found.ok().map(|index| self.grants[index]);
        let grant =
            grant.filter(|_| now < self.grants_expire_at).ok_or(RejectReason::NotGranted)?;
        if info.fence == Some(grant.fence) { Ok(()) } else { Err(RejectReason::Fence) }
    }
}

/// Commands.
impl BackendState {
    /// Starts a run, or returns why the request is rejected. `shed_draw` is a random number below
    /// 1,000.
    pub fn start(
        &mut self,
        info: RequestInfo,
        now: Millis,
        shed_draw: u32,
    ) -> Result<StartedRun, RejectReason> {
        self.check(&info, now, shed_draw)?;
        let run = self.started_count;
        self.started_count += 1;
        let cancelled = Arc::new(Notify::new());
        self.running.push(Running { run, call: info.call, cancelled: cancelled.clone() });
        if run < MAX_LOGGED_RUNS {
            self.runs.push(Run {
                key: info.key,
                partition: info.partition,
                fence: info.fence,
                request_id: info.request_id,
                call: info.call,
                started_at_ms: now.0,
                ended_at_ms: None,
                end: None,
            });
        }
        Ok(StartedRun { run, cancelled })
    }

    /// Ends a run. Only the first outcome of a run is recorded.
    pub fn end(&mut self, run: usize, end: RunOutcome, now: Millis) {
        self.running.retain(|r| r.run != run);
        if let Some(entry) = self.runs.get_mut(run)
            && entry.end.is_none()
        {
            entry.end = Some(end);
            entry.ended_at_ms = Some(now.0);
        }
    }

    /// Cancels all running attempts with this number and returns whether there were any.
    pub fn cancel(&self, call: u64) -> bool {
        let mut found = false;
        for running in self.running.iter().filter(|r| r.call == Some(call)) {
            running.cancelled.notify_one();
            found = true;
        }
        found
    }

    /// Replaces all grants. Nothing changes, and the offending partition is returned, if a
    /// partition appears twice or a fence is lower than an earlier one of its partition.
    pub fn replace_grants(&mut self, grants: Grants, now: Millis) -> Result<(), u32> {
        let mut list = grants.grants;
        list.sort_by_key(|g| g.partition);
        if let Some(duplicate) = list.windows(2).find(|pair| pair[0].partition == pair[1].partition)
        {
            return Err(duplicate[0].partition);
        }
        if let Some(grant) = list.iter().find(|g| g.fence < self.highest_fence(g.partition)) {
            return Err(grant.partition);
        }
        for grant in &list {
            self.record_highest_fence(*grant);
        }
        self.grants = list;
        self.grants_expire_at = now + Millis(grants.time_left_ms);
        Ok(())
    }

    /// Starts draining: new requests are rejected.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Replaces the faults in effect.
    pub fn set_fault_settings(&mut self, fault_settings: FaultSettings) {
        self.fault_settings = fault_settings;
    }

    fn highest_fence(&self, partition: u32) -> u64 {
        let found = self.highest_fences.binary_search_by_key(&partition, |g| g.partition);
        found.map_or(0, |index| self.highest_fences[index].fence)
    }

    fn record_highest_fence(&mut self, grant: Grant) {
        match self.highest_fences.binary_search_by_key(&grant.partition, |g| g.partition) {
            Ok(index) => self.highest_fences[index].fence = grant.fence,
            Err(index) => self.highest_fences.insert(index, grant),
        }
    }
}
