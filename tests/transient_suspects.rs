//! Transient jobs of which some tasks crash the backend server that starts them, on a virtual
//! clock.

use std::collections::{BTreeMap, BTreeSet};

use briargauge::{
    coordination::transient::{JobOutcome, Key, Scheduler, StartCommand},
    protocol::{
        queue::{Attempt, Id, Job, Queue, Resources, Step, Task},
        wire::{
            queue::{Reason, Server, ServerId, Sidecar},
            work::{Load, Loss, Outcome, Reply, Revision},
        },
    },
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SERVERS: usize = 16;
/// Tasks that fit on a server.
const TASKS_PER_SERVER: u64 = 10;
/// Time for which a server is down after a crash, in ms.
const DOWN_MS: u64 = 3_000;
/// Time until the entry learns of a crash, in ms.
const DETECTED_MS: u64 = 40;
const TICK_MS: u64 = 25;
/// Time after the last arrival in which jobs may end if no task crashes a server, in ms.
const REST_MS: u64 = 10_000;
/// Most servers that are held for suspects at a time, of `SERVERS`.
const HELD_MAX: usize = 2;
/// Longest work of a task, in ms.
const WORK_MAX_MS: u64 = 320;
const SEED: u64 = 25;

/// A job that a caller submits.
#[derive(Debug, Clone)]
struct Arrival {
    after_ms: u64,
    queue: usize,
    tasks: u16,
    work_ms: u64,
    /// Whether its first task crashes the servers that start it.
    deadly: bool,
    /// Server that refuses connections for a while from its arrival on.
    cut: Option<usize>,
}

impl Arbitrary for Arrival {
    fn arbitrary(g: &mut Gen) -> Arrival {
        Arrival {
            after_ms: u64::arbitrary(g) % 60,
            queue: usize::arbitrary(g) % 3,
            tasks: 1 + u16::arbitrary(g) % 5,
            work_ms: 20 + u64::arbitrary(g) % (WORK_MAX_MS - 20),
            deadly: u8::arbitrary(g).is_multiple_of(12),
            cut: u8::arbitrary(g).is_multiple_of(12).then(|| usize::arbitrary(g) % SERVERS),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Arrival>> {
        let calm = self.deadly.then(|| Arrival { deadly: false, ..self.clone() });
        let uncut = self.cut.is_some().then(|| Arrival { cut: None, ..self.clone() });
        Box::new(calm.into_iter().chain(uncut))
    }
}

/// An entry and its servers.
struct World {
    now_ms: u64,
    scheduler: Scheduler,
    keys: Vec<Key>,
    /// When each server is up again after its last crash.
    up_at_ms: Vec<u64>,
    /// Incarnation of each server.
    incarnations: Vec<u32>,
    /// The one that its sidecar has heard last.
    heard: Vec<u32>,
    /// Servers that are down because of a task that was a suspect already.
    crashed_by_suspect: Vec<bool>,
    running: BTreeMap<Attempt, (Key, u64)>,
    /// Replies on their way, by their arrival.
    replies: BTreeMap<u64, Vec<(Key, Attempt, Reply)>>,
    deadly: BTreeSet<Id>,
    /// Tasks under which a server was lost, each with that server and its incarnation.
    suspects: BTreeSet<(Task, usize, u32)>,
    starts_of_deadly: BTreeMap<Task, u32>,
    ended: BTreeMap<Id, JobOutcome>,
}

fn sidecar(at: usize) -> Sidecar {
    let server = Server {
        id: ServerId { id: format!("s{at:02}"), started_at_ms: 1 },
        service: "quotes".to_owned(),
        data_centre: "saga".to_owned(),
        capacity: Resources {
            cpu_milli: TASKS_PER_SERVER * 1_000,
            memory_mb: 1_000,
            accelerators: 0,
        },
        labels: Vec::new(),
        draining: false,
    };
    Sidecar { name: format!("s{at:02}"), addr: "127.0.0.1:1".parse().unwrap(), server }
}

fn load(up: bool, incarnation: u32) -> Load {
    let revision = Revision { incarnation, change: 0 };
    Load { revision, open: up, lost: !up, ..Load::default() }
}

/// The sidecar of a server has heard this incarnation of it.
fn start_incarnation(
    scheduler: &mut Scheduler,
    now_ms: u64,
    key: Key,
    at: usize,
    incarnation: u32,
) {
    let mut server = sidecar(at).server;
    server.id.started_at_ms = incarnation.into();
    scheduler.describe_server(key, Revision { incarnation, change: 0 }, server);
    scheduler.update_load(now_ms, key, &load(true, incarnation));
}

impl World {
    fn new() -> World {
        let mut scheduler = Scheduler::default();
        let mut keys = Vec::new();
        for at in 0..SERVERS {
            let key = scheduler.describe(sidecar(at));
            scheduler.connected(key);
            start_incarnation(&mut scheduler, 0, key, at, 1);
            keys.push(key);
        }
        World {
            now_ms: 0,
            scheduler,
            keys,
            up_at_ms: vec![0; SERVERS],
            incarnations: vec![1; SERVERS],
            heard: vec![1; SERVERS],
            crashed_by_suspect: vec![false; SERVERS],
            running: BTreeMap::new(),
            replies: BTreeMap::new(),
            deadly: BTreeSet::new(),
            suspects: BTreeSet::new(),
            starts_of_deadly: BTreeMap::new(),
            ended: BTreeMap::new(),
        }
    }

    fn submit(&mut self, id: Id, arrival: &Arrival) {
        let needs = Resources { cpu_milli: 1_000, memory_mb: 1, accelerators: 0 };
        let estimate_ms = arrival.work_ms as u32;
        let step = Step { tasks: arrival.tasks, needs, estimate_ms, ..Step::default() };
        let queue = Queue {
            prefix: format!("/q{}/", arrival.queue),
            service: "quotes".to_owned(),
            max_attempts: 3,
            slo_factor_milli: 1_500,
            slo_ms: 50,
            ..Queue::default()
        };
        if arrival.deadly {
            self.deadly.insert(id);
        }
        let job = Job::new(arrival.work_ms.to_string(), vec![step]);
        self.scheduler.submit(self.now_ms, id, &queue, job);
    }

    fn server(&self, key: Key) -> usize {
        self.keys.iter().position(|other| *other == key).unwrap()
    }

    fn reply(&mut self, in_ms: u64, key: Key, attempt: Attempt, outcome: Outcome, took_ms: u64) {
        let server = self.server(key);
        let load = load(self.is_up(server), self.heard[server]);
        let reply = Reply { outcome, took_ms, clock_ms: 0, load };
        self.replies.entry(self.now_ms + in_ms).or_default().push((key, attempt, reply));
    }

    fn receive(&mut self, command: &StartCommand) -> Result<(), String> {
        let (key, attempt) = (command.server, command.start.attempt);
        let server = self.server(key);
        if !self.is_up(server) {
            let unavailable = Outcome::NotStarted(Reason::Unavailable);
            self.reply(2, key, attempt, unavailable, 0);
            return Ok(());
        }
        let beside = self.running.iter().filter(|(_, (other, _))| *other == key);
        let beside: Vec<Attempt> = beside.map(|(attempt, _)| *attempt).collect();
        let suspect = self.is_suspect(attempt.task);
        if (suspect || beside.iter().any(|other| self.is_suspect(other.task))) && !beside.is_empty()
        {
            return Err(format!("{attempt} starts beside {beside:?}, one of them a suspect"));
        }
        let took_ms: u64 = command.start.spec.parse().unwrap();
        self.running.insert(attempt, (key, self.now_ms + took_ms));
        if self.deadly.contains(&attempt.task.job) && attempt.task.index == 0 {
            *self.starts_of_deadly.entry(attempt.task).or_default() += 1;
            self.crashed_by_suspect[server] = suspect;
            self.crash(key);
        }
        Ok(())
    }

    fn is_suspect(&self, task: Task) -> bool {
        self.suspects.iter().any(|(suspect, _, _)| *suspect == task)
    }

    fn crash(&mut self, key: Key) {
        let server = self.server(key);
        self.refuse(server);
        self.incarnations[server] += 1;
    }

    fn is_up(&self, server: usize) -> bool {
        self.up_at_ms[server] <= self.now_ms
    }

    /// Refuses connections to a server for a while.
    fn refuse(&mut self, server: usize) {
        let key = self.keys[server];
        self.up_at_ms[server] = self.now_ms + DOWN_MS;
        let lost = self.running.iter().filter(|(_, (other, _))| *other == key);
        let lost: Vec<Attempt> = lost.map(|(attempt, _)| *attempt).collect();
        for attempt in lost {
            self.running.remove(&attempt);
            self.suspects.insert((attempt.task, server, self.incarnations[server]));
            let refused = Outcome::Lost(Loss { began: true, confirmed: false });
            self.reply(DETECTED_MS, key, attempt, refused, 0);
        }
    }

    /// A server answers, as the same incarnation or as another one.
    fn answer(&mut self, server: usize) {
        let (key, now_ms) = (self.keys[server], self.now_ms);
        let incarnation = self.incarnations[server];
        self.crashed_by_suspect[server] = false;
        if std::mem::replace(&mut self.heard[server], incarnation) == incarnation {
            self.suspects.retain(|(_, at, lost)| (*at, *lost) != (server, incarnation));
            self.scheduler.update_load(now_ms, key, &load(true, incarnation));
        } else {
            start_incarnation(&mut self.scheduler, now_ms, key, server, incarnation);
        }
    }

    /// Simulates 1 ms.
    fn advance(&mut self) -> Result<(), String> {
        self.now_ms += 1;
        let now_ms = self.now_ms;
        for at in 0..SERVERS {
            if self.up_at_ms[at] == now_ms {
                self.answer(at);
            }
        }
        let done = self.running.iter().filter(|(_, (_, end_ms))| *end_ms <= now_ms);
        let done: Vec<(Attempt, Key)> = done.map(|(attempt, (key, _))| (*attempt, *key)).collect();
        for (attempt, key) in done {
            self.running.remove(&attempt);
            self.reply(1, key, attempt, Outcome::Done, 1);
        }
        for (key, attempt, reply) in self.replies.remove(&now_ms).unwrap_or_default() {
            self.scheduler.ended(now_ms, key, attempt, Some(&reply));
        }
        if now_ms.is_multiple_of(TICK_MS) {
            self.scheduler.tick(now_ms);
        }
        self.carry_out()
    }

    fn carry_out(&mut self) -> Result<(), String> {
        let actions = self.scheduler.take_actions();
        for (id, outcome) in actions.finished {
            if outcome == JobOutcome::Failed && !self.deadly.contains(&id) {
                return Err(format!("innocent job {id} was given up"));
            }
            self.ended.insert(id, outcome);
        }
        for (_, attempt) in actions.stops {
            if let Some((key, _)) = self.running.remove(&attempt) {
                self.reply(1, key, attempt, Outcome::Stopped, 0);
            }
        }
        for command in actions.commands {
            self.receive(&command)?;
        }
        if let Some((task, starts)) = self.starts_of_deadly.iter().find(|(_, count)| **count > 3) {
            return Err(format!("{task:?} has started {starts} times"));
        }
        let down = self.crashed_by_suspect.iter().filter(|by_suspect| **by_suspect).count();
        if down > HELD_MAX {
            return Err(format!("{down} servers are down because of suspects"));
        }
        Ok(())
    }
}

fn play(arrivals: &[Arrival]) -> Result<World, String> {
    let mut world = World::new();
    for (number, arrival) in arrivals.iter().enumerate() {
        for _ in 0..arrival.after_ms {
            world.advance()?;
        }
        world.submit(Id(number as u64), arrival);
        world.carry_out()?;
        if let Some(server) = arrival.cut.filter(|server| world.is_up(*server)) {
            world.refuse(server);
        }
    }
    // The held servers run the suspects of each crash one after the other, and are down once more.
    let apart_ms = DOWN_MS + TASKS_PER_SERVER * WORK_MAX_MS;
    let rest_ms = REST_MS + world.deadly.len() as u64 * apart_ms / HELD_MAX as u64;
    for _ in 0..rest_ms {
        if world.ended.len() == arrivals.len() {
            break;
        }
        world.advance()?;
    }
    Ok(world)
}

/// Guards against a task that takes down server after server, against giving up jobs that merely
/// ran on a server that crashed, and against a job that never ends.
#[test]
fn deadly_tasks_are_given_up_and_no_innocent_job_is() {
    fn holds(arrivals: Vec<Arrival>) -> Result<(), String> {
        let world = play(&arrivals)?;
        for number in 0..arrivals.len() {
            let id = Id(number as u64);
            match world.ended.get(&id) {
                None => return Err(format!("job {id} has not ended")),
                Some(JobOutcome::Completed) if world.deadly.contains(&id) => {
                    return Err(format!("job {id} crashes its servers and is said to be done"));
                }
                Some(_) => {}
            }
        }
        Ok(())
    }
    let generator = Gen::from_size_and_seed(150, SEED);
    let mut checker = QuickCheck::new().rng(generator).tests(100);
    checker.quickcheck(holds as fn(Vec<Arrival>) -> Result<(), String>);
}
