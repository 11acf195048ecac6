//! Time as this project measures it: whole milliseconds on one clock.
//!
//! Pure code never reads a clock; it is handed a [`Millis`]. Only the shells own a [`Clock`].

use std::ops::{Add, AddAssign, Sub};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

crate::number_type! {
    /// A point in time or a span, in milliseconds. Points of different hosts are never compared.
    pub struct Millis(u64);
}

impl Millis {
    /// The span of zero length, and the earliest point in time.
    pub const ZERO: Self = Self(0);

    /// Returns the span from `earlier` to `self`, or zero if `earlier` is later.
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
    fn from(span: Millis) -> Self {
        Self::from_millis(span.0)
    }
}

impl From<Duration> for Millis {
    fn from(span: Duration) -> Self {
        Self(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}

/// A source of the current time. Cloning is cheap; clones read the same clock.
#[derive(Clone)]
pub struct Clock {
    read: Arc<dyn Fn() -> Millis + Send + Sync>,
}

impl Clock {
    /// Time since boot, which goes on while the host is suspended (`CLOCK_BOOTTIME`).
    pub fn boot() -> Self {
        Self { read: Arc::new(|| read_clock(ClockId::Boottime)) }
    }

    /// Time since the Unix epoch. It may jump, so leases use it only to notice such jumps.
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

/// A clock that moves only when told to, for tests.
#[derive(Clone, Default)]
pub struct ManualClock {
    now: Arc<AtomicU64>,
}

impl ManualClock {
    /// Moves the clock forward by `span`.
    pub fn advance(&self, span: Millis) {
        self.now.fetch_add(span.0, Ordering::SeqCst);
    }

    /// Returns a [`Clock`] that reads this one.
    pub fn clock(&self) -> Clock {
        let now = self.now.clone();
        Clock { read: Arc::new(move || Millis(now.load(Ordering::SeqCst))) }
    }
}
