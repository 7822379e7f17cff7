//! Groups of servers that fit the same tasks.

use crate::{
    coordination::route::{Key, server::TIERS},
    protocol::job,
};

/// Servers of the same data centre, size and set of kinds, to which the same placements apply.
#[derive(Debug)]
pub struct Group {
    /// Index of `Router::data_centres`.
    pub(super) data_centre: usize,
    /// Kinds that the servers run, sorted; empty for all kinds.
    pub(super) kinds: Vec<String>,
    /// Kinds that placements do not allow here.
    pub(super) denied: Vec<String>,
    pub(super) size: job::Needs,
    pub(super) members: Vec<Key>,
    /// Servers with free capacity by tier.
    pub(super) available: [Vec<Key>; TIERS],
    /// Bit mask of the tiers that have such servers.
    pub(super) available_tiers: u32,
    /// Sum of the servers' rates of expected replies by tier, per µs.
    pub(super) rates: [f64; TIERS],
    /// Upper bound of the tiers whose servers have attempts in flight.
    pub(super) top_tier: usize,
}

impl Group {
    /// Whether its servers can run tasks of the kind with these needs.
    pub fn fits(&self, kind: &str, needs: &job::Needs) -> bool {
        (self.kinds.is_empty() || self.kinds.iter().any(|k| k == kind))
            && !self.denied.iter().any(|k| k == kind)
            && needs.fit(&self.size)
    }

    /// Number of servers.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether it has no servers. Groups stay after their last server has left.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}
