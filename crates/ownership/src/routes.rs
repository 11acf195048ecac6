//! Builds the routing table from the row, the takeovers and the members that accept requests.

use model::{Fence, HostAddr, Partition, ZoneName};

use crate::{RouteEntry, RouteTable, RoutesVersion, VersionedRow};

/// A takeover that is not in the row yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Takeover {
    pub(crate) partition: Partition,
    pub(crate) fence: Fence,
    pub(crate) owner: HostAddr,
}

/// Builds the routing table of a row. `accepts_requests` tells whether requests may be sent to a
/// member.
pub(crate) fn build(
    known: &VersionedRow,
    takeovers: &[Takeover],
    revision: u32,
    accepts_requests: impl Fn(model::Session) -> bool,
) -> RouteTable {
    let row = &known.row;
    let route = |a: &crate::Assignment| {
        let takeover = takeovers.iter().find(|t| t.partition == a.partition && t.fence > a.fence);
        let stored = || Some((a.fence, row.member(a.owner)?.addr));
        let (fence, owner) = takeover.map(|t| (t.fence, t.owner)).or_else(stored)?;
        Some(RouteEntry { partition: a.partition, fence, owner })
    };
    let accepting = row.members.iter().filter(|m| accepts_requests(m.session));
    let mut members: Vec<(HostAddr, ZoneName)> =
        accepting.map(|m| (m.addr, m.zone.clone())).collect();
    members.sort_unstable();
    members.dedup();
    RouteTable {
        version: RoutesVersion { row: known.version, revision },
        grantors: row.grantors.iter().map(|g| g.addr).collect(),
        members,
        routes: row.assignments.iter().filter_map(route).collect(),
    }
}
