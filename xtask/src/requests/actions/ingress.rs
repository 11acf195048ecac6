//! The ingress, which retries requests as the routing crate decides, or after any error.

use model::{Millis, NotRunReason};
use rand::Rng;
use routing::outcome::{AbortCause, Progress, classify_abort};
use routing::retry::{EligibleServers, Failure, RetryContext, RetryDecision, RouteChange};

use super::simulation::{Event, IngressRetry, ReportedOutcome, Simulation};

/// The pause before the first retry after any error; it doubles with each further retry.
const ANY_ERROR_BACKOFF: Millis = Millis(500);

/// The maximum number of sends of a request with retries after any error.
const ANY_ERROR_SENDS: u32 = 3;

impl Simulation {
    pub(super) fn attempt(&mut self, request: usize) {
        if self.requests[request].done {
            return;
        }
        self.requests[request].sends += 1;
        self.attempts += 1;
        let partition = self.actions[self.requests[request].action].partition;
        let unreachable = self.chance(self.faults.not_connected);
        if unreachable || !self.owners[partition].serving {
            return self
                .fail(request, classify_abort(Progress::NothingSent, AbortCause::Connection));
        }
        if self.chance(self.faults.request_lost) {
            return self.fail(request, classify_abort(Progress::Sent, AbortCause::Connection));
        }
        self.arrive(request, partition);
    }

    pub(super) fn time_out(&mut self, request: usize) {
        if !self.requests[request].done {
            self.report_outcome(request, self.requests[request].outcome_at_deadline);
        }
    }

    pub(super) fn fail(&mut self, request: usize, failure: Failure) {
        if self.requests[request].done {
            return;
        }
        self.requests[request].outcome_at_deadline = outcome_of(failure);
        if self.time_left(request) == Millis::ZERO {
            return self.report_outcome(request, outcome_of(failure));
        }
        match self.policy.ingress_retry {
            IngressRetry::RoutingCrate => self.retry_or_report(request, failure),
            IngressRetry::AnyError if self.requests[request].sends < ANY_ERROR_SENDS => {
                let pause_ms = ANY_ERROR_BACKOFF.0 << (self.requests[request].sends - 1);
                self.events.push(self.now + Millis(pause_ms), Event::Attempt { request });
            }
            _ => self.report_outcome(request, outcome_of(failure)),
        }
    }

    fn retry_or_report(&mut self, request: usize, failure: Failure) {
        let cx = self.retry_context(request);
        let attempts = &mut self.requests[request].attempts;
        let decision = attempts.after_failure(failure, &cx, &mut self.budget);
        self.apply(request, decision, failure);
    }

    fn apply(&mut self, request: usize, decision: RetryDecision, failure: Failure) {
        match decision {
            RetryDecision::Answer(_) => self.report_outcome(request, outcome_of(failure)),
            RetryDecision::SendAgain { after } => {
                self.events.push(self.now + after, Event::Attempt { request });
            }
            RetryDecision::AwaitRoute { at_most } => {
                self.requests[request].waiting_since = self.now;
                let partition = self.actions[self.requests[request].action].partition;
                let served_at = self.owners[partition].since;
                let wait_end = self.now + at_most;
                let is_served_in_time = served_at > self.now && served_at <= wait_end;
                let at = if is_served_in_time { served_at } else { wait_end };
                self.events.push(at, Event::RouteWaitEnded { request });
            }
        }
    }

    pub(super) fn route_wait_ended(&mut self, request: usize) {
        if self.requests[request].done {
            return;
        }
        let cx = self.retry_context(request);
        let partition = self.actions[self.requests[request].action].partition;
        let owner = &self.owners[partition];
        let has_new_owner = owner.serving && owner.since > self.requests[request].waiting_since;
        let route = if has_new_owner { RouteChange::Changed } else { RouteChange::Unchanged };
        let attempts = &mut self.requests[request].attempts;
        let decision = attempts.after_route_wait(route, &cx, &mut self.budget);
        self.apply(request, decision, Failure::NotRun(NotRunReason::NoOwner));
    }

    fn retry_context(&mut self, request: usize) -> RetryContext {
        RetryContext {
            repeat: self.policy.repeat,
            servers: EligibleServers::Owner,
            time_left: self.time_left(request),
            random: self.rng.random(),
        }
    }

    fn time_left(&self, request: usize) -> Millis {
        self.requests[request].deadline.since(self.now)
    }
}

fn outcome_of(failure: Failure) -> ReportedOutcome {
    match failure {
        Failure::NotRun(_) => ReportedOutcome::NotRun,
        Failure::Unknown(_) => ReportedOutcome::Unknown,
    }
}
