//! Decisions of a sidecar: capacity, leases, and orders whose answers are missing.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use briargauge::{
    coordination::sidecar::{Actions, PollReply, Sidecar, Source, StartResult},
    protocol::{
        queue::{self, Attempt, Id, Resources, Task},
        wire::{
            queue::{Backend, Batch, Commands, Completion, Reason, Server, ServerId, Start},
            work::{self, Entry},
        },
    },
};

const LEASE_MS: u64 = 1_000;
const ENTRY: Source = Source::Entry(Entry(7));

fn addr() -> SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

fn attempt(job: u64, number: u32) -> Attempt {
    Attempt { task: Task { job: Id(job), step: 0, index: 0 }, number }
}

fn server(started_at_ms: u64, cpu_milli: u64) -> Server {
    Server {
        id: ServerId { id: "b".to_owned(), started_at_ms },
        service: "quotes".to_owned(),
        data_centre: "saga".to_owned(),
        capacity: Resources { cpu_milli, memory_mb: 100, accelerators: 0 },
        labels: Vec::new(),
        draining: false,
    }
}

fn start(attempt: Attempt) -> Start {
    let needs = Resources { cpu_milli: 600, memory_mb: 1, accelerators: 0 };
    Start { attempt, needs, spec: Arc::from("spec") }
}

fn commands(generation: u64) -> Commands {
    Commands { term: 1, generation, lease_ms: 10_000, ..Commands::default() }
}

fn poll_reply(running: &[Attempt], completions: &[(u64, Attempt, queue::Outcome)]) -> PollReply {
    let completion = |(number, attempt, outcome): &(u64, Attempt, queue::Outcome)| Completion {
        number: *number,
        attempt: Some(*attempt),
        outcome: *outcome,
    };
    PollReply {
        clock_ms: 5,
        running: running.to_vec(),
        completions: completions.iter().map(completion).collect(),
    }
}

/// A sidecar whose backend server holds one task at a time, with an entry's lease until 10 s.
fn sidecar() -> Sidecar {
    let mut sidecar = Sidecar::new("s".to_owned(), addr(), 1, LEASE_MS);
    sidecar.announce(0, server(1, 1_000), addr(), 1);
    let report = sidecar.report(0);
    sidecar.commanded(0, 0, &report, commands(9));
    sidecar.polled(0, 0, poll_reply(&[], &[]));
    sidecar.renew(Entry(7), 10_000);
    sidecar.take_actions();
    sidecar
}

fn command(sidecar: &mut Sidecar, now_ms: u64, attempt: Attempt) -> Actions {
    sidecar.command(now_ms, ENTRY, start(attempt), now_ms, now_ms + 500);
    sidecar.take_actions()
}

/// Guards against starts beyond the capacity: what is being stopped still takes its part.
#[test]
fn a_second_task_waits_until_the_first_has_ended() {
    let mut sidecar = sidecar();
    assert_eq!(command(&mut sidecar, 0, attempt(1, 1)).starts.len(), 1);
    assert_eq!(command(&mut sidecar, 0, attempt(2, 1)).starts.len(), 0);
    sidecar.start_answered(1, attempt(1, 1), StartResult::Started);
    sidecar.stop(attempt(1, 1));
    sidecar.stopped(2, attempt(1, 1));
    assert_eq!(sidecar.take_actions().starts.len(), 0);
    sidecar.polled(3, 4, poll_reply(&[], &[(1, attempt(1, 1), queue::Outcome::Stopped)]));
    let actions = sidecar.take_actions();
    assert_eq!(actions.replies, [(Entry(7), attempt(1, 1), work::Outcome::Stopped, 4)]);
    assert_eq!(actions.starts, [start(attempt(2, 1))]);
}

/// Guards against a task that waits at a full server while others have room.
#[test]
fn what_waits_too_long_for_room_is_refused() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    command(&mut sidecar, 0, attempt(2, 1));
    sidecar.tick(499);
    assert_eq!(sidecar.take_actions().replies, []);
    sidecar.tick(500);
    let outcome = work::Outcome::NotStarted(Reason::NoCapacity);
    assert_eq!(sidecar.take_actions().replies, [(Entry(7), attempt(2, 1), outcome, 0)]);
}

/// Guards against runs that go on after their entry was lost and another runs the job again.
#[test]
fn runs_end_with_the_lease_of_their_entry() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    sidecar.start_answered(1, attempt(1, 1), StartResult::Started);
    sidecar.tick(9_999);
    assert_eq!(sidecar.take_actions().stops, []);
    sidecar.tick(10_000);
    assert_eq!(sidecar.take_actions().stops, [attempt(1, 1)]);
}

/// Guards against a long wait after a connection was reset: what was ordered over it can be given
/// back.
#[test]
fn an_entry_that_is_released_has_nothing_left() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    sidecar.start_answered(1, attempt(1, 1), StartResult::Started);
    assert!(!sidecar.release(1, Entry(7)));
    assert_eq!(sidecar.take_actions().stops, [attempt(1, 1)]);
    sidecar.stopped(2, attempt(1, 1));
    sidecar.polled(3, 4, poll_reply(&[], &[(1, attempt(1, 1), queue::Outcome::Stopped)]));
    assert!(sidecar.release(4, Entry(7)));
    sidecar.take_actions();
    sidecar.renew(Entry(7), 10_000);
    let late = work::Outcome::NotStarted(Reason::Expired);
    assert_eq!(
        command(&mut sidecar, 5, attempt(2, 1)).replies,
        [(Entry(7), attempt(2, 1), late, 0)]
    );
}

/// Guards against a cancelled job whose entry starts it again because its run was stopped.
#[test]
fn a_job_cancelled_through_another_entry_is_not_merely_stopped() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    assert!(!sidecar.cancel(Id(2)));
    assert!(sidecar.cancel(Id(1)));
    sidecar.polled(3, 4, poll_reply(&[], &[(1, attempt(1, 1), queue::Outcome::Stopped)]));
    assert_eq!(
        sidecar.take_actions().replies,
        [(Entry(7), attempt(1, 1), work::Outcome::Canceled, 4)]
    );
}

/// Guards against an order that lay in a cut connection and is carried out after its entry gave
/// it up.
#[test]
fn an_order_without_a_lease_is_refused() {
    let mut sidecar = sidecar();
    let actions = command(&mut sidecar, 9_960, attempt(1, 1));
    assert_eq!(actions.starts, []);
    let outcome = work::Outcome::NotStarted(Reason::Expired);
    assert_eq!(actions.replies, [(Entry(7), attempt(1, 1), outcome, 0)]);
}

/// Guards against a second run while a start without an answer may still be carried out: seeds
/// with late orders had runs start twice.
#[test]
fn a_start_without_an_answer_counts_until_it_is_barred() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    sidecar.start_answered(200, attempt(1, 1), StartResult::Unknown);
    assert_eq!(sidecar.take_actions().stops, [attempt(1, 1)]);
    assert!(sidecar.stop_due(attempt(1, 1)));
    sidecar.polled(210, 211, poll_reply(&[], &[]));
    assert_eq!(sidecar.take_actions().replies, [], "it may still be carried out");
    sidecar.stopped(220, attempt(1, 1));
    sidecar.polled(215, 221, poll_reply(&[], &[]));
    assert_eq!(sidecar.take_actions().replies, [], "the list is older than the stop");
    sidecar.polled(222, 223, poll_reply(&[], &[]));
    let outcome = work::Outcome::NotStarted(Reason::NoAnswer);
    assert_eq!(sidecar.take_actions().replies, [(Entry(7), attempt(1, 1), outcome, 0)]);
}

/// Guards against a server counted as lost while a lease that a start renewed still runs: a
/// standard day with late orders broke the rule against double runs by it.
#[test]
fn a_silent_server_is_lost_only_after_the_last_lease_asked_for() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    let asked = sidecar.poll(2_000).unwrap();
    assert_eq!(asked.lease_until_ms, Some(5 + 1_960 + LEASE_MS), "on the server's clock");
    sidecar.poll_failed(2_000, 2_450, false);
    assert!(sidecar.poll(2_450).unwrap().lease_until_ms.is_some(), "one answer may get lost");
    sidecar.poll_failed(2_450, 2_900, false);
    assert_eq!(sidecar.poll(2_900).unwrap().lease_until_ms, None);
    sidecar.poll_failed(3_050, 3_500, false);
    assert_eq!(sidecar.take_actions().replies, []);
    // 1,020 ms on a clock that is 2% slow, and the slack.
    sidecar.poll_failed(3_500, 2_450 + 1_020 + 100, false);
    assert_eq!(sidecar.take_actions().replies, [(Entry(7), attempt(1, 1), work::Outcome::Lost, 0)]);
}

/// Guards against a server taken for silent because of one lost answer while later ones arrive, and
/// against a list that a newer one has overtaken: its run has ended, and is no foreign one.
#[test]
fn a_newer_answer_counts_more_than_an_older_one() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    sidecar.start_answered(1, attempt(1, 1), StartResult::Started);
    sidecar.polled(
        10,
        40,
        PollReply { clock_ms: 40, ..poll_reply(&[], &[(1, attempt(1, 1), queue::Outcome::Done)]) },
    );
    sidecar.take_actions();
    sidecar.polled(5, 41, PollReply { clock_ms: 35, ..poll_reply(&[attempt(1, 1)], &[]) });
    assert_eq!(sidecar.take_actions(), Actions::default());
    for sent_ms in [20, 30] {
        sidecar.poll_failed(sent_ms, 300, false);
    }
    assert!(sidecar.may_wait(), "an answer has come since");
    for sent_ms in [50, 60] {
        sidecar.poll_failed(sent_ms, 300, false);
    }
    assert!(!sidecar.may_wait());
}

/// Guards against starts beside runs that an earlier process of the sidecar has left.
#[test]
fn what_an_earlier_incarnation_left_is_stopped_first() {
    let mut sidecar = Sidecar::new("s".to_owned(), addr(), 2, LEASE_MS);
    sidecar.announce(0, server(1, 1_000), addr(), 1);
    let report = sidecar.report(0);
    sidecar.commanded(0, 0, &report, commands(9));
    sidecar.renew(Entry(7), 10_000);
    sidecar.polled(0, 1, poll_reply(&[attempt(5, 1)], &[]));
    assert_eq!(sidecar.take_actions().stops, [attempt(5, 1)]);
    assert!(!sidecar.clean());
    let outcome = work::Outcome::NotStarted(Reason::Unavailable);
    assert_eq!(
        command(&mut sidecar, 2, attempt(1, 1)).replies,
        [(Entry(7), attempt(1, 1), outcome, 0)]
    );
    sidecar.polled(3, 4, poll_reply(&[], &[(1, attempt(5, 1), queue::Outcome::Stopped)]));
    assert!(sidecar.clean());
    assert_eq!(command(&mut sidecar, 5, attempt(1, 1)).starts.len(), 1);
}

/// Guards against waiting for runs of a server that has crashed and come back.
#[test]
fn a_new_incarnation_of_the_server_loses_what_ran_there() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    sidecar.announce(10, server(2, 1_000), addr(), 1);
    assert_eq!(sidecar.take_actions().replies, [(Entry(7), attempt(1, 1), work::Outcome::Lost, 0)]);
    sidecar.announce(11, server(1, 1_000), addr(), 99);
    let (known, _) = sidecar.server().unwrap();
    assert_eq!(
        known.id.started_at_ms, 2,
        "a late announcement of the earlier incarnation changes nothing"
    );
}

/// Guards against the loss of an outcome: an end for the leader is acknowledged when it is stored,
/// one for an entry at once.
#[test]
fn ends_for_the_leader_are_acknowledged_when_stored() {
    let mut sidecar = sidecar();
    sidecar.command(0, Source::Leader, start(attempt(1, 1)), 0, 0);
    sidecar.polled(1, 2, poll_reply(&[], &[(1, attempt(1, 1), queue::Outcome::Done)]));
    command(&mut sidecar, 3, attempt(2, 1));
    sidecar.polled(
        4,
        5,
        poll_reply(
            &[],
            &[(1, attempt(1, 1), queue::Outcome::Done), (2, attempt(2, 1), queue::Outcome::Done)],
        ),
    );
    assert_eq!(sidecar.poll(6).unwrap().acknowledged, 0);
    let report = sidecar.report(0);
    assert_eq!(report.completions.len(), 1);
    sidecar.commanded(7, 6, &report, Commands { completions_stored: 1, ..commands(9) });
    assert_eq!(sidecar.poll(8).unwrap().acknowledged, 2);
}

/// Guards against orders lost or doubled when answers overtake each other or are repeated.
#[test]
fn batches_are_taken_once_and_in_their_order() {
    let mut sidecar = sidecar();
    let batch = |number, job| Batch { number, starts: vec![start(attempt(job, 1))], stops: vec![] };
    let report = sidecar.report(0);
    let second = Commands { batches: vec![batch(2, 2)], ..commands(9) };
    sidecar.commanded(1, 0, &report, second.clone());
    assert_eq!(sidecar.take_actions().starts, []);
    sidecar.commanded(1, 0, &report, Commands { batches: vec![batch(1, 1)], ..commands(9) });
    assert_eq!(sidecar.take_actions().starts, [start(attempt(1, 1))], "the second finds no room");
    sidecar.commanded(1, 0, &report, second);
    assert_eq!(sidecar.report(0).not_started.len(), 1);
    assert_eq!(sidecar.report(0).batch, 2);
}

/// Guards against a leader that takes a server for lost because its sidecar has just started: the
/// runs of the sidecar's earlier process went on beside their second ones.
#[test]
fn a_server_that_was_not_met_is_not_lost() {
    let mut sidecar = Sidecar::new("s".to_owned(), addr(), 1, LEASE_MS);
    assert_eq!(sidecar.report(0).backend, Backend::Unknown);
    sidecar.announce(0, server(1, 1_000), addr(), 1);
    assert_eq!(sidecar.report(0).backend, Backend::Present(server(1, 1_000)));
    sidecar.leave("b");
    assert_eq!(sidecar.report(0).backend, Backend::Lost);
}

/// A backend server that carries orders out late, or not at all, and lets runs end at random.
#[derive(Default)]
struct Fake {
    running: BTreeSet<Attempt>,
    barred: BTreeSet<Attempt>,
    ends: Vec<(u64, Attempt, queue::Outcome)>,
    late: Vec<Attempt>,
}

impl Fake {
    fn start(&mut self, attempt: Attempt) {
        if !self.barred.contains(&attempt) {
            self.running.insert(attempt);
        }
    }

    fn end(&mut self, attempt: Attempt, outcome: queue::Outcome) {
        if self.running.remove(&attempt) {
            self.ends.push((self.ends.len() as u64 + 1, attempt, outcome));
        }
        self.barred.insert(attempt);
    }
}

/// Guards against starts over the capacity, and against verdicts on runs that go on, in drawn
/// histories with late and lost answers.
#[test]
fn no_history_goes_over_the_capacity_or_frees_a_run_that_goes_on() {
    fn holds(steps: Vec<u8>) -> bool {
        let (mut sidecar, mut fake, mut now_ms, mut job) = (sidecar(), Fake::default(), 10, 0);
        for step in steps {
            now_ms += 1;
            let actions = match step % 8 {
                0 | 1 => {
                    job += 1;
                    command(&mut sidecar, now_ms, attempt(job, 1))
                }
                2 => {
                    let first = fake.running.first().copied();
                    first.into_iter().for_each(|attempt| fake.end(attempt, queue::Outcome::Done));
                    sidecar.take_actions()
                }
                3 => {
                    let late = std::mem::take(&mut fake.late);
                    late.into_iter().for_each(|attempt| fake.start(attempt));
                    sidecar.take_actions()
                }
                4 => {
                    sidecar.stop(attempt(job, 1));
                    sidecar.take_actions()
                }
                _ => {
                    let running: Vec<Attempt> = fake.running.iter().copied().collect();
                    sidecar.polled(now_ms, now_ms, poll_reply(&running, &fake.ends));
                    sidecar.take_actions()
                }
            };
            for start in actions.starts {
                if step & 8 == 0 {
                    fake.start(start.attempt);
                    sidecar.start_answered(now_ms, start.attempt, StartResult::Started);
                } else {
                    fake.late.push(start.attempt);
                    sidecar.start_answered(now_ms, start.attempt, StartResult::Unknown);
                }
            }
            let stops: Vec<Attempt> =
                actions.stops.into_iter().chain(sidecar.take_actions().stops).collect();
            for attempt in stops {
                fake.end(attempt, queue::Outcome::Stopped);
                now_ms += 1;
                sidecar.stopped(now_ms - 1, attempt);
            }
            let freed =
                actions.replies.iter().any(|(_, attempt, ..)| fake.running.contains(attempt));
            if fake.running.len() > 1 || freed {
                return false;
            }
        }
        true
    }
    quickcheck::QuickCheck::new().tests(2_000).quickcheck(holds as fn(Vec<u8>) -> bool);
}
