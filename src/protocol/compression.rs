//! Compression of large values sent between nodes.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

use crate::protocol::adapter::DecodeError;
use crate::protocol::mesh::MAX_FRAME;

/// Compresses a value with DEFLATE.
///
/// # Panics
///
/// Never panics: writing to memory can't fail.
#[must_use]
pub fn compress(value: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder
        .write_all(value)
        .and_then(|()| encoder.finish())
        .expect("writing to memory can't fail")
}

/// Decompresses a value.
///
/// # Errors
///
/// Returns an error if the bytes are not valid DEFLATE data or the value is larger than a frame.
pub fn decompress(bytes: &[u8]) -> Result<Vec<u8>, DecodeError> {
    let mut value = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(MAX_FRAME as u64 + 1);
    decoder
        .read_to_end(&mut value)
        .map_err(|e| DecodeError(e.to_string()))?;
    if value.len() > MAX_FRAME {
        return Err(DecodeError(format!("longer than {MAX_FRAME} bytes")));
    }
    Ok(value)
}
