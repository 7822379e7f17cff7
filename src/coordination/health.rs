//! Health of one backend server as seen by an entry (a process that accepts submissions and sends
//! their tasks to backend servers): failures, missed replies, pauses, ejection and readmission.

use crate::coordination::dispatch::Micros;

/// Weighted number of failures at which a server is ejected.
const FAILURES_MAX: f64 = 2.0;
/// Amount by which an answer lowers the number of failures. With 0.25, a server that fails more
/// than a fifth of its tasks is ejected in the end.
const ANSWER_CREDIT: f64 = 0.25;
/// Number of missed replies above which a server is ejected. It is multiplied by the average number
/// that its peers have missed if that is above 1. With exponential run times, a working server
/// misses three replies with a probability of e^-3.
const MISSED_REPLIES_MAX: f64 = 3.0;
/// Weighted number of failures from which a server gets one attempt at a time, and from which it is
/// suspect after a failure.
const SUSPECT_MIN: f64 = 0.9;
/// How long after a failure a server is suspect. A suspect server gets only tasks that may be
/// started twice, even if no other server has capacity for the rest.
const SUSPECT_US: Micros = 500_000;
/// Time from the first ejection to a trial. Each further ejection doubles it, up to the maximum.
const EJECTED_MIN_US: Micros = 1_000_000;
const EJECTED_MAX_US: Micros = 60_000_000;
/// First pause after an attempt was lost, or was refused because the sidecar had no lease or could
/// not reach its backend server. Each further pause is twice as long, up to the maximum.
const PAUSED_MIN_US: Micros = 200_000;
const PAUSED_MAX_US: Micros = 5_000_000;

/// Whether new attempts may be sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    Open,
    /// One attempt at a time, because of failures or a pause, until enough answers have arrived.
    Single,
    /// The server is ejected, and one attempt is due to find out whether it works again.
    Trial,
    Closed,
}

/// Health of one backend server.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Weighted number of failures, lowered by answers.
    failures: f64,
    ejected: bool,
    /// When the next trial of an ejected server is due.
    trial_at: Micros,
    /// Time from the last ejection to its trial, in µs.
    trial_interval: Micros,
    /// Length of the last pause in µs, 0 after an answer.
    pause: Micros,
    paused_until: Micros,
    /// Whether a trial was started whose result is not known yet.
    on_trial: bool,
    suspect_until: Micros,
}

impl Health {
    pub fn is_ejected(&self) -> bool {
        self.ejected
    }

    /// Which attempts may be sent, given the number of attempts in flight.
    pub fn access(&self, now: Micros, in_flight: u32) -> Access {
        if now < self.paused_until {
            Access::Closed
        } else if self.ejected {
            // A trial is not needed while an attempt is in flight, because its answer would also
            // readmit the server.
            if now >= self.trial_at && in_flight == 0 { Access::Trial } else { Access::Closed }
        } else if self.failures >= SUSPECT_MIN || self.pause > 0 {
            Access::Single
        } else {
            Access::Open
        }
    }

    /// Whether the server should get only tasks that may be started twice, because one failed there
    /// recently.
    pub fn is_suspect(&self, now: Micros) -> bool {
        self.failures >= SUSPECT_MIN && now < self.suspect_until
    }

    /// When `access` changes next without an input: when a trial falls due if the server is
    /// ejected, otherwise when the pause ends. A trial falls due after the pause at the earliest.
    /// The time is in the past if no change is pending.
    pub fn changes_at(&self) -> Micros {
        if self.ejected { self.trial_at.max(self.paused_until) } else { self.paused_until }
    }

    /// Records an answer. Returns whether it readmits the server.
    pub fn answered(&mut self) -> bool {
        self.pause = 0;
        self.paused_until = 0;
        self.on_trial = false;
        if self.ejected {
            self.ejected = false;
            self.failures = FAILURES_MAX / 2.0;
            return true;
        }
        self.failures = (self.failures - ANSWER_CREDIT).max(0.0);
        if self.failures == 0.0 {
            self.trial_interval = 0;
        }
        false
    }

    /// Records a failed task. `weight` is added to the number of failures; it is lower if tasks of
    /// the kind also fail on other servers. Returns whether the caller should eject the server. If
    /// the server is ejected already, the result is `false`, and a failed trial makes the server
    /// wait twice as long for the next one.
    pub fn failed(&mut self, now: Micros, weight: f64) -> bool {
        if self.ejected {
            if self.on_trial {
                self.eject(now);
            }
            return false;
        }
        self.failures += weight;
        self.suspect_until = now + SUSPECT_US;
        self.failures >= FAILURES_MAX
    }

    /// Whether the server should be ejected because it does not reply. `missed` is the number of
    /// replies that it has missed, which were expected since an attempt last ran to its end there.
    /// `peers_missed` is the average of this number over the other servers: if all servers miss
    /// replies, the expected run times are wrong.
    pub fn is_unresponsive(&self, missed: f64, peers_missed: f64) -> bool {
        !self.ejected && missed > MISSED_REPLIES_MAX * peers_missed.max(1.0)
    }

    /// Ejects the server until a trial. The caller must see to it that at most a third of all
    /// servers are ejected.
    pub fn eject(&mut self, now: Micros) {
        self.ejected = true;
        self.on_trial = false;
        self.trial_interval = (self.trial_interval * 2).clamp(EJECTED_MIN_US, EJECTED_MAX_US);
        self.trial_at = now + self.trial_interval;
    }

    /// Records that a trial was started.
    pub fn trial_started(&mut self) {
        self.on_trial = true;
    }

    /// Stops using the server for a time that doubles with each pause until an answer arrives. A
    /// pause during a trial also counts as a failed trial.
    pub fn pause(&mut self, now: Micros) {
        if now < self.paused_until {
            return;
        }
        self.pause = (self.pause * 2).clamp(PAUSED_MIN_US, PAUSED_MAX_US);
        self.paused_until = now + self.pause;
        if self.ejected && self.on_trial {
            self.eject(now);
        }
    }

    /// Stops using the server; only an answer that arrives later undoes this.
    pub fn close(&mut self) {
        self.paused_until = Micros::MAX;
    }
}
