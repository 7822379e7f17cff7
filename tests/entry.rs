//! Tests of the entry process against simulated control instances and sidecars that fail.

mod fake;

use std::{net::SocketAddr, rc::Rc};

use briargauge::{
    daemon::Process,
    entry::settings::Limits,
    protocol::wire::{Outcome, sidecar::NotStarted},
};
use fake::{
    Answer, World,
    control::{Call, Control},
    get, job, limits, numbered, post,
    sidecar::{Fault, Sidecar},
};
use futures::future;
use serde_json::json;
use tokio::{io::AsyncWriteExt, net::TcpStream};

async fn submit(addr: SocketAddr, key: &str, tasks: usize) -> Answer {
    post(addr, "/v1/jobs", numbered(key, tasks).to_string()).await
}

fn submitted(
    addr: SocketAddr,
    key: &'static str,
    tasks: usize,
) -> actix_rt::task::JoinHandle<Answer> {
    actix_rt::spawn(submit(addr, key, tasks))
}

/// Guards against a response whose answers are out of order or missing or whose other fields are
/// wrong, and against counting useful messages as wasted. The replies arrive in reverse order.
#[test]
fn replies_out_of_order_give_a_complete_answer_in_order() {
    fake::run(async {
        let world = World::new().await;
        world.sidecar.plan(|task| Fault::Late(40 - 10 * u64::from(task.attempt.task)));
        let answer = submit(world.addr, "k", 4).await;
        insta::assert_snapshot!(answer.text, @r#"{"status":"completed","answers":[0,1,2,3]}"#);
        assert_eq!(answer.code, 200);
        assert_eq!(world.sidecar.starts(), 4);
        let metrics = get(world.addr, "/metrics").await.text;
        for cause in ["refused", "lost", "late", "unused"] {
            let none = format!("briargauge_entry_wasted_messages_total{{cause=\"{cause}\"}} 0");
            assert!(metrics.contains(&none), "{metrics}");
        }
    });
}

/// Guards against sending a caller an answer from a reply that names another attempt, is corrupted
/// or arrives a second time, and against failing other jobs because of such a reply. Every reply
/// arrives twice.
#[test]
fn a_corrupted_or_misdirected_reply_fails_only_its_own_job() {
    fake::run(async {
        for fault in [Fault::Crossed, Fault::BadCrc, Fault::BadJson] {
            let world = World::new().await;
            world.sidecar.relay.doubling.set(true);
            world.sidecar.plan(move |task| if task.input == "3" { fault } else { Fault::None });
            let jobs = (0..8).map(|n| {
                let inputs = [json!(n * 10), json!(if n == 5 { 3 } else { n * 10 + 1 })];
                let body = job(&format!("k{n}"), &inputs).to_string();
                async move { (inputs, post(world.addr, "/v1/jobs", body).await) }
            });
            for (number, (inputs, answer)) in future::join_all(jobs).await.into_iter().enumerate() {
                if number == 5 {
                    assert_eq!(answer.short(), "502 failed outcome_unknown", "{fault:?}");
                } else {
                    assert_eq!(answer.body["answers"], json!(inputs), "{fault:?}");
                }
            }
            assert!(!world.sidecar.has_repeats());
        }
    });
}

/// Guards against losing a task, or starting it twice, when the connection to its sidecar breaks
/// before or after the start.
#[test]
fn a_broken_connection_never_starts_a_task_twice() {
    fake::run(async {
        let world = World::new().await;
        let first = |task: &briargauge::protocol::wire::sidecar::Task| task.attempt.number == 0;
        world.sidecar.plan(move |task| match task.attempt.task {
            3 if first(task) => Fault::CutBefore,
            _ => Fault::None,
        });
        let before = submit(world.addr, "before", 1).await;
        assert_eq!(before.short(), "200 completed");
        world.sidecar.plan(move |task| if first(task) { Fault::CutBefore } else { Fault::None });
        let one = submit(world.addr, "one", 1).await;
        assert_eq!((one.short().as_str(), world.sidecar.starts()), ("200 completed", 2));

        world.sidecar.plan(|_| Fault::CutAfter);
        let after = submit(world.addr, "after", 1).await;
        assert_eq!(after.short(), "502 failed outcome_unknown");
        assert_eq!(world.sidecar.starts(), 3);
        assert!(!world.sidecar.has_repeats());
    });
}

/// Guards against a second execution for a resubmission to the same entry, during or after the
/// first.
#[test]
fn a_resubmission_joins_the_execution() {
    fake::run(async {
        let world = World::new().await;
        world.sidecar.plan(|_| Fault::Hold);
        let first = submitted(world.addr, "k", 3);
        fake::until("started", || world.sidecar.starts() == 3).await;
        let second = submitted(world.addr, "k", 3);
        let mut short_deadline = numbered("k", 3);
        short_deadline["deadline_ms"] = json!(50);
        let third = post(world.addr, "/v1/jobs", short_deadline.to_string()).await;
        assert_eq!(third.short(), "202 running");
        world.sidecar.release();
        let first = first.await.unwrap();
        assert_eq!(first.short(), "200 completed");
        assert_eq!(second.await.unwrap(), first);
        assert_eq!(submit(world.addr, "k", 3).await.text, first.text);
        assert_eq!(world.sidecar.starts(), 3);
    });
}

/// Guards against a second execution for a resubmission to another entry, and against losing a
/// large answer or replacing it by that of another job.
#[test]
fn a_resubmission_to_another_entry_gets_the_same_answer() {
    fake::run(async {
        let world = World::new().await;
        let (_other_entry, other_addr) = fake::entry(&[world.control.addr()], limits()).await;
        world.control.synced(2).await;
        world.sidecar.plan(|_| Fault::Hold);
        let inputs = [json!("x".repeat(20_000)), json!("y")];
        let body = job("large", &inputs).to_string();
        let (one, two) = (body.clone(), body.clone());
        let first = actix_rt::spawn(async move { post(world.addr, "/v1/jobs", one).await });
        fake::until("started", || world.sidecar.starts() == 2).await;
        let second = actix_rt::spawn(async move { post(other_addr, "/v1/jobs", two).await });
        fake::until("second admission", || world.control.counted(Call::Admit) == 2).await;
        let query = get(other_addr, "/v1/jobs?team=desk&key=large").await;
        assert_eq!((query.code, &query.body["tasks"]), (202, &json!(2)));
        world.sidecar.release();
        let first = first.await.unwrap();
        assert_eq!(first.body["answers"], json!(inputs));
        assert_eq!(second.await.unwrap().text, first.text);
        assert_eq!(post(other_addr, "/v1/jobs", body.clone()).await.text, first.text);

        drop(world.entry);
        let lost = post(other_addr, "/v1/jobs", body).await;
        assert_eq!(lost.short(), "502 failed answer_lost");
        assert_eq!(world.sidecar.starts(), 2);
    });
}

/// Guards against a second start, or an endless wait, when the entry that ran a job has stopped.
#[test]
fn a_job_of_a_lost_entry_is_failed_and_never_restarted() {
    fake::run(async {
        let world = World::new().await;
        let (_other_entry, other_addr) = fake::entry(&[world.control.addr()], limits()).await;
        world.control.synced(2).await;
        world.sidecar.plan(|_| Fault::Hold);
        let _first = submitted(world.addr, "k", 1);
        fake::until("started", || world.sidecar.starts() == 1).await;
        drop(world.entry);
        let second = submitted(other_addr, "k", 1);
        fake::until("lookup repeated", || world.control.counted(Call::Lookup) >= 2).await;
        world.control.fence(true);
        assert_eq!(second.await.unwrap().short(), "502 failed entry_lost");
        assert_eq!(world.sidecar.starts(), 1);
    });
}

/// Guards against completing a job although its session has ended, and against a fenced entry that
/// opens no new session.
#[test]
fn a_fenced_entry_fails_its_jobs_and_registers_again() {
    fake::run(async {
        let world = World::new().await;
        world.sidecar.plan(|_| Fault::Hold);
        let running = submitted(world.addr, "k", 2);
        fake::until("started", || world.sidecar.starts() == 2).await;
        world.control.fence(false);
        assert_eq!(running.await.unwrap().short(), "502 failed entry_lost");
        world.sidecar.release();
        world.control.synced(1).await;
        assert_eq!(submit(world.addr, "k2", 2).await.short(), "200 completed");
        assert_eq!(world.sidecar.starts(), 4);
    });
}

/// Guards against refusing a job, or letting it wait until its deadline, if it arrives just after
/// control has ended the entry's session, when the entry does not know this yet.
#[test]
fn a_job_that_arrives_after_a_session_ended_runs_in_a_new_one() {
    fake::run(async {
        let slow = Limits { sync_interval_ms: 1_000, ..limits() };
        let world = World::with_limits(slow).await;
        world.control.fence(false);
        assert_eq!(submit(world.addr, "k", 2).await.short(), "200 completed");
        assert_eq!(world.sidecar.starts(), 2);
    });
}

/// Guards against reporting "not run" for a key that has run, when the entry cannot accept new
/// submissions because its rules are unconfirmed.
#[test]
fn unconfirmed_rules_refuse_only_keys_that_have_not_run() {
    fake::run(async {
        let world = World::new().await;
        world.sidecar.plan(|task| if task.input == "1" { Fault::Fail } else { Fault::None });
        let completed = submit(world.addr, "good", 1).await;
        let failed = submit(world.addr, "bad", 2).await;
        assert_eq!(failed.short(), "502 failed task_failed");
        world.control.age_ms.set(60_000);
        let (_other_entry, other_addr) = fake::entry(&[world.control.addr()], limits()).await;
        world.control.synced(2).await;
        assert_eq!(submit(other_addr, "new", 1).await.short(), "503 not_run rules_unconfirmed");
        assert_eq!(submit(other_addr, "good", 1).await.text, completed.text);
        assert_eq!(submit(other_addr, "bad", 2).await.text, failed.text);
        assert_eq!(submit(other_addr, "good", 2).await.short(), "409 not_run key_conflict");
        assert_eq!(world.sidecar.starts(), 3);
    });
}

/// Guards against starting a task after the entry's lease has expired, when control may have ended
/// its session.
#[test]
fn nothing_starts_without_a_lease() {
    fake::run(async {
        let control = Control::start().await;
        let sidecar = Sidecar::start().await;
        control.add(sidecar.as_server());
        control.lease_ms.set(200);
        let (_entry, addr) = fake::entry(&[control.addr()], limits()).await;
        control.synced(1).await;
        control.mute(Call::Sync, true);
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
        let mut body = numbered("k", 2);
        body["deadline_ms"] = json!(300);
        let answer = post(addr, "/v1/jobs", body.to_string()).await;
        assert_eq!(answer.short(), "503 not_run deadline_exceeded");
        assert_eq!(sidecar.runs.get(), 0);
        // The recorded outcome frees the key.
        assert!(matches!(control.outcome("k"), Some(Outcome::NotRun { .. })));
        control.mute(Call::Sync, false);
        control.synced(1).await;
        assert_eq!(submit(addr, "k", 2).await.short(), "200 completed");
    });
}

/// Guards against starting a task after "not run" was reported, and against leaving a key blocked
/// by an admission whose answer was lost.
#[test]
fn an_unanswered_admission_starts_nothing() {
    fake::run(async {
        let world = World::with_limits(Limits { admit_limit_ms: 200, ..limits() }).await;
        world.control.mute(Call::Admit, true);
        let answer = submit(world.addr, "k", 2).await;
        assert_eq!(answer.short(), "503 not_run control_unavailable");
        assert!(world.control.jobs.borrow().contains_key("k"));
        world.control.mute(Call::Admit, false);
        let freed = || matches!(world.control.outcome("k"), Some(Outcome::NotRun { .. }));
        fake::until("freed", freed).await;
        assert_eq!(world.sidecar.runs.get(), 0);
        assert_eq!(submit(world.addr, "k", 2).await.short(), "200 completed");
        assert_eq!(world.sidecar.starts(), 2);
    });
}

/// Guards against reporting a job as completed while control may still record it as failed, and
/// against never recording its outcome. Control does not answer `finish` until after the deadline.
#[test]
fn a_job_counts_as_completed_only_once_recorded() {
    fake::run(async {
        let world = World::with_limits(Limits { finish_grace_ms: 100, ..limits() }).await;
        world.control.mute(Call::Finish, true);
        let mut body = numbered("k", 2);
        body["deadline_ms"] = json!(300);
        let answer = post(world.addr, "/v1/jobs", body.to_string()).await;
        assert_eq!(answer.short(), "502 failed outcome_unknown");
        world.control.mute(Call::Finish, false);
        assert_eq!(submit(world.addr, "k", 2).await.short(), "200 completed");
        assert_eq!(world.sidecar.starts(), 2);
    });
}

/// Guards against calling a control instance again and again although it is not the leader or does
/// not run.
#[test]
fn an_entry_finds_the_leader_and_follows_a_change() {
    fake::run(async {
        let (gone, leader, follower) =
            (fake::relay::closed().await, Control::start().await, Control::start().await);
        let sidecar = Sidecar::start().await;
        leader.add(sidecar.as_server());
        follower.leader.set(Some(leader.addr()));
        let (_entry, addr) = fake::entry(&[gone, follower.addr()], limits()).await;
        leader.synced(1).await;
        assert_eq!(submit(addr, "k", 1).await.short(), "200 completed");
        // The other control instance becomes the leader.
        follower.add(sidecar.as_server());
        follower.leader.set(None);
        leader.leader.set(Some(follower.addr()));
        leader.fence(false);
        follower.synced(1).await;
        assert_eq!(submit(addr, "k2", 1).await.short(), "200 completed");
    });
}

/// Guards against ending a job because its caller has hung up, and against continuing a request
/// without a key after its caller has hung up.
#[test]
fn hanging_up_cancels_only_requests_without_a_key() {
    fake::run(async {
        let world = World::new().await;
        world.sidecar.plan(|_| Fault::Hold);
        let job = submitted(world.addr, "k", 2);
        fake::until("started", || world.sidecar.starts() == 2).await;
        job.abort();
        let body = json!({"team": "desk", "idempotent": true,
            "task": {"kind": "quote", "input": 1}});
        let addr = world.addr;
        let request =
            actix_rt::spawn(async move { post(addr, "/v1/requests", body.to_string()).await });
        fake::until("started", || world.sidecar.starts() == 3).await;
        request.abort();
        fake::until("cancelled", || world.sidecar.cancels.borrow().len() == 1).await;
        let unkeyed = world.sidecar.started.borrow()[2].execution;
        assert_eq!(*world.sidecar.cancels.borrow(), [unkeyed]);
        world.sidecar.release();
        let completed = || matches!(world.control.outcome("k"), Some(Outcome::Completed(_)));
        fake::until("completed", completed).await;
        assert_eq!(submit(world.addr, "k", 2).await.short(), "200 completed");
        assert_eq!(world.sidecar.starts(), 3);
    });
}

/// Guards against not forwarding a cancel to the entry that runs the job, and against sending the
/// sidecar one cancel for each task.
#[test]
fn a_cancel_at_another_entry_ends_the_job() {
    fake::run(async {
        let world = World::new().await;
        let (_other_entry, other_addr) = fake::entry(&[world.control.addr()], limits()).await;
        world.control.synced(2).await;
        world.sidecar.plan(|_| Fault::Hold);
        let running = submitted(world.addr, "k", 5);
        fake::until("started", || world.sidecar.starts() == 5).await;
        let joined = submitted(other_addr, "k", 5);
        fake::until("joined", || world.control.counted(Call::Admit) == 2).await;
        let body = json!({"team": "desk", "key": "k"}).to_string();
        let cancelled = post(other_addr, "/v1/jobs/cancel", body).await;
        assert_eq!(cancelled.short(), "502 failed cancelled");
        assert_eq!(joined.await.unwrap().short(), "502 failed cancelled");
        assert_eq!(running.await.unwrap().short(), "502 failed cancelled");
        fake::until("cancelled", || world.sidecar.cancels.borrow().len() == 1).await;
    });
}

/// Guards against losing a cancel that arrives before the job is admitted.
#[test]
fn a_cancel_during_admission_keeps_the_job_from_starting() {
    fake::run(async {
        let limits = Limits { admit_limit_ms: 20_000, cancel_limit_ms: 50, ..limits() };
        let world = World::with_limits(limits).await;
        world.control.mute(Call::Admit, true);
        let running = submitted(world.addr, "k", 2);
        fake::until("admission", || world.control.counted(Call::Admit) == 1).await;
        let body = json!({"team": "desk", "key": "k"}).to_string();
        let cancel = post(world.addr, "/v1/jobs/cancel", body).await;
        assert_eq!(cancel.short(), "202 running");
        world.control.mute(Call::Admit, false);
        assert_eq!(running.await.unwrap().short(), "503 not_run cancelled");
        assert!(matches!(world.control.outcome("k"), Some(Outcome::NotRun { .. })));
        assert_eq!(world.sidecar.runs.get(), 0);
    });
}

/// Guards against interrupting a job by a planned stop, and against accepting new submissions
/// during the stop.
#[test]
fn a_stopping_entry_finishes_its_jobs_and_refuses_new_ones() {
    fake::run(async {
        let world = World::new().await;
        let addr = world.addr;
        world.sidecar.plan(|_| Fault::Hold);
        let running = submitted(addr, "k", 2);
        fake::until("started", || world.sidecar.starts() == 2).await;
        let stop = actix_rt::spawn(world.entry.stop());
        let mut health = get(addr, "/health").await;
        while health.code == 200 {
            health = get(addr, "/health").await;
        }
        // The requests share one connection, which the first refusal closes.
        let client = fake::client();
        let mut input = 0;
        let refused = loop {
            // A request before the first refusal is accepted and ends at its deadline.
            let body = json!({"team": "desk", "idempotent": true, "deadline_ms": 20,
                "task": {"kind": "quote", "input": input}});
            let answer = fake::post_by(&client, addr, "/v1/requests", body.to_string()).await;
            if answer.reason() == "stopping" {
                break answer;
            }
            input += 1;
        };
        assert_eq!((refused.code, refused.close), (503, true));
        assert!(!stop.is_finished());
        let again = fake::post_by(&client, addr, "/v1/jobs", numbered("new", 1).to_string()).await;
        assert_eq!((again.reason(), again.close), ("stopping", true));
        world.sidecar.release();
        assert_eq!(running.await.unwrap().short(), "200 completed");
        assert_eq!(stop.await.unwrap(), 0);
    });
}

/// Guards against continuing a job after its deadline: the started attempts must be cancelled, the
/// late replies dropped, and the key must not be executed again.
#[test]
fn a_passed_deadline_fails_a_started_job() {
    fake::run(async {
        let world = World::new().await;
        world.sidecar.plan(|_| Fault::Hold);
        let mut body = numbered("k", 2);
        body["deadline_ms"] = json!(200);
        let answer = post(world.addr, "/v1/jobs", body.to_string()).await;
        assert_eq!(answer.short(), "502 failed deadline_exceeded");
        fake::until("cancelled", || world.sidecar.cancels.borrow().len() == 1).await;
        world.sidecar.release();
        let again = submit(world.addr, "k", 2).await;
        assert_eq!(again.short(), "502 failed deadline_exceeded");
        let late = "briargauge_entry_wasted_messages_total{cause=\"late\"} 4";
        let mut metrics = get(world.addr, "/metrics").await.text;
        while !metrics.contains(late) {
            metrics = get(world.addr, "/metrics").await.text;
        }
        assert_eq!(world.sidecar.starts(), 2);
    });
}

/// Guards against callers that exhaust the entry's memory because they do not read their answers.
#[test]
fn unread_answers_are_bounded() {
    const MIB: usize = 1024 * 1024;
    fake::run(async {
        let limits = Limits {
            body_max_bytes: 16 * MIB,
            answer_max_bytes: 2 * MIB,
            // New submissions are accepted while less than 20 MiB are reserved.
            memory_max_bytes: 40 * MIB,
            held_max_bytes: 0,
            ..limits()
        };
        let world = World::with_limits(limits).await;
        // The answer is larger than the socket buffers of both sides together.
        let inputs = vec![json!("x".repeat(MIB)); 12];
        let mut callers = Vec::new();
        for key in ["a", "b"] {
            let body = job(key, &inputs).to_string();
            let head = format!(
                "POST /v1/jobs HTTP/1.1\r\nhost: entry\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            let mut caller = TcpStream::connect(world.addr).await.unwrap();
            caller.write_all((head + &body).as_bytes()).await.unwrap();
            let completed = || matches!(world.control.outcome(key), Some(Outcome::Completed(_)));
            fake::until("completed", completed).await;
            callers.push(caller);
        }
        let mut refused = submit(world.addr, "c", 1).await;
        while refused.code == 200 {
            refused = submit(world.addr, "c", 1).await;
        }
        assert_eq!(refused.short(), "503 not_run overloaded");
        drop(callers);
        while submit(world.addr, "d", 1).await.code != 200 {}
    });
}

/// Runs one job with one task for each fault. The fault hits the first attempt of the task only.
fn job_under(faults: Vec<Fault>) -> (Answer, Rc<Sidecar>) {
    fake::run(async {
        let world = World::new().await;
        let tasks = faults.len();
        world.sidecar.plan(move |task| match task.attempt.number {
            0 => faults[usize::from(task.attempt.task)],
            _ => Fault::None,
        });
        (submit(world.addr, "k", tasks).await, world.sidecar)
    })
}

/// Guards against partial answers, against "not run" for jobs that have started, and against second
/// starts, under random combinations of faults.
#[test]
fn no_job_is_answered_in_part() {
    const FAULTS: [Fault; 11] = [
        Fault::None,
        Fault::None,
        Fault::None,
        Fault::Late(5),
        Fault::Refuse(NotStarted::Full),
        Fault::Refuse(NotStarted::Draining),
        Fault::Fail,
        Fault::Crossed,
        Fault::BadCrc,
        Fault::CutBefore,
        Fault::CutAfter,
    ];
    fn holds(choices: Vec<u8>) -> bool {
        let pick = |c: &u8| FAULTS[usize::from(*c) % FAULTS.len()];
        let mut faults: Vec<Fault> = choices.iter().take(6).map(pick).collect();
        faults.push(Fault::None);
        let tasks = faults.len();
        let (answer, sidecar) = job_under(faults);
        let complete = json!((0..tasks).collect::<Vec<_>>());
        !sidecar.has_repeats()
            && match answer.status() {
                "completed" => answer.body["answers"] == complete && sidecar.starts() == tasks,
                "failed" => answer.body.get("answers").is_none(),
                "not_run" => sidecar.starts() == 0,
                _ => false,
            }
    }
    quickcheck::QuickCheck::new().tests(40).quickcheck(holds as fn(Vec<u8>) -> bool);
}
