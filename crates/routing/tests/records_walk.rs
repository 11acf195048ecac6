//! Random walks over the request records, with two owners, planned and unplanned moves, retries and
//! clock skew.
//!
//! The simulation tracks the runs of each id itself. As negative controls, each rule that keeps ids
//! from running more than once is disabled in turn: some walk must then find a second run or a
//! wrong result.

mod common;

use common::{id_at, settings};
use model::{Fence, KeptResponse, Millis, Partition, RecordOutcome, RequestId};
use ownership::Origin;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use routing::records::{
    BeginResult, PartitionHandover, RecordSettings, Records, RunHandle, RunResult,
};

const P: Partition = Partition(0);
const WALKS: u64 = 300;
const STEPS: u32 = 500;

/// Half of the maximum clock skew between two hosts.
const HALF_SKEW: u64 = 100;

/// The rule that a walk runs without.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DisabledRule {
    Nothing,
    /// After an unplanned takeover, earlier ids are unknown.
    CompletenessCheck,
    /// After an unplanned takeover, the clock skew between hosts is allowed for.
    HostSkew,
    /// An id may not be reused for a request with another digest.
    DigestCheck,
    /// After a handover, the former owner admits no requests.
    Freeze,
    /// A handover includes the time from which its records are complete.
    HandoverCompleteness,
    /// A caller mints a new id only if it knows that no attempt with the old id ran.
    CallerNewIdRule,
}

/// An action that a caller wants to run once.
struct Action {
    id: RequestId,
    digest: u64,
    /// The number of the run that may have taken effect.
    ran: Option<u64>,
}

struct Run {
    host: usize,
    action: usize,
    handle: RunHandle,
    number: u64,
}

enum Ownership {
    Lost,
    Owned(usize),
    /// The records were sent to the other host; `arrived` tells whether they arrived.
    Moving {
        from: usize,
        arrived: bool,
    },
}

struct Simulation {
    disabled: DisabledRule,
    rng: StdRng,
    now: u64,
    hosts: [Records; 2],
    ownership: Ownership,
    fence: u64,
    delayed_handovers: Vec<(usize, PartitionHandover)>,
    actions: Vec<Action>,
    runs: Vec<Run>,
    run_count: u64,
    minted: u64,
    coverage: Coverage,
}

/// How often each kind of result occurred, to detect walks that do not exercise the records.
#[derive(Clone, Copy, Debug, Default)]
struct Coverage {
    runs: u32,
    replays: u32,
    unknown: u32,
    refused: u32,
    other: u32,
}

impl Simulation {
    fn new(disabled: DisabledRule, seed: u64) -> Self {
        let host_skew = match disabled {
            DisabledRule::HostSkew => Millis::ZERO,
            _ => Millis(2 * HALF_SKEW),
        };
        let settings = RecordSettings { host_skew, max_records: 60, ..settings() };
        let mut hosts = [Records::new(settings), Records::new(settings)];
        hosts[0].start(P, Origin::First, Millis(1_000_000));
        Self {
            disabled,
            rng: StdRng::seed_from_u64(seed),
            now: 1_000_000,
            hosts,
            ownership: Ownership::Owned(0),
            fence: 2,
            delayed_handovers: Vec::new(),
            actions: Vec::new(),
            runs: Vec::new(),
            run_count: 0,
            minted: 0,
            coverage: Coverage::default(),
        }
    }

    /// Returns the time of a host's clock. One clock is ahead of true time, the other one behind.
    fn wall_clock(&self, host: usize) -> Millis {
        let clocks = [self.now + HALF_SKEW, self.now - HALF_SKEW];
        Millis(clocks[host])
    }

    fn step(&mut self) -> Result<(), String> {
        match self.rng.random_range(0..100) {
            0..35 => self.now += self.rng.random_range(0..60),
            35 => self.now += self.rng.random_range(0..70_000),
            36..60 => return self.send_new(),
            60..78 => return self.retry(),
            78..92 => self.finish_a_run(),
            92..94 => self.change_ownership(),
            94..97 => self.deliver_delayed_handover(),
            _ => self.expire(),
        }
        Ok(())
    }

    fn send_new(&mut self) -> Result<(), String> {
        let skews = [-2_000, -50, 0, 900, 999, 1_090, 1_100, 5_000];
        let skew: i64 = *skews.choose(&mut self.rng).unwrap();
        let minted_at = self.now.saturating_add_signed(skew);
        self.minted += 1;
        let id = id_at(minted_at, self.minted);
        self.actions.push(Action { id, digest: self.minted, ran: None });
        self.send(self.actions.len() - 1, self.minted)
    }

    fn retry(&mut self) -> Result<(), String> {
        let recent = self.actions.len().min(20);
        if recent == 0 {
            return Ok(());
        }
        let action = self.actions.len() - 1 - self.rng.random_range(0..recent);
        let own = self.actions[action].digest;
        let digest = if self.rng.random_ratio(1, 10) { own + 1_000_000 } else { own };
        self.send(action, digest)
    }

    fn send(&mut self, action: usize, digest: u64) -> Result<(), String> {
        let host = match self.ownership {
            Ownership::Owned(host) | Ownership::Moving { from: host, .. } => host,
            Ownership::Lost => return Ok(()),
        };
        let wall = self.wall_clock(host);
        let id = self.actions[action].id;
        let recorded_digest = if self.disabled == DisabledRule::DigestCheck { 0 } else { digest };
        let begin = self.hosts[host].begin(P, id, recorded_digest, wall);
        self.check(action, digest, &begin)?;
        match begin {
            BeginResult::Run(handle) => {
                self.run_count += 1;
                let number = self.run_count;
                self.actions[action].ran = Some(number);
                self.actions[action].digest = digest;
                self.runs.push(Run { host, action, handle, number });
            }
            BeginResult::Unknown | BeginResult::TooOld => self.mint_new_id(action),
            _ => {}
        }
        Ok(())
    }

    fn mint_new_id(&mut self, action: usize) {
        if self.actions[action].ran.is_none() || self.disabled == DisabledRule::CallerNewIdRule {
            self.minted += 1;
            self.actions[action].id = id_at(self.now, self.minted);
        }
    }

    fn check(&mut self, action: usize, digest: u64, begin: &BeginResult) -> Result<(), String> {
        let known = &self.actions[action];
        let ran = known.ran.is_some();
        let correct = match begin {
            BeginResult::Run(_)
            | BeginResult::FromFuture
            | BeginResult::Full
            | BeginResult::NotServed => !ran,
            BeginResult::Replay(response) => {
                let number = known.ran.unwrap_or(0);
                response.body == number.to_le_bytes() && known.digest == digest
            }
            BeginResult::Running | BeginResult::ResponseNotKept { .. } => {
                ran && known.digest == digest
            }
            BeginResult::DigestMismatch => known.digest != digest,
            BeginResult::Unknown | BeginResult::TooOld => true,
        };
        let count = match begin {
            BeginResult::Run(_) => &mut self.coverage.runs,
            BeginResult::Replay(_) => &mut self.coverage.replays,
            BeginResult::Unknown => &mut self.coverage.unknown,
            BeginResult::FromFuture | BeginResult::Full | BeginResult::TooOld => {
                &mut self.coverage.refused
            }
            _ => &mut self.coverage.other,
        };
        *count += 1;
        if correct {
            Ok(())
        } else {
            Err(format!("{begin:?} for {}, ran {:?}", known.id, known.ran))
        }
    }

    /// Finishes a random run, possibly on a host that no longer owns the partition.
    fn finish_a_run(&mut self) {
        if self.runs.is_empty() {
            return;
        }
        let run = self.runs.swap_remove(self.rng.random_range(0..self.runs.len()));
        let body = run.number.to_le_bytes().to_vec();
        let response = KeptResponse { status: 200, headers: Vec::new(), body };
        let result = match self.rng.random_range(0..10) {
            0..5 => RunResult::Recorded(RecordOutcome::Answered(response)),
            5 => RunResult::Recorded(RecordOutcome::NotKept { status: 200 }),
            6 => RunResult::Recorded(RecordOutcome::Unknown),
            _ => RunResult::NotRun,
        };
        if result == RunResult::NotRun {
            self.actions[run.action].ran = None;
        }
        self.hosts[run.host].finish(run.handle, result);
    }

    fn change_ownership(&mut self) {
        self.ownership = match self.ownership {
            Ownership::Lost => self.take_over(),
            Ownership::Owned(host) if self.rng.random_bool(0.5) => {
                self.hosts[host].drop_all();
                Ownership::Lost
            }
            Ownership::Owned(host) => self.hand_over(host),
            Ownership::Moving { from, arrived } => self.finish_move(from, arrived),
        };
    }

    fn take_over(&mut self) -> Ownership {
        let host = self.rng.random_range(0..2);
        self.start(host, Origin::Unplanned)
    }

    fn start(&mut self, host: usize, origin: Origin) -> Ownership {
        let origin = match origin {
            Origin::Unplanned if self.disabled == DisabledRule::CompletenessCheck => Origin::First,
            origin => origin,
        };
        self.fence += 2;
        let wall = self.wall_clock(host);
        self.hosts[host].start(P, origin, wall);
        Ownership::Owned(host)
    }

    fn hand_over(&mut self, from: usize) -> Ownership {
        let wall = self.wall_clock(from);
        let (complete_from, records) = self.hosts[from].hand_over(P, wall).unwrap();
        if self.disabled == DisabledRule::Freeze {
            self.hosts[from].resume(P);
        }
        let complete_from = match self.disabled {
            DisabledRule::HandoverCompleteness => Millis::ZERO,
            _ => complete_from,
        };
        let handover = PartitionHandover { fence: Fence(self.fence), complete_from, records };
        let arrived = self.rng.random_bool(0.7);
        if arrived {
            let wall = self.wall_clock(1 - from);
            self.hosts[1 - from].receive_handover(P, handover.clone(), wall);
        }
        self.delayed_handovers.push((1 - from, handover));
        Ownership::Moving { from, arrived }
    }

    fn finish_move(&mut self, from: usize, arrived: bool) -> Ownership {
        if self.rng.random_bool(0.3) {
            self.hosts[from].resume(P);
            return Ownership::Owned(from);
        }
        self.hosts[from].drop_partition(P);
        let planned = Origin::Planned { from: Fence(self.fence) };
        self.start(1 - from, if arrived { planned } else { Origin::Unplanned })
    }

    fn deliver_delayed_handover(&mut self) {
        if let Some((to, handover)) = self.delayed_handovers.choose(&mut self.rng).cloned() {
            let wall = self.wall_clock(to);
            self.hosts[to].receive_handover(P, handover, wall);
        }
    }

    fn expire(&mut self) {
        let host = self.rng.random_range(0..2);
        let wall = self.wall_clock(host);
        self.hosts[host].expire(wall);
    }
}

fn walk(disabled: DisabledRule, seed: u64) -> Result<Coverage, String> {
    let mut simulation = Simulation::new(disabled, seed);
    for step in 0..STEPS {
        simulation.step().map_err(|e| format!("seed {seed}, step {step}: {e}"))?;
    }
    Ok(simulation.coverage)
}

#[test]
fn an_id_never_runs_twice() {
    let mut total = Coverage::default();
    for seed in 0..WALKS {
        let coverage = walk(DisabledRule::Nothing, seed).unwrap_or_else(|e| panic!("{e}"));
        total.runs += coverage.runs;
        total.replays += coverage.replays;
        total.unknown += coverage.unknown;
        total.refused += coverage.refused;
        total.other += coverage.other;
    }
    let counts = [total.runs, total.replays, total.unknown, total.refused, total.other];
    assert!(counts.iter().all(|c| *c > 1_000), "{total:?}");
}

#[test]
fn disabling_any_rule_is_detected() {
    let rules = [
        DisabledRule::CompletenessCheck,
        DisabledRule::HostSkew,
        DisabledRule::DigestCheck,
        DisabledRule::Freeze,
        DisabledRule::HandoverCompleteness,
        DisabledRule::CallerNewIdRule,
    ];
    for rule in rules {
        let failing = (0..WALKS).filter(|seed| walk(rule, *seed).is_err()).count();
        println!("{rule:?}: {failing} of {WALKS} walks fail");
        assert!(failing > 0, "no walk fails with {rule:?} disabled");
    }
}
