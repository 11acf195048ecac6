//! Planned moves: claims that live members are asked to give up.

use model::{Fence, HostAddr, Millis, Partition, Session};

use crate::cx::Cx;
use crate::{Assignment, CellRow, Message, Release, Transfer};

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
    pub(crate) asked_at: Option<Millis>,
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
    pub(crate) fn on_released(&mut self, transfer: &Transfer, handed_over: bool) {
        let Transfer { session, partition, fence, .. } = *transfer;
        let given_up = GivenUp { partition, session, fence, handed_over };
        if !self.given_up.contains(&given_up) {
            self.given_up.push(given_up);
        }
    }

    /// Drops what the row has overtaken, and gives up moves that took too long.
    pub(crate) fn follow(
        &mut self,
        row: &CellRow,
        is_lost: impl Fn(Session) -> bool,
        cx: &mut Cx<'_>,
    ) {
        let is_current = |partition, fence| {
            row.assignment(partition).is_some_and(|a: &Assignment| a.fence <= fence)
        };
        self.given_up.retain(|g| is_current(g.partition, g.fence));
        self.moves.retain(|m| is_current(m.partition, m.fence));
        self.moves.retain(|m| {
            let expired = cx.now >= m.until;
            if expired {
                cx.record(Some(m.partition), "move-undone", "no release in time".to_owned());
            }
            !expired && !is_lost(m.owner)
        });
    }

    /// Asks for the claims that stand in the way of the moves: first the standby's, which stops
    /// nobody, and then the owner's.
    pub(crate) fn ask(&mut self, row: &CellRow, cx: &mut Cx<'_>) {
        let pause = cx.timing().renew_interval;
        for i in 0..self.moves.len() {
            let Some(assignment) = row.assignment(self.moves[i].partition) else {
                continue;
            };
            let Some(session) = self.next_release(&self.moves[i], assignment) else {
                continue;
            };
            if !cx.is_due(self.moves[i].asked_at, pause) {
                continue;
            }
            self.moves[i].asked_at = Some(cx.now);
            send_release(row, &self.moves[i], assignment, session, cx);
        }
    }

    /// Makes the next `ask` go on with the move of a partition at once.
    pub(crate) fn hasten(&mut self, partition: Partition) {
        if let Some(m) = self.moves.iter_mut().find(|m| m.partition == partition) {
            m.asked_at = None;
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

    /// Returns how `session` gave up its claim on an assignment, if it did.
    pub(crate) fn given_up(&self, session: Session, assignment: &Assignment) -> Option<&GivenUp> {
        let same = |g: &&GivenUp| {
            g.session == session
                && g.partition == assignment.partition
                && g.fence >= assignment.fence
        };
        self.given_up.iter().find(same)
    }

    fn next_release(&self, m: &Move, assignment: &Assignment) -> Option<Session> {
        let needed = |s: &Session| self.given_up(*s, assignment).is_none();
        let standby = assignment.standby.filter(|s| *s != m.owner);
        let owner = Some(assignment.owner).filter(|s| *s != m.owner);
        standby.filter(needed).or(owner.filter(needed))
    }
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
    let transfer = Transfer { epoch: row.epoch, session, partition, fence };
    let time_limit = cx.timing().release_time_limit;
    cx.send(member.addr, Message::Release(Release { transfer, next, time_limit }));
}

/// Returns the address of a member of the row.
pub(crate) fn addr_of(row: &CellRow, session: Session) -> Option<HostAddr> {
    row.member(session).map(|m| m.addr)
}
