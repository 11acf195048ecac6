//! The records of one partition.

use model::{HandoverRecord, KeptResponse, Millis, Partition, RecordOutcome, RequestId};

use super::{BeginResult, PartitionHandover, RecordSettings};

/// The records of one partition that this host owns.
#[derive(Clone, Debug)]
pub(super) struct PartitionRecords {
    pub partition: Partition,
    /// An id minted earlier that has no record may have run.
    pub complete_from: Millis,
    /// Whether the records are being handed over to the next owner, so that none may be added.
    pub frozen: bool,
    /// Sorted by id, and therefore by the time at which the ids were minted.
    pub records: Vec<Record>,
}

/// A request that is running or may have run.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub id: RequestId,
    pub digest: u64,
    pub started_at: Millis,
    pub state: State,
}

/// The state of a recorded request.
///
/// The response is boxed because most records of a busy owner hold none.
#[derive(Clone, Debug)]
pub(super) enum State {
    Running { serial: u64 },
    Answered(Box<KeptResponse>),
    NotKept { status: u16 },
    Unknown,
}

impl From<RecordOutcome> for State {
    fn from(end: RecordOutcome) -> Self {
        match end {
            RecordOutcome::Answered(response) => Self::Answered(Box::new(response)),
            RecordOutcome::NotKept { status } => Self::NotKept { status },
            RecordOutcome::Unknown => Self::Unknown,
        }
    }
}

impl State {
    fn end(&self) -> RecordOutcome {
        match self {
            // The run may continue after its record was handed over, so its result stays unknown.
            Self::Running { .. } | Self::Unknown => RecordOutcome::Unknown,
            Self::Answered(response) => RecordOutcome::Answered(response.as_ref().clone()),
            Self::NotKept { status } => RecordOutcome::NotKept { status: *status },
        }
    }

    fn kept_bytes(&self) -> usize {
        match self {
            Self::Answered(response) => kept_size(response),
            _ => 0,
        }
    }
}

impl Record {
    pub fn running(id: RequestId, digest: u64, serial: u64, started_at: Millis) -> Self {
        Self { id, digest, started_at, state: State::Running { serial } }
    }

    pub fn from_handover(handover: HandoverRecord, wall_now: Millis) -> Self {
        let started_at = wall_now.since(handover.age);
        Self {
            id: handover.id,
            digest: handover.digest,
            started_at,
            state: State::from(handover.outcome),
        }
    }

    /// Returns the result of [`Records::begin`](super::Records::begin) for an id with this record.
    pub fn on_duplicate(&self, digest: u64) -> BeginResult {
        if digest != self.digest {
            return BeginResult::DigestMismatch;
        }
        match &self.state {
            State::Running { .. } => BeginResult::Running,
            State::Answered(response) => BeginResult::Replay(response.as_ref().clone()),
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

    pub fn with_response(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.records.iter().filter(|r| matches!(r.state, State::Answered(_))).map(|r| r.id)
    }

    pub fn kept_bytes(&self) -> usize {
        self.records.iter().map(|r| r.state.kept_bytes()).sum()
    }

    /// Returns why an id without a record may not run, or `None` if it may.
    ///
    /// The order of the checks matters. A former owner with a faster clock may have let an id run
    /// that is from the future by this host's clock. Such an id must be reported as unknown,
    /// because `FromFuture` means that it never ran.
    pub fn refusal(
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

    /// Returns the records in the form in which they are handed over.
    pub fn to_handover(&self, wall_now: Millis) -> Vec<HandoverRecord> {
        let to_handover = |r: &Record| HandoverRecord {
            id: r.id,
            digest: r.digest,
            age: wall_now.since(r.started_at),
            outcome: r.state.end(),
        };
        self.records.iter().map(to_handover).collect()
    }
}

/// Commands.
impl PartitionRecords {
    /// Removes the records of ids minted before `oldest`, which count as unknown from now on.
    /// Returns the size of the removed responses, in bytes.
    pub fn expire_before(&mut self, oldest: Millis) -> usize {
        self.complete_from = self.complete_from.max(oldest);
        let count = self.records.partition_point(|r| r.id.minted_at() < oldest);
        self.records.drain(..count).map(|r| r.state.kept_bytes()).sum()
    }

    /// Drops the kept response of a record, but not the record. Returns the freed size, in bytes.
    pub fn drop_response(&mut self, id: RequestId) -> usize {
        let Ok(position) = self.find(id) else {
            return 0;
        };
        let state = &mut self.records[position].state;
        let bytes = state.kept_bytes();
        if let State::Answered(response) = state {
            *state = State::NotKept { status: response.status };
        }
        bytes
    }
}

/// Returns the size of a kept response, as it counts towards the limits.
pub(super) fn kept_size(response: &KeptResponse) -> usize {
    let headers: usize = response.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
    size_of::<KeptResponse>() + headers + response.body.len()
}

/// Merges a second handover under the same fence into the first.
pub(super) fn merge(first: &mut PartitionHandover, second: PartitionHandover) {
    first.complete_from = first.complete_from.max(second.complete_from);
    for record in second.records {
        match first.records.binary_search_by_key(&record.id, |r| r.id) {
            Err(index) => first.records.insert(index, record),
            Ok(index) => {
                let known = &mut first.records[index];
                // The run may have ended between the two handovers.
                if known.outcome == RecordOutcome::Unknown {
                    *known = record;
                }
            }
        }
    }
}
