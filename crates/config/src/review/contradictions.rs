//! Settings that are valid on their own but make each other ineffective.

use super::{Report, Severity};
use crate::{Method, RetrySafety, Rule, Service};

pub(super) fn review_service(report: &mut Report<'_>, service: &Service) {
    review_retries(report, service);
    review_time_limits(report, service);
    review_bodies(report, service);
}

fn review_retries(report: &mut Report<'_>, service: &Service) {
    if !service.rules.iter().any(|r| r.retry_safety == RetrySafety::Idempotent) {
        return;
    }
    if service.retry_percent == 0 {
        let text = "a retry budget of 0, but rules are repeatable: no request is sent again";
        report.service_field(Severity::Warning, service, "retry-percent", text);
    }
    if service.backend_servers == 1 {
        let text = "1 backend server, but rules are repeatable: there is no other one to try";
        report.service_field(Severity::Warning, service, "backend-servers", text);
    }
}

fn review_time_limits(report: &mut Report<'_>, service: &Service) {
    for (index, rule) in service.rules.iter().enumerate() {
        let limit = rule.time_limit;
        let at_most_once = rule.retry_safety == RetrySafety::AtMostOnce;
        if at_most_once && service.record_retention < limit {
            let kept = service.record_retention;
            let text = format!(
                "a time limit of {limit} ms, but records that prevent a second run are kept for \
                 {kept} ms"
            );
            report.rule(Severity::Warning, service, index, text);
        }
        if service.drain_deadline < limit {
            let deadline = service.drain_deadline;
            let text = format!(
                "a time limit of {limit} ms, but a leaving host ends its requests after \
                 {deadline} ms"
            );
            report.rule(Severity::Warning, service, index, text);
        }
    }
}

fn review_bodies(report: &mut Report<'_>, service: &Service) {
    let has_body = |m: &Method| matches!(m, Method::Post | Method::Put | Method::Patch);
    let needs_body = |r: &Rule| !r.methods.is_empty() && r.methods.iter().all(has_body);
    if service.max_body_bytes == 0 && service.rules.iter().any(needs_body) {
        let text = "a body limit of 0, but rules are for methods whose requests have bodies";
        report.service_field(Severity::Warning, service, "max-body-bytes", text);
    }
}
