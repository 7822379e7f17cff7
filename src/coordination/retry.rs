//! Token budgets for attempts beyond the first of each task: retries and hedges.

use crate::coordination::dispatch::Micros;

/// Maximum number of tokens in a budget. A budget for retries starts with as many, so that an
/// account with few starts can retry.
const TOKENS_MAX: f64 = 10.0;
/// Tokens per second that a budget for retries gets without any start.
const REFILL_PER_S: f64 = 2.0;

/// Shortest time after which a caller should try again to take a token.
const WAIT_MIN_US: Micros = 1_000;

/// Extra attempts allowed in proportion to first starts. Each extra attempt costs one token.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    /// Tokens per first start.
    ratio: f64,
    per_s: f64,
    tokens: f64,
    max: f64,
    refilled_at: Micros,
}

impl Budget {
    /// Returns a budget for retries. It is full at first and then gets `ratio` tokens per first
    /// start and `REFILL_PER_S` tokens per second.
    pub fn new(now: Micros, ratio: f64) -> Self {
        Self { ratio, per_s: REFILL_PER_S, tokens: TOKENS_MAX, max: TOKENS_MAX, refilled_at: now }
    }

    /// Returns a budget for optional attempts, such as hedges. It is empty at first and gets only
    /// `ratio` tokens per first start.
    pub fn without_refill(now: Micros, ratio: f64) -> Self {
        Self { ratio, per_s: 0.0, tokens: 0.0, max: TOKENS_MAX, refilled_at: now }
    }

    /// Changes the number of tokens per first start.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Counts a first start.
    pub fn started(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.max);
    }

    /// Takes a token for an extra attempt, or returns the time at which to try again.
    pub fn take(&mut self, now: Micros) -> Result<(), Micros> {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed_s * self.per_s).min(self.max);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let rate = self.per_s.max(0.1);
        // Without the minimum, rounding could give the present time, and the caller would try again
        // forever without any time passing.
        Err(now + WAIT_MIN_US + ((1.0 - self.tokens) / rate * 1e6) as Micros)
    }
}
