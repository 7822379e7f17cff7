//! Jobs through a system of separate processes, and planned stops of these processes.

mod workdir;

use std::thread;

use briargauge::protocol::job::Response;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use workdir::system::{self, System};

/// The response as JSON without the names of the backend servers, which differ between test runs.
fn without_backends(response: &Response) -> String {
    let mut value: Value = serde_json::from_str(&system::text(response)).unwrap();
    if let Some(answers) = value.get_mut("answers").and_then(Value::as_array_mut) {
        for answer in answers {
            answer.as_object_mut().unwrap().remove("backend");
        }
    }
    serde_json::to_string_pretty(&value).unwrap()
}

/// Guards against jobs that work only if the whole system runs in one process, and against answers
/// that are incomplete or belong to another task.
#[test]
fn job_and_requests_come_back_whole() {
    let system = System::new(3, 2, 3);
    let job = system.post(0, "/v1/jobs", system::job("whole", 7, 20)).unwrap();
    insta::assert_snapshot!("job", without_backends(&job));
    let keyed = json!({
        "team": "tariff", "idempotent": false, "key": "ticket 1",
        "created_at_ms": briargauge::util::unix_ms(),
        "task": {"kind": "confirm", "input": {"work_ms": 5, "tag": "ticket", "household": "Łomianki/7"}},
    });
    let first = system.post(0, "/v1/requests", keyed.clone()).unwrap();
    insta::assert_snapshot!("keyed", without_backends(&first));
    let again = system.post(1, "/v1/requests", keyed).unwrap();
    assert_eq!(system::text(&first), system::text(&again));
    assert_eq!(system.started(), 8, "a resubmission must not start anything");
}

/// Asserts that each of the jobs completed and that no connection was closed before its response.
fn assert_completed(jobs: Vec<thread::JoinHandle<Option<Response>>>) {
    for job in jobs {
        let response = job.join().unwrap().expect("the connection closed before the response");
        assert!(matches!(response, Response::Completed { .. }), "{}", system::text(&response));
    }
}

/// Guards against a planned stop of any process that interrupts a request, and against an exit code
/// that does not show whether the stop interrupted one.
#[test]
fn planned_stops_cut_off_nothing() {
    let mut system = System::new(3, 2, 3);
    // Submits jobs and returns once at least one of their tasks has started.
    let submit_jobs = |system: &System, name: &str| -> Vec<_> {
        let started = system.started();
        let jobs = (0..4)
            .map(|n| {
                system.post_later(n % 2, "/v1/jobs", system::job(&format!("{name}-{n}"), 4, 300))
            })
            .collect();
        workdir::wait_for("starts", || (system.started() > started).then_some(()));
        jobs
    };
    let jobs = submit_jobs(&system, "control");
    let leader = system.leader();
    assert!(system.controls[leader].take().unwrap().stop().success());
    assert_completed(jobs);
    let jobs = submit_jobs(&system, "backend");
    assert!(system.backends[0].take().unwrap().stop().success());
    assert_completed(jobs);
    let jobs = submit_jobs(&system, "sidecar");
    assert!(system.sidecars[1].take().unwrap().stop().success());
    assert_completed(jobs);
    let jobs = submit_jobs(&system, "entry");
    assert!(system.entries.remove(1).stop().success());
    assert_completed(jobs);
    let after = system.post(0, "/v1/jobs", system::job("after", 10, 20)).unwrap();
    assert!(system::text(&after).contains("completed"), "{}", system::text(&after));
}

/// Guards against a second signal that does not stop a process which is waiting for its work to
/// end.
#[test]
fn second_signal_stops_at_once() {
    let mut system = System::new(1, 1, 1);
    let job = system.post_later(0, "/v1/jobs", system::job("long", 1, 15_000));
    workdir::wait_for("the start", || (system.started() > 0).then_some(()));
    let mut entry = system.entries.remove(0);
    entry.signal(Signal::SIGTERM);
    workdir::wait_for("the stop", || entry.log().contains("event=stopping").then_some(()));
    entry.signal(Signal::SIGTERM);
    assert_eq!(entry.wait().code(), Some(1));
    assert!(entry.log().contains("reason=second_signal"));
    assert!(job.join().unwrap().is_none());
}
