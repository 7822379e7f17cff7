//! Starts at a backend server that is cold.

use super::*;

/// Attempts for which the server has capacity.
const ATTEMPTS: u64 = 16;

fn new_sidecar() -> Sidecar {
    Sidecar::new("s".to_owned(), addr(), 1, LEASE_MS)
}

/// A sidecar with a server that announced at 0 ms that it is cold for `cold_left_ms`.
fn cold(cold_left_ms: u64) -> Sidecar {
    let server = Server {
        capacity: Resources { cpu_milli: 600 * ATTEMPTS, memory_mb: ATTEMPTS, accelerators: 0 },
        ..server(1, 0)
    };
    let mut sidecar = new_sidecar();
    sidecar.announce(0, server.clone(), addr(), 1);
    sidecar.record_cold_time(0, &server.id, cold_left_ms);
    serving(sidecar, server)
}

/// Commands as many starts as the server has capacity for, which wait for their turn. Returns the
/// number of those that start at once.
fn command_all(sidecar: &mut Sidecar, now_ms: u64) -> usize {
    (0..ATTEMPTS)
        .map(|job| {
            sidecar.handle_start(now_ms, ENTRY, start(attempt(job, 1)), now_ms, now_ms + 9_000);
            sidecar.take_actions().starts.len()
        })
        .sum()
}

/// Returns how many attempts run at `now_ms` if `running` do before.
fn running_at(sidecar: &mut Sidecar, now_ms: u64, running: usize) -> usize {
    sidecar.tick(now_ms);
    running + sidecar.take_actions().starts.len()
}

/// Guards against a wave of tasks at a server that has just started: the naive rule starts 16, of which
/// 12 are above its warm share.
#[test]
fn a_cold_server_is_used_step_by_step() {
    let mut sidecar = cold(2_000);
    assert_eq!(sidecar.load(0).used.cpu_milli, 600 * 12, "withheld");
    let at_once = command_all(&mut sidecar, 0);
    assert_eq!(at_once, 4);
    assert_eq!(sidecar.load(0).used.cpu_milli, 600 * ATTEMPTS);
    let later = running_at(&mut sidecar, 1_000, at_once);
    assert_eq!(later, 10);
    assert_eq!(running_at(&mut sidecar, 2_000, later), 16);
}

/// Guards against a change for servers that announce no cold time.
#[test]
fn a_server_that_is_not_cold_is_used_at_once() {
    let mut sidecar = cold(0);
    assert_eq!(sidecar.load(0).used.cpu_milli, 0);
    assert_eq!(command_all(&mut sidecar, 0), 16);
}

/// Guards against a wave of tasks after a drain, at a server that announced its cold time during it.
#[test]
fn a_warm_up_follows_a_drain() {
    for (cold_left_ms, half_ms) in [(0, 500), (4_000, 2_000)] {
        let mut sidecar = cold(0);
        sidecar.record_cold_time(0, &server(1, 0).id, cold_left_ms);
        sidecar.begin_warmup(0);
        let at_once = command_all(&mut sidecar, 0);
        assert_eq!(at_once, 4);
        assert_eq!(running_at(&mut sidecar, half_ms, at_once), 10);
    }
}

/// Guards against a task that never starts as it needs more than the first share, and is not sent as
/// the sidecar shows less to be free.
#[test]
fn a_large_attempt_starts_at_an_idle_server_that_is_cold() {
    let mut sidecar = cold(0);
    let needs = Resources { cpu_milli: 600 * 12, memory_mb: 1, accelerators: 0 };
    let large = |job| Start { needs, ..start(attempt(job, 1)) };
    sidecar.handle_start(0, ENTRY, large(1), 0, 500);
    assert_eq!(sidecar.take_actions().starts.len(), 1);
    let ends = [(1, attempt(1, 1), queue::Outcome::Done)];
    sidecar.polled(1, 2, PollReply { clock_ms: 6, ..poll_reply(&[], &ends) });
    sidecar.begin_warmup(10);
    assert_eq!(sidecar.load(10).used.cpu_milli, 600 * 4);
    sidecar.handle_start(10, ENTRY, large(2), 10, 500);
    assert_eq!(sidecar.take_actions().starts.len(), 1);
}

/// Guards against a server that is limited in the midst of its work.
#[test]
fn a_cold_time_that_is_announced_later_limits_nothing() {
    let mut sidecar = cold(0);
    sidecar.record_cold_time(3_000, &server(1, 0).id, 2_000);
    assert_eq!(command_all(&mut sidecar, 3_000), 16);
}
