//! Random walks over cells with three and five grantors, much deeper than the model check goes.
//!
//! Each host has a clock of its own, with another offset and another rate within the margin.
//! Messages overtake each other, and some are kept back for long. A walk ends when all faults
//! are repaired; then every partition must be served again.

mod world;

use model::{Millis, Partition};
use ownership::{Event, RuleMode, SafetyRules, Timing};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use world::search::{Act, apply};
use world::{State, StoreState, World, report};

const PARTITIONS: u32 = 4;
const STEPS: usize = 1_200;
const MAX_STEP_MS: u64 = 120;

/// Two clocks drift apart by less than the margin of 50 ms per term of 1 s.
const MAX_RATE: u64 = 40;

fn start(hosts: usize, rng: &mut StdRng, rules: SafetyRules) -> World {
    let timing = Timing { release_time_limit: Millis(1_000), ..Timing::default() };
    let mut world = World::new(hosts, PARTITIONS, timing, rules);
    for host in &mut world.hosts {
        host.rate = rng.random_range(0..MAX_RATE);
    }
    world.run_until(Millis(5_000), |_| false);
    assert!(world.all_served());
    world
}

fn random_act(rng: &mut StdRng, world: &World) -> Option<Act> {
    let host = rng.random_range(0..world.hosts.len());
    let other = rng.random_range(0..world.hosts.len());
    let state = world.hosts[host].state;
    match rng.random_range(0..100) {
        0..3 if state == State::Running => Some(Act::Pause(host)),
        3..5 if state == State::Running => Some(Act::Crash(host)),
        5..7 => Some(Act::Cut(host)),
        7..9 if host < other => Some(Act::Break(host, other)),
        9 => Some(Act::Store(StoreState::Down)),
        10 => Some(Act::Store(StoreState::AnswersLost)),
        11 if state == State::Running => Some(Act::Jump(host)),
        12 if state == State::Running => Some(Act::NoSlots(host)),
        62 if state == State::Running => Some(Act::Drain(host)),
        63..70 if world.hosts[host].drained => Some(Act::Crash(host)),
        13..18 => Some(Act::Store(StoreState::Up)),
        18..24 if state == State::Down => Some(Act::Restart(host)),
        24..30 if state == State::Paused => Some(Act::Resume(host)),
        30..38 => Some(Act::Heal(host)),
        38..48 if !world.broken_links.is_empty() => {
            let (a, b) = world.broken_links[rng.random_range(0..world.broken_links.len())];
            Some(Act::Mend(a, b))
        }
        48..62 if !world.held.is_empty() => {
            Some(Act::Deliver(rng.random_range(0..world.held.len())))
        }
        _ => None,
    }
}

/// Walks from one seed. Returns what went wrong, with the last acts.
fn walk(hosts: usize, seed: u64, rules: SafetyRules) -> Result<World, String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = start(hosts, &mut rng, rules);
    world.disorder = Some(seed);
    let mut acts = Vec::new();
    for _ in 0..STEPS {
        if let Some(act) = random_act(&mut rng, &world) {
            acts.push((world.now, act));
            apply(&mut world, act, Millis::ZERO);
        }
        world.step(Millis(rng.random_range(10..MAX_STEP_MS)));
        if rng.random_range(0..40) == 0 {
            let host = rng.random_range(0..hosts);
            if world.hosts[host].state == State::Running {
                world.feed(host, Event::Reported(report(4)));
            }
        }
        if let Some(violation) = &world.violation {
            return Err(describe(seed, violation, &world, &acts));
        }
    }
    repair(&mut world);
    world.run_until(Millis(20_000), |w| w.violation.is_some());
    let violation = world.violation.clone();
    let not_served = || (!world.all_served()).then(|| "not served after all repairs".to_owned());
    match violation.or_else(not_served) {
        Some(text) => Err(describe(seed, &text, &world, &acts)),
        None => Ok(world),
    }
}

fn repair(world: &mut World) {
    world.store = StoreState::Up;
    world.broken_links.clear();
    for index in 0..world.hosts.len() {
        world.cut(index, 0);
        match world.hosts[index].state {
            State::Running if world.hosts[index].draining => {
                world.crash(index);
                world.restart(index);
            }
            State::Running => {}
            State::Paused => world.resume(index),
            State::Down => world.restart(index),
        }
        world.report(index, 4);
    }
}

fn describe(seed: u64, text: &str, world: &World, acts: &[(Millis, Act)]) -> String {
    let last = &acts[acts.len().saturating_sub(12)..];
    let log = &world.log.0[world.log.0.len().saturating_sub(40)..];
    let acts: Vec<String> = last.iter().map(|(at, act)| format!("{at} {act:?}")).collect();
    let log: Vec<String> =
        log.iter().map(|(at, i, text)| format!("{at} host {i} {text}")).collect();
    let (acts, log) = (acts.join("\n"), log.join("\n"));
    format!("seed {seed} at {}: {text}\n{acts}\n{log}\n{:?}", world.now, world.row)
}

fn check(hosts: usize, seeds: std::ops::Range<u64>) {
    let mut lapses = 0;
    let mut takeovers = 0;
    let mut seals = 0;
    for seed in seeds.clone() {
        match walk(hosts, seed, SafetyRules::default()) {
            Ok(world) => {
                lapses += world.logged("lapse");
                takeovers += world.logged("takeover");
                seals += world.logged("seal");
                assert!((0..PARTITIONS).all(|p| world.serving(Partition(p)).len() == 1));
            }
            Err(text) => panic!("{text}"),
        }
    }
    println!(
        "{hosts} hosts, seeds {seeds:?}: {lapses} lapses, {takeovers} takeovers, {seals} seals"
    );
    assert!(lapses > 0 && takeovers > 0 && seals > 0);
}

#[test]
fn walks_of_four_hosts_keep_ownership_single() {
    check(4, 0..150);
}

#[test]
fn walks_of_six_hosts_keep_ownership_single() {
    check(6, 0..150);
}

/// The walks do not reach what the other four rules prevent; the model check does.
#[test]
fn walks_notice_missing_rules() {
    let check = |name: &str, rules: SafetyRules| {
        let caught = (0..100).find(|seed| walk(6, *seed, rules).is_err());
        println!("without {name}: first caught by seed {caught:?}");
        assert!(caught.is_some(), "{name}");
    };
    check("expiry_wait", SafetyRules { expiry_wait: RuleMode::Disabled, ..SafetyRules::default() });
    check(
        "own_lease_expiry",
        SafetyRules { own_lease_expiry: RuleMode::Disabled, ..SafetyRules::default() },
    );
    check(
        "sticky_expiry",
        SafetyRules { sticky_expiry: RuleMode::Disabled, ..SafetyRules::default() },
    );
    check("owner_claim", SafetyRules { owner_claim: RuleMode::Disabled, ..SafetyRules::default() });
    check(
        "standby_claim",
        SafetyRules { standby_claim: RuleMode::Disabled, ..SafetyRules::default() },
    );
    check(
        "release_promise",
        SafetyRules { release_promise: RuleMode::Disabled, ..SafetyRules::default() },
    );
    check(
        "current_session",
        SafetyRules { current_session: RuleMode::Disabled, ..SafetyRules::default() },
    );
    check(
        "lease_for_order",
        SafetyRules { lease_for_order: RuleMode::Disabled, ..SafetyRules::default() },
    );
}
