//! How the requests of one run ended and how long they took.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use model::Millis;

/// The longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Significant digits of latencies.
const DIGITS: u8 = 3;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// A whole answer of status 2xx that belongs to the request.
    Answered,
    /// Refused, and said not to have run.
    NotRun,
    /// Said to be unknown.
    Unknown,
    /// Another status of 4xx.
    Rejected,
    /// Another status.
    Failed,
    /// The answer broke off.
    Truncated,
    /// The answer belongs to another request.
    Mismatched,
    /// No answer within the time limit.
    Timeout,
    /// The connection failed before an answer.
    Disconnected,
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Rejected => "rejected",
            Self::Failed => "failed",
            Self::Truncated => "short",
            Self::Mismatched => "foreign",
            Self::Timeout => "timeout",
            Self::Disconnected => "disconnected",
        })
    }
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// How many requests ended in which way, sorted by ending.
    pub outcomes: Vec<(RequestOutcome, u64)>,
    /// How long the run took.
    pub elapsed: Millis,
    answered: Histogram<u64>,
}

impl Default for LoadReport {
    fn default() -> Self {
        Self::new()
    }
}

impl LoadReport {
    /// Makes an empty report.
    pub fn new() -> Self {
        // The bounds are constants that the histogram accepts; without bounds it grows as needed.
        let answered = Histogram::new_with_max(MAX_LATENCY_US, DIGITS)
            .or_else(|_| Histogram::new(DIGITS))
            .expect("the number of digits is valid");
        Self { outcomes: Vec::new(), elapsed: Millis::ZERO, answered }
    }

    /// Adds one request.
    pub fn record(&mut self, outcome: RequestOutcome, latency: Duration) {
        match self.outcomes.binary_search_by_key(&outcome, |(e, _)| *e) {
            Ok(index) => self.outcomes[index].1 += 1,
            Err(index) => self.outcomes.insert(index, (outcome, 1)),
        }
        if outcome == RequestOutcome::Answered {
            let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            self.answered.saturating_record(micros);
        }
    }
}

/// Queries.
impl LoadReport {
    /// Returns how many requests ended in one way.
    pub fn count(&self, outcome: RequestOutcome) -> u64 {
        let found = self.outcomes.binary_search_by_key(&outcome, |(e, _)| *e);
        found.map_or(0, |index| self.outcomes[index].1)
    }

    /// Returns how many requests were sent.
    pub fn total(&self) -> u64 {
        self.outcomes.iter().map(|(_, count)| count).sum()
    }

    /// Returns a quantile (0 to 1) of the latency of answered requests, in microseconds.
    pub fn latency_us(&self, quantile: f64) -> u64 {
        self.answered.value_at_quantile(quantile)
    }

    /// Returns answered requests per second.
    pub fn answered_per_second(&self) -> f64 {
        let secs = Duration::from(self.elapsed).as_secs_f64();
        self.count(RequestOutcome::Answered) as f64 / secs.max(f64::MIN_POSITIVE)
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (outcome, count) in &self.outcomes {
            writeln!(f, "{outcome:<14}{count:>10}")?;
        }
        writeln!(f, "{:<14}{:>10.0}", "answered/s", self.answered_per_second())?;
        writeln!(f, "{:<14}{:>10}", "p50 us", self.latency_us(0.5))?;
        writeln!(f, "{:<14}{:>10}", "p99 us", self.latency_us(0.99))
    }
}
