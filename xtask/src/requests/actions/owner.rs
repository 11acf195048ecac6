//! The owners with their request records, and the backend servers.

use model::{Fence, KeptResponse, Millis, NotRunReason, Partition, RecordOutcome, RequestId};
use ownership::Origin;
use rand::Rng;
use routing::outcome::{AbortCause, Progress, classify_abort};
use routing::records::{
    BeginResult, PartitionHandover, RecordSettings, Records, RunHandle, RunResult,
};
use routing::retry::Failure;

use super::world::{DURATION, Event, Known, PARTITIONS, START, World};

/// How long a partition has no owner after its host was lost.
const TAKEOVER_TIME: Millis = Millis(1_700);

/// How long a planned move takes.
const MOVE_TIME: Millis = Millis(200);

const RUN_TIME: Millis = Millis(5);

/// Longer than the time limit of a request.
const LONG_RUN_TIME: Millis = Millis(4_000);

/// The host that owns one partition.
pub(super) struct Owner {
    pub records: Records,
    /// When the current owner began, or will begin.
    pub since: Millis,
    pub serving: bool,
    pub fence: u64,
}

impl World {
    pub(super) fn arrive(&mut self, request: usize, partition: usize) {
        self.backend_attempts += 1;
        if self.chance(self.faults.refused) {
            return self.fail(request, Failure::NotRun(NotRunReason::BackendRefused));
        }
        let ticket = match self.requests[request].id {
            None => None,
            Some(id) => match self.begin(partition, id) {
                BeginResult::Run(ticket) => Some(ticket),
                begin => return self.answer_from_records(request, &begin),
            },
        };
        let action = self.requests[request].action;
        self.actions[action].runs += 1;
        self.requests[request].at_deadline = Known::Unknown;
        let long = self.chance(self.faults.long_runs);
        let time = if long { LONG_RUN_TIME } else { RUN_TIME };
        self.events.push(self.now + time, Event::RunEnds { request, ticket });
    }

    fn begin(&mut self, partition: usize, id: RequestId) -> BeginResult {
        self.owners[partition].records.begin(as_partition(partition), id, 0, self.now)
    }

    fn answer_from_records(&mut self, request: usize, begin: &BeginResult) {
        if self.chance(self.faults.answer_lost) {
            return self.fail(request, classify_abort(Progress::Sent, AbortCause::Connection));
        }
        match begin {
            BeginResult::Replay(_) | BeginResult::ResponseNotKept { .. } => {
                self.tell(request, Known::Ran);
            }
            BeginResult::NotServed => self.fail(request, Failure::NotRun(NotRunReason::NotOwner)),
            BeginResult::Full => self.fail(request, Failure::NotRun(NotRunReason::Overloaded)),
            BeginResult::Unknown | BeginResult::TooOld => {
                self.tell(request, Known::HistoryIncomplete)
            }
            _ => self.tell(request, Known::Unknown),
        }
    }

    pub(super) fn run_ends(&mut self, request: usize, ticket: Option<RunHandle>) {
        if let Some(ticket) = ticket {
            let answer = KeptResponse { status: 201, headers: Vec::new(), body: Vec::new() };
            let ended = RunResult::Recorded(RecordOutcome::Answered(answer));
            let index = usize::try_from(ticket.partition.0).expect("a small number");
            self.owners[index].records.finish(ticket, ended);
        }
        if self.requests[request].done {
            return;
        }
        if self.chance(self.faults.answer_lost) {
            return self.fail(request, classify_abort(Progress::Sent, AbortCause::Connection));
        }
        self.tell(request, Known::Ran);
    }

    pub(super) fn lose_owner(&mut self) {
        let partition = self.rng.random_range(0..PARTITIONS);
        self.schedule(Event::LoseOwner, self.faults.loss_interval);
        let owner = &mut self.owners[partition];
        if !owner.serving {
            return;
        }
        owner.stop(self.now + TAKEOVER_TIME);
        owner.records.drop_all();
        let served = Event::Served { partition, origin: Origin::Unplanned };
        self.events.push(self.now + TAKEOVER_TIME, served);
    }

    pub(super) fn move_owner(&mut self) {
        let partition = self.rng.random_range(0..PARTITIONS);
        self.schedule(Event::MoveOwner, self.faults.move_interval);
        let now = self.now;
        let owner = &mut self.owners[partition];
        if !owner.serving {
            return;
        }
        owner.stop(now + MOVE_TIME);
        let origin = owner.hand_over(as_partition(partition), now);
        self.events.push(now + MOVE_TIME, Event::Served { partition, origin });
    }

    fn schedule(&mut self, event: Event, interval: Option<Millis>) {
        let next = interval.map(|i| self.now + i);
        if let Some(at) = next.filter(|at| *at < START + DURATION) {
            self.events.push(at, event);
        }
    }

    pub(super) fn served(&mut self, partition: usize, origin: Origin) {
        let owner = &mut self.owners[partition];
        owner.fence += 2;
        owner.serving = true;
        owner.records.start(as_partition(partition), origin, self.now);
    }

    pub(super) fn expire(&mut self) {
        for owner in &mut self.owners {
            owner.records.expire(self.now);
        }
        if self.now < START + DURATION {
            self.events.push(self.now + Millis(1_000), Event::Expire);
        }
    }
}

impl Owner {
    pub(super) fn new(partition: usize) -> Self {
        let mut records = Records::new(RecordSettings::default());
        records.start(as_partition(partition), Origin::First, START);
        Self { records, since: Millis::ZERO, serving: true, fence: 2 }
    }

    fn stop(&mut self, next_at: Millis) {
        self.serving = false;
        self.since = next_at;
    }

    /// Passes the records to a new owner.
    fn hand_over(&mut self, partition: Partition, now: Millis) -> Origin {
        let fence = Fence(self.fence);
        let handed = self.records.hand_over(partition, now);
        let (complete_from, records) = handed.expect("the partition is served");
        self.records = Records::new(RecordSettings::default());
        self.records.receive_handover(
            partition,
            PartitionHandover { fence, complete_from, records },
            now,
        );
        Origin::Planned { from: fence }
    }
}

fn as_partition(index: usize) -> Partition {
    Partition(u32::try_from(index).expect("a small number"))
}
