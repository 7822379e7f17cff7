//! Health of one backend server: failures, silence, pauses, readmission.

use crate::coordination::dispatch::Micros;

/// Weighted failures at which a server is ejected.
const FAILURES_MAX: f64 = 2.0;
/// What an answer takes off the failures. With 0.25, a server that fails more than a fifth of its
/// tasks ends up ejected.
const ANSWER_WORTH: f64 = 0.25;
/// Replies that peers would have given during the silence at which a server is ejected: e^-3 is
/// the chance of such a silence with exponential run times.
const SILENCE_MAX: f64 = 3.0;
/// Weighted failures from which on a server gets one attempt at a time.
const SUSPECT_MIN: f64 = 0.9;
/// How long it gets only tasks that may be repeated, if there are others for the rest.
const SUSPECT_US: Micros = 500_000;
/// First time to readmission.
const EJECTED_MIN_US: Micros = 1_000_000;
const EJECTED_MAX_US: Micros = 60_000_000;
/// First pause after a broken connection or a refusal that is not about load.
const PAUSED_MIN_US: Micros = 200_000;
const PAUSED_MAX_US: Micros = 5_000_000;

/// Whether new attempts may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    Open,
    /// One at a time, until an answer arrives.
    Single,
    /// Ejected, and the time for a trial has come.
    Trial,
    Closed,
}

/// Health of one backend server.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failures: f64,
    ejected: bool,
    /// When a trial is due.
    until: Micros,
    interval: Micros,
    pause: Micros,
    paused_until: Micros,
    trial: bool,
    suspect_until: Micros,
}

impl Health {
    /// Whether it is ejected; at most a third of the servers may be.
    pub fn is_ejected(&self) -> bool {
        self.ejected
    }

    /// What may be sent, given the attempts in flight.
    pub fn access(&self, now: Micros, in_flight: u32) -> Access {
        if now < self.paused_until {
            Access::Closed
        } else if self.ejected {
            // Attempts that are still out are as good as a trial.
            if now >= self.until && in_flight == 0 { Access::Trial } else { Access::Closed }
        } else if self.failures >= SUSPECT_MIN || self.pause > 0 {
            Access::Single
        } else {
            Access::Open
        }
    }

    /// Whether only tasks that may be repeated should go there: it failed one lately.
    pub fn is_suspect(&self, now: Micros) -> bool {
        self.failures >= SUSPECT_MIN && now < self.suspect_until
    }

    /// When `access` changes by itself.
    pub fn changes_at(&self) -> Micros {
        if self.ejected { self.until.max(self.paused_until) } else { self.paused_until }
    }

    /// An answer arrived. True if this readmits the server.
    pub fn answered(&mut self) -> bool {
        self.pause = 0;
        self.paused_until = 0;
        self.trial = false;
        if self.ejected {
            self.ejected = false;
            self.failures = FAILURES_MAX / 2.0;
            return true;
        }
        self.failures = (self.failures - ANSWER_WORTH).max(0.0);
        if self.failures == 0.0 {
            self.interval = 0;
        }
        false
    }

    /// A task failed. `weight` is below 1 if tasks of its kind fail elsewhere too. True if the
    /// server should be ejected.
    pub fn failed(&mut self, now: Micros, weight: f64) -> bool {
        if self.ejected {
            if self.trial {
                self.eject(now);
            }
            return false;
        }
        self.failures += weight;
        self.suspect_until = now + SUSPECT_US;
        self.failures >= FAILURES_MAX
    }

    /// Whether a silence is too long. `silence` is the number of replies that were to be expected,
    /// `peers` the same for the average of the other servers: if all are silent, the expectation
    /// is wrong.
    pub fn is_unresponsive(&self, silence: f64, peers: f64) -> bool {
        !self.ejected && silence > SILENCE_MAX * peers.max(1.0)
    }

    /// Ejects the server until a trial.
    pub fn eject(&mut self, now: Micros) {
        self.ejected = true;
        self.trial = false;
        self.interval = (self.interval * 2).clamp(EJECTED_MIN_US, EJECTED_MAX_US);
        self.until = now + self.interval;
    }

    /// A trial was started.
    pub fn trial_started(&mut self) {
        self.trial = true;
    }

    /// Does not use the server for a while that grows each time.
    pub fn pause(&mut self, now: Micros) {
        if now < self.paused_until {
            return;
        }
        self.pause = (self.pause * 2).clamp(PAUSED_MIN_US, PAUSED_MAX_US);
        self.paused_until = now + self.pause;
        if self.ejected && self.trial {
            self.eject(now);
        }
    }

    /// Does not use the server any more.
    pub fn close(&mut self) {
        self.paused_until = Micros::MAX;
    }
}
