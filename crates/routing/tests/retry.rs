//! Retries: what they cost in an outage, when they stop, and how the pauses spread.

use model::{Millis, NotRunReason, UnknownReason};
use papayarill_config::Repeat;
use quickcheck::quickcheck;
use routing::retry::{
    Attempts, Budget, Failure, MAX_SENDS, RetryContext, Route, Servers, Step, Stop,
};

fn cx(repeat: Repeat, servers: Servers) -> RetryContext {
    let time_left = Millis(1_000);
    RetryContext { repeat, servers, time_left, random: 7 }
}

fn full_budget() -> Budget {
    let mut budget = Budget::new(100);
    (0..100).for_each(|_| budget.first_attempt());
    budget
}

#[derive(Debug, PartialEq)]
enum Kind {
    Again,
    Await,
    Stop(Stop),
}

fn kind(step: Step) -> Kind {
    match step {
        Step::SendAgain { .. } => Kind::Again,
        Step::AwaitRoute { .. } => Kind::Await,
        Step::Answer(stop) => Kind::Stop(stop),
    }
}

#[test]
fn each_reason_has_its_step() {
    let check = |failure, servers, expected: Kind, cost: u64| {
        let mut budget = full_budget();
        let before = budget.left();
        let cx = cx(Repeat::AtMostOnce, servers);
        let step = Attempts::default().next_step(failure, &cx, &mut budget);
        assert_eq!(kind(step), expected, "{failure:?} {servers:?}");
        assert_eq!(before - budget.left(), cost, "{failure:?} {servers:?}");
    };
    let refused = Failure::NotRun;
    let last = || Kind::Stop(Stop::Final);
    for reason in [
        NotRunReason::NotOwner,
        NotRunReason::NoLease,
        NotRunReason::NoOwner,
        NotRunReason::NotConnected,
        NotRunReason::StaleConfig,
    ] {
        check(refused(reason), Servers::Owner, Kind::Await, 0);
        check(refused(reason), Servers::Any, Kind::Again, 1);
    }
    check(refused(NotRunReason::Draining), Servers::Owner, Kind::Await, 0);
    check(refused(NotRunReason::Draining), Servers::Any, Kind::Again, 0);
    check(refused(NotRunReason::BackendRefused), Servers::Owner, Kind::Again, 1);
    check(refused(NotRunReason::Overloaded), Servers::Owner, last(), 0);
    check(refused(NotRunReason::Overloaded), Servers::Any, Kind::Again, 1);
    check(refused(NotRunReason::Deadline), Servers::Owner, last(), 0);
    check(refused(NotRunReason::Quarantined), Servers::Any, last(), 0);
    check(refused(NotRunReason::Abandoned), Servers::Owner, last(), 0);
    check(Failure::Unknown(UnknownReason::ConnectionLost), Servers::Owner, last(), 0);
    check(Failure::Unknown(UnknownReason::NotVouched), Servers::Owner, last(), 0);
}

#[test]
fn sends_are_bounded_by_count_time_and_budget() {
    let check = |budget: &mut Budget, time_left, earlier: u32, expected| {
        let mut attempts = Attempts::default();
        let mut cx = cx(Repeat::Repeatable, Servers::Owner);
        let failure = Failure::Unknown(UnknownReason::ConnectionLost);
        for _ in 0..earlier {
            attempts.next_step(failure, &cx, budget);
        }
        cx.time_left = Millis(time_left);
        assert_eq!(kind(attempts.next_step(failure, &cx, budget)), expected);
    };
    check(&mut full_budget(), 1_000, 0, Kind::Again);
    check(&mut full_budget(), 1_000, MAX_SENDS - 2, Kind::Again);
    check(&mut full_budget(), 1_000, MAX_SENDS - 1, Kind::Stop(Stop::TooManySends));
    check(&mut full_budget(), 5, 0, Kind::Stop(Stop::NoTime));
    check(&mut Budget::new(10), 1_000, 0, Kind::Stop(Stop::NoBudget));
}

/// All first attempts fail, and each request goes on for as long as it may.
fn attempts_in_outage(
    mut budget: Budget,
    first: u32,
    (failure, servers): (Failure, Servers),
    random: u64,
) -> u32 {
    let mut sends = 0;
    for n in 0..first {
        budget.first_attempt();
        sends += 1;
        let mut cx = cx(Repeat::Repeatable, servers);
        cx.random = random.wrapping_mul(u64::from(n) + 1);
        let mut attempts = Attempts::default();
        let mut step = attempts.next_step(failure, &cx, &mut budget);
        while !matches!(step, Step::Answer(_)) {
            step = match step {
                Step::AwaitRoute { at_most } => {
                    cx.time_left = cx.time_left - at_most;
                    attempts.after_wait(Route::Same, &cx, &mut budget)
                }
                _ => {
                    sends += 1;
                    attempts.next_step(failure, &cx, &mut budget)
                }
            };
        }
    }
    sends
}

quickcheck! {
    fn an_outage_adds_at_most_a_tenth(first: u16, random: u64) -> bool {
        let first = u32::from(first % 2_000);
        let failures = [
            (Failure::NotRun(NotRunReason::NotConnected), Servers::Owner),
            (Failure::NotRun(NotRunReason::BackendRefused), Servers::Owner),
            (Failure::NotRun(NotRunReason::NotConnected), Servers::Any),
            (Failure::Unknown(UnknownReason::Timeout), Servers::Owner),
        ];
        let bounded = |outage| {
            attempts_in_outage(Budget::new(10), first, outage, random) * 10 <= first * 11
        };
        failures.into_iter().all(bounded)
    }

    fn pauses_grow_and_spread(random: u64) -> bool {
        let mut cx = cx(Repeat::Repeatable, Servers::Owner);
        cx.random = random;
        let mut attempts = Attempts::default();
        let failure = Failure::NotRun(NotRunReason::BackendRefused);
        [(10, 30), (20, 60), (40, 120)].into_iter().all(|(least, most)| {
            match attempts.next_step(failure, &cx, &mut full_budget()) {
                Step::SendAgain { after } => (least..most).contains(&after.0),
                _ => false,
            }
        })
    }
}

/// Taken out on purpose: the budget.
#[test]
fn without_the_budget_an_outage_multiplies_the_load() {
    let outage = (Failure::NotRun(NotRunReason::BackendRefused), Servers::Owner);
    assert_eq!(attempts_in_outage(Budget::new(1_000), 500, outage, 1), 500 * MAX_SENDS);
}

#[test]
fn a_request_follows_a_moved_owner_without_a_budget() {
    let check = |reason, routes: &[Route], expected: &[Kind]| {
        let mut budget = Budget::new(0);
        let cx = cx(Repeat::AtMostOnce, Servers::Owner);
        let mut attempts = Attempts::default();
        let step = attempts.next_step(Failure::NotRun(reason), &cx, &mut budget);
        assert_eq!(kind(step), Kind::Await);
        let steps = routes.iter().map(|r| kind(attempts.after_wait(*r, &cx, &mut budget)));
        assert_eq!(steps.collect::<Vec<_>>(), expected, "{reason:?}");
    };
    let same = [Route::Same; 3];
    check(NotRunReason::NotOwner, &[Route::Newer], &[Kind::Again]);
    check(NotRunReason::NotConnected, &[Route::Newer], &[Kind::Again]);
    // A called-off move leaves the route as it was.
    check(NotRunReason::NotOwner, &same, &[Kind::Again, Kind::Again, Kind::Await]);
    check(NotRunReason::Draining, &same, &[Kind::Again, Kind::Again, Kind::Await]);
    check(NotRunReason::NotConnected, &same, &[Kind::Await, Kind::Await, Kind::Await]);
    check(NotRunReason::NoLease, &same, &[Kind::Await, Kind::Await, Kind::Await]);
}

#[test]
fn the_budget_saves_up_only_a_few_retries() {
    let check = |firsts: u32, expected: u64| {
        let mut budget = Budget::new(10);
        (0..firsts).for_each(|_| budget.first_attempt());
        assert_eq!(budget.left(), expected);
    };
    check(9, 0);
    check(10, 1);
    check(100, 10);
    check(100_000, 10);
}

#[test]
fn a_request_is_called_not_run_only_if_no_attempt_may_have_run() {
    let lost = Failure::Unknown(UnknownReason::ConnectionLost);
    let late = Failure::Unknown(UnknownReason::Timeout);
    let refused = Failure::NotRun(NotRunReason::NotConnected);
    let check = |failures: &[Failure], expected: Failure| {
        let mut attempts = Attempts::default();
        let cx = cx(Repeat::Repeatable, Servers::Owner);
        for failure in failures {
            attempts.next_step(*failure, &cx, &mut full_budget());
        }
        let last = failures[failures.len() - 1];
        assert_eq!(attempts.verdict(last), expected, "{failures:?}");
    };

    check(&[refused], refused);
    check(&[refused, refused], refused);
    check(&[lost], lost);
    check(&[lost, refused], lost);
    check(&[refused, lost, refused, refused], lost);
    check(&[lost, late], late);
}
