//! Failures of separate processes: killed and frozen processes, lost data directories and
//! concurrent changes of operators.

mod workdir;

use std::{
    collections::BTreeSet,
    fs, thread,
    time::{Duration, Instant},
};

use briargauge::protocol::job::Response;
use nix::sys::signal::Signal;
use serde_json::json;
use workdir::{
    system::{self, System},
    wait_for,
};

/// Target: longest time without an admission after the leader has died.
const FAILOVER_MAX: Duration = Duration::from_secs(2);
/// Longest time until an accepted rule change is in force, and until an entry without control stops
/// accepting work.
const RULES_MAX: Duration = Duration::from_secs(8);
/// Target: longest restart of a control instance after 1,000 rule changes.
const RESTART_MAX: Duration = Duration::from_secs(1);

/// Resubmits a job until the response is neither `NotRun` nor `Running`.
fn resubmit_until_ended(system: &System, entry: usize, job: &serde_json::Value) -> Response {
    wait_for("the job to end", || {
        let response = system.post(entry, "/v1/jobs", job.clone())?;
        let not_run = matches!(response, Response::NotRun { .. });
        let running = matches!(response, Response::Running { .. });
        (!not_run && !running).then_some(response)
    })
}

fn failed_with(response: &Response, reason: &str) -> bool {
    system::text(response).contains(&format!("\"failed\",\"reason\":\"{reason}\""))
}

/// Guards against a second start of tasks: the job of a dead entry must not be run again when its
/// caller resubmits it.
#[test]
fn job_of_a_killed_entry_fails_and_never_runs_again() {
    // 3 control instances, 2 entries and 2 backend servers.
    let mut system = System::new(3, 2, 2);
    // 6 tasks of 1.5 s each, so that the entry is killed while tasks run.
    let job = system::job("orphan", 6, 1_500);
    let first = system.post_later(0, "/v1/jobs", job.clone());
    wait_for("the first start", || (system.started() > 0).then_some(()));
    system.entries.remove(0).kill();
    assert!(first.join().unwrap().is_none());
    // Entry 0 is now the one that survives.
    let response = resubmit_until_ended(&system, 0, &job);
    assert!(failed_with(&response, "entry_lost"), "{}", system::text(&response));
    let again = resubmit_until_ended(&system, 0, &job);
    assert_eq!(system::text(&response), system::text(&again));
    let starts = system.starts();
    assert!(starts.values().all(|count| *count == 1));
    assert!(starts.len() <= 6, "{starts:?}");
}

/// Guards against an entry that is suspended, loses its session and starts further tasks of its job
/// when it resumes, although control has recorded the job as failed.
#[test]
fn frozen_entry_starts_nothing_after_its_job_failed() {
    let system = System::new(3, 2, 1);
    // More tasks than the slots and queue of the sidecar take, so that the entry still has
    // unstarted ones when it is suspended.
    let job = system::job("frozen", 60, 400);
    let first = system.post_later(0, "/v1/jobs", job.clone());
    wait_for("the first start", || (system.started() > 0).then_some(()));
    system.entries[0].signal(Signal::SIGSTOP);
    let response = resubmit_until_ended(&system, 1, &job);
    assert!(failed_with(&response, "entry_lost"), "{}", system::text(&response));
    let started = system.started();
    system.entries[0].signal(Signal::SIGCONT);
    let late = first.join().unwrap().expect("the entry answers when it resumes");
    assert!(matches!(late, Response::Failed { .. }), "{}", system::text(&late));
    // A forbidden start would need some time to reach the backend server.
    thread::sleep(Duration::from_secs(1));
    assert_eq!(system.started(), started);
    let after = wait_for("the resumed entry to register a new session", || {
        let job = system::job("after", 3, 10);
        system.post(0, "/v1/jobs", job).filter(|r| matches!(r, Response::Completed { .. }))
    });
    assert!(system::text(&after).contains("completed"));
}

/// Guards against lost admissions, double starts and too long a time without a leader when control
/// leaders are killed one after the other.
#[test]
fn killed_leader_is_replaced_in_time_and_nothing_acknowledged_is_lost() {
    let mut system = System::new(3, 1, 2);
    let jobs: Vec<_> = (0..5).map(|n| system::job(&format!("before-{n}"), 3, 10)).collect();
    let answers: Vec<_> =
        jobs.iter().map(|job| system.post(0, "/v1/jobs", job.clone()).unwrap()).collect();
    let leader = system.leader();
    system.kill_control(leader);
    let killed = Instant::now();
    let during = system.post(0, "/v1/jobs", system::job("during", 3, 10)).unwrap();
    let gap = killed.elapsed();
    assert!(matches!(during, Response::Completed { .. }), "{}", system::text(&during));
    assert!(gap < FAILOVER_MAX, "no admission for {gap:?}");
    system.restart_control(leader);
    let second = system.leader();
    system.kill_control(second);
    for (job, answer) in jobs.iter().zip(&answers) {
        let again = resubmit_until_ended(&system, 0, job);
        assert_eq!(system::text(&again), system::text(answer));
    }
    // Six jobs of three tasks, each task started once.
    assert_eq!(system.started(), 18);
    println!("event=failover gap_ms={}", gap.as_millis());
}

/// Guards against a control instance that restarts with an empty data directory and votes before it
/// has the log again: if a second instance then loses its data directory, an admitted job must not
/// be lost.
#[test]
fn second_loss_right_after_a_repair_loses_nothing() {
    let mut system = System::new(3, 1, 1);
    let job = system::job("kept", 4, 10);
    let answer = system.post(0, "/v1/jobs", job.clone()).unwrap();
    let leader = system.leader();
    let lost = (leader + 1) % 3;
    system.kill_control(lost);
    fs::remove_dir_all(system.data_dir(lost)).unwrap();
    system.restart_control(lost);
    system.wait_for_replaced_voter(lost);
    // Now one of the two instances that had kept their data directories loses its own.
    system.kill_control(leader);
    fs::remove_dir_all(system.data_dir(leader)).unwrap();
    let again = resubmit_until_ended(&system, 0, &job);
    assert_eq!(system::text(&again), system::text(&answer));
    assert_eq!(system.started(), 4);
}

/// Guards against two rule changes with the same base version that are both accepted, against a
/// resent change that gets another answer than the first time, and against a restart of all control
/// instances that reverts changes or takes too long.
#[test]
fn racing_operators_and_restart_after_many_changes() {
    let mut system = System::new(3, 0, 0);
    let rules = |n: usize| format!("team desk quota {} starts/s # kana: number {n}\n", n + 1);
    let path = system.dir.file("rules", &rules(0));
    let path = path.to_str().unwrap();
    let apply = |system: &System, id: &str, base: &str, operator: &str| {
        system.cli(&["rules", "apply", path, "--id", id, "--base", base, "--operator", operator])
    };
    let codes: Vec<_> = thread::scope(|scope| {
        let changes: Vec<_> = ["kana", "emi"]
            .map(|operator| {
                let (system, apply) = (&system, &apply);
                scope.spawn(move || apply(system, operator, "0", operator).status.code())
            })
            .into_iter()
            .collect();
        changes.into_iter().map(|change| change.join().unwrap()).collect()
    });
    // One change is accepted; exit code 3 means that the other one is refused.
    assert_eq!(codes.iter().collect::<BTreeSet<_>>(), BTreeSet::from([&Some(0), &Some(3)]));
    let (winner, loser) = if codes[0] == Some(0) { ("kana", "emi") } else { ("emi", "kana") };
    let conflict = String::from_utf8(apply(&system, loser, "0", loser).stderr).unwrap();
    assert!(conflict.contains(&format!("{winner} has made version 1")), "{conflict}");

    let client = briargauge::client::Control::new(&system.control_addrs());
    briargauge::cmd::util::block_on(async {
        for n in 1..1_000 {
            let change = briargauge::protocol::wire::control::Change {
                id: format!("many {n}"),
                operator: "kana".into(),
                base: n as u64,
                text: rules(n),
            };
            let changed = briargauge::cmd::rules::change(&client, change).await.unwrap();
            assert_eq!(
                changed,
                briargauge::protocol::wire::control::Changed::Accepted { version: n as u64 + 1 }
            );
        }
    });
    (0..3).for_each(|n| system.kill_control(n));
    let restarted = Instant::now();
    (0..3).for_each(|n| system.restart_control(n));
    let restart = restarted.elapsed() / 3;
    assert!(restart < RESTART_MAX, "a restart took {restart:?}");
    let shown: serde_json::Value =
        serde_json::from_str(&system.cli_ok(&["rules", "show", "--json"])).unwrap();
    assert_eq!(shown, json!({"version": 1_000, "text": rules(999)}));
    let resend = apply(&system, winner, "0", winner);
    assert_eq!(String::from_utf8(resend.stdout).unwrap(), "accepted as version 1\n");
    assert_eq!(apply(&system, loser, "0", loser).status.code(), Some(3));
    println!("event=restart changes=1000 ms={}", restart.as_millis());
}

/// Guards against rules that come into force too late, and against an entry that accepts work under
/// rules that it cannot confirm.
#[test]
fn rules_are_in_force_in_time_or_work_stops() {
    let system = System::new(3, 2, 1);
    let path = system.dir.file("rules", "team desk job 2 tasks # emi: small jobs only\n");
    system.cli_ok(&["rules", "apply", path.to_str().unwrap(), "--operator", "emi"]);
    let accepted = Instant::now();
    for entry in 0..2 {
        wait_for("the rule to come into force", || {
            let job = system::job(&format!("large {}", rand::random::<u64>()), 3, 0);
            let response = system.post(entry, "/v1/jobs", job).unwrap();
            system::text(&response).contains("bad_request").then_some(())
        });
    }
    assert!(accepted.elapsed() < RULES_MAX, "in force after {:?}", accepted.elapsed());
    for control in system.controls.iter().flatten() {
        control.signal(Signal::SIGSTOP);
    }
    let unreachable_since = Instant::now();
    // Sidecars stop taking tasks (their leases expire) before the entry refuses work. In between, a
    // request waits in the entry until its deadline, which is therefore short.
    let request = json!({"team": "desk", "idempotent": true, "deadline_ms": 1_000,
        "task": {"kind": "quote", "input": {"work_ms": 0}}});
    wait_for("the entry to refuse work", || {
        let response = system.post(0, "/v1/requests", request.clone()).unwrap();
        system::text(&response).contains("rules_unconfirmed").then_some(())
    });
    assert!(
        unreachable_since.elapsed() < RULES_MAX,
        "refused work after {:?}",
        unreachable_since.elapsed()
    );
    for control in system.controls.iter().flatten() {
        control.signal(Signal::SIGCONT);
    }
    wait_for("the entry to accept work again", || {
        let response = system.post(0, "/v1/requests", request.clone()).unwrap();
        matches!(response, Response::Completed { .. }).then_some(())
    });
}
