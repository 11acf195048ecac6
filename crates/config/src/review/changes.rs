//! Differences from another version of a configuration.

use model::Millis;

use super::unreachable::shadowing;
use super::{Report, Severity};
use crate::diff::{check_change, diff_region, diff_settings, rule_name, rule_settings};
use crate::lines::PathStep;
use crate::{Config, Region, RetrySafety, Rule, Service};

/// The time limit of requests that no rule matches.
const DEFAULT_TIME_LIMIT: Millis = Millis(10_000);

/// Reports each difference. Those that callers notice are warnings, and those that must not be
/// applied are errors.
pub(super) fn review_changes(report: &mut Report<'_>, old: &Config, new: &Config) {
    review_regions(report, &old.regions, &new.regions);
    for service in &old.services {
        match new.service(service.name.as_str()) {
            Some(after) => review_service(report, service, after),
            None => {
                let path = report.service_path(service);
                let text = format!("service {} removed: its callers get 404", service.name);
                report.push(Severity::Warning, path, text);
            }
        }
    }
    for service in new.services.iter().filter(|s| old.service(s.name.as_str()).is_none()) {
        let path = report.service_path(service);
        report.push(Severity::Note, path, format!("service {} added", service.name));
    }
    review_rejected(report, old, new);
}

/// Reports the changes that `papayarill apply` rejects.
fn review_rejected(report: &mut Report<'_>, old: &Config, new: &Config) {
    let Err(rejected) = check_change(old, new) else { return };
    for error in rejected.errors {
        let text = format!("found {}, expected {}", error.found, error.expected);
        // The paths of these errors have the name of the service in place of its index.
        let mut steps = error.path.split('.').skip(1);
        let service = steps.next().and_then(|name| new.service(name));
        match (service, steps.next()) {
            (Some(service), Some(field)) => {
                report.service_field(Severity::Error, service, field, text);
            }
            _ => report.push(Severity::Error, Vec::new(), text),
        }
    }
}

fn review_regions(report: &mut Report<'_>, old: &[Region], new: &[Region]) {
    let mut note = |region: &Region, change: &str| {
        let path = vec![PathStep::Field("regions".into())];
        report.push(Severity::Note, path, format!("region {} {change}", region.name));
    };
    for region in old {
        match new.iter().find(|r| r.name == region.name) {
            None => note(region, "removed"),
            Some(after) => diff_region(region, after).iter().for_each(|c| note(region, c)),
        }
    }
    let added = new.iter().filter(|r| !old.iter().any(|o| o.name == r.name));
    added.for_each(|region| note(region, "added"));
}

fn review_service(report: &mut Report<'_>, old: &Service, new: &Service) {
    for (field, change) in diff_settings(old, new) {
        if field == "max-body-bytes" && new.max_body_bytes < old.max_body_bytes {
            let text = format!("{change}: callers with longer bodies get 413");
            report.service_field(Severity::Warning, new, field, text);
        } else {
            report.service_field(Severity::Note, new, field, change);
        }
    }
    let (old_names, new_names) = (names(&old.rules), names(&new.rules));
    for (rule, name) in old.rules.iter().zip(&old_names) {
        match new_names.iter().position(|n| n == name) {
            Some(index) => review_rule(report, new, index, rule),
            None => {
                let text = format!("rule {name} removed: its requests match a later rule or none");
                report.service_field(Severity::Warning, new, "rules", text);
            }
        }
    }
    for (index, name) in new_names.iter().enumerate().filter(|(_, n)| !old_names.contains(n)) {
        review_added_rule(report, old, new, index, name);
    }
    review_order(report, new, &old_names, &new_names);
}

fn names(rules: &[Rule]) -> Vec<String> {
    rules.iter().map(rule_name).collect()
}

fn review_rule(report: &mut Report<'_>, service: &Service, index: usize, old: &Rule) {
    let new = &service.rules[index];
    if new == old {
        return;
    }
    let change = format!("{} -> {}", rule_settings(old), rule_settings(new));
    let consequence = match (old.retry_safety, new.retry_safety) {
        (RetrySafety::AtMostOnce, RetrySafety::Idempotent) => "its requests may run more than once",
        (RetrySafety::Idempotent, RetrySafety::AtMostOnce) => "its requests need a request id",
        _ if new.time_limit < old.time_limit => "callers get 504 earlier",
        _ => {
            report.rule(Severity::Note, service, index, change);
            return;
        }
    };
    report.rule(Severity::Warning, service, index, format!("{change}: {consequence}"));
}

/// Reports a rule that the other version doesn't have. Its requests matched an earlier version's
/// broader rule or none.
fn review_added_rule(
    report: &mut Report<'_>,
    old: &Service,
    new: &Service,
    index: usize,
    name: &str,
) {
    let rule = &new.rules[index];
    let repeatable: Vec<Rule> = old.rules.iter().filter(|r| is_repeatable(r)).cloned().collect();
    let loosened = is_repeatable(rule) && shadowing(&repeatable, rule).is_none();
    let (severity, text) = if loosened {
        let text = format!("rule {name} added: its requests may run more than once");
        (Severity::Warning, text)
    } else if rule.time_limit < DEFAULT_TIME_LIMIT {
        let text = format!("rule {name} added: callers get 504 after {} ms", rule.time_limit);
        (Severity::Note, text)
    } else {
        (Severity::Note, format!("rule {name} added"))
    };
    report.rule(severity, new, index, text);
}

fn is_repeatable(rule: &Rule) -> bool {
    rule.retry_safety == RetrySafety::Idempotent
}

/// Reports rules that are in another order than in the other version: a request that several of
/// them match is handled differently.
fn review_order(report: &mut Report<'_>, new: &Service, old_names: &[String], names: &[String]) {
    let before = old_names.iter().filter(|n| names.contains(n));
    if before.eq(names.iter().filter(|n| old_names.contains(n))) {
        return;
    }
    let mixed = new.rules.iter().any(is_repeatable) && !new.rules.iter().all(is_repeatable);
    let severity = if mixed { Severity::Warning } else { Severity::Note };
    report.service_field(severity, new, "rules", "rules in another order");
}
