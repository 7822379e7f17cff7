//! Crashes of backend servers under the attempts of a task. A refused connection may come from a path
//! that is cut, so a crash counts once another incarnation has answered, and is taken back if the same
//! one answers again.

use super::{Key, Scheduler, ready_of};
use crate::protocol::{
    queue::{Attempt, Task},
    wire::{queue::ServerId, work::Loss},
};

/// A task under which this many backend servers crashed is given up. It may be what crashes them.
const CRASHES_MAX: usize = 2;
/// The same limit if `COINCIDING_MIN` other servers were lost at about the same time as the last one, as
/// when a rack loses power. Such a loss says less about the task.
const COINCIDING_CRASHES_MAX: usize = 3;
/// Number of other servers lost at about the same time from which a loss has a common cause.
const COINCIDING_MIN: usize = 2;
/// Time within which losses of servers coincide, in ms.
const COINCIDING_MS: u64 = 200;
/// Longest time for which a task waits until it is known whether a server has crashed under it, in ms.
/// Most servers are up again by then.
const UNDECIDED_MAX_MS: u64 = 5_000;

/// A crash of a backend server under an attempt, or what may be one.
#[derive(Debug)]
pub(super) struct Crash {
    attempt: Attempt,
    server: Key,
    incarnation: ServerId,
    /// Whether the attempt is known to have run there. Otherwise the crash makes its task a suspect, but
    /// does not count.
    began: bool,
    confirmed: bool,
    lost_ms: u64,
    /// Number of other servers that were lost at about the same time.
    coinciding: usize,
}

impl Crash {
    fn is_undecided(&self, now_ms: u64) -> bool {
        self.began && !self.confirmed && now_ms < self.lost_ms + UNDECIDED_MAX_MS
    }

    fn counts(&self) -> bool {
        self.began && self.confirmed
    }
}

/// Number of crashes at which a task is given up, if `last` is the newest of them.
fn limit(last: &Crash) -> usize {
    match last.coinciding >= COINCIDING_MIN {
        true => COINCIDING_CRASHES_MAX,
        false => CRASHES_MAX,
    }
}

/// Whether the task is given up for its certain crashes.
fn is_limit_reached(crashes: &[Crash]) -> bool {
    let counted = || crashes.iter().filter(|crash| crash.counts());
    counted().next_back().is_some_and(|last| counted().count() >= limit(last))
}

/// Whether the task would be given up if all that may be crashes were some, which is about to show.
pub(super) fn awaits_decision(crashes: &[Crash], now_ms: u64) -> bool {
    let counted = || crashes.iter().filter(|crash| crash.counts() || crash.is_undecided(now_ms));
    crashes.iter().any(|crash| crash.is_undecided(now_ms))
        && counted().next_back().is_some_and(|last| counted().count() >= limit(last))
}

impl Scheduler {
    /// Records that a server was lost with an attempt, whose task is a suspect from now on. Ends the job
    /// if the task may be what crashes the servers.
    pub(super) fn record_loss(&mut self, now_ms: u64, key: Key, attempt: Attempt, loss: Loss) {
        let coinciding = self.record_coinciding(now_ms, key);
        let server = &mut self.servers[key.0];
        if server.held_for == Some(attempt.task) {
            server.lost_held_ms = Some(now_ms);
        }
        let incarnation = server.sidecar.server.id.clone();
        let Some(job) = self.jobs.get_mut(&attempt.task.job) else { return };
        let Some(position) = job.submitted.position(attempt.task) else { return };
        let task = &mut job.tasks[position];
        if task.placement.take_if(|placement| placement.attempt == attempt).is_none() {
            // It is an attempt of an earlier submission.
            return;
        }
        let Loss { began, confirmed } = loss;
        task.crashes.push(Crash {
            attempt,
            server: key,
            incarnation,
            began,
            confirmed,
            lost_ms: now_ms,
            coinciding,
        });
        ready_of(&mut self.ready, job).suspects.insert(attempt.task);
        self.give_up_crashing(attempt.task);
    }

    /// Records the loss of a server. Returns how many others were lost at about the same time.
    fn record_coinciding(&mut self, now_ms: u64, key: Key) -> usize {
        self.losses.retain(|_, at_ms| *at_ms + COINCIDING_MS >= now_ms);
        if self.losses.insert(key, now_ms).is_none() {
            let near =
                |crash: &Crash| crash.server != key && crash.lost_ms + COINCIDING_MS >= now_ms;
            for task in self.suspects(near) {
                let Some(job) = self.jobs.get_mut(&task.job) else { continue };
                let Some(position) = job.submitted.position(task) else { continue };
                let crashes = job.tasks[position].crashes.iter_mut();
                crashes.filter(|crash| near(crash)).for_each(|crash| crash.coinciding += 1);
            }
        }
        self.losses.len() - 1
    }

    /// Returns the suspects with a crash for which `wanted` is true.
    fn suspects(&self, wanted: impl Fn(&Crash) -> bool) -> Vec<Task> {
        let suspects = self.ready.values().flat_map(|ready| &ready.suspects);
        let is_wanted = |task: &&Task| {
            let progress = self.jobs.get(&task.job).and_then(|job| job.progress(**task));
            progress.is_some_and(|progress| progress.crashes.iter().any(&wanted))
        };
        suspects.filter(is_wanted).copied().collect()
    }

    /// Confirms or takes back the crashes of a server that its sidecar has told more of.
    pub(super) fn decide_crashes(&mut self, key: Key) {
        for task in self.suspects(|crash| crash.server == key && !crash.confirmed) {
            let server = &self.servers[key.0];
            let Some(job) = self.jobs.get_mut(&task.job) else { continue };
            let Some(position) = job.submitted.position(task) else { continue };
            job.tasks[position].crashes.retain_mut(|crash| {
                if crash.server != key || crash.confirmed {
                    return true;
                }
                let confirmed = server.confirms_crash(&crash.incarnation);
                crash.confirmed = confirmed == Some(true);
                if confirmed == Some(false) {
                    let Crash { attempt, incarnation, .. } = crash;
                    log::info!("event=crash_withdrawn run={attempt} server={incarnation}");
                }
                confirmed != Some(false)
            });
            if !self.give_up_crashing(task) {
                self.clear(task);
            }
        }
    }

    /// Lets a task under which no server has crashed start beside others.
    fn clear(&mut self, task: Task) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(progress) = job.progress(task).filter(|task| task.crashes.is_empty()) else {
            return;
        };
        let placed = progress.placement.is_some();
        let ready = ready_of(&mut self.ready, job);
        if ready.suspects.shift_remove(&task) && !placed {
            job.make_ready(task);
            ready.update(task.job, job);
        }
    }

    /// Ends the job of a task under which too many servers have crashed. Returns whether it has.
    fn give_up_crashing(&mut self, task: Task) -> bool {
        let id = task.job;
        let progress = self.jobs.get(&id).and_then(|job| job.progress(task));
        let Some(progress) = progress.filter(|progress| is_limit_reached(&progress.crashes)) else {
            return false;
        };
        if let Some(Crash { attempt, .. }) = progress.crashes.last() {
            let crashes = progress.crashes.iter().filter(|crash| crash.counts()).count();
            log::warn!("event=given_up run={attempt} crashes={crashes}");
        }
        self.fail(id);
        true
    }
}
