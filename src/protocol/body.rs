//! Body of a request or response on its way through the process.
//!
//! Clones share the bytes and the reservation that counts them, so a body costs its length once, however
//! many attempts, queues and retained outcomes refer to it. A body decoded from a large frame refers to
//! the bytes of the frame.

use std::cell::RefCell;
use std::fmt;
use std::ops::Deref;
use std::rc::Rc;

use bytes::Bytes;

use crate::state::reservation::Reservation;

thread_local! {
    /// Frame that is being decoded.
    static FRAME: RefCell<Option<Frame>> = const { RefCell::new(None) };
}

/// Frame whose bodies refer to its bytes, and share its reservation.
#[derive(Debug)]
struct Frame {
    /// Bytes of a large frame; empty for a small one, whose bodies are copied.
    bytes: Bytes,
    held: Rc<Reservation>,
}

/// Bytes of a body.
#[derive(Clone, Default)]
pub struct Body {
    bytes: Bytes,
    /// Memory of the message that the body belongs to, reserved until the last clone is dropped.
    held: Option<Rc<Reservation>>,
}

impl Body {
    /// Creates a body whose message is counted by a reservation.
    #[must_use]
    pub fn new(bytes: impl Into<Bytes>, held: Option<Rc<Reservation>>) -> Self {
        Self {
            bytes: bytes.into(),
            held,
        }
    }

    /// Calls `decode`, which creates bodies that share a reservation and refer to the bytes of `frame`
    /// if they are within it.
    pub fn decoding<T>(frame: Bytes, held: &Rc<Reservation>, decode: impl FnOnce() -> T) -> T {
        FRAME.set(Some(Frame {
            bytes: frame,
            held: Rc::clone(held),
        }));
        let decoded = decode();
        FRAME.set(None);
        decoded
    }

    /// Returns the reservation of the body's message.
    #[must_use]
    pub fn held(&self) -> Option<&Reservation> {
        self.held.as_deref()
    }

    /// Returns the body for bytes of the frame that is being decoded, or of a copy of them.
    fn within_frame(bytes: &[u8]) -> Self {
        FRAME.with_borrow(|frame| {
            let Some(Frame { bytes: all, held }) = frame else {
                return Self::new(Bytes::copy_from_slice(bytes), None);
            };
            let range = all.as_ptr_range();
            let within = range.contains(&bytes.as_ptr()) && bytes.as_ptr_range().end <= range.end;
            let bytes = if within {
                all.slice_ref(bytes)
            } else {
                Bytes::copy_from_slice(bytes)
            };
            Self::new(bytes, Some(Rc::clone(held)))
        })
    }
}

impl Deref for Body {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Self {
        Self::new(bytes, None)
    }
}

impl PartialEq for Body {
    fn eq(&self, other: &Self) -> bool {
        self.bytes == other.bytes
    }
}

impl Eq for Body {}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Body({} bytes)", self.bytes.len())
    }
}

impl serde::Serialize for Body {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.bytes)
    }
}

impl<'de> serde::Deserialize<'de> for Body {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let bytes = <&[u8]>::deserialize(deserializer)?;
        Ok(Self::within_frame(bytes))
    }
}
