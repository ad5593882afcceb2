//! The two lists that operators edit, their checks, encodings and deltas, and the snapshot that requests are
//! routed by.
//!
//! Every result depends only on the input, so that all daemons with the same version route alike. See
//! `docs/design/commit.md`.

mod check;
mod config_error;
mod credential_hash;
mod customer_entry;
mod customer_pages;
mod customers;
mod delta;
mod documents;
mod entry_change;
mod entry_key;
pub mod limits;
mod list_file;
mod list_files;
mod lists;
mod lists_codec;
mod lists_patch;
mod page;
mod page_group;
mod page_key;
mod parsed_lists;
mod plan_entry;
mod route;
mod route_decision;
mod service_entry;
mod snapshot;
mod wire;

pub use crate::{
    config_error::ConfigError, credential_hash::CredentialHash, customer_entry::CustomerEntry,
    customers::Customers, delta::Delta, entry_change::EntryChange, entry_key::EntryKey,
    list_file::ListFile, list_files::ListFiles, lists::Lists, lists_patch::ListsPatch,
    parsed_lists::ParsedLists, plan_entry::PlanEntry, route::Route, route_decision::RouteDecision,
    service_entry::ServiceEntry, snapshot::Snapshot,
};
