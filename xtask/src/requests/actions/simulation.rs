//! The state of the simulation, and the callers with their actions.

use model::{Millis, RequestId};
use ownership::Origin;
use papayarill_config::RetrySafety;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use routing::records::RunHandle;
use routing::retry::{Attempts, RetryBudget};
use uuid::Uuid;

use super::owner::Owner;
use crate::requests::event_queue::EventQueue;

const SEED: u64 = 7;

/// The number of partitions; each has an owner of its own.
pub(super) const PARTITIONS: usize = 24;

/// The time of day at the start; request ids contain the time.
pub(super) const START: Millis = Millis(1_000_000);

/// How long callers start new actions.
pub(super) const DURATION: Millis = Millis(120_000);

/// The time limit of a request, for the caller as well as in the rule.
const TIME_LIMIT: Millis = Millis(3_000);

/// The pause before a caller sends an action again.
const CALLER_PAUSE: Millis = Millis(1_000);

/// The maximum difference between the clock of a caller and that of the hosts.
const MAX_CALLER_SKEW_MS: u64 = 200;

/// The injected faults; rates are per thousand sends.
#[derive(Clone, Copy)]
pub(super) struct Faults {
    pub not_connected: u32,
    pub request_lost: u32,
    pub response_lost: u32,
    pub refused: u32,
    /// Runs that end after the time limit of the request.
    pub late_runs: u32,
    /// The time between two losses of an owner.
    pub loss_interval: Option<Millis>,
    /// The time between two planned moves.
    pub move_interval: Option<Millis>,
}

/// The outcome of an action, as reported to its caller.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ReportedOutcome {
    Ran,
    NotRun,
    /// This send did not run; an earlier one with the same id may have.
    OnlyThisSendNotRun,
    Unknown,
}

/// When an ingress retries a failed request.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum IngressRetry {
    /// As the routing crate decides.
    RoutingCrate,
    /// After any error or timeout.
    AnyError,
    Never,
}

/// Which request ids a caller generates.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum IdScheme {
    None,
    /// One per action, and another one only once no send with the first can have run.
    PerAction,
    /// One per action, whatever outcome is reported.
    Fixed,
    PerSend,
}

#[derive(Clone, Copy)]
pub(super) struct Policy {
    pub name: &'static str,
    pub ingress_retry: IngressRetry,
    pub id_scheme: IdScheme,
    /// The maximum number of sends of an action that is not known to have run.
    pub caller_sends: u32,
    pub repeat: RetrySafety,
}

impl Policy {
    /// Creates a policy for requests that run at most once.
    pub(super) const fn new(
        name: &'static str,
        ingress_retry: IngressRetry,
        id_scheme: IdScheme,
        caller_sends: u32,
    ) -> Self {
        Self { name, ingress_retry, id_scheme, caller_sends, repeat: RetrySafety::AtMostOnce }
    }
}

/// An operation that a caller wants to run exactly once.
pub(super) struct Action {
    pub id: Option<RequestId>,
    pub partition: usize,
    pub sends: u32,
    pub runs: u32,
    pub reported: ReportedOutcome,
    /// Whether the outcome of an earlier send is unknown, so that `not-run` does not hold for the
    /// whole action.
    pub has_unknown_send: bool,
}

/// One send of a caller.
pub(super) struct Request {
    pub action: usize,
    pub id: Option<RequestId>,
    pub deadline: Millis,
    pub attempts: Attempts,
    pub sends: u32,
    pub waiting_since: Millis,
    /// The outcome that is reported if the deadline passes now.
    pub outcome_at_deadline: ReportedOutcome,
    pub done: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    CallerSends { action: usize },
    Attempt { request: usize },
    RouteWaitEnded { request: usize },
    RunEnds { request: usize, run_handle: Option<RunHandle> },
    TimedOut { request: usize },
    LoseOwner,
    MoveOwner,
    Served { partition: usize, origin: Origin },
    Expire,
}

pub(super) struct Simulation {
    pub policy: Policy,
    pub faults: Faults,
    pub rng: StdRng,
    pub now: Millis,
    pub events: EventQueue<Millis, Event>,
    pub owners: Vec<Owner>,
    pub actions: Vec<Action>,
    pub requests: Vec<Request>,
    pub budget: RetryBudget,
    pub attempts: u64,
    pub backend_attempts: u64,
}

impl Simulation {
    pub(super) fn new(policy: Policy, faults: Faults) -> Self {
        let owners = (0..PARTITIONS).map(Owner::new).collect();
        let mut events = EventQueue::new();
        events.push(START, Event::Expire);
        if let Some(interval) = faults.loss_interval {
            events.push(START + interval, Event::LoseOwner);
        }
        if let Some(interval) = faults.move_interval {
            events.push(START + Millis(interval.0 / 2), Event::MoveOwner);
        }
        let rng = StdRng::seed_from_u64(SEED);
        let budget = RetryBudget::new(10);
        let (actions, requests) = (Vec::new(), Vec::new());
        let (attempts, backend_attempts) = (0, 0);
        Self {
            policy,
            faults,
            rng,
            now: START,
            events,
            owners,
            actions,
            requests,
            budget,
            attempts,
            backend_attempts,
        }
    }

    /// Starts `count` actions, evenly spread over the duration, and runs until all of them have
    /// ended.
    pub(super) fn run(mut self, count: usize) -> Self {
        for action in 0..count {
            let offset = DURATION.0 * as_u64(action) / as_u64(count);
            let partition = self.rng.random_range(0..PARTITIONS);
            self.actions.push(Action::new(partition));
            self.events.push(START + Millis(offset), Event::CallerSends { action });
        }
        while let Some((at, event)) = self.events.pop() {
            self.now = at;
            self.handle(event);
        }
        self
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::CallerSends { action } => self.caller_sends(action),
            Event::Attempt { request } => self.attempt(request),
            Event::RouteWaitEnded { request } => self.route_wait_ended(request),
            Event::RunEnds { request, run_handle } => self.run_ends(request, run_handle),
            Event::TimedOut { request } => self.time_out(request),
            Event::LoseOwner => self.lose_owner(),
            Event::MoveOwner => self.move_owner(),
            Event::Served { partition, origin } => self.served(partition, origin),
            Event::Expire => self.expire(),
        }
    }

    pub(super) fn chance(&mut self, thousandths: u32) -> bool {
        self.rng.random_ratio(thousandths, 1_000)
    }

    fn generate_id(&mut self) -> RequestId {
        let generated_at =
            self.now.0 - MAX_CALLER_SKEW_MS + self.rng.random_range(0..2 * MAX_CALLER_SKEW_MS);
        let random: u64 = self.rng.random();
        let bits = u128::from(generated_at) << 80 | 7 << 76 | 2 << 62 | u128::from(random >> 2);
        RequestId::try_from(Uuid::from_u128(bits)).expect("the bits form a version 7 UUID")
    }
}

/// The callers.
impl Simulation {
    fn caller_sends(&mut self, action: usize) {
        let id = match self.policy.id_scheme {
            IdScheme::None => None,
            IdScheme::PerSend => Some(self.generate_id()),
            IdScheme::PerAction | IdScheme::Fixed => {
                let current_id = self.actions[action].id;
                Some(current_id.unwrap_or_else(|| self.generate_id()))
            }
        };
        self.actions[action].id = id;
        self.actions[action].sends += 1;
        let request = self.requests.len();
        let deadline = self.now + TIME_LIMIT;
        self.requests.push(Request {
            action,
            id,
            deadline,
            attempts: Attempts::default(),
            sends: 0,
            waiting_since: self.now,
            outcome_at_deadline: ReportedOutcome::NotRun,
            done: false,
        });
        self.budget.deposit();
        self.events.push(deadline, Event::TimedOut { request });
        self.events.push(self.now, Event::Attempt { request });
    }

    pub(super) fn report_outcome(&mut self, request: usize, reported: ReportedOutcome) {
        self.requests[request].done = true;
        let action_index = self.requests[request].action;
        let action = &mut self.actions[action_index];
        action.apply_outcome(reported, self.policy.id_scheme);
        if reported != ReportedOutcome::Ran && action.sends < self.policy.caller_sends {
            self.events.push(self.now + CALLER_PAUSE, Event::CallerSends { action: action_index });
        }
    }
}

impl Action {
    pub(super) fn new(partition: usize) -> Self {
        Self {
            id: None,
            partition,
            sends: 0,
            runs: 0,
            reported: ReportedOutcome::Unknown,
            has_unknown_send: false,
        }
    }

    /// Updates the outcome of the action with the one reported for a send.
    fn apply_outcome(&mut self, outcome: ReportedOutcome, id_scheme: IdScheme) {
        self.has_unknown_send |= outcome == ReportedOutcome::Unknown;
        self.reported = match outcome {
            ReportedOutcome::Ran => ReportedOutcome::Ran,
            _ if self.has_unknown_send => ReportedOutcome::Unknown,
            ReportedOutcome::OnlyThisSendNotRun if id_scheme == IdScheme::PerAction => {
                // No send with this id ran, so the caller may generate a new one.
                self.id = None;
                ReportedOutcome::NotRun
            }
            ReportedOutcome::OnlyThisSendNotRun => ReportedOutcome::Unknown,
            outcome => outcome,
        };
    }
}

pub(super) fn as_u64(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
