//! Scheduling of transient jobs: which task of an entry's jobs starts next, and on which backend
//! server.
//!
//! Entries are the instances that accept the callers' requests; each has a scheduler of its own. A
//! task is bound to a server only when that server seems to have free capacity. Several entries
//! share the servers, so free capacity is estimated as what the sidecar last reported, less what
//! this entry has commanded since.

mod crash;
mod drain;
mod job;
mod ready;
mod server;
mod suspect;

use std::net::SocketAddr;

use indexmap::IndexMap;
use slab::Slab;

use crate::protocol::{
    queue::{self, Attempt, Id, Queue, Step, Task},
    wire::{
        queue::{self as wire_queue, Drains, Reason, Sidecar, Start},
        work::{Load, Outcome, Reply, Revision},
    },
};
pub use job::memory_bytes;
use job::{Job, Placement};
use ready::{Pass, Ready};
use server::Server;

/// Once this many jobs of a service have found no server for a ready task, the rest are not tried.
const MISSES_MAX: usize = 16;
/// Added to the number of the next attempt of a task after an attempt was refused with
/// `Reason::Expired`.
const NUMBER_STEP: u32 = 16;
/// How long an attempt may wait at a sidecar for free capacity, in ms.
const CAPACITY_WAIT_MS: u64 = 150;

/// Jobs that cannot be on time are refused once a shortage of capacity has lasted this long, in ms.
/// There is a shortage while even jobs that are assigned before them find no capacity.
const SHORTAGE_MS: u64 = 200;
/// Time without a call of [`Scheduler::observe`] after which the process counts as having been
/// paused, in ms. It is shorter than the pause after which callers send a job again.
const PAUSE_MS: u64 = 1_000;
/// Time after a pause of the process within which nothing is started, in ms. The callers that have
/// left meanwhile are noticed in this time.
const RESUME_MS: u64 = 50;
/// An attempt counts as stalled, and is stopped, when it has run for longer than its declared time
/// multiplied by `STALL_FACTOR`, plus `STALL_SLACK_MS`. Declared times may be far off.
const STALL_FACTOR: u64 = 5;
/// Fixed part of the time after which an attempt counts as stalled, in ms.
const STALL_SLACK_MS: u64 = 400;
/// Time added to the declared one when the run time of a running attempt is compared with it, in
/// ms.
const RUNNING_SLACK_MS: u64 = 30;
/// Factor by which a server counts as slower for a task that failed there last.
const SAME_SERVER_FACTOR: f64 = 20.0;

/// Identifies a backend server within a scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(usize);

/// Instruction to a sidecar to start an attempt.
#[derive(Debug, PartialEq)]
pub struct StartCommand {
    pub server: Key,
    /// Incarnation of the server, as its sidecar numbers them.
    pub incarnation: u32,
    pub start: Start,
    /// Latest start at which the job would be on time.
    pub due_ms: u64,
    /// How long the attempt may wait for free capacity.
    pub wait_ms: u64,
}

/// Output of the decisions since the last call: what the caller is to carry out.
#[derive(Debug, Default, PartialEq)]
pub struct Actions {
    pub commands: Vec<StartCommand>,
    pub stops: Vec<(Key, Attempt)>,
    /// Jobs that have ended.
    pub finished: Vec<(Id, JobOutcome)>,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOutcome {
    Completed,
    Failed,
    Canceled,
    /// Nothing of it has run, and nothing will.
    NotRun,
}

/// Scheduler of transient jobs. Times are ms on one monotonic clock.
#[derive(Debug, Default)]
pub struct Scheduler {
    servers: Slab<Server>,
    /// Servers by the names of their sidecars.
    names: IndexMap<String, Key>,
    jobs: IndexMap<Id, Job>,
    /// Attempts of removed jobs that have not ended, by their tasks.
    abandoned: IndexMap<Task, Placement>,
    /// Jobs with ready tasks, by service. Each service has servers of its own.
    ready: IndexMap<String, Ready>,
    /// When the process is known to have run last; `None` before the first observation.
    observed_ms: Option<u64>,
    /// Until when no start is commanded.
    held_until_ms: u64,
    /// Servers that were lost lately with attempts of this entry, and when.
    losses: IndexMap<Key, u64>,
    drains: Drains,
    /// Most attempts that are commanded at the same time; `None` for any number.
    attempts_max: Option<usize>,
    actions: Actions,
}

impl Scheduler {
    /// Limits the number of attempts that are commanded at the same time. Tasks that need no capacity
    /// are limited by nothing else.
    pub fn with_attempts_max(self, attempts_max: usize) -> Scheduler {
        Scheduler { attempts_max: Some(attempts_max), ..self }
    }

    /// Whether another attempt may be commanded.
    fn may_command(&self) -> bool {
        self.attempts_max.is_none_or(|most| {
            let outstanding = self.servers.iter().map(|(_, server)| server.outstanding());
            outstanding.sum::<usize>() < most
        })
    }

    /// Returns the actions decided on since the last call.
    pub fn take_actions(&mut self) -> Actions {
        std::mem::take(&mut self.actions)
    }

    /// Records that the process runs, which has to be called at least every few ticks. After a pause
    /// of the process, as when its machine was suspended, callers may have left and sent their jobs
    /// to another entry, so no start is commanded until that has been noticed.
    pub fn observe(&mut self, now_ms: u64) {
        let before_ms = self.observed_ms.replace(now_ms).unwrap_or(now_ms);
        let paused_ms = now_ms.saturating_sub(before_ms);
        if paused_ms >= PAUSE_MS {
            log::warn!("event=paused for_ms={paused_ms}");
            self.held_until_ms = now_ms + RESUME_MS;
        }
    }

    /// Adds a sidecar, not yet connected, or updates its description.
    pub fn describe(&mut self, sidecar: Sidecar) -> Key {
        match self.names.get(&sidecar.name) {
            Some(&key) => {
                let server = &mut self.servers[key.0];
                server.describe(sidecar);
                server.set_drained(&self.drains);
                key
            }
            None => {
                let name = sidecar.name.clone();
                let mut server = Server::new(sidecar);
                server.set_drained(&self.drains);
                let key = Key(self.servers.insert(server));
                self.names.insert(name, key);
                key
            }
        }
    }

    /// Address of a sidecar.
    pub fn addr(&self, key: Key) -> SocketAddr {
        self.servers[key.0].sidecar.addr
    }

    /// Number of commanded attempts on a server that have not ended.
    pub fn outstanding(&self, key: Key) -> usize {
        self.servers[key.0].outstanding()
    }

    /// Handles a new connection to a sidecar. More connections, and with them more capacity, may
    /// follow soon, as after a restart of all instances. The duration of a capacity shortage
    /// therefore starts anew, and no job is refused for it yet.
    pub fn connected(&mut self, key: Key) {
        let server = &mut self.servers[key.0];
        server.connected = true;
        if let Some(ready) = self.ready.get_mut(&server.sidecar.server.service) {
            ready.note_capacity(0, true);
        }
    }

    /// Handles a broken connection to a sidecar: nothing is commanded there any more.
    pub fn disconnected(&mut self, key: Key) {
        let server = &mut self.servers[key.0];
        server.connected = false;
        // Another process of the sidecar numbers anew.
        server.revision = Revision::default();
    }

    /// Handles a sidecar's own description of its backend server.
    pub fn describe_server(&mut self, key: Key, revision: Revision, info: wire_queue::Server) {
        let server = &mut self.servers[key.0];
        server.revision = revision;
        server.describe_server(info);
        server.set_drained(&self.drains);
    }

    /// Version of the description of a backend server, as its sidecar numbers them.
    pub fn revision(&self, key: Key) -> Revision {
        self.servers[key.0].revision
    }

    /// Whether the sidecar has a newer description of its backend server.
    pub fn outdated(&self, key: Key) -> bool {
        self.servers[key.0].outdated
    }

    /// Handles a sidecar's report of its load.
    pub fn update_load(&mut self, now_ms: u64, key: Key, load: &Load) {
        self.servers[key.0].update_load(load);
        self.decide_crashes(key);
        self.assign(now_ms);
    }

    /// Whether a job is known.
    pub fn knows(&self, id: Id) -> bool {
        self.jobs.contains_key(&id)
    }

    /// Whether the start of a task of a job has ever been commanded.
    pub fn started(&self, id: Id) -> bool {
        self.jobs.get(&id).is_some_and(|job| job.start_commanded)
    }

    /// Whether any job has not ended.
    pub fn busy(&self) -> bool {
        !self.jobs.is_empty()
    }

    /// Returns the declared time of a job on the capacity that is free now, in ms: that of its longest
    /// chain, and for each step that of its tasks in turn on the slots that are free. Where none is, one
    /// counts, since attempts of others end.
    pub fn declared_ms(&self, service: &str, job: &queue::Job) -> u64 {
        let in_turn_ms = |step: &Step| {
            let servers = self.servers.iter().filter(|(_, server)| server.serves(service, step));
            let slots = servers
                .fold(0, |slots: u64, (_, server)| slots.saturating_add(server.free_slots(step)));
            u64::from(step.tasks) * u64::from(step.estimate_ms) / slots.max(1)
        };
        job.chain_ms() + job.steps.iter().map(in_turn_ms).sum::<u64>()
    }

    /// Adds a job. If a job with this id was removed while attempts of it had not ended, their tasks
    /// become ready when they end.
    pub fn submit(&mut self, now_ms: u64, id: Id, queue: &Queue, job: queue::Job) {
        let mut job = Job::new(now_ms, queue, job);
        self.abandoned.retain(|task, placement| task.job != id || !job.adopt(*placement));
        self.jobs.insert(id, job);
        self.make_steps_ready(id);
        self.refuse_if_drained(id);
        self.assign(now_ms);
    }

    /// Makes the tasks of a job's step ready if all steps that it depends on are done.
    fn make_steps_ready(&mut self, id: Id) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.make_steps_ready(id);
        ready_of(&mut self.ready, job).update(id, job);
    }

    /// Cancels a job: removes it and stops its attempts. Returns whether the job was known.
    pub fn cancel(&mut self, id: Id) -> bool {
        self.remove_job(id)
    }

    /// Removes a job that is cancelled, has failed or is refused, and stops its attempts. Returns
    /// whether the job was known.
    fn remove_job(&mut self, id: Id) -> bool {
        let Some(job) = self.jobs.swap_remove(&id) else { return false };
        let ready = ready_of(&mut self.ready, &job);
        ready.remove(id, &job);
        ready.suspects.retain(|task| task.job != id);
        for task in &job.tasks {
            if let Some(placement) = task.placement {
                self.actions.stops.push((placement.server, placement.attempt));
                self.abandoned.insert(placement.attempt.task, placement);
            }
        }
        true
    }

    /// Ends a job as failed.
    fn fail(&mut self, id: Id) {
        self.remove_job(id);
        self.actions.finished.push((id, JobOutcome::Failed));
    }

    /// Handles the end of a start command. A `reply` of `None` means that the outcome is not known
    /// and the attempt does not run any more.
    pub fn ended(&mut self, now_ms: u64, key: Key, attempt: Attempt, reply: Option<&Reply>) {
        // Without a reply the attempt has ended with the connection, which says nothing of the server.
        let outcome = reply.map_or(Outcome::Stopped, |reply| reply.outcome);
        let affects_estimates = outcome != Outcome::Failed || self.record_failure(attempt);
        let server = &mut self.servers[key.0];
        let estimate_ms =
            self.jobs.get(&attempt.task.job).map_or(0, |job| job.estimate_ms(attempt.task));
        server.remove_attempt(&attempt);
        if let Some(reply) = reply {
            server.update_load(&reply.load);
            if affects_estimates {
                server.record_outcome(now_ms, outcome, reply.took_ms, estimate_ms);
            }
        }
        if let Outcome::Lost(loss) = outcome {
            self.record_loss(now_ms, key, attempt, loss);
        }
        self.apply_outcome(key, attempt, outcome);
        self.decide_crashes(key);
        self.assign(now_ms);
    }

    /// Records that an attempt of a job failed. Returns whether this is the job's first failure,
    /// which is the only one that counts against its server: the job may be one that fails on every
    /// server.
    fn record_failure(&mut self, attempt: Attempt) -> bool {
        let job = self.jobs.get_mut(&attempt.task.job);
        job.is_some_and(|job| !std::mem::replace(&mut job.has_failed, true))
    }

    /// Updates the task and the job by the outcome of an attempt.
    fn apply_outcome(&mut self, key: Key, attempt: Attempt, outcome: Outcome) {
        let id = attempt.task.job;
        let of_attempt = |placement: &Placement| placement.attempt == attempt;
        if self.abandoned.get(&attempt.task).is_some_and(of_attempt) {
            self.abandoned.swap_remove(&attempt.task);
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(position) = job.submitted.position(attempt.task) else { return };
        let task = &mut job.tasks[position];
        let Some(placement) = task.placement.take_if(|placement| of_attempt(placement)) else {
            return;
        };
        match outcome {
            Outcome::Done => {
                task.done = true;
                job.remaining -= 1;
                ready_of(&mut self.ready, job).suspects.shift_remove(&attempt.task);
                if job.remaining == 0 {
                    self.jobs.swap_remove(&id);
                    self.actions.finished.push((id, JobOutcome::Completed));
                } else {
                    self.make_steps_ready(id);
                }
                return;
            }
            Outcome::Failed => {
                task.failed += 1;
                task.avoid = Some(key);
                if task.failed >= job.max_attempts {
                    return self.fail(id);
                }
            }
            Outcome::Canceled => {
                self.remove_job(id);
                self.actions.finished.push((id, JobOutcome::Canceled));
                return;
            }
            Outcome::NotStarted(Reason::Expired) => task.number += NUMBER_STEP,
            Outcome::NotStarted(Reason::Unavailable) => job.starts_open -= 1,
            // The sidecar stopped it of its own accord, as one that made no progress.
            Outcome::Stopped if !placement.stopping && self.servers[key.0].watches_progress => {
                task.avoid = Some(key);
            }
            Outcome::Stopped | Outcome::Lost(_) | Outcome::NotStarted(_) => {}
        }
        let ready = ready_of(&mut self.ready, job);
        if !ready.suspects.contains(&attempt.task) {
            job.make_ready(attempt.task);
            ready.update(id, job);
        }
        if outcome == Outcome::NotStarted(Reason::Unavailable) {
            self.refuse_if_drained(id);
        }
    }

    /// Stops stalled attempts, refuses jobs that have waited too long, and assigns ready tasks.
    pub fn tick(&mut self, now_ms: u64) {
        self.watch_attempts(now_ms);
        self.refuse_late(now_ms);
        self.assign(now_ms);
    }

    /// Updates the run time ratio of each server's running attempts, and stops attempts that take
    /// far longer than declared, unless their sidecar sees whether they advance.
    fn watch_attempts(&mut self, now_ms: u64) {
        for (_, server) in &mut self.servers {
            server.running_ratio = 0.0;
        }
        for job in self.jobs.values_mut() {
            let submitted = job.submitted.clone();
            for placement in job.tasks.iter_mut().filter_map(|task| task.placement.as_mut()) {
                let step = &submitted.steps[usize::from(placement.attempt.task.step)];
                let ran_ms = now_ms.saturating_sub(placement.commanded_ms);
                let server = &mut self.servers[placement.server.0];
                let estimate_ms = u64::from(step.estimate_ms.max(1));
                let ratio = ran_ms as f64 / (estimate_ms + RUNNING_SLACK_MS) as f64;
                server.running_ratio = server.running_ratio.max(ratio);
                let limit_ms = estimate_ms * STALL_FACTOR + STALL_SLACK_MS;
                if ran_ms > limit_ms && !placement.stopping && !server.watches_progress {
                    placement.stopping = true;
                    server.failed(now_ms);
                    self.actions.stops.push((placement.server, placement.attempt));
                }
            }
        }
    }

    /// Refuses jobs of which no start has been commanded, for one of two reasons: their results
    /// would have no value any more, or they would be late and capacity has been short for
    /// `SHORTAGE_MS`. During a shortage, late jobs would only wait behind the others.
    fn refuse_late(&mut self, now_ms: u64) {
        let full = |job: &Job| {
            let ready = self.ready.get(&job.service);
            ready.is_some_and(|ready| ready.shortage_ms(now_ms) >= Some(SHORTAGE_MS))
        };
        let too_late = |job: &Job| job.has_no_value(now_ms) || job.is_late(now_ms) && full(job);
        let refused = self.jobs.iter().filter(|(_, job)| !job.start_commanded && too_late(job));
        let refused: Vec<(Id, bool)> = refused.map(|(id, job)| (*id, full(job))).collect();
        for (id, full) in refused {
            log::info!("event=refused job={id} reason=late full={full}");
            self.remove_job(id);
            self.actions.finished.push((id, JobOutcome::NotRun));
        }
    }

    /// Commands starts of ready tasks on servers that seem to have free capacity.
    pub fn assign(&mut self, now_ms: u64) {
        if now_ms < self.held_until_ms {
            return;
        }
        for service_index in 0..self.ready.len() {
            self.assign_service(now_ms, service_index);
        }
    }

    /// Commands starts of ready tasks of the service at `service_index` in `ready`.
    fn assign_service(&mut self, now_ms: u64, service_index: usize) {
        self.assign_suspects(now_ms, service_index);
        let mut misses = 0;
        for pass in Pass::ALL {
            for id in self.ready[service_index].first(now_ms, pass) {
                misses += usize::from(!self.place_all(now_ms, id));
                if misses >= MISSES_MAX {
                    break;
                }
            }
            let blocked = misses >= MISSES_MAX;
            // Jobs that can be on time are not tried at all if too many of the first pass have
            // found no server; that is a shortage, too.
            if pass == Pass::OnTime || pass == Pass::StartCommanded && blocked {
                self.note_capacity(now_ms, service_index, misses == 0);
            }
            if blocked {
                return;
            }
        }
    }

    /// Records whether all jobs tried in the first two passes have found capacity. If no server of
    /// the service accepts start commands, this is not recorded as a shortage, because the cause is
    /// not overload.
    fn note_capacity(&mut self, now_ms: u64, service_index: usize, found: bool) {
        let Some((service, ready)) = self.ready.get_index_mut(service_index) else { return };
        let mut servers = self.servers.iter();
        let any = servers.any(|(_, s)| s.is_open() && s.sidecar.server.service == *service);
        ready.note_capacity(now_ms, found || !any);
    }

    /// Commands starts of a job's ready tasks. Returns whether all of them found a server.
    fn place_all(&mut self, now_ms: u64, id: Id) -> bool {
        let Some(job) = self.jobs.get(&id) else { return true };
        let ready: Vec<Task> = job.ready.iter().copied().collect();
        let placed = ready.into_iter().all(|task| self.place(now_ms, task));
        if let Some(job) = self.jobs.get(&id) {
            ready_of(&mut self.ready, job).update(id, job);
        }
        placed
    }

    /// Commands the start of a ready task. Returns `false` if no suitable server has free
    /// capacity.
    fn place(&mut self, now_ms: u64, task: Task) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return true };
        let (Some(step), Some(progress)) = (job.step(task), job.progress(task)) else {
            return true;
        };
        let remaining_ms = job.latest_end_ms.saturating_sub(now_ms);
        let avoid = progress.avoid;
        let criteria = Criteria { service: &job.service, task, step, avoid, remaining_ms };
        if !self.may_command() {
            return false;
        }
        let Some(key) = choose(&self.servers, now_ms, &criteria) else { return false };
        self.start(now_ms, task, key);
        true
    }

    /// Commands the start of a task on a server.
    fn start(&mut self, now_ms: u64, task: Task, key: Key) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let submitted = job.submitted.clone();
        let Some(position) = submitted.position(task) else { return };
        let step = &submitted.steps[usize::from(task.step)];
        job.ready.remove(&task);
        let progress = &mut job.tasks[position];
        progress.number += 1;
        let attempt = Attempt { task, number: progress.number };
        progress.placement =
            Some(Placement { attempt, server: key, commanded_ms: now_ms, stopping: false });
        job.start_commanded = true;
        job.starts_open += 1;
        let start = Start {
            attempt,
            needs: step.needs,
            estimate_ms: step.estimate_ms,
            spec: job.spec.clone(),
        };
        self.servers[key.0].add_attempt(attempt, step.needs);
        let due_ms = job.latest_start_ms;
        self.actions.commands.push(StartCommand {
            server: key,
            incarnation: self.servers[key.0].revision.incarnation,
            start,
            due_ms,
            wait_ms: CAPACITY_WAIT_MS,
        });
    }
}

/// Returns the jobs with ready tasks of the service that runs `job`.
fn ready_of<'a>(ready: &'a mut IndexMap<String, Ready>, job: &Job) -> &'a mut Ready {
    if !ready.contains_key(&job.service) {
        ready.insert(job.service.clone(), Ready::default());
    }
    &mut ready[&job.service]
}

/// A task for which a server is to be chosen.
struct Criteria<'a> {
    service: &'a str,
    task: Task,
    step: &'a Step,
    /// Server on which the task failed last.
    avoid: Option<Key>,
    /// Time within which the job must end to be on time, in ms.
    remaining_ms: u64,
}

/// Returns the suitable server with free capacity and the lowest cost for the task. The cost is the
/// server's expected slowdown, raised by its load and, on the server where the task failed last, by
/// `SAME_SERVER_FACTOR`. A server that is too slow for the job to be on time is left out while a
/// suitable server is fast enough, even if the fast one has no free capacity.
fn choose(servers: &Slab<Server>, now_ms: u64, criteria: &Criteria) -> Option<Key> {
    let Criteria { service, task, step, avoid, remaining_ms } = *criteria;
    let suits =
        |server: &Server| server.held_for.is_none() && server.suits(now_ms, service, task, step);
    let suitable = || servers.iter().filter(|(_, server)| suits(server));
    let in_time = |server: &Server| server.expected_ms(step) <= remaining_ms as f64;
    let any_in_time = suitable().any(|(_, server)| in_time(server));
    let cost = |key: usize, server: &Server| {
        let factor = if avoid == Some(Key(key)) { SAME_SERVER_FACTOR } else { 1.0 };
        server.cost(step) * factor
    };
    suitable()
        .filter(|(_, server)| server.has_capacity(&step.needs) && (in_time(server) || !any_in_time))
        .min_by(|(k, a), (l, b)| cost(*k, a).total_cmp(&cost(*l, b)))
        .map(|(key, _)| Key(key))
}
