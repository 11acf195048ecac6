//! Status and headers of the responses to callers.

use model::{Millis, NotRunReason, Outcome, UnknownReason};
use routing::records::BeginResult;
use routing::response::{ErrorResponse, for_begin_result, for_outcome, malformed};

fn text(response: &ErrorResponse) -> String {
    let headers: Vec<String> = response.headers().iter().map(|(n, v)| format!("{n}={v}")).collect();
    let text = format!("{} {}", response.status, headers.join(" "));
    text.replace("papayarill-", "")
}

#[test]
fn responses_to_outcomes() {
    let check = |outcome: Outcome<()>, expected: &str| {
        let response = for_outcome(&outcome, Millis(1_001));
        assert_eq!(response.as_ref().map(text).unwrap_or_default(), expected);
    };
    check(Outcome::Ran(()), "");
    let overloaded = "503 outcome=not-run reason=overloaded retry-after=2";
    check(Outcome::NotRun(NotRunReason::Overloaded), overloaded);
    check(Outcome::NotRun(NotRunReason::Quarantined), "422 outcome=not-run reason=quarantined");
    check(Outcome::Unknown(UnknownReason::Timeout), "504 outcome=unknown reason=timeout");
    let invalid = Outcome::Unknown(UnknownReason::InvalidResponse);
    check(invalid, "502 outcome=unknown reason=invalid-answer");
}

#[test]
fn responses_to_requests_that_may_not_run() {
    let check = |begin: BeginResult, expected: &str| {
        assert_eq!(for_begin_result(&begin).as_ref().map(text).unwrap_or_default(), expected);
    };
    check(BeginResult::Running, "409 outcome=unknown reason=running retry-after=1");
    let not_kept = "410 outcome=ran reason=answer-not-kept ran-status=200";
    check(BeginResult::ResponseNotKept { status: 200 }, not_kept);
    check(
        BeginResult::Unknown,
        "504 outcome=unknown reason=not-vouched retry-after=1 this-send=not-run",
    );
    check(
        BeginResult::TooOld,
        "504 outcome=unknown reason=id-too-old retry-after=1 this-send=not-run",
    );
    check(BeginResult::DigestMismatch, "422 outcome=not-run reason=id-of-other-request");
    check(BeginResult::FromFuture, "400 outcome=not-run reason=id-from-future");
    check(BeginResult::Full, "503 outcome=not-run reason=overloaded retry-after=1");
    check(BeginResult::NotServed, "503 outcome=not-run reason=not-owner retry-after=1");
    assert_eq!(text(&malformed("no-key")), "400 outcome=not-run reason=no-key");
}
