//! The YAML form of a configuration.
//!
//! A field that cannot be read does not end the reading: it is kept as [`Part::Bad`], so that
//! `check` reports everything that is wrong at once. Unknown fields are kept for the same reason,
//! and are errors.

use std::collections::BTreeMap;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_yaml_ng::Value;

use crate::check::{Cx, check_config};
use crate::limits::MAX_DOCUMENT_BYTES;
use crate::lines::{line_of, path_text};
use crate::{Config, ConfigError, ValidationError};

/// The longest text of a wrong value that is shown, in characters.
const MAX_FOUND_CHARS: usize = 60;

/// One value of a document.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) enum Part<T> {
    /// Left out, or empty.
    #[default]
    Absent,
    /// Of the right type.
    Good(T),
    /// Of another type; the text shows what was found.
    Bad(String),
}

impl<T> Part<T> {
    pub(crate) fn is_absent(&self) -> bool {
        matches!(self, Self::Absent)
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Part<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = Value::deserialize(deserializer)?;
        if value.is_null() {
            return Ok(Self::Absent);
        }
        let shown = show(&value);
        Ok(T::deserialize(value).map_or(Self::Bad(shown), Self::Good))
    }
}

impl<T: Serialize> Serialize for Part<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::Good(value) => value.serialize(serializer),
            Self::Absent | Self::Bad(_) => serializer.serialize_none(),
        }
    }
}

/// Returns a short text that shows a value.
fn show(value: &Value) -> String {
    match value {
        Value::Null => "nothing".to_owned(),
        Value::Bool(value) => format!("`{value}`"),
        Value::Number(value) => format!("`{value}`"),
        Value::String(text) => quote(text),
        Value::Sequence(list) => format!("a list of {} entries", list.len()),
        Value::Mapping(map) => format!("a mapping of {} fields", map.len()),
        Value::Tagged(tagged) => format!("a value with the tag {}", quote(&tagged.tag.to_string())),
    }
}

/// Returns a text in quotes, cut if it is long.
pub(crate) fn quote(text: &str) -> String {
    let cut: String = text.chars().take(MAX_FOUND_CHARS).collect();
    let rest = if cut.len() < text.len() { "..." } else { "" };
    format!("{cut:?}{rest}")
}

/// Fields that the document has and its type has not.
pub(crate) type Unknown = BTreeMap<String, Value>;

/// The whole document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub(crate) struct ConfigDoc {
    pub(crate) regions: Part<Vec<Part<RegionDoc>>>,
    pub(crate) services: Part<Vec<Part<ServiceDoc>>>,
    #[serde(flatten)]
    pub(crate) unknown: Unknown,
}

/// A region.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub(crate) struct RegionDoc {
    pub(crate) name: Part<String>,
    pub(crate) zones: Part<Vec<Part<String>>>,
    #[serde(flatten)]
    pub(crate) unknown: Unknown,
}

/// Where the key of a request is; exactly one field is set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub(crate) struct KeyDoc {
    #[serde(skip_serializing_if = "Part::is_absent")]
    pub(crate) header: Part<String>,
    #[serde(skip_serializing_if = "Part::is_absent")]
    pub(crate) path_segment: Part<u64>,
    #[serde(skip_serializing_if = "Part::is_absent")]
    pub(crate) query: Part<String>,
    #[serde(flatten)]
    pub(crate) unknown: Unknown,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub(crate) struct ServiceDoc {
    pub(crate) name: Part<String>,
    #[serde(skip_serializing_if = "Part::is_absent")]
    pub(crate) key: Part<KeyDoc>,
    #[serde(skip_serializing_if = "Part::is_absent")]
    pub(crate) partitions: Part<u64>,
    pub(crate) backend_servers: Part<u64>,
    pub(crate) slots: Part<u64>,
    pub(crate) connections: Part<u64>,
    #[serde(skip_serializing_if = "Part::is_absent")]
    pub(crate) reserved_slots: Part<u64>,
    #[serde(skip_serializing_if = "Part::is_absent")]
    pub(crate) max_body_bytes: Part<u64>,
    #[serde(skip_serializing_if = "Part::is_absent")]
    pub(crate) record_retention_ms: Part<u64>,
    #[serde(skip_serializing_if = "Part::is_absent")]
    pub(crate) drain_deadline_ms: Part<u64>,
    #[serde(skip_serializing_if = "Part::is_absent")]
    pub(crate) unfenced_grace_ms: Part<u64>,
    #[serde(skip_serializing_if = "Part::is_absent")]
    pub(crate) retry_percent: Part<u64>,
    #[serde(skip_serializing_if = "Part::is_absent")]
    pub(crate) rules: Part<Vec<Part<RuleDoc>>>,
    #[serde(flatten)]
    pub(crate) unknown: Unknown,
}

/// A rule.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub(crate) struct RuleDoc {
    #[serde(skip_serializing_if = "Part::is_absent")]
    pub(crate) methods: Part<Vec<Part<String>>>,
    pub(crate) path: Part<String>,
    #[serde(skip_serializing_if = "Part::is_absent")]
    pub(crate) repeatable: Part<bool>,
    #[serde(skip_serializing_if = "Part::is_absent")]
    pub(crate) priority: Part<String>,
    #[serde(skip_serializing_if = "Part::is_absent")]
    pub(crate) time_limit_ms: Part<u64>,
    #[serde(flatten)]
    pub(crate) unknown: Unknown,
}

/// Reads a YAML document and checks all of it.
///
/// The error holds everything that is wrong, with line and path; only a text that is no YAML at
/// all, or no mapping, ends with the first fault.
pub fn parse(text: &str) -> Result<Config, ConfigError> {
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(single_fault(
            None,
            format!("a document of {} bytes", text.len()),
            format!("at most {MAX_DOCUMENT_BYTES} bytes"),
        ));
    }
    let doc: ConfigDoc = serde_yaml_ng::from_str(text).map_err(|e| syntax_error(&e))?;
    let mut cx = Cx::default();
    let config = check_config(&mut cx, &doc);
    cx.finish(config, |steps| line_of(text, steps))
}

/// Prints a configuration as a document that [`parse`] reads back unchanged.
pub fn to_yaml(config: &Config) -> String {
    let doc = ConfigDoc::from(config);
    // These types hold nothing that YAML cannot express: text, numbers, lists and fields.
    serde_yaml_ng::to_string(&doc).unwrap_or_default()
}

fn syntax_error(error: &serde_yaml_ng::Error) -> ConfigError {
    let line = error.location().map(|l| l.line());
    single_fault(line, error.to_string(), "a YAML mapping".to_owned())
}

fn single_fault(line: Option<usize>, found: String, expected: String) -> ConfigError {
    ConfigError { errors: vec![ValidationError { line, path: path_text(&[]), found, expected }] }
}
