//! Outcomes and latencies of the requests of one load run.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use model::Millis;

/// The largest latency that is recorded, in microseconds; larger ones count as this.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Significant decimal digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// A complete 2xx response that belongs to the request.
    Answered,
    /// An error that guarantees that the request did not run.
    NotRun,
    /// An error that says it is unknown whether the request ran.
    Unknown,
    /// Another 4xx status, or a request that could not be built.
    Rejected,
    /// Another status.
    Failed,
    /// The response body was cut off.
    Truncated,
    /// The response belongs to another request.
    Mismatched,
    /// No response within the timeout.
    Timeout,
    /// The connection failed before a response.
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

/// The outcomes and latencies of a load run.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// The number of requests per outcome, sorted by outcome.
    pub outcomes: Vec<(RequestOutcome, u64)>,
    /// The duration of the run.
    pub elapsed: Millis,
    answered: Histogram<u64>,
}

impl Default for LoadReport {
    fn default() -> Self {
        Self::new()
    }
}

impl LoadReport {
    /// Creates an empty report.
    pub fn new() -> Self {
        // The histogram accepts these constant bounds; if it did not, an unbounded one, which grows
        // as needed, would do.
        let answered = Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            .or_else(|_| Histogram::new(SIGNIFICANT_DIGITS))
            .expect("the number of digits is valid");
        Self { outcomes: Vec::new(), elapsed: Millis::ZERO, answered }
    }

    /// Records one request. Only answered requests count towards the latencies.
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
    /// Returns the number of requests with this outcome.
    pub fn count(&self, outcome: RequestOutcome) -> u64 {
        let found = self.outcomes.binary_search_by_key(&outcome, |(e, _)| *e);
        found.map_or(0, |index| self.outcomes[index].1)
    }

    /// Returns the number of all recorded requests.
    pub fn total(&self) -> u64 {
        self.outcomes.iter().map(|(_, count)| count).sum()
    }

    /// Returns a quantile (0 to 1) of the latency of answered requests, in microseconds.
    pub fn latency_us(&self, quantile: f64) -> u64 {
        self.answered.value_at_quantile(quantile)
    }

    /// Returns the rate of answered requests, per second.
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
