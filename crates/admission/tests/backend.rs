//! How the queue judges a backend server by what it does, not by what it announces.

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

/// Runs a backend server that takes `real` jobs at a time for one tick each and refuses others.
/// Returns the slots that the queue uses after 10 s, and the refusals of the last 5 s.
fn run(announced: u32, real: usize) -> (u32, usize) {
    let mut queue = queue(announced);
    let mut sent = Vec::new();
    let mut refused = 0;
    for tick in 0..1_000 {
        let now = Millis(tick * Queue::TICK.0);
        let offered = tick * 20..(tick + 1) * 20;
        sent.extend(offered.filter(|&id| queue.offer(job(id), now) == Admission::Start));
        sent.extend(starts(queue.tick(now)));
        while sent.len() > real {
            refused += usize::from(tick >= 500);
            let actions = queue.finish(sent.remove(real), JobOutcome::Refused, now);
            sent.extend(starts(actions));
        }
        for id in std::mem::take(&mut sent) {
            sent.extend(starts(queue.finish(id, JobOutcome::Ran, now + Queue::TICK)));
        }
    }
    (queue.usable_slots(), refused)
}

#[test]
fn slots_settle_at_what_the_backend_server_really_takes() {
    let check = |announced: u32, real: u32| {
        let (usable, refused) = run(announced, real as usize);
        assert!((real..=real + 1).contains(&usable), "{announced}, really {real}: {usable}");
        assert!(refused <= 10, "{announced}, really {real}: {refused} refusals");
    };
    check(6, 6);
    check(6, 3);
    check(18, 12);
    check(18, 1);
}

#[test]
fn a_backend_server_that_refuses_everything_is_asked_about_once_a_second() {
    let (usable, refused) = run(18, 0);
    assert!(usable <= 2 && refused <= 10, "{usable} slots, {refused} refusals");
}

#[test]
fn slots_come_back_one_a_second() {
    let mut queue = queue(6);
    let verdicts: Vec<Admission> = (0..6).map(|id| queue.offer(job(id), Millis::ZERO)).collect();
    (2..6).for_each(|id| assert_eq!(queue.finish(id, JobOutcome::Refused, Millis(10)), []));
    let usable = [10, 1_009, 1_010, 2_010, 9_000].map(|now| {
        queue.tick(Millis(now));
        queue.usable_slots()
    });
    assert_eq!((verdicts, usable), (vec![Admission::Start; 6], [2, 2, 3, 4, 5]));
}

#[test]
fn announced_slots_bound_what_is_used() {
    let mut queue = queue(6);
    let usable = [4, 18, 0, 6].map(|announced| {
        queue.set_slots(announced);
        queue.usable_slots()
    });
    assert_eq!(usable, [4, 18, 0, 6]);
}

#[test]
fn a_queue_that_knew_no_backend_server_uses_all_slots_of_the_first() {
    let mut queue = queue(1);
    let limits = Limits::builder(6).connections(110).reserved_slots(2).build();

    queue.set_limits(limits);
    let verdicts: Vec<Admission> = (0..7).map(|id| queue.offer(job(id), Millis::ZERO)).collect();

    assert_eq!(verdicts[..6], [Admission::Start; 6]);
    assert_eq!(verdicts[6], Admission::Queued);
}

#[test]
fn a_few_failures_are_bad_luck_but_a_row_of_them_makes_the_queue_pause() {
    let check = |finishes: [JobOutcome; 4], expected: Admission| {
        let mut queue = queue(6);
        for (id, finish) in (0..).zip(finishes) {
            assert_eq!(queue.offer(job(id), Millis(1)), Admission::Start);
            queue.finish(id, finish, Millis(1));
        }
        assert_eq!(queue.offer(job(4), Millis(1)), expected, "{finishes:?}");
        assert_eq!(queue.tick(Millis(11)).len(), usize::from(expected == Admission::Queued));
    };
    use JobOutcome::{Failed, Inconclusive, Ran};
    check([Failed, Failed, Failed, Failed], Admission::Queued);
    check([Failed, Failed, Ran, Failed], Admission::Start);
    check([Inconclusive, Inconclusive, Inconclusive, Inconclusive], Admission::Start);
}

#[test]
fn a_new_job_does_not_overtake_those_that_wait_for_the_end_of_a_pause() {
    let mut queue = queue(6);
    let verdicts = [1, 2, 3].map(|id| {
        let verdict = queue.offer(job(id), Millis(20 * id));
        queue.finish(id, JobOutcome::Refused, Millis(20 * id));
        verdict
    });
    assert_eq!(verdicts, [Admission::Start; 3]);
    let waits = [queue.offer(job(4), Millis(61)), queue.offer(job(5), Millis(500))];
    assert_eq!(waits, [Admission::Queued; 2]);
    assert_eq!(queue.tick(Millis(501)), [Action::Start(4)]);
}
