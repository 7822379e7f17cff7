//! Communication with other processes: remote calls, HTTP and signals.

pub mod format;
pub mod frame;
pub mod http;
pub mod limit;
pub mod rpc;
pub mod signal;
