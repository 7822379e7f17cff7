//! Speed and health of a backend server, estimated from the attempts that end there.

use crate::protocol::queue::Step;

/// Assumed slowdown of a task on a server outside the rack that holds its data.
const REMOTE_RACK_FACTOR: f64 = 1.5;
/// Weight of the newest attempt in the moving average of the run time ratio.
const WEIGHT: f64 = 0.15;
/// Upper bound of the ratio of a single attempt, so that an outlier does not dominate the average.
const RATIO_MAX: f64 = 8.0;
/// Number of consecutive failures at which a server is paused.
const FAILURES_MAX: u32 = 2;
/// First pause in starts on a server that fails all attempts, in ms. It doubles with each further
/// failure.
const PAUSE_MS: u64 = 1_000;
/// Longest such pause, in ms.
const PAUSE_MAX_MS: u64 = 8_000;

/// Slowdown of a task of `step` on a server with `labels`, because of where its data is.
pub fn rack_factor(step: &Step, labels: &[String]) -> f64 {
    match &step.data_rack {
        Some(rack) if !labels.contains(rack) => REMOTE_RACK_FACTOR,
        _ => 1.0,
    }
}

/// Speed and health of a backend server. Times are ms on one monotonic clock.
#[derive(Debug, Clone)]
pub struct Pace {
    /// Moving average of the actual run time divided by the declared one.
    ratio: f64,
    /// Consecutive failures.
    failures: u32,
    paused_until_ms: u64,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace { ratio: 1.0, failures: 0, paused_until_ms: 0 }
    }
}

impl Pace {
    /// Returns the expected run time of a task here, divided by the declared one.
    pub fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Whether another attempt may start here while `running` attempts of the same scheduler have
    /// not ended. After several failures only one at a time is tried.
    pub fn may_start(&self, now_ms: u64, running: usize) -> bool {
        self.paused_until_ms <= now_ms && (self.failures < FAILURES_MAX || running == 0)
    }

    /// Records an attempt that has ended successfully.
    pub fn done(&mut self, took_ms: u64, estimate_ms: u32) {
        self.failures = 0;
        if estimate_ms > 0 {
            let ratio = took_ms as f64 / f64::from(estimate_ms);
            self.ratio += WEIGHT * (ratio.min(RATIO_MAX) - self.ratio);
        }
    }

    /// Records an attempt that has failed or stalled. Returns the length of the pause that begins,
    /// if one does.
    pub fn failed(&mut self, now_ms: u64) -> Option<u64> {
        if now_ms < self.paused_until_ms && self.failures >= FAILURES_MAX {
            // Attempts that were running when the pause began give no new evidence.
            return None;
        }
        self.failures += 1;
        let doublings = self.failures.checked_sub(FAILURES_MAX)?.min(8);
        let pause_ms = (PAUSE_MS << doublings).min(PAUSE_MAX_MS);
        self.paused_until_ms = now_ms + pause_ms;
        Some(pause_ms)
    }

    /// Starts no attempt here until `until_ms`.
    pub fn pause(&mut self, until_ms: u64) {
        self.paused_until_ms = self.paused_until_ms.max(until_ms);
    }
}
