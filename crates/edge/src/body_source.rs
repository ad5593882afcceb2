use bytes::Bytes;
use tokio::sync::mpsc;

use crate::http_error::HttpError;

/// The rest of a request's body that is too long to be buffered, as it comes from the client.
#[derive(Debug)]
pub(crate) struct BodySource {
    pub(crate) pieces: mpsc::Receiver<Result<Bytes, HttpError>>,
}

impl BodySource {
    /// Returns the next piece, or `None` at the end of the body.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, HttpError>> {
        self.pieces.recv().await
    }
}
