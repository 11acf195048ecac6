//! Measures the admission queue against a plain FIFO, at the sizes of both deployments.
//!
//! Six backend servers, arrivals drawn from fixed seeds, time by discrete events: the figures do
//! not depend on the machine.

mod load;
mod sim;

use std::time::Instant;

use admission::Limits;
use model::{Millis, Priority};
use rand::SeedableRng;
use rand::rngs::StdRng;

use load::{CREST, Stream, Swing};
use sim::{Outcomes, Policy, Sim};

/// Backend servers of one service.
const SERVERS: usize = 6;

/// Slots of one backend server, by deployment.
const DEPLOYMENTS: [(&str, u32); 2] = [("6 x 6 slots", 6), ("6 x 18 slots", 18)];

/// How long requests arrive.
const END: Millis = Millis(40_000);

const SEEDS: [u64; 3] = [1, 2, 3];

/// Mean time of short work, in ms.
const SHORT_MS: f64 = 20.0;

/// A straggler takes this many times longer.
const STRAGGLER_FACTOR: f64 = 50.0;

/// This share of the jobs are stragglers.
const STRAGGLER_SHARE: f64 = 0.02;

/// The rules of the streams.
const SHORT_RULE: u32 = 0;
const LONG_RULE: u32 = 1;
const DEFERRABLE_RULE: u32 = 2;
const INTERNAL_RULE: u32 = 3;

/// The keys of short work and of stragglers, where they differ.
const SHORT_KEYS: (u64, u64) = (1_000, 11_000);
const SLOW_KEYS: (u64, u64) = (1, 60);

/// Prints all tables.
pub fn run() {
    for (name, slots) in DEPLOYMENTS {
        println!("\n{name}");
        print_stragglers(slots);
        print_crest(slots);
        print_lower_classes(slots);
        print_cost(slots);
    }
}

/// Prints the processor time that the queue takes per request; the only figure here that depends
/// on the machine.
fn print_cost(slots: u32) {
    println!("processor time per request, the simulation included");
    for load in [0.5, 5.0] {
        let streams = [crest(load)];
        let started = Instant::now();
        let got = outcomes(Policy::Queue, slots, &streams);
        let micros = started.elapsed().as_secs_f64() * 1e6 / got[0].offered as f64;
        println!("  crest of {load}x  {micros:.2} us");
    }
}

fn short(load: f64) -> Stream {
    Stream {
        priority: Priority::Interactive,
        rule: Some(SHORT_RULE),
        mean_ms: SHORT_MS,
        time_limit: Millis(10_000),
        load,
        swing: Swing::Steady,
        keys: None,
    }
}

fn stragglers(short_load: f64, rule: u32) -> Stream {
    let load = short_load * STRAGGLER_SHARE / (1.0 - STRAGGLER_SHARE) * STRAGGLER_FACTOR;
    let mean_ms = SHORT_MS * STRAGGLER_FACTOR;
    Stream { mean_ms, load, rule: Some(rule), ..short(load) }
}

fn keyed(stream: Stream, keys: (u64, u64)) -> Stream {
    Stream { keys: Some(keys), ..stream }
}

fn crest(load: f64) -> Stream {
    Stream { time_limit: Millis(500), swing: Swing::Crest, ..short(load) }
}

fn lower(priority: Priority, rule: u32, mean_ms: f64, load: f64) -> Stream {
    Stream { priority, rule: Some(rule), mean_ms, ..short(load) }
}

fn limits(slots: u32) -> Limits {
    Limits::builder(slots).reserved_slots(slots / 3).connections(110).build()
}

/// Runs the streams once per seed and returns the outcomes of all seeds together, by stream.
fn outcomes(policy: Policy, slots: u32, streams: &[Stream]) -> Vec<Outcomes> {
    let runs = SEEDS.iter().map(|&seed| {
        let mut rng = StdRng::seed_from_u64(seed);
        let arrivals = load::draw(streams, slots, END, &mut rng);
        Sim::new(policy, limits(slots), slots, &arrivals, streams.len()).run()
    });
    runs.reduce(|mut sum, run| {
        sum.iter_mut().zip(run).for_each(|(s, r)| s.add(&r));
        sum
    })
    .unwrap_or_default()
}

fn print_stragglers(slots: u32) {
    println!("short work beside 2% of jobs 50 times longer");
    println!("  load  policy  stragglers   p50 ms  p99 ms  ratio  refused%   long p99  refused%");
    for load in [0.2, 0.35, 0.42] {
        for policy in [Policy::Fifo, Policy::Queue] {
            let base = outcomes(policy, slots, &[short(load)]);
            let base_p99 = base[0].p(99.0);
            print_straggler_line(load, policy, "none", &base, base_p99);
            let long = |rule| stragglers(load, rule);
            let mixes = [
                ("own rule", [short(load), long(LONG_RULE)]),
                ("slow keys", [keyed(short(load), SHORT_KEYS), keyed(long(SHORT_RULE), SLOW_KEYS)]),
                ("hidden", [short(load), long(SHORT_RULE)]),
            ];
            for (name, streams) in mixes {
                let got = outcomes(policy, slots, &streams);
                print_straggler_line(load, policy, name, &got, base_p99);
            }
        }
    }
}

fn print_straggler_line(load: f64, policy: Policy, name: &str, got: &[Outcomes], base_p99: u64) {
    let short = &got[0];
    let ratio = short.p(99.0) as f64 / base_p99 as f64;
    let long = got
        .get(1)
        .map_or(String::new(), |l| format!("{:>9}  {:>8.2}", l.p(99.0), l.refused_percent()));
    println!(
        "  {load:>4.2}  {:<6}  {name:<10}  {:>7}  {:>6}  {ratio:>5.2}  {:>8.2}  {long}",
        format!("{policy:?}"),
        short.p(50.0),
        short.p(99.0),
        short.refused_percent(),
    );
}

fn print_crest(slots: u32) {
    println!("interactive work at a crest of 20 s, reached within 2 s, time limit 500 ms");
    println!("  crest  policy  lower load  goodput/s  of 1x  p50 ms  p99 ms  refused%");
    let background = [
        lower(Priority::Deferrable, DEFERRABLE_RULE, SHORT_MS, 0.5),
        lower(Priority::Internal, INTERNAL_RULE, SHORT_MS, 0.5),
    ];
    for policy in [Policy::Fifo, Policy::Queue] {
        for (name, extra) in [("none", &background[..0]), ("1x", &background[..])] {
            let mut at_one = 0.0;
            for peak in [1.0, 2.0, 5.0] {
                let streams: Vec<Stream> =
                    std::iter::once(crest(peak)).chain(extra.iter().copied()).collect();
                let got = outcomes(policy, slots, &streams);
                let goodput = goodput_per_second(&got[0]);
                at_one = if peak == 1.0 { goodput } else { at_one };
                println!(
                    "  {peak:>4}x  {:<6}  {name:<10}  {goodput:>9.0}  {:>5.2}  {:>6}  {:>6}  {:>8.2}",
                    format!("{policy:?}"),
                    if at_one > 0.0 { goodput / at_one } else { 0.0 },
                    got[0].p(50.0),
                    got[0].p(99.0),
                    got[0].refused_percent(),
                );
            }
        }
    }
}

fn goodput_per_second(outcomes: &Outcomes) -> f64 {
    let seconds = CREST.1.since(CREST.0).0 as f64 / 1_000.0 * SEEDS.len() as f64;
    outcomes.crest_in_time as f64 / seconds
}

fn print_lower_classes(slots: u32) {
    println!("interactive work beside lower classes");
    println!("  load  policy  lower             p50 ms  p99 ms  ratio  lower answered%");
    let deferrable = |mean| lower(Priority::Deferrable, DEFERRABLE_RULE, mean, 2.0);
    let internal = |mean| lower(Priority::Internal, INTERNAL_RULE, mean, 2.0);
    let extras = [
        ("none", vec![]),
        ("deferrable 2x", vec![deferrable(SHORT_MS)]),
        ("internal 2x", vec![internal(SHORT_MS)]),
        ("both, 5x longer", vec![deferrable(5.0 * SHORT_MS), internal(5.0 * SHORT_MS)]),
        ("both, 25x longer", vec![deferrable(25.0 * SHORT_MS), internal(25.0 * SHORT_MS)]),
    ];
    for load in [0.3, 0.6, 0.8] {
        for policy in [Policy::Fifo, Policy::Queue] {
            let mut base = 0;
            for (name, extra) in &extras {
                let streams: Vec<Stream> =
                    std::iter::once(short(load)).chain(extra.iter().copied()).collect();
                let got = outcomes(policy, slots, &streams);
                base = if extra.is_empty() { got[0].p(99.0) } else { base };
                print_lower_line(load, policy, name, &got, base);
            }
        }
    }
}

fn print_lower_line(load: f64, policy: Policy, name: &str, got: &[Outcomes], base: u64) {
    let lower = &got[1..];
    let offered: u64 = lower.iter().map(|o| o.offered).sum();
    let in_time: u64 = lower.iter().map(|o| o.in_time).sum();
    println!(
        "  {load:>4.2}  {:<6}  {name:<16}  {:>6}  {:>6}  {:>5.2}  {:>15.1}",
        format!("{policy:?}"),
        got[0].p(50.0),
        got[0].p(99.0),
        got[0].p(99.0) as f64 / base as f64,
        100.0 * in_time as f64 / offered.max(1) as f64,
    );
}
