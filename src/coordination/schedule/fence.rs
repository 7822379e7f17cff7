//! Fencing of attempts whose ends are not known, before their tasks start again.
//!
//! A sidecar that has lost its lease may hold ends that it could not report. Once such a task has
//! started again, the earlier end must not count, whichever leader receives it. A replicated record
//! therefore fences the attempts first, and their tasks start again only once it is stored.

use super::{Key, RetryCause, Scheduler, attempts_range};
use crate::{
    protocol::queue::{Attempt, Task},
    state::machine::queue::Queues,
};

impl Scheduler {
    /// Removes a backend server whose sidecar has lost its lease. Returns its attempts, which are to
    /// be fenced: [`Scheduler::fence_stored`] lets their tasks start again.
    pub fn give_up_server(&mut self, now_ms: u64, key: Key) -> Vec<Attempt> {
        let attempts = self.take_server(now_ms, key);
        self.fencing.extend(&attempts);
        attempts
    }

    /// Gives up the remaining inherited tasks, of which no attempt of an earlier leader has been
    /// reported in time. Returns the attempts to be fenced, as for [`Scheduler::give_up_server`];
    /// none that was returned before.
    pub fn give_up_inherited(&mut self, queues: &Queues) -> Vec<Attempt> {
        let mut attempts = Vec::new();
        for task in &self.inherited {
            let Some(record) = queues.job(task.job) else { continue };
            let attempt = Attempt { task: *task, number: self.earlier_numbers_max(record) };
            if self.fencing.insert(attempt) {
                attempts.push(attempt);
            }
        }
        attempts
    }

    /// Handles fenced attempts that have been stored in the replicated queues: lets their tasks start
    /// again. An attempt that was adopted meanwhile is stopped first, as its end would not count.
    pub fn fence_stored(&mut self, fenced: &[Attempt], queues: &Queues) {
        for attempt in fenced {
            self.fencing.remove(attempt);
            let late = Attempt { number: 0, ..*attempt }..=*attempt;
            let late: Vec<Attempt> = self.attempts.range(late).map(|(late, _)| *late).collect();
            late.into_iter().for_each(|late| self.stop(late));
            if !self.inherited.swap_remove(&attempt.task) {
                self.retry(*attempt, RetryCause::ServerLost, queues);
            } else if self.may_retry(attempt.task, queues) {
                self.make_ready(attempt.task);
            }
        }
    }

    /// Whether a record that fences attempts of a task is being stored.
    pub(super) fn awaits_fence(&self, task: Task) -> bool {
        self.fencing.range(attempts_range(task)).next().is_some()
    }
}
