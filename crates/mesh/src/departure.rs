//! Whether the backend server of this host has announced that it leaves.
//!
//! A confirmed announcement also binds the next process on this host, which may receive a heartbeat
//! that was sent before it. The announcement is therefore written to the store before it is
//! confirmed, and a process takes no heartbeat before it has read what the store says.

use model::{RowVersion, derive_common};
use snafu::{ResultExt, Snafu};

use crate::leases::Incarnation;

derive_common! {
    data
    /// The announcement of a backend server that it leaves.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Departure {
        /// The backend server.
        pub incarnation: Incarnation,
        /// Heartbeats up to this sequence number were sent before the announcement.
        pub seq: u64,
    }
}

/// An error while decoding a departure.
#[derive(Debug, Snafu)]
#[snafu(display("failed to decode the departure: {source}"))]
pub struct DepartureError {
    source: bincode::error::DecodeError,
}

impl Departure {
    /// Returns the departure of a backend server that has deregistered, after which no heartbeat of
    /// it counts.
    pub fn deregistered(incarnation: Incarnation) -> Self {
        Self { incarnation, seq: u64::MAX }
    }

    /// Encodes the departure as bytes.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding plain data into memory can't fail; if it did, the row would be rejected.
        bincode::encode_to_vec(self, bincode::config::standard()).unwrap_or_default()
    }

    /// Decodes the bytes of a departure.
    pub fn decode(bytes: &[u8]) -> Result<Self, DepartureError> {
        let config = bincode::config::standard().with_limit::<4_096>();
        let (departure, _) = bincode::decode_from_slice(bytes, config).context(DepartureSnafu)?;
        Ok(departure)
    }

    fn covers(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation && self.seq >= other.seq
    }
}

/// The departure known to one process, and whether the store has it.
#[derive(Clone, Debug, Default)]
pub struct DepartureLog {
    /// The row in the store: its version, 0 if there is none, and its content. `None` until it was
    /// read.
    stored: Option<(RowVersion, Option<Departure>)>,
    /// Whether the row has to be read again, because the store has gone back to an earlier state.
    outdated: bool,
    latest: Option<Departure>,
}

/// Queries.
impl DepartureLog {
    /// Returns whether the row in the store was read. Before that, no heartbeat may be taken.
    pub fn is_known(&self) -> bool {
        self.stored.is_some()
    }

    /// Returns whether a heartbeat is not from before the departure of its sender. Heartbeats of an
    /// earlier incarnation with the same id are.
    pub fn admits(&self, incarnation: &Incarnation, seq: u64) -> bool {
        let Some(d) = self.latest.as_ref().filter(|d| d.incarnation.id == incarnation.id) else {
            return true;
        };
        match incarnation.started_at.cmp(&d.incarnation.started_at) {
            std::cmp::Ordering::Less => false,
            std::cmp::Ordering::Equal => seq > d.seq,
            std::cmp::Ordering::Greater => true,
        }
    }

    /// Returns whether the store has the latest departure, so that it may be confirmed.
    pub fn is_recorded(&self) -> bool {
        self.is_known() && !self.outdated && self.next_write().is_none()
    }

    /// Returns whether the row has to be read before it can be written.
    pub fn wants_read(&self) -> bool {
        self.outdated || !self.is_known()
    }

    /// Returns the departure to write and the version that the row must have, if a write is due.
    pub fn next_write(&self) -> Option<(RowVersion, &Departure)> {
        if self.outdated {
            return None;
        }
        let ((version, stored), latest) = (self.stored.as_ref()?, self.latest.as_ref()?);
        let recorded = stored.as_ref().is_some_and(|s| s.covers(latest));
        (!recorded).then_some((*version, latest))
    }
}

/// Commands.
impl DepartureLog {
    /// Records what the store has, as read or after a write.
    pub fn update_stored(&mut self, version: RowVersion, departure: Option<Departure>) {
        if self.latest.is_none() {
            self.latest.clone_from(&departure);
        }
        self.stored = Some((version, departure));
        self.outdated = false;
    }

    /// Records that the store has gone back to an earlier state, which may lack the departure.
    pub fn store_rolled_back(&mut self) {
        self.outdated = true;
    }

    /// Records that a heartbeat reported that its sender is draining. The first one counts, so that
    /// the following ones need no write.
    pub fn record_draining(&mut self, incarnation: &Incarnation, seq: u64) {
        if self.latest.as_ref().is_none_or(|d| d.incarnation != *incarnation) {
            self.latest = Some(Departure { incarnation: incarnation.clone(), seq });
        }
    }

    /// Records that a backend server has deregistered.
    pub fn record_deregistration(&mut self, incarnation: Incarnation) {
        self.latest = Some(Departure::deregistered(incarnation));
    }
}
