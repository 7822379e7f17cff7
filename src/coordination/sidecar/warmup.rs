//! Warm-up of the backend server, and the capacity that is withheld from entries.

use super::{
    BackendServer, Sidecar,
    progress::{Admission, Progress},
};
use crate::{coordination::warmup::Warmup, protocol::queue::Resources};

impl Sidecar {
    /// Begins a warm-up of the backend server, as its drain has ended.
    pub fn begin_warmup(&mut self, now_ms: u64) {
        if let Some(backend) = &mut self.backend {
            backend.begin_warmup(now_ms);
        }
    }

    /// Begins a warm-up of a server that was just adopted, if it is cold until `cold_until_ms`.
    pub(super) fn begin_cold_start(&mut self, now_ms: u64, cold_until_ms: u64) {
        let Some(backend) = &mut self.backend else { return };
        backend.cold_until_ms = cold_until_ms;
        if cold_until_ms > now_ms {
            backend.begin_warmup(now_ms);
        }
    }
}

impl BackendServer {
    fn begin_warmup(&mut self, now_ms: u64) {
        self.warmup = Some(Warmup::new(now_ms, self.cold_until_ms));
        let cold_ms = self.cold_until_ms.saturating_sub(now_ms);
        log::info!("event=warmup server={} cold_ms={cold_ms}", self.server.id);
    }

    /// Records until when it is cold, by its newest announcement.
    pub fn record_cold(&mut self, now_ms: u64, cold_until_ms: u64) {
        self.cold_until_ms = cold_until_ms;
        if let Some(warmup) = &mut self.warmup {
            warmup.update(now_ms, cold_until_ms);
        }
    }

    /// Whether the warm-up allows a start after which `used` would be in use.
    pub fn warmup_allows(&self, now_ms: u64, used: &Resources) -> bool {
        let idle = self.used == Resources::default();
        self.warmup.is_none_or(|warmup| warmup.allows(now_ms, &self.server.capacity, used, idle))
    }

    /// Returns the resources to be shown to entries as used: what is in use, and what is withheld from
    /// them. `largest` covers the needs of each attempt so far, and so is enough for one.
    pub fn shown_used(&self, now_ms: u64, largest: &Resources) -> Resources {
        let idle = self.used == Resources::default() && self.waiting_count() == 0;
        let capacity = self.server.capacity;
        let mut shown = self.used;
        if let Some(warmup) = &self.warmup {
            let limit = warmup.limit(now_ms, &capacity);
            let limit = if idle { limit.max_of(largest) } else { limit };
            let mut withheld = capacity;
            withheld.sub(&limit);
            shown.add(&withheld);
        }
        let lacks_trial = |progress: &Progress| progress.lacks_trial(now_ms);
        if self.admission(now_ms) == Admission::Trial
            && !self.progress.as_ref().is_some_and(lacks_trial)
        {
            let mut withheld = capacity;
            withheld.sub(largest);
            shown = shown.max_of(&withheld);
        }
        shown
    }
}
