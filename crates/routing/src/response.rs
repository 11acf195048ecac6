//! What a caller sees of an outcome: the status and the headers.

use model::{Millis, NotRunReason, Outcome, UnknownReason};

use crate::records::BeginResult;

/// The header that says whether the request ran.
pub const OUTCOME_HEADER: &str = "papayarill-outcome";

/// The header that says why.
pub const REASON_HEADER: &str = "papayarill-reason";

/// The header that says that this very send was not run, though an earlier send of the same id may
/// have been. A caller that knows its earlier sends not to have run may mint a new id.
pub const THIS_SEND_HEADER: &str = "papayarill-this-send";

/// The header with the status of an answer that was not kept.
pub const RAN_STATUS_HEADER: &str = "papayarill-ran-status";

/// The header with the time in whole seconds after which sending again makes sense.
pub const RETRY_AFTER_HEADER: &str = "retry-after";

/// The pause that is asked for while nothing better is known.
pub const DEFAULT_RETRY_AFTER: Millis = Millis(1_000);

/// What the caller is told about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutcomeKind {
    /// It ran.
    Ran,
    /// It did not run and will not.
    NotRun,
    /// It may have run, or still runs.
    Unknown,
}

impl OutcomeKind {
    /// Returns the value of [`OUTCOME_HEADER`].
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// An answer of the system itself, without a body of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The HTTP status.
    pub status: u16,
    /// What became of the request.
    pub outcome: OutcomeKind,
    /// The value of [`REASON_HEADER`].
    pub reason: String,
    /// How long the caller should wait before it sends the request again.
    pub retry_after: Option<Millis>,
    /// The status of an answer that was not kept.
    pub ran_status: Option<u16>,
    /// What became of this send, where that is known better than what became of the id.
    pub this_send: Option<OutcomeKind>,
}

impl ErrorResponse {
    fn new(status: u16, outcome: OutcomeKind, reason: impl ToString) -> Self {
        Self {
            status,
            outcome,
            reason: reason.to_string(),
            retry_after: None,
            ran_status: None,
            this_send: None,
        }
    }

    fn retry_after(mut self, span: Millis) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Returns the headers, in lower case.
    pub fn headers(&self) -> Vec<(&'static str, String)> {
        let mut headers = vec![
            (OUTCOME_HEADER, self.outcome.as_str().to_owned()),
            (REASON_HEADER, self.reason.clone()),
        ];
        if let Some(span) = self.retry_after {
            headers.push((RETRY_AFTER_HEADER, whole_seconds(span).to_string()));
        }
        if let Some(outcome) = self.this_send {
            headers.push((THIS_SEND_HEADER, outcome.as_str().to_owned()));
        }
        if let Some(status) = self.ran_status {
            headers.push((RAN_STATUS_HEADER, status.to_string()));
        }
        headers
    }
}

fn whole_seconds(span: Millis) -> u64 {
    span.0.div_ceil(1_000).max(1)
}

/// Returns what the caller is told of a request without an answer; `None` if it ran.
pub fn for_outcome<T>(outcome: &Outcome<T>, retry_after: Millis) -> Option<ErrorResponse> {
    match outcome {
        Outcome::Ran(_) => None,
        Outcome::NotRun(reason) => Some(not_run(*reason, retry_after)),
        Outcome::Unknown(reason) => Some(unknown(*reason)),
    }
}

/// Returns what the caller is told of a request that was not run.
pub fn not_run(reason: NotRunReason, retry_after: Millis) -> ErrorResponse {
    match reason {
        NotRunReason::Quarantined => ErrorResponse::new(422, OutcomeKind::NotRun, reason),
        _ => ErrorResponse::new(503, OutcomeKind::NotRun, reason).retry_after(retry_after),
    }
}

/// Returns what the caller is told of a request that may have run.
pub fn unknown(reason: UnknownReason) -> ErrorResponse {
    match reason {
        UnknownReason::NotVouched => not_vouched(reason),
        _ => ErrorResponse::new(504, OutcomeKind::Unknown, reason),
    }
}

/// The records refused this send before anything ran.
fn not_vouched(reason: impl ToString) -> ErrorResponse {
    let mut answer =
        ErrorResponse::new(504, OutcomeKind::Unknown, reason).retry_after(DEFAULT_RETRY_AFTER);
    answer.this_send = Some(OutcomeKind::NotRun);
    answer
}

/// Returns what the caller is told of a request that is malformed, so that it was not run.
pub fn malformed(reason: &str) -> ErrorResponse {
    ErrorResponse::new(400, OutcomeKind::NotRun, reason)
}

/// Returns what the caller is told when the records do not let the request run; `None` if it
/// runs, or if the kept answer is to be sent.
pub fn for_begin_result(begin: &BeginResult) -> Option<ErrorResponse> {
    let answer = match begin {
        BeginResult::Run(_) | BeginResult::Replay(_) => return None,
        BeginResult::Running => ErrorResponse::new(409, OutcomeKind::Unknown, "running")
            .retry_after(DEFAULT_RETRY_AFTER),
        BeginResult::ResponseNotKept { status } => ran_not_kept(*status),
        BeginResult::Unknown => unknown(UnknownReason::NotVouched),
        BeginResult::TooOld => not_vouched("id-too-old"),
        BeginResult::DigestMismatch => {
            ErrorResponse::new(422, OutcomeKind::NotRun, "id-of-other-request")
        }
        BeginResult::FromFuture => ErrorResponse::new(400, OutcomeKind::NotRun, "id-from-future"),
        BeginResult::Full => not_run(NotRunReason::Overloaded, DEFAULT_RETRY_AFTER),
        BeginResult::NotServed => not_run(NotRunReason::NotOwner, DEFAULT_RETRY_AFTER),
    };
    Some(answer)
}

fn ran_not_kept(status: u16) -> ErrorResponse {
    // The status of the first run would make the empty body look like the whole answer.
    let mut answer = ErrorResponse::new(410, OutcomeKind::Ran, "answer-not-kept");
    answer.ran_status = Some(status);
    answer
}
