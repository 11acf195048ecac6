//! Compares the admission queue with a plain FIFO queue, at the sizes of both deployments.
//!
//! A discrete-event simulation of six backend servers, with arrivals drawn from fixed seeds. Except
//! for the CPU time, the figures do not depend on the machine.

mod load;
mod simulation;

use std::time::Instant;

use admission::Limits;
use model::{Millis, Priority};
use rand::SeedableRng;
use rand::rngs::StdRng;

use load::{LoadProfile, SURGE, Stream};
use simulation::{Outcomes, Policy, Simulation};

/// The number of backend servers.
const SERVERS: usize = 6;

/// The deployments, with the number of slots of each backend server.
const DEPLOYMENTS: [(&str, u32); 2] = [("6 x 6 slots", 6), ("6 x 18 slots", 18)];

/// How long requests arrive; the run ends once all of them are answered or refused.
const ARRIVAL_TIME: Millis = Millis(40_000);

const SEEDS: [u64; 3] = [1, 2, 3];

/// The mean run time of short jobs, in ms.
const SHORT_MS: f64 = 20.0;

/// How many times longer stragglers run than short jobs, on average.
const STRAGGLER_FACTOR: f64 = 50.0;

/// The fraction of jobs that are stragglers.
const STRAGGLER_SHARE: f64 = 0.02;

/// The rules that the streams match.
const SHORT_RULE: u32 = 0;
const LONG_RULE: u32 = 1;
const DEFERRABLE_RULE: u32 = 2;
const INTERNAL_RULE: u32 = 3;

/// The key ranges of short jobs and of stragglers, where the two use different keys.
const SHORT_KEYS: (u64, u64) = (1_000, 11_000);
const SLOW_KEYS: (u64, u64) = (1, 60);

/// Prints all tables.
pub fn run() {
    for (name, slots) in DEPLOYMENTS {
        println!("\n{name}");
        print_stragglers(slots);
        print_surge(slots);
        print_lower_priorities(slots);
        print_cpu_time(slots);
    }
}

/// Prints the CPU time per request, the only figure of this module that depends on the machine.
fn print_cpu_time(slots: u32) {
    println!("CPU time per request, including the simulation");
    for load in [0.5, 5.0] {
        let streams = [surge_stream(load)];
        let started = Instant::now();
        let outcomes = simulate(Policy::Queue, slots, &streams);
        let micros = started.elapsed().as_secs_f64() * 1e6 / outcomes[0].offered as f64;
        println!("  surge of {load}x  {micros:.2} us");
    }
}

fn short_stream(load: f64) -> Stream {
    Stream {
        priority: Priority::Interactive,
        rule: Some(SHORT_RULE),
        mean_ms: SHORT_MS,
        time_limit: Millis(10_000),
        load,
        profile: LoadProfile::Constant,
        keys: None,
    }
}

fn straggler_stream(short_load: f64, rule: u32) -> Stream {
    let load = short_load * STRAGGLER_SHARE / (1.0 - STRAGGLER_SHARE) * STRAGGLER_FACTOR;
    let mean_ms = SHORT_MS * STRAGGLER_FACTOR;
    Stream { mean_ms, load, rule: Some(rule), ..short_stream(load) }
}

fn with_keys(stream: Stream, keys: (u64, u64)) -> Stream {
    Stream { keys: Some(keys), ..stream }
}

fn surge_stream(load: f64) -> Stream {
    Stream { time_limit: Millis(500), profile: LoadProfile::Surge, ..short_stream(load) }
}

fn lower_stream(priority: Priority, rule: u32, mean_ms: f64, load: f64) -> Stream {
    Stream { priority, rule: Some(rule), mean_ms, ..short_stream(load) }
}

fn limits(slots: u32) -> Limits {
    Limits::builder(slots).reserved_slots(slots / 3).connections(110).build()
}

/// Simulates the streams once per seed and returns the sum of the outcomes over all seeds, by
/// stream.
fn simulate(policy: Policy, slots: u32, streams: &[Stream]) -> Vec<Outcomes> {
    let runs = SEEDS.iter().map(|&seed| {
        let mut rng = StdRng::seed_from_u64(seed);
        let arrivals = load::generate(streams, slots, ARRIVAL_TIME, &mut rng);
        Simulation::new(policy, limits(slots), slots, &arrivals, streams.len()).run()
    });
    runs.reduce(|mut sum, run| {
        sum.iter_mut().zip(run).for_each(|(s, r)| s.add(&r));
        sum
    })
    .unwrap_or_default()
}

fn print_stragglers(slots: u32) {
    println!("short jobs mixed with 2% of jobs that run 50 times longer");
    println!("  load  policy  stragglers   p50 ms  p99 ms  ratio  refused%   long p99  refused%");
    for load in [0.2, 0.35, 0.42] {
        for policy in [Policy::Fifo, Policy::Queue] {
            let base_outcomes = simulate(policy, slots, &[short_stream(load)]);
            let base_p99 = base_outcomes[0].latency_percentile(99.0);
            print_straggler_line(load, policy, "none", &base_outcomes, base_p99);
            let long = |rule| straggler_stream(load, rule);
            // In the last mix, nothing tells the queue stragglers and short jobs apart.
            let mixes = [
                ("own rule", [short_stream(load), long(LONG_RULE)]),
                (
                    "slow keys",
                    [
                        with_keys(short_stream(load), SHORT_KEYS),
                        with_keys(long(SHORT_RULE), SLOW_KEYS),
                    ],
                ),
                ("hidden", [short_stream(load), long(SHORT_RULE)]),
            ];
            for (name, streams) in mixes {
                let outcomes = simulate(policy, slots, &streams);
                print_straggler_line(load, policy, name, &outcomes, base_p99);
            }
        }
    }
}

fn print_straggler_line(
    load: f64,
    policy: Policy,
    name: &str,
    outcomes: &[Outcomes],
    base_p99: u64,
) {
    let short = &outcomes[0];
    let ratio = short.latency_percentile(99.0) as f64 / base_p99 as f64;
    let long = outcomes.get(1).map_or(String::new(), |l| {
        format!("{:>9}  {:>8.2}", l.latency_percentile(99.0), l.refused_percent())
    });
    println!(
        "  {load:>4.2}  {:<6}  {name:<10}  {:>7}  {:>6}  {ratio:>5.2}  {:>8.2}  {long}",
        format!("{policy:?}"),
        short.latency_percentile(50.0),
        short.latency_percentile(99.0),
        short.refused_percent(),
    );
}

fn print_surge(slots: u32) {
    println!("interactive requests in a surge of 20 s, reached within 2 s, time limit 500 ms");
    println!("  surge  policy  lower load  goodput/s  of 1x  p50 ms  p99 ms  refused%");
    let lower_streams = [
        lower_stream(Priority::Deferrable, DEFERRABLE_RULE, SHORT_MS, 0.5),
        lower_stream(Priority::Internal, INTERNAL_RULE, SHORT_MS, 0.5),
    ];
    for policy in [Policy::Fifo, Policy::Queue] {
        for (name, background) in [("none", &lower_streams[..0]), ("1x", &lower_streams[..])] {
            let mut goodput_at_1x = 0.0;
            for peak_load in [1.0, 2.0, 5.0] {
                let streams: Vec<Stream> = std::iter::once(surge_stream(peak_load))
                    .chain(background.iter().copied())
                    .collect();
                let outcomes = simulate(policy, slots, &streams);
                let goodput = goodput_per_second(&outcomes[0]);
                goodput_at_1x = if peak_load == 1.0 { goodput } else { goodput_at_1x };
                println!(
                    "  {peak_load:>4}x  {:<6}  {name:<10}  {goodput:>9.0}  {:>5.2}  {:>6}  {:>6}  {:>8.2}",
                    format!("{policy:?}"),
                    if goodput_at_1x > 0.0 { goodput / goodput_at_1x } else { 0.0 },
                    outcomes[0].latency_percentile(50.0),
                    outcomes[0].latency_percentile(99.0),
                    outcomes[0].refused_percent(),
                );
            }
        }
    }
}

fn goodput_per_second(stream: &Outcomes) -> f64 {
    let seconds = SURGE.1.since(SURGE.0).0 as f64 / 1_000.0 * SEEDS.len() as f64;
    stream.surge_in_time as f64 / seconds
}

fn print_lower_priorities(slots: u32) {
    println!("interactive requests mixed with requests of lower priority");
    println!("  load  policy  lower             p50 ms  p99 ms  ratio  lower answered%");
    let deferrable = |mean| lower_stream(Priority::Deferrable, DEFERRABLE_RULE, mean, 2.0);
    let internal = |mean| lower_stream(Priority::Internal, INTERNAL_RULE, mean, 2.0);
    let backgrounds = [
        ("none", vec![]),
        ("deferrable 2x", vec![deferrable(SHORT_MS)]),
        ("internal 2x", vec![internal(SHORT_MS)]),
        ("both, 5x longer", vec![deferrable(5.0 * SHORT_MS), internal(5.0 * SHORT_MS)]),
        ("both, 25x longer", vec![deferrable(25.0 * SHORT_MS), internal(25.0 * SHORT_MS)]),
    ];
    for load in [0.3, 0.6, 0.8] {
        for policy in [Policy::Fifo, Policy::Queue] {
            let mut base_p99 = 0;
            for (name, background) in &backgrounds {
                let streams: Vec<Stream> =
                    std::iter::once(short_stream(load)).chain(background.iter().copied()).collect();
                let outcomes = simulate(policy, slots, &streams);
                base_p99 = if background.is_empty() {
                    outcomes[0].latency_percentile(99.0)
                } else {
                    base_p99
                };
                print_lower_priority_line(load, policy, name, &outcomes, base_p99);
            }
        }
    }
}

fn print_lower_priority_line(
    load: f64,
    policy: Policy,
    name: &str,
    outcomes: &[Outcomes],
    base_p99: u64,
) {
    let lower = &outcomes[1..];
    let offered: u64 = lower.iter().map(|o| o.offered).sum();
    let in_time: u64 = lower.iter().map(|o| o.in_time).sum();
    println!(
        "  {load:>4.2}  {:<6}  {name:<16}  {:>6}  {:>6}  {:>5.2}  {:>15.1}",
        format!("{policy:?}"),
        outcomes[0].latency_percentile(50.0),
        outcomes[0].latency_percentile(99.0),
        outcomes[0].latency_percentile(99.0) as f64 / base_p99 as f64,
        100.0 * in_time as f64 / offered.max(1) as f64,
    );
}
