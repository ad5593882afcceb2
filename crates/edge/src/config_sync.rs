use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use medlarspool_adapter::{CONFIG_KEY, CONFIG_TABLE, StoreCall, StoreRow};
use medlarspool_hop::peer_path;
use tokio::time::{sleep, timeout};

use crate::{
    app::App,
    config_compression::{compress, decompress},
    fetch::fetch,
    store_client::backoff,
    store_error::StoreError,
};

/// How long the store is asked to hold a call for a change. A feed that went silent is noticed by
/// the end of it; until then the peers' reports tell of newer versions.
const FEED_WAIT: Duration = Duration::from_secs(10);

/// The same for a daemon behind a slow link, which goes back to the relays soon.
const SHORT_FEED_WAIT: Duration = Duration::from_secs(2);

/// How long changes are gathered after one came: configurations come in quick succession, each call is
/// priced, and a change may take two seconds to be in force.
const GATHER_CHANGES: Duration = Duration::from_millis(700);

/// How long a daemon behind a slow link waits for a relay's copy before it reads the store for the first
/// time: the second reading of the daemons' rows, which finds a relay at the latest, and a margin.
const RELAY_COPY_WAIT: Duration = Duration::from_millis(900);

/// How long a peer's newer version is left to this daemon's own feed, which is cheaper.
const OWN_FEED_WAIT: Duration = Duration::from_secs(1);

/// The longest wait for a peer's copy.
const PEER_TIMEOUT: Duration = Duration::from_millis(600);

/// How many peers are asked for a copy before the store is.
const MAX_PEERS_ASKED: usize = 3;

/// Keeps the configuration in force up to date with the store.
///
/// A daemon behind a slow link leaves this to the relays while it hears one: the store sends a version
/// whole, which holds up all else on such a link. See `docs/design/platform.md`.
pub(crate) async fn follow_store(app: Rc<App>) {
    let mut failures = 0;
    let mut after = None;
    let has_slow_link = !app.settings.has_fast_link();
    if has_slow_link {
        // Without a copy by then, the store is read.
        let _ = timeout(RELAY_COPY_WAIT, app.config_arrived.notified()).await;
    }
    loop {
        while app.core.with(|node, cx| node.follows_relays(cx.now())) {
            app.store_needed.notified().await;
        }
        let call = match after {
            None => StoreCall::Get {
                from: String::new(),
                table: CONFIG_TABLE,
            },
            Some(after) => StoreCall::Feed {
                after,
                table: CONFIG_TABLE,
                wait: if has_slow_link {
                    SHORT_FEED_WAIT
                } else {
                    FEED_WAIT
                },
            },
        };
        let result = app.store.call(&app.metrics, &call).await;
        let is_reachable = matches!(result, Ok(_) | Err(StoreError::HistoryDropped));
        app.core.with(|node, _| node.store_answers = is_reachable);
        match result {
            Ok(rows) => {
                failures = 0;
                for row in &rows.rows {
                    apply_row(&app, row);
                }
                if after.replace(rows.version).is_some() && !rows.rows.is_empty() {
                    sleep(GATHER_CHANGES).await;
                }
            }
            Err(StoreError::HistoryDropped) => after = None,
            Err(_) => {
                sleep(backoff(failures)).await;
                failures += 1;
            }
        }
    }
}

fn apply_row(app: &Rc<App>, row: &StoreRow) {
    if row.key != CONFIG_KEY || row.deleted {
        return;
    }
    apply_config_bytes(app, &row.value, None, "store");
}

/// Puts a version in force; it is packed for others only if it is news and didn't come packed.
fn apply_config_bytes(app: &Rc<App>, bytes: &[u8], compressed: Option<Bytes>, source: &str) {
    let config = match medlarspool_adapter::config(bytes) {
        Ok(config) => config,
        Err(error) => {
            log::error!(event = "config-invalid", source = source, error = error.to_string().as_str(); "");
            return;
        }
    };
    if !app.core.with(|node, _| node.is_newer(&config)) {
        return;
    }
    match compressed.map_or_else(|| compress(bytes), Ok) {
        Ok(compressed) => app
            .core
            .with(|node, cx| node.apply_config(cx, config, compressed)),
        Err(error) => {
            log::error!(event = "config-unpackable", error = error.to_string().as_str(); "");
        }
    }
}

/// Fetches a newer version from a peer that reports it: at once behind a slow link, and otherwise where
/// the store doesn't serve this daemon.
pub(crate) async fn follow_peers(app: Rc<App>) {
    loop {
        app.config_behind.notified().await;
        if app.settings.has_fast_link() {
            sleep(OWN_FEED_WAIT).await;
        }
        if !fetch_newer(&app).await {
            app.core
                .with(|node, cx| node.record_relay_failure(cx.now()));
            app.store_needed.notify_one();
        }
    }
}

/// Returns whether there is no newer version left that a peer told of.
async fn fetch_newer(app: &Rc<App>) -> bool {
    let mut asked = Vec::new();
    while asked.len() < MAX_PEERS_ASKED {
        let peer_with_newer = app.core.with(|node, cx| {
            let own = node.config_version();
            node.directory.config_holder(cx.now(), own, &asked)
        });
        let Some(peer) = peer_with_newer else {
            return asked.is_empty();
        };
        if let Ok(Some(compressed)) = timeout(PEER_TIMEOUT, fetch_copy(peer)).await {
            match decompress(&compressed) {
                Ok(bytes) => {
                    apply_config_bytes(app, &bytes, Some(compressed), "peer");
                    return true;
                }
                Err(error) => {
                    log::error!(event = "config-invalid", source = "peer", error = error.to_string().as_str(); "");
                }
            }
        } else {
            log::info!(event = "config-fetch-failed", peer = peer.to_string().as_str(); "");
        }
        asked.push(peer);
    }
    false
}

async fn fetch_copy(peer: SocketAddr) -> Option<Bytes> {
    let (response, _) = fetch(peer, peer_path::CONFIG, PEER_TIMEOUT).await?;
    if response.status != 200 {
        return None;
    }
    response.whole_body().await.ok()
}
