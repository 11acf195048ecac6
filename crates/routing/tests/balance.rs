//! Load balancing prefers near servers and avoids servers that are slow or refuse.

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

fn requests_to(balancer: &Balancer, server: u8, now: Millis) -> usize {
    let mut rng = StdRng::seed_from_u64(3);
    let chosen = (0..1_000).filter_map(|_| balancer.choose([rng.random(), rng.random()], now));
    chosen.filter(|c| c.server == host(server)).count()
}

fn observe(balancer: &mut Balancer, server: u8, observation: Observation, times: u32) {
    for _ in 0..times {
        balancer.started(host(server));
        balancer.finished(host(server), observation, Millis(1_000));
    }
}

const SAME_ZONE: (u8, Distance) = (1, Distance::SameZone);
const SAME_ZONE_2: (u8, Distance) = (2, Distance::SameZone);
const SAME_REGION: (u8, Distance) = (3, Distance::SameRegion);
const OTHER_REGION: (u8, Distance) = (4, Distance::OtherRegion);
const NOW: Millis = Millis(1_000);

#[test]
fn without_load_all_requests_stay_in_the_zone() {
    let balancer = balancer(&[OTHER_REGION, SAME_REGION, SAME_ZONE, SAME_ZONE_2]);
    assert_eq!(requests_to(&balancer, 1, NOW) + requests_to(&balancer, 2, NOW), 1_000);
    assert_eq!(Balancer::new(host(1), BalanceSettings::default()).choose([1, 2], NOW), None);
}

#[test]
fn a_more_distant_server_is_used_if_the_nearest_is_slow_or_refuses() {
    let check = |observation: Observation, expected: u8, delay: Millis| {
        let mut balancer = balancer(&[SAME_ZONE, SAME_REGION, OTHER_REGION]);
        observe(&mut balancer, 1, Observation::Answered { latency: Millis(2) }, 1);
        observe(&mut balancer, 1, observation, 20);
        assert_eq!(requests_to(&balancer, expected, NOW + delay), 1_000, "{observation:?}");
    };
    let answered_in = |ms| Observation::Answered { latency: Millis(ms) };
    check(answered_in(3), 1, Millis(0));
    check(answered_in(20), 3, Millis(0));
    check(answered_in(400), 3, Millis(0));
    check(Observation::Refused, 3, Millis(0));
    check(Observation::Abandoned, 1, Millis(0));
    // A server that was slow or refused is tried again after a while.
    check(answered_in(400), 1, Millis(20_000));
    check(Observation::Refused, 1, Millis(20_000));
}

#[test]
fn the_less_loaded_of_two_servers_is_chosen() {
    let mut balancer = balancer(&[SAME_ZONE, SAME_ZONE_2]);
    (0..3).for_each(|_| balancer.started(host(1)));
    assert_eq!(requests_to(&balancer, 2, NOW), 1_000);
}

#[test]
fn the_subset_is_bounded_and_changes_by_at_most_one_member() {
    let all: Vec<(u8, Distance)> = (1..=40).map(|n| (n, Distance::SameRegion)).collect();
    let before: Vec<HostAddr> = balancer(&all).servers().map(|c| c.server).collect();
    assert_eq!(before.len(), BalanceSettings::default().subset_size);
    for removed in 1..=40 {
        let remaining: Vec<_> = all.iter().copied().filter(|(n, _)| *n != removed).collect();
        let after: Vec<HostAddr> = balancer(&remaining).servers().map(|c| c.server).collect();
        let kept = before.iter().filter(|s| after.contains(s)).count();
        assert!(kept >= before.len() - 1);
    }
}

#[test]
fn measurements_survive_a_change_of_members() {
    let mut balancer = balancer(&[SAME_ZONE, SAME_ZONE_2]);
    observe(&mut balancer, 1, Observation::Refused, 5);
    balancer.set_members(&[(host(1), Distance::SameZone), (host(9), Distance::SameZone)]);
    assert_eq!(requests_to(&balancer, 1, NOW), 0);
}
