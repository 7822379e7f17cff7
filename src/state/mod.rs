//! What survives a restart.

pub mod log;
pub mod machine;
pub mod snapshot;
