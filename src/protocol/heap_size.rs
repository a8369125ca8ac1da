//! Heap memory of parsed messages, as the allocator hands it out.

use crate::protocol::http::{Header, RequestHead};
use crate::protocol::mesh::{Call, Response};

/// Memory that the allocator of the C library adds to each block, the multiple to which it rounds, and its
/// smallest block, in bytes (glibc on 64-bit systems).
const BLOCK_HEAD: usize = 8;
const BLOCK_MULTIPLE: usize = 16;
const MIN_BLOCK: usize = 32;

/// Returns the memory of one allocation.
#[must_use]
pub fn of_block(bytes: usize) -> usize {
    match bytes {
        0 => 0,
        _ => (bytes + BLOCK_HEAD)
            .next_multiple_of(BLOCK_MULTIPLE)
            .max(MIN_BLOCK),
    }
}

fn of_text(text: &str) -> usize {
    of_block(text.len())
}

/// Returns the memory of header lines.
#[must_use]
pub fn of_headers(headers: &[Header]) -> usize {
    let texts = headers.iter().map(|h| of_text(&h.name) + of_text(&h.value));
    of_block(size_of_val(headers)) + texts.sum::<usize>()
}

/// Returns the memory of the head of a request.
#[must_use]
pub fn of_head(head: &RequestHead) -> usize {
    of_text(&head.method) + of_text(&head.target) + of_headers(&head.headers)
}

/// Returns the memory of a call without its body.
#[must_use]
pub fn of_call(call: &Call) -> usize {
    let texts = [
        &call.id,
        &call.service,
        &call.origin,
        &call.method,
        &call.target,
    ];
    let texts: usize = texts.into_iter().map(|t| of_text(t)).sum();
    of_block(size_of::<Call>()) + texts + of_headers(&call.headers)
}

/// Returns the memory of a response without its body.
#[must_use]
pub fn of_response(response: &Response) -> usize {
    of_block(size_of::<Response>()) + of_headers(&response.headers)
}
