//! Validation errors of configuration documents and builders.

use std::fmt;

use snafu::Snafu;

/// One invalid value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// The line in the document, counted from 1; `None` for values from a builder.
    pub line: Option<usize>,
    /// The path in the document, such as `services[2].slots`.
    pub path: String,
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "found {}, expected {}", self.found, self.expected)
    }
}

/// The errors of an invalid document or builder.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{}", self.lines("")))]
pub struct ConfigError {
    /// The errors, in document order; never empty, at most 50 entries.
    pub errors: Vec<ValidationError>,
}

impl ConfigError {
    /// Returns one line of text per error, each prefixed with `file`.
    pub fn format_for_file(&self, file: &str) -> String {
        self.lines(&format!("{file}: "))
    }

    fn lines(&self, prefix: &str) -> String {
        let lines: Vec<String> = self.errors.iter().map(|e| format!("{prefix}{e}")).collect();
        lines.join("\n")
    }
}
