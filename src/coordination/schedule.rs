//! Which task of the open jobs starts next, and at which backend server.
//!
//! The leader of the control instances holds one [`Scheduler`] for as long as it leads. Outcomes
//! are in the replicated [`Queues`]; where tasks run is known from sidecars' reports only.

mod server;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use indexmap::{IndexMap, IndexSet};
use slab::Slab;

use crate::{
    protocol::{
        queue::{Id, Outcome, Resources, Run, Step, Task},
        wire::queue::{Batch, NotStarted, Reason, Start},
    },
    state::machine::queue::{Completion, Queues, Record},
};
pub use server::Server;

/// Runs of a task that one leader may start before its numbers reach those of the next leader.
const RUNS_PER_TERM: u64 = 1_000;
/// Ready tasks that may find no place before the rest is not tried.
const MISSES_MAX: usize = 32;

/// A backend server known to a scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(usize);

/// Order in which ready tasks start: by the time at which their job should have started.
type Rank = (u64, Task);

/// A job with tasks that wait or run.
#[derive(Debug)]
struct Job {
    service: String,
    /// Latest start at which the job would be on time, ms on the scheduler's clock.
    due_ms: u64,
    /// Whether a task has been started, or is known to have been.
    started: bool,
    /// Steps whose tasks have been made ready.
    released: Vec<bool>,
    /// Starts of each task by this scheduler.
    starts: Vec<u32>,
}

/// A run that was ordered and has not ended.
#[derive(Debug, Clone, Copy)]
struct Placement {
    server: Key,
    needs: Resources,
    estimate_ms: u32,
    commanded_ms: u64,
    stopping: bool,
}

/// Decides about starts. Times are ms on one steady clock.
#[derive(Debug)]
pub struct Scheduler {
    term: u64,
    servers: Slab<Server>,
    jobs: IndexMap<Id, Job>,
    runs: BTreeMap<Run, Placement>,
    /// Tasks to be started, by service.
    ready: IndexMap<String, BTreeSet<Rank>>,
    /// Tasks of an earlier leader that may still run somewhere.
    inherited: IndexSet<Task>,
}

impl Scheduler {
    /// A scheduler for a leader of `term`. Open jobs are taken over; their tasks start only after
    /// [`Scheduler::release_inherited`].
    pub fn new(term: u64, now_ms: u64, queues: &Queues) -> Scheduler {
        let mut scheduler = Scheduler {
            term,
            servers: Slab::new(),
            jobs: IndexMap::new(),
            runs: BTreeMap::new(),
            ready: IndexMap::new(),
            inherited: IndexSet::new(),
        };
        for (id, record) in queues.open() {
            scheduler.add(now_ms, id, record, true);
        }
        scheduler
    }

    /// Takes a job that has just been accepted.
    pub fn accept(&mut self, now_ms: u64, id: Id, queues: &Queues) {
        if let Some(record) = queues.job(id)
            && !record.phase.closed()
            && !self.jobs.contains_key(&id)
        {
            self.add(now_ms, id, record, false);
        }
    }

    fn add(&mut self, now_ms: u64, id: Id, record: &Record, inherited: bool) {
        let slack = record.target_ms.saturating_sub(record.job.chain_ms());
        let job = Job {
            service: record.service.clone(),
            due_ms: now_ms + slack,
            started: inherited && record.tasks.iter().any(|t| t.done || t.failed > 0),
            released: vec![false; record.job.steps.len()],
            starts: vec![0; record.tasks.len()],
        };
        self.jobs.insert(id, job);
        for task in self.release(id, record) {
            if inherited {
                self.inherited.insert(task);
            } else {
                self.make_ready(task);
            }
        }
    }

    /// Tasks of the steps whose turn has come since the last call.
    fn release(&mut self, id: Id, record: &Record) -> Vec<Task> {
        let Some(job) = self.jobs.get_mut(&id) else { return Vec::new() };
        let mut tasks = Vec::new();
        for (number, step) in record.job.steps.iter().enumerate() {
            if job.released[number] || !record.ready(number) {
                continue;
            }
            job.released[number] = true;
            for index in 0..step.tasks {
                let task = Task { job: id, step: number as u16, index };
                if record.progress(task).is_some_and(|p| !p.done) {
                    tasks.push(task);
                }
            }
        }
        tasks
    }

    fn make_ready(&mut self, task: Task) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        self.ready.entry(job.service.clone()).or_default().insert((job.due_ms, task));
    }

    /// Lets tasks start that no backend server of an earlier leader can be running any more.
    pub fn release_inherited(&mut self) {
        for task in std::mem::take(&mut self.inherited) {
            self.make_ready(task);
        }
    }

    /// Tasks of an earlier leader whose whereabouts are not known.
    pub fn inherited(&self) -> usize {
        self.inherited.len()
    }

    /// Adds a backend server without room; [`Scheduler::sync`] opens it.
    pub fn add_server(&mut self, server: Server) -> Key {
        Key(self.servers.insert(server))
    }

    pub fn server(&self, key: Key) -> Option<&Server> {
        self.servers.get(key.0)
    }

    pub fn server_mut(&mut self, key: Key) -> Option<&mut Server> {
        self.servers.get_mut(key.0)
    }

    /// Sets what runs at a backend server, which can start nothing that was ordered before.
    pub fn sync(&mut self, now_ms: u64, key: Key, running: &[Run], queues: &Queues) {
        let here: Vec<Run> =
            self.runs.iter().filter(|(_, p)| p.server == key).map(|(run, _)| *run).collect();
        for run in here.into_iter().filter(|run| !running.contains(run)) {
            self.drop_run(run);
            self.retry(run.task, queues);
        }
        for run in running {
            match self.runs.get_mut(run) {
                Some(placement) if placement.stopping => {
                    // The order to stop it may not have arrived.
                    placement.stopping = false;
                    self.stop(*run);
                }
                Some(_) => {}
                None => self.adopt(now_ms, key, *run, queues),
            }
        }
        if let Some(server) = self.servers.get_mut(key.0) {
            server.open();
        }
    }

    /// Takes over a run that an earlier leader ordered; one that is not wanted is stopped.
    fn adopt(&mut self, now_ms: u64, key: Key, run: Run, queues: &Queues) {
        let record = queues.job(run.task.job);
        let step = record.and_then(|r| r.job.steps.get(usize::from(run.task.step)));
        let wanted = self.inherited.swap_remove(&run.task);
        let placement = Placement {
            server: key,
            needs: step.map_or_else(Resources::default, |step| step.needs),
            estimate_ms: step.map_or(0, |step| step.estimate_ms),
            commanded_ms: now_ms,
            stopping: false,
        };
        if let Some(server) = self.servers.get_mut(key.0) {
            server.take(&run, &placement.needs);
        }
        self.runs.insert(run, placement);
        if let Some(job) = self.jobs.get_mut(&run.task.job) {
            job.started = true;
        }
        if !wanted {
            log::info!("event=run_not_wanted run={run}");
            self.stop(run);
        }
    }

    fn stop(&mut self, run: Run) {
        let Some(placement) = self.runs.get_mut(&run) else { return };
        if std::mem::replace(&mut placement.stopping, true) {
            return;
        }
        if let Some(server) = self.servers.get_mut(placement.server.0) {
            server.command_stop(run);
        }
    }

    /// Forgets a run and frees its resources.
    fn drop_run(&mut self, run: Run) -> Option<Placement> {
        let placement = self.runs.remove(&run)?;
        if let Some(server) = self.servers.get_mut(placement.server.0) {
            server.free(&run, &placement.needs);
        }
        Some(placement)
    }

    /// Makes a task ready again, unless it has ended or its job is closed.
    fn retry(&mut self, task: Task, queues: &Queues) {
        let Some(record) = queues.job(task.job) else { return };
        let open = !record.phase.closed() && record.progress(task).is_some_and(|p| !p.done);
        if open && !self.runs_of(task).any(|_| true) {
            self.make_ready(task);
        }
    }

    fn runs_of(&self, task: Task) -> impl Iterator<Item = Run> {
        let first = Run { task, number: 0 };
        let last = Run { task, number: u32::MAX };
        self.runs.range(first..=last).map(|(run, _)| *run)
    }

    /// A backend server and all that ran there is gone.
    pub fn lose(&mut self, key: Key, queues: &Queues) {
        let lost: Vec<Run> =
            self.runs.iter().filter(|(_, p)| p.server == key).map(|(run, _)| *run).collect();
        for run in lost {
            self.runs.remove(&run);
            self.retry(run.task, queues);
        }
        self.servers.try_remove(key.0);
    }

    /// A run has ended. Returns what is to be stored before the end may be acknowledged.
    pub fn ended(
        &mut self,
        now_ms: u64,
        key: Key,
        run: Run,
        outcome: Outcome,
    ) -> Option<Completion> {
        if self.runs.get(&run).is_some_and(|p| p.server == key) {
            let placement = self.drop_run(run)?;
            if let Some(server) = self.servers.get_mut(key.0) {
                let took_ms = now_ms.saturating_sub(placement.commanded_ms);
                server.learn(now_ms, outcome, took_ms, placement.estimate_ms);
            }
        }
        self.inherited.swap_remove(&run.task);
        self.jobs.contains_key(&run.task.job).then_some(Completion { run, outcome })
    }

    /// The end of a run is stored.
    pub fn settle(&mut self, completion: &Completion, queues: &Queues) {
        let id = completion.run.task.job;
        let Some(record) = queues.job(id) else { return };
        if record.phase.closed() {
            return self.close(id, record);
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.started = true;
        }
        match completion.outcome {
            Outcome::Done => {
                let others: Vec<Run> = self.runs_of(completion.run.task).collect();
                others.into_iter().for_each(|run| self.stop(run));
                self.unready(completion.run.task);
                for task in self.release(id, record) {
                    self.make_ready(task);
                }
            }
            Outcome::Failed | Outcome::Stopped => self.retry(completion.run.task, queues),
        }
    }

    fn unready(&mut self, task: Task) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        if let Some(ready) = self.ready.get_mut(&job.service) {
            ready.remove(&(job.due_ms, task));
        }
    }

    /// Stops what still runs of a job that is closed and forgets what waits.
    pub fn close(&mut self, id: Id, record: &Record) {
        for (number, step) in record.job.steps.iter().enumerate() {
            for index in 0..step.tasks {
                let task = Task { job: id, step: number as u16, index };
                self.unready(task);
                self.inherited.swap_remove(&task);
                let runs: Vec<Run> = self.runs_of(task).collect();
                runs.into_iter().for_each(|run| self.stop(run));
            }
        }
        self.jobs.swap_remove(&id);
    }

    /// An ordered run did not start and cannot start any more.
    pub fn not_started(&mut self, now_ms: u64, key: Key, not: &NotStarted, queues: &Queues) {
        if self.runs.get(&not.run).is_none_or(|p| p.server != key) {
            return;
        }
        self.drop_run(not.run);
        if let Some(server) = self.servers.get_mut(key.0) {
            server.refused(now_ms, not.reason);
        }
        self.retry(not.run.task, queues);
    }

    /// Whether a task of a job has been started.
    pub fn started(&self, id: Id) -> bool {
        self.jobs.get(&id).is_none_or(|job| job.started)
    }

    /// Orders starts of ready tasks at servers with room.
    pub fn assign(&mut self, now_ms: u64, queues: &Queues) {
        let services: Vec<String> = self.ready.keys().cloned().collect();
        for service in services {
            let ranks: Vec<Rank> = self.ready[&service].iter().copied().collect();
            let mut misses = 0;
            for rank in ranks {
                if !self.place(now_ms, &service, rank, queues) {
                    misses += 1;
                }
                if misses > MISSES_MAX {
                    break;
                }
            }
        }
    }

    fn place(&mut self, now_ms: u64, service: &str, rank: Rank, queues: &Queues) -> bool {
        let (_, task) = rank;
        let record = queues.job(task.job).filter(|record| !record.phase.closed());
        let Some(record) = record else {
            self.ready[service].remove(&rank);
            return true;
        };
        let step = &record.job.steps[usize::from(task.step)];
        let Some(key) = self.choose(now_ms, service, task, step) else { return false };
        self.ready[service].remove(&rank);
        let run = Run { task, number: self.number(task, record) };
        let placement = Placement {
            server: key,
            needs: step.needs,
            estimate_ms: step.estimate_ms,
            commanded_ms: now_ms,
            stopping: false,
        };
        self.runs.insert(run, placement);
        let server = &mut self.servers[key.0];
        server.take(&run, &step.needs);
        server.command_start(Start {
            run,
            needs: step.needs,
            spec: Arc::from(record.job.spec.as_str()),
        });
        true
    }

    /// The next number of a task's runs: above those of earlier leaders, whose terms are lower.
    fn number(&mut self, task: Task, record: &Record) -> u32 {
        let position = record.job.position(task).unwrap_or(0);
        let base = (self.term.saturating_sub(record.term)) * RUNS_PER_TERM;
        let Some(job) = self.jobs.get_mut(&task.job) else { return base as u32 + 1 };
        job.started = true;
        job.starts[position] += 1;
        base as u32 + job.starts[position]
    }

    /// The server at which the task would end first.
    fn choose(&self, now_ms: u64, service: &str, task: Task, step: &Step) -> Option<Key> {
        let open = |server: &Server| {
            server.takes(now_ms, service, step)
                && step
                    .max_per_server
                    .is_none_or(|most| server.count(task.job, task.step) < usize::from(most))
        };
        self.servers
            .iter()
            .filter(|(_, server)| open(server))
            .min_by(|(_, a), (_, b)| a.cost(step).total_cmp(&b.cost(step)))
            .map(|(key, _)| Key(key))
    }

    /// Orders for a server since the last call.
    pub fn commands(&mut self, key: Key) -> Option<Batch> {
        self.servers.get_mut(key.0)?.commands()
    }

    /// Servers that have orders to be sent.
    pub fn commanded(&self) -> Vec<Key> {
        self.servers.iter().filter(|(_, s)| s.has_commands()).map(|(key, _)| Key(key)).collect()
    }

    /// Runs that were ordered and have not ended.
    pub fn running(&self) -> usize {
        self.runs.len()
    }
}

/// How long a server is left alone after it refused a start.
fn pause_ms(reason: Reason) -> u64 {
    match reason {
        Reason::NoCapacity => 100,
        Reason::Unavailable | Reason::NoAnswer => 500,
        Reason::Expired => 0,
    }
}
