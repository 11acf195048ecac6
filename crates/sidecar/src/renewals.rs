//! Renewals of leases through one host of each zone, which writes them together.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, select};
use log::{info, warn};
use mesh::{LeaseReader, Renewal, RenewalBatch, WriteOutcome};
use model::{HostAddr, Millis};
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::dependency::Dependency;
use crate::rpc;
use crate::state::Cx;
use crate::wire::{RenewalOutcome, RenewalReply, RenewalRequest};

/// Timeout of a renewal through another host. Two attempts fit into the term of a lease.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(700);

/// A host that wrote renewals within this time counts as one that writes them.
const WRITER_MEMORY: Millis = Millis(3_000);

/// The renewals that this host writes.
#[derive(Default)]
pub struct Renewals {
    batch: RenewalBatch<oneshot::Sender<WriteOutcome>>,
}

impl Renewals {
    /// Returns whether this host writes renewals.
    fn is_writer(&self, now: Millis) -> bool {
        self.batch.active_within(WRITER_MEMORY, now)
    }
}

/// Returns what this host does that decides how often it reads the leases.
pub fn lease_reader(cx: &Cx) -> LeaseReader {
    let state = cx.state.borrow();
    if !state.renewals.is_writer(cx.now()) {
        return LeaseReader::Member;
    }
    let unreachable = |(host, row): (HostAddr, &adapter::HostRow)| {
        row.service == cx.settings.service && cx.host_connections.is_unreachable(host)
    };
    match state.hosts.iter().any(unreachable) {
        true => LeaseReader::SuspiciousWriter,
        false => LeaseReader::Writer,
    }
}

/// Renews the lease of this host through the host that writes the renewals of its zone, which may
/// be this one. Returns the outcome and the time until the next renewal should be sent.
pub async fn renew(cx: &Rc<Cx>, renewal: Renewal) -> (WriteOutcome, Millis) {
    let writer = select_writer(cx);
    let (outcome, next) = if writer == cx.me {
        submit(cx, renewal).await
    } else {
        let request = RenewalRequest::new(&cx.settings.service, &renewal);
        let reply = rpc::call(cx, writer, rpc::RENEWAL_PATH, &request, RENEWAL_TIMEOUT).await;
        reply.map_or((WriteOutcome::Unknown, Millis::ZERO), |r: RenewalReply| {
            (r.outcome.of_host(cx.me), Millis(r.next_ms))
        })
    };
    let mut state = cx.state.borrow_mut();
    match outcome {
        WriteOutcome::Committed(_) | WriteOutcome::Conflict(_) => {
            state.renewal_writers.record_success(writer);
        }
        WriteOutcome::NotApplied | WriteOutcome::Unknown => {
            info!("event=renewal-failed writer={writer} outcome={outcome:?}");
            state.renewal_writers.record_failure(writer, cx.now());
        }
    }
    (outcome, next)
}

fn select_writer(cx: &Cx) -> HostAddr {
    let state = cx.state.borrow();
    let in_zone =
        |row: &adapter::HostRow| row.zone == cx.settings.zone && row.service == cx.settings.service;
    let candidate = |(host, row): &(HostAddr, &adapter::HostRow)| {
        in_zone(row) && !cx.host_connections.is_unreachable(*host)
    };
    let mut zone: Vec<HostAddr> =
        state.hosts.iter().filter(candidate).map(|(host, _)| host).collect();
    if let Err(i) = zone.binary_search(&cx.me) {
        zone.insert(i, cx.me);
    }
    state.renewal_writers.select(cx.me, &zone, cx.now())
}

/// Handles the renewal of another host.
pub async fn handle(cx: &Rc<Cx>, request: RenewalRequest) -> RenewalReply {
    if request.service != cx.settings.service.as_str() || cx.stopping.get() {
        return RenewalReply { outcome: RenewalOutcome::NotApplied, next_ms: 0 };
    }
    let (outcome, next) = submit(cx, request.into()).await;
    RenewalReply { outcome: outcome.into(), next_ms: next.0 }
}

/// Adds a renewal to the next batch and waits for its outcome. Returns it with the time until the
/// next renewal should be sent.
async fn submit(cx: &Rc<Cx>, renewal: Renewal) -> (WriteOutcome, Millis) {
    let (tx, rx) = oneshot::channel();
    let replaced = cx.state.borrow_mut().renewals.batch.submit(renewal, tx, cx.now());
    if let Some(reply) = replaced {
        send_outcome(reply, WriteOutcome::NotApplied);
    }
    cx.renewals_due.notify_one();
    let outcome = rx.await.unwrap_or(WriteOutcome::Unknown);
    let next = cx.state.borrow().renewals.batch.next_renewal_in(cx.now());
    (outcome, next)
}

fn send_outcome(reply: oneshot::Sender<WriteOutcome>, outcome: WriteOutcome) {
    // A host that no longer waits has given up or closed its connection.
    let _ = reply.send(outcome);
}

/// Writes the batches that are due until the process ends.
pub async fn write_batches(cx: Rc<Cx>) {
    let mut dependency = Dependency::new("store-renewals");
    loop {
        let due = cx.state.borrow().renewals.batch.due_at();
        let notified = pin!(cx.renewals_due.notified());
        match due {
            None => notified.await,
            Some(due) => {
                let wait = pin!(sleep(Duration::from(due.since(cx.now()))));
                if let Either::Right(_) = select(wait, notified).await {
                    continue;
                }
            }
        }
        let (outdated, write) = {
            let batch = &mut cx.state.borrow_mut().renewals.batch;
            (batch.remove_other_eras(cx.store.era()), batch.next_write(cx.now()))
        };
        outdated.into_iter().for_each(|reply| send_outcome(reply, WriteOutcome::NotApplied));
        let Some(write) = write else { continue };
        let (outcome, error) = cx.store.write(&cx.settings.service, &write).await;
        match &error {
            Some(e) => dependency.failed(e),
            None => dependency.succeeded(),
        }
        match &outcome {
            WriteOutcome::Committed(version) => {
                log::debug!("event=renewed hosts={} version={version}", write.put.len());
            }
            WriteOutcome::Conflict(_) | WriteOutcome::NotApplied | WriteOutcome::Unknown => warn!(
                "event=renewals-failed hosts={} outcome={} error={error:?}",
                write.put.len(),
                outcome.name()
            ),
        }
        metrics::counter!("papayarill_renewal_batches", "outcome" => outcome.name()).increment(1);
        let mut state = cx.state.borrow_mut();
        if let WriteOutcome::Committed(version) = outcome {
            state.ownership.record_store_version(version, cx.now());
        }
        for (reply, outcome) in state.renewals.batch.finished(&outcome, cx.now()) {
            send_outcome(reply, outcome);
        }
    }
}
