//! The YAML form of a configuration.
//!
//! A field of the wrong type does not stop deserialization: it is kept as [`DocValue::WrongType`],
//! so that `papayarill check` reports all errors at once. Unknown fields are kept for the same
//! reason, and are errors.

use std::collections::BTreeMap;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_yaml_ng::Value;

use crate::check::{ValidationContext, check_config};
use crate::limits::MAX_DOCUMENT_BYTES;
use crate::lines::{format_path, line_of};
use crate::nesting::{MAX_OPEN_BRACKETS, line_of_excessive_nesting};
use crate::{Config, ConfigError, ValidationError};

/// The maximum length of an invalid value in an error message, in characters.
const MAX_QUOTED_CHARS: usize = 60;

/// One value of a document.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) enum DocValue<T> {
    /// Absent from the document, or null.
    #[default]
    Absent,
    /// A value of the expected type.
    Present(T),
    /// A value of another type, described by the text.
    WrongType(String),
}

impl<T> DocValue<T> {
    pub(crate) fn is_absent(&self) -> bool {
        matches!(self, Self::Absent)
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for DocValue<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = Value::deserialize(deserializer)?;
        if value.is_null() {
            return Ok(Self::Absent);
        }
        let description = describe(&value);
        Ok(T::deserialize(value).map_or(Self::WrongType(description), Self::Present))
    }
}

impl<T: Serialize> Serialize for DocValue<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::Present(value) => value.serialize(serializer),
            Self::Absent | Self::WrongType(_) => serializer.serialize_none(),
        }
    }
}

/// Returns a short description of a value for error messages.
fn describe(value: &Value) -> String {
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

/// Returns the text in quotes, truncated if it is long.
pub(crate) fn quote(text: &str) -> String {
    let cut: String = text.chars().take(MAX_QUOTED_CHARS).collect();
    let rest = if cut.len() < text.len() { "..." } else { "" };
    format!("{cut:?}{rest}")
}

/// Fields of the document that its type does not define.
pub(crate) type UnknownFields = BTreeMap<String, Value>;

/// The whole document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub(crate) struct ConfigDoc {
    pub(crate) regions: DocValue<Vec<DocValue<RegionDoc>>>,
    pub(crate) services: DocValue<Vec<DocValue<ServiceDoc>>>,
    #[serde(flatten)]
    pub(crate) unknown: UnknownFields,
}

/// A region.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub(crate) struct RegionDoc {
    pub(crate) name: DocValue<String>,
    pub(crate) zones: DocValue<Vec<DocValue<String>>>,
    #[serde(flatten)]
    pub(crate) unknown: UnknownFields,
}

/// Where the key of a request is read from; exactly one field is set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub(crate) struct KeyDoc {
    #[serde(skip_serializing_if = "DocValue::is_absent")]
    pub(crate) header: DocValue<String>,
    #[serde(skip_serializing_if = "DocValue::is_absent")]
    pub(crate) path_segment: DocValue<u64>,
    #[serde(skip_serializing_if = "DocValue::is_absent")]
    pub(crate) query: DocValue<String>,
    #[serde(flatten)]
    pub(crate) unknown: UnknownFields,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub(crate) struct ServiceDoc {
    pub(crate) name: DocValue<String>,
    #[serde(skip_serializing_if = "DocValue::is_absent")]
    pub(crate) key: DocValue<KeyDoc>,
    #[serde(skip_serializing_if = "DocValue::is_absent")]
    pub(crate) partitions: DocValue<u64>,
    pub(crate) backend_servers: DocValue<u64>,
    pub(crate) slots: DocValue<u64>,
    pub(crate) connections: DocValue<u64>,
    #[serde(skip_serializing_if = "DocValue::is_absent")]
    pub(crate) reserved_slots: DocValue<u64>,
    #[serde(skip_serializing_if = "DocValue::is_absent")]
    pub(crate) max_body_bytes: DocValue<u64>,
    #[serde(skip_serializing_if = "DocValue::is_absent")]
    pub(crate) record_retention_ms: DocValue<u64>,
    #[serde(skip_serializing_if = "DocValue::is_absent")]
    pub(crate) drain_deadline_ms: DocValue<u64>,
    #[serde(skip_serializing_if = "DocValue::is_absent")]
    pub(crate) unfenced_grace_ms: DocValue<u64>,
    #[serde(skip_serializing_if = "DocValue::is_absent")]
    pub(crate) retry_percent: DocValue<u64>,
    #[serde(skip_serializing_if = "DocValue::is_absent")]
    pub(crate) rules: DocValue<Vec<DocValue<RuleDoc>>>,
    #[serde(flatten)]
    pub(crate) unknown: UnknownFields,
}

/// A rule.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub(crate) struct RuleDoc {
    #[serde(skip_serializing_if = "DocValue::is_absent")]
    pub(crate) methods: DocValue<Vec<DocValue<String>>>,
    pub(crate) path: DocValue<String>,
    #[serde(skip_serializing_if = "DocValue::is_absent")]
    pub(crate) repeatable: DocValue<bool>,
    #[serde(skip_serializing_if = "DocValue::is_absent")]
    pub(crate) priority: DocValue<String>,
    #[serde(skip_serializing_if = "DocValue::is_absent")]
    pub(crate) time_limit_ms: DocValue<u64>,
    #[serde(flatten)]
    pub(crate) unknown: UnknownFields,
}

/// Parses a YAML document and validates it.
///
/// The error lists all invalid values with their lines and paths. A text that is not valid YAML, or
/// not a mapping, is reported with the first error only.
pub fn parse(text: &str) -> Result<Config, ConfigError> {
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(single_error(
            None,
            format!("a document of {} bytes", text.len()),
            format!("at most {MAX_DOCUMENT_BYTES} bytes"),
        ));
    }
    if let Some(line) = line_of_excessive_nesting(text) {
        let expected = format!("at most {MAX_OPEN_BRACKETS} open at once");
        return Err(single_error(Some(line), "too many nested brackets".to_owned(), expected));
    }
    let doc: ConfigDoc = serde_yaml_ng::from_str(text).map_err(|e| syntax_error(&e))?;
    let mut cx = ValidationContext::default();
    let config = check_config(&mut cx, &doc);
    cx.finish(config, |steps| line_of(text, steps))
}

/// Serializes a configuration as a document that [`parse`] reads back unchanged.
pub fn to_yaml(config: &Config) -> String {
    let doc = ConfigDoc::from(config);
    // Serialization cannot fail: these types hold only strings, numbers, booleans, lists and fields.
    serde_yaml_ng::to_string(&doc).unwrap_or_default()
}

fn syntax_error(error: &serde_yaml_ng::Error) -> ConfigError {
    let line = error.location().map(|l| l.line());
    single_error(line, error.to_string(), "a YAML mapping".to_owned())
}

fn single_error(line: Option<usize>, found: String, expected: String) -> ConfigError {
    ConfigError { errors: vec![ValidationError { line, path: format_path(&[]), found, expected }] }
}
