//! Settings of a sidecar.

use mesh::{ColdLimits, GrantDelivery, Service};
use model::{Millis, ServiceName};
use sidecar::{Limits, Settings};

const SETTINGS: &str = "host: a\nzone: z\nregions: {z: r}\nservice: orders\n\
    backend_server: 127.0.0.1:1\nstore: 127.0.0.1:2\n\
    listen: {callers: '127.0.0.1:3', hosts: '127.0.0.1:4', ready: '127.0.0.1:5', \
    backend: '127.0.0.1:6', metrics: '127.0.0.1:7'}\ndrain_ms: 2500\nstop_ms: 6000\n\
    hold_max_ms: 10000\nretry: {ratio: 0.2, slack: 50, window_s: 10}\n";

fn service(cold_per_second: Option<f64>) -> Service {
    Service {
        name: ServiceName::new("orders").unwrap(),
        keyed: false,
        grant_delivery: GrantDelivery::HeartbeatReply,
        max_connections: 9,
        cold_for: Millis(8_000),
        cold_per_second,
    }
}

/// Guards against limits in deployments that set none, and against settings that the template
/// renders without values being rejected.
#[test]
fn requests_to_cold_backend_servers_are_limited_only_if_all_bounds_are_set() {
    let bounds = ColdLimits { cold_for: Millis(8_000), per_second: 7.8, overage: 1.5, slack: 8.0 };
    let check = |cold: &str, per_second: Option<f64>, expected: Option<ColdLimits>| {
        let settings = Settings::parse(&format!("{SETTINGS}{cold}"));
        let settings = settings.unwrap_or_else(|e| panic!("{cold:?}: {e}"));
        assert_eq!(
            settings.cold_limits(&service(per_second)),
            expected,
            "{cold:?}, {per_second:?}"
        );
    };
    check("cold:\n  overage: 1.5\n  slack: 8\n", Some(7.8), Some(bounds));
    check("cold:\n  overage: 1.5\n  slack: 8\n", None, None);
    check("cold:\n  overage: \n  slack: \n", Some(7.8), None);
    check("cold:\n  overage: 1.5\n  slack: \n", Some(7.8), None);
    check("cold: {}\n", Some(7.8), None);
    check("", Some(7.8), None);
}

#[test]
fn bounds_out_of_range_are_rejected() {
    for cold in ["{overage: -1, slack: 8}", "{overage: 1.5, slack: -8}", "{excess: 1}"] {
        let settings = Settings::parse(&format!("{SETTINGS}cold: {cold}\n"));
        assert!(settings.is_err(), "{cold}");
    }
}

/// Guards against limits below what callers inside them need, and against connections that take all
/// descriptors.
#[test]
fn what_is_held_and_the_connections_take_a_share_of_the_host() {
    let check = |limits: &str, descriptors: Option<u64>, expected: (u64, usize, usize, usize)| {
        let settings = Settings::parse(&format!("{SETTINGS}{limits}"));
        let limits = settings.unwrap_or_else(|e| panic!("{limits:?}: {e}")).limits;
        let found = (
            limits.held_bytes() >> 20,
            limits.max_caller_connections(descriptors),
            limits.max_host_connections(descriptors),
            Limits::max_other_connections(descriptors),
        );
        assert_eq!(found, expected, "{limits:?}, {descriptors:?}");
    };
    check("", Some(4_100), (64, 2_050, 1_025, 32));
    check("limits: {memory_mb: 160}\n", Some(8_192), (80, 4_096, 2_048, 32));
    check("limits: {memory_mb: 160}\n", None, (80, usize::MAX, usize::MAX, 32));
    check("limits: {caller_connections: 300}\n", Some(400), (64, 300, 100, 12));
    check("limits: {host_connections: 300}\n", Some(400), (64, 200, 300, 12));
    check("limits: {caller_connections: , host_connections: }\n", Some(1), (64, 1, 1, 4));
    for limit in ["caller_connections", "host_connections"] {
        let none = Settings::parse(&format!("{SETTINGS}limits: {{{limit}: 0}}\n"));
        assert!(none.is_err(), "{limit}");
    }
}

/// Guards against a limit that refuses the longest body which the standard configuration allows, on
/// the smallest machine that the users name.
#[test]
fn a_body_of_the_standard_limit_fits_into_160_mb() {
    let settings = Settings::parse(&format!("{SETTINGS}limits: {{memory_mb: 160}}\n")).unwrap();

    let longest = settings.limits.max_body_bytes();

    assert!(longest >= 64 << 20, "{longest} bytes");
    assert!(settings.limits.bodies().max_body >= 64 << 20);
}
