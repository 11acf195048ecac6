//! Reads configuration documents from files.

use std::fs::File;
use std::io::{self, Read};

use papayarill_config::{Config, MAX_DOCUMENT_BYTES};

use crate::Refusal;

/// The name that stands for the standard input.
const STDIN: &str = "-";

/// A document that was read and checked.
pub struct Document {
    /// The text as it was read.
    pub text: String,
    /// What it says.
    pub config: Config,
}

/// Reads and checks a document. Each line of a refusal names the file.
pub fn read(file: &str) -> Result<Document, Refusal> {
    let text = read_text(file).map_err(|e| format!("{file}: cannot be read: {e}"))?;
    match papayarill_config::parse(&text) {
        Ok(config) => Ok(Document { text, config }),
        Err(error) => Err(error.format_for_file(file)),
    }
}

fn read_text(file: &str) -> io::Result<String> {
    if file == STDIN { read_limited(io::stdin()) } else { read_limited(File::open(file)?) }
}

/// Reads one byte more than allowed, so that the check notices a document that is too long.
fn read_limited(source: impl Read) -> io::Result<String> {
    let mut text = String::new();
    let limit = MAX_DOCUMENT_BYTES as u64 + 1;
    source.take(limit).read_to_string(&mut text)?;
    Ok(text)
}
