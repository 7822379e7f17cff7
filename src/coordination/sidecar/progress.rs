//! Progress of the attempts at a backend server, by the percentages in its answers to polls.
//!
//! A server has stalled if its attempts stand still. Nothing starts there then but one trial attempt
//! at a time, until an attempt advances. Percentages are compared at the times of the answers on the
//! server's clock. A long pause between two answers, as while the sidecar or its machine was
//! suspended, begins the measurement anew.

use indexmap::IndexMap;

use crate::protocol::queue::{Attempt, Outcome};

/// Longest time between two answers that are compared, in ms. While attempts run, a poll is answered
/// within 100 ms, and followed by the next one after 140 ms if it is not.
const GAP_MAX_MS: u64 = 200;
/// Factor of the expected time for one percent. Tasks do not advance evenly.
const PERCENT_FACTOR: u64 = 12;
/// Time from the detection of a stall to the first trial attempt, in ms. It doubles with each trial
/// attempt that stands still.
const PAUSE_MIN_MS: u64 = 500;
/// Longest pause between two trial attempts, in ms.
const PAUSE_MAX_MS: u64 = 4_000;

/// Progress of a running attempt in an answer to a poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    pub attempt: Attempt,
    pub percent: u8,
    /// Time since its start was called for, in ms.
    pub ran_ms: u64,
    /// Declared run time, in ms.
    pub estimate_ms: u32,
}

/// What follows from an answer.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Attempts to stop, as they stand still.
    pub stops: Vec<Attempt>,
    pub change: Option<Change>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    Stalled {
        /// Time for which nothing has advanced.
        for_ms: u64,
    },
    Recovered {
        after_ms: u64,
        trials: u32,
    },
}

/// Which attempts may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    All,
    /// One attempt, as a trial.
    Trial,
    None,
}

/// Last known progress of an attempt. Times are on the server's clock.
#[derive(Debug)]
struct Mark {
    percent: u8,
    /// Since when the percentage has not changed.
    since_ms: u64,
    /// Time without a change after which the attempt stands still.
    limit_ms: u64,
}

impl Mark {
    fn stands_still(&self, clock_ms: u64, factor: u64) -> bool {
        clock_ms.saturating_sub(self.since_ms) >= factor.saturating_mul(self.limit_ms)
    }
}

/// A stall that has not ended. Times are on the sidecar's clock.
#[derive(Debug)]
struct Stall {
    since_ms: u64,
    pause_ms: u64,
    /// When the next trial attempt may start.
    trial_from_ms: u64,
    /// The newest trial attempt.
    trial: Option<Attempt>,
    trials: u32,
}

impl Stall {
    fn new(now_ms: u64) -> Stall {
        Stall {
            since_ms: now_ms,
            pause_ms: PAUSE_MIN_MS,
            trial_from_ms: now_ms + PAUSE_MIN_MS,
            trial: None,
            trials: 0,
        }
    }

    /// Handles a trial attempt that stands still.
    fn trial_failed(&mut self, now_ms: u64) {
        self.pause_ms = (2 * self.pause_ms).min(PAUSE_MAX_MS);
        self.trial_from_ms = now_ms + self.pause_ms;
    }
}

/// Progress of the attempts at one incarnation of a backend server.
#[derive(Debug)]
pub struct Progress {
    /// Shortest time without a change after which an attempt stands still.
    stall_ms: u64,
    marks: IndexMap<Attempt, Mark>,
    /// Time of the newest answer on the server's clock.
    observed_ms: Option<u64>,
    /// When an attempt last advanced or ended by itself, on the server's clock.
    advanced_ms: u64,
    /// Whether an attempt has ended by itself since the last observation.
    ended: bool,
    /// Whether one has ended as done since then.
    done: bool,
    stall: Option<Stall>,
}

impl Progress {
    pub fn new(stall_ms: u64) -> Progress {
        Progress {
            stall_ms,
            marks: IndexMap::new(),
            observed_ms: None,
            advanced_ms: 0,
            ended: false,
            done: false,
            stall: None,
        }
    }

    /// Records the end of an attempt. A server that has stalled still carries out stops.
    pub fn record_end(&mut self, outcome: Outcome) {
        self.ended |= outcome != Outcome::Stopped;
        self.done |= outcome == Outcome::Done;
    }

    /// Records the start of an attempt, which is a trial during a stall.
    pub fn record_start(&mut self, attempt: Attempt) {
        if let Some(stall) = &mut self.stall {
            stall.trial = Some(attempt);
            stall.trials += 1;
        }
    }

    /// Returns which attempts may start. `runs` tells whether an attempt has started and not ended.
    pub fn admission(&self, now_ms: u64, runs: impl Fn(&Attempt) -> bool) -> Admission {
        match &self.stall {
            None => Admission::All,
            Some(stall) if now_ms < stall.trial_from_ms => Admission::None,
            Some(stall) if stall.trial.as_ref().is_some_and(runs) => Admission::None,
            Some(_) => Admission::Trial,
        }
    }

    /// Whether a trial attempt could have started for [`PAUSE_MAX_MS`] and none has. The largest needs
    /// seen so far may then be more than any waiting task has.
    pub fn lacks_trial(&self, now_ms: u64) -> bool {
        self.stall.as_ref().is_some_and(|stall| now_ms >= stall.trial_from_ms + PAUSE_MAX_MS)
    }

    /// Handles an answer that was made at `clock_ms` on the server's clock. `samples` has all running
    /// attempts with a percentage, but those that are being stopped.
    pub fn observe(&mut self, now_ms: u64, clock_ms: u64, samples: &[Sample]) -> Verdict {
        let before = self.observed_ms.replace(clock_ms);
        let continues = before.is_some_and(|before_ms| {
            (before_ms..=before_ms.saturating_add(GAP_MAX_MS)).contains(&clock_ms)
        });
        if !continues {
            self.restart(clock_ms);
        }
        let (ended, done) = (std::mem::take(&mut self.ended), std::mem::take(&mut self.done));
        let advanced = self.update(clock_ms, samples);
        if ended || advanced {
            self.advanced_ms = clock_ms;
        }
        match self.stall.is_some() {
            true => self.observe_stall(now_ms, clock_ms, advanced || done),
            false if self.has_stalled(clock_ms) => {
                self.stall = Some(Stall::new(now_ms));
                let change = Change::Stalled { for_ms: clock_ms - self.advanced_ms };
                Verdict { stops: self.still(clock_ms, 1), change: Some(change) }
            }
            // The server itself goes on.
            false => Verdict { stops: self.still(clock_ms, 2), change: None },
        }
    }

    /// Handles an answer during a stall, which ends if an attempt has `progressed`.
    fn observe_stall(&mut self, now_ms: u64, clock_ms: u64, progressed: bool) -> Verdict {
        if let Some(stall) = self.stall.take_if(|_| progressed) {
            let after_ms = now_ms.saturating_sub(stall.since_ms);
            let change = Some(Change::Recovered { after_ms, trials: stall.trials });
            return Verdict { stops: Vec::new(), change };
        }
        let stops = self.still(clock_ms, 1);
        if let Some(stall) = &mut self.stall
            && stall.trial.is_some_and(|trial| stops.contains(&trial))
        {
            stall.trial_failed(now_ms);
        }
        Verdict { stops, change: None }
    }

    /// Begins the measurement anew.
    fn restart(&mut self, clock_ms: u64) {
        self.advanced_ms = clock_ms;
        for mark in self.marks.values_mut() {
            mark.since_ms = clock_ms;
        }
    }

    /// Updates the progress of all attempts. Returns whether one has advanced.
    fn update(&mut self, clock_ms: u64, samples: &[Sample]) -> bool {
        let mut earlier = std::mem::take(&mut self.marks);
        let mut advanced = false;
        for sample in samples {
            let known = earlier.swap_remove(&sample.attempt);
            advanced |= sample.percent > known.as_ref().map_or(0, |mark| mark.percent);
            let mark = known.filter(|mark| mark.percent == sample.percent);
            let mark = mark.unwrap_or_else(|| Mark {
                percent: sample.percent,
                since_ms: clock_ms,
                limit_ms: self.limit_ms(sample),
            });
            self.marks.insert(sample.attempt, mark);
        }
        advanced
    }

    /// Returns the time without a change after which an attempt with this progress stands still.
    fn limit_ms(&self, sample: &Sample) -> u64 {
        let estimate_ms = u64::from(sample.estimate_ms);
        let declared_ms = PERCENT_FACTOR * estimate_ms / 100;
        let so_far_ms = match sample.percent {
            // Its pace is not known yet.
            0 => estimate_ms / 2,
            // The percentage is rounded down.
            percent => PERCENT_FACTOR * sample.ran_ms / (u64::from(percent) + 1),
        };
        self.stall_ms.max(declared_ms).max(so_far_ms)
    }

    /// Whether attempts stand still and nothing shows that the server goes on. An attempt at 0 percent
    /// shows nothing, as attempts may start at a stalled server all the time.
    fn has_stalled(&self, clock_ms: u64) -> bool {
        let goes_on = |mark: &Mark| mark.percent > 0 && !mark.stands_still(clock_ms, 1);
        clock_ms.saturating_sub(self.advanced_ms) >= self.stall_ms
            && self.marks.values().any(|mark| mark.stands_still(clock_ms, 1))
            && !self.marks.values().any(goes_on)
    }

    /// Returns the attempts whose percentage has not changed for `factor` times their limit.
    fn still(&self, clock_ms: u64, factor: u64) -> Vec<Attempt> {
        let still = self.marks.iter().filter(|(_, mark)| mark.stands_still(clock_ms, factor));
        still.map(|(attempt, _)| *attempt).collect()
    }
}
