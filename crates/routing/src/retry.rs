//! Decides whether and when a failed request is retried.
//!
//! Two questions are kept apart. Whether a retry is safe depends on the outcome: always after
//! `NotRun`, and only for an idempotent request after `Unknown`. Whether a retry is affordable
//! depends on the load that it adds. Retries that reach a backend server again are charged to a
//! retry budget. Retries that follow a partition to its new owner are free, because the first
//! attempt did not run anywhere, and because a request waits for a newer route before it is sent
//! again.

use model::{Millis, NotRunReason, UnknownReason, derive_common};
use papayarill_config::RetrySafety;

/// The maximum number of attempts of one request at backend servers, not counting reroutes.
pub const MAX_ATTEMPTS: u32 = 4;

/// How many times one request may follow its partition to a new owner, or go to another server
/// because one is draining, without charging the budget.
pub const MAX_FREE_REROUTES: u32 = 8;

/// How many times one request may be sent again, without charging the budget, to an owner that
/// refused it and whose route stays the same. That owner may be serving the partition again because
/// the move was cancelled.
pub const MAX_FREE_SAME_OWNER_RETRIES: u32 = 2;

/// The maximum number of retries that a budget accumulates.
pub const RETRY_BUDGET_CAPACITY: u64 = 10;

/// The mean delay before the first retry. It doubles with each further retry.
const BASE_BACKOFF: Millis = Millis(20);

/// The upper bound of the mean delay.
const MAX_BACKOFF: Millis = Millis(500);

/// The mean time to wait for a newer route before the same owner may be tried again.
const MEAN_ROUTE_WAIT: Millis = Millis(1_000);

/// The cost of one retry, in hundredths of a retry.
const RETRY_COST: u64 = 100;

/// The retry budget of one service: retries are limited to a percentage of first attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    retry_percent: u32,
    /// In hundredths of a retry.
    balance: u64,
}

impl RetryBudget {
    /// Creates an empty budget that allows `retry_percent` retries per 100 first attempts.
    pub fn new(retry_percent: u32) -> Self {
        Self { retry_percent, balance: 0 }
    }

    /// Returns how many whole retries are available.
    pub fn available(&self) -> u64 {
        self.balance / RETRY_COST
    }
}

/// Commands.
impl RetryBudget {
    /// Sets the percentage from a new configuration and keeps the balance.
    pub fn set_retry_percent(&mut self, retry_percent: u32) {
        self.retry_percent = retry_percent;
    }

    /// Credits the budget for a first attempt.
    pub fn deposit(&mut self) {
        let increased = self.balance + u64::from(self.retry_percent);
        self.balance = increased.min(RETRY_BUDGET_CAPACITY * RETRY_COST);
    }

    /// Charges the budget for one retry. Returns `false` if the balance is too low.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(remaining) = self.balance.checked_sub(RETRY_COST) else {
            return false;
        };
        self.balance = remaining;
        true
    }
}

derive_common! {
    value
    /// Why an attempt got no response.
    pub enum Failure {
        /// No backend server ran it.
        NotRun(NotRunReason),
        /// A backend server may have run it.
        Unknown(UnknownReason),
    }
}

derive_common! {
    value
    /// Which backend servers may serve a request.
    pub enum EligibleServers {
        /// Only that of the owner of its partition.
        Owner,
        /// Any backend server of the service.
        Any,
    }
}

derive_common! {
    value
    /// Whether the route of a partition changed.
    pub enum RouteChange {
        /// The partition has another owner, or its owner has a higher fence.
        Changed,
        /// No newer route is known.
        Unchanged,
    }
}

derive_common! {
    value
    /// Why a request is not retried.
    pub enum StopReason {
        /// A retry would be unsafe or pointless.
        Final,
        /// Too little time is left until the deadline.
        NoTime,
        /// The retry budget of the service is exhausted.
        NoBudget,
        /// The request reached the maximum number of attempts.
        TooManySends,
    }
}

derive_common! {
    value
    /// What to do after an attempt without a response.
    pub enum RetryDecision {
        /// Wait and retry. If any backend server may serve the request, choose one again.
        SendAgain {
            /// The delay.
            after: Millis,
        },
        /// Mark the route as stale, wait for a newer one, and call
        /// [`Attempts::after_route_wait`].
        AwaitRoute {
            /// The longest time to wait.
            at_most: Millis,
        },
        /// Report the outcome of the failed attempts to the caller.
        Answer(StopReason),
    }
}

/// The inputs of a retry decision besides the failure.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext {
    /// Whether the request is idempotent.
    pub repeat: RetrySafety,
    /// Which backend servers may serve it.
    pub servers: EligibleServers,
    /// The time left until the deadline.
    pub time_left: Millis,
    /// A random number for the jitter.
    pub random: u64,
}

/// The retry state of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    retries: u32,
    reroutes: u32,
    same_owner_retries: u32,
    refused_by_owner: bool,
    /// The reason of the first attempt whose outcome is unknown, if there was one.
    unknown_reason: Option<UnknownReason>,
}

impl Attempts {
    /// Returns the failure of the request as a whole, after its last attempt ended with `failure`.
    ///
    /// If the last attempt was not run but an earlier one may have run, the outcome of the request
    /// is unknown.
    pub fn overall_failure(&self, failure: Failure) -> Failure {
        match (failure, self.unknown_reason) {
            (Failure::NotRun(_), Some(reason)) => Failure::Unknown(reason),
            _ => failure,
        }
    }

    /// Decides what to do after an attempt without a response.
    ///
    /// Must not be called once part of a response was sent to the caller: the only correct action
    /// then is to close the caller's connection.
    pub fn after_failure(
        &mut self,
        failure: Failure,
        cx: &RetryContext,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        if let Failure::Unknown(reason) = failure {
            self.unknown_reason = self.unknown_reason.or(Some(reason));
        }
        match strategy(failure, cx) {
            Strategy::GiveUp => RetryDecision::Answer(StopReason::Final),
            Strategy::FollowOwner => {
                self.refused_by_owner = released_partition(failure);
                self.await_route(cx)
            }
            Strategy::OtherServer => self.retry_other_server(cx, budget),
            Strategy::Retry => self.retry_within_budget(cx, budget),
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
        if route == RouteChange::Changed && self.reroutes < MAX_FREE_REROUTES {
            self.reroutes += 1;
            return RetryDecision::SendAgain { after: Millis::ZERO };
        }
        if self.refused_by_owner && self.same_owner_retries < MAX_FREE_SAME_OWNER_RETRIES {
            self.same_owner_retries += 1;
            return RetryDecision::SendAgain { after: Millis::ZERO };
        }
        // An owner that did not respond may be dead, so trying it again is charged to the budget.
        if budget.try_withdraw() {
            return RetryDecision::SendAgain { after: Millis::ZERO };
        }
        self.await_route(cx)
    }

    fn await_route(&self, cx: &RetryContext) -> RetryDecision {
        if cx.time_left == Millis::ZERO {
            return RetryDecision::Answer(StopReason::NoTime);
        }
        let wait = jittered(MEAN_ROUTE_WAIT, cx.random);
        RetryDecision::AwaitRoute { at_most: wait.min(cx.time_left) }
    }

    fn retry_other_server(&mut self, cx: &RetryContext, budget: &mut RetryBudget) -> RetryDecision {
        if self.reroutes >= MAX_FREE_REROUTES {
            return self.retry_within_budget(cx, budget);
        }
        let after = backoff(self.reroutes, cx.random);
        if after >= cx.time_left {
            return RetryDecision::Answer(StopReason::NoTime);
        }
        self.reroutes += 1;
        RetryDecision::SendAgain { after }
    }

    fn retry_within_budget(
        &mut self,
        cx: &RetryContext,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        if self.retries + 1 >= MAX_ATTEMPTS {
            return RetryDecision::Answer(StopReason::TooManySends);
        }
        let after = backoff(self.retries, cx.random);
        if after >= cx.time_left {
            return RetryDecision::Answer(StopReason::NoTime);
        }
        if !budget.try_withdraw() {
            return RetryDecision::Answer(StopReason::NoBudget);
        }
        self.retries += 1;
        RetryDecision::SendAgain { after }
    }
}

/// How to handle a failed attempt, before limits and the budget are applied.
enum Strategy {
    /// A retry is unsafe or pointless.
    GiveUp,
    /// Wait for a newer route: the partition moved, or its owner is lost.
    FollowOwner,
    /// Retry on another backend server. Free of charge, as a draining server rightly refuses.
    OtherServer,
    /// Retry, charged to the budget.
    Retry,
}

/// Returns whether the owner is alive and has stopped serving the partition.
fn released_partition(failure: Failure) -> bool {
    matches!(failure, Failure::NotRun(NotRunReason::NotOwner | NotRunReason::Draining))
}

fn strategy(failure: Failure, cx: &RetryContext) -> Strategy {
    match failure {
        Failure::NotRun(reason) => strategy_after_not_run(reason, cx.servers),
        Failure::Unknown(UnknownReason::HistoryIncomplete) => Strategy::GiveUp,
        Failure::Unknown(_) if cx.repeat == RetrySafety::Idempotent => Strategy::Retry,
        Failure::Unknown(_) => Strategy::GiveUp,
    }
}

fn strategy_after_not_run(reason: NotRunReason, servers: EligibleServers) -> Strategy {
    match (reason, servers) {
        (
            NotRunReason::NotOwner
            | NotRunReason::NoLease
            | NotRunReason::NoOwner
            | NotRunReason::Draining
            | NotRunReason::NotConnected
            | NotRunReason::StaleConfig,
            EligibleServers::Owner,
        ) => Strategy::FollowOwner,
        (NotRunReason::Draining, EligibleServers::Any) => Strategy::OtherServer,
        (
            NotRunReason::NotOwner
            | NotRunReason::NoLease
            | NotRunReason::NoOwner
            | NotRunReason::NotConnected
            | NotRunReason::StaleConfig
            | NotRunReason::Overloaded,
            EligibleServers::Any,
        ) => Strategy::Retry,
        (NotRunReason::BackendRefused, _) => Strategy::Retry,
        // Only the owner can serve this, and it is shedding load: a retry would add to the load.
        (NotRunReason::Overloaded, EligibleServers::Owner) => Strategy::GiveUp,
        (
            NotRunReason::Deadline
            | NotRunReason::Quarantined
            | NotRunReason::RetryBudget
            | NotRunReason::Abandoned,
            _,
        ) => Strategy::GiveUp,
    }
}

fn backoff(previous: u32, random: u64) -> Millis {
    let mean = BASE_BACKOFF.0 << previous.min(16);
    jittered(Millis(mean.min(MAX_BACKOFF.0)), random)
}

/// Returns a delay distributed uniformly between half and one and a half times the mean.
fn jittered(mean: Millis, random: u64) -> Millis {
    Millis(mean.0 / 2 + random % mean.0.max(1))
}
