//! The check of one service and of its rules.

use model::{Millis, Priority, ServiceName};

use super::Cx;
use crate::limits::{
    BACKEND_SERVERS, CONNECTIONS, DRAIN_DEADLINE_MS, MAX_BODY_BYTES, MAX_KEY_NAME_BYTES,
    MAX_PARTITIONS_PER_CELL, MAX_PATH_BYTES, MAX_RULES_PER_SERVICE, PARTITIONS, PATH_SEGMENT,
    RECORD_RETENTION_MS, RESERVED_SLOTS, RETRY_PERCENT, SLOTS, TIME_LIMIT_MS, UNFENCED_GRACE_MS,
};
use crate::yaml::{KeyDoc, Part, RuleDoc, ServiceDoc, quote};
use crate::{KeySource, Method, PathPattern, RetrySafety, Rule, Service};

/// Headers that start with this are set by the host process.
const OWN_HEADER_PREFIX: &str = "papayarill-";

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
pub(crate) fn check_service(cx: &mut Cx, doc: &ServiceDoc) -> Option<Service> {
    // Every field is read before the first `?`, so that all faults are reported.
    let name = cx.name("name", &doc.name, ServiceName::new);
    let key_source = check_key(cx, &doc.key);
    let partitions = cx.number32("partitions", &doc.partitions, &PARTITIONS);
    let backend_servers = cx.number32("backend-servers", &doc.backend_servers, &BACKEND_SERVERS);
    let slots = cx.number32("slots", &doc.slots, &SLOTS);
    let connections = cx.number32("connections", &doc.connections, &CONNECTIONS);
    let reserved = cx.number32("reserved-slots", &doc.reserved_slots, &RESERVED_SLOTS);
    let body = cx.number("max-body-bytes", &doc.max_body_bytes, &MAX_BODY_BYTES);
    let retention =
        cx.number("record-retention-ms", &doc.record_retention_ms, &RECORD_RETENTION_MS);
    let drain = cx.number("drain-deadline-ms", &doc.drain_deadline_ms, &DRAIN_DEADLINE_MS);
    let grace = cx.number("unfenced-grace-ms", &doc.unfenced_grace_ms, &UNFENCED_GRACE_MS);
    let retry_percent = cx.number32("retry-percent", &doc.retry_percent, &RETRY_PERCENT);
    let rules = cx.list("rules", &doc.rules, 0..=MAX_RULES_PER_SERVICE, check_rule);
    cx.refuse_unknown(&doc.unknown, &SERVICE_FIELDS);
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
    check_sums(cx, &service);
    check_reachable(cx, &service.rules);
    Some(service)
}

/// Reports numbers that are wrong only together.
fn check_sums(cx: &mut Cx, service: &Service) {
    if service.reserved_slots >= service.slots {
        let found = format!("`{}`", service.reserved_slots);
        let expected = format!("fewer than the {} slots", service.slots);
        cx.within("reserved-slots", |cx| cx.fault(found, expected));
    }
    if service.connections < service.slots {
        let found = format!("`{}`", service.connections);
        let expected = format!("at least one per slot, which is {}", service.slots);
        cx.within("connections", |cx| cx.fault(found, expected));
    }
    let found = format!("`{}`", service.partitions);
    let min = service.backend_servers;
    let max = service.cell_count().saturating_mul(MAX_PARTITIONS_PER_CELL);
    if service.partitions < min {
        let expected = format!("at least one per backend server, which is {min}");
        cx.within("partitions", |cx| cx.fault(found, expected));
    } else if service.partitions > max {
        let expected = format!("at most {max} for {min} backend servers");
        cx.within("partitions", |cx| cx.fault(found, expected));
    }
}

/// Reports rules that cannot match, because a rule above has the same methods and path.
fn check_reachable(cx: &mut Cx, rules: &[Rule]) {
    for (index, rule) in rules.iter().enumerate() {
        let same = |r: &Rule| r.methods == rule.methods && r.path == rule.path;
        if let Some(above) = rules[..index].iter().position(same) {
            let found = format!("the methods and path of rules[{above}] again");
            cx.entry("rules", index, |cx| cx.fault(found, "each rule to match something new"));
        }
    }
}

fn check_key(cx: &mut Cx, part: &Part<KeyDoc>) -> Option<KeySource> {
    if part.is_absent() {
        return Some(KeySource::None);
    }
    cx.within("key", |cx| {
        const EXPECTED: &str = "one of the fields header, path-segment, query";
        let doc = cx.required(part, EXPECTED)?;
        cx.refuse_unknown(&doc.unknown, &["header", "path-segment", "query"]);
        let absent = [doc.header.is_absent(), doc.path_segment.is_absent(), doc.query.is_absent()];
        match absent {
            [false, true, true] => check_header(cx, &doc.header).map(KeySource::Header),
            [true, false, true] => {
                let index = cx.number32("path-segment", &doc.path_segment, &PATH_SEGMENT);
                index.map(KeySource::PathSegment)
            }
            [true, true, false] => check_query(cx, &doc.query).map(KeySource::Query),
            _ => {
                let found = absent.iter().filter(|absent| !**absent).count();
                cx.fault(format!("{found} of them"), EXPECTED);
                None
            }
        }
    })
}

fn check_header(cx: &mut Cx, part: &Part<String>) -> Option<String> {
    const EXPECTED: &str = "a header name of 1 to 64 letters, digits, '-' and '_'";
    cx.within("header", |cx| {
        let name = cx.required(part, EXPECTED)?.to_ascii_lowercase();
        let allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
        if !(1..=MAX_KEY_NAME_BYTES).contains(&name.len()) || !name.bytes().all(allowed) {
            cx.fault(quote(&name), EXPECTED);
            return None;
        }
        if name.starts_with(OWN_HEADER_PREFIX) {
            cx.fault(quote(&name), "a header that the caller sets");
            return None;
        }
        Some(name)
    })
}

fn check_query(cx: &mut Cx, part: &Part<String>) -> Option<String> {
    const EXPECTED: &str = "a parameter name of 1 to 64 letters, digits, '-', '_' and '.'";
    cx.within("query", |cx| {
        let name = cx.required(part, EXPECTED)?;
        let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        if !(1..=MAX_KEY_NAME_BYTES).contains(&name.len()) || !name.bytes().all(allowed) {
            cx.fault(quote(name), EXPECTED);
            return None;
        }
        Some(name.clone())
    })
}

/// Checks one rule.
pub(crate) fn check_rule(cx: &mut Cx, doc: &RuleDoc) -> Option<Rule> {
    let methods = cx.list("methods", &doc.methods, 0..=Method::ALL.len(), check_method);
    let path = check_path(cx, &doc.path);
    let retry_safety = check_repeatable(cx, &doc.repeatable);
    let priority = check_priority(cx, &doc.priority);
    let time_limit = cx.number("time-limit-ms", &doc.time_limit_ms, &TIME_LIMIT_MS);
    let known = ["methods", "path", "repeatable", "priority", "time-limit-ms"];
    cx.refuse_unknown(&doc.unknown, &known);
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

#[allow(clippy::ptr_arg, reason = "lists hand their entries on as they are")]
fn check_method(cx: &mut Cx, text: &String) -> Option<Method> {
    let method = Method::ALL.into_iter().find(|m| m.name() == text);
    if method.is_none() {
        let names = Method::ALL.map(Method::name).join(", ");
        cx.fault(quote(text), format!("one of {names}"));
    }
    method
}

fn check_path(cx: &mut Cx, part: &Part<String>) -> Option<PathPattern> {
    const EXPECTED: &str =
        "a path that starts with '/', with '*' for a whole segment and '**' only at the end";
    cx.within("path", |cx| {
        let text = cx.required(part, EXPECTED)?;
        if text.len() <= MAX_PATH_BYTES && is_pattern(text) {
            return Some(PathPattern(text.clone()));
        }
        cx.fault(quote(text), format!("{EXPECTED}, of at most {MAX_PATH_BYTES} bytes"));
        None
    })
}

fn is_pattern(text: &str) -> bool {
    let Some(rest) = text.strip_prefix('/') else {
        return false;
    };
    let mut segments: Vec<&str> = rest.split('/').collect();
    // A closing `**` and a closing slash are allowed only as the last segment.
    if matches!(segments.last(), Some(&"**" | &"")) {
        segments.pop();
    }
    segments.into_iter().all(|s| s == "*" || is_plain_segment(s))
}

fn is_plain_segment(segment: &str) -> bool {
    let plain = |b: u8| b.is_ascii_graphic() && !matches!(b, b'*' | b'?' | b'#');
    !segment.is_empty() && segment.bytes().all(plain)
}

fn check_repeatable(cx: &mut Cx, part: &Part<bool>) -> Option<RetrySafety> {
    if part.is_absent() {
        return Some(RetrySafety::AtMostOnce);
    }
    let repeatable = cx.within("repeatable", |cx| cx.required(part, "true or false").copied())?;
    Some(if repeatable { RetrySafety::Idempotent } else { RetrySafety::AtMostOnce })
}

fn check_priority(cx: &mut Cx, part: &Part<String>) -> Option<Priority> {
    const EXPECTED: &str = "one of interactive, deferrable, internal";
    if part.is_absent() {
        return Some(Priority::Interactive);
    }
    cx.within("priority", |cx| {
        let text = cx.required(part, EXPECTED)?;
        match text.as_str() {
            "interactive" => Some(Priority::Interactive),
            "deferrable" => Some(Priority::Deferrable),
            "internal" => Some(Priority::Internal),
            _ => {
                cx.fault(quote(text), EXPECTED);
                None
            }
        }
    })
}
