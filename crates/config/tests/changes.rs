//! The reported differences between two configurations, and the changes that are rejected.

use model::Millis;
use papayarill_config::{
    Config, ConfigBuilder, KeySource, Method, RuleBuilder, ServiceBuilder, check_change, diff,
};

/// An edit of a service before it is added to the configuration.
type Edit = fn(ServiceBuilder) -> ServiceBuilder;

fn service(name: &str) -> ServiceBuilder {
    ServiceBuilder::new(name).backend_servers(32).slots(4).connections(8).partitions(64)
}

fn config(edit: Edit) -> Config {
    let base = service("board").rule(RuleBuilder::new("/a")).rule(RuleBuilder::new("/b"));
    let builder = ConfigBuilder::new().region("r", ["r-a", "r-b"]).service(edit(base));
    builder.service(service("other")).build().expect("a valid configuration")
}

#[test]
fn changes_of_services_are_listed_by_name() {
    let check = |edit: Edit, expected: &[&str]| {
        assert_eq!(diff(&config(|s| s), &config(edit)), expected);
    };
    check(|s| s, &[]);
    check(|s| s.slots(6), &["service board: slots 4 -> 6"]);
    check(
        |s| s.keys(&KeySource::Query("k".into())),
        &["service board: key none -> query parameter k"],
    );
    check(
        |s| s.rule(RuleBuilder::new("/c").methods([Method::Get, Method::Put])),
        &["service board: rule GET,PUT /c added"],
    );
    check(
        |_| service("board").rule(RuleBuilder::new("/b")).rule(RuleBuilder::new("/a")),
        &["service board: rules in another order"],
    );
    check(
        |_| service("board").rule(RuleBuilder::new("/b").time_limit(Millis(5)).repeatable()),
        &[
            "service board: rule * /a removed",
            "service board: rule * /b (at most once, interactive, 10000 ms) -> \
         (repeatable, interactive, 5 ms)",
        ],
    );
    check(|_| service("new"), &["service board: removed", "service new: added"]);
}

#[test]
fn changes_of_regions_are_listed() {
    let old = config(|s| s);
    let builder = ConfigBuilder::new().region("r", ["r-b", "r-c"]).region("q", ["q-a"]);
    let new = builder.service(service("other")).build().expect("a valid configuration");
    let expected =
        ["region r: zones r-a, r-b -> r-b, r-c", "region q: added", "service board: removed"];
    assert_eq!(diff(&old, &new), expected);
}

#[test]
fn changes_that_remap_keys_are_rejected() {
    let check = |edit: Edit, expected: &str| {
        let checked = check_change(&config(|s| s), &config(edit));
        assert_eq!(checked.map_err(|e| e.to_string()), Err(expected.to_owned()));
    };
    check(
        |s| s.partitions(65),
        "services.board.partitions: found 65, \
         expected 64 as before, or a service with another name",
    );
    check(
        |s| s.keys(&KeySource::PathSegment(0)),
        "services.board.key: found path segment 0, \
         expected none as before, or a service with another name",
    );
    check(
        |s| s.backend_servers(33),
        "services.board.backend-servers: found 33 (2 cells), \
         expected 32 (1 cells) as before, or a service with another name",
    );
}

#[test]
fn other_changes_are_allowed() {
    let check = |edit: Edit| {
        assert_eq!(check_change(&config(|s| s), &config(edit)), Ok(()));
    };
    check(|s| s.slots(9).connections(9).backend_servers(31));
    check(|_| service("new").partitions(99).backend_servers(99));
}
