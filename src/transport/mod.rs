//! Moves bytes: remote calls, HTTP and signals.

pub mod http;
pub mod rpc;
pub mod signal;
