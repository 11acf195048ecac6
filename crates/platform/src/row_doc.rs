//! The stored JSON form of a cell's row, which is validated when it is read and written.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use model::{Epoch, Fence, HostAddr, Incarnation, Partition, Session, WriterTag, ZoneName};
use ownership::{Assignment, CellRow, Grantor, GrantorSet, MemberEntry};
use serde::{Deserialize, Serialize};
use snafu::ensure;

use crate::RowError;
use crate::error::{
    EmptySnafu, OddFenceSnafu, PartitionRangeSnafu, RepeatedSnafu, SessionZeroSnafu, TooManySnafu,
    UnsealedEpochSnafu, UnsortedSnafu,
};

/// The most members of a cell.
pub const MAX_MEMBERS: usize = papayarill_config::MAX_HOSTS_PER_CELL as usize;

/// The most grantors of one epoch.
pub const MAX_GRANTORS: usize = 5;

/// The most older sets of grantors that are not yet sealed.
pub const MAX_UNSEALED: usize = 64;

/// The largest partition number of any service.
pub const MAX_PARTITION: u32 = papayarill_config::MAX_PARTITIONS_PER_SERVICE - 1;

/// The stored JSON form of a cell's row.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RowDoc {
    writer: u64,
    epoch: u64,
    grantors: Vec<GrantorDoc>,
    unsealed: Vec<GrantorSetDoc>,
    members: Vec<MemberDoc>,
    assignments: Vec<AssignmentDoc>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct GrantorDoc {
    addr: SocketAddr,
    incarnation: u64,
    zone: ZoneName,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct GrantorSetDoc {
    epoch: u64,
    grantors: Vec<GrantorDoc>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct MemberDoc {
    session: SessionDoc,
    addr: SocketAddr,
    zone: ZoneName,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct AssignmentDoc {
    partition: u32,
    fence: u64,
    owner: SessionDoc,
    standby: Option<SessionDoc>,
}

/// Incarnation and number of a session. It is an array in JSON, which keeps large rows compact.
#[derive(Clone, Copy, Serialize, Deserialize)]
struct SessionDoc(u64, u32);

impl From<&CellRow> for RowDoc {
    fn from(row: &CellRow) -> Self {
        Self {
            writer: row.writer.0,
            epoch: row.epoch.0,
            grantors: row.grantors.iter().map(GrantorDoc::from).collect(),
            unsealed: row.unsealed.iter().map(GrantorSetDoc::from).collect(),
            members: row.members.iter().map(MemberDoc::from).collect(),
            assignments: row.assignments.iter().map(AssignmentDoc::from).collect(),
        }
    }
}

impl From<&Grantor> for GrantorDoc {
    fn from(grantor: &Grantor) -> Self {
        Self {
            addr: grantor.addr.0,
            incarnation: grantor.incarnation.0,
            zone: grantor.zone.clone(),
        }
    }
}

impl From<&GrantorSet> for GrantorSetDoc {
    fn from(set: &GrantorSet) -> Self {
        let grantors = set.grantors.iter().map(GrantorDoc::from).collect();
        Self { epoch: set.epoch.0, grantors }
    }
}

impl From<&MemberEntry> for MemberDoc {
    fn from(member: &MemberEntry) -> Self {
        Self { session: member.session.into(), addr: member.addr.0, zone: member.zone.clone() }
    }
}

impl From<&Assignment> for AssignmentDoc {
    fn from(assignment: &Assignment) -> Self {
        Self {
            partition: assignment.partition.0,
            fence: assignment.fence.0,
            owner: assignment.owner.into(),
            standby: assignment.standby.map(SessionDoc::from),
        }
    }
}

impl From<Session> for SessionDoc {
    fn from(session: Session) -> Self {
        Self(session.incarnation.0, session.number)
    }
}

impl From<SessionDoc> for Session {
    fn from(doc: SessionDoc) -> Self {
        Self { incarnation: Incarnation(doc.0), number: doc.1 }
    }
}

impl TryFrom<RowDoc> for CellRow {
    type Error = RowError;

    fn try_from(doc: RowDoc) -> Result<Self, RowError> {
        let row = Self {
            writer: WriterTag(doc.writer),
            epoch: Epoch(doc.epoch),
            grantors: doc.grantors.into_iter().map(Grantor::from).collect(),
            unsealed: doc.unsealed.into_iter().map(GrantorSet::from).collect(),
            members: doc.members.into_iter().map(MemberEntry::from).collect(),
            assignments: doc.assignments.into_iter().map(Assignment::from).collect(),
        };
        validate(&row)?;
        Ok(row)
    }
}

// The conversions below change no value and check nothing; `validate` then checks the whole row.

impl From<GrantorDoc> for Grantor {
    fn from(doc: GrantorDoc) -> Self {
        Self { addr: HostAddr(doc.addr), incarnation: Incarnation(doc.incarnation), zone: doc.zone }
    }
}

impl From<GrantorSetDoc> for GrantorSet {
    fn from(doc: GrantorSetDoc) -> Self {
        let grantors = doc.grantors.into_iter().map(Grantor::from).collect();
        Self { epoch: Epoch(doc.epoch), grantors }
    }
}

impl From<MemberDoc> for MemberEntry {
    fn from(doc: MemberDoc) -> Self {
        Self { session: doc.session.into(), addr: HostAddr(doc.addr), zone: doc.zone }
    }
}

impl From<AssignmentDoc> for Assignment {
    fn from(doc: AssignmentDoc) -> Self {
        Self {
            partition: Partition(doc.partition),
            fence: Fence(doc.fence),
            owner: doc.owner.into(),
            standby: doc.standby.map(Session::from),
        }
    }
}

/// Encodes a row to its stored JSON form. An invalid row is an error, since no reader would accept
/// it and its cell would be blocked for good.
pub fn encode_row(row: &CellRow) -> Result<Vec<u8>, RowError> {
    validate(row)?;
    serde_json::to_vec(&RowDoc::from(row)).map_err(syntax_error)
}

/// Decodes and validates a row from its stored JSON form.
pub fn decode_row(json: &[u8]) -> Result<CellRow, RowError> {
    let doc: RowDoc = serde_json::from_slice(json).map_err(syntax_error)?;
    CellRow::try_from(doc)
}

fn syntax_error(error: serde_json::Error) -> RowError {
    RowError::Syntax { message: error.to_string() }
}

/// Checks the invariants that every reader of a row relies on.
fn validate(row: &CellRow) -> Result<(), RowError> {
    check_grantors("grantors", &row.grantors)?;
    check_unsealed(row)?;
    check_members(&row.members)?;
    check_assignments(&row.assignments)
}

fn check_grantors(list: &'static str, grantors: &[Grantor]) -> Result<(), RowError> {
    ensure!(!grantors.is_empty(), EmptySnafu { list });
    check_length(list, grantors.len(), MAX_GRANTORS)?;
    for (index, grantor) in grantors.iter().enumerate() {
        let same = |g: &Grantor| g.incarnation == grantor.incarnation;
        ensure!(!grantors[..index].iter().any(same), RepeatedSnafu { list, index });
    }
    Ok(())
}

fn check_unsealed(row: &CellRow) -> Result<(), RowError> {
    check_length("unsealed", row.unsealed.len(), MAX_UNSEALED)?;
    for (index, set) in row.unsealed.iter().enumerate() {
        let older = set.epoch < row.epoch;
        ensure!(older, UnsealedEpochSnafu { index, found: set.epoch.0, epoch: row.epoch.0 });
        let same = |s: &GrantorSet| s.epoch == set.epoch;
        let repeated = row.unsealed[..index].iter().any(same);
        ensure!(!repeated, RepeatedSnafu { list: "unsealed", index });
        check_grantors("unsealed.grantors", &set.grantors)?;
    }
    Ok(())
}

fn check_members(members: &[MemberEntry]) -> Result<(), RowError> {
    check_length("members", members.len(), MAX_MEMBERS)?;
    check_sorted("members", members, |m| m.session)?;
    for (index, member) in members.iter().enumerate() {
        check_session("members", index, member.session)?;
    }
    Ok(())
}

fn check_assignments(assignments: &[Assignment]) -> Result<(), RowError> {
    check_sorted("assignments", assignments, |a| a.partition)?;
    for (index, assignment) in assignments.iter().enumerate() {
        let partition = assignment.partition.0;
        let limit = MAX_PARTITION;
        ensure!(partition <= limit, PartitionRangeSnafu { index, found: partition, limit });
        let fence = assignment.fence.0;
        ensure!(fence.is_multiple_of(2), OddFenceSnafu { index, found: fence });
        check_session("assignments", index, assignment.owner)?;
        if let Some(standby) = assignment.standby {
            check_session("assignments", index, standby)?;
        }
    }
    Ok(())
}

fn check_length(list: &'static str, found: usize, limit: usize) -> Result<(), RowError> {
    ensure!(found <= limit, TooManySnafu { list, found, limit });
    Ok(())
}

fn check_session(list: &'static str, index: usize, session: Session) -> Result<(), RowError> {
    ensure!(session.number > 0, SessionZeroSnafu { list, index });
    Ok(())
}

fn check_sorted<T, K: Ord>(
    list: &'static str,
    entries: &[T],
    key: impl Fn(&T) -> K,
) -> Result<(), RowError> {
    let unsorted = entries.windows(2).position(|pair| key(&pair[0]) >= key(&pair[1]));
    match unsorted {
        Some(before) => UnsortedSnafu { list, index: before + 1 }.fail(),
        None => Ok(()),
    }
}
