//! Documents as they lie in the store and go between hosts: deflated, and bounded when read.

use std::io::{self, Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Deflates `plain`.
pub fn compress(plain: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    // Writing to memory has no way to fail; readers refuse an empty document.
    encoder.write_all(plain).and_then(|()| encoder.finish()).unwrap_or_default()
}

/// Inflates `packed`, up to `limit` bytes.
pub fn decompress(packed: &[u8], limit: u64) -> io::Result<Vec<u8>> {
    let mut plain = Vec::new();
    DeflateDecoder::new(packed).take(limit + 1).read_to_end(&mut plain)?;
    if plain.len() as u64 > limit {
        return Err(io::Error::new(io::ErrorKind::FileTooLarge, format!("above {limit} bytes")));
    }
    Ok(plain)
}
