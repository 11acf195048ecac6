//! Random walks over cells with three and five grantors, much deeper than the model check.
//!
//! Each host has its own clock, with its own offset and a drift within the margin. Messages are
//! reordered, and some are delayed for long. At the end of a walk all faults are repaired, and
//! every partition must be served again.

mod simulation;

use model::{Millis, Partition};
use ownership::{Event, RuleMode, SafetyRules, Timing};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use simulation::search::{Action, apply};
use simulation::{HostState, Simulation, StoreState, report};

const PARTITIONS: u32 = 4;
const STEPS: usize = 1_200;
const MAX_STEP_MS: u64 = 120;

/// Keeps the drift between two clocks below the margin of 50 ms per term of 1 s.
const MAX_DRIFT_MS_PER_S: u64 = 40;

fn start(hosts: usize, rng: &mut StdRng, rules: SafetyRules) -> Simulation {
    let timing = Timing { release_time_limit: Millis(1_000), ..Timing::default() };
    let mut sim = Simulation::new(hosts, PARTITIONS, timing, rules);
    for host in &mut sim.hosts {
        host.drift_ms_per_s = rng.random_range(0..MAX_DRIFT_MS_PER_S);
    }
    sim.run_until(Millis(5_000), |_| false);
    assert!(sim.all_served());
    sim
}

fn random_action(rng: &mut StdRng, sim: &Simulation) -> Option<Action> {
    let host = rng.random_range(0..sim.hosts.len());
    let other = rng.random_range(0..sim.hosts.len());
    let state = sim.hosts[host].state;
    match rng.random_range(0..100) {
        0..3 if state == HostState::Running => Some(Action::Pause(host)),
        3..5 if state == HostState::Running => Some(Action::Crash(host)),
        5..7 => Some(Action::Isolate(host)),
        7..9 if host < other => Some(Action::BreakLink(host, other)),
        9 => Some(Action::SetStore(StoreState::Down)),
        10 => Some(Action::SetStore(StoreState::ResponsesLost)),
        11 if state == HostState::Running => Some(Action::ClockJump(host)),
        12 if state == HostState::Running => Some(Action::BackendDown(host)),
        62 if state == HostState::Running => Some(Action::Drain(host)),
        63..70 if sim.hosts[host].drained => Some(Action::Crash(host)),
        13..18 => Some(Action::SetStore(StoreState::Up)),
        18..24 if state == HostState::Down => Some(Action::Restart(host)),
        24..30 if state == HostState::Paused => Some(Action::Resume(host)),
        30..38 => Some(Action::Reconnect(host)),
        38..48 if !sim.broken_links.is_empty() => {
            let (a, b) = sim.broken_links[rng.random_range(0..sim.broken_links.len())];
            Some(Action::RestoreLink(a, b))
        }
        48..62 if !sim.delayed.is_empty() => {
            Some(Action::DeliverDelayed(rng.random_range(0..sim.delayed.len())))
        }
        _ => None,
    }
}

/// Runs the walk of one seed. Returns the violation, if any, with the last actions.
fn walk(hosts: usize, seed: u64, rules: SafetyRules) -> Result<Simulation, String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut sim = start(hosts, &mut rng, rules);
    sim.reorder_state = Some(seed);
    let mut actions = Vec::new();
    for _ in 0..STEPS {
        if let Some(action) = random_action(&mut rng, &sim) {
            actions.push((sim.now, action));
            apply(&mut sim, action, Millis::ZERO);
        }
        sim.step(Millis(rng.random_range(10..MAX_STEP_MS)));
        if rng.random_range(0..40) == 0 {
            let host = rng.random_range(0..hosts);
            if sim.hosts[host].state == HostState::Running {
                sim.feed(host, Event::Reported(report(4)));
            }
        }
        if let Some(violation) = &sim.violation {
            return Err(describe(seed, violation, &sim, &actions));
        }
    }
    repair(&mut sim);
    sim.run_until(Millis(20_000), |s| s.violation.is_some());
    let violation = sim.violation.clone();
    let not_served = || (!sim.all_served()).then(|| "not served after all repairs".to_owned());
    match violation.or_else(not_served) {
        Some(text) => Err(describe(seed, &text, &sim, &actions)),
        None => Ok(sim),
    }
}

fn repair(sim: &mut Simulation) {
    sim.store = StoreState::Up;
    sim.broken_links.clear();
    for index in 0..sim.hosts.len() {
        sim.set_network_group(index, 0);
        match sim.hosts[index].state {
            HostState::Running if sim.hosts[index].draining => {
                sim.crash(index);
                sim.restart(index);
            }
            HostState::Running => {}
            HostState::Paused => sim.resume(index),
            HostState::Down => sim.restart(index),
        }
        sim.report(index, 4);
    }
}

fn describe(seed: u64, text: &str, sim: &Simulation, actions: &[(Millis, Action)]) -> String {
    let last = &actions[actions.len().saturating_sub(12)..];
    let log = &sim.log.0[sim.log.0.len().saturating_sub(40)..];
    let actions: Vec<String> = last.iter().map(|(at, action)| format!("{at} {action:?}")).collect();
    let log: Vec<String> =
        log.iter().map(|(at, i, text)| format!("{at} host {i} {text}")).collect();
    let (actions, log) = (actions.join("\n"), log.join("\n"));
    format!("seed {seed} at {}: {text}\n{actions}\n{log}\n{:?}", sim.now, sim.row)
}

fn check(hosts: usize, seeds: std::ops::Range<u64>) {
    let mut expired = 0;
    let mut takeovers = 0;
    let mut seals = 0;
    for seed in seeds.clone() {
        match walk(hosts, seed, SafetyRules::default()) {
            Ok(sim) => {
                expired += sim.decision_count("lapse");
                takeovers += sim.decision_count("takeover");
                seals += sim.decision_count("seal");
                assert!((0..PARTITIONS).all(|p| sim.serving(Partition(p)).len() == 1));
            }
            Err(text) => panic!("{text}"),
        }
    }
    println!(
        "{hosts} hosts, seeds {seeds:?}: {expired} expired, {takeovers} takeovers, {seals} seals"
    );
    assert!(expired > 0 && takeovers > 0 && seals > 0);
}

#[test]
fn random_walks_with_four_hosts_keep_a_single_owner() {
    check(4, 0..150);
}

#[test]
fn random_walks_with_six_hosts_keep_a_single_owner() {
    check(6, 0..150);
}

/// The walks do not reach the violations that the other four rules prevent; the model check does.
#[test]
fn random_walks_find_violations_of_disabled_rules() {
    let check = |name: &str, rules: SafetyRules| {
        let seed = (0..100).find(|seed| walk(6, *seed, rules).is_err());
        println!("without {name}: first violation with seed {seed:?}");
        assert!(seed.is_some(), "{name}");
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
