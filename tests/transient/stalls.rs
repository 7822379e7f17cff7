//! Servers whose sidecars stop attempts that make no progress.

use super::*;

const WATCHED: Load = Load { watches_progress: true, ..OPEN };

/// Guards against a task that starts again at once at the server where it made no progress, and against
/// a job that fails because its attempts were stopped for that reason.
#[test]
fn a_task_that_its_sidecar_stopped_starts_on_another_server() {
    let (mut scheduler, keys) = scheduler(&[("a", 2), ("b", 2)]);
    let commands = submit(&mut scheduler, 0, 1, job(1, 100));
    assert_eq!(places(&commands), [(1, keys[0])]);
    let stopped = Reply { load: WATCHED, ..reply(Outcome::Stopped, 700) };
    let mut attempt = commands[0].start.attempt;
    let mut places = vec![keys[0]];
    for round in 1..=5 {
        let server = *places.last().unwrap();
        scheduler.ended(700 * round, server, attempt, Some(&stopped));
        let commands = scheduler.take_actions().commands;
        let [command] = &commands[..] else { panic!("round {round}: {commands:?}") };
        attempt = command.start.attempt;
        places.push(command.server);
    }
    assert!(places.windows(2).all(|pair| pair[0] != pair[1]), "{places:?}");
}

/// Guards against the loss of the work of tasks that take far longer than declared and advance: the rule
/// by the declared time stops them after 5 times 100 ms and 400 ms.
#[test]
fn an_attempt_that_its_sidecar_watches_is_not_stopped_for_its_run_time() {
    for (load, stops) in [(OPEN, 1), (WATCHED, 0)] {
        let (mut scheduler, keys) = scheduler(&[("a", 2), ("b", 2)]);
        submit(&mut scheduler, 0, 1, job(1, 100));
        for key in &keys {
            scheduler.update_load(1, *key, &load);
        }
        scheduler.tick(2_000);
        assert_eq!(scheduler.take_actions().stops.len(), stops);
    }
}

/// Guards against a change for servers whose progress is not watched.
#[test]
fn a_task_that_was_stopped_for_another_reason_may_start_on_the_same_server() {
    let (mut scheduler, keys) = scheduler(&[("a", 2), ("b", 2)]);
    let commands = submit(&mut scheduler, 0, 1, job(1, 100));
    let again = end(&mut scheduler, 100, &commands[0], Outcome::Stopped, 100);
    assert_eq!(places(&again), [(1, keys[0])]);
}
