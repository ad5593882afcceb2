//! The operators' command: check, put and look at the two lists.

mod arguments;
mod command_error;
mod put;
mod run;

pub use crate::{command_error::CommandError, run::run};
