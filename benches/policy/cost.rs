//! Cost of a decision.

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
const ROUNDS: usize = 200_000;
const PER_MS: usize = 25;
const SHAPES: [usize; 3] = [11, 360, 3_600];

/// Prints the mean time of a decision, which is one `poll` that starts an attempt and one `ended`,
/// at 80% of the slots in use.
pub fn print() {
    for servers in SHAPES {
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
    let (mut now, mut seq, mut flying) = (1, 0, Vec::new());
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
        dispatcher.submit(now, execution, spec).expect("there is room");
        start.elapsed()
    };
    let wanted = servers * usize::from(SLOTS) * 8 / 10;
    // Every team has tasks waiting.
    for _ in 0..ACCOUNTS.min(wanted / 100 + 20) {
        submit(&mut dispatcher, now);
    }
    let (mut decided, mut submitted, mut rounds) = (0, 0, 0);
    while rounds < ROUNDS {
        if dispatcher.queued() < 1_000 {
            submitted += submit(&mut dispatcher, now).as_nanos();
            continue;
        }
        // As many per ms as one core is to start: 25,000 a second.
        let start = Instant::now();
        let mut count = 0;
        while flying.len() < wanted && count < PER_MS {
            let Some(Action::Start { attempt, .. }) = dispatcher.poll(now, &mut random) else {
                break;
            };
            flying.push(attempt);
            count += 1;
        }
        rounds += count;
        for _ in 0..PER_MS.min(flying.len()) {
            let attempt = flying.swap_remove(random.random_range(0..flying.len()));
            let load = Load { slots: SLOTS, busy: SLOTS / 2, queued: 0 };
            let ended = Ended::Done { ran_us: 100_000 };
            dispatcher.ended(now, attempt, Some(load), ended);
        }
        decided += start.elapsed().as_nanos();
        now += 1_000;
    }
    let per_task = submitted as f64 / (ROUNDS as f64) / 1_000.0;
    (decided as f64 / ROUNDS as f64 / 1_000.0, per_task)
}
