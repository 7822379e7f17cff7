//! Tests of the sidecar process with a fake control instance and the stand-in backend server.

mod stand;
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
use stand::{Stand, attempt, control, failed, get, refused, send, until};
use workdir::Program;

/// Guards against a sidecar that does not send an attempt to its backend server or loses the
/// answer.
#[actix_rt::test]
async fn attempt_runs_and_returns_its_answer() {
    let stand = Stand::new().await;
    let reply = stand.run(1, json!({"part": 7})).await;
    let RunResult::Done { answer, crc, .. } = &reply.result else { panic!("{reply:?}") };
    assert_eq!(answer, r#"{"backend":"b1","echo":{"part":7}}"#);
    assert_eq!(*crc, crc32fast::hash(answer.as_bytes()));
    assert_eq!(reply.attempt, attempt(1));
    assert_eq!(reply.load, sidecar::Load { slots: 8, busy: 0, queued: 0 });
    assert_eq!(stand.starts().await, json!({"5-1-0-0": 1}));
}

/// Sends one attempt after the other, numbered from `after + 1`, until one is refused for the
/// reason `expected` or, if that is `None`, until one is not refused. Returns its number.
async fn run_until(stand: &Stand, after: u64, expected: Option<NotStarted>) -> u64 {
    let mut seq = after;
    until(&format!("an attempt with the refusal {expected:?}"), async || {
        seq += 1;
        let reply = stand.run(seq, json!({})).await;
        (refused(&reply) == expected).then_some(seq)
    })
    .await
}

/// Guards against a sidecar that starts attempts after its lease has expired. It can no longer know
/// then which entries are fenced.
#[actix_rt::test]
async fn stale_lease_starts_nothing() {
    let stand = Stand::new().await;
    stand.control.set(|a| a.lease_ms = 300);
    sleep(Duration::from_millis(300)).await;
    stand.control.set(|a| a.refusal = Some(Refusal::Stopping));
    let seq = run_until(&stand, 100, Some(NotStarted::NoLease)).await;
    let starts = stand.starts().await;
    let reply = stand.run(seq + 1, json!({})).await;
    assert_eq!(refused(&reply), Some(NotStarted::NoLease));
    assert_eq!(stand.starts().await, starts);
    stand.control.set(|a| a.refusal = None);
    run_until(&stand, 1_000_000, None).await;
    // A refusal is final: the same attempt does not start although there is a lease now.
    let reply = stand.run(seq + 1, json!({})).await;
    assert_eq!(refused(&reply), Some(NotStarted::NoLease));
}

/// Guards against a lease that counts from the reply instead of from the sending of the call, or
/// that ignores the age which a relayed confirmation already has.
#[actix_rt::test]
async fn old_confirmations_give_no_lease() {
    for (delay_ms, age_ms) in [(500, 0), (0, 400)] {
        let stand = Stand::new().await;
        stand.control.set(|a| {
            a.lease_ms = 400;
            a.delay = Duration::from_millis(delay_ms);
            a.confirmed_age_ms = age_ms;
        });
        run_until(&stand, 1, Some(NotStarted::NoLease)).await;
        let calls = stand.control.get().calls;
        until("more confirmations", async || (stand.control.get().calls > calls + 3).then_some(()))
            .await;
        let reply = stand.run(1_000_000, json!({})).await;
        assert_eq!(refused(&reply), Some(NotStarted::NoLease));
    }
}

/// Guards against a sidecar that starts attempts of an entry whose session has ended. Control may
/// already have recorded the entry's jobs as failed.
#[actix_rt::test]
async fn fenced_epoch_starts_nothing() {
    let stand = Stand::new().await;
    stand.control.set(|a| a.sessions = control::sessions(&[9]));
    run_until(&stand, 1, Some(NotStarted::Fenced)).await;
    let of_epoch = |epoch, seq| {
        let execution = id::Execution { epoch: id::Epoch(epoch), seq };
        let mut task = stand.task(0, json!({}));
        task.attempt.execution = execution;
        task
    };
    // Attempts of a listed session, and of one that is newer than the list, may start.
    for epoch in [9, 12] {
        let reply = stand.send(of_epoch(epoch, 1)).await;
        assert!(matches!(reply.result, RunResult::Done { .. }), "{reply:?}");
    }
    // A list that is not newer does not make the session live again.
    stand.control.set(|a| a.sessions = control::sessions(&[stand::EPOCH]));
    let calls = stand.control.get().calls;
    until("two more reports to control", async || {
        (stand.control.get().calls > calls + 1).then_some(())
    })
    .await;
    let reply = stand.send(of_epoch(stand::EPOCH, 500)).await;
    assert_eq!(refused(&reply), Some(NotStarted::Fenced));
}

/// Guards against a sidecar whose reports do not reach the leader when one control instance is down
/// or another one does not lead.
#[actix_rt::test]
async fn leader_is_found_past_other_instances() {
    let dir = workdir::Workdir::new();
    let leader = control::Control::start(&[stand::EPOCH]);
    let follower = control::Control::start(&[]);
    follower.set(|a| a.refusal = Some(Refusal::NotLeader { leader: Some(leader.addr) }));
    let (_socket, closed) = stand::closed_port();
    let settings = json!({ "control": [closed, follower.addr] });
    let sidecar = stand::start_sidecar(&dir, &leader, stand::HOST, settings);
    let _backend = stand::start_backend(&dir, sidecar.http(), stand::HOST, json!({}));
    let server = until("a report to the leader", async || leader.server()).await;
    assert_eq!((server.addr, server.slots), (sidecar.rpc(), 8));
    assert_eq!(follower.get().last.map(|l| l.rules_version), Some(0));
}

async fn cancel(stand: &Stand, seq: u64) -> sidecar::Cancelled {
    let execution = attempt(seq).execution;
    let call = |c: sidecar::ServiceClient| async move {
        c.cancel(rpc::context(workdir::LIMIT), execution).await
    };
    stand.link.call("cancel", call).await.unwrap()
}

async fn revoke(stand: &Stand, incarnation: id::Incarnation, seqs: &[u64]) -> Vec<Revoked> {
    let attempts = seqs.iter().map(|s| attempt(*s)).collect();
    let call = |c: sidecar::ServiceClient| async move {
        c.revoke(rpc::context(workdir::LIMIT), incarnation, attempts).await
    };
    stand.link.call("revoke", call).await.unwrap()
}

/// Waits until the backend server has been sent an attempt.
async fn started(stand: &Stand, seq: u64) {
    let id = attempt(seq).to_string();
    until("a start", async || stand.starts().await.get(&id).map(|_| ())).await;
}

/// Guards against cancelled attempts that keep their slot, start later, or are reported as not
/// started although they have started.
#[actix_rt::test]
async fn cancel_stops_running_and_drops_queued() {
    let stand = Stand::with(json!({}), json!({"slots": 1})).await;
    let check = async {
        started(&stand, 1).await;
        until("a queued attempt", async || {
            let metrics = stand.metrics().await;
            metrics.contains("briargauge_sidecar_load{of=\"queued\"} 1").then_some(())
        })
        .await;
        assert_eq!(cancel(&stand, 2).await, sidecar::Cancelled { queued: 1, running: 0 });
        assert_eq!(cancel(&stand, 1).await, sidecar::Cancelled { queued: 0, running: 1 });
    };
    let long = stand.run(1, json!({"work_ms": 25_000}));
    let queued = async {
        started(&stand, 1).await;
        stand.run(2, json!({})).await
    };
    let (long, queued, ()) = future::join3(long, queued, check).await;
    assert_eq!(failed(&long), Some(job::Failure::Cancelled));
    assert_eq!(refused(&queued), Some(NotStarted::Revoked));
    // A later attempt of the cancelled execution does not start either.
    let mut late = stand.task(2, json!({}));
    late.attempt.task = 1;
    assert_eq!(refused(&stand.send(late).await), Some(NotStarted::Revoked));
    assert_eq!(stand.starts().await, json!({"5-1-0-0": 1}));
    until("the task to be stopped", async || {
        let seen = get(stand.backend.http(), "/seen").await;
        (seen["stopped"] == json!(["5-1-0-0"])).then_some(())
    })
    .await;
}

/// Guards against a revoked attempt that starts after its entry was notified that it may start the
/// task elsewhere.
#[actix_rt::test]
async fn revoked_attempts_never_start() {
    let stand = Stand::new().await;
    let long = stand.run(1, json!({"work_ms": 1_500}));
    let check = async {
        started(&stand, 1).await;
        let revoked = revoke(&stand, stand.incarnation, &[1, 2]).await;
        assert_eq!(revoked, [Revoked::Started, Revoked::NotStarted]);
        let other = id::Incarnation(stand.incarnation.0 ^ 1);
        assert_eq!(revoke(&stand, other, &[3]).await, [Revoked::Unknown]);
        assert_eq!(refused(&stand.run(2, json!({})).await), Some(NotStarted::Revoked));
    };
    let (long, ()) = future::join(long, check).await;
    assert!(matches!(long.result, RunResult::Done { .. }), "{long:?}");
    assert_eq!(stand.starts().await, json!({"5-1-0-0": 1}));
}

/// Guards against a slot that is freed, or a task that is started again, because the connection of
/// its call was lost.
#[actix_rt::test]
async fn lost_connection_neither_frees_the_slot_nor_restarts() {
    let stand = Stand::with(json!({}), json!({"slots": 1})).await;
    let lost = Link::new(stand.sidecar.rpc());
    let long = stand.task(1, json!({"work_ms": 1_500}));
    {
        let call = send(&lost, long.clone()).fuse();
        futures::pin_mut!(call);
        let attempt_started = started(&stand, 1).fuse();
        futures::pin_mut!(attempt_started);
        futures::select! {
            reply = call => panic!("{reply:?}"),
            () = attempt_started => {}
        }
    }
    drop(lost);
    // A repeated call gets the result of the running attempt; another task is queued for its slot.
    let (again, next) = future::join(stand.send(long), stand.run(2, json!({}))).await;
    assert!(matches!(again.result, RunResult::Done { .. }), "{again:?}");
    assert!(matches!(next.result, RunResult::Done { .. }), "{next:?}");
    assert_eq!(stand.starts().await, json!({"5-1-0-0": 1, "5-2-0-0": 1}));
    assert_eq!(get(stand.backend.http(), "/seen").await["busy_max"], json!(1));
    // After the attempt has ended, it does not run again, and its answer is not sent again.
    let late = stand.run(1, json!({})).await;
    assert_eq!(failed(&late), Some(job::Failure::OutcomeUnknown));
}

/// Guards against the start of a queued attempt whose entry no longer waits for the reply.
#[actix_rt::test]
async fn queued_attempt_of_lost_connection_is_dropped() {
    let stand = Stand::with(json!({}), json!({"slots": 1})).await;
    let running = stand.run(1, json!({"work_ms": 2_000}));
    let check = async {
        started(&stand, 1).await;
        let lost = Link::new(stand.sidecar.rpc());
        let call = send(&lost, stand.task(2, json!({})));
        assert!(actix_rt::time::timeout(Duration::from_millis(100), call).await.is_err());
    };
    future::join(running, check).await;
    assert!(matches!(stand.run(3, json!({})).await.result, RunResult::Done { .. }));
    assert_eq!(stand.starts().await, json!({"5-1-0-0": 1, "5-3-0-0": 1}));
    assert_eq!(revoke(&stand, stand.incarnation, &[2]).await, [Revoked::NotStarted]);
}

/// Sends attempts one after the other until one is refused for another reason than full slots and
/// queue. The reason must be `Draining`. Several senders with different numbers may run at once.
async fn load_until_draining(stand: &Stand, sender: u64) -> Vec<Reply> {
    let mut replies = Vec::new();
    for n in 0.. {
        let reply = stand.run(sender * 1_000 + n, json!({"work_ms": 20})).await;
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
    let mut stand = Stand::new().await;
    let load = future::join_all((0..14).map(|sender| load_until_draining(&stand, sender)));
    let leave = async {
        sleep(Duration::from_millis(200)).await;
        stand.backend.signal(Signal::SIGTERM);
    };
    let (replies, ()) = future::join(load, leave).await;
    let late = stand.run(900_000, json!({})).await;
    assert!(stand.backend.wait().success());
    let starts = stand.starts_in_file();
    assert_eq!(refused(&late), Some(NotStarted::Draining));
    assert_none_cut_off(&replies.concat(), &starts);
    until("a report without a backend server", async || {
        stand.control.server().is_none().then_some(())
    })
    .await;
}

/// Guards against a planned stop of a sidecar that cuts off a task or starts a new one.
#[actix_rt::test]
async fn sidecar_leaves_under_load() {
    let mut stand = Stand::with(json!({"linger_ms": 500}), json!({})).await;
    let load = future::join_all((0..14).map(|sender| load_until_draining(&stand, sender)));
    let leave = async {
        sleep(Duration::from_millis(200)).await;
        stand.sidecar.signal(Signal::SIGTERM);
    };
    let (replies, ()) = future::join(load, leave).await;
    assert!(stand.sidecar.wait().success());
    assert_none_cut_off(&replies.concat(), &stand.starts().await);
    assert!(stand.control.server().is_none());
}

/// Guards against a stop of the sidecar that never ends, or that leaves calls without a reply, when
/// a task runs longer than the drain limit.
#[actix_rt::test]
async fn stop_cuts_tasks_off_at_the_drain_limit() {
    let mut stand = Stand::with(json!({"drain_limit_ms": 200}), json!({})).await;
    let stop = async {
        started(&stand, 1).await;
        stand.sidecar.signal(Signal::SIGTERM);
    };
    let (reply, ()) = future::join(stand.run(1, json!({"work_ms": 25_000})), stop).await;
    assert_eq!(failed(&reply), Some(job::Failure::OutcomeUnknown));
    assert_eq!(stand.sidecar.wait().code(), Some(1));
    assert!(stand.sidecar.log().contains("event=cut_off attempt=5-1-0-0"));
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
    let mut stand = Stand::with(settings, json!({})).await;
    let long = stand.run(1, json!({"work_ms": 1_000}));
    let check = async {
        started(&stand, 1).await;
        stand.backend.signal(Signal::SIGTERM);
        until("a report of a draining backend server", async || {
            (stand.control.server()?.state == ServerState::Draining).then_some(())
        })
        .await;
    };
    let (reply, ()) = future::join(long, check).await;
    assert!(matches!(reply.result, RunResult::Done { .. }), "{reply:?}");
    assert!(stand.backend.wait().success());
}

/// Guards against a sidecar that does not apply drain rules itself, and so starts attempts of
/// entries that do not know the rule yet, or that refuses attempts after the rule was removed.
#[actix_rt::test]
async fn drain_rule_refuses_new_work() {
    let stand = Stand::new().await;
    let rules = |version, text: &str| {
        stand.control.set(|a| a.rules = Some(Rules { version, text: text.into() }));
    };
    rules(1, "drain rack saga/other # emi: not this one\n");
    let calls = stand.control.get().calls;
    until("three more reports to control", async || {
        (stand.control.get().calls > calls + 2).then_some(())
    })
    .await;
    assert!(matches!(stand.run(1, json!({})).await.result, RunResult::Done { .. }));
    rules(2, "drain rack saga/s1 # emi: switch is replaced\n");
    let last = run_until(&stand, 100, Some(NotStarted::Draining)).await;
    let state = || stand.control.server().map(|m| m.state);
    until("a report of a draining backend server", async || {
        (state()? == ServerState::Draining).then_some(())
    })
    .await;
    rules(3, "# emi: done\n");
    run_until(&stand, last + 1_000_000, None).await;
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
    let Stand { dir, control, sidecar, backend, link, incarnation } = Stand::new().await;
    let task = stand::task(incarnation, 1, json!({"work_ms": 25_000}));
    let restart = async {
        until("a start", async || get(backend.http(), "/starts").await.get("5-1-0-0").map(|_| ()))
            .await;
        backend.kill();
        stand::start_backend(&dir, sidecar.http(), stand::HOST, json!({}))
    };
    let (reply, backend) = future::join(send(&link, task.clone()), restart).await;
    assert_eq!(failed(&reply), Some(job::Failure::OutcomeUnknown));
    let new = stand::serving(&control, Some(incarnation)).await;
    let again = send(&link, task).await;
    assert_eq!(refused(&again), Some(NotStarted::WrongIncarnation));
    let reply = send(&link, stand::task(new, 2, json!({}))).await;
    assert!(matches!(reply.result, RunResult::Done { .. }), "{reply:?}");
    assert_eq!(get(backend.http(), "/starts").await, json!({"5-1-0-0": 1, "5-2-0-0": 1}));
}

/// Guards against a restarted sidecar that starts an attempt again: it does not know what it
/// started before.
#[actix_rt::test]
async fn restarted_sidecar_is_a_new_incarnation() {
    let (_socket, http) = stand::closed_port();
    let Stand { dir, control, sidecar, backend, link, incarnation } =
        Stand::with(json!({"http": http}), json!({})).await;
    let task = stand::task(incarnation, 1, json!({}));
    let first = send(&link, task.clone()).await;
    assert!(matches!(first.result, RunResult::Done { .. }), "{first:?}");
    sidecar.kill();
    let sidecar = stand::start_sidecar(&dir, &control, &http.to_string(), json!({}));
    let new = stand::serving(&control, Some(incarnation)).await;
    let link = Link::new(sidecar.rpc());
    assert_eq!(refused(&send(&link, task).await), Some(NotStarted::WrongIncarnation));
    let reply = send(&link, stand::task(new, 2, json!({}))).await;
    assert!(matches!(reply.result, RunResult::Done { .. }), "{reply:?}");
    assert_eq!(get(backend.http(), "/starts").await, json!({"5-1-0-0": 1, "5-2-0-0": 1}));
}

/// Guards against tasks that run on after their deadline or start after it.
#[actix_rt::test]
async fn deadline_stops_running_and_drops_queued() {
    let stand = Stand::with(json!({}), json!({"slots": 1})).await;
    let within = |seq, left_ms| {
        let task = stand.task(seq, json!({"work_ms": 25_000}));
        stand.send(sidecar::Task { left_ms, ..task })
    };
    let begin = Instant::now();
    let queued = async {
        started(&stand, 1).await;
        within(2, 50).await
    };
    let (running, queued) = future::join(within(1, 1_500), queued).await;
    assert_eq!(failed(&running), Some(job::Failure::DeadlineExceeded));
    assert_eq!(refused(&queued), Some(NotStarted::Expired));
    assert!(begin.elapsed() < Duration::from_secs(20));
    assert_eq!(stand.starts().await, json!({"5-1-0-0": 1}));
}

/// Guards against the start of a task that needs more than the worker has, or whose kind the
/// backend server does not run.
#[actix_rt::test]
async fn task_that_does_not_fit_is_refused() {
    let backend = json!({
        "kinds": ["quote"],
        "size": { "cpus": 4, "memory_mb": 1000, "accelerators": 0 }
    });
    let stand = Stand::with(json!({}), backend).await;
    let task = stand.task(1, json!({}));
    let large = job::Needs { cpus: 5, ..job::Needs::default() };
    let reply = stand.send(sidecar::Task { needs: large, ..task.clone() }).await;
    assert_eq!(refused(&reply), Some(NotStarted::TooLarge));
    let attempt = attempt(2);
    let reply = stand.send(sidecar::Task { kind: "book".into(), attempt, ..task }).await;
    assert_eq!(refused(&reply), Some(NotStarted::TooLarge));
    assert_eq!(stand.starts().await, json!({}));
}

/// Guards against a task that is reported as not started, or keeps its slot, when its worker lease
/// expires because the backend server hangs.
#[actix_rt::test]
async fn worker_lease_ends_tasks_of_a_frozen_backend() {
    let settings = json!({"announce_lease_ms": 800, "task": {"lease_ms": 300}});
    let stand = Stand::with(settings, json!({"slots": 1})).await;
    let frozen = async {
        started(&stand, 1).await;
        stand.backend.signal(Signal::SIGSTOP);
    };
    let (reply, ()) = future::join(stand.run(1, json!({"work_ms": 25_000})), frozen).await;
    assert_eq!(failed(&reply), Some(job::Failure::OutcomeUnknown));
    assert_eq!(reply.load.busy, 0);
    assert_eq!(refused(&stand.run(2, json!({})).await), Some(NotStarted::Unreachable));
    until("a report without a backend server", async || {
        stand.control.server().is_none().then_some(())
    })
    .await;
    // When the process continues, it is still the same incarnation of the backend server.
    stand.backend.signal(Signal::SIGCONT);
    assert_eq!(stand::serving(&stand.control, None).await, stand.incarnation);
    let reply = stand.run(3, json!({})).await;
    assert!(matches!(reply.result, RunResult::Done { .. }), "{reply:?}");
}

/// Guards against a sidecar that refuses the first attempt after its backend server has announced
/// itself again, because it still acts on the expired announcement.
#[actix_rt::test]
async fn attempt_right_after_an_announcement_starts() {
    let dir = workdir::Workdir::new();
    let control = control::Control::start(&[stand::EPOCH]);
    let settings = json!({"announce_lease_ms": 1_500});
    let sidecar = stand::start_sidecar(&dir, &control, stand::HOST, settings);
    let (_socket, nowhere) = stand::closed_port();
    let backend = stand::start_backend(&dir, nowhere, stand::HOST, json!({}));
    let body = json!({
        "addr": backend.http(), "start": 1, "slots": 8, "connections": 64, "size": {}
    });
    let answer = stand::post(sidecar.http(), "/announce", body.clone()).await;
    let answer: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    let incarnation = id::Incarnation(answer["incarnation"].as_u64().unwrap());
    let link = Link::new(sidecar.rpc());
    let mut seq = 0;
    for _ in 0..3 {
        until("the announcement to expire", async || {
            seq += 1;
            let reply = send(&link, stand::task(incarnation, seq, json!({}))).await;
            (refused(&reply) == Some(NotStarted::Unreachable)).then_some(())
        })
        .await;
        stand::post(sidecar.http(), "/announce", body.clone()).await;
        seq += 1;
        let reply = send(&link, stand::task(incarnation, seq, json!({}))).await;
        assert!(matches!(reply.result, RunResult::Done { .. }), "{reply:?}");
    }
}

/// Guards against a task that keeps using far more of the worker's resources than it has declared.
#[actix_rt::test]
async fn oversized_task_is_throttled_then_stopped() {
    let settings = json!({"task": {"usage_interval_ms": 30, "throttle_grace_ms": 200}});
    let stand = Stand::with(settings, json!({})).await;
    let run = |seq, uses_mb: u32, left_ms| {
        let uses = json!({"work_ms": 25_000, "uses": {"memory_mb": uses_mb}});
        let needs = job::Needs { memory_mb: 100, ..job::Needs::default() };
        stand.send(sidecar::Task { needs, left_ms, ..stand.task(seq, uses) })
    };
    let (within, above, far_above) =
        future::join3(run(1, 120, 1_500), run(2, 200, 25_000), run(3, 400, 25_000)).await;
    assert_eq!(failed(&within), Some(job::Failure::DeadlineExceeded));
    assert_eq!(failed(&above), Some(job::Failure::TaskFailed));
    assert_eq!(failed(&far_above), Some(job::Failure::TaskFailed));
    until("both to be checkpointed", async || {
        let seen = get(stand.backend.http(), "/seen").await;
        let done = json!(["5-2-0-0", "5-3-0-0"]);
        (seen["throttled"] == json!(["5-2-0-0"]) && seen["checkpointed"] == done).then_some(())
    })
    .await;
}

/// Guards against metrics that do not count starts, refusals, ended attempts or run times.
#[actix_rt::test]
async fn metrics_count_starts_and_refusals() {
    let stand = Stand::new().await;
    stand.run(1, json!({})).await;
    let stale = id::Incarnation(stand.incarnation.0 ^ 1);
    let task = stand.task(2, json!({}));
    stand.send(sidecar::Task { incarnation: stale, ..task }).await;
    let metrics = stand.metrics().await;
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
