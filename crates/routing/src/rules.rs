//! Matches requests to rules, extracts their keys and computes their digests.

use std::sync::Arc;

use model::{Millis, Priority, derive_common};
use papayarill_config::{KeySource, Method, PathPattern, RetrySafety, Rule, Service};
use snafu::{OptionExt, Snafu, ensure};
use xxhash_rust::xxh3::Xxh3;

use crate::target::{Target, percent_decode};

pub use crate::target::partition_of_id;

/// The maximum length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 512;

/// The time limit of a request that no rule matches.
pub const DEFAULT_TIME_LIMIT: Millis = Millis(10_000);

/// The partitioning key of a request, which determines the backend server that owns it.
pub type Key = Arc<str>;

derive_common! {
    value
    /// How a request is handled, according to the rule that it matches.
    pub struct RequestPolicy {
        /// The index of the rule in the service's list; `None` if no rule matched.
        pub index: Option<u32>,
        /// Whether the request is idempotent.
        pub repeat: RetrySafety,
        /// The priority class.
        pub priority: Priority,
        /// How long the request may take in total, including retries.
        pub time_limit: Millis,
    }
}

/// Why no key could be extracted.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// The request carries no key.
    #[snafu(display("expected the key in {place}, found none"))]
    Missing {
        /// Where the service's key is read from.
        place: String,
    },
    /// The key is given more than once.
    #[snafu(display("expected one key in {place}, found several"))]
    Repeated {
        /// Where the service's key is read from.
        place: String,
    },
    /// The key is not UTF-8, is wrongly encoded or contains control characters.
    #[snafu(display("expected UTF-8 text without control characters in {place}"))]
    Malformed {
        /// Where the service's key is read from.
        place: String,
    },
    /// The key is too long.
    #[snafu(display("found a key of {found} bytes, expected at most {MAX_KEY_BYTES}"))]
    TooLong {
        /// Length of the key in bytes.
        found: usize,
    },
}

/// Returns the method with this name, or `None` if rules do not support it.
pub fn parse_method(name: &str) -> Option<Method> {
    match name {
        "GET" => Some(Method::Get),
        "HEAD" => Some(Method::Head),
        "POST" => Some(Method::Post),
        "PUT" => Some(Method::Put),
        "PATCH" => Some(Method::Patch),
        "DELETE" => Some(Method::Delete),
        _ => None,
    }
}

/// Returns the policy of a request, which comes from the first rule that matches.
///
/// A path that servers may interpret differently matches no rule, so the request runs at most once.
pub fn match_rule(service: &Service, method: Method, target: &str) -> RequestPolicy {
    let Some(segments) = Target::new(target).segments() else {
        return default_policy();
    };
    let position = service.rules.iter().position(|r| rule_matches(r, method, &segments));
    match position {
        Some(index) => rule_policy(index, &service.rules[index]),
        None => default_policy(),
    }
}

/// Returns the policy of a request that no rule matches.
pub fn default_policy() -> RequestPolicy {
    RequestPolicy {
        index: None,
        repeat: RetrySafety::AtMostOnce,
        priority: Priority::Interactive,
        time_limit: DEFAULT_TIME_LIMIT,
    }
}

fn rule_policy(index: usize, rule: &Rule) -> RequestPolicy {
    RequestPolicy {
        index: u32::try_from(index).ok(),
        repeat: rule.retry_safety,
        priority: rule.priority,
        time_limit: rule.time_limit,
    }
}

fn rule_matches(rule: &Rule, method: Method, segments: &[String]) -> bool {
    let method_matches = rule.methods.is_empty() || rule.methods.contains(&method);
    method_matches && path_matches(&rule.path, segments)
}

/// Returns whether path segments match a pattern such as `/orders/*/lines` or `/files/**`.
pub fn path_matches(pattern: &PathPattern, segments: &[String]) -> bool {
    let text = pattern.0.strip_prefix('/').unwrap_or(&pattern.0);
    let mut rest = segments.iter();
    for part in text.split('/').filter(|_| !text.is_empty()) {
        if part == "**" {
            return true;
        }
        let Some(segment) = rest.next() else {
            return false;
        };
        let matches = if part == "*" { !segment.is_empty() } else { part == segment };
        if !matches {
            return false;
        }
    }
    rest.next().is_none()
}

/// Extracts the key of a request, or returns `None` if the service is not partitioned by key.
///
/// `header` looks up the value of a header by its name in lower case.
pub fn read_key<'a>(
    service: &Service,
    target: &'a str,
    header: impl Fn(&str) -> Option<&'a [u8]>,
) -> Result<Option<Key>, KeyError> {
    let target = Target::new(target);
    let place = || describe_source(&service.key_source);
    let text = match &service.key_source {
        KeySource::None => return Ok(None),
        KeySource::Header(name) => header(name).map(header_text),
        KeySource::PathSegment(index) => key_from_path(&target, *index, &place)?,
        KeySource::Query(name) => key_from_query(&target, name, &place)?,
    };
    let text = text.context(MissingSnafu { place: place() })?;
    let text = text.context(MalformedSnafu { place: place() })?;
    validate_key(text, &place).map(Some)
}

fn describe_source(source: &KeySource) -> String {
    match source {
        KeySource::None => "nothing".to_owned(),
        KeySource::Header(name) => format!("header '{name}'"),
        KeySource::PathSegment(index) => format!("path segment {index} behind the service name"),
        KeySource::Query(name) => format!("query parameter '{name}'"),
    }
}

fn header_text(value: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(value).ok()?;
    Some(text.trim().to_owned())
}

/// A raw key. The outer option is `None` if the key is absent, the inner one if it cannot be
/// decoded.
type DecodedValue = Option<Option<String>>;

fn key_from_path(
    target: &Target<'_>,
    index: u32,
    place: &dyn Fn() -> String,
) -> Result<DecodedValue, KeyError> {
    let segments = target.segments().context(MalformedSnafu { place: place() })?;
    let index = usize::try_from(index).unwrap_or(usize::MAX);
    Ok(segments.into_iter().nth(index).map(Some))
}

fn key_from_query(
    target: &Target<'_>,
    name: &str,
    place: &dyn Fn() -> String,
) -> Result<DecodedValue, KeyError> {
    let pairs = target.query.split('&').map(|p| p.split_once('=').unwrap_or((p, "")));
    let mut values = pairs.filter(|(n, _)| form_decode(n).as_deref() == Some(name));
    let value = values.next().map(|(_, v)| form_decode(v));
    ensure!(values.next().is_none(), RepeatedSnafu { place: place() });
    Ok(value)
}

fn form_decode(raw: &str) -> Option<String> {
    percent_decode(&raw.replace('+', " "))
}

fn validate_key(text: String, place: &dyn Fn() -> String) -> Result<Key, KeyError> {
    ensure!(!text.is_empty(), MissingSnafu { place: place() });
    ensure!(text.len() <= MAX_KEY_BYTES, TooLongSnafu { found: text.len() });
    ensure!(!text.contains(char::is_control), MalformedSnafu { place: place() });
    Ok(text.into())
}

/// Returns a digest of everything that identifies a request.
///
/// It detects that a request id is reused for another request by mistake. It does not protect
/// against a caller that searches for collisions.
pub fn digest(method: &str, target: &str, key: Option<&str>, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    let parts = [method.as_bytes(), target.as_bytes(), key.unwrap_or("").as_bytes(), body];
    for part in parts {
        // Without the length, requests whose parts concatenate to the same bytes would collide.
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
