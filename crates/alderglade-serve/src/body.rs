//! Bodies of requests and responses, read as their bytes arrive.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

/// Waits for the next bytes of a body; returns `None` after the last ones.
///
/// # Errors
///
/// Returns an error if the body breaks off.
pub(crate) async fn next<B>(body: &mut B) -> Result<Option<Bytes>, B::Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}
