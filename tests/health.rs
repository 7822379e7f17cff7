//! Health of backend servers: failures, missing replies, readmission, and the bound on ejections.

use briargauge::{
    coordination::{
        dispatch::{Action, Dispatcher, Ended, Spec, TaskSpec},
        health::{Access, Health},
    },
    protocol::{
        id, job,
        wire::{control, sidecar::Load},
    },
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

const SERVERS: u64 = 9;

/// Guards against a server that fails every task quickly and so attracts work.
#[test]
fn failing_server_is_ejected_within_two_tasks() {
    let mut health = Health::default();
    assert!(!health.failed(1, 1.5));
    assert_eq!(health.access(1, 1), Access::Single);
    assert!(health.is_suspect(1));
    assert!(health.failed(2, 1.5));
}

/// Guards against ejecting a server for occasional failures: one task in ten fails.
#[test]
fn occasional_failures_do_not_eject() {
    let mut health = Health::default();
    for _ in 0..1_000 {
        (0..9).for_each(|_| assert!(!health.answered()));
        assert!(!health.failed(1, 1.0));
    }
}

/// Guards against a server that fails half of its tasks staying in use.
#[test]
fn frequent_failures_eject() {
    let mut health = Health::default();
    let ejected = (0..10).any(|_| {
        health.answered();
        health.failed(1, 1.0)
    });
    assert!(ejected);
}

/// Guards against trials in quick succession, each of which costs a task, and against a server that
/// has recovered but stays ejected.
#[test]
fn trials_of_an_ejected_server_are_spaced_out() {
    let mut health = Health::default();
    health.eject(0);
    let mut now = 0;
    let mut intervals = Vec::new();
    for _ in 0..8 {
        let last = now;
        now = health.changes_at();
        intervals.push((now - last) / 1_000_000);
        assert_eq!(health.access(now - 1, 0), Access::Closed);
        assert_eq!(health.access(now, 1), Access::Closed, "an attempt is still in flight");
        assert_eq!(health.access(now, 0), Access::Trial);
        health.trial_started();
        health.failed(now, 1.0);
    }
    insta::assert_snapshot!(format!("{intervals:?} s"), @"[1, 2, 4, 8, 16, 32, 60, 60] s");
    assert!(health.answered());
    assert_ne!(health.access(now, 0), Access::Closed);
}

/// Guards against ejecting servers when the expected run times are wrong, so that all servers miss
/// replies.
#[test]
fn missed_replies_are_compared_with_peers() {
    let health = Health::default();
    assert!(health.is_unresponsive(10.0, 1.0));
    assert!(!health.is_unresponsive(10.0, 9.0));
}

/// Simulates `rounds` of 20 ms, in each of which four single tasks arrive. `end` gets the server of
/// an attempt and the time since its start, and returns how the attempt has ended, if it has.
/// Returns the dispatcher, the attempts sent to each server and the most servers ejected at once.
fn simulate(
    rounds: u64,
    end: impl Fn(u64, u64) -> Option<Ended>,
) -> (Dispatcher, Vec<usize>, usize) {
    let mut dispatcher = Dispatcher::default();
    let mut random = Pcg64::seed_from_u64(5);
    dispatcher.set_servers(1, &servers());
    let mut in_flight: Vec<(id::Attempt, u64, u64)> = Vec::new();
    let mut sent = vec![0; SERVERS as usize];
    let mut ejected_max = 0;
    for round in 0..rounds {
        let now = 1 + round * 20_000;
        for (attempt, server, since) in std::mem::take(&mut in_flight) {
            match end(server, now - since) {
                Some(ended) => {
                    let load = Load { slots: 8, busy: 0, queued: 0 };
                    dispatcher.ended(now, attempt, Some(load), ended);
                    dispatcher.remove(now, attempt.execution);
                }
                None => in_flight.push((attempt, server, since)),
            }
        }
        for i in 0..4 {
            let execution = id::Execution { epoch: id::Epoch(1), seq: round * 4 + i };
            let task = TaskSpec {
                kind: format!("kind{i}"),
                declared_ms: None,
                needs: job::Needs::default(),
            };
            let (account, tasks) = (id::Account("team".to_owned()), vec![task]);
            let spec = Spec { account, tasks, deadline: now + 60_000_000, restartable: false };
            let _ = dispatcher.submit(now, execution, spec);
        }
        while let Some(action) = dispatcher.poll(now, &mut random) {
            if let Action::Start { attempt, incarnation } = action {
                sent[incarnation.0 as usize] += 1;
                in_flight.push((attempt, incarnation.0, now));
            }
        }
        ejected_max = ejected_max.max(dispatcher.ejected());
    }
    (dispatcher, sent, ejected_max)
}

fn servers() -> control::Servers {
    let server = |i| control::Server {
        incarnation: id::Incarnation(i),
        addr: ([127, 0, 0, 1], 1).into(),
        data_centre: "dc".to_owned(),
        rack: "rack".to_owned(),
        slots: 8,
        connections: 64,
        kinds: Vec::new(),
        size: job::Needs::default(),
        state: control::ServerState::Serving,
    };
    let revision = control::Revision { term: 1, number: 1 };
    let changed = (0..SERVERS).map(server).collect();
    control::Servers { revision, full: true, changed, removed: Vec::new() }
}

fn done(after: u64) -> Option<Ended> {
    (after >= 100_000).then_some(Ended::Done { ran_us: 100_000 })
}

/// Guards against a failing server that keeps getting tasks. In 5 s it may get a few tasks at first
/// and then some trials.
#[test]
fn failing_server_gets_few_tasks() {
    let failed = Some(Ended::Failed { ran_us: 2_000 });
    let (dispatcher, sent, _) =
        simulate(250, |server, after| if server == 3 { failed } else { done(after) });
    assert_eq!(dispatcher.ejected(), 1);
    assert!(sent[3] <= 6, "{sent:?}");
}

/// Guards against a frozen server that is sent attempts up to its window again and again. There is
/// no fixed timeout: the server is found because its peers answer within 0.1 s.
#[test]
fn frozen_server_gets_few_tasks() {
    let (dispatcher, sent, _) =
        simulate(250, |server, after| if server == 3 { None } else { done(after) });
    assert_eq!(dispatcher.ejected(), 1);
    assert!(sent[3] <= 6, "{sent:?}");
}

/// Guards against ejecting more than a third of the servers when tasks fail on most or all of them,
/// or most do not answer: the remaining servers would get the whole load.
#[test]
fn at_most_a_third_of_the_servers_is_ejected() {
    let failed = Some(Ended::Failed { ran_us: 2_000 });
    let (_, sent, ejected_max) =
        simulate(250, |server, after| if server < 6 { failed } else { done(after) });
    assert!(ejected_max <= 3, "{ejected_max} ejected");
    assert!(sent[6..].iter().all(|s| *s > 0));
    let (_, _, ejected_max) = simulate(250, |_, _| failed);
    assert!(ejected_max <= 3, "{ejected_max} ejected");
    let (_, _, ejected_max) =
        simulate(250, |server, after| if server < 6 { None } else { done(after) });
    assert!(ejected_max <= 3, "{ejected_max} ejected");
}
