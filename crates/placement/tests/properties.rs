//! Properties of single plans, and of plans applied repeatedly, on random cells.

use model::{Incarnation, Millis, Partition, Session, ZoneName};
use placement::{Change, MemberStage, MemberState, PartitionState, PlanInput, PlanLimits, plan};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const LIMITS: PlanLimits = PlanLimits { max_moves: 3, hysteresis_percent: 20 };

fn random_input(rng: &mut StdRng) -> PlanInput {
    let members: Vec<MemberState> = (0..rng.random_range(0..9)).map(|i| member(i, rng)).collect();
    let partitions = (0..rng.random_range(0..60)).map(|p| partition(p, &members, rng)).collect();
    PlanInput { members, partitions }
}

fn member(index: u64, rng: &mut StdRng) -> MemberState {
    let zone = ZoneName::new(["a", "b", "c"][rng.random_range(0..3)]).expect("valid zone name");
    let stage = match rng.random_range(0..6) {
        0 => MemberStage::Draining,
        1 => MemberStage::Cold { age: Millis(rng.random_range(0..40_000)) },
        _ => MemberStage::Ready,
    };
    let slots = [0, 6, 6, 18][rng.random_range(0..4)];
    let session = Session { incarnation: Incarnation(index), number: 1 };
    MemberState { session, zone, slots, stage }
}

fn partition(index: u32, members: &[MemberState], rng: &mut StdRng) -> PartitionState {
    let mut any = || {
        let m = members.get(rng.random_range(0..members.len() + 1))?;
        Some(m.session)
    };
    let (owner, standby) = (any(), any());
    PartitionState {
        partition: Partition(index),
        millirequests_per_second: rng.random_range(0..1_000),
        owner,
        standby: standby.filter(|&s| Some(s) != owner),
    }
}

fn find(input: &PlanInput, session: Option<Session>) -> Option<&MemberState> {
    input.members.iter().find(|m| Some(m.session) == session)
}

fn accepts_partitions(m: &MemberState) -> bool {
    m.slots > 0 && m.stage != MemberStage::Draining
}

fn apply(input: &mut PlanInput, changes: &[Change]) {
    for change in changes {
        let (Change::SetOwner { partition, .. } | Change::SetStandby { partition, .. }) = *change;
        let p = &mut input.partitions[partition.0 as usize];
        match *change {
            Change::SetOwner { owner, .. } => {
                p.owner = Some(owner);
                p.standby = p.standby.filter(|&s| s != owner);
            }
            Change::SetStandby { standby, .. } => p.standby = Some(standby),
        }
    }
}

/// Returns what is invalid in the plan, or in the cell after the plan was applied.
fn violations(before: &PlanInput, changes: &[Change]) -> Vec<&'static str> {
    let mut after = before.clone();
    apply(&mut after, changes);
    let can_serve = before.members.iter().any(accepts_partitions);
    let mut violations = Vec::new();
    for p in after.partitions.iter().filter(|_| can_serve) {
        let owner = find(&after, p.owner).filter(|m| accepts_partitions(m));
        let Some(owner) = owner else {
            violations.push("a partition has no owner that serves it");
            continue;
        };
        let standby =
            find(&after, p.standby).filter(|m| accepts_partitions(m) && m.session != owner.session);
        let mut others =
            after.members.iter().filter(|m| accepts_partitions(m) && m.session != owner.session);
        let is_in_other_zone = standby.is_some_and(|s| s.zone != owner.zone);
        if others.clone().next().is_some() && standby.is_none() {
            violations.push("a partition has no standby");
        }
        if others.any(|m| m.zone != owner.zone) && !is_in_other_zone {
            violations.push("a standby is in its owner's zone");
        }
    }
    if partitions_with_new_owner(changes).windows(2).any(|pair| pair[0] == pair[1]) {
        violations.push("a partition is moved twice");
    }
    if planned_moves(before, changes) > LIMITS.max_moves as usize {
        violations.push("there are too many moves");
    }
    violations
}

fn partitions_with_new_owner(changes: &[Change]) -> Vec<Partition> {
    let partition = |change: &Change| match change {
        Change::SetOwner { partition, .. } => Some(*partition),
        Change::SetStandby { .. } => None,
    };
    let mut moved: Vec<Partition> = changes.iter().filter_map(partition).collect();
    moved.sort_unstable();
    moved
}

fn planned_moves(before: &PlanInput, changes: &[Change]) -> usize {
    let is_planned = |change: &&Change| match change {
        Change::SetOwner { partition, .. } => {
            find(before, before.partitions[partition.0 as usize].owner)
                .is_some_and(accepts_partitions)
        }
        Change::SetStandby { .. } => false,
    };
    changes.iter().filter(is_planned).count()
}

#[test]
fn every_plan_yields_a_valid_assignment() {
    let mut rng = StdRng::seed_from_u64(7);
    for _ in 0..2_000 {
        let input = random_input(&mut rng);

        let changes = plan(&input, &LIMITS);

        assert_eq!(violations(&input, &changes), Vec::<&str>::new(), "{input:?}");
        assert_eq!(changes, plan(&input, &LIMITS), "the same input gave a different plan");
    }
}

#[test]
fn repeated_plans_converge() {
    let mut rng = StdRng::seed_from_u64(8);
    for _ in 0..300 {
        let mut input = random_input(&mut rng);
        let mut plans = 0;
        loop {
            let changes = plan(&input, &LIMITS);
            if changes.is_empty() {
                break;
            }
            apply(&mut input, &changes);
            plans += 1;
            assert!(plans < 50, "still not converged: {changes:?} of {input:?}");
        }
    }
}

type Mutation = fn(&PlanInput, Vec<Change>) -> Vec<Change>;

/// Plans in which changes were removed or added; each must be detected as the given violation.
#[test]
fn mutated_plans_are_detected() {
    let mutations: [(&str, Mutation); 5] = [
        ("a partition has no owner that serves it", |_, mut changes| {
            changes.retain(|c| !matches!(c, Change::SetOwner { .. }));
            changes
        }),
        ("a partition has no standby", |_, mut changes| {
            changes.retain(|c| !matches!(c, Change::SetStandby { .. }));
            changes
        }),
        ("a standby is in its owner's zone", |_, mut changes| {
            changes.retain(|c| !matches!(c, Change::SetStandby { .. }));
            changes
        }),
        ("a partition is moved twice", |_, mut changes| {
            changes.extend(changes.clone());
            changes
        }),
        ("there are too many moves", |input, mut changes| {
            changes.extend(input.partitions.iter().filter_map(|p| {
                Some(Change::SetOwner { partition: p.partition, owner: p.owner? })
            }));
            changes
        }),
    ];
    for (violation, mutate) in mutations {
        let mut rng = StdRng::seed_from_u64(9);
        let is_detected = (0..200).any(|_| {
            let input = random_input(&mut rng);
            let changes = mutate(&input, plan(&input, &LIMITS));
            violations(&input, &changes).contains(&violation)
        });
        assert!(is_detected, "{violation}: not detected");
    }
}
