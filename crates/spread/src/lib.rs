//! Dissemination of a new configuration version to every daemon.
//!
//! A daemon learns of a new version by reading the store's head, by a push or a digest from a peer, or
//! from the head that a call carries. It gets the lists from pushed updates, by a pull, by a transfer
//! from a peer, or from the object store, and pushes the change to peers that lack it.
//!
//! [`Spread`] is a state machine without sockets, threads or clocks. It takes [`SpreadEvent`]s and
//! returns [`SpreadAction`]s; its caller reads the store, sends datagrams and builds snapshots. In this
//! crate, a daemon's head is the version and the digest of the lists it uses, and the caller is called
//! the edge. See `docs/design/spread.md`.

mod config_update;
mod confirmation;
mod delta_log;
mod delta_update;
mod distributor;
mod fetch_outcome;
mod fetch_source;
mod link_class;
mod offer_buffer;
mod peer_table;
mod readiness;
mod refusal;
mod relay;
mod retrieval;
mod snapshot_holder;
mod spread;
mod spread_action;
mod spread_counters;
mod spread_event;
mod spread_exchange;
mod spread_message;
mod spread_mode;
mod spread_peer;
mod spread_preference;
mod spread_settings;
mod store_poll;
mod transfer_admission;

pub use crate::{
    config_update::{apply_updates, decode_update, refusal_of, update_between},
    delta_log::DeltaLog,
    delta_update::DeltaUpdate,
    fetch_outcome::FetchOutcome,
    fetch_source::FetchSource,
    link_class::LinkClass,
    readiness::Readiness,
    refusal::Refusal,
    snapshot_holder::SnapshotHolder,
    spread::Spread,
    spread_action::SpreadAction,
    spread_counters::SpreadCounters,
    spread_event::SpreadEvent,
    spread_message::SpreadMessage,
    spread_mode::SpreadMode,
    spread_peer::SpreadPeer,
    spread_preference::SpreadPreference,
    spread_settings::SpreadSettings,
};
