//! Finds the line number of a value in a YAML document by its path.
//!
//! The YAML library reports a line number only for the value at which deserialization fails. This
//! module therefore deserializes the document again and fails on purpose at the value in question.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};

/// One step of a path in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PathStep {
    /// A field of a mapping.
    Field(String),
    /// An entry of a list, counted from 0.
    Index(usize),
}

/// Returns the path as text, such as `services[2].slots`.
pub(crate) fn format_path(steps: &[PathStep]) -> String {
    let mut text = String::new();
    for step in steps {
        match step {
            PathStep::Field(name) if text.is_empty() => text.push_str(name),
            PathStep::Field(name) => text.push_str(&format!(".{name}")),
            PathStep::Index(index) => text.push_str(&format!("[{index}]")),
        }
    }
    text
}

/// Returns the line of the value at `steps`, or of the innermost value that encloses it if it is
/// absent, counted from 1.
pub(crate) fn line_of(text: &str, steps: &[PathStep]) -> Option<usize> {
    let deserializer = serde_yaml_ng::Deserializer::from_str(text);
    let error = Probe { steps }.deserialize(deserializer).err()?;
    error.location().map(|l| l.line())
}

/// Follows `steps` into a value and fails at the value that they lead to.
#[derive(Clone, Copy)]
struct Probe<'a> {
    steps: &'a [PathStep],
}

impl<'de> DeserializeSeed<'de> for Probe<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        match self.steps.first() {
            Some(PathStep::Field(_)) => deserializer.deserialize_map(self),
            Some(PathStep::Index(_)) => deserializer.deserialize_seq(self),
            None => deserializer.deserialize_any(RejectAny),
        }
    }
}

impl<'de> Visitor<'de> for Probe<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a mapping or list on the path to the value")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let Some((PathStep::Field(name), rest)) = self.steps.split_first() else {
            return Err(A::Error::custom("the path does not continue with a field"));
        };
        while let Some(key) = map.next_key::<String>()? {
            if key == *name {
                return map.next_value_seed(Probe { steps: rest });
            }
            map.next_value::<IgnoredAny>()?;
        }
        Err(A::Error::custom("the field is absent"))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        let Some((PathStep::Index(index), rest)) = self.steps.split_first() else {
            return Err(A::Error::custom("the path does not continue with a list entry"));
        };
        for _ in 0..*index {
            seq.next_element::<IgnoredAny>()?;
        }
        seq.next_element_seed(Probe { steps: rest })?;
        Err(A::Error::custom("the entry is absent"))
    }
}

/// A visitor that accepts no value, so that deserialization fails at the value it is used for.
struct RejectAny;

impl Visitor<'_> for RejectAny {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("nothing")
    }
}
