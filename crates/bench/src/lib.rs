//! Filled in by the next commits.
