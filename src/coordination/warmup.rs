//! Share of a backend server's capacity that is used while its caches are cold. Tasks that start on a
//! cold server all at once are all late.

use crate::protocol::queue::Resources;

/// Share of the capacity that is used at once.
const FIRST_SHARE: f64 = 0.25;
/// Shortest warm-up, in ms.
const LENGTH_MIN_MS: u64 = 1_000;

/// A warm-up, in which the share rises linearly to the whole capacity. Times are ms on one monotonic
/// clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Warmup {
    began_ms: u64,
    until_ms: u64,
}

impl Warmup {
    /// A warm-up of a server that is cold until `cold_until_ms`, as far as it is known.
    pub fn new(now_ms: u64, cold_until_ms: u64) -> Warmup {
        Warmup { began_ms: now_ms, until_ms: cold_until_ms.max(now_ms + LENGTH_MIN_MS) }
    }

    /// Handles a further statement of the server on how long it is cold. One that comes after the end
    /// of the warm-up does not begin another.
    pub fn update(&mut self, now_ms: u64, cold_until_ms: u64) {
        if now_ms < self.until_ms {
            self.until_ms = Warmup::new(self.began_ms, cold_until_ms).until_ms;
        }
    }

    /// Returns the share of the capacity in use.
    pub fn share(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.began_ms) as f64;
        let passed = passed_ms / (self.until_ms - self.began_ms) as f64;
        FIRST_SHARE + (1.0 - FIRST_SHARE) * passed.min(1.0)
    }

    /// Returns the part of `capacity` in use.
    pub fn limit(&self, now_ms: u64, capacity: &Resources) -> Resources {
        let share = self.share(now_ms);
        let part = |amount: u64| match share < 1.0 {
            true => (amount as f64 * share).ceil() as u64,
            false => amount,
        };
        Resources {
            cpu_milli: part(capacity.cpu_milli),
            memory_mb: part(capacity.memory_mb),
            accelerators: part(capacity.accelerators),
        }
    }

    /// Whether an attempt may start after which `used` would be in use. One is always allowed while
    /// nothing runs, as tasks may need more than the first share.
    pub fn allows(&self, now_ms: u64, capacity: &Resources, used: &Resources, idle: bool) -> bool {
        idle || self.limit(now_ms, capacity).fits(used)
    }
}
