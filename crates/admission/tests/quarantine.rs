//! Quarantine of requests that were in flight when a backend server crashed.

use admission::{Quarantine, QuarantineLimits, QuarantineState, StartDecision};
use model::Millis;

const LIMITS: QuarantineLimits =
    QuarantineLimits { suspect_ttl: Millis(1_000), quarantine_ttl: Millis(2_000), max_entries: 4 };

/// Returns a quarantine after one crash with these requests in flight.
fn crashed_once(in_flight: &[u64]) -> Quarantine {
    let mut quarantine = Quarantine::new(LIMITS);
    quarantine.record_crash(in_flight, Millis::ZERO);
    quarantine
}

fn states(quarantine: &Quarantine, now: u64) -> Vec<(u64, QuarantineState)> {
    quarantine.list(Millis(now)).iter().map(|s| (s.digest, s.state)).collect()
}

#[test]
fn suspects_run_one_at_a_time_beside_unsuspected_requests() {
    let mut quarantine = crashed_once(&[1, 2]);
    let decisions = [1, 2, 3].map(|digest| quarantine.may_start(digest, Millis(1)));
    assert_eq!(
        decisions,
        [StartDecision::SoleSuspect, StartDecision::Wait, StartDecision::Unrestricted]
    );
}

#[test]
fn a_suspect_that_completes_is_cleared_and_lets_the_next_one_run() {
    let mut quarantine = crashed_once(&[1, 2]);
    quarantine.may_start(1, Millis(1));
    assert_eq!([1, 9].map(|digest| quarantine.record_completion(digest)), [true, false]);
    let decisions = [1, 2].map(|digest| quarantine.may_start(digest, Millis(2)));
    assert_eq!(decisions, [StartDecision::Unrestricted, StartDecision::SoleSuspect]);
}

#[test]
fn a_suspect_that_was_not_run_stays_a_suspect() {
    let mut quarantine = crashed_once(&[1, 2]);
    quarantine.may_start(1, Millis(1));
    quarantine.record_not_run(1);
    let decisions = [2, 1].map(|digest| quarantine.may_start(digest, Millis(2)));
    assert_eq!(decisions, [StartDecision::SoleSuspect, StartDecision::Wait]);
}

#[test]
fn the_second_crash_quarantines_and_new_requests_become_suspects() {
    let mut quarantine = crashed_once(&[1, 2]);
    let report = quarantine.record_crash(&[3, 1, 3], Millis(1));
    assert_eq!((report.suspects, report.quarantined), (vec![3], vec![1]));
    let decisions = [1, 2].map(|digest| quarantine.may_start(digest, Millis(2)));
    assert_eq!(
        decisions,
        [StartDecision::Refused { time_left: Millis(1_999) }, StartDecision::SoleSuspect]
    );
}

#[test]
fn suspects_and_quarantines_expire() {
    let mut quarantine = crashed_once(&[1, 2]);
    quarantine.record_crash(&[1], Millis(500));
    let entries = [999, 1_000, 2_499, 2_500].map(|now| states(&quarantine, now).len());
    assert_eq!(entries, [2, 1, 1, 0]);
    assert_eq!(quarantine.may_start(1, Millis(2_500)), StartDecision::Unrestricted);
}

#[test]
fn peer_updates_and_operators_change_the_quarantine() {
    let mut quarantine = Quarantine::new(LIMITS);
    quarantine.add_suspects(&[1, 2], Millis::ZERO);
    quarantine.apply_peer_update(2, Millis(9_000), Millis::ZERO);
    quarantine.add_suspects(&[2], Millis::ZERO);
    let entries = states(&quarantine, 0);
    assert_eq!(entries, [(1, QuarantineState::Suspect), (2, QuarantineState::Quarantined)]);
    quarantine.apply_peer_update(1, Millis::ZERO, Millis::ZERO);
    quarantine.lift(2);
    assert_eq!(states(&quarantine, 0), []);
}

#[test]
fn suspects_are_evicted_before_quarantined_requests_at_the_maximum() {
    let mut quarantine = crashed_once(&[1, 2]);
    quarantine.record_crash(&[1, 2], Millis(1));
    quarantine.record_crash(&[3, 4, 5, 6], Millis(2));
    let kept: Vec<u64> = quarantine.list(Millis(3)).iter().map(|s| s.digest).collect();
    assert_eq!((kept.len(), &kept[..2]), (4, &[1, 2][..]));
}

/// The request that crashes each backend server that runs it.
const CRASHING: u64 = 7;
const HARMLESS: [u64; 2] = [1, 2];

/// What a member tells the other members of its cell after a crash.
#[derive(Clone, Copy, PartialEq)]
enum Broadcast {
    All,
    QuarantinesOnly,
    Nothing,
}

fn cell_of(members: usize) -> Vec<Quarantine> {
    (0..members).map(|_| Quarantine::new(LIMITS)).collect()
}

/// Offers all requests to one member and returns those that it starts.
fn start_all(member: &mut Quarantine, now: Millis) -> Vec<u64> {
    let offered = HARMLESS.into_iter().chain([CRASHING]);
    offered
        .filter(|&d| {
            matches!(
                member.may_start(d, now),
                StartDecision::Unrestricted | StartDecision::SoleSuspect
            )
        })
        .collect()
}

fn broadcast_crash(
    cell: &mut [Quarantine],
    from: usize,
    in_flight: &[u64],
    broadcast: Broadcast,
    now: Millis,
) {
    let report = cell[from].record_crash(in_flight, now);
    let peers = cell.iter_mut().enumerate().filter(|(peer, _)| *peer != from);
    for (_, peer) in peers.filter(|_| broadcast != Broadcast::Nothing) {
        if broadcast == Broadcast::All {
            peer.add_suspects(&report.suspects, now);
        }
        let quarantined = report.quarantined.iter();
        quarantined.for_each(|&d| peer.apply_peer_update(d, LIMITS.quarantine_ttl, now));
    }
}

/// Sends the crashing request and the harmless ones repeatedly, to one member after the other.
/// Returns how many backend servers crashed, and how many harmless requests ran in the last round
/// without a crash.
fn simulate_crashes(members: usize, broadcast: Broadcast) -> (usize, usize) {
    let mut cell = cell_of(members);
    let mut crashes = 0;
    let mut ran = 0;
    for round in 0..8 * members {
        let now = Millis(round as u64);
        let from = round % members;
        let running = start_all(&mut cell[from], now);
        if running.contains(&CRASHING) {
            crashes += 1;
            broadcast_crash(&mut cell, from, &running, broadcast, now);
        } else {
            ran = running
                .iter()
                .filter(|&&d| cell[from].record_completion(d) || d != CRASHING)
                .count();
        }
    }
    (crashes, ran)
}

#[test]
fn a_crashing_request_crashes_at_most_two_backend_servers_of_a_cell() {
    let results = [1, 2, 6, 32].map(|members| simulate_crashes(members, Broadcast::All));
    assert_eq!(results, [(2, 2); 4]);
}

#[test]
fn more_backend_servers_crash_when_members_broadcast_less() {
    assert!(simulate_crashes(6, Broadcast::QuarantinesOnly).0 > 2);
    assert!(simulate_crashes(6, Broadcast::Nothing).0 > 2);
}
