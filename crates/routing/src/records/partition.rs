//! The records of one partition.

use model::{HandedRecord, KeptAnswer, Millis, Partition, RecordEnd, RequestId};

use super::{BeginResult, PartitionHandover, RecordSettings};

/// The records of one partition that this host owns.
#[derive(Clone, Debug)]
pub(super) struct PartitionRecords {
    pub partition: Partition,
    /// Ids minted earlier and in no record may have run.
    pub complete_from: Millis,
    /// Whether the records are on their way to the next owner, so that nothing may be added.
    pub frozen: bool,
    /// Sorted by id, and so by the time at which they were minted.
    pub records: Vec<Record>,
}

/// One request that runs or ran.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub id: RequestId,
    pub digest: u64,
    pub started_at: Millis,
    pub state: State,
}

/// The answer is boxed because most records of a busy owner hold none.
#[derive(Clone, Debug)]
pub(super) enum State {
    Running { serial: u64 },
    Answered(Box<KeptAnswer>),
    NotKept { status: u16 },
    Unknown,
}

impl From<RecordEnd> for State {
    fn from(end: RecordEnd) -> Self {
        match end {
            RecordEnd::Answered(answer) => Self::Answered(Box::new(answer)),
            RecordEnd::NotKept { status } => Self::NotKept { status },
            RecordEnd::Unknown => Self::Unknown,
        }
    }
}

impl State {
    fn end(&self) -> RecordEnd {
        match self {
            // The run may go on after its record has left, so its end will never be known.
            Self::Running { .. } | Self::Unknown => RecordEnd::Unknown,
            Self::Answered(answer) => RecordEnd::Answered(answer.as_ref().clone()),
            Self::NotKept { status } => RecordEnd::NotKept { status: *status },
        }
    }

    fn kept_bytes(&self) -> usize {
        match self {
            Self::Answered(answer) => bytes_of(answer),
            _ => 0,
        }
    }
}

impl Record {
    pub fn running(id: RequestId, digest: u64, serial: u64, started_at: Millis) -> Self {
        Self { id, digest, started_at, state: State::Running { serial } }
    }

    pub fn from_handed(handed: HandedRecord, wall_now: Millis) -> Self {
        let started_at = wall_now.since(handed.age);
        Self { id: handed.id, digest: handed.digest, started_at, state: State::from(handed.end) }
    }

    /// Returns what a re-send of this request is told.
    pub fn repeat(&self, digest: u64) -> BeginResult {
        if digest != self.digest {
            return BeginResult::DigestMismatch;
        }
        match &self.state {
            State::Running { .. } => BeginResult::Running,
            State::Answered(answer) => BeginResult::Replay(answer.as_ref().clone()),
            State::NotKept { status } => BeginResult::ResponseNotKept { status: *status },
            State::Unknown => BeginResult::Unknown,
        }
    }
}

/// Queries.
impl PartitionRecords {
    pub fn find(&self, id: RequestId) -> Result<usize, usize> {
        self.records.binary_search_by_key(&id, |r| r.id)
    }

    pub fn find_running(&self, id: RequestId, serial: u64) -> Option<usize> {
        let position = self.find(id).ok()?;
        let state = &self.records[position].state;
        matches!(state, State::Running { serial: s } if *s == serial).then_some(position)
    }

    pub fn running(&self) -> usize {
        self.records.iter().filter(|r| matches!(r.state, State::Running { .. })).count()
    }

    pub fn answered(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.records.iter().filter(|r| matches!(r.state, State::Answered(_))).map(|r| r.id)
    }

    pub fn kept_bytes(&self) -> usize {
        self.records.iter().map(|r| r.state.kept_bytes()).sum()
    }

    /// Returns why an id that is in no record may not run.
    ///
    /// The order counts: an id that a former owner with a faster clock let run must be found
    /// unvouched before it is called one from the future, which means that it never ran.
    pub fn refuse(
        &self,
        id: RequestId,
        settings: &RecordSettings,
        wall_now: Millis,
    ) -> Option<BeginResult> {
        let minted_at = id.minted_at();
        if minted_at < wall_now.since(settings.retention) {
            return Some(BeginResult::TooOld);
        }
        if minted_at < self.complete_from {
            return Some(BeginResult::Unknown);
        }
        if minted_at > wall_now + settings.caller_skew {
            return Some(BeginResult::FromFuture);
        }
        self.frozen.then_some(BeginResult::NotServed)
    }

    /// Returns the records as the next owner gets them.
    pub fn handed(&self, wall_now: Millis) -> Vec<HandedRecord> {
        let handed = |r: &Record| HandedRecord {
            id: r.id,
            digest: r.digest,
            age: wall_now.since(r.started_at),
            end: r.state.end(),
        };
        self.records.iter().map(handed).collect()
    }
}

/// Commands.
impl PartitionRecords {
    /// Forgets ids minted before `oldest` and vouches for none of them from now on. Returns the
    /// bytes of the answers that went.
    pub fn raise(&mut self, oldest: Millis) -> usize {
        self.complete_from = self.complete_from.max(oldest);
        let count = self.records.partition_point(|r| r.id.minted_at() < oldest);
        self.records.drain(..count).map(|r| r.state.kept_bytes()).sum()
    }

    /// Forgets the answer of one record, but not that it ran. Returns the bytes that this frees.
    pub fn strip(&mut self, id: RequestId) -> usize {
        let Ok(position) = self.find(id) else {
            return 0;
        };
        let state = &mut self.records[position].state;
        let bytes = state.kept_bytes();
        if let State::Answered(answer) = state {
            *state = State::NotKept { status: answer.status };
        }
        bytes
    }
}

/// Returns how much of the bound on answers an answer takes.
pub(super) fn bytes_of(answer: &KeptAnswer) -> usize {
    let headers: usize = answer.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
    size_of::<KeptAnswer>() + headers + answer.body.len()
}

/// Adds a second hand-over under the same fence to the first.
pub(super) fn merge(waiting: &mut PartitionHandover, other: PartitionHandover) {
    waiting.complete_from = waiting.complete_from.max(other.complete_from);
    for record in other.records {
        match waiting.records.binary_search_by_key(&record.id, |r| r.id) {
            Err(index) => waiting.records.insert(index, record),
            Ok(index) => {
                let known = &mut waiting.records[index];
                // A run that went on after the first hand-over has ended by the second.
                if known.end == RecordEnd::Unknown {
                    *known = record;
                }
            }
        }
    }
}
