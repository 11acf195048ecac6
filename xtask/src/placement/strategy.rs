//! The planner and its baselines, behind one face.

use model::{Incarnation, Session, ZoneName};
use placement::{Change, MemberStage, MemberState, PartitionState, PlanInput, PlanLimits, plan};

/// Availability zones per cell.
const ZONES: usize = 3;

const SLOTS: u32 = 18;

/// Members are called overloaded above this many times the mean.
const EXCESS_FROM: f64 = 1.25;

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
    Strategy { name: "planner 30%", act: |cell| cell.follow_plan(30) },
];

/// How uneven the loads of a cell's members are.
pub(super) struct Imbalance {
    /// The load of the busiest member, divided by the mean.
    pub(super) max: f64,
    /// The least that `max` can be with whole partitions.
    pub(super) least: f64,
    /// The share of the load that lies above 1.25 times the mean of its member, without what
    /// single partitions make unavoidable.
    pub(super) excess: f64,
}

/// One cell with the assignments that a strategy made.
pub(super) struct Cell {
    input: PlanInput,
    first: usize,
}

impl Cell {
    /// Makes a cell whose partitions, numbered from `first`, are spread by number.
    pub(super) fn new(members: usize, first: usize, partitions: usize) -> Self {
        let members: Vec<MemberState> = (0..members).map(member).collect();
        let partitions = (0..partitions).map(|i| spread(&members, first, i)).collect();
        Self { input: PlanInput { members, partitions }, first }
    }

    /// Takes in the loads, lets the strategy act, and returns the moves.
    pub(super) fn plan(&mut self, loads: &[u64], strategy: &Strategy) -> usize {
        for (p, load) in self.input.partitions.iter_mut().zip(&loads[self.first..]) {
            p.millirequests_per_second = *load;
        }
        (strategy.act)(self)
    }

    /// Returns how uneven the loads are.
    pub(super) fn imbalance(&self, loads: &[u64]) -> Imbalance {
        let load = |p: &PartitionState| loads[p.partition.0 as usize];
        let sums = self.sums(load);
        let partitions: Vec<u64> = self.input.partitions.iter().map(load).collect();
        let total = sums.iter().sum::<u64>() as f64;
        let mean = total / sums.len() as f64;
        let least = (max(&partitions) / mean).max(1.0);
        let excess = excess(&sums, mean) - excess(&partitions, mean);
        Imbalance { max: max(&sums) / mean, least, excess: excess / total }
    }

    fn sums(&self, load: impl Fn(&PartitionState) -> u64) -> Vec<u64> {
        let mut sums = vec![0; self.input.members.len()];
        for p in &self.input.partitions {
            let owner = p.owner.map_or(0, index);
            sums[owner] += load(p);
        }
        sums
    }

    fn partitions_of(&self, member: usize) -> impl Iterator<Item = usize> + '_ {
        let partitions = self.input.partitions.iter().enumerate();
        let owned = partitions.filter(move |(_, p)| p.owner.map(index) == Some(member));
        owned.map(|(i, _)| i)
    }

    fn follow_plan(&mut self, hysteresis_percent: u32) -> usize {
        let limits = PlanLimits { max_moves: MOVES, hysteresis_percent };
        let changes = plan(&self.input, &limits);
        changes.into_iter().map(|change| self.carry_out(change)).sum()
    }

    fn carry_out(&mut self, change: Change) -> usize {
        let first = self.first;
        let (Change::SetOwner { partition, .. } | Change::SetStandby { partition, .. }) = change;
        let p = &mut self.input.partitions[partition.0 as usize - first];
        match change {
            Change::SetOwner { owner, .. } => {
                p.owner = Some(owner);
                p.standby = p.standby.filter(|&s| s != owner);
                1
            }
            Change::SetStandby { standby, .. } => {
                p.standby = Some(standby);
                0
            }
        }
    }
}

fn member(index: usize) -> MemberState {
    let zone = ZoneName::new(&format!("zone-{}", index % ZONES)).expect("the name is short");
    let session = session(index);
    MemberState { session, zone, slots: SLOTS, stage: MemberStage::Cold { age: super::WARM } }
}

fn session(index: usize) -> Session {
    Session { incarnation: Incarnation(index as u64), number: 1 }
}

fn index(session: Session) -> usize {
    usize::try_from(session.incarnation.0).unwrap_or(0)
}

fn spread(members: &[MemberState], first: usize, index: usize) -> PartitionState {
    let owner = index % members.len();
    let standby = (owner + 1) % members.len();
    PartitionState {
        partition: super::partition(first + index),
        millirequests_per_second: 0,
        owner: Some(members[owner].session),
        standby: Some(members[standby].session),
    }
}

fn max(loads: &[u64]) -> f64 {
    loads.iter().max().copied().unwrap_or(0) as f64
}

fn excess(loads: &[u64], mean: f64) -> f64 {
    loads.iter().map(|&load| (load as f64 - EXCESS_FROM * mean).max(0.0)).sum()
}

/// Moves the best partition from the busiest member to the idlest while that helps, and goes on
/// with the next busiest when it does not.
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
    let target = (0..sums.len()).min_by_key(|&m| sums[m])?;
    let mut sources: Vec<usize> = (0..sums.len()).collect();
    sources.sort_by_key(|&m| std::cmp::Reverse(sums[m]));
    sources.into_iter().find_map(|source| {
        let after = |p: usize| {
            let load = cell.input.partitions[p].millirequests_per_second;
            (sums[source] - load).max(sums[target] + load)
        };
        let best = cell.partitions_of(source).min_by_key(|&p| after(p))?;
        (after(best) < sums[source]).then_some((best, target))
    })
}
