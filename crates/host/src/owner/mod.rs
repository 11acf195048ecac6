//! The owner: admits requests, runs them at the local backend server and keeps the records of
//! at-most-once requests.

mod at_most_once;
mod execute;
mod grants;
mod partitions;
mod permit;
mod quarantine;

use std::cell::{Cell, RefCell};

use admission::{Limits, Quarantine, QuarantineLimits, Queue};
use bytes::Bytes;
use model::{Fence, Millis, Outcome, Partition};
use ownership::{PartitionReport, Report};
use routing::records::{RecordSettings, Records};
use tokio::sync::{Notify, oneshot};
use wire::{Body, ForwardHead, ResponseHead};

use crate::backend::{BackendChange, FenceCheck};
use crate::context::Cx;

pub use grants::send as send_grants;
pub use partitions::{quiesce, receive_handover, resume, serve, stop_all};
pub use quarantine::{
    add_suspects, apply_peer_quarantine, handle_backend_loss, lift_quarantine, quarantined,
};

/// The outcome of a request at its owner.
pub type OwnerOutcome = Outcome<(ResponseHead, Body)>;

/// The number of slots assumed before the backend server has announced itself.
const INITIAL_SLOTS: u32 = 1;

/// The number of reports over which the request rate of a partition is averaged.
const RATE_WINDOW_REPORTS: u64 = 32;

/// The state of a host as owner.
pub struct Owner {
    records: RefCell<Records>,
    queue: RefCell<Queue>,
    quarantine: RefCell<Quarantine>,
    waiting: RefCell<Vec<(u64, oneshot::Sender<permit::QueueDecision>)>>,
    in_flight: RefCell<Vec<InFlight>>,
    releasing: RefCell<Vec<PartitionRelease>>,
    request_rates: RefCell<Vec<PartitionRate>>,
    /// The last fencing token under which this host served each partition, sorted by partition.
    last_fences: RefCell<Vec<(Partition, Fence)>>,
    grants: grants::GrantState,
    next_id: Cell<u64>,
    request_finished: Notify,
}

/// A request that is running at the backend server.
struct InFlight {
    attempt_id: u64,
    partition: Option<Partition>,
    digest: u64,
    /// Dropping this cancels the request.
    _cancel_guard: oneshot::Sender<()>,
}

/// A partition that is being released. Each release has its own id, so that the completion of a
/// cancelled release is not mistaken for that of a later one.
#[derive(Clone, Copy, PartialEq, Eq)]
struct PartitionRelease {
    partition: Partition,
    id: u64,
}

/// The request rate of a partition, and the number of requests since the last report.
struct PartitionRate {
    partition: Partition,
    requests: u64,
    millirequests_per_second: u64,
}

impl Owner {
    /// Creates an owner without partitions.
    pub fn new() -> Self {
        Self {
            records: RefCell::new(Records::new(record_settings())),
            queue: RefCell::new(Queue::new(Limits::builder(INITIAL_SLOTS).build())),
            quarantine: RefCell::new(Quarantine::new(QuarantineLimits::default())),
            waiting: RefCell::new(Vec::new()),
            in_flight: RefCell::new(Vec::new()),
            releasing: RefCell::new(Vec::new()),
            request_rates: RefCell::new(Vec::new()),
            last_fences: RefCell::new(Vec::new()),
            grants: grants::GrantState::default(),
            next_id: Cell::new(1),
            request_finished: Notify::new(),
        }
    }

    /// Returns the number of requests that run at the backend server.
    pub fn running(&self) -> usize {
        self.in_flight.borrow().len()
    }

    /// Returns the number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.waiting.borrow().len()
    }

    fn is_releasing(&self, partition: Partition) -> bool {
        self.releasing.borrow().iter().any(|r| r.partition == partition)
    }

    /// Records the fencing token under which a partition is served and returns the previous one.
    fn record_fence(&self, partition: Partition, fence: Fence) -> Option<Fence> {
        let mut last_fences = self.last_fences.borrow_mut();
        match last_fences.binary_search_by_key(&partition, |(p, _)| *p) {
            Ok(index) => Some(std::mem::replace(&mut last_fences[index].1, fence)),
            Err(index) => {
                last_fences.insert(index, (partition, fence));
                None
            }
        }
    }

    /// Rejects new requests for a partition until [`Self::end_release`].
    fn start_release(&self, partition: Partition) -> PartitionRelease {
        let release = PartitionRelease { partition, id: self.next_id() };
        self.end_release(partition);
        self.releasing.borrow_mut().push(release);
        release
    }

    fn end_release(&self, partition: Partition) {
        self.releasing.borrow_mut().retain(|r| r.partition != partition);
    }

    /// Returns whether this release was neither cancelled nor replaced by a later one.
    fn is_release_current(&self, release: PartitionRelease) -> bool {
        self.releasing.borrow().contains(&release)
    }

    fn next_id(&self) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        id
    }

    /// Counts a request for the rate of its partition.
    fn count_request(&self, partition: Partition) {
        let mut request_rates = self.request_rates.borrow_mut();
        match request_rates.binary_search_by_key(&partition, |r| r.partition) {
            Ok(index) => request_rates[index].requests += 1,
            Err(index) => {
                let entry = PartitionRate { partition, requests: 1, millirequests_per_second: 0 };
                request_rates.insert(index, entry);
            }
        }
    }
}

/// Ingresses delay requests whose id is ahead of their clock, so that at the owner an id can be
/// ahead only by the clock skew between two hosts.
fn record_settings() -> RecordSettings {
    let defaults = RecordSettings::default();
    RecordSettings { caller_skew: defaults.host_skew, ..defaults }
}

impl Default for Owner {
    fn default() -> Self {
        Self::new()
    }
}

/// Runs a request for which this host is the owner, or that any host of the service may run.
pub async fn run(cx: &Cx, head: ForwardHead, body: Bytes) -> OwnerOutcome {
    match head.id {
        Some(id) => at_most_once::run(cx, id, head, body).await,
        None => execute::run(cx, head, body).await,
    }
}

/// Returns the load and state that this member reports with its lease renewals.
pub fn report(cx: &Cx) -> Report {
    let slots = cx.backend.view().map_or(0, |v| v.slots);
    Report {
        slots,
        slots_in_use: u32::try_from(cx.owner.running()).unwrap_or(u32::MAX),
        draining: cx.draining.get() || cx.backend.is_draining(),
        unfenced_grace: unfenced_grace(cx),
        partitions: partition_reports(cx),
    }
}

/// Returns the grace period for a backend server that does not check fencing tokens. One that has
/// never announced itself is assumed not to check them.
fn unfenced_grace(cx: &Cx) -> Millis {
    match cx.backend.last_fence_check() {
        Some(FenceCheck::Checked) => Millis::ZERO,
        _ => cx.own_service().map_or(Millis::ZERO, |s| s.unfenced_grace),
    }
}

/// Updates and returns the request rates of the partitions served here.
///
/// The rate is a moving average over about ten seconds. With shorter averages, random variation
/// between renewal intervals made the planner move partitions back and forth.
fn partition_reports(cx: &Cx) -> Vec<PartitionReport> {
    let interval = cx.settings.timing.renew_interval.0.max(1);
    let mut request_rates = cx.owner.request_rates.borrow_mut();
    for entry in request_rates.iter_mut() {
        let newest = entry.requests * 1_000_000 / interval;
        let old = entry.millirequests_per_second * (RATE_WINDOW_REPORTS - 1);
        entry.millirequests_per_second = (old + newest) / RATE_WINDOW_REPORTS;
        entry.requests = 0;
    }
    request_rates.retain(|r| cx.serves(r.partition).is_some());
    request_rates
        .iter()
        .map(|r| PartitionReport {
            partition: r.partition,
            millirequests_per_second: r.millirequests_per_second,
        })
        .collect()
}

/// Applies an announcement of the backend server to the queue limits and, if it came up, to the
/// report and the grants.
pub fn apply_announcement(cx: &Cx, change: BackendChange) {
    let Some(view) = cx.backend.view() else {
        return;
    };
    if change == BackendChange::Up {
        log::info!("backend: {} is up with {} slots.", view.addr, view.slots);
        cx.feed(ownership::Event::Reported(report(cx)));
        send_grants(cx);
    }
    let reserved_slots = cx.own_service().map_or(0, |service| service.reserved_slots);
    let limits = Limits::builder(view.slots)
        .connections(view.connections)
        .reserved_slots(reserved_slots)
        .build();
    cx.owner.queue.borrow_mut().set_limits(limits);
    tick(cx);
}

/// Advances the queue to the current time and executes its actions.
pub fn tick(cx: &Cx) {
    let actions = cx.owner.queue.borrow_mut().tick(cx.now());
    permit::apply_queue_actions(cx, actions);
}

/// Removes request records that are past their retention time.
pub fn expire_records(cx: &Cx) {
    let mut records = cx.owner.records.borrow_mut();
    if let Some(service) = cx.own_service() {
        records.set_retention(service.record_retention);
    }
    records.expire(cx.wall_clock.now());
}
