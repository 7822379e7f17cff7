//! Pure decision code: time and randomness are arguments, messages go in, decisions come out.

pub mod dispatch;
pub mod health;
pub mod lease;
pub mod limit;
pub mod member;
pub mod naive;
pub mod queue;
pub mod retry;
pub mod route;
pub mod slot;
pub mod speed;
