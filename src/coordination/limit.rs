//! Limits: token buckets for quotas of client accounts, windows for backend servers.

use crate::coordination::dispatch::Micros;

/// Size of a bucket, in seconds of its quota.
const BURST_S: f64 = 1.0;
/// Fraction of the slots below which a window does not shrink.
const SLOTS_FRACTION_MIN: f64 = 0.5;
/// Attempts by which a window shrinks when a full server refuses an attempt.
const REFUSED_STEP: f64 = 0.5;
/// Attempts by which a window shrinks when an attempt waited too long at the server.
const WAITED_STEP: f64 = 0.1;
/// Attempts by which a window grows when an attempt hardly waited.
const GROW_STEP: f64 = 0.05;
/// Ratio of the wait at the backend server to the run time above which the window shrinks.
const WAIT_RATIO_MAX: f64 = 0.25;

/// Token bucket of task starts. A job is accepted while the bucket holds any tokens, and it may
/// leave a debt, so that a job larger than the bucket can start.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    per_s: f64,
    tokens: f64,
    refilled_at: Micros,
}

impl Bucket {
    /// Returns a full bucket.
    pub fn new(now: Micros, per_s: f64) -> Self {
        Self { per_s, tokens: per_s * BURST_S, refilled_at: now }
    }

    /// Changes the rate. Tokens above the new bucket size are dropped; a debt stays.
    pub fn set_rate(&mut self, now: Micros, per_s: f64) {
        self.refill(now);
        self.per_s = per_s;
        self.tokens = self.tokens.min(per_s * BURST_S);
    }

    /// Whether a start is within the quota now.
    pub fn is_open(&mut self, now: Micros) -> bool {
        self.refill(now);
        self.tokens > 0.0
    }

    /// Takes the tokens for `starts` starts, even if this leaves the bucket in debt.
    pub fn take(&mut self, now: Micros, starts: usize) {
        self.refill(now);
        self.tokens -= starts as f64;
    }

    fn refill(&mut self, now: Micros) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed_s * self.per_s).min(self.per_s * BURST_S);
    }
}

/// Limit on the attempts that all entries together have in flight at one backend server. It shrinks
/// when attempts wait or are refused there, and grows again when they do not.
#[derive(Debug, Clone, Copy)]
pub struct Window {
    slots: f64,
    limit: f64,
}

impl Window {
    /// Returns the window of a backend server that has not been used: all its slots.
    pub fn new(slots: u16) -> Self {
        let slots = f64::from(slots.max(1));
        Self { slots, limit: slots }
    }

    /// Number of attempts in flight at the backend server, from all entries together, up to which
    /// another one may be sent.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Resets the window to all slots if their number has changed.
    pub fn set_slots(&mut self, slots: u16) {
        let slots = f64::from(slots.max(1));
        if slots != self.slots {
            *self = Self { slots, limit: slots };
        }
    }

    /// Records that an attempt was refused because slots and queue are full.
    pub fn refused(&mut self) {
        self.shrink(REFUSED_STEP);
    }

    /// Records that an attempt ran for `ran_us` after it had waited for `waited_us` at the backend
    /// server.
    pub fn ran(&mut self, waited_us: f64, ran_us: f64) {
        if waited_us > WAIT_RATIO_MAX * ran_us {
            self.shrink(WAITED_STEP);
        } else {
            self.limit = (self.limit + GROW_STEP).min(self.slots);
        }
    }

    fn shrink(&mut self, step: f64) {
        self.limit = (self.limit - step).max((self.slots * SLOTS_FRACTION_MIN).max(1.0));
    }
}
