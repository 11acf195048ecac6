//! The owners of the partitions with their request records, and the backend servers.

use model::{Fence, KeptResponse, Millis, NotRunReason, Partition, RecordOutcome, RequestId};
use ownership::Origin;
use rand::Rng;
use routing::outcome::{AbortCause, Progress, classify_abort};
use routing::records::{
    BeginResult, PartitionHandover, RecordSettings, Records, RunHandle, RunResult,
};
use routing::retry::Failure;

use super::simulation::{DURATION, Event, PARTITIONS, ReportedOutcome, START, Simulation};

/// How long a partition has no owner after the loss of its host.
const TAKEOVER_TIME: Millis = Millis(1_700);

/// How long a planned move takes.
const MOVE_TIME: Millis = Millis(200);

const RUN_TIME: Millis = Millis(5);

/// The run time of a request that outlasts its time limit.
const LATE_RUN_TIME: Millis = Millis(4_000);

/// The owner of a partition.
pub(super) struct Owner {
    pub records: Records,
    /// When the current owner started serving, or when the next one will.
    pub since: Millis,
    pub serving: bool,
    pub fence: u64,
}

impl Simulation {
    pub(super) fn arrive(&mut self, request: usize, partition: usize) {
        self.backend_attempts += 1;
        if self.chance(self.faults.refused) {
            return self.fail(request, Failure::NotRun(NotRunReason::BackendRefused));
        }
        let run_handle = match self.requests[request].id {
            None => None,
            Some(id) => match self.begin(partition, id) {
                BeginResult::Run(run_handle) => Some(run_handle),
                result => return self.respond_from_records(request, &result),
            },
        };
        let action = self.requests[request].action;
        self.actions[action].runs += 1;
        self.requests[request].outcome_at_deadline = ReportedOutcome::Unknown;
        let is_late = self.chance(self.faults.late_runs);
        let run_time = if is_late { LATE_RUN_TIME } else { RUN_TIME };
        self.events.push(self.now + run_time, Event::RunEnds { request, run_handle });
    }

    fn begin(&mut self, partition: usize, id: RequestId) -> BeginResult {
        self.owners[partition].records.begin(to_partition(partition), id, 0, self.now)
    }

    fn respond_from_records(&mut self, request: usize, result: &BeginResult) {
        if self.chance(self.faults.response_lost) {
            return self.fail(request, classify_abort(Progress::Sent, AbortCause::Connection));
        }
        match result {
            BeginResult::Replay(_) | BeginResult::ResponseNotKept { .. } => {
                self.report_outcome(request, ReportedOutcome::Ran);
            }
            BeginResult::NotServed => self.fail(request, Failure::NotRun(NotRunReason::NotOwner)),
            BeginResult::Full => self.fail(request, Failure::NotRun(NotRunReason::Overloaded)),
            BeginResult::Unknown | BeginResult::TooOld => {
                self.report_outcome(request, ReportedOutcome::OnlyThisSendNotRun);
            }
            _ => self.report_outcome(request, ReportedOutcome::Unknown),
        }
    }

    pub(super) fn run_ends(&mut self, request: usize, run_handle: Option<RunHandle>) {
        if let Some(run_handle) = run_handle {
            let response = KeptResponse { status: 201, headers: Vec::new(), body: Vec::new() };
            let result = RunResult::Recorded(RecordOutcome::Answered(response));
            let index = usize::try_from(run_handle.partition.0).expect("a small number");
            self.owners[index].records.finish(run_handle, result);
        }
        if self.requests[request].done {
            return;
        }
        if self.chance(self.faults.response_lost) {
            return self.fail(request, classify_abort(Progress::Sent, AbortCause::Connection));
        }
        self.report_outcome(request, ReportedOutcome::Ran);
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
        let origin = owner.hand_over(to_partition(partition), now);
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
        owner.records.start(to_partition(partition), origin, self.now);
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
        records.start(to_partition(partition), Origin::First, START);
        Self { records, since: Millis::ZERO, serving: true, fence: 2 }
    }

    fn stop(&mut self, next_at: Millis) {
        self.serving = false;
        self.since = next_at;
    }

    /// Hands the records over to a new owner.
    fn hand_over(&mut self, partition: Partition, now: Millis) -> Origin {
        let fence = Fence(self.fence);
        let handover = self.records.hand_over(partition, now);
        let (complete_from, records) = handover.expect("the partition is served");
        self.records = Records::new(RecordSettings::default());
        self.records.receive_handover(
            partition,
            PartitionHandover { fence, complete_from, records },
            now,
        );
        Origin::Planned { from: fence }
    }
}

fn to_partition(index: usize) -> Partition {
    Partition(u32::try_from(index).expect("a small number"))
}
