//! The ingress: what it sends again, by the shipped decisions or by a plain rule.

use model::{Millis, NotRunReason};
use rand::Rng;
use routing::outcome::{AbortCause, Progress, classify_abort};
use routing::retry::{EligibleServers, Failure, RetryContext, RetryDecision, RouteChange};

use super::world::{Event, Known, Resend, World};

/// The pause before the plain ingress sends again; it doubles with each further send.
const PLAIN_BACKOFF: Millis = Millis(500);

/// How often the plain ingress sends one request.
const PLAIN_SENDS: u32 = 3;

impl World {
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
            self.tell(request, self.requests[request].at_deadline);
        }
    }

    pub(super) fn fail(&mut self, request: usize, failure: Failure) {
        if self.requests[request].done {
            return;
        }
        self.requests[request].at_deadline = known(failure);
        if self.time_left(request) == Millis::ZERO {
            return self.tell(request, known(failure));
        }
        match self.policy.resend {
            Resend::Decided => self.decide(request, failure),
            Resend::Any if self.requests[request].sends < PLAIN_SENDS => {
                let pause = PLAIN_BACKOFF.0 << (self.requests[request].sends - 1);
                self.events.push(self.now + Millis(pause), Event::Attempt { request });
            }
            _ => self.tell(request, known(failure)),
        }
    }

    fn decide(&mut self, request: usize, failure: Failure) {
        let cx = self.retry_context(request);
        let attempts = &mut self.requests[request].attempts;
        let step = attempts.after_failure(failure, &cx, &mut self.budget);
        self.carry_out(request, step, failure);
    }

    fn carry_out(&mut self, request: usize, step: RetryDecision, failure: Failure) {
        match step {
            RetryDecision::Answer(_) => self.tell(request, known(failure)),
            RetryDecision::SendAgain { after } => {
                self.events.push(self.now + after, Event::Attempt { request });
            }
            RetryDecision::AwaitRoute { at_most } => {
                self.requests[request].waiting_since = self.now;
                let partition = self.actions[self.requests[request].action].partition;
                let served_at = self.owners[partition].since;
                let ends = self.now + at_most;
                let newer = served_at > self.now && served_at <= ends;
                let at = if newer { served_at } else { ends };
                self.events.push(at, Event::RouteWaited { request });
            }
        }
    }

    pub(super) fn route_waited(&mut self, request: usize) {
        if self.requests[request].done {
            return;
        }
        let cx = self.retry_context(request);
        let partition = self.actions[self.requests[request].action].partition;
        let owner = &self.owners[partition];
        let newer = owner.serving && owner.since > self.requests[request].waiting_since;
        let route = if newer { RouteChange::Changed } else { RouteChange::Unchanged };
        let attempts = &mut self.requests[request].attempts;
        let step = attempts.after_route_wait(route, &cx, &mut self.budget);
        self.carry_out(request, step, Failure::NotRun(NotRunReason::NoOwner));
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

fn known(failure: Failure) -> Known {
    match failure {
        Failure::NotRun(_) => Known::NotRun,
        Failure::Unknown(_) => Known::Unknown,
    }
}
