//! The admission rules of the queue, one per test.

use admission::{Action, Admission, Job, JobOutcome, Limits, Queue};
use model::{Millis, NotRunReason, Priority};

const SHORT: u32 = 1;
const LONG: u32 = 2;

/// A time at which the load recorded by [`trained_queue`] has left the window.
const LATER: Millis = Millis(100_000);

fn job(id: u64, priority: Priority, rule: u32) -> Job {
    Job { id, priority, rule: Some(rule), time_left: Millis(60_000) }
}

fn interactive(id: u64) -> Job {
    job(id, Priority::Interactive, SHORT)
}

fn limits(slots: u32) -> Limits {
    Limits::builder(slots).reserved_slots(slots / 3).connections(110).build()
}

/// Returns a queue that has samples of how long the jobs of both rules take.
fn trained_queue(limits: Limits) -> Queue {
    let mut queue = Queue::new(limits);
    for id in 0..40 {
        let (rule, duration) = if id % 4 == 0 { (LONG, 1_000) } else { (SHORT, 20) };
        let job = job(id, Priority::Interactive, rule);
        assert_eq!(queue.submit(job, Millis::ZERO), Admission::Start);
        queue.finish(id, JobOutcome::Ran, Millis(duration));
    }
    queue
}

/// Submits jobs and returns the ids of those that start at once.
fn submit_all(queue: &mut Queue, jobs: impl IntoIterator<Item = Job>) -> Vec<u64> {
    let jobs = jobs.into_iter();
    jobs.filter(|&j| queue.submit(j, LATER) == Admission::Start).map(|j| j.id).collect()
}

fn starts(actions: &[Action]) -> Vec<u64> {
    let started = |action: &Action| match action {
        Action::Start(id) => Some(*id),
        Action::Refuse { .. } => None,
    };
    actions.iter().filter_map(started).collect()
}

fn refusals(actions: &[Action]) -> Vec<(u64, NotRunReason)> {
    let refused = |action: &Action| match action {
        Action::Start(_) => None,
        Action::Refuse { id, reason, .. } => Some((*id, *reason)),
    };
    actions.iter().filter_map(refused).collect()
}

fn refusal_reason(decision: Admission) -> Option<NotRunReason> {
    match decision {
        Admission::Refused { reason, .. } => Some(reason),
        Admission::Start | Admission::Queued => None,
    }
}

#[test]
fn no_more_jobs_run_than_there_are_slots_or_connections() {
    let check = |limits: Limits, expected: usize| {
        let mut queue = Queue::new(limits);
        assert_eq!(submit_all(&mut queue, (0..100).map(interactive)).len(), expected);
        assert_eq!(queue.running(), expected);
    };
    check(limits(6), 6);
    check(limits(18), 18);
    check(Limits::builder(18).connections(4).build(), 4);
    check(Limits::builder(0).build(), 0);
}

#[test]
fn lower_priority_classes_leave_the_reserved_slots_free() {
    let check = |slots: u32, priority: Priority, expected: usize| {
        let mut queue = trained_queue(limits(slots));
        let jobs = (100..150).map(|id| job(id, priority, SHORT));
        assert_eq!(submit_all(&mut queue, jobs).len(), expected);
    };
    check(6, Priority::Interactive, 6);
    check(6, Priority::Deferrable, 4);
    check(6, Priority::Internal, 4);
    check(18, Priority::Deferrable, 12);
    check(18, Priority::Internal, 12);
}

#[test]
fn long_jobs_leave_slots_for_short_jobs() {
    let check = |slots: u32, long: usize, short: usize| {
        let mut queue = trained_queue(limits(slots));
        let long_jobs = (100..150).map(|id| job(id, Priority::Interactive, LONG));
        assert_eq!(submit_all(&mut queue, long_jobs).len(), long);
        assert_eq!(submit_all(&mut queue, (200..250).map(interactive)).len(), short);
    };
    check(6, 4, 2);
    check(18, 12, 6);
    check(1, 1, 0);
}

#[test]
fn long_jobs_occupy_only_the_slots_that_the_load_of_short_jobs_leaves() {
    let check = |offered: u64, priority: Priority, expected: usize| {
        let mut queue = trained_queue(limits(6));
        let short = (1_000..1_000 + offered).map(interactive);
        submit_all(&mut queue, short.map(|j| Job { time_left: Millis::ZERO, ..j }));
        let long = (100..150).map(|id| job(id, priority, LONG));
        assert_eq!(submit_all(&mut queue, long).len(), expected, "{offered} {priority:?}");
    };
    // Each short job occupies a slot for 20 ms, and all are offered within one second.
    check(0, Priority::Interactive, 4);
    check(100, Priority::Interactive, 3);
    check(300, Priority::Interactive, 1);
    check(0, Priority::Deferrable, 4);
    check(100, Priority::Deferrable, 1);
    check(300, Priority::Deferrable, 0);
}

#[test]
fn a_job_that_runs_past_the_threshold_counts_as_long() {
    let mut queue = trained_queue(limits(6));
    submit_all(&mut queue, (100..104).map(interactive));
    let later = LATER + Millis(5_000);
    let long_job = job(200, Priority::Interactive, LONG);
    assert_eq!(queue.submit(long_job, later), Admission::Queued);
    assert_eq!(starts(&queue.finish(100, JobOutcome::Ran, later)), [200]);
}

#[test]
fn a_key_is_slow_if_its_last_job_was_long() {
    let check = |jobs: &[(u64, JobOutcome)], expected: usize| {
        let mut queue = trained_queue(limits(6));
        for &(duration, outcome) in jobs {
            queue.submit_keyed(interactive(1_000), 7, LATER);
            queue.finish(1_000, outcome, LATER + Millis(duration));
        }
        let later = LATER + Millis(10_000);
        for id in 100..110 {
            queue.submit_keyed(interactive(id), 7, later);
        }
        assert_eq!(queue.running(), expected, "{jobs:?}");
    };
    check(&[(20, JobOutcome::Ran)], 6);
    check(&[(5_000, JobOutcome::Ran)], 4);
    check(&[(20, JobOutcome::Ran), (5_000, JobOutcome::Ran)], 4);
    check(&[(5_000, JobOutcome::Ran), (20, JobOutcome::Ran)], 6);
    check(&[(5_000, JobOutcome::Inconclusive)], 4);
    check(&[(5_000, JobOutcome::Failed)], 4);
    check(&[(5_000, JobOutcome::Ran), (1, JobOutcome::Inconclusive)], 4);
}

#[test]
fn the_table_of_slow_keys_is_bounded() {
    let is_long = |queue: &mut Queue, key: u64| {
        let later = LATER + Millis(1_000_000);
        let decisions = [1, 2, 3, 4, 5].map(|id| queue.submit_keyed(interactive(id), key, later));
        decisions[4] == Admission::Queued
    };
    let slow = |keys: u64| {
        let mut queue = trained_queue(limits(6));
        // Only one job in ten is long, so that the rule stays classified as short.
        for id in 0..10 * keys {
            let (key, duration) = if id % 10 == 0 { (id / 10, 5_000) } else { (1_000_000, 20) };
            let now = LATER + Millis(100 * id);
            queue.submit_keyed(interactive(1_000 + id), key, now);
            queue.finish(1_000 + id, JobOutcome::Ran, now + Millis(duration));
        }
        queue
    };
    let results = [(256, 0), (257, 0), (257, 256)].map(|(keys, key)| is_long(&mut slow(keys), key));
    assert_eq!(results, [true, false, true]);
}

#[test]
fn a_key_is_slow_while_one_of_its_jobs_runs_past_the_threshold() {
    let mut queue = trained_queue(limits(6));
    queue.submit_keyed(interactive(99), 7, LATER);
    let later = LATER + Millis(5_000);
    let decisions = [100, 101, 102, 103].map(|id| queue.submit_keyed(interactive(id), 7, later));
    assert_eq!(
        decisions,
        [Admission::Start, Admission::Start, Admission::Start, Admission::Queued]
    );
    assert_eq!(queue.submit_keyed(interactive(104), 8, later), Admission::Start);
}

#[test]
fn jobs_of_a_new_rule_run_one_at_a_time_in_the_lower_priority_classes() {
    let check = |priority: Priority, expected: usize| {
        let mut queue = trained_queue(limits(6));
        let jobs = (100..110).map(|id| job(id, priority, 9));
        assert_eq!(submit_all(&mut queue, jobs).len(), expected);
    };
    check(Priority::Interactive, 6);
    check(Priority::Deferrable, 1);
    check(Priority::Internal, 1);
}

#[test]
fn waiting_jobs_of_a_new_rule_are_requeued_as_long_once_it_is_known_to_be_long() {
    let mut queue = trained_queue(limits(6));
    let jobs = (100..110).map(|id| job(id, Priority::Interactive, 9));
    submit_all(&mut queue, jobs);
    let finished = [(100, 2_000), (101, 2_000), (102, 2_000), (106, 3_000)];
    let next =
        finished.map(|(id, ms)| starts(&queue.finish(id, JobOutcome::Ran, LATER + Millis(ms))));
    // The third sample makes the rule long. Five long jobs then run although only four may, so no
    // further one starts.
    assert_eq!(next, [vec![106], vec![107], vec![108], vec![]]);
    assert_eq!(queue.waiting(), 1);
}

#[test]
fn jobs_start_by_priority_class_and_then_by_arrival() {
    let mut queue = trained_queue(limits(1));
    let waiting = [
        interactive(100),
        job(101, Priority::Internal, SHORT),
        job(102, Priority::Deferrable, SHORT),
        interactive(103),
        interactive(104),
    ];
    submit_all(&mut queue, waiting);
    let mut order = vec![100];
    while let Some(&running) = order.last() {
        order.extend(starts(&queue.finish(running, JobOutcome::Ran, LATER + Millis(20))));
        if order.last() == Some(&running) {
            break;
        }
    }
    assert_eq!(order, [100, 103, 104, 102, 101]);
}

#[test]
fn a_job_that_cannot_finish_before_its_deadline_is_refused_at_once() {
    let check = |waiting: u64, time_left: u64, expected: Option<NotRunReason>| {
        let mut queue = trained_queue(limits(6));
        submit_all(&mut queue, (100..106 + waiting).map(interactive));
        let late = Job { time_left: Millis(time_left), ..interactive(999) };
        assert_eq!(refusal_reason(queue.submit(late, LATER)), expected);
    };
    let deadline = Some(NotRunReason::Deadline);
    check(0, 0, deadline);
    check(0, 200, None);
    check(60, 200, deadline);
    check(60, 2_000, None);
}

#[test]
fn a_job_starts_on_a_free_slot_even_if_its_rule_usually_takes_too_long() {
    let mut queue = trained_queue(limits(6));
    let urgent = Job { time_left: Millis(10), ..job(100, Priority::Interactive, LONG) };
    assert_eq!(queue.submit(urgent, LATER), Admission::Start);
}

#[test]
fn a_waiting_job_is_refused_shortly_before_its_deadline() {
    let mut queue = trained_queue(limits(1));
    submit_all(&mut queue, [interactive(100)]);
    let waiting = Job { time_left: Millis(1_000), ..interactive(101) };
    assert_eq!(queue.submit(waiting, LATER), Admission::Queued);
    let ticks = [500, 970, 1_000].map(|ms| refusals(&queue.tick(LATER + Millis(ms))));
    assert_eq!(ticks, [vec![], vec![], vec![(101, NotRunReason::Deadline)]]);
}

#[test]
fn a_waiting_job_that_can_no_longer_finish_in_time_is_not_started() {
    let mut queue = trained_queue(limits(1));
    let waiting = Job { time_left: Millis(1_000), ..interactive(101) };
    submit_all(&mut queue, [interactive(100), waiting, interactive(102)]);
    let actions = queue.finish(100, JobOutcome::Ran, LATER + Millis(990));
    let refused = vec![(101, NotRunReason::Deadline)];
    assert_eq!((refusals(&actions), starts(&actions)), (refused, vec![102]));
}

#[test]
fn the_queue_is_full_for_the_lowest_priority_class_first() {
    let check = |waiting: u64, expected: [bool; 3]| {
        let classes = [Priority::Interactive, Priority::Deferrable, Priority::Internal];
        let is_full = classes.map(|class| {
            let mut queue = trained_queue(Limits::builder(1).max_waiting(8).build());
            submit_all(&mut queue, (100..=100 + waiting).map(interactive));
            refusal_reason(queue.submit(job(999, class, SHORT), LATER))
                == Some(NotRunReason::Overloaded)
        });
        assert_eq!(is_full, expected, "{waiting} waiting jobs");
    };
    check(1, [false, false, false]);
    check(2, [false, false, true]);
    check(4, [false, true, true]);
    check(8, [true, true, true]);
}

#[test]
fn retry_after_grows_with_the_queue() {
    let retry_after = |waiting: u64| {
        let mut queue = trained_queue(Limits::builder(1).max_waiting(400).connections(1).build());
        submit_all(&mut queue, (100..=100 + waiting).map(interactive));
        let urgent = Job { time_left: Millis(10), ..interactive(999) };
        match queue.submit(urgent, LATER) {
            Admission::Refused { retry_after, .. } => retry_after,
            other => panic!("{other:?}"),
        }
    };
    assert!(retry_after(1) >= Millis(50));
    assert!(retry_after(20) > retry_after(10));
    assert!(retry_after(399) <= Millis(10_000));
}

#[test]
fn an_abandoned_waiting_job_is_removed_but_a_running_one_keeps_its_slot() {
    let mut queue = trained_queue(limits(1));
    submit_all(&mut queue, (100..103).map(interactive));
    queue.cancel(101, LATER);
    queue.cancel(100, LATER);
    assert_eq!((queue.running(), queue.waiting()), (1, 1));
    assert_eq!(starts(&queue.finish(100, JobOutcome::Ran, LATER)), [102]);
}

#[test]
fn a_closed_queue_refuses_all_jobs_until_it_is_opened() {
    let mut queue = trained_queue(limits(1));
    submit_all(&mut queue, (100..102).map(interactive));
    let dropped = queue.close(NotRunReason::Draining, LATER);
    assert_eq!(refusals(&dropped), [(101, NotRunReason::Draining)]);
    assert_eq!(refusal_reason(queue.submit(interactive(103), LATER)), Some(NotRunReason::Draining));
    queue.open();
    assert_eq!(queue.submit(interactive(104), LATER), Admission::Queued);
}

#[test]
fn events_for_unknown_jobs_are_ignored() {
    let mut queue = Queue::new(limits(6));
    assert_eq!(queue.finish(1, JobOutcome::Ran, Millis(5)), []);
    assert_eq!(queue.cancel(1, Millis(5)), []);
    assert_eq!(queue.tick(Millis(5)), []);
    assert_eq!((queue.running(), queue.waiting()), (0, 0));
}

#[test]
fn a_job_with_an_inconclusive_outcome_frees_its_slot_and_does_not_lower_the_slot_limit() {
    let mut queue = Queue::new(Limits::builder(1).build());
    assert_eq!(submit_all(&mut queue, [interactive(1)]), [1]);
    assert_eq!(submit_all(&mut queue, [interactive(2)]), []);

    let actions = queue.finish(1, JobOutcome::Inconclusive, LATER);

    assert_eq!(starts(&actions), [2]);
    assert_eq!(queue.usable_slots(), 1);
}
