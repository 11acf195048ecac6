//! Time in whole milliseconds, and the clocks that it is read from.
//!
//! Deterministic code never reads a clock; it receives the current time as [`Millis`]. Only the
//! code that performs I/O owns a [`Clock`].

use std::ops::{Add, AddAssign, Sub};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

crate::number_type! {
    /// A point in time or a duration, in milliseconds. Points in time of different hosts must not
    /// be compared.
    pub struct Millis(u64);
}

impl Millis {
    /// The zero duration, and the earliest point in time.
    pub const ZERO: Self = Self(0);

    /// Returns the duration from `earlier` to `self`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Millis {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        self.since(other)
    }
}

impl From<Millis> for Duration {
    fn from(duration: Millis) -> Self {
        Self::from_millis(duration.0)
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

/// A source of the current time. Clones are cheap and read the same clock.
#[derive(Clone)]
pub struct Clock {
    read: Arc<dyn Fn() -> Millis + Send + Sync>,
}

impl Clock {
    /// Returns a clock of the time since boot, including time in suspend (`CLOCK_BOOTTIME`).
    pub fn boot() -> Self {
        Self { read: Arc::new(|| read_clock(ClockId::Boottime)) }
    }

    /// Returns a clock of the time since the Unix epoch (`CLOCK_REALTIME`). It may jump, so leases
    /// use it only to detect jumps.
    pub fn wall() -> Self {
        Self { read: Arc::new(|| read_clock(ClockId::Realtime)) }
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        (self.read)()
    }
}

fn read_clock(id: ClockId) -> Millis {
    let time = clock_gettime(id);
    let secs = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    Millis(secs * 1_000 + nanos / 1_000_000)
}

/// A clock that advances only on request, for tests.
#[derive(Clone, Default)]
pub struct ManualClock {
    now: Arc<AtomicU64>,
}

impl ManualClock {
    /// Advances the clock by `duration`.
    pub fn advance(&self, duration: Millis) {
        self.now.fetch_add(duration.0, Ordering::SeqCst);
    }

    /// Returns a [`Clock`] that reads this clock.
    pub fn clock(&self) -> Clock {
        let now = self.now.clone();
        Clock { read: Arc::new(move || Millis(now.load(Ordering::SeqCst))) }
    }
}
