//! Retry decisions: the load that they add in an outage, when they stop, and how delays are spread.

use model::{Millis, NotRunReason, UnknownReason};
use papayarill_config::RetrySafety;
use quickcheck::quickcheck;
use routing::retry::{
    Attempts, EligibleServers, Failure, MAX_ATTEMPTS, RetryBudget, RetryContext, RetryDecision,
    RouteChange, StopReason,
};

fn cx(repeat: RetrySafety, servers: EligibleServers) -> RetryContext {
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
    Retry,
    AwaitRoute,
    Stop(StopReason),
}

fn kind_of(decision: RetryDecision) -> Kind {
    match decision {
        RetryDecision::SendAgain { .. } => Kind::Retry,
        RetryDecision::AwaitRoute { .. } => Kind::AwaitRoute,
        RetryDecision::Answer(stop) => Kind::Stop(stop),
    }
}

#[test]
fn decisions_by_failure_reason() {
    let check = |failure, servers, expected: Kind, cost: u64| {
        let mut budget = full_budget();
        let before = budget.available();
        let cx = cx(RetrySafety::AtMostOnce, servers);
        let decision = Attempts::default().after_failure(failure, &cx, &mut budget);
        assert_eq!(kind_of(decision), expected, "{failure:?} {servers:?}");
        assert_eq!(before - budget.available(), cost, "{failure:?} {servers:?}");
    };
    let not_run = Failure::NotRun;
    let give_up = || Kind::Stop(StopReason::Final);
    for reason in [
        NotRunReason::NotOwner,
        NotRunReason::NoLease,
        NotRunReason::NoOwner,
        NotRunReason::NotConnected,
        NotRunReason::StaleConfig,
    ] {
        check(not_run(reason), EligibleServers::Owner, Kind::AwaitRoute, 0);
        check(not_run(reason), EligibleServers::Any, Kind::Retry, 1);
    }
    check(not_run(NotRunReason::Draining), EligibleServers::Owner, Kind::AwaitRoute, 0);
    check(not_run(NotRunReason::Draining), EligibleServers::Any, Kind::Retry, 0);
    check(not_run(NotRunReason::BackendRefused), EligibleServers::Owner, Kind::Retry, 1);
    check(not_run(NotRunReason::Overloaded), EligibleServers::Owner, give_up(), 0);
    check(not_run(NotRunReason::Overloaded), EligibleServers::Any, Kind::Retry, 1);
    check(not_run(NotRunReason::Deadline), EligibleServers::Owner, give_up(), 0);
    check(not_run(NotRunReason::Quarantined), EligibleServers::Any, give_up(), 0);
    check(not_run(NotRunReason::Abandoned), EligibleServers::Owner, give_up(), 0);
    check(Failure::Unknown(UnknownReason::ConnectionLost), EligibleServers::Owner, give_up(), 0);
    check(Failure::Unknown(UnknownReason::HistoryIncomplete), EligibleServers::Owner, give_up(), 0);
}

#[test]
fn retries_are_bounded_by_count_time_and_budget() {
    let check = |budget: &mut RetryBudget, time_left, previous: u32, expected| {
        let mut attempts = Attempts::default();
        let mut cx = cx(RetrySafety::Idempotent, EligibleServers::Owner);
        let failure = Failure::Unknown(UnknownReason::ConnectionLost);
        for _ in 0..previous {
            attempts.after_failure(failure, &cx, budget);
        }
        cx.time_left = Millis(time_left);
        assert_eq!(kind_of(attempts.after_failure(failure, &cx, budget)), expected);
    };
    check(&mut full_budget(), 1_000, 0, Kind::Retry);
    check(&mut full_budget(), 1_000, MAX_ATTEMPTS - 2, Kind::Retry);
    check(&mut full_budget(), 1_000, MAX_ATTEMPTS - 1, Kind::Stop(StopReason::TooManySends));
    check(&mut full_budget(), 5, 0, Kind::Stop(StopReason::NoTime));
    check(&mut RetryBudget::new(10), 1_000, 0, Kind::Stop(StopReason::NoBudget));
}

/// Simulates an outage in which all attempts fail, and returns the number of attempts. Each request
/// is retried for as long as the decisions allow.
fn attempts_in_outage(
    mut budget: RetryBudget,
    requests: u32,
    (failure, servers): (Failure, EligibleServers),
    random: u64,
) -> u32 {
    let mut attempt_count = 0;
    for n in 0..requests {
        budget.deposit();
        attempt_count += 1;
        let mut cx = cx(RetrySafety::Idempotent, servers);
        cx.random = random.wrapping_mul(u64::from(n) + 1);
        let mut attempts = Attempts::default();
        let mut decision = attempts.after_failure(failure, &cx, &mut budget);
        while !matches!(decision, RetryDecision::Answer(_)) {
            decision = match decision {
                RetryDecision::AwaitRoute { at_most } => {
                    cx.time_left = cx.time_left - at_most;
                    attempts.after_route_wait(RouteChange::Unchanged, &cx, &mut budget)
                }
                _ => {
                    attempt_count += 1;
                    attempts.after_failure(failure, &cx, &mut budget)
                }
            };
        }
    }
    attempt_count
}

quickcheck! {
    fn retries_in_an_outage_add_at_most_a_tenth(requests: u16, random: u64) -> bool {
        let requests = u32::from(requests % 2_000);
        let failures = [
            (Failure::NotRun(NotRunReason::NotConnected), EligibleServers::Owner),
            (Failure::NotRun(NotRunReason::BackendRefused), EligibleServers::Owner),
            (Failure::NotRun(NotRunReason::NotConnected), EligibleServers::Any),
            (Failure::Unknown(UnknownReason::Timeout), EligibleServers::Owner),
        ];
        let bounded = |outage| {
            attempts_in_outage(RetryBudget::new(10), requests, outage, random) * 10 <= requests * 11
        };
        failures.into_iter().all(bounded)
    }

    fn delays_grow_and_are_jittered(random: u64) -> bool {
        let mut cx = cx(RetrySafety::Idempotent, EligibleServers::Owner);
        cx.random = random;
        let mut attempts = Attempts::default();
        let failure = Failure::NotRun(NotRunReason::BackendRefused);
        [(10, 30), (20, 60), (40, 120)].into_iter().all(|(min, max)| {
            match attempts.after_failure(failure, &cx, &mut full_budget()) {
                RetryDecision::SendAgain { after } => (min..max).contains(&after.0),
                _ => false,
            }
        })
    }
}

/// Negative control: with a budget that is never exhausted, each request makes all its attempts.
#[test]
fn without_a_budget_retries_multiply_the_load() {
    let outage = (Failure::NotRun(NotRunReason::BackendRefused), EligibleServers::Owner);
    assert_eq!(attempts_in_outage(RetryBudget::new(1_000), 500, outage, 1), 500 * MAX_ATTEMPTS);
}

#[test]
fn following_a_moved_owner_needs_no_budget() {
    let check = |reason, routes: &[RouteChange], expected: &[Kind]| {
        let mut budget = RetryBudget::new(0);
        let cx = cx(RetrySafety::AtMostOnce, EligibleServers::Owner);
        let mut attempts = Attempts::default();
        let decision = attempts.after_failure(Failure::NotRun(reason), &cx, &mut budget);
        assert_eq!(kind_of(decision), Kind::AwaitRoute);
        let decisions =
            routes.iter().map(|r| kind_of(attempts.after_route_wait(*r, &cx, &mut budget)));
        assert_eq!(decisions.collect::<Vec<_>>(), expected, "{reason:?}");
    };
    let same = [RouteChange::Unchanged; 3];
    check(NotRunReason::NotOwner, &[RouteChange::Changed], &[Kind::Retry]);
    check(NotRunReason::NotConnected, &[RouteChange::Changed], &[Kind::Retry]);
    // If a move was cancelled, the route stays the same.
    check(NotRunReason::NotOwner, &same, &[Kind::Retry, Kind::Retry, Kind::AwaitRoute]);
    check(NotRunReason::Draining, &same, &[Kind::Retry, Kind::Retry, Kind::AwaitRoute]);
    check(
        NotRunReason::NotConnected,
        &same,
        &[Kind::AwaitRoute, Kind::AwaitRoute, Kind::AwaitRoute],
    );
    check(NotRunReason::NoLease, &same, &[Kind::AwaitRoute, Kind::AwaitRoute, Kind::AwaitRoute]);
}

#[test]
fn the_budget_accumulates_at_most_ten_retries() {
    let check = |requests: u32, expected: u64| {
        let mut budget = RetryBudget::new(10);
        (0..requests).for_each(|_| budget.deposit());
        assert_eq!(budget.available(), expected);
    };
    check(9, 0);
    check(10, 1);
    check(100, 10);
    check(100_000, 10);
}

#[test]
fn a_request_is_reported_not_run_only_if_no_attempt_may_have_run() {
    let lost = Failure::Unknown(UnknownReason::ConnectionLost);
    let late = Failure::Unknown(UnknownReason::Timeout);
    let refused = Failure::NotRun(NotRunReason::NotConnected);
    let check = |failures: &[Failure], expected: Failure| {
        let mut attempts = Attempts::default();
        let cx = cx(RetrySafety::Idempotent, EligibleServers::Owner);
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
