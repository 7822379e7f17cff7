//! Starts of durable tasks after the end of a drain.

use super::*;

/// Guards against a wave of durable tasks at a server whose drain has ended: the naive rule commands 16
/// starts, of which 12 are above the warm share.
#[test]
fn a_server_is_used_step_by_step_after_a_drain() {
    for (drained, expected) in [(false, [16, 16, 16]), (true, [4, 10, 16])] {
        let mut fixture = Fixture::new();
        fixture.submit(1, "/q/1", job(16));
        let mut scheduler = Scheduler::new(1, 0, fixture.state.queues());
        fixture.release_inherited(&mut scheduler);
        let key = scheduler.add_server(server(16));
        scheduler.sync(0, key, &[], fixture.state.queues());
        if drained {
            scheduler.server_mut(key).unwrap().begin_warmup(0);
        }
        let mut running = 0;
        let started = [0, 500, 1_000].map(|now_ms| {
            scheduler.assign(now_ms, fixture.state.queues());
            running += starts(scheduler.commands(key)).len();
            running
        });
        assert_eq!(started, expected);
    }
}

/// Guards against a task that never starts as it needs more than the first share.
#[test]
fn a_task_that_needs_the_whole_server_starts_in_a_warm_up() {
    let mut fixture = Fixture::new();
    fixture.submit(1, "/q/1", job(1));
    let mut scheduler = Scheduler::new(1, 0, fixture.state.queues());
    fixture.release_inherited(&mut scheduler);
    let key = scheduler.add_server(server(1));
    scheduler.sync(0, key, &[], fixture.state.queues());
    scheduler.server_mut(key).unwrap().begin_warmup(0);
    scheduler.assign(0, fixture.state.queues());
    assert_eq!(starts(scheduler.commands(key)).len(), 1);
}
