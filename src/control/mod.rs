//! The control process: replicated log, sessions, members, rules.

pub mod replica;
