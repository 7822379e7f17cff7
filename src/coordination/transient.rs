//! Which task of an entry's jobs starts next, and at which backend server.
//!
//! An entry runs the jobs that need not be kept. It binds a task to a server only when that server
//! seems to have room. Other entries share the servers, so a server's room is what its sidecar last
//! told, less what this entry has ordered since.

mod job;
mod ready;
mod server;

use std::net::SocketAddr;

use indexmap::IndexMap;
use slab::Slab;

use crate::protocol::{
    queue::{self, Attempt, Id, Queue, Step, Task},
    wire::{
        queue::{Reason, Sidecar, Start},
        work::{Load, Outcome, Reply},
    },
};
use job::{Job, Place};
use ready::{Phase, Ready};
use server::Server;

/// Jobs whose ready tasks may find no place before the rest is not tried.
const MISSES_MAX: usize = 16;
/// Added to the number of a run after one that the backend server found outdated.
const NUMBER_STEP: u32 = 16;
/// How long a task may wait at a sidecar for room, in ms.
const ROOM_WAIT_MS: u64 = 150;

/// Time for which jobs that can be on time have found no room after which those that cannot are
/// refused, in ms.
const FULL_MS: u64 = 200;
/// A run is given up after this multiple of its declared time, which may be far off, ...
const STALL_FACTOR: u64 = 5;
/// ... and this time, in ms.
const STALL_SLACK_MS: u64 = 400;
/// Time added to the declared one when a run is compared with it, in ms.
const LAG_SLACK_MS: u64 = 30;
/// How much slower a server counts as for a task that failed there.
const AGAIN_FACTOR: f64 = 20.0;

/// A backend server known to a scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(usize);

/// Instruction to a sidecar to start an attempt.
#[derive(Debug, PartialEq)]
pub struct StartCommand {
    pub server: Key,
    pub start: Start,
    pub due_ms: u64,
    pub wait_ms: u64,
}

/// Output of the decisions since the last call: what the caller is to carry out.
#[derive(Debug, Default, PartialEq)]
pub struct Actions {
    pub commands: Vec<StartCommand>,
    pub stops: Vec<(Key, Attempt)>,
    pub finished: Vec<(Id, JobOutcome)>,
}

/// How a job was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOutcome {
    Completed,
    Failed,
    Canceled,
    /// No task was started, and none will be.
    NotRun,
}

/// Decides about starts. Times are ms on one steady clock.
#[derive(Debug, Default)]
pub struct Scheduler {
    servers: Slab<Server>,
    /// Servers by the names of their sidecars.
    names: IndexMap<String, Key>,
    jobs: IndexMap<Id, Job>,
    /// By service: each has servers of its own.
    ready: IndexMap<String, Ready>,
    actions: Actions,
}

impl Scheduler {
    /// What is to be done since the last call.
    pub fn take_actions(&mut self) -> Actions {
        std::mem::take(&mut self.actions)
    }

    /// Takes a sidecar's description; a new one has no open link yet.
    pub fn describe(&mut self, sidecar: Sidecar) -> Key {
        match self.names.get(&sidecar.name) {
            Some(&key) => {
                self.servers[key.0].describe(sidecar);
                key
            }
            None => {
                let name = sidecar.name.clone();
                let key = Key(self.servers.insert(Server::new(sidecar)));
                self.names.insert(name, key);
                key
            }
        }
    }

    /// Where a sidecar is.
    pub fn addr(&self, key: Key) -> SocketAddr {
        self.servers[key.0].sidecar.addr
    }

    /// Orders that wait for their end at a server.
    pub fn outstanding(&self, key: Key) -> usize {
        self.servers[key.0].outstanding()
    }

    /// A link to a sidecar has been opened. There may soon be more room, as after a restart of all
    /// instances, so that no job is refused for lack of it yet.
    pub fn connected(&mut self, key: Key) {
        let server = &mut self.servers[key.0];
        server.up = true;
        if let Some(ready) = self.ready.get_mut(&server.sidecar.server.service) {
            ready.note_room(0, true);
        }
    }

    /// A link to a sidecar has broken: nothing is ordered there.
    pub fn disconnected(&mut self, key: Key) {
        self.servers[key.0].up = false;
    }

    /// Takes a sidecar's word on its load.
    pub fn update_load(&mut self, now_ms: u64, key: Key, load: &Load) {
        self.servers[key.0].update_load(load);
        self.assign(now_ms);
    }

    /// Whether a job is known.
    pub fn knows(&self, id: Id) -> bool {
        self.jobs.contains_key(&id)
    }

    /// Whether a task of a job has been ordered.
    pub fn started(&self, id: Id) -> bool {
        self.jobs.get(&id).is_some_and(|job| job.started)
    }

    /// Whether there are jobs.
    pub fn busy(&self) -> bool {
        !self.jobs.is_empty()
    }

    /// Takes a job.
    pub fn submit(&mut self, now_ms: u64, id: Id, queue: &Queue, job: queue::Job) {
        let entry = Job::new(now_ms, queue, job);
        self.jobs.insert(id, entry);
        self.release(id);
        self.assign(now_ms);
    }

    /// Makes the tasks of steps ready whose turn has come.
    fn release(&mut self, id: Id) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.release(id);
        ready_of(&mut self.ready, job).update(id, job);
    }

    /// Gives a job up: what waits is forgotten, what runs is stopped.
    pub fn cancel(&mut self, id: Id) -> bool {
        let Some(job) = self.jobs.swap_remove(&id) else { return false };
        ready_of(&mut self.ready, &job).remove(id, &job);
        for task in &job.tasks {
            if let Some(place) = task.at {
                self.actions.stops.push((place.server, place.attempt));
            }
        }
        true
    }

    /// An order has ended. `None`: nothing is known, and nothing of it runs any more.
    pub fn ended(&mut self, now_ms: u64, key: Key, attempt: Attempt, reply: Option<&Reply>) {
        let outcome = reply.map_or(Outcome::Lost, |reply| reply.outcome);
        let blamed = outcome != Outcome::Failed || self.blames(attempt);
        let server = &mut self.servers[key.0];
        let estimate_ms =
            self.jobs.get(&attempt.task.job).map_or(0, |job| job.estimate_ms(attempt.task));
        server.ended(&attempt);
        if let Some(reply) = reply {
            server.update_load(&reply.load);
            if blamed {
                server.learn(now_ms, outcome, reply.took_ms, estimate_ms);
            }
        }
        self.settle(key, attempt, outcome);
        self.assign(now_ms);
    }

    /// Whether a failed run speaks against its server. Further failures of a job do not: it may be
    /// one that cannot be done anywhere.
    fn blames(&mut self, attempt: Attempt) -> bool {
        let job = self.jobs.get_mut(&attempt.task.job);
        job.is_some_and(|job| !std::mem::replace(&mut job.has_failed, true))
    }

    fn settle(&mut self, key: Key, attempt: Attempt, outcome: Outcome) {
        let id = attempt.task.job;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(position) = job.job.position(attempt.task) else { return };
        let task = &mut job.tasks[position];
        task.at = None;
        match outcome {
            Outcome::Done => {
                task.done = true;
                job.left -= 1;
                if job.left == 0 {
                    self.jobs.swap_remove(&id);
                    self.actions.finished.push((id, JobOutcome::Completed));
                } else {
                    self.release(id);
                }
                return;
            }
            Outcome::Failed => {
                task.failed += 1;
                task.avoid = Some(key);
                if task.failed >= job.max_attempts {
                    self.cancel(id);
                    self.actions.finished.push((id, JobOutcome::Failed));
                    return;
                }
            }
            Outcome::Canceled => {
                self.cancel(id);
                self.actions.finished.push((id, JobOutcome::Canceled));
                return;
            }
            Outcome::NotStarted(Reason::Expired) => task.number += NUMBER_STEP,
            Outcome::Stopped | Outcome::Lost | Outcome::NotStarted(_) => {}
        }
        job.ready.insert(attempt.task);
        ready_of(&mut self.ready, job).update(id, job);
    }

    /// Looks at what runs too long and at what has waited too long, and orders ready tasks.
    pub fn tick(&mut self, now_ms: u64) {
        self.watch_attempts(now_ms);
        self.refuse_hopeless(now_ms);
        self.assign(now_ms);
    }

    /// Stops runs that take far longer than declared, and learns from those that take long.
    fn watch_attempts(&mut self, now_ms: u64) {
        for (_, server) in &mut self.servers {
            server.lag = 0.0;
        }
        for job in self.jobs.values_mut() {
            let steps = job.job.clone();
            for place in job.tasks.iter_mut().filter_map(|task| task.at.as_mut()) {
                let step = &steps.steps[usize::from(place.attempt.task.step)];
                let ran_ms = now_ms.saturating_sub(place.commanded_ms);
                let server = &mut self.servers[place.server.0];
                let estimate_ms = u64::from(step.estimate_ms.max(1));
                server.lag = server.lag.max(ran_ms as f64 / (estimate_ms + LAG_SLACK_MS) as f64);
                let limit_ms = estimate_ms * STALL_FACTOR + STALL_SLACK_MS;
                if ran_ms > limit_ms && !place.stopping {
                    place.stopping = true;
                    server.failed(now_ms);
                    self.actions.stops.push((place.server, place.attempt));
                }
            }
        }
    }

    /// Refuses jobs of which nothing has started and that would be worth nothing, or that would be
    /// late and only wait behind others, as there has been no room for some time.
    fn refuse_hopeless(&mut self, now_ms: u64) {
        let full = |job: &Job| {
            let ready = self.ready.get(&job.service);
            ready.is_some_and(|ready| ready.full_for(now_ms) >= Some(FULL_MS))
        };
        let hopeless = |job: &Job| job.is_worthless(now_ms) || job.is_late(now_ms) && full(job);
        let refused = self.jobs.iter().filter(|(_, job)| !job.started && hopeless(job));
        let refused: Vec<(Id, bool)> = refused.map(|(id, job)| (*id, full(job))).collect();
        for (id, full) in refused {
            log::info!("event=refused job={id} reason=late full={full}");
            self.cancel(id);
            self.actions.finished.push((id, JobOutcome::NotRun));
        }
    }

    /// Orders ready tasks at servers that seem to have room.
    pub fn assign(&mut self, now_ms: u64) {
        for pool in 0..self.ready.len() {
            self.assign_pool(now_ms, pool);
        }
    }

    /// Orders the ready tasks of one service.
    fn assign_pool(&mut self, now_ms: u64, pool: usize) {
        let mut misses = 0;
        for phase in Phase::ALL {
            for id in self.ready[pool].first(now_ms, phase) {
                misses += usize::from(!self.place_all(now_ms, id));
                if misses >= MISSES_MAX {
                    break;
                }
            }
            let blocked = misses >= MISSES_MAX;
            if phase == Phase::OnTime || phase == Phase::Begun && blocked {
                self.note_room(now_ms, pool, misses == 0);
            }
            if blocked {
                return;
            }
        }
    }

    /// Notes whether jobs that can be on time have found room. Without any server that is no sign of
    /// too much load.
    fn note_room(&mut self, now_ms: u64, pool: usize, found: bool) {
        let Some((service, ready)) = self.ready.get_index_mut(pool) else { return };
        let mut servers = self.servers.iter();
        let any = servers.any(|(_, s)| s.is_open() && s.sidecar.server.service == *service);
        ready.note_room(now_ms, found || !any);
    }

    /// Orders a job's ready tasks. Returns whether all found a place.
    fn place_all(&mut self, now_ms: u64, id: Id) -> bool {
        let Some(job) = self.jobs.get(&id) else { return true };
        let ready: Vec<Task> = job.ready.iter().copied().collect();
        let placed = ready.into_iter().all(|task| self.place(now_ms, task));
        if let Some(job) = self.jobs.get(&id) {
            ready_of(&mut self.ready, job).update(id, job);
        }
        placed
    }

    fn place(&mut self, now_ms: u64, task: Task) -> bool {
        let Some(job) = self.jobs.get_mut(&task.job) else { return true };
        let steps = job.job.clone();
        let step = &steps.steps[usize::from(task.step)];
        let Some(position) = steps.position(task) else { return true };
        let avoid = job.tasks[position].avoid;
        let left_ms = job.on_time_ms.saturating_sub(now_ms);
        let wanted = Wanted { service: &job.service, task, step, avoid, left_ms };
        let Some(key) = choose(&self.servers, now_ms, &wanted) else { return false };
        job.ready.remove(&task);
        let progress = &mut job.tasks[position];
        progress.number += 1;
        let attempt = Attempt { task, number: progress.number };
        progress.at = Some(Place { attempt, server: key, commanded_ms: now_ms, stopping: false });
        job.started = true;
        let start = Start { attempt, needs: step.needs, spec: job.spec.clone() };
        self.servers[key.0].commanded(attempt, step.needs);
        let due_ms = job.due_ms;
        self.actions.commands.push(StartCommand {
            server: key,
            start,
            due_ms,
            wait_ms: ROOM_WAIT_MS,
        });
        true
    }
}

/// The ready jobs of a job's service.
fn ready_of<'a>(ready: &'a mut IndexMap<String, Ready>, job: &Job) -> &'a mut Ready {
    if !ready.contains_key(&job.service) {
        ready.insert(job.service.clone(), Ready::default());
    }
    &mut ready[&job.service]
}

/// A task that needs a place.
struct Wanted<'a> {
    service: &'a str,
    task: Task,
    step: &'a Step,
    avoid: Option<Key>,
    /// Time within which its job is on time, in ms.
    left_ms: u64,
}

/// The server at which the task would end first. A server that is too slow for the job to be on
/// time is left out while there is one that is not, even if that is full at present.
fn choose(servers: &Slab<Server>, now_ms: u64, wanted: &Wanted) -> Option<Key> {
    let Wanted { service, task, step, avoid, left_ms } = *wanted;
    let suitable = || servers.iter().filter(|(_, s)| s.suits(now_ms, service, task, step));
    let in_time = |server: &Server| server.expected_ms(step) <= left_ms as f64;
    let any_in_time = suitable().any(|(_, server)| in_time(server));
    let cost = |key: usize, server: &Server| {
        let again = if avoid == Some(Key(key)) { AGAIN_FACTOR } else { 1.0 };
        server.cost(step) * again
    };
    suitable()
        .filter(|(_, server)| server.has_room(&step.needs) && (in_time(server) || !any_in_time))
        .min_by(|(k, a), (l, b)| cost(*k, a).total_cmp(&cost(*l, b)))
        .map(|(key, _)| Key(key))
}
