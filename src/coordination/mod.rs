//! Pure decision code: time and randomness are arguments, messages go in, decisions come out.

pub mod consensus;
pub mod dispatch;
