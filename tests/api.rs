//! Tests of the status codes and response bodies that docs/api.md lists.

mod fake;

use std::fmt::Write;

use briargauge::entry::settings::Limits;
use fake::{
    World,
    control::{Call, Control},
    get, job, limits, numbered, post,
    sidecar::{Fault, Sidecar},
};
use serde_json::json;

/// Guards against a malformed submission that is accepted, and against a refusal that does not name
/// the field or the position of the error.
#[test]
fn bad_submissions_are_refused_with_their_fault() {
    fake::run(async {
        let limits = Limits { tasks_max: 2, ..limits() };
        let world = World::with_limits(limits).await;
        let task = json!({"kind": "quote", "input": 1});
        let valid = numbered("k", 1);
        let with = |field: &str, value| {
            let mut body = valid.clone();
            body[field] = value;
            body.to_string()
        };
        let long = "x".repeat(200);
        let jobs = [
            "{\n  \"team\": }".to_owned(),
            "[1".to_owned(),
            json!({"team": "desk"}).to_string(),
            with("colour", json!("red")),
            with("tasks", json!([])),
            with("tasks", json!([task, task, task])),
            with("tasks", json!([{"kind": "", "input": 1}])),
            with("tasks", json!([{"kind": "quote"}])),
            with("tasks", json!([{"kind": "quote", "input": 1, "needs": {"disks": 1}}])),
            with("team", json!("")),
            with("key", json!(long)),
            with("deadline_ms", json!(-1)),
        ];
        let requests = [
            json!({"team": "desk", "idempotent": false, "task": task}).to_string(),
            json!({"team": "desk", "idempotent": false, "key": "k", "task": task}).to_string(),
            json!({"team": "desk", "idempotent": true, "created_at_ms": 1, "task": task})
                .to_string(),
            json!({"team": long, "idempotent": true, "task": task}).to_string(),
        ];
        let mut seen = String::new();
        for (path, bodies) in [("/v1/jobs", &jobs[..]), ("/v1/requests", &requests[..])] {
            for body in bodies {
                let answer = post(world.addr, path, body).await;
                assert!(!answer.request.is_empty());
                writeln!(seen, "{} {}", answer.code, answer.text).unwrap();
            }
        }
        insta::assert_snapshot!(seen);
        assert_eq!(world.sidecar.runs.get(), 0);
        assert_eq!(world.control.counted(Call::Admit), 0);
    });
}

/// Guards against a refusal with a wrong status code, and against a start of a refused task.
#[test]
fn each_refusal_has_its_code() {
    fake::run(async {
        let limits = Limits { body_max_bytes: 5_000, ..limits() };
        let world = World::with_limits(limits).await;
        let addr = world.addr;
        let mut seen = String::new();
        let mut note = |what: &str, answer: &fake::Answer| {
            let retry = answer.retry_after.as_deref().unwrap_or("no");
            writeln!(seen, "{what}: {} retry={retry}", answer.short()).unwrap();
        };
        note("path", &get(addr, "/v2").await);
        note("method", &get(addr, "/v1/requests").await);
        note("large", &post(addr, "/v1/jobs", "x".repeat(6_000)).await);

        let mut never = numbered("never", 1);
        never["tasks"][0]["needs"] = json!({"cpus": 1_000});
        note("never fits", &post(addr, "/v1/jobs", never.to_string()).await);
        let mut late = numbered("late", 1);
        late["deadline_ms"] = json!(0);
        note("no time", &post(addr, "/v1/jobs", late.to_string()).await);
        world.control.oldest_ms.set(2);
        note("expired", &post(addr, "/v1/jobs", numbered("old", 1).to_string()).await);
        world.control.oldest_ms.set(0);
        assert_eq!(world.sidecar.starts(), 0);

        post(addr, "/v1/jobs", numbered("k", 1).to_string()).await;
        note("conflict", &post(addr, "/v1/jobs", numbered("k", 2).to_string()).await);
        world.control.share.set(Some(0.0));
        world.control.synced(1).await;
        // Submissions may still be accepted until the account's saved tokens are used up.
        let mut last = post(addr, "/v1/jobs", numbered("q", 1).to_string()).await;
        for key in 0..1_000 {
            if last.code == 429 {
                break;
            }
            last = post(addr, "/v1/jobs", numbered(&format!("q{key}"), 1).to_string()).await;
        }
        note("quota", &last);
        insta::assert_snapshot!(seen);
    });
}

/// Guards against submissions that are accepted under rules that may have been replaced.
#[test]
fn unconfirmed_rules_stop_new_work() {
    fake::run(async {
        let control = Control::start().await;
        let sidecar = Sidecar::start().await;
        control.add(sidecar.as_server());
        control.age_ms.set(6_500);
        let (_entry, addr) = fake::entry(&[control.addr()], limits()).await;
        control.synced(1).await;
        let answer = post(addr, "/v1/jobs", numbered("k", 1).to_string()).await;
        assert_eq!(answer.short(), "503 not_run rules_unconfirmed");
        control.age_ms.set(0);
        control.synced(1).await;
        let answer = post(addr, "/v1/jobs", numbered("k", 1).to_string()).await;
        assert_eq!(answer.short(), "200 completed");
    });
}

/// Guards against an entry that accepts submissions without a session or without backend servers.
#[test]
fn an_entry_without_session_or_backend_server_refuses() {
    fake::run(async {
        let gone = fake::relay::closed().await;
        let (_entry, addr) = fake::entry(&[gone], limits()).await;
        let job = json!(numbered("k", 1)).to_string();
        assert_eq!(
            post(addr, "/v1/jobs", job.clone()).await.short(),
            "503 not_run control_unavailable"
        );
        assert_eq!(get(addr, "/health").await.code, 503);

        let control = Control::start().await;
        let (_entry, addr) = fake::entry(&[control.addr()], limits()).await;
        control.synced(1).await;
        assert_eq!(get(addr, "/health").await.code, 200);
        assert_eq!(post(addr, "/v1/jobs", job).await.short(), "503 not_run no_backend");
        assert!(control.jobs.borrow().is_empty());
    });
}

/// Guards against requests that are wrongly refused or handled as jobs, and against wrong responses
/// to status queries and cancels.
#[test]
fn requests_queries_and_cancels() {
    fake::run(async {
        let world = World::new().await;
        let addr = world.addr;
        let mut seen = String::new();
        let mut note = |what: &str, answer: &fake::Answer| {
            writeln!(seen, "{what}: {} {}", answer.code, answer.text).unwrap();
        };
        let task = json!({"kind": "quote", "input": {"a": [1, "ü"]}});
        let request = json!({"team": "desk", "idempotent": true, "task": task});
        note("idempotent", &post(addr, "/v1/requests", request.to_string()).await);
        assert_eq!(world.control.counted(Call::Admit), 0);
        let keyed = json!({"team": "desk", "idempotent": false, "key": "r 1", "created_at_ms": 1,
            "task": task});
        note("keyed", &post(addr, "/v1/requests", keyed.to_string()).await);
        note("query", &get(addr, "/v1/jobs?team=desk&key=r%201").await);
        note("unknown", &get(addr, "/v1/jobs?team=desk&key=r").await);
        note("no key", &get(addr, "/v1/jobs?team=desk").await);
        let cancel = json!({"team": "desk", "key": "r 1"}).to_string();
        note("cancel ended", &post(addr, "/v1/jobs/cancel", cancel).await);

        world.sidecar.plan(|task| if task.input == "1" { Fault::Hold } else { Fault::None });
        let body = numbered("half", 2).to_string();
        let running = actix_rt::spawn(async move { post(addr, "/v1/jobs", body).await });
        fake::until("both started", || world.sidecar.starts() == 4).await;
        let mut query = get(addr, "/v1/jobs?team=desk&key=half").await;
        while query.body["done"] != json!(1) {
            query = get(addr, "/v1/jobs?team=desk&key=half").await;
        }
        note("half", &query);
        let cancel = json!({"team": "desk", "key": "half"}).to_string();
        note("cancel", &post(addr, "/v1/jobs/cancel", cancel).await);
        note("cancelled", &running.await.unwrap());
        insta::assert_snapshot!(seen);
        fake::until("one cancel", || world.sidecar.cancels.borrow().len() == 1).await;
        let metrics = get(addr, "/metrics").await.text;
        assert!(metrics.contains("briargauge_entry_failed_total{reason=\"cancelled\"} 1"));
    });
}

/// Guards against answers that exceed the limits and would fill the entry's memory.
#[test]
fn too_large_answers_fail_the_job() {
    fake::run(async {
        let limits = Limits { answer_max_bytes: 100, job_answer_max_bytes: 250, ..limits() };
        let world = World::with_limits(limits).await;
        let text = |n: usize| json!("x".repeat(n));
        let one = post(world.addr, "/v1/jobs", job("one", &[text(99)]).to_string()).await;
        assert_eq!(one.short(), "502 failed task_failed");
        let all = [text(90), text(90), text(90)];
        let all = post(world.addr, "/v1/jobs", job("all", &all).to_string()).await;
        assert_eq!(all.short(), "502 failed task_failed");
        let fits = post(world.addr, "/v1/jobs", job("fits", &[text(98)]).to_string()).await;
        assert_eq!(fits.short(), "200 completed");
    });
}
