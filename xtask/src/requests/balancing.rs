//! Work that is not divided by key, from ingresses in three regions.

mod world;

use world::{Choice, Deployment, Scenario, Tally, World};

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment { name: "Solar Watch", slots: 6, zone_way_us: 500, caller_way_us: 1_000 },
    Deployment { name: "Tiszavölgy", slots: 18, zone_way_us: 1_400, caller_way_us: 3_000 },
];

const SCENARIOS: [(&str, Scenario); 5] = [
    ("even load", Scenario::Even),
    ("load swings between regions", Scenario::Swing),
    ("one server 5 times slower", Scenario::SlowServer),
    ("one server refuses half", Scenario::RefusingServer),
    ("one server lost for 10 s", Scenario::LostServer),
];

const CHOICES: [(&str, Choice); 3] = [
    ("random", Choice::Random),
    ("near zone only", Choice::NearOnly),
    ("papayarill", Choice::Balanced),
];

/// Prints the balance, the latency and the traffic between regions.
pub fn print() {
    for deployment in DEPLOYMENTS {
        println!(
            "Balancing, {}: 6 servers of {} slots in 6 zones of 3 regions.",
            deployment.name, deployment.slots
        );
        println!();
        println!(
            "{:<28} {:<15} {:>9} {:>8} {:>8} {:>9} {:>8}",
            "load", "choice", "imbalance", "p50 ms", "p99 ms", "far bytes", "failed"
        );
        for (name, scenario) in SCENARIOS {
            for (choice_name, choice) in CHOICES {
                let tally = World::new(deployment, scenario, choice).run();
                print_row(name, choice_name, &tally);
            }
        }
        println!();
    }
}

fn print_row(scenario: &str, choice: &str, tally: &Tally) {
    println!(
        "{scenario:<28} {choice:<15} {:>9.2} {:>8.1} {:>8.1} {:>8.1}% {:>8}",
        tally.imbalance(),
        tally.latency_ms(0.5),
        tally.latency_ms(0.99),
        tally.far_percent(),
        tally.failed
    );
}
