//! The working state of a plan: the owner and standby of each partition, and the resulting load of
//! each member.
//!
//! Members and partitions are represented by their indexes in the input, so that a lookup is an
//! array access.

use model::{Millis, Session};

use crate::{Change, MemberStage, MemberState, PartitionState, PlanInput};

/// The time after its start at which a backend server reaches its full capacity.
const WARM_UP: Millis = Millis(30_000);

/// The capacity of one slot of a warmed-up backend server, in thousandths of a slot.
const FULL_CAPACITY: u64 = 1_000;

/// The capacity of one slot of a backend server that has just started.
const COLD_CAPACITY: u64 = 100;

/// Each partition has a base weight of this fraction of the mean reported load, given as a divisor,
/// so that the number of partitions counts even without load reports.
const BASE_WEIGHT_DIVISOR: u64 = 8;

/// The fixed-point scale of utilizations: load per thousandth of a slot, times this.
const UTILIZATION_SCALE: u128 = 1 << 20;

/// The load of a member divided by its capacity; comparable between members.
pub(crate) type Utilization = u64;

/// The capacity of one member, and the load that the plan assigns to it.
pub(crate) struct MemberUsage {
    /// In thousandths of a slot; zero if the member must not take partitions.
    pub(crate) capacity: u64,
    /// The total weight of the partitions that it owns.
    pub(crate) load: u64,
    /// The total weight of the partitions of which it is the standby.
    pub(crate) standby_load: u64,
}

impl MemberUsage {
    /// Returns the utilization of this member if it owned partitions of weight `load`.
    pub(crate) fn utilization_with(&self, load: u64) -> Utilization {
        utilization(load, self.capacity)
    }

    /// Returns the utilization of this member.
    pub(crate) fn utilization(&self) -> Utilization {
        self.utilization_with(self.load)
    }
}

/// The share of each member if load were divisible at will, without the partitions that are too
/// heavy for a fair share. Each of those is counted as filling one member.
pub(crate) struct FairShare {
    /// The utilization of each remaining member.
    pub(crate) utilization: Utilization,
    /// The mean weight of the remaining partitions.
    pub(crate) mean_weight: u64,
}

/// The state of a plan while it is computed, with the changes so far.
pub(crate) struct PlanState<'a> {
    input: &'a PlanInput,
    usage: Vec<MemberUsage>,
    weights: Vec<u64>,
    owners: Vec<Option<usize>>,
    standbys: Vec<Option<usize>>,
    changes: Vec<Change>,
}

impl<'a> PlanState<'a> {
    /// Creates the initial state from the input.
    pub(crate) fn new(input: &'a PlanInput) -> Self {
        let usage = input.members.iter().map(initial_usage).collect();
        let find = |session: Option<Session>| find_member(&input.members, session?);
        let owners = input.partitions.iter().map(|p| find(p.owner)).collect();
        let standbys = input.partitions.iter().map(|p| find(p.standby)).collect();
        let weights = partition_weights(&input.partitions);
        let mut state = Self { input, usage, weights, owners, standbys, changes: Vec::new() };
        state.add_up_loads();
        state
    }

    fn add_up_loads(&mut self) {
        for (p, &weight) in self.weights.iter().enumerate() {
            if let Some(m) = self.owners[p] {
                self.usage[m].load += weight;
            }
            if let Some(m) = self.standbys[p] {
                self.usage[m].standby_load += weight;
            }
        }
    }
}

/// Queries.
impl PlanState<'_> {
    pub(crate) fn usage(&self) -> &[MemberUsage] {
        &self.usage
    }

    pub(crate) fn weight(&self, p: usize) -> u64 {
        self.weights[p]
    }

    pub(crate) fn owner(&self, p: usize) -> Option<usize> {
        self.owners[p]
    }

    /// Returns the partitions that the member owns.
    pub(crate) fn partitions_owned_by(&self, m: usize) -> impl Iterator<Item = usize> + '_ {
        (0..self.owners.len()).filter(move |&p| self.owners[p] == Some(m))
    }

    pub(crate) fn standby(&self, p: usize) -> Option<usize> {
        self.standbys[p]
    }

    /// Returns whether the member may be given partitions.
    pub(crate) fn is_accepting(&self, m: usize) -> bool {
        self.usage[m].capacity > 0
    }

    pub(crate) fn member(&self, m: usize) -> &MemberState {
        &self.input.members[m]
    }

    pub(crate) fn same_zone(&self, a: usize, b: usize) -> bool {
        self.member(a).zone == self.member(b).zone
    }

    /// Returns the partitions for which `predicate` holds, heaviest first.
    pub(crate) fn heaviest_first(&self, predicate: impl Fn(&Self, usize) -> bool) -> Vec<usize> {
        let mut matching: Vec<usize> =
            (0..self.weights.len()).filter(|&p| predicate(self, p)).collect();
        matching.sort_by_key(|&p| (std::cmp::Reverse(self.weights[p]), p));
        matching
    }

    /// Returns the member that would have the lowest utilization after taking over `weight`.
    pub(crate) fn least_loaded(&self, weight: u64) -> Option<usize> {
        let accepting = (0..self.usage.len()).filter(|&m| self.is_accepting(m));
        accepting.min_by_key(|&m| (self.usage[m].utilization_with(self.usage[m].load + weight), m))
    }

    /// Returns the fair share.
    pub(crate) fn fair_share(&self) -> FairShare {
        let accepting = self.usage.iter().filter(|u| u.capacity > 0);
        let (members, mut capacity) =
            accepting.fold((0, 0), |(n, sum), u| (n + 1, sum + u.capacity));
        let member_capacity = capacity / u64::max(members, 1);
        let mut load: u64 = self.weights.iter().sum();
        let mut count = u64::try_from(self.weights.len()).unwrap_or(u64::MAX);
        for weight in self.weights_above(utilization(load, capacity), member_capacity) {
            if utilization(weight, member_capacity) <= utilization(load, capacity)
                || capacity <= member_capacity
            {
                break;
            }
            load -= weight;
            capacity -= member_capacity;
            count -= 1;
        }
        FairShare { utilization: utilization(load, capacity), mean_weight: load / count.max(1) }
    }

    /// Returns the weights that alone raise a member of this capacity above the utilization
    /// `threshold`, heaviest first.
    fn weights_above(&self, threshold: Utilization, capacity: u64) -> Vec<u64> {
        let weights = self.weights.iter().copied();
        let mut above: Vec<u64> =
            weights.filter(|&w| utilization(w, capacity) > threshold).collect();
        above.sort_unstable_by_key(|&w| std::cmp::Reverse(w));
        above
    }

    /// Returns whether the plan has no changes yet.
    pub(crate) fn is_unchanged(&self) -> bool {
        self.changes.is_empty()
    }
}

/// Commands.
impl PlanState<'_> {
    /// Makes the member the owner of the partition. If it was the standby, the partition is left
    /// without one.
    pub(crate) fn set_owner(&mut self, p: usize, m: usize) {
        let weight = self.weights[p];
        if let Some(old) = self.owners[p].replace(m) {
            self.usage[old].load -= weight;
        }
        self.usage[m].load += weight;
        if self.standbys[p] == Some(m) {
            self.standbys[p] = None;
            self.usage[m].standby_load -= weight;
        }
        let partition = self.input.partitions[p].partition;
        self.changes.push(Change::SetOwner { partition, owner: self.member(m).session });
    }

    /// Makes the member the standby of the partition.
    pub(crate) fn set_standby(&mut self, p: usize, m: usize) {
        let weight = self.weights[p];
        if let Some(old) = self.standbys[p].replace(m) {
            self.usage[old].standby_load -= weight;
        }
        self.usage[m].standby_load += weight;
        let partition = self.input.partitions[p].partition;
        self.changes.push(Change::SetStandby { partition, standby: self.member(m).session });
    }

    pub(crate) fn into_changes(self) -> Vec<Change> {
        self.changes
    }
}

fn utilization(load: u64, capacity: u64) -> Utilization {
    let scaled_load = u128::from(load) * UTILIZATION_SCALE;
    let utilization = scaled_load / u128::from(capacity.max(1));
    Utilization::try_from(utilization).unwrap_or(Utilization::MAX)
}

fn initial_usage(member: &MemberState) -> MemberUsage {
    let capacity = u64::from(member.slots) * slot_capacity(member.stage);
    MemberUsage { capacity, load: 0, standby_load: 0 }
}

fn slot_capacity(stage: MemberStage) -> u64 {
    match stage {
        MemberStage::Draining => 0,
        MemberStage::Ready => FULL_CAPACITY,
        MemberStage::Cold { age } => {
            let gained = (FULL_CAPACITY - COLD_CAPACITY) * age.0.min(WARM_UP.0) / WARM_UP.0;
            COLD_CAPACITY + gained
        }
    }
}

fn find_member(members: &[MemberState], session: Session) -> Option<usize> {
    members.binary_search_by_key(&session, |m| m.session).ok()
}

fn partition_weights(partitions: &[PartitionState]) -> Vec<u64> {
    let count = u64::try_from(partitions.len()).unwrap_or(u64::MAX).max(1);
    let total: u64 = partitions.iter().map(|p| p.millirequests_per_second).sum();
    let base_weight = (total / count / BASE_WEIGHT_DIVISOR).max(1);
    partitions.iter().map(|p| p.millirequests_per_second + base_weight).collect()
}
