//! Where the check is in the document, and what it has found so far.

use std::ops::RangeInclusive;

use model::NameError;

use crate::limits::{MAX_FAULTS, Number};
use crate::lines::{Step, path_text};
use crate::yaml::{Part, Unknown, quote};
use crate::{ConfigError, ValidationError};

/// The place in the document and the faults.
#[derive(Default)]
pub(crate) struct Cx {
    steps: Vec<Step>,
    faults: Vec<(Vec<Step>, ValidationError)>,
}

/// Queries.
impl Cx {
    /// Returns the checked value, or all faults with the lines that `line_of` tells.
    pub(crate) fn finish<T>(
        self,
        value: Option<T>,
        line_of: impl Fn(&[Step]) -> Option<usize>,
    ) -> Result<T, ConfigError> {
        match value {
            Some(value) if self.faults.is_empty() => Ok(value),
            _ => Err(ConfigError { errors: locate(self.faults, line_of) }),
        }
    }
}

fn locate(
    faults: Vec<(Vec<Step>, ValidationError)>,
    line_of: impl Fn(&[Step]) -> Option<usize>,
) -> Vec<ValidationError> {
    let located = faults.into_iter().take(MAX_FAULTS);
    let mut faults: Vec<ValidationError> =
        located.map(|(steps, fault)| ValidationError { line: line_of(&steps), ..fault }).collect();
    faults.sort_by_key(|f| f.line);
    faults
}

/// Commands: each reads one value and reports a fault at its place if it is wrong.
impl Cx {
    /// Runs `check` one field further down.
    pub(crate) fn within<T>(&mut self, field: &str, check: impl FnOnce(&mut Self) -> T) -> T {
        self.at(Step::Field(field.to_owned()), check)
    }

    /// Runs `check` at one entry of the list in `field`.
    pub(crate) fn entry<T>(
        &mut self,
        field: &str,
        index: usize,
        check: impl FnOnce(&mut Self) -> T,
    ) -> T {
        self.within(field, |cx| cx.at(Step::Index(index), check))
    }

    fn at<T>(&mut self, step: Step, check: impl FnOnce(&mut Self) -> T) -> T {
        self.steps.push(step);
        let value = check(self);
        self.steps.pop();
        value
    }

    /// Reports a fault at the current place.
    pub(crate) fn fault(&mut self, found: impl Into<String>, expected: impl Into<String>) {
        let path = path_text(&self.steps);
        let fault =
            ValidationError { line: None, path, found: found.into(), expected: expected.into() };
        self.faults.push((self.steps.clone(), fault));
    }

    /// Returns the value at the current place, if it has the right type.
    pub(crate) fn required<'a, T>(&mut self, part: &'a Part<T>, expected: &str) -> Option<&'a T> {
        match part {
            Part::Good(value) => return Some(value),
            Part::Absent => self.fault("nothing", expected),
            Part::Bad(found) => self.fault(found.clone(), expected),
        }
        None
    }

    /// Returns the text at the current place as `parse` reads it.
    pub(crate) fn parse<T>(
        &mut self,
        text: &str,
        expected: &str,
        parse: impl Fn(&str) -> Result<T, NameError>,
    ) -> Option<T> {
        match parse(text) {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(format!("{} ({error})", quote(text)), expected);
                None
            }
        }
    }

    /// Returns the name in a field.
    pub(crate) fn name<T>(
        &mut self,
        field: &str,
        part: &Part<String>,
        parse: impl Fn(&str) -> Result<T, NameError>,
    ) -> Option<T> {
        const EXPECTED: &str = "a name of 1 to 64 characters of a-z, 0-9 and '-'";
        self.within(field, |cx| {
            let text = cx.required(part, EXPECTED)?;
            cx.parse(text, EXPECTED, parse)
        })
    }

    /// Returns the number in a field, or its default if it is left out.
    pub(crate) fn number(&mut self, field: &str, part: &Part<u64>, limits: &Number) -> Option<u64> {
        let (min, max) = (limits.range.start(), limits.range.end());
        let expected = format!("a whole number from {min} to {max}");
        self.within(field, |cx| match (part, limits.default) {
            (Part::Absent, Some(default)) => Some(default),
            _ => {
                let value = *cx.required(part, &expected)?;
                if limits.range.contains(&value) {
                    return Some(value);
                }
                cx.fault(format!("`{value}`"), expected);
                None
            }
        })
    }

    /// Returns the number in a field whose limits fit into 32 bits.
    pub(crate) fn number32(
        &mut self,
        field: &str,
        part: &Part<u64>,
        limits: &Number,
    ) -> Option<u32> {
        let value = self.number(field, part, limits)?;
        u32::try_from(value).ok()
    }

    /// Returns the entries of the list in a field, each read by `check`; `None` if any is wrong.
    pub(crate) fn list<T, U>(
        &mut self,
        field: &str,
        part: &Part<Vec<Part<T>>>,
        lengths: RangeInclusive<usize>,
        check: impl Fn(&mut Self, &T) -> Option<U>,
    ) -> Option<Vec<U>> {
        let expected = format!("a list of {} to {} entries", lengths.start(), lengths.end());
        self.within(field, |cx| {
            if part.is_absent() && lengths.contains(&0) {
                return Some(Vec::new());
            }
            let entries = cx.required(part, &expected)?;
            if !lengths.contains(&entries.len()) {
                cx.fault(format!("a list of {} entries", entries.len()), expected);
                return None;
            }
            cx.entries(entries, check)
        })
    }

    fn entries<T, U>(
        &mut self,
        entries: &[Part<T>],
        check: impl Fn(&mut Self, &T) -> Option<U>,
    ) -> Option<Vec<U>> {
        let mut checked = Vec::with_capacity(entries.len());
        for (index, entry) in entries.iter().enumerate() {
            let value = self.at(Step::Index(index), |cx| {
                let entry = cx.required(entry, "an entry with the fields of this list")?;
                check(cx, entry)
            });
            checked.push(value);
        }
        checked.into_iter().collect()
    }

    /// Reports the fields that the document has and its type has not.
    pub(crate) fn refuse_unknown(&mut self, unknown: &Unknown, known: &[&str]) {
        for field in unknown.keys() {
            let expected = format!("only these fields: {}", known.join(", "));
            self.within(field, |cx| cx.fault("an unknown field", expected));
        }
    }

    /// Reports each entry of the list in `field` whose name stands further up already.
    pub(crate) fn refuse_repeated<'a>(
        &mut self,
        field: &str,
        names: impl Iterator<Item = &'a str>,
        expected: &str,
    ) {
        let mut sorted: Vec<(&str, usize)> = names.enumerate().map(|(i, n)| (n, i)).collect();
        sorted.sort_unstable();
        for pair in sorted.windows(2).filter(|w| w[0].0 == w[1].0) {
            let (name, index) = pair[1];
            self.entry(field, index, |cx| {
                cx.within("name", |cx| cx.fault(quote(name), expected));
            });
        }
    }
}
