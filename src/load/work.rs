//! Distribution of the run times of tasks.

use rand::Rng;

/// Distribution of run times on a backend server of speed 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Work {
    /// 97% of tasks take 50 ms to 1 s, log-uniform; 3% take 2 to 5 s, uniform.
    Steady,
    /// The same run time for all tasks, in ms.
    Fixed(u64),
}

/// Fraction of long tasks in [`Work::Steady`].
const LONG_SHARE: f64 = 0.03;
const SHORT_MS: (f64, f64) = (50.0, 1_000.0);
const LONG_MS: (f64, f64) = (2_000.0, 5_000.0);

impl Work {
    /// Parses `steady` or a number of ms.
    pub fn new(text: &str) -> Option<Work> {
        match text {
            "steady" => Some(Work::Steady),
            _ => text.parse().ok().map(Work::Fixed),
        }
    }

    /// Draws the run time of one task, in ms.
    pub fn draw(self, random: &mut impl Rng) -> u64 {
        match self {
            Work::Fixed(ms) => ms,
            Work::Steady if random.random_bool(LONG_SHARE) => {
                random.random_range(LONG_MS.0..LONG_MS.1) as u64
            }
            Work::Steady => {
                let (low, high) = (SHORT_MS.0.ln(), SHORT_MS.1.ln());
                random.random_range(low..high).exp() as u64
            }
        }
    }

    /// Mean run time, in ms.
    pub fn mean_ms(self) -> f64 {
        match self {
            Work::Fixed(ms) => ms as f64,
            Work::Steady => {
                let short = (SHORT_MS.1 - SHORT_MS.0) / (SHORT_MS.1 / SHORT_MS.0).ln();
                let long = (LONG_MS.0 + LONG_MS.1) / 2.0;
                (1.0 - LONG_SHARE) * short + LONG_SHARE * long
            }
        }
    }
}

/// Shortest possible time for a job on an idle system, in ms, if each of its `slots` slots had the
/// `speed` of the fastest backend server: no job is faster than its longest task, or than its total
/// work spread evenly over all slots.
pub fn ideal_ms(work_ms: &[u64], slots: usize, speed: f64) -> f64 {
    let longest = work_ms.iter().max().copied().unwrap_or(0) as f64;
    let mean_per_slot = work_ms.iter().sum::<u64>() as f64 / slots as f64;
    longest.max(mean_per_slot) / speed
}
