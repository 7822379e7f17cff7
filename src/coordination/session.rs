//! Leases of entry sessions as the control leader keeps them.

use indexmap::IndexMap;

use crate::{
    coordination::registry::{LEASE_MS, Millis},
    protocol::id,
};

/// Time beyond a lease before the jobs of a fenced session are settled, in ms. It covers clocks
/// that run at different rates and the start of an attempt that was checked just in time.
pub const ABANDON_MARGIN_MS: Millis = 1_000;
/// Time between two polls, in ms, above which this process has been stopped or starved: renewals
/// may wait unread, so nobody may be held to have missed one.
pub const STALL_MS: Millis = 1_000;

/// Sessions by the time of their last sign of life, for one leader in one term.
#[derive(Debug)]
pub struct Leases {
    polled: Millis,
    /// Open sessions with their last renewal, or when this leader first saw them.
    seen: IndexMap<id::Epoch, Millis>,
    /// Fenced sessions with the time at which this leader first saw their fence committed.
    fenced: IndexMap<id::Epoch, Millis>,
}

/// What is due.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Due {
    /// Sessions to be fenced: their lease has lapsed.
    pub fence: Vec<id::Epoch>,
    /// Fenced sessions of which no task can start any more.
    pub abandon: Vec<id::Epoch>,
}

impl Leases {
    /// Leases of a leader whose term begins at `now`: each session gets a whole lease.
    pub fn new(now: Millis) -> Leases {
        Leases { polled: now, seen: IndexMap::new(), fenced: IndexMap::new() }
    }

    /// Renews an open session.
    pub fn renew(&mut self, now: Millis, epoch: id::Epoch) {
        self.seen.insert(epoch, now);
    }

    /// Whether this process has not polled for so long that leases must start anew.
    pub fn stalled(&self, now: Millis) -> bool {
        now.saturating_sub(self.polled) > STALL_MS
    }

    /// What is due, given the open sessions and those that are fenced but not abandoned.
    pub fn poll(&mut self, now: Millis, live: &[id::Epoch], fenced: &[id::Epoch]) -> Due {
        if self.stalled(now) {
            self.seen.values_mut().for_each(|seen| *seen = now);
        }
        self.polled = now;
        Due {
            fence: older(&mut self.seen, now, live, LEASE_MS),
            abandon: older(&mut self.fenced, now, fenced, LEASE_MS + ABANDON_MARGIN_MS),
        }
    }
}

/// Makes `since` hold exactly `epochs` and returns those that have been there for over `age`.
fn older(
    since: &mut IndexMap<id::Epoch, Millis>,
    now: Millis,
    epochs: &[id::Epoch],
    age: Millis,
) -> Vec<id::Epoch> {
    since.retain(|epoch, _| epochs.contains(epoch));
    let over = |epoch: &id::Epoch, since: &mut IndexMap<id::Epoch, Millis>| {
        now.saturating_sub(*since.entry(*epoch).or_insert(now)) > age
    };
    epochs.iter().filter(|epoch| over(epoch, since)).copied().collect()
}
