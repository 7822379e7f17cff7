//! Tests of the choice of a backend server.

use briargauge::{
    coordination::{
        dispatch::{Dispatcher, Ended, Policy, Settings, Spec, TaskSpec},
        route::{Choice, Router, Task},
    },
    protocol::{
        id, job,
        wire::{
            control,
            sidecar::{Load, NotStarted},
        },
    },
};
use quickcheck::{Gen, QuickCheck};
use rand::SeedableRng;
use rand_pcg::Pcg64;

const SLOTS: u16 = 4;

fn announced_server(server: u64, dc: &str) -> control::Server {
    control::Server {
        incarnation: id::Incarnation(server),
        addr: ([127, 0, 0, 1], 1).into(),
        data_centre: dc.to_owned(),
        rack: "rack".to_owned(),
        slots: SLOTS,
        connections: 64,
        kinds: Vec::new(),
        size: job::Needs::default(),
        state: control::ServerState::Serving,
    }
}

fn task(mean_us: f64, queued: usize) -> Task {
    Task { mean_us, queued, excluded: None, restartable: false, avoids_reserved: false }
}

fn router(servers: &[(u64, &str)]) -> Router {
    let mut router = Router::new("own", &[("remote".to_owned(), 3_000)]);
    for (server, dc) in servers {
        router.upsert(1, &announced_server(*server, dc));
    }
    router.tick(1);
    router
}

/// Sends tasks until no server has capacity. Returns the servers in the order of the attempts.
fn fill(router: &mut Router, mean_us: f64) -> Vec<u64> {
    let groups: Vec<u32> = (0..router.groups.len() as u32).collect();
    let mut random = Pcg64::seed_from_u64(1);
    let mut order = Vec::new();
    while let Choice::Start(key) =
        router.choose(1, &groups, &task(mean_us, usize::MAX), &mut random)
    {
        order.push(router.servers[key.0].incarnation.0);
        router.record_sent(1, key, 1.0 / mean_us);
        router.record_load(1, key, None);
    }
    order
}

/// Guards against tasks that go to another data centre while the own one has free capacity, and
/// against tasks that wait in the own one although another has free capacity.
#[test]
fn own_data_centre_is_preferred_until_it_is_nearly_full() {
    let mut router = router(&[(1, "remote"), (2, "own"), (3, "remote")]);
    let order = fill(&mut router, 10_000.0);
    assert!(order[..SLOTS as usize - 1].iter().all(|s| *s == 2), "{order:?}");
    assert_eq!(order.len(), 3 * usize::from(SLOTS));
}

/// Guards against more attempts in flight than slots, and against an uneven load of equal servers.
#[test]
fn equal_servers_fill_evenly_up_to_their_slots() {
    let mut router = router(&[(0, "own"), (1, "own"), (2, "own")]);
    let order = fill(&mut router, 100_000.0);
    assert_eq!(order.len(), 3 * usize::from(SLOTS));
    for round in order.chunks(3) {
        let mut round = round.to_vec();
        round.sort_unstable();
        assert_eq!(round, [0, 1, 2]);
    }
}

/// Guards against attempts to a server that other entries have filled, as the load on a reply
/// shows.
#[test]
fn a_server_filled_by_other_entries_gets_no_attempts() {
    let mut router = router(&[(0, "own"), (1, "own")]);
    let key = router.key(id::Incarnation(0)).unwrap();
    router.record_load(1, key, Some(Load { slots: SLOTS, busy: SLOTS, queued: 2 }));
    router.update_or_free(1, key);
    assert!(fill(&mut router, 100_000.0).iter().all(|server| *server == 1));
}

/// Dispatcher that has learned that servers 0 and 1 are eight times as fast as servers 2 and 3.
fn learned_dispatcher(policy: Policy) -> (Dispatcher, Pcg64, u64, u64) {
    let settings = Settings { policy, data_centre: "own".to_owned(), ..Settings::default() };
    let mut dispatcher = Dispatcher::new(settings);
    let mut random = Pcg64::seed_from_u64(1);
    let changed = (0..4).map(|i| announced_server(i, "own")).collect();
    let revision = control::Revision { term: 1, number: 1 };
    let servers = control::Servers { revision, full: true, changed, removed: Vec::new() };
    dispatcher.set_servers(1, &servers);
    let (mut now, mut seq) = (1, 0);
    for _ in 0..60 {
        seq += 1;
        submit(&mut dispatcher, now, seq, 16);
        let starts = starts(&mut dispatcher, now, &mut random);
        now += 1_000_000;
        for (attempt, server) in starts {
            let ran_us = if server < 2 { 100_000 } else { 800_000 };
            let load = Load { slots: SLOTS, busy: 0, queued: 0 };
            dispatcher.ended(now, attempt, Some(load), Ended::Done { ran_us });
        }
        dispatcher.remove(now, id::Execution { epoch: id::Epoch(1), seq });
    }
    (dispatcher, random, now, seq)
}

fn submit(dispatcher: &mut Dispatcher, now: u64, seq: u64, tasks: usize) {
    let task =
        TaskSpec { kind: "kind".to_owned(), declared_ms: None, needs: job::Needs::default() };
    let tasks = vec![task; tasks];
    let account = id::Account("team".to_owned());
    let spec = Spec { account, tasks, deadline: now + 60_000_000, restartable: false };
    dispatcher.submit(now, id::Execution { epoch: id::Epoch(1), seq }, spec).unwrap();
}

fn starts(dispatcher: &mut Dispatcher, now: u64, random: &mut Pcg64) -> Vec<(id::Attempt, u64)> {
    use briargauge::coordination::dispatch::Action;
    let mut starts = Vec::new();
    while let Some(action) = dispatcher.poll(now, random) {
        if let Action::Start { attempt, incarnation } = action {
            starts.push((attempt, incarnation.0));
        }
    }
    starts
}

/// Guards against the last tasks of a job on a slow server although a fast one would complete them
/// earlier, and against idle slow servers while the queue is long. The baseline, round robin, does
/// the former.
#[test]
fn slow_servers_get_tasks_only_if_waiting_takes_longer() {
    let (mut dispatcher, mut random, now, seq) = learned_dispatcher(Policy::Briargauge);
    submit(&mut dispatcher, now, seq + 1, 9);
    let few = starts(&mut dispatcher, now, &mut random);
    assert!(few.iter().all(|start| start.1 < 2), "{few:?}");
    submit(&mut dispatcher, now, seq + 2, 100);
    let many = starts(&mut dispatcher, now, &mut random);
    assert!(many.iter().any(|start| start.1 >= 2), "{many:?}");
    let (mut naive, mut random, now, seq) = learned_dispatcher(Policy::Naive);
    submit(&mut naive, now, seq + 1, 9);
    assert!(starts(&mut naive, now, &mut random).iter().any(|start| start.1 >= 2));
}

/// Guards against further attempts to a server that cannot start any: each refusal costs two
/// messages.
#[test]
fn refusing_servers_get_no_attempts() {
    for reason in [
        NotStarted::WrongIncarnation,
        NotStarted::NoLease,
        NotStarted::Unreachable,
        NotStarted::Draining,
    ] {
        let (mut dispatcher, mut random, now, seq) = learned_dispatcher(Policy::Briargauge);
        submit(&mut dispatcher, now, seq + 1, 8);
        let first = starts(&mut dispatcher, now, &mut random);
        let (attempt, refusing) = first[0];
        let load = Load { slots: SLOTS, busy: 0, queued: 0 };
        dispatcher.ended(now, attempt, Some(load), Ended::NotStarted(reason));
        submit(&mut dispatcher, now, seq + 2, 100);
        let more = starts(&mut dispatcher, now, &mut random);
        assert!(!more.is_empty());
        assert!(more.iter().all(|start| start.1 != refusing), "{reason:?}: {more:?}");
    }
}

/// Guards against a choice from outdated lists: a chosen server must be in the registry and have a
/// free slot, also when only a sample of many servers is considered.
#[test]
fn chosen_servers_are_registered_and_have_free_slots() {
    fn holds(steps: Vec<(u8, u8)>) -> Result<(), String> {
        let mut random = Pcg64::seed_from_u64(1);
        let mut router = Router::new("own", &[]);
        let mut in_flight = [0_u32; 40];
        let mut now = 1;
        for (server, step) in steps {
            let server = u64::from(server % 40);
            let dc = ["own", "remote", "other"][server as usize % 3];
            now += 1_000;
            let key = router.key(id::Incarnation(server));
            match (step % 8, key) {
                (0..=1, _) => {
                    router.upsert(now, &announced_server(server, dc));
                }
                (2, _) if in_flight[server as usize] == 0 => router.remove(id::Incarnation(server)),
                (3, Some(key)) if in_flight[server as usize] > 0 => {
                    in_flight[server as usize] -= 1;
                    router.record_ended(now, key, 1e-5);
                    let busy = u16::from(step) % (SLOTS + 1);
                    router.record_load(now, key, Some(Load { slots: SLOTS, busy, queued: 0 }));
                    router.update_or_free(now, key);
                }
                (4, _) => router.tick(now),
                _ => {}
            }
            let groups: Vec<u32> = (0..router.groups.len() as u32).collect();
            let task = task(100_000.0, usize::MAX);
            if let Choice::Start(key) = router.choose(now, &groups, &task, &mut random) {
                let chosen = &router.servers[key.0];
                let index = chosen.incarnation.0 as usize;
                if chosen.delisted || in_flight[index] >= u32::from(SLOTS) {
                    return Err(format!("{chosen:?} was chosen although it has left or is full"));
                }
                in_flight[index] += 1;
                router.record_sent(now, key, 1e-5);
            }
        }
        Ok(())
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 4))
        .tests(200)
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> Result<(), String>);
}
