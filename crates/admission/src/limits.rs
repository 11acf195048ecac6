//! The settings of one queue.

use papayarill_config::Service;

/// Jobs that may wait per slot, unless set otherwise.
const WAITING_PER_SLOT: u32 = 64;

/// The settings of one queue, made by a [`LimitsBuilder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub(crate) slots: u32,
    pub(crate) reserved_slots: u32,
    pub(crate) connections: u32,
    pub(crate) max_waiting: u32,
}

impl Limits {
    /// Starts from the number of requests that the backend server runs at a time.
    pub fn builder(slots: u32) -> LimitsBuilder {
        let max_waiting = slots.saturating_mul(WAITING_PER_SLOT);
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

/// Makes [`Limits`].
#[derive(Clone, Copy, Debug)]
pub struct LimitsBuilder {
    limits: Limits,
}

impl LimitsBuilder {
    /// Slots that only interactive jobs may use; none by default.
    pub fn reserved_slots(mut self, count: u32) -> Self {
        self.limits.reserved_slots = count;
        self
    }

    /// Connections that the backend server accepts; as many as slots by default.
    pub fn connections(mut self, count: u32) -> Self {
        self.limits.connections = count;
        self
    }

    /// Jobs that may wait; 64 per slot by default. Deferrable jobs wait only while less than a
    /// half of these places is taken, internal jobs while less than a quarter is.
    pub fn max_waiting(mut self, count: u32) -> Self {
        self.limits.max_waiting = count;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Limits {
        self.limits
    }
}
