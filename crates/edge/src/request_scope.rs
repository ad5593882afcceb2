use std::{future::Future, panic::AssertUnwindSafe};

use bytes::Bytes;
use futures_util::FutureExt;

use crate::forwarded_request::id_text;

tokio::task_local! {
    /// The id of the request that is being handled, for the log line of a panic.
    static REQUEST_ID: Option<Bytes>;
}

/// Does the work of the request `id`; returns `None` if it panicked, which ends only this work.
pub(crate) async fn contain_request<R>(
    id: Option<Bytes>,
    work: impl Future<Output = R>,
) -> Option<R> {
    let scoped_work = REQUEST_ID.scope(id, work);
    AssertUnwindSafe(scoped_work).catch_unwind().await.ok()
}

/// Returns the id of the request that is being handled, for logs; `-` if there is none.
pub(crate) fn current_request_id() -> String {
    let id = REQUEST_ID.try_with(|id| id_text(id.as_ref()).to_owned());
    id.unwrap_or_else(|_| "-".into())
}
