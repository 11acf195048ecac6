//! Measures the memory and the CPU time that request records cost.

use std::time::Instant;

use model::{KeptResponse, Millis, Partition, RecordOutcome, RequestId};
use ownership::Origin;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use routing::records::{BeginResult, RECORD_BYTES, RecordSettings, Records, RunResult};
use uuid::Uuid;

const SEED: u64 = 5;
const PARTITIONS: u32 = 64;
const START: Millis = Millis(1_000_000);

/// The maximum lag of a caller's clock, in milliseconds.
const MAX_CALLER_LAG_MS: u64 = 400;

/// Prints the cost in the steady state, at several rates of requests that run at most once.
pub fn print() {
    println!(
        "Request records: {RECORD_BYTES} bytes each, responses of 200 bytes, 600 s retention."
    );
    println!();
    println!(
        "{:>10} {:>10} {:>14} {:>14}",
        "requests/s", "records", "records MB", "us per request"
    );
    for rate in [25, 100, 240] {
        print_row(rate);
    }
    println!();
}

fn print_row(rate: u64) {
    let settings = RecordSettings::default();
    let mut records = Records::new(settings);
    (0..PARTITIONS).for_each(|p| {
        records.start(Partition(p), Origin::First, START);
    });
    let mut rng = StdRng::seed_from_u64(SEED);
    let retention_secs = settings.retention.0 / 1_000;
    let filled = run_secs(&mut records, &mut rng, rate, 0..retention_secs + 1);
    let steady = run_secs(&mut records, &mut rng, rate, retention_secs + 1..2 * retention_secs);
    assert!(filled > 0 && steady > 0, "all requests run");
    let started = Instant::now();
    let count = run_secs(&mut records, &mut rng, rate, 2 * retention_secs..3 * retention_secs);
    let micros = started.elapsed().as_secs_f64() * 1e6 / count as f64;
    let megabytes = (records.len() * RECORD_BYTES) as f64 / 1e6;
    println!("{rate:>10} {:>10} {megabytes:>14.1} {micros:>14.2}", records.len());
}

/// Runs `rate` requests in each of the seconds and returns how many ran.
fn run_secs(records: &mut Records, rng: &mut StdRng, rate: u64, secs: std::ops::Range<u64>) -> u64 {
    let mut ran = 0;
    for sec in secs {
        let now = START + Millis(sec * 1_000);
        records.expire(now);
        ran += (0..rate).map(|_| run_request(records, rng, now)).sum::<u64>();
    }
    ran
}

fn run_request(records: &mut Records, rng: &mut StdRng, now: Millis) -> u64 {
    let partition = Partition(rng.random_range(0..PARTITIONS));
    let id = generate_id(rng, now);
    let BeginResult::Run(run_handle) = records.begin(partition, id, 1, now) else {
        return 0;
    };
    let response = KeptResponse { status: 201, headers: Vec::new(), body: vec![0; 200] };
    records.finish(run_handle, RunResult::Recorded(RecordOutcome::Answered(response)));
    1
}

fn generate_id(rng: &mut StdRng, now: Millis) -> RequestId {
    let generated_at = now.0 - rng.random_range(0..MAX_CALLER_LAG_MS);
    let bits =
        u128::from(generated_at) << 80 | 7 << 76 | 2 << 62 | u128::from(rng.random::<u64>() >> 2);
    RequestId::try_from(Uuid::from_u128(bits)).expect("the bits form a version 7 UUID")
}
