//! The link of a host as a resource that responses to other hosts take.
//!
//! Handles large responses of backend servers behind narrow links. Without a limit, the responses
//! that are ready at the same time fill the link for longer than a small response may take, and
//! requests start whose responses can't be delivered in time. Large responses are written one after
//! the other at the rate of the link; small ones go ahead of those that wait. The expected delivery
//! time counts when a request is admitted, and is reported to the hosts that send requests.

use model::Millis;

/// A response of this size or more waits until the link is nearly free, in bytes.
const LARGE_RESPONSE: usize = 16 << 10;

/// A large response is written while the link is expected to be busy for no longer than this: about
/// a round trip between regions, so that the link stays busy.
const MAX_BACKLOG: Millis = Millis(60);

/// The weight of one response in the moving average of the sizes of a class.
const SIZE_WEIGHT: f64 = 0.1;

/// The most classes whose sizes are kept. The routes of a configuration are far fewer.
const MAX_CLASSES: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Class {
    id: u64,
    mean_bytes: f64,
    /// The number of requests in progress whose responses will cross the link.
    in_progress: u32,
}

/// The link of one host.
#[derive(Clone, Debug)]
pub struct ResponseLink {
    bytes_per_ms: f64,
    /// When the responses written so far are expected to have crossed the link, in milliseconds.
    /// Not rounded: small responses take less than a millisecond, and on a link that is never idle
    /// the error would grow without bound.
    free_at_ms: f64,
    classes: Vec<Class>, // Sorted by id.
}

/// Queries.
impl ResponseLink {
    /// Returns how long the response of a new request of `class` is expected to take, after those of
    /// the requests in progress; zero for classes with small responses.
    pub fn expected_delivery(&self, class: u64, now: Millis) -> Millis {
        let Some(own) = self.class(class).filter(|c| c.mean_bytes >= LARGE_RESPONSE as f64) else {
            return Millis::ZERO;
        };
        let in_progress = self.classes.iter().map(|c| c.mean_bytes * f64::from(c.in_progress));
        let bytes = in_progress.sum::<f64>() + own.mean_bytes;
        let now = now.0 as f64;
        Millis((self.free_at_ms.max(now) + self.transfer_ms(bytes) - now) as u64)
    }

    fn transfer_ms(&self, bytes: f64) -> f64 {
        if self.bytes_per_ms > 0.0 { bytes / self.bytes_per_ms } else { 0.0 }
    }

    fn class(&self, id: u64) -> Option<&Class> {
        let at = self.classes.binary_search_by_key(&id, |c| c.id).ok()?;
        Some(&self.classes[at])
    }
}

/// Commands.
impl ResponseLink {
    /// Creates an unused link that carries `bytes_per_ms`.
    pub fn new(bytes_per_ms: f64) -> Self {
        Self { bytes_per_ms, free_at_ms: 0.0, classes: Vec::new() }
    }

    /// Records that a request of `class` is in progress whose response will cross the link.
    pub fn request_started(&mut self, class: u64) {
        self.class_mut(class).in_progress += 1;
    }

    /// Records that a request of `class` has ended.
    pub fn request_ended(&mut self, class: u64) {
        let class = self.class_mut(class);
        class.in_progress = class.in_progress.saturating_sub(1);
    }

    /// Records that a response of `bytes` is ready, and returns how long it has to wait until it is
    /// written.
    pub fn response_ready(&mut self, class: u64, bytes: usize, now: Millis) -> Millis {
        if bytes > 0 {
            // Refusals and failures have no body and tell nothing about the size of responses.
            let mean = &mut self.class_mut(class).mean_bytes;
            let weight = if *mean == 0.0 { 1.0 } else { SIZE_WEIGHT };
            *mean += (bytes as f64 - *mean) * weight;
        }
        let now = now.0 as f64;
        let backlog_ms = (self.free_at_ms - now).max(0.0);
        self.free_at_ms = now + backlog_ms + self.transfer_ms(bytes as f64);
        if bytes < LARGE_RESPONSE {
            Millis::ZERO
        } else {
            Millis(backlog_ms as u64).since(MAX_BACKLOG)
        }
    }

    fn class_mut(&mut self, id: u64) -> &mut Class {
        let at = match self.classes.binary_search_by_key(&id, |c| c.id) {
            Ok(at) => at,
            Err(mut at) => {
                if self.classes.len() >= MAX_CLASSES {
                    self.classes.retain(|c| c.in_progress > 0);
                    at = self.classes.partition_point(|c| c.id < id);
                }
                self.classes.insert(at, Class { id, mean_bytes: 0.0, in_progress: 0 });
                at
            }
        };
        &mut self.classes[at]
    }
}
