//! Drains of data centres, as the leader's scheduler, an entry's scheduler and a sidecar carry them out.

mod durable;

use std::{net::SocketAddr, sync::Arc};

use briargauge::{
    coordination::{
        schedule, sidecar,
        transient::{self, JobOutcome, StartCommand},
    },
    protocol::{
        queue::{self, Attempt, Id, Job, Queue, Resources, Step, Task},
        wire::{
            queue::{
                Backend, Batch, Commands, Drains, NotStarted, Reason, Server, ServerId, Sidecar,
                Start,
            },
            work::{Entry, Load, Outcome, Reply, Revision},
        },
    },
    state::machine::{
        Command, Op, State,
        queue::{Change, Submission},
    },
};

const OPEN: Load = Load {
    revision: Revision { incarnation: 0, change: 0 },
    open: true,
    lost: false,
    used: Resources { cpu_milli: 0, memory_mb: 0, accelerators: 0 },
    queued: Resources { cpu_milli: 0, memory_mb: 0, accelerators: 0 },
    watches_progress: false,
};
const ENTRY: Entry = Entry(7);

fn addr() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

/// A backend server with capacity for one task, whose only label is its id.
fn server(id: &str, data_centre: &str) -> Server {
    Server {
        id: ServerId { id: id.to_owned(), started_at_ms: 1 },
        service: "quotes".to_owned(),
        data_centre: data_centre.to_owned(),
        capacity: Resources { cpu_milli: 1_000, memory_mb: 100, accelerators: 0 },
        labels: vec![id.to_owned()],
        draining: false,
    }
}

fn drains(version: u64, data_centres: &[&str]) -> Drains {
    let data_centres = data_centres.iter().map(|name| (*name).to_owned()).collect();
    Drains { version, data_centres }
}

/// The scheduler of a leader with a durable job of two tasks.
fn scheduler() -> (schedule::Scheduler, State) {
    let mut state = State::default();
    let submission = Submission {
        id: Id(1),
        host: durable::HOST.to_owned(),
        path: format!("/q/{}", Id(1)),
        job: durable::job(2),
        term: 1,
        keep_ms: 1_000,
    };
    let changes = vec![Change::Configure(Arc::new(durable::config(1))), Change::Submit(submission)];
    state.apply(1, Command { now_ms: 0, op: Op::Queue(changes) });
    let mut scheduler = schedule::Scheduler::new(1, 0, &State::default().queues().clone());
    scheduler.accept(0, Id(1), state.queues());
    (scheduler, state)
}

fn add(
    scheduler: &mut schedule::Scheduler,
    state: &State,
    id: &str,
    data_centre: &str,
) -> schedule::Key {
    let key = scheduler.add_server(schedule::Server::new(server(id, data_centre)));
    scheduler.sync(0, key, &[], state.queues());
    key
}

fn starts(batch: Option<Batch>) -> Vec<Attempt> {
    batch.map_or_else(Vec::new, |batch| batch.starts.iter().map(|start| start.attempt).collect())
}

/// Guards against starts of durable tasks in a drained data centre, also on servers that become known
/// or change their data centre during the drain, and against tasks that stay behind after it.
#[test]
fn durable_tasks_start_in_other_data_centres_and_wait_without_any() {
    let (mut scheduler, state) = scheduler();
    let saga = add(&mut scheduler, &state, "a", "saga");
    scheduler.set_drains(0, drains(1, &["saga", "ena"]));
    let ena = add(&mut scheduler, &state, "b", "ena");
    scheduler.assign(0, state.queues());
    for key in [saga, ena] {
        assert_eq!(starts(scheduler.commands(key)), []);
        assert!(scheduler.server(key).unwrap().is_drained());
    }
    let kurume = add(&mut scheduler, &state, "c", "kurume");
    scheduler.assign(0, state.queues());
    assert_eq!(starts(scheduler.commands(kurume)).len(), 1);
    assert!(scheduler.describe(ena, &server("b", "kurume")));
    assert!(!scheduler.server(ena).unwrap().is_drained());
    assert!(scheduler.describe(ena, &server("b", "ena")));
    scheduler.assign(0, state.queues());
    assert_eq!(starts(scheduler.commands(ena)), []);
    scheduler.restarted(0, saga, server("a", "saga"));
    scheduler.sync(0, saga, &[], state.queues());
    scheduler.assign(0, state.queues());
    assert_eq!(starts(scheduler.commands(saga)), [], "a new process of a drained server");
    scheduler.set_drains(0, drains(2, &["ena"]));
    scheduler.assign(0, state.queues());
    assert_eq!(starts(scheduler.commands(saga)).len(), 1);
}

/// A backend server with capacity for four tasks, in the data centre saga.
fn large_server() -> Server {
    let mut server = server("a", "saga");
    let Resources { cpu_milli, memory_mb, accelerators } = server.capacity;
    server.capacity = Resources {
        cpu_milli: 4 * cpu_milli,
        memory_mb: 4 * memory_mb,
        accelerators: 4 * accelerators,
    };
    server
}

/// Guards against a wave of durable tasks on servers that are cold after a drain.
#[test]
fn durable_tasks_return_in_steps_after_a_drain() {
    let (mut scheduler, state) = scheduler();
    let key = scheduler.add_server(schedule::Server::new(large_server()));
    scheduler.sync(0, key, &[], state.queues());
    scheduler.set_drains(0, drains(1, &["saga"]));
    scheduler.set_drains(100, drains(2, &[]));
    scheduler.assign(100, state.queues());
    assert_eq!(starts(scheduler.commands(key)).len(), 1, "a quarter of the capacity");
    scheduler.assign(1_100, state.queues());
    assert_eq!(starts(scheduler.commands(key)).len(), 1);
}

/// Guards against a task that does not start elsewhere after its sidecar has refused it for a drain.
#[test]
fn a_durable_task_refused_for_a_drain_starts_elsewhere() {
    let (mut scheduler, state) = scheduler();
    let saga = add(&mut scheduler, &state, "a", "saga");
    scheduler.assign(0, state.queues());
    let attempt = starts(scheduler.commands(saga))[0];
    scheduler.set_drains(0, drains(1, &["saga"]));
    let refused = NotStarted { attempt, reason: Reason::Unavailable };
    scheduler.not_started(1, saga, &refused, state.queues());
    let kurume = add(&mut scheduler, &state, "b", "kurume");
    scheduler.assign(1, state.queues());
    assert_eq!(starts(scheduler.commands(saga)), []);
    let started = starts(scheduler.commands(kurume));
    assert_eq!(started, [Attempt { task: attempt.task, number: 2 }]);
}

/// An entry's scheduler with a server in each of these data centres, which has its name as its label.
fn entry(data_centres: &[&str]) -> (transient::Scheduler, Vec<transient::Key>) {
    let mut scheduler = transient::Scheduler::default();
    let keys = data_centres.iter().map(|name| {
        let server = server(name, name);
        let sidecar = Sidecar { name: (*name).to_owned(), addr: addr(), server };
        let key = scheduler.describe(sidecar);
        scheduler.connected(key);
        scheduler.update_load(0, key, &OPEN);
        key
    });
    let keys = keys.collect();
    (scheduler, keys)
}

fn job(tasks: u16, label: Option<&str>) -> Job {
    let needs = Resources { cpu_milli: 1_000, memory_mb: 1, accelerators: 0 };
    let required_label = label.map(str::to_owned);
    let step = Step { tasks, needs, estimate_ms: 100, required_label, ..Step::default() };
    Job::new("spec".to_owned(), vec![step])
}

fn submit(scheduler: &mut transient::Scheduler, id: u64, job: Job) -> transient::Actions {
    let queue =
        Queue { service: "quotes".to_owned(), max_attempts: 3, slo_ms: 10_000, ..Queue::default() };
    scheduler.submit(0, Id(id), &queue, job);
    scheduler.take_actions()
}

fn end(scheduler: &mut transient::Scheduler, command: &StartCommand, outcome: Outcome) {
    let reply = Reply { outcome, took_ms: 1, clock_ms: 0, load: OPEN };
    scheduler.ended(1, command.server, command.start.attempt, Some(&reply));
}

const NOT_RUN: [(Id, JobOutcome); 1] = [(Id(1), JobOutcome::NotRun)];

/// Guards against starts of transient tasks in a drained data centre, on behalf of a sidecar that does
/// not know of the drain yet, and against work that waits instead of starting elsewhere.
#[test]
fn transient_tasks_start_in_other_data_centres() {
    let (mut scheduler, keys) = entry(&["saga", "kurume"]);
    assert!(scheduler.update_drains(0, &drains(2, &["saga"])));
    assert!(!scheduler.update_drains(0, &drains(1, &[])), "an older version");
    scheduler.update_load(0, keys[0], &OPEN);
    let first = submit(&mut scheduler, 1, job(1, None)).commands;
    assert_eq!(first[0].server, keys[1]);
    assert_eq!(submit(&mut scheduler, 2, job(1, None)), transient::Actions::default());
    scheduler.update_drains(0, &drains(3, &[]));
    let second = scheduler.take_actions().commands;
    assert_eq!(second.iter().map(|command| command.server).collect::<Vec<_>>(), [keys[0]]);
}

/// Guards against a caller who waits for a job that no server may run, and against a refusal as not run
/// of a job of which a task may have run.
#[test]
fn a_job_without_any_server_left_is_refused_at_once_unless_it_may_have_run() {
    let (mut scheduler, _) = entry(&["saga", "kurume"]);
    let all = drains(1, &["saga", "kurume"]);
    // One that waits.
    submit(&mut scheduler, 7, job(2, None));
    submit(&mut scheduler, 1, job(1, None));
    scheduler.update_drains(0, &all);
    assert_eq!(scheduler.take_actions().finished, NOT_RUN, "job 7 runs");
    // One that arrives.
    assert_eq!(submit(&mut scheduler, 1, job(1, None)).finished, NOT_RUN);
    scheduler.update_drains(0, &drains(2, &["saga"]));
    assert_eq!(submit(&mut scheduler, 1, job(1, None)).finished, []);
    assert_eq!(
        submit(&mut scheduler, 2, job(1, Some("saga"))).finished,
        [(Id(2), JobOutcome::NotRun)]
    );
}

/// Guards against a refusal that comes only with the deadline of a job whose starts were all refused by
/// sidecars, and against a refusal as not run after another outcome.
#[test]
fn a_job_whose_starts_were_all_refused_counts_as_not_run() {
    let unavailable = Outcome::NotStarted(Reason::Unavailable);
    for (outcomes, finished) in [
        ([unavailable, unavailable], &NOT_RUN[..]),
        ([unavailable, Outcome::Stopped], &[]),
        ([Outcome::Done, unavailable], &[]),
        ([unavailable, Outcome::NotStarted(Reason::Expired)], &[]),
    ] {
        let (mut scheduler, _) = entry(&["saga", "kurume"]);
        let commands = submit(&mut scheduler, 1, job(2, None)).commands;
        scheduler.update_drains(0, &drains(1, &["saga", "kurume"]));
        for (command, outcome) in commands.iter().zip(outcomes) {
            end(&mut scheduler, command, outcome);
        }
        let actions = scheduler.take_actions();
        assert_eq!((&actions.finished[..], actions.commands), (finished, vec![]), "{outcomes:?}");
    }
}

/// Guards against jobs that are refused for a drain although a server of which the entry has just
/// learned can run them.
#[test]
fn a_job_without_a_known_server_waits() {
    let (mut scheduler, _) = entry(&[]);
    scheduler.update_drains(0, &drains(1, &["saga"]));
    assert_eq!(submit(&mut scheduler, 1, job(1, None)).finished, []);
    let sidecar = Sidecar { name: "s".to_owned(), addr: addr(), server: server("a", "saga") };
    scheduler.describe(sidecar);
    scheduler.refuse_drained();
    assert_eq!(scheduler.take_actions().finished, NOT_RUN);
}

/// A sidecar with a lease of the leader and of an entry, whose server has capacity for one attempt.
fn sidecar(drains: Drains) -> sidecar::Sidecar {
    let mut sidecar = sidecar::Sidecar::new("s".to_owned(), addr(), 1, 1_000);
    let server = server("a", "saga");
    let identity = sidecar::Identity { server: server.id.clone(), addr: addr() };
    sidecar.announce(0, server, addr(), 1);
    sidecar.checked(0, 0, &identity, sidecar::Check::Present);
    let report = sidecar.report(0);
    sidecar.handle_commands(0, 0, &report, Commands { drains, ..commands() });
    sidecar.polled(0, 0, poll_reply());
    sidecar.renew(ENTRY, 10_000);
    sidecar.take_actions();
    sidecar
}

fn commands() -> Commands {
    Commands { term: 2, generation: 9, lease_ms: 10_000, ..Commands::default() }
}

fn poll_reply() -> sidecar::PollReply {
    sidecar::PollReply { clock_ms: 5, running: vec![], completions: vec![], truncated: false }
}

fn attempt(job: u64) -> Attempt {
    Attempt { task: Task { job: Id(job), step: 0, index: 0 }, number: 1 }
}

fn start(job: u64) -> Start {
    let needs = Resources { cpu_milli: 1_000, memory_mb: 1, accelerators: 0 };
    Start { attempt: attempt(job), needs, estimate_ms: 0, spec: Arc::from("spec") }
}

fn command(sidecar: &mut sidecar::Sidecar, job: u64) -> sidecar::Actions {
    sidecar.handle_start(0, sidecar::Source::Entry(ENTRY), start(job), 0, 500);
    sidecar.take_actions()
}

fn refused(job: u64) -> (Entry, Attempt, Outcome, u64) {
    (ENTRY, attempt(job), Outcome::NotStarted(Reason::Unavailable), 0)
}

/// Guards against a drain that stops what runs, lets waiting attempts start, or does not end.
#[test]
fn a_drained_sidecar_refuses_starts_and_lets_running_attempts_end() {
    let mut sidecar = sidecar(Drains::default());
    assert_eq!(command(&mut sidecar, 1).starts, [start(1)]);
    sidecar.start_answered(1, attempt(1), sidecar::StartResult::Started);
    assert_eq!(command(&mut sidecar, 2), sidecar::Actions::default(), "it waits for capacity");
    sidecar.update_drains(2, &drains(3, &["kurume"]));
    assert!(sidecar.load(2).open && !sidecar.is_drained());
    sidecar.update_drains(2, &drains(4, &["kurume", "saga"]));
    let actions = sidecar.take_actions();
    assert_eq!((actions.replies, actions.stops), (vec![refused(2)], vec![]));
    assert!(!sidecar.load(2).open && sidecar.is_drained());
    let report = sidecar.report(0);
    let Backend::Present(server) = &report.backend else { panic!("{report:?}") };
    assert!(!server.draining, "the server is not about to leave");
    assert_eq!(report.drains, 4);
    assert_eq!(command(&mut sidecar, 3).replies, [refused(3)]);
    // An older version, as of an entry that was paused, changes nothing.
    sidecar.update_drains(3, &drains(3, &[]));
    assert_eq!(command(&mut sidecar, 4).replies, [refused(4)]);
    let done = queue::Outcome::Done;
    let completions = vec![briargauge::protocol::wire::queue::Completion {
        number: 1,
        attempt: Some(attempt(1)),
        outcome: done,
    }];
    sidecar.polled(4, 5, sidecar::PollReply { completions, ..poll_reply() });
    assert_eq!(sidecar.take_actions().replies, [(ENTRY, attempt(1), Outcome::Done, 5)]);
    sidecar.update_drains(6, &drains(5, &[]));
    assert!(sidecar.load(6).open);
    assert_eq!(command(&mut sidecar, 5).starts, [start(5)]);
}

/// Guards against starts by a sidecar that has just started: its first answer of a leader brings the
/// drains with the fencing token, without which it cannot call its server.
#[test]
fn a_new_process_of_a_sidecar_starts_nothing_in_a_drained_data_centre() {
    let mut sidecar = sidecar(drains(1, &["saga"]));
    assert!(sidecar.has_fencing_token());
    let actions = command(&mut sidecar, 1);
    assert_eq!((actions.starts, actions.replies), (vec![], vec![refused(1)]));
}

/// Guards against a start by a command in the same answer of the leader as the drain, or in an answer of
/// an earlier leader, and against drains that are lost with commands that are outdated.
#[test]
fn drains_take_effect_before_the_commands_beside_them() {
    let mut sidecar = sidecar(Drains::default());
    let report = sidecar.report(0);
    let batch = Batch { number: 1, starts: vec![start(1)], stops: Vec::new() };
    let answer = Commands { drains: drains(2, &["saga"]), batches: vec![batch], ..commands() };
    sidecar.handle_commands(1, 0, &report, answer);
    let actions = sidecar.take_actions();
    assert_eq!((actions.starts, actions.report_due), (vec![], true));
    let refused = NotStarted { attempt: attempt(1), reason: Reason::Unavailable };
    assert_eq!(sidecar.report(0).not_started, [refused]);
    let deposed = Commands { term: 1, drains: drains(1, &[]), ..commands() };
    sidecar.handle_commands(2, 0, &report, deposed);
    assert!(sidecar.is_drained());
    let deposed = Commands { term: 1, drains: drains(3, &[]), ..commands() };
    sidecar.handle_commands(3, 0, &report, deposed);
    assert!(!sidecar.is_drained(), "what was committed stays so");
}
