//! Leases of entry sessions, as kept by the leader of the control group.

use indexmap::IndexMap;

use crate::{
    coordination::registry::{LEASE_MS, Millis},
    protocol::id,
};

/// A fenced session is abandoned, which means that its open jobs are recorded as failed, once the
/// length of a sidecar's lease and this margin, in ms, have passed since its fence was committed.
/// Until then, a sidecar that has not received the fence may still start the session's attempts.
/// The margin covers clocks that run at different rates, and attempts that start just after the
/// sidecar has checked its lease.
pub const ABANDON_MARGIN_MS: Millis = 1_000;
/// Time between two polls, in ms, above which this process must have been stopped or starved.
/// Renewals may then wait unread, so no session counts as having missed one.
pub const STALL_MS: Millis = 1_000;

/// Leases of sessions, for one leader in one term.
#[derive(Debug)]
pub struct Leases {
    last_poll: Millis,
    /// Open sessions, with the time of their last renewal or else when this leader first saw them.
    renewed_at: IndexMap<id::Epoch, Millis>,
    /// Fenced sessions, with the time at which this leader first saw their fence committed.
    fenced_at: IndexMap<id::Epoch, Millis>,
}

/// What a poll finds due.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Due {
    /// Open sessions whose lease has lapsed: they must be fenced.
    pub fence: Vec<id::Epoch>,
    /// Fenced sessions of which no task can start any more: they must be abandoned, which records
    /// their open jobs as failed.
    pub abandon: Vec<id::Epoch>,
}

impl Leases {
    /// Returns the leases of a leader whose term begins at `now`: each session gets a whole lease.
    pub fn new(now: Millis) -> Leases {
        Leases { last_poll: now, renewed_at: IndexMap::new(), fenced_at: IndexMap::new() }
    }

    /// Renews the lease of an open session.
    pub fn renew(&mut self, now: Millis, epoch: id::Epoch) {
        self.renewed_at.insert(epoch, now);
    }

    /// Whether the last poll is so long ago that all leases must start anew.
    pub fn stalled(&self, now: Millis) -> bool {
        now.saturating_sub(self.last_poll) > STALL_MS
    }

    /// Returns what is due, given the open sessions `live` and those that are fenced but not yet
    /// abandoned.
    pub fn poll(&mut self, now: Millis, live: &[id::Epoch], fenced: &[id::Epoch]) -> Due {
        if self.stalled(now) {
            self.renewed_at.values_mut().for_each(|renewed_at| *renewed_at = now);
        }
        self.last_poll = now;
        Due {
            fence: older_than(&mut self.renewed_at, now, live, LEASE_MS),
            abandon: older_than(&mut self.fenced_at, now, fenced, LEASE_MS + ABANDON_MARGIN_MS),
        }
    }
}

/// Makes `since` contain exactly `epochs`, where new ones count from `now`, and returns those that
/// are older than `age`.
fn older_than(
    since: &mut IndexMap<id::Epoch, Millis>,
    now: Millis,
    epochs: &[id::Epoch],
    age: Millis,
) -> Vec<id::Epoch> {
    since.retain(|epoch, _| epochs.contains(epoch));
    let is_older = |epoch: &id::Epoch, since: &mut IndexMap<id::Epoch, Millis>| {
        now.saturating_sub(*since.entry(*epoch).or_insert(now)) > age
    };
    epochs.iter().filter(|epoch| is_older(epoch, since)).copied().collect()
}
