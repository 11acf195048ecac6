//! The simulated time, the callers and their actions.

use model::{Millis, RequestId};
use ownership::Origin;
use papayarill_config::Repeat;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use routing::records::RunHandle;
use routing::retry::{Attempts, RetryBudget};
use uuid::Uuid;

use super::owner::Owner;
use crate::requests::events::Events;

const SEED: u64 = 7;

/// The partitions, each with an owner of its own.
pub(super) const PARTITIONS: usize = 24;

/// Wall time at the start; ids hold it.
pub(super) const START: Millis = Millis(1_000_000);

/// How long callers go on starting actions.
pub(super) const DURATION: Millis = Millis(120_000);

/// How long one request may take in all, as the caller and the rule have it.
const TIME_LIMIT: Millis = Millis(3_000);

/// The pause before a caller sends an action again.
const CALLER_PAUSE: Millis = Millis(1_000);

/// How far the clocks of callers are from those of hosts, at most.
const CALLER_SKEW_MS: u64 = 200;

/// What goes wrong, as a share of sends in thousandths.
#[derive(Clone, Copy)]
pub(super) struct Faults {
    pub not_connected: u32,
    pub request_lost: u32,
    pub answer_lost: u32,
    pub refused: u32,
    pub long_runs: u32,
    /// The pause between two losses of an owner.
    pub loss_interval: Option<Millis>,
    /// The pause between two planned moves.
    pub move_interval: Option<Millis>,
}

/// What a caller knows of its action in the end.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Known {
    Ran,
    NotRun,
    /// This send did not run, but an earlier one may have.
    HistoryIncomplete,
    Unknown,
}

/// What an ingress does with a failure.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Resend {
    /// The shipped decisions.
    Decided,
    /// Send again after any error or timeout.
    Any,
    Never,
}

/// What request ids a caller mints.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Ids {
    None,
    /// One per action, and another one only once no send of the first can have run.
    PerAction,
    /// One per action, whatever the caller is told.
    Kept,
    PerSend,
}

#[derive(Clone, Copy)]
pub(super) struct Policy {
    pub name: &'static str,
    pub resend: Resend,
    pub ids: Ids,
    /// How often a caller sends an action that it does not know to be done.
    pub caller_sends: u32,
    pub repeat: Repeat,
}

impl Policy {
    /// A policy for requests that run at most once.
    pub(super) const fn new(
        name: &'static str,
        resend: Resend,
        ids: Ids,
        caller_sends: u32,
    ) -> Self {
        Self { name, resend, ids, caller_sends, repeat: Repeat::AtMostOnce }
    }
}

/// One intended action of a caller.
pub(super) struct Action {
    pub id: Option<RequestId>,
    pub partition: usize,
    pub sends: u32,
    pub runs: u32,
    pub known: Known,
    /// Whether an earlier send ended as unknown, so that `not-run` does not settle the action.
    pub unsettled: bool,
}

/// One send of a caller.
pub(super) struct Request {
    pub action: usize,
    pub id: Option<RequestId>,
    pub deadline: Millis,
    pub attempts: Attempts,
    pub sends: u32,
    pub waiting_since: Millis,
    /// What the caller is told if the deadline passes now.
    pub at_deadline: Known,
    pub done: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    CallerSends { action: usize },
    Attempt { request: usize },
    RouteWaited { request: usize },
    RunEnds { request: usize, ticket: Option<RunHandle> },
    TimedOut { request: usize },
    LoseOwner,
    MoveOwner,
    Served { partition: usize, origin: Origin },
    Expire,
}

pub(super) struct World {
    pub policy: Policy,
    pub faults: Faults,
    pub rng: StdRng,
    pub now: Millis,
    pub events: Events<Millis, Event>,
    pub owners: Vec<Owner>,
    pub actions: Vec<Action>,
    pub requests: Vec<Request>,
    pub budget: RetryBudget,
    pub attempts: u64,
    pub backend_attempts: u64,
}

impl World {
    pub(super) fn new(policy: Policy, faults: Faults) -> Self {
        let owners = (0..PARTITIONS).map(Owner::new).collect();
        let mut events = Events::new();
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

    /// Starts `count` actions, evenly over the duration, and runs until all have ended.
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
            Event::RouteWaited { request } => self.route_waited(request),
            Event::RunEnds { request, ticket } => self.run_ends(request, ticket),
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

    fn mint(&mut self) -> RequestId {
        let minted_at = self.now.0 - CALLER_SKEW_MS + self.rng.random_range(0..2 * CALLER_SKEW_MS);
        let random: u64 = self.rng.random();
        let bits = u128::from(minted_at) << 80 | 7 << 76 | 2 << 62 | u128::from(random >> 2);
        RequestId::try_from(Uuid::from_u128(bits)).expect("the version bits say 7")
    }
}

/// The caller.
impl World {
    fn caller_sends(&mut self, action: usize) {
        let id = match self.policy.ids {
            Ids::None => None,
            Ids::PerSend => Some(self.mint()),
            Ids::PerAction | Ids::Kept => {
                let known = self.actions[action].id;
                Some(known.unwrap_or_else(|| self.mint()))
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
            at_deadline: Known::NotRun,
            done: false,
        });
        self.budget.deposit();
        self.events.push(deadline, Event::TimedOut { request });
        self.events.push(self.now, Event::Attempt { request });
    }

    pub(super) fn tell(&mut self, request: usize, known: Known) {
        self.requests[request].done = true;
        let number = self.requests[request].action;
        let action = &mut self.actions[number];
        action.learn(known, self.policy.ids);
        if known != Known::Ran && action.sends < self.policy.caller_sends {
            self.events.push(self.now + CALLER_PAUSE, Event::CallerSends { action: number });
        }
    }
}

impl Action {
    pub(super) fn new(partition: usize) -> Self {
        Self { id: None, partition, sends: 0, runs: 0, known: Known::Unknown, unsettled: false }
    }

    /// Takes over what the caller was told of one send.
    fn learn(&mut self, told: Known, ids: Ids) {
        self.unsettled |= told == Known::Unknown;
        self.known = match told {
            Known::Ran => Known::Ran,
            _ if self.unsettled => Known::Unknown,
            Known::HistoryIncomplete if ids == Ids::PerAction => {
                // No send of this id ran, so the caller may mint a new one.
                self.id = None;
                Known::NotRun
            }
            Known::HistoryIncomplete => Known::Unknown,
            told => told,
        };
    }
}

pub(super) fn as_u64(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
