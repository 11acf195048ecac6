//! Planned moves, for which live members are asked to release their claims.
//!
//! A partition always moves to its standby. If the next owner is not the standby yet, the row first
//! makes it the standby, which interrupts no owner. If the store then fails after the owner has
//! released the partition, the standby can still take over.

use model::{Fence, HostAddr, Millis, Partition, Session};

use crate::cx::Cx;
use crate::{Assignment, CellRow, ClaimRef, Message, Release};

/// A planned change of one assignment.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Move {
    pub(crate) partition: Partition,
    /// The fence of the assignment to change.
    pub(crate) fence: Fence,
    /// The next owner; the current one if only the standby changes.
    pub(crate) owner: Session,
    /// The next standby; `None` leaves the choice to the planner.
    pub(crate) standby: Option<Session>,
    /// When the move is abandoned.
    pub(crate) deadline: Millis,
    /// The claimant that was last asked to release its claim, and when.
    pub(crate) last_release: Option<(Session, Millis)>,
}

impl Move {
    /// Returns the owner and standby to write to the row next.
    pub(crate) fn target(&self, assignment: &Assignment) -> (Session, Option<Session>) {
        if self.owner == assignment.owner || assignment.standby == Some(self.owner) {
            return (self.owner, self.standby);
        }
        (assignment.owner, Some(self.owner))
    }
}

/// A claim that a member released in the current epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ReleasedClaim {
    pub(crate) partition: Partition,
    pub(crate) session: Session,
    pub(crate) fence: Fence,
    pub(crate) handed_over: bool,
}

/// The moves in progress and the claims that were released.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Moves {
    /// Sorted by partition.
    moves: Vec<Move>,
    released: Vec<ReleasedClaim>,
}

/// Commands.
impl Moves {
    /// Starts a move, unless the partition has one already.
    pub(crate) fn start(&mut self, new: Move, reason: &str, cx: &mut Cx<'_>) {
        let Err(index) = self.moves.binary_search_by_key(&new.partition, |m| m.partition) else {
            return;
        };
        let text = format!("to session {}: {reason}", new.owner);
        cx.record(Some(new.partition), "move", text);
        self.moves.insert(index, new);
    }

    /// Notes that a member released its claim.
    pub(crate) fn on_released(&mut self, claim: &ClaimRef, handed_over: bool) {
        let ClaimRef { session, partition, fence, .. } = *claim;
        let released = ReleasedClaim { partition, session, fence, handed_over };
        if !self.released.contains(&released) {
            self.released.push(released);
        }
    }

    /// Advances the moves to the row and abandons those that are past their deadline or whose next
    /// owner is lost. Returns the partitions whose move is over; their owners may have to be
    /// ordered to serve again.
    pub(crate) fn sync_with_row(
        &mut self,
        row: &CellRow,
        is_lost: impl Fn(Session) -> bool,
        cx: &mut Cx<'_>,
    ) -> Vec<Partition> {
        self.released.retain(|r| row.assignment(r.partition).is_none_or(|a| a.fence <= r.fence));
        let mut finished = Vec::new();
        self.moves.retain_mut(|m| {
            let is_current = advance(m, row);
            let timed_out = cx.now >= m.deadline;
            if timed_out {
                cx.record(Some(m.partition), "move-undone", "no release in time".to_owned());
            }
            let is_active = is_current && !timed_out && !is_lost(m.owner);
            if !is_active {
                finished.push(m.partition);
            }
            is_active
        });
        finished
    }

    /// Asks for the release of the claims that block the moves. An owner is asked only once it
    /// serves under the fence of the row, so that its request records carry that fence.
    pub(crate) fn send_releases(
        &mut self,
        row: &CellRow,
        serves: impl Fn(&Assignment) -> bool,
        cx: &mut Cx<'_>,
    ) {
        let pause = cx.timing().renew_interval;
        for i in 0..self.moves.len() {
            let Some(assignment) = row.assignment(self.moves[i].partition) else {
                continue;
            };
            let Some(session) = self.next_claimant_to_release(&self.moves[i], assignment) else {
                continue;
            };
            let last_sent_at =
                self.moves[i].last_release.filter(|(s, _)| *s == session).map(|(_, at)| at);
            let waits =
                session == assignment.owner && last_sent_at.is_none() && !serves(assignment);
            if waits || !cx.is_due(last_sent_at, pause) {
                continue;
            }
            self.moves[i].last_release = Some((session, cx.now));
            send_release(row, &self.moves[i], assignment, session, cx);
        }
    }
}

/// Queries.
impl Moves {
    pub(crate) fn get(&self, partition: Partition) -> Option<&Move> {
        let index = self.moves.binary_search_by_key(&partition, |m| m.partition).ok()?;
        self.moves.get(index)
    }

    pub(crate) fn len(&self) -> usize {
        self.moves.len()
    }

    /// Returns whether the owner of an assignment was asked to release it.
    pub(crate) fn is_owner_release_sent(&self, assignment: &Assignment) -> bool {
        let last_release = self.get(assignment.partition).and_then(|m| m.last_release);
        last_release.is_some_and(|(session, _)| session == assignment.owner)
    }

    /// Returns the release by `session` of its claim on an assignment, if there was one.
    pub(crate) fn released(
        &self,
        session: Session,
        assignment: &Assignment,
    ) -> Option<&ReleasedClaim> {
        let same = |r: &&ReleasedClaim| {
            r.session == session
                && r.partition == assignment.partition
                && r.fence >= assignment.fence
        };
        self.released.iter().find(same)
    }

    /// Returns the next claimant that must release its claim before the row can be changed, if any.
    fn next_claimant_to_release(&self, m: &Move, assignment: &Assignment) -> Option<Session> {
        let (next_owner, _) = m.target(assignment);
        let claimants = [assignment.standby, Some(assignment.owner)];
        let blocking = claimants.into_iter().flatten().filter(|s| *s != next_owner);
        blocking.into_iter().find(|s| self.released(*s, assignment).is_none())
    }
}

/// Adopts the fence of the row if the row now names the next owner as the standby. Returns whether
/// the move still applies to the row.
fn advance(m: &mut Move, row: &CellRow) -> bool {
    let Some(a) = row.assignment(m.partition) else {
        return false;
    };
    let is_first_step = a.fence > m.fence && a.owner != m.owner && a.standby == Some(m.owner);
    if is_first_step {
        m.fence = a.fence;
        m.last_release = None;
    }
    a.fence == m.fence
}

fn send_release(
    row: &CellRow,
    m: &Move,
    assignment: &Assignment,
    session: Session,
    cx: &mut Cx<'_>,
) {
    let Some(member) = row.member(session) else {
        return;
    };
    let Assignment { partition, fence, .. } = *assignment;
    let is_owner = session == assignment.owner;
    let next = row.member(m.owner).filter(|_| is_owner).map(|n| n.addr);
    let claim = ClaimRef { epoch: row.epoch, session, partition, fence };
    let time_limit = cx.timing().release_time_limit;
    cx.send(member.addr, Message::Release(Release { claim, next, time_limit }));
}

/// Returns the address of a member of the row.
pub(crate) fn addr_of(row: &CellRow, session: Session) -> Option<HostAddr> {
    row.member(session).map(|m| m.addr)
}
