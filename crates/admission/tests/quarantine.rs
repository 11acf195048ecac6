//! What becomes of requests that were in flight when a backend server crashed.

use admission::{Quarantine, QuarantineLimits, QuarantineState, StartDecision};
use model::Millis;

const LIMITS: QuarantineLimits =
    QuarantineLimits { suspect_ttl: Millis(1_000), quarantine_ttl: Millis(2_000), max_entries: 4 };

/// A quarantine after one crash with these requests in flight.
fn crashed_once(in_flight: &[u64]) -> Quarantine {
    let mut quarantine = Quarantine::new(LIMITS);
    quarantine.record_crash(in_flight, Millis::ZERO);
    quarantine
}

fn states(quarantine: &Quarantine, now: u64) -> Vec<(u64, QuarantineState)> {
    quarantine.list(Millis(now)).iter().map(|s| (s.digest, s.state)).collect()
}

#[test]
fn suspects_run_one_at_a_time_beside_free_requests() {
    let mut quarantine = crashed_once(&[1, 2]);
    let asked = [1, 2, 3].map(|digest| quarantine.may_start(digest, Millis(1)));
    assert_eq!(
        asked,
        [StartDecision::SoleSuspect, StartDecision::Wait, StartDecision::Unrestricted]
    );
}

#[test]
fn a_suspect_that_completes_is_cleared_and_lets_the_next_one_run() {
    let mut quarantine = crashed_once(&[1, 2]);
    quarantine.may_start(1, Millis(1));
    assert_eq!([1, 9].map(|digest| quarantine.record_completion(digest)), [true, false]);
    let asked = [1, 2].map(|digest| quarantine.may_start(digest, Millis(2)));
    assert_eq!(asked, [StartDecision::Unrestricted, StartDecision::SoleSuspect]);
}

#[test]
fn a_suspect_that_was_not_run_stays_one() {
    let mut quarantine = crashed_once(&[1, 2]);
    quarantine.may_start(1, Millis(1));
    quarantine.record_not_run(1);
    let asked = [2, 1].map(|digest| quarantine.may_start(digest, Millis(2)));
    assert_eq!(asked, [StartDecision::SoleSuspect, StartDecision::Wait]);
}

#[test]
fn the_second_crash_quarantines_and_new_requests_become_suspects() {
    let mut quarantine = crashed_once(&[1, 2]);
    let report = quarantine.record_crash(&[3, 1, 3], Millis(1));
    assert_eq!((report.suspects, report.quarantined), (vec![3], vec![1]));
    let asked = [1, 2].map(|digest| quarantine.may_start(digest, Millis(2)));
    assert_eq!(
        asked,
        [StartDecision::Refused { time_left: Millis(1_999) }, StartDecision::SoleSuspect]
    );
}

#[test]
fn suspicion_and_quarantine_end_by_time() {
    let mut quarantine = crashed_once(&[1, 2]);
    quarantine.record_crash(&[1], Millis(500));
    let held = [999, 1_000, 2_499, 2_500].map(|now| states(&quarantine, now).len());
    assert_eq!(held, [2, 1, 1, 0]);
    assert_eq!(quarantine.may_start(1, Millis(2_500)), StartDecision::Unrestricted);
}

#[test]
fn peers_and_operators_quarantine_and_lift() {
    let mut quarantine = Quarantine::new(LIMITS);
    quarantine.add_suspects(&[1, 2], Millis::ZERO);
    quarantine.apply_peer_update(2, Millis(9_000), Millis::ZERO);
    quarantine.add_suspects(&[2], Millis::ZERO);
    let held = states(&quarantine, 0);
    assert_eq!(held, [(1, QuarantineState::Suspect), (2, QuarantineState::Quarantined)]);
    quarantine.apply_peer_update(1, Millis::ZERO, Millis::ZERO);
    quarantine.lift(2);
    assert_eq!(states(&quarantine, 0), []);
}

#[test]
fn suspects_give_way_before_quarantined_requests_when_there_are_too_many() {
    let mut quarantine = crashed_once(&[1, 2]);
    quarantine.record_crash(&[1, 2], Millis(1));
    quarantine.record_crash(&[3, 4, 5, 6], Millis(2));
    let kept: Vec<u64> = quarantine.list(Millis(3)).iter().map(|s| s.digest).collect();
    assert_eq!((kept.len(), &kept[..2]), (4, &[1, 2][..]));
}

/// The request that crashes each backend server that runs it.
const CRASHES: u64 = 7;
const INNOCENT: [u64; 2] = [1, 2];

/// What the members of a cell tell each other after a crash.
#[derive(Clone, Copy, PartialEq)]
enum Tell {
    All,
    OnlyQuarantines,
    Nothing,
}

fn cell_of(members: usize) -> Vec<Quarantine> {
    (0..members).map(|_| Quarantine::new(LIMITS)).collect()
}

/// Offers the requests to one member and returns those that it starts.
fn start_all(member: &mut Quarantine, now: Millis) -> Vec<u64> {
    let sent = INNOCENT.into_iter().chain([CRASHES]);
    sent.filter(|&d| {
        matches!(member.may_start(d, now), StartDecision::Unrestricted | StartDecision::SoleSuspect)
    })
    .collect()
}

fn tell_peers(cell: &mut [Quarantine], from: usize, in_flight: &[u64], tell: Tell, now: Millis) {
    let report = cell[from].record_crash(in_flight, now);
    let peers = cell.iter_mut().enumerate().filter(|(peer, _)| *peer != from);
    for (_, peer) in peers.filter(|_| tell != Tell::Nothing) {
        if tell == Tell::All {
            peer.add_suspects(&report.suspects, now);
        }
        let quarantined = report.quarantined.iter();
        quarantined.for_each(|&d| peer.apply_peer_update(d, LIMITS.quarantine_ttl, now));
    }
}

/// Sends the crashing request and innocent ones again and again, to one member after the other.
/// Returns how many backend servers were lost, and how many innocent requests run at the end.
fn send_around(members: usize, tell: Tell) -> (usize, usize) {
    let mut cell = cell_of(members);
    let mut lost = 0;
    let mut ran = 0;
    for turn in 0..8 * members {
        let now = Millis(turn as u64);
        let from = turn % members;
        let running = start_all(&mut cell[from], now);
        if running.contains(&CRASHES) {
            lost += 1;
            tell_peers(&mut cell, from, &running, tell, now);
        } else {
            ran = running
                .iter()
                .filter(|&&d| cell[from].record_completion(d) || d != CRASHES)
                .count();
        }
    }
    (lost, ran)
}

#[test]
fn a_crashing_request_takes_two_backend_servers_of_a_cell_at_most() {
    let found = [1, 2, 6, 32].map(|members| send_around(members, Tell::All));
    assert_eq!(found, [(2, 2); 4]);
}

#[test]
fn more_are_lost_when_the_members_tell_less() {
    assert!(send_around(6, Tell::OnlyQuarantines).0 > 2);
    assert!(send_around(6, Tell::Nothing).0 > 2);
}
