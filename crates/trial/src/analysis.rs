//! Judges what callers and backend servers saw.

use model::Millis;
use stand_ins::backend::{Run, RunOutcome};

use crate::load::KeyLog;

/// Returns the longest time without an answer for each key, from `since` on.
pub fn longest_gaps(logs: &[KeyLog], since: Millis) -> Vec<Millis> {
    logs.iter().map(|log| longest_gap(log, since)).collect()
}

fn longest_gap(log: &KeyLog, since: Millis) -> Millis {
    let mut last = since;
    let mut longest = Millis::ZERO;
    let answers = log.requests.iter().filter(|a| a.was_served() && a.completed_at > since);
    for request in answers {
        longest = longest.max(request.completed_at.since(last));
        last = request.completed_at;
    }
    let end = log.requests.last().map_or(since, |a| a.completed_at);
    longest.max(end.since(last))
}

/// Returns each case in which two backend servers served a partition at once, in words.
///
/// All processes of a trial share one boot clock, so runs of different backend servers can be put
/// in order. A run under a lower fence must not start after, or still go on at, the start of a
/// run under a higher fence.
pub fn double_ownership(runs_by_host: &[Vec<Run>]) -> Vec<String> {
    let mut runs: Vec<(&Run, usize)> = Vec::new();
    for (host, host_runs) in runs_by_host.iter().enumerate() {
        runs.extend(host_runs.iter().map(|r| (r, host)));
    }
    runs.sort_by_key(|(r, _)| (r.partition, r.fence, r.started_at_ms));
    let mut found = Vec::new();
    for pair in runs.windows(2) {
        let [(older, from), (newer, to)] = pair else {
            continue;
        };
        if older.partition != newer.partition || older.fence == newer.fence || from == to {
            continue;
        }
        if last_moment(&runs, older) > newer.started_at_ms {
            found.push(format!("{older:?} at host {from} and {newer:?} at host {to}"));
        }
    }
    found
}

/// Returns the last moment at which the partition was served under the fence of `run`.
fn last_moment(runs: &[(&Run, usize)], run: &Run) -> u64 {
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

/// Returns the request ids that ran more than once.
pub fn duplicate_executions(runs_by_host: &[Vec<Run>]) -> Vec<String> {
    let runs = runs_by_host.iter().flatten();
    let mut ids: Vec<&String> = runs.filter_map(|r| r.request_id.as_ref()).collect();
    ids.sort_unstable();
    let twice = ids.windows(2).filter(|pair| pair[0] == pair[1]);
    let mut repeated: Vec<String> = twice.map(|pair| pair[0].clone()).collect();
    repeated.dedup();
    repeated
}

/// Returns the request ids whose caller was told "not run" at last although a backend server ran
/// them.
pub fn false_not_run(logs: &[KeyLog], runs_by_host: &[Vec<Run>]) -> Vec<String> {
    let mut ran: Vec<&String> =
        runs_by_host.iter().flatten().filter_map(|r| r.request_id.as_ref()).collect();
    ran.sort_unstable();
    let requests = logs.iter().flat_map(|l| &l.requests);
    let refused = requests.filter(|a| a.responses.iter().all(|s| s.outcome == "not-run"));
    let ids = refused.filter_map(|a| a.id.as_ref());
    ids.filter(|id| ran.binary_search(id).is_ok()).cloned().collect()
}

/// Returns how many requests got no answer at the first send, with the reasons.
pub fn failed_first_attempts(logs: &[KeyLog]) -> Vec<String> {
    let requests = logs.iter().flat_map(|l| &l.requests);
    let missed = requests.filter(|a| a.responses.first().is_some_and(|s| s.status != 200));
    missed
        .filter_map(|a| a.responses.first())
        .map(|s| format!("{} {}", s.status, s.reason))
        .collect()
}
