//! Tables of what the queue does with jobs, one rule at a time.

use admission::{Action, Admission, Job, JobOutcome, Limits, Queue};
use model::{Millis, NotRunReason, Priority};

const SHORT: u32 = 1;
const LONG: u32 = 2;

/// When [`trained`] queues have forgotten the demand of their training.
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

/// A queue that knows by experience how long the jobs of both rules take.
fn trained(limits: Limits) -> Queue {
    let mut queue = Queue::new(limits);
    for id in 0..40 {
        let (rule, span) = if id % 4 == 0 { (LONG, 1_000) } else { (SHORT, 20) };
        let job = job(id, Priority::Interactive, rule);
        assert_eq!(queue.offer(job, Millis::ZERO), Admission::Start);
        queue.finish(id, JobOutcome::Ran, Millis(span));
    }
    queue
}

/// Offers jobs and returns the ids that start at once.
fn started(queue: &mut Queue, jobs: impl IntoIterator<Item = Job>) -> Vec<u64> {
    let jobs = jobs.into_iter();
    jobs.filter(|&j| queue.offer(j, LATER) == Admission::Start).map(|j| j.id).collect()
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

fn reason(verdict: Admission) -> Option<NotRunReason> {
    match verdict {
        Admission::Refused { reason, .. } => Some(reason),
        Admission::Start | Admission::Queued => None,
    }
}

#[test]
fn no_more_jobs_run_than_there_are_slots_or_connections() {
    let check = |limits: Limits, expected: usize| {
        let mut queue = Queue::new(limits);
        assert_eq!(started(&mut queue, (0..100).map(interactive)).len(), expected);
        assert_eq!(queue.running(), expected);
    };
    check(limits(6), 6);
    check(limits(18), 18);
    check(Limits::builder(18).connections(4).build(), 4);
    check(Limits::builder(0).build(), 0);
}

#[test]
fn each_class_keeps_out_of_the_slots_of_the_more_urgent() {
    let check = |slots: u32, priority: Priority, expected: usize| {
        let mut queue = trained(limits(slots));
        let jobs = (100..150).map(|id| job(id, priority, SHORT));
        assert_eq!(started(&mut queue, jobs).len(), expected);
    };
    check(6, Priority::Interactive, 6);
    check(6, Priority::Deferrable, 4);
    check(6, Priority::Internal, 4);
    check(18, Priority::Deferrable, 12);
    check(18, Priority::Internal, 12);
}

#[test]
fn long_jobs_leave_slots_to_short_ones() {
    let check = |slots: u32, long: usize, short: usize| {
        let mut queue = trained(limits(slots));
        let stragglers = (100..150).map(|id| job(id, Priority::Interactive, LONG));
        assert_eq!(started(&mut queue, stragglers).len(), long);
        assert_eq!(started(&mut queue, (200..250).map(interactive)).len(), short);
    };
    check(6, 4, 2);
    check(18, 12, 6);
    check(1, 1, 0);
}

#[test]
fn long_jobs_hold_what_the_offered_short_work_leaves() {
    let check = |offered: u64, priority: Priority, expected: usize| {
        let mut queue = trained(limits(6));
        let short = (1_000..1_000 + offered).map(interactive);
        started(&mut queue, short.map(|j| Job { time_left: Millis::ZERO, ..j }));
        let long = (100..150).map(|id| job(id, priority, LONG));
        assert_eq!(started(&mut queue, long).len(), expected, "{offered} {priority:?}");
    };
    // Each short job takes 20 ms of a slot, and the demand is that of one second.
    check(0, Priority::Interactive, 4);
    check(100, Priority::Interactive, 3);
    check(300, Priority::Interactive, 1);
    check(0, Priority::Deferrable, 4);
    check(100, Priority::Deferrable, 1);
    check(300, Priority::Deferrable, 0);
}

#[test]
fn a_job_that_runs_on_counts_as_long() {
    let mut queue = trained(limits(6));
    started(&mut queue, (100..104).map(interactive));
    let later = LATER + Millis(5_000);
    let straggler = job(200, Priority::Interactive, LONG);
    assert_eq!(queue.offer(straggler, later), Admission::Queued);
    assert_eq!(starts(&queue.finish(100, JobOutcome::Ran, later)), [200]);
}

#[test]
fn a_key_counts_as_long_if_its_last_job_was() {
    let check = |jobs: &[(u64, JobOutcome)], expected: usize| {
        let mut queue = trained(limits(6));
        for &(span, finish) in jobs {
            queue.offer_keyed(interactive(1_000), 7, LATER);
            queue.finish(1_000, finish, LATER + Millis(span));
        }
        let later = LATER + Millis(10_000);
        for id in 100..110 {
            queue.offer_keyed(interactive(id), 7, later);
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
fn slow_keys_are_remembered_up_to_a_bound() {
    let is_long = |queue: &mut Queue, key: u64| {
        let later = LATER + Millis(1_000_000);
        let verdicts = [1, 2, 3, 4, 5].map(|id| queue.offer_keyed(interactive(id), key, later));
        verdicts[4] == Admission::Queued
    };
    let slow = |keys: u64| {
        let mut queue = trained(limits(6));
        // One long job in ten, so that the rule itself stays short.
        for id in 0..10 * keys {
            let (key, span) = if id % 10 == 0 { (id / 10, 5_000) } else { (1_000_000, 20) };
            let now = LATER + Millis(100 * id);
            queue.offer_keyed(interactive(1_000 + id), key, now);
            queue.finish(1_000 + id, JobOutcome::Ran, now + Millis(span));
        }
        queue
    };
    let found = [(256, 0), (257, 0), (257, 256)].map(|(keys, key)| is_long(&mut slow(keys), key));
    assert_eq!(found, [true, false, true]);
}

#[test]
fn a_key_is_long_while_one_of_its_jobs_runs_on() {
    let mut queue = trained(limits(6));
    queue.offer_keyed(interactive(99), 7, LATER);
    let later = LATER + Millis(5_000);
    let verdicts = [100, 101, 102, 103].map(|id| queue.offer_keyed(interactive(id), 7, later));
    assert_eq!(verdicts, [Admission::Start, Admission::Start, Admission::Start, Admission::Queued]);
    assert_eq!(queue.offer_keyed(interactive(104), 8, later), Admission::Start);
}

#[test]
fn new_rules_of_the_lower_classes_run_one_at_a_time() {
    let check = |priority: Priority, expected: usize| {
        let mut queue = trained(limits(6));
        let jobs = (100..110).map(|id| job(id, priority, 9));
        assert_eq!(started(&mut queue, jobs).len(), expected);
    };
    check(Priority::Interactive, 6);
    check(Priority::Deferrable, 1);
    check(Priority::Internal, 1);
}

#[test]
fn waiting_jobs_of_a_new_rule_go_behind_once_it_turns_out_long() {
    let mut queue = trained(limits(6));
    let jobs = (100..110).map(|id| job(id, Priority::Interactive, 9));
    started(&mut queue, jobs);
    let finished = [(100, 2_000), (101, 2_000), (102, 2_000), (106, 3_000)];
    let next =
        finished.map(|(id, ms)| starts(&queue.finish(id, JobOutcome::Ran, LATER + Millis(ms))));
    // The third sample makes the rule long. Then five long jobs run, and four may.
    assert_eq!(next, [vec![106], vec![107], vec![108], vec![]]);
    assert_eq!(queue.waiting(), 1);
}

#[test]
fn the_most_urgent_class_starts_first_and_within_it_the_oldest() {
    let mut queue = trained(limits(1));
    let waiting = [
        interactive(100),
        job(101, Priority::Internal, SHORT),
        job(102, Priority::Deferrable, SHORT),
        interactive(103),
        interactive(104),
    ];
    started(&mut queue, waiting);
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
fn work_that_cannot_end_in_time_is_refused_at_once() {
    let check = |waiting: u64, time_left: u64, expected: Option<NotRunReason>| {
        let mut queue = trained(limits(6));
        started(&mut queue, (100..106 + waiting).map(interactive));
        let late = Job { time_left: Millis(time_left), ..interactive(999) };
        assert_eq!(reason(queue.offer(late, LATER)), expected);
    };
    let deadline = Some(NotRunReason::Deadline);
    check(0, 0, deadline);
    check(0, 200, None);
    check(60, 200, deadline);
    check(60, 2_000, None);
}

#[test]
fn a_job_for_which_a_slot_is_free_is_tried_whatever_its_rule_takes() {
    let mut queue = trained(limits(6));
    let hasty = Job { time_left: Millis(10), ..job(100, Priority::Interactive, LONG) };
    assert_eq!(queue.offer(hasty, LATER), Admission::Start);
}

#[test]
fn a_waiting_job_is_refused_when_its_deadline_comes_near() {
    let mut queue = trained(limits(1));
    started(&mut queue, [interactive(100)]);
    let waits = Job { time_left: Millis(1_000), ..interactive(101) };
    assert_eq!(queue.offer(waits, LATER), Admission::Queued);
    let ticks = [500, 970, 1_000].map(|ms| refusals(&queue.tick(LATER + Millis(ms))));
    assert_eq!(ticks, [vec![], vec![], vec![(101, NotRunReason::Deadline)]]);
}

#[test]
fn a_job_that_can_no_longer_end_in_time_is_not_started() {
    let mut queue = trained(limits(1));
    let waits = Job { time_left: Millis(1_000), ..interactive(101) };
    started(&mut queue, [interactive(100), waits, interactive(102)]);
    let actions = queue.finish(100, JobOutcome::Ran, LATER + Millis(990));
    let refused = vec![(101, NotRunReason::Deadline)];
    assert_eq!((refusals(&actions), starts(&actions)), (refused, vec![102]));
}

#[test]
fn the_lowest_class_is_the_first_for_which_the_queue_is_full() {
    let check = |waiting: u64, expected: [bool; 3]| {
        let classes = [Priority::Interactive, Priority::Deferrable, Priority::Internal];
        let is_full = classes.map(|class| {
            let mut queue = trained(Limits::builder(1).max_waiting(8).build());
            started(&mut queue, (100..=100 + waiting).map(interactive));
            reason(queue.offer(job(999, class, SHORT), LATER)) == Some(NotRunReason::Overloaded)
        });
        assert_eq!(is_full, expected, "{waiting} waiting");
    };
    check(1, [false, false, false]);
    check(2, [false, false, true]);
    check(4, [false, true, true]);
    check(8, [true, true, true]);
}

#[test]
fn refused_callers_are_told_to_come_back_when_the_queue_is_shorter() {
    let retry_after = |waiting: u64| {
        let mut queue = trained(Limits::builder(1).max_waiting(400).connections(1).build());
        started(&mut queue, (100..=100 + waiting).map(interactive));
        let hasty = Job { time_left: Millis(10), ..interactive(999) };
        match queue.offer(hasty, LATER) {
            Admission::Refused { retry_after, .. } => retry_after,
            other => panic!("{other:?}"),
        }
    };
    assert!(retry_after(1) >= Millis(50));
    assert!(retry_after(20) > retry_after(10));
    assert!(retry_after(399) <= Millis(10_000));
}

#[test]
fn an_abandoned_job_waits_no_more_but_a_running_one_keeps_its_slot() {
    let mut queue = trained(limits(1));
    started(&mut queue, (100..103).map(interactive));
    queue.abandon(101, LATER);
    queue.abandon(100, LATER);
    assert_eq!((queue.running(), queue.waiting()), (1, 1));
    assert_eq!(starts(&queue.finish(100, JobOutcome::Ran, LATER)), [102]);
}

#[test]
fn a_closed_queue_refuses_all_and_opens_again() {
    let mut queue = trained(limits(1));
    started(&mut queue, (100..102).map(interactive));
    let dropped = queue.close(NotRunReason::Draining, LATER);
    assert_eq!(refusals(&dropped), [(101, NotRunReason::Draining)]);
    assert_eq!(reason(queue.offer(interactive(103), LATER)), Some(NotRunReason::Draining));
    queue.open();
    assert_eq!(queue.offer(interactive(104), LATER), Admission::Queued);
}

#[test]
fn events_about_unknown_jobs_change_nothing() {
    let mut queue = Queue::new(limits(6));
    assert_eq!(queue.finish(1, JobOutcome::Ran, Millis(5)), []);
    assert_eq!(queue.abandon(1, Millis(5)), []);
    assert_eq!(queue.tick(Millis(5)), []);
    assert_eq!((queue.running(), queue.waiting()), (0, 0));
}

#[test]
fn a_started_job_that_is_given_up_frees_its_slot_and_is_not_held_against_the_server() {
    let mut queue = Queue::new(Limits::builder(1).build());
    assert_eq!(started(&mut queue, [interactive(1)]), [1]);
    assert_eq!(started(&mut queue, [interactive(2)]), []);

    let actions = queue.finish(1, JobOutcome::Inconclusive, LATER);

    assert_eq!(starts(&actions), [2]);
    assert_eq!(queue.usable_slots(), 1);
}
