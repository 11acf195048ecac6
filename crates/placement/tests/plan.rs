//! The rules of the planner, one per test.

use model::{Incarnation, Millis, Partition, Session, ZoneName};
use placement::{Change, MemberStage, MemberState, PartitionState, PlanInput, PlanLimits, plan};

const LIMITS: PlanLimits = PlanLimits { max_moves: 4, hysteresis_percent: 20 };

fn session(number: u32) -> Session {
    Session { incarnation: Incarnation(u64::from(number)), number: 1 }
}

/// Returns a ready member with 6 slots.
fn member(number: u32, zone: &str) -> MemberState {
    let zone = ZoneName::new(zone).expect("valid zone name");
    MemberState { session: session(number), zone, slots: 6, stage: MemberStage::Ready }
}

fn draining(number: u32, zone: &str) -> MemberState {
    MemberState { stage: MemberStage::Draining, ..member(number, zone) }
}

fn without_backend(number: u32, zone: &str) -> MemberState {
    MemberState { slots: 0, ..member(number, zone) }
}

fn cold(number: u32, zone: &str, age: u64) -> MemberState {
    MemberState { stage: MemberStage::Cold { age: Millis(age) }, ..member(number, zone) }
}

/// Returns partitions numbered from 0, each given as (load, owner, standby), where 0 means none.
fn partitions(all: &[(u64, u32, u32)]) -> Vec<PartitionState> {
    let some = |number: u32| (number > 0).then(|| session(number));
    let one = |(i, &(load, owner, standby)): (usize, &(u64, u32, u32))| PartitionState {
        partition: Partition(i as u32),
        millirequests_per_second: load,
        owner: some(owner),
        standby: some(standby),
    };
    all.iter().enumerate().map(one).collect()
}

fn set_owner(partition: u32, owner: u32) -> Change {
    Change::SetOwner { partition: Partition(partition), owner: session(owner) }
}

fn set_standby(partition: u32, standby: u32) -> Change {
    Change::SetStandby { partition: Partition(partition), standby: session(standby) }
}

#[track_caller]
fn check(members: &[MemberState], all: &[(u64, u32, u32)], expected: &[Change]) {
    let input = PlanInput { members: members.to_vec(), partitions: partitions(all) };

    let changes = plan(&input, &LIMITS);

    assert_eq!(changes, expected);
}

#[test]
fn no_member_accepts_partitions() {
    check(&[], &[(10, 0, 0)], &[]);
    check(&[without_backend(1, "a"), draining(2, "b")], &[(10, 0, 0)], &[]);
}

#[test]
fn unserved_partitions_go_to_the_standby_or_else_to_the_least_loaded_member() {
    let members = [member(1, "a"), member(2, "b")];
    check(&members, &[(10, 0, 1), (10, 2, 1)], &[set_owner(0, 1), set_standby(0, 2)]);
    check(&members, &[(10, 0, 0), (10, 2, 1)], &[set_owner(0, 1), set_standby(0, 2)]);
}

#[test]
fn partitions_without_load_reports_are_spread_evenly() {
    let members = [member(1, "a"), member(2, "b")];
    let all = [(0, 0, 0), (0, 0, 0), (0, 0, 0), (0, 0, 0)];
    let owners = [set_owner(0, 1), set_owner(1, 2), set_owner(2, 1), set_owner(3, 2)];
    let standbys = [set_standby(0, 2), set_standby(1, 1), set_standby(2, 2), set_standby(3, 1)];
    check(&members, &all, &[&owners[..], &standbys[..]].concat());
}

#[test]
fn partitions_of_a_member_without_backend_server_move_before_those_of_a_draining_one() {
    let members = [without_backend(1, "a"), draining(2, "b"), member(3, "c"), member(4, "a")];
    let all = [(10, 2, 3), (10, 1, 3)];
    let expected = [set_owner(1, 3), set_owner(0, 3), set_standby(0, 4), set_standby(1, 4)];
    check(&members, &all, &expected);
}

#[test]
fn standbys_are_in_another_zone_if_possible() {
    let two_zones = [member(1, "a"), member(2, "a"), member(3, "b")];
    check(&two_zones, &[(10, 1, 0)], &[set_standby(0, 3)]);
    check(&two_zones, &[(10, 1, 2)], &[set_standby(0, 3)]);
    check(&two_zones, &[(10, 1, 3)], &[]);
    let one_zone = [member(1, "a"), member(2, "a")];
    check(&one_zone, &[(10, 1, 0)], &[set_standby(0, 2)]);
    check(&one_zone, &[(10, 1, 2)], &[]);
    check(&[member(1, "a")], &[(10, 1, 0)], &[]);
}

#[test]
fn a_draining_standby_is_replaced() {
    let members = [member(1, "a"), draining(2, "b"), member(3, "b")];
    check(&members, &[(10, 1, 2)], &[set_standby(0, 3)]);
}

#[test]
fn a_member_within_the_hysteresis_keeps_its_partitions() {
    let members = [member(1, "a"), member(2, "b")];
    // The loads are 115 and 85, to which the base weight of each partition is added.
    let all = [(40, 1, 2), (40, 1, 2), (35, 1, 2), (40, 2, 1), (45, 2, 1)];
    check(&members, &all, &[]);
}

#[test]
fn a_move_that_would_help_is_not_made_within_the_hysteresis() {
    let members = [member(1, "a"), member(2, "b")];
    let owned = |owner, standby, count| vec![(10, owner, standby); count];
    check(&members, &[owned(1, 2, 17), owned(2, 1, 13)].concat(), &[]);
}

#[test]
fn a_partition_too_heavy_for_a_fair_share_does_not_hide_the_imbalance_of_the_others() {
    let members = [member(1, "a"), member(2, "b"), member(3, "c")];
    let all = [vec![(10, 2, 3); 20], vec![(10, 3, 2); 10], vec![(1_000, 1, 2)]].concat();
    let moves = [0, 1, 2, 3].map(|p| [set_owner(p, 3), set_standby(p, 1)]);
    check(&members, &all, &moves.concat());
}

#[test]
fn a_member_above_the_hysteresis_loses_the_partition_that_lowers_its_utilization_most() {
    let members = [member(1, "a"), member(2, "b")];
    let all = [(40, 1, 2), (30, 1, 2), (60, 1, 2), (20, 2, 1)];
    check(&members, &all, &[set_owner(2, 2), set_standby(2, 1)]);
}

#[test]
fn a_partition_that_would_only_shift_the_imbalance_is_not_moved() {
    let members = [member(1, "a"), member(2, "b")];
    check(&members, &[(1_000, 1, 2), (10, 2, 1)], &[]);
}

#[test]
fn load_is_relative_to_slots() {
    let large = MemberState { slots: 18, ..member(1, "a") };
    let members = [large, member(2, "b")];
    let all = [(30, 1, 2), (30, 1, 2), (30, 1, 2), (30, 2, 1)];
    check(&members, &all, &[]);
}

#[test]
fn the_share_of_a_cold_member_grows_with_its_age() {
    let owned = |age| {
        let members = [member(1, "a"), cold(2, "b", age)];
        let all = [(10, 0, 0); 22];
        let input = PlanInput { members: members.to_vec(), partitions: partitions(&all) };
        let changes = plan(&input, &LIMITS);
        let is_cold =
            |c: &&Change| matches!(c, Change::SetOwner { owner, .. } if *owner == session(2));
        changes.iter().filter(is_cold).count()
    };
    assert_eq!([owned(0), owned(15_000), owned(30_000)], [2, 8, 11]);
}

#[test]
fn planned_moves_are_limited_but_unserved_partitions_are_all_assigned() {
    let members = [member(1, "a"), member(2, "b")];
    let count = |all: &[(u64, u32, u32)]| {
        let input = PlanInput { members: members.to_vec(), partitions: partitions(all) };
        let changes = plan(&input, &LIMITS);
        changes.iter().filter(|c| matches!(c, Change::SetOwner { .. })).count()
    };
    assert_eq!(count(&[(10, 1, 2); 40]), 4);
    assert_eq!(count(&[(10, 0, 2); 40]), 40);
}
