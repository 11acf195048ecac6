//! Rule matching, key extraction and request digests.

mod common;

use common::{id_at, rule, service};
use papayarill_config::{KeySource, Method, RetrySafety};
use quickcheck::quickcheck;
use routing::rules::{
    KeyError, MAX_KEY_BYTES, digest, match_rule, parse_method, partition_of_id, read_key,
};

#[test]
fn the_first_matching_rule_applies() {
    let rules = vec![
        rule(vec![Method::Get], "/boards/*"),
        rule(vec![], "/boards/*/indices/**"),
        rule(vec![Method::Post], "/search"),
    ];
    let service = service(KeySource::None, rules);
    let check = |method, target, expected: Option<u32>| {
        let policy = match_rule(&service, method, target);
        assert_eq!(policy.index, expected, "{target}");
        let repeatable = policy.repeat == RetrySafety::Idempotent;
        assert_eq!(repeatable, expected.is_some(), "{target}");
    };
    check(Method::Get, "/dispatch/boards/khomas", Some(0));
    check(Method::Get, "/dispatch/boards/khomas?at=1", Some(0));
    check(Method::Get, "/dispatch/boards/kh%6Fmas", Some(0));
    check(Method::Put, "/dispatch/boards/khomas", None);
    check(Method::Get, "/dispatch/boards", None);
    check(Method::Get, "/dispatch/boards/", None);
    check(Method::Put, "/dispatch/boards/khomas/indices", Some(1));
    check(Method::Put, "/dispatch/boards/khomas/indices/dst/7", Some(1));
    check(Method::Post, "/dispatch/search", Some(2));
    check(Method::Post, "/dispatch", None);
    // Servers may interpret these paths differently, so no rule matches and they run at most once.
    check(Method::Get, "/dispatch/boards/%2e%2e", None);
    check(Method::Put, "/dispatch/boards/a/indices/../../orders", None);
    check(Method::Put, "/dispatch/boards/a/indices/x%2f..%2forders", None);
    check(Method::Put, "/dispatch/boards/a/indices//orders", None);
    check(Method::Get, "/dispatch/boards/%zz", None);
}

#[test]
fn keys_are_extracted_or_rejected_with_a_reason() {
    let place = |text: &str| text.to_owned();
    let check = |keys: &KeySource,
                 target: &'static str,
                 expected: Result<Option<&str>, KeyError>| {
        let service = service(keys.clone(), vec![]);
        let header = |name: &str| (name == "x-key").then_some(&b" crew 9 "[..]);
        let key = read_key(&service, target, header);
        assert_eq!(key.as_ref().map(|k| k.as_deref()), expected.as_ref().map(|k| *k), "{target}");
    };
    let segment = KeySource::PathSegment(1);
    let at_segment = place("path segment 1 behind the service name");
    check(&KeySource::None, "/dispatch/x", Ok(None));
    check(&segment, "/dispatch/crews/9%209", Ok(Some("9 9")));
    check(&segment, "/dispatch/crews", Err(KeyError::Missing { place: at_segment.clone() }));
    check(&segment, "/dispatch/crews/", Err(KeyError::Missing { place: at_segment.clone() }));
    check(&segment, "/dispatch/crews/%ff", Err(KeyError::Malformed { place: at_segment.clone() }));
    check(&segment, "/dispatch/crews/a%0ab", Err(KeyError::Malformed { place: at_segment }));
    let query = KeySource::Query("crew".to_owned());
    let at_query = place("query parameter 'crew'");
    check(&query, "/dispatch/x?a=1&crew=9+9", Ok(Some("9 9")));
    check(&query, "/dispatch/x?crew=1&crew=1", Err(KeyError::Repeated { place: at_query.clone() }));
    check(&query, "/dispatch/x", Err(KeyError::Missing { place: at_query }));
    check(&KeySource::Header("x-key".to_owned()), "/dispatch/x", Ok(Some("crew 9")));
    let absent = KeyError::Missing { place: place("header 'x-other'") };
    check(&KeySource::Header("x-other".to_owned()), "/dispatch/x", Err(absent));
}

#[test]
fn a_key_has_at_most_512_bytes() {
    let check = |length: usize, expected: bool| {
        let service = service(KeySource::Query("k".to_owned()), vec![]);
        let target = format!("/dispatch/x?k={}", "k".repeat(length));
        assert_eq!(read_key(&service, &target, |_| None).is_ok(), expected, "{length}");
    };
    check(512, true);
    check(513, false);
}

#[test]
fn the_digest_separates_the_parts() {
    let base = digest("POST", "/a/b", Some("k"), b"body");
    let check = |other: u64| assert_ne!(base, other);
    check(digest("PUT", "/a/b", Some("k"), b"body"));
    check(digest("POST", "/a/bk", Some(""), b"body"));
    check(digest("POST", "/a/b", Some("kb"), b"ody"));
    check(digest("POST", "/a/b", Some("k"), b"body2"));
    assert_eq!(base, digest("POST", "/a/b", Some("k"), b"body"));
}

#[test]
fn methods_and_partitions_of_ids() {
    assert_eq!(parse_method("PATCH"), Some(Method::Patch));
    assert_eq!(parse_method("get"), None);
    let id = id_at(1_000, 5);
    assert_eq!(partition_of_id(id, 16), partition_of_id(id, 16));
    assert!(partition_of_id(id, 16).0 < 16);
}

quickcheck! {
    fn any_target_is_parsed_or_rejected(target: String, index: u8) -> bool {
        let sources = [
            KeySource::PathSegment(u32::from(index % 4)),
            KeySource::Query("k".to_owned()),
            KeySource::Header("k".to_owned()),
        ];
        sources.into_iter().all(|source| {
            let service = service(source, vec![rule(vec![], "/**")]);
            match_rule(&service, Method::Get, &target);
            match read_key(&service, &target, |_| Some(target.as_bytes())) {
                Ok(key) => key.is_some_and(|k| (1..=MAX_KEY_BYTES).contains(&k.len())),
                Err(error) => !error.to_string().is_empty(),
            }
        })
    }
}
