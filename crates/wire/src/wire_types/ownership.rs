//! Wire types of the messages of the ownership protocol and of the types that they contain.

use std::net::SocketAddr;

use model::Session;
use ownership::{
    Assignment, CellRow, ClaimRef, Grantor, GrantorSet, Join, MemberEntry, Message,
    PartitionReport, RefusalReason, Release, Renew, Report, RouteEntry, RouteTable, RoutesVersion,
    VersionedRow,
};

use crate::wire_types::wire_type;

wire_type!(struct WireSession = Session { incarnation: u64, number: u32 });
wire_type!(struct WireGrantor = Grantor { addr: SocketAddr, incarnation: u64, zone: String });
wire_type!(struct WireGrantorSet = GrantorSet { epoch: u64, grantors: Vec<WireGrantor> });
wire_type!(struct WireMemberEntry = MemberEntry {
    session: WireSession,
    addr: SocketAddr,
    zone: String,
});
wire_type!(struct WireAssignment = Assignment {
    partition: u32,
    fence: u64,
    owner: WireSession,
    standby: Option<WireSession>,
});
wire_type!(struct WireCellRow = CellRow {
    writer: u64,
    epoch: u64,
    grantors: Vec<WireGrantor>,
    unsealed: Vec<WireGrantorSet>,
    members: Vec<WireMemberEntry>,
    assignments: Vec<WireAssignment>,
});
wire_type!(struct WireVersionedRow = VersionedRow { version: u64, row: WireCellRow });
wire_type!(struct WireJoin = Join {
    session: WireSession,
    addr: SocketAddr,
    zone: String,
    slots: u32,
});
wire_type!(struct WirePartitionReport = PartitionReport {
    partition: u32,
    millirequests_per_second: u64,
});
wire_type!(struct WireReport = Report {
    slots: u32,
    slots_in_use: u32,
    draining: bool,
    unfenced_grace: u64,
    partitions: Vec<WirePartitionReport>,
});
wire_type!(struct WireRenew = Renew {
    epoch: u64,
    session: WireSession,
    sent_at: u64,
    report: WireReport,
});
wire_type!(struct WireRoutesVersion = RoutesVersion { row: u64, revision: u32 });
wire_type!(struct WireRouteEntry = RouteEntry { partition: u32, fence: u64, owner: SocketAddr });
wire_type!(struct WireRouteTable = RouteTable {
    version: WireRoutesVersion,
    grantors: Vec<SocketAddr>,
    members: Vec<(SocketAddr, String)>,
    routes: Vec<WireRouteEntry>,
});
wire_type!(struct WireClaimRef = ClaimRef {
    epoch: u64,
    session: WireSession,
    partition: u32,
    fence: u64,
});
wire_type!(struct WireRelease = Release {
    claim: WireClaimRef,
    next: Option<SocketAddr>,
    time_limit: u64,
});
wire_type!(enum WireRefusalReason = RefusalReason {
    SessionExpired,
    OtherEpoch { epoch: u64, grantors: Vec<WireGrantor> },
    NotGrantor,
});
wire_type!(enum WireMessage = Message {
    Join(join: WireJoin),
    Renew(renew: WireRenew),
    Renewed {
        epoch: u64,
        session: WireSession,
        sent_at: u64,
        routes: WireRoutesVersion,
        config: u64,
        config_age: u64,
    },
    RenewRefused { session: WireSession, sent_at: u64, reason: WireRefusalReason },
    Assign { claim: WireClaimRef, handed_over_from: Option<u64>, first: bool },
    TakeOver(claim: WireClaimRef),
    Serving(claim: WireClaimRef),
    Release(release: WireRelease),
    Released { claim: WireClaimRef, handed_over: bool },
    ExpireSession { epoch: u64, session: WireSession },
    SessionExpired { epoch: u64, session: WireSession, remaining: u64 },
    Seal { epoch: u64, sealed: u64, grantors: Vec<WireGrantor>, incarnation: u64 },
    Sealed { epoch: u64, sealed: u64, incarnation: u64, expired: Vec<WireSession> },
    RowChanged(row: WireVersionedRow),
    GetRoutes(have: WireRoutesVersion),
    Routes(table: WireRouteTable),
});
