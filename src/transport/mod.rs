//! Communication with other processes: remote calls, HTTP and signals.

pub mod format;
pub mod http;
pub mod rpc;
pub mod signal;
