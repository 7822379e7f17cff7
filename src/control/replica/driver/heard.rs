//! The introductions of other instances that this one has heard.

use std::collections::BTreeMap;

use crate::protocol::wire::peer::Id;

/// Shortest time between two log lines about introductions of one instance, in ms.
const LOG_INTERVAL_MS: u64 = 5_000;
/// Number of instances whose introductions are logged within [`LOG_INTERVAL_MS`].
const LOGGED_MAX: usize = 64;

/// The introductions heard, for the metrics and the log.
#[derive(Debug, Default)]
pub(in crate::control::replica) struct Heard {
    /// Number of introductions that this instance heard while it led.
    pub while_leading: u64,
    /// Number of introductions that it heard while it did not lead.
    pub while_following: u64,
    /// When an introduction of each instance was last logged, and whether this one led then.
    logged: BTreeMap<Id, (u64, bool)>,
}

impl Heard {
    /// Records an introduction of `id`. Returns whether it is to be logged.
    pub fn record(&mut self, now_ms: u64, id: Id, leads: bool) -> bool {
        match leads {
            true => self.while_leading += 1,
            false => self.while_following += 1,
        }
        self.logged.retain(|_, (logged_ms, _)| now_ms < *logged_ms + LOG_INTERVAL_MS);
        let known = self.logged.get(&id).map(|(_, led)| *led);
        if known == Some(leads) || (known.is_none() && self.logged.len() >= LOGGED_MAX) {
            return false;
        }
        self.logged.insert(id, (now_ms, leads));
        true
    }
}
