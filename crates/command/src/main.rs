//! Entry.
fn main() {}
