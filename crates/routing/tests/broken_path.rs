//! What is sent again, and what the caller is told, by where the path breaks.
//!
//! Each case breaks the first attempt; later attempts reach a healthy owner. The worst case
//! counts: whatever was sent, even in part, has run.

mod common;

use common::{answer, id_at, settings};
use model::{Millis, NotRunReason, Outcome, Partition, RecordEnd};
use ownership::Origin;
use papayarill_config::Repeat::{self, AtMostOnce, Repeatable};
use routing::outcome::{AbortCause, Progress, classify_abort, refusal_reason};
use routing::records::{BeginResult, Records, RunResult};
use routing::response::{OutcomeKind, for_begin_result, for_outcome};
use routing::retry::{
    Attempts, EligibleServers, Failure, RetryBudget, RetryContext, RetryDecision, RouteChange,
};

const PARTITION: Partition = Partition(3);
const NOW: Millis = Millis(100_000);

#[derive(Debug, PartialEq)]
struct Seen {
    sends: u32,
    runs: u32,
    told: OutcomeKind,
    status: u16,
    /// What a caller is told that sends the same request id again, and the runs after that.
    again: Option<(OutcomeKind, u32)>,
}

/// The owner with its records and the backend server's own count of runs.
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

    /// Handles one attempt that arrives, and that breaks with `failure` if there is one.
    fn handle(&mut self, repeat: Repeat, failure: Option<Failure>) -> Result<(), BeginResult> {
        let runs = u32::from(!matches!(failure, Some(Failure::NotRun(_))));
        if repeat == Repeatable {
            self.runs += runs;
            return Ok(());
        }
        let ticket = match self.records.begin(PARTITION, id_at(NOW.0, 1), 9, NOW) {
            BeginResult::Run(ticket) => ticket,
            begin => return Err(begin),
        };
        self.runs += runs;
        let ended = match failure {
            Some(Failure::NotRun(_)) => RunResult::NotRun,
            Some(Failure::Unknown(_)) => RunResult::Recorded(RecordEnd::Unknown),
            None => RunResult::Recorded(RecordEnd::Answered(answer(1))),
        };
        self.records.finish(ticket, ended);
        Ok(())
    }
}

fn drive(case: Failure, repeat: Repeat, claimed: Repeat) -> Seen {
    let mut owner = Owner::new();
    let mut budget = RetryBudget::new(100);
    budget.deposit();
    let mut attempts = Attempts::default();
    let cx = RetryContext {
        repeat: claimed,
        servers: EligibleServers::Owner,
        time_left: Millis(1_000),
        random: 1,
    };
    let first = owner.handle(repeat, Some(case));
    assert_eq!(first, Ok(()));
    let mut step = attempts.after_failure(case, &cx, &mut budget);
    if matches!(step, RetryDecision::AwaitRoute { .. }) {
        step = attempts.after_route_wait(RouteChange::Changed, &cx, &mut budget);
    }
    if matches!(step, RetryDecision::SendAgain { .. }) {
        // An owner whose own record was lost does not stop the second run.
        if claimed != repeat {
            owner.records.drop_all();
            owner.records.start(PARTITION, Origin::First, NOW);
        }
        let second = owner.handle(repeat, None);
        assert_eq!(second, Ok(()));
        return seen(owner, repeat, 2, None);
    }
    seen(owner, repeat, 1, Some(case))
}

fn seen(mut owner: Owner, repeat: Repeat, sends: u32, failure: Option<Failure>) -> Seen {
    let outcome = match failure {
        None => Outcome::Ran(()),
        Some(Failure::NotRun(reason)) => Outcome::NotRun(reason),
        Some(Failure::Unknown(reason)) => Outcome::Unknown(reason),
    };
    let (status, told) = match for_outcome(&outcome, Millis(1_000)) {
        None => (201, OutcomeKind::Ran),
        Some(answer) => (answer.status, answer.outcome),
    };
    let runs = owner.runs;
    let again = (repeat == AtMostOnce).then(|| match owner.handle(repeat, None) {
        Ok(()) => (OutcomeKind::Ran, owner.runs),
        Err(begin) => {
            (for_begin_result(&begin).map_or(OutcomeKind::Ran, |a| a.outcome), owner.runs)
        }
    });
    Seen { sends, runs, told, status, again }
}

fn broken(progress: Progress, cause: AbortCause) -> Failure {
    classify_abort(progress, cause)
}

fn refused(reason: NotRunReason) -> Failure {
    Failure::NotRun(reason)
}

#[test]
fn table_of_breaks() {
    let check =
        |name, case, repeat, expected: (u32, u32, OutcomeKind, u16, Option<(OutcomeKind, u32)>)| {
            let (sends, runs, told, status, again) = expected;
            let expected = Seen { sends, runs, told, status, again };
            assert_eq!(drive(case, repeat, repeat), expected, "{name}, {repeat:?}");
        };
    let ran_once = (2, 1, OutcomeKind::Ran, 201, Some((OutcomeKind::Ran, 1)));
    let ran_again = |runs| (2, runs, OutcomeKind::Ran, 201, None);
    let unknown_once = (1, 1, OutcomeKind::Unknown, 504, Some((OutcomeKind::Unknown, 1)));
    let not_run = (1, 0, OutcomeKind::NotRun, 503, Some((OutcomeKind::Ran, 1)));

    let safe = [
        ("before connect", broken(Progress::NothingSent, AbortCause::Connection)),
        ("owner moved", refused(NotRunReason::NotOwner)),
        ("owner lost its lease", refused(NotRunReason::NoLease)),
        ("owner drains", refused(NotRunReason::Draining)),
        ("backend server refused", refused(NotRunReason::BackendRefused)),
    ];
    for (name, case) in safe {
        check(name, case, AtMostOnce, ran_once);
        check(name, case, Repeatable, ran_again(1));
    }

    let unsafe_breaks = [
        ("while sending", broken(Progress::Sent, AbortCause::Connection)),
        ("after sending", broken(Progress::Sent, AbortCause::Connection)),
        ("mid-answer", broken(Progress::ResponseStarted, AbortCause::Connection)),
        ("host process killed", broken(Progress::Sent, AbortCause::Connection)),
        ("backend server killed", broken(Progress::Sent, AbortCause::BackendDied)),
    ];
    for (name, case) in unsafe_breaks {
        check(name, case, AtMostOnce, unknown_once);
        check(name, case, Repeatable, ran_again(2));
    }

    let late = broken(Progress::NothingSent, AbortCause::Deadline);
    check("deadline before the start", late, AtMostOnce, not_run);
    check("deadline before the start", late, Repeatable, (1, 0, OutcomeKind::NotRun, 503, None));
}

/// Taken out on purpose: the rule that an unknown outcome is not sent again.
#[test]
fn without_the_rule_a_lost_answer_doubles_the_action() {
    let case = broken(Progress::Sent, AbortCause::Connection);
    let seen = drive(case, AtMostOnce, Repeatable);
    assert_eq!(seen.runs, 2);
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
