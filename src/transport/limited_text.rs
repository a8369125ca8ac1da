//! Responses of HTTP servers, read up to a limit: a faulty server may send a body without end.

use std::io::Read;

use attohttpc::{Response, StatusCode};

/// Maximum size of a response, in bytes; a listing of the platform's service is the largest one.
const MAX_RESPONSE: u64 = 16 << 20;

/// Reads a response; returns its status and its text.
///
/// # Errors
///
/// Returns an error if the response is incomplete, larger than 16 MiB or no UTF-8.
pub fn read(response: Response) -> std::io::Result<(StatusCode, String)> {
    let (status, _, body) = response.split();
    let mut bytes = Vec::new();
    body.take(MAX_RESPONSE + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > MAX_RESPONSE {
        return Err(std::io::Error::other("the response is too large"));
    }
    let text = String::from_utf8(bytes).map_err(std::io::Error::other)?;
    Ok((status, text))
}
