//! Simulates callers that want each action to run exactly once, over links that lose requests and
//! responses.

mod ingress;
mod owner;
mod simulation;

use model::Millis;
use papayarill_config::RetrySafety;

use simulation::{Faults, IdScheme, IngressRetry, Policy, ReportedOutcome, Simulation};

/// The number of actions in each simulation.
const ACTIONS: usize = 20_000;

/// The faults of the first table.
const COMMON_FAULTS: Faults = Faults {
    not_connected: 10,
    request_lost: 5,
    response_lost: 10,
    refused: 20,
    late_runs: 5,
    loss_interval: Some(Millis(2_000)),
    move_interval: Some(Millis(2_000)),
};

const NO_FAULTS: Faults = Faults {
    not_connected: 0,
    request_lost: 0,
    response_lost: 0,
    refused: 0,
    late_runs: 0,
    loss_interval: None,
    move_interval: None,
};

const POLICIES: [Policy; 5] = [
    Policy::new("papayarill", IngressRetry::RoutingCrate, IdScheme::PerAction, 5),
    Policy::new("papayarill, id kept", IngressRetry::RoutingCrate, IdScheme::Fixed, 5),
    Policy::new("papayarill, id per send", IngressRetry::RoutingCrate, IdScheme::PerSend, 5),
    Policy::new("retry on any error", IngressRetry::AnyError, IdScheme::None, 5),
    Policy::new("no retry", IngressRetry::Never, IdScheme::None, 1),
];

/// Prints how many actions ran more than once or never, and which outcomes were reported to
/// their callers.
pub fn print_duplicates_and_losses() {
    println!(
        "Actions that must run once: {ACTIONS} actions, each sent until it is known to have run"
    );
    println!("(at most 5 sends, 1 without retry).");
    println!();
    println!(
        "{:<26} {:>8} {:>8} {:>8} {:>9} {:>11} {:>11} {:>9}",
        "policy", "ran", "never", "reported", "reported", "not run,", "unknown,", "sends per"
    );
    println!(
        "{:<26} {:>8} {:>8} {:>8} {:>9} {:>11} {:>11} {:>9}",
        "", "> once", "ran", "ran", "not run", "but ran", "but ran", "action"
    );
    for policy in POLICIES {
        print_row(&policy, &Simulation::new(policy, COMMON_FAULTS).run(ACTIONS));
    }
    println!();
}

fn print_row(policy: &Policy, simulation: &Simulation) {
    let actions = &simulation.actions;
    let count = |matches: &dyn Fn(ReportedOutcome, u32) -> bool| {
        actions.iter().filter(|a| matches(a.reported, a.runs)).count()
    };
    let sends: u32 = actions.iter().map(|a| a.sends).sum();
    println!(
        "{:<26} {:>8} {:>8} {:>8} {:>9} {:>11} {:>11} {:>9.3}",
        policy.name,
        count(&|_, runs| runs > 1),
        count(&|_, runs| runs == 0),
        count(&|reported, _| reported == ReportedOutcome::Ran),
        count(&|reported, _| reported == ReportedOutcome::NotRun),
        count(&|reported, runs| reported == ReportedOutcome::NotRun && runs > 0),
        count(&|reported, runs| reported == ReportedOutcome::Unknown && runs > 0),
        f64::from(sends) / actions.len() as f64,
    );
}

/// Prints how many attempts an ingress makes per request during an outage.
pub fn print_outage() {
    let outages = [
        ("owners unreachable", Faults { not_connected: 1_000, ..NO_FAULTS }),
        ("backend servers refuse", Faults { refused: 1_000, ..NO_FAULTS }),
        ("half are refused", Faults { refused: 500, ..NO_FAULTS }),
        ("responses are lost", Faults { response_lost: 1_000, ..NO_FAULTS }),
    ];
    println!("Attempts per request during an outage, {ACTIONS} idempotent requests.");
    println!();
    println!("{:<26} {:>12} {:>20}", "outage", "papayarill", "retry on any error");
    for (name, faults) in outages {
        let routing_crate = attempts_per_request(IngressRetry::RoutingCrate, faults);
        let any_error = attempts_per_request(IngressRetry::AnyError, faults);
        println!("{name:<26} {routing_crate:>12.3} {any_error:>20.3}");
    }
    println!();
}

/// Prints how many callers see an error when planned moves of partitions are the only disturbance.
pub fn print_planned_moves() {
    let faults = Faults { move_interval: Some(Millis(100)), ..NO_FAULTS };
    println!("Planned moves only, one every 100 ms, {ACTIONS} actions, one send each.");
    println!();
    println!("{:<26} {:>14} {:>18}", "policy", "errors", "attempts per send");
    for (name, ingress_retry, id_scheme) in [
        ("papayarill", IngressRetry::RoutingCrate, IdScheme::PerAction),
        ("retry on any error", IngressRetry::AnyError, IdScheme::None),
        ("no retry", IngressRetry::Never, IdScheme::None),
    ] {
        let simulation =
            Simulation::new(Policy::new(name, ingress_retry, id_scheme, 1), faults).run(ACTIONS);
        let errors =
            simulation.actions.iter().filter(|a| a.reported != ReportedOutcome::Ran).count();
        let attempts = simulation.attempts as f64 / simulation.requests.len() as f64;
        println!("{name:<26} {errors:>14} {attempts:>18.3}");
    }
    println!();
}

fn attempts_per_request(ingress_retry: IngressRetry, faults: Faults) -> f64 {
    let policy = Policy {
        repeat: RetrySafety::Idempotent,
        ..Policy::new("", ingress_retry, IdScheme::None, 1)
    };
    let simulation = Simulation::new(policy, faults).run(ACTIONS);
    simulation.attempts as f64 / simulation.requests.len() as f64
}
