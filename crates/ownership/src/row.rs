//! The row that the platform's table service keeps for each cell.
//!
//! The row holds all state that must survive the host processes. Every change of a cell is one
//! compare-and-set of this row, so of concurrent writers exactly one succeeds.

use model::{Epoch, Fence, HostAddr, Incarnation, Partition, RowVersion, Session, WriterTag};
use model::{ZoneName, derive_common};

derive_common! {
    data
    /// A host that grants leases to the members.
    pub struct Grantor {
        /// The address on which the grantor listens.
        pub addr: HostAddr,
        /// The incarnation of the host process; after a restart the process is no grantor any more.
        pub incarnation: Incarnation,
        /// The availability zone of the host.
        pub zone: ZoneName,
    }
}

derive_common! {
    data
    /// The grantors of an older epoch, some of which may still be renewing leases.
    pub struct GrantorSet {
        /// The epoch in which the set granted leases.
        pub epoch: Epoch,
        /// The grantors, in the order in which they became the coordinator.
        pub grantors: Vec<Grantor>,
    }
}

derive_common! {
    data
    /// A member of the cell, stored so that a new coordinator can reach it.
    pub struct MemberEntry {
        /// The session of the member.
        pub session: Session,
        /// The address on which the member listens.
        pub addr: HostAddr,
        /// The availability zone of the host.
        pub zone: ZoneName,
    }
}

derive_common! {
    value
    /// The owner and the standby of one partition.
    pub struct Assignment {
        /// The partition.
        pub partition: Partition,
        /// The fencing token of this assignment; always even, because odd ones are takeovers.
        pub fence: Fence,
        /// The owner.
        pub owner: Session,
        /// The session that may take over at `fence + 1` without a write of the row.
        pub standby: Option<Session>,
    }
}

derive_common! {
    data
    /// The state of one cell, as the platform's table service stores it.
    pub struct CellRow {
        /// The tag of the write, by which a writer that got no reply learns whether it took effect.
        pub writer: WriterTag,
        /// The epoch, which grows with every change of the grantors.
        pub epoch: Epoch,
        /// The grantors of this epoch, in the order in which they become the coordinator.
        pub grantors: Vec<Grantor>,
        /// The grantor sets of older epochs that may not have stopped granting leases yet.
        pub unsealed: Vec<GrantorSet>,
        /// The members, sorted by session.
        pub members: Vec<MemberEntry>,
        /// The assignments, sorted by partition.
        pub assignments: Vec<Assignment>,
    }
}

/// The largest valid epoch or fence. Neither can be reached by counting changes, and the headroom
/// above it prevents overflow when they are incremented.
const MAX_COUNT: u64 = u64::MAX / 2;

impl CellRow {
    /// Returns whether the epoch and the fences can be incremented without overflow. The format of
    /// a row is checked by whoever reads it.
    pub fn has_valid_counters(&self) -> bool {
        let fences = self.assignments.iter().map(|a| a.fence.0);
        fences.chain([self.epoch.0]).all(|n| n <= MAX_COUNT)
    }

    /// Returns the assignment of `partition`.
    pub fn assignment(&self, partition: Partition) -> Option<&Assignment> {
        let index = self.assignments.binary_search_by_key(&partition, |a| a.partition).ok()?;
        self.assignments.get(index)
    }

    /// Returns the member with `session`.
    pub fn member(&self, session: Session) -> Option<&MemberEntry> {
        let index = self.members.binary_search_by_key(&session, |m| m.session).ok()?;
        self.members.get(index)
    }

    /// Returns whether `session` is the owner or the standby of a partition.
    pub fn has_claims(&self, session: Session) -> bool {
        let claims = |a: &Assignment| a.owner == session || a.standby == Some(session);
        self.assignments.iter().any(claims)
    }

    /// Returns whether `session` is a member or holds a claim.
    pub fn references(&self, session: Session) -> bool {
        self.member(session).is_some() || self.has_claims(session)
    }

    /// Returns whether this incarnation of a host process is a grantor.
    pub fn is_grantor(&self, incarnation: Incarnation) -> bool {
        self.grantors.iter().any(|g| g.incarnation == incarnation)
    }
}

derive_common! {
    data
    /// A row with the version under which it is stored.
    pub struct VersionedRow {
        /// The version, which the table service assigns.
        pub version: RowVersion,
        /// The content of the row.
        pub row: CellRow,
    }
}
