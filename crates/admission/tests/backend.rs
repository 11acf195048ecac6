//! How the queue adapts its slot limit to the refusals and failures of a backend server.

use admission::{Action, Admission, Job, JobOutcome, Limits, Queue};
use model::{Millis, Priority};

fn queue(slots: u32) -> Queue {
    Queue::new(Limits::builder(slots).connections(110).build())
}

fn job(id: u64) -> Job {
    Job { id, priority: Priority::Interactive, rule: None, time_left: Millis(60_000) }
}

fn starts(actions: Vec<Action>) -> impl Iterator<Item = u64> {
    actions.into_iter().filter_map(|action| match action {
        Action::Start(id) => Some(id),
        Action::Refuse { .. } => None,
    })
}

/// Simulates a backend server that runs `capacity` jobs at a time for one tick each and refuses all
/// others. Returns the slot limit after 10 s, and the number of refusals in the last 5 s.
fn simulate(announced: u32, capacity: usize) -> (u32, usize) {
    let mut queue = queue(announced);
    let mut running = Vec::new();
    let mut refused = 0;
    for tick in 0..1_000 {
        let now = Millis(tick * Queue::TICK.0);
        let offered = tick * 20..(tick + 1) * 20;
        running.extend(offered.filter(|&id| queue.submit(job(id), now) == Admission::Start));
        running.extend(starts(queue.tick(now)));
        while running.len() > capacity {
            refused += usize::from(tick >= 500);
            let actions = queue.finish(running.remove(capacity), JobOutcome::Refused, now);
            running.extend(starts(actions));
        }
        for id in std::mem::take(&mut running) {
            running.extend(starts(queue.finish(id, JobOutcome::Ran, now + Queue::TICK)));
        }
    }
    (queue.usable_slots(), refused)
}

#[test]
fn the_slot_limit_converges_to_the_capacity_of_the_backend_server() {
    let check = |announced: u32, capacity: u32| {
        let (slots, refused) = simulate(announced, capacity as usize);
        assert!(
            (capacity..=capacity + 1).contains(&slots),
            "{announced} announced, capacity {capacity}: {slots}"
        );
        assert!(refused <= 10, "{announced} announced, capacity {capacity}: {refused} refusals");
    };
    check(6, 6);
    check(6, 3);
    check(18, 12);
    check(18, 1);
}

#[test]
fn a_backend_server_that_refuses_everything_is_tried_about_once_a_second() {
    let (slots, refused) = simulate(18, 0);
    assert!(slots <= 2 && refused <= 10, "{slots} slots, {refused} refusals");
}

#[test]
fn the_slot_limit_recovers_by_one_slot_per_second() {
    let mut queue = queue(6);
    let decisions: Vec<Admission> = (0..6).map(|id| queue.submit(job(id), Millis::ZERO)).collect();
    (2..6).for_each(|id| assert_eq!(queue.finish(id, JobOutcome::Refused, Millis(10)), []));
    let slots = [10, 1_009, 1_010, 2_010, 9_000].map(|now| {
        queue.tick(Millis(now));
        queue.usable_slots()
    });
    assert_eq!((decisions, slots), (vec![Admission::Start; 6], [2, 2, 3, 4, 5]));
}

#[test]
fn announced_slots_cap_the_slot_limit() {
    let mut queue = queue(6);
    let slots = [4, 18, 0, 6].map(|announced| {
        queue.set_slots(announced);
        queue.usable_slots()
    });
    assert_eq!(slots, [4, 18, 0, 6]);
}

#[test]
fn new_limits_raise_the_slot_limit_when_the_backend_server_becomes_known() {
    let mut queue = queue(1);
    let limits = Limits::builder(6).connections(110).reserved_slots(2).build();

    queue.set_limits(limits);
    let decisions: Vec<Admission> = (0..7).map(|id| queue.submit(job(id), Millis::ZERO)).collect();

    assert_eq!(decisions[..6], [Admission::Start; 6]);
    assert_eq!(decisions[6], Admission::Queued);
}

#[test]
fn consecutive_failures_beyond_the_tolerated_number_start_a_backoff() {
    let check = |outcomes: [JobOutcome; 4], expected: Admission| {
        let mut queue = queue(6);
        for (id, outcome) in (0..).zip(outcomes) {
            assert_eq!(queue.submit(job(id), Millis(1)), Admission::Start);
            queue.finish(id, outcome, Millis(1));
        }
        assert_eq!(queue.submit(job(4), Millis(1)), expected, "{outcomes:?}");
        assert_eq!(queue.tick(Millis(11)).len(), usize::from(expected == Admission::Queued));
    };
    use JobOutcome::{Failed, Inconclusive, Ran};
    check([Failed, Failed, Failed, Failed], Admission::Queued);
    check([Failed, Failed, Ran, Failed], Admission::Start);
    check([Inconclusive, Inconclusive, Inconclusive, Inconclusive], Admission::Start);
}

#[test]
fn a_new_job_does_not_overtake_jobs_that_wait_for_the_end_of_a_backoff() {
    let mut queue = queue(6);
    let decisions = [1, 2, 3].map(|id| {
        let decision = queue.submit(job(id), Millis(20 * id));
        queue.finish(id, JobOutcome::Refused, Millis(20 * id));
        decision
    });
    assert_eq!(decisions, [Admission::Start; 3]);
    let later = [queue.submit(job(4), Millis(61)), queue.submit(job(5), Millis(500))];
    assert_eq!(later, [Admission::Queued; 2]);
    assert_eq!(queue.tick(Millis(501)), [Action::Start(4)]);
}
