//! Tracks the current position in the document and collects validation errors.

use std::ops::RangeInclusive;

use model::NameError;

use crate::limits::{MAX_REPORTED_ERRORS, NumberSpec};
use crate::lines::{PathStep, format_path};
use crate::yaml::{DocValue, UnknownFields, quote};
use crate::{ConfigError, ValidationError};

/// The current position in the document and the errors found so far.
#[derive(Default)]
pub(crate) struct ValidationContext {
    steps: Vec<PathStep>,
    errors: Vec<(Vec<PathStep>, ValidationError)>,
}

/// Queries.
impl ValidationContext {
    /// Returns the validated value, or all errors with the line numbers that `line_of` returns.
    pub(crate) fn finish<T>(
        self,
        value: Option<T>,
        line_of: impl Fn(&[PathStep]) -> Option<usize>,
    ) -> Result<T, ConfigError> {
        match value {
            Some(value) if self.errors.is_empty() => Ok(value),
            _ => Err(ConfigError { errors: resolve_lines(self.errors, line_of) }),
        }
    }
}

fn resolve_lines(
    errors: Vec<(Vec<PathStep>, ValidationError)>,
    line_of: impl Fn(&[PathStep]) -> Option<usize>,
) -> Vec<ValidationError> {
    let located = errors.into_iter().take(MAX_REPORTED_ERRORS);
    let mut errors: Vec<ValidationError> =
        located.map(|(steps, error)| ValidationError { line: line_of(&steps), ..error }).collect();
    errors.sort_by_key(|e| e.line);
    errors
}

/// Commands: each validates one value and records an error at its path if it is invalid.
impl ValidationContext {
    /// Runs `check` with the path extended by `field`.
    pub(crate) fn in_field<T>(&mut self, field: &str, check: impl FnOnce(&mut Self) -> T) -> T {
        self.in_step(PathStep::Field(field.to_owned()), check)
    }

    /// Runs `check` with the path extended by one entry of the list in `field`.
    pub(crate) fn in_entry<T>(
        &mut self,
        field: &str,
        index: usize,
        check: impl FnOnce(&mut Self) -> T,
    ) -> T {
        self.in_field(field, |cx| cx.in_step(PathStep::Index(index), check))
    }

    fn in_step<T>(&mut self, step: PathStep, check: impl FnOnce(&mut Self) -> T) -> T {
        self.steps.push(step);
        let value = check(self);
        self.steps.pop();
        value
    }

    /// Records an error at the current path.
    pub(crate) fn error(&mut self, found: impl Into<String>, expected: impl Into<String>) {
        let path = format_path(&self.steps);
        let error =
            ValidationError { line: None, path, found: found.into(), expected: expected.into() };
        self.errors.push((self.steps.clone(), error));
    }

    /// Returns the value at the current path, or records an error if it is absent or has the wrong
    /// type.
    pub(crate) fn required<'a, T>(
        &mut self,
        raw: &'a DocValue<T>,
        expected: &str,
    ) -> Option<&'a T> {
        match raw {
            DocValue::Present(value) => return Some(value),
            DocValue::Absent => self.error("nothing", expected),
            DocValue::WrongType(found) => self.error(found.clone(), expected),
        }
        None
    }

    /// Returns the result of `parse`, or records an error at the current path.
    pub(crate) fn parse<T>(
        &mut self,
        text: &str,
        expected: &str,
        parse: impl Fn(&str) -> Result<T, NameError>,
    ) -> Option<T> {
        match parse(text) {
            Ok(value) => Some(value),
            Err(error) => {
                self.error(format!("{} ({error})", quote(text)), expected);
                None
            }
        }
    }

    /// Returns the validated name in a field.
    pub(crate) fn name<T>(
        &mut self,
        field: &str,
        raw: &DocValue<String>,
        parse: impl Fn(&str) -> Result<T, NameError>,
    ) -> Option<T> {
        const EXPECTED: &str = "a name of 1 to 64 characters of a-z, 0-9 and '-'";
        self.in_field(field, |cx| {
            let text = cx.required(raw, EXPECTED)?;
            cx.parse(text, EXPECTED, parse)
        })
    }

    /// Returns the number in a field, or its default if the field is absent.
    pub(crate) fn number(
        &mut self,
        field: &str,
        raw: &DocValue<u64>,
        spec: &NumberSpec,
    ) -> Option<u64> {
        let (min, max) = (spec.range.start(), spec.range.end());
        let expected = format!("a whole number from {min} to {max}");
        self.in_field(field, |cx| match (raw, spec.default) {
            (DocValue::Absent, Some(default)) => Some(default),
            _ => {
                let value = *cx.required(raw, &expected)?;
                if spec.range.contains(&value) {
                    return Some(value);
                }
                cx.error(format!("`{value}`"), expected);
                None
            }
        })
    }

    /// Like [`Self::number`], for a field whose range fits into 32 bits.
    pub(crate) fn number_u32(
        &mut self,
        field: &str,
        raw: &DocValue<u64>,
        spec: &NumberSpec,
    ) -> Option<u32> {
        let value = self.number(field, raw, spec)?;
        u32::try_from(value).ok()
    }

    /// Returns the entries of the list in a field, each converted by `check`, or `None` if any is
    /// invalid.
    pub(crate) fn list<T, U>(
        &mut self,
        field: &str,
        raw: &DocValue<Vec<DocValue<T>>>,
        lengths: RangeInclusive<usize>,
        check: impl Fn(&mut Self, &T) -> Option<U>,
    ) -> Option<Vec<U>> {
        let expected = format!("a list of {} to {} entries", lengths.start(), lengths.end());
        self.in_field(field, |cx| {
            if raw.is_absent() && lengths.contains(&0) {
                return Some(Vec::new());
            }
            let entries = cx.required(raw, &expected)?;
            if !lengths.contains(&entries.len()) {
                cx.error(format!("a list of {} entries", entries.len()), expected);
                return None;
            }
            cx.entries(entries, check)
        })
    }

    fn entries<T, U>(
        &mut self,
        entries: &[DocValue<T>],
        check: impl Fn(&mut Self, &T) -> Option<U>,
    ) -> Option<Vec<U>> {
        let mut checked = Vec::with_capacity(entries.len());
        for (index, entry) in entries.iter().enumerate() {
            let value = self.in_step(PathStep::Index(index), |cx| {
                let entry = cx.required(entry, "an entry with the fields of this list")?;
                check(cx, entry)
            });
            checked.push(value);
        }
        checked.into_iter().collect()
    }

    /// Records an error for each field that the type does not define.
    pub(crate) fn reject_unknown_fields(&mut self, unknown: &UnknownFields, known: &[&str]) {
        for field in unknown.keys() {
            let expected = format!("only these fields: {}", known.join(", "));
            self.in_field(field, |cx| cx.error("an unknown field", expected));
        }
    }

    /// Records an error for each entry of the list in `field` whose name an earlier entry has.
    pub(crate) fn reject_duplicate_names<'a>(
        &mut self,
        field: &str,
        names: impl Iterator<Item = &'a str>,
        expected: &str,
    ) {
        let mut sorted: Vec<(&str, usize)> = names.enumerate().map(|(i, n)| (n, i)).collect();
        sorted.sort_unstable();
        for pair in sorted.windows(2).filter(|w| w[0].0 == w[1].0) {
            let (name, index) = pair[1];
            self.in_entry(field, index, |cx| {
                cx.in_field("name", |cx| cx.error(quote(name), expected));
            });
        }
    }
}
