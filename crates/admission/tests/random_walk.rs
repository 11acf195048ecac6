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

/// The state of every job by id, as the host process would track it, and the first violation found.
#[derive(Default)]
struct JobTracker {
    jobs: Vec<(Priority, State)>,
    violation: Option<&'static str>,
}

impl JobTracker {
    fn transition(&mut self, id: u64, from: State, to: State, violation: &'static str) {
        let state = &mut self.jobs[id as usize].1;
        if *state != from {
            self.violation.get_or_insert(violation);
        }
        *state = to;
    }

    fn apply(&mut self, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Start(id) => {
                    self.transition(
                        id,
                        State::Waiting,
                        State::Running,
                        "started, but did not wait",
                    );
                }
                Action::Refuse { id, .. } => {
                    self.transition(id, State::Waiting, State::Ended, "refused, but did not wait");
                }
            }
        }
    }

    fn count(&self, state: State, matches_priority: impl Fn(Priority) -> bool) -> usize {
        self.jobs.iter().filter(|j| j.1 == state && matches_priority(j.0)).count()
    }

    fn random_job_in(&self, state: State, rng: &mut StdRng) -> Option<u64> {
        let ids = (0..self.jobs.len()).filter(|&i| self.jobs[i].1 == state);
        let ids: Vec<usize> = ids.collect();
        (!ids.is_empty()).then(|| ids[rng.random_range(0..ids.len())] as u64)
    }

    fn check_against(&mut self, queue: &Queue) {
        let running = self.count(State::Running, |_| true);
        let below_interactive = self.count(State::Running, |p| p != Priority::Interactive);
        let violations = [
            (running != queue.running(), "the queue counts a different number of running jobs"),
            (self.count(State::Waiting, |_| true) != queue.waiting(), "a waiting job was lost"),
            (running > SLOTS as usize, "too many jobs run"),
            (below_interactive > (SLOTS - RESERVED) as usize, "a reserved slot was taken"),
        ];
        let first = violations.into_iter().find(|v| v.0).map(|v| v.1);
        self.violation = self.violation.or(first);
    }
}

fn random_job(id: u64, rng: &mut StdRng) -> Job {
    let priorities = [Priority::Interactive, Priority::Deferrable, Priority::Internal];
    let priority = priorities[rng.random_range(0..3)];
    let rule = [None, Some(1), Some(2)][rng.random_range(0..3)];
    Job { id, priority, rule, time_left: Millis(rng.random_range(0..2_000)) }
}

fn submit(queue: &mut Queue, tracker: &mut JobTracker, now: Millis, rng: &mut StdRng) {
    let job = random_job(tracker.jobs.len() as u64, rng);
    let state = match queue.submit(job, now) {
        Admission::Start => State::Running,
        Admission::Queued => State::Waiting,
        Admission::Refused { .. } => State::Ended,
    };
    tracker.jobs.push((job.priority, state));
}

fn finish(
    queue: &mut Queue,
    tracker: &mut JobTracker,
    now: Millis,
    rng: &mut StdRng,
) -> Vec<Action> {
    let Some(id) = tracker.random_job_in(State::Running, rng) else { return Vec::new() };
    tracker.transition(id, State::Running, State::Ended, "finished, but did not run");
    let outcome = match rng.random_range(0..60) {
        0 => JobOutcome::Refused,
        1..4 => JobOutcome::Failed,
        4..7 => JobOutcome::Inconclusive,
        _ => JobOutcome::Ran,
    };
    queue.finish(id, outcome, now)
}

fn cancel(
    queue: &mut Queue,
    tracker: &mut JobTracker,
    now: Millis,
    rng: &mut StdRng,
) -> Vec<Action> {
    let Some(id) = tracker.random_job_in(State::Waiting, rng) else { return Vec::new() };
    tracker.transition(id, State::Waiting, State::Ended, "cancelled, but did not wait");
    queue.cancel(id, now)
}

/// Runs a random walk in which `corrupt` may change the actions of the queue. Returns the first
/// violation.
fn walk(limits: Limits, seed: u64, corrupt: impl Fn(&mut Vec<Action>)) -> Option<&'static str> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut queue = Queue::new(limits);
    let mut tracker = JobTracker::default();
    let mut now = Millis::ZERO;
    for _ in 0..STEPS {
        now += Millis(rng.random_range(0..20));
        let mut actions = match rng.random_range(0..100) {
            0..50 => {
                submit(&mut queue, &mut tracker, now, &mut rng);
                Vec::new()
            }
            50..85 => finish(&mut queue, &mut tracker, now, &mut rng),
            85..90 => cancel(&mut queue, &mut tracker, now, &mut rng),
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
        corrupt(&mut actions);
        tracker.apply(&actions);
        tracker.check_against(&queue);
    }
    tracker.violation
}

fn limits(reserved: u32) -> Limits {
    Limits::builder(SLOTS).reserved_slots(reserved).connections(110).max_waiting(40).build()
}

#[test]
fn random_walks_find_no_violation() {
    for seed in 0..20 {
        assert_eq!(walk(limits(RESERVED), seed, |_| ()), None, "seed {seed}");
    }
}

#[test]
fn random_walks_detect_corrupted_actions() {
    let finds_violation =
        |reserved, corrupt: fn(&mut Vec<Action>)| walk(limits(reserved), 1, corrupt).is_some();
    let started_twice = |actions: &mut Vec<Action>| {
        actions.extend(actions.last().copied());
    };
    let lost = |actions: &mut Vec<Action>| {
        actions.pop();
    };
    assert_eq!(
        [
            finds_violation(RESERVED, started_twice),
            finds_violation(RESERVED, lost),
            finds_violation(0, |_| ())
        ],
        [true; 3]
    );
}
