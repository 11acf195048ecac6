//! How long jobs take, by rule: bounded histograms that forget.

use hdrhistogram::Histogram;
use model::Millis;

use crate::running::Kind;
use crate::slow_keys::SlowKeys;

/// The longest span that is told apart.
const LONGEST_MS: u64 = 600_000;

/// One significant digit keeps a histogram below 1 KB.
const SIGNIFICANT_DIGITS: u8 = 1;

/// At this many samples all counts are halved, so that old ones fade.
const HALVE_AT: u64 = 256;

/// Means and quantiles are worked out again after this many samples, since that takes most of the
/// queue's processor time; of a new rule, after each.
const REFRESH_EVERY: u64 = 16;

/// Rules beyond this many share the estimates of all jobs.
const MAX_RULES: usize = 256;

/// A rule is not called long before it has this many samples.
const MIN_SAMPLES: u64 = 3;

/// A rule is long if more than a tenth of its jobs is.
const RULE_QUANTILE: f64 = 0.9;

/// Short work is what is not far from this quantile of all work.
const SHORT_QUANTILE: f64 = 0.25;

/// Work is long above this many times the short quantile. With exponentially distributed times
/// one job in a hundred is.
const LONG_FACTOR: u64 = 16;

/// The bound between short and long is never below this.
const LEAST_BOUND: Millis = Millis(8);

/// A job is expected to take this long while nothing is known.
const FIRST_GUESS: Millis = Millis(10);

/// The times of one rule, or of all jobs.
#[derive(Debug)]
struct Times {
    histogram: Histogram<u16>,
    mean: Millis,
    /// The mean of the times up to the bound between short and long.
    short_mean: Millis,
    short_quantile: Millis,
    rule_quantile: Millis,
}

impl Times {
    fn new() -> Option<Self> {
        let histogram = Histogram::new_with_bounds(1, LONGEST_MS, SIGNIFICANT_DIGITS).ok()?;
        Some(Self {
            histogram,
            mean: FIRST_GUESS,
            short_mean: FIRST_GUESS,
            short_quantile: FIRST_GUESS,
            rule_quantile: FIRST_GUESS,
        })
    }

    fn record(&mut self, span: Millis, bound: Millis) {
        self.histogram.saturating_record(span.0.max(1));
        if self.histogram.len() >= HALVE_AT {
            self.halve();
        }
        let count = self.histogram.len();
        if count <= REFRESH_EVERY || count.is_multiple_of(REFRESH_EVERY) {
            self.refresh(bound);
        }
    }

    fn refresh(&mut self, bound: Millis) {
        self.mean = round_up(self.histogram.mean());
        self.short_mean = self.mean_up_to(bound);
        self.short_quantile = self.quantile(SHORT_QUANTILE);
        self.rule_quantile = self.quantile(RULE_QUANTILE);
    }

    fn halve(&mut self) {
        let mut halved = self.histogram.clone();
        halved.reset();
        for v in self.histogram.iter_recorded() {
            halved.saturating_record_n(v.value_iterated_to(), v.count_at_value() / 2);
        }
        self.histogram = halved;
    }

    fn mean_up_to(&self, bound: Millis) -> Millis {
        let buckets = self.histogram.iter_recorded();
        let short = buckets.take_while(|b| b.value_iterated_to() <= bound.0);
        let (sum, count) = short.fold((0, 0), |(sum, count), b| {
            let n = u64::from(b.count_at_value());
            (sum + b.value_iterated_to() * n, count + n)
        });
        if count == 0 { self.mean } else { Millis(sum.div_ceil(count)) }
    }

    fn quantile(&self, quantile: f64) -> Millis {
        Millis(self.histogram.value_at_quantile(quantile))
    }
}

/// The times of all jobs and of each rule.
#[derive(Debug)]
pub(crate) struct Estimates {
    all: Option<Times>,
    rules: Vec<(u32, Times)>, // Sorted by rule.
    slow_keys: SlowKeys,
    bound: Millis,
}

impl Estimates {
    pub(crate) fn new() -> Self {
        Self {
            all: Times::new(),
            rules: Vec::new(),
            slow_keys: SlowKeys::default(),
            bound: Millis(u64::MAX),
        }
    }

    /// Takes in the time that a job took.
    pub(crate) fn record(&mut self, kind: Kind, span: Millis, now: Millis) {
        if let Some(all) = &mut self.all {
            all.record(span, self.bound);
            let short = all.short_quantile.0;
            self.bound = LEAST_BOUND.max(Millis(short * LONG_FACTOR));
        }
        let bound = self.bound;
        if let Some(times) = kind.rule.and_then(|r| self.rule_mut(r)) {
            times.record(span, bound);
        }
        match kind.key {
            Some(key) if span > self.slow_bound() => self.slow_keys.add(key, span, now),
            Some(key) if span <= self.bound => self.slow_keys.remove(key),
            _ => {}
        }
    }

    fn rule_mut(&mut self, rule: u32) -> Option<&mut Times> {
        let i = match self.rules.binary_search_by_key(&rule, |r| r.0) {
            Ok(i) => i,
            Err(_) if self.rules.len() == MAX_RULES => return None,
            Err(i) => {
                self.rules.insert(i, (rule, Times::new()?));
                i
            }
        };
        Some(&mut self.rules[i].1)
    }
}

/// Queries.
impl Estimates {
    /// Returns how long a job of this kind is expected to take.
    pub(crate) fn expected(&self, kind: Kind) -> Millis {
        if let Some(span) = kind.key.and_then(|key| self.slow_keys.span(key)) {
            return span;
        }
        let times = self.times(kind.rule).filter(|t| !t.histogram.is_empty());
        times.map_or(self.usual(), |t| t.mean)
    }

    /// Returns how long a short job of this rule is expected to take.
    pub(crate) fn expected_short(&self, rule: Option<u32>) -> Millis {
        let times = self.times(rule).filter(|t| !t.histogram.is_empty()).or(self.all.as_ref());
        times.map_or(FIRST_GUESS, |t| t.short_mean)
    }

    /// Returns how long a job takes that nothing is known about.
    pub(crate) fn usual(&self) -> Millis {
        self.all.as_ref().map_or(FIRST_GUESS, |t| t.mean)
    }

    /// Returns whether enough jobs of this rule have ended to tell how long they are.
    pub(crate) fn is_known(&self, rule: Option<u32>) -> bool {
        self.times(rule).is_some_and(|t| t.histogram.len() >= MIN_SAMPLES)
    }

    /// Returns whether jobs of this kind are long.
    pub(crate) fn is_long(&self, kind: Kind) -> bool {
        let times = self.times(kind.rule).filter(|_| self.is_known(kind.rule));
        let by_rule = times.is_some_and(|t| t.rule_quantile > self.bound);
        by_rule || kind.key.is_some_and(|key| self.slow_keys.span(key).is_some())
    }

    /// Returns the time from which on a job shows that its key is slow.
    pub(crate) fn slow_bound(&self) -> Millis {
        self.bound + self.bound
    }

    /// Returns the time from which on a job counts as long, whatever its rule.
    pub(crate) fn bound(&self) -> Millis {
        self.bound
    }

    /// Returns the times of the rule; those of all jobs if there is no rule, or no room for it.
    fn times(&self, rule: Option<u32>) -> Option<&Times> {
        let Some(rule) = rule else { return self.all.as_ref() };
        match self.rules.binary_search_by_key(&rule, |r| r.0) {
            Ok(i) => Some(&self.rules[i].1),
            Err(_) if self.rules.len() == MAX_RULES => self.all.as_ref(),
            Err(_) => None,
        }
    }
}

fn round_up(span: f64) -> Millis {
    Millis(span.ceil() as u64)
}
