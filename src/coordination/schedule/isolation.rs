//! Isolation of suspects: tasks under an attempt of which a backend server crashed run alone on a
//! server, until they are done or another task explains the crash.

use std::cmp::Reverse;

use super::{
    Key, Rank, RetryCause, Scheduler, Server,
    suspect::{self, Decided},
};
use crate::{
    protocol::{
        queue::{Attempt, Phase, Step, Task},
        wire::queue,
    },
    state::machine::queue::{Crash, ISOLATED_CRASHES_MAX, Queues},
};

/// Number of declared run times by which a suspect yields to those that are due later: short ones
/// explain crashes sooner, and those whose crashes are explained need not run apart.
const SUSPECT_WAIT_FACTOR: u64 = 10;
impl Scheduler {
    /// Records that the server of a sidecar is up and gets attempts, so that it does not count as
    /// crashed any more.
    pub fn recovered(&mut self, sidecar: &str) {
        self.suspects.up(sidecar);
    }

    /// Handles a report that the server of a sidecar crashed, or may have. Once the crash is confirmed,
    /// the tasks of its attempts start again only after [`Scheduler::crash_stored`]; before, they are
    /// suspects.
    pub fn crashed(&mut self, now_ms: u64, sidecar: &str, crash: &queue::Crash, queues: &Queues) {
        for attempt in crash.all_attempts() {
            if !queues.job(attempt.task.job).is_some_and(|record| record.crash_counts(*attempt))
                || !self.suspects.report(now_ms, sidecar, crash, *attempt)
            {
                continue;
            }
            self.suspects.lost(now_ms, crash.server.clone());
            self.remove_ready(attempt.task);
            if !self.suspects.awaits_storage(attempt.task) {
                self.set_apart_under(attempt.task, *attempt);
                if self.may_retry(attempt.task, queues) {
                    self.make_ready(attempt.task);
                }
            }
            let server = self.attempts.get(attempt).map(|placed| placed.server);
            if let Some(server) = server.and_then(|key| self.servers.get(key.0))
                && server.apart()
            {
                self.suspects.took_down(now_ms, sidecar, &server.info.service);
            }
        }
    }

    /// Starts nothing more on servers that run attempts of a suspect, but for `crashed`. An earlier
    /// leader may have started them.
    fn set_apart_under(&mut self, suspect: Task, crashed: Attempt) {
        let attempts: Vec<Attempt> = self.attempts_of(suspect).filter(|a| *a != crashed).collect();
        for attempt in attempts {
            let Some(placement) = self.attempts.get_mut(&attempt) else { continue };
            let Some(server) = self.servers.get_mut(placement.server.0) else { continue };
            server.remove_attempt(&attempt, &placement.needs);
            placement.needs = server.info.capacity;
            server.add_attempt(&attempt, &placement.needs);
            server.set_apart(true);
        }
    }

    /// Decides on crashes that were not confirmed by what a report of a sidecar shows.
    pub fn decide_crashes(&mut self, report: &queue::Report, queues: &Queues) {
        let Decided { confirmed, cleared } = self.suspects.decide(report);
        for task in confirmed {
            self.remove_ready(task);
            if self.may_retry(task, queues) {
                self.make_ready(task);
            }
        }
        cleared.into_iter().for_each(|task| self.clear(task));
    }

    /// Returns the reported crashes that are to be stored now.
    pub fn crashes_due(&mut self, now_ms: u64) -> Vec<Crash> {
        self.suspects.due(now_ms)
    }

    /// Handles a crash that has been stored in the replicated queues.
    pub fn crash_stored(&mut self, crash: &Crash, queues: &Queues) {
        let task = crash.attempt.task;
        // The end of another attempt may have been stored before.
        let progress = queues.job(task.job).and_then(|record| record.progress(task));
        let counted =
            progress.is_some_and(|p| !p.done && p.crashes.contains(&crash.attempt.number));
        self.suspects.stored(crash.attempt, counted);
        let Some(record) = queues.job(task.job) else { return self.suspects.remove(task) };
        if record.phase.is_terminal() {
            if record.phase == Phase::Failed && crash.isolated {
                // After a second crash, one more beside other tasks would end the job.
                let keep = |task: Task| crashes(task, queues) > 1;
                for cleared in self.suspects.explain(task, keep) {
                    self.clear(cleared);
                }
            }
            return self.close(task.job, record);
        }
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.started = true;
        }
        self.retry(crash.attempt, RetryCause::Crashed, queues);
    }

    /// Lets a task that is no suspect any more start beside others, if it may start.
    fn clear(&mut self, task: Task) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let removed = self
            .ready_suspects
            .get_mut(&job.service)
            .is_some_and(|ready| ready.remove(&(job.due_ms, task)));
        if removed {
            self.make_ready(task);
        }
    }

    /// Commands starts of suspects, each on a server where nothing else runs, those under which
    /// most servers crashed first. If no server is free, some are kept from starting other tasks
    /// until they are.
    pub(super) fn assign_suspects(&mut self, now_ms: u64, queues: &Queues) {
        // A server on which an earlier leader ran a suspect is apart although none waits.
        let apart = self.servers.iter().filter(|(_, server)| server.apart());
        let apart: Vec<String> = apart.map(|(_, server)| server.info.service.clone()).collect();
        for service in apart {
            self.ready_suspects.entry(service).or_default();
        }
        let services: Vec<String> = self.ready_suspects.keys().cloned().collect();
        for service in services {
            let mut ranks: Vec<Rank> = self.ready_suspects[&service].iter().copied().collect();
            ranks.sort_by_key(|(due_ms, task)| {
                let wait_ms = SUSPECT_WAIT_FACTOR * estimate_ms(*task, queues);
                (Reverse(crashes(*task, queues)), due_ms + wait_ms)
            });
            let down = self.suspects.down(now_ms, &service);
            let of_service =
                |server: &Server| server.info.service == service && !server.is_drained();
            let servers = self.servers.iter().filter(|(_, server)| of_service(server)).count();
            let apart = self.servers_apart(&service).count();
            let others_wait = self.others_wait(&service);
            let (most, most_idle) = suspect::servers_max(servers + down);
            let mut taken = apart + down;
            let mut waiting = Vec::new();
            for (due_ms, task) in ranks {
                let record = queues.job(task.job).filter(|record| !record.phase.is_terminal());
                let Some(record) = record else {
                    self.remove_ready(task);
                    continue;
                };
                let unconfirmed = self.suspects.unconfirmed(now_ms, task);
                if unconfirmed > 0 && unconfirmed + crashes(task, queues) >= ISOLATED_CRASHES_MAX {
                    // Whether the task has crashed as many servers as are allowed is about to show.
                    continue;
                }
                let step = &record.job.steps[usize::from(task.step)];
                let mut key = self.free_apart(now_ms, &service, step);
                let may_take = taken < most || taken < most_idle && !others_wait;
                if key.is_none() && may_take && self.drained_apart(&service) <= waiting.len() {
                    let next = self.least_busy(&service, step);
                    let idle = |key: &Key| self.servers[key.0].attempts() == 0;
                    if let Some(next) = next.filter(|key| taken < most || idle(key)) {
                        self.servers[next.0].set_apart(true);
                        taken += 1;
                        key = Some(next).filter(|key| self.servers[key.0].free_for_suspect(now_ms));
                    }
                }
                match key {
                    Some(key) => {
                        self.ready_suspects[&service].remove(&(due_ms, task));
                        let needs = self.servers[key.0].info.capacity;
                        self.start(now_ms, key, task, record, needs);
                    }
                    None => waiting.push(step),
                }
            }
            self.end_apart(&service, &waiting);
        }
    }

    /// Whether tasks of the service that are no suspects wait for a server.
    fn others_wait(&self, service: &str) -> bool {
        let mut ready = self.ready.get(service).into_iter().flatten();
        ready.any(|(_, task)| !self.suspects.concerns(task.job))
    }

    /// The service's servers on which only suspects start.
    fn servers_apart(&self, service: &str) -> impl Iterator<Item = (usize, &Server)> {
        self.servers.iter().filter(move |(_, s)| s.apart() && s.info.service == service)
    }

    /// Number of the service's servers that are to run suspects and run none yet.
    fn drained_apart(&self, service: &str) -> usize {
        self.servers_apart(service).filter(|(key, _)| !self.runs_suspect(Key(*key))).count()
    }

    fn runs_suspect(&self, key: Key) -> bool {
        self.attempts
            .iter()
            .any(|(attempt, placed)| placed.server == key && self.suspects.contains(attempt.task))
    }

    /// Returns the server with the lowest cost on which a suspect can start now.
    fn free_apart(&self, now_ms: u64, service: &str, step: &Step) -> Option<Key> {
        self.servers_apart(service)
            .filter(|(_, server)| server.free_for_suspect(now_ms) && server.suits(service, step))
            .min_by(|(_, a), (_, b)| a.cost(step).total_cmp(&b.cost(step)))
            .map(|(key, _)| Key(key))
    }

    /// Returns the server with the fewest attempts that can run a suspect of `step` once it is free.
    fn least_busy(&self, service: &str, step: &Step) -> Option<Key> {
        self.servers
            .iter()
            .filter(|(_, server)| !server.apart() && server.suits(service, step))
            .min_by_key(|(_, server)| server.attempts())
            .map(|(key, _)| Key(key))
    }

    /// Lets other tasks start again on servers that run no suspect and can run none of those that
    /// wait, whose steps are given.
    fn end_apart(&mut self, service: &str, waiting: &[&Step]) {
        let unused: Vec<usize> = self
            .servers_apart(service)
            .filter(|(key, server)| {
                !self.runs_suspect(Key(*key))
                    && !waiting.iter().any(|step| server.suits(service, step))
            })
            .map(|(key, _)| key)
            .collect();
        for key in unused {
            self.servers[key].set_apart(false);
        }
    }
}

/// Returns the number of servers that crashed under attempts of a task.
fn crashes(task: Task, queues: &Queues) -> usize {
    let progress = queues.job(task.job).and_then(|record| record.progress(task));
    progress.map_or(0, |progress| progress.crashes.len())
}

/// Returns the declared run time of a task.
fn estimate_ms(task: Task, queues: &Queues) -> u64 {
    let record = queues.job(task.job);
    let step = record.and_then(|record| record.job.steps.get(usize::from(task.step)));
    step.map_or(0, |step| step.estimate_ms.into())
}
