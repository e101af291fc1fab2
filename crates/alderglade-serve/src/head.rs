//! Request heads that outlive the buffer from which they were parsed.

use bytes::{Bytes, BytesMut};
use http::header::HeaderValue;
use http::request::Parts;
use http::{HeaderMap, Uri};

/// Copies the header values and the target out of the connection's read buffer. The HTTP library parses a head without
/// copying, so that each value that is kept while a stream runs would keep the whole buffer of 8 KB.
pub(crate) fn detach(head: &mut Parts) {
    copy_values(&mut head.headers);
    // A target that was parsed once is valid; if it were not, it would keep the buffer.
    if let Ok(target) = Uri::from_maybe_shared(Bytes::from(head.uri.to_string())) {
        head.uri = target;
    }
}

/// Copies all values into one allocation of their length.
fn copy_values(headers: &mut HeaderMap) {
    let length = headers.values().map(HeaderValue::len).sum();
    let mut copied = BytesMut::with_capacity(length);
    for value in headers.values_mut() {
        copied.extend_from_slice(value.as_bytes());
        let copy = copied.split().freeze();
        if let Ok(copy) = HeaderValue::from_maybe_shared(copy) {
            *value = copy;
        }
    }
}
