//! Estimates how long jobs take, from one bounded, decaying histogram per rule.

use hdrhistogram::Histogram;
use model::Millis;

use crate::running::JobKind;
use crate::slow_keys::SlowKeys;

/// The longest duration that the histograms resolve; longer ones are recorded as this.
const MAX_TRACKED_MS: u64 = 600_000;

/// One significant digit keeps a histogram below 1 KB.
const SIGNIFICANT_DIGITS: u8 = 1;

/// At this many samples all counts are halved, so that old samples decay.
const HALVE_AT_SAMPLES: u64 = 256;

/// Means and quantiles are recomputed after this many samples, because that takes most of the
/// queue's CPU time. For a new rule they are recomputed after each sample.
const REFRESH_INTERVAL: u64 = 16;

/// The maximum number of rules with their own estimates; further rules share those of all jobs.
const MAX_RULES: usize = 256;

/// A rule is not classified as long until it has this many samples.
const MIN_SAMPLES: u64 = 3;

/// A rule is long if this quantile of its durations is, i.e. if more than a tenth of its jobs are
/// long.
const RULE_QUANTILE: f64 = 0.9;

/// The threshold between short and long jobs is derived from this quantile of all durations.
const SHORT_QUANTILE: f64 = 0.25;

/// A job is long above this many times the short quantile. With exponentially distributed
/// durations that is one job in a hundred.
const LONG_FACTOR: u64 = 16;

/// The lower limit of the threshold between short and long jobs.
const MIN_LONG_THRESHOLD: Millis = Millis(8);

/// The expected duration before any sample.
const INITIAL_ESTIMATE: Millis = Millis(10);

/// The durations of the jobs of one rule, or of all jobs.
#[derive(Debug)]
struct DurationStats {
    histogram: Histogram<u16>,
    mean: Millis,
    /// The mean of the durations up to the threshold between short and long jobs.
    short_mean: Millis,
    short_quantile: Millis,
    rule_quantile: Millis,
}

impl DurationStats {
    fn new() -> Option<Self> {
        let histogram = Histogram::new_with_bounds(1, MAX_TRACKED_MS, SIGNIFICANT_DIGITS).ok()?;
        Some(Self {
            histogram,
            mean: INITIAL_ESTIMATE,
            short_mean: INITIAL_ESTIMATE,
            short_quantile: INITIAL_ESTIMATE,
            rule_quantile: INITIAL_ESTIMATE,
        })
    }

    fn record(&mut self, duration: Millis, long_threshold: Millis) {
        self.histogram.saturating_record(duration.0.max(1));
        if self.histogram.len() >= HALVE_AT_SAMPLES {
            self.halve();
        }
        let count = self.histogram.len();
        if count <= REFRESH_INTERVAL || count.is_multiple_of(REFRESH_INTERVAL) {
            self.refresh(long_threshold);
        }
    }

    fn refresh(&mut self, long_threshold: Millis) {
        self.mean = round_up(self.histogram.mean());
        self.short_mean = self.mean_up_to(long_threshold);
        self.short_quantile = self.quantile(SHORT_QUANTILE);
        self.rule_quantile = self.quantile(RULE_QUANTILE);
    }

    fn halve(&mut self) {
        let mut halved = self.histogram.clone();
        halved.reset();
        for bucket in self.histogram.iter_recorded() {
            halved.saturating_record_n(bucket.value_iterated_to(), bucket.count_at_value() / 2);
        }
        self.histogram = halved;
    }

    fn mean_up_to(&self, long_threshold: Millis) -> Millis {
        let buckets = self.histogram.iter_recorded();
        let short = buckets.take_while(|bucket| bucket.value_iterated_to() <= long_threshold.0);
        let (sum, count) = short.fold((0, 0), |(sum, count), bucket| {
            let in_bucket = u64::from(bucket.count_at_value());
            (sum + bucket.value_iterated_to() * in_bucket, count + in_bucket)
        });
        if count == 0 { self.mean } else { Millis(sum.div_ceil(count)) }
    }

    fn quantile(&self, quantile: f64) -> Millis {
        Millis(self.histogram.value_at_quantile(quantile))
    }
}

/// The duration statistics of all jobs and of each rule.
#[derive(Debug)]
pub(crate) struct DurationEstimates {
    overall: Option<DurationStats>,
    rules: Vec<(u32, DurationStats)>, // Sorted by rule.
    slow_keys: SlowKeys,
    long_threshold: Millis,
}

impl DurationEstimates {
    pub(crate) fn new() -> Self {
        Self {
            overall: DurationStats::new(),
            rules: Vec::new(),
            slow_keys: SlowKeys::default(),
            long_threshold: Millis(u64::MAX),
        }
    }

    /// Records how long a job took.
    pub(crate) fn record(&mut self, kind: JobKind, duration: Millis, now: Millis) {
        if let Some(overall) = &mut self.overall {
            overall.record(duration, self.long_threshold);
            let short = overall.short_quantile.0;
            self.long_threshold = MIN_LONG_THRESHOLD.max(Millis(short * LONG_FACTOR));
        }
        let long_threshold = self.long_threshold;
        if let Some(stats) = kind.rule.and_then(|r| self.rule_stats_mut(r)) {
            stats.record(duration, long_threshold);
        }
        match kind.key {
            Some(key) if duration > self.slow_threshold() => self.slow_keys.add(key, duration, now),
            Some(key) if duration <= self.long_threshold => self.slow_keys.remove(key),
            _ => {}
        }
    }

    fn rule_stats_mut(&mut self, rule: u32) -> Option<&mut DurationStats> {
        let i = match self.rules.binary_search_by_key(&rule, |r| r.0) {
            Ok(i) => i,
            Err(_) if self.rules.len() == MAX_RULES => return None,
            Err(i) => {
                self.rules.insert(i, (rule, DurationStats::new()?));
                i
            }
        };
        Some(&mut self.rules[i].1)
    }
}

/// Queries.
impl DurationEstimates {
    /// Returns how long a job of this kind is expected to take.
    pub(crate) fn expected(&self, kind: JobKind) -> Millis {
        if let Some(duration) = kind.key.and_then(|key| self.slow_keys.duration(key)) {
            return duration;
        }
        let stats = self.stats(kind.rule).filter(|s| !s.histogram.is_empty());
        stats.map_or(self.overall_mean(), |s| s.mean)
    }

    /// Returns how long a short job of this rule is expected to take.
    pub(crate) fn expected_short(&self, rule: Option<u32>) -> Millis {
        let stats = self.stats(rule).filter(|s| !s.histogram.is_empty()).or(self.overall.as_ref());
        stats.map_or(INITIAL_ESTIMATE, |s| s.short_mean)
    }

    /// Returns the mean duration of all jobs, which is the estimate for a job without samples of
    /// its own kind.
    pub(crate) fn overall_mean(&self) -> Millis {
        self.overall.as_ref().map_or(INITIAL_ESTIMATE, |s| s.mean)
    }

    /// Returns whether the rule has enough samples to classify its jobs as short or long.
    pub(crate) fn has_enough_samples(&self, rule: Option<u32>) -> bool {
        self.stats(rule).is_some_and(|s| s.histogram.len() >= MIN_SAMPLES)
    }

    /// Returns whether jobs of this kind are long.
    pub(crate) fn is_long(&self, kind: JobKind) -> bool {
        let stats = self.stats(kind.rule).filter(|_| self.has_enough_samples(kind.rule));
        let is_long_by_rule = stats.is_some_and(|s| s.rule_quantile > self.long_threshold);
        is_long_by_rule || kind.key.is_some_and(|key| self.slow_keys.duration(key).is_some())
    }

    /// Returns the duration beyond which a job marks its key as slow.
    pub(crate) fn slow_threshold(&self) -> Millis {
        self.long_threshold + self.long_threshold
    }

    /// Returns the duration beyond which a job counts as long, regardless of its rule.
    pub(crate) fn long_threshold(&self) -> Millis {
        self.long_threshold
    }

    /// Returns the statistics of the rule, or those of all jobs if there is no rule or the table of
    /// rules is full.
    fn stats(&self, rule: Option<u32>) -> Option<&DurationStats> {
        let Some(rule) = rule else { return self.overall.as_ref() };
        match self.rules.binary_search_by_key(&rule, |r| r.0) {
            Ok(i) => Some(&self.rules[i].1),
            Err(_) if self.rules.len() == MAX_RULES => self.overall.as_ref(),
            Err(_) => None,
        }
    }
}

fn round_up(duration: f64) -> Millis {
    Millis(duration.ceil() as u64)
}
