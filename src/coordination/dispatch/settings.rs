//! Settings of the dispatch policy.

use crate::{coordination::dispatch::Micros, protocol::wire::control};

/// Which policy decides.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    #[default]
    Briargauge,
    /// The baseline for comparisons: round robin with fixed limits.
    Naive,
}

/// Settings of a dispatcher.
#[derive(Debug, Clone)]
pub struct Settings {
    pub policy: Policy,
    /// The entry's own data centre.
    pub data_centre: String,
    /// Known round trips to data centres; others are learned.
    pub round_trips: Vec<(String, Micros)>,
    /// Most tasks that wait, of all teams together.
    pub waiting_max: usize,
    /// Longest expected wait with which a run is still taken.
    pub wait_max_us: Micros,
    /// Teams without settings of their own.
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

/// What a team gives more weight to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Preference {
    /// Response time: tasks that may be started twice are hedged.
    #[default]
    Response,
    /// Few messages.
    Messages,
}

/// Where tasks of a kind may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    pub kind: String,
    /// Only in this data centre, `None` for any.
    pub data_centre: Option<String>,
    /// Only in this rack, `None` for any.
    pub rack: Option<String>,
}

impl Placement {
    /// Whether a backend server may run the kind.
    pub fn allows(&self, server: &control::Server) -> bool {
        self.data_centre.as_ref().is_none_or(|name| *name == server.data_centre)
            && self.rack.as_ref().is_none_or(|name| *name == server.rack)
    }
}

/// Settings of a client account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountSettings {
    /// Part of the capacity relative to other teams.
    pub weight: f64,
    /// Most tasks that wait. A single run may exceed it.
    pub waiting_max: usize,
    /// Whether tasks may be hedged at all.
    pub hedge: bool,
    /// Retries in percent of starts.
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
