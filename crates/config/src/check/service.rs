//! Validates a service and its rules.

use model::{Millis, Priority, ServiceName};

use super::ValidationContext;
use crate::limits::{
    BACKEND_SERVERS, CONNECTIONS, DRAIN_DEADLINE_MS, MAX_BODY_BYTES, MAX_KEY_NAME_BYTES,
    MAX_PARTITIONS_PER_CELL, MAX_PATH_BYTES, MAX_RULES_PER_SERVICE, PARTITIONS, PATH_SEGMENT,
    RECORD_RETENTION_MS, RESERVED_SLOTS, RETRY_PERCENT, SLOTS, TIME_LIMIT_MS, UNFENCED_GRACE_MS,
};
use crate::yaml::{DocValue, KeyDoc, RuleDoc, ServiceDoc, quote};
use crate::{KeySource, Method, PathPattern, RetrySafety, Rule, Service};

/// The prefix of headers that the host process sets, which therefore cannot hold a key.
const RESERVED_HEADER_PREFIX: &str = "papayarill-";

const SERVICE_FIELDS: [&str; 13] = [
    "name",
    "key",
    "partitions",
    "backend-servers",
    "slots",
    "connections",
    "reserved-slots",
    "max-body-bytes",
    "record-retention-ms",
    "drain-deadline-ms",
    "unfenced-grace-ms",
    "retry-percent",
    "rules",
];

/// Checks one service.
pub(crate) fn check_service(cx: &mut ValidationContext, doc: &ServiceDoc) -> Option<Service> {
    // Every field is checked before the first `?`, so that all errors are reported.
    let name = cx.name("name", &doc.name, ServiceName::new);
    let key_source = check_key(cx, &doc.key);
    let partitions = cx.number_u32("partitions", &doc.partitions, &PARTITIONS);
    let backend_servers = cx.number_u32("backend-servers", &doc.backend_servers, &BACKEND_SERVERS);
    let slots = cx.number_u32("slots", &doc.slots, &SLOTS);
    let connections = cx.number_u32("connections", &doc.connections, &CONNECTIONS);
    let reserved = cx.number_u32("reserved-slots", &doc.reserved_slots, &RESERVED_SLOTS);
    let body = cx.number("max-body-bytes", &doc.max_body_bytes, &MAX_BODY_BYTES);
    let retention =
        cx.number("record-retention-ms", &doc.record_retention_ms, &RECORD_RETENTION_MS);
    let drain = cx.number("drain-deadline-ms", &doc.drain_deadline_ms, &DRAIN_DEADLINE_MS);
    let grace = cx.number("unfenced-grace-ms", &doc.unfenced_grace_ms, &UNFENCED_GRACE_MS);
    let retry_percent = cx.number_u32("retry-percent", &doc.retry_percent, &RETRY_PERCENT);
    let rules = cx.list("rules", &doc.rules, 0..=MAX_RULES_PER_SERVICE, check_rule);
    cx.reject_unknown_fields(&doc.unknown, &SERVICE_FIELDS);
    let service = Service {
        name: name?,
        key_source: key_source?,
        partitions: partitions?,
        backend_servers: backend_servers?,
        slots: slots?,
        connections: connections?,
        reserved_slots: reserved?,
        max_body_bytes: body?,
        record_retention: Millis(retention?),
        drain_deadline: Millis(drain?),
        unfenced_grace: Millis(grace?),
        retry_percent: retry_percent?,
        rules: rules?,
    };
    check_combinations(cx, &service);
    check_duplicate_rules(cx, &service.rules);
    Some(service)
}

/// Reports numbers that are valid on their own but contradict each other.
fn check_combinations(cx: &mut ValidationContext, service: &Service) {
    if service.reserved_slots >= service.slots {
        let found = format!("`{}`", service.reserved_slots);
        let expected = format!("fewer than the {} slots", service.slots);
        cx.in_field("reserved-slots", |cx| cx.error(found, expected));
    }
    if service.connections < service.slots {
        let found = format!("`{}`", service.connections);
        let expected = format!("at least one per slot, which is {}", service.slots);
        cx.in_field("connections", |cx| cx.error(found, expected));
    }
    let found = format!("`{}`", service.partitions);
    let min = service.backend_servers;
    let max = service.cell_count().saturating_mul(MAX_PARTITIONS_PER_CELL);
    if service.partitions < min {
        let expected = format!("at least one per backend server, which is {min}");
        cx.in_field("partitions", |cx| cx.error(found, expected));
    } else if service.partitions > max {
        let expected = format!("at most {max} for {min} backend servers");
        cx.in_field("partitions", |cx| cx.error(found, expected));
    }
}

/// Reports rules that can never apply, because an earlier rule has the same methods and path.
fn check_duplicate_rules(cx: &mut ValidationContext, rules: &[Rule]) {
    for (index, rule) in rules.iter().enumerate() {
        let same = |r: &Rule| r.methods == rule.methods && r.path == rule.path;
        if let Some(above) = rules[..index].iter().position(same) {
            let found = format!("the methods and path of rules[{above}] again");
            cx.in_entry("rules", index, |cx| cx.error(found, "each rule to match something new"));
        }
    }
}

fn check_key(cx: &mut ValidationContext, raw: &DocValue<KeyDoc>) -> Option<KeySource> {
    if raw.is_absent() {
        return Some(KeySource::None);
    }
    cx.in_field("key", |cx| {
        const EXPECTED: &str = "one of the fields header, path-segment, query";
        let doc = cx.required(raw, EXPECTED)?;
        cx.reject_unknown_fields(&doc.unknown, &["header", "path-segment", "query"]);
        let absent = [doc.header.is_absent(), doc.path_segment.is_absent(), doc.query.is_absent()];
        match absent {
            [false, true, true] => check_header(cx, &doc.header).map(KeySource::Header),
            [true, false, true] => {
                let index = cx.number_u32("path-segment", &doc.path_segment, &PATH_SEGMENT);
                index.map(KeySource::PathSegment)
            }
            [true, true, false] => check_query(cx, &doc.query).map(KeySource::Query),
            _ => {
                let found = absent.iter().filter(|absent| !**absent).count();
                cx.error(format!("{found} of them"), EXPECTED);
                None
            }
        }
    })
}

fn check_header(cx: &mut ValidationContext, raw: &DocValue<String>) -> Option<String> {
    const EXPECTED: &str = "a header name of 1 to 64 letters, digits, '-' and '_'";
    cx.in_field("header", |cx| {
        let name = cx.required(raw, EXPECTED)?.to_ascii_lowercase();
        let allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
        if !(1..=MAX_KEY_NAME_BYTES).contains(&name.len()) || !name.bytes().all(allowed) {
            cx.error(quote(&name), EXPECTED);
            return None;
        }
        if name.starts_with(RESERVED_HEADER_PREFIX) {
            cx.error(quote(&name), "a header that the caller sets");
            return None;
        }
        Some(name)
    })
}

fn check_query(cx: &mut ValidationContext, raw: &DocValue<String>) -> Option<String> {
    const EXPECTED: &str = "a parameter name of 1 to 64 letters, digits, '-', '_' and '.'";
    cx.in_field("query", |cx| {
        let name = cx.required(raw, EXPECTED)?;
        let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        if !(1..=MAX_KEY_NAME_BYTES).contains(&name.len()) || !name.bytes().all(allowed) {
            cx.error(quote(name), EXPECTED);
            return None;
        }
        Some(name.clone())
    })
}

/// Checks one rule.
pub(crate) fn check_rule(cx: &mut ValidationContext, doc: &RuleDoc) -> Option<Rule> {
    let methods = cx.list("methods", &doc.methods, 0..=Method::ALL.len(), check_method);
    let path = check_path(cx, &doc.path);
    let retry_safety = check_repeatable(cx, &doc.repeatable);
    let priority = check_priority(cx, &doc.priority);
    let time_limit = cx.number("time-limit-ms", &doc.time_limit_ms, &TIME_LIMIT_MS);
    let known = ["methods", "path", "repeatable", "priority", "time-limit-ms"];
    cx.reject_unknown_fields(&doc.unknown, &known);
    let mut methods = methods?;
    methods.sort_unstable();
    methods.dedup();
    Some(Rule {
        methods,
        path: path?,
        retry_safety: retry_safety?,
        priority: priority?,
        time_limit: Millis(time_limit?),
    })
}

#[allow(clippy::ptr_arg, reason = "`ValidationContext::list` passes a reference to the entry type")]
fn check_method(cx: &mut ValidationContext, text: &String) -> Option<Method> {
    let method = Method::ALL.into_iter().find(|m| m.name() == text);
    if method.is_none() {
        let names = Method::ALL.map(Method::name).join(", ");
        cx.error(quote(text), format!("one of {names}"));
    }
    method
}

fn check_path(cx: &mut ValidationContext, raw: &DocValue<String>) -> Option<PathPattern> {
    const EXPECTED: &str =
        "a path that starts with '/', with '*' for a whole segment and '**' only at the end";
    cx.in_field("path", |cx| {
        let text = cx.required(raw, EXPECTED)?;
        if text.len() <= MAX_PATH_BYTES && is_valid_pattern(text) {
            return Some(PathPattern(text.clone()));
        }
        cx.error(quote(text), format!("{EXPECTED}, of at most {MAX_PATH_BYTES} bytes"));
        None
    })
}

fn is_valid_pattern(text: &str) -> bool {
    let Some(rest) = text.strip_prefix('/') else {
        return false;
    };
    let mut segments: Vec<&str> = rest.split('/').collect();
    // `**` and an empty segment (a trailing slash) are allowed only at the end.
    if matches!(segments.last(), Some(&"**" | &"")) {
        segments.pop();
    }
    segments.into_iter().all(|s| s == "*" || is_literal_segment(s))
}

fn is_literal_segment(segment: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_graphic() && !matches!(b, b'*' | b'?' | b'#');
    !segment.is_empty() && segment.bytes().all(allowed)
}

fn check_repeatable(cx: &mut ValidationContext, raw: &DocValue<bool>) -> Option<RetrySafety> {
    if raw.is_absent() {
        return Some(RetrySafety::AtMostOnce);
    }
    let repeatable = cx.in_field("repeatable", |cx| cx.required(raw, "true or false").copied())?;
    Some(if repeatable { RetrySafety::Idempotent } else { RetrySafety::AtMostOnce })
}

fn check_priority(cx: &mut ValidationContext, raw: &DocValue<String>) -> Option<Priority> {
    const EXPECTED: &str = "one of interactive, deferrable, internal";
    if raw.is_absent() {
        return Some(Priority::Interactive);
    }
    cx.in_field("priority", |cx| {
        let text = cx.required(raw, EXPECTED)?;
        match text.as_str() {
            "interactive" => Some(Priority::Interactive),
            "deferrable" => Some(Priority::Deferrable),
            "internal" => Some(Priority::Internal),
            _ => {
                cx.error(quote(text), EXPECTED);
                None
            }
        }
    })
}
