//! What survives a restart.

pub mod machine;
