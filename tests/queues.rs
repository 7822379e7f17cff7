//! The replicated queues, and the leader's scheduler for durable jobs.

use std::{net::SocketAddr, sync::Arc};

use briargauge::{
    coordination::schedule::{Key, Scheduler, Server},
    protocol::{
        queue::{Attempt, Config, Id, Job, Outcome, Phase, Queue, Resources, Service, Step, Task},
        wire::queue::{self, Batch, NotStarted, Reason, ServerId},
    },
    state::machine::{
        Command, Op, Reply, State,
        queue::{Change, Completion, Submission},
    },
};

const KEEP_MS: u64 = 1_000;

fn config(version: u64, prefixes: &[&str]) -> Config {
    let queue = |prefix: &&str| Queue {
        host: "co-op.example".to_owned(),
        prefix: (*prefix).to_owned(),
        service: "quotes".to_owned(),
        max_attempts: 2,
        timeout_ms: 100,
        ..Queue::default()
    };
    Config {
        version,
        queues: prefixes.iter().map(queue).collect(),
        services: vec![Service { name: "quotes".to_owned(), enforces_capacity: false }],
        document: format!("v{version}"),
    }
}

fn job(tasks: u16) -> Job {
    let needs = Resources { cpu_milli: 1_000, memory_mb: 1, accelerators: 0 };
    let step = Step { tasks, needs, estimate_ms: 10, ..Step::default() };
    Job { spec: "spec".to_owned(), steps: vec![step] }
}

fn task(id: u64, index: u16) -> Task {
    Task { job: Id(id), step: 0, index }
}

/// A state that changes are applied to one at a time.
#[derive(Default)]
struct World {
    state: State,
    index: u64,
    now_ms: u64,
}

impl World {
    fn new() -> World {
        let mut world = World::default();
        world.apply(Change::Configure(Arc::new(config(1, &["/q/"]))));
        world
    }

    fn apply(&mut self, change: Change) -> briargauge::state::machine::queue::Reply {
        self.index += 1;
        let command = Command { now_ms: self.now_ms, op: Op::Queue(vec![change]) };
        match self.state.apply(self.index, command) {
            Reply::Queue(replies) => replies[0],
            reply => panic!("{reply:?}"),
        }
    }

    fn submit(&mut self, id: u64, path: &str, job: Job) -> String {
        let submission = Submission {
            id: Id(id),
            host: "co-op.example".to_owned(),
            path: path.to_owned(),
            job,
            term: 1,
            keep_ms: KEEP_MS,
        };
        format!("{:?}", self.apply(Change::Submit(submission)))
    }

    fn end(&mut self, scheduler: &mut Scheduler, key: Key, attempt: Attempt, outcome: Outcome) {
        if let Some(completion) = scheduler.ended(self.now_ms, key, attempt, outcome) {
            self.apply(Change::Complete(vec![completion]));
            scheduler.outcome_stored(&completion, self.state.queues());
        }
    }

    fn phase(&self, id: u64) -> Option<Phase> {
        self.state.queues().job(Id(id)).map(|job| job.phase)
    }
}

fn server(cores: u64) -> Server {
    let _: SocketAddr = "127.0.0.1:1".parse().unwrap();
    Server::new(queue::Server {
        id: ServerId { id: "b".to_owned(), started_at_ms: 1 },
        service: "quotes".to_owned(),
        data_centre: "saga".to_owned(),
        capacity: Resources { cpu_milli: cores * 1_000, memory_mb: 100, accelerators: 0 },
        labels: Vec::new(),
        draining: false,
    })
}

fn starts(batch: Option<Batch>) -> Vec<Attempt> {
    batch.map_or_else(Vec::new, |batch| batch.starts.iter().map(|start| start.attempt).collect())
}

/// Guards against an older version, or other content under the version held, taking effect.
#[test]
fn only_a_higher_version_takes_effect() {
    let mut world = World::new();
    world.apply(Change::Configure(Arc::new(config(5, &["/q/"]))));
    world.apply(Change::Configure(Arc::new(config(4, &["/old/"]))));
    world.apply(Change::Configure(Arc::new(config(5, &["/other/"]))));
    let held = world.state.queues().config().unwrap();
    assert_eq!((held.version, held.queues[0].prefix.as_str()), (5, "/q/"));
}

/// Guards against a configuration in force that cannot be carried out.
#[test]
fn an_invalid_configuration_is_found() {
    let mut unknown = config(1, &["/q/"]);
    unknown.queues[0].service = "nobody".to_owned();
    let mut no_time = config(1, &["/q/"]);
    no_time.queues[0].timeout_ms = 0;
    insta::assert_debug_snapshot!([
        unknown.check(),
        no_time.check(),
        config(1, &["/q/", "/q/"]).check(),
        config(1, &["/q/", "/q/r/"]).check(),
    ]);
}

/// Guards against a prefix that hides a longer one.
#[test]
fn the_longest_prefix_counts() {
    let config = config(1, &["/q/", "/q/r/"]);
    let (queue, rest) = config.route("co-op.example", "/q/r/x").unwrap();
    assert_eq!((queue.prefix.as_str(), rest), ("/q/r/", "x"));
    assert!(config.route("tariff.example", "/q/x").is_none());
}

/// Guards against a second job under a known number, and against a record kept for ever.
#[test]
fn a_job_is_taken_once_and_forgotten_after_its_time() {
    let mut world = World::new();
    assert_eq!(world.submit(1, "/q/x", job(1)), "Done");
    assert_eq!(world.submit(1, "/q/x", job(1)), "Known");
    assert_eq!(world.submit(2, "/none/x", job(1)), "NoQueue");
    let attempt = Attempt { task: task(1, 0), number: 1 };
    world.apply(Change::Complete(vec![Completion { attempt, outcome: Outcome::Done }]));
    assert_eq!(world.phase(1), Some(Phase::Completed));
    world.now_ms = KEEP_MS - 1;
    assert_eq!(world.submit(1, "/q/x", job(1)), "Known");
    world.now_ms = KEEP_MS;
    world.apply(Change::Cancel(Id(9)));
    assert_eq!(world.phase(1), None);
}

/// Guards against a job that fails too early or is tried for ever: only runs that failed count.
#[test]
fn a_job_fails_after_its_attempts() {
    let mut world = World::new();
    world.submit(1, "/q/x", job(2));
    let mut scheduler = Scheduler::new(1, 0, world.state.queues());
    scheduler.release_inherited();
    let key = scheduler.add_server(server(1));
    scheduler.sync(0, key, &[], world.state.queues());
    let mut ends = [Outcome::Stopped, Outcome::Failed, Outcome::Failed].into_iter();
    let mut seen = Vec::new();
    // Beyond the pause of a server that fails.
    for now_ms in (0..60_000).step_by(2_000) {
        scheduler.assign(now_ms, world.state.queues());
        for attempt in starts(scheduler.commands(key)) {
            seen.push(attempt);
            let outcome =
                if attempt.task.index == 1 { Outcome::Done } else { ends.next().unwrap() };
            world.end(&mut scheduler, key, attempt, outcome);
        }
    }
    assert_eq!(world.phase(1), Some(Phase::Failed));
    let numbers: Vec<u32> = seen.iter().filter(|r| r.task.index == 0).map(|r| r.number).collect();
    assert_eq!(numbers, [1, 2, 3]);
}

/// Guards against a second run of a task that an earlier leader started: a new leader starts none
/// of its tasks before it knows where they are.
#[test]
fn a_new_leader_takes_over_what_runs() {
    let mut world = World::new();
    world.submit(1, "/q/x", job(3));
    let mut scheduler = Scheduler::new(4, 0, world.state.queues());
    let key = scheduler.add_server(server(8));
    let running = Attempt { task: task(1, 0), number: 7 };
    scheduler.sync(0, key, &[running], world.state.queues());
    scheduler.assign(0, world.state.queues());
    assert_eq!(starts(scheduler.commands(key)), []);
    let ended = Attempt { task: task(1, 1), number: 3 };
    world.end(&mut scheduler, key, ended, Outcome::Done);
    scheduler.release_inherited();
    scheduler.assign(0, world.state.queues());
    // Above the numbers that leaders of the three terms before may have used.
    assert_eq!(starts(scheduler.commands(key)), [Attempt { task: task(1, 2), number: 3_001 }]);
    world.end(&mut scheduler, key, running, Outcome::Done);
    assert_eq!(world.phase(1), Some(Phase::Running));
    assert_eq!(scheduler.running(), 1);
}

/// Guards against runs that go on after their job was cancelled under an earlier leader.
#[test]
fn a_run_that_nobody_wants_is_stopped() {
    let mut world = World::new();
    world.submit(1, "/q/x", job(1));
    world.apply(Change::Cancel(Id(1)));
    let mut scheduler = Scheduler::new(2, 0, world.state.queues());
    let key = scheduler.add_server(server(1));
    let attempt = Attempt { task: task(1, 0), number: 1 };
    scheduler.sync(0, key, &[attempt], world.state.queues());
    assert_eq!(scheduler.commands(key).unwrap().stops, [attempt]);
    world.submit(2, "/q/y", job(1));
    scheduler.accept(0, Id(2), world.state.queues());
    scheduler.assign(0, world.state.queues());
    assert_eq!(starts(scheduler.commands(key)), [], "what is being stopped takes its room");
}

/// Guards against tasks lost with their server, and against room that is never freed.
#[test]
fn a_lost_or_refused_task_starts_again() {
    let mut world = World::new();
    world.submit(1, "/q/x", job(1));
    let mut scheduler = Scheduler::new(1, 0, world.state.queues());
    scheduler.release_inherited();
    let key = scheduler.add_server(server(1));
    scheduler.sync(0, key, &[], world.state.queues());
    scheduler.assign(0, world.state.queues());
    let first = starts(scheduler.commands(key))[0];
    let not = NotStarted { attempt: first, reason: Reason::NoCapacity };
    scheduler.not_started(0, key, &not, world.state.queues());
    scheduler.assign(0, world.state.queues());
    assert_eq!(starts(scheduler.commands(key)), [], "the server is left alone for a moment");
    scheduler.assign(100, world.state.queues());
    assert_eq!(starts(scheduler.commands(key))[0].number, 2);
    scheduler.remove_server(key, world.state.queues());
    let other = scheduler.add_server(server(1));
    scheduler.sync(200, other, &[], world.state.queues());
    scheduler.assign(200, world.state.queues());
    assert_eq!(starts(scheduler.commands(other))[0].number, 3);
}
