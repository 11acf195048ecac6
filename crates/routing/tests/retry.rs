//! Retries: what they cost in an outage, when they stop, and how the pauses spread.

use model::{Millis, NotRunReason, UnknownReason};
use papayarill_config::Repeat;
use quickcheck::quickcheck;
use routing::retry::{
    Attempts, EligibleServers, Failure, MAX_ATTEMPTS, RetryBudget, RetryContext, RetryDecision,
    RouteChange, StopReason,
};

fn cx(repeat: Repeat, servers: EligibleServers) -> RetryContext {
    let time_left = Millis(1_000);
    RetryContext { repeat, servers, time_left, random: 7 }
}

fn full_budget() -> RetryBudget {
    let mut budget = RetryBudget::new(100);
    (0..100).for_each(|_| budget.deposit());
    budget
}

#[derive(Debug, PartialEq)]
enum Kind {
    Again,
    Await,
    Stop(StopReason),
}

fn kind(step: RetryDecision) -> Kind {
    match step {
        RetryDecision::SendAgain { .. } => Kind::Again,
        RetryDecision::AwaitRoute { .. } => Kind::Await,
        RetryDecision::Answer(stop) => Kind::Stop(stop),
    }
}

#[test]
fn each_reason_has_its_step() {
    let check = |failure, servers, expected: Kind, cost: u64| {
        let mut budget = full_budget();
        let before = budget.available();
        let cx = cx(Repeat::AtMostOnce, servers);
        let step = Attempts::default().after_failure(failure, &cx, &mut budget);
        assert_eq!(kind(step), expected, "{failure:?} {servers:?}");
        assert_eq!(before - budget.available(), cost, "{failure:?} {servers:?}");
    };
    let refused = Failure::NotRun;
    let last = || Kind::Stop(StopReason::Final);
    for reason in [
        NotRunReason::NotOwner,
        NotRunReason::NoLease,
        NotRunReason::NoOwner,
        NotRunReason::NotConnected,
        NotRunReason::StaleConfig,
    ] {
        check(refused(reason), EligibleServers::Owner, Kind::Await, 0);
        check(refused(reason), EligibleServers::Any, Kind::Again, 1);
    }
    check(refused(NotRunReason::Draining), EligibleServers::Owner, Kind::Await, 0);
    check(refused(NotRunReason::Draining), EligibleServers::Any, Kind::Again, 0);
    check(refused(NotRunReason::BackendRefused), EligibleServers::Owner, Kind::Again, 1);
    check(refused(NotRunReason::Overloaded), EligibleServers::Owner, last(), 0);
    check(refused(NotRunReason::Overloaded), EligibleServers::Any, Kind::Again, 1);
    check(refused(NotRunReason::Deadline), EligibleServers::Owner, last(), 0);
    check(refused(NotRunReason::Quarantined), EligibleServers::Any, last(), 0);
    check(refused(NotRunReason::Abandoned), EligibleServers::Owner, last(), 0);
    check(Failure::Unknown(UnknownReason::ConnectionLost), EligibleServers::Owner, last(), 0);
    check(Failure::Unknown(UnknownReason::NotVouched), EligibleServers::Owner, last(), 0);
}

#[test]
fn sends_are_bounded_by_count_time_and_budget() {
    let check = |budget: &mut RetryBudget, time_left, earlier: u32, expected| {
        let mut attempts = Attempts::default();
        let mut cx = cx(Repeat::Repeatable, EligibleServers::Owner);
        let failure = Failure::Unknown(UnknownReason::ConnectionLost);
        for _ in 0..earlier {
            attempts.after_failure(failure, &cx, budget);
        }
        cx.time_left = Millis(time_left);
        assert_eq!(kind(attempts.after_failure(failure, &cx, budget)), expected);
    };
    check(&mut full_budget(), 1_000, 0, Kind::Again);
    check(&mut full_budget(), 1_000, MAX_ATTEMPTS - 2, Kind::Again);
    check(&mut full_budget(), 1_000, MAX_ATTEMPTS - 1, Kind::Stop(StopReason::TooManySends));
    check(&mut full_budget(), 5, 0, Kind::Stop(StopReason::NoTime));
    check(&mut RetryBudget::new(10), 1_000, 0, Kind::Stop(StopReason::NoBudget));
}

/// All first attempts fail, and each request goes on for as long as it may.
fn attempts_in_outage(
    mut budget: RetryBudget,
    first: u32,
    (failure, servers): (Failure, EligibleServers),
    random: u64,
) -> u32 {
    let mut sends = 0;
    for n in 0..first {
        budget.deposit();
        sends += 1;
        let mut cx = cx(Repeat::Repeatable, servers);
        cx.random = random.wrapping_mul(u64::from(n) + 1);
        let mut attempts = Attempts::default();
        let mut step = attempts.after_failure(failure, &cx, &mut budget);
        while !matches!(step, RetryDecision::Answer(_)) {
            step = match step {
                RetryDecision::AwaitRoute { at_most } => {
                    cx.time_left = cx.time_left - at_most;
                    attempts.after_route_wait(RouteChange::Unchanged, &cx, &mut budget)
                }
                _ => {
                    sends += 1;
                    attempts.after_failure(failure, &cx, &mut budget)
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
            (Failure::NotRun(NotRunReason::NotConnected), EligibleServers::Owner),
            (Failure::NotRun(NotRunReason::BackendRefused), EligibleServers::Owner),
            (Failure::NotRun(NotRunReason::NotConnected), EligibleServers::Any),
            (Failure::Unknown(UnknownReason::Timeout), EligibleServers::Owner),
        ];
        let bounded = |outage| {
            attempts_in_outage(RetryBudget::new(10), first, outage, random) * 10 <= first * 11
        };
        failures.into_iter().all(bounded)
    }

    fn pauses_grow_and_spread(random: u64) -> bool {
        let mut cx = cx(Repeat::Repeatable, EligibleServers::Owner);
        cx.random = random;
        let mut attempts = Attempts::default();
        let failure = Failure::NotRun(NotRunReason::BackendRefused);
        [(10, 30), (20, 60), (40, 120)].into_iter().all(|(least, most)| {
            match attempts.after_failure(failure, &cx, &mut full_budget()) {
                RetryDecision::SendAgain { after } => (least..most).contains(&after.0),
                _ => false,
            }
        })
    }
}

/// Taken out on purpose: the budget.
#[test]
fn without_the_budget_an_outage_multiplies_the_load() {
    let outage = (Failure::NotRun(NotRunReason::BackendRefused), EligibleServers::Owner);
    assert_eq!(attempts_in_outage(RetryBudget::new(1_000), 500, outage, 1), 500 * MAX_ATTEMPTS);
}

#[test]
fn a_request_follows_a_moved_owner_without_a_budget() {
    let check = |reason, routes: &[RouteChange], expected: &[Kind]| {
        let mut budget = RetryBudget::new(0);
        let cx = cx(Repeat::AtMostOnce, EligibleServers::Owner);
        let mut attempts = Attempts::default();
        let step = attempts.after_failure(Failure::NotRun(reason), &cx, &mut budget);
        assert_eq!(kind(step), Kind::Await);
        let steps = routes.iter().map(|r| kind(attempts.after_route_wait(*r, &cx, &mut budget)));
        assert_eq!(steps.collect::<Vec<_>>(), expected, "{reason:?}");
    };
    let same = [RouteChange::Unchanged; 3];
    check(NotRunReason::NotOwner, &[RouteChange::Changed], &[Kind::Again]);
    check(NotRunReason::NotConnected, &[RouteChange::Changed], &[Kind::Again]);
    // A called-off move leaves the route as it was.
    check(NotRunReason::NotOwner, &same, &[Kind::Again, Kind::Again, Kind::Await]);
    check(NotRunReason::Draining, &same, &[Kind::Again, Kind::Again, Kind::Await]);
    check(NotRunReason::NotConnected, &same, &[Kind::Await, Kind::Await, Kind::Await]);
    check(NotRunReason::NoLease, &same, &[Kind::Await, Kind::Await, Kind::Await]);
}

#[test]
fn the_budget_saves_up_only_a_few_retries() {
    let check = |firsts: u32, expected: u64| {
        let mut budget = RetryBudget::new(10);
        (0..firsts).for_each(|_| budget.deposit());
        assert_eq!(budget.available(), expected);
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
        let cx = cx(Repeat::Repeatable, EligibleServers::Owner);
        for failure in failures {
            attempts.after_failure(*failure, &cx, &mut full_budget());
        }
        let last = failures[failures.len() - 1];
        assert_eq!(attempts.overall_failure(last), expected, "{failures:?}");
    };

    check(&[refused], refused);
    check(&[refused, refused], refused);
    check(&[lost], lost);
    check(&[lost, refused], lost);
    check(&[refused, lost, refused, refused], lost);
    check(&[lost, late], late);
}
