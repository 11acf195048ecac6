//! Admission at one backend server under overload, replayed against admission by the deadline only
//! and a constant time to return. Time is simulated and seeds are fixed.

use std::collections::{HashMap, HashSet};

use mesh::{Admission, Job, JobId, QueueLimits, RequestQueue};
use model::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SLOTS: usize = 6;
const RUN_MS: u64 = 200;
const TARGET_MS: u64 = 800;
const LIMIT_MS: u64 = 1_200;
/// The longest time after which refused callers are told to return.
const LONGEST_RETURN_MS: u64 = 2_000;

fn job(priority: u8, now: u64) -> Job {
    Job {
        class: 1,
        priority,
        target_deadline: Millis(now + TARGET_MS),
        deadline: Millis(now + LIMIT_MS),
        latency_target: Millis(TARGET_MS),
        max_wait: None,
    }
}

fn queue() -> RequestQueue {
    RequestQueue::new(QueueLimits {
        default_slots: SLOTS,
        initial_run_time: Millis(RUN_MS),
        ..QueueLimits::default()
    })
}

fn run_time(rng: &mut StdRng) -> u64 {
    rng.random_range(RUN_MS / 2..=RUN_MS * 3 / 2)
}

/// How the requests of a replay ended, for each priority.
#[derive(Clone, Copy, Default, Debug)]
struct Served {
    in_target: usize,
    in_limit: usize,
    refused: usize,
    refused_on_arrival: usize,
    /// The longest time between the arrival and the refusal of a request.
    longest_until_refused: u64,
}

impl Served {
    fn response(&mut self, took: u64) {
        self.in_target += usize::from(took <= TARGET_MS);
        self.in_limit += usize::from(took <= LIMIT_MS);
    }

    fn refusal(&mut self, after: u64) {
        self.refused += 1;
        self.refused_on_arrival += usize::from(after == 0);
        self.longest_until_refused = self.longest_until_refused.max(after);
    }
}

/// Replays `duration` milliseconds of arrivals: `arrivals` returns the priorities of the requests
/// that arrive at a time.
fn replay(duration: u64, mut arrivals: impl FnMut(u64, &mut StdRng) -> Vec<u8>) -> [Served; 2] {
    let mut rng = StdRng::seed_from_u64(11);
    let mut queue = queue();
    let mut jobs: HashMap<JobId, (u64, u8)> = HashMap::new();
    let mut ends: Vec<(u64, JobId)> = Vec::new();
    let mut served = [Served::default(); 2];
    for now in 0..duration {
        for (_, id) in ends.extract_if(.., |(at, _)| *at <= now) {
            queue.finish(id, Millis(now));
            let (arrived, priority) = jobs[&id];
            served[usize::from(priority)].response(now - arrived);
        }
        for priority in arrivals(now, &mut rng) {
            match queue.submit(job(priority, now), Millis(now)) {
                Admission::Start(id) => {
                    jobs.insert(id, (now, priority));
                    ends.push((now + run_time(&mut rng), id));
                }
                Admission::Queued(id) => {
                    jobs.insert(id, (now, priority));
                }
                Admission::Refused(_) => served[usize::from(priority)].refusal(0),
            }
        }
        let (started, late) = queue.dispatch(Millis(now));
        ends.extend(started.into_iter().map(|id| (now + run_time(&mut rng), id)));
        for id in late {
            let (arrived, priority) = jobs[&id];
            served[usize::from(priority)].refusal(now - arrived);
        }
    }
    served
}

/// Replays arrivals of one priority at a FIFO queue that admits each request that is expected to
/// end by its deadline.
fn replay_deadline_only(
    duration: u64,
    mut arrivals: impl FnMut(u64, &mut StdRng) -> Vec<u8>,
) -> Served {
    let mut rng = StdRng::seed_from_u64(11);
    let mut waiting: Vec<u64> = Vec::new();
    let mut running: Vec<(u64, u64)> = Vec::new(); // End and arrival.
    let mut served = Served::default();
    for now in 0..duration {
        for (_, arrived) in running.extract_if(.., |(end, _)| *end <= now) {
            served.response(now - arrived);
        }
        for _ in arrivals(now, &mut rng) {
            let wait = (waiting.len() as u64 * RUN_MS + RUN_MS / 2) / SLOTS as u64;
            if running.len() >= SLOTS && wait + RUN_MS > LIMIT_MS {
                served.refusal(0);
            } else {
                waiting.push(now);
            }
        }
        while running.len() < SLOTS && !waiting.is_empty() {
            running.push((now + run_time(&mut rng), waiting.remove(0)));
        }
    }
    served
}

/// Arrivals of one priority at random, at `factor` times the capacity.
fn at_capacity(factor: f64) -> impl FnMut(u64, &mut StdRng) -> Vec<u8> {
    let rate = factor * SLOTS as f64 / RUN_MS as f64;
    move |_, rng| if rng.random_range(0.0..1.0) < rate { vec![0] } else { vec![] }
}

/// Guards against a queue in which every request waits until its target is missed, although as many
/// could be served within it, and against refusals that come too late to be of use.
#[test]
fn at_five_times_the_capacity_the_slots_serve_requests_within_their_target() {
    let capacity = 10_000 * SLOTS / RUN_MS as usize;

    let [shipped, _] = replay(10_000, at_capacity(5.0));
    let replaced = replay_deadline_only(10_000, at_capacity(5.0));

    println!("of {capacity}: shipped {shipped:?}, replaced {replaced:?}");
    assert!(shipped.in_target * 10 >= capacity * 8, "{shipped:?}");
    assert!(shipped.in_target > 2 * replaced.in_target, "{shipped:?} {replaced:?}");
    assert!(shipped.longest_until_refused <= TARGET_MS, "{shipped:?}");
}

/// A burst that takes four runs of all slots, and then half of the capacity.
fn short_burst(now: u64, _: &mut StdRng) -> Vec<u8> {
    match now {
        100 => vec![0; 24],
        _ if now.is_multiple_of(66) => vec![0],
        _ => vec![],
    }
}

/// Guards against the rule for lasting overload acting on a short burst: nobody who could be served
/// within the limit may be refused on arrival.
#[test]
fn after_a_short_burst_nobody_is_refused_on_arrival() {
    let [shipped, _] = replay(6_000, short_burst);
    let replaced = replay_deadline_only(6_000, short_burst);

    println!("shipped {shipped:?}, replaced {replaced:?}");
    assert_eq!((shipped.refused_on_arrival, replaced.refused), (0, 0));
    assert!(shipped.in_target >= replaced.in_target);
}

/// Guards against requests of a short burst that give way to later ones until they miss their
/// limit, although all could be served within it.
#[test]
fn after_a_short_burst_all_requests_are_served_within_the_limit() {
    let [shipped, _] = replay(6_000, short_burst);
    assert_eq!(shipped.refused, 0, "{shipped:?}");
}

/// Guards against a request that arrives with little time left to its target, such as one that was
/// passed on, being refused for the lasting overload that a short burst is not.
#[test]
fn a_request_that_arrives_late_is_not_refused_for_a_short_burst() {
    let mut queue = queue();
    (0..SLOTS + 2).for_each(|_| {
        queue.submit(job(0, 0), Millis(0));
    });
    let late = Job { target_deadline: Millis(200), deadline: Millis(1_000), ..job(0, 0) };

    let admission = queue.submit(late, Millis(150));

    assert!(matches!(admission, Admission::Queued(_)), "{admission:?}");
}

/// Guards against the less urgent of two priorities being served at the cost of the other.
#[test]
fn at_twice_the_capacity_the_more_urgent_priority_is_served_no_less_often() {
    let mut one = at_capacity(2.0);
    let both = move |now: u64, rng: &mut StdRng| {
        one(now, rng).into_iter().map(|_| rng.random_range(0..2)).collect()
    };
    let [urgent, other] = replay(10_000, both);

    println!("{urgent:?} {other:?}");
    let share = |s: Served| s.in_target as f64 / (s.in_limit + s.refused) as f64;
    assert!(share(urgent) >= share(other), "{urgent:?} {other:?}");
    assert!(share(urgent) >= 0.8, "the capacity suffices for them: {urgent:?}");
}

/// Returns the largest number of callers that return within 200 ms, if `callers` meet a full queue
/// at once and return as told.
fn largest_wave(callers: usize) -> usize {
    let mut queue = queue();
    // Fills the queue.
    while !matches!(queue.submit(job(0, 0), Millis(0)), Admission::Refused(_)) {}
    let refused = (0..callers).map(|_| match queue.submit(job(0, 0), Millis(0)) {
        Admission::Refused(after) => after.0,
        admission => panic!("{admission:?}"),
    });
    let returns: Vec<u64> = refused.collect();
    assert!(returns.iter().all(|ms| *ms <= LONGEST_RETURN_MS));
    let within = |from: u64| returns.iter().filter(|ms| (from..from + 200).contains(ms)).count();
    (0..=LONGEST_RETURN_MS).map(within).max().unwrap()
}

/// Guards against callers that were refused at once returning at once, as with a constant time to
/// return, which makes all of them a single wave.
#[test]
fn refused_callers_do_not_return_in_waves() {
    // What runs within 200 ms, of which returning callers get a half.
    let capacity = SLOTS * 200 / RUN_MS as usize;
    for callers in [5, 20, 60, 200] {
        // A queue of 1,000 ms leaves half of the longest time to return. Spread over it evenly, a
        // fifth of the callers returns within 200 ms.
        let bound = capacity.max(callers / 5) * 3 / 2;
        let wave = largest_wave(callers);
        println!("{callers} callers: largest wave {wave}, constant {callers}");
        assert!(wave <= bound, "{callers} callers: {wave}, bound {bound}");
    }
}

/// Replays 6 s of `callers` that arrive at once next to new callers at half of the capacity, and
/// that return after a refusal: as told or, if given, after a constant time. Returns the largest
/// number of them that return within 200 ms, and how many had a response within 6 s.
fn largest_wave_of_returns(callers: usize, constant: Option<u64>) -> (usize, usize) {
    let mut rng = StdRng::seed_from_u64(11);
    let mut queue = queue();
    let mut due: Vec<u64> = vec![0; callers];
    let mut ends: Vec<(u64, JobId)> = Vec::new();
    let mut returning: HashSet<JobId> = HashSet::new();
    let (mut returns, mut responses) = (vec![0; 6_000], 0);
    let mut new_callers = at_capacity(0.5);
    for now in 0..6_000_u64 {
        for (_, id) in ends.extract_if(.., |(at, _)| *at <= now) {
            queue.finish(id, Millis(now));
            responses += usize::from(returning.remove(&id));
        }
        for _ in new_callers(now, &mut rng) {
            if let Admission::Start(id) = queue.submit(job(0, now), Millis(now)) {
                ends.push((now + run_time(&mut rng), id));
            }
        }
        let arrived = due.extract_if(.., |at| *at <= now).count();
        returns[now as usize] = if now == 0 { 0 } else { arrived };
        for _ in 0..arrived {
            match queue.submit(job(0, now), Millis(now)) {
                Admission::Start(id) => {
                    returning.insert(id);
                    ends.push((now + run_time(&mut rng), id));
                }
                Admission::Queued(id) => {
                    returning.insert(id);
                }
                Admission::Refused(after) => due.push(now + constant.unwrap_or(after.0)),
            }
        }
        let (started, late) = queue.dispatch(Millis(now));
        ends.extend(started.into_iter().map(|id| (now + run_time(&mut rng), id)));
        for id in late {
            if returning.remove(&id) {
                due.push(now + constant.unwrap_or(queue.expected_wait(Millis(now)).0.max(1)));
            }
        }
    }
    let wave = returns.windows(200).map(|w| w.iter().sum()).max();
    (wave.unwrap(), responses)
}

/// Guards against callers that meet a full queue together again and again, although they return as
/// told: a wave is at most five times what the slots run meanwhile.
#[test]
fn callers_that_return_as_told_are_served_without_waves() {
    let bound = 5 * SLOTS * 200 / RUN_MS as usize;
    let (wave, responses) = largest_wave_of_returns(100, None);
    let (constant_wave, constant_responses) = largest_wave_of_returns(100, Some(1_000));

    println!("as told: {wave}, {responses} served; {constant_wave}, {constant_responses} served");
    assert!(wave <= bound, "{wave}, bound {bound}");
    assert!(constant_wave > bound, "{constant_wave}, bound {bound}");
    assert!(responses >= constant_responses, "{responses} {constant_responses}");
}
