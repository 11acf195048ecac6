//! Balancing: near first, away from servers that are slow or refuse.

use model::{HostAddr, Millis};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use routing::balance::{BalanceSettings, Balancer, Distance, Observation};

fn host(n: u8) -> HostAddr {
    HostAddr(([127, 0, 0, n], 7_000).into())
}

fn balancer(members: &[(u8, Distance)]) -> Balancer {
    let mut balancer = Balancer::new(host(200), BalanceSettings::default());
    let members: Vec<_> = members.iter().map(|(n, d)| (host(*n), *d)).collect();
    balancer.set_members(&members);
    balancer
}

fn share(balancer: &Balancer, server: u8, now: Millis) -> usize {
    let mut rng = StdRng::seed_from_u64(3);
    let chosen = (0..1_000).filter_map(|_| balancer.choose([rng.random(), rng.random()], now));
    chosen.filter(|c| c.server == host(server)).count()
}

fn observe(balancer: &mut Balancer, server: u8, seen: Observation, times: u32) {
    for _ in 0..times {
        balancer.started(host(server));
        balancer.finished(host(server), seen, Millis(1_000));
    }
}

const NEAR: (u8, Distance) = (1, Distance::Zone);
const NEAR_TOO: (u8, Distance) = (2, Distance::Zone);
const IN_REGION: (u8, Distance) = (3, Distance::Region);
const FAR: (u8, Distance) = (4, Distance::Far);
const NOW: Millis = Millis(1_000);

#[test]
fn without_load_the_near_zone_takes_all() {
    let balancer = balancer(&[FAR, IN_REGION, NEAR, NEAR_TOO]);
    assert_eq!(share(&balancer, 1, NOW) + share(&balancer, 2, NOW), 1_000);
    assert_eq!(Balancer::new(host(1), BalanceSettings::default()).choose([1, 2], NOW), None);
}

#[test]
fn a_farther_server_takes_work_when_the_near_one_is_slow_or_refuses() {
    let check = |seen: Observation, expected: u8, later: Millis| {
        let mut balancer = balancer(&[NEAR, IN_REGION, FAR]);
        observe(&mut balancer, 1, Observation::Answered { latency: Millis(2) }, 1);
        observe(&mut balancer, 1, seen, 20);
        assert_eq!(share(&balancer, expected, NOW + later), 1_000, "{seen:?}");
    };
    let took = |ms| Observation::Answered { latency: Millis(ms) };
    check(took(3), 1, Millis(0));
    check(took(20), 3, Millis(0));
    check(took(400), 3, Millis(0));
    check(Observation::Refused, 3, Millis(0));
    check(Observation::Abandoned, 1, Millis(0));
    // A server that was slow or refused once is tried again.
    check(took(400), 1, Millis(20_000));
    check(Observation::Refused, 1, Millis(20_000));
}

#[test]
fn of_two_near_servers_the_less_loaded_one_is_taken() {
    let mut balancer = balancer(&[NEAR, NEAR_TOO]);
    (0..3).for_each(|_| balancer.started(host(1)));
    assert_eq!(share(&balancer, 2, NOW), 1_000);
}

#[test]
fn the_subset_is_bounded_and_changes_by_one_member() {
    let all: Vec<(u8, Distance)> = (1..=40).map(|n| (n, Distance::Region)).collect();
    let before: Vec<HostAddr> = balancer(&all).servers().map(|c| c.server).collect();
    assert_eq!(before.len(), BalanceSettings::default().subset_size);
    for gone in 1..=40 {
        let rest: Vec<_> = all.iter().copied().filter(|(n, _)| *n != gone).collect();
        let after: Vec<HostAddr> = balancer(&rest).servers().map(|c| c.server).collect();
        let kept = before.iter().filter(|s| after.contains(s)).count();
        assert!(kept >= before.len() - 1);
    }
}

#[test]
fn what_was_observed_survives_a_change_of_members() {
    let mut balancer = balancer(&[NEAR, NEAR_TOO]);
    observe(&mut balancer, 1, Observation::Refused, 5);
    balancer.set_members(&[(host(1), Distance::Zone), (host(9), Distance::Zone)]);
    assert_eq!(share(&balancer, 1, NOW), 0);
}
