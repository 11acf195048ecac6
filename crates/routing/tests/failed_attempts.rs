//! Retries and reported outcomes, by the point at which an attempt fails.
//!
//! In each case the first attempt fails and later attempts reach a healthy owner. The tests assume
//! the worst case: a request of which any part was sent has run.

mod common;

use common::{id_at, response, settings};
use model::{Millis, NotRunReason, Outcome, Partition, RecordOutcome};
use ownership::Origin;
use papayarill_config::RetrySafety::{self, AtMostOnce, Idempotent};
use routing::outcome::{AbortCause, Progress, classify_abort, refusal_reason};
use routing::records::{BeginResult, Records, RunResult};
use routing::response::{OutcomeKind, for_begin_result, for_outcome};
use routing::retry::{
    Attempts, EligibleServers, Failure, RetryBudget, RetryContext, RetryDecision, RouteChange,
};

const PARTITION: Partition = Partition(3);
const NOW: Millis = Millis(100_000);

#[derive(Debug, PartialEq)]
struct CaseResult {
    attempts: u32,
    runs: u32,
    reported: OutcomeKind,
    status: u16,
    /// The outcome reported if the caller retries with the same request id, and the number of runs
    /// after that.
    retried: Option<(OutcomeKind, u32)>,
}

/// The owner with its records, and the number of runs counted by its backend server.
struct Owner {
    records: Records,
    runs: u32,
}

impl Owner {
    fn new() -> Self {
        let mut records = Records::new(settings());
        records.start(PARTITION, Origin::First, NOW);
        Self { records, runs: 0 }
    }

    /// Handles an attempt that reaches the owner, and then fails with `failure` if given.
    fn handle(&mut self, repeat: RetrySafety, failure: Option<Failure>) -> Result<(), BeginResult> {
        let runs = u32::from(!matches!(failure, Some(Failure::NotRun(_))));
        if repeat == Idempotent {
            self.runs += runs;
            return Ok(());
        }
        let run = match self.records.begin(PARTITION, id_at(NOW.0, 1), 9, NOW) {
            BeginResult::Run(run) => run,
            begin => return Err(begin),
        };
        self.runs += runs;
        let result = match failure {
            Some(Failure::NotRun(_)) => RunResult::NotRun,
            Some(Failure::Unknown(_)) => RunResult::Recorded(RecordOutcome::Unknown),
            None => RunResult::Recorded(RecordOutcome::Answered(response(1))),
        };
        self.records.finish(run, result);
        Ok(())
    }
}

fn run_case(failure: Failure, repeat: RetrySafety, assumed: RetrySafety) -> CaseResult {
    let mut owner = Owner::new();
    let mut budget = RetryBudget::new(100);
    budget.deposit();
    let mut attempts = Attempts::default();
    let cx = RetryContext {
        repeat: assumed,
        servers: EligibleServers::Owner,
        time_left: Millis(1_000),
        random: 1,
    };
    let first = owner.handle(repeat, Some(failure));
    assert_eq!(first, Ok(()));
    let mut decision = attempts.after_failure(failure, &cx, &mut budget);
    if matches!(decision, RetryDecision::AwaitRoute { .. }) {
        decision = attempts.after_route_wait(RouteChange::Changed, &cx, &mut budget);
    }
    if matches!(decision, RetryDecision::SendAgain { .. }) {
        // If the owner lost its records, nothing prevents the second run.
        if assumed != repeat {
            owner.records.drop_all();
            owner.records.start(PARTITION, Origin::First, NOW);
        }
        let second = owner.handle(repeat, None);
        assert_eq!(second, Ok(()));
        return case_result(owner, repeat, 2, None);
    }
    case_result(owner, repeat, 1, Some(failure))
}

fn case_result(
    mut owner: Owner,
    repeat: RetrySafety,
    attempts: u32,
    failure: Option<Failure>,
) -> CaseResult {
    let outcome = match failure {
        None => Outcome::Ran(()),
        Some(Failure::NotRun(reason)) => Outcome::NotRun(reason),
        Some(Failure::Unknown(reason)) => Outcome::Unknown(reason),
    };
    let (status, reported) = match for_outcome(&outcome, Millis(1_000)) {
        None => (201, OutcomeKind::Ran),
        Some(response) => (response.status, response.outcome),
    };
    let runs = owner.runs;
    let retried = (repeat == AtMostOnce).then(|| match owner.handle(repeat, None) {
        Ok(()) => (OutcomeKind::Ran, owner.runs),
        Err(begin) => {
            (for_begin_result(&begin).map_or(OutcomeKind::Ran, |a| a.outcome), owner.runs)
        }
    });
    CaseResult { attempts, runs, reported, status, retried }
}

fn aborted(progress: Progress, cause: AbortCause) -> Failure {
    classify_abort(progress, cause)
}

fn refused(reason: NotRunReason) -> Failure {
    Failure::NotRun(reason)
}

#[test]
fn outcomes_by_point_of_failure() {
    let check =
        |name,
         failure,
         repeat,
         expected: (u32, u32, OutcomeKind, u16, Option<(OutcomeKind, u32)>)| {
            let (attempts, runs, reported, status, retried) = expected;
            let expected = CaseResult { attempts, runs, reported, status, retried };
            assert_eq!(run_case(failure, repeat, repeat), expected, "{name}, {repeat:?}");
        };
    let ran_once = (2, 1, OutcomeKind::Ran, 201, Some((OutcomeKind::Ran, 1)));
    let ran_again = |runs| (2, runs, OutcomeKind::Ran, 201, None);
    let unknown_once = (1, 1, OutcomeKind::Unknown, 504, Some((OutcomeKind::Unknown, 1)));
    let not_run = (1, 0, OutcomeKind::NotRun, 503, Some((OutcomeKind::Ran, 1)));

    let safe = [
        ("before connect", aborted(Progress::NothingSent, AbortCause::Connection)),
        ("owner moved", refused(NotRunReason::NotOwner)),
        ("owner lost its lease", refused(NotRunReason::NoLease)),
        ("owner drains", refused(NotRunReason::Draining)),
        ("backend server refused", refused(NotRunReason::BackendRefused)),
    ];
    for (name, failure) in safe {
        check(name, failure, AtMostOnce, ran_once);
        check(name, failure, Idempotent, ran_again(1));
    }

    let unsafe_failures = [
        ("while sending", aborted(Progress::Sent, AbortCause::Connection)),
        ("after sending", aborted(Progress::Sent, AbortCause::Connection)),
        ("during the response", aborted(Progress::ResponseStarted, AbortCause::Connection)),
        ("host process killed", aborted(Progress::Sent, AbortCause::Connection)),
        ("backend server killed", aborted(Progress::Sent, AbortCause::BackendDied)),
    ];
    for (name, failure) in unsafe_failures {
        check(name, failure, AtMostOnce, unknown_once);
        check(name, failure, Idempotent, ran_again(2));
    }

    let expired = aborted(Progress::NothingSent, AbortCause::Deadline);
    check("deadline before the start", expired, AtMostOnce, not_run);
    check("deadline before the start", expired, Idempotent, (1, 0, OutcomeKind::NotRun, 503, None));
}

/// Negative control: without the rule that an unknown outcome is not retried, a request runs twice.
#[test]
fn retrying_an_unknown_outcome_runs_the_action_twice() {
    let failure = aborted(Progress::Sent, AbortCause::Connection);
    let result = run_case(failure, AtMostOnce, Idempotent);
    assert_eq!(result.runs, 2);
}

#[test]
fn only_the_exact_form_is_a_refusal() {
    let check = |status, value: Option<&[u8]>, expected| {
        assert_eq!(refusal_reason(status, value), expected, "{status} {value:?}");
    };
    check(503, Some(b"shed"), Some(NotRunReason::BackendRefused));
    check(503, Some(b"not-granted"), Some(NotRunReason::NoLease));
    check(503, Some(b"fence"), Some(NotRunReason::NotOwner));
    check(503, Some(b"draining"), Some(NotRunReason::Draining));
    check(503, Some(b"deadline"), Some(NotRunReason::Deadline));
    check(503, Some(b"tired"), None);
    check(503, None, None);
    check(500, Some(b"shed"), None);
    check(200, Some(b"shed"), None);
}
