//! A dispatcher for sub-second tasks.
//!
//! Layers, lowest first: [`transport`] moves bytes, [`protocol`] holds typed messages,
//! [`state`] is what survives a restart, and [`coordination`] is pure decision code.
//! The process modules wire these together.

pub mod backend;
pub mod client;
pub mod cmd;
pub mod config;
pub mod control;
pub mod coordination;
pub mod daemon;
pub mod entry;
pub mod error;
pub mod leader;
pub mod load;
pub mod metric;
pub mod output;
pub mod protocol;
pub mod sidecar;
pub mod state;
pub mod transport;
pub mod util;
