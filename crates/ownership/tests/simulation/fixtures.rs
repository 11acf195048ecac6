//! Hosts, rows and reports for the tests.

use model::{
    CellId, Epoch, Fence, HostAddr, Incarnation, Millis, Partition, RowVersion, ServiceName,
    Session, WriterTag, ZoneName,
};
use ownership::{
    Assignment, CellRow, Grantor, MemberEntry, NodeSettings, Report, Timing, VersionedRow,
};

pub fn addr(index: usize) -> HostAddr {
    HostAddr(format!("10.0.0.{}:7000", index + 1).parse().unwrap())
}

pub fn incarnation(index: usize, run: u64) -> Incarnation {
    Incarnation((index as u64 + 1) * 100 + run)
}

pub fn session(index: usize) -> Session {
    Session { incarnation: incarnation(index, 0), number: 1 }
}

pub fn zone(index: usize) -> ZoneName {
    ZoneName::new(&format!("zone-{index}")).unwrap()
}

pub fn grantor(index: usize) -> Grantor {
    Grantor { addr: addr(index), incarnation: incarnation(index, 0), zone: zone(index) }
}

pub fn member(index: usize) -> MemberEntry {
    MemberEntry { session: session(index), addr: addr(index), zone: zone(index) }
}

/// Returns a row at version 1 and epoch 1 with one assignment per entry of `owners`, which names
/// the owner and the standby. An owner that is its own standby has none.
pub fn first_row(hosts: usize, grantors: &[usize], owners: &[(usize, usize)]) -> VersionedRow {
    let assignment = |(p, (owner, standby)): (usize, &(usize, usize))| Assignment {
        partition: Partition(p as u32),
        fence: Fence(2),
        owner: session(*owner),
        standby: (owner != standby).then(|| session(*standby)),
    };
    let row = CellRow {
        writer: WriterTag(0),
        epoch: Epoch(1),
        grantors: grantors.iter().map(|g| grantor(*g)).collect(),
        unsealed: Vec::new(),
        members: (0..hosts).map(member).collect(),
        assignments: owners.iter().enumerate().map(assignment).collect(),
    };
    VersionedRow { version: RowVersion(1), row }
}

pub fn settings(index: usize, run: u64, partitions: u32, timing: Timing) -> NodeSettings {
    NodeSettings {
        cell: CellId { service: ServiceName::new("index-board").unwrap(), index: 0 },
        addr: addr(index),
        incarnation: incarnation(index, run),
        zone: zone(index),
        partitions: (Partition(0), Partition(partitions)),
        timing,
    }
}

pub fn report(slots: u32) -> Report {
    let unfenced_grace = Millis::ZERO;
    Report { slots, slots_in_use: 0, draining: false, unfenced_grace, partitions: Vec::new() }
}
