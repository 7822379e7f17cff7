//! Drawn histories of the leader's scheduler: servers are lost and come back, leaders change, ends
//! are reported late and repeatedly, commits are slow and acknowledgements get lost.

mod durable;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use briargauge::{
    coordination::schedule::{Key, Scheduler, Server},
    protocol::{
        queue::{Attempt, Id, Outcome, Phase, Resources, Task},
        wire::queue::{self, Batch, ServerId},
    },
    state::machine::{
        Command, Op, State,
        queue::{Change, Completion, Submission},
    },
};
use durable::HOST;
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 25;
const HISTORIES: u64 = 12_000;
const HISTORY_LENGTH: usize = 120;
const JOBS: u64 = 2;
const TASKS: u16 = 2;
const SERVERS: usize = 2;
const MAX_ATTEMPTS: u32 = 3;
/// Time between two events, longer than any pause of a server.
const EVENT_MS: u64 = 10_000;

/// An end in a server's list, which stays there until it is acknowledged.
#[derive(Debug, Clone, Copy)]
struct End {
    attempt: Attempt,
    outcome: Outcome,
    /// Whether the present leader has received it.
    reported: bool,
}

/// A backend server with its sidecar.
#[derive(Debug, Default)]
struct Node {
    /// Key in the scheduler of the leader with which it is registered.
    key: Option<Key>,
    commands: VecDeque<Batch>,
    running: BTreeSet<Attempt>,
    ends: Vec<End>,
}

/// A leader, its log and the servers.
struct World {
    now_ms: u64,
    index: u64,
    term: u64,
    state: State,
    scheduler: Scheduler,
    nodes: Vec<Node>,
    /// Ends that the leader has proposed and that are not committed, with their servers.
    proposed: VecDeque<(usize, Completion)>,
    /// Tasks that have ended as done on a server that has not been lost since.
    done: BTreeSet<Task>,
    failures: BTreeMap<Task, u32>,
}

impl World {
    fn new() -> World {
        let mut world = World {
            now_ms: 0,
            index: 0,
            term: 1,
            state: State::default(),
            scheduler: Scheduler::new(1, 0, State::default().queues()),
            nodes: (0..SERVERS).map(|_| Node::default()).collect(),
            proposed: VecDeque::new(),
            done: BTreeSet::new(),
            failures: BTreeMap::new(),
        };
        world.apply(Change::Configure(Arc::new(durable::config(MAX_ATTEMPTS))));
        for id in 0..JOBS {
            let path = format!("/q/{id}");
            let submission = Submission {
                id: Id(id),
                host: HOST.to_owned(),
                path,
                job: durable::job(TASKS),
                term: 1,
                keep_ms: 1 << 40,
            };
            world.apply(Change::Submit(submission));
            world.scheduler.accept(0, Id(id), world.state.queues());
        }
        (0..SERVERS).for_each(|node| world.register(node));
        world
    }

    fn apply(&mut self, change: Change) {
        self.index += 1;
        let command = Command { now_ms: self.now_ms, op: Op::Queue(vec![change]) };
        self.state.apply(self.index, command);
    }

    /// Carries out one event.
    fn step(&mut self, event: u8, node: usize) -> Result<(), String> {
        self.now_ms += EVENT_MS;
        match event % 16 {
            0 | 1 => self.assign(),
            2..=5 => return self.deliver(node),
            6 | 7 => self.end(node, Outcome::Done),
            8 => self.end(node, Outcome::Failed),
            9 | 10 => self.report(node),
            11 => self.commit(true),
            12 => self.commit(false),
            13 => self.lose(node),
            14 => self.register(node),
            _ => self.change_leader(),
        }
        Ok(())
    }

    fn assign(&mut self) {
        self.scheduler.assign(self.now_ms, self.state.queues());
        for node in &mut self.nodes {
            if let Some(batch) = node.key.and_then(|key| self.scheduler.commands(key)) {
                node.commands.push_back(batch);
            }
        }
    }

    /// A server carries out its oldest commands.
    fn deliver(&mut self, node: usize) -> Result<(), String> {
        let Some(batch) = self.nodes[node].commands.pop_front() else { return Ok(()) };
        for start in batch.starts {
            let task = start.attempt.task;
            let running = self.nodes.iter().flat_map(|node| &node.running);
            let other = running.into_iter().find(|attempt| attempt.task == task);
            if let Some(other) = other {
                return Err(format!("{} starts beside {other}", start.attempt));
            }
            if self.done.contains(&task) {
                return Err(format!("{} starts after the task has ended as done", start.attempt));
            }
            self.nodes[node].running.insert(start.attempt);
        }
        for attempt in batch.stops {
            self.end_attempt(node, attempt, Outcome::Stopped);
        }
        Ok(())
    }

    /// The first running attempt of a server ends.
    fn end(&mut self, node: usize, outcome: Outcome) {
        if let Some(attempt) = self.nodes[node].running.first().copied() {
            self.end_attempt(node, attempt, outcome);
        }
    }

    fn end_attempt(&mut self, node: usize, attempt: Attempt, outcome: Outcome) {
        if !self.nodes[node].running.remove(&attempt) {
            return;
        }
        match outcome {
            Outcome::Done => drop(self.done.insert(attempt.task)),
            Outcome::Failed => *self.failures.entry(attempt.task).or_default() += 1,
            Outcome::Stopped => {}
        }
        self.nodes[node].ends.push(End { attempt, outcome, reported: false });
    }

    /// A registered server reports its ends.
    fn report(&mut self, node: usize) {
        let Some(key) = self.nodes[node].key else { return };
        for end in self.nodes[node].ends.iter_mut().filter(|end| !end.reported) {
            end.reported = true;
            let ended = self.scheduler.ended(self.now_ms, key, end.attempt, end.outcome);
            self.proposed.extend(ended.map(|completion| (node, completion)));
        }
    }

    /// The oldest proposal is committed. The acknowledgement reaches the server if `acknowledged`.
    fn commit(&mut self, acknowledged: bool) {
        let Some((node, completion)) = self.proposed.pop_front() else { return };
        self.apply(Change::Complete(vec![completion]));
        self.scheduler.outcome_stored(&completion, self.state.queues());
        if acknowledged {
            self.nodes[node].ends.retain(|end| end.attempt != completion.attempt);
        }
    }

    /// The lease of a server expires, which stops its attempts. Ends as done before do not count
    /// any more: nobody can know of them in time.
    fn lose(&mut self, node: usize) {
        let running: Vec<Attempt> = self.nodes[node].running.iter().copied().collect();
        for attempt in running {
            self.end_attempt(node, attempt, Outcome::Stopped);
        }
        let lost = &mut self.nodes[node];
        lost.commands.clear();
        lost.ends.iter_mut().for_each(|end| end.reported = false);
        for end in lost.ends.iter().filter(|end| end.outcome == Outcome::Done) {
            self.done.remove(&end.attempt.task);
        }
        if let Some(key) = lost.key.take() {
            self.scheduler.remove_server(self.now_ms, key, self.state.queues());
        }
    }

    /// Another leader takes over; what was not committed is lost. The servers carry out the earlier
    /// leader's commands until they register.
    fn change_leader(&mut self) {
        self.term += 1;
        self.proposed.clear();
        self.scheduler = Scheduler::new(self.term, self.now_ms, self.state.queues());
        for node in &mut self.nodes {
            node.key = None;
            node.ends.iter_mut().for_each(|end| end.reported = false);
        }
    }

    /// A server registers with the leader and reports what runs and has ended there.
    fn register(&mut self, node: usize) {
        if self.nodes[node].key.is_some() {
            return;
        }
        let key = self.scheduler.add_server(server(node));
        self.nodes[node].key = Some(key);
        self.nodes[node].commands.clear();
        self.report(node);
        let running: Vec<Attempt> = self.nodes[node].running.iter().copied().collect();
        self.scheduler.sync(self.now_ms, key, &running, self.state.queues());
        if self.nodes.iter().all(|node| node.key.is_some()) {
            self.scheduler.release_inherited();
        }
    }

    /// Ends all faults; every attempt ends as done from now on.
    fn settle(&mut self) -> Result<(), String> {
        (0..SERVERS).for_each(|node| self.register(node));
        for _ in 0..100 {
            self.now_ms += EVENT_MS;
            self.assign();
            for node in 0..SERVERS {
                while !self.nodes[node].commands.is_empty() {
                    self.deliver(node)?;
                }
                while !self.nodes[node].running.is_empty() {
                    self.end(node, Outcome::Done);
                }
                self.report(node);
            }
            while !self.proposed.is_empty() {
                self.commit(true);
            }
        }
        Ok(())
    }
}

fn server(node: usize) -> Server {
    Server::new(queue::Server {
        id: ServerId { id: format!("b{node}"), started_at_ms: 1 },
        service: "quotes".to_owned(),
        data_centre: "saga".to_owned(),
        capacity: Resources { cpu_milli: 2_000, memory_mb: 100, accelerators: 0 },
        labels: Vec::new(),
        draining: false,
    })
}

/// Returns the fault of a history, if it has one.
fn check(events: &[(u8, u8)]) -> Result<(), String> {
    let mut world = World::new();
    for (event, node) in events {
        world.step(*event, usize::from(*node) % SERVERS)?;
    }
    world.settle()?;
    for id in (0..JOBS).map(Id) {
        let failures = world.failures.iter().filter(|(task, _)| task.job == id);
        let may_fail = failures.into_iter().any(|(_, count)| *count >= MAX_ATTEMPTS);
        match world.state.queues().job(id).map(|record| record.phase) {
            Some(Phase::Completed) => {}
            Some(Phase::Failed) if may_fail => {}
            phase => return Err(format!("job {id} is {phase:?} in the end")),
        }
    }
    Ok(())
}

/// Guards against two attempts of a task at the same time, a start after an end as done, a task that
/// never ends and a job that fails too early, whatever is lost, late or repeated.
#[test]
fn no_history_starts_a_task_twice_or_leaves_one_behind() {
    fn holds(events: Vec<(u8, u8)>) -> Result<(), String> {
        check(&events)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(HISTORY_LENGTH, SEED))
        .tests(HISTORIES)
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> Result<(), String>);
}
