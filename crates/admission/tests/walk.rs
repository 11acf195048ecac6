//! Random walks over the queue: no job is lost, started twice, or refused after it was started.

use admission::{Action, Admission, Job, JobOutcome, Limits, Queue};
use model::{Millis, NotRunReason, Priority};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SLOTS: u32 = 6;
const RESERVED: u32 = 2;
const STEPS: usize = 3_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Waiting,
    Running,
    Ended,
}

/// What the host process would know of its jobs, by id, and the first thing that was wrong.
#[derive(Default)]
struct Ledger {
    jobs: Vec<(Priority, State)>,
    fault: Option<&'static str>,
}

impl Ledger {
    fn change(&mut self, id: u64, from: State, to: State, fault: &'static str) {
        let state = &mut self.jobs[id as usize].1;
        if *state != from {
            self.fault.get_or_insert(fault);
        }
        *state = to;
    }

    fn apply(&mut self, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Start(id) => {
                    self.change(id, State::Waiting, State::Running, "started, but did not wait");
                }
                Action::Refuse { id, .. } => {
                    self.change(id, State::Waiting, State::Ended, "refused, but did not wait");
                }
            }
        }
    }

    fn count(&self, state: State, wanted: impl Fn(Priority) -> bool) -> usize {
        self.jobs.iter().filter(|j| j.1 == state && wanted(j.0)).count()
    }

    fn any(&self, state: State, rng: &mut StdRng) -> Option<u64> {
        let ids = (0..self.jobs.len()).filter(|&i| self.jobs[i].1 == state);
        let ids: Vec<usize> = ids.collect();
        (!ids.is_empty()).then(|| ids[rng.random_range(0..ids.len())] as u64)
    }

    fn compare(&mut self, queue: &Queue) {
        let running = self.count(State::Running, |_| true);
        let lower = self.count(State::Running, |p| p != Priority::Interactive);
        let faults = [
            (running != queue.running(), "the queue counts other running jobs"),
            (self.count(State::Waiting, |_| true) != queue.waiting(), "a waiting job was lost"),
            (running > SLOTS as usize, "too many jobs run"),
            (lower > (SLOTS - RESERVED) as usize, "a reserved slot was taken"),
        ];
        let first = faults.into_iter().find(|f| f.0).map(|f| f.1);
        self.fault = self.fault.or(first);
    }
}

fn random_job(id: u64, rng: &mut StdRng) -> Job {
    let priorities = [Priority::Interactive, Priority::Deferrable, Priority::Internal];
    let priority = priorities[rng.random_range(0..3)];
    let rule = [None, Some(1), Some(2)][rng.random_range(0..3)];
    Job { id, priority, rule, time_left: Millis(rng.random_range(0..2_000)) }
}

fn offer(queue: &mut Queue, ledger: &mut Ledger, now: Millis, rng: &mut StdRng) {
    let job = random_job(ledger.jobs.len() as u64, rng);
    let state = match queue.offer(job, now) {
        Admission::Start => State::Running,
        Admission::Queued => State::Waiting,
        Admission::Refused { .. } => State::Ended,
    };
    ledger.jobs.push((job.priority, state));
}

fn finish(queue: &mut Queue, ledger: &mut Ledger, now: Millis, rng: &mut StdRng) -> Vec<Action> {
    let Some(id) = ledger.any(State::Running, rng) else { return Vec::new() };
    ledger.change(id, State::Running, State::Ended, "finished, but did not run");
    let how = match rng.random_range(0..60) {
        0 => JobOutcome::Refused,
        1..4 => JobOutcome::Failed,
        4..7 => JobOutcome::Inconclusive,
        _ => JobOutcome::Ran,
    };
    queue.finish(id, how, now)
}

fn abandon(queue: &mut Queue, ledger: &mut Ledger, now: Millis, rng: &mut StdRng) -> Vec<Action> {
    let Some(id) = ledger.any(State::Waiting, rng) else { return Vec::new() };
    ledger.change(id, State::Waiting, State::Ended, "abandoned, but did not wait");
    queue.abandon(id, now)
}

/// Walks at random, with the actions of the queue changed by `spoil`; returns the first fault.
fn walk(limits: Limits, seed: u64, spoil: impl Fn(&mut Vec<Action>)) -> Option<&'static str> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut queue = Queue::new(limits);
    let mut ledger = Ledger::default();
    let mut now = Millis::ZERO;
    for _ in 0..STEPS {
        now += Millis(rng.random_range(0..20));
        let mut actions = match rng.random_range(0..100) {
            0..50 => {
                offer(&mut queue, &mut ledger, now, &mut rng);
                Vec::new()
            }
            50..85 => finish(&mut queue, &mut ledger, now, &mut rng),
            85..90 => abandon(&mut queue, &mut ledger, now, &mut rng),
            90 => queue.close(NotRunReason::Draining, now),
            91 => {
                queue.set_slots([0, 3, SLOTS, SLOTS, SLOTS][rng.random_range(0..5)]);
                Vec::new()
            }
            _ => {
                queue.open();
                queue.tick(now)
            }
        };
        spoil(&mut actions);
        ledger.apply(&actions);
        ledger.compare(&queue);
    }
    ledger.fault
}

fn limits(reserved: u32) -> Limits {
    Limits::builder(SLOTS).reserved_slots(reserved).connections(110).max_waiting(40).build()
}

#[test]
fn random_walks_find_no_fault() {
    for seed in 0..20 {
        assert_eq!(walk(limits(RESERVED), seed, |_| ()), None, "seed {seed}");
    }
}

#[test]
fn random_walks_find_what_is_spoiled() {
    let find = |reserved, spoil: fn(&mut Vec<Action>)| walk(limits(reserved), 1, spoil).is_some();
    let started_twice = |actions: &mut Vec<Action>| {
        actions.extend(actions.last().copied());
    };
    let lost = |actions: &mut Vec<Action>| {
        actions.pop();
    };
    assert_eq!([find(RESERVED, started_twice), find(RESERVED, lost), find(0, |_| ())], [true; 3]);
}
