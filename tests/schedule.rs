//! Drawn histories of the leader's scheduler: servers are lost and come back, leaders change, ends
//! are reported late and repeatedly, starts are carried out late, commits are slow and acknowledgements
//! get lost.

mod durable;
mod reports;

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
const HISTORIES: u64 = 14_000;
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
    /// Whether the task has started again since.
    restarted: bool,
    /// Whether the lease of the server has expired since, after which it does not count as seen.
    lapsed: bool,
}

/// A change that the leader has proposed and that is not committed yet.
#[derive(Debug)]
enum Proposal {
    /// An end, with the node that reported it.
    Complete(usize, Completion),
    Fence(Vec<Attempt>),
}

/// A backend server with its sidecar.
#[derive(Debug, Default)]
struct Node {
    /// Key in the scheduler of the leader with which it is registered.
    key: Option<Key>,
    commands: VecDeque<Batch>,
    running: BTreeSet<Attempt>,
    ends: Vec<End>,
    /// Attempts that were called for before the server was lost and that its sidecar still reports.
    undecided: Vec<Attempt>,
    /// Those of them that the server may still start.
    late: Vec<Attempt>,
}

/// A leader, its log and the servers.
struct World {
    now_ms: u64,
    index: u64,
    term: u64,
    state: State,
    scheduler: Scheduler,
    nodes: Vec<Node>,
    proposed: VecDeque<Proposal>,
    /// Tasks that have ended as done and whose ends were acknowledged as ones that count.
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
        (0..SERVERS).try_for_each(|node| world.register(node)).expect("nothing has run");
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
        match event % 21 {
            0 | 1 => self.assign(),
            2..=5 => return self.deliver(node),
            6 | 7 => self.end(node, Outcome::Done),
            8 => self.end(node, Outcome::Failed),
            9 | 10 => return self.report(node),
            11 => return self.commit(true),
            12 => return self.commit(false),
            13 => self.cut(node),
            14 => return self.register(node),
            15 => self.crash(node),
            16 => self.give_up_inherited(),
            17 => self.lose(node),
            18 => return self.start_late(node),
            19 => self.give_up_undecided(),
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
            self.start(node, start.attempt)?;
        }
        for attempt in batch.stops {
            self.end_attempt(node, attempt, Outcome::Stopped);
        }
        Ok(())
    }

    fn start(&mut self, node: usize, attempt: Attempt) -> Result<(), String> {
        let task = attempt.task;
        let running = self.nodes.iter().flat_map(|node| &node.running);
        let other = running.into_iter().find(|other| other.task == task);
        if let Some(other) = other {
            return Err(format!("{attempt} starts beside {other}"));
        }
        if self.done.contains(&task) {
            return Err(format!("{attempt} starts after the task has ended as done"));
        }
        let ends = self.nodes.iter_mut().flat_map(|node| &mut node.ends);
        ends.filter(|end| end.attempt.task == task).for_each(|end| end.restarted = true);
        self.nodes[node].running.insert(attempt);
        Ok(())
    }

    /// A server is silent until its lease has expired, and the calls of its oldest commands have had
    /// no answer.
    fn lose(&mut self, node: usize) {
        let starts = self.nodes[node].commands.front().map_or(&[][..], |batch| &batch.starts);
        let called: Vec<Attempt> = starts.iter().map(|start| start.attempt).collect();
        let Some(key) = self.expire_lease(node) else { return };
        self.nodes[node].ends.iter_mut().for_each(|end| end.lapsed = true);
        self.nodes[node].undecided.extend(&called);
        self.nodes[node].late.extend(called);
        self.report_undecided(node);
        self.scheduler.remove_server(self.now_ms, key, self.state.queues());
    }

    /// The sidecar of a server names the attempts that may still start there.
    fn report_undecided(&mut self, node: usize) {
        let report = reports::of_loss(&format!("s{node}"), &self.nodes[node].undecided);
        self.scheduler.add_undecided(self.now_ms, &report, self.state.queues());
        self.scheduler.remove_decided(&report, self.state.queues());
    }

    /// A lost server carries out a call that had no answer.
    fn start_late(&mut self, node: usize) -> Result<(), String> {
        match self.nodes[node].late.pop() {
            Some(attempt) => self.start(node, attempt),
            None => Ok(()),
        }
    }

    /// So much time has passed that all late calls have been carried out, and what they started has
    /// ended.
    fn give_up_undecided(&mut self) {
        for node in 0..SERVERS {
            self.end_undecided(node);
        }
        let attempts = self.scheduler.give_up_undecided(u64::MAX);
        self.proposed.push_back(Proposal::Fence(attempts));
    }

    /// No call starts an undecided attempt from now on, and those that run end.
    fn end_undecided(&mut self, node: usize) {
        self.nodes[node].late.clear();
        for attempt in self.nodes[node].undecided.clone() {
            self.end_attempt(node, attempt, Outcome::Stopped);
        }
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
        if outcome == Outcome::Failed {
            *self.failures.entry(attempt.task).or_default() += 1;
        }
        let end = End { attempt, outcome, reported: false, restarted: false, lapsed: false };
        self.nodes[node].ends.push(end);
    }

    /// A registered server reports its ends. Those that need not be stored are acknowledged.
    fn report(&mut self, node: usize) -> Result<(), String> {
        let Some(key) = self.nodes[node].key else { return Ok(()) };
        let mut handled = Vec::new();
        for end in self.nodes[node].ends.iter_mut().filter(|end| !end.reported) {
            end.reported = true;
            let queues = self.state.queues();
            match self.scheduler.ended(self.now_ms, key, end.attempt, end.outcome, queues) {
                Some(completion) => self.proposed.push_back(Proposal::Complete(node, completion)),
                None => handled.push(end.attempt),
            }
        }
        handled.into_iter().try_for_each(|attempt| self.acknowledge(node, attempt))
    }

    /// The oldest proposal is committed. The acknowledgement reaches the server if `acknowledged`.
    fn commit(&mut self, acknowledged: bool) -> Result<(), String> {
        match self.proposed.pop_front() {
            None => {}
            Some(Proposal::Complete(node, completion)) => {
                self.apply(Change::Complete(vec![completion]));
                self.scheduler.outcome_stored(&completion, self.state.queues());
                if acknowledged {
                    return self.acknowledge(node, completion.attempt);
                }
            }
            Some(Proposal::Fence(attempts)) => {
                self.apply(Change::Fence(attempts.clone()));
                self.scheduler.fence_stored(&attempts, self.state.queues());
            }
        }
        Ok(())
    }

    /// A server forgets an end. The lease of the server expires before if the end does not count;
    /// otherwise its task must not have started again.
    fn acknowledge(&mut self, node: usize, attempt: Attempt) -> Result<(), String> {
        let record = self.state.queues().job(attempt.task.job);
        let counts = record.is_some_and(|record| !record.fenced(attempt));
        let ends = &mut self.nodes[node].ends;
        let Some(at) = ends.iter().position(|end| end.attempt == attempt) else { return Ok(()) };
        let end = ends.remove(at);
        if counts && end.outcome == Outcome::Done && !end.lapsed {
            if end.restarted {
                return Err(format!("{attempt} ended as done, and the task started again"));
            }
            self.done.insert(attempt.task);
        }
        Ok(())
    }

    /// A sidecar is cut off until its lease has expired, which stops the leader's attempts there.
    /// The server keeps what ended before.
    fn cut(&mut self, node: usize) {
        if let Some(key) = self.expire_lease(node) {
            let attempts = self.scheduler.give_up_server(self.now_ms, key);
            self.proposed.push_back(Proposal::Fence(attempts));
        }
    }

    /// A server crashes and comes back, and with it all that it ran and listed is gone.
    fn crash(&mut self, node: usize) {
        let key = self.expire_lease(node);
        self.nodes[node].ends.clear();
        if let Some(key) = key {
            self.scheduler.remove_server(self.now_ms, key, self.state.queues());
        }
    }

    /// Stops the attempts at a server. Returns the key of its registration, which ends.
    fn expire_lease(&mut self, node: usize) -> Option<Key> {
        let running: Vec<Attempt> = self.nodes[node].running.iter().copied().collect();
        for attempt in running {
            self.end_attempt(node, attempt, Outcome::Stopped);
        }
        let node = &mut self.nodes[node];
        node.commands.clear();
        node.ends.iter_mut().for_each(|end| end.reported = false);
        node.key.take()
    }

    /// All leases of the earlier leader have expired, and the leader waits no longer for reports.
    fn give_up_inherited(&mut self) {
        for node in 0..SERVERS {
            if self.nodes[node].key.is_none() {
                self.expire_lease(node);
            }
        }
        let attempts = self.scheduler.give_up_inherited(self.state.queues());
        self.proposed.push_back(Proposal::Fence(attempts));
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
        (0..SERVERS).for_each(|node| self.report_undecided(node));
    }

    /// A server registers with the leader and reports what runs and has ended there.
    fn register(&mut self, node: usize) -> Result<(), String> {
        if self.nodes[node].key.is_some() {
            return Ok(());
        }
        let key = self.scheduler.add_server(server(node));
        self.nodes[node].key = Some(key);
        self.nodes[node].commands.clear();
        if !self.nodes[node].undecided.is_empty() {
            // The server has answered under a higher fencing token and lists none of them.
            self.end_undecided(node);
            self.nodes[node].undecided.clear();
        }
        self.report(node)?;
        self.report_undecided(node);
        let running: Vec<Attempt> = self.nodes[node].running.iter().copied().collect();
        self.scheduler.sync(self.now_ms, key, &running, self.state.queues());
        Ok(())
    }

    /// Ends all faults; every attempt ends as done from now on.
    fn settle(&mut self) -> Result<(), String> {
        (0..SERVERS).try_for_each(|node| self.register(node))?;
        self.give_up_inherited();
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
                self.report(node)?;
            }
            while !self.proposed.is_empty() {
                self.commit(true)?;
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

/// Guards against two attempts of a task at the same time, a start after an end as done that counts,
/// also if that end is reported only after a cut or to a later leader, a task that never ends and a job that fails too early, whatever is lost, late or repeated.
#[test]
fn no_history_starts_a_task_twice_or_leaves_one_behind() {
    fn holds(events: Vec<(u8, u8)>) -> Result<(), String> {
        check(&events)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(HISTORY_LENGTH, SEED))
        .tests(HISTORIES)
        .max_tests(HISTORIES)
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> Result<(), String>);
}
