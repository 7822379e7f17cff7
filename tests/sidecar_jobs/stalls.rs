//! Decisions on a backend server whose attempts make no progress.

use super::*;

const STALL_MS: u64 = 300;

/// A sidecar that detects stalls, with a backend server that has capacity for `attempts` attempts.
fn watching(attempts: u64) -> Sidecar {
    let sidecar = Sidecar::new("s".to_owned(), addr(), 1, LEASE_MS);
    serving(sidecar.with_stall_detection(Some(STALL_MS)), server(1, 600 * attempts))
}

/// Handles an answer that lists attempts with their percentages.
fn poll(sidecar: &mut Sidecar, now_ms: u64, running: &[(Attempt, Option<u8>)]) {
    poll_with_ends(sidecar, now_ms, running, &[]);
}

fn poll_with_ends(
    sidecar: &mut Sidecar,
    now_ms: u64,
    running: &[(Attempt, Option<u8>)],
    ends: &[(u64, Attempt, queue::Outcome)],
) {
    let running = running.iter().map(|(attempt, percent)| listed(*attempt, *percent)).collect();
    let reply = PollReply { clock_ms: now_ms, running, ..poll_reply(&[], ends) };
    sidecar.polled(now_ms - 1, now_ms, reply);
}

/// Polls every 100 ms from `from_ms` on while attempts stay at their percentages, until some are
/// stopped. Returns when that is, with the actions; `None` if it is not before `until_ms`.
fn poll_until_stop(
    sidecar: &mut Sidecar,
    from_ms: u64,
    until_ms: u64,
    running: &[(Attempt, Option<u8>)],
) -> Option<(u64, Actions)> {
    (from_ms..until_ms).step_by(100).find_map(|now_ms| {
        poll(sidecar, now_ms, running);
        let actions = sidecar.take_actions();
        (!actions.stops.is_empty()).then_some((now_ms, actions))
    })
}

/// Handles start commands of the leader. Returns those that were refused.
fn command_of_leader(sidecar: &mut Sidecar, now_ms: u64, number: u64, job: u64) -> Vec<Reason> {
    let report = sidecar.report(0);
    let batch = Batch { number, starts: vec![start(attempt(job, 1))], ..Batch::default() };
    sidecar.handle_commands(
        now_ms,
        now_ms,
        &report,
        Commands { batches: vec![batch], ..commands(9) },
    );
    sidecar.report(0).not_started.iter().map(|refused| refused.reason).collect()
}

/// A sidecar whose server has stalled under an attempt, which has ended, and when it was detected.
fn stalled() -> (Sidecar, u64) {
    let mut sidecar = watching(2);
    command(&mut sidecar, 10, attempt(1, 1));
    let (now_ms, _) =
        poll_until_stop(&mut sidecar, 20, 1_000, &[(attempt(1, 1), Some(0))]).unwrap();
    let ends = [(1, attempt(1, 1), queue::Outcome::Stopped)];
    poll_with_ends(&mut sidecar, now_ms + 10, &[], &ends);
    sidecar.take_actions();
    (sidecar, now_ms)
}

/// Guards against tasks of entries and of the leader that wait for a server that hangs, and against
/// their start elsewhere before their end is proved.
#[test]
fn attempts_of_all_sources_are_stopped_at_a_server_that_hangs() {
    let mut sidecar = watching(2);
    command(&mut sidecar, 10, attempt(1, 1));
    assert_eq!(command_of_leader(&mut sidecar, 10, 1, 2), []);
    assert_eq!(sidecar.take_actions().starts, [start(attempt(2, 1))]);
    let running = [(attempt(1, 1), Some(10)), (attempt(2, 1), Some(40))];
    poll(&mut sidecar, 50, &running);
    assert!(sidecar.load(50).open && sidecar.load(50).watches_progress);
    sidecar.handle_start(60, ENTRY, start(attempt(3, 1)), 60, 10_000);
    let (now_ms, actions) = poll_until_stop(&mut sidecar, 150, 2_000, &running).unwrap();
    assert_eq!(now_ms, 50 + STALL_MS);
    assert_eq!(actions.stops, [attempt(1, 1), attempt(2, 1)]);
    let unavailable = work::Outcome::NotStarted(Reason::Unavailable);
    assert_eq!(actions.replies, [(Entry(7), attempt(3, 1), unavailable, 0)]);
    assert!(!sidecar.load(now_ms).open);
    assert_eq!(command_of_leader(&mut sidecar, now_ms, 2, 4), [Reason::Unavailable]);
    sidecar.stop_confirmed(now_ms + 10, attempt(1, 1));
    poll(&mut sidecar, now_ms + 20, &running);
    assert_eq!(sidecar.take_actions().replies, [], "the attempts are listed still");
    let stopped = queue::Outcome::Stopped;
    let ends = [(1, attempt(1, 1), stopped), (2, attempt(2, 1), stopped)];
    poll_with_ends(&mut sidecar, now_ms + 30, &[], &ends);
    let [(entry, ended, outcome, _)] = sidecar.take_actions().replies[..] else {
        panic!("replies")
    };
    assert_eq!((entry, ended, outcome), (Entry(7), attempt(1, 1), work::Outcome::Stopped));
    let completions = sidecar.report(0).completions;
    assert_eq!(completions.len(), 1);
    assert_eq!((completions[0].attempt, completions[0].outcome), (Some(attempt(2, 1)), stopped));
}

/// Guards against a change for deployments that do not set the time.
#[test]
fn nothing_is_stopped_without_the_setting() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 10, attempt(1, 1));
    assert!(poll_until_stop(&mut sidecar, 20, 9_000, &[(attempt(1, 1), Some(0))]).is_none());
    assert!(sidecar.load(9_000).open && !sidecar.load(9_000).watches_progress);
}

/// Guards against a conclusion from a server that does not tell the progress.
#[test]
fn attempts_without_a_percentage_are_not_stopped() {
    let mut sidecar = watching(2);
    command(&mut sidecar, 10, attempt(1, 1));
    assert!(poll_until_stop(&mut sidecar, 20, 9_000, &[(attempt(1, 1), None)]).is_none());
    assert!(sidecar.load(9_000).open && !sidecar.load(9_000).watches_progress);
}

/// Guards against attempts that are stopped since polls had no answer.
#[test]
fn a_time_without_answers_does_not_count() {
    let mut sidecar = watching(2);
    command(&mut sidecar, 10, attempt(1, 1));
    let running = [(attempt(1, 1), Some(3))];
    assert!(poll_until_stop(&mut sidecar, 20, 320, &running).is_none());
    sidecar.poll_failed(230, 530, false);
    let (now_ms, _) = poll_until_stop(&mut sidecar, 540, 2_000, &running).unwrap();
    assert_eq!(now_ms, 540 + STALL_MS);
}

/// Guards against a wave of tasks at a server that hangs on, and against one that is not used again.
/// The whole capacity would take two.
#[test]
fn one_trial_attempt_at_a_time_starts_at_a_stalled_server() {
    let (mut sidecar, stalled_ms) = stalled();
    let trial_ms = stalled_ms + 500;
    assert!(!sidecar.load(trial_ms - 1).open);
    assert_eq!(command(&mut sidecar, trial_ms - 1, attempt(2, 1)).starts, []);
    let load = sidecar.load(trial_ms);
    assert!(load.open);
    assert_eq!(load.used.cpu_milli, 600, "all but the needs of one attempt");
    assert_eq!(command(&mut sidecar, trial_ms, attempt(3, 1)).starts, [start(attempt(3, 1))]);
    assert!(!sidecar.load(trial_ms).open);
    let unavailable = work::Outcome::NotStarted(Reason::Unavailable);
    let refused = command(&mut sidecar, trial_ms + 1, attempt(4, 1));
    assert_eq!(refused.replies, [(Entry(7), attempt(4, 1), unavailable, 0)]);
    assert_eq!(command_of_leader(&mut sidecar, trial_ms + 1, 1, 5), [Reason::Unavailable]);
    poll(&mut sidecar, trial_ms + 50, &[(attempt(3, 1), Some(20))]);
    let load = sidecar.load(trial_ms + 50);
    assert!(load.open);
    assert_eq!(load.used.cpu_milli, 600, "what runs");
    assert_eq!(command(&mut sidecar, trial_ms + 60, attempt(6, 1)).starts.len(), 1);
}

/// Guards against trials that follow each other at a server that hangs on.
#[test]
fn the_pause_doubles_after_a_trial_that_stands_still() {
    let (mut sidecar, stalled_ms) = stalled();
    let trial_ms = stalled_ms + 500;
    command(&mut sidecar, trial_ms, attempt(2, 1));
    let running = [(attempt(2, 1), Some(0))];
    let (failed_ms, actions) =
        poll_until_stop(&mut sidecar, trial_ms + 1, trial_ms + 1_000, &running).unwrap();
    assert_eq!(actions.stops, [attempt(2, 1)]);
    let ends = [(2, attempt(2, 1), queue::Outcome::Stopped)];
    poll_with_ends(&mut sidecar, failed_ms + 10, &[], &ends);
    assert!(!sidecar.load(failed_ms + 999).open);
    assert!(sidecar.load(failed_ms + 1_000).open);
}

/// Guards against a server that counts as stalled after it has started again.
#[test]
fn a_new_incarnation_has_not_stalled() {
    let (mut sidecar, stalled_ms) = stalled();
    announce(&mut sidecar, stalled_ms + 100, server(2, 1_200), 1);
    poll(&mut sidecar, stalled_ms + 110, &[]);
    assert!(sidecar.load(stalled_ms + 110).open);
}
