//! Decides whether a request is sent again, and when.
//!
//! Two questions are kept apart. Whether sending again is safe depends on the outcome: after
//! `NotRun` always, after `Unknown` only for an idempotent request. Whether it is wise depends on
//! the load that it adds: re-sends that hit a backend server a second time are paid from a
//! budget, re-sends that follow a moved owner are not, because the first send ran nowhere and a
//! request waits for a newer route before it follows.

use model::{Millis, NotRunReason, UnknownReason, derive_common};
use papayarill_config::Repeat;

/// The most sends of one request to backend servers, moves not counted.
pub const MAX_ATTEMPTS: u32 = 4;

/// The most times that one request follows a moved owner without payment.
pub const MAX_FREE_REROUTES: u32 = 8;

/// The most times that one request is sent without payment to an owner that refused it and whose
/// route stays the same: its move may have been called off.
pub const MAX_FREE_SAME_OWNER_RETRIES: u32 = 2;

/// The most re-sends that the budget saves up while all is well.
pub const RETRY_BUDGET_CAPACITY: u64 = 10;

/// The mean pause before the first re-send; it doubles with each further one.
const FIRST_BACKOFF: Millis = Millis(20);

/// The longest mean pause.
const MAX_BACKOFF: Millis = Millis(500);

/// The mean wait for a newer route before the same owner may be tried again.
const ROUTE_WAIT: Millis = Millis(1_000);

/// The cost of one re-send, in hundredths.
const RETRY_COST: u64 = 100;

/// How many re-sends one service may make: a share of its first attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    retry_percent: u32,
    hundredths: u64,
}

impl RetryBudget {
    /// Makes an empty budget that gains `retry_percent` re-sends per 100 first attempts.
    pub fn new(retry_percent: u32) -> Self {
        Self { retry_percent, hundredths: 0 }
    }

    /// Returns how many whole re-sends are left.
    pub fn available(&self) -> u64 {
        self.hundredths / RETRY_COST
    }
}

/// Commands.
impl RetryBudget {
    /// Takes over the share of a new configuration and keeps what was saved.
    pub fn set_retry_percent(&mut self, retry_percent: u32) {
        self.retry_percent = retry_percent;
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        let gained = self.hundredths + u64::from(self.retry_percent);
        self.hundredths = gained.min(RETRY_BUDGET_CAPACITY * RETRY_COST);
    }

    /// Pays for one re-send and returns whether there was enough for it.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(rest) = self.hundredths.checked_sub(RETRY_COST) else {
            return false;
        };
        self.hundredths = rest;
        true
    }
}

derive_common! {
    value
    /// Why an attempt gave no answer.
    pub enum Failure {
        /// No backend server ran it.
        NotRun(NotRunReason),
        /// A backend server may have run it.
        Unknown(UnknownReason),
    }
}

derive_common! {
    value
    /// Who may serve a request.
    pub enum EligibleServers {
        /// Only the owner of its partition.
        Owner,
        /// Any backend server of the service.
        Any,
    }
}

derive_common! {
    value
    /// What came of the wait for a newer route.
    pub enum RouteChange {
        /// Another owner or a higher fence is known.
        Changed,
        /// Nothing newer is known.
        Unchanged,
    }
}

derive_common! {
    value
    /// Why a request is not sent again.
    pub enum StopReason {
        /// Sending again would be unsafe or pointless.
        Final,
        /// The time left does not reach.
        NoTime,
        /// The service's budget is used up.
        NoBudget,
        /// The request was sent often enough.
        TooManySends,
    }
}

derive_common! {
    value
    /// What to do after an attempt without an answer.
    pub enum RetryDecision {
        /// Wait and send again; if any backend server may serve, choose anew.
        SendAgain {
            /// The pause.
            after: Millis,
        },
        /// Mark the route as moved and wait until a newer one is known, but not for longer than
        /// this. Then ask [`Attempts::after_route_wait`].
        AwaitRoute {
            /// The longest wait.
            at_most: Millis,
        },
        /// Answer the caller with the outcome at hand.
        Answer(StopReason),
    }
}

/// What a decision depends on besides the failure.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext {
    /// Whether the request is idempotent.
    pub repeat: Repeat,
    /// Who may serve it.
    pub servers: EligibleServers,
    /// The time left until the deadline.
    pub time_left: Millis,
    /// A random number for the jitter.
    pub random: u64,
}

/// How often one request was sent so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    resends: u32,
    moves: u32,
    probes: u32,
    refused_by_owner: bool,
    /// Why it is unknown whether an earlier attempt ran.
    doubt: Option<UnknownReason>,
}

impl Attempts {
    /// Returns what is known of the request as a whole after an attempt failed like this.
    ///
    /// That one attempt did not run says nothing about an earlier one that may have run.
    pub fn overall_failure(&self, failure: Failure) -> Failure {
        match (failure, self.doubt) {
            (Failure::NotRun(_), Some(reason)) => Failure::Unknown(reason),
            _ => failure,
        }
    }

    /// Decides what to do after an attempt without an answer.
    ///
    /// Not to be asked once a part of an answer went to the caller: then the only truthful step
    /// is to break the caller's connection.
    pub fn after_failure(
        &mut self,
        failure: Failure,
        cx: &RetryContext,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        if let Failure::Unknown(reason) = failure {
            self.doubt = self.doubt.or(Some(reason));
        }
        match advice(failure, cx) {
            Advice::GiveUp => RetryDecision::Answer(StopReason::Final),
            Advice::Follow => {
                self.refused_by_owner = gives_up_partition(failure);
                self.await_route(cx)
            }
            Advice::Elsewhere => self.move_on(cx, budget),
            Advice::Again => self.send_again(cx, budget),
        }
    }

    /// Decides what to do after the wait for a newer route.
    pub fn after_route_wait(
        &mut self,
        route: RouteChange,
        cx: &RetryContext,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        if cx.time_left == Millis::ZERO {
            return RetryDecision::Answer(StopReason::NoTime);
        }
        if route == RouteChange::Changed && self.moves < MAX_FREE_REROUTES {
            self.moves += 1;
            return RetryDecision::SendAgain { after: Millis::ZERO };
        }
        if self.refused_by_owner && self.probes < MAX_FREE_SAME_OWNER_RETRIES {
            self.probes += 1;
            return RetryDecision::SendAgain { after: Millis::ZERO };
        }
        // An owner that did not answer may be dead, so it is tried only within the budget.
        if budget.try_withdraw() {
            return RetryDecision::SendAgain { after: Millis::ZERO };
        }
        self.await_route(cx)
    }

    fn await_route(&self, cx: &RetryContext) -> RetryDecision {
        if cx.time_left == Millis::ZERO {
            return RetryDecision::Answer(StopReason::NoTime);
        }
        let wait = jittered(ROUTE_WAIT, cx.random);
        RetryDecision::AwaitRoute { at_most: wait.min(cx.time_left) }
    }

    fn move_on(&mut self, cx: &RetryContext, budget: &mut RetryBudget) -> RetryDecision {
        if self.moves >= MAX_FREE_REROUTES {
            return self.send_again(cx, budget);
        }
        let after = backoff(self.moves, cx.random);
        if after >= cx.time_left {
            return RetryDecision::Answer(StopReason::NoTime);
        }
        self.moves += 1;
        RetryDecision::SendAgain { after }
    }

    fn send_again(&mut self, cx: &RetryContext, budget: &mut RetryBudget) -> RetryDecision {
        if self.resends + 1 >= MAX_ATTEMPTS {
            return RetryDecision::Answer(StopReason::TooManySends);
        }
        let after = backoff(self.resends, cx.random);
        if after >= cx.time_left {
            return RetryDecision::Answer(StopReason::NoTime);
        }
        if !budget.try_withdraw() {
            return RetryDecision::Answer(StopReason::NoBudget);
        }
        self.resends += 1;
        RetryDecision::SendAgain { after }
    }
}

enum Advice {
    /// Sending again is unsafe or pointless.
    GiveUp,
    /// The owner has moved or is lost.
    Follow,
    /// Another backend server can serve, and this one was right to refuse.
    Elsewhere,
    /// The same request may go to a backend server again.
    Again,
}

/// Returns whether the owner is alive and has just stopped serving the partition.
fn gives_up_partition(failure: Failure) -> bool {
    matches!(failure, Failure::NotRun(NotRunReason::NotOwner | NotRunReason::Draining))
}

fn advice(failure: Failure, cx: &RetryContext) -> Advice {
    match failure {
        Failure::NotRun(reason) => after_not_run(reason, cx.servers),
        Failure::Unknown(UnknownReason::NotVouched) => Advice::GiveUp,
        Failure::Unknown(_) if cx.repeat == Repeat::Repeatable => Advice::Again,
        Failure::Unknown(_) => Advice::GiveUp,
    }
}

fn after_not_run(reason: NotRunReason, servers: EligibleServers) -> Advice {
    match (reason, servers) {
        (
            NotRunReason::NotOwner
            | NotRunReason::NoLease
            | NotRunReason::NoOwner
            | NotRunReason::Draining
            | NotRunReason::NotConnected
            | NotRunReason::StaleConfig,
            EligibleServers::Owner,
        ) => Advice::Follow,
        (NotRunReason::Draining, EligibleServers::Any) => Advice::Elsewhere,
        (
            NotRunReason::NotOwner
            | NotRunReason::NoLease
            | NotRunReason::NoOwner
            | NotRunReason::NotConnected
            | NotRunReason::StaleConfig
            | NotRunReason::Overloaded,
            EligibleServers::Any,
        ) => Advice::Again,
        (NotRunReason::BackendRefused, _) => Advice::Again,
        // The one owner sheds because it has too much work; sending again adds to it.
        (NotRunReason::Overloaded, EligibleServers::Owner) => Advice::GiveUp,
        (
            NotRunReason::Deadline
            | NotRunReason::Quarantined
            | NotRunReason::RetryBudget
            | NotRunReason::Abandoned,
            _,
        ) => Advice::GiveUp,
    }
}

fn backoff(earlier: u32, random: u64) -> Millis {
    let mean = FIRST_BACKOFF.0 << earlier.min(16);
    jittered(Millis(mean.min(MAX_BACKOFF.0)), random)
}

/// Spreads a pause evenly over half to one and a half of its mean.
fn jittered(mean: Millis, random: u64) -> Millis {
    Millis(mean.0 / 2 + random % mean.0.max(1))
}
