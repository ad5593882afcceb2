use bytes::Bytes;
use tokio::sync::mpsc;

use crate::http_error::HttpError;

/// The rest of a request's body that is too long to be buffered, as it comes from the client.
#[derive(Debug)]
pub(crate) struct BodySource {
    /// The pieces of the body, and an empty one after the last. Without that, the connection ended before the body did.
    pub(crate) pieces: mpsc::Receiver<Result<Bytes, HttpError>>,
}

impl BodySource {
    /// Returns the next piece, or `None` at the end of the body.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, HttpError>> {
        let piece = self.pieces.recv().await;
        let piece = piece.unwrap_or(Err(HttpError::Incomplete));
        (piece != Ok(Bytes::new())).then_some(piece)
    }
}
