//! Tests of the membership core under a clock and a delivery queue of their own.

mod fleet;
mod herds;
mod properties;
mod scenarios;
