//! Findings in documents: entries without effect, contradicting limits, and differences from another
//! version.

use papayarill_config::{Severity, parse, review};

const HEAD: &str = "regions: [{name: r, zones: [r-a, r-b]}]
services:
- name: s
  slots: 4
  connections: 9
";

/// Returns a document with one service that has these additional fields.
fn document(fields: &str) -> String {
    let servers = if fields.contains("backend-servers") { "" } else { "  backend-servers: 6\n" };
    format!("{HEAD}{servers}{fields}")
}

fn findings(text: &str, previous: Option<&str>) -> Vec<String> {
    let previous = previous.map(|text| parse(text).expect("a valid document"));
    let review = review(text, previous.as_ref());
    review.findings.iter().map(|f| f.format_for_file("f")).collect()
}

/// Guards against an operator who relies on a rule that no request matches.
#[test]
fn rules_that_never_apply_are_reported() {
    let rows: [(&str, &str, &[&str]); 14] = [
        ("", "/a, /b", &[]),
        ("", "/a/**, /a/b", &["rules[1]: never applies: its requests match rules[0] first"]),
        ("", "/**, /", &["rules[1]: never applies: its requests match rules[0] first"]),
        ("", "/*/b, /a/b", &["rules[1]: never applies: its requests match rules[0] first"]),
        ("", "/a/b, /*/b", &[]),
        ("", "/a/*, /a/**", &[]),
        ("", "/*, /a/", &[]),
        ("", "/a, /a/", &[]),
        ("", "/a/..", &["rules[0]: never applies: no rule matches paths with the segment \"..\""]),
        (
            "",
            "/caf%C3%A9",
            &["rules[0]: never applies: paths are compared decoded, and \"caf%C3%A9\" is encoded"],
        ),
        ("", "/100%", &[]),
        (
            "key: {path-segment: 1}",
            "/status, /a/*, /b/**",
            &["rules[0]: never applies: its paths end before segment 1, which holds the key"],
        ),
        (
            "key: {path-segment: 1}",
            "/status/",
            &["rules[0]: never applies: its paths end before segment 1, which holds the key"],
        ),
        ("key: {header: k}", "/status", &[]),
    ];
    for (key, paths, expected) in rows {
        let rules: Vec<String> = paths.split(", ").map(|p| format!("{{path: '{p}'}}")).collect();
        let text = document(&format!("  {key}\n  rules: [{}]\n", rules.join(", ")));

        let found = findings(&text, None);

        let expected: Vec<String> =
            expected.iter().map(|e| format!("warning: f: line 8: services[0].{e}")).collect();
        assert_eq!(found, expected, "{key} {paths}");
    }
}

/// Guards against a rule that is shadowed by several earlier ones together.
#[test]
fn a_rule_is_shadowed_if_each_of_its_methods_is() {
    let rows: [(&str, &str, &[&str]); 5] = [
        ("GET", "GET, PUT", &[]),
        ("GET, PUT, POST", "GET, PUT", &["rules[0] or rules[1]"]),
        ("GET", "GET", &["rules[0]"]),
        ("", "DELETE", &["rules[0]"]),
        ("GET", "", &[]),
    ];
    for (first, last, shadows) in rows {
        let first: Vec<String> = match first.split_once(", ") {
            Some((a, b)) => vec![a.to_owned(), b.to_owned()],
            None => vec![first.to_owned()],
        };
        let rules = first.iter().map(|m| format!("  - {{path: /a/**, methods: [{m}]}}\n"));
        let rules: String = rules.collect();
        let text = document(&format!("  rules:\n{rules}  - {{path: /a/b, methods: [{last}]}}\n"));

        let found = findings(&text, None);

        let index = first.len();
        let expected: Vec<String> = shadows
            .iter()
            .map(|s| {
                let line = 8 + index;
                format!(
                    "warning: f: line {line}: services[0].rules[{index}]: never applies: its \
                     requests match {s} first"
                )
            })
            .collect();
        assert_eq!(found, expected, "{first:?} {last}");
    }
}

/// Guards against limits that take each other's effect away.
#[test]
fn contradicting_limits_are_reported() {
    let repeatable = "  rules: [{path: /a, repeatable: true}]\n";
    let rows: [(String, &[&str]); 9] = [
        (document(repeatable), &[]),
        (document("  retry-percent: 0\n"), &[]),
        (
            document(&format!("  retry-percent: 0\n{repeatable}")),
            &[
                "line 7: services[0].retry-percent: a retry budget of 0, but rules are repeatable: no \
               request is sent again",
            ],
        ),
        (
            document(&format!("  backend-servers: 1\n{repeatable}")),
            &["line 6: services[0].backend-servers: 1 backend server, but rules are repeatable: \
               there is no other one to try"],
        ),
        (
            document("  record-retention-ms: 1000\n  rules: [{path: /a, time-limit-ms: 1001}]\n"),
            &["line 8: services[0].rules[0]: a time limit of 1001 ms, but records that prevent a \
               second run are kept for 1000 ms"],
        ),
        (
            document(
                "  record-retention-ms: 1000\n  \
                 rules: [{path: /a, time-limit-ms: 1001, repeatable: true}]\n",
            ),
            &[],
        ),
        (
            document("  drain-deadline-ms: 2000\n  rules: [{path: /a, time-limit-ms: 2001}]\n"),
            &[
                "line 8: services[0].rules[0]: a time limit of 2001 ms, but a leaving host ends its \
               requests after 2000 ms",
            ],
        ),
        (
            document("  max-body-bytes: 0\n  rules: [{path: /a, methods: [PUT]}]\n"),
            &["line 7: services[0].max-body-bytes: a body limit of 0, but rules are for methods \
               whose requests have bodies"],
        ),
        (document("  max-body-bytes: 0\n  rules: [{path: /a, methods: [PUT, GET]}]\n"), &[]),
    ];
    for (text, expected) in rows {
        let found = findings(&text, None);

        let expected: Vec<String> = expected.iter().map(|e| format!("warning: f: {e}")).collect();
        assert_eq!(found, expected, "{text}");
    }
}

/// Guards against findings that are attributed to another service: services are sorted by name after
/// they are read.
#[test]
fn paths_and_lines_are_those_of_the_document() {
    let text = "\
regions: [{name: r, zones: [z]}]
services:
- {name: z, slots: 1, connections: 1, backend-servers: 2, rules: [{path: /a}]}
- {name: a, slots: 1, connections: 1, backend-servers: 2, rules: [{path: /.}]}
";
    let expected = "warning: f: line 4: services[1].rules[0]: never applies: no rule matches paths \
                    with the segment \".\"";

    assert_eq!(findings(text, None), [expected]);
}

/// Guards against a difference that callers notice and that passes for an ordinary one.
#[test]
fn differences_from_another_version_are_reported() {
    let rule = |fields: &str| document(&format!("  rules:\n  - {{path: /a{fields}}}\n"));
    let other = "- {name: t, slots: 1, connections: 1, backend-servers: 1}\n";
    let two = |fields: &str| format!("{}{other}", document(fields));
    let plain = document("");
    let rows: [(&str, &str, &[&str]); 16] = [
        (&plain, &plain, &[]),
        (
            &plain,
            &document("  slots: 3\n").replace("  slots: 4\n", ""),
            &["note: f: line 6: services[0].slots: slots 4 -> 3"],
        ),
        (
            &two(""),
            &plain,
            &["warning: f: line 3: services: service t removed: its callers get 404"],
        ),
        (&plain, &two(""), &["note: f: line 7: services[1]: service t added"]),
        (
            &rule(""),
            &plain,
            &[
                "warning: f: line 3: services[0].rules: rule * /a removed: its requests match a later \
             rule or none",
            ],
        ),
        (&plain, &rule(""), &["note: f: line 8: services[0].rules[0]: rule * /a added"]),
        (
            &plain,
            &rule(", repeatable: true"),
            &[
                "warning: f: line 8: services[0].rules[0]: rule * /a added: its requests may run more \
             than once",
            ],
        ),
        (
            &rule("/**, repeatable: true").replace("/a/**", "/**"),
            &document(
                "  rules:\n  - {path: /a, repeatable: true}\n  - {path: /**, repeatable: true}\n",
            ),
            &["note: f: line 8: services[0].rules[0]: rule * /a added"],
        ),
        (
            &rule(""),
            &rule(", repeatable: true"),
            &[
                "warning: f: line 8: services[0].rules[0]: (at most once, interactive, 10000 ms) -> \
             (repeatable, interactive, 10000 ms): its requests may run more than once",
            ],
        ),
        (
            &rule(", repeatable: true"),
            &rule(""),
            &["warning: f: line 8: services[0].rules[0]: (repeatable, interactive, 10000 ms) -> \
             (at most once, interactive, 10000 ms): its requests need a request id"],
        ),
        (
            &rule(""),
            &rule(", time-limit-ms: 9999"),
            &[
                "warning: f: line 8: services[0].rules[0]: (at most once, interactive, 10000 ms) -> \
             (at most once, interactive, 9999 ms): callers get 504 earlier",
            ],
        ),
        (
            &rule(""),
            &rule(", time-limit-ms: 10001"),
            &["note: f: line 8: services[0].rules[0]: (at most once, interactive, 10000 ms) -> \
             (at most once, interactive, 10001 ms)"],
        ),
        (
            &plain,
            &document("  max-body-bytes: 5\n"),
            &[
                "warning: f: line 7: services[0].max-body-bytes: max-body-bytes 1048576 -> 5: callers \
             with longer bodies get 413",
            ],
        ),
        (
            &document("  rules: [{path: /a/*}, {path: /*/b, repeatable: true}]\n"),
            &document("  rules: [{path: /*/b, repeatable: true}, {path: /a/*}]\n"),
            &["warning: f: line 7: services[0].rules: rules in another order"],
        ),
        (
            &plain,
            &plain.replace("r-b", "r-c"),
            &["note: f: line 1: regions: region r zones r-a, r-b -> r-a, r-c"],
        ),
        (
            &plain,
            &document("  partitions: 65\n"),
            &[
                "error: f: line 7: services[0].partitions: found 65, expected 64 as before, or a \
             service with another name",
                "note: f: line 7: services[0].partitions: partitions 64 -> 65",
            ],
        ),
    ];
    for (old, new, expected) in rows {
        assert_eq!(findings(new, Some(old)), expected, "{old}\n{new}");
    }
}

/// Guards against a document that makes the check slow, and against findings dropped silently.
#[test]
fn the_number_of_findings_is_limited() {
    let rules = "  - {path: /.}\n".to_owned();
    let rules: String = (0..250).map(|i| rules.replace("/.", &format!("/{i}/."))).collect();
    let text = document(&format!("  rules:\n{rules}"));

    let found = review(&text, None).findings;

    assert_eq!(found.len(), 201);
    assert_eq!(found[200].text, "50 further findings are not shown");
    assert!(found.iter().all(|f| f.severity == Severity::Warning));
}
