//! Random walks over the record machine: two owners, moves of both kinds, re-sends, clock skew.
//!
//! The walk keeps its own count of runs per id. Each rule that makes ids run at most once is also
//! taken out, and then some walk must find two runs or a false answer.

mod common;

use common::{id_at, settings};
use model::{Fence, KeptAnswer, Millis, Partition, RecordEnd, RequestId};
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

/// Half of the largest difference between the clocks of two hosts.
const HALF_SKEW: u64 = 100;

#[derive(Clone, Copy, Debug, PartialEq)]
enum TakenOut {
    Nothing,
    Vouching,
    HostSkew,
    DigestCheck,
    Freeze,
    HandedBoundary,
    /// The caller mints a new id only if it knows that no send of the old one ran.
    CallerRule,
}

/// One intended action of a caller.
struct Action {
    id: RequestId,
    digest: u64,
    /// The run that may have taken effect, by its number.
    ran: Option<u64>,
}

struct Run {
    host: usize,
    action: usize,
    ticket: RunHandle,
    number: u64,
}

enum Ownership {
    Lost,
    Owned(usize),
    /// The records went out; the flag says whether they arrived.
    Moving {
        from: usize,
        arrived: bool,
    },
}

struct World {
    taken_out: TakenOut,
    rng: StdRng,
    now: u64,
    hosts: [Records; 2],
    ownership: Ownership,
    fence: u64,
    late: Vec<(usize, PartitionHandover)>,
    actions: Vec<Action>,
    runs: Vec<Run>,
    run_count: u64,
    minted: u64,
    seen: Seen,
}

/// How often each interesting thing happened, so that a walk that tests nothing is noticed.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    runs: u32,
    replays: u32,
    unknown: u32,
    refused: u32,
    others: u32,
}

impl World {
    fn new(taken_out: TakenOut, seed: u64) -> Self {
        let host_skew = match taken_out {
            TakenOut::HostSkew => Millis::ZERO,
            _ => Millis(2 * HALF_SKEW),
        };
        let settings = RecordSettings { host_skew, max_records: 60, ..settings() };
        let mut hosts = [Records::new(settings), Records::new(settings)];
        hosts[0].start(P, Origin::First, Millis(1_000_000));
        Self {
            taken_out,
            rng: StdRng::seed_from_u64(seed),
            now: 1_000_000,
            hosts,
            ownership: Ownership::Owned(0),
            fence: 2,
            late: Vec::new(),
            actions: Vec::new(),
            runs: Vec::new(),
            run_count: 0,
            minted: 0,
            seen: Seen::default(),
        }
    }

    /// The clock of one host is ahead of true time, the other's behind.
    fn wall(&self, host: usize) -> Millis {
        let clocks = [self.now + HALF_SKEW, self.now - HALF_SKEW];
        Millis(clocks[host])
    }

    fn step(&mut self) -> Result<(), String> {
        match self.rng.random_range(0..100) {
            0..35 => self.now += self.rng.random_range(0..60),
            35 => self.now += self.rng.random_range(0..70_000),
            36..60 => return self.send_new(),
            60..78 => return self.send_again(),
            78..92 => self.end_a_run(),
            92..94 => self.change_ownership(),
            94..97 => self.deliver_late(),
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

    fn send_again(&mut self) -> Result<(), String> {
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
        let wall = self.wall(host);
        let id = self.actions[action].id;
        let checked = if self.taken_out == TakenOut::DigestCheck { 0 } else { digest };
        let begin = self.hosts[host].begin(P, id, checked, wall);
        self.check(action, digest, &begin)?;
        match begin {
            BeginResult::Run(ticket) => {
                self.run_count += 1;
                let number = self.run_count;
                self.actions[action].ran = Some(number);
                self.actions[action].digest = digest;
                self.runs.push(Run { host, action, ticket, number });
            }
            BeginResult::Unknown | BeginResult::TooOld => self.mint_anew(action),
            _ => {}
        }
        Ok(())
    }

    fn mint_anew(&mut self, action: usize) {
        if self.actions[action].ran.is_none() || self.taken_out == TakenOut::CallerRule {
            self.minted += 1;
            self.actions[action].id = id_at(self.now, self.minted);
        }
    }

    fn check(&mut self, action: usize, digest: u64, begin: &BeginResult) -> Result<(), String> {
        let known = &self.actions[action];
        let ran = known.ran.is_some();
        let sound = match begin {
            BeginResult::Run(_)
            | BeginResult::FromFuture
            | BeginResult::Full
            | BeginResult::NotServed => !ran,
            BeginResult::Replay(answer) => {
                let number = known.ran.unwrap_or(0);
                answer.body == number.to_le_bytes() && known.digest == digest
            }
            BeginResult::Running | BeginResult::ResponseNotKept { .. } => {
                ran && known.digest == digest
            }
            BeginResult::DigestMismatch => known.digest != digest,
            BeginResult::Unknown | BeginResult::TooOld => true,
        };
        let count = match begin {
            BeginResult::Run(_) => &mut self.seen.runs,
            BeginResult::Replay(_) => &mut self.seen.replays,
            BeginResult::Unknown => &mut self.seen.unknown,
            BeginResult::FromFuture | BeginResult::Full | BeginResult::TooOld => {
                &mut self.seen.refused
            }
            _ => &mut self.seen.others,
        };
        *count += 1;
        if sound { Ok(()) } else { Err(format!("{begin:?} for {}, ran {:?}", known.id, known.ran)) }
    }

    /// Ends a run, also one on a host that has lost the partition since.
    fn end_a_run(&mut self) {
        if self.runs.is_empty() {
            return;
        }
        let run = self.runs.swap_remove(self.rng.random_range(0..self.runs.len()));
        let body = run.number.to_le_bytes().to_vec();
        let answer = KeptAnswer { status: 200, headers: Vec::new(), body };
        let ended = match self.rng.random_range(0..10) {
            0..5 => RunResult::Recorded(RecordEnd::Answered(answer)),
            5 => RunResult::Recorded(RecordEnd::NotKept { status: 200 }),
            6 => RunResult::Recorded(RecordEnd::Unknown),
            _ => RunResult::NotRun,
        };
        if ended == RunResult::NotRun {
            self.actions[run.action].ran = None;
        }
        self.hosts[run.host].finish(run.ticket, ended);
    }

    fn change_ownership(&mut self) {
        self.ownership = match self.ownership {
            Ownership::Lost => self.take_over(),
            Ownership::Owned(host) if self.rng.random_bool(0.5) => {
                self.hosts[host].drop_all();
                Ownership::Lost
            }
            Ownership::Owned(host) => self.hand_over(host),
            Ownership::Moving { from, arrived } => self.end_move(from, arrived),
        };
    }

    fn take_over(&mut self) -> Ownership {
        let host = self.rng.random_range(0..2);
        self.start(host, Origin::Unplanned)
    }

    fn start(&mut self, host: usize, origin: Origin) -> Ownership {
        let origin = match origin {
            Origin::Unplanned if self.taken_out == TakenOut::Vouching => Origin::First,
            origin => origin,
        };
        self.fence += 2;
        let wall = self.wall(host);
        self.hosts[host].start(P, origin, wall);
        Ownership::Owned(host)
    }

    fn hand_over(&mut self, from: usize) -> Ownership {
        let wall = self.wall(from);
        let (complete_from, records) = self.hosts[from].hand_over(P, wall).unwrap();
        if self.taken_out == TakenOut::Freeze {
            self.hosts[from].resume(P);
        }
        let complete_from = match self.taken_out {
            TakenOut::HandedBoundary => Millis::ZERO,
            _ => complete_from,
        };
        let handed = PartitionHandover { fence: Fence(self.fence), complete_from, records };
        let arrived = self.rng.random_bool(0.7);
        if arrived {
            let wall = self.wall(1 - from);
            self.hosts[1 - from].receive_handover(P, handed.clone(), wall);
        }
        self.late.push((1 - from, handed));
        Ownership::Moving { from, arrived }
    }

    fn end_move(&mut self, from: usize, arrived: bool) -> Ownership {
        if self.rng.random_bool(0.3) {
            self.hosts[from].resume(P);
            return Ownership::Owned(from);
        }
        self.hosts[from].drop_partition(P);
        let planned = Origin::Planned { from: Fence(self.fence) };
        self.start(1 - from, if arrived { planned } else { Origin::Unplanned })
    }

    fn deliver_late(&mut self) {
        if let Some((to, handed)) = self.late.choose(&mut self.rng).cloned() {
            let wall = self.wall(to);
            self.hosts[to].receive_handover(P, handed, wall);
        }
    }

    fn expire(&mut self) {
        let host = self.rng.random_range(0..2);
        let wall = self.wall(host);
        self.hosts[host].expire(wall);
    }
}

fn walk(taken_out: TakenOut, seed: u64) -> Result<Seen, String> {
    let mut world = World::new(taken_out, seed);
    for step in 0..STEPS {
        world.step().map_err(|e| format!("seed {seed}, step {step}: {e}"))?;
    }
    Ok(world.seen)
}

#[test]
fn an_id_never_runs_twice() {
    let mut total = Seen::default();
    for seed in 0..WALKS {
        let seen = walk(TakenOut::Nothing, seed).unwrap_or_else(|e| panic!("{e}"));
        total.runs += seen.runs;
        total.replays += seen.replays;
        total.unknown += seen.unknown;
        total.refused += seen.refused;
        total.others += seen.others;
    }
    let counts = [total.runs, total.replays, total.unknown, total.refused, total.others];
    assert!(counts.iter().all(|c| *c > 1_000), "{total:?}");
}

#[test]
fn each_rule_is_needed() {
    let rules = [
        TakenOut::Vouching,
        TakenOut::HostSkew,
        TakenOut::DigestCheck,
        TakenOut::Freeze,
        TakenOut::HandedBoundary,
        TakenOut::CallerRule,
    ];
    for rule in rules {
        let broken = (0..WALKS).filter(|seed| walk(rule, *seed).is_err()).count();
        println!("{rule:?}: {broken} of {WALKS} walks fail");
        assert!(broken > 0, "{rule:?} can be taken out unnoticed");
    }
}
