//! Communication with other processes: remote calls, HTTP and signals.

pub mod http;
pub mod rpc;
pub mod signal;
