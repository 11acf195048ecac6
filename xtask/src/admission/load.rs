//! Offered load: what arrives when, drawn from a seeded generator.

use admission::Job;
use model::{Millis, Priority};
use rand::Rng;
use rand::rngs::StdRng;

/// One stream of like requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stream {
    pub(super) priority: Priority,
    pub(super) rule: Option<u32>,
    /// Mean time in a slot, in ms; times are distributed exponentially.
    pub(super) mean_ms: f64,
    pub(super) time_limit: Millis,
    /// Slots that the stream keeps busy, as a share of all; see [`Swing`].
    pub(super) load: f64,
    pub(super) swing: Swing,
    /// The keys of the requests, from the first to the last; none if the queue is not told.
    pub(super) keys: Option<(u64, u64)>,
}

/// How the load of a stream changes over the run.
#[derive(Clone, Copy, Debug)]
pub(super) enum Swing {
    /// The load stays the same.
    Steady,
    /// Half of the capacity, then up to the stream's load within 2 s, and down again after 20 s.
    Crest,
}

/// When the crest begins and ends, and how long the way up and down takes.
pub(super) const CREST: (Millis, Millis) = (Millis(10_000), Millis(30_000));
const RAMP: Millis = Millis(2_000);
const OFF_CREST_LOAD: f64 = 0.5;

impl Swing {
    fn load(self, peak: f64, now: Millis) -> f64 {
        match self {
            Self::Steady => peak,
            Self::Crest => {
                let up = now.since(CREST.0).0.min(RAMP.0);
                let down = now.since(CREST.1).0.min(RAMP.0);
                let height = (up - down) as f64 / RAMP.0 as f64;
                OFF_CREST_LOAD + (peak - OFF_CREST_LOAD) * height
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
    pub(super) span: Millis,
    pub(super) job: Job,
    pub(super) key: Option<u64>,
}

/// Draws all arrivals of a run, sorted by time.
pub(super) fn draw(streams: &[Stream], slots: u32, end: Millis, rng: &mut StdRng) -> Vec<Arrival> {
    let mut arrivals: Vec<Arrival> = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        draw_stream(index, stream, slots, end, rng, &mut arrivals);
    }
    arrivals.sort_by_key(|a| a.at);
    for (id, arrival) in arrivals.iter_mut().enumerate() {
        arrival.job.id = id as u64;
    }
    arrivals
}

fn draw_stream(
    index: usize,
    stream: &Stream,
    slots: u32,
    end: Millis,
    rng: &mut StdRng,
    arrivals: &mut Vec<Arrival>,
) {
    let capacity_per_ms = f64::from(slots) * super::SERVERS as f64 / stream.mean_ms;
    let mut at = 0.0;
    loop {
        let load = stream.swing.load(stream.load, Millis(at as u64));
        at += exponential(rng) / (capacity_per_ms * load);
        if at >= end.0 as f64 {
            return;
        }
        let span = Millis((exponential(rng) * stream.mean_ms).round().max(1.0) as u64);
        let key = stream.keys.map(|(first, last)| rng.random_range(first..=last));
        let server = key.map_or_else(|| rng.random_range(0..super::SERVERS), server_of);
        let Stream { priority, rule, time_limit, .. } = *stream;
        let job = Job { id: 0, priority, rule, time_left: time_limit };
        arrivals.push(Arrival { at: Millis(at as u64), stream: index, server, span, job, key });
    }
}

/// A key is always served by the same backend server.
fn server_of(key: u64) -> usize {
    key as usize % super::SERVERS
}

fn exponential(rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
