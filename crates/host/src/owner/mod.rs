//! What a host does as owner: it admits requests, runs them at its backend server and keeps the
//! records of those that run at most once.

mod claims;
mod execute;
mod grants;
mod once;
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

use crate::backend::{Change, FenceCheck};
use crate::shared::Cx;

pub use claims::{quiesce, resume, serve, stop_all, take_handover};
pub use grants::send as send_grants;
pub use quarantine::{
    backend_lost, learn_quarantine, learn_suspects, lift_quarantine, quarantined,
};

/// The answer of an owner.
pub type OwnerOutcome = Outcome<(ResponseHead, Body)>;

/// The slots of a backend server that has not announced itself yet.
const UNKNOWN_SLOTS: u32 = 1;

/// Reports over which the request rate of a partition is averaged.
const AVERAGED_REPORTS: u64 = 32;

/// The state of a host as owner.
pub struct Owner {
    records: RefCell<Records>,
    queue: RefCell<Queue>,
    quarantine: RefCell<Quarantine>,
    waiting: RefCell<Vec<(u64, oneshot::Sender<permit::Go>)>>,
    in_flight: RefCell<Vec<InFlight>>,
    closing: RefCell<Vec<Closing>>,
    demand: RefCell<Vec<PartitionDemand>>,
    /// The last fence under which each partition was served here, sorted by partition.
    served: RefCell<Vec<(Partition, Fence)>>,
    grants: grants::GrantState,
    next_call: Cell<u64>,
    finished: Notify,
}

/// A request that runs at the backend server right now.
struct InFlight {
    call: u64,
    partition: Option<Partition>,
    digest: u64,
    /// Dropping this cancels the request.
    _keep: oneshot::Sender<()>,
}

/// A partition that is being released. Releases are numbered, so that the end of one that was
/// called off is not taken for the end of a later one.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Closing {
    partition: Partition,
    release: u64,
}

/// How many requests of a partition came since the last report.
struct PartitionDemand {
    partition: Partition,
    requests: u64,
    millirequests_per_second: u64,
}

impl Owner {
    /// Makes an owner that owns nothing.
    pub fn new() -> Self {
        Self {
            records: RefCell::new(Records::new(record_settings())),
            queue: RefCell::new(Queue::new(Limits::builder(UNKNOWN_SLOTS).build())),
            quarantine: RefCell::new(Quarantine::new(QuarantineLimits::default())),
            waiting: RefCell::new(Vec::new()),
            in_flight: RefCell::new(Vec::new()),
            closing: RefCell::new(Vec::new()),
            demand: RefCell::new(Vec::new()),
            served: RefCell::new(Vec::new()),
            grants: grants::GrantState::default(),
            next_call: Cell::new(1),
            finished: Notify::new(),
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

    fn is_closing(&self, partition: Partition) -> bool {
        self.closing.borrow().iter().any(|c| c.partition == partition)
    }

    /// Notes the fence under which a partition is served and returns the one before.
    fn note_served(&self, partition: Partition, fence: Fence) -> Option<Fence> {
        let mut served = self.served.borrow_mut();
        match served.binary_search_by_key(&partition, |(p, _)| *p) {
            Ok(index) => Some(std::mem::replace(&mut served[index].1, fence)),
            Err(index) => {
                served.insert(index, (partition, fence));
                None
            }
        }
    }

    /// Refuses new work of a partition until it is reopened.
    fn close(&self, partition: Partition) -> Closing {
        let closing = Closing { partition, release: self.next_call() };
        self.reopen(partition);
        self.closing.borrow_mut().push(closing);
        closing
    }

    fn reopen(&self, partition: Partition) {
        self.closing.borrow_mut().retain(|c| c.partition != partition);
    }

    /// Returns whether this very release is still under way.
    fn is_current(&self, closing: Closing) -> bool {
        self.closing.borrow().contains(&closing)
    }

    fn next_call(&self) -> u64 {
        let call = self.next_call.get();
        self.next_call.set(call + 1);
        call
    }

    /// Counts a request of a partition.
    fn count(&self, partition: Partition) {
        let mut demand = self.demand.borrow_mut();
        match demand.binary_search_by_key(&partition, |d| d.partition) {
            Ok(index) => demand[index].requests += 1,
            Err(index) => {
                let fresh = PartitionDemand { partition, requests: 1, millirequests_per_second: 0 };
                demand.insert(index, fresh);
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
        Some(id) => once::run(cx, id, head, body).await,
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
    let mut demand = cx.owner.demand.borrow_mut();
    for entry in demand.iter_mut() {
        let newest = entry.requests * 1_000_000 / interval;
        let old = entry.millirequests_per_second * (AVERAGED_REPORTS - 1);
        entry.millirequests_per_second = (old + newest) / AVERAGED_REPORTS;
        entry.requests = 0;
    }
    demand.retain(|d| cx.serves(d.partition).is_some());
    demand
        .iter()
        .map(|d| PartitionReport {
            partition: d.partition,
            millirequests_per_second: d.millirequests_per_second,
        })
        .collect()
}

/// Takes in what an announcement of the backend server changed.
pub fn backend_announced(cx: &Cx, change: Change) {
    let Some(view) = cx.backend.view() else {
        return;
    };
    if change == Change::Up {
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
    permit::carry_out(cx, actions);
}

/// Forgets request records that are past their retention time.
pub fn expire_records(cx: &Cx) {
    let mut records = cx.owner.records.borrow_mut();
    if let Some(service) = cx.own_service() {
        records.set_retention(service.record_retention);
    }
    records.expire(cx.wall.now());
}
