//! Tests of the membership core with a virtual clock and a simulated network.

mod fleet;
mod herds;
mod properties;
mod scenarios;
