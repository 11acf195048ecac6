//! The planner and the baselines that it is compared with, behind a common interface.

use model::{Incarnation, Session, ZoneName};
use placement::{Change, MemberStage, MemberState, PartitionState, PlanInput, PlanLimits, plan};

/// Availability zones per cell.
const ZONES: usize = 3;

const SLOTS: u32 = 18;

/// Members whose load is above this multiple of the mean count as overloaded.
const OVERLOAD_FACTOR: f64 = 1.25;

/// The maximum number of moves per plan of the planner.
const MAX_MOVES: u32 = 4;

/// A way to place partitions.
pub(super) struct Strategy {
    pub(super) name: &'static str,
    /// Moves partitions of a cell and returns the number of moves.
    rebalance: fn(&mut Cell) -> usize,
}

/// All strategies.
pub(super) const STRATEGIES: [Strategy; 5] = [
    Strategy { name: "plain hashing", rebalance: |_| 0 },
    Strategy { name: "greedy", rebalance: greedy },
    Strategy { name: "planner 10%", rebalance: |cell| cell.follow_plan(10) },
    Strategy { name: "planner 20%", rebalance: |cell| cell.follow_plan(20) },
    Strategy { name: "planner 30%", rebalance: |cell| cell.follow_plan(30) },
];

/// How uneven the loads of a cell's members are.
pub(super) struct Imbalance {
    /// The load of the busiest member divided by the mean load.
    pub(super) max: f64,
    /// A lower bound of `max`, given that partitions cannot be split.
    pub(super) lower_bound: f64,
    /// The fraction of the load by which members exceed 1.25 times the mean, without the part that
    /// single partitions make unavoidable.
    pub(super) excess: f64,
}

/// A cell with the assignments that a strategy has made.
pub(super) struct Cell {
    input: PlanInput,
    first_partition: usize,
}

impl Cell {
    /// Creates a cell whose partitions, numbered from `first_partition`, are assigned round-robin.
    pub(super) fn new(members: usize, first_partition: usize, partitions: usize) -> Self {
        let members: Vec<MemberState> = (0..members).map(member).collect();
        let partitions =
            (0..partitions).map(|i| initial_partition(&members, first_partition, i)).collect();
        Self { input: PlanInput { members, partitions }, first_partition }
    }

    /// Updates the loads, runs the strategy, and returns the number of moves.
    pub(super) fn plan(&mut self, loads: &[u64], strategy: &Strategy) -> usize {
        for (p, load) in self.input.partitions.iter_mut().zip(&loads[self.first_partition..]) {
            p.millirequests_per_second = *load;
        }
        (strategy.rebalance)(self)
    }

    /// Returns how uneven the loads are.
    pub(super) fn imbalance(&self, loads: &[u64]) -> Imbalance {
        let load = |p: &PartitionState| loads[p.partition.0 as usize];
        let member_loads = self.member_loads(load);
        let partitions: Vec<u64> = self.input.partitions.iter().map(load).collect();
        let total = member_loads.iter().sum::<u64>() as f64;
        let mean = total / member_loads.len() as f64;
        let lower_bound = (max(&partitions) / mean).max(1.0);
        let excess = excess(&member_loads, mean) - excess(&partitions, mean);
        Imbalance { max: max(&member_loads) / mean, lower_bound, excess: excess / total }
    }

    fn member_loads(&self, load: impl Fn(&PartitionState) -> u64) -> Vec<u64> {
        let mut member_loads = vec![0; self.input.members.len()];
        for p in &self.input.partitions {
            let owner = p.owner.map_or(0, index);
            member_loads[owner] += load(p);
        }
        member_loads
    }

    fn partitions_of(&self, member: usize) -> impl Iterator<Item = usize> + '_ {
        let partitions = self.input.partitions.iter().enumerate();
        let owned = partitions.filter(move |(_, p)| p.owner.map(index) == Some(member));
        owned.map(|(i, _)| i)
    }

    fn follow_plan(&mut self, hysteresis_percent: u32) -> usize {
        let limits = PlanLimits { max_moves: MAX_MOVES, hysteresis_percent };
        let changes = plan(&self.input, &limits);
        changes.into_iter().map(|change| self.apply(change)).sum()
    }

    fn apply(&mut self, change: Change) -> usize {
        let first_partition = self.first_partition;
        let (Change::SetOwner { partition, .. } | Change::SetStandby { partition, .. }) = change;
        let p = &mut self.input.partitions[partition.0 as usize - first_partition];
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
    MemberState { session, zone, slots: SLOTS, stage: MemberStage::Cold { age: super::WARM_AGE } }
}

fn session(index: usize) -> Session {
    Session { incarnation: Incarnation(index as u64), number: 1 }
}

fn index(session: Session) -> usize {
    usize::try_from(session.incarnation.0).unwrap_or(0)
}

fn initial_partition(
    members: &[MemberState],
    first_partition: usize,
    index: usize,
) -> PartitionState {
    let owner = index % members.len();
    let standby = (owner + 1) % members.len();
    PartitionState {
        partition: super::partition(first_partition + index),
        millirequests_per_second: 0,
        owner: Some(members[owner].session),
        standby: Some(members[standby].session),
    }
}

fn max(loads: &[u64]) -> f64 {
    loads.iter().max().copied().unwrap_or(0) as f64
}

fn excess(loads: &[u64], mean: f64) -> f64 {
    loads.iter().map(|&load| (load as f64 - OVERLOAD_FACTOR * mean).max(0.0)).sum()
}

/// Repeatedly moves the best partition from the busiest member to the least loaded one, if that
/// lowers the larger load of the two; otherwise tries the next busiest member.
fn greedy(cell: &mut Cell) -> usize {
    let mut moves = 0;
    while let Some((p, target)) = greedy_step(cell) {
        cell.input.partitions[p].owner = Some(cell.input.members[target].session);
        moves += 1;
    }
    moves
}

fn greedy_step(cell: &Cell) -> Option<(usize, usize)> {
    let member_loads = cell.member_loads(|p| p.millirequests_per_second);
    let target = (0..member_loads.len()).min_by_key(|&m| member_loads[m])?;
    let mut sources: Vec<usize> = (0..member_loads.len()).collect();
    sources.sort_by_key(|&m| std::cmp::Reverse(member_loads[m]));
    sources.into_iter().find_map(|source| {
        let after = |p: usize| {
            let load = cell.input.partitions[p].millirequests_per_second;
            (member_loads[source] - load).max(member_loads[target] + load)
        };
        let best = cell.partitions_of(source).min_by_key(|&p| after(p))?;
        (after(best) < member_loads[source]).then_some((best, target))
    })
}
