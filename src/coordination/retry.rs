//! Budgets for repeated and for additional attempts.

use crate::coordination::dispatch::Micros;

/// Tokens a budget holds at most and starts with, so that a team with few starts can retry.
const FLOOR: f64 = 10.0;
/// Tokens that come back each second without any start.
const FLOOR_PER_S: f64 = 2.0;

/// Shortest time after which asking again makes sense.
const WAIT_MIN_US: Micros = 1_000;

/// Extra attempts that are allowed per start.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    part: f64,
    per_s: f64,
    tokens: f64,
    max: f64,
    at: Micros,
}

impl Budget {
    /// Budget for retries: `part` per start and a small floor.
    pub fn new(now: Micros, part: f64) -> Self {
        Self { part, per_s: FLOOR_PER_S, tokens: FLOOR, max: FLOOR, at: now }
    }

    /// Budget without a floor, for attempts that are optional.
    pub fn without_floor(now: Micros, part: f64) -> Self {
        Self { part, per_s: 0.0, tokens: 0.0, max: FLOOR, at: now }
    }

    /// Changes the part per start.
    pub fn set_ratio(&mut self, part: f64) {
        self.part = part;
    }

    /// Counts a first start.
    pub fn started(&mut self) {
        self.tokens = (self.tokens + self.part).min(self.max);
    }

    /// Takes an extra attempt out of the budget, or tells when to ask again.
    pub fn take(&mut self, now: Micros) -> Result<(), Micros> {
        let passed = now.saturating_sub(self.at) as f64 / 1e6;
        self.at = self.at.max(now);
        self.tokens = (self.tokens + passed * self.per_s).min(self.max);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let rate = self.per_s.max(0.1);
        // Rounding could otherwise name the present, and the caller would ask for ever.
        Err(now + WAIT_MIN_US + ((1.0 - self.tokens) / rate * 1e6) as Micros)
    }
}
