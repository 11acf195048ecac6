//! YAML documents: which are accepted, and which errors are reported for the others.

use model::{Millis, Priority};
use papayarill_config::{
    Config, KeySource, MAX_DOCUMENT_BYTES, Method, RetrySafety, Service, parse,
};

const REGIONS: &str = "regions: [{name: r, zones: [r-a, r-b]}]\n";

/// Returns a document with one service that has these additional fields.
fn document(fields: &str) -> String {
    format!("{REGIONS}services:\n- name: s\n  slots: 4\n  connections: 9\n{fields}")
}

fn service(fields: &str) -> Service {
    let text = document(&format!("  backend-servers: 6\n{fields}"));
    let Config { mut services, .. } = parse(&text).expect("a valid document");
    services.remove(0)
}

/// Checks that a document is rejected with exactly these error lines.
fn check_rejected(text: &str, expected: &[&str]) {
    let error = parse(text).expect_err("an invalid document");
    let report = error.format_for_file("f.yaml");
    let lines: Vec<&str> = report.lines().collect();
    assert_eq!(lines, expected);
}

#[test]
fn absent_fields_have_defaults() {
    let service = service("");
    let numbers = (service.partitions, service.reserved_slots, service.retry_percent);
    assert_eq!(numbers, (64, 0, 10));
    assert_eq!(service.max_body_bytes, 1_048_576);
    assert_eq!(service.record_retention, Millis(600_000));
    assert_eq!(service.drain_deadline, Millis(30_000));
    assert_eq!(service.unfenced_grace, Millis(2_000));
    assert_eq!(service.key_source, KeySource::None);
    assert!(service.rules.is_empty());
}

#[test]
fn a_rule_is_at_most_once_and_interactive_by_default() {
    let service = service("  rules: [{path: /x}, {path: /y, methods: [PUT, GET, PUT]}]\n");
    let [first, second] = service.rules.as_slice() else { panic!("two rules") };
    assert_eq!(
        (first.retry_safety, first.priority),
        (RetrySafety::AtMostOnce, Priority::Interactive)
    );
    assert_eq!((first.time_limit, first.methods.len()), (Millis(10_000), 0));
    assert_eq!(second.methods, [Method::Get, Method::Put]);
}

#[test]
fn keys_are_read_from_a_header_a_path_segment_or_a_query_parameter() {
    let check = |key: &str, expected| {
        assert_eq!(service(&format!("  key: {key}\n")).key_source, expected);
    };
    check("{header: Station-Id}", KeySource::Header("station-id".into()));
    check("{path-segment: 1}", KeySource::PathSegment(1));
    check("{query: screen}", KeySource::Query("screen".into()));
}

#[test]
fn all_errors_are_reported_at_once_with_their_lines() {
    let text = "\
# A comment shifts the lines.
regions:
  - name: khomas
    zones: [a, A]
    colour: red
  - name: khomas
services:
  - name: board
    backend-servers: six
    slots: 0
    connections: 5
    rules:
      - path: foo
        methods: [GET, FETCH]
        repeatable: yes please
        priority: urgent
    slot: 4
  - 17
";
    check_rejected(
        text,
        &[
            "f.yaml: line 4: regions[0].zones[1]: found \"A\" (found the character 'A', \
             expected a-z, 0-9 or '-'), expected a name of a-z, 0-9 and '-'",
            "f.yaml: line 5: regions[0].colour: found an unknown field, \
             expected only these fields: name, zones",
            "f.yaml: line 6: regions[1].zones: found nothing, expected a list of 1 to 16 entries",
            "f.yaml: line 9: services[0].backend-servers: found \"six\", \
             expected a whole number from 1 to 100000",
            "f.yaml: line 10: services[0].slots: found `0`, \
             expected a whole number from 1 to 65536",
            "f.yaml: line 13: services[0].rules[0].path: found \"foo\", expected a path that \
             starts with '/', with '*' for a whole segment and '**' only at the end, \
             of at most 256 bytes",
            "f.yaml: line 14: services[0].rules[0].methods[1]: found \"FETCH\", \
             expected one of GET, HEAD, POST, PUT, PATCH, DELETE",
            "f.yaml: line 15: services[0].rules[0].repeatable: found \"yes please\", \
             expected true or false",
            "f.yaml: line 16: services[0].rules[0].priority: found \"urgent\", \
             expected one of interactive, deferrable, internal",
            "f.yaml: line 17: services[0].slot: found an unknown field, expected only these \
             fields: name, key, partitions, backend-servers, slots, connections, \
             reserved-slots, max-body-bytes, record-retention-ms, drain-deadline-ms, \
             unfenced-grace-ms, retry-percent, rules",
            "f.yaml: line 18: services[1]: found `17`, \
             expected an entry with the fields of this list",
        ],
    );
}

#[test]
fn contradicting_fields_are_rejected() {
    let check = |fields: &str, expected: &str| {
        let error = parse(&document(fields)).expect_err("an invalid document");
        let [only] = error.errors.as_slice() else { panic!("one error expected: {error}") };
        assert_eq!(format!("{}: {} / {}", only.path, only.found, only.expected), expected);
    };
    check(
        "  backend-servers: 6\n  reserved-slots: 4\n",
        "services[0].reserved-slots: `4` / fewer than the 4 slots",
    );
    check(
        "  backend-servers: 65\n",
        "services[0].partitions: `64` / at least one per backend server, which is 65",
    );
    check(
        "  backend-servers: 32\n  partitions: 1025\n",
        "services[0].partitions: `1025` / at most 1024 for 32 backend servers",
    );
    check(
        "  backend-servers: 6\n  key: {header: a, query: b}\n",
        "services[0].key: 2 of them / one of the fields header, path-segment, query",
    );
    check(
        "  backend-servers: 6\n  key: {header: Papayarill-Fence}\n",
        "services[0].key.header: \"papayarill-fence\" / a header that the caller sets",
    );
    check(
        "  backend-servers: 6\n  rules: [{path: /a}, {path: /b}, {path: /a}]\n",
        "services[0].rules[2]: the methods and path of rules[0] again / \
         each rule to match something new",
    );
}

#[test]
fn fewer_connections_than_slots_are_rejected() {
    let text = document("  backend-servers: 6\n").replace("connections: 9", "connections: 3");
    check_rejected(
        &text,
        &["f.yaml: line 5: services[0].connections: found `3`, \
           expected at least one per slot, which is 4"],
    );
}

#[test]
fn a_document_over_the_size_limit_is_rejected() {
    let valid = document("  backend-servers: 6\n# ");
    let check = |length: usize, accepted: bool| {
        let text = format!("{valid}{}", "x".repeat(length - valid.len()));
        assert_eq!(parse(&text).is_ok(), accepted, "{length}");
    };
    check(MAX_DOCUMENT_BYTES, true);
    check(MAX_DOCUMENT_BYTES + 1, false);
}

#[test]
fn duplicate_names_are_rejected() {
    let text = format!(
        "{REGIONS}{}",
        "services: [{name: s, slots: 1, connections: 1, backend-servers: 1}, {name: s, slots: 1, connections: 1, backend-servers: 1}]\n"
    );
    check_rejected(
        &text,
        &["f.yaml: line 2: services[1].name: found \"s\", \
           expected a service name that is not used above"],
    );
    let zones = "regions: [{name: a, zones: [z]}, {name: b, zones: [z]}]\n";
    check_rejected(
        &text.replace(REGIONS, zones),
        &[
            "f.yaml: line 1: regions: found the availability zone \"z\" twice, \
             expected each availability zone in one region, once",
            "f.yaml: line 2: services[1].name: found \"s\", \
             expected a service name that is not used above",
        ],
    );
}

#[test]
fn wildcards_in_path_patterns_are_whole_segments() {
    let check = |path: &str, accepted: bool| {
        let text = document(&format!("  backend-servers: 6\n  rules: [{{path: '{path}'}}]\n"));
        assert_eq!(parse(&text).is_ok(), accepted, "{path}");
    };
    for path in ["/", "/a", "/a/", "/*", "/**", "/a/*/b", "/a/*/**", "/a.b-c_d~%20"] {
        check(path, true);
    }
    for path in ["", "a", "//", "/a//b", "/a*", "/**/a", "/a?b", "/a b", "/a#b", "/é"] {
        check(path, false);
    }
}

#[test]
fn texts_that_are_not_a_configuration_are_rejected() {
    let check = |text: &str| {
        let error = parse(text).expect_err("an invalid document");
        assert!(!error.errors.is_empty(), "{text}");
    };
    check("");
    check("null");
    check("- a list");
    check("regions: [");
    check("regions: 7\nservices: x");
    check("regions: &a [*a]");
    check("a: 1\na: 2");
    check("services: []\nregions: []");
    check("\u{0}");
    check("--- {}\n--- {}");
    check(&"[".repeat(100_000));
    check(&format!("# {}", "x".repeat(MAX_DOCUMENT_BYTES)));
}

#[test]
fn the_number_of_reported_errors_is_limited() {
    let services = "- {}\n".repeat(100);
    let error = parse(&format!("{REGIONS}services:\n{services}")).expect_err("an invalid document");
    assert_eq!(error.errors.len(), 50);
}
