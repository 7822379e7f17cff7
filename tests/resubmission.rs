//! Transient jobs that callers submit again to the same entry while attempts of the job before are
//! not known to have ended.

use std::collections::{BTreeMap, BTreeSet};

use briargauge::{
    coordination::transient::{JobOutcome, Key, Scheduler, StartCommand},
    protocol::{
        queue::{Attempt, Id, Job, Queue, Resources, Step, Task},
        wire::{
            queue::{Server, ServerId, Sidecar},
            work::{Load, Outcome, Reply, Revision},
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

fn sidecar(name: &str) -> Sidecar {
    let server = Server {
        id: ServerId { id: name.to_owned(), started_at_ms: 1 },
        service: "quotes".to_owned(),
        data_centre: "saga".to_owned(),
        capacity: Resources { cpu_milli: 64_000, memory_mb: 1_000, accelerators: 0 },
        labels: Vec::new(),
        draining: false,
    };
    Sidecar { name: name.to_owned(), addr: "127.0.0.1:1".parse().unwrap(), server }
}

fn scheduler() -> Scheduler {
    let mut scheduler = Scheduler::default();
    for name in ["a", "b", "c"] {
        let key = scheduler.describe(sidecar(name));
        scheduler.connected(key);
        scheduler.update_load(0, key, &OPEN);
    }
    scheduler
}

/// A job of two steps with two tasks each, of which the second follows the first.
fn job() -> Job {
    let needs = Resources { cpu_milli: 1_000, memory_mb: 1, accelerators: 0 };
    let first = Step { tasks: 2, needs, estimate_ms: 100, ..Step::default() };
    let second = Step { after: vec![0], ..first.clone() };
    Job::new("spec".to_owned(), vec![first, second])
}

fn submit(scheduler: &mut Scheduler, now_ms: u64) -> Vec<StartCommand> {
    let queue = Queue {
        service: "quotes".to_owned(),
        max_attempts: 3,
        slo_factor_milli: 1_500,
        slo_ms: 50,
        ..Queue::default()
    };
    scheduler.submit(now_ms, Id(1), &queue, job());
    scheduler.take_actions().commands
}

fn reply(outcome: Outcome) -> Reply {
    Reply { outcome, took_ms: 100, clock_ms: 0, load: OPEN }
}

fn end(scheduler: &mut Scheduler, command: &StartCommand, outcome: Option<Outcome>) {
    let reply = outcome.map(reply);
    scheduler.ended(2, command.server, command.start.attempt, reply.as_ref());
}

/// Guards against two runs of a task at the same time: the end of an attempt of the job before made
/// a task ready whose new attempt was running.
#[test]
fn a_job_submitted_again_waits_for_the_attempts_of_the_job_before() {
    let mut scheduler = scheduler();
    let before = submit(&mut scheduler, 0);
    assert!(scheduler.cancel(Id(1)));
    scheduler.take_actions();
    assert_eq!(submit(&mut scheduler, 1), [], "the attempts may still run");
    end(&mut scheduler, &before[0], None);
    let commands = scheduler.take_actions().commands;
    let attempts: Vec<Attempt> = commands.iter().map(|command| command.start.attempt).collect();
    assert_eq!(attempts, [Attempt { number: 2, ..before[0].start.attempt }]);
}

/// Guards against a job that is answered as completed while a task of it has not ended: a task that
/// ended twice was counted twice.
#[test]
fn a_task_done_in_the_job_before_counts_once() {
    let mut scheduler = scheduler();
    let before = submit(&mut scheduler, 0);
    scheduler.cancel(Id(1));
    let again = submit(&mut scheduler, 1);
    let mut second_step = Vec::new();
    for command in before.iter().chain(&again) {
        end(&mut scheduler, command, Some(Outcome::Done));
        let actions = scheduler.take_actions();
        assert_eq!(actions.finished, [], "the second step has not ended");
        second_step.extend(actions.commands);
    }
    assert_eq!(second_step.len(), 2);
    for command in &second_step {
        assert_eq!(scheduler.take_actions().finished, []);
        end(&mut scheduler, command, Some(Outcome::Done));
    }
    assert_eq!(scheduler.take_actions().finished, [(Id(1), JobOutcome::Completed)]);
}

/// Guards against two runs of a task at the same time after a pause of an entry's process: it started
/// a job again whose caller had left during the pause and sent the job to another entry.
#[test]
fn a_paused_entry_starts_nothing_until_it_has_noticed_which_callers_left() {
    let mut scheduler = scheduler();
    scheduler.observe(0);
    let before = submit(&mut scheduler, 0);
    scheduler.observe(2_000);
    for command in &before {
        let stopped = reply(Outcome::Stopped);
        let attempt = command.start.attempt;
        scheduler.ended(2_000, command.server, attempt, Some(&stopped));
    }
    assert_eq!(scheduler.take_actions().commands, []);
    scheduler.observe(2_060);
    scheduler.tick(2_060);
    assert_eq!(scheduler.take_actions().commands.len(), 2, "the caller has not left");
}

/// Attempts that were commanded and have not ended, and the tasks that have ended as done since the
/// job was last submitted.
#[derive(Default)]
struct Commanded {
    commands: BTreeMap<Attempt, Key>,
    done: BTreeSet<Task>,
}

impl Commanded {
    /// Adds the commands. Returns whether each task has at most one attempt, and none before the
    /// step that it depends on is done.
    fn add(&mut self, commands: Vec<StartCommand>) -> bool {
        commands.into_iter().all(|command| {
            let attempt = command.start.attempt;
            let first_done = self.done.iter().filter(|task| task.step == 0).count() == 2;
            let alone = self.commands.keys().all(|other| other.task != attempt.task);
            self.commands.insert(attempt, command.server);
            alone && (attempt.task.step == 0 || first_done) && !self.done.contains(&attempt.task)
        })
    }
}

/// Guards against two attempts of a task at the same time, starts before their turn and jobs that
/// end early, in random histories of submissions, cancels and ends.
#[test]
fn no_history_commands_a_task_twice_at_the_same_time() {
    fn holds(steps: Vec<(u8, u8)>) -> bool {
        let (mut scheduler, mut commanded) = (scheduler(), Commanded::default());
        for (now_ms, (step, choice)) in (1..).zip(steps) {
            let chosen = usize::from(choice) % commanded.commands.len().max(1);
            let chosen = commanded.commands.iter().nth(chosen).map(|(a, key)| (*a, *key));
            match (step % 6, chosen) {
                (0, _) if !scheduler.knows(Id(1)) => {
                    commanded.done.clear();
                    if !commanded.add(submit(&mut scheduler, now_ms)) {
                        return false;
                    }
                }
                (1, _) => drop(scheduler.cancel(Id(1))),
                (2.., Some((attempt, key))) => {
                    let outcome = match step % 6 {
                        2 => None,
                        3 => Some(Outcome::Stopped),
                        _ => Some(Outcome::Done),
                    };
                    commanded.commands.remove(&attempt);
                    if outcome == Some(Outcome::Done) && scheduler.knows(Id(1)) {
                        commanded.done.insert(attempt.task);
                    }
                    scheduler.ended(now_ms, key, attempt, outcome.map(reply).as_ref());
                }
                _ => {}
            }
            let actions = scheduler.take_actions();
            let early = !actions.finished.is_empty() && commanded.done.len() < 4;
            if early || !commanded.add(actions.commands) {
                return false;
            }
        }
        true
    }
    quickcheck::QuickCheck::new().tests(5_000).quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}
