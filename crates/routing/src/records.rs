//! Request records at the owner of a partition: what makes a request id run at most once.
//!
//! An owner lets an id run only if it can tell that no other run of the id exists. It can tell
//! for ids in its records, and for ids that were minted after the point from which it vouches.
//! Everything else is answered as unknown.
//!
//! Ids sort by the time at which they were minted, so a sorted vector is in order of expiry too.
//! A record goes when its id is older than the retention time, and the point from which the owner
//! vouches moves on with it; a clock that is set back opens no hole.

mod partition;
mod settings;

use std::collections::VecDeque;

use model::derive_common;
use model::{Fence, HandedRecord, KeptAnswer, Millis, Partition, RecordEnd, RequestId};
use ownership::Origin;

use partition::{PartitionRecords, Record, State};

pub use settings::RecordSettings;

/// The memory of one record in bytes, without a kept answer.
pub const RECORD_BYTES: usize = size_of::<Record>();

derive_common! {
    value
    /// Names one run of a request. A run that ends late cannot touch the record of another run.
    pub struct RunHandle {
        /// The partition.
        pub partition: Partition,
        /// The request id.
        pub id: RequestId,
        serial: u64,
    }
}

/// Whether a request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginResult {
    /// Run it, and call [`Records::finish`] with the ticket.
    Run(RunHandle),
    /// It is running already.
    Running,
    /// It ran; this is its answer.
    Replay(KeptAnswer),
    /// It ran; its answer is not kept any more.
    ResponseNotKept {
        /// The HTTP status of the answer.
        status: u16,
    },
    /// It may have run.
    Unknown,
    /// The id belongs to another request. This request was not run.
    DigestMismatch,
    /// The id is older than the retention time, so that it may have run.
    TooOld,
    /// The id is minted in the future, so that no host let it run.
    FromFuture,
    /// There is no room for another record. The request was not run here.
    Full,
    /// The partition is not served here, or is being handed over.
    NotServed,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// The backend server ran it, or may have.
    Recorded(RecordEnd),
    /// It was not run and will not be, so the id may run later.
    NotRun,
}

/// The records of one partition on their way to the next owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionHandover {
    /// The fence under which the sender served.
    pub fence: Fence,
    /// Ids minted before this wall-clock time are not vouched for.
    pub complete_from: Millis,
    /// The records, sorted by id.
    pub records: Vec<HandedRecord>,
}

/// How much an owner knows when it starts to serve a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum History {
    /// Nothing ran before.
    Empty,
    /// The records of the former owner are here.
    Available {
        /// How many there are.
        records: usize,
    },
    /// What ran before is unknown: ids minted before this wall-clock time are not vouched for.
    Lost {
        /// The wall-clock time.
        complete_from: Millis,
    },
}

/// All request records of one host process.
#[derive(Clone, Debug)]
pub struct Records {
    settings: RecordSettings,
    partitions: Vec<PartitionRecords>,
    waiting: Vec<Waiting>,
    /// Where answers are kept, in the order in which they give way.
    kept: VecDeque<(Partition, RequestId)>,
    kept_bytes: usize,
    next_serial: u64,
}

#[derive(Clone, Debug)]
struct Waiting {
    partition: Partition,
    since: Millis,
    handed: PartitionHandover,
}

/// Queries.
impl Records {
    /// Makes an empty set of records.
    pub fn new(settings: RecordSettings) -> Self {
        Self {
            settings,
            partitions: Vec::new(),
            waiting: Vec::new(),
            kept: VecDeque::new(),
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

    /// Returns the bytes of the answers that are kept.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Returns how many requests of the partition are running.
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
            // The order came twice; what ran since the first one must not be forgotten.
            self.partitions[index].frozen = false;
            return History::Available { records: self.partitions[index].records.len() };
        }
        self.drop_partition(partition);
        let adopted = self.take_waiting(partition, origin);
        let (handed, started) = self.inherit(origin, adopted, wall_now);
        let PartitionHandover { complete_from, records, .. } = handed;
        let records = records.into_iter().map(|r| Record::from_handed(r, wall_now)).collect();
        self.insert_partition(PartitionRecords {
            partition,
            complete_from,
            frozen: false,
            records,
        });
        started
    }

    /// Returns what a new owner knows of the time before it.
    fn inherit(
        &self,
        origin: Origin,
        adopted: Option<PartitionHandover>,
        wall_now: Millis,
    ) -> (PartitionHandover, History) {
        let nothing = |complete_from| PartitionHandover {
            fence: Fence(0),
            complete_from,
            records: Vec::new(),
        };
        match (origin, adopted) {
            (Origin::First, _) => (nothing(Millis::ZERO), History::Empty),
            (Origin::Planned { .. }, Some(handed)) => {
                let records = handed.records.len();
                (handed, History::Available { records })
            }
            _ => {
                let complete_from = wall_now + self.unvouched_span();
                (nothing(complete_from), History::Lost { complete_from })
            }
        }
    }

    /// Stops letting requests of a partition run and returns its records for the next owner.
    ///
    /// Requests that still run are handed over as unknown, so finish those that were queued and
    /// not started first.
    pub fn hand_over(
        &mut self,
        partition: Partition,
        wall_now: Millis,
    ) -> Option<(Millis, Vec<HandedRecord>)> {
        let retention = self.settings.retention;
        let index = self.find(partition).ok()?;
        let records = &mut self.partitions[index];
        records.frozen = true;
        self.kept_bytes -= records.raise(wall_now.since(retention));
        Some((records.complete_from, records.handed(wall_now)))
    }

    /// Goes on with a partition whose hand-over was called off.
    pub fn resume(&mut self, partition: Partition) {
        if let Ok(index) = self.find(partition) {
            self.partitions[index].frozen = false;
        }
    }

    /// Takes the records of a partition that is about to be assigned to this host.
    ///
    /// Hand-overs under one fence may come twice and out of order, so they are merged.
    pub fn receive_handover(
        &mut self,
        partition: Partition,
        handed: PartitionHandover,
        wall_now: Millis,
    ) {
        let found = self.waiting.binary_search_by_key(&partition, |w| w.partition);
        let index = match found {
            Ok(index) => index,
            Err(index) => {
                let waiting = Waiting { partition, since: wall_now, handed };
                self.waiting.insert(index, waiting);
                return;
            }
        };
        let waiting = &mut self.waiting[index];
        waiting.since = wall_now;
        if waiting.handed.fence == handed.fence {
            partition::merge(&mut waiting.handed, handed);
        } else if waiting.handed.fence < handed.fence {
            waiting.handed = handed;
        }
    }

    /// Forgets a partition that this host no longer owns.
    pub fn drop_partition(&mut self, partition: Partition) {
        let Ok(index) = self.find(partition) else {
            return;
        };
        let dropped = self.partitions.remove(index);
        self.kept_bytes -= dropped.kept_bytes();
        self.kept.retain(|(p, _)| *p != partition);
    }

    /// Forgets everything, as after the loss of the lease.
    pub fn drop_all(&mut self) {
        self.partitions.clear();
        self.waiting.clear();
        self.kept.clear();
        self.kept_bytes = 0;
    }

    /// Takes over the retention time of a new configuration. What was forgotten under a shorter
    /// one stays unvouched for.
    pub fn set_retention(&mut self, retention: Millis) {
        self.settings.retention = retention;
    }

    /// Forgets ids that are older than the retention time. To be called about once a second.
    pub fn expire(&mut self, wall_now: Millis) {
        let wait = self.settings.handover_timeout;
        self.waiting.retain(|w| wall_now.since(w.since) < wait);
        let oldest = wall_now.since(self.settings.retention);
        for records in &mut self.partitions {
            self.kept_bytes -= records.raise(oldest);
        }
        while self.kept.front().is_some_and(|(_, id)| id.minted_at() < oldest) {
            self.kept.pop_front();
        }
    }

    fn take_waiting(&mut self, partition: Partition, origin: Origin) -> Option<PartitionHandover> {
        let index = self.waiting.binary_search_by_key(&partition, |w| w.partition).ok()?;
        let handed = self.waiting.remove(index).handed;
        (origin == Origin::Planned { from: handed.fence }).then_some(handed)
    }

    /// An id that the former owner let run was minted at most this long after the takeover, by
    /// the clock of this host: callers ahead of the former owner were refused by it.
    fn unvouched_span(&self) -> Millis {
        self.settings.caller_skew + self.settings.host_skew + Millis(1)
    }

    fn insert_partition(&mut self, fresh: PartitionRecords) {
        let partition = fresh.partition;
        let answered: Vec<RequestId> = fresh.answered().collect();
        self.kept_bytes += fresh.kept_bytes();
        if let Err(index) = self.find(partition) {
            self.partitions.insert(index, fresh);
        }
        self.kept.extend(answered.into_iter().map(|id| (partition, id)));
        self.make_room(0);
    }
}

/// Commands about requests.
impl Records {
    /// Decides whether a request may run, and records it if so.
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
            Ok(position) => return records.records[position].repeat(digest),
            Err(position) => position,
        };
        if let Some(refusal) = records.refuse(id, &settings, wall_now) {
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

    /// Records how a run ended. The end of a run that is not on record changes nothing.
    pub fn finish(&mut self, ticket: RunHandle, ended: RunResult) {
        let Ok(index) = self.find(ticket.partition) else {
            return;
        };
        let Some(position) = self.partitions[index].find_running(ticket.id, ticket.serial) else {
            return;
        };
        let end = match ended {
            RunResult::NotRun => {
                self.partitions[index].records.remove(position);
                return;
            }
            RunResult::Recorded(end) => self.fit(end),
        };
        if let RecordEnd::Answered(answer) = &end {
            self.make_room(partition::bytes_of(answer));
            self.kept_bytes += partition::bytes_of(answer);
            self.kept.push_back((ticket.partition, ticket.id));
        }
        self.partitions[index].records[position].state = State::from(end);
    }

    fn fit(&self, end: RecordEnd) -> RecordEnd {
        let limit = self.settings.max_kept_response_bytes.min(self.settings.max_kept_bytes);
        match end {
            RecordEnd::Answered(answer) if partition::bytes_of(&answer) > limit => {
                RecordEnd::NotKept { status: answer.status }
            }
            end => end,
        }
    }

    fn make_room(&mut self, bytes: usize) {
        while self.kept_bytes + bytes > self.settings.max_kept_bytes {
            let Some((partition, id)) = self.kept.pop_front() else {
                return;
            };
            if let Ok(index) = self.find(partition) {
                self.kept_bytes -= self.partitions[index].strip(id);
            }
        }
    }
}
