//! The introductions of other instances that this one has heard.

use std::collections::BTreeMap;

use crate::protocol::wire::peer::Id;

/// Time without an introduction of an instance after which its next one counts as its first, in ms.
const FORGOTTEN_AFTER_MS: u64 = 10_000;
/// Number of instances that are remembered.
const REMEMBERED_MAX: usize = 64;

/// The introductions heard, for the metrics.
#[derive(Debug, Default)]
pub(in crate::control::replica) struct Heard {
    /// Number of introductions that this instance heard while it led.
    pub while_leading: u64,
    /// Number of introductions that it heard while it did not lead.
    pub while_following: u64,
    /// When the first and the last introduction of each instance was heard, in ms since the replica
    /// started.
    times: BTreeMap<Id, (u64, u64)>,
}

impl Heard {
    /// Records an introduction of `id`.
    pub fn record(&mut self, now_ms: u64, id: Id, leads: bool) {
        match leads {
            true => self.while_leading += 1,
            false => self.while_following += 1,
        }
        self.times.retain(|_, (_, last_ms)| now_ms < *last_ms + FORGOTTEN_AFTER_MS);
        if self.times.len() < REMEMBERED_MAX || self.times.contains_key(&id) {
            self.times.entry(id).or_insert((now_ms, now_ms)).1 = now_ms;
        }
    }

    /// Time since the first introduction of `id`, in ms, if it is remembered.
    pub fn age_ms(&self, now_ms: u64, id: &Id) -> Option<u64> {
        self.times.get(id).map(|(first_ms, _)| now_ms.saturating_sub(*first_ms))
    }
}
