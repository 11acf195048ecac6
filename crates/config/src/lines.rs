//! Finds the line of a value in a YAML document by its path.
//!
//! The YAML library tells the line only of the value at which reading failed. So this reads the
//! document once more and fails on purpose at the value in question.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};

/// One step of a path in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// A field of a mapping.
    Field(String),
    /// An entry of a list, counted from 0.
    Index(usize),
}

/// Returns the path as text, such as `services[2].slots`.
pub(crate) fn path_text(steps: &[Step]) -> String {
    let mut text = String::new();
    for step in steps {
        match step {
            Step::Field(name) if text.is_empty() => text.push_str(name),
            Step::Field(name) => text.push_str(&format!(".{name}")),
            Step::Index(index) => text.push_str(&format!("[{index}]")),
        }
    }
    text
}

/// Returns the line of the value at `steps`, or of the nearest value around it, counted from 1.
pub(crate) fn line_of(text: &str, steps: &[Step]) -> Option<usize> {
    let deserializer = serde_yaml_ng::Deserializer::from_str(text);
    let error = Probe { steps }.deserialize(deserializer).err()?;
    error.location().map(|l| l.line())
}

/// Reads one value and fails at the value at `steps`.
#[derive(Clone, Copy)]
struct Probe<'a> {
    steps: &'a [Step],
}

impl<'de> DeserializeSeed<'de> for Probe<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        match self.steps.first() {
            Some(Step::Field(_)) => deserializer.deserialize_map(self),
            Some(Step::Index(_)) => deserializer.deserialize_seq(self),
            None => deserializer.deserialize_any(Refuse),
        }
    }
}

impl<'de> Visitor<'de> for Probe<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value on the way to another")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let Some((Step::Field(name), rest)) = self.steps.split_first() else {
            return Err(A::Error::custom("no field is sought here"));
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
        let Some((Step::Index(index), rest)) = self.steps.split_first() else {
            return Err(A::Error::custom("no entry is sought here"));
        };
        for _ in 0..*index {
            seq.next_element::<IgnoredAny>()?;
        }
        seq.next_element_seed(Probe { steps: rest })?;
        Err(A::Error::custom("the entry is absent"))
    }
}

/// Accepts no value, so that reading fails at the value that is read with it.
struct Refuse;

impl Visitor<'_> for Refuse {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("nothing")
    }
}
