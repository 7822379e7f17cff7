//! Tests of the sidecar process with a fake control instance and the stand-in backend server.

mod testbed;
mod workdir;

use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use briargauge::{
    protocol::{
        id, job,
        wire::{
            control::{Refusal, Rules, ServerState},
            sidecar::{self, NotStarted, Reply, Revoked, RunResult},
        },
    },
    transport::rpc::{self, Link},
};
use futures::{FutureExt, future};
use nix::sys::signal::Signal;
use serde_json::json;
use testbed::{Testbed, attempt, control, failed, get, refused, send, until};
use workdir::Program;

/// Guards against a sidecar that does not send an attempt to its backend server or loses the
/// answer.
#[actix_rt::test]
async fn attempt_runs_and_returns_its_answer() {
    let testbed = Testbed::new().await;
    let reply = testbed.run(1, json!({"part": 7})).await;
    let RunResult::Done { answer, crc, .. } = &reply.result else { panic!("{reply:?}") };
    assert_eq!(answer, r#"{"backend":"b1","echo":{"part":7}}"#);
    assert_eq!(*crc, crc32fast::hash(answer.as_bytes()));
    assert_eq!(reply.attempt, attempt(1));
    assert_eq!(reply.load, sidecar::Load { slots: 8, busy: 0, queued: 0 });
    assert_eq!(testbed.starts().await, json!({"5-1-0-0": 1}));
}

/// Sends one attempt after the other, numbered from `after + 1`, until one is refused for the
/// reason `expected` or, if that is `None`, until one is not refused. Returns its number.
async fn run_until(testbed: &Testbed, after: u64, expected: Option<NotStarted>) -> u64 {
    let mut seq = after;
    until(&format!("an attempt with the refusal {expected:?}"), async || {
        seq += 1;
        let reply = testbed.run(seq, json!({})).await;
        (refused(&reply) == expected).then_some(seq)
    })
    .await
}

/// Guards against a sidecar that starts attempts after its lease has expired. It can no longer know
/// then which entries are fenced.
#[actix_rt::test]
async fn stale_lease_starts_nothing() {
    let testbed = Testbed::new().await;
    testbed.control.set(|a| a.lease_ms = 300);
    sleep(Duration::from_millis(300)).await;
    testbed.control.set(|a| a.refusal = Some(Refusal::Stopping));
    let seq = run_until(&testbed, 100, Some(NotStarted::NoLease)).await;
    let starts = testbed.starts().await;
    let reply = testbed.run(seq + 1, json!({})).await;
    assert_eq!(refused(&reply), Some(NotStarted::NoLease));
    assert_eq!(testbed.starts().await, starts);
    testbed.control.set(|a| a.refusal = None);
    run_until(&testbed, 1_000_000, None).await;
    // A refusal is final: the same attempt does not start although there is a lease now.
    let reply = testbed.run(seq + 1, json!({})).await;
    assert_eq!(refused(&reply), Some(NotStarted::NoLease));
}

/// Guards against a lease that counts from the reply instead of from the sending of the call, or
/// that ignores the age which a relayed confirmation already has.
#[actix_rt::test]
async fn old_confirmations_give_no_lease() {
    for (delay_ms, age_ms) in [(500, 0), (0, 400)] {
        let testbed = Testbed::new().await;
        testbed.control.set(|a| {
            a.lease_ms = 400;
            a.delay = Duration::from_millis(delay_ms);
            a.confirmed_age_ms = age_ms;
        });
        run_until(&testbed, 1, Some(NotStarted::NoLease)).await;
        let calls = testbed.control.get().calls;
        until("more confirmations", async || {
            (testbed.control.get().calls > calls + 3).then_some(())
        })
        .await;
        let reply = testbed.run(1_000_000, json!({})).await;
        assert_eq!(refused(&reply), Some(NotStarted::NoLease));
    }
}

/// Guards against a sidecar that starts attempts of an entry whose session has ended. Control may
/// already have recorded the entry's jobs as failed.
#[actix_rt::test]
async fn fenced_epoch_starts_nothing() {
    let testbed = Testbed::new().await;
    testbed.control.set(|a| a.sessions = control::sessions(&[9]));
    run_until(&testbed, 1, Some(NotStarted::Fenced)).await;
    let of_epoch = |epoch, seq| {
        let execution = id::Execution { epoch: id::Epoch(epoch), seq };
        let mut task = testbed.task(0, json!({}));
        task.attempt.execution = execution;
        task
    };
    // Attempts of a listed session, and of one that is newer than the list, may start.
    for epoch in [9, 12] {
        let reply = testbed.send(of_epoch(epoch, 1)).await;
        assert!(matches!(reply.result, RunResult::Done { .. }), "{reply:?}");
    }
    // A list that is not newer does not make the session live again.
    testbed.control.set(|a| a.sessions = control::sessions(&[testbed::EPOCH]));
    let calls = testbed.control.get().calls;
    until("two more reports to control", async || {
        (testbed.control.get().calls > calls + 1).then_some(())
    })
    .await;
    let reply = testbed.send(of_epoch(testbed::EPOCH, 500)).await;
    assert_eq!(refused(&reply), Some(NotStarted::Fenced));
}

/// Guards against a sidecar whose reports do not reach the leader when one control instance is down
/// or another one does not lead.
#[actix_rt::test]
async fn leader_is_found_past_other_instances() {
    let dir = workdir::Workdir::new();
    let leader = control::Control::start(&[testbed::EPOCH]);
    let follower = control::Control::start(&[]);
    follower.set(|a| a.refusal = Some(Refusal::NotLeader { leader: Some(leader.addr) }));
    let (_socket, closed) = testbed::closed_port();
    let settings = json!({ "control": [closed, follower.addr] });
    let sidecar = testbed::start_sidecar(&dir, &leader, testbed::HOST, settings);
    let _backend = testbed::start_backend(&dir, sidecar.http(), testbed::HOST, json!({}));
    let server = until("a report to the leader", async || leader.server()).await;
    assert_eq!((server.addr, server.slots), (sidecar.rpc(), 8));
    assert_eq!(follower.get().last.map(|l| l.rules_version), Some(0));
}

async fn cancel(testbed: &Testbed, seq: u64) -> sidecar::Cancelled {
    let execution = attempt(seq).execution;
    let call = |c: sidecar::ServiceClient| async move {
        c.cancel(rpc::context(workdir::LIMIT), execution).await
    };
    testbed.link.call("cancel", call).await.unwrap()
}

async fn revoke(testbed: &Testbed, incarnation: id::Incarnation, seqs: &[u64]) -> Vec<Revoked> {
    let attempts = seqs.iter().map(|s| attempt(*s)).collect();
    let call = |c: sidecar::ServiceClient| async move {
        c.revoke(rpc::context(workdir::LIMIT), incarnation, attempts).await
    };
    testbed.link.call("revoke", call).await.unwrap()
}

/// Waits until the backend server has been sent an attempt.
async fn started(testbed: &Testbed, seq: u64) {
    let id = attempt(seq).to_string();
    until("a start", async || testbed.starts().await.get(&id).map(|_| ())).await;
}

/// Guards against cancelled attempts that keep their slot, start later, or are reported as not
/// started although they have started.
#[actix_rt::test]
async fn cancel_stops_running_and_drops_queued() {
    let testbed = Testbed::with_settings(json!({}), json!({"slots": 1})).await;
    let check = async {
        started(&testbed, 1).await;
        until("a queued attempt", async || {
            let metrics = testbed.metrics().await;
            metrics.contains("briargauge_sidecar_load{of=\"queued\"} 1").then_some(())
        })
        .await;
        assert_eq!(cancel(&testbed, 2).await, sidecar::Cancelled { queued: 1, running: 0 });
        assert_eq!(cancel(&testbed, 1).await, sidecar::Cancelled { queued: 0, running: 1 });
    };
    let long = testbed.run(1, json!({"work_ms": 25_000}));
    let queued = async {
        started(&testbed, 1).await;
        testbed.run(2, json!({})).await
    };
    let (long, queued, ()) = future::join3(long, queued, check).await;
    assert_eq!(failed(&long), Some(job::Failure::Cancelled));
    assert_eq!(refused(&queued), Some(NotStarted::Revoked));
    // A later attempt of the cancelled execution does not start either.
    let mut late = testbed.task(2, json!({}));
    late.attempt.task = 1;
    assert_eq!(refused(&testbed.send(late).await), Some(NotStarted::Revoked));
    assert_eq!(testbed.starts().await, json!({"5-1-0-0": 1}));
    until("the task to be stopped", async || {
        let seen = get(testbed.backend.http(), "/seen").await;
        (seen["stopped"] == json!(["5-1-0-0"])).then_some(())
    })
    .await;
}

/// Guards against a revoked attempt that starts after its entry was notified that it may start the
/// task elsewhere.
#[actix_rt::test]
async fn revoked_attempts_never_start() {
    let testbed = Testbed::new().await;
    let long = testbed.run(1, json!({"work_ms": 1_500}));
    let check = async {
        started(&testbed, 1).await;
        let revoked = revoke(&testbed, testbed.incarnation, &[1, 2]).await;
        assert_eq!(revoked, [Revoked::Started, Revoked::NotStarted]);
        let other = id::Incarnation(testbed.incarnation.0 ^ 1);
        assert_eq!(revoke(&testbed, other, &[3]).await, [Revoked::Unknown]);
        assert_eq!(refused(&testbed.run(2, json!({})).await), Some(NotStarted::Revoked));
    };
    let (long, ()) = future::join(long, check).await;
    assert!(matches!(long.result, RunResult::Done { .. }), "{long:?}");
    assert_eq!(testbed.starts().await, json!({"5-1-0-0": 1}));
}

/// Guards against a slot that is freed, or a task that is started again, because the connection of
/// its call was lost.
#[actix_rt::test]
async fn lost_connection_neither_frees_the_slot_nor_restarts() {
    let testbed = Testbed::with_settings(json!({}), json!({"slots": 1})).await;
    let lost = Link::new(testbed.sidecar.rpc());
    let long = testbed.task(1, json!({"work_ms": 1_500}));
    {
        let call = send(&lost, long.clone()).fuse();
        futures::pin_mut!(call);
        let attempt_started = started(&testbed, 1).fuse();
        futures::pin_mut!(attempt_started);
        futures::select! {
            reply = call => panic!("{reply:?}"),
            () = attempt_started => {}
        }
    }
    drop(lost);
    // A repeated call gets the result of the running attempt; another task is queued for its slot.
    let (again, next) = future::join(testbed.send(long), testbed.run(2, json!({}))).await;
    assert!(matches!(again.result, RunResult::Done { .. }), "{again:?}");
    assert!(matches!(next.result, RunResult::Done { .. }), "{next:?}");
    assert_eq!(testbed.starts().await, json!({"5-1-0-0": 1, "5-2-0-0": 1}));
    assert_eq!(get(testbed.backend.http(), "/seen").await["busy_max"], json!(1));
    // After the attempt has ended, it does not run again, and its answer is not sent again.
    let late = testbed.run(1, json!({})).await;
    assert_eq!(failed(&late), Some(job::Failure::OutcomeUnknown));
}

/// Guards against the start of a queued attempt whose entry no longer waits for the reply.
#[actix_rt::test]
async fn queued_attempt_of_lost_connection_is_dropped() {
    let testbed = Testbed::with_settings(json!({}), json!({"slots": 1})).await;
    let running = testbed.run(1, json!({"work_ms": 2_000}));
    let check = async {
        started(&testbed, 1).await;
        let lost = Link::new(testbed.sidecar.rpc());
        let call = send(&lost, testbed.task(2, json!({})));
        assert!(actix_rt::time::timeout(Duration::from_millis(100), call).await.is_err());
    };
    future::join(running, check).await;
    assert!(matches!(testbed.run(3, json!({})).await.result, RunResult::Done { .. }));
    assert_eq!(testbed.starts().await, json!({"5-1-0-0": 1, "5-3-0-0": 1}));
    assert_eq!(revoke(&testbed, testbed.incarnation, &[2]).await, [Revoked::NotStarted]);
}

/// Sends attempts one after the other until one is refused for another reason than full slots and
/// queue. The reason must be `Draining`. Several senders with different numbers may run at once.
async fn load_until_draining(testbed: &Testbed, sender: u64) -> Vec<Reply> {
    let mut replies = Vec::new();
    for n in 0.. {
        let reply = testbed.run(sender * 1_000 + n, json!({"work_ms": 20})).await;
        let reason = refused(&reply);
        replies.push(reply);
        if reason.is_some_and(|r| r != NotStarted::Full) {
            assert_eq!(reason, Some(NotStarted::Draining));
            break;
        }
    }
    replies
}

/// Checks that each attempt either ran once with an answer or was refused and did not start.
fn assert_none_cut_off(replies: &[Reply], starts: &serde_json::Value) {
    for reply in replies {
        let id = reply.attempt.to_string();
        match &reply.result {
            RunResult::Done { .. } => assert_eq!(starts[&id], json!(1), "{id}"),
            RunResult::NotStarted { .. } => assert!(starts.get(&id).is_none(), "{id}"),
            RunResult::Failed { .. } => panic!("attempt was cut off: {reply:?}"),
        }
    }
    assert!(replies.iter().any(|r| matches!(r.result, RunResult::Done { .. })));
}

/// Guards against a planned stop of a backend server that cuts off a task or starts a new one.
#[actix_rt::test]
async fn backend_leaves_under_load() {
    let mut testbed = Testbed::new().await;
    let load = future::join_all((0..14).map(|sender| load_until_draining(&testbed, sender)));
    let leave = async {
        sleep(Duration::from_millis(200)).await;
        testbed.backend.signal(Signal::SIGTERM);
    };
    let (replies, ()) = future::join(load, leave).await;
    let late = testbed.run(900_000, json!({})).await;
    assert!(testbed.backend.wait().success());
    let starts = testbed.starts_in_file();
    assert_eq!(refused(&late), Some(NotStarted::Draining));
    assert_none_cut_off(&replies.concat(), &starts);
    until("a report without a backend server", async || {
        testbed.control.server().is_none().then_some(())
    })
    .await;
}

/// Guards against a planned stop of a sidecar that cuts off a task or starts a new one.
#[actix_rt::test]
async fn sidecar_leaves_under_load() {
    let mut testbed = Testbed::with_settings(json!({"linger_ms": 500}), json!({})).await;
    let load = future::join_all((0..14).map(|sender| load_until_draining(&testbed, sender)));
    let leave = async {
        sleep(Duration::from_millis(200)).await;
        testbed.sidecar.signal(Signal::SIGTERM);
    };
    let (replies, ()) = future::join(load, leave).await;
    assert!(testbed.sidecar.wait().success());
    assert_none_cut_off(&replies.concat(), &testbed.starts().await);
    assert!(testbed.control.server().is_none());
}

/// Guards against a stop of the sidecar that never ends, or that leaves calls without a reply, when
/// a task runs longer than the drain limit.
#[actix_rt::test]
async fn stop_cuts_tasks_off_at_the_drain_limit() {
    let mut testbed = Testbed::with_settings(json!({"drain_limit_ms": 200}), json!({})).await;
    let stop = async {
        started(&testbed, 1).await;
        testbed.sidecar.signal(Signal::SIGTERM);
    };
    let (reply, ()) = future::join(testbed.run(1, json!({"work_ms": 25_000})), stop).await;
    assert_eq!(failed(&reply), Some(job::Failure::OutcomeUnknown));
    assert_eq!(testbed.sidecar.wait().code(), Some(1));
    assert!(testbed.sidecar.log().contains("event=cut_off attempt=5-1-0-0"));
}

/// Guards against example settings that the programs refuse.
#[test]
fn examples_are_valid() {
    let dir = workdir::Workdir::new();
    for (program, name) in [(Program::Sidecar, "sidecar"), (Program::Backend, "backend")] {
        let path = format!("{}/examples/{name}.json", env!("CARGO_MANIFEST_DIR"));
        let output = dir.run(program, &["--check", "--settings", &path]);
        assert!(output.status.success(), "{output:?}");
    }
}

/// Guards against control being notified of a leaving backend server only after its last task.
#[actix_rt::test]
async fn control_is_notified_at_once_of_leaving() {
    let settings = json!({"sync_interval_ms": 60_000});
    let mut testbed = Testbed::with_settings(settings, json!({})).await;
    let long = testbed.run(1, json!({"work_ms": 1_000}));
    let check = async {
        started(&testbed, 1).await;
        testbed.backend.signal(Signal::SIGTERM);
        until("a report of a draining backend server", async || {
            (testbed.control.server()?.state == ServerState::Draining).then_some(())
        })
        .await;
    };
    let (reply, ()) = future::join(long, check).await;
    assert!(matches!(reply.result, RunResult::Done { .. }), "{reply:?}");
    assert!(testbed.backend.wait().success());
}

/// Guards against a sidecar that does not apply drain rules itself, and so starts attempts of
/// entries that do not know the rule yet, or that refuses attempts after the rule was removed.
#[actix_rt::test]
async fn drain_rule_refuses_new_work() {
    let testbed = Testbed::new().await;
    let rules = |version, text: &str| {
        testbed.control.set(|a| a.rules = Some(Rules { version, text: text.into() }));
    };
    rules(1, "drain rack saga/other # emi: not this one\n");
    let calls = testbed.control.get().calls;
    until("three more reports to control", async || {
        (testbed.control.get().calls > calls + 2).then_some(())
    })
    .await;
    assert!(matches!(testbed.run(1, json!({})).await.result, RunResult::Done { .. }));
    rules(2, "drain rack saga/s1 # emi: switch is replaced\n");
    let last = run_until(&testbed, 100, Some(NotStarted::Draining)).await;
    let state = || testbed.control.server().map(|m| m.state);
    until("a report of a draining backend server", async || {
        (state()? == ServerState::Draining).then_some(())
    })
    .await;
    rules(3, "# emi: done\n");
    run_until(&testbed, last + 1_000_000, None).await;
    until("a report of a serving backend server", async || {
        (state()? == ServerState::Serving).then_some(())
    })
    .await;
}

/// Guards against an attempt for one incarnation of a backend server that starts at the next one,
/// and against a task that is reported as not started although it ran when its backend server was
/// killed.
#[actix_rt::test]
async fn restarted_backend_is_a_new_incarnation() {
    let Testbed { dir, control, sidecar, backend, link, incarnation } = Testbed::new().await;
    let task = testbed::task(incarnation, 1, json!({"work_ms": 25_000}));
    let restart = async {
        until("a start", async || get(backend.http(), "/starts").await.get("5-1-0-0").map(|_| ()))
            .await;
        backend.kill();
        testbed::start_backend(&dir, sidecar.http(), testbed::HOST, json!({}))
    };
    let (reply, backend) = future::join(send(&link, task.clone()), restart).await;
    assert_eq!(failed(&reply), Some(job::Failure::OutcomeUnknown));
    let new = testbed::serving(&control, Some(incarnation)).await;
    let again = send(&link, task).await;
    assert_eq!(refused(&again), Some(NotStarted::WrongIncarnation));
    let reply = send(&link, testbed::task(new, 2, json!({}))).await;
    assert!(matches!(reply.result, RunResult::Done { .. }), "{reply:?}");
    assert_eq!(get(backend.http(), "/starts").await, json!({"5-1-0-0": 1, "5-2-0-0": 1}));
}

/// Guards against a restarted sidecar that starts an attempt again: it does not know what it
/// started before.
#[actix_rt::test]
async fn restarted_sidecar_is_a_new_incarnation() {
    let (_socket, http) = testbed::closed_port();
    let Testbed { dir, control, sidecar, backend, link, incarnation } =
        Testbed::with_settings(json!({"http": http}), json!({})).await;
    let task = testbed::task(incarnation, 1, json!({}));
    let first = send(&link, task.clone()).await;
    assert!(matches!(first.result, RunResult::Done { .. }), "{first:?}");
    sidecar.kill();
    let sidecar = testbed::start_sidecar(&dir, &control, &http.to_string(), json!({}));
    let new = testbed::serving(&control, Some(incarnation)).await;
    let link = Link::new(sidecar.rpc());
    assert_eq!(refused(&send(&link, task).await), Some(NotStarted::WrongIncarnation));
    let reply = send(&link, testbed::task(new, 2, json!({}))).await;
    assert!(matches!(reply.result, RunResult::Done { .. }), "{reply:?}");
    assert_eq!(get(backend.http(), "/starts").await, json!({"5-1-0-0": 1, "5-2-0-0": 1}));
}

/// Guards against tasks that run on after their deadline or start after it.
#[actix_rt::test]
async fn deadline_stops_running_and_drops_queued() {
    let testbed = Testbed::with_settings(json!({}), json!({"slots": 1})).await;
    let within = |seq, left_ms| {
        let task = testbed.task(seq, json!({"work_ms": 25_000}));
        testbed.send(sidecar::Task { left_ms, ..task })
    };
    let begin = Instant::now();
    let queued = async {
        started(&testbed, 1).await;
        within(2, 50).await
    };
    let (running, queued) = future::join(within(1, 1_500), queued).await;
    assert_eq!(failed(&running), Some(job::Failure::DeadlineExceeded));
    assert_eq!(refused(&queued), Some(NotStarted::Expired));
    assert!(begin.elapsed() < Duration::from_secs(20));
    assert_eq!(testbed.starts().await, json!({"5-1-0-0": 1}));
}

/// Guards against the start of a task that needs more than the worker has, or whose kind the
/// backend server does not run.
#[actix_rt::test]
async fn task_that_does_not_fit_is_refused() {
    let backend = json!({
        "kinds": ["quote"],
        "size": { "cpus": 4, "memory_mb": 1000, "accelerators": 0 }
    });
    let testbed = Testbed::with_settings(json!({}), backend).await;
    let task = testbed.task(1, json!({}));
    let large = job::Needs { cpus: 5, ..job::Needs::default() };
    let reply = testbed.send(sidecar::Task { needs: large, ..task.clone() }).await;
    assert_eq!(refused(&reply), Some(NotStarted::TooLarge));
    let attempt = attempt(2);
    let reply = testbed.send(sidecar::Task { kind: "book".into(), attempt, ..task }).await;
    assert_eq!(refused(&reply), Some(NotStarted::TooLarge));
    assert_eq!(testbed.starts().await, json!({}));
}

/// Guards against a task that is reported as not started, or keeps its slot, when its worker lease
/// expires because the backend server hangs.
#[actix_rt::test]
async fn worker_lease_ends_tasks_of_a_frozen_backend() {
    let settings = json!({"announce_lease_ms": 800, "task": {"lease_ms": 300}});
    let testbed = Testbed::with_settings(settings, json!({"slots": 1})).await;
    let frozen = async {
        started(&testbed, 1).await;
        testbed.backend.signal(Signal::SIGSTOP);
    };
    let (reply, ()) = future::join(testbed.run(1, json!({"work_ms": 25_000})), frozen).await;
    assert_eq!(failed(&reply), Some(job::Failure::OutcomeUnknown));
    assert_eq!(reply.load.busy, 0);
    assert_eq!(refused(&testbed.run(2, json!({})).await), Some(NotStarted::Unreachable));
    until("a report without a backend server", async || {
        testbed.control.server().is_none().then_some(())
    })
    .await;
    // When the process continues, it is still the same incarnation of the backend server.
    testbed.backend.signal(Signal::SIGCONT);
    assert_eq!(testbed::serving(&testbed.control, None).await, testbed.incarnation);
    let reply = testbed.run(3, json!({})).await;
    assert!(matches!(reply.result, RunResult::Done { .. }), "{reply:?}");
}

/// Guards against a sidecar that refuses the first attempt after its backend server has announced
/// itself again, because it still acts on the expired announcement.
#[actix_rt::test]
async fn attempt_right_after_an_announcement_starts() {
    let dir = workdir::Workdir::new();
    let control = control::Control::start(&[testbed::EPOCH]);
    let settings = json!({"announce_lease_ms": 1_500});
    let sidecar = testbed::start_sidecar(&dir, &control, testbed::HOST, settings);
    let (_socket, nowhere) = testbed::closed_port();
    let backend = testbed::start_backend(&dir, nowhere, testbed::HOST, json!({}));
    let body = json!({
        "addr": backend.http(), "start": 1, "slots": 8, "connections": 64, "size": {}
    });
    let answer = testbed::post(sidecar.http(), "/announce", body.clone()).await;
    let answer: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    let incarnation = id::Incarnation(answer["incarnation"].as_u64().unwrap());
    let link = Link::new(sidecar.rpc());
    let mut seq = 0;
    for _ in 0..3 {
        until("the announcement to expire", async || {
            seq += 1;
            let reply = send(&link, testbed::task(incarnation, seq, json!({}))).await;
            (refused(&reply) == Some(NotStarted::Unreachable)).then_some(())
        })
        .await;
        testbed::post(sidecar.http(), "/announce", body.clone()).await;
        seq += 1;
        let reply = send(&link, testbed::task(incarnation, seq, json!({}))).await;
        assert!(matches!(reply.result, RunResult::Done { .. }), "{reply:?}");
    }
}

/// Guards against a running attempt that counts as ended by the word of another writer: an announcement
/// that the backend server did not send names another start, or an address where nothing listens.
#[actix_rt::test]
#[ignore = "known_red"]
async fn an_announcement_of_another_writer_ends_no_attempt() {
    let testbed = Testbed::new().await;
    let (_closed, closed) = testbed::closed_port();
    for (seq, addr) in [(1, testbed.backend.http()), (2, closed)] {
        let announcement = json!({
            "addr": addr, "start": seq, "slots": 8, "connections": 64,
            "size": {"cpus": 64, "memory_mb": 131_072, "accelerators": 0}
        });
        let others = async {
            sleep(Duration::from_millis(300)).await;
            testbed::post(testbed.sidecar.http(), "/announce", announcement).await;
        };
        let (reply, ()) = future::join(testbed.run(seq, json!({"work_ms": 900})), others).await;
        assert!(matches!(reply.result, RunResult::Done { .. }), "announced {addr}: {reply:?}");
    }
}

/// Guards against a task that keeps using far more of the worker's resources than it has declared.
#[actix_rt::test]
async fn oversized_task_is_throttled_then_stopped() {
    let settings = json!({"task": {"usage_interval_ms": 30, "throttle_grace_ms": 200}});
    let testbed = Testbed::with_settings(settings, json!({})).await;
    let run = |seq, uses_mb: u32, left_ms| {
        let uses = json!({"work_ms": 25_000, "uses": {"memory_mb": uses_mb}});
        let needs = job::Needs { memory_mb: 100, ..job::Needs::default() };
        testbed.send(sidecar::Task { needs, left_ms, ..testbed.task(seq, uses) })
    };
    let (within, above, far_above) =
        future::join3(run(1, 120, 1_500), run(2, 200, 25_000), run(3, 400, 25_000)).await;
    assert_eq!(failed(&within), Some(job::Failure::DeadlineExceeded));
    assert_eq!(failed(&above), Some(job::Failure::TaskFailed));
    assert_eq!(failed(&far_above), Some(job::Failure::TaskFailed));
    until("both to be checkpointed", async || {
        let seen = get(testbed.backend.http(), "/seen").await;
        let done = json!(["5-2-0-0", "5-3-0-0"]);
        (seen["throttled"] == json!(["5-2-0-0"]) && seen["checkpointed"] == done).then_some(())
    })
    .await;
}

/// Guards against metrics that do not count starts, refusals, ended attempts or run times.
#[actix_rt::test]
async fn metrics_count_starts_and_refusals() {
    let testbed = Testbed::new().await;
    testbed.run(1, json!({})).await;
    let stale = id::Incarnation(testbed.incarnation.0 ^ 1);
    let task = testbed.task(2, json!({}));
    testbed.send(sidecar::Task { incarnation: stale, ..task }).await;
    let metrics = testbed.metrics().await;
    for line in [
        "briargauge_sidecar_starts_total{team=\"repair\"} 1",
        "briargauge_sidecar_refusals_total{reason=\"wrong_incarnation\"} 1",
        "briargauge_sidecar_ends_total{result=\"done\"} 1",
        "briargauge_sidecar_run_seconds_count{team=\"repair\"} 1",
        "briargauge_sidecar_kind_run_seconds_count{kind=\"quote\"} 1",
        "briargauge_sidecar_load{of=\"busy\"} 0",
    ] {
        assert!(metrics.lines().any(|l| l == line), "{line} is not in {metrics}");
    }
}
