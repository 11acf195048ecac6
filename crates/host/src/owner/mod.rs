//! What a host does as owner: it admits requests, runs them at its backend server and keeps the
//! records of those that run at most once.

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
use wire::{AnswerHead, Body, ForwardHead};

use crate::backend::{BackendChange, FenceCheck};
use crate::context::Cx;

pub use grants::send as send_grants;
pub use partitions::{quiesce, receive_handover, resume, serve, stop_all};
pub use quarantine::{
    add_suspects, apply_peer_quarantine, handle_backend_loss, lift_quarantine, quarantined,
};

/// The answer of an owner.
pub type OwnerOutcome = Outcome<(AnswerHead, Body)>;

/// The slots of a backend server that has not announced itself yet.
const INITIAL_SLOTS: u32 = 1;

/// Reports over which the request rate of a partition is averaged.
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
    /// The last fence under which each partition was served here, sorted by partition.
    last_fences: RefCell<Vec<(Partition, Fence)>>,
    grants: grants::GrantState,
    next_id: Cell<u64>,
    request_finished: Notify,
}

/// A request that runs at the backend server right now.
struct InFlight {
    attempt_id: u64,
    partition: Option<Partition>,
    digest: u64,
    /// Dropping this cancels the request.
    _cancel_guard: oneshot::Sender<()>,
}

/// A partition that is being released. Releases are numbered, so that the end of one that was
/// called off is not taken for the end of a later one.
#[derive(Clone, Copy, PartialEq, Eq)]
struct PartitionRelease {
    partition: Partition,
    id: u64,
}

/// How many requests of a partition came since the last report.
struct PartitionRate {
    partition: Partition,
    requests: u64,
    millirequests_per_second: u64,
}

impl Owner {
    /// Makes an owner that owns nothing.
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

    /// Returns how many requests run at the backend server.
    pub fn running(&self) -> usize {
        self.in_flight.borrow().len()
    }

    /// Returns how many requests wait for a slot.
    pub fn waiting(&self) -> usize {
        self.waiting.borrow().len()
    }

    fn is_releasing(&self, partition: Partition) -> bool {
        self.releasing.borrow().iter().any(|c| c.partition == partition)
    }

    /// Notes the fence under which a partition is served and returns the one before.
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

    /// Refuses new work of a partition until it is reopened.
    fn start_release(&self, partition: Partition) -> PartitionRelease {
        let releasing = PartitionRelease { partition, id: self.next_id() };
        self.end_release(partition);
        self.releasing.borrow_mut().push(releasing);
        releasing
    }

    fn end_release(&self, partition: Partition) {
        self.releasing.borrow_mut().retain(|c| c.partition != partition);
    }

    /// Returns whether this very release is still under way.
    fn is_release_current(&self, releasing: PartitionRelease) -> bool {
        self.releasing.borrow().contains(&releasing)
    }

    fn next_id(&self) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        id
    }

    /// Counts a request of a partition.
    fn count_request(&self, partition: Partition) {
        let mut request_rates = self.request_rates.borrow_mut();
        match request_rates.binary_search_by_key(&partition, |d| d.partition) {
            Ok(index) => request_rates[index].requests += 1,
            Err(index) => {
                let entry = PartitionRate { partition, requests: 1, millirequests_per_second: 0 };
                request_rates.insert(index, entry);
            }
        }
    }
}

/// An ingress waits out the lead of callers' clocks, so at an owner an id can be ahead only by as
/// much as the clocks of two hosts differ.
fn record_settings() -> RecordSettings {
    let defaults = RecordSettings::default();
    RecordSettings { caller_skew: defaults.host_skew, ..defaults }
}

impl Default for Owner {
    fn default() -> Self {
        Self::new()
    }
}

/// Runs a request that came to this host as the owner of its key, or as one of the hosts that may
/// serve it.
pub async fn run(cx: &Cx, head: ForwardHead, body: Bytes) -> OwnerOutcome {
    match head.id {
        Some(id) => at_most_once::run(cx, id, head, body).await,
        None => execute::run(cx, head, body).await,
    }
}

/// Returns what this member reports about itself with its next renewals.
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

/// A backend server that was never seen may check no fences.
fn unfenced_grace(cx: &Cx) -> Millis {
    match cx.backend.last_fence_check() {
        Some(FenceCheck::Checked) => Millis::ZERO,
        _ => cx.own_service().map_or(Millis::ZERO, |s| s.unfenced_grace),
    }
}

/// A moving average over about ten seconds. Shorter ones made the planner move partitions to and
/// fro, because the counts of one renewal interval differ by chance alone.
fn partition_reports(cx: &Cx) -> Vec<PartitionReport> {
    let interval = cx.settings.timing.renew_interval.0.max(1);
    let mut request_rates = cx.owner.request_rates.borrow_mut();
    for entry in request_rates.iter_mut() {
        let newest = entry.requests * 1_000_000 / interval;
        let old = entry.millirequests_per_second * (RATE_WINDOW_REPORTS - 1);
        entry.millirequests_per_second = (old + newest) / RATE_WINDOW_REPORTS;
        entry.requests = 0;
    }
    request_rates.retain(|d| cx.serves(d.partition).is_some());
    request_rates
        .iter()
        .map(|d| PartitionReport {
            partition: d.partition,
            millirequests_per_second: d.millirequests_per_second,
        })
        .collect()
}

/// Takes in what an announcement of the backend server changed.
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

/// Lets time pass for the queue.
pub fn tick(cx: &Cx) {
    let actions = cx.owner.queue.borrow_mut().tick(cx.now());
    permit::apply_queue_actions(cx, actions);
}

/// Forgets request records that are past their retention time.
pub fn expire_records(cx: &Cx) {
    let mut records = cx.owner.records.borrow_mut();
    if let Some(service) = cx.own_service() {
        records.set_retention(service.record_retention);
    }
    records.expire(cx.wall_clock.now());
}
