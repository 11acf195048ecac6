//! What differs between two configurations, and whether one may follow the other.

use std::fmt::Display;

use crate::check::Cx;
use crate::print::{key_text, priority_name};
use crate::{Config, ConfigError, Region, RetrySafety, Rule, Service};

/// Returns what changed from `old` to `new`: one short line for each region, setting and rule.
pub fn diff(old: &Config, new: &Config) -> Vec<String> {
    let mut lines = Vec::new();
    compare(&old.regions, &new.regions, |r| r.name.as_str(), "region", &mut lines, diff_region);
    compare(&old.services, &new.services, |s| s.name.as_str(), "service", &mut lines, diff_service);
    lines
}

/// Checks that `new` may follow `old`.
///
/// Hosts take over a new configuration at different moments. So nothing may change that decides
/// which cell and partition a key belongs to, or the key could have two owners for that time.
pub fn check_change(old: &Config, new: &Config) -> Result<(), ConfigError> {
    let mut cx = Cx::default();
    for service in &new.services {
        if let Some(former) = old.service(service.name.as_str()) {
            cx.within("services", |cx| {
                cx.within(service.name.as_str(), |cx| check_layout(cx, former, service));
            });
        }
    }
    cx.finish(Some(()), |_| None)
}

fn check_layout(cx: &mut Cx, old: &Service, new: &Service) {
    require_same(cx, "key", key_text(&old.key_source), key_text(&new.key_source));
    require_same(cx, "partitions", old.partitions, new.partitions);
    let cells = |s: &Service| format!("{} ({} cells)", s.backend_servers, s.cell_count());
    if old.cell_count() != new.cell_count() {
        require_same(cx, "backend-servers", cells(old), cells(new));
    }
}

fn require_same<T: PartialEq + Display>(cx: &mut Cx, field: &str, old: T, new: T) {
    if old == new {
        return;
    }
    let expected = format!("{old} as before, or a service with another name");
    cx.within(field, |cx| cx.fault(new.to_string(), expected));
}

/// Compares two lists by name; `diff_entry` compares what is in both.
fn compare<T>(
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> &str,
    kind: &str,
    lines: &mut Vec<String>,
    diff_entry: impl Fn(&T, &T) -> Vec<String>,
) {
    for entry in old {
        let name_text = name(entry);
        match new.iter().find(|e| name(e) == name_text) {
            None => lines.push(format!("{kind} {name_text}: removed")),
            Some(after) => {
                let changes = diff_entry(entry, after).into_iter();
                lines.extend(changes.map(|c| format!("{kind} {name_text}: {c}")));
            }
        }
    }
    let added = new.iter().filter(|e| !old.iter().any(|o| name(o) == name(e)));
    lines.extend(added.map(|e| format!("{kind} {}: added", name(e))));
}

fn diff_region(old: &Region, new: &Region) -> Vec<String> {
    let zones = |r: &Region| {
        let names: Vec<&str> = r.zones.iter().map(|z| z.as_str()).collect();
        names.join(", ")
    };
    setting("zones", zones(old), zones(new)).into_iter().collect()
}

fn diff_service(old: &Service, new: &Service) -> Vec<String> {
    let settings = [
        setting("key", key_text(&old.key_source), key_text(&new.key_source)),
        setting("partitions", old.partitions, new.partitions),
        setting("backend-servers", old.backend_servers, new.backend_servers),
        setting("slots", old.slots, new.slots),
        setting("connections", old.connections, new.connections),
        setting("reserved-slots", old.reserved_slots, new.reserved_slots),
        setting("max-body-bytes", old.max_body_bytes, new.max_body_bytes),
        setting("record-retention-ms", old.record_retention, new.record_retention),
        setting("drain-deadline-ms", old.drain_deadline, new.drain_deadline),
        setting("unfenced-grace-ms", old.unfenced_grace, new.unfenced_grace),
        setting("retry-percent", old.retry_percent, new.retry_percent),
    ];
    let mut lines: Vec<String> = settings.into_iter().flatten().collect();
    diff_rules(&old.rules, &new.rules, &mut lines);
    lines
}

fn setting<T: PartialEq + Display>(field: &str, old: T, new: T) -> Option<String> {
    (old != new).then(|| format!("{field} {old} -> {new}"))
}

fn diff_rules(old: &[Rule], new: &[Rule], lines: &mut Vec<String>) {
    let before = lines.len();
    let names = |rules: &[Rule]| -> Vec<String> { rules.iter().map(rule_name).collect() };
    let (old_names, new_names) = (names(old), names(new));
    for (rule, name) in old.iter().zip(&old_names) {
        match new_names.iter().position(|n| n == name) {
            None => lines.push(format!("rule {name} removed")),
            Some(index) if new[index] != *rule => {
                let (from, to) = (rule_settings(rule), rule_settings(&new[index]));
                lines.push(format!("rule {name} {from} -> {to}"));
            }
            Some(_) => {}
        }
    }
    let added = new_names.iter().filter(|n| !old_names.contains(n));
    lines.extend(added.map(|n| format!("rule {n} added")));
    if lines.len() == before && old_names != new_names {
        lines.push("rules in another order".to_owned());
    }
}

/// Returns methods and path, which no other rule of the service shares.
fn rule_name(rule: &Rule) -> String {
    let methods: Vec<&str> = rule.methods.iter().map(|m| m.name()).collect();
    let methods = if methods.is_empty() { "*".to_owned() } else { methods.join(",") };
    format!("{methods} {}", rule.path.0)
}

fn rule_settings(rule: &Rule) -> String {
    let retry_safety = match rule.retry_safety {
        RetrySafety::Idempotent => "repeatable",
        RetrySafety::AtMostOnce => "at most once",
    };
    format!("({retry_safety}, {}, {} ms)", priority_name(rule.priority), rule.time_limit)
}
