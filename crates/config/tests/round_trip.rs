//! Builders, parsing and serialization agree, for random configurations and damaged documents.

use model::{Millis, Priority};
use papayarill_config::{
    Config, ConfigBuilder, KeySource, MAX_PARTITIONS_PER_CELL, Method, RuleBuilder, ServiceBuilder,
    parse, to_yaml,
};
use quickcheck::{Gen, QuickCheck};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SEED: u64 = 0x70_61_70_61;
const ROUNDS: u64 = 300;
const METHODS: [Method; 4] = [Method::Get, Method::Post, Method::Put, Method::Delete];
const PRIORITIES: [Priority; 3] = [Priority::Interactive, Priority::Deferrable, Priority::Internal];

fn random_rule(rng: &mut StdRng, index: u32) -> RuleBuilder {
    let suffix = ["", "/", "/*", "/**", "/*/x"][rng.random_range(0..5)];
    let count = rng.random_range(0..=METHODS.len());
    let mut rule = RuleBuilder::new(&format!("/p{index}{suffix}"))
        .methods(METHODS.into_iter().take(count))
        .priority(PRIORITIES[rng.random_range(0..3)])
        .time_limit(Millis(rng.random_range(1..=3_600_000)));
    if rng.random() {
        rule = rule.repeatable();
    }
    rule
}

fn random_service(rng: &mut StdRng, index: u32) -> ServiceBuilder {
    let keys = match rng.random_range(0..4) {
        0 => KeySource::None,
        1 => KeySource::Header("x-key_1".into()),
        2 => KeySource::PathSegment(rng.random_range(0..=31)),
        _ => KeySource::Query("true".into()),
    };
    let slots = rng.random_range(1..=60_000);
    let backend_servers = rng.random_range(1..=1_000);
    let mut service = ServiceBuilder::new(&format!("{index}"))
        .keys(&keys)
        .backend_servers(backend_servers)
        .partitions(rng.random_range(backend_servers..=MAX_PARTITIONS_PER_CELL))
        .slots(slots)
        .connections(rng.random_range(slots..=65_536))
        .reserved_slots(rng.random_range(0..slots))
        .max_body_bytes(rng.random_range(0..=16_777_216))
        .record_retention(Millis(rng.random_range(1_000..=86_400_000)))
        .drain_deadline(Millis(rng.random_range(1_000..=3_600_000)))
        .unfenced_grace(Millis(rng.random_range(0..=600_000)))
        .retry_percent(rng.random_range(0..=100));
    for rule in 0..rng.random_range(0..5) {
        service = service.rule(random_rule(rng, rule));
    }
    service
}

fn random_config(rng: &mut StdRng) -> Config {
    // Unless they are quoted, YAML parses some of these names as other types.
    let mut builder = ConfigBuilder::new().region("no", ["1e3", "null"]).region("0x1", ["-"]);
    for index in 0..rng.random_range(1..6) {
        builder = builder.service(random_service(rng, index));
    }
    builder.build().expect("a valid configuration")
}

/// Checks a property for random seeds, which are the same in every run.
fn check(property: fn(u64) -> bool) {
    let rng = Gen::from_size_and_seed(64, SEED);
    QuickCheck::new().rng(rng).tests(ROUNDS).quickcheck(property);
}

#[test]
fn serialized_configurations_parse_back_unchanged() {
    check(|seed| {
        let config = random_config(&mut StdRng::seed_from_u64(seed));
        parse(&to_yaml(&config)) == Ok(config)
    });
}

#[test]
fn damaged_documents_do_not_panic() {
    check(|seed| {
        let rng = &mut StdRng::seed_from_u64(seed);
        let mut text: Vec<char> = to_yaml(&random_config(rng)).chars().collect();
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(0..text.len());
            text[at] = rng.random_range(' '..='\u{ff}');
        }
        let text: String = text.into_iter().collect();
        // A document damaged inside a value may still be valid. It must then serialize and parse
        // back unchanged.
        parse(&text).is_err() || parse(&text).map(|c| parse(&to_yaml(&c)) == Ok(c)) == Ok(true)
    });
}

#[test]
fn builders_report_the_same_errors_as_documents() {
    let text = "regions: [{name: R, zones: []}]\nservices: [{name: s, slots: 0}]\n";
    let mut from_text = parse(text).expect_err("an invalid document");
    let no_zones: [&str; 0] = [];
    let service = ServiceBuilder::new("s").slots(0);
    let builder = ConfigBuilder::new().region("R", no_zones).service(service);
    for error in &mut from_text.errors {
        error.line = None;
    }
    assert_eq!(builder.build(), Err(from_text));
}
