//! Scheduling of durable jobs: which task starts next, and on which backend server.
//!
//! The leader of the control instances keeps one [`Scheduler`] while it leads. Outcomes are stored
//! in the replicated [`Queues`]. Which server runs an attempt is not replicated: a new leader
//! receives it from the sidecars' reports.

mod drain;
mod fence;
mod isolation;
mod server;
mod suspect;
mod undecided;

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::{Bound, RangeInclusive},
    sync::Arc,
};

use indexmap::{IndexMap, IndexSet};
use slab::Slab;

use crate::{
    protocol::{
        queue::{Attempt, Id, Outcome, ReadyStep, Resources, Step, Task},
        wire::queue::{self, Batch, NotStarted, Reason, Start},
    },
    state::machine::queue::{Completion, Queues, Record},
};
pub use server::Server;
use suspect::Suspects;
pub use suspect::servers_max as suspect_servers_max;
use undecided::Undecided;

/// Number of attempts of a task that one leader may start before its attempt numbers reach those of
/// the next leader.
const ATTEMPTS_PER_TERM: u64 = 1_000;
/// Once more ready tasks of a service than this have found no server, the rest are not tried.
const MISSES_MAX: usize = 32;

/// Identifies a backend server within a scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(usize);

/// Order in which ready tasks start: by the latest start at which their job would be on time.
type Rank = (u64, Task);

/// A job that has not ended.
#[derive(Debug)]
struct Job {
    service: String,
    /// What all start commands of the job carry.
    spec: Arc<str>,
    /// Latest start at which the job would be on time, in ms on the scheduler's clock.
    due_ms: u64,
    /// Whether the start of a task has been commanded, by this leader or an earlier one.
    started: bool,
    /// For each step, whether all steps that it depends on are done.
    steps_ready: Vec<bool>,
    /// For each task, the number of attempts that this scheduler has commanded.
    starts: Vec<u32>,
}

/// A commanded attempt that has not ended: its server, and what it uses there.
#[derive(Debug, Clone, Copy)]
struct Placement {
    server: Key,
    needs: Resources,
    estimate_ms: u32,
    commanded_ms: u64,
    /// Whether a stop has been commanded.
    stopping: bool,
}

/// Why a task is to start again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetryCause {
    Failed,
    Stopped,
    /// The attempt did not start.
    NotStarted,
    /// The backend server is gone.
    ServerLost,
    /// The backend server has crashed, and the crash is stored.
    Crashed,
    /// The sidecar, registered anew, does not list the attempt.
    NotListed,
    /// The attempt was fenced before it ended.
    Fenced,
}

/// Scheduler of durable jobs. Times are ms on one monotonic clock.
#[derive(Debug)]
pub struct Scheduler {
    term: u64,
    servers: Slab<Server>,
    jobs: IndexMap<Id, Job>,
    attempts: BTreeMap<Attempt, Placement>,
    /// Attempts that have ended and whose ends are being stored. Until then the replicated state
    /// does not show whether their tasks are done.
    unstored: BTreeSet<Attempt>,
    /// Attempts that are being fenced. Their tasks do not start until that is stored.
    fencing: BTreeSet<Attempt>,
    /// Attempts that may run or start at servers that were lost. Their tasks do not start meanwhile.
    undecided: BTreeMap<Attempt, Undecided>,
    /// Tasks that may start, by service.
    ready: IndexMap<String, BTreeSet<Rank>>,
    /// Suspects that may start, by service. They run apart from all other tasks.
    ready_suspects: IndexMap<String, BTreeSet<Rank>>,
    suspects: Suspects,
    /// Tasks that an earlier leader may have started and that may still run somewhere.
    inherited: IndexSet<Task>,
    drains: queue::Drains,
}

impl Scheduler {
    /// Creates the scheduler of the leader of `term`. It adopts the jobs that have not ended; their
    /// tasks start only after [`Scheduler::give_up_inherited`].
    pub fn new(term: u64, now_ms: u64, queues: &Queues) -> Scheduler {
        let mut scheduler = Scheduler {
            term,
            servers: Slab::new(),
            jobs: IndexMap::new(),
            attempts: BTreeMap::new(),
            unstored: BTreeSet::new(),
            fencing: BTreeSet::new(),
            undecided: BTreeMap::new(),
            ready: IndexMap::new(),
            ready_suspects: IndexMap::new(),
            suspects: Suspects::default(),
            inherited: IndexSet::new(),
            drains: queue::Drains::default(),
        };
        for (id, record) in queues.open() {
            scheduler.add(now_ms, id, record, true);
        }
        scheduler
    }

    /// Adds a job that has just been accepted.
    pub fn accept(&mut self, now_ms: u64, id: Id, queues: &Queues) {
        if let Some(record) = queues.job(id)
            && !record.phase.is_terminal()
            && !self.jobs.contains_key(&id)
        {
            self.add(now_ms, id, record, false);
        }
    }

    fn add(&mut self, now_ms: u64, id: Id, record: &Record, inherited: bool) {
        let slack = record.target_ms.saturating_sub(record.job.chain_ms());
        let job = Job {
            service: record.service.clone(),
            spec: Arc::from(record.job.spec.as_str()),
            due_ms: now_ms + slack,
            started: inherited
                && record
                    .tasks
                    .iter()
                    .any(|t| t.done || !t.failed.is_empty() || !t.crashes.is_empty()),
            steps_ready: vec![false; record.job.steps.len()],
            starts: vec![0; record.tasks.len()],
        };
        self.jobs.insert(id, job);
        for task in record.job.all_tasks(id).filter(|_| inherited) {
            if record.progress(task).is_some_and(|p| !p.done && !p.crashes.is_empty()) {
                self.suspects.inherit(task);
            }
        }
        for task in self.newly_ready_tasks(id, record) {
            if inherited {
                self.inherited.insert(task);
            } else {
                self.make_ready(task);
            }
        }
    }

    /// Records which steps of a job have become ready since the last call. Returns those of their
    /// tasks that are not done.
    fn newly_ready_tasks(&mut self, id: Id, record: &Record) -> Vec<Task> {
        let Some(job) = self.jobs.get_mut(&id) else { return Vec::new() };
        let mut tasks = Vec::new();
        for ReadyStep { number, start } in record.ready_steps(&job.steps_ready) {
            job.steps_ready[number] = true;
            let of_step = (0..record.job.steps[number].tasks).zip(&record.tasks[start..]);
            let waiting = of_step.filter(|(_, progress)| !progress.done);
            tasks.extend(waiting.map(|(index, _)| Task { job: id, step: number as u16, index }));
        }
        tasks
    }

    /// Lets a task start, unless a crash under an attempt of it is still to be stored.
    fn make_ready(&mut self, task: Task) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        if self.suspects.awaits_storage(task) {
            return;
        }
        let ready = match self.suspects.contains(task) {
            true => &mut self.ready_suspects,
            false => &mut self.ready,
        };
        ready.entry(job.service.clone()).or_default().insert((job.due_ms, task));
    }

    /// Returns the number of inherited tasks of which it is not known whether they run.
    pub fn inherited(&self) -> usize {
        self.inherited.len()
    }

    /// Adds a backend server. It gets no attempts until [`Scheduler::sync`] has set which run
    /// there.
    pub fn add_server(&mut self, mut server: Server) -> Key {
        server.set_drained(&self.drains);
        Key(self.servers.insert(server))
    }

    pub fn server(&self, key: Key) -> Option<&Server> {
        self.servers.get(key.0)
    }

    pub fn server_mut(&mut self, key: Key) -> Option<&mut Server> {
        self.servers.get_mut(key.0)
    }

    /// Handles the start of a new process of a backend server under the same id, which `info`
    /// describes. The attempts that were commanded there may still run, until [`Scheduler::sync`].
    pub fn restarted(&mut self, now_ms: u64, key: Key, info: queue::Server) {
        let Some(server) = self.servers.get_mut(key.0) else { return };
        self.suspects.lost(now_ms, server.info.id.clone());
        server.restart(info);
        server.set_drained(&self.drains);
    }

    /// Sets which attempts run on a backend server, which gets attempts from then on. Attempts that
    /// were commanded before and are not in `running` cannot start any more; their tasks become
    /// ready again.
    pub fn sync(&mut self, now_ms: u64, key: Key, running: &[Attempt], queues: &Queues) {
        for attempt in
            self.attempts_at(key).into_iter().filter(|attempt| !running.contains(attempt))
        {
            self.drop_attempt(attempt);
            self.retry(attempt, RetryCause::NotListed, queues);
        }
        for attempt in running {
            match self.attempts.get_mut(attempt) {
                Some(placement) if placement.stopping => {
                    // The command to stop it may have been lost.
                    placement.stopping = false;
                    self.stop(*attempt);
                }
                Some(_) => {}
                None => self.adopt(now_ms, key, *attempt, queues),
            }
        }
        if let Some(server) = self.servers.get_mut(key.0) {
            server.mark_synced();
        }
    }

    /// Adopts an attempt that an earlier leader commanded, and stops it if its task is not to run.
    fn adopt(&mut self, now_ms: u64, key: Key, attempt: Attempt, queues: &Queues) {
        let record = queues.job(attempt.task.job);
        let step = record.and_then(|r| r.job.steps.get(usize::from(attempt.task.step)));
        let fenced = record.is_some_and(|record| record.fenced(attempt));
        let wanted = !fenced && self.inherited.swap_remove(&attempt.task);
        let suspect = self.suspects.contains(attempt.task);
        let mut placement = Placement {
            server: key,
            needs: step.map_or_else(Resources::default, |step| step.needs),
            estimate_ms: step.map_or(0, |step| step.estimate_ms),
            commanded_ms: now_ms,
            stopping: false,
        };
        if let Some(server) = self.servers.get_mut(key.0) {
            if suspect {
                server.set_apart(true);
                placement.needs = server.info.capacity;
            }
            server.add_attempt(&attempt, &placement.needs);
        }
        self.attempts.insert(attempt, placement);
        if let Some(job) = self.jobs.get_mut(&attempt.task.job) {
            job.started = true;
        }
        if !wanted {
            log::info!("event=run_not_wanted run={attempt}");
            self.stop(attempt);
        }
    }

    /// Commands the stop of an attempt, unless that was done before.
    fn stop(&mut self, attempt: Attempt) {
        let Some(placement) = self.attempts.get_mut(&attempt) else { return };
        if std::mem::replace(&mut placement.stopping, true) {
            return;
        }
        if let Some(server) = self.servers.get_mut(placement.server.0) {
            server.command_stop(attempt);
        }
    }

    /// Removes an attempt and frees its resources.
    fn drop_attempt(&mut self, attempt: Attempt) -> Option<Placement> {
        let placement = self.attempts.remove(&attempt)?;
        if let Some(server) = self.servers.get_mut(placement.server.0) {
            server.remove_attempt(&attempt, &placement.needs);
        }
        Some(placement)
    }

    /// Makes the task of an attempt ready again if [`Scheduler::may_retry`] allows it.
    fn retry(&mut self, attempt: Attempt, cause: RetryCause, queues: &Queues) {
        if self.may_retry(attempt.task, queues) {
            log::info!("event=retry run={attempt} cause={cause:?}");
            self.make_ready(attempt.task);
        }
    }

    /// Whether a task may start again: neither it nor its job has ended, no attempt of it runs or
    /// may run or start, and neither the end nor the fencing of one is being stored.
    fn may_retry(&self, task: Task, queues: &Queues) -> bool {
        let Some(record) = queues.job(task.job) else { return false };
        let pending = !record.phase.is_terminal() && record.progress(task).is_some_and(|p| !p.done);
        let waits = self.attempts_of(task).any(|_| true)
            || self.inherited.contains(&task)
            || self.is_unstored(task)
            || self.awaits_fence(task)
            || self.is_undecided(task);
        pending && !waits
    }

    fn attempts_of(&self, task: Task) -> impl Iterator<Item = Attempt> {
        self.attempts.range(attempts_range(task)).map(|(attempt, _)| *attempt)
    }

    /// Whether the end of an attempt of a task is being stored.
    fn is_unstored(&self, task: Task) -> bool {
        self.unstored.range(attempts_range(task)).next().is_some()
    }

    /// Attempts commanded at a server that have not ended.
    fn attempts_at(&self, key: Key) -> Vec<Attempt> {
        let here = self.attempts.iter().filter(|(_, placed)| placed.server == key);
        here.map(|(attempt, _)| *attempt).collect()
    }

    /// Removes a backend server that is gone, or whose own lease has expired; the tasks of its
    /// attempts become ready again. For one that may still hold ends of them that count, see
    /// [`Scheduler::give_up_server`].
    pub fn remove_server(&mut self, now_ms: u64, key: Key, queues: &Queues) {
        for attempt in self.take_server(now_ms, key) {
            self.retry(attempt, RetryCause::ServerLost, queues);
        }
    }

    /// Removes a backend server and its attempts, which are returned.
    fn take_server(&mut self, now_ms: u64, key: Key) -> Vec<Attempt> {
        if let Some(server) = self.servers.try_remove(key.0) {
            self.suspects.lost(now_ms, server.info.id);
        }
        let attempts = self.attempts_at(key);
        self.attempts.retain(|_, placement| placement.server != key);
        attempts
    }

    /// Handles the end of an attempt. Returns the completion that must be stored before the
    /// sidecar's report of it may be acknowledged; `None` if nothing needs to be stored.
    pub fn ended(
        &mut self,
        now_ms: u64,
        key: Key,
        attempt: Attempt,
        outcome: Outcome,
        queues: &Queues,
    ) -> Option<Completion> {
        if self.attempts.get(&attempt).is_some_and(|p| p.server == key) {
            let placement = self.drop_attempt(attempt)?;
            if let Some(server) = self.servers.get_mut(key.0) {
                let took_ms = now_ms.saturating_sub(placement.commanded_ms);
                server.record_outcome(now_ms, outcome, took_ms, placement.estimate_ms);
            }
        }
        if queues.job(attempt.task.job).is_some_and(|record| record.fenced(attempt)) {
            log::info!("event=end_fenced run={attempt} how={outcome:?}");
            self.retry(attempt, RetryCause::Fenced, queues);
            return None;
        }
        // A newer attempt of an inherited task may run at a server that has not reported yet, so an
        // end that does not complete the task does not release it.
        if outcome == Outcome::Done {
            self.inherited.swap_remove(&attempt.task);
        }
        if !self.jobs.contains_key(&attempt.task.job) {
            return None;
        }
        self.unstored.insert(attempt);
        self.remove_ready(attempt.task);
        Some(Completion { attempt, outcome })
    }

    /// Handles a completion that has been stored in the replicated queues.
    pub fn outcome_stored(&mut self, completion: &Completion, queues: &Queues) {
        self.unstored.remove(&completion.attempt);
        let id = completion.attempt.task.job;
        let Some(record) = queues.job(id) else { return };
        if record.phase.is_terminal() {
            return self.close(id, record);
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.started = true;
        }
        let done = record.progress(completion.attempt.task).is_some_and(|progress| progress.done);
        match completion.outcome {
            // The attempt was fenced before its end was stored.
            Outcome::Done if !done => self.retry(completion.attempt, RetryCause::Fenced, queues),
            Outcome::Done => {
                let others: Vec<Attempt> = self.attempts_of(completion.attempt.task).collect();
                others.into_iter().for_each(|attempt| self.stop(attempt));
                self.remove_ready(completion.attempt.task);
                self.suspects.remove(completion.attempt.task);
                for task in self.newly_ready_tasks(id, record) {
                    self.make_ready(task);
                }
            }
            Outcome::Failed => self.retry(completion.attempt, RetryCause::Failed, queues),
            Outcome::Stopped => self.retry(completion.attempt, RetryCause::Stopped, queues),
        }
    }

    fn remove_ready(&mut self, task: Task) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        for ready in [&mut self.ready, &mut self.ready_suspects] {
            if let Some(ready) = ready.get_mut(&job.service) {
                ready.remove(&(job.due_ms, task));
            }
        }
    }

    /// Removes a job that has ended, and stops those of its attempts that still run.
    pub fn close(&mut self, id: Id, record: &Record) {
        for task in record.job.all_tasks(id) {
            self.remove_ready(task);
            self.suspects.remove(task);
            self.inherited.swap_remove(&task);
            let attempts: Vec<Attempt> = self.attempts_of(task).collect();
            attempts.into_iter().for_each(|attempt| self.stop(attempt));
        }
        self.jobs.swap_remove(&id);
    }

    /// Handles a commanded attempt that did not start and cannot start any more.
    pub fn not_started(&mut self, now_ms: u64, key: Key, refused: &NotStarted, queues: &Queues) {
        if self.attempts.get(&refused.attempt).is_none_or(|p| p.server != key) {
            return;
        }
        self.drop_attempt(refused.attempt);
        if let Some(server) = self.servers.get_mut(key.0) {
            server.refused(now_ms, refused.reason);
        }
        self.retry(refused.attempt, RetryCause::NotStarted, queues);
    }

    /// Whether the start of a task of a job has been commanded. A job that is not known here counts
    /// as started.
    pub fn started(&self, id: Id) -> bool {
        self.jobs.get(&id).is_none_or(|job| job.started)
    }

    /// Commands starts of ready tasks on servers with free capacity.
    pub fn assign(&mut self, now_ms: u64, queues: &Queues) {
        self.assign_suspects(now_ms, queues);
        let services: Vec<String> = self.ready.keys().cloned().collect();
        for service in services {
            let mut misses = 0;
            let mut next = self.ready[&service].first().copied();
            while let Some(rank) = next.filter(|_| misses <= MISSES_MAX) {
                if !self.place(now_ms, &service, rank, queues) {
                    misses += 1;
                }
                let later = (Bound::Excluded(rank), Bound::Unbounded);
                next = self.ready[&service].range(later).next().copied();
            }
        }
    }

    /// Commands the start of a ready task. Returns `false` if no server is suitable.
    fn place(&mut self, now_ms: u64, service: &str, rank: Rank, queues: &Queues) -> bool {
        let (_, task) = rank;
        let record = queues.job(task.job).filter(|record| !record.phase.is_terminal());
        let Some(record) = record else {
            self.ready[service].remove(&rank);
            return true;
        };
        let step = &record.job.steps[usize::from(task.step)];
        if self.suspects.concerns(task.job) {
            // Tasks of a job share its spec, so what crashed a server under one may do so under
            // others.
            return true;
        }
        let Some(key) = self.choose(now_ms, service, task, step) else { return false };
        self.ready[service].remove(&rank);
        self.start(now_ms, key, task, record, step.needs);
        true
    }

    /// Commands the start of a task on a server, where it uses `needs`. A suspect uses all of the
    /// server, so that its sidecar starts nothing beside it.
    fn start(&mut self, now_ms: u64, key: Key, task: Task, record: &Record, needs: Resources) {
        let step = &record.job.steps[usize::from(task.step)];
        let attempt = Attempt { task, number: self.next_number(task, record) };
        let placement = Placement {
            server: key,
            needs,
            estimate_ms: step.estimate_ms,
            commanded_ms: now_ms,
            stopping: false,
        };
        self.attempts.insert(attempt, placement);
        let server = &mut self.servers[key.0];
        server.add_attempt(&attempt, &needs);
        let spec = self.jobs.get(&task.job).map(|job| job.spec.clone()).unwrap_or_default();
        server.command_start(Start { attempt, needs, estimate_ms: step.estimate_ms, spec });
    }

    /// Returns the number of a task's next attempt. The number is higher than all numbers that
    /// earlier leaders used.
    fn next_number(&mut self, task: Task, record: &Record) -> u32 {
        let position = record.job.position(task).unwrap_or(0);
        let base = self.earlier_numbers_max(record);
        let Some(job) = self.jobs.get_mut(&task.job) else { return base + 1 };
        job.started = true;
        job.starts[position] += 1;
        base + job.starts[position]
    }

    /// Returns the highest number that earlier leaders, whose terms are lower, may have given to
    /// attempts of a job's tasks.
    fn earlier_numbers_max(&self, record: &Record) -> u32 {
        (self.term.saturating_sub(record.term) * ATTEMPTS_PER_TERM) as u32
    }

    /// Returns the suitable server with the lowest cost, which is its expected slowdown.
    fn choose(&self, now_ms: u64, service: &str, task: Task, step: &Step) -> Option<Key> {
        let suitable = |server: &Server| {
            server.accepts(now_ms, service, step)
                && step
                    .max_per_server
                    .is_none_or(|most| server.count(task.job, task.step) < usize::from(most))
        };
        self.servers
            .iter()
            .filter(|(_, server)| suitable(server))
            .min_by(|(_, a), (_, b)| a.cost(step).total_cmp(&b.cost(step)))
            .map(|(key, _)| Key(key))
    }

    /// Returns the commands for a server since the last call; `None` if there are none.
    pub fn commands(&mut self, key: Key) -> Option<Batch> {
        self.servers.get_mut(key.0)?.commands()
    }

    /// Returns the number of commanded attempts that have not ended.
    pub fn running(&self) -> usize {
        self.attempts.len()
    }
}

/// Returns the range of all attempts of a task.
fn attempts_range(task: Task) -> RangeInclusive<Attempt> {
    Attempt { task, number: 0 }..=Attempt { task, number: u32::MAX }
}

/// Returns the length of the pause in starts on a server that refused one, in ms.
fn pause_ms(reason: Reason) -> u64 {
    match reason {
        Reason::NoCapacity => 100,
        Reason::Unavailable | Reason::NoAnswer => 500,
        Reason::Expired | Reason::Replaced => 0,
    }
}
