//! Reads configuration documents from files or standard input.

use std::fs::File;
use std::io::{self, Read};

use papayarill_config::{Config, MAX_DOCUMENT_BYTES};

use crate::CommandError;

/// The file name that denotes the standard input.
const STDIN: &str = "-";

/// A valid document.
pub struct Document {
    /// The text as it was read.
    pub text: String,
    /// The parsed configuration.
    pub config: Config,
}

/// Reads and validates a document. Each line of the error names the file.
pub fn read(file: &str) -> Result<Document, CommandError> {
    let text = read_text(file).map_err(|e| format!("{file}: cannot be read: {e}"))?;
    match papayarill_config::parse(&text) {
        Ok(config) => Ok(Document { text, config }),
        Err(error) => Err(error.format_for_file(file)),
    }
}

fn read_text(file: &str) -> io::Result<String> {
    if file == STDIN { read_limited(io::stdin()) } else { read_limited(File::open(file)?) }
}

/// Reads up to one byte more than the limit, so that validation detects an oversized document.
fn read_limited(source: impl Read) -> io::Result<String> {
    let mut text = String::new();
    let limit = MAX_DOCUMENT_BYTES as u64 + 1;
    source.take(limit).read_to_string(&mut text)?;
    Ok(text)
}
