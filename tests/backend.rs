//! Faults of the backend server, and the result that its sidecar reports for each.

mod testbed;
mod workdir;

use actix_http::Method;
use briargauge::{
    protocol::{
        job,
        wire::sidecar::{self, NotStarted, Reply, RunResult},
    },
    transport::http::{self, CallError},
};
use futures::future;
use serde_json::{Value, json};
use testbed::{Testbed, failed, get, refused, until};

fn is_done(reply: &Reply) -> bool {
    matches!(reply.result, RunResult::Done { .. })
}

/// Guards against forwarding an answer that is truncated, not valid or for another attempt, and
/// against reporting a task as not started although it may have run.
#[actix_rt::test]
async fn invalid_answers_fail_the_task() {
    let testbed = Testbed::with_settings(json!({"answer_max_bytes": 2_000}), json!({})).await;
    let unknown = job::Failure::OutcomeUnknown;
    let cases = [
        (json!("truncate"), unknown),
        (json!("wrong_header"), unknown),
        (json!("not_json"), unknown),
        (json!({"oversize": {"bytes": 2_001}}), unknown),
        (json!("drop_before"), unknown),
        (json!("drop_after"), unknown),
        (json!("fail_fast"), job::Failure::TaskFailed),
    ];
    // Number of starts by attempt id, which is `epoch-seq-task-number`.
    let mut expected = serde_json::Map::new();
    for (seq, (fault, reason)) in (1..).zip(cases) {
        testbed.fault(fault.clone()).await;
        let reply = testbed.run(seq, json!({})).await;
        assert_eq!(failed(&reply), Some(reason), "{fault}: {reply:?}");
        assert_eq!(reply.load.busy, 0, "{fault}");
        if fault != json!("drop_before") {
            expected.insert(format!("5-{seq}-0-0"), json!(1));
        }
        testbed.fault(json!("none")).await;
        // This `seq` must not be one that a task with a fault has.
        assert!(is_done(&testbed.run(100 + seq, json!({})).await), "after {fault}");
        expected.insert(format!("5-{}-0-0", 100 + seq), json!(1));
    }
    // No task was sent again on another connection.
    assert_eq!(testbed.starts().await, Value::Object(expected));
}

/// Guards against an answer that is sent twice: the second copy must not become the answer of the
/// next attempt on the connection.
#[actix_rt::test]
async fn duplicate_answer_does_not_reach_the_next_attempt() {
    let testbed = Testbed::with_settings(json!({}), json!({"fault": "double"})).await;
    for seq in 1..=40 {
        let reply = testbed.run(seq, json!({"seq": seq})).await;
        match &reply.result {
            RunResult::Done { answer, .. } => {
                let answer: Value = serde_json::from_str(answer).unwrap();
                assert_eq!(answer["echo"], json!({"seq": seq}));
            }
            RunResult::Failed { reason, .. } => assert_eq!(*reason, job::Failure::OutcomeUnknown),
            RunResult::NotStarted { .. } => panic!("{reply:?}"),
        }
    }
    let starts = testbed.starts().await;
    assert!(starts.as_object().unwrap().values().all(|n| *n == json!(1)), "{starts}");
}

/// Guards against answers that reach the wrong attempt when they arrive late and out of order.
#[actix_rt::test]
async fn late_and_reordered_answers_reach_their_attempts() {
    let testbed =
        Testbed::with_settings(json!({"queue": 60}), json!({"fault": {"answer_late": {"ms": 30}}}));
    let testbed = testbed.await;
    let run = |seq: u64| {
        let testbed = &testbed;
        async move {
            let work_ms = seq * 37 % 50;
            let reply = testbed.run(seq, json!({"seq": seq, "work_ms": work_ms})).await;
            let RunResult::Done { answer, .. } = reply.result else { panic!("{reply:?}") };
            let answer: Value = serde_json::from_str(&answer).unwrap();
            assert_eq!(answer["echo"]["seq"], json!(seq));
        }
    };
    future::join_all((1..=60).map(run)).await;
}

/// Guards against tasks on a slow backend server that continue past their deadlines, and against a
/// reported run time that is shorter than the task took.
#[actix_rt::test]
async fn slow_tasks_end_at_their_deadline() {
    let testbed = Testbed::new().await;
    for (seq, fault) in [(1, "delay"), (2, "answer_late")] {
        // Far longer than the 500 ms that the task has until its deadline.
        testbed.fault(json!({fault: {"ms": 25_000}})).await;
        let task = testbed.task(seq, json!({}));
        let reply = testbed.send(sidecar::Task { left_ms: 500, ..task }).await;
        assert_eq!(failed(&reply), Some(job::Failure::DeadlineExceeded), "{fault}");
    }
    testbed.fault(json!({"delay": {"ms": 50}})).await;
    let reply = testbed.run(3, json!({})).await;
    let RunResult::Done { ran_us, .. } = reply.result else { panic!("{reply:?}") };
    assert!(ran_us >= 50_000);
}

/// Guards against a frozen backend server that keeps its slots, stays registered with control and
/// is sent more tasks.
#[actix_rt::test]
async fn frozen_backend_is_removed_until_it_recovers() {
    let settings = json!({"announce_lease_ms": 800, "task": {"lease_ms": 300}});
    let testbed = Testbed::with_settings(settings, json!({})).await;
    testbed.fault(json!("freeze")).await;
    let reply = testbed.run(1, json!({})).await;
    assert_eq!(failed(&reply), Some(job::Failure::OutcomeUnknown));
    until("the sidecar to report no backend server", async || {
        testbed.control.server().is_none().then_some(())
    })
    .await;
    assert_eq!(refused(&testbed.run(2, json!({})).await), Some(NotStarted::Unreachable));
    testbed.fault(json!("none")).await;
    testbed::serving(&testbed.control, None).await;
    assert!(is_done(&testbed.run(3, json!({})).await));
}

/// Guards against reporting a task as not started although its backend server had received it when
/// it died, against reporting a task as started although the port was closed, and against a dead
/// backend server that stays registered with control until its announcement expires.
#[actix_rt::test]
async fn dead_backend_gives_unknown_outcome_then_unreachable() {
    // The announcement must not expire during the test.
    let mut testbed = Testbed::with_settings(json!({"announce_lease_ms": 60_000}), json!({})).await;
    testbed.fault(json!("die")).await;
    assert_eq!(failed(&testbed.run(1, json!({})).await), Some(job::Failure::OutcomeUnknown));
    // The exit code of the stand-in after the `die` fault.
    assert_eq!(testbed.backend.wait().code(), Some(70));
    let reply = testbed.run(2, json!({})).await;
    assert_eq!(refused(&reply), Some(NotStarted::Unreachable));
    assert_eq!(reply.load.busy, 0);
    assert_eq!(testbed.starts_in_file(), json!({}));
    until("the sidecar to report no backend server", async || {
        testbed.control.server().is_none().then_some(())
    })
    .await;
}

/// Guards against a stand-in that loses count of starts when it restarts, which would hide a second
/// start of an attempt.
#[actix_rt::test]
async fn starts_are_counted_across_restarts() {
    let testbed = Testbed::new().await;
    assert!(is_done(&testbed.run(1, json!({})).await));
    let Testbed { dir, sidecar, backend, .. } = testbed;
    backend.kill();
    let backend = testbed::start_backend(&dir, sidecar.http(), testbed::HOST, json!({}));
    // The id of the attempt that was sent above, as `epoch-seq-task-number`.
    assert_eq!(get(backend.http(), "/starts").await, json!({"5-1-0-0": 1}));
    let call = http::Call {
        method: Method::POST,
        addr: backend.http(),
        path: "/run",
        headers: &[("x-attempt", "5-1-0-0")],
        body: json!({"team": "t", "kind": "k", "input": null}).to_string().into(),
        answer_max_bytes: 1_000,
    };
    http::Client::new(1).call(call).await.unwrap();
    assert_eq!(get(backend.http(), "/starts").await, json!({"5-1-0-0": 2}));
}

/// Guards against a sidecar that runs more tasks at once than a backend server has slots or accepts
/// connections.
#[actix_rt::test]
async fn slots_and_connections_limit_running_tasks() {
    for (slots, connections) in [(3, 64), (8, 2)] {
        let settings = json!({"slots": slots, "connections": connections});
        let testbed = Testbed::with_settings(json!({"queue": 20}), settings).await;
        let run = |seq| testbed.run(seq, json!({"work_ms": 20}));
        let replies = future::join_all((1..=20).map(run)).await;
        assert!(replies.iter().all(is_done), "{replies:?}");
        let seen = get(testbed.backend.http(), "/seen").await;
        assert!(seen["busy_max"].as_u64().unwrap() <= slots.min(connections), "{seen}");
    }
}

/// Accepts one connection, answers its request with `bytes` and closes it.
async fn serve_bytes(bytes: &'static [u8]) -> std::net::SocketAddr {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let listener = tokio::net::TcpListener::bind(testbed::HOST).await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = bytes::BytesMut::new();
        while !head.ends_with(b"\r\n\r\n{}") {
            assert_ne!(stream.read_buf(&mut head).await.unwrap(), 0);
        }
        stream.write_all(bytes).await.unwrap();
        stream.shutdown().await.unwrap();
    });
    addr
}

async fn call(addr: std::net::SocketAddr) -> Result<http::Answer, CallError> {
    let body = "{}".into();
    let headers = &[];
    let method = Method::POST;
    let call = http::Call { method, addr, path: "/run", headers, body, answer_max_bytes: 100 };
    http::Client::new(1).call(call).await
}

/// Guards against accepting a truncated body, following a redirect (which would run a task twice),
/// or reporting a request as not sent although it was written.
#[actix_rt::test]
async fn http_client_distinguishes_failures() {
    let truncated = serve_bytes(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n12").await;
    assert!(matches!(call(truncated).await, Err(CallError::Broken(_))));
    let closed = serve_bytes(b"").await;
    assert!(matches!(call(closed).await, Err(CallError::Broken(_))));
    let unsized_body = serve_bytes(b"HTTP/1.1 200 OK\r\n\r\n12").await;
    assert!(!call(unsized_body).await.unwrap().sized);
    let chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n12\r\n";
    let chunked = call(serve_bytes(chunked).await).await;
    assert!(chunked.is_err() || !chunked.unwrap().sized);
    let large = serve_bytes(b"HTTP/1.1 200 OK\r\ncontent-length: 101\r\n\r\n").await;
    assert_eq!(call(large).await.unwrap_err(), CallError::TooLarge(100));
    let moved = b"HTTP/1.1 307 Moved\r\nlocation: /run\r\ncontent-length: 0\r\n\r\n";
    let moved = serve_bytes(moved).await;
    assert_eq!(call(moved).await.unwrap().status.as_u16(), 307);
    let (_socket, closed_port) = testbed::closed_port();
    assert!(matches!(call(closed_port).await, Err(CallError::NotSent(_))));
}
