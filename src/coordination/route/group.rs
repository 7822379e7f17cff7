//! Servers that the same tasks fit.

use crate::{
    coordination::route::{Key, server::TIERS},
    protocol::job,
};

/// Servers of one data centre, size and set of kinds, with the same placements.
#[derive(Debug)]
pub struct Group {
    pub(super) dc: usize,
    pub(super) kinds: Vec<String>,
    /// Kinds that placements keep away.
    pub(super) denied: Vec<String>,
    pub(super) size: job::Needs,
    pub(super) members: Vec<Key>,
    /// Servers with room by tier, and which tiers have any.
    pub(super) room: [Vec<Key>; TIERS],
    pub(super) room_mask: u32,
    /// Sum of the servers' completion rates by tier, per µs.
    pub(super) rates: [f64; TIERS],
    /// No server of a higher tier has attempts in flight.
    pub(super) top_tier: usize,
}

impl Group {
    /// Whether its servers can run such a task.
    pub fn fits(&self, kind: &str, needs: &job::Needs) -> bool {
        (self.kinds.is_empty() || self.kinds.iter().any(|k| k == kind))
            && !self.denied.iter().any(|k| k == kind)
            && needs.fit(&self.size)
    }

    /// Number of servers.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether it has no servers (any more).
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}
