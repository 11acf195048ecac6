//! Request records of the owner of a partition, which make each request id run at most once.
//!
//! An owner lets an id run only if it can rule out any other run of the id. It can decide for the
//! ids in its records, and for ids minted at or after the time from which its records are complete.
//! All other ids are reported as unknown.
//!
//! Request ids sort by the time at which they were minted, so a vector sorted by id is also in
//! order of expiry. A record is removed when its id is older than the retention time, and the time
//! from which the records are complete advances with it. So no removed id can run again, even if
//! the clock is set back.

mod partition;
mod settings;

use std::collections::VecDeque;

use model::derive_common;
use model::{Fence, HandoverRecord, KeptResponse, Millis, Partition, RecordOutcome, RequestId};
use ownership::Origin;

use partition::{PartitionRecords, Record, State};

pub use settings::RecordSettings;

/// The size of one record in memory, in bytes, without a kept response.
pub const RECORD_BYTES: usize = size_of::<Record>();

derive_common! {
    value
    /// Identifies one run of a request.
    ///
    /// The serial number keeps a run that ends late from changing the record of another run.
    pub struct RunHandle {
        /// The partition.
        pub partition: Partition,
        /// The request id.
        pub id: RequestId,
        serial: u64,
    }
}

/// The result of [`Records::begin`]: whether a request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginResult {
    /// It may run. Call [`Records::finish`] with the handle when it ends.
    Run(RunHandle),
    /// It is already running.
    Running,
    /// It ran; this is its response.
    Replay(KeptResponse),
    /// It ran; its response was too large to keep or was evicted.
    ResponseNotKept {
        /// The HTTP status of the response.
        status: u16,
    },
    /// It may have run.
    Unknown,
    /// The id was used for another request. This request was not run.
    DigestMismatch,
    /// The id is older than the retention time, so it may have run.
    TooOld,
    /// The id was minted in the future, so no host let it run.
    FromFuture,
    /// The maximum number of records is reached. The request was not run here.
    Full,
    /// This host does not serve the partition, or is handing it over.
    NotServed,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// The backend server ran it, or may have.
    Recorded(RecordOutcome),
    /// It was not run and will not be, so the id may run again.
    NotRun,
}

/// The records of one partition, as they are handed over to the next owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionHandover {
    /// The fence under which the sender served.
    pub fence: Fence,
    /// The records are complete for ids minted from this wall-clock time on.
    pub complete_from: Millis,
    /// The records, sorted by id.
    pub records: Vec<HandoverRecord>,
}

/// What an owner knows of earlier requests when it starts to serve a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum History {
    /// No request ran earlier.
    Empty,
    /// The earlier records are available.
    Available {
        /// The number of records.
        records: usize,
    },
    /// The earlier records are lost.
    Lost {
        /// Ids minted before this wall-clock time may have run.
        complete_from: Millis,
    },
}

/// The request records of one host process.
#[derive(Clone, Debug)]
pub struct Records {
    settings: RecordSettings,
    partitions: Vec<PartitionRecords>,
    pending_handovers: Vec<PendingHandover>,
    /// The records with kept responses, in order of eviction.
    eviction_queue: VecDeque<(Partition, RequestId)>,
    kept_bytes: usize,
    next_serial: u64,
}

#[derive(Clone, Debug)]
struct PendingHandover {
    partition: Partition,
    received_at: Millis,
    handover: PartitionHandover,
}

/// Queries.
impl Records {
    /// Creates an empty set of records.
    pub fn new(settings: RecordSettings) -> Self {
        Self {
            settings,
            partitions: Vec::new(),
            pending_handovers: Vec::new(),
            eviction_queue: VecDeque::new(),
            kept_bytes: 0,
            next_serial: 0,
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.partitions.iter().map(|p| p.records.len()).sum()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the total size of the kept responses, in bytes.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Returns the number of running requests of the partition.
    pub fn running(&self, partition: Partition) -> usize {
        self.partition(partition).map_or(0, PartitionRecords::running)
    }

    fn partition(&self, partition: Partition) -> Option<&PartitionRecords> {
        self.find(partition).ok().map(|i| &self.partitions[i])
    }

    fn find(&self, partition: Partition) -> Result<usize, usize> {
        self.partitions.binary_search_by_key(&partition, |p| p.partition)
    }
}

/// Commands about partitions.
impl Records {
    /// Starts to serve a partition.
    pub fn start(&mut self, partition: Partition, origin: Origin, wall_now: Millis) -> History {
        if let (Origin::First, Ok(index)) = (origin, self.find(partition)) {
            // The command was delivered twice. The records since the first delivery must be kept.
            self.partitions[index].frozen = false;
            return History::Available { records: self.partitions[index].records.len() };
        }
        self.drop_partition(partition);
        let handover = self.take_handover(partition, origin);
        let (handover, history) = self.initial_state(origin, handover, wall_now);
        let PartitionHandover { complete_from, records, .. } = handover;
        let records = records.into_iter().map(|r| Record::from_handover(r, wall_now)).collect();
        self.insert_partition(PartitionRecords {
            partition,
            complete_from,
            frozen: false,
            records,
        });
        history
    }

    /// Returns what a new owner starts with: the handover if it is valid, otherwise no records.
    fn initial_state(
        &self,
        origin: Origin,
        handover: Option<PartitionHandover>,
        wall_now: Millis,
    ) -> (PartitionHandover, History) {
        let empty = |complete_from| PartitionHandover {
            fence: Fence(0),
            complete_from,
            records: Vec::new(),
        };
        match (origin, handover) {
            (Origin::First, _) => (empty(Millis::ZERO), History::Empty),
            (Origin::Planned { .. }, Some(handover)) => {
                let records = handover.records.len();
                (handover, History::Available { records })
            }
            _ => {
                let complete_from = wall_now + self.unknown_id_window();
                (empty(complete_from), History::Lost { complete_from })
            }
        }
    }

    /// Stops admitting requests of a partition and returns its records for the next owner, together
    /// with the time from which they are complete.
    ///
    /// Requests that are still running are handed over as unknown, so call [`Records::finish`]
    /// first for those that were queued but not started.
    pub fn hand_over(
        &mut self,
        partition: Partition,
        wall_now: Millis,
    ) -> Option<(Millis, Vec<HandoverRecord>)> {
        let retention = self.settings.retention;
        let index = self.find(partition).ok()?;
        let records = &mut self.partitions[index];
        records.frozen = true;
        self.kept_bytes -= records.expire_before(wall_now.since(retention));
        Some((records.complete_from, records.to_handover(wall_now)))
    }

    /// Resumes serving a partition whose handover was cancelled.
    pub fn resume(&mut self, partition: Partition) {
        if let Ok(index) = self.find(partition) {
            self.partitions[index].frozen = false;
        }
    }

    /// Stores the records of a partition that is about to be assigned to this host.
    ///
    /// Handovers under the same fence may arrive more than once and out of order, so they are
    /// merged. A handover under a higher fence replaces one under a lower fence.
    pub fn receive_handover(
        &mut self,
        partition: Partition,
        handover: PartitionHandover,
        wall_now: Millis,
    ) {
        let found = self.pending_handovers.binary_search_by_key(&partition, |h| h.partition);
        let index = match found {
            Ok(index) => index,
            Err(index) => {
                let pending = PendingHandover { partition, received_at: wall_now, handover };
                self.pending_handovers.insert(index, pending);
                return;
            }
        };
        let pending = &mut self.pending_handovers[index];
        pending.received_at = wall_now;
        if pending.handover.fence == handover.fence {
            partition::merge(&mut pending.handover, handover);
        } else if pending.handover.fence < handover.fence {
            pending.handover = handover;
        }
    }

    /// Drops the records of a partition that this host no longer owns.
    pub fn drop_partition(&mut self, partition: Partition) {
        let Ok(index) = self.find(partition) else {
            return;
        };
        let dropped = self.partitions.remove(index);
        self.kept_bytes -= dropped.kept_bytes();
        self.eviction_queue.retain(|(p, _)| *p != partition);
    }

    /// Drops all records, for example after the lease was lost.
    pub fn drop_all(&mut self) {
        self.partitions.clear();
        self.pending_handovers.clear();
        self.eviction_queue.clear();
        self.kept_bytes = 0;
    }

    /// Sets the retention time from a new configuration.
    ///
    /// Ids that expired under a shorter retention time remain unknown.
    pub fn set_retention(&mut self, retention: Millis) {
        self.settings.retention = retention;
    }

    /// Removes records of ids older than the retention time, and handovers that timed out. Must be
    /// called about once a second.
    pub fn expire(&mut self, wall_now: Millis) {
        let timeout = self.settings.handover_timeout;
        self.pending_handovers.retain(|h| wall_now.since(h.received_at) < timeout);
        let oldest = wall_now.since(self.settings.retention);
        for records in &mut self.partitions {
            self.kept_bytes -= records.expire_before(oldest);
        }
        while self.eviction_queue.front().is_some_and(|(_, id)| id.minted_at() < oldest) {
            self.eviction_queue.pop_front();
        }
    }

    fn take_handover(&mut self, partition: Partition, origin: Origin) -> Option<PartitionHandover> {
        let index =
            self.pending_handovers.binary_search_by_key(&partition, |h| h.partition).ok()?;
        let handover = self.pending_handovers.remove(index).handover;
        (origin == Origin::Planned { from: handover.fence }).then_some(handover)
    }

    /// Returns how far past the time of a takeover ids count as unknown.
    ///
    /// An id that the former owner let run was minted at most this long after the takeover, by the
    /// clock of this host: the former owner refused ids that were further ahead of its own clock
    /// than the caller skew.
    fn unknown_id_window(&self) -> Millis {
        self.settings.caller_skew + self.settings.host_skew + Millis(1)
    }

    fn insert_partition(&mut self, new: PartitionRecords) {
        let partition = new.partition;
        let with_response: Vec<RequestId> = new.with_response().collect();
        self.kept_bytes += new.kept_bytes();
        if let Err(index) = self.find(partition) {
            self.partitions.insert(index, new);
        }
        self.eviction_queue.extend(with_response.into_iter().map(|id| (partition, id)));
        self.evict_until_fits(0);
    }
}

/// Commands about requests.
impl Records {
    /// Decides whether a request may run, and if so records it as running.
    pub fn begin(
        &mut self,
        partition: Partition,
        id: RequestId,
        digest: u64,
        wall_now: Millis,
    ) -> BeginResult {
        let full = self.len() >= self.settings.max_records;
        let Ok(index) = self.find(partition) else {
            return BeginResult::NotServed;
        };
        let settings = self.settings;
        let records = &mut self.partitions[index];
        let position = match records.find(id) {
            Ok(position) => return records.records[position].on_duplicate(digest),
            Err(position) => position,
        };
        if let Some(refusal) = records.refusal(id, &settings, wall_now) {
            return refusal;
        }
        if full {
            return BeginResult::Full;
        }
        let serial = self.next_serial;
        self.next_serial += 1;
        records.records.insert(position, Record::running(id, digest, serial, wall_now));
        BeginResult::Run(RunHandle { partition, id, serial })
    }

    /// Records how a run ended. Does nothing if the run has no record.
    pub fn finish(&mut self, run: RunHandle, result: RunResult) {
        let Ok(index) = self.find(run.partition) else {
            return;
        };
        let Some(position) = self.partitions[index].find_running(run.id, run.serial) else {
            return;
        };
        let end = match result {
            RunResult::NotRun => {
                self.partitions[index].records.remove(position);
                return;
            }
            RunResult::Recorded(end) => self.limit_response(end),
        };
        if let RecordOutcome::Answered(response) = &end {
            self.evict_until_fits(partition::kept_size(response));
            self.kept_bytes += partition::kept_size(response);
            self.eviction_queue.push_back((run.partition, run.id));
        }
        self.partitions[index].records[position].state = State::from(end);
    }

    /// Drops a response that is too large to keep.
    fn limit_response(&self, end: RecordOutcome) -> RecordOutcome {
        let limit = self.settings.max_kept_response_bytes.min(self.settings.max_kept_bytes);
        match end {
            RecordOutcome::Answered(response) if partition::kept_size(&response) > limit => {
                RecordOutcome::NotKept { status: response.status }
            }
            end => end,
        }
    }

    /// Evicts the oldest responses until another `bytes` fit the limit.
    fn evict_until_fits(&mut self, bytes: usize) {
        while self.kept_bytes + bytes > self.settings.max_kept_bytes {
            let Some((partition, id)) = self.eviction_queue.pop_front() else {
                return;
            };
            if let Ok(index) = self.find(partition) {
                self.kept_bytes -= self.partitions[index].drop_response(id);
            }
        }
    }
}
