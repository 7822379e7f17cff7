//! Three entries, each with its dispatcher, and the fake backend servers.

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
    fake::{Answer, Clock, Held, Mode, SLOTS, Server},
    load::{Fault, Job, Plan},
};

const ENTRIES: usize = 3;
/// One way within a data centre and between them.
const NEAR_US: Micros = 250;
const FAR_US: Micros = 1_500;
/// Time until the server list shows a dead server.
const LEASE_US: Micros = 3_000_000;

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Cancel(usize),
    AtServer { server: usize, to: id::Incarnation, held: Held },
    CancelAt { server: usize, entry: usize, execution: id::Execution },
    End(usize),
    AtEntry(Answer),
    Wake(usize),
    Fault(usize),
    Servers,
}

#[derive(Debug)]
struct Entry {
    dispatcher: Dispatcher,
    random: Pcg64,
    /// Jobs that run here and their open tasks.
    open: BTreeMap<id::Execution, usize>,
    wake: Micros,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum End {
    Completed(Micros),
    Refused,
    /// Failed or expired.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

/// What came out of a plan.
#[derive(Debug)]
pub struct Outcome {
    pub ends: Vec<Option<End>>,
    /// Messages between entries and servers.
    pub messages: u64,
}

#[derive(Debug)]
struct World<'a> {
    plan: &'a Plan,
    clock: Clock<Event>,
    servers: Vec<Server>,
    /// When the next event for ends is due, per server.
    ends_at: Vec<Micros>,
    by_incarnation: HashMap<id::Incarnation, usize>,
    listed: Vec<Option<id::Incarnation>>,
    entries: Vec<Entry>,
    outcome: Outcome,
}

/// Plays a plan under a policy until everything has ended.
pub fn play(plan: &Plan, policy: Policy) -> Outcome {
    let mut world = World::new(plan, policy);
    while let Some(event) = world.clock.next() {
        world.handle(event);
    }
    world.outcome
}

impl<'a> World<'a> {
    fn new(plan: &'a Plan, policy: Policy) -> Self {
        let server = |(i, speed): (usize, &f64)| Server::new(i as u64, *speed);
        let servers: Vec<Server> = plan.speeds.iter().enumerate().map(server).collect();
        let entry = |i: usize| Entry {
            dispatcher: Dispatcher::new(Settings {
                policy,
                data_centre: dc(i),
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
            ends_at: vec![Micros::MAX; servers.len()],
            servers,
            entries: (0..ENTRIES).map(entry).collect(),
            outcome: Outcome { ends: vec![None; plan.jobs.len()], messages: 0 },
        };
        world.list_servers();
        for (i, job) in plan.jobs.iter().enumerate() {
            world.clock.at(job.at, Event::Arrive(i));
            if let Some(at) = job.cancel {
                world.clock.at(at, Event::Cancel(i));
            }
        }
        for (i, fault) in plan.faults.iter().enumerate() {
            world.clock.at(fault.at, Event::Fault(i));
        }
        world
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now;
        match event {
            Event::Arrive(i) => self.arrive(now, i),
            Event::Cancel(i) => {
                let (entry, execution) = (i % ENTRIES, execution(i));
                if self.entries[entry].open.contains_key(&execution) {
                    self.close(now, entry, execution, End::Cancelled);
                    self.poll(now, entry);
                }
            }
            Event::AtServer { server, to, held } => {
                let answer = self.servers[server].take(now, held, to);
                self.send(now, server, answer);
                self.plan_end(server);
            }
            Event::CancelAt { server, entry, execution } => {
                let answers = self.servers[server].cancel(now, entry, execution);
                self.send(now, server, answers);
                self.plan_end(server);
            }
            Event::End(server) if self.ends_at[server] != now => {}
            Event::End(server) => {
                self.ends_at[server] = Micros::MAX;
                let answers = self.servers[server].end(now);
                self.send(now, server, answers);
                self.plan_end(server);
            }
            Event::AtEntry(answer) => self.answered(now, answer),
            Event::Wake(entry) => {
                if self.entries[entry].wake == now {
                    self.entries[entry].wake = Micros::MAX;
                    self.poll(now, entry);
                }
            }
            Event::Fault(i) => self.fault(now, self.plan.faults[i]),
            Event::Servers => self.list_servers(),
        }
    }

    fn arrive(&mut self, now: Micros, i: usize) {
        let entry = i % ENTRIES;
        let job = &self.plan.jobs[i];
        match self.entries[entry].dispatcher.submit(now, execution(i), spec(job)) {
            Ok(()) => {
                self.entries[entry].open.insert(execution(i), job.tasks.len());
            }
            Err(_) => self.outcome.ends[i] = Some(End::Refused),
        }
        self.poll(now, entry);
    }

    fn poll(&mut self, now: Micros, at: usize) {
        loop {
            let entry = &mut self.entries[at];
            match entry.dispatcher.poll(now, &mut entry.random) {
                None => break,
                Some(Action::Expire { execution, .. }) => {
                    self.close(now, at, execution, End::Failed)
                }
                Some(Action::Start { attempt, incarnation }) => {
                    let server = self.by_incarnation[&incarnation];
                    let task = &self.plan.jobs[attempt.execution.seq as usize].tasks;
                    let work_us = task[usize::from(attempt.task)].work_us;
                    let held = Held { entry: at, attempt, work_us };
                    self.outcome.messages += 1;
                    let event = Event::AtServer { server, to: incarnation, held };
                    self.clock.at(now + latency(at, server), event);
                }
            }
        }
        let entry = &mut self.entries[at];
        if let Some(wake) = entry.dispatcher.wake()
            && wake < entry.wake
            && !entry.open.is_empty()
        {
            entry.wake = wake.max(now + 1);
            self.clock.at(entry.wake, Event::Wake(at));
        }
    }

    fn answered(&mut self, now: Micros, answer: Answer) {
        let (at, attempt) = (answer.held.entry, answer.held.attempt);
        let entry = &mut self.entries[at];
        match entry.dispatcher.ended(now, attempt, answer.load, answer.ended) {
            Next::Answered => {
                if let Some(left) = entry.open.get_mut(&attempt.execution) {
                    *left -= 1;
                    if *left == 0 {
                        self.close(now, at, attempt.execution, End::Completed(now));
                    }
                }
            }
            Next::ExecutionFailed { .. } => self.close(now, at, attempt.execution, End::Failed),
            Next::Pending | Next::Ignored => {}
        }
        self.poll(now, at);
    }

    fn close(&mut self, now: Micros, at: usize, execution: id::Execution, end: End) {
        let entry = &mut self.entries[at];
        entry.open.remove(&execution);
        self.outcome.ends[execution.seq as usize] = Some(end);
        for incarnation in entry.dispatcher.remove(now, execution).incarnations {
            let server = self.by_incarnation[&incarnation];
            self.outcome.messages += 1;
            let event = Event::CancelAt { server, entry: at, execution };
            self.clock.at(now + latency(at, server), event);
        }
    }

    fn send(&mut self, now: Micros, server: usize, answers: impl IntoIterator<Item = Answer>) {
        for answer in answers {
            // A broken connection is no message.
            self.outcome.messages += u64::from(answer.ended != Ended::Lost);
            self.clock.at(now + latency(answer.held.entry, server), Event::AtEntry(answer));
        }
    }

    fn plan_end(&mut self, server: usize) {
        if let Some(end) = self.servers[server].next_end()
            && end < self.ends_at[server]
        {
            self.ends_at[server] = end.max(self.clock.now);
            self.clock.at(end, Event::End(server));
        }
    }

    fn fault(&mut self, now: Micros, fault: Fault) {
        let server = fault.server;
        if self.servers[server].mode == Mode::Dead && fault.mode == Mode::Good {
            let incarnation = self.by_incarnation.len() as u64;
            self.servers[server] = Server::new(incarnation, self.plan.speeds[server]);
            self.by_incarnation.insert(id::Incarnation(incarnation), server);
            self.clock.at(now + 1, Event::Servers);
        } else {
            let answers = self.servers[server].set_mode(now, fault.mode);
            self.send(now, server, answers);
            self.plan_end(server);
            self.clock.at(now + LEASE_US, Event::Servers);
        }
    }

    /// Gives all entries the current server list.
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
        data_centre: dc(i),
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

fn dc(at: usize) -> String {
    format!("dc{}", at % ENTRIES)
}

fn latency(entry: usize, server: usize) -> Micros {
    if entry == server % ENTRIES { NEAR_US } else { FAR_US }
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

/// Time on an idle system: bounded by the longest task on the fastest server and by the work of
/// all tasks on all servers.
pub fn ideal_us(plan: &Plan, job: &Job) -> f64 {
    let fastest = plan.speeds.iter().copied().fold(0.0, f64::max);
    let longest = job.tasks.iter().map(|t| t.work_us).fold(0.0, f64::max);
    let work: f64 = job.tasks.iter().map(|t| t.work_us).sum();
    (longest / fastest).max(work / plan.capacity()) + 2.0 * NEAR_US as f64
}
