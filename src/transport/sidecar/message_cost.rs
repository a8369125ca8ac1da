//! Memory that a message takes beside its body, with all copies that are made of it on its way.
//!
//! A head is copied when its hop-by-hop lines are removed, for each attempt, and when it is encoded for a
//! link or a server. Small bodies are copied behind the encoded head.

use crate::protocol::heap_size;
use crate::protocol::http::{JOINED_BYTES, RequestHead, ResponseHead};
use crate::protocol::mesh::{Call, Response};
use crate::state::reservation::Footprint;

/// Memory of the tasks, futures and table entries of a request, in bytes.
const REQUEST_BYTES: usize = 8 * 1024;

/// Largest number of copies of a request's head that exist at the same time in a process.
const REQUEST_COPIES: usize = 3;

/// Largest number of copies of a response's head that exist at the same time in a process.
const RESPONSE_COPIES: usize = 2;

/// Returns the bytes of the copy that is made of a body of this length.
fn body_copy(length: usize) -> usize {
    if length <= JOINED_BYTES { length } else { 0 }
}

/// Returns the memory of the buffer of a body with the copy that is made of a small one.
#[must_use]
pub fn of_body(buffer: Footprint) -> Footprint {
    buffer.plus(Footprint::on_heap(body_copy(buffer.heap)))
}

/// Returns the memory of a caller's request without its body.
#[must_use]
pub fn of_request(head: &RequestHead) -> Footprint {
    Footprint::on_heap(REQUEST_BYTES + REQUEST_COPIES * heap_size::of_head(head))
}

/// Returns the memory of another node's call, without a frame that its body refers to; `owned` tells that
/// its body has a buffer of its own instead.
#[must_use]
pub fn of_call(call: &Call, owned: bool) -> Footprint {
    let heads = REQUEST_COPIES * heap_size::of_call(call);
    let length = call.body.len();
    Footprint::on_heap(REQUEST_BYTES + heads + body_copy(length) + if owned { length } else { 0 })
}

/// Returns the memory of a response, without a buffer that its body refers to; `owned` tells that its body
/// has a buffer of its own instead.
#[must_use]
pub fn of_response(response: &Response, owned: bool) -> Footprint {
    let heads = RESPONSE_COPIES * heap_size::of_response(response);
    let length = response.body.len();
    Footprint::on_heap(heads + body_copy(length) + if owned { length } else { 0 })
}

/// Returns the memory of a response of the local backend server without its body.
#[must_use]
pub fn of_own_response(head: &ResponseHead) -> Footprint {
    Footprint::on_heap(RESPONSE_COPIES * heap_size::of_headers(&head.headers))
}
