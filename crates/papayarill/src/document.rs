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
    let text = read_text(file).map_err(|e| format!("{file}: {e}"))?;
    match papayarill_config::parse(&text) {
        Ok(config) => Ok(Document { text, config }),
        Err(error) => Err(error.format_for_file(file)),
    }
}

/// Reads the text of a file. The error doesn't name the file.
pub fn read_text(file: &str) -> Result<String, CommandError> {
    let read = if file == STDIN {
        read_limited(io::stdin())
    } else {
        File::open(file).and_then(read_limited)
    };
    let bytes = read.map_err(|e| format!("cannot be read: {e}"))?;
    if bytes.len() > MAX_DOCUMENT_BYTES {
        return Err(format!("found more than {MAX_DOCUMENT_BYTES} bytes"));
    }
    String::from_utf8(bytes).map_err(|e| {
        let valid = e.utf8_error().valid_up_to();
        let line = 1 + e.as_bytes()[..valid].iter().filter(|b| **b == b'\n').count();
        format!("line {line}: cannot be read: found a byte that is not UTF-8")
    })
}

/// Reads up to one byte more than the limit, so that an oversized document is detected.
fn read_limited(source: impl Read) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let limit = MAX_DOCUMENT_BYTES as u64 + 1;
    source.take(limit).read_to_end(&mut bytes)?;
    Ok(bytes)
}
