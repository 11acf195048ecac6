//! Checks and statistics over the logs of callers and backend servers.

use model::Millis;
use stand_ins::backend::{Run, RunOutcome};

use crate::load::KeyLog;

/// Returns, for each key, the longest time without a successful response from `since` on.
pub fn longest_gaps(logs: &[KeyLog], since: Millis) -> Vec<Millis> {
    logs.iter().map(|log| longest_gap(log, since)).collect()
}

fn longest_gap(log: &KeyLog, since: Millis) -> Millis {
    let mut last = since;
    let mut longest = Millis::ZERO;
    let served = log.requests.iter().filter(|r| r.was_served() && r.completed_at > since);
    for request in served {
        longest = longest.max(request.completed_at.since(last));
        last = request.completed_at;
    }
    let end = log.requests.last().map_or(since, |r| r.completed_at);
    longest.max(end.since(last))
}

/// Returns a description of each case in which two backend servers served a partition at once.
///
/// All processes share one boot clock, so the runs of different backend servers can be ordered.
/// A run under a lower fence must not start after, or still be running at, the start of a run
/// under a higher fence.
pub fn double_ownership(runs_by_host: &[Vec<Run>]) -> Vec<String> {
    let mut runs: Vec<(&Run, usize)> = Vec::new();
    for (host, host_runs) in runs_by_host.iter().enumerate() {
        runs.extend(host_runs.iter().map(|r| (r, host)));
    }
    runs.sort_by_key(|(r, _)| (r.partition, r.fence, r.started_at_ms));
    let mut overlaps = Vec::new();
    for pair in runs.windows(2) {
        let [(older, from), (newer, to)] = pair else {
            continue;
        };
        if older.partition != newer.partition || older.fence == newer.fence || from == to {
            continue;
        }
        if last_served_at_ms(&runs, older) > newer.started_at_ms {
            overlaps.push(format!("{older:?} at host {from} and {newer:?} at host {to}"));
        }
    }
    overlaps
}

/// Returns the last time, in milliseconds of the boot clock, at which the partition of `run` was
/// served under its fence. A cancelled run counts up to its start only.
fn last_served_at_ms(runs: &[(&Run, usize)], run: &Run) -> u64 {
    let same = runs.iter().filter(|(r, _)| r.partition == run.partition && r.fence == run.fence);
    same.map(|(r, _)| {
        if r.end == Some(RunOutcome::Cancelled) {
            r.started_at_ms
        } else {
            r.ended_at_ms.unwrap_or(r.started_at_ms)
        }
    })
    .max()
    .unwrap_or(0)
}

/// Returns the request ids that were executed more than once.
pub fn duplicate_executions(runs_by_host: &[Vec<Run>]) -> Vec<String> {
    let runs = runs_by_host.iter().flatten();
    let mut ids: Vec<&String> = runs.filter_map(|r| r.request_id.as_ref()).collect();
    ids.sort_unstable();
    let duplicates = ids.windows(2).filter(|pair| pair[0] == pair[1]);
    let mut distinct: Vec<String> = duplicates.map(|pair| pair[0].clone()).collect();
    distinct.dedup();
    distinct
}

/// Returns the request ids for which every response said `not-run` although a backend server ran
/// the request.
pub fn false_not_run(logs: &[KeyLog], runs_by_host: &[Vec<Run>]) -> Vec<String> {
    let mut executed: Vec<&String> =
        runs_by_host.iter().flatten().filter_map(|r| r.request_id.as_ref()).collect();
    executed.sort_unstable();
    let requests = logs.iter().flat_map(|l| &l.requests);
    let not_run = requests.filter(|r| r.responses.iter().all(|s| s.outcome == "not-run"));
    let ids = not_run.filter_map(|r| r.id.as_ref());
    ids.filter(|id| executed.binary_search(id).is_ok()).cloned().collect()
}

/// Returns the status and reason of each first attempt that did not succeed.
pub fn failed_first_attempts(logs: &[KeyLog]) -> Vec<String> {
    let requests = logs.iter().flat_map(|l| &l.requests);
    let failed = requests.filter(|r| r.responses.first().is_some_and(|s| s.status != 200));
    failed
        .filter_map(|r| r.responses.first())
        .map(|s| format!("{} {}", s.status, s.reason))
        .collect()
}
