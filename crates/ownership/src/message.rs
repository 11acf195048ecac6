//! The messages between the host processes of one cell.
//!
//! Messages are one-way: a reply is another message, which the host process sends back on the
//! same stream. Messages may be lost, duplicated, delayed or reordered.

use model::{
    ConfigVersion, Epoch, Fence, HostAddr, Millis, Partition, RowVersion, Session, ZoneName,
    derive_common,
};

use crate::{Grantor, VersionedRow};

derive_common! {
    data
    /// Asks the coordinator to make the sender a member.
    pub struct Join {
        /// The session under which the sender wants to be a member.
        pub session: Session,
        /// The address on which the sender listens.
        pub addr: HostAddr,
        /// The availability zone of the sender.
        pub zone: ZoneName,
        /// The number of slots of the sender's backend server.
        pub slots: u32,
    }
}

derive_common! {
    value
    /// The recent load of one partition, as its owner measured it.
    pub struct PartitionReport {
        /// The partition.
        pub partition: Partition,
        /// Requests per second, times 1,000.
        pub millirequests_per_second: u64,
    }
}

derive_common! {
    data
    /// The state that a member reports with each renewal.
    pub struct Report {
        /// The slots of the backend server; zero while no backend server is up.
        pub slots: u32,
        /// The slots in use, as the host process itself counts them.
        pub slots_in_use: u32,
        /// Whether the member is leaving and must get no partitions.
        pub draining: bool,
        /// How long the member's partitions wait for a new owner after its lease ran out. It is
        /// zero if its backend server checks fences, because then late requests are refused.
        pub unfenced_grace: Millis,
        /// The busiest partitions, sorted by partition.
        pub partitions: Vec<PartitionReport>,
    }
}

derive_common! {
    data
    /// Asks a grantor to renew the sender's lease for another term.
    pub struct Renew {
        /// The epoch that the sender knows.
        pub epoch: Epoch,
        /// The session to renew.
        pub session: Session,
        /// When the renewal was sent, on the sender's clock; the grantor only echoes it.
        pub sent_at: Millis,
        /// The state of the member.
        pub report: Report,
    }
}

derive_common! {
    value
    /// The version of a routing table. Of two tables of a cell, the greater version is newer.
    #[derive(Default)]
    pub struct RoutesVersion {
        /// The version of the row that the table was built from.
        pub row: RowVersion,
        /// How many takeovers, and changes of the members that accept requests, the table shows on
        /// top of that row.
        pub revision: u32,
    }
}

derive_common! {
    value
    /// The owner of one partition, to which its requests are sent.
    pub struct RouteEntry {
        /// The partition.
        pub partition: Partition,
        /// The fence under which the owner serves.
        pub fence: Fence,
        /// The address of the owner's host process.
        pub owner: HostAddr,
    }
}

derive_common! {
    data
    /// The routes of one cell. Routes are hints: only the owner itself decides whether it serves.
    #[derive(Default)]
    pub struct RouteTable {
        /// The version of the table.
        pub version: RoutesVersion,
        /// The grantors, which can be asked for newer tables, in the order in which they become the
        /// coordinator.
        pub grantors: Vec<HostAddr>,
        /// The members that accept requests, with their availability zones, sorted by address.
        pub members: Vec<(HostAddr, ZoneName)>,
        /// The routes, sorted by partition.
        pub routes: Vec<RouteEntry>,
    }
}

derive_common! {
    value
    /// Identifies the claim of one session on one partition in an order of the coordinator.
    pub struct ClaimRef {
        /// The epoch of the coordinator.
        pub epoch: Epoch,
        /// The session that the order is for.
        pub session: Session,
        /// The partition.
        pub partition: Partition,
        /// The fence of the claim.
        pub fence: Fence,
    }
}

derive_common! {
    value
    /// Asks an owner or a standby to release its claim.
    pub struct Release {
        /// The claim to release.
        pub claim: ClaimRef,
        /// The address of the next owner, which gets the request records.
        pub next: Option<HostAddr>,
        /// How long the owner may take to finish running requests.
        pub time_limit: Millis,
    }
}

derive_common! {
    data
    /// Why a lease renewal was refused.
    pub enum RefusalReason {
        /// The session was expired; the member must rejoin under a new one.
        SessionExpired,
        /// The recipient knows a later epoch, with these grantors.
        OtherEpoch {
            /// The epoch that the recipient knows.
            epoch: Epoch,
            /// The grantors of that epoch.
            grantors: Vec<Grantor>,
        },
        /// The recipient is not a grantor: it never was one, or its process restarted.
        NotGrantor,
    }
}

derive_common! {
    data
    /// A message of the ownership protocol.
    pub enum Message {
        /// From a host that wants to be a member to the coordinator.
        Join(Join),
        /// From a member to a grantor: renew the lease.
        Renew(Renew),
        /// From a grantor to a member: granted until one term from now on the grantor's clock.
        Renewed {
            /// The epoch of the grant.
            epoch: Epoch,
            /// The session that is renewed.
            session: Session,
            /// Copied from the renewal.
            sent_at: Millis,
            /// The newest routing table that the grantor knows.
            routes: RoutesVersion,
            /// The newest accepted configuration that the grantor knows.
            config: ConfigVersion,
            /// How long ago the grantor knew `config` to be the newest.
            config_age: Millis,
        },
        /// From a grantor to a member: the lease was not renewed.
        RenewRefused {
            /// The session whose renewal is refused.
            session: Session,
            /// Copied from the renewal.
            sent_at: Millis,
            /// The reason.
            reason: RefusalReason,
        },
        /// From the coordinator to a member: serve this partition.
        Assign {
            /// The claim.
            claim: ClaimRef,
            /// The fence of the previous owner, if that handed over its request records.
            handed_over_from: Option<Fence>,
            /// Whether this is the first owner that the partition ever had.
            first: bool,
        },
        /// From the coordinator to a standby: serve this partition, whose owner's claim has ended.
        TakeOver(ClaimRef),
        /// From a member to the coordinator: it serves the partition under this fence.
        Serving(ClaimRef),
        /// From the coordinator to a member: release the claim.
        Release(Release),
        /// From a member to the coordinator: it does not serve the partition and refuses all orders
        /// up to `claim.fence + 1`.
        Released {
            /// The claim that was released.
            claim: ClaimRef,
            /// Whether the request records reached the next owner.
            handed_over: bool,
        },
        /// From the coordinator to a grantor: grant this session no lease any more.
        ExpireSession {
            /// The epoch of the sender.
            epoch: Epoch,
            /// The session to expire.
            session: Session,
        },
        /// The reply to `ExpireSession`.
        SessionExpired {
            /// The epoch in which the session is expired.
            epoch: Epoch,
            /// The session, which is expired for the rest of the epoch.
            session: Session,
            /// How long the last grant to the session is still valid.
            remaining: Millis,
        },
        /// From a grantor of a new epoch to a grantor of an older one: stop granting leases.
        Seal {
            /// The new epoch.
            epoch: Epoch,
            /// The older epoch to seal.
            sealed: Epoch,
            /// The grantors of the new epoch.
            grantors: Vec<Grantor>,
            /// The incarnation of the host process that is the grantor of the older epoch.
            incarnation: model::Incarnation,
        },
        /// The reply to `Seal`.
        Sealed {
            /// The new epoch.
            epoch: Epoch,
            /// The older epoch, in which the sender never grants a lease again.
            sealed: Epoch,
            /// The incarnation of the host process that sends the reply.
            incarnation: model::Incarnation,
            /// The sessions that the sender had marked as expired, sorted.
            expired: Vec<Session>,
        },
        /// From the host that wrote the row to grantors and members: the row changed.
        RowChanged(VersionedRow),
        /// Asks for the routing table if it is newer than this one.
        GetRoutes(RoutesVersion),
        /// The reply to `GetRoutes`.
        Routes(RouteTable),
    }
}
