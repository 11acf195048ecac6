//! The state that a plan works on: who has which partition, and how loaded that makes each member.
//!
//! Members and partitions are indexes into the input here, so that a step costs an array access.

use model::{Millis, Session};

use crate::{Change, MemberStage, MemberState, PartitionState, PlanInput};

/// A backend server takes its full share this long after its start.
const RAMP: Millis = Millis(30_000);

/// Shares are in thousandths of a slot.
const FULL_SHARE: u64 = 1_000;

/// The share of a backend server that has just started.
const COLD_SHARE: u64 = 100;

/// A partition without a load report weighs this part of the mean reported load, so that the
/// number of partitions counts too.
const IDLE_DIVISOR: u64 = 8;

/// The unit of levels: load per thousandth of a slot, times this.
const LEVEL_SCALE: u128 = 1 << 20;

/// Load per capacity of one member; comparable between members.
pub(crate) type Level = u64;

/// One member, with the load that the plan gives it.
pub(crate) struct Seat {
    /// Thousandths of a slot; zero if the member takes nothing.
    pub(crate) capacity: u64,
    /// The weight of the partitions that it owns.
    pub(crate) load: u64,
    /// The weight of the partitions for which it stands by.
    pub(crate) standby_load: u64,
}

impl Seat {
    /// The level of this member if it owned `load`.
    pub(crate) fn level_with(&self, load: u64) -> Level {
        level(load, self.capacity)
    }

    /// The level of this member.
    pub(crate) fn level(&self) -> Level {
        self.level_with(self.load)
    }
}

/// What every member would have if load could be divided at will, apart from partitions that are
/// too heavy for a fair share. Each of those takes up one member.
pub(crate) struct Fair {
    /// The level of each other member.
    pub(crate) level: Level,
    /// The mean weight of the other partitions.
    pub(crate) weight: u64,
}

/// The state of one plan in the making.
pub(crate) struct Board<'a> {
    input: &'a PlanInput,
    seats: Vec<Seat>,
    weights: Vec<u64>,
    owners: Vec<Option<usize>>,
    standbys: Vec<Option<usize>>,
    changes: Vec<Change>,
}

impl<'a> Board<'a> {
    /// Sets the board up as the input has it.
    pub(crate) fn new(input: &'a PlanInput) -> Self {
        let seats = input.members.iter().map(empty_seat).collect();
        let find = |session: Option<Session>| find_member(&input.members, session?);
        let owners = input.partitions.iter().map(|p| find(p.owner)).collect();
        let standbys = input.partitions.iter().map(|p| find(p.standby)).collect();
        let weights = weigh(&input.partitions);
        let mut board = Self { input, seats, weights, owners, standbys, changes: Vec::new() };
        board.sum_loads();
        board
    }

    fn sum_loads(&mut self) {
        for (p, &weight) in self.weights.iter().enumerate() {
            if let Some(m) = self.owners[p] {
                self.seats[m].load += weight;
            }
            if let Some(m) = self.standbys[p] {
                self.seats[m].standby_load += weight;
            }
        }
    }
}

/// Queries.
impl Board<'_> {
    pub(crate) fn seats(&self) -> &[Seat] {
        &self.seats
    }

    pub(crate) fn weight(&self, p: usize) -> u64 {
        self.weights[p]
    }

    pub(crate) fn owner(&self, p: usize) -> Option<usize> {
        self.owners[p]
    }

    /// Returns the partitions that the member owns.
    pub(crate) fn partitions_of(&self, m: usize) -> impl Iterator<Item = usize> + '_ {
        (0..self.owners.len()).filter(move |&p| self.owners[p] == Some(m))
    }

    pub(crate) fn standby(&self, p: usize) -> Option<usize> {
        self.standbys[p]
    }

    /// Returns whether the member can take partitions.
    pub(crate) fn takes(&self, m: usize) -> bool {
        self.seats[m].capacity > 0
    }

    pub(crate) fn member(&self, m: usize) -> &MemberState {
        &self.input.members[m]
    }

    pub(crate) fn same_zone(&self, a: usize, b: usize) -> bool {
        self.member(a).zone == self.member(b).zone
    }

    /// Returns the partitions for which `wanted` holds, heaviest first.
    pub(crate) fn heaviest_first(&self, wanted: impl Fn(&Self, usize) -> bool) -> Vec<usize> {
        let mut found: Vec<usize> = (0..self.weights.len()).filter(|&p| wanted(self, p)).collect();
        found.sort_by_key(|&p| (std::cmp::Reverse(self.weights[p]), p));
        found
    }

    /// Returns the member that has the lowest level after it took `weight`.
    pub(crate) fn least_loaded(&self, weight: u64) -> Option<usize> {
        let taking = (0..self.seats.len()).filter(|&m| self.takes(m));
        taking.min_by_key(|&m| (self.seats[m].level_with(self.seats[m].load + weight), m))
    }

    /// Returns what a fair share is.
    pub(crate) fn fair(&self) -> Fair {
        let taking = self.seats.iter().filter(|s| s.capacity > 0);
        let (members, mut capacity) = taking.fold((0, 0), |(n, sum), s| (n + 1, sum + s.capacity));
        let one = capacity / u64::max(members, 1);
        let mut load: u64 = self.weights.iter().sum();
        let mut count = u64::try_from(self.weights.len()).unwrap_or(u64::MAX);
        for weight in self.weights_above(level(load, capacity), one) {
            if level(weight, one) <= level(load, capacity) || capacity <= one {
                break;
            }
            load -= weight;
            capacity -= one;
            count -= 1;
        }
        Fair { level: level(load, capacity), weight: load / count.max(1) }
    }

    /// Returns the weights that lift a member of this capacity above `least`, heaviest first.
    fn weights_above(&self, least: Level, capacity: u64) -> Vec<u64> {
        let weights = self.weights.iter().copied();
        let mut heavy: Vec<u64> = weights.filter(|&w| level(w, capacity) > least).collect();
        heavy.sort_unstable_by_key(|&w| std::cmp::Reverse(w));
        heavy
    }

    /// Returns whether the plan has no changes yet.
    pub(crate) fn is_unchanged(&self) -> bool {
        self.changes.is_empty()
    }
}

/// Commands.
impl Board<'_> {
    /// Gives the partition to the member. A standby that becomes owner is no standby any more.
    pub(crate) fn give(&mut self, p: usize, m: usize) {
        let weight = self.weights[p];
        if let Some(old) = self.owners[p].replace(m) {
            self.seats[old].load -= weight;
        }
        self.seats[m].load += weight;
        if self.standbys[p] == Some(m) {
            self.standbys[p] = None;
            self.seats[m].standby_load -= weight;
        }
        let partition = self.input.partitions[p].partition;
        self.changes.push(Change::SetOwner { partition, owner: self.member(m).session });
    }

    /// Names the member as the partition's standby.
    pub(crate) fn stand_by(&mut self, p: usize, m: usize) {
        let weight = self.weights[p];
        if let Some(old) = self.standbys[p].replace(m) {
            self.seats[old].standby_load -= weight;
        }
        self.seats[m].standby_load += weight;
        let partition = self.input.partitions[p].partition;
        self.changes.push(Change::SetStandby { partition, standby: self.member(m).session });
    }

    pub(crate) fn into_changes(self) -> Vec<Change> {
        self.changes
    }
}

fn level(load: u64, capacity: u64) -> Level {
    let scaled = u128::from(load) * LEVEL_SCALE;
    let level = scaled / u128::from(capacity.max(1));
    Level::try_from(level).unwrap_or(Level::MAX)
}

fn empty_seat(member: &MemberState) -> Seat {
    let capacity = u64::from(member.slots) * share(member.stage);
    Seat { capacity, load: 0, standby_load: 0 }
}

fn share(stage: MemberStage) -> u64 {
    match stage {
        MemberStage::Draining => 0,
        MemberStage::Ready => FULL_SHARE,
        MemberStage::Cold { age } => {
            let warmed = (FULL_SHARE - COLD_SHARE) * age.0.min(RAMP.0) / RAMP.0;
            COLD_SHARE + warmed
        }
    }
}

fn find_member(members: &[MemberState], session: Session) -> Option<usize> {
    members.binary_search_by_key(&session, |m| m.session).ok()
}

fn weigh(partitions: &[PartitionState]) -> Vec<u64> {
    let count = u64::try_from(partitions.len()).unwrap_or(u64::MAX).max(1);
    let total: u64 = partitions.iter().map(|p| p.millirequests_per_second).sum();
    let idle = (total / count / IDLE_DIVISOR).max(1);
    partitions.iter().map(|p| p.millirequests_per_second + idle).collect()
}
