use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use medlarspool_adapter::{CONFIG_KEY, CONFIG_TABLE, StoreCall, StoreRow};
use medlarspool_hop::{compress, decompress, peer_path};
use medlarspool_mesh::{BootTime, ConfirmationRole, StorePosition, StoredConfig};
use tokio::time::{sleep, timeout};

use crate::{
    app::App,
    boot_clock::boot_time,
    contain::contain,
    fault_injection::reach,
    fault_point::FaultPoint,
    fetch::fetch,
    node::Node,
    refused_config::RefusedConfig,
    store_answer::StoreAnswer,
    store_client::{MAX_ANSWER_BYTES, backoff},
    store_error::StoreError,
};

/// How long the store is asked to hold a feed open, which is a call that returns when there is a change. A
/// connection on which nothing comes any more is noticed at the end of this wait, or when a peer reports a newer
/// version.
const FEED_WAIT: Duration = Duration::from_secs(10);

/// How long the store is asked to hold the lead relay's feed open. If the feeds of all relays became silent together,
/// no peer would report a newer version; the lead relay notices it within two seconds, and the others learn from it.
const LEAD_FEED_WAIT: Duration = Duration::from_millis(800);

/// How long a daemon that isn't elected as a relay asks the store to hold a feed open: shorter than [`FEED_WAIT`],
/// so that the daemon soon returns to the relays.
const SHORT_FEED_WAIT: Duration = Duration::from_secs(2);

/// How long the next call to the store waits after a change, so that one call returns several changes.
/// Configurations come in quick succession, and each call is charged. The wait is a part of the two seconds that
/// a change may take to come into force.
const CHANGE_GATHER_TIME: Duration = Duration::from_millis(500);

/// How long a daemon behind a slow link waits for a relay's copy before it reads the configuration from the
/// store for the first time. A relay is known after the second read of the daemons' rows at the latest;
/// this is the time of that read and a margin.
const RELAY_COPY_WAIT: Duration = Duration::from_millis(900);

/// How long this daemon waits for its own feed from the store, which is cheaper, before it asks a peer for a
/// newer version that the peer reported: longer than [`CHANGE_GATHER_TIME`], during which there is no feed. Both, and
/// the interval of a report that is lost, are parts of the two seconds that a change may take to come into force.
const OWN_FEED_WAIT: Duration = Duration::from_millis(600);

/// The longest wait for a peer's copy of the configuration.
const PEER_TIMEOUT: Duration = Duration::from_millis(600);

/// The longest compressed copy of the configuration; the store's answer with the configuration has at most as many bytes.
const MAX_COPY_BYTES: usize = MAX_ANSWER_BYTES;

/// The most peers asked for a copy before the store is asked.
const MAX_PEERS_ASKED: usize = 3;

/// The longest wait before the configuration is read again after the store came back from an older copy, so that not
/// all that follow the store read it at once.
const ERA_READ_SPREAD: Duration = Duration::from_millis(300);

/// How long a daemon waits after its first read of the configuration: long enough to hear from the other daemons of
/// its availability zone, among which the relays are elected.
const ELECTION_WAIT: Duration = Duration::from_millis(900);

/// What is known of the operator's table in the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownTable {
    /// The version of the configuration in it; none if it has none that can be read.
    pub(crate) config_version: Option<u64>,
    /// Up to where its changes are known.
    pub(crate) position: StorePosition,
}

/// Keeps the configuration up to date with the store.
///
/// Only the elected relays of each availability zone follow the store; the others rely on them as long as they
/// get reports from one: each call to the store is charged, and it sends each version whole and uncompressed,
/// which delays all other traffic on a slow link. See `docs/design/platform.md`.
pub(crate) async fn follow_store(app: Rc<App>) {
    let mut failures = 0;
    // Up to where changes of the table are known; it is read whole without a position in the store's present era.
    let mut known_table: Option<KnownTable> = None;
    let mut was_read = false;
    let mut known_era = app.store.era();
    let mut is_feed_doubtful = false;
    if !app.settings.has_fast_link() {
        // A timeout means that no relay provided a copy; the store is read then.
        let _ = timeout(RELAY_COPY_WAIT, app.config_arrived.notified()).await;
    }
    loop {
        while app.core.with(|node, cx| node.follows_relays(cx.now())) {
            app.store_needed.notified().await;
        }
        reach(FaultPoint::StoreFeed, "");
        let era = app.store.era();
        if std::mem::replace(&mut known_era, era) < era {
            // Followers, which don't call the store, learn of the era from reports.
            app.core.with(Node::schedule_report);
        }
        known_table = known_table.filter(|known| known.position.era == era);
        let known_position = known_table.map(|known| known.position);
        let call = config_call(&app, known_position, is_feed_doubtful);
        let sent_at = boot_time();
        let result = tokio::select! {
            biased;
            result = app.store.call(&app.metrics, &call) => result,
            () = app.feed_overtaken.notified() => {
                log::info!(event = "feed-overtaken"; "");
                app.store.drop_idle_connections();
                is_feed_doubtful = true;
                continue;
            }
            // A held feed of an earlier era is given up, since it may leave out changes.
            () = app.store.era_watch.raised.notified() => {
                app.store.drop_idle_connections();
                sleep(ERA_READ_SPREAD.mul_f64(fastrand::f64())).await;
                continue;
            }
        };
        // A call that returns at once shows whether the store can be reached again.
        is_feed_doubtful = result.is_err();
        let is_reachable = matches!(result, Ok(_) | Err(StoreError::HistoryDropped));
        app.core.with(|node, cx| {
            node.record_store_call(cx.now(), is_reachable);
            if result.is_ok() {
                node.store_confirmed_at = Some(cx.now());
            }
        });
        match result {
            Ok(answer) => {
                failures = 0;
                known_table = apply_answer(&app, sent_at, known_table, &answer);
                if !std::mem::replace(&mut was_read, true) {
                    sleep(ELECTION_WAIT).await;
                } else if !answer.rows.is_empty() {
                    sleep(CHANGE_GATHER_TIME).await;
                }
            }
            Err(StoreError::HistoryDropped) => known_table = None,
            Err(_) => {
                sleep(backoff(failures)).await;
                failures += 1;
            }
        }
    }
}

/// Returns the call that reads what changed since a position, or all without one. A feed that is doubtful is to return
/// at once, to show whether the store can be reached.
fn config_call(
    app: &Rc<App>,
    known_position: Option<StorePosition>,
    is_feed_doubtful: bool,
) -> StoreCall {
    match known_position {
        None => StoreCall::Get {
            after_key: None,
            table: CONFIG_TABLE,
        },
        Some(position) => StoreCall::Feed {
            after: position.version,
            table: CONFIG_TABLE,
            wait: if is_feed_doubtful {
                Duration::ZERO
            } else {
                feed_wait(app)
            },
        },
    }
}

fn feed_wait(app: &Rc<App>) -> Duration {
    app.core.with(|node, cx| {
        let now = cx.now();
        let policy = node.confirmation.policy;
        if let Some(policy) =
            policy.filter(|_| node.confirmation_role(now) == ConfirmationRole::Lead)
        {
            policy.lead_feed_wait()
        } else if node.is_lead_relay(now) {
            LEAD_FEED_WAIT
        } else if node.is_elected_relay(now) {
            FEED_WAIT
        } else {
            SHORT_FEED_WAIT
        }
    })
}

/// Applies the rows in the store's answer to a call that was sent at `sent_at`, and records what it confirms. `known` is
/// what was known of the table up to the position that the call named; none if the call read the table whole.
///
/// Returns what is known of the table now; none if it has to be read whole, since a feed of an earlier era may leave
/// out changes.
pub(crate) fn apply_answer(
    app: &Rc<App>,
    sent_at: BootTime,
    known: Option<KnownTable>,
    answer: &StoreAnswer,
) -> Option<KnownTable> {
    let mut config_version = known.and_then(|known| known.config_version);
    for row in &answer.rows {
        if row.key == CONFIG_KEY {
            // A row that causes a panic must not stop the feed.
            config_version = contain(|| apply_row(app, row)).flatten();
        }
    }
    let position = answer.position;
    if app.settings.rollouts.is_some() {
        // After the configuration, which has the services.
        app.core.with(|node, cx| {
            node.learn_orders(cx, &answer.rows, position.era);
            if known.is_none() {
                node.finish_reading_orders();
            }
        });
    }
    if known.is_some_and(|known| known.position.era != position.era) {
        return None;
    }
    if let Some(version) = config_version {
        let stored = StoredConfig { position, version };
        app.core
            .with(|node, _| node.record_stored_config(sent_at, stored));
    }
    Some(KnownTable {
        config_version,
        position,
    })
}

/// Applies the row of the configuration; returns its version, or none if it was deleted or can't be read. What can't be
/// read may take keys away, so it confirms no other version.
fn apply_row(app: &Rc<App>, row: &StoreRow) -> Option<u64> {
    if row.deleted {
        return None;
    }
    apply_config_bytes(app, &row.value, None, "store")
}

/// Decodes a configuration and puts it in force if it is newer; compresses it for other daemons unless it
/// came compressed. Returns its version; none if it can't be read.
fn apply_config_bytes(
    app: &Rc<App>,
    bytes: &[u8],
    compressed: Option<Bytes>,
    source: &'static str,
) -> Option<u64> {
    let config = match medlarspool_adapter::decode_config(bytes) {
        Ok(config) => config,
        Err(error) => {
            let version = medlarspool_adapter::decode_config_version(bytes);
            app.core.with(|node, cx| {
                node.record_refused_config(RefusedConfig {
                    reason: error.to_string(),
                    refused_at: cx.now(),
                    source,
                    version,
                });
            });
            return None;
        }
    };
    let version = config.version;
    app.core.with(|node, _| node.record_valid_config(version));
    if !app.core.with(|node, _| node.is_newer(&config)) {
        return Some(version);
    }
    match compressed.map_or_else(|| compress(bytes), Ok) {
        Ok(compressed) => app
            .core
            .with(|node, cx| node.apply_config(cx, config, compressed)),
        Err(error) => {
            log::error!(event = "config-unpackable", error = error.to_string().as_str(); "");
        }
    }
    Some(version)
}

/// Fetches newer versions from peers that report them: at once if this daemon relies on relays or has no
/// configuration, and otherwise only if the own feed from the store did not return them in time.
pub(crate) async fn follow_peers(app: Rc<App>) {
    loop {
        app.config_behind.notified().await;
        let has_own_feed = app
            .core
            .with(|node, cx| node.config.is_some() && !node.follows_relays(cx.now()));
        if has_own_feed {
            sleep(OWN_FEED_WAIT).await;
            if app.core.with(|node, cx| node.is_behind_peers(cx.now())) {
                app.feed_overtaken.notify_waiters();
            }
        }
        if !fetch_newer(&app).await {
            app.core
                .with(|node, cx| node.record_relay_failure(cx.now()));
            app.store_needed.notify_one();
        }
    }
}

/// Fetches a newer version from up to [`MAX_PEERS_ASKED`] peers; returns whether one was fetched or none is
/// known.
async fn fetch_newer(app: &Rc<App>) -> bool {
    let mut asked_peers = Vec::new();
    while asked_peers.len() < MAX_PEERS_ASKED {
        let peer_with_newer = app.core.with(|node, cx| {
            let own_version = node.config_version();
            node.directory
                .config_holder(cx.now(), own_version, &asked_peers)
        });
        let Some(peer) = peer_with_newer else {
            return asked_peers.is_empty();
        };
        if let Ok(Some(compressed)) = timeout(PEER_TIMEOUT, fetch_copy(peer)).await {
            match decompress(&compressed) {
                Ok(bytes) => {
                    contain(|| apply_config_bytes(app, &bytes, Some(compressed), "peer"));
                    return true;
                }
                Err(error) => {
                    log::error!(event = "config-invalid", source = "peer", error = error.to_string().as_str(); "");
                }
            }
        } else {
            log::info!(event = "config-fetch-failed", peer = peer.to_string().as_str(); "");
        }
        asked_peers.push(peer);
    }
    false
}

/// Fetches a peer's compressed copy of the configuration.
async fn fetch_copy(peer: SocketAddr) -> Option<Bytes> {
    let response = fetch(peer, peer_path::CONFIG, PEER_TIMEOUT).await?;
    if response.status != 200 {
        return None;
    }
    response.whole_body(MAX_COPY_BYTES).await.ok()
}
