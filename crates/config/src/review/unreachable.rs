//! Rules that no request can match.

use super::{Report, Severity};
use crate::{KeySource, Method, PathPattern, Rule, Service};

pub(super) fn review_service(report: &mut Report<'_>, service: &Service) {
    for (index, rule) in service.rules.iter().enumerate() {
        let text = shadowing(&service.rules[..index], rule)
            .or_else(|| impossible_segment(&rule.path))
            .or_else(|| missing_key(&service.key_source, &rule.path));
        if let Some(text) = text {
            report.rule(Severity::Warning, service, index, format!("never applies: {text}"));
        }
    }
}

/// Returns that earlier rules match each request that this rule matches, and which ones.
pub(super) fn shadowing(earlier: &[Rule], rule: &Rule) -> Option<String> {
    let methods: &[Method] = if rule.methods.is_empty() { &Method::ALL } else { &rule.methods };
    let mut shadows = Vec::new();
    for method in methods {
        let covers = |r: &Rule| matches_method(r, *method) && covers_path(&r.path, &rule.path);
        shadows.push(earlier.iter().position(covers)?);
    }
    shadows.sort_unstable();
    shadows.dedup();
    let names: Vec<String> = shadows.iter().map(|index| format!("rules[{index}]")).collect();
    Some(format!("its requests match {} first", names.join(" or ")))
}

fn matches_method(rule: &Rule, method: Method) -> bool {
    rule.methods.is_empty() || rule.methods.contains(&method)
}

fn segments(path: &PathPattern) -> impl Iterator<Item = &str> {
    let text = path.0.strip_prefix('/').unwrap_or(&path.0);
    text.split('/').filter(|_| !text.is_empty())
}

/// Returns whether each path that `specific` matches is matched by `general` too.
fn covers_path(general: &PathPattern, specific: &PathPattern) -> bool {
    let mut specific = segments(specific);
    for part in segments(general) {
        if part == "**" {
            return true;
        }
        let covered = match specific.next() {
            None | Some("**") => false,
            Some(segment) if part == "*" => !segment.is_empty(),
            Some(segment) => part == segment,
        };
        if !covered {
            return false;
        }
    }
    specific.next().is_none()
}

/// Returns why a segment matches no request: paths are compared decoded, and a path with a dot
/// segment or a backslash matches no rule.
fn impossible_segment(path: &PathPattern) -> Option<String> {
    let found = segments(path).find(|s| matches!(*s, "." | "..") || s.contains('\\'));
    if let Some(segment) = found {
        return Some(format!("no rule matches paths with the segment {segment:?}"));
    }
    let encoded = segments(path).find(|s| has_escape(s))?;
    Some(format!("paths are compared decoded, and {encoded:?} is encoded"))
}

fn has_escape(segment: &str) -> bool {
    let is_escape = |w: &[u8]| w[0] == b'%' && w[1..].iter().all(u8::is_ascii_hexdigit);
    segment.as_bytes().windows(3).any(is_escape)
}

/// Returns that the requests have no key, because their paths end before it. They are rejected.
fn missing_key(key_source: &KeySource, path: &PathPattern) -> Option<String> {
    let KeySource::PathSegment(index) = key_source else { return None };
    let index = usize::try_from(*index).unwrap_or(usize::MAX);
    let key_segment = segments(path).nth(index);
    let open_ended = segments(path).last() == Some("**");
    match key_segment {
        Some("") => {}
        None if !open_ended => {}
        _ => return None,
    }
    Some(format!("its paths end before segment {index}, which holds the key"))
}
