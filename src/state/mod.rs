//! Durable state of a control instance: the log, snapshots and the replicated state machine.

pub mod log;
pub mod machine;
pub mod origin;
pub mod snapshot;
