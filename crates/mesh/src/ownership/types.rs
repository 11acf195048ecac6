//! Inputs and outputs of key ownership: heartbeats, grants, and conditional writes.

use model::{Fence, HostAddr, Millis, RowVersion, derive_common};

use crate::KeyRange;
use crate::leases::Incarnation;

/// A row and the version that a write expects it to have.
pub type ExpectedRow = (RowName, RowVersion);

derive_common! {
    value
    /// A row in the store that the hosts of a service share.
    pub enum RowName {
        /// The key map.
        Map,
        /// The lease of a host.
        Lease(HostAddr),
        /// The mark that an era of the store has begun. The row is empty.
        Era(u64),
    }
}

/// A conditional write to the store, which is applied as a whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConditionalWrite {
    /// The versions that rows must have; 0 for a row that must not exist.
    pub expect: Vec<ExpectedRow>,
    /// The rows to write.
    pub put: Vec<(RowName, Vec<u8>)>,
    /// The rows to delete.
    pub remove: Vec<RowName>,
    /// The reason for the write, for the log.
    pub reason: &'static str,
}

impl ConditionalWrite {
    /// Returns the version that a row must have, if the write depends on the row.
    pub fn expected_version(&self, row: RowName) -> Option<RowVersion> {
        self.expect.iter().find(|(name, _)| *name == row).map(|(_, version)| *version)
    }
}

/// The outcome of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was applied, at this version.
    Committed(RowVersion),
    /// A row had another version than expected. Contains the current rows, with `None` for rows
    /// that don't exist.
    Conflict(Vec<(RowName, RowVersion, Option<Vec<u8>>)>),
    /// The write was certainly not applied and never will be.
    NotApplied,
    /// The write may have been applied, or may still be applied later.
    Unknown,
}

impl WriteOutcome {
    /// Returns the era in which the store was, if the outcome tells.
    pub(super) fn era(&self) -> Option<u64> {
        match self {
            Self::Committed(version) => Some(version.era()),
            Self::Conflict(rows) => {
                let found = rows.iter().filter(|(_, version, _)| *version != RowVersion(0));
                found.map(|(_, version, _)| version.era()).max()
            }
            Self::NotApplied | Self::Unknown => None,
        }
    }

    /// Returns a short name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Committed(_) => "committed",
            Self::Conflict(_) => "conflict",
            Self::NotApplied => "not-applied",
            Self::Unknown => "unknown",
        }
    }
}

derive_common! {
    value
    /// A range of keys held by a backend server; both ends are included.
    pub struct HeldRange {
        /// The first key.
        pub from: u16,
        /// The last key.
        pub to: u16,
        /// The fence under which the keys were granted.
        pub fence: Fence,
    }
}

/// A heartbeat of a backend server, with the keys that it holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BackendHeartbeat {
    /// The incarnation of the backend server.
    pub incarnation: Incarnation,
    /// The sequence number, which increases with each heartbeat of one incarnation.
    pub seq: u64,
    /// Whether the backend server is draining.
    pub draining: bool,
    /// The ranges that it holds, and keys of requests that are still running.
    pub held: Vec<HeldRange>,
    /// The ranges released since the last acknowledged heartbeat, as first key, last key and the
    /// handover token for the next holder.
    pub released: Vec<(u16, u16, String)>,
}

/// A range of keys granted to the backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The range and its fence.
    pub range: HeldRange,
    /// The handover token of the last holder; empty if there is none or it was already delivered.
    pub handover: String,
}

impl Grant {
    /// Returns the encoded length in bytes: numbers, quotes, commas and brackets.
    pub(super) fn encoded_len(&self) -> usize {
        let digits = |n: u64| n.checked_ilog10().unwrap_or(0) as usize + 1;
        let HeldRange { from, to, fence } = self.range;
        digits(from.into()) + digits(to.into()) + digits(fence.0) + self.handover.len() + 8
    }
}

impl From<&KeyRange> for Grant {
    fn from(range: &KeyRange) -> Self {
        let held = HeldRange { from: range.from, to: range.to, fence: range.fence };
        Self { range: held, handover: range.handover.clone() }
    }
}

derive_common! {
    value
    /// Identifies a call from its start to its outcome.
    pub struct GrantCallId(pub u64);
}

/// A call to the backend server that changes which keys it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantCall {
    /// Grants keys, or renews the grant.
    Grant {
        /// The keys, and the handover token of their last holder.
        grant: Grant,
        /// How long the grant is valid, measured from the arrival of the call.
        valid_for: Millis,
    },
    /// Takes keys back. The reply comes when no work on them is running any more.
    Release {
        /// The keys and the fence of their grant.
        range: HeldRange,
    },
}

impl GrantCall {
    /// Returns the keys that the call concerns.
    pub fn range(&self) -> HeldRange {
        match self {
            Self::Grant { grant, .. } => grant.range,
            Self::Release { range } => *range,
        }
    }

    /// Returns whether the call takes keys back.
    pub fn is_release(&self) -> bool {
        matches!(self, Self::Release { .. })
    }
}

/// How a call to the backend server ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantCallOutcome {
    /// It was carried out.
    Done {
        /// The handover token for the next holder, in the reply to a release.
        handover: String,
    },
    /// It was refused because the backend server has seen a higher fence on one of the keys.
    HigherFence,
    /// It was refused as invalid.
    Rejected,
    /// It was not sent.
    NotSent,
    /// There was no reply, so it may have been carried out, or may still be.
    Unknown,
}

/// The reply to a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatReply {
    /// All ranges that the backend server may hold, or `None` if nothing is renewed.
    pub grants: Option<Vec<Grant>>,
    /// How long the grants are valid, measured from when the heartbeat was sent.
    pub valid_for: Millis,
}

derive_common! {
    value
    /// When to reply to a heartbeat.
    pub enum HeartbeatAction {
        /// The heartbeat is out of order or from an earlier incarnation; the reply renews nothing.
        Stale,
        /// The reply changes what the backend server holds, so it is sent immediately.
        ReplyNow,
        /// Nothing changes yet. Deferring the reply lets it deliver the next change without delay.
        MayDefer,
    }
}

derive_common! {
    value
    /// Why a request with a key may not be sent to the backend server now.
    pub enum KeyRejection {
        /// No map is known.
        NoMap,
        /// Another host owns the key.
        NotOwner(HostAddr),
        /// The key is being released to another host.
        Moving,
        /// This host owns the key, but has not granted it to the backend server yet.
        NotGranted,
        /// This host's lease has expired.
        NoLease,
    }
}
