use std::{
    cell::Cell,
    io::ErrorKind,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use medlarspool_adapter::{StoreCall, StoreRows};
use medlarspool_mesh::{StoreEra, StorePosition};
use tokio::time::timeout;

use crate::{
    byte_stream::ByteStream, connection_pool::ConnectionPool, metrics::Metrics,
    own_exchange::own_exchange, store_answer::StoreAnswer, store_era_watch::StoreEraWatch,
    store_error::StoreError,
};

/// The time limit of a call, beyond the wait that a feed asks for. The store usually answers within some
/// milliseconds, but sometimes takes a hundred times as long.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The longest wait for a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest answer that is read. The store sends a megabyte of rows at the most, and a configuration of half a megabyte
/// has more than a thousand routes; several answers at once must fit into the memory of a small machine.
pub(crate) const MAX_ANSWER_BYTES: usize = 8 << 20;

/// How long an idle connection to the store may be reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// The client of the platform's store; all calls to the store go through it.
pub(crate) struct StoreClient {
    address: SocketAddr,
    pub(crate) era_watch: StoreEraWatch,
    is_reachable: Cell<bool>,
    pool: ConnectionPool,
}

impl StoreClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            era_watch: StoreEraWatch::default(),
            is_reachable: Cell::new(true),
            pool: ConnectionPool::new(MAX_IDLE_TIME, 2),
        }
    }

    /// Makes a call. A write that fails with [`StoreError::NoAnswer`] may have been done, or may be done
    /// later. One that fails with [`StoreError::EarlierEra`] was done, and is lost.
    pub(crate) async fn call(
        &self,
        metrics: &Metrics,
        call: &StoreCall,
    ) -> Result<StoreAnswer, StoreError> {
        let time_limit = match call {
            StoreCall::Feed { wait, .. } => *wait + CALL_TIMEOUT,
            StoreCall::Get { .. }
            | StoreCall::Remove { .. }
            | StoreCall::Write(_)
            | StoreCall::WriteAll(_) => CALL_TIMEOUT,
        };
        let result = timeout(time_limit, self.exchange(call)).await;
        let result = result.unwrap_or(Err(StoreError::NoAnswer));
        metrics
            .store_calls
            .with_label_values(&[outcome(&result)])
            .inc();
        self.log_reachability(&result);
        result
    }

    /// Drops the idle connections, since those to the store may have become silent.
    pub(crate) fn drop_idle_connections(&self) {
        self.pool.clear(self.address);
    }

    /// Sends a call on an idle or a new connection and decodes the response.
    async fn exchange(&self, call: &StoreCall) -> Result<StoreAnswer, StoreError> {
        let sent_at = Instant::now();
        let stream = match self.pool.take(self.address) {
            Some(stream) => stream,
            None => ByteStream::connect(self.address, CONNECT_TIMEOUT)
                .await
                .map_err(|_| StoreError::NoAnswer)?,
        };
        let (method, path) = call.method_and_path();
        let body = Bytes::from(call.body());
        let (response, reusable) = own_exchange(stream, self.address, method, &path, &body)
            .await
            .map_err(|_| StoreError::NoAnswer)?;
        if let Some(reusable) = reusable {
            self.pool.put(self.address, reusable);
        }
        if !self.era_watch.accepts_answer(sent_at, &response.headers) {
            return Err(StoreError::EarlierEra);
        }
        let status = response.status;
        let body_bytes = response.whole_body(MAX_ANSWER_BYTES).await;
        let body_bytes = body_bytes.map_err(|error| match error.kind() {
            ErrorKind::InvalidData => StoreError::AnswerTooLong(MAX_ANSWER_BYTES),
            _ => StoreError::NoAnswer,
        })?;
        match status {
            200 => StoreRows::decode(&body_bytes)
                .map(|rows| self.answer_of(rows))
                .map_err(StoreError::InvalidResponse),
            410 => Err(StoreError::HistoryDropped),
            412 => Err(StoreRows::decode_conflict(&body_bytes)
                .map_or_else(StoreError::InvalidResponse, StoreError::Conflict)),
            other => Err(StoreError::Status(other)),
        }
    }

    fn answer_of(&self, rows: StoreRows) -> StoreAnswer {
        StoreAnswer {
            has_more: rows.has_more,
            position: StorePosition {
                era: self.era(),
                version: rows.version,
            },
            rows: rows.rows,
        }
    }

    /// Returns the era of the store; zero before its first answer.
    pub(crate) fn era(&self) -> StoreEra {
        self.era_watch.era().unwrap_or_default()
    }

    /// Logs when the store becomes unreachable and when it is reachable again.
    fn log_reachability(&self, result: &Result<StoreAnswer, StoreError>) {
        let is_reachable = matches!(
            result,
            Ok(_) | Err(StoreError::Conflict(_) | StoreError::HistoryDropped)
        );
        if self.is_reachable.replace(is_reachable) != is_reachable {
            match result {
                Err(error) if !is_reachable => {
                    log::warn!(event = "store-lost", error = error.to_string().as_str(); "");
                }
                _ => log::info!(event = "store-back"; ""),
            }
        }
    }
}

/// Draws the wait before a call to the store is retried: 60 ms to 1 s, exponential with jitter, so that the
/// daemons of a fleet don't retry at the same time.
pub(crate) fn backoff(failures: u32) -> Duration {
    const INITIAL_BACKOFF: Duration = Duration::from_millis(120);
    const MAX_BACKOFF: Duration = Duration::from_secs(1);
    let upper_bound = INITIAL_BACKOFF
        .saturating_mul(1 << failures.min(4))
        .min(MAX_BACKOFF);
    upper_bound.mul_f64(0.5 + fastrand::f64() * 0.5)
}

fn outcome(result: &Result<StoreAnswer, StoreError>) -> &'static str {
    match result {
        Err(StoreError::AnswerTooLong(_)) => "too_long",
        Err(StoreError::Conflict(_)) => "conflict",
        Err(StoreError::EarlierEra) => "earlier_era",
        Err(StoreError::InvalidResponse(_)) => "invalid",
        Err(StoreError::HistoryDropped) => "history_dropped",
        Err(StoreError::NoAnswer) => "no_answer",
        Err(StoreError::Status(_)) => "refused",
        Ok(_) => "ok",
    }
}
