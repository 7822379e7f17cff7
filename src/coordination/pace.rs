//! What is learned of a backend server from the runs that end there: how fast it is, and whether it
//! fails what it starts.

/// Weight of the newest run in the learned pace.
const WEIGHT: f64 = 0.15;
/// Most that a single run counts for.
const RATIO_MAX: f64 = 8.0;
/// Runs that may fail in a row before a server is left alone for a while.
const FAILURES_MAX: u32 = 2;
/// First pause of a server that fails all that it starts; it doubles with each further failure.
const PAUSE_MS: u64 = 1_000;
const PAUSE_MAX_MS: u64 = 8_000;

/// Pace and health of a backend server. Times are ms on one steady clock.
#[derive(Debug, Clone)]
pub struct Pace {
    /// Run time against the declared one.
    ratio: f64,
    failures: u32,
    paused_until_ms: u64,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace { ratio: 1.0, failures: 0, paused_until_ms: 0 }
    }
}

impl Pace {
    /// Run time of a task here against the declared one.
    pub fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Whether another task may start here. After failures one at a time is tried.
    pub fn open(&self, now_ms: u64, running: usize) -> bool {
        self.paused_until_ms <= now_ms && (self.failures < FAILURES_MAX || running == 0)
    }

    /// A run has ended as it should.
    pub fn done(&mut self, took_ms: u64, estimate_ms: u32) {
        self.failures = 0;
        if estimate_ms > 0 {
            let ratio = took_ms as f64 / f64::from(estimate_ms);
            self.ratio += WEIGHT * (ratio.min(RATIO_MAX) - self.ratio);
        }
    }

    /// A run has failed or stands still. Returns the length of the pause that begins, if one does.
    pub fn failed(&mut self, now_ms: u64) -> Option<u64> {
        if now_ms < self.paused_until_ms && self.failures >= FAILURES_MAX {
            // Runs that were under way when the pause began say nothing new.
            return None;
        }
        self.failures += 1;
        let doublings = self.failures.checked_sub(FAILURES_MAX)?.min(8);
        let pause_ms = (PAUSE_MS << doublings).min(PAUSE_MAX_MS);
        self.paused_until_ms = now_ms + pause_ms;
        Some(pause_ms)
    }

    /// Leaves the server alone until `until_ms`.
    pub fn pause(&mut self, until_ms: u64) {
        self.paused_until_ms = self.paused_until_ms.max(until_ms);
    }
}
