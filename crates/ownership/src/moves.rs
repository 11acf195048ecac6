//! Planned moves: claims that live members are asked to give up.
//!
//! A partition always moves to its standby. If the next owner is not the standby yet, the row
//! names it as such first, which stops nobody. Should the store fail once the owner has let go,
//! the standby can still take over.

use model::{Fence, HostAddr, Millis, Partition, Session};

use crate::cx::Cx;
use crate::{Assignment, CellRow, ClaimRef, Message, Release};

/// A planned change of one assignment.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Move {
    pub(crate) partition: Partition,
    /// The fence of the assignment that is to be changed.
    pub(crate) fence: Fence,
    /// The next owner; the present one if only the standby changes.
    pub(crate) owner: Session,
    /// The next standby; `None` leaves the choice to the planner.
    pub(crate) standby: Option<Session>,
    /// When the move is given up.
    pub(crate) until: Millis,
    /// Who was asked last to give up its claim, and when.
    pub(crate) asked: Option<(Session, Millis)>,
}

impl Move {
    /// Returns the owner and standby that the row should name next.
    pub(crate) fn target(&self, assignment: &Assignment) -> (Session, Option<Session>) {
        if self.owner == assignment.owner || assignment.standby == Some(self.owner) {
            return (self.owner, self.standby);
        }
        (assignment.owner, Some(self.owner))
    }
}

/// A claim that a member gave up at the current epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct GivenUp {
    pub(crate) partition: Partition,
    pub(crate) session: Session,
    pub(crate) fence: Fence,
    pub(crate) handed_over: bool,
}

/// The moves under way and the claims that were given up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Moves {
    /// Sorted by partition.
    moves: Vec<Move>,
    given_up: Vec<GivenUp>,
}

/// Commands.
impl Moves {
    /// Begins a move, unless the partition has one already.
    pub(crate) fn begin(&mut self, new: Move, reason: &str, cx: &mut Cx<'_>) {
        let Err(index) = self.moves.binary_search_by_key(&new.partition, |m| m.partition) else {
            return;
        };
        let text = format!("to session {}: {reason}", new.owner);
        cx.record(Some(new.partition), "move", text);
        self.moves.insert(index, new);
    }

    /// Notes that a member gave up its claim.
    pub(crate) fn on_released(&mut self, claim: &ClaimRef, handed_over: bool) {
        let ClaimRef { session, partition, fence, .. } = *claim;
        let given_up = GivenUp { partition, session, fence, handed_over };
        if !self.given_up.contains(&given_up) {
            self.given_up.push(given_up);
        }
    }

    /// Follows the row and gives up moves that took too long. Returns the partitions whose move
    /// is over; their owners may have to be told to go on.
    pub(crate) fn follow(
        &mut self,
        row: &CellRow,
        is_lost: impl Fn(Session) -> bool,
        cx: &mut Cx<'_>,
    ) -> Vec<Partition> {
        self.given_up.retain(|g| row.assignment(g.partition).is_none_or(|a| a.fence <= g.fence));
        let mut over = Vec::new();
        self.moves.retain_mut(|m| {
            let is_current = advance(m, row);
            let expired = cx.now >= m.until;
            if expired {
                cx.record(Some(m.partition), "move-undone", "no release in time".to_owned());
            }
            let stays = is_current && !expired && !is_lost(m.owner);
            if !stays {
                over.push(m.partition);
            }
            stays
        });
        over
    }

    /// Asks for the claims that stand in the way of the moves. An owner is asked only once it
    /// serves under the fence of the row, so that its records carry that fence.
    pub(crate) fn ask(
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
            let Some(session) = self.next_release(&self.moves[i], assignment) else {
                continue;
            };
            let asked_at = self.moves[i].asked.filter(|(s, _)| *s == session).map(|(_, at)| at);
            let waits = session == assignment.owner && asked_at.is_none() && !serves(assignment);
            if waits || !cx.is_due(asked_at, pause) {
                continue;
            }
            self.moves[i].asked = Some((session, cx.now));
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

    /// Returns whether the owner of an assignment was asked to give it up.
    pub(crate) fn is_leaving(&self, assignment: &Assignment) -> bool {
        let asked = self.get(assignment.partition).and_then(|m| m.asked);
        asked.is_some_and(|(session, _)| session == assignment.owner)
    }

    /// Returns how `session` gave up its claim on an assignment, if it did.
    pub(crate) fn given_up(&self, session: Session, assignment: &Assignment) -> Option<&GivenUp> {
        let same = |g: &&GivenUp| {
            g.session == session
                && g.partition == assignment.partition
                && g.fence >= assignment.fence
        };
        self.given_up.iter().find(same)
    }

    /// The claimant that has to let go before the row can be changed, if one has to.
    fn next_release(&self, m: &Move, assignment: &Assignment) -> Option<Session> {
        let (next_owner, _) = m.target(assignment);
        let claimants = [assignment.standby, Some(assignment.owner)];
        let in_the_way = claimants.into_iter().flatten().filter(|s| *s != next_owner);
        in_the_way.into_iter().find(|s| self.given_up(*s, assignment).is_none())
    }
}

/// Takes over the fence of the row if the row went one step along the move. Returns whether the
/// move still applies to the row.
fn advance(m: &mut Move, row: &CellRow) -> bool {
    let Some(a) = row.assignment(m.partition) else {
        return false;
    };
    let is_step = a.fence > m.fence && a.owner != m.owner && a.standby == Some(m.owner);
    if is_step {
        m.fence = a.fence;
        m.asked = None;
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
