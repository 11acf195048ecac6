//! Properties of every plan, on random cells, and of plans that are carried out again and again.

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
    let zone = ZoneName::new(["a", "b", "c"][rng.random_range(0..3)]).expect("a good name");
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

fn takes(m: &MemberState) -> bool {
    m.slots > 0 && m.stage != MemberStage::Draining
}

fn carry_out(input: &mut PlanInput, changes: &[Change]) {
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

/// Returns what is wrong with the cell after a plan was carried out, or with the plan itself.
fn faults(before: &PlanInput, changes: &[Change]) -> Vec<&'static str> {
    let mut after = before.clone();
    carry_out(&mut after, changes);
    let can_serve = before.members.iter().any(takes);
    let mut faults = Vec::new();
    for p in after.partitions.iter().filter(|_| can_serve) {
        let owner = find(&after, p.owner).filter(|m| takes(m));
        let Some(owner) = owner else {
            faults.push("a partition has no owner that serves it");
            continue;
        };
        let standby = find(&after, p.standby).filter(|m| takes(m) && m.session != owner.session);
        let mut others = after.members.iter().filter(|m| takes(m) && m.session != owner.session);
        let is_apart = standby.is_some_and(|s| s.zone != owner.zone);
        if others.clone().next().is_some() && standby.is_none() {
            faults.push("a partition has no standby");
        }
        if others.any(|m| m.zone != owner.zone) && !is_apart {
            faults.push("a standby is in its owner's zone");
        }
    }
    if moved(changes).windows(2).any(|pair| pair[0] == pair[1]) {
        faults.push("a partition is moved twice");
    }
    if planned_moves(before, changes) > LIMITS.max_moves as usize {
        faults.push("there are too many moves");
    }
    faults
}

fn moved(changes: &[Change]) -> Vec<Partition> {
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
            find(before, before.partitions[partition.0 as usize].owner).is_some_and(takes)
        }
        Change::SetStandby { .. } => false,
    };
    changes.iter().filter(is_planned).count()
}

#[test]
fn every_plan_leaves_a_sound_cell() {
    let mut rng = StdRng::seed_from_u64(7);
    for _ in 0..2_000 {
        let input = random_input(&mut rng);

        let changes = plan(&input, &LIMITS);

        assert_eq!(faults(&input, &changes), Vec::<&str>::new(), "{input:?}");
        assert_eq!(changes, plan(&input, &LIMITS), "the same input gave another plan");
    }
}

#[test]
fn plans_come_to_rest() {
    let mut rng = StdRng::seed_from_u64(8);
    for _ in 0..300 {
        let mut input = random_input(&mut rng);
        let mut plans = 0;
        loop {
            let changes = plan(&input, &LIMITS);
            if changes.is_empty() {
                break;
            }
            carry_out(&mut input, &changes);
            plans += 1;
            assert!(plans < 50, "still moving: {changes:?} of {input:?}");
        }
    }
}

type Spoil = fn(&PlanInput, Vec<Change>) -> Vec<Change>;

/// A plan with one kind of change left out or spoiled, and the fault that must be seen.
#[test]
fn spoiled_plans_are_seen() {
    let spoils: [(&str, Spoil); 5] = [
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
    for (fault, spoil) in spoils {
        let mut rng = StdRng::seed_from_u64(9);
        let is_seen = (0..200).any(|_| {
            let input = random_input(&mut rng);
            let changes = spoil(&input, plan(&input, &LIMITS));
            faults(&input, &changes).contains(&fault)
        });
        assert!(is_seen, "{fault}: not seen");
    }
}
