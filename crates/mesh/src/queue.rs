//! The one queue of a backend server: what starts, what waits and what is turned away.
//!
//! Answers load above capacity. Only the process beside a backend server sends to it, so slots are
//! counted exactly and a refusal is true: nothing was sent. Work that would end after its limit is
//! turned away when it comes, not when it is late. What waits starts by priority and by the target
//! that ends first; work that can't meet its target any more waits for work that can, and is turned
//! away as soon as that leaves it no time.

use model::{Millis, derive_common};

derive_common! {
    value
    /// Names a job from its offer to its end.
    pub struct JobId(pub u64);
}

/// A request that wants to run.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Requests of one class take about the same time.
    pub class: u64,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// An answer until then counts in full.
    pub target_deadline: Millis,
    /// An answer after this helps nobody.
    pub deadline: Millis,
}

/// What happens to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It starts now.
    Start(JobId),
    /// It waits; [`RequestQueue::next`] starts it.
    Wait(JobId),
    /// It is turned away; room is expected after the span.
    Reject(Millis),
}

/// What a queue assumes and bounds.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// Slots of a backend server that did not say how many it has.
    pub default_slots: usize,
    /// Jobs that may wait, per slot.
    pub max_waiting_per_slot: usize,
    /// Run time of a class before one was measured.
    pub initial_run_time: Millis,
}

impl Default for QueueLimits {
    fn default() -> Self {
        // Four is the least that the users' servers have; beyond eight waiting per slot nothing
        // meets its limit; the guess is the mean of their kinds of work.
        Self { default_slots: 4, max_waiting_per_slot: 8, initial_run_time: Millis(150) }
    }
}

/// Weight of one measured run time in the mean of its class: the mean follows within ten runs.
const WEIGHT: f64 = 0.1;

/// The shortest and longest span after which a caller is told to return, in milliseconds.
const RETURN_MS: (u64, u64) = (100, 2_000);

#[derive(Debug)]
struct Waiting {
    rank: (u8, Millis),
    ticket: JobId,
    job: Job,
}

#[derive(Debug)]
struct Running {
    ticket: JobId,
    class: u64,
    since: Millis,
}

/// The queue of one backend server.
#[derive(Debug)]
pub struct RequestQueue {
    limits: QueueLimits,
    slots: usize,
    last: u64,
    running: Vec<Running>,
    waiting: Vec<Waiting>,  // Sorted by rank, then ticket.
    means: Vec<(u64, f64)>, // Sorted by class.
    mean: f64,
}

/// Queries.
impl RequestQueue {
    /// Returns how many jobs run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns how many jobs wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns how many jobs may run at once.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Returns the mean run time of all jobs.
    pub fn mean_run_time(&self) -> Millis {
        Millis(self.mean as u64)
    }

    /// Returns how long a new job of the lowest rank would wait.
    pub fn expected_wait(&self, now: Millis) -> Millis {
        self.wait_behind(self.waiting.len(), now)
    }

    fn wait_behind(&self, ahead: usize, now: Millis) -> Millis {
        if self.running.len() < self.slots && ahead == 0 {
            return Millis::ZERO;
        }
        let queued: f64 = self.waiting[..ahead].iter().map(|w| self.expected(w.job.class)).sum();
        Millis(((self.work_left(now) + queued).max(0.0) / self.slots.max(1) as f64) as u64)
    }

    /// Returns the run time that is left of what runs, less what free slots can do meanwhile.
    fn work_left(&self, now: Millis) -> f64 {
        let left = |r: &Running| {
            let run = self.expected(r.class);
            (run - now.since(r.since).0 as f64).max(run * 0.25)
        };
        let running: f64 = self.running.iter().map(left).sum();
        running - self.slots.saturating_sub(self.running.len()) as f64 * self.mean
    }

    fn expected(&self, class: u64) -> f64 {
        match self.means.binary_search_by_key(&class, |(c, _)| *c) {
            Ok(i) => self.means[i].1,
            Err(_) => self.mean,
        }
    }
}

/// Commands.
impl RequestQueue {
    /// Makes an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            slots: limits.default_slots,
            last: 0,
            running: Vec::new(),
            waiting: Vec::new(),
            means: Vec::new(),
            mean: limits.initial_run_time.0 as f64,
        }
    }

    /// Takes in the slots that the backend server has.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots.max(1);
    }

    /// Asks what happens to a job that comes now.
    pub fn submit(&mut self, job: Job, now: Millis) -> Admission {
        let rank = (job.priority, job.target_deadline);
        let ahead = self.waiting.partition_point(|w| w.rank <= rank);
        let wait = self.wait_behind(ahead, now);
        let run = Millis(self.expected(job.class) as u64);
        let full = self.waiting.len() >= self.limits.max_waiting_per_slot * self.slots;
        if now + wait + run > job.deadline || full {
            return Admission::Reject(self.room_after(now));
        }
        self.last += 1;
        let ticket = JobId(self.last);
        if self.running.len() < self.slots && self.waiting.is_empty() {
            self.running.push(Running { ticket, class: job.class, since: now });
            return Admission::Start(ticket);
        }
        self.waiting.insert(ahead, Waiting { rank, ticket, job });
        Admission::Wait(ticket)
    }

    /// Starts waiting jobs while slots are free. The second list names jobs that are turned away,
    /// as they can no longer end in time.
    pub fn dispatch(&mut self, now: Millis) -> (Vec<JobId>, Vec<JobId>) {
        let mut started = Vec::new();
        let mut late = self.drop_hopeless(now);
        while self.running.len() < self.slots && !self.waiting.is_empty() {
            let w = self.waiting.remove(self.first_in_time(now));
            if self.ends_late(&w, Millis::ZERO, now) {
                late.push(w.ticket);
                continue;
            }
            self.running.push(Running { ticket: w.ticket, class: w.job.class, since: now });
            started.push(w.ticket);
        }
        (started, late)
    }

    /// Removes the jobs that would start too late behind those that start before them.
    fn drop_hopeless(&mut self, now: Millis) -> Vec<JobId> {
        let (first, last): (Vec<usize>, Vec<usize>) =
            (0..self.waiting.len()).partition(|i| self.in_time(&self.waiting[*i], now));
        let mut work = self.work_left(now);
        let mut hopeless = Vec::new();
        for i in first.into_iter().chain(last) {
            let w = &self.waiting[i];
            let wait = Millis((work.max(0.0) / self.slots.max(1) as f64) as u64);
            if self.ends_late(w, wait, now) {
                hopeless.push(w.ticket);
            } else {
                work += self.expected(w.job.class);
            }
        }
        self.waiting.retain(|w| !hopeless.contains(&w.ticket));
        hopeless
    }

    /// Tells that a job ended with an answer.
    pub fn finished(&mut self, ticket: JobId, now: Millis) {
        let Some(i) = self.running.iter().position(|r| r.ticket == ticket) else { return };
        let run = self.running.swap_remove(i);
        let took = now.since(run.since).0 as f64;
        self.mean += (took - self.mean) * WEIGHT;
        match self.means.binary_search_by_key(&run.class, |(c, _)| *c) {
            Ok(i) => self.means[i].1 += (took - self.means[i].1) * WEIGHT,
            Err(i) => self.means.insert(i, (run.class, took)),
        }
    }

    /// Tells that a job is given up, whether it runs or waits.
    pub fn cancelled(&mut self, ticket: JobId) {
        self.running.retain(|r| r.ticket != ticket);
        self.waiting.retain(|w| w.ticket != ticket);
    }

    /// Finds the first job that can still meet its target; those that can't have time to wait.
    fn first_in_time(&self, now: Millis) -> usize {
        self.waiting.iter().position(|w| self.in_time(w, now)).unwrap_or(0)
    }

    fn in_time(&self, w: &Waiting, now: Millis) -> bool {
        now + Millis(self.expected(w.job.class) as u64) <= w.job.target_deadline
    }

    /// Half of the mean run time counts: many runs are shorter, and the limit bounds the rest.
    fn ends_late(&self, w: &Waiting, wait: Millis, now: Millis) -> bool {
        now + wait + Millis((self.expected(w.job.class) * 0.5) as u64) > w.job.deadline
    }

    fn room_after(&self, now: Millis) -> Millis {
        Millis(self.expected_wait(now).0.clamp(RETURN_MS.0, RETURN_MS.1))
    }
}
