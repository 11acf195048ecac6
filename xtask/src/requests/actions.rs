//! Callers that want each action done once, over links that lose requests and answers.

mod ingress;
mod owner;
mod world;

use model::Millis;
use papayarill_config::RetrySafety;

use world::{Faults, Ids, Known, Policy, Resend, World};

/// The actions of one table.
const ACTIONS: usize = 20_000;

const EVERYDAY: Faults = Faults {
    not_connected: 10,
    request_lost: 5,
    answer_lost: 10,
    refused: 20,
    long_runs: 5,
    loss_interval: Some(Millis(2_000)),
    move_interval: Some(Millis(2_000)),
};

const NO_FAULTS: Faults = Faults {
    not_connected: 0,
    request_lost: 0,
    answer_lost: 0,
    refused: 0,
    long_runs: 0,
    loss_interval: None,
    move_interval: None,
};

const POLICIES: [Policy; 5] = [
    Policy::new("papayarill", Resend::Decided, Ids::PerAction, 5),
    Policy::new("papayarill, id kept", Resend::Decided, Ids::Kept, 5),
    Policy::new("papayarill, id per send", Resend::Decided, Ids::PerSend, 5),
    Policy::new("retry on any error", Resend::Any, Ids::None, 5),
    Policy::new("no retry", Resend::Never, Ids::None, 1),
];

/// Prints how many actions ran twice or never, and what callers know of them.
pub fn print_doubled_and_lost() {
    println!(
        "Actions that must run once: {ACTIONS} actions, each sent until it is known to be done"
    );
    println!("(at most 5 sends, 1 without retry).");
    println!();
    println!(
        "{:<26} {:>8} {:>8} {:>8} {:>9} {:>11} {:>11} {:>9}",
        "policy", "doubled", "never", "told ran", "told not", "told not,", "unknown,", "sends per"
    );
    println!(
        "{:<26} {:>8} {:>8} {:>8} {:>9} {:>11} {:>11} {:>9}",
        "", "", "ran", "", "run", "but ran", "and ran", "action"
    );
    for policy in POLICIES {
        print_actions(&policy, &World::new(policy, EVERYDAY).run(ACTIONS));
    }
    println!();
}

fn print_actions(policy: &Policy, world: &World) {
    let actions = &world.actions;
    let count =
        |f: &dyn Fn(Known, u32) -> bool| actions.iter().filter(|a| f(a.known, a.runs)).count();
    let sends: u32 = actions.iter().map(|a| a.sends).sum();
    println!(
        "{:<26} {:>8} {:>8} {:>8} {:>9} {:>11} {:>11} {:>9.3}",
        policy.name,
        count(&|_, runs| runs > 1),
        count(&|_, runs| runs == 0),
        count(&|known, _| known == Known::Ran),
        count(&|known, _| known == Known::NotRun),
        count(&|known, runs| known == Known::NotRun && runs > 0),
        count(&|known, runs| known == Known::Unknown && runs > 0),
        f64::from(sends) / actions.len() as f64,
    );
}

/// Prints how many attempts an ingress makes per first attempt while all of them fail.
pub fn print_outage() {
    let outages = [
        ("owners unreachable", Faults { not_connected: 1_000, ..NO_FAULTS }),
        ("backend servers refuse", Faults { refused: 1_000, ..NO_FAULTS }),
        ("half is refused", Faults { refused: 500, ..NO_FAULTS }),
        ("answers are lost", Faults { answer_lost: 1_000, ..NO_FAULTS }),
    ];
    println!("Attempts per first attempt in an outage, {ACTIONS} idempotent requests.");
    println!();
    println!("{:<26} {:>12} {:>20}", "outage", "papayarill", "retry on any error");
    for (name, faults) in outages {
        let decided = attempts_per_first(Resend::Decided, faults);
        let plain = attempts_per_first(Resend::Any, faults);
        println!("{name:<26} {decided:>12.3} {plain:>20.3}");
    }
    println!();
}

/// Prints how many callers see an error while partitions are only moved as planned.
pub fn print_planned_moves() {
    let faults = Faults { move_interval: Some(Millis(100)), ..NO_FAULTS };
    println!("Planned moves only, one each 100 ms, {ACTIONS} actions, one send each.");
    println!();
    println!("{:<26} {:>14} {:>18}", "policy", "errors", "attempts per send");
    for (name, resend, ids) in [
        ("papayarill", Resend::Decided, Ids::PerAction),
        ("retry on any error", Resend::Any, Ids::None),
        ("no retry", Resend::Never, Ids::None),
    ] {
        let world = World::new(Policy::new(name, resend, ids, 1), faults).run(ACTIONS);
        let errors = world.actions.iter().filter(|a| a.known != Known::Ran).count();
        let attempts = world.attempts as f64 / world.requests.len() as f64;
        println!("{name:<26} {errors:>14} {attempts:>18.3}");
    }
    println!();
}

fn attempts_per_first(resend: Resend, faults: Faults) -> f64 {
    let policy =
        Policy { repeat: RetrySafety::Idempotent, ..Policy::new("", resend, Ids::None, 1) };
    let world = World::new(policy, faults).run(ACTIONS);
    world.attempts as f64 / world.requests.len() as f64
}
