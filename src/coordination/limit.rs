//! Limits: token buckets for quotas, windows for backend servers.

use crate::coordination::dispatch::Micros;

/// Seconds of a quota that may be used at once.
const BURST_S: f64 = 1.0;
/// Most attempts beyond its slots that are aimed at a backend server, at all entries together.
const EXTRA_MAX: f64 = 0.0;
/// Smallest part of the slots to which a window shrinks.
const SHRINK_MAX: f64 = 0.5;
const FULL_STEP: f64 = 0.5;
const WAITED_STEP: f64 = 0.1;
const GROW_STEP: f64 = 0.05;
/// Wait at the backend server, relative to the run time, from which on the window shrinks.
const WAITED_PART: f64 = 0.25;

/// Token bucket of task starts. A job is taken while the bucket is not in debt, so that one larger
/// than the bucket can pass.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    per_s: f64,
    tokens: f64,
    at: Micros,
}

impl Bucket {
    /// A full bucket.
    pub fn new(now: Micros, per_s: f64) -> Self {
        Self { per_s, tokens: per_s * BURST_S, at: now }
    }

    /// Changes the rate; tokens and debts stay.
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

    /// Pays for starts.
    pub fn take(&mut self, now: Micros, starts: usize) {
        self.refill(now);
        self.tokens -= starts as f64;
    }

    fn refill(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.at) as f64 / 1e6;
        self.at = self.at.max(now);
        self.tokens = (self.tokens + passed * self.per_s).min(self.per_s * BURST_S);
    }
}

/// How many attempts of all entries together are aimed at one backend server.
#[derive(Debug, Clone, Copy)]
pub struct Window {
    slots: f64,
    limit: f64,
}

impl Window {
    /// Window of a backend server that has not been used.
    pub fn new(slots: u16) -> Self {
        let slots = f64::from(slots.max(1));
        Self { slots, limit: slots }
    }

    /// Attempts up to which it takes more.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Takes over a changed number of slots.
    pub fn set_slots(&mut self, slots: u16) {
        let slots = f64::from(slots.max(1));
        if slots != self.slots {
            *self = Self { slots, limit: slots };
        }
    }

    /// An attempt was refused because slots and queue are full.
    pub fn refused(&mut self) {
        self.shrink(FULL_STEP);
    }

    /// An attempt ran after waiting at the backend server.
    pub fn ran(&mut self, waited_us: f64, ran_us: f64) {
        if waited_us > WAITED_PART * ran_us {
            self.shrink(WAITED_STEP);
        } else {
            self.limit = (self.limit + GROW_STEP).min(self.slots + EXTRA_MAX);
        }
    }

    fn shrink(&mut self, step: f64) {
        self.limit = (self.limit - step).max((self.slots * SHRINK_MAX).max(1.0));
    }
}
