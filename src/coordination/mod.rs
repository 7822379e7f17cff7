//! Decision logic without I/O: callers pass in messages, the time and random numbers, and carry out
//! the decisions that are returned.

pub mod connection;
pub mod consensus;
pub mod contact;
pub mod dispatch;
pub mod drain;
pub mod formation;
pub mod health;
pub mod lease;
pub mod limit;
pub mod membership;
pub mod naive;
pub mod pace;
pub mod queue;
pub mod quota;
pub mod registry;
pub mod retry;
pub mod route;
pub mod schedule;
pub mod session;
pub mod sidecar;
pub mod slot;
pub mod speed;
pub mod transient;
pub mod warmup;
