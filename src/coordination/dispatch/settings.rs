//! Settings of the dispatch policy.

use crate::{coordination::dispatch::Micros, protocol::wire::control};

/// Dispatch policy to use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    #[default]
    Briargauge,
    /// Baseline for comparisons: round robin with fixed limits.
    Naive,
}

/// Settings of a dispatcher.
#[derive(Debug, Clone)]
pub struct Settings {
    pub policy: Policy,
    /// The entry's own data centre.
    pub data_centre: String,
    /// Known round trips to data centres. They, and assumed ones for the rest, are adjusted to what
    /// is measured.
    pub round_trips: Vec<(String, Micros)>,
    /// Maximum number of tasks that are queued for all client accounts together.
    pub waiting_max: usize,
    /// Longest expected wait with which an execution is still accepted.
    pub wait_max_us: Micros,
    /// Settings of client accounts that have none of their own.
    pub account: AccountSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            data_centre: String::new(),
            round_trips: Vec::new(),
            waiting_max: 200_000,
            wait_max_us: 1_000_000,
            account: AccountSettings::default(),
        }
    }
}

/// What a client account prefers where the two conflict.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Preference {
    /// Short response times: tasks that may be started twice are hedged.
    #[default]
    Response,
    /// Few messages: no task is hedged.
    Messages,
}

/// Restricts where tasks of a kind may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    pub kind: String,
    /// Data centre to which the kind is restricted; `None` for any.
    pub data_centre: Option<String>,
    /// Rack to which the kind is restricted; `None` for any.
    pub rack: Option<String>,
}

impl Placement {
    /// Whether the kind may run at a backend server.
    pub fn allows(&self, server: &control::Server) -> bool {
        self.data_centre.as_ref().is_none_or(|name| *name == server.data_centre)
            && self.rack.as_ref().is_none_or(|name| *name == server.rack)
    }
}

/// Settings of a client account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountSettings {
    /// Share of the capacity relative to the weights of other accounts.
    pub weight: f64,
    /// Maximum number of tasks that are queued. While none are queued, an execution with more tasks
    /// is accepted too.
    pub waiting_max: usize,
    /// Whether tasks may be hedged.
    pub hedge: bool,
    /// Retries allowed, in percent of starts.
    pub retry_percent: u32,
    pub preference: Preference,
}

impl Default for AccountSettings {
    fn default() -> Self {
        Self {
            weight: 1.0,
            waiting_max: 20_000,
            hedge: true,
            retry_percent: 10,
            preference: Preference::default(),
        }
    }
}
