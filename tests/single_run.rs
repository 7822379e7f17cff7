//! Transient jobs with several entries, sidecars and backend servers: drawn pauses, restarts, stalled
//! connections, lost and late calls, announcements of other writers, and callers that send a job again
//! to another entry.

#[path = "single_run/world.rs"]
mod world;

use std::collections::BTreeSet;

use world::{
    Drawn, KINDS, KINDS_OF_CLAIMS, KINDS_WITH_CUT_CALLERS, KINDS_WITH_REFUSALS, KINDS_WITH_SILENCE,
    World,
};

/// Shortest time by which a call without an answer is carried out late: the platform says seconds, and
/// that the time in such a call may count from its arrival.
const LATE_MIN_MS: u64 = 2_000;

/// Plays a history of at most `most` of the drawn faults, each of one of `kinds`.
fn played(seed: u64, faults: &[Drawn], most: usize, kinds: &[u8]) -> quickcheck::TestResult {
    played_in(World::new(seed), seed, faults, most, kinds)
}

fn played_in(
    world: World,
    seed: u64,
    faults: &[Drawn],
    most: usize,
    kinds: &[u8],
) -> quickcheck::TestResult {
    let kept = faults.iter().take(most);
    let kind = |drawn: u8| kinds[usize::from(drawn) % kinds.len()];
    let faults: Vec<Drawn> =
        kept.map(|(drawn, at, target, length)| (kind(*drawn), *at, *target, *length)).collect();
    match world.with_drawn_clocks().play(&faults) {
        Ok(_) => quickcheck::TestResult::passed(),
        Err(trace) => quickcheck::TestResult::error(format!("{seed} {faults:?}: {trace}")),
    }
}

fn draw_histories(count: u64, holds: fn(u64, Vec<Drawn>) -> quickcheck::TestResult) {
    quickcheck::QuickCheck::new().tests(count).quickcheck(holds);
}

fn holds_with_one_fault(seed: u64, faults: Vec<Drawn>) -> quickcheck::TestResult {
    played(seed, &faults, 1, &KINDS_WITH_CUT_CALLERS)
}

fn holds(seed: u64, faults: Vec<Drawn>) -> quickcheck::TestResult {
    played(seed, &faults, 8, &KINDS)
}

fn holds_with_cut_callers(seed: u64, faults: Vec<Drawn>) -> quickcheck::TestResult {
    played(seed, &faults, 8, &KINDS_WITH_CUT_CALLERS)
}

fn holds_with_silence(seed: u64, faults: Vec<Drawn>) -> quickcheck::TestResult {
    played(seed, &faults, 8, &KINDS_WITH_SILENCE)
}

fn holds_with_silence_of_seconds(seed: u64, faults: Vec<Drawn>) -> quickcheck::TestResult {
    let world = World::new(seed).with_late_calls_after(LATE_MIN_MS);
    played_in(world, seed, &faults, 8, &KINDS_WITH_SILENCE)
}

fn holds_with_refusals(seed: u64, faults: Vec<Drawn>) -> quickcheck::TestResult {
    played(seed, &faults, 8, &KINDS_WITH_REFUSALS)
}

fn holds_with_claims(seed: u64, faults: Vec<Drawn>) -> quickcheck::TestResult {
    played(seed, &faults, 8, &KINDS_OF_CLAIMS)
}

/// The same if backend servers are silent and carry calls out later, too.
#[test]
#[ignore = "known_red"]
fn no_history_with_silence_runs_a_transient_task_twice_at_the_same_time() {
    draw_histories(2_000, holds_with_silence);
}

/// The same if such calls are carried out seconds later.
#[test]
#[ignore = "known_red"]
fn no_history_with_silence_of_seconds_runs_a_transient_task_twice_at_the_same_time() {
    draw_histories(2_000, holds_with_silence_of_seconds);
}

/// The same if connections to a live backend server are refused, too.
#[test]
#[ignore = "takes minutes"]
fn no_history_with_refusals_runs_a_transient_task_twice_at_the_same_time() {
    draw_histories(2_000, holds_with_refusals);
}

/// Plays a fixed history.
fn play(seed: u64, faults: &[Drawn]) {
    if let Err(trace) = World::new(seed).play(faults) {
        panic!("{trace}");
    }
}

fn play_with_drawn_clocks(seed: u64, faults: &[Drawn]) {
    if let Err(trace) = World::new(seed).with_drawn_clocks().play(faults) {
        panic!("{trace}");
    }
}

/// Guards against two runs of a transient task at the same time on servers that are up, after any
/// one disruption.
#[test]
fn no_disruption_runs_a_transient_task_twice_at_the_same_time() {
    draw_histories(100, holds_with_one_fault);
}

/// Guards against two runs of a transient task at the same time on servers that are up, when
/// disruptions come together.
#[test]
fn no_history_runs_a_transient_task_twice_at_the_same_time() {
    draw_histories(100, holds);
}

/// The same with more histories.
#[test]
#[ignore = "takes minutes"]
fn no_history_of_many_runs_a_transient_task_twice_at_the_same_time() {
    draw_histories(2_000, holds);
}

/// Guards against two runs of a transient task at the same time if entries do not hear, either, that
/// their callers have left.
#[test]
fn no_history_of_few_with_cut_callers_runs_a_transient_task_twice_at_the_same_time() {
    draw_histories(100, holds_with_cut_callers);
}

/// The same with more histories.
#[test]
#[ignore = "takes minutes"]
fn no_history_with_cut_callers_runs_a_transient_task_twice_at_the_same_time() {
    draw_histories(2_000, holds_with_cut_callers);
}

/// Guards against two runs of a transient task at the same time, and against a live server that is not
/// used any more, after announcements and notices of other writers, late ones, and restarts.
#[test]
fn no_history_of_claims_runs_a_transient_task_twice_at_the_same_time() {
    draw_histories(100, holds_with_claims);
}

/// The same with more histories.
#[test]
#[ignore = "takes minutes"]
fn no_history_of_many_claims_runs_a_transient_task_twice_at_the_same_time() {
    draw_histories(2_000, holds_with_claims);
}

/// Guards against an attempt that outlives the lease of its entry because its sidecar is paused when
/// the lease expires: the backend server's lease ends up to 1,020 ms after the pause began, which can
/// be after callers have sent the job to another entry.
#[test]
fn a_paused_sidecar_does_not_keep_the_attempts_of_an_entry_that_ended() {
    play(0, &[(1, 13_618, 112, 944), (3, 33_302, 130, 0)]);
}

/// Guards against a lease that a late renewal makes longer: the answer of a paused sidecar was late by
/// almost the time limit of a renewal, and the entry took the delay for a difference of the clocks.
#[test]
fn a_late_renewal_does_not_lengthen_the_lease_of_an_entry_that_ends() {
    play(256, &[(1, 30_730, 32, 18_670), (1, 33_228, 32, 935), (3, 22_902, 34, 0)]);
}

/// Guards against an attempt of a late command that runs under the lease that its server got before:
/// the command was held up for 450 ms, its entry had ended, and its sidecar was paused.
#[test]
fn a_late_command_starts_nothing_that_outlasts_its_entry_for_long() {
    play(95_473_628, &[(3, 50_722, 1, 0), (1, 1_322, 0, 689), (7, 65_431, 46, 35_620)]);
}

/// Guards against a job that runs on after its caller has left: a paused entry read the request late,
/// gave it its whole deadline, and a cut kept the end of the connection from it.
#[test]
fn a_request_that_was_read_late_does_not_outlast_its_callers_deadline() {
    play_with_drawn_clocks(0, &[(16, 0, 68, 1_501), (0, 0, 191, 8_302)]);
}

/// Guards against an attempt that counts as lost while it runs: another writer announces a server with
/// another id and the same start.
#[test]
fn an_announcement_under_another_id_does_not_end_an_attempt_that_runs() {
    play_with_drawn_clocks(0, &[(17, 422, 0, 0)]);
}

/// Guards against a live server that is not used any more after another writer has announced three
/// times that it drains.
#[test]
fn a_drain_announced_by_another_writer_does_not_last() {
    play_with_drawn_clocks(0, &[(19, 1_373, 0, 21_354)]);
}

/// Guards against leases that expire between two renewals because the round trip is long: nothing is
/// stopped but the attempts of callers that have left.
#[test]
fn a_slow_link_does_not_let_leases_expire() {
    let trace = World::new(0).with_delay(150).play(&[]).unwrap();
    let mut left = BTreeSet::new();
    let mut stopped = Vec::new();
    for line in &trace {
        let job = line.split_inclusive(')').find_map(|part| part.find("Id(").map(|at| &part[at..]));
        if line.ends_with("leaves") {
            left.insert(job);
        } else if line.ends_with("Stopped") && !left.contains(&job) {
            stopped.push(line);
        }
    }
    assert_eq!(stopped, Vec::<&String>::new());
}

/// Guards against an attempt that counts as not started while the call to start it is still to be
/// carried out: its server is silent, and gives it a lease from the arrival of the call.
#[test]
fn a_start_before_its_server_counts_as_lost_runs_on_alone() {
    play(13, &[(11, 899, 50, 2_736)]);
}

/// The same if the call is carried out after the server has counted as lost.
#[test]
fn a_start_after_its_server_counts_as_lost_runs_nothing() {
    play(144, &[(11, 2_143, 200, 1_968)]);
}

/// The same if the call is carried out after the server has answered again, with the fencing token
/// that the call carries.
#[test]
fn a_start_after_its_server_answers_again_runs_nothing() {
    play(401, &[(11, 3_575, 49, 1_314)]);
}

/// Guards against an attempt that counts as stopped while it runs: its server is silent, and a late
/// poll gives it a lease from the arrival of the poll.
#[test]
fn a_late_poll_does_not_keep_an_attempt_that_counts_as_stopped() {
    play(181, &[(11, 2_608, 194, 2_056)]);
}

/// Guards against an attempt that counts as lost while it runs: two connections to its server are
/// refused, and its lease has not expired.
#[test]
fn refused_connections_do_not_end_an_attempt_that_runs() {
    play(0, &[(15, 3_920, 38, 1_055)]);
}
