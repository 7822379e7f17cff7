//! Simulates three entries, each with its dispatcher, and the backend servers.

use std::collections::{BTreeMap, HashMap};

use briargauge::{
    coordination::dispatch::{
        Action, Dispatcher, Ended, Micros, Next, Policy, Settings, Spec, TaskSpec,
    },
    protocol::{id, job, wire::control},
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::{
    fake::{Clock, Mode, Reply, SLOTS, Server, StartCall},
    load::{Job, ModeChange, Plan},
};

const ENTRIES: usize = 3;
/// One-way latency between an entry and a server of the same data centre.
const SAME_DC_LATENCY_US: Micros = 250;
/// One-way latency between an entry and a server of another data centre.
const CROSS_DC_LATENCY_US: Micros = 1_500;
/// Time until a dead server is removed from the server list.
const LEASE_US: Micros = 3_000_000;

#[derive(Debug)]
enum Event {
    JobArrives {
        job: usize,
    },
    JobCancelled {
        job: usize,
    },
    StartReceived {
        server: usize,
        to: id::Incarnation,
        call: StartCall,
    },
    CancelReceived {
        server: usize,
        entry: usize,
        execution: id::Execution,
    },
    AttemptEnds {
        server: usize,
    },
    ReplyReceived(Reply),
    Wake {
        entry: usize,
    },
    /// A change of the plan, by its index.
    ModeChange(usize),
    ListServers,
}

#[derive(Debug)]
struct Entry {
    dispatcher: Dispatcher,
    random: Pcg64,
    /// Open jobs of this entry, each with its number of unanswered tasks.
    open: BTreeMap<id::Execution, usize>,
    /// Time of the next `Wake` event. An event of another time is outdated.
    wake: Micros,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum JobOutcome {
    Completed(Micros),
    Refused,
    /// Failed or expired.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

/// Outcomes of the jobs of a plan; `None` before a job has ended.
#[derive(Debug)]
pub struct SimulationResult {
    pub outcomes: Vec<Option<JobOutcome>>,
    /// Number of messages between entries and servers.
    pub messages: u64,
}

#[derive(Debug)]
struct World<'a> {
    plan: &'a Plan,
    clock: Clock<Event>,
    servers: Vec<Server>,
    /// Time of the next `AttemptEnds` event of each server. An event of another time is outdated.
    completion_at: Vec<Micros>,
    by_incarnation: HashMap<id::Incarnation, usize>,
    listed: Vec<Option<id::Incarnation>>,
    entries: Vec<Entry>,
    result: SimulationResult,
}

/// Simulates a plan under a policy until no event is left.
pub fn simulate(plan: &Plan, policy: Policy) -> SimulationResult {
    let mut world = World::new(plan, policy);
    while let Some(event) = world.clock.next() {
        world.handle(event);
    }
    world.result
}

impl<'a> World<'a> {
    fn new(plan: &'a Plan, policy: Policy) -> Self {
        let server = |(i, speed): (usize, &f64)| Server::new(i as u64, *speed);
        let servers: Vec<Server> = plan.speeds.iter().enumerate().map(server).collect();
        let entry = |i: usize| Entry {
            dispatcher: Dispatcher::new(Settings {
                policy,
                data_centre: data_centre(i),
                ..Settings::default()
            }),
            random: Pcg64::seed_from_u64(i as u64),
            open: BTreeMap::new(),
            wake: Micros::MAX,
        };
        let mut world = Self {
            plan,
            clock: Clock::new(),
            by_incarnation: servers.iter().enumerate().map(|(i, s)| (s.incarnation, i)).collect(),
            listed: vec![None; servers.len()],
            completion_at: vec![Micros::MAX; servers.len()],
            servers,
            entries: (0..ENTRIES).map(entry).collect(),
            result: SimulationResult { outcomes: vec![None; plan.jobs.len()], messages: 0 },
        };
        world.list_servers();
        for (job_index, job) in plan.jobs.iter().enumerate() {
            world.clock.schedule(job.at, Event::JobArrives { job: job_index });
            if let Some(at) = job.cancel_at {
                world.clock.schedule(at, Event::JobCancelled { job: job_index });
            }
        }
        for (i, change) in plan.mode_changes.iter().enumerate() {
            world.clock.schedule(change.at, Event::ModeChange(i));
        }
        world
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now;
        match event {
            Event::JobArrives { job } => self.submit_job(now, job),
            Event::JobCancelled { job } => {
                let (entry, execution) = (job % ENTRIES, execution(job));
                if self.entries[entry].open.contains_key(&execution) {
                    self.close(now, entry, execution, JobOutcome::Cancelled);
                    self.poll(now, entry);
                }
            }
            Event::StartReceived { server, to, call } => {
                let reply = self.servers[server].receive(now, call, to);
                self.send_replies(now, server, reply);
                self.schedule_completion(server);
            }
            Event::CancelReceived { server, entry, execution } => {
                let replies = self.servers[server].cancel(now, entry, execution);
                self.send_replies(now, server, replies);
                self.schedule_completion(server);
            }
            Event::AttemptEnds { server } if self.completion_at[server] != now => {}
            Event::AttemptEnds { server } => {
                self.completion_at[server] = Micros::MAX;
                let replies = self.servers[server].complete_due(now);
                self.send_replies(now, server, replies);
                self.schedule_completion(server);
            }
            Event::ReplyReceived(reply) => self.handle_reply(now, reply),
            Event::Wake { entry } => {
                if self.entries[entry].wake == now {
                    self.entries[entry].wake = Micros::MAX;
                    self.poll(now, entry);
                }
            }
            Event::ModeChange(i) => self.change_mode(now, self.plan.mode_changes[i]),
            Event::ListServers => self.list_servers(),
        }
    }

    fn submit_job(&mut self, now: Micros, job_index: usize) {
        let entry = job_index % ENTRIES;
        let job = &self.plan.jobs[job_index];
        match self.entries[entry].dispatcher.submit(now, execution(job_index), spec(job)) {
            Ok(()) => {
                self.entries[entry].open.insert(execution(job_index), job.tasks.len());
            }
            Err(_) => self.result.outcomes[job_index] = Some(JobOutcome::Refused),
        }
        self.poll(now, entry);
    }

    /// Carries out the actions of an entry's dispatcher and schedules its next wake-up.
    fn poll(&mut self, now: Micros, entry_index: usize) {
        loop {
            let entry = &mut self.entries[entry_index];
            match entry.dispatcher.poll(now, &mut entry.random) {
                None => break,
                Some(Action::Expire { execution, .. }) => {
                    self.close(now, entry_index, execution, JobOutcome::Failed)
                }
                Some(Action::Start { attempt, incarnation }) => {
                    let server = self.by_incarnation[&incarnation];
                    let tasks = &self.plan.jobs[attempt.execution.seq as usize].tasks;
                    let work_us = tasks[usize::from(attempt.task)].work_us;
                    let call = StartCall { entry: entry_index, attempt, work_us };
                    self.result.messages += 1;
                    let event = Event::StartReceived { server, to: incarnation, call };
                    self.clock.schedule(now + latency(entry_index, server), event);
                }
            }
        }
        let entry = &mut self.entries[entry_index];
        if let Some(wake) = entry.dispatcher.wake()
            && wake < entry.wake
            && !entry.open.is_empty()
        {
            entry.wake = wake.max(now + 1);
            self.clock.schedule(entry.wake, Event::Wake { entry: entry_index });
        }
    }

    fn handle_reply(&mut self, now: Micros, reply: Reply) {
        let (entry_index, attempt) = (reply.call.entry, reply.call.attempt);
        let entry = &mut self.entries[entry_index];
        match entry.dispatcher.ended(now, attempt, reply.load, reply.ended) {
            Next::Answered => {
                if let Some(left) = entry.open.get_mut(&attempt.execution) {
                    *left -= 1;
                    if *left == 0 {
                        self.close(now, entry_index, attempt.execution, JobOutcome::Completed(now));
                    }
                }
            }
            Next::ExecutionFailed { .. } => {
                self.close(now, entry_index, attempt.execution, JobOutcome::Failed)
            }
            Next::Pending | Next::Ignored => {}
        }
        self.poll(now, entry_index);
    }

    /// Records the outcome of a job and cancels its attempts at the servers.
    fn close(
        &mut self,
        now: Micros,
        entry_index: usize,
        execution: id::Execution,
        outcome: JobOutcome,
    ) {
        let entry = &mut self.entries[entry_index];
        entry.open.remove(&execution);
        self.result.outcomes[execution.seq as usize] = Some(outcome);
        for incarnation in entry.dispatcher.remove(now, execution).incarnations {
            let server = self.by_incarnation[&incarnation];
            self.result.messages += 1;
            let event = Event::CancelReceived { server, entry: entry_index, execution };
            self.clock.schedule(now + latency(entry_index, server), event);
        }
    }

    fn send_replies(
        &mut self,
        now: Micros,
        server: usize,
        replies: impl IntoIterator<Item = Reply>,
    ) {
        for reply in replies {
            // An entry detects a broken connection itself; no message is sent.
            self.result.messages += u64::from(reply.ended != Ended::Lost);
            self.clock
                .schedule(now + latency(reply.call.entry, server), Event::ReplyReceived(reply));
        }
    }

    fn schedule_completion(&mut self, server: usize) {
        if let Some(end) = self.servers[server].next_completion()
            && end < self.completion_at[server]
        {
            self.completion_at[server] = end.max(self.clock.now);
            self.clock.schedule(end, Event::AttemptEnds { server });
        }
    }

    /// Changes the mode of a server. A dead server that becomes healthy restarts with a new
    /// incarnation.
    fn change_mode(&mut self, now: Micros, change: ModeChange) {
        let server = change.server;
        if self.servers[server].mode == Mode::Dead && change.mode == Mode::Healthy {
            let incarnation = self.by_incarnation.len() as u64;
            self.servers[server] = Server::new(incarnation, self.plan.speeds[server]);
            self.by_incarnation.insert(id::Incarnation(incarnation), server);
            self.clock.schedule(now + 1, Event::ListServers);
        } else {
            let replies = self.servers[server].set_mode(now, change.mode);
            self.send_replies(now, server, replies);
            self.schedule_completion(server);
            self.clock.schedule(now + LEASE_US, Event::ListServers);
        }
    }

    /// Sends the server list to all entries if it has changed.
    fn list_servers(&mut self) {
        let now = self.clock.now;
        let alive = |s: &Server| (s.mode != Mode::Dead).then_some(s.incarnation);
        let listed: Vec<_> = self.servers.iter().map(alive).collect();
        if listed == self.listed {
            return;
        }
        self.listed = listed;
        let server = |(i, incarnation): (usize, &Option<id::Incarnation>)| {
            incarnation.map(|incarnation| announced_server(i, incarnation))
        };
        let changed = self.listed.iter().enumerate().filter_map(server).collect();
        let revision = control::Revision { term: 1, number: now };
        let servers = control::Servers { revision, full: true, changed, removed: Vec::new() };
        for entry in 0..ENTRIES {
            self.entries[entry].dispatcher.set_servers(now, &servers);
            self.poll(now, entry);
        }
    }
}

pub fn announced_server(i: usize, incarnation: id::Incarnation) -> control::Server {
    control::Server {
        incarnation,
        addr: ([127, 0, 0, 1], 1).into(),
        data_centre: data_centre(i),
        rack: format!("rack{}", i / 3),
        slots: SLOTS,
        connections: 64,
        kinds: Vec::new(),
        size: job::Needs::default(),
        state: control::ServerState::Serving,
    }
}

fn execution(job: usize) -> id::Execution {
    id::Execution { epoch: id::Epoch(1), seq: job as u64 }
}

fn data_centre(n: usize) -> String {
    format!("dc{}", n % ENTRIES)
}

fn latency(entry: usize, server: usize) -> Micros {
    if entry == server % ENTRIES { SAME_DC_LATENCY_US } else { CROSS_DC_LATENCY_US }
}

fn spec(job: &Job) -> Spec {
    let task = |t: &crate::load::Task| TaskSpec {
        kind: t.kind.to_owned(),
        declared_ms: t.declared_ms,
        needs: job::Needs::default(),
    };
    Spec {
        account: id::Account(format!("team{}", job.account)),
        tasks: job.tasks.iter().map(task).collect(),
        deadline: job.at + crate::load::DEADLINE_US,
        restartable: job.restartable,
    }
}

/// Lower bound of the response time on an idle system: the run time of the longest task on the
/// fastest server or, if longer, the time in which all servers together do the work of all tasks,
/// plus one round trip.
pub fn ideal_us(plan: &Plan, job: &Job) -> f64 {
    let fastest = plan.speeds.iter().copied().fold(0.0, f64::max);
    let longest = job.tasks.iter().map(|t| t.work_us).fold(0.0, f64::max);
    let work: f64 = job.tasks.iter().map(|t| t.work_us).sum();
    (longest / fastest).max(work / plan.capacity()) + 2.0 * SAME_DC_LATENCY_US as f64
}
