//! The messages between the host processes of one cell.
//!
//! A message is one-way. What the receiver answers is another message; the host process carries
//! answers back on the same stream. Any message may be lost, doubled, late or out of order.

use model::{
    ConfigVersion, Epoch, Fence, HostAddr, Millis, Partition, RowVersion, Session, ZoneName,
    derive_common,
};

use crate::{Grantor, VersionedRow};

derive_common! {
    data
    /// Asks the coordinator to make the sender a member.
    pub struct Join {
        /// The membership that the sender wants.
        pub session: Session,
        /// Where the sender listens.
        pub addr: HostAddr,
        /// The availability zone of the sender.
        pub zone: ZoneName,
        /// The slots of its backend server.
        pub slots: u32,
    }
}

derive_common! {
    value
    /// What an owner saw of one of its partitions lately.
    pub struct PartitionReport {
        /// The partition.
        pub partition: Partition,
        /// Requests per second, times 1,000.
        pub millirequests_per_second: u64,
    }
}

derive_common! {
    data
    /// What a member reports with each renewal.
    pub struct Report {
        /// The slots of the backend server; zero while no backend server is up.
        pub slots: u32,
        /// True slots in use, as the host process itself counts them.
        pub slots_in_use: u32,
        /// Whether the member is leaving and wants no partitions.
        pub draining: bool,
        /// How long the member's partitions wait after its lease ended without its consent. It
        /// is zero if its backend server checks fences, because then a late request is refused.
        pub unfenced_grace: Millis,
        /// The busiest partitions, sorted by partition.
        pub partitions: Vec<PartitionReport>,
    }
}

derive_common! {
    data
    /// Asks a grantor to promise the sender another term.
    pub struct Renew {
        /// The epoch that the sender knows.
        pub epoch: Epoch,
        /// The membership to renew.
        pub session: Session,
        /// The sender's clock when it sent this; the grantor gives it back unread.
        pub sent_at: Millis,
        /// What the member saw lately.
        pub report: Report,
    }
}

derive_common! {
    value
    /// Orders routing tables of one cell: a table is newer if it compares greater.
    #[derive(Default)]
    pub struct RoutesVersion {
        /// The version of the row that the table shows.
        pub row: RowVersion,
        /// How many takeovers and changes of the open members since that row the table shows.
        pub revision: u32,
    }
}

derive_common! {
    value
    /// Where the requests of one partition go.
    pub struct RouteEntry {
        /// The partition.
        pub partition: Partition,
        /// The fence under which the owner serves.
        pub fence: Fence,
        /// The host process of the owner.
        pub owner: HostAddr,
    }
}

derive_common! {
    data
    /// The routes of one cell. A route is a hint: only the owner's own check counts.
    #[derive(Default)]
    pub struct RouteTable {
        /// Which table this is.
        pub version: RoutesVersion,
        /// The grantors, which can be asked for newer tables, in order of succession.
        pub grantors: Vec<HostAddr>,
        /// The members that are not draining, with their zones, sorted by address.
        pub members: Vec<(HostAddr, ZoneName)>,
        /// The routes, sorted by partition.
        pub routes: Vec<RouteEntry>,
    }
}

derive_common! {
    value
    /// Names one assignment in an order of the coordinator.
    pub struct ClaimRef {
        /// The epoch of the coordinator.
        pub epoch: Epoch,
        /// The membership that the order is for.
        pub session: Session,
        /// The partition.
        pub partition: Partition,
        /// The fence of the assignment.
        pub fence: Fence,
    }
}

derive_common! {
    value
    /// Asks an owner or a standby to give up its claim.
    pub struct Release {
        /// The assignment to give up.
        pub claim: ClaimRef,
        /// The next owner, to which the request records go.
        pub next: Option<HostAddr>,
        /// How long the owner may take to finish what it started.
        pub time_limit: Millis,
    }
}

derive_common! {
    data
    /// Why a renewal was refused.
    pub enum RefusalReason {
        /// The session was ended; the member must rejoin under a new one.
        SessionExpired,
        /// The receiver knows another epoch, with these grantors.
        OtherEpoch {
            /// The epoch that the receiver knows.
            epoch: Epoch,
            /// Its grantors.
            grantors: Vec<Grantor>,
        },
        /// The receiver is no grantor; it is a process that restarted, or never was one.
        NotGrantor,
    }
}

derive_common! {
    data
    /// A message of the ownership protocol.
    pub enum Message {
        /// From a host that wants to be a member, to the coordinator.
        Join(Join),
        /// From a member to a grantor.
        Renew(Renew),
        /// From a grantor to a member: promised until the grantor's now + term.
        Renewed {
            /// The epoch of the promise.
            epoch: Epoch,
            /// The membership that is renewed.
            session: Session,
            /// Copied from the renewal.
            sent_at: Millis,
            /// The newest routing table that the grantor knows.
            routes: RoutesVersion,
            /// The newest configuration that the grantor knows to be accepted.
            config: ConfigVersion,
            /// How long ago the grantor learned that `config` is the newest.
            config_age: Millis,
        },
        /// From a grantor to a member: no promise was made.
        RenewRefused {
            /// The membership that asked.
            session: Session,
            /// Copied from the renewal.
            sent_at: Millis,
            /// Why.
            reason: RefusalReason,
        },
        /// From the coordinator to a member: serve this partition.
        Assign {
            /// The assignment.
            claim: ClaimRef,
            /// The fence under which it was served before, if the records were handed over.
            handed_over_from: Option<Fence>,
            /// Whether anyone owned the partition before.
            first: bool,
        },
        /// From a grantor to a standby: serve this partition, whose owner's lease is over.
        TakeOver(ClaimRef),
        /// From a member: it serves under this fence.
        Serving(ClaimRef),
        /// From the coordinator: give up the claim.
        Release(Release),
        /// From a member: it does not serve and refuses all orders up to `claim.fence + 1`.
        Released {
            /// The claim that was given up.
            claim: ClaimRef,
            /// Whether the request records reached the next owner.
            handed_over: bool,
        },
        /// From a grantor that ends a session to the other grantors.
        ExpireSession {
            /// The epoch of the sender.
            epoch: Epoch,
            /// The membership to end.
            session: Session,
        },
        /// The answer to `ExpireSession`.
        SessionExpired {
            /// The epoch of the mark.
            epoch: Epoch,
            /// The membership that is marked for the rest of the epoch.
            session: Session,
            /// How long the last promise to it still runs.
            remaining: Millis,
        },
        /// From the coordinator of a new epoch to a grantor of an older one: stop granting.
        Seal {
            /// The new epoch.
            epoch: Epoch,
            /// The older epoch that is to be sealed.
            sealed: Epoch,
            /// The grantors of the new epoch.
            grantors: Vec<Grantor>,
            /// The run of the host process that was grantor.
            incarnation: model::Incarnation,
        },
        /// The answer to `Seal`.
        Sealed {
            /// The new epoch.
            epoch: Epoch,
            /// The older epoch, in which this grantor never grants again.
            sealed: Epoch,
            /// The run of the host process that answers.
            incarnation: model::Incarnation,
            /// The sessions that it had marked as lapsed, sorted.
            expired: Vec<Session>,
        },
        /// From the coordinator to grantors and members: the row changed.
        RowChanged(VersionedRow),
        /// Asks for the routing table if it is newer than this one.
        GetRoutes(RoutesVersion),
        /// The answer to `GetRoutes`.
        Routes(RouteTable),
    }
}
