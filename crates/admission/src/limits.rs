//! The settings of one queue.

use papayarill_config::Service;

/// The default number of jobs that may wait, per slot.
const DEFAULT_WAITING_PER_SLOT: u32 = 64;

/// The settings of one queue, made by a [`LimitsBuilder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub(crate) slots: u32,
    pub(crate) reserved_slots: u32,
    pub(crate) connections: u32,
    pub(crate) max_waiting: u32,
}

impl Limits {
    /// Returns a builder for a backend server that runs `slots` requests at a time.
    pub fn builder(slots: u32) -> LimitsBuilder {
        let max_waiting = slots.saturating_mul(DEFAULT_WAITING_PER_SLOT);
        let limits = Self { slots, reserved_slots: 0, connections: slots, max_waiting };
        LimitsBuilder { limits }
    }
}

impl From<&Service> for Limits {
    fn from(service: &Service) -> Self {
        Self::builder(service.slots)
            .reserved_slots(service.reserved_slots)
            .connections(service.connections)
            .build()
    }
}

/// Builds [`Limits`].
#[derive(Clone, Copy, Debug)]
pub struct LimitsBuilder {
    limits: Limits,
}

impl LimitsBuilder {
    /// Sets how many slots only interactive jobs may use; none by default.
    pub fn reserved_slots(mut self, count: u32) -> Self {
        self.limits.reserved_slots = count;
        self
    }

    /// Sets how many connections the backend server accepts; as many as slots by default.
    pub fn connections(mut self, count: u32) -> Self {
        self.limits.connections = count;
        self
    }

    /// Sets how many jobs may wait; 64 per slot by default. Deferrable jobs are queued only while
    /// fewer than half as many wait, internal jobs while fewer than a quarter as many do.
    pub fn max_waiting(mut self, count: u32) -> Self {
        self.limits.max_waiting = count;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Limits {
        self.limits
    }
}
