//! Pure decision code: time and randomness are arguments, messages go in, decisions come out.

pub mod dispatch;
pub mod member;
pub mod quota;
pub mod session;
