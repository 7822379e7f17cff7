//! A sidecar's decisions on capacity and leases, and on calls to its backend server that got no
//! answer.

#[path = "sidecar_jobs/stalls.rs"]
mod stalls;
#[path = "sidecar_jobs/warmup.rs"]
mod warmup;

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use briargauge::{
    coordination::sidecar::{
        Actions, Check, Identity, LATE_CALL_MAX_MS, PollReply, Running, Sidecar, Source,
        StartResult,
    },
    protocol::{
        queue::{self, Attempt, Id, Resources, Task},
        wire::{
            queue::{
                Backend, Batch, Commands, Completion, Crash, Reason, Report, Server, ServerId,
                Start,
            },
            work::{self, Entry, Loss, Revision},
        },
    },
};

const LEASE_MS: u64 = 1_000;
/// Start of the first backend server of a drawn history.
const START_MS: u64 = 1_000;
/// A crash that is certain, of a server that had not confirmed the start of the attempt.
const CRASHED: work::Outcome = work::Outcome::Lost(Loss { began: false, confirmed: true });
/// Connections to such a server are refused, and no other one has answered.
const REFUSED: work::Outcome = work::Outcome::Lost(Loss { began: false, confirmed: false });
const ENTRY: Source = Source::Entry(Entry(7));

fn addr() -> SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

/// Where nothing listens.
fn elsewhere() -> SocketAddr {
    "127.0.0.1:2".parse().unwrap()
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
    Start { attempt, needs, estimate_ms: 100, spec: Arc::from("spec") }
}

fn commands(generation: u64) -> Commands {
    Commands { term: 1, generation, lease_ms: 10_000, ..Commands::default() }
}

/// A running attempt in an answer to a poll.
fn listed(attempt: Attempt, progress: Option<u8>) -> Running {
    Running { attempt, progress }
}

fn poll_reply(running: &[Attempt], completions: &[(u64, Attempt, queue::Outcome)]) -> PollReply {
    let completion = |(number, attempt, outcome): &(u64, Attempt, queue::Outcome)| Completion {
        number: *number,
        attempt: Some(*attempt),
        outcome: *outcome,
    };
    PollReply {
        clock_ms: 5,
        running: running.iter().map(|attempt| listed(*attempt, None)).collect(),
        completions: completions.iter().map(completion).collect(),
        truncated: false,
    }
}

/// Announces a server, which answers at once if it is called.
fn announce(sidecar: &mut Sidecar, now_ms: u64, server: Server, seq: u64) {
    let identity = Identity { server: server.id.clone(), addr: addr() };
    sidecar.announce(now_ms, server, addr(), seq);
    sidecar.checked(now_ms, now_ms, &identity, Check::Present);
}

/// A sidecar whose backend server has capacity for one attempt at a time, with an entry's lease
/// until 10 s.
fn sidecar() -> Sidecar {
    sidecar_of(server(1, 1_000))
}

fn sidecar_of(server: Server) -> Sidecar {
    serving(Sidecar::new("s".to_owned(), addr(), 1, LEASE_MS), server)
}

/// Lets a new sidecar take over a server and a lease of an entry until 10 s.
fn serving(mut sidecar: Sidecar, server: Server) -> Sidecar {
    announce(&mut sidecar, 0, server, 1);
    let report = sidecar.report(0);
    sidecar.handle_commands(0, 0, &report, commands(9));
    sidecar.polled(0, 0, poll_reply(&[], &[]));
    sidecar.renew(Entry(7), 10_000);
    sidecar.take_actions();
    sidecar
}

fn command(sidecar: &mut Sidecar, now_ms: u64, attempt: Attempt) -> Actions {
    sidecar.handle_start(now_ms, ENTRY, start(attempt), now_ms, now_ms + 500);
    sidecar.take_actions()
}

/// Guards against starts beyond the capacity: an attempt that is being stopped still uses its
/// share.
#[test]
fn an_attempt_waits_until_a_stopping_one_has_ended() {
    let mut sidecar = sidecar();
    assert_eq!(command(&mut sidecar, 0, attempt(1, 1)).starts.len(), 1);
    assert_eq!(command(&mut sidecar, 0, attempt(2, 1)).starts.len(), 0);
    sidecar.start_answered(1, attempt(1, 1), StartResult::Started);
    sidecar.stop(attempt(1, 1));
    sidecar.stop_confirmed(2, attempt(1, 1));
    assert_eq!(sidecar.take_actions().starts.len(), 0);
    sidecar.polled(3, 4, poll_reply(&[], &[(1, attempt(1, 1), queue::Outcome::Stopped)]));
    let actions = sidecar.take_actions();
    assert_eq!(actions.replies, [(Entry(7), attempt(1, 1), work::Outcome::Stopped, 4)]);
    assert_eq!(actions.starts, [start(attempt(2, 1))]);
}

/// Guards against a sidecar that holds any number of attempts, as those that need no capacity never wait.
#[test]
fn attempts_are_limited_although_they_need_no_capacity() {
    let mut sidecar = sidecar();
    for job in 0..2_000 {
        let start = Start { needs: Resources::default(), ..start(attempt(job, 1)) };
        sidecar.handle_start(0, ENTRY, start, 0, 500);
    }
    let Actions { starts, replies, .. } = sidecar.take_actions();
    let refused = work::Outcome::NotStarted(Reason::NoCapacity);
    let refused = replies.iter().filter(|(_, _, outcome, _)| *outcome == refused).count();
    assert_eq!((starts.len(), refused), (1_024, 976));
}

/// Guards against two runs of a task at the same server: an attempt that another entry had commanded
/// started while the one before was being stopped.
#[test]
fn an_attempt_waits_until_another_one_of_its_task_has_ended() {
    let mut sidecar = sidecar_of(server(1, 2_000));
    sidecar.renew(Entry(8), 10_000);
    command(&mut sidecar, 1, attempt(1, 1));
    sidecar.start_answered(2, attempt(1, 1), StartResult::Started);
    sidecar.stop(attempt(1, 1));
    sidecar.take_actions();
    sidecar.handle_start(3, Source::Entry(Entry(8)), start(attempt(1, 18)), 3, 500);
    assert_eq!(sidecar.take_actions(), Actions::default());
    sidecar.polled(4, 5, poll_reply(&[], &[(1, attempt(1, 1), queue::Outcome::Stopped)]));
    assert_eq!(sidecar.take_actions().starts, [start(attempt(1, 18))]);
}

/// Guards against a task that waits at a full server while others have free capacity.
#[test]
fn an_attempt_that_waits_too_long_for_capacity_is_refused() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    command(&mut sidecar, 0, attempt(2, 1));
    sidecar.tick(499);
    assert_eq!(sidecar.take_actions().replies, []);
    sidecar.tick(500);
    let outcome = work::Outcome::NotStarted(Reason::NoCapacity);
    assert_eq!(sidecar.take_actions().replies, [(Entry(7), attempt(2, 1), outcome, 0)]);
}

/// Guards against attempts that continue after their entry was lost, while another entry executes
/// the job again.
#[test]
fn attempts_are_stopped_when_the_lease_of_their_entry_expires() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    sidecar.start_answered(1, attempt(1, 1), StartResult::Started);
    sidecar.tick(9_999);
    assert_eq!(sidecar.take_actions().stops, []);
    sidecar.tick(10_000);
    assert_eq!(sidecar.take_actions().stops, [attempt(1, 1)]);
}

/// Guards against a long wait after a connection was reset: the entry can release the lease of that
/// connection instead of waiting until it expires.
#[test]
fn a_released_lease_stops_all_attempts_and_is_not_renewed() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    sidecar.start_answered(1, attempt(1, 1), StartResult::Started);
    assert!(!sidecar.release(1, Entry(7)));
    assert_eq!(sidecar.take_actions().stops, [attempt(1, 1)]);
    sidecar.stop_confirmed(2, attempt(1, 1));
    sidecar.polled(3, 4, poll_reply(&[], &[(1, attempt(1, 1), queue::Outcome::Stopped)]));
    assert!(sidecar.release(4, Entry(7)));
    sidecar.take_actions();
    sidecar.renew(Entry(7), 10_000);
    let expired = work::Outcome::NotStarted(Reason::Expired);
    assert_eq!(
        command(&mut sidecar, 5, attempt(2, 1)).replies,
        [(Entry(7), attempt(2, 1), expired, 0)]
    );
}

/// Guards against two runs of a task at the same time: a command was delayed in a broken connection
/// without a valid lease, was carried out after the release of that connection, and its entry had
/// started the task elsewhere.
#[test]
fn a_command_after_the_release_of_a_connection_without_a_lease_is_refused() {
    let mut sidecar = sidecar();
    assert!(sidecar.release(100, Entry(8)));
    sidecar.renew(Entry(8), 750);
    sidecar.handle_start(150, Source::Entry(Entry(8)), start(attempt(1, 1)), 150, 650);
    let actions = sidecar.take_actions();
    let expired = work::Outcome::NotStarted(Reason::Expired);
    assert_eq!(
        (actions.starts, actions.replies),
        (vec![], vec![(Entry(8), attempt(1, 1), expired, 0)])
    );
}

/// Guards against an entry that starts a job again which was cancelled through another entry,
/// because it takes the outcome for a mere stop.
#[test]
fn a_job_cancelled_through_another_entry_has_outcome_canceled() {
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

/// Guards against a start command that was delayed in a broken connection and is carried out after
/// its entry has abandoned it.
#[test]
fn a_start_command_shortly_before_the_lease_expires_is_refused() {
    let mut sidecar = sidecar();
    let actions = command(&mut sidecar, 9_960, attempt(1, 1));
    assert_eq!(actions.starts, []);
    let outcome = work::Outcome::NotStarted(Reason::Expired);
    assert_eq!(actions.replies, [(Entry(7), attempt(1, 1), outcome, 0)]);
}

/// Guards against a second attempt while an unanswered start may still be carried out: in some
/// simulations with delayed starts at the backend server, tasks were started twice. A list that was
/// requested in the same millisecond in which the stop was confirmed may be older than the start.
#[test]
fn an_unanswered_start_counts_until_its_stop_is_confirmed() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    sidecar.start_answered(200, attempt(1, 1), StartResult::Unknown);
    assert_eq!(sidecar.take_actions().stops, [attempt(1, 1)]);
    assert!(sidecar.stop_due(attempt(1, 1)));
    sidecar.polled(210, 211, poll_reply(&[], &[]));
    assert_eq!(sidecar.take_actions().replies, [], "it may still be carried out");
    sidecar.stop_confirmed(220, attempt(1, 1));
    for sent_ms in [215, 220] {
        sidecar.polled(sent_ms, 221, poll_reply(&[], &[]));
        assert_eq!(sidecar.take_actions().replies, [], "the list may be older than the start");
    }
    sidecar.polled(222, 223, poll_reply(&[], &[]));
    let outcome = work::Outcome::NotStarted(Reason::NoAnswer);
    assert_eq!(sidecar.take_actions().replies, [(Entry(7), attempt(1, 1), outcome, 0)]);
}

/// Guards against a server that counts as lost before a lease that a start renewed has expired: in
/// a simulation with delayed starts at the backend server, tasks were executed twice.
#[test]
fn an_unresponsive_server_is_lost_only_after_the_last_requested_lease() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    sidecar.start_answered(1, attempt(1, 1), StartResult::Started);
    let poll = sidecar.poll(2_000).unwrap();
    assert_eq!(poll.lease_until_ms, Some(5 + 1_960 + LEASE_MS), "on the server's clock");
    sidecar.poll_failed(2_000, 2_450, false);
    assert!(sidecar.poll(2_450).unwrap().lease_until_ms.is_some(), "one answer may get lost");
    sidecar.poll_failed(2_450, 2_900, false);
    assert_eq!(sidecar.poll(2_900).unwrap().lease_until_ms, None);
    sidecar.poll_failed(3_050, 3_500, false);
    assert_eq!(sidecar.take_actions().replies, []);
    // A lease of 1,000 ms lasts 1,020 ms by a clock that is 2% slow; 100 ms are slack.
    assert!(matches!(sidecar.report(0).backend, Backend::Present(_)));
    sidecar.poll_failed(3_500, 2_450 + 1_020 + 100, false);
    assert!(matches!(sidecar.report(0).backend, Backend::Lost));
}

/// Guards against two runs of a task at the same time: after a restart of the sidecar, one poll
/// without an answer made the leader start tasks again that ran under the lease of its earlier process.
#[test]
fn a_restarted_sidecar_waits_for_the_lease_that_its_earlier_process_granted() {
    let mut sidecar = Sidecar::new("s".to_owned(), addr(), 2, LEASE_MS);
    announce(&mut sidecar, 5_000, server(1, 1_000), 1);
    let report = sidecar.report(0);
    sidecar.handle_commands(5_000, 5_000, &report, commands(9));
    sidecar.poll(5_010);
    sidecar.poll_failed(5_010, 5_210, false);
    assert!(matches!(sidecar.report(0).backend, Backend::Present(_)));
    sidecar.poll_failed(6_000, 6_120, false);
    assert!(matches!(sidecar.report(0).backend, Backend::Lost));
}

/// Guards against tasks that start again although they have ended as done: a sidecar that was
/// suspended for longer than the lease has not read the answers that wait for it.
#[test]
fn a_server_is_not_lost_while_its_sidecar_is_suspended() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    sidecar.start_answered(1, attempt(1, 1), StartResult::Started);
    for sent_ms in [2_000, 2_140] {
        sidecar.poll(sent_ms).unwrap();
    }
    for sent_ms in [2_000, 2_140] {
        sidecar.poll_failed(sent_ms, 4_000, false);
    }
    assert_eq!(sidecar.take_actions(), Actions::default());
    sidecar.polled(4_001, 4_002, poll_reply(&[], &[(1, attempt(1, 1), queue::Outcome::Done)]));
    let done = (Entry(7), attempt(1, 1), work::Outcome::Done, 4_002);
    assert_eq!(sidecar.take_actions().replies, [done]);
}

/// Guards against a server that counts as unresponsive because of one lost answer while later ones
/// arrive, and against an outdated list of running attempts: an attempt in it that has ended
/// meanwhile must not be taken for one of an earlier incarnation.
#[test]
fn older_answers_and_failures_are_ignored_after_a_newer_answer() {
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

/// Guards against an outdated list of running attempts whose answer shows the same millisecond as the
/// newest one: an attempt that had ended was stopped as one of an earlier incarnation.
#[test]
fn a_list_that_may_be_older_in_the_same_millisecond_is_not_used() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    sidecar.start_answered(1, attempt(1, 1), StartResult::Started);
    let at_40 = |reply| PollReply { clock_ms: 40, ..reply };
    sidecar.polled(10, 40, at_40(poll_reply(&[], &[])));
    let done = (1, attempt(1, 1), queue::Outcome::Done);
    sidecar.polled(10, 41, at_40(poll_reply(&[], &[done])));
    let reply = (Entry(7), attempt(1, 1), work::Outcome::Done, 41);
    assert_eq!(sidecar.take_actions().replies, [reply], "an end counts in any order");
    for sent_ms in [10, 40] {
        sidecar.polled(sent_ms, 42, at_40(poll_reply(&[attempt(1, 1)], &[])));
        assert_eq!(sidecar.take_actions(), Actions::default(), "the list may be older");
    }
    sidecar.polled(41, 43, at_40(poll_reply(&[attempt(2, 1)], &[])));
    assert_eq!(sidecar.take_actions().stops, [attempt(2, 1)], "the list is newer");
}

/// Guards against starts beside an attempt that an earlier incarnation of the sidecar has left: an
/// older list of the same millisecond omits it.
#[test]
fn a_list_that_may_be_older_does_not_show_that_nothing_runs() {
    let mut sidecar = Sidecar::new("s".to_owned(), addr(), 2, LEASE_MS);
    announce(&mut sidecar, 0, server(1, 1_000), 1);
    let report = sidecar.report(0);
    sidecar.handle_commands(0, 0, &report, commands(9));
    sidecar.polled(1, 3, poll_reply(&[attempt(5, 1)], &[]));
    sidecar.polled(2, 4, poll_reply(&[], &[]));
    assert!(!sidecar.clean());
    sidecar.polled(4, 5, poll_reply(&[], &[]));
    assert!(sidecar.clean(), "the poll was sent after the newest answer had arrived");
}

/// Guards against starts beside attempts that an earlier incarnation of the sidecar has left.
#[test]
fn attempts_of_an_earlier_incarnation_are_stopped_before_any_start() {
    let mut sidecar = Sidecar::new("s".to_owned(), addr(), 2, LEASE_MS);
    announce(&mut sidecar, 0, server(1, 1_000), 1);
    let report = sidecar.report(0);
    sidecar.handle_commands(0, 0, &report, commands(9));
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

/// Guards against waiting for attempts of a server that has crashed and been replaced by another,
/// which refuses calls for the earlier one.
#[test]
fn attempts_are_lost_when_a_server_with_another_id_announces_itself() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    let mut other = server(2, 1_000);
    other.id.id = "c".to_owned();
    announce(&mut sidecar, 10, other, 1);
    assert_eq!(sidecar.take_actions().replies, [(Entry(7), attempt(1, 1), CRASHED, 0)]);
}

/// The identity of a server with another id at `addr`, and its announcement's effect on `sidecar`.
fn announce_other(sidecar: &mut Sidecar, now_ms: u64, addr: SocketAddr) -> Identity {
    let id = ServerId { id: "c".to_owned(), started_at_ms: 1 };
    sidecar.announce(now_ms, Server { id: id.clone(), ..server(1, 1_000) }, addr, 1);
    Identity { server: id, addr }
}

/// Guards against two runs of a task at the same time: an announcement of another writer counted as
/// the end of a live server and of its attempts.
#[test]
fn an_announcement_ends_nothing_before_its_server_has_answered() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    let other = announce_other(&mut sidecar, 10, addr());
    let checks = vec![other.clone()];
    assert_eq!(sidecar.take_actions(), Actions { checks, ..Actions::default() });
    assert_eq!(sidecar.check_call().unwrap().lease_until_ms, None);
    sidecar.checked(11, 12, &other, Check::NoAnswer);
    assert_eq!(sidecar.take_actions(), Actions::default());
    assert!(sidecar.is_candidate(13, &other) && sidecar.poll(13).unwrap().lease_until_ms.is_some());
    sidecar.checked(13, 14, &other, Check::Other);
    assert!(!sidecar.is_candidate(15, &other));
    sidecar.checked(13, 15, &other, Check::Present);
    assert_eq!(sidecar.take_actions(), Actions::default(), "it was refuted");
    assert_eq!(sidecar.server().unwrap().0.id, server(1, 1_000).id);
}

/// Guards against the same by an answer of an earlier server that the known one has overtaken.
#[test]
fn an_answer_from_before_the_newest_one_of_the_known_server_replaces_nothing() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    let other = announce_other(&mut sidecar, 10, addr());
    sidecar.take_actions();
    sidecar.polled(11, 13, PollReply { clock_ms: 13, ..poll_reply(&[attempt(1, 1)], &[]) });
    for sent_ms in [11, 13] {
        sidecar.checked(sent_ms, 14, &other, Check::Present);
        assert_eq!(sidecar.take_actions(), Actions::default());
    }
    sidecar.checked(14, 15, &other, Check::Present);
    let crashed = work::Outcome::Lost(Loss { began: true, confirmed: true });
    let lost = (Entry(7), attempt(1, 1), crashed, 0);
    assert_eq!(sidecar.take_actions().replies, [lost], "the known one cannot answer any more");
}

/// Guards against the same by a live server at another address. It is used once the known one is gone.
#[test]
fn a_server_at_another_address_replaces_the_known_one_only_after_its_end() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    let other = announce_other(&mut sidecar, 10, elsewhere());
    sidecar.take_actions();
    sidecar.checked(11, 12, &other, Check::Present);
    assert_eq!(sidecar.take_actions(), Actions::default());
    for at_ms in [1_200, 1_240] {
        sidecar.checked(at_ms, at_ms, &other, Check::Present);
        sidecar.poll_failed(at_ms, at_ms, true);
    }
    assert_eq!(sidecar.server().unwrap().1, addr());
    sidecar.checked(1_241, 1_242, &other, Check::Present);
    assert_eq!(sidecar.server().unwrap().1, elsewhere());
}

/// Guards against a live server that refuses the calls of its own sidecar: its announcement reached
/// another one, whose check carried a higher fencing token.
#[test]
fn a_server_of_another_instance_is_not_called() {
    let mut sidecar = sidecar();
    let elsewhere = announce_other(&mut sidecar, 10, "127.0.0.2:1".parse().unwrap());
    assert_eq!(sidecar.take_actions(), Actions::default());
    assert!(!sidecar.is_candidate(11, &elsewhere));
}

/// Guards against a server that starts again at another port and is not used for seconds: its former
/// port was taken by another process, which answers the calls.
#[test]
fn a_server_at_another_address_replaces_one_whose_address_another_server_has() {
    let elsewhere: SocketAddr = "127.0.0.1:2".parse().unwrap();
    let mut sidecar = sidecar();
    let other = announce_other(&mut sidecar, 10, elsewhere);
    sidecar.polled(20, 21, PollReply { clock_ms: 21, ..poll_reply(&[], &[]) });
    sidecar.poll_misdirected(21, 22);
    sidecar.checked(23, 24, &other, Check::Present);
    assert_eq!(
        sidecar.server().unwrap().1,
        addr(),
        "the answer may be older than that of the server"
    );
    sidecar.poll_misdirected(30, 31);
    sidecar.checked(32, 33, &other, Check::Present);
    assert_eq!(sidecar.server().unwrap().1, elsewhere);
}

/// Guards against starts on a server of another service: another writer has announced it as well,
/// while it was a candidate.
#[test]
fn a_candidate_that_two_writers_describe_is_used_once_one_of_them_goes_on() {
    let described = |service: &str| Server { service: service.to_owned(), ..server(1, 1_000) };
    let identity = Identity { server: server(1, 1_000).id, addr: addr() };
    let mut sidecar = sidecar_of(server(0, 1_000));
    for (service, seq) in [("quotes", 1), ("other", 4_000_000_000), ("quotes", 2)] {
        sidecar.announce(1, described(service), addr(), seq);
    }
    sidecar.checked(2, 3, &identity, Check::Present);
    assert_eq!(sidecar.server().unwrap().0, &described("quotes"));
    let mut disputed = sidecar_of(server(0, 1_000));
    for (service, seq) in [("other", 4_000_000_000), ("quotes", 1)] {
        disputed.announce(1, described(service), addr(), seq);
    }
    disputed.checked(2, 3, &identity, Check::Present);
    disputed.polled(3, 4, poll_reply(&[], &[]));
    assert!(!disputed.load(0).open);
    announce(&mut disputed, 5, described("quotes"), 2);
    assert!(disputed.load(0).open);
}

/// Guards against candidates that are called for good, or that grow without a limit.
#[test]
fn a_candidate_that_never_answers_is_dropped() {
    let mut sidecar = sidecar();
    let other = announce_other(&mut sidecar, 10, addr());
    announce_other(&mut sidecar, 1_000, addr());
    assert_eq!(sidecar.take_actions().checks.len(), 1, "the calls to it go on");
    assert!(sidecar.is_candidate(5_999, &other));
    assert!(!sidecar.is_candidate(6_000, &other));
    let first = announce_other(&mut sidecar, 6_001, addr());
    for started_at_ms in 2..10 {
        sidecar.announce(6_001 + started_at_ms, server(started_at_ms, 1), addr(), 1);
    }
    assert_eq!(sidecar.take_actions().checks.len(), 9);
    assert!(!sidecar.is_candidate(6_011, &first), "of many, the oldest is dropped");
}

/// Guards against the start of an attempt that waited for capacity until after its lease had expired:
/// a sidecar that goes on after a pause may read an answer to a poll before it checks the leases.
#[test]
fn a_waiting_attempt_does_not_start_after_its_lease_has_expired() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 9_500, attempt(1, 1));
    command(&mut sidecar, 9_500, attempt(2, 1));
    let ended = (1, attempt(1, 1), queue::Outcome::Done);
    sidecar.polled(9_990, 10_100, poll_reply(&[], &[ended]));
    let actions = sidecar.take_actions();
    let expired = work::Outcome::NotStarted(Reason::Expired);
    assert_eq!(actions.starts, []);
    assert_eq!(actions.replies[1..], [(Entry(7), attempt(2, 1), expired, 0)]);
}

/// Guards against a start after the callers have left: an entry that goes on after a pause renews its
/// lease before a command arrives that it decided on before the pause.
#[test]
fn a_command_whose_own_lease_has_expired_is_refused_although_its_entry_renews() {
    let mut sidecar = sidecar();
    let attempt = attempt(1, 1);
    let lease_until_ms = 3_000;
    let command = work::StartCommand {
        entry: Entry(7),
        incarnation: 1,
        lease_until_ms,
        start: start(attempt),
        due_ms: 0,
        wait_ms: 100,
    };
    sidecar.handle_entry_start(lease_until_ms, command);
    let actions = sidecar.take_actions();
    let expired = work::Outcome::NotStarted(Reason::Expired);
    assert_eq!((actions.starts, actions.replies), (vec![], vec![(Entry(7), attempt, expired, 0)]));
}

/// Guards against a start on a server without the label that the task requires: the entry chose the
/// incarnation before, which had it.
#[test]
fn a_start_command_for_another_incarnation_of_the_server_is_refused() {
    let mut sidecar = sidecar();
    let command = |number| work::StartCommand {
        entry: Entry(7),
        incarnation: 1,
        lease_until_ms: 10_000,
        start: start(attempt(number, 1)),
        due_ms: 0,
        wait_ms: 100,
    };
    sidecar.handle_entry_start(1, command(1));
    assert_eq!(sidecar.take_actions().starts.len(), 1);
    let mut described = server(1, 2_000);
    described.labels.push("rack".to_owned());
    announce(&mut sidecar, 2, described.clone(), 2);
    announce(&mut sidecar, 2, described, 3);
    sidecar.handle_entry_start(3, command(2));
    assert_eq!(sidecar.take_actions().starts.len(), 1, "it is the same incarnation");
    announce(&mut sidecar, 4, server(2, 1_000), 1);
    sidecar.polled(4, 5, poll_reply(&[], &[]));
    sidecar.take_actions();
    sidecar.handle_entry_start(6, command(3));
    let replaced = work::Outcome::NotStarted(Reason::Replaced);
    assert_eq!(sidecar.take_actions().replies, [(Entry(7), attempt(3, 1), replaced, 0)]);
    assert_eq!(sidecar.revision(), Revision { incarnation: 2, change: 0 });
}

/// Guards against a task that counts as having crashed a server that has not confirmed its start, and
/// against one that does not count although it ran.
#[test]
fn a_loss_tells_whether_the_server_had_confirmed_the_start() {
    let loss_after = |result: Option<StartResult>, running: &[Attempt]| {
        let mut sidecar = sidecar();
        command(&mut sidecar, 0, attempt(1, 1));
        if let Some(result) = result {
            sidecar.start_answered(1, attempt(1, 1), result);
        }
        sidecar.polled(2, 3, PollReply { clock_ms: 3, ..poll_reply(running, &[]) });
        sidecar.take_actions();
        for at_ms in [1_400, 1_440, 1_480] {
            sidecar.poll_failed(at_ms, at_ms, true);
        }
        sidecar.take_actions().replies
    };
    let lost = |began| {
        let loss = Loss { began, confirmed: false };
        vec![(Entry(7), attempt(1, 1), work::Outcome::Lost(loss), 0)]
    };
    assert_eq!(loss_after(Some(StartResult::Started), &[]), lost(true));
    assert_eq!(loss_after(None, &[attempt(1, 1)]), lost(true), "a list shows that it runs");
    assert_eq!(loss_after(None, &[]), lost(false));
    assert_eq!(loss_after(Some(StartResult::Unknown), &[]), lost(false));
}

/// Guards against a task that counts as having crashed a server which had announced its end.
#[test]
fn the_end_of_a_draining_server_is_no_crash_for_an_entry() {
    let drained = || {
        let mut sidecar = sidecar();
        command(&mut sidecar, 0, attempt(1, 1));
        sidecar.start_answered(1, attempt(1, 1), StartResult::Started);
        announce(&mut sidecar, 2, Server { draining: true, ..server(1, 1_000) }, 2);
        sidecar
    };
    let stopped = [(Entry(7), attempt(1, 1), work::Outcome::Stopped, 0)];
    let mut refused = drained();
    for at_ms in [1_400, 1_440, 1_480] {
        refused.poll_failed(at_ms, at_ms, true);
    }
    assert_eq!(refused.take_actions().replies, stopped);
    assert!(refused.server().is_some(), "it may answer again");
    let mut replaced = drained();
    announce(&mut replaced, 10, server(2, 1_000), 1);
    replaced.polled(10, 11, poll_reply(&[], &[]));
    assert_eq!(replaced.take_actions().replies, stopped);
}

/// Guards against waiting for attempts of a server that has crashed and been started again under
/// its id.
#[test]
fn attempts_are_lost_when_a_new_incarnation_of_the_server_runs_nothing() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    announce(&mut sidecar, 10, server(2, 1_000), 1);
    sidecar.polled(10, 11, poll_reply(&[], &[]));
    assert_eq!(sidecar.take_actions().replies, [(Entry(7), attempt(1, 1), CRASHED, 0)]);
    sidecar.announce(11, server(1, 1_000), addr(), 99);
    let late = Identity { server: server(1, 1_000).id, addr: addr() };
    sidecar.checked(12, 13, &late, Check::Other);
    let (known, _) = sidecar.server().unwrap();
    assert_eq!(
        known.id.started_at_ms, 2,
        "a late announcement of the earlier incarnation changes nothing"
    );
}

/// Guards against two runs of a task at the same time: a call to start an attempt was received by a
/// server that had just been started again under its id. The attempt counted as lost when the server
/// announced itself, while it ran there.
#[test]
fn an_attempt_that_reached_a_new_incarnation_is_lost_only_once_it_has_stopped() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    let before = sidecar.poll(9).unwrap();
    announce(&mut sidecar, 10, server(2, 1_000), 1);
    assert!(sidecar.poll(10).unwrap().fence > before.fence, "later calls for the earlier one fail");
    assert!(!sidecar.release(10, Entry(7)));
    sidecar.polled(10, 11, poll_reply(&[attempt(1, 1)], &[]));
    let actions = sidecar.take_actions();
    assert_eq!((actions.replies, actions.stops), (vec![], vec![attempt(1, 1)]));
    let stopped = [(1, attempt(1, 1), queue::Outcome::Stopped)];
    sidecar.polled(12, 13, poll_reply(&[], &stopped));
    assert_eq!(sidecar.take_actions().replies, [(Entry(7), attempt(1, 1), CRASHED, 0)]);
    assert!(sidecar.release(14, Entry(7)));
}

/// Guards against a leader that starts a task elsewhere while a call to start it, sent to the earlier
/// process of the server, may still be carried out: the report names the attempt until then.
#[test]
fn an_attempt_of_the_leader_that_may_still_start_is_reported() {
    let mut sidecar = sidecar();
    sidecar.handle_start(0, Source::Leader, start(attempt(1, 1)), 0, 0);
    sidecar.handle_start(0, ENTRY, start(attempt(2, 1)), 0, 100);
    assert_eq!(sidecar.report(0).undecided, []);
    announce(&mut sidecar, 10, server(2, 1_000), 1);
    assert_eq!(sidecar.report(0).undecided, [attempt(1, 1)]);
    sidecar.polled(10, 11, poll_reply(&[attempt(1, 1)], &[]));
    assert_eq!(sidecar.report(0).undecided, [attempt(1, 1)]);
    sidecar.polled(12, 13, poll_reply(&[], &[]));
    assert_eq!(sidecar.report(0).undecided, []);
}

/// Guards against a task that counts as having crashed a server on which it has not started yet.
#[test]
fn an_attempt_that_waits_for_capacity_is_refused_when_the_server_crashes() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    command(&mut sidecar, 0, attempt(2, 1));
    announce(&mut sidecar, 1, server(2, 1_000), 1);
    let refused = work::Outcome::NotStarted(Reason::Unavailable);
    assert_eq!(sidecar.take_actions().replies, [(Entry(7), attempt(2, 1), refused, 0)]);
    sidecar.polled(2, 3, poll_reply(&[], &[]));
    assert_eq!(sidecar.take_actions().replies, [(Entry(7), attempt(1, 1), CRASHED, 0)]);
}

/// Guards against a task that counts as having crashed a server which has left on its own.
#[test]
fn attempts_are_stopped_when_the_server_leaves() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    sidecar.leave("b");
    assert_eq!(sidecar.take_actions().replies, [], "its attempts may still run");
    refuse_until_gone(&mut sidecar);
    let stopped = work::Outcome::Stopped;
    assert_eq!(sidecar.take_actions().replies, [(Entry(7), attempt(1, 1), stopped, 0)]);
    assert_eq!(sidecar.poll(1_241), None, "nothing is left to call");
}

/// Lets the calls to a server be refused until its process counts as gone.
fn refuse_until_gone(sidecar: &mut Sidecar) {
    for at_ms in [1_200, 1_240] {
        sidecar.poll_failed(at_ms, at_ms, true);
    }
}

/// Guards against a live server that is left alone for good after a notice of another writer.
#[test]
fn a_server_that_announces_itself_after_a_notice_of_leaving_is_used_again() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    sidecar.leave("b");
    let refused = work::Outcome::NotStarted(Reason::Unavailable);
    let reply = (Entry(7), attempt(2, 1), refused, 0);
    assert_eq!(command(&mut sidecar, 1, attempt(2, 1)).replies, [reply]);
    assert!(sidecar.poll(2).unwrap().lease_until_ms.is_some(), "what runs goes on");
    announce(&mut sidecar, 3, server(1, 1_000), 2);
    assert!(sidecar.load(0).open);
    for at_ms in [1_200, 1_240] {
        sidecar.poll_failed(at_ms, at_ms, true);
    }
    let lost = (Entry(7), attempt(1, 1), REFUSED, 0);
    assert_eq!(sidecar.take_actions().replies, [lost], "it has crashed and not left");
}

/// A sidecar whose server has announced the same twice, and an announcement that contradicts it.
fn sidecar_with_contender(contender: Server, addr: SocketAddr, seq: u64) -> Sidecar {
    let mut sidecar = sidecar();
    announce(&mut sidecar, 0, server(1, 1_000), 2);
    sidecar.announce(1, contender, addr, seq);
    sidecar
}

/// Guards against a server that is used for another service, polled at another address, or used as if
/// it had another capacity, since an announcement of another writer has a higher number.
#[test]
fn a_contradicting_announcement_does_not_describe_the_server() {
    let service = Server { service: "none".to_owned(), ..server(1, 1_000) };
    let labels = Server { labels: vec!["rack".to_owned()], ..server(1, 1_000) };
    for (contender, at) in [
        (service, addr()),
        (labels, addr()),
        (server(1, 9_000), addr()),
        (server(1, 1_000), elsewhere()),
    ] {
        let mut sidecar = sidecar_with_contender(contender, at, 4_000_000_000);
        assert_eq!(sidecar.server().unwrap(), (&server(1, 1_000), addr()));
        assert!(sidecar.load(0).open);
        assert_eq!(command(&mut sidecar, 2, attempt(1, 1)).starts.len(), 1);
        assert_eq!(command(&mut sidecar, 2, attempt(2, 1)).starts.len(), 0, "it has no capacity");
        announce(&mut sidecar, 1_500, Server { draining: true, ..server(1, 1_000) }, 3);
        assert!(!sidecar.load(0).open, "the later announcements of the server count");
    }
}

/// Guards against a server that is hidden for good: an announcement of another writer says that it
/// drains, or describes another capacity, under a number that its own ones never reach.
#[test]
fn the_writer_that_goes_on_describes_the_server() {
    let draining = Server { draining: true, ..server(1, 1_000) };
    let mut sidecar = sidecar_with_contender(draining, addr(), 4_000_000_000);
    assert!(!sidecar.load(0).open);
    for (now_ms, seq, open) in [(1_000, 3, false), (2_500, 4, false), (4_000, 5, true)] {
        announce(&mut sidecar, now_ms, server(1, 1_000), seq);
        assert_eq!(sidecar.load(0).open, open, "at {now_ms}");
    }
    let mut late = sidecar_with_contender(server(1, 9_000), addr(), 9);
    late.announce(5_000, server(1, 9_000), addr(), 9);
    assert_eq!(late.server().unwrap().0, &server(1, 1_000), "a copy is no later announcement");
}

/// Guards against starts on a server that drains: the announcement that says so is also the first with
/// another capacity, which by itself would have to be repeated.
#[test]
fn a_drain_counts_although_the_capacity_changes_with_it() {
    for cpu_milli in [500, 2_000] {
        let mut sidecar = sidecar();
        announce(&mut sidecar, 10, Server { draining: true, ..server(1, cpu_milli) }, 2);
        assert!(!sidecar.load(0).open, "with {cpu_milli}");
        announce(&mut sidecar, 1_500, server(1, 1_000), 3);
        assert!(sidecar.load(0).open, "a later announcement ends it");
    }
}

/// Guards against a drain that is forgotten because late announcements from before it arrive.
#[test]
fn late_announcements_do_not_end_a_drain() {
    let mut sidecar = sidecar();
    announce(&mut sidecar, 10, Server { draining: true, ..server(1, 1_000) }, 9);
    for seq in [5, 6, 7, 8] {
        announce(&mut sidecar, 1_000, server(1, 1_000), seq);
    }
    announce(&mut sidecar, 1_500, Server { draining: true, ..server(1, 1_000) }, 10);
    announce(&mut sidecar, 4_000, server(1, 1_000), 8);
    assert!(!sidecar.load(0).open);
}

/// Guards against starts on a server of another service: the first announcement of its incarnation is
/// of another writer. Nothing starts until one of the two is repeated.
#[test]
fn nothing_starts_while_two_writers_describe_a_new_server() {
    let described = |service: &str| Server { service: service.to_owned(), ..server(1, 1_000) };
    let mut sidecar = sidecar_of(described("other"));
    announce(&mut sidecar, 100, described("quotes"), 1);
    assert!(!sidecar.load(0).open);
    announce(&mut sidecar, 1_600, described("quotes"), 2);
    assert!(sidecar.load(0).open);
    assert_eq!(sidecar.server().unwrap().0.service, "quotes");
}

/// Guards against the loss of an outcome: completions are acknowledged in order. One for the leader
/// is acknowledged only once it is stored; one for an entry needs no storing, but waits for those
/// before it.
#[test]
fn completions_for_the_leader_are_acknowledged_once_stored() {
    let mut sidecar = sidecar();
    sidecar.handle_start(0, Source::Leader, start(attempt(1, 1)), 0, 0);
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
    sidecar.handle_commands(7, 6, &report, Commands { completions_stored: 1, ..commands(9) });
    assert_eq!(sidecar.poll(8).unwrap().acknowledged, 2);
}

/// Guards against a task that runs twice with both ends counting: the leader had given up an attempt
/// that had ended as done. What runs beside it may end before the lease is left to expire.
#[test]
fn ends_that_do_not_count_are_acknowledged_after_the_lease_has_expired() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(2, 1));
    let ends = [(1, attempt(1, 1), queue::Outcome::Done), (2, attempt(3, 1), queue::Outcome::Done)];
    sidecar.polled(1, 2, poll_reply(&[attempt(2, 1)], &ends));
    let report = sidecar.report(0);
    let stored = Commands { completions_stored: 2, ..commands(9) };
    // The answer to a report that did not list the ends says nothing of them.
    let earlier = Report { completions: Vec::new(), ..report.clone() };
    sidecar.handle_commands(3, 2, &earlier, stored.clone());
    assert_eq!(sidecar.poll(3).unwrap().acknowledged, 0);
    sidecar.handle_commands(4, 2, &report, Commands { completions_fenced: vec![1], ..stored });
    assert!(!sidecar.load(0).open);
    let poll = sidecar.poll(100).unwrap();
    assert!(poll.acknowledged == 0 && poll.lease_until_ms.is_some(), "{poll:?}");
    let third = (3, attempt(2, 1), queue::Outcome::Done);
    sidecar.polled(200, 201, poll_reply(&[], &[ends[0], ends[1], third]));
    // A lease of 1,000 ms lasts 1,020 ms by a clock that is 2% slow; 100 ms are slack.
    for now_ms in [300, 301, 300 + 1_020 + 99] {
        let poll = sidecar.poll(now_ms).unwrap();
        assert_eq!((poll.acknowledged, poll.lease_until_ms), (0, None), "at {now_ms} ms");
    }
    let poll = sidecar.poll(300 + 1_020 + 100).unwrap();
    assert!(poll.acknowledged == 3 && poll.lease_until_ms.is_some(), "{poll:?}");
    assert!(sidecar.load(0).open);
}

/// Guards against acknowledgements that wait for an attempt that takes long.
#[test]
fn the_lease_is_left_to_expire_under_an_attempt_that_takes_long() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(2, 1));
    let done = [(1, attempt(1, 1), queue::Outcome::Done)];
    sidecar.polled(1, 2, poll_reply(&[attempt(2, 1)], &done));
    let report = sidecar.report(0);
    let fenced = Commands { completions_stored: 1, completions_fenced: vec![1], ..commands(9) };
    sidecar.handle_commands(4, 2, &report, fenced);
    assert!(sidecar.poll(1_503).unwrap().lease_until_ms.is_some());
    assert_eq!(sidecar.poll(1_504).unwrap().lease_until_ms, None);
    assert_eq!(sidecar.poll(1_503 + 1_020 + 102).unwrap().acknowledged, 1);
}

/// Guards against two runs of a task at the same time: an attempt whose stops get no answer goes on
/// under the lease of its server after the leader has started the task elsewhere.
#[test]
fn the_lease_of_the_server_ends_soon_after_that_of_the_leader() {
    let mut sidecar = sidecar();
    sidecar.handle_start(0, Source::Leader, start(attempt(1, 1)), 0, 0);
    sidecar.polled(
        9_900,
        9_900,
        PollReply { clock_ms: 9_900, ..poll_reply(&[attempt(1, 1)], &[]) },
    );
    // The leader's lease expires at 10,000 ms.
    let until_ms = sidecar.poll(9_900).unwrap().lease_until_ms.unwrap();
    assert!(until_ms <= 10_500, "{until_ms}");
    assert_eq!(sidecar.poll(10_500).unwrap().lease_until_ms, None);
}

/// Guards against two runs of a task at the same time: a late command started its attempt under the
/// lease that the server had got before, and that ended over 500 ms after the lease of the entry.
#[test]
fn a_late_command_waits_while_the_lease_of_the_server_outlasts_its_own() {
    let mut sidecar = sidecar();
    // The server's lease ends 1,020 ms later, that of the entry at 10,000 ms.
    assert!(sidecar.poll(9_550).unwrap().lease_until_ms.is_some());
    assert_eq!(command(&mut sidecar, 9_600, attempt(1, 1)), Actions::default());
    let until_ms = sidecar.poll(9_620).unwrap().lease_until_ms.unwrap();
    assert!(until_ms <= 10_500, "the server's lease must not grow while the attempt waits");
    sidecar.renew(Entry(7), 10_300);
    sidecar.tick(9_650);
    assert_eq!(sidecar.take_actions().starts, [start(attempt(1, 1))]);
}

/// Guards against two runs of a task at the same time: an attempt whose stop was not confirmed went
/// on under leases that its entry renewed for others, after the caller had sent the job elsewhere.
#[test]
fn renewals_after_a_stop_do_not_keep_the_stopped_attempt() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 9_000, attempt(1, 1));
    sidecar.start_answered(9_001, attempt(1, 1), StartResult::Started);
    sidecar.stop_for(ENTRY, attempt(1, 1));
    sidecar.renew(Entry(7), 10_600);
    let until_ms = sidecar.poll(9_900).unwrap().lease_until_ms.unwrap();
    assert!(until_ms <= 10_500, "{until_ms}");
    assert_eq!(sidecar.poll(10_500).unwrap().lease_until_ms, None);
    sidecar.polled(10_510, 10_511, poll_reply(&[], &[(1, attempt(1, 1), queue::Outcome::Stopped)]));
    assert!(sidecar.poll(10_520).unwrap().lease_until_ms.is_some(), "nothing is being stopped");
}

/// Guards against a command that waits for a renewal of its lease until its caller's deadline.
#[test]
fn an_attempt_whose_lease_is_not_renewed_in_time_is_refused() {
    let mut sidecar = sidecar();
    sidecar.poll(9_550);
    sidecar.handle_start(9_600, ENTRY, start(attempt(1, 1)), 9_600, 9_700);
    sidecar.tick(9_700);
    let actions = sidecar.take_actions();
    let outcome = work::Outcome::NotStarted(Reason::Expired);
    assert_eq!(
        (actions.starts, actions.replies),
        (vec![], vec![(Entry(7), attempt(1, 1), outcome, 0)])
    );
}

/// Guards against commands that are lost or carried out twice when answers overtake each other or
/// are repeated.
#[test]
fn batches_are_handled_once_and_in_order() {
    let mut sidecar = sidecar();
    let batch = |number, job| Batch { number, starts: vec![start(attempt(job, 1))], stops: vec![] };
    let report = sidecar.report(0);
    let second = Commands { batches: vec![batch(2, 2)], ..commands(9) };
    sidecar.handle_commands(1, 0, &report, second.clone());
    assert_eq!(sidecar.take_actions().starts, []);
    sidecar.handle_commands(1, 0, &report, Commands { batches: vec![batch(1, 1)], ..commands(9) });
    assert_eq!(
        sidecar.take_actions().starts,
        [start(attempt(1, 1))],
        "there is no capacity for the second"
    );
    sidecar.handle_commands(1, 0, &report, second);
    assert_eq!(sidecar.report(0).not_started.len(), 1);
    assert_eq!(sidecar.report(0).batch, 2);
}

/// A sidecar that has an attempt whose start had no answer. Its server counts as lost at 1,300 ms, as
/// it has not answered since and its lease has expired.
fn sidecar_with_unanswered_start() -> Sidecar {
    let mut sidecar = sidecar();
    command(&mut sidecar, 100, attempt(1, 1));
    assert!(sidecar.poll(100).unwrap().lease_until_ms.is_some());
    sidecar.start_answered(150, attempt(1, 1), StartResult::Unknown);
    sidecar.take_actions();
    for sent_ms in [200, 300, 1_200] {
        sidecar.poll_failed(sent_ms, sent_ms + 100, false);
    }
    assert!(matches!(sidecar.report(0).backend, Backend::Lost));
    sidecar
}

/// Guards against two runs of a task at the same time: a start without an answer counted as ended when
/// its server was lost, its task started elsewhere, and the server, which knew no higher fencing
/// token, carried the start out late.
#[test]
fn an_unanswered_start_on_a_lost_server_counts_until_a_later_fence_is_answered() {
    let before = sidecar().poll(100).unwrap().fence;
    let mut sidecar = sidecar_with_unanswered_start();
    assert_eq!(sidecar.take_actions().replies, [], "it may still be carried out");
    assert!(sidecar.poll(1_301).unwrap().fence > before, "the late start has to be refused");
    assert!(!sidecar.release(1_301, Entry(7)));
    sidecar.polled(1_250, 1_310, PollReply { clock_ms: 1_310, ..poll_reply(&[], &[]) });
    assert_eq!(sidecar.take_actions().replies, [], "the poll carried the earlier fencing token");
    assert!(!sidecar.clean() && !sidecar.load(0).open);
    sidecar.polled(1_300, 1_311, PollReply { clock_ms: 1_311, ..poll_reply(&[], &[]) });
    assert_eq!(sidecar.take_actions().replies, [], "the poll may be older than the loss");
    sidecar.polled(1_312, 1_313, PollReply { clock_ms: 1_313, ..poll_reply(&[], &[]) });
    let stopped = (Entry(7), attempt(1, 1), work::Outcome::Stopped, 0);
    assert_eq!(sidecar.take_actions().replies, [stopped]);
    assert!(sidecar.clean() && sidecar.release(1_314, Entry(7)));
}

/// Guards against the same if the start was carried out before the server heard of the higher fencing
/// token: the attempt is stopped first.
#[test]
fn an_unanswered_start_that_runs_after_a_loss_counts_until_it_has_stopped() {
    let mut sidecar = sidecar_with_unanswered_start();
    let reply = poll_reply(&[attempt(1, 1)], &[]);
    sidecar.polled(1_310, 1_311, PollReply { clock_ms: 1_311, ..reply });
    let actions = sidecar.take_actions();
    assert_eq!((actions.replies, actions.stops), (vec![], vec![attempt(1, 1)]));
    sidecar.polled(1_350, 1_351, PollReply { clock_ms: 1_351, ..poll_reply(&[], &[]) });
    let stopped = (Entry(7), attempt(1, 1), work::Outcome::Stopped, 0);
    assert_eq!(sidecar.take_actions().replies, [stopped]);
}

/// Guards against attempts that are never reported as ended: the server was lost after a start without
/// an answer, and its end shows otherwise than by a list.
#[test]
fn an_unanswered_start_on_a_lost_server_ends_with_the_server() {
    let ended = |end: &dyn Fn(&mut Sidecar)| {
        let mut sidecar = sidecar_with_unanswered_start();
        sidecar.take_actions();
        end(&mut sidecar);
        sidecar.take_actions().replies
    };
    let reply = |outcome| vec![(Entry(7), attempt(1, 1), outcome, 0)];
    let refuse = |sidecar: &mut Sidecar| {
        sidecar.poll_failed(1_400, 1_400, true);
        sidecar.poll_failed(1_440, 1_440, true);
    };
    assert_eq!(ended(&refuse), reply(REFUSED));
    let leave = |sidecar: &mut Sidecar| {
        sidecar.leave("b");
        assert_eq!(sidecar.take_actions().replies, [], "the notice may have another writer");
        refuse(sidecar);
    };
    assert_eq!(ended(&leave), reply(work::Outcome::Stopped));
    let replace = |sidecar: &mut Sidecar| {
        announce(sidecar, 1_400, server(2, 1_000), 1);
        sidecar.polled(1_401, 1_402, poll_reply(&[], &[]));
    };
    assert_eq!(ended(&replace), reply(CRASHED));
}

/// Guards against the restart of a cancelled job: the cancel arrived while its server was lost and
/// its attempt might still start.
#[test]
fn an_unanswered_start_on_a_lost_server_can_be_cancelled() {
    let mut sidecar = sidecar_with_unanswered_start();
    sidecar.take_actions();
    assert!(sidecar.cancel(Id(1)));
    sidecar.polled(1_312, 1_313, PollReply { clock_ms: 1_313, ..poll_reply(&[], &[]) });
    let canceled = (Entry(7), attempt(1, 1), work::Outcome::Canceled, 0);
    assert_eq!(sidecar.take_actions().replies, [canceled]);
}

/// Guards against two runs of a durable task at the same time: the leader starts the tasks of a lost
/// server elsewhere, and does not hear that one of them may still start there.
#[test]
fn the_leader_is_told_which_of_its_attempts_may_start_at_a_lost_server() {
    let mut sidecar = sidecar();
    sidecar.handle_start(0, Source::Leader, start(attempt(1, 1)), 0, 0);
    sidecar.start_answered(1, attempt(1, 1), StartResult::Unknown);
    for sent_ms in [1_500, 1_600, 1_700] {
        sidecar.poll_failed(sent_ms, sent_ms + 1, false);
    }
    let report = sidecar.report(0);
    assert_eq!((report.backend, report.undecided), (Backend::Lost, vec![attempt(1, 1)]));
    sidecar.polled(2_000, 2_001, PollReply { clock_ms: 2_000, ..poll_reply(&[], &[]) });
    assert_eq!(sidecar.report(0).undecided, []);
}

/// Guards against two runs of a task at the same time: a poll without an answer was carried out late
/// and prolonged the lease of an attempt that counted as ended with the lost server.
#[test]
fn a_confirmed_attempt_on_a_lost_server_counts_until_a_later_fence_is_answered() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 100, attempt(1, 1));
    sidecar.start_answered(150, attempt(1, 1), StartResult::Started);
    for sent_ms in [200, 300, 1_200] {
        sidecar.poll_failed(sent_ms, sent_ms + 100, false);
    }
    assert!(matches!(sidecar.report(0).backend, Backend::Lost));
    assert_eq!(sidecar.take_actions().replies, []);
    sidecar.polled(1_310, 1_311, PollReply { clock_ms: 1_311, ..poll_reply(&[], &[]) });
    let stopped = (Entry(7), attempt(1, 1), work::Outcome::Stopped, 0);
    assert_eq!(sidecar.take_actions().replies, [stopped]);
}

/// Guards against an attempt that outlives the lease of its entry: a poll without an answer was carried
/// out late, and gave the server a lease from then on, although newer calls had reached it.
#[test]
fn a_poll_without_an_answer_is_refused_after_any_later_call() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    sidecar.start_answered(1, attempt(1, 1), StartResult::Started);
    let unanswered = sidecar.poll(100).unwrap();
    let overlapping = sidecar.poll(240).unwrap();
    assert_eq!(overlapping.fence, unanswered.fence);
    sidecar.polled(240, 350, PollReply { clock_ms: 350, ..poll_reply(&[attempt(1, 1)], &[]) });
    sidecar.poll_failed(100, 400, false);
    let later = sidecar.poll(401).unwrap();
    assert!(later.fence > unanswered.fence && later.lease_until_ms.is_some());
    sidecar.poll_failed(360, 402, false);
    assert_eq!(sidecar.poll(402).unwrap().fence, later.fence, "it carried the lower token");
}

/// Guards against the same by a start without an answer.
#[test]
fn a_start_without_an_answer_is_refused_after_any_later_call() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 100, attempt(1, 1));
    let before = sidecar.poll(100).unwrap().fence;
    sidecar.start_answered(160, attempt(1, 1), StartResult::Unknown);
    assert_eq!(sidecar.take_actions().stops, [attempt(1, 1)]);
    assert!(sidecar.poll(160).unwrap().fence > before);
}

/// Guards against starts that are refused for no reason, since others under the same token had no
/// answer: one higher token fences them all.
#[test]
fn starts_without_an_answer_under_one_token_raise_it_once() {
    let mut sidecar = sidecar();
    for task in [1, 2] {
        let needs = Resources { cpu_milli: 100, memory_mb: 1, accelerators: 0 };
        let start = Start { needs, ..start(attempt(task, 1)) };
        sidecar.handle_start(100, ENTRY, start, 100, 600);
    }
    assert!(sidecar.poll(100).unwrap().lease_until_ms.is_some());
    sidecar.start_answered(160, attempt(1, 1), StartResult::Unknown);
    let raised = sidecar.poll(161).unwrap().fence;
    sidecar.start_answered(162, attempt(2, 1), StartResult::Unknown);
    assert_eq!(sidecar.poll(163).unwrap().fence, raised);
}

/// Guards against a late start that prolongs the lease of its server: its attempt had been stopped and
/// was absent from a list before the start counted as unanswered.
#[test]
fn a_start_without_an_answer_is_fenced_although_its_attempt_was_stopped() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 100, attempt(1, 1));
    let before = sidecar.poll(100).unwrap().fence;
    sidecar.stop(attempt(1, 1));
    sidecar.stop_confirmed(110, attempt(1, 1));
    sidecar.polled(120, 121, PollReply { clock_ms: 121, ..poll_reply(&[], &[]) });
    assert!(!sidecar.busy());
    sidecar.start_answered(160, attempt(1, 1), StartResult::Unknown);
    assert!(sidecar.poll(161).unwrap().fence > before);
}

/// Guards against fencing tokens that are used up by polls that cannot prolong a lease.
#[test]
fn polls_without_a_lease_do_not_raise_the_fencing_token() {
    let mut sidecar = sidecar();
    for sent_ms in [100, 500] {
        assert!(sidecar.poll(sent_ms).unwrap().lease_until_ms.is_some());
        sidecar.poll_failed(sent_ms, sent_ms + 300, false);
    }
    let fence = sidecar.poll(900).unwrap().fence;
    for sent_ms in [900, 1_000, 1_100] {
        assert_eq!(sidecar.poll(sent_ms).unwrap().lease_until_ms, None);
        sidecar.poll_failed(sent_ms, sent_ms + 50, false);
        assert_eq!(sidecar.poll(sent_ms + 51).unwrap().fence, fence);
    }
}

/// Guards against a task that never starts again because its server stays silent: once all calls have
/// been carried out and all leases have expired, its attempt has ended.
#[test]
fn an_attempt_on_a_server_that_stays_silent_ends_after_all_late_calls() {
    let mut sidecar = sidecar_with_unanswered_start();
    let lost_ms = 1_300;
    sidecar.poll_failed(14_299, lost_ms + LATE_CALL_MAX_MS - 1, false);
    assert_eq!(sidecar.take_actions().replies, []);
    sidecar.poll_failed(14_300, lost_ms + LATE_CALL_MAX_MS, false);
    let stopped = (Entry(7), attempt(1, 1), work::Outcome::Stopped, 0);
    assert_eq!(sidecar.take_actions().replies, [stopped]);
}

/// Guards against a late start that runs although its attempt counts as ended: the fencing tokens of
/// the sidecar were used up, and a list under the same token as before showed that it was absent.
#[test]
fn without_a_higher_fence_a_list_shows_the_absence_only_after_all_late_calls() {
    let mut sidecar = sidecar();
    let mut now_ms = 100;
    let mut last_fence = 0;
    loop {
        sidecar.renew(Entry(7), now_ms + 700);
        assert_eq!(command(&mut sidecar, now_ms, attempt(1, 1)).starts.len(), 1);
        sidecar.start_answered(now_ms, attempt(1, 1), StartResult::Unknown);
        for _ in 0..12 {
            sidecar.poll_failed(now_ms, now_ms + 100, false);
            now_ms += 100;
        }
        sidecar.take_actions();
        now_ms += 1;
        let fence = sidecar.poll(now_ms).unwrap().fence;
        let exhausted = fence == last_fence;
        last_fence = fence;
        sidecar.polled(now_ms, now_ms + 1, PollReply { clock_ms: now_ms, ..poll_reply(&[], &[]) });
        assert_eq!(sidecar.clean(), !exhausted);
        if exhausted {
            break;
        }
        now_ms += 1;
    }
    now_ms += LATE_CALL_MAX_MS;
    sidecar.polled(now_ms, now_ms + 1, PollReply { clock_ms: now_ms, ..poll_reply(&[], &[]) });
    assert!(sidecar.clean());
}

/// Guards against two runs of a task at the same time: connections to a server were refused while its
/// attempts ran, and that counted as the end of its process. A path may be cut with resets, and a
/// draining server may close its listener.
#[test]
fn refused_connections_do_not_end_attempts_before_the_lease_of_their_server() {
    [false, true].into_iter().for_each(refuse_connections);
}

fn refuse_connections(draining: bool) {
    let refusing = || {
        let mut sidecar = sidecar();
        command(&mut sidecar, 0, attempt(1, 1));
        sidecar.start_answered(1, attempt(1, 1), StartResult::Started);
        announce(&mut sidecar, 2, Server { draining, ..server(1, 1_000) }, 2);
        assert!(sidecar.poll(10).unwrap().lease_until_ms.is_some());
        for at_ms in [22, 48, 1_129] {
            sidecar.poll_failed(at_ms, at_ms, true);
        }
        assert_eq!(sidecar.take_actions().replies, [], "its lease may run until 1,130 ms");
        sidecar
    };
    let ended = |outcome| [(Entry(7), attempt(1, 1), outcome, 0)];
    let mut silent = refusing();
    // A lease of 1,000 ms from 10 ms on lasts 1,020 ms by a clock that is 2% slow; 100 ms are slack.
    silent.poll_failed(1_130, 1_130, true);
    assert_eq!(silent.take_actions().replies, []);
    silent.poll_failed(1_170, 1_170, true);
    // The end of a draining server is no crash.
    let lost = match draining {
        true => work::Outcome::Stopped,
        false => work::Outcome::Lost(Loss { began: true, confirmed: false }),
    };
    assert_eq!(silent.take_actions().replies, ended(lost), "nothing listens still");
    let mut left = refusing();
    left.leave("b");
    assert_eq!(left.take_actions().replies, [], "the notice does not shorten the lease");
    left.poll_failed(1_130, 1_130, true);
    assert_eq!(left.take_actions().replies, []);
    left.poll_failed(1_170, 1_170, true);
    assert_eq!(left.take_actions().replies, ended(work::Outcome::Stopped));
}

/// A late answer to a report from before `lose`, when the server is back, commands a start: which
/// starts are carried out, and by how much `lose` has raised the number of losses.
fn late_starts_after(lose: impl Fn(&mut Sidecar)) -> (Vec<Start>, u64) {
    let mut sidecar = sidecar();
    let report = sidecar.report(0);
    lose(&mut sidecar);
    sidecar.polled(1_300, 1_301, PollReply { clock_ms: 1_300, ..poll_reply(&[], &[]) });
    assert!(sidecar.load(0).open, "the server is back");
    let losses = sidecar.report(0).losses - report.losses;
    let batch = Batch { number: 1, starts: vec![start(attempt(1, 1))], stops: vec![] };
    sidecar.handle_commands(1_302, 0, &report, Commands { batches: vec![batch], ..commands(9) });
    (sidecar.take_actions().starts, losses)
}

/// Guards against a second run of a task beside the first: a late answer to a report from before the
/// server was lost commanded a start that the leader had given up since.
#[test]
fn commands_from_before_a_loss_of_the_server_start_nothing() {
    let started = late_starts_after(|sidecar| {
        sidecar.poll_failed(1_200, 1_201, true);
        sidecar.poll_failed(1_241, 1_242, true);
    });
    assert_eq!(started, (vec![], 1));
}

/// Guards against the same after a server has left and announced itself again, and against a leader
/// that does not learn that the attempts there were dropped.
#[test]
fn commands_from_before_a_leave_of_the_server_start_nothing() {
    let started = late_starts_after(|sidecar| {
        sidecar.leave("b");
        refuse_until_gone(sidecar);
        announce(sidecar, 1_250, server(1, 1_000), 2);
    });
    assert_eq!(started, (vec![], 1));
}

/// Guards against starts and leases by the word of a leader that another one has replaced, or of an
/// earlier registration: their answers may arrive late.
#[test]
fn commands_of_an_earlier_leader_or_registration_start_nothing() {
    let later = |generation| Commands { term: 2, ..commands(generation) };
    let late = [("term", commands(10)), ("generation", later(9))];
    for (what, late) in late {
        let mut sidecar = sidecar();
        for (at_ms, generation) in [(1, 0), (2, 10)] {
            let report = Report { generation, ..sidecar.report(0) };
            let answer = Commands { lease_ms: 1_000, ..later(10) };
            sidecar.handle_commands(at_ms, at_ms, &report, answer);
        }
        sidecar.take_actions();
        let batch = Batch { number: 1, starts: vec![start(attempt(1, 1))], stops: vec![] };
        let lease_ms = 60_000;
        let report = sidecar.report(0);
        let commands = Commands { batches: vec![batch.clone()], lease_ms, ..late };
        sidecar.handle_commands(3, 3, &report, commands);
        assert_eq!(sidecar.take_actions().starts, [], "{what}");
        sidecar.handle_commands(4, 4, &report, Commands { batches: vec![batch], ..later(10) });
        assert_eq!(sidecar.take_actions().starts.len(), 1, "{what}: of the present leader");
        sidecar.start_answered(5, attempt(1, 1), StartResult::Started);
        sidecar.tick(10_005);
        assert_eq!(
            sidecar.take_actions().stops,
            [attempt(1, 1)],
            "{what}: the lease is not longer"
        );
    }
}

/// Guards against a leader that counts a server as lost because its sidecar has just started:
/// attempts that the sidecar's earlier process had started continued while the leader started their
/// tasks again.
#[test]
fn a_server_that_was_never_announced_is_unknown_and_not_lost() {
    let mut sidecar = Sidecar::new("s".to_owned(), addr(), 1, LEASE_MS);
    assert_eq!(sidecar.report(0).backend, Backend::Unknown);
    announce(&mut sidecar, 0, server(1, 1_000), 1);
    assert_eq!(sidecar.report(0).backend, Backend::Present(server(1, 1_000)));
    sidecar.leave("b");
    let draining = Server { draining: true, ..server(1, 1_000) };
    assert_eq!(sidecar.report(0).backend, Backend::Present(draining));
    refuse_until_gone(&mut sidecar);
    assert_eq!(sidecar.report(0).backend, Backend::Lost);
}

/// A sidecar whose backend server runs an attempt of the leader, and was called to start another one and
/// one of an entry.
fn sidecar_with_attempts() -> Sidecar {
    let mut sidecar = sidecar_of(server(1, 1_800));
    sidecar.handle_start(0, Source::Leader, start(attempt(1, 1)), 0, 0);
    sidecar.handle_start(0, Source::Leader, start(attempt(4, 1)), 0, 0);
    sidecar.start_answered(0, attempt(4, 1), StartResult::Started);
    command(&mut sidecar, 0, attempt(2, 1));
    command(&mut sidecar, 0, attempt(3, 1));
    sidecar
}

/// Guards against a task that takes down server after server: a crash is reported with the attempts
/// that had been sent to the server, whether it is found by refused connections or by a new
/// incarnation, and also if the server did not answer before. Refused connections do not confirm it.
#[test]
fn attempts_that_were_sent_to_a_crashed_server_are_reported() {
    let crashes = |sidecar: &mut Sidecar| {
        let crashes = sidecar.report(0).crashes.into_iter();
        let parts = |c: Crash| (c.number, c.server, c.attempts, c.sent, c.others, c.confirmed);
        crashes.map(parts).collect::<Vec<_>>()
    };
    let (ran, sent) = (vec![attempt(4, 1)], vec![attempt(1, 1)]);
    let reported = |confirmed| [(1, server(1, 0).id, ran.clone(), sent.clone(), 1, confirmed)];
    let expected = reported(true);
    let mut replaced = sidecar_with_attempts();
    announce(&mut replaced, 10, server(2, 1_800), 1);
    assert_eq!(crashes(&mut replaced), expected);
    let mut refused = sidecar_with_attempts();
    for at_ms in [1, 41, 1_119] {
        refused.poll_failed(at_ms, at_ms, true);
    }
    assert_eq!(crashes(&mut refused), [], "its lease may run until 1,120 ms");
    refused.poll_failed(1_160, 1_160, true);
    refused.poll_failed(1_200, 1_200, true);
    assert_eq!(crashes(&mut refused), reported(false));
    announce(&mut refused, 1_210, server(2, 1_800), 1);
    assert_eq!(crashes(&mut refused), expected, "it is the same crash");
    let mut once_refused = sidecar_with_attempts();
    once_refused.poll_failed(1_160, 1_160, false);
    once_refused.poll_failed(1_200, 1_200, true);
    assert_eq!(crashes(&mut once_refused), [], "one refused connection may be an error");
    let mut silent = sidecar_with_attempts();
    silent.poll_failed(60_000, 60_000, false);
    assert_eq!(crashes(&mut silent), [], "it may be cut off");
    announce(&mut silent, 60_001, server(2, 1_800), 1);
    assert_eq!(crashes(&mut silent), expected);
}

/// Guards against counting the end of a server that leaves, drains or is cut off for a while as a
/// crash of its tasks.
#[test]
fn a_server_that_leaves_or_was_cut_off_has_not_crashed() {
    let mut left = sidecar_with_attempts();
    left.leave("b");
    announce(&mut left, 10, server(2, 1_800), 1);
    let mut draining = sidecar_with_attempts();
    announce(&mut draining, 1, Server { draining: true, ..server(1, 1_800) }, 3);
    announce(&mut draining, 10, server(2, 1_800), 1);
    let mut cut_off = sidecar_with_attempts();
    cut_off.poll_failed(60_000, 60_000, false);
    cut_off.polled(60_001, 60_002, PollReply { clock_ms: 60_000, ..poll_reply(&[], &[]) });
    announce(&mut cut_off, 60_003, server(2, 1_800), 1);
    for mut sidecar in [left, draining, cut_off] {
        assert_eq!(sidecar.report(0).crashes, []);
    }
}

/// Guards against a job that is shown as failed although no server has crashed: connections were
/// refused by a path that was cut, and the crash stayed reported when the server answered again.
#[test]
fn a_crash_is_taken_back_when_the_same_incarnation_answers_again() {
    let mut sidecar = sidecar_with_attempts();
    for at_ms in [1_119, 1_160, 1_200] {
        sidecar.poll_failed(at_ms, at_ms, true);
    }
    let reported: Vec<bool> = sidecar.report(0).crashes.iter().map(|c| c.confirmed).collect();
    assert_eq!(reported, [false]);
    sidecar.polled(1_300, 1_301, PollReply { clock_ms: 1_301, ..poll_reply(&[], &[]) });
    assert_eq!(sidecar.report(0).crashes, []);
    announce(&mut sidecar, 1_310, server(2, 1_800), 1);
    assert_eq!(sidecar.report(0).crashes, [], "nothing was sent to it since");
}

/// Guards against a crash that is never counted because a report or its answer was lost or the
/// leader has changed: it is reported until a leader has stored it.
#[test]
fn a_crash_is_reported_until_it_is_stored() {
    let mut sidecar = sidecar_with_attempts();
    announce(&mut sidecar, 10, server(2, 1_800), 1);
    let report = sidecar.report(0);
    sidecar.handle_commands(11, 10, &report, Commands { term: 2, ..commands(20) });
    assert_eq!(sidecar.report(0).crashes, report.crashes);
    let stored = Commands { crashes_stored: vec![1], ..commands(9) };
    sidecar.handle_commands(12, 10, &report, stored);
    assert_eq!(sidecar.report(0).crashes, []);
}

/// Guards against tasks that start again after they have ended: the first answer that a new process of
/// the sidecar reads has no room for all ends, and the others count as absent.
#[test]
fn a_truncated_list_does_not_show_which_attempts_have_ended() {
    let mut sidecar = Sidecar::new("s".to_owned(), addr(), 1, LEASE_MS);
    announce(&mut sidecar, 0, server(1, 1_000), 1);
    let report = sidecar.report(0);
    sidecar.handle_commands(0, 0, &report, commands(9));
    let first = poll_reply(&[], &[(1, attempt(1, 1), queue::Outcome::Done)]);
    sidecar.polled(1, 2, PollReply { truncated: true, ..first });
    let report = sidecar.report(0);
    assert_eq!((report.running, report.completions.len()), (None, 1));
    assert!(!sidecar.may_wait(), "the next answer is wanted at once");
    let second = poll_reply(&[], &[(2, attempt(2, 1), queue::Outcome::Done)]);
    sidecar.polled(3, 4, PollReply { clock_ms: 6, ..second });
    let report = sidecar.report(0);
    assert_eq!((report.running, report.completions.len()), (Some(vec![]), 2));
}

/// Guards against the same for an attempt that was called for and stopped: its end may be one of those
/// for which the answer has no room.
#[test]
fn a_truncated_list_does_not_show_that_a_stopped_attempt_never_ran() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    sidecar.start_answered(5, attempt(1, 1), StartResult::Unknown);
    sidecar.stop_confirmed(10, attempt(1, 1));
    sidecar.take_actions();
    let truncated = PollReply { clock_ms: 13, truncated: true, ..poll_reply(&[], &[]) };
    sidecar.polled(12, 13, truncated);
    assert_eq!(sidecar.take_actions().replies, []);
    let rest = poll_reply(&[], &[(1, attempt(1, 1), queue::Outcome::Done)]);
    sidecar.polled(14, 15, PollReply { clock_ms: 15, ..rest });
    let done = (Entry(7), attempt(1, 1), work::Outcome::Done, 15);
    assert_eq!(sidecar.take_actions().replies, [done]);
}

/// Guards against the same for an attempt that may run at a server that was lost.
#[test]
fn a_truncated_list_does_not_show_that_an_attempt_on_a_lost_server_has_ended() {
    let mut sidecar = sidecar_with_unanswered_start();
    sidecar.take_actions();
    let truncated = PollReply { clock_ms: 1_313, truncated: true, ..poll_reply(&[], &[]) };
    sidecar.polled(1_312, 1_313, truncated);
    assert_eq!(sidecar.take_actions().replies, []);
    sidecar.polled(1_320, 1_321, PollReply { clock_ms: 1_321, ..poll_reply(&[], &[]) });
    let stopped = (Entry(7), attempt(1, 1), work::Outcome::Stopped, 0);
    assert_eq!(sidecar.take_actions().replies, [stopped]);
}

/// Guards against starts beyond a capacity that has shrunk: an attempt that is being stopped still
/// uses its share.
#[test]
fn the_newest_announced_capacity_limits_starts() {
    let mut sidecar = sidecar();
    assert_eq!(command(&mut sidecar, 0, attempt(1, 1)).starts.len(), 1);
    announce(&mut sidecar, 1, server(1, 500), 2);
    sidecar.stop(attempt(1, 1));
    assert_eq!(command(&mut sidecar, 2, attempt(2, 1)).starts.len(), 0);
    sidecar.polled(3, 4, poll_reply(&[], &[(1, attempt(1, 1), queue::Outcome::Stopped)]));
    assert_eq!(sidecar.take_actions().starts, []);
    announce(&mut sidecar, 5, server(1, 600), 3);
    assert_eq!(sidecar.take_actions().starts, [start(attempt(2, 1))]);
}

/// A backend server that carries out starts late or not at all, whose attempts end at random times, and
/// which may start again.
struct FakeServer {
    id: ServerId,
    /// Number of its newest announcement.
    seq: u64,
    running: BTreeSet<Attempt>,
    /// Attempts that have ended or were stopped, and cannot start any more.
    ended: BTreeSet<Attempt>,
    completions: Vec<(u64, Attempt, queue::Outcome)>,
    /// Starts that were called for and are carried out late.
    delayed: Vec<Attempt>,
}

impl FakeServer {
    fn new(id: ServerId) -> FakeServer {
        FakeServer {
            id,
            seq: 1,
            running: BTreeSet::new(),
            ended: BTreeSet::new(),
            completions: Vec::new(),
            delayed: Vec::new(),
        }
    }

    fn server(&self) -> Server {
        Server { id: self.id.clone(), ..server(START_MS, 1_000) }
    }

    fn start(&mut self, attempt: Attempt) {
        if !self.ended.contains(&attempt) {
            self.running.insert(attempt);
        }
    }

    fn end(&mut self, attempt: Attempt, outcome: queue::Outcome) {
        if self.running.remove(&attempt) {
            self.completions.push((self.completions.len() as u64 + 1, attempt, outcome));
        }
        self.ended.insert(attempt);
    }
}

/// A sidecar, its backend server, and what is on its way between them.
struct History {
    sidecar: Sidecar,
    fake: FakeServer,
    now_ms: u64,
    job: u64,
    /// Number of the server's lifetimes.
    lives: u64,
    candidates: Vec<Identity>,
    /// Answers of candidates that have not arrived, and when the calls were sent.
    checked: Vec<(u64, Identity, Check)>,
    /// Stops that are not confirmed.
    stops: Vec<Attempt>,
    /// Whether another writer may announce the server as it is under a number that it never reaches.
    high_numbers: bool,
}

impl History {
    fn new(high_numbers: bool) -> History {
        History {
            high_numbers,
            sidecar: sidecar_of(server(START_MS, 1_000)),
            fake: FakeServer::new(server(START_MS, 1_000).id),
            now_ms: 10,
            job: 0,
            lives: 1,
            candidates: Vec::new(),
            checked: Vec::new(),
            stops: Vec::new(),
        }
    }

    /// Carries out a drawn step. `variant` draws what it leaves open.
    fn step(&mut self, kind: u16, variant: u16) {
        let now_ms = self.now_ms;
        match kind {
            0 | 1 => {
                self.job += 1;
                let attempt = attempt(self.job, 1);
                self.sidecar.handle_start(now_ms, ENTRY, start(attempt), now_ms, now_ms + 500);
            }
            2 => {
                let first = self.fake.running.first().copied();
                first.into_iter().for_each(|attempt| self.fake.end(attempt, queue::Outcome::Done));
            }
            3 => {
                let delayed = std::mem::take(&mut self.fake.delayed);
                delayed.into_iter().for_each(|attempt| self.fake.start(attempt));
            }
            4 => self.sidecar.stop(attempt(self.job, 1)),
            5 | 6 => self.poll(),
            7 => self.announce(),
            8 if variant.is_multiple_of(2) => self.restart(variant / 2, "b".to_owned()),
            8 => self.restart(variant / 2, self.fake.id.id.clone()),
            9 => self.restart(variant, format!("b{}", self.lives)),
            10 => {
                let started_at_ms = self.fake.id.started_at_ms + u64::from(variant % 3) - 1;
                let id = ServerId { id: "c".to_owned(), started_at_ms };
                self.claim(Server { id, ..self.fake.server() }, variant / 3);
            }
            11 => {
                let started_at_ms = self.fake.id.started_at_ms + 2 * u64::from(variant % 2) - 1;
                let id = ServerId { started_at_ms, ..self.fake.id.clone() };
                self.claim(Server { id, ..self.fake.server() }, variant / 2);
            }
            12 => {
                let mut server = self.fake.server();
                match variant % 4 {
                    0 => server.service = "other".to_owned(),
                    1 => server.capacity.cpu_milli = 500,
                    2 => server.draining = true,
                    _ => {}
                }
                self.claim(server, variant / 4);
            }
            13 => self.receive_checks(),
            14 => {
                self.call_candidates();
                if variant.is_multiple_of(2) {
                    self.receive_checks();
                }
            }
            _ => {
                let id = if variant.is_multiple_of(3) { "c" } else { self.fake.id.id.as_str() };
                self.sidecar.leave(id);
            }
        }
    }

    fn announce(&mut self) {
        self.fake.seq += 1;
        self.sidecar.announce(self.now_ms, self.fake.server(), addr(), self.fake.seq);
    }

    fn restart(&mut self, variant: u16, id: String) {
        self.lives += 1;
        let later = variant.is_multiple_of(2);
        let started_at_ms =
            if later { START_MS + 10 * self.lives } else { START_MS - 10 * self.lives };
        self.fake = FakeServer::new(ServerId { id, started_at_ms });
        self.announce();
    }

    /// Another writer announces a server.
    fn claim(&mut self, server: Server, variant: u16) {
        let addr = if variant.is_multiple_of(2) { addr() } else { elsewhere() };
        let seq = match variant / 2 % 4 {
            0 => 0,
            1 => self.fake.seq,
            3 if self.high_numbers || server != self.fake.server() => 4_000_000_000,
            _ => self.fake.seq + 1,
        };
        self.sidecar.announce(self.now_ms, server, addr, seq);
    }

    fn call_candidates(&mut self) {
        self.now_ms += 1;
        self.candidates.retain(|identity| self.sidecar.is_candidate(self.now_ms, identity));
        for identity in &self.candidates {
            let check = match (identity.addr == addr(), identity.server == self.fake.id) {
                (true, true) => Check::Present,
                (true, false) => Check::Other,
                (false, _) => Check::NoAnswer,
            };
            self.checked.push((self.now_ms, identity.clone(), check));
        }
    }

    fn receive_checks(&mut self) {
        self.now_ms += 1;
        for (sent_ms, identity, check) in std::mem::take(&mut self.checked) {
            self.sidecar.checked(sent_ms, self.now_ms, &identity, check);
        }
    }

    /// Whether the sidecar's calls reach the process that it knows: `None` if it knows none or nothing
    /// listens at the known address, `false` if its server has another id.
    fn reached(&self) -> Option<bool> {
        let (known, at) = self.sidecar.server()?;
        (at == addr()).then(|| known.id.id == self.fake.id.id)
    }

    fn poll(&mut self) {
        let Some((known, at)) = self.sidecar.server() else { return };
        let answers = at == addr() && known.id == self.fake.id;
        if answers {
            let running: Vec<Attempt> = self.fake.running.iter().copied().collect();
            let reply = poll_reply(&running, &self.fake.completions);
            self.sidecar.polled(self.now_ms, self.now_ms, reply);
        } else {
            let refused = self.reached().is_none();
            self.sidecar.poll_failed(self.now_ms, self.now_ms, refused);
        }
    }

    /// Carries out what the sidecar has decided on. Returns the attempts whose end it has reported.
    fn carry_out(&mut self, delays: bool) -> Vec<Attempt> {
        let mut ended = Vec::new();
        loop {
            let actions = self.sidecar.take_actions();
            let idle = actions.starts.is_empty() && actions.stops.is_empty();
            ended.extend(actions.replies.iter().map(|(_, attempt, ..)| *attempt));
            self.candidates.extend(actions.checks);
            self.stops.extend(actions.stops);
            for start in actions.starts {
                let result = match (self.reached(), delays) {
                    (None, _) => StartResult::NotStarted(Reason::NoAnswer),
                    (Some(false), _) => StartResult::NotStarted(Reason::Unavailable),
                    (Some(true), false) => {
                        self.fake.start(start.attempt);
                        StartResult::Started
                    }
                    (Some(true), true) => {
                        self.fake.delayed.push(start.attempt);
                        StartResult::Unknown
                    }
                };
                self.sidecar.start_answered(self.now_ms, start.attempt, result);
            }
            if self.reached().is_some() {
                for attempt in std::mem::take(&mut self.stops) {
                    if self.reached() == Some(true) {
                        self.fake.end(attempt, queue::Outcome::Stopped);
                    }
                    self.now_ms += 1;
                    self.sidecar.stop_confirmed(self.now_ms - 1, attempt);
                }
            }
            if idle {
                return ended;
            }
        }
    }

    /// Whether the sidecar may start attempts at its server after some of that one's announcements.
    fn is_used_again(&mut self) -> bool {
        for _ in 0..5 {
            self.now_ms += 1_500;
            self.announce();
            for _ in 0..3 {
                self.carry_out(false);
                self.call_candidates();
                self.receive_checks();
                self.poll();
                self.carry_out(false);
            }
        }
        let known = self.sidecar.server();
        known == Some((&self.fake.server(), addr())) && self.sidecar.load(0).open
    }
}

/// Whether a history keeps to the capacity, reports no end of an attempt that runs, and ends with a
/// server that is used.
fn holds(steps: Vec<u16>, high_numbers: bool) -> bool {
    let mut history = History::new(high_numbers);
    for step in steps {
        history.now_ms += 1;
        history.step(step % 16, step / 32);
        let ended = history.carry_out(step & 16 != 0);
        let running = &history.fake.running;
        if running.len() > 1 || ended.iter().any(|attempt| running.contains(attempt)) {
            return false;
        }
    }
    history.is_used_again()
}

/// Guards against starts beyond the capacity, against outcomes that are reported for attempts that
/// still run, and against a server that is not used any more, in random histories with delayed starts,
/// lost answers, restarts, and announcements and notices of other writers.
#[test]
fn no_history_exceeds_the_capacity_or_reports_the_end_of_a_running_attempt() {
    let holds: fn(Vec<u16>) -> bool = |steps| holds(steps, false);
    quickcheck::QuickCheck::new().tests(4_000).quickcheck(holds);
}

/// The same if another writer announces the server as it is under numbers that it never reaches.
#[test]
fn no_history_with_high_numbers_hides_the_server_or_reports_the_end_of_a_running_attempt() {
    let holds: fn(Vec<u16>) -> bool = |steps| holds(steps, true);
    quickcheck::QuickCheck::new().tests(4_000).quickcheck(holds);
}

/// Guards against a server that is hidden for good: another writer has announced once that it drains,
/// and once that it does not, under numbers that its own announcements never reach.
#[test]
fn a_contender_with_a_high_number_does_not_silence_the_server() {
    let mut history = History::new(true);
    history.announce();
    let draining = Server { draining: true, ..history.fake.server() };
    history.sidecar.announce(11, draining, addr(), 4_000_000_000);
    history.sidecar.announce(12, history.fake.server(), addr(), 3_999_999_999);
    assert!(history.is_used_again());
}

/// Guards against two runs of a task: the answer of a candidate arrives after the next lifetime, which
/// has the id of the known server, has started an attempt.
#[test]
fn a_late_answer_of_a_candidate_does_not_end_an_attempt_of_its_successor() {
    let mut history = History::new(true);
    for (kind, variant) in [(9, 0), (14, 1)] {
        history.step(kind, variant);
        history.carry_out(false);
    }
    history.restart(0, "b".to_owned());
    for kind in [0, 13] {
        history.step(kind, 0);
        assert_eq!(history.carry_out(false), []);
    }
    assert_eq!(history.fake.running.len(), 1);
    assert!(history.is_used_again());
}

/// Guards against the restart of a cancelled job: its server was lost before the stop.
#[test]
fn a_cancelled_attempt_whose_server_is_lost_has_outcome_canceled() {
    let mut sidecar = sidecar();
    command(&mut sidecar, 0, attempt(1, 1));
    assert!(sidecar.cancel(Id(1)));
    announce(&mut sidecar, 10, server(2, 1_000), 1);
    sidecar.polled(10, 11, poll_reply(&[], &[]));
    let canceled = (Entry(7), attempt(1, 1), work::Outcome::Canceled, 0);
    assert_eq!(sidecar.take_actions().replies, [canceled]);
}
