//! What a keeper is told and what it says: heartbeats, grants, and writes of rows.

use model::{Fence, HostAddr, Millis, RowVersion, derive_common};

use crate::KeyRange;
use crate::leases::Incarnation;

/// A row that a transaction names.
pub type RowChange = (RowName, RowVersion);

derive_common! {
    value
    /// The rows that hosts of a service share.
    pub enum RowName {
        /// The key map.
        Map,
        /// The lease of a host.
        Lease(HostAddr),
    }
}

/// One conditional write that the shell carries out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConditionalWrite {
    /// Versions that rows must have; 0 for a row that must not exist.
    pub expect: Vec<RowChange>,
    /// Rows to write.
    pub put: Vec<(RowName, Vec<u8>)>,
    /// Rows to remove.
    pub remove: Vec<RowName>,
    /// Why, for the log.
    pub reason: &'static str,
}

/// How a write ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It was made, at this version.
    Committed(RowVersion),
    /// A row had another version; these are the rows as they are, `None` if they don't exist.
    Conflict(Vec<(RowName, RowVersion, Option<Vec<u8>>)>),
    /// It was surely not made, and won't be.
    NotApplied,
    /// It may have been made, or may be made later.
    Unknown,
}

derive_common! {
    value
    /// Keys that a backend server holds.
    pub struct HeldRange {
        /// The first key.
        pub from: u16,
        /// The last key.
        pub to: u16,
        /// The fence.
        pub fence: Fence,
    }
}

/// What a heartbeat says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BackendHeartbeat {
    /// Names this start of the backend server.
    pub incarnation: Incarnation,
    /// Grows with each heartbeat of one start.
    pub seq: u64,
    /// Whether it is leaving.
    pub draining: bool,
    /// What it holds or still works on.
    pub held: Vec<HeldRange>,
    /// What it released since the last confirmed heartbeat, with what the next holder gets.
    pub released: Vec<(u16, u16, String)>,
}

/// A range that the backend server is to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The range and its fence.
    pub range: HeldRange,
    /// What the last holder gave; empty if nothing, or if it was passed on already.
    pub handover: String,
}

impl Grant {
    /// Returns the length of the grant as text: numbers, quotes, commas and brackets.
    pub(super) fn bytes(&self) -> usize {
        let digits = |n: u64| n.checked_ilog10().unwrap_or(0) as usize + 1;
        let HeldRange { from, to, fence } = self.range;
        digits(from.into()) + digits(to.into()) + digits(fence.0) + self.handover.len() + 8
    }
}

impl From<&KeyRange> for Grant {
    fn from(run: &KeyRange) -> Self {
        let held = HeldRange { from: run.from, to: run.to, fence: run.fence };
        Self { range: held, handover: run.handover.clone() }
    }
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatReply {
    /// Everything that it is to hold, or `None` if nothing is renewed.
    pub grants: Option<Vec<Grant>>,
    /// How long, from when the heartbeat was sent.
    pub valid_for: Millis,
}

derive_common! {
    value
    /// What to do with a heartbeat.
    pub enum HeartbeatAction {
        /// It is older than what is known.
        Stale,
        /// Its sender has to do something.
        ReplyNow,
        /// Nothing changes yet; an answer that waits brings the next change sooner.
        MayDefer,
    }
}

derive_common! {
    value
    /// Why a keyed request may not run here now.
    pub enum KeyRejection {
        /// No map is known.
        NoMap,
        /// Another host owns the key.
        NotOwner(HostAddr),
        /// The key is being released to another host.
        Moving,
        /// The key belongs here, but the backend server was not granted it yet.
        NotGranted,
        /// The lease ended.
        NoLease,
    }
}
