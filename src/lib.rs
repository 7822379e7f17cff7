//! A dispatcher for sub-second tasks.
//!
//! The layers, lowest first:
//!
//! - [`transport`] communicates with other processes by HTTP and remote calls.
//! - [`protocol`] defines the types of the messages.
//! - [`state`] holds the data that survives a restart.
//! - [`coordination`] makes decisions, without I/O.
//!
//! [`control`], [`entry`], [`sidecar`] and [`backend`] each combine these layers into a process.

pub mod backend;
pub mod budget;
pub mod client;
mod cluster;
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
pub mod supervisor;
pub mod transport;
pub mod util;
