//! Processor time of a dispatch decision and of a submission.

use std::time::Instant;

use briargauge::{
    coordination::dispatch::{Action, Dispatcher, Ended, Spec, TaskSpec},
    protocol::{
        id, job,
        wire::{control, sidecar::Load},
    },
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::{fake::SLOTS, world};

const ACCOUNTS: usize = 760;
const DECISIONS: usize = 200_000;
/// One core is to start 25,000 attempts a second.
const STARTS_PER_MS: usize = 25;
const SERVER_COUNTS: [usize; 3] = [11, 360, 3_600];

/// Prints the mean time of a decision and of a submitted task with 80% of the slots in use. A
/// decision is one `poll` that starts an attempt and one `ended`.
pub fn print() {
    for servers in SERVER_COUNTS {
        let (decision, submit) = measure(servers);
        println!(
            "scenario=cost servers={servers} teams={ACCOUNTS} measure=decision_us \
             policy=briargauge value={decision:.2}"
        );
        println!(
            "scenario=cost servers={servers} teams={ACCOUNTS} measure=submit_us_per_task \
             policy=briargauge value={submit:.2}"
        );
    }
}

fn measure(servers: usize) -> (f64, f64) {
    let mut random = Pcg64::seed_from_u64(1);
    let mut dispatcher = Dispatcher::default();
    let server = |i| {
        let mut server = world::announced_server(i, id::Incarnation(i as u64));
        // Nine data centres with three sizes each.
        server.data_centre = format!("dc{}", i % 9);
        server.size.cpus = 1 << (i % 3);
        server
    };
    let changed = (0..servers).map(server).collect();
    let revision = control::Revision { term: 1, number: 1 };
    let listed = control::Servers { revision, full: true, changed, removed: Vec::new() };
    dispatcher.set_servers(1, &listed);
    let (mut now, mut seq, mut in_flight) = (1, 0, Vec::new());
    let mut submit = |dispatcher: &mut Dispatcher, now| {
        seq += 1;
        let kind = |i: u64| TaskSpec {
            kind: format!("kind{}", (seq + i) % 20),
            declared_ms: Some(100),
            needs: job::Needs::default(),
        };
        let account = id::Account(format!("team{}", seq as usize % ACCOUNTS));
        let tasks = (0..100).map(kind).collect();
        let spec = Spec { account, tasks, deadline: now + 60_000_000, restartable: false };
        let execution = id::Execution { epoch: id::Epoch(1), seq };
        let start = Instant::now();
        dispatcher.submit(now, execution, spec).expect("the dispatcher accepts the submission");
        start.elapsed()
    };
    let in_flight_target = servers * usize::from(SLOTS) * 8 / 10;
    // Enough jobs of 100 tasks to fill the slots, each of another account.
    for _ in 0..ACCOUNTS.min(in_flight_target / 100 + 20) {
        submit(&mut dispatcher, now);
    }
    let (mut decide_ns, mut submit_ns, mut decisions) = (0, 0, 0);
    while decisions < DECISIONS {
        if dispatcher.queued() < 1_000 {
            submit_ns += submit(&mut dispatcher, now).as_nanos();
            continue;
        }
        let start = Instant::now();
        let mut count = 0;
        while in_flight.len() < in_flight_target && count < STARTS_PER_MS {
            let Some(Action::Start { attempt, .. }) = dispatcher.poll(now, &mut random) else {
                break;
            };
            in_flight.push(attempt);
            count += 1;
        }
        decisions += count;
        for _ in 0..STARTS_PER_MS.min(in_flight.len()) {
            let attempt = in_flight.swap_remove(random.random_range(0..in_flight.len()));
            let load = Load { slots: SLOTS, busy: SLOTS / 2, queued: 0 };
            let ended = Ended::Done { ran_us: 100_000 };
            dispatcher.ended(now, attempt, Some(load), ended);
        }
        decide_ns += start.elapsed().as_nanos();
        now += 1_000;
    }
    let submit_us_per_task = submit_ns as f64 / (DECISIONS as f64) / 1_000.0;
    (decide_ns as f64 / DECISIONS as f64 / 1_000.0, submit_us_per_task)
}
