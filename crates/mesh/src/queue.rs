//! Admission control and queueing for one backend server: which requests start, wait or are
//! refused.
//!
//! Handles load above capacity. Only the sidecar process next to a backend server sends requests to
//! it, so the number of occupied slots is known exactly, and a refused request is certain not to
//! have been sent. A job that is expected to miss its deadline is refused on arrival rather than
//! after waiting. Waiting jobs start by priority, then by earliest target deadline. A job that can
//! no longer meet its target deadline gives way to jobs that can, and is refused as soon as this
//! leaves it too little time before its deadline. If the queue has not been empty for as long as a
//! job's latency target, load is above capacity rather than in a short burst, and only jobs that
//! can meet their target are admitted: each of them takes a run from another one, and a response
//! within the target is worth more to its caller than a late one. Refused callers are told to
//! return one after the other, as fast as a part of the slots can serve them. While the backend server is cold, [`ColdStart`]
//! holds back the start of jobs, which wait like those without a free slot.

mod slot_times;

use model::{Millis, derive_common};

use self::slot_times::SlotTimes;
use crate::ColdStart;

derive_common! {
    value
    /// Identifies a job from its submission to its end.
    pub struct JobId(pub u64);
}

/// A request to be run by the backend server.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Jobs of the same class have similar run times.
    pub class: u64,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// A response by this time meets the latency target.
    pub target_deadline: Millis,
    /// A response after this time is useless.
    pub deadline: Millis,
    /// The whole latency target of its kind of requests, also if a part of it has passed.
    pub latency_target: Millis,
    /// If it has to wait longer, another backend server is expected to be faster. `None` if there
    /// is no other.
    pub max_wait: Option<Millis>,
}

/// The decision on a submitted job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job starts now.
    Start(JobId),
    /// The job waits until [`RequestQueue::dispatch`] starts it.
    Queued(JobId),
    /// The job is refused. A slot is expected to be free after the given time.
    Refused(Millis),
}

/// Limits and initial estimates of a queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// The number of slots of a backend server that has not reported it.
    pub default_slots: usize,
    /// The maximum number of waiting jobs, per slot.
    pub max_waiting_per_slot: usize,
    /// The estimated run time before the first measurement.
    pub initial_run_time: Millis,
}

impl Default for QueueLimits {
    fn default() -> Self {
        // The users' backend servers have at least four slots. With more than eight waiting jobs
        // per slot, none meets its deadline. 150 ms is the mean over the users' kinds of requests.
        Self { default_slots: 4, max_waiting_per_slot: 8, initial_run_time: Millis(150) }
    }
}

/// The weight of one measured run time in the moving averages, which adapt within about ten runs.
const RUN_TIME_WEIGHT: f64 = 0.1;

/// The bounds on the time after which a refused caller is told to retry, in milliseconds.
const RETRY_AFTER_MS: (u64, u64) = (100, 2_000);

/// Jobs up to this fraction of the mean run time are short.
const SHORT_RUN: f64 = 0.7;

/// The fraction of the slots that refused callers may use when they return; the others are for new
/// callers.
const RETURN_SHARE: f64 = 0.5;

/// The most classes whose run times are kept. The routes of a configuration are far fewer.
const MAX_CLASSES: usize = 4_096;

#[derive(Debug)]
struct Waiting {
    rank: (u8, Millis),
    id: JobId,
    job: Job,
}

#[derive(Debug)]
struct Running {
    id: JobId,
    class: u64,
    started_at: Millis,
}

/// The queue of one backend server.
#[derive(Debug)]
pub struct RequestQueue {
    limits: QueueLimits,
    slots: usize,
    last_id: u64,
    running: Vec<Running>,
    waiting: Vec<Waiting>,        // Sorted by rank, then by id.
    class_means: Vec<(u64, f64)>, // Sorted by class.
    overall_mean: f64,
    cold_start: ColdStart,
    /// Since when jobs have been waiting without interruption.
    congested_since: Option<Millis>,
    /// The callers refused so far are expected to have returned and been served by this time.
    returns_until: Millis,
}

/// Queries.
impl RequestQueue {
    /// Returns the number of running jobs.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting jobs.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of jobs that may run concurrently.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Returns the cold period of the backend server.
    pub fn cold_start(&self) -> &ColdStart {
        &self.cold_start
    }

    /// Returns the number of jobs that may run concurrently, or fewer if the backend server is cold
    /// and the jobs that may start keep fewer slots busy.
    pub fn usable_slots(&self, now: Millis) -> usize {
        let cold = self.cold_start.usable_slots(self.mean_run_time(), now);
        cold.map_or(self.slots, |usable| usable.min(self.slots))
    }

    /// Returns whether only the cold period keeps another job from starting.
    pub fn held_back_while_cold(&self, now: Millis) -> bool {
        self.running.len() < self.slots && self.cold_start.admit(now).is_err()
    }

    /// Returns the mean run time of all jobs.
    pub fn mean_run_time(&self) -> Millis {
        Millis(self.overall_mean as u64)
    }

    /// Returns the mean run time of the jobs of a class, if any has ended.
    pub fn class_run_time(&self, class: u64) -> Option<Millis> {
        let at = self.class_means.binary_search_by_key(&class, |(c, _)| *c).ok()?;
        Some(Millis(self.class_means[at].1 as u64))
    }

    /// Returns how long a new job of the lowest priority is expected to wait.
    pub fn expected_wait(&self, now: Millis) -> Millis {
        self.wait_behind(self.waiting.len(), now)
    }

    /// Returns the expected wait of a job that starts after the first `ahead` waiting jobs.
    fn wait_behind(&self, ahead: usize, now: Millis) -> Millis {
        self.wait_for_slot(ahead, now).max(self.cold_start.nth_start(ahead, now).since(now))
    }

    fn wait_for_slot(&self, ahead: usize, now: Millis) -> Millis {
        let mut slots = self.slot_times(now);
        self.waiting[..ahead].iter().for_each(|w| slots.occupy(self.expected_run_ms(w.job.class)));
        slots.earliest()
    }

    /// Returns the expected wait of a job behind those of the first `ahead` waiting jobs that can
    /// still meet their target. The others give way to it if it can.
    fn wait_behind_on_target(&self, ahead: usize, now: Millis) -> Millis {
        let mut slots = self.slot_times(now);
        let on_target = self.waiting[..ahead].iter().filter(|w| !self.gives_way(w, now));
        on_target.for_each(|w| slots.occupy(self.expected_run_ms(w.job.class)));
        slots.earliest()
    }

    /// Returns whether jobs have been waiting without interruption for longer than the latency
    /// target of `job`.
    fn is_congested(&self, job: &Job, now: Millis) -> bool {
        self.congested_since.is_some_and(|since| now.since(since) > job.latency_target)
    }

    /// Returns the expected run time that the running and the first `ahead` waiting jobs have left,
    /// for each slot.
    fn work_per_slot(&self, ahead: usize, now: Millis) -> Millis {
        if self.running.len() < self.slots && ahead == 0 {
            return Millis::ZERO;
        }
        let queued = self.waiting[..ahead].iter().map(|w| self.expected_run_ms(w.job.class));
        let left: f64 = self.slot_times(now).total_ms() + queued.sum::<f64>();
        // Free slots work off the queue meanwhile.
        let free = self.slots.saturating_sub(self.running.len()) as f64 * self.overall_mean;
        Millis(((left - free).max(0.0) / self.slots.max(1) as f64) as u64)
    }

    /// Returns when the slots are expected to be free.
    fn slot_times(&self, now: Millis) -> SlotTimes {
        let remaining = |r: &Running| {
            let run = self.expected_run_ms(r.class);
            (run - now.since(r.started_at).0 as f64).max(run * 0.25)
        };
        SlotTimes::new(self.running.iter().map(remaining).collect(), self.slots)
    }

    /// Returns the expected run time of a job, in milliseconds.
    fn expected_run_ms(&self, class: u64) -> f64 {
        match self.class_means.binary_search_by_key(&class, |(c, _)| *c) {
            Ok(i) => self.class_means[i].1,
            Err(_) => self.overall_mean,
        }
    }
}

/// Commands.
impl RequestQueue {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            slots: limits.default_slots,
            last_id: 0,
            running: Vec::new(),
            waiting: Vec::new(),
            class_means: Vec::new(),
            overall_mean: limits.initial_run_time.0 as f64,
            cold_start: ColdStart::new(Millis::ZERO),
            congested_since: None,
            returns_until: Millis::ZERO,
        }
    }

    /// Sets the cold period of the backend server and the requests that it was sent.
    pub fn set_cold_start(&mut self, cold_start: ColdStart) {
        self.cold_start = cold_start;
    }

    /// Returns the cold period of the backend server, to be updated.
    pub fn cold_start_mut(&mut self) -> &mut ColdStart {
        &mut self.cold_start
    }

    /// Sets the number of slots that the backend server reported.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots.max(1);
    }

    /// Submits a job that arrived at `now`, and returns whether it starts, waits or is refused.
    pub fn submit(&mut self, job: Job, now: Millis) -> Admission {
        let rank = (job.priority, job.target_deadline);
        let ahead = self.waiting.partition_point(|w| w.rank <= rank);
        let wait = self.wait_behind(ahead, now);
        let run = Millis(self.expected_run_ms(job.class) as u64);
        let full = self.waiting.len() >= self.limits.max_waiting_per_slot * self.slots;
        // A free slot elsewhere is better than the next one here, since backend servers slow down
        // when nearly full.
        if job.max_wait.is_some_and(|max| self.work_per_slot(ahead, now) > max) {
            return Admission::Refused(self.retry_after(wait));
        }
        let late = self.is_congested(&job, now)
            && !self.is_short(job.class)
            && now + self.wait_behind_on_target(ahead, now) + run > job.target_deadline;
        if now + wait + run > job.deadline || full || late {
            return Admission::Refused(self.schedule_return(now));
        }
        self.last_id += 1;
        let id = JobId(self.last_id);
        let admitted = self.cold_start.admit(now).is_ok();
        if self.running.len() < self.slots && self.waiting.is_empty() && admitted {
            self.start(id, job.class, now);
            return Admission::Start(id);
        }
        self.congested_since.get_or_insert(now);
        self.waiting.insert(ahead, Waiting { rank, id, job });
        Admission::Queued(id)
    }

    /// Starts waiting jobs while slots are free. Returns the started jobs, and those that are
    /// refused because they would miss their deadline.
    pub fn dispatch(&mut self, now: Millis) -> (Vec<JobId>, Vec<JobId>) {
        let mut started = Vec::new();
        let mut late = self.remove_late(now);
        while self.running.len() < self.slots
            && !self.waiting.is_empty()
            && self.cold_start.admit(now).is_ok()
        {
            let w = self.waiting.remove(self.next_to_start(now));
            if self.misses_deadline(&w, Millis::ZERO, now) {
                late.push(w.id);
                continue;
            }
            self.start(w.id, w.job.class, now);
            started.push(w.id);
        }
        if self.waiting.is_empty() {
            self.congested_since = None;
        }
        (started, late)
    }

    fn start(&mut self, id: JobId, class: u64, now: Millis) {
        self.running.push(Running { id, class, started_at: now });
        self.cold_start.record_sent(id, now);
    }

    /// Removes and returns the jobs that would miss their deadline if all jobs ahead of them ran
    /// first.
    fn remove_late(&mut self, now: Millis) -> Vec<JobId> {
        let (on_target, off_target): (Vec<usize>, Vec<usize>) =
            (0..self.waiting.len()).partition(|i| !self.gives_way(&self.waiting[*i], now));
        let mut slots = self.slot_times(now);
        let mut late = Vec::new();
        let mut ahead = 0;
        for i in on_target.into_iter().chain(off_target) {
            let w = &self.waiting[i];
            let wait = slots.earliest();
            let wait = wait.max(self.cold_start.nth_start(ahead, now).since(now));
            if self.misses_deadline(w, wait, now) {
                late.push(w.id);
            } else {
                ahead += 1;
                slots.occupy(self.expected_run_ms(w.job.class));
            }
        }
        self.waiting.retain(|w| !late.contains(&w.id));
        late
    }

    /// Records that a job ended with a response.
    pub fn finish(&mut self, id: JobId, now: Millis) {
        let Some(i) = self.running.iter().position(|r| r.id == id) else { return };
        let run = self.running.swap_remove(i);
        let run_ms = now.since(run.started_at).0 as f64;
        self.overall_mean += (run_ms - self.overall_mean) * RUN_TIME_WEIGHT;
        match self.class_means.binary_search_by_key(&run.class, |(c, _)| *c) {
            Ok(i) => self.class_means[i].1 += (run_ms - self.class_means[i].1) * RUN_TIME_WEIGHT,
            Err(_) if self.class_means.len() >= MAX_CLASSES => {
                self.class_means = vec![(run.class, run_ms)];
            }
            Err(i) => self.class_means.insert(i, (run.class, run_ms)),
        }
    }

    /// Removes a job that was cancelled while running or waiting.
    pub fn cancel(&mut self, id: JobId) {
        self.running.retain(|r| r.id != id);
        self.waiting.retain(|w| w.id != id);
        if self.waiting.is_empty() {
            self.congested_since = None;
        }
    }

    /// Removes a job that the backend server did not get, or did not count.
    pub fn take_back(&mut self, id: JobId) {
        self.cancel(id);
        self.cold_start.take_back(id);
    }

    /// Returns the index of the first job that doesn't give way to others, or else of the first job.
    fn next_to_start(&self, now: Millis) -> usize {
        self.waiting.iter().position(|w| !self.gives_way(w, now)).unwrap_or(0)
    }

    /// Returns whether a job starts after others, because it misses its target deadline anyway and
    /// would take a whole run from one that can still meet its own.
    fn gives_way(&self, w: &Waiting, now: Millis) -> bool {
        let end = now + Millis(self.expected_run_ms(w.job.class) as u64);
        end > w.job.target_deadline && !self.is_short(w.job.class)
    }

    /// Returns whether jobs of a class take so little time that they delay others less than it would
    /// cost to serve them late. Such jobs are often needed by requests that already run elsewhere.
    fn is_short(&self, class: u64) -> bool {
        self.expected_run_ms(class) <= self.overall_mean * SHORT_RUN
    }

    /// Tells whether a job that starts after `wait` misses its deadline. Assumes half of the
    /// expected run time, because many runs are shorter than the mean; the deadline itself bounds
    /// the others.
    fn misses_deadline(&self, w: &Waiting, wait: Millis, now: Millis) -> bool {
        now + wait + Millis((self.expected_run_ms(w.job.class) * 0.5) as u64) > w.job.deadline
    }

    fn retry_after(&self, wait: Millis) -> Millis {
        Millis(wait.0.clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1))
    }

    /// Returns when a refused caller should return: after the callers that were refused before it, so that they don't all meet the same full queue again. If these take the
    /// longest permitted time, the time between is given out once more: told to return then, all
    /// further callers would come at once.
    fn schedule_return(&mut self, now: Millis) -> Millis {
        // A place in the queue is free again after a run, though the whole queue takes longer. A cold
        // backend server gets no more requests until then, however long they run.
        let place = self.expected_wait(now).min(self.mean_run_time());
        let earliest = self.cold_start.nth_start(self.waiting.len(), now).max(now + place);
        let latest = now + Millis(RETRY_AFTER_MS.1);
        let next = self.returns_until.max(earliest);
        let at = if next < latest { next } else { earliest };
        let run = self.overall_mean / (self.slots.max(1) as f64 * RETURN_SHARE);
        self.returns_until = at + Millis(run as u64);
        self.retry_after(at.since(now))
    }
}
