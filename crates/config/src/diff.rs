//! Compares two configurations and checks whether one may replace the other.

use std::fmt::Display;

use crate::check::ValidationContext;
use crate::to_doc::{describe_key_source, priority_name};
use crate::{Config, ConfigError, Region, RetrySafety, Rule, Service};

/// Returns the changes from `old` to `new`: one line for each changed region, setting and rule.
pub fn diff(old: &Config, new: &Config) -> Vec<String> {
    let mut lines = Vec::new();
    diff_by_name(
        &old.regions,
        &new.regions,
        |r| r.name.as_str(),
        "region",
        &mut lines,
        diff_region,
    );
    diff_by_name(
        &old.services,
        &new.services,
        |s| s.name.as_str(),
        "service",
        &mut lines,
        diff_service,
    );
    lines
}

/// Checks that `new` may replace `old`.
///
/// Hosts switch to a new configuration at different times. A setting that determines which cell and
/// partition a key belongs to must not change, because a key could have two owners until all hosts
/// have switched.
pub fn check_change(old: &Config, new: &Config) -> Result<(), ConfigError> {
    let mut cx = ValidationContext::default();
    for service in &new.services {
        if let Some(previous) = old.service(service.name.as_str()) {
            cx.in_field("services", |cx| {
                cx.in_field(service.name.as_str(), |cx| check_key_mapping(cx, previous, service));
            });
        }
    }
    cx.finish(Some(()), |_| None)
}

fn check_key_mapping(cx: &mut ValidationContext, old: &Service, new: &Service) {
    require_unchanged(
        cx,
        "key",
        describe_key_source(&old.key_source),
        describe_key_source(&new.key_source),
    );
    require_unchanged(cx, "partitions", old.partitions, new.partitions);
    let cells = |s: &Service| format!("{} ({} cells)", s.backend_servers, s.cell_count());
    if old.cell_count() != new.cell_count() {
        require_unchanged(cx, "backend-servers", cells(old), cells(new));
    }
}

fn require_unchanged<T: PartialEq + Display>(
    cx: &mut ValidationContext,
    field: &str,
    old: T,
    new: T,
) {
    if old == new {
        return;
    }
    let expected = format!("{old} as before, or a service with another name");
    cx.in_field(field, |cx| cx.error(new.to_string(), expected));
}

/// Compares two lists of named entries. `diff_entry` compares entries that are in both lists.
fn diff_by_name<T>(
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

pub(crate) fn diff_region(old: &Region, new: &Region) -> Vec<String> {
    let zones = |r: &Region| {
        let names: Vec<&str> = r.zones.iter().map(|z| z.as_str()).collect();
        names.join(", ")
    };
    diff_setting("zones", zones(old), zones(new)).into_iter().map(|(_, change)| change).collect()
}

fn diff_service(old: &Service, new: &Service) -> Vec<String> {
    let mut lines: Vec<String> =
        diff_settings(old, new).into_iter().map(|(_, change)| change).collect();
    diff_rules(&old.rules, &new.rules, &mut lines);
    lines
}

/// Returns the changed settings of a service except its rules, each with its field.
pub(crate) fn diff_settings(old: &Service, new: &Service) -> Vec<(&'static str, String)> {
    let settings = [
        diff_setting(
            "key",
            describe_key_source(&old.key_source),
            describe_key_source(&new.key_source),
        ),
        diff_setting("partitions", old.partitions, new.partitions),
        diff_setting("backend-servers", old.backend_servers, new.backend_servers),
        diff_setting("slots", old.slots, new.slots),
        diff_setting("connections", old.connections, new.connections),
        diff_setting("reserved-slots", old.reserved_slots, new.reserved_slots),
        diff_setting("max-body-bytes", old.max_body_bytes, new.max_body_bytes),
        diff_setting("record-retention-ms", old.record_retention, new.record_retention),
        diff_setting("drain-deadline-ms", old.drain_deadline, new.drain_deadline),
        diff_setting("unfenced-grace-ms", old.unfenced_grace, new.unfenced_grace),
        diff_setting("retry-percent", old.retry_percent, new.retry_percent),
    ];
    settings.into_iter().flatten().collect()
}

fn diff_setting<T: PartialEq + Display>(
    field: &'static str,
    old: T,
    new: T,
) -> Option<(&'static str, String)> {
    (old != new).then(|| (field, format!("{field} {old} -> {new}")))
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

/// Returns the methods and the path, which identify a rule within its service.
pub(crate) fn rule_name(rule: &Rule) -> String {
    let methods: Vec<&str> = rule.methods.iter().map(|m| m.name()).collect();
    let methods = if methods.is_empty() { "*".to_owned() } else { methods.join(",") };
    format!("{methods} {}", rule.path.0)
}

pub(crate) fn rule_settings(rule: &Rule) -> String {
    let retry_safety = match rule.retry_safety {
        RetrySafety::Idempotent => "repeatable",
        RetrySafety::AtMostOnce => "at most once",
    };
    format!("({retry_safety}, {}, {} ms)", priority_name(rule.priority), rule.time_limit)
}
