//! The offered load: request arrivals, drawn from a seeded random number generator.

use admission::Job;
use model::{Millis, Priority};
use rand::Rng;
use rand::rngs::StdRng;

/// A stream of requests with the same properties.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stream {
    pub(super) priority: Priority,
    pub(super) rule: Option<u32>,
    /// The mean run time, in ms; run times are exponentially distributed.
    pub(super) mean_ms: f64,
    pub(super) time_limit: Millis,
    /// The mean number of slots that the stream needs, as a fraction of all slots; see
    /// [`LoadProfile`].
    pub(super) load: f64,
    pub(super) profile: LoadProfile,
    /// The range of the request keys, both ends included; `None` if the queue is given no keys.
    pub(super) keys: Option<(u64, u64)>,
}

/// How the load of a stream changes during the run.
#[derive(Clone, Copy, Debug)]
pub(super) enum LoadProfile {
    /// The load is constant.
    Constant,
    /// The load starts at half of the capacity and rises to the load of the stream within 2 s; 20 s
    /// after the rise began, it falls back within 2 s.
    Surge,
}

/// When the load of a surge starts to rise and when it starts to fall.
pub(super) const SURGE: (Millis, Millis) = (Millis(10_000), Millis(30_000));

/// How long the load rises, and how long it falls.
const RAMP: Millis = Millis(2_000);

/// The load before and after a surge.
const BASE_LOAD: f64 = 0.5;

impl LoadProfile {
    fn load(self, peak: f64, now: Millis) -> f64 {
        match self {
            Self::Constant => peak,
            Self::Surge => {
                let rise = now.since(SURGE.0).0.min(RAMP.0);
                let fall = now.since(SURGE.1).0.min(RAMP.0);
                let fraction = (rise - fall) as f64 / RAMP.0 as f64;
                BASE_LOAD + (peak - BASE_LOAD) * fraction
            }
        }
    }
}

/// One request of the run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    pub(super) at: Millis,
    pub(super) stream: usize,
    pub(super) server: usize,
    pub(super) run_time: Millis,
    pub(super) job: Job,
    pub(super) key: Option<u64>,
}

/// Generates all arrivals of a run, sorted by time.
pub(super) fn generate(
    streams: &[Stream],
    slots: u32,
    duration: Millis,
    rng: &mut StdRng,
) -> Vec<Arrival> {
    let mut arrivals: Vec<Arrival> = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        generate_stream(index, stream, slots, duration, rng, &mut arrivals);
    }
    arrivals.sort_by_key(|a| a.at);
    for (id, arrival) in arrivals.iter_mut().enumerate() {
        arrival.job.id = id as u64;
    }
    arrivals
}

fn generate_stream(
    index: usize,
    stream: &Stream,
    slots: u32,
    duration: Millis,
    rng: &mut StdRng,
    arrivals: &mut Vec<Arrival>,
) {
    let capacity_per_ms = f64::from(slots) * super::SERVERS as f64 / stream.mean_ms;
    let mut at = 0.0;
    loop {
        let load = stream.profile.load(stream.load, Millis(at as u64));
        at += exponential(rng) / (capacity_per_ms * load);
        if at >= duration.0 as f64 {
            return;
        }
        let run_time = Millis((exponential(rng) * stream.mean_ms).round().max(1.0) as u64);
        let key = stream.keys.map(|(first, last)| rng.random_range(first..=last));
        let server = key.map_or_else(|| rng.random_range(0..super::SERVERS), server_of);
        let Stream { priority, rule, time_limit, .. } = *stream;
        let job = Job { id: 0, priority, rule, time_left: time_limit };
        arrivals.push(Arrival { at: Millis(at as u64), stream: index, server, run_time, job, key });
    }
}

/// Returns the backend server of a key; all requests of a key go to the same one.
fn server_of(key: u64) -> usize {
    key as usize % super::SERVERS
}

fn exponential(rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
