//! Measures the planner on a skewed key set whose hottest keys change every minute.
//!
//! Each strategy sees the same loads. Cells are planned apart, as in production, so the figures
//! for many hosts are those of many cells.

mod keys;
mod strategy;

use std::time::Instant;

use model::{Millis, Partition};
use placement::PartitionState;
use rand::SeedableRng;
use rand::rngs::StdRng;

use keys::KeySet;
use strategy::{Cell, STRATEGIES, Strategy};

/// Hosts in all.
const SIZES: [usize; 3] = [6, 60, 600];

/// Hosts per cell at most.
const CELL_HOSTS: usize = 32;

/// Partitions per host.
const PARTITIONS_PER_HOST: usize = 64;

/// Simulated minutes; the hottest keys change at the start of each.
const MINUTES: usize = 10;

/// The first minutes, in which every strategy settles, are not counted.
const SETTLING_MINUTES: usize = 2;

/// Plans per minute.
const PLANS: usize = 12;

const SEED: u64 = 1;

/// What one strategy did over the counted minutes.
#[derive(Default)]
struct Score {
    imbalance: f64,
    worst_imbalance: f64,
    /// Sum of the imbalance divided by the least that whole partitions allow.
    over_least: f64,
    excess: f64,
    samples: f64,
    moves: usize,
    plans: usize,
    micros: f64,
}

/// Prints the table.
pub fn run() {
    println!(
        "hosts  cells  keys     strategy       max/mean  worst  over least  excess%  moves/min  per host  us/plan"
    );
    for hosts in SIZES {
        for strategy in STRATEGIES {
            let mut keys = KeySet::new(hosts * keys::KEYS_PER_HOST);
            let score = play(hosts, &strategy, &mut keys);
            print_line(hosts, keys.len(), &strategy, &score);
        }
        println!(
            "       {} bytes of planner input per cell of {} hosts",
            input_bytes(hosts.min(CELL_HOSTS)),
            hosts.min(CELL_HOSTS)
        );
    }
}

fn play(hosts: usize, strategy: &Strategy, keys: &mut KeySet) -> Score {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut cells = cells(hosts);
    let partitions = hosts * PARTITIONS_PER_HOST;
    let mut score = Score::default();
    for minute in 0..MINUTES {
        keys.change_hottest(&mut rng);
        let loads = keys.partition_loads(partitions, &mut rng);
        for _ in 0..PLANS {
            let is_counted = minute >= SETTLING_MINUTES;
            step(&mut cells, &loads, strategy, is_counted.then_some(&mut score));
        }
    }
    score
}

/// Plans every cell once, carries the changes out, and samples the imbalance.
fn step(cells: &mut [Cell], loads: &[u64], strategy: &Strategy, score: Option<&mut Score>) {
    let started = Instant::now();
    let moves: usize = cells.iter_mut().map(|cell| cell.plan(loads, strategy)).sum();
    let micros = started.elapsed().as_secs_f64() * 1e6;
    let Some(score) = score else { return };
    let imbalances = cells.iter().map(|cell| cell.imbalance(loads));
    for imbalance in imbalances {
        score.imbalance += imbalance.max;
        score.over_least += imbalance.max / imbalance.least;
        score.excess += imbalance.excess;
        score.worst_imbalance = score.worst_imbalance.max(imbalance.max);
        score.samples += 1.0;
    }
    score.moves += moves;
    score.plans += cells.len();
    score.micros += micros;
}

fn cells(hosts: usize) -> Vec<Cell> {
    let count = hosts.div_ceil(CELL_HOSTS);
    (0..count)
        .map(|c| {
            let first = hosts * c / count;
            let members = hosts * (c + 1) / count - first;
            Cell::new(members, first * PARTITIONS_PER_HOST, members * PARTITIONS_PER_HOST)
        })
        .collect()
}

fn print_line(hosts: usize, keys: usize, strategy: &Strategy, score: &Score) {
    let minutes = (MINUTES - SETTLING_MINUTES) as f64;
    let moves = score.moves as f64 / minutes;
    println!(
        "{hosts:>5}  {:>5}  {keys:>7}  {:<13}  {:>8.2}  {:>5.2}  {:>10.2}  {:>7.2}  {moves:>9.1}  {:>8.2}  {:>7.0}",
        hosts.div_ceil(CELL_HOSTS),
        strategy.name,
        score.imbalance / score.samples,
        score.worst_imbalance,
        score.over_least / score.samples,
        100.0 * score.excess / score.samples,
        moves / hosts as f64,
        score.micros / score.plans as f64,
    );
}

fn input_bytes(hosts: usize) -> usize {
    let members = hosts * size_of::<placement::MemberState>();
    members + hosts * PARTITIONS_PER_HOST * size_of::<PartitionState>()
}

/// The age at which a backend server takes its full share.
const WARM: Millis = Millis(600_000);

fn partition(index: usize) -> Partition {
    Partition(u32::try_from(index).unwrap_or(u32::MAX))
}
