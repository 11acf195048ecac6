//! The row that the platform's table service keeps for each cell.
//!
//! The row holds all that has to outlive the processes. Every change of a cell is one
//! compare-and-set of this row, so racing writers have one winner.

use model::{Epoch, Fence, HostAddr, Incarnation, Partition, RowVersion, Session, WriterTag};
use model::{ZoneName, derive_common};

derive_common! {
    data
    /// One grantor of host leases.
    pub struct Grantor {
        /// Where the grantor listens.
        pub addr: HostAddr,
        /// The run of the host process; a restarted process is no grantor.
        pub incarnation: Incarnation,
        /// The availability zone of the host.
        pub zone: ZoneName,
    }
}

derive_common! {
    data
    /// The grantors of an older epoch, some of which may still renew leases.
    pub struct GrantorSet {
        /// The epoch in which the set granted leases.
        pub epoch: Epoch,
        /// The grantors, in order of succession.
        pub grantors: Vec<Grantor>,
    }
}

derive_common! {
    data
    /// One member of the cell, named so that a new coordinator can reach it.
    pub struct MemberEntry {
        /// The membership.
        pub session: Session,
        /// Where the member listens.
        pub addr: HostAddr,
        /// The availability zone of the host.
        pub zone: ZoneName,
    }
}

derive_common! {
    value
    /// Who owns one partition.
    pub struct Assignment {
        /// The partition.
        pub partition: Partition,
        /// The fence of this assignment; always even.
        pub fence: Fence,
        /// The owner.
        pub owner: Session,
        /// Who may take over at `fence + 1` without a write of the row.
        pub standby: Option<Session>,
    }
}

derive_common! {
    data
    /// What the platform keeps for one cell.
    pub struct CellRow {
        /// Tells a writer whose answer was lost whether its write took effect.
        pub writer: WriterTag,
        /// The generation of the grantors.
        pub epoch: Epoch,
        /// The grantors of this epoch, in order of succession as coordinator.
        pub grantors: Vec<Grantor>,
        /// Older sets that are not known to have stopped granting.
        pub unsealed: Vec<GrantorSet>,
        /// The members, sorted by session.
        pub members: Vec<MemberEntry>,
        /// The assignments, sorted by partition.
        pub assignments: Vec<Assignment>,
    }
}

/// Epochs and fences beyond this are no counts of changes; the room above it keeps sums exact.
const MAX_COUNT: u64 = u64::MAX / 2;

impl CellRow {
    /// Returns whether the numbers of the row can be counted on from. The form of a row that was
    /// read is checked where it is read.
    pub fn has_valid_counters(&self) -> bool {
        let fences = self.assignments.iter().map(|a| a.fence.0);
        fences.chain([self.epoch.0]).all(|n| n <= MAX_COUNT)
    }

    /// Returns the assignment of `partition`.
    pub fn assignment(&self, partition: Partition) -> Option<&Assignment> {
        let index = self.assignments.binary_search_by_key(&partition, |a| a.partition).ok()?;
        self.assignments.get(index)
    }

    /// Returns the member that holds `session`.
    pub fn member(&self, session: Session) -> Option<&MemberEntry> {
        let index = self.members.binary_search_by_key(&session, |m| m.session).ok()?;
        self.members.get(index)
    }

    /// Returns whether `session` owns a partition or is a standby.
    pub fn has_claims(&self, session: Session) -> bool {
        let claims = |a: &Assignment| a.owner == session || a.standby == Some(session);
        self.assignments.iter().any(claims)
    }

    /// Returns whether the row names `session` at all.
    pub fn references(&self, session: Session) -> bool {
        self.member(session).is_some() || self.has_claims(session)
    }

    /// Returns whether this run of a host process is a grantor.
    pub fn is_grantor(&self, incarnation: Incarnation) -> bool {
        self.grantors.iter().any(|g| g.incarnation == incarnation)
    }
}

derive_common! {
    data
    /// A row as it was read or written, with its version.
    pub struct VersionedRow {
        /// The version that the table service keeps for the row.
        pub version: RowVersion,
        /// The content.
        pub row: CellRow,
    }
}
