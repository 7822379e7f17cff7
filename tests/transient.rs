//! Scheduling of transient jobs under the patterns of load and failure that it is designed for.

#[path = "transient/stalls.rs"]
mod stalls;

use std::net::SocketAddr;

use briargauge::{
    coordination::transient::{JobOutcome, Key, Scheduler, StartCommand},
    protocol::{
        queue::{Attempt, Id, Job, Queue, Resources, Step},
        wire::{
            queue::{Reason, Server, ServerId, Sidecar},
            work::{Load, Loss, Outcome, Reply, Revision},
        },
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

/// A crash under an attempt that ran, which is certain.
const CRASHED: Outcome = Outcome::Lost(Loss { began: true, confirmed: true });
/// Connections to the server of an attempt that ran are refused.
const REFUSED: Outcome = Outcome::Lost(Loss { began: true, confirmed: false });
/// A crash of a server that had not confirmed the start of the attempt.
const NOT_BEGUN: Outcome = Outcome::Lost(Loss { began: false, confirmed: true });

fn addr() -> SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

/// A sidecar whose backend server has capacity for `tasks` tasks of one core.
fn sidecar(name: &str, tasks: u64) -> Sidecar {
    let server = Server {
        id: ServerId { id: name.to_owned(), started_at_ms: 1 },
        service: "quotes".to_owned(),
        data_centre: "saga".to_owned(),
        capacity: Resources { cpu_milli: tasks * 1_000, memory_mb: 1_000, accelerators: 0 },
        labels: vec![format!("rack-{name}")],
        draining: false,
    };
    Sidecar { name: name.to_owned(), addr: addr(), server }
}

fn scheduler(servers: &[(&str, u64)]) -> (Scheduler, Vec<Key>) {
    let mut scheduler = Scheduler::default();
    let keys = servers.iter().map(|(name, tasks)| {
        let key = scheduler.describe(sidecar(name, *tasks));
        scheduler.connected(key);
        scheduler.update_load(0, key, &OPEN);
        key
    });
    let keys = keys.collect();
    (scheduler, keys)
}

fn queue() -> Queue {
    Queue {
        service: "quotes".to_owned(),
        max_attempts: 3,
        slo_factor_milli: 1_500,
        slo_ms: 50,
        ..Queue::default()
    }
}

/// A job of one step. Its target time is 1.5 times `estimate_ms`, plus 50 ms.
fn job(tasks: u16, estimate_ms: u32) -> Job {
    let needs = Resources { cpu_milli: 1_000, memory_mb: 1, accelerators: 0 };
    let step = Step { tasks, needs, estimate_ms, ..Step::default() };
    Job::new("spec".to_owned(), vec![step])
}

fn submit(scheduler: &mut Scheduler, now_ms: u64, id: u64, job: Job) -> Vec<StartCommand> {
    scheduler.submit(now_ms, Id(id), &queue(), job);
    scheduler.take_actions().commands
}

fn reply(outcome: Outcome, took_ms: u64) -> Reply {
    Reply { outcome, took_ms, clock_ms: 0, load: OPEN }
}

fn end(
    scheduler: &mut Scheduler,
    now_ms: u64,
    command: &StartCommand,
    outcome: Outcome,
    took_ms: u64,
) -> Vec<StartCommand> {
    scheduler.ended(now_ms, command.server, command.start.attempt, Some(&reply(outcome, took_ms)));
    scheduler.take_actions().commands
}

fn places(commands: &[StartCommand]) -> Vec<(u64, Key)> {
    commands.iter().map(|command| (command.start.attempt.task.job.0, command.server)).collect()
}

/// Guards against a job that a stopping entry accepts although its tasks have to run in turn: only its
/// longest chain was counted.
#[test]
fn the_declared_time_counts_the_tasks_for_which_no_capacity_is_free() {
    let (mut scheduler, keys) = scheduler(&[("a", 2), ("b", 2)]);
    let declared_ms =
        |scheduler: &Scheduler, job: &Job| scheduler.declared_ms(&queue().service, job);
    assert_eq!(declared_ms(&scheduler, &job(1, 200)), 250);
    assert_eq!(declared_ms(&scheduler, &job(14, 200)), 900);
    let used = Resources { cpu_milli: 2_000, memory_mb: 2, accelerators: 0 };
    scheduler.update_load(0, keys[0], &Load { used, ..OPEN });
    assert_eq!(declared_ms(&scheduler, &job(14, 200)), 1_600);
    scheduler.update_load(0, keys[1], &Load { used, ..OPEN });
    assert_eq!(declared_ms(&scheduler, &job(14, 200)), 3_000, "one after the other");
    let mut alone = job(14, 200);
    alone.steps[0].max_per_server = Some(1);
    scheduler.update_load(0, keys[0], &OPEN);
    scheduler.update_load(0, keys[1], &OPEN);
    assert_eq!(declared_ms(&scheduler, &alone), 1_600);
}

/// Pattern: a wide job whose tasks need no capacity. Guards against an entry that holds a call for each of
/// its tasks at the same time.
#[test]
fn attempts_are_limited_although_tasks_need_no_capacity() {
    let (scheduler, keys) = scheduler(&[("a", 1), ("b", 1)]);
    let mut scheduler = scheduler.with_attempts_max(3);
    let mut wide = job(1_000, 10);
    wide.steps[0].needs = Resources::default();
    let commands = submit(&mut scheduler, 0, 1, wide);
    assert_eq!(commands.len(), 3);
    assert_eq!(end(&mut scheduler, 10, &commands[0], Outcome::Done, 10).len(), 1);
    let outstanding: usize = keys.iter().map(|key| scheduler.outstanding(*key)).sum();
    assert_eq!(outstanding, 3);
}

/// Pattern: a burst. Guards against starting jobs in the order of their arrival: short jobs would
/// be late because they wait behind long ones that have time left.
#[test]
fn the_most_urgent_waiting_task_starts_first() {
    let (mut scheduler, keys) = scheduler(&[("a", 1)]);
    let first = submit(&mut scheduler, 0, 1, job(1, 100));
    submit(&mut scheduler, 1, 2, job(1, 1_000));
    submit(&mut scheduler, 2, 3, job(1, 60));
    let next = end(&mut scheduler, 50, &first[0], Outcome::Done, 50);
    assert_eq!(places(&next), [(3, keys[0])]);
}

/// Pattern: more load than capacity. Guards against an order by the latest start alone: jobs that
/// are late already would start first, and all others would become late, too.
#[test]
fn jobs_that_cannot_be_on_time_start_last() {
    let (mut scheduler, keys) = scheduler(&[("a", 1)]);
    let first = submit(&mut scheduler, 0, 1, job(1, 100));
    submit(&mut scheduler, 0, 2, job(1, 100));
    submit(&mut scheduler, 300, 3, job(1, 100));
    let next = end(&mut scheduler, 310, &first[0], Outcome::Done, 310);
    assert_eq!(places(&next), [(3, keys[0])]);
    let last = end(&mut scheduler, 320, &next[0], Outcome::Done, 10);
    assert_eq!(places(&last), [(2, keys[0])]);
}

/// Pattern: more load than capacity. Guards against a late job that waits until its caller has left
/// instead of being refused: other jobs use all capacity until then.
#[test]
fn a_late_job_that_has_not_started_is_refused_after_200_ms_without_capacity() {
    let (mut scheduler, _) = scheduler(&[("a", 1)]);
    submit(&mut scheduler, 0, 1, job(2, 100));
    submit(&mut scheduler, 0, 2, job(1, 100));
    // Job 2 must end by 200 ms and takes 100 ms, so it is late after 100 ms plus 30 ms of slack.
    submit(&mut scheduler, 150, 3, job(1, 100));
    scheduler.tick(199);
    assert_eq!(scheduler.take_actions().finished, []);
    scheduler.tick(200);
    assert_eq!(scheduler.take_actions().finished, [(Id(2), JobOutcome::NotRun)]);
    assert!(scheduler.knows(Id(1)) && scheduler.knows(Id(3)));
}

/// Pattern: more load than capacity. Guards against a job that is neither started nor refused: if
/// many jobs whose start has been commanded wait for a server, no other job is tried.
#[test]
fn waiting_jobs_with_commanded_starts_count_as_a_capacity_shortage() {
    let (mut scheduler, keys) = scheduler(&[("a", 20)]);
    let cpu = |cpu_milli| Resources { cpu_milli, ..OPEN.used };
    let full = Load { used: cpu(20_000), queued: cpu(1_000), ..OPEN };
    let commands: Vec<StartCommand> =
        (1..=20).flat_map(|id| submit(&mut scheduler, 0, id, job(1, 300))).collect();
    for command in &commands {
        let reply = Reply { load: full, ..reply(Outcome::NotStarted(Reason::NoCapacity), 0) };
        scheduler.ended(0, command.server, command.start.attempt, Some(&reply));
    }
    assert_eq!(scheduler.take_actions().commands, []);
    scheduler.connected(keys[0]);
    submit(&mut scheduler, 1, 99, job(1, 100));
    scheduler.tick(300);
    assert_eq!(scheduler.take_actions().finished, [(Id(99), JobOutcome::NotRun)]);
}

/// Pattern: two services, one with more load than capacity. Guards against jobs that wait behind
/// those of another service, whose servers are full.
#[test]
fn a_full_service_does_not_delay_another() {
    let (mut scheduler, _) = scheduler(&[("a", 1)]);
    let mut other = sidecar("b", 1);
    other.server.service = "visits".to_owned();
    let key = scheduler.describe(other);
    for id in 0..40 {
        submit(&mut scheduler, 0, id, job(1, 300));
    }
    scheduler.connected(key);
    scheduler.update_load(1, key, &OPEN);
    let queue = Queue { service: "visits".to_owned(), ..queue() };
    scheduler.submit(1, Id(99), &queue, job(1, 300));
    assert_eq!(places(&scheduler.take_actions().commands), [(99, key)]);
}

/// Pattern: the restart of all instances after a loss of power. Guards against jobs that are
/// refused for a capacity shortage while the entry is still connecting to the sidecars.
#[test]
fn no_job_is_refused_for_a_shortage_while_sidecars_reconnect() {
    let (mut scheduler, keys) = scheduler(&[("a", 1), ("b", 1)]);
    keys.iter().for_each(|key| scheduler.disconnected(*key));
    submit(&mut scheduler, 0, 1, job(2, 100));
    scheduler.tick(300);
    scheduler.connected(keys[0]);
    scheduler.tick(310);
    assert_eq!(scheduler.take_actions().commands.len(), 1);
    submit(&mut scheduler, 320, 2, job(1, 100));
    scheduler.tick(480);
    scheduler.connected(keys[1]);
    scheduler.tick(490);
    let actions = scheduler.take_actions();
    assert_eq!((actions.commands.len(), actions.finished), (1, Vec::new()));
    submit(&mut scheduler, 520, 3, job(1, 500));
    scheduler.tick(719);
    assert_eq!(scheduler.take_actions().finished, []);
    scheduler.tick(720);
    assert_eq!(scheduler.take_actions().finished, [(Id(2), JobOutcome::NotRun)]);
}

/// Pattern: servers of different speed. Guards against giving each server the same share of the
/// load.
#[test]
fn the_faster_server_is_preferred_once_its_speed_is_known() {
    let (mut scheduler, keys) = scheduler(&[("a", 8), ("b", 8)]);
    let mut now_ms = 0;
    for id in 0..20 {
        for command in submit(&mut scheduler, now_ms, id, job(2, 100)) {
            let took_ms = if command.server == keys[0] { 200 } else { 80 };
            end(&mut scheduler, now_ms + took_ms, &command, Outcome::Done, took_ms);
        }
        now_ms += 300;
    }
    let commands = submit(&mut scheduler, now_ms, 99, job(4, 100));
    assert!(commands.iter().all(|command| command.server == keys[1]), "{commands:?}");
}

/// Pattern: a server that has become slow. Guards against estimating its speed from ended attempts
/// alone: on a slow server, few have ended.
#[test]
fn a_server_whose_attempts_take_long_is_avoided_before_they_end() {
    let (mut scheduler, keys) = scheduler(&[("a", 8), ("b", 8)]);
    let commands = submit(&mut scheduler, 0, 1, job(1, 100));
    assert_eq!(places(&commands), [(1, keys[0])]);
    scheduler.tick(400);
    let commands = submit(&mut scheduler, 400, 2, job(2, 100));
    assert!(commands.iter().all(|command| command.server == keys[1]), "{commands:?}");
}

/// Pattern: stalled tasks. Guards against a job that waits for a stalled task until its caller
/// leaves, and against a second attempt before the first one has ended.
#[test]
fn a_stalled_attempt_is_stopped_and_its_task_starts_elsewhere() {
    let (mut scheduler, keys) = scheduler(&[("a", 2), ("b", 2)]);
    let commands = submit(&mut scheduler, 0, 1, job(1, 100));
    scheduler.tick(900);
    assert_eq!(scheduler.take_actions().stops, []);
    scheduler.tick(901);
    let actions = scheduler.take_actions();
    assert_eq!(actions.stops, [(keys[0], commands[0].start.attempt)]);
    assert_eq!(actions.commands, []);
    scheduler.tick(1_000);
    assert_eq!(scheduler.take_actions().stops, [], "the command to stop is sent once");
    let again = end(&mut scheduler, 1_010, &commands[0], Outcome::Stopped, 1_010);
    assert_eq!(places(&again), [(1, keys[1])]);
    assert_eq!(again[0].start.attempt.number, 2);
}

/// Pattern: a server that fails all attempts. Guards against assigning all tasks to it, since it
/// always has free capacity.
#[test]
fn a_server_that_fails_all_attempts_is_paused_and_then_gets_one_task() {
    let (mut scheduler, keys) = scheduler(&[("a", 8), ("b", 1)]);
    for id in 1..=2 {
        let commands = submit(&mut scheduler, 0, id, job(1, 10));
        assert_eq!(places(&commands), [(id, keys[0])]);
        let again = end(&mut scheduler, 1, &commands[0], Outcome::Failed, 1);
        assert_eq!(places(&again), [(id, keys[1])], "another server than the one that failed it");
        end(&mut scheduler, 2, &again[0], Outcome::Done, 10);
    }
    assert_eq!(submit(&mut scheduler, 3, 3, job(3, 10)).len(), 1);
    let probe = submit(&mut scheduler, 1_002, 4, job(3, 500));
    assert_eq!(places(&probe).iter().filter(|(_, key)| *key == keys[0]).count(), 1);
}

/// Pattern: jobs that fail on every server. Guards against pausing healthy servers because such
/// jobs fail there.
#[test]
fn only_the_first_failure_of_a_job_counts_against_a_server() {
    let (mut scheduler, keys) = scheduler(&[("a", 8), ("b", 8)]);
    for id in 1..=6 {
        let mut commands = submit(&mut scheduler, id, id, job(1, 10));
        while let Some(command) = commands.pop() {
            commands = end(&mut scheduler, id, &command, Outcome::Failed, 1);
        }
        assert!(!scheduler.knows(Id(id)), "job {id} has not failed after three attempts");
        // The tasks of this job succeed on both servers, so that failures there are not
        // consecutive.
        for command in submit(&mut scheduler, id, 100 + id, job(8, 10)) {
            end(&mut scheduler, id, &command, Outcome::Done, 10);
        }
    }
    let commands = submit(&mut scheduler, 10, 200, job(16, 10));
    assert_eq!(commands.len(), 16);
    assert!(commands.iter().any(|command| command.server == keys[0]));
    assert!(commands.iter().any(|command| command.server == keys[1]));
}

/// Guards against a task that never starts because each new attempt has a number which the backend
/// server has received before and so refuses.
#[test]
fn an_attempt_refused_as_outdated_is_followed_by_a_much_higher_number() {
    let (mut scheduler, _) = scheduler(&[("a", 1)]);
    let commands = submit(&mut scheduler, 0, 1, job(1, 100));
    let expired = Outcome::NotStarted(Reason::Expired);
    let again = end(&mut scheduler, 1, &commands[0], expired, 0);
    assert_eq!(again[0].start.attempt.number, 18);
}

/// Guards against starts of a step before the steps that it depends on are done.
#[test]
fn a_step_starts_once_the_steps_before_it_are_done() {
    let (mut scheduler, _) = scheduler(&[("a", 8)]);
    let first = job(2, 10).steps.remove(0);
    let second = Step { after: vec![0], tasks: 1, ..first.clone() };
    let chained = Job::new("spec".to_owned(), vec![first, second]);
    let commands = submit(&mut scheduler, 0, 1, chained);
    assert_eq!(commands.len(), 2);
    assert_eq!(end(&mut scheduler, 10, &commands[0], Outcome::Done, 10), []);
    let last = end(&mut scheduler, 11, &commands[1], Outcome::Done, 11);
    assert_eq!(last[0].start.attempt.task.step, 1);
    scheduler.ended(20, last[0].server, last[0].start.attempt, Some(&reply(Outcome::Done, 9)));
    assert_eq!(scheduler.take_actions().finished, [(Id(1), JobOutcome::Completed)]);
}

/// Guards against start commands to a sidecar that cannot be reached, and against a task that is
/// lost with the connection.
#[test]
fn a_task_lost_with_its_connection_starts_elsewhere() {
    let (mut scheduler, keys) = scheduler(&[("a", 1), ("b", 1)]);
    let commands = submit(&mut scheduler, 0, 1, job(1, 100));
    scheduler.disconnected(commands[0].server);
    let attempt: Attempt = commands[0].start.attempt;
    scheduler.ended(10, commands[0].server, attempt, None);
    let again = scheduler.take_actions().commands;
    assert_eq!(places(&again), [(1, keys[1])]);
}

/// Pattern: a task that crashes its backend server. Guards against one task that takes down server
/// after server until its caller leaves.
#[test]
fn a_job_is_given_up_once_two_servers_were_lost_with_an_attempt_of_a_task() {
    let (mut scheduler, keys) = scheduler(&[("a", 1), ("b", 1), ("c", 1)]);
    let first = submit(&mut scheduler, 0, 1, job(1, 100));
    assert_eq!(places(&first), [(1, keys[0])]);
    let second = end(&mut scheduler, 50, &first[0], CRASHED, 0);
    assert_eq!(places(&second), [(1, keys[1])]);
    scheduler.ended(100, keys[1], second[0].start.attempt, Some(&reply(CRASHED, 0)));
    let actions = scheduler.take_actions();
    assert_eq!(actions.commands, []);
    assert_eq!(actions.finished, [(Id(1), JobOutcome::Failed)]);
    assert!(!scheduler.knows(Id(1)));
}

/// Pattern: a rack loses power. Guards against giving up a job because two of its servers failed
/// for a reason that has nothing to do with it, and against a task that has no limit then.
#[test]
fn a_server_lost_at_the_same_time_as_others_allows_a_task_one_more_attempt() {
    let (mut scheduler, _) = scheduler(&[("a", 1), ("b", 1), ("c", 1), ("d", 1)]);
    let first = submit(&mut scheduler, 0, 1, job(1, 100));
    let others = submit(&mut scheduler, 0, 2, job(2, 100));
    let second = end(&mut scheduler, 50, &first[0], CRASHED, 0);
    assert_eq!(places(&second).len(), 1);
    let lost = Some(reply(CRASHED, 0));
    for (command, at_ms) in others.iter().zip([400, 450]) {
        scheduler.ended(at_ms, command.server, command.start.attempt, lost.as_ref());
    }
    scheduler.cancel(Id(2));
    scheduler.take_actions();
    scheduler.ended(500, second[0].server, second[0].start.attempt, lost.as_ref());
    scheduler.update_load(1_000, second[0].server, &OPEN);
    let third = scheduler.take_actions();
    assert_eq!((third.finished, third.commands.len()), (Vec::new(), 1));
    let third = &third.commands[0];
    scheduler.ended(1_050, third.server, third.start.attempt, lost.as_ref());
    assert_eq!(scheduler.take_actions().finished, [(Id(1), JobOutcome::Failed)]);
}

/// So many servers that two of them may be kept for suspects.
const NINE: [(&str, u64); 9] =
    [("a", 1), ("b", 1), ("c", 1), ("d", 1), ("e", 1), ("f", 1), ("g", 1), ("h", 1), ("i", 1)];

/// A scheduler whose sidecars have described their servers.
fn described(servers: &[(&str, u64)]) -> (Scheduler, Vec<Key>) {
    let (mut scheduler, keys) = scheduler(servers);
    for ((name, tasks), key) in servers.iter().zip(&keys) {
        start_incarnation(&mut scheduler, 0, *key, &sidecar(name, *tasks).server, 1);
    }
    (scheduler, keys)
}

/// The sidecar of a server has heard its incarnation of this number.
fn start_incarnation(
    scheduler: &mut Scheduler,
    now_ms: u64,
    key: Key,
    server: &Server,
    number: u32,
) {
    let id = ServerId { started_at_ms: number.into(), ..server.id.clone() };
    let revision = Revision { incarnation: number, change: 0 };
    scheduler.describe_server(key, revision, Server { id, ..server.clone() });
    scheduler.update_load(now_ms, key, &Load { revision, ..OPEN });
}

/// Ends the attempt of a command, as connections to its server are refused.
fn refuse(scheduler: &mut Scheduler, now_ms: u64, command: &StartCommand) -> Vec<StartCommand> {
    let revision = Revision { incarnation: 1, change: 0 };
    let load = Load { revision, open: false, lost: true, ..OPEN };
    let reply = Reply { load, ..reply(REFUSED, 0) };
    scheduler.ended(now_ms, command.server, command.start.attempt, Some(&reply));
    scheduler.take_actions().commands
}

/// Two commands of the only task of job 1, both to servers that refuse connections since.
fn two_refusals(scheduler: &mut Scheduler) -> Vec<StartCommand> {
    let first = submit(scheduler, 0, 1, job(1, 100));
    let second = refuse(scheduler, 1_200, &first[0]);
    assert_eq!(refuse(scheduler, 2_400, &second[0]), [], "the servers may have crashed");
    first.into_iter().chain(second).collect()
}

/// Pattern: paths to servers that are cut and refuse connections. Guards against a job that is given up
/// although its servers run on, and against one that does not start again.
#[test]
fn a_job_is_not_given_up_when_servers_that_refused_connections_answer_again() {
    let (mut scheduler, keys) = described(&NINE);
    let commands = two_refusals(&mut scheduler);
    scheduler.tick(2_700);
    assert_eq!(scheduler.take_actions(), Default::default(), "this is about to show");
    let revision = Revision { incarnation: 1, change: 0 };
    scheduler.update_load(2_800, commands[0].server, &Load { revision, ..OPEN });
    let third = scheduler.take_actions();
    assert_eq!((third.commands.len(), third.finished), (1, Vec::new()));
    assert!(keys.contains(&third.commands[0].server));
    scheduler.update_load(2_900, commands[1].server, &Load { revision, ..OPEN });
    assert_eq!(end(&mut scheduler, 3_000, &third.commands[0], Outcome::Done, 100), []);
}

/// Pattern: a task that crashes its backend server. Guards against one task that takes down server
/// after server as refused connections prove nothing.
#[test]
fn a_job_is_given_up_once_other_incarnations_of_two_servers_have_answered() {
    let (mut scheduler, keys) = described(&NINE);
    let commands = two_refusals(&mut scheduler);
    for (number, command) in commands.iter().enumerate() {
        assert_eq!(scheduler.take_actions().finished, [], "{number} crashes are certain");
        let at = keys.iter().position(|key| *key == command.server).unwrap();
        let server = sidecar(NINE[at].0, 1).server;
        start_incarnation(&mut scheduler, 4_300, command.server, &server, 2);
    }
    assert_eq!(scheduler.take_actions().finished, [(Id(1), JobOutcome::Failed)]);
}

/// Guards against giving up a job whose task was only sent to servers that crashed at that moment. It
/// starts alone, as it may yet be what crashed them.
#[test]
fn crashes_of_servers_on_which_a_task_had_not_begun_do_not_count() {
    let (mut scheduler, _) = scheduler(&[("a", 1), ("b", 1), ("c", 1), ("d", 1)]);
    let mut commands = submit(&mut scheduler, 0, 1, job(1, 100));
    for (number, outcome) in [CRASHED, NOT_BEGUN, NOT_BEGUN].into_iter().enumerate() {
        let now_ms = number as u64 * 1_000;
        let command = commands.pop().unwrap();
        commands.extend(end(&mut scheduler, now_ms, &command, outcome, 0));
        scheduler.update_load(now_ms + 500, command.server, &OPEN);
        scheduler.tick(now_ms + 500);
        commands.extend(scheduler.take_actions().commands);
        assert!(scheduler.knows(Id(1)), "after {outcome:?}");
    }
    end(&mut scheduler, 3_000, &commands[0], CRASHED, 0);
    assert!(!scheduler.knows(Id(1)), "two servers have crashed under it");
}

/// Guards against a task that never starts again as its servers neither answer nor start again.
#[test]
fn a_task_waits_a_limited_time_until_it_is_known_whether_its_servers_crashed() {
    let (mut scheduler, _) = described(&NINE);
    two_refusals(&mut scheduler);
    scheduler.tick(6_100);
    assert_eq!(scheduler.take_actions(), Default::default());
    scheduler.tick(6_300);
    let actions = scheduler.take_actions();
    assert_eq!((actions.commands.len(), actions.finished), (1, Vec::new()));
}

/// Guards against giving up a job for events that say nothing about its tasks: broken connections,
/// refusals and stops.
#[test]
fn broken_connections_refusals_and_stops_do_not_count_as_lost_servers() {
    let (mut scheduler, _) = scheduler(&[("a", 1), ("b", 1)]);
    let mut commands = submit(&mut scheduler, 0, 1, job(1, 100));
    let unavailable = reply(Outcome::NotStarted(Reason::Unavailable), 0);
    let no_answer = reply(Outcome::NotStarted(Reason::NoAnswer), 0);
    let stopped = reply(Outcome::Stopped, 0);
    let outcomes = [None, Some(unavailable), Some(no_answer), Some(stopped)];
    for (number, outcome) in outcomes.iter().cycle().take(12).enumerate() {
        let now_ms = number as u64 * 300;
        let command = commands.pop().unwrap();
        scheduler.ended(now_ms, command.server, command.start.attempt, outcome.as_ref());
        scheduler.assign(now_ms + 250);
        let actions = scheduler.take_actions();
        assert_eq!(actions.finished, [], "after {outcome:?}");
        commands = actions.commands;
    }
}

/// Pattern: a task that crashes its backend server. Guards against a second crash that ends other
/// tasks with the suspect, and against a suspect that cannot be told from them.
#[test]
fn a_task_whose_server_crashed_runs_next_on_a_server_of_its_own() {
    let (mut scheduler, keys) = scheduler(&[("a", 8), ("b", 8)]);
    let first = submit(&mut scheduler, 0, 1, job(1, 100));
    let beside = submit(&mut scheduler, 0, 2, job(1, 100));
    assert_ne!(first[0].server, beside[0].server);
    assert_eq!(end(&mut scheduler, 10, &first[0], CRASHED, 0), [], "job 2 runs there");
    let third = submit(&mut scheduler, 220, 3, job(1, 100));
    assert_eq!(places(&third), [(3, keys[0])], "the other server is held");
    let again = end(&mut scheduler, 230, &beside[0], Outcome::Done, 100);
    assert_eq!(places(&again), [(1, keys[1])]);
    assert_eq!(places(&submit(&mut scheduler, 240, 4, job(2, 100))), [(4, keys[0]), (4, keys[0])]);
    end(&mut scheduler, 330, &again[0], Outcome::Done, 100);
    let next = submit(&mut scheduler, 340, 5, job(1, 100));
    assert_eq!(places(&next), [(5, keys[1])], "the server is released");
}

/// Guards against tasks that start on a server without the label that they require: its sidecar knows
/// an incarnation of another kind, and the leader's list does not show it.
#[test]
fn a_sidecar_describes_its_server_before_the_leader_does() {
    let (mut scheduler, keys) = scheduler(&[("a", 4)]);
    let mut labelled = job(1, 100);
    labelled.steps[0].required_label = Some("rack-a".to_owned());
    let load = Load { revision: Revision { incarnation: 1, change: 0 }, ..OPEN };
    scheduler.update_load(1, keys[0], &load);
    assert!(scheduler.outdated(keys[0]));
    assert_eq!(submit(&mut scheduler, 1, 1, labelled.clone()), [], "its labels are not known");
    let mut other = sidecar("b", 4).server;
    other.id.started_at_ms = 2;
    scheduler.describe_server(keys[0], load.revision, other);
    scheduler.update_load(2, keys[0], &load);
    assert_eq!(scheduler.take_actions().commands, []);
    scheduler.describe(sidecar("a", 4));
    assert_eq!(submit(&mut scheduler, 3, 2, labelled), [], "the list is outdated");
    let commands = submit(&mut scheduler, 3, 3, job(1, 100));
    assert_eq!((commands.len(), commands[0].incarnation), (1, 1));
}
