//! One process's share of the fleet-wide retry budget.
//!
//! Prevents retry storms: without a limit, every failure sends more load to servers that already
//! fail. The budget bounds all processes together without any coordination between them: each one
//! retries at most `ratio` times its own first attempts, plus an equal part of `slack`.

use std::collections::VecDeque;

use model::Millis;

/// The retry budget of one service over all processes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Retries per first attempt.
    pub ratio: f64,
    /// Retries allowed in addition to the ratio.
    pub slack: f64,
    /// The sliding window over which both are counted.
    pub window: Millis,
}

impl Default for RetryBudgetLimits {
    fn default() -> Self {
        // The users' standard values, used when the settings give none.
        Self { ratio: 0.2, slack: 50.0, window: Millis(10_000) }
    }
}

/// The part of the budget that may be spent on retries themselves. The rest covers the downstream
/// requests that a retried request makes, usually two, which also count as retries at the services
/// that receive them.
const DIRECT_RETRY_SHARE: f64 = 0.4;

/// Counts the first attempts and retries of one service in a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    first_attempts: Window,
    retries: Window,
}

/// Events in the sliding window, counted by millisecond: requests may come at any rate.
#[derive(Debug, Default)]
struct Window {
    counts: VecDeque<(Millis, u64)>,
    total: u64,
}

impl Window {
    fn record(&mut self, now: Millis) {
        self.total += 1;
        match self.counts.back_mut() {
            Some((at, count)) if *at >= now => *count += 1,
            _ => self.counts.push_back((now, 1)),
        }
    }

    fn remove_expired(&mut self, span: Millis, now: Millis) {
        while let Some((_, count)) = self.counts.front().filter(|(at, _)| now.since(*at) > span) {
            self.total -= count;
            self.counts.pop_front();
        }
    }
}

impl RetryBudget {
    /// Creates an unspent budget.
    pub fn new(limits: RetryBudgetLimits) -> Self {
        Self { limits, first_attempts: Window::default(), retries: Window::default() }
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now: Millis) {
        self.remove_expired(now);
        self.first_attempts.record(now);
    }

    /// Takes one retry from the budget and returns whether there was one left. The slack is divided
    /// among `processes`.
    pub fn try_take_retry(&mut self, processes: usize, now: Millis) -> bool {
        self.remove_expired(now);
        let first_attempts = self.first_attempts.total as f64;
        let slack = self.limits.slack / processes.max(1) as f64;
        let allowed = DIRECT_RETRY_SHARE * (self.limits.ratio * first_attempts + slack);
        if self.retries.total as f64 + 1.0 > allowed.max(1.0) {
            return false;
        }
        self.retries.record(now);
        true
    }

    fn remove_expired(&mut self, now: Millis) {
        self.first_attempts.remove_expired(self.limits.window, now);
        self.retries.remove_expired(self.limits.window, now);
    }
}
