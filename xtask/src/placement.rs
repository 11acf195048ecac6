//! Compares the placement planner with simple strategies, under a skewed load whose hottest keys
//! change every minute.
//!
//! All strategies get the same loads. Each cell is planned by itself, as in production, so the
//! figures for many hosts are those of many cells.

mod keys;
mod strategy;

use std::time::Instant;

use model::{Millis, Partition};
use placement::PartitionState;
use rand::SeedableRng;
use rand::rngs::StdRng;

use keys::KeySet;
use strategy::{Cell, STRATEGIES, Strategy};

/// The total numbers of hosts.
const HOST_COUNTS: [usize; 3] = [6, 60, 600];

/// The maximum number of hosts per cell.
const MAX_CELL_HOSTS: usize = 32;

/// Partitions per host.
const PARTITIONS_PER_HOST: usize = 64;

/// The simulated minutes; the hottest keys change at the start of each.
const MINUTES: usize = 10;

/// The first minutes, in which each strategy reaches its steady state, are not counted.
const WARM_UP_MINUTES: usize = 2;

/// Plans per minute and cell.
const PLANS_PER_MINUTE: usize = 12;

const SEED: u64 = 1;

/// The totals of one strategy over the counted minutes.
#[derive(Default)]
struct Totals {
    imbalance: f64,
    max_imbalance: f64,
    /// The sum of the ratios of the imbalance to its lower bound.
    bound_ratio_sum: f64,
    excess: f64,
    samples: f64,
    moves: usize,
    plans: usize,
    micros: f64,
}

/// Prints the table.
pub fn run() {
    println!(
        "hosts  cells  keys     strategy       max/mean  worst  over bound  excess%  moves/min  per host  us/plan"
    );
    for hosts in HOST_COUNTS {
        for strategy in STRATEGIES {
            let mut keys = KeySet::new(hosts * keys::KEYS_PER_HOST);
            let totals = simulate(hosts, &strategy, &mut keys);
            print_line(hosts, keys.len(), &strategy, &totals);
        }
        println!(
            "       {} bytes of planner input per cell of {} hosts",
            input_bytes(hosts.min(MAX_CELL_HOSTS)),
            hosts.min(MAX_CELL_HOSTS)
        );
    }
}

fn simulate(hosts: usize, strategy: &Strategy, keys: &mut KeySet) -> Totals {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut cells = cells(hosts);
    let partitions = hosts * PARTITIONS_PER_HOST;
    let mut totals = Totals::default();
    for minute in 0..MINUTES {
        keys.change_hottest(&mut rng);
        let loads = keys.partition_loads(partitions, &mut rng);
        for _ in 0..PLANS_PER_MINUTE {
            let is_counted = minute >= WARM_UP_MINUTES;
            run_round(&mut cells, &loads, strategy, is_counted.then_some(&mut totals));
        }
    }
    totals
}

/// Plans each cell once, applies the changes, and samples the imbalance if the round counts.
fn run_round(cells: &mut [Cell], loads: &[u64], strategy: &Strategy, totals: Option<&mut Totals>) {
    let started = Instant::now();
    let moves: usize = cells.iter_mut().map(|cell| cell.plan(loads, strategy)).sum();
    let micros = started.elapsed().as_secs_f64() * 1e6;
    let Some(totals) = totals else { return };
    let imbalances = cells.iter().map(|cell| cell.imbalance(loads));
    for imbalance in imbalances {
        totals.imbalance += imbalance.max;
        totals.bound_ratio_sum += imbalance.max / imbalance.lower_bound;
        totals.excess += imbalance.excess;
        totals.max_imbalance = totals.max_imbalance.max(imbalance.max);
        totals.samples += 1.0;
    }
    totals.moves += moves;
    totals.plans += cells.len();
    totals.micros += micros;
}

fn cells(hosts: usize) -> Vec<Cell> {
    let count = hosts.div_ceil(MAX_CELL_HOSTS);
    (0..count)
        .map(|c| {
            let first = hosts * c / count;
            let members = hosts * (c + 1) / count - first;
            Cell::new(members, first * PARTITIONS_PER_HOST, members * PARTITIONS_PER_HOST)
        })
        .collect()
}

fn print_line(hosts: usize, keys: usize, strategy: &Strategy, totals: &Totals) {
    let minutes = (MINUTES - WARM_UP_MINUTES) as f64;
    let moves = totals.moves as f64 / minutes;
    println!(
        "{hosts:>5}  {:>5}  {keys:>7}  {:<13}  {:>8.2}  {:>5.2}  {:>10.2}  {:>7.2}  {moves:>9.1}  {:>8.2}  {:>7.0}",
        hosts.div_ceil(MAX_CELL_HOSTS),
        strategy.name,
        totals.imbalance / totals.samples,
        totals.max_imbalance,
        totals.bound_ratio_sum / totals.samples,
        100.0 * totals.excess / totals.samples,
        moves / hosts as f64,
        totals.micros / totals.plans as f64,
    );
}

fn input_bytes(hosts: usize) -> usize {
    let members = hosts * size_of::<placement::MemberState>();
    members + hosts * PARTITIONS_PER_HOST * size_of::<PartitionState>()
}

/// An age past the warm-up, at which a backend server takes its full share.
const WARM_AGE: Millis = Millis(600_000);

fn partition(index: usize) -> Partition {
    Partition(u32::try_from(index).unwrap_or(u32::MAX))
}
