//! Types of the messages between the system's processes, callers, backend servers and operators.

pub mod announce;
pub mod bounded;
pub mod id;
pub mod job;
pub mod queue;
pub mod rule;
pub mod wire;
