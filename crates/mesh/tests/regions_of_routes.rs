//! Choice of hosts by region: routes with allowed regions, the cost of other regions, and the wait
//! after which a request is passed on.

use mesh::{
    AttemptResult, ClassLoad, Config, Distance, LoadBalancer, LoadReport, Pick, PickRequest,
    RequestLimits, RetrySafety, Route, Service, WeightedService,
};
use model::{ConfigVersion, HostAddr, Millis, RegionName, ServiceName};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn host(i: usize) -> HostAddr {
    HostAddr(format!("10.0.0.{}:7000", i + 1).parse().unwrap())
}

fn region(name: &str) -> RegionName {
    RegionName::new(name).unwrap()
}

fn report(jobs: u16, run_ms: u32) -> LoadReport {
    LoadReport {
        running: jobs.min(12),
        waiting: jobs.saturating_sub(12),
        slots: 12,
        mean_run_ms: run_ms,
        accepting: true,
        ..LoadReport::default()
    }
}

/// Host `i` with `hosts[i]`: its distance, its region and, if it has reported, its load.
fn balancer(hosts: &[(Distance, &str, Option<LoadReport>)], now: Millis) -> LoadBalancer {
    let mut balancer = LoadBalancer::default();
    for (i, (distance, name, report)) in hosts.iter().enumerate() {
        balancer.add(host(i), *distance, region(name));
        if report.is_some() {
            balancer.attempt_started(host(i), 0);
            balancer.attempt_ended(host(i), 0, AttemptResult::Success, *report, now);
        }
    }
    balancer
}

const NOW: Millis = Millis(10_000);

/// Guards against requests that leave the allowed regions under load, and against a refusal while
/// an allowed host is left.
#[test]
fn no_request_leaves_the_allowed_regions_whatever_the_load() {
    let mut rng = StdRng::seed_from_u64(3);
    let allowed = [region("a"), region("c")];
    for _ in 0..500 {
        let mut jobs = || report(rng.random_range(0..200), rng.random_range(1..3_000));
        let hosts = [
            (Distance::SameZone, "b", Some(report(0, 1))),
            (Distance::SameRegion, "b", None),
            (Distance::OtherRegion, "a", Some(jobs())),
            (Distance::OtherRegion, "c", Some(jobs())),
        ];
        let balancer = balancer(&hosts, NOW);
        let random = rng.random();
        let target_left = Millis(rng.random_range(0..5_000));
        let pick = |tried: &[HostAddr]| {
            let regions = &allowed;
            let req = PickRequest { regions, tried, target_left, random, ..PickRequest::default() };
            balancer.pick(&req, NOW)
        };

        let first = pick(&[]).unwrap().host;
        let second = pick(&[first]).unwrap().host;
        let third = pick(&[first, second]);

        assert!([host(2), host(3)].contains(&first), "{first}");
        assert!([host(2), host(3)].contains(&second) && first != second, "{second}");
        assert_eq!(third, None, "only hosts outside the regions are left");
    }
}

/// Guards against a host that accepts requests of the moment refusing one by `max_wait` although
/// it was picked with that wait, and against a refusal in favour of a host that doesn't exist.
#[test]
fn the_maximum_wait_covers_the_expected_one_and_is_absent_without_another_host() {
    let check = |jobs: u16, others: &[u16], expected_wait: Option<u64>| {
        let all = [&[jobs], others].concat();
        let hosts: Vec<_> =
            all.iter().map(|j| (Distance::SameZone, "a", Some(report(*j, 120)))).collect();
        let balancer = balancer(&hosts, NOW);
        let req = PickRequest { target_left: Millis(800), ..PickRequest::default() };
        let Pick { host: picked, max_wait } = balancer.pick(&req, NOW).unwrap();
        assert_eq!(picked, host(0), "{jobs} {others:?}");
        assert_eq!(max_wait.is_some(), expected_wait.is_some(), "{jobs} {others:?}");
        assert!(max_wait >= expected_wait.map(Millis), "{jobs} {others:?}: {max_wait:?}");
    };
    check(0, &[], None);
    check(200, &[], None);
    check(0, &[0], Some(0));
    check(6, &[12, 30], Some(0));
    // 24 jobs ahead and this one take 13 of the 12 slots' runs of 120 ms.
    check(24, &[24], Some(130));
    check(24, &[200], Some(130));
}

/// Guards against a host that has run no request of a class, such as one that refuses all of them
/// or has just restarted, counting as the fastest.
#[test]
fn a_host_that_has_run_no_request_of_a_class_is_expected_to_take_its_mean_run_time() {
    let hosts = [
        (Distance::SameZone, "a", Some(report(1, 400))),
        (Distance::SameZone, "a", Some(report(1, 400))),
    ];
    let mut balancer = balancer(&hosts, NOW);
    balancer.class_reported(host(0), 7, ClassLoad { run_ms: 0, delivery_ms: 0 });
    balancer.class_reported(host(1), 7, ClassLoad { run_ms: 200, delivery_ms: 0 });

    let req = PickRequest { class: 7, target_left: Millis(800), ..PickRequest::default() };

    assert_eq!(balancer.pick(&req, NOW).unwrap().host, host(1));
}

fn picks_of_other_regions(local: LoadReport, far: Option<LoadReport>, target_left: u64) -> usize {
    let hosts = [
        (Distance::SameZone, "a", Some(local)),
        (Distance::SameRegion, "a", Some(local)),
        (Distance::OtherRegion, "b", far),
        (Distance::OtherRegion, "c", far),
    ];
    let balancer = balancer(&hosts, NOW);
    let pick = |random| {
        let target_left = Millis(target_left);
        let req = PickRequest { target_left, random, ..PickRequest::default() };
        balancer.pick(&req, NOW).unwrap().host
    };
    (0..12).filter(|r| [host(2), host(3)].contains(&pick(*r))).count()
}

/// Guards against requests that cross regions although an idle host of their own region would run
/// them no later: with long runs, the cost of the way is within the inaccuracy of the estimates.
#[test]
fn idle_hosts_of_the_region_are_preferred_whatever_the_run_time() {
    for run_ms in [20, 150, 600, 1_500] {
        for target_left in [0, 250, 800, 3_000] {
            let idle = report(0, run_ms);
            let away = picks_of_other_regions(idle, Some(idle), target_left);
            assert_eq!(away, 0, "run {run_ms}, target {target_left}");
        }
    }
}

/// Guards against probes of silent hosts that cross regions while the own region is idle: every
/// process would send one to each host of the other regions each few seconds.
#[test]
fn silent_hosts_of_other_regions_are_not_probed_while_the_region_is_idle() {
    for target_left in [0, 250, 800, 3_000] {
        let away = picks_of_other_regions(report(0, 150), None, target_left);
        assert_eq!(away, 0, "target {target_left}");
    }
}

/// Guards against a region whose hosts are overloaded keeping its requests.
#[test]
fn requests_leave_an_overloaded_region() {
    let away = picks_of_other_regions(report(80, 150), Some(report(0, 150)), 800);
    assert_eq!(away, 12);
}

fn route(name: &str, services: &[&str], allowed: &[&str]) -> Route {
    Route {
        name: name.into(),
        host: "shop.test".into(),
        prefix: format!("/{name}/").into(),
        retry_safety: RetrySafety::Idempotent,
        time_limit: Millis(2_000),
        target_latency: Millis(800),
        priority: 1,
        max_attempts: 2,
        services: services
            .iter()
            .map(|s| WeightedService { service: ServiceName::new(s).unwrap(), weight: 1 })
            .collect(),
        allowed_regions: allowed.iter().map(|r| region(r)).collect(),
    }
}

/// Guards against keys at hosts to which a route may not send the requests for them.
#[test]
fn keys_are_allowed_only_where_all_routes_to_their_service_are() {
    let routes = vec![
        route("open", &["orders", "labels"], &[]),
        route("narrow", &["orders", "bills"], &["a", "b"]),
        route("narrower", &["bills"], &["b", "c"]),
    ];
    let config =
        Config::new(ConfigVersion(1), routes, Vec::<Service>::new(), RequestLimits::default());
    let check = |service: &str, expected: &[&str]| {
        let service = ServiceName::new(service).unwrap();
        let allowed: Vec<&str> = ["a", "b", "c", "d"]
            .into_iter()
            .filter(|r| config.allows_keys_in(&service, &region(r)))
            .collect();
        assert_eq!(allowed, expected, "{service}");
    };
    check("orders", &["a", "b"]);
    check("labels", &["a", "b", "c", "d"]);
    check("bills", &["b"]);
    check("unrouted", &["a", "b", "c", "d"]);
}
