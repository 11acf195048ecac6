//! The planner and its baselines, behind one face.

use model::{Incarnation, Session, ZoneName};
use placement::{Change, Input, Limits, MemberLoad, PartitionLoad, Stage, plan};

/// Availability zones per cell.
const ZONES: usize = 3;

const SLOTS: u32 = 18;

/// Moves per plan of the planner under test.
const MOVES: u32 = 4;

/// One way to place partitions.
pub(super) struct Strategy {
    pub(super) name: &'static str,
    /// What the strategy does with one cell; returns the moves.
    act: fn(&mut Cell) -> usize,
}

/// All strategies.
pub(super) const STRATEGIES: [Strategy; 5] = [
    Strategy { name: "plain hashing", act: |_| 0 },
    Strategy { name: "greedy", act: greedy },
    Strategy { name: "planner 10%", act: |cell| cell.follow_plan(10) },
    Strategy { name: "planner 20%", act: |cell| cell.follow_plan(20) },
    Strategy { name: "planner 40%", act: |cell| cell.follow_plan(40) },
];

/// One cell with the assignments that a strategy made.
pub(super) struct Cell {
    input: Input,
    first: usize,
}

impl Cell {
    /// Makes a cell whose partitions, numbered from `first`, are spread by number.
    pub(super) fn new(members: usize, first: usize, partitions: usize) -> Self {
        let members: Vec<MemberLoad> = (0..members).map(member).collect();
        let partitions = (0..partitions).map(|i| spread(&members, first, i)).collect();
        Self { input: Input { members, partitions }, first }
    }

    /// Takes in the loads, lets the strategy act, and returns the moves.
    pub(super) fn plan(&mut self, loads: &[u64], strategy: &Strategy) -> usize {
        for (p, load) in self.input.partitions.iter_mut().zip(&loads[self.first..]) {
            p.millirequests_per_second = *load;
        }
        (strategy.act)(self)
    }

    /// Returns the load of the busiest member, divided by the mean.
    pub(super) fn imbalance(&self, loads: &[u64]) -> f64 {
        let sums = self.sums(|p| loads[p.partition.0 as usize]);
        let total: u64 = sums.iter().sum();
        let max = sums.iter().max().copied().unwrap_or(0);
        max as f64 * sums.len() as f64 / total as f64
    }

    fn sums(&self, load: impl Fn(&PartitionLoad) -> u64) -> Vec<u64> {
        let mut sums = vec![0; self.input.members.len()];
        for p in &self.input.partitions {
            let owner = p.owner.map_or(0, |s| index(s));
            sums[owner] += load(p);
        }
        sums
    }

    fn follow_plan(&mut self, hysteresis_percent: u32) -> usize {
        let limits = Limits { moves: MOVES, hysteresis_percent };
        let changes = plan(&self.input, &limits);
        changes.into_iter().map(|change| self.carry_out(change)).sum()
    }

    fn carry_out(&mut self, change: Change) -> usize {
        let first = self.first;
        let (Change::Own { partition, .. } | Change::StandBy { partition, .. }) = change;
        let p = &mut self.input.partitions[partition.0 as usize - first];
        match change {
            Change::Own { owner, .. } => {
                p.owner = Some(owner);
                p.standby = p.standby.filter(|&s| s != owner);
                1
            }
            Change::StandBy { standby, .. } => {
                p.standby = Some(standby);
                0
            }
        }
    }
}

fn member(index: usize) -> MemberLoad {
    let zone = ZoneName::new(&format!("zone-{}", index % ZONES)).expect("the name is short");
    let session = session(index);
    MemberLoad { session, zone, slots: SLOTS, stage: Stage::Cold { age: super::WARM } }
}

fn session(index: usize) -> Session {
    Session { incarnation: Incarnation(index as u64), number: 1 }
}

fn index(session: Session) -> usize {
    usize::try_from(session.incarnation.0).unwrap_or(0)
}

fn spread(members: &[MemberLoad], first: usize, index: usize) -> PartitionLoad {
    let owner = index % members.len();
    let standby = (owner + 1) % members.len();
    PartitionLoad {
        partition: super::partition(first + index),
        millirequests_per_second: 0,
        owner: Some(members[owner].session),
        standby: Some(members[standby].session),
    }
}

/// Moves the best partition from the busiest to the idlest member while that helps at all.
fn greedy(cell: &mut Cell) -> usize {
    let mut moves = 0;
    while let Some((p, target)) = greedy_step(cell) {
        cell.input.partitions[p].owner = Some(cell.input.members[target].session);
        moves += 1;
    }
    moves
}

fn greedy_step(cell: &Cell) -> Option<(usize, usize)> {
    let sums = cell.sums(|p| p.millirequests_per_second);
    let source = (0..sums.len()).max_by_key(|&m| sums[m])?;
    let target = (0..sums.len()).min_by_key(|&m| sums[m])?;
    let owned = cell.input.partitions.iter().enumerate();
    let owned = owned.filter(|(_, p)| p.owner.is_some_and(|s| index(s) == source));
    let after = |load: u64| (sums[source] - load).max(sums[target] + load);
    let best = owned.min_by_key(|(_, p)| after(p.millirequests_per_second))?;
    (after(best.1.millirequests_per_second) < sums[source]).then_some((best.0, target))
}
