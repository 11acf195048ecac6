//! Lease renewals of many hosts in one transaction, so that the calls to the store grow with the
//! number of zones and not with the number of hosts.
//!
//! The hosts of a zone send their renewals to one of them, which writes them together. A renewal
//! stays the conditional write that its host chose, so a batch changes nothing about who holds a
//! lease: it can only be late or get lost, as any write can. A host counts its term from when it
//! sent the renewal, and learns of the outcome from the host that wrote it or not at all.

use model::{HostAddr, Millis, RowVersion, derive_common};

use crate::ownership::{ConditionalWrite, RowName, WriteOutcome};

/// How long a batch waits for more renewals after the first one.
const GATHER_TIME: Millis = Millis(80);

/// The shortest time from one batch to the next, which bounds the calls while renewals fail.
const MIN_INTERVAL: Millis = Millis(250);

/// The writer asks all hosts to renew at the same time, at this interval.
const BEAT: Millis = Millis(1_000);

/// A host is not asked to renew sooner than this after its last renewal.
const MIN_NEXT_RENEWAL: Millis = Millis(150);

/// The largest batch; the store accepts no more rows in one transaction.
const MAX_RENEWALS: usize = 100;

/// A host that didn't write a renewal is not asked again for this time, unless all others failed
/// too.
const BACKOFF: Millis = Millis(2_500);

derive_common! {
    data
    /// A renewal of the lease of one host.
    pub struct Renewal {
        /// The holder of the lease.
        pub host: HostAddr,
        /// The version of the lease row that the renewal replaces.
        pub expected: RowVersion,
        /// The new row.
        pub row: Vec<u8>,
    }
}

impl Renewal {
    /// Returns the renewal that `write` consists of, or `None` if it does anything else.
    pub fn from_write(write: &ConditionalWrite) -> Option<Self> {
        match (&*write.expect, &*write.put, &*write.remove) {
            (&[(RowName::Lease(host), expected)], [(RowName::Lease(written), row)], [])
                if host == *written =>
            {
                Some(Self { host, expected, row: row.clone() })
            }
            _ => None,
        }
    }
}

/// A renewal with the handle by which its host learns the outcome.
#[derive(Debug)]
struct Submitted<R> {
    renewal: Renewal,
    reply: R,
}

/// The renewals that one host writes for others. Each has a reply handle of type `R`, since a host
/// whose request timed out sends another one while the first is still being written.
#[derive(Debug)]
pub struct RenewalBatch<R> {
    waiting: Vec<Submitted<R>>, // Sorted by host.
    /// When the first of them arrived.
    waiting_since: Millis,
    /// The renewals that are being written.
    in_flight: Vec<Submitted<R>>,
    first_written: Option<Millis>,
    last_written: Option<Millis>,
}

impl<R> Default for RenewalBatch<R> {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            waiting_since: Millis::ZERO,
            in_flight: Vec::new(),
            first_written: None,
            last_written: None,
        }
    }
}

/// Queries.
impl<R> RenewalBatch<R> {
    /// Returns when the next batch is due, if one is.
    pub fn due_at(&self) -> Option<Millis> {
        if self.waiting.is_empty() || !self.in_flight.is_empty() {
            return None;
        }
        let next = self.last_written.map_or(Millis::ZERO, |at| at + MIN_INTERVAL);
        Some(next.max(self.waiting_since + GATHER_TIME))
    }

    /// Returns the time until a host whose renewal was just written should renew again.
    pub fn next_renewal_in(&self, now: Millis) -> Millis {
        let since_beat = Millis(now.since(self.first_written.unwrap_or(now)).0 % BEAT.0);
        let next = BEAT.since(since_beat);
        if next < MIN_NEXT_RENEWAL { next + BEAT } else { next }
    }

    /// Returns whether this host has written renewals within `span`.
    pub fn active_within(&self, span: Millis, now: Millis) -> bool {
        self.last_written.is_some_and(|at| now.since(at) <= span)
    }
}

/// Commands.
impl<R> RenewalBatch<R> {
    /// Adds a renewal. Returns the reply handle of an earlier one of the same host that it replaces,
    /// which is certain not to be written.
    pub fn submit(&mut self, renewal: Renewal, reply: R, now: Millis) -> Option<R> {
        if self.waiting.is_empty() {
            self.waiting_since = now;
        }
        let host = renewal.host;
        let submitted = Submitted { renewal, reply };
        match self.find_waiting(host) {
            Ok(i) => Some(std::mem::replace(&mut self.waiting[i], submitted).reply),
            Err(i) => {
                self.waiting.insert(i, submitted);
                None
            }
        }
    }

    /// Removes the waiting renewals of hosts that don't know the era in which the store is. Returns
    /// their reply handles.
    pub fn remove_other_eras(&mut self, era: u64) -> Vec<R> {
        let known = |s: &Submitted<R>| {
            s.renewal.expected == RowVersion(0) || s.renewal.expected.era() == era
        };
        let (kept, removed) = std::mem::take(&mut self.waiting).into_iter().partition(known);
        self.waiting = kept;
        let removed: Vec<Submitted<R>> = removed;
        removed.into_iter().map(|s| s.reply).collect()
    }

    fn find_waiting(&self, host: HostAddr) -> Result<usize, usize> {
        self.waiting.binary_search_by_key(&host, |s| s.renewal.host)
    }

    /// Returns the write of the batch that is due. Its outcome is passed to
    /// [`RenewalBatch::finished`].
    pub fn next_write(&mut self, now: Millis) -> Option<ConditionalWrite> {
        if self.due_at().is_none_or(|due| now < due) {
            return None;
        }
        let count = self.waiting.len().min(MAX_RENEWALS);
        self.in_flight = self.waiting.drain(..count).collect();
        self.waiting_since = now;
        self.last_written = Some(now);
        self.first_written.get_or_insert(now);
        let rows = self.in_flight.iter().map(|s| &s.renewal);
        Some(ConditionalWrite {
            expect: rows.clone().map(|r| (RowName::Lease(r.host), r.expected)).collect(),
            put: rows.map(|r| (RowName::Lease(r.host), r.row.clone())).collect(),
            reason: "renew-batch",
            ..ConditionalWrite::default()
        })
    }

    /// Applies the outcome of the batch, and returns what is certain for each renewal. After a
    /// conflict, the renewals that it did not concern are written again at once.
    pub fn finished(&mut self, outcome: &WriteOutcome, now: Millis) -> Vec<(R, WriteOutcome)> {
        let written = std::mem::take(&mut self.in_flight);
        let WriteOutcome::Conflict(rows) = outcome else {
            return written.into_iter().map(|s| (s.reply, outcome.clone())).collect();
        };
        let mut decided = Vec::new();
        for submitted in written {
            let Renewal { host, expected, .. } = submitted.renewal;
            let found = rows.iter().find(|(row, ..)| *row == RowName::Lease(host));
            match found.filter(|(_, version, _)| *version != expected) {
                Some(row) => {
                    decided.push((submitted.reply, WriteOutcome::Conflict(vec![row.clone()])));
                }
                // Nothing of the batch was applied.
                None => decided.extend(
                    self.resubmit(submitted, now).map(|reply| (reply, WriteOutcome::NotApplied)),
                ),
            }
        }
        decided
    }

    /// Adds a renewal that has waited already. Returns its reply handle if its host has sent a later
    /// one.
    fn resubmit(&mut self, submitted: Submitted<R>, now: Millis) -> Option<R> {
        self.waiting_since = now.since(GATHER_TIME);
        self.last_written = self.last_written.map(|at| at.since(MIN_INTERVAL));
        match self.find_waiting(submitted.renewal.host) {
            Ok(_) => Some(submitted.reply),
            Err(i) => {
                self.waiting.insert(i, submitted);
                None
            }
        }
    }
}

/// Selects the host that writes the renewals of one host: the first of its zone that is not known to
/// have failed lately, so that all hosts of a zone select the same one.
#[derive(Clone, Debug, Default)]
pub struct RenewalWriterSelector {
    failures: Vec<(HostAddr, Millis)>,
}

/// Queries.
impl RenewalWriterSelector {
    /// Selects one of `zone`, the sorted hosts of the zone, which include `me`.
    pub fn select(&self, me: HostAddr, zone: &[HostAddr], now: Millis) -> HostAddr {
        let failed_at =
            |h: HostAddr| self.failures.iter().find(|(f, _)| *f == h).map(|(_, at)| *at);
        let usable = |h: &HostAddr| failed_at(*h).is_none_or(|at| now.since(at) >= BACKOFF);
        let longest_ago = || zone.iter().copied().min_by_key(|h| failed_at(*h));
        zone.iter().copied().find(usable).or_else(longest_ago).unwrap_or(me)
    }
}

/// Commands.
impl RenewalWriterSelector {
    /// Records that a host did not write a renewal.
    pub fn record_failure(&mut self, host: HostAddr, now: Millis) {
        self.failures.retain(|(h, at)| *h != host && now.since(*at) < BACKOFF);
        self.failures.push((host, now));
    }

    /// Records that a host wrote a renewal.
    pub fn record_success(&mut self, host: HostAddr) {
        self.failures.retain(|(h, _)| *h != host);
    }
}
