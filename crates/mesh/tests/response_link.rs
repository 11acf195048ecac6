//! Large and small responses over one link at 110% of its rate, replayed against responses that are
//! written as soon as they are ready. Time is simulated and seeds are fixed.

use mesh::ResponseLink;
use model::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const BYTES_PER_MS: f64 = 2_125.0;
const LARGE: u64 = 1;
const SMALL: u64 = 2;
const MEAN_LARGE: f64 = 90_000.0;
const MAX_LARGE: f64 = 540_000.0;
const SMALL_BYTES: f64 = 1_000.0;
/// The time limit and the run time of requests with a large response, in milliseconds.
const LARGE_LIMIT_MS: f64 = 2_000.0;
const RUN_MS: f64 = 100.0;
/// The target latency of lookups, whose responses are small, and half of it, which their runs
/// leave to the link at most.
const SMALL_WAIT_MS: f64 = 800.0 / 2.0;

#[derive(Clone, Copy, PartialEq)]
enum Rule {
    Shipped,
    /// Each request is admitted and each response written as soon as it is ready.
    Replaced,
}

/// What a replay measured, in milliseconds from the moment a response was ready for small ones and
/// from the arrival of the request for large ones.
#[derive(Default)]
struct Measured {
    small: Vec<f64>,
    large: Vec<f64>,
    refused: usize,
}

impl Measured {
    fn large_in_time(&self) -> usize {
        self.large.iter().filter(|ms| **ms <= LARGE_LIMIT_MS).count()
    }

    fn longest_small(&self) -> f64 {
        self.small.iter().copied().fold(0.0, f64::max)
    }

    fn mean_small(&self) -> f64 {
        self.small.iter().sum::<f64>() / self.small.len() as f64
    }
}

/// Sizes with a mean of 90,000 bytes: most are small, few reach the largest.
fn large_size(rng: &mut StdRng) -> f64 {
    let exponential = -rng.random_range(1e-9..1.0_f64).ln();
    (20_000.0 + exponential * (MEAN_LARGE - 20_000.0)).min(MAX_LARGE)
}

/// Replays 40 s. The link sends what is written in FIFO order. Requests for large responses arrive
/// evenly: with random arrivals, the load of 40 s is below the rate of the link for some seeds.
fn replay(rule: Rule) -> Measured {
    let mut rng = StdRng::seed_from_u64(29);
    let mut link = ResponseLink::new(BYTES_PER_MS);
    let mut measured = Measured::default();
    // Each with the time of the arrival or of the writing, and the size.
    let mut running: Vec<(f64, f64)> = Vec::new();
    let mut waiting: Vec<(f64, f64, f64)> = Vec::new();
    let mut link_free_at = 0.0_f64;
    let mut write = |bytes: f64, now: f64| {
        link_free_at = link_free_at.max(now) + bytes / BYTES_PER_MS;
        link_free_at
    };
    let large_per_ms = 1.1 * BYTES_PER_MS / MEAN_LARGE;
    let mut due = 0.0;
    for tick in 0..40_000_u64 {
        let (now, at) = (tick as f64, Millis(tick));
        due += large_per_ms;
        if due >= 1.0 {
            due -= 1.0;
            let delivery = link.expected_delivery(LARGE, at).0 as f64;
            if rule == Rule::Shipped && RUN_MS + delivery > LARGE_LIMIT_MS {
                measured.refused += 1;
                // A refusal has no body.
                link.response_ready(LARGE, 0, at);
            } else {
                link.request_started(LARGE);
                running.push((now, large_size(&mut rng)));
            }
        }
        let ended = running.extract_if(.., |(arrived, _)| *arrived + RUN_MS <= now);
        for (arrived, bytes) in ended {
            link.request_ended(LARGE);
            let wait = link.response_ready(LARGE, bytes as usize, at).0 as f64;
            let wait = if rule == Rule::Shipped { wait } else { 0.0 };
            waiting.push((now + wait, arrived, bytes));
        }
        for (_, arrived, bytes) in waiting.extract_if(.., |(write_at, ..)| *write_at <= now) {
            measured.large.push(write(bytes, now) - arrived);
        }
        if tick % 20 == 0 {
            assert_eq!(link.response_ready(SMALL, SMALL_BYTES as usize, at), Millis::ZERO);
            measured.small.push(write(SMALL_BYTES, now) - now);
        }
    }
    measured
}

/// Guards against small responses behind as many large ones as are ready, and against runs whose
/// large response can't be delivered in time, which refusals without a body must not bring about.
#[test]
fn small_responses_pass_large_ones_and_few_large_ones_are_late() {
    let shipped = replay(Rule::Shipped);
    let replaced = replay(Rule::Replaced);

    for (name, m) in [("shipped", &shipped), ("replaced", &replaced)] {
        println!(
            "{name}: small wait {:.0} ms at most, {:.0} on average; {} of {} large in time, {} refused",
            m.longest_small(),
            m.mean_small(),
            m.large_in_time(),
            m.large.len(),
            m.refused
        );
    }
    assert!(shipped.longest_small() <= SMALL_WAIT_MS, "{}", shipped.longest_small());
    assert!(replaced.longest_small() > SMALL_WAIT_MS, "{}", replaced.longest_small());
    let missed = |m: &Measured| m.large.len() - m.large_in_time();
    assert!(missed(&shipped) * 10 < missed(&replaced));
    assert!(shipped.large_in_time() >= replaced.large_in_time());
}

/// Guards against runs whose large response is delivered after the limit of its request: they take
/// a slot and the link for nothing.
#[test]
fn all_admitted_large_responses_meet_their_limit() {
    let shipped = replay(Rule::Shipped);
    assert_eq!(shipped.large_in_time(), shipped.large.len());
}

/// Guards against refusals, which have no body, making the responses of a class count as small:
/// all its requests would then be admitted.
#[test]
fn refusals_do_not_change_the_expected_size_of_responses() {
    let mut link = ResponseLink::new(BYTES_PER_MS);
    link.response_ready(LARGE, MEAN_LARGE as usize, Millis(0));
    let before = link.expected_delivery(LARGE, Millis(1_000));

    for _ in 0..50 {
        link.response_ready(LARGE, 0, Millis(1_000));
    }

    assert!(before > Millis::ZERO);
    assert_eq!(link.expected_delivery(LARGE, Millis(1_000)), before);
}

/// Guards against an idle link: a response larger than the permitted backlog must not wait for
/// itself.
#[test]
fn a_large_response_on_an_idle_link_is_written_at_once() {
    let mut link = ResponseLink::new(BYTES_PER_MS);
    assert_eq!(link.response_ready(LARGE, MAX_LARGE as usize, Millis(5)), Millis::ZERO);
}
