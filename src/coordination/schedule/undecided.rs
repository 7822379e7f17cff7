//! Attempts that may run or start at a backend server that was lost: a call that it has not answered
//! may be carried out late. Their tasks do not start elsewhere until the server has answered under a
//! higher fencing token and lists none of them, or until all such calls have been carried out.

use super::{RetryCause, Scheduler, attempts_range};
use crate::{
    coordination::sidecar::LATE_CALL_MAX_MS,
    protocol::{
        queue::{Attempt, Task},
        wire::queue::Report,
    },
    state::machine::queue::Queues,
};

/// An undecided attempt, by whose report it is known, and until when it may run.
#[derive(Debug)]
pub(super) struct Undecided {
    sidecar: String,
    /// The process of the sidecar.
    incarnation: u64,
    until_ms: u64,
}

impl Scheduler {
    /// Adds the undecided attempts of a report, except those that were given up. Has to be called
    /// before the loss of the server is handled, so that none of their tasks starts in between.
    pub fn add_undecided(&mut self, now_ms: u64, report: &Report, queues: &Queues) {
        for attempt in &report.undecided {
            let record = queues.job(attempt.task.job);
            let given_up = self.fencing.contains(attempt)
                || record.is_none_or(|record| record.fenced(*attempt));
            if given_up || self.undecided.contains_key(attempt) {
                continue;
            }
            log::info!("event=undecided run={attempt} sidecar={}", report.sidecar);
            let undecided = Undecided {
                sidecar: report.sidecar.clone(),
                incarnation: report.incarnation,
                until_ms: now_ms + LATE_CALL_MAX_MS,
            };
            self.undecided.insert(*attempt, undecided);
            self.remove_ready(attempt.task);
        }
    }

    /// Removes the attempts that a report of their sidecar shows not to be undecided any more, and
    /// lets their tasks start again. A new process of the sidecar knows of none of them, and its
    /// report shows that only if it lists what runs.
    pub fn remove_decided(&mut self, report: &Report, queues: &Queues) {
        let decided = |attempt: &Attempt, undecided: &Undecided| {
            let shown = undecided.incarnation == report.incarnation || report.running.is_some();
            undecided.sidecar == report.sidecar && shown && !report.undecided.contains(attempt)
        };
        for attempt in self.take_undecided(decided) {
            self.retry(attempt, RetryCause::ServerLost, queues);
        }
    }

    /// Gives up the attempts that have ended by now although no report has shown it. Returns
    /// them to be fenced, as for [`Scheduler::give_up_server`].
    pub fn give_up_undecided(&mut self, now_ms: u64) -> Vec<Attempt> {
        let given_up = self.take_undecided(|_, undecided| undecided.until_ms <= now_ms);
        for attempt in &given_up {
            log::warn!("event=undecided_given_up run={attempt}");
        }
        self.fencing.extend(&given_up);
        given_up
    }

    fn take_undecided(&mut self, taken: impl Fn(&Attempt, &Undecided) -> bool) -> Vec<Attempt> {
        let taken = |(attempt, undecided): &(&Attempt, &Undecided)| taken(attempt, undecided);
        let attempts: Vec<Attempt> =
            self.undecided.iter().filter(taken).map(|(attempt, _)| *attempt).collect();
        self.undecided.retain(|attempt, _| !attempts.contains(attempt));
        attempts
    }

    /// Whether an attempt of a task is undecided.
    pub(super) fn is_undecided(&self, task: Task) -> bool {
        self.undecided.range(attempts_range(task)).next().is_some()
    }
}
