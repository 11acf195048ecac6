//! The share of the fleet's retry budget that one process may spend.
//!
//! Answers failing servers and crests: without a bound each failure sends more load to servers
//! that already fail. The budget holds for all processes together, yet they don't talk about it:
//! each one spends at most its own first attempts times the ratio, and an equal part of the slack.

use std::collections::VecDeque;

use model::Millis;

/// The bound on repeats of one service over all processes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Repeats per first attempt.
    pub ratio: f64,
    /// Repeats that are allowed on top.
    pub slack: f64,
    /// The span over which both are counted.
    pub window: Millis,
}

impl Default for RetryBudgetLimits {
    fn default() -> Self {
        // The users' standing figures, for settings that name none.
        Self { ratio: 0.2, slack: 50.0, window: Millis(10_000) }
    }
}

/// The part of the budget that is spent on sending a request again. The rest is for what a repeat
/// causes further on: the calls that its run makes, two as a rule, count as repeats at the services
/// that they go to.
const OWN_PART: f64 = 0.4;

/// Counts first attempts and repeats of one service.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    firsts: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

impl RetryBudget {
    /// Makes an unspent budget.
    pub fn new(limits: RetryBudgetLimits) -> Self {
        Self { limits, firsts: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now: Millis) {
        self.forget(now);
        self.firsts.push_back(now);
    }

    /// Takes one repeat from the budget if there is one. `processes` share the slack.
    pub fn try_take_retry(&mut self, processes: usize, now: Millis) -> bool {
        self.forget(now);
        let firsts = self.firsts.len() as f64;
        let slack = self.limits.slack / processes.max(1) as f64;
        let allowed = OWN_PART * (self.limits.ratio * firsts + slack);
        if self.repeats.len() as f64 + 1.0 > allowed.max(1.0) {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn forget(&mut self, now: Millis) {
        for times in [&mut self.firsts, &mut self.repeats] {
            while times.front().is_some_and(|&t| now.since(t) > self.limits.window) {
                times.pop_front();
            }
        }
    }
}
