//! Deflate compression of documents in the store and in messages between hosts, with a size limit
//! on decompression.

use std::io::{self, Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Compresses `plain`.
pub fn compress(plain: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    // Writing to memory can't fail; if it did, readers would reject the empty document.
    encoder.write_all(plain).and_then(|()| encoder.finish()).unwrap_or_default()
}

/// Decompresses `compressed`. Fails if the result is longer than `limit` bytes.
pub fn decompress(compressed: &[u8], limit: u64) -> io::Result<Vec<u8>> {
    let mut plain = Vec::new();
    DeflateDecoder::new(compressed).take(limit + 1).read_to_end(&mut plain)?;
    if plain.len() as u64 > limit {
        return Err(io::Error::new(io::ErrorKind::FileTooLarge, format!("above {limit} bytes")));
    }
    Ok(plain)
}
