//! Control instances through their calls, and the decisions of the leader.

#[path = "control/calls.rs"]
mod calls;
#[path = "control/cluster.rs"]
mod cluster;
#[path = "control/quota.rs"]
mod quota;
#[path = "control/registry.rs"]
mod registry;

use std::time::Duration;

use actix_http::StatusCode;
use briargauge::{
    daemon::{self, Process},
    protocol::{
        id, job,
        wire::{
            self,
            control::{self, Admission, Changed, Finished, Refusal, ServerState},
        },
    },
};
use calls::{Client, Instance, admit, change, entry_sync, hello, key, until};
use futures::future;
use tokio::time::Instant;

/// Guards against calls that do not reach the replicated state.
#[actix_rt::test]
async fn a_job_is_admitted_and_finished_through_calls() {
    let Instance { control, client, .. } = Instance::alone().await;
    let session = client.register(hello(1)).await.expect("registered");
    assert_eq!(client.register(hello(1)).await, Ok(session));
    let first = client.admit(admit(session.epoch, 1, "a")).await.expect("admitted");
    let Admission::Admitted { job } = first else { panic!("{first:?}") };
    let second = client.admit(admit(session.epoch, 2, "a")).await.expect("answered");
    assert!(matches!(second, Admission::Running { job: other, .. } if other == job));
    let reason = job::Failure::TaskFailed;
    let outcome = wire::Outcome::Failed { reason, detail: String::new() };
    let finish = control::Finish { job, epoch: session.epoch, outcome: outcome.clone() };
    assert_eq!(client.finish(finish).await, Ok(Finished::Recorded));
    let known = client.lookup(key("a")).await;
    assert!(matches!(known, Ok(Admission::Finished { outcome: o, .. }) if o == outcome));
    assert_eq!(client.lookup(key("b")).await, Ok(Admission::Unknown));
    assert_eq!(control.stop().await, 0);
}

fn sidecar_sync(server: &control::Server, sessions: Option<u64>) -> control::SidecarSync {
    control::SidecarSync { server: Some(server.clone()), rules_version: 0, sessions }
}

/// Guards against an instance that answers for a cluster to which it does not belong.
#[actix_rt::test]
async fn a_blank_instance_refuses_calls() {
    let Instance { control, client, .. } = Instance::blank(1, &[]).await;
    assert_eq!(client.status().await.role, control::Role::Blank);
    assert_eq!(client.register(hello(1)).await, Err(Refusal::NotInitialised));
    assert_eq!(client.lookup(key("a")).await, Err(Refusal::NotInitialised));
    control.stop().await;
}

/// Guards against syncs that refuse or omit live sessions, accept unknown sessions or superseded
/// syncs, or send a list again that the sidecar already has.
#[actix_rt::test]
async fn syncs_send_only_what_changed() {
    let Instance { control, client, .. } = Instance::alone().await;
    let session = client.register(hello(1)).await.expect("registered");
    let server = registry::server(7, 1);
    let view = client.sync_sidecar(sidecar_sync(&server, None)).await.expect("answered");
    let sessions = view.sessions.expect("the first list is sent");
    assert_eq!(sessions.live, [session.epoch]);
    let known = Some(sessions.as_of);
    let view = client.sync_sidecar(sidecar_sync(&server, known)).await.expect("answered");
    assert_eq!(view.sessions, None);
    let many = (0..50).map(|_| client.sync_sidecar(sidecar_sync(&server, known)));
    assert!(future::join_all(many).await.iter().all(Result::is_ok));
    let view = client.sync_entry(entry_sync(session.epoch, 2)).await.expect("answered");
    assert_eq!(view.servers.changed, std::slice::from_ref(&server));
    let superseded = client.sync_entry(entry_sync(session.epoch, 1)).await;
    assert!(matches!(superseded, Err(Refusal::Invalid { .. })), "{superseded:?}");
    assert_eq!(client.sync_entry(entry_sync(id::Epoch(99), 1)).await, Err(Refusal::Fenced));
    control.stop().await;
}

/// Guards against two accepted changes of one version that arrive on different connections, and
/// against a resend that gets a different answer.
#[actix_rt::test]
async fn one_of_five_racing_changes_is_accepted() {
    let Instance { control, client, .. } = Instance::alone().await;
    let clients: Vec<Client> = (0..5).map(|_| Client::new(client.addr())).collect();
    let texts: Vec<String> =
        (0..5).map(|n| format!("team a share {} # operator-{n}: more\n", n + 1)).collect();
    let send = |n: usize| {
        let operator = format!("operator-{n}");
        clients[n].change_rules(change(&format!("c-{n}"), &operator, 0, &texts[n]))
    };
    let answers = future::join_all((0..5).map(send)).await;
    let accepted = |a: &Result<Changed, Refusal>| matches!(a, Ok(Changed::Accepted { .. }));
    let winner = answers.iter().position(accepted).expect("one is accepted");
    assert_eq!(answers.iter().filter(|a| accepted(a)).count(), 1);
    let conflict = Changed::Conflict { version: 1, winner: format!("operator-{winner}") };
    for (n, answer) in answers.iter().enumerate().filter(|(n, _)| *n != winner) {
        assert_eq!(answer, &Ok(conflict.clone()), "{n}");
    }
    assert_eq!(client.rules().await.map(|r| (r.version, r.text)), Ok((1, texts[winner].clone())));
    let next = client.change_rules(change("next", "ito", 1, "")).await;
    assert_eq!(next, Ok(Changed::Accepted { version: 2 }));
    assert_eq!(future::join_all((0..5).map(send)).await, answers);
    let history = client.history(10).await.expect("answered");
    let names: Vec<&str> = history.iter().map(|a| a.operator.as_str()).collect();
    assert_eq!(names, ["ito", &format!("operator-{winner}")]);
    let bad = client.change_rules(change("bad", "ito", 2, "team a shaer 1")).await;
    let detail = "line 1: unknown word `shaer`, the nearest known word is `share`".to_owned();
    assert_eq!(bad, Ok(Changed::Invalid { detail }));
    control.stop().await;
}

/// Guards against a drain rule that does not reach the list of backend servers, or that is not
/// sent to sidecars.
#[actix_rt::test]
async fn a_drain_rule_drains_its_servers() {
    let Instance { control, client, .. } = Instance::alone().await;
    let (first, second) = (registry::server(1, 1), registry::server(2, 2));
    for server in [&first, &second] {
        client.sync_sidecar(sidecar_sync(server, None)).await.expect("answered");
    }
    let text = "drain rack Kurume/r1 # ito: switch\n";
    let changed = client.change_rules(change("c", "ito", 0, text)).await;
    assert_eq!(changed, Ok(Changed::Accepted { version: 1 }));
    let view = client.sync_sidecar(sidecar_sync(&second, None)).await.expect("answered");
    assert_eq!(view.rules.map(|r| r.text), Some(text.into()));
    let mut servers = client.servers().await.expect("answered");
    servers.sort_by_key(|s| s.incarnation);
    let states: Vec<ServerState> = servers.iter().map(|s| s.state).collect();
    assert_eq!(states, [ServerState::Draining, ServerState::Serving]);
    control.stop().await;
}

/// Guards against an entry that stops reporting but keeps its session, and against jobs that are
/// recorded as failed before every sidecar lease from before the fence has ended.
#[actix_rt::test]
async fn an_unresponsive_entry_is_fenced_and_its_jobs_fail() {
    let Instance { control, client, .. } = Instance::alone().await;
    let unresponsive = client.register(hello(1)).await.expect("registered").epoch;
    let reporting = client.register(hello(2)).await.expect("registered").epoch;
    client.admit(admit(unresponsive, 1, "a")).await.expect("admitted");
    client.admit(admit(reporting, 1, "b")).await.expect("admitted");
    let last_sync = Instant::now();
    client.sync_entry(entry_sync(unresponsive, 1)).await.expect("answered");
    let mut number = 0;
    let mut last_listed = last_sync;
    let fenced_by = until(async || {
        number += 1;
        client.sync_entry(entry_sync(reporting, number)).await.expect("its session is live");
        let call_start = Instant::now();
        let view = client.sync_sidecar(sidecar_sync(&registry::server(1, 1), None)).await;
        let live = view.expect("answered").sessions.expect("sent").live;
        if live.contains(&unresponsive) {
            last_listed = call_start;
            return None;
        }
        Some(Instant::now())
    })
    .await;
    assert!(fenced_by - last_sync >= Duration::from_millis(3_000));
    let refused = client.admit(admit(unresponsive, 2, "c")).await;
    assert_eq!(refused, Err(Refusal::Fenced));
    let job_a = until(async || {
        number += 1;
        client.sync_entry(entry_sync(reporting, number)).await.expect("its session is live");
        match client.lookup(key("a")).await {
            Ok(Admission::Running { .. }) => None,
            other => Some(other),
        }
    })
    .await;
    let entry_lost = |o: &wire::Outcome| {
        matches!(o, wire::Outcome::Failed { reason: job::Failure::EntryLost, .. })
    };
    assert!(
        matches!(&job_a, Ok(Admission::Finished { outcome, .. }) if entry_lost(outcome)),
        "{job_a:?}"
    );
    // The fence was committed after the call that listed the session last, and the failure is
    // recorded only a lease and a margin after that.
    assert!(last_listed.elapsed() >= Duration::from_millis(4_000), "{:?}", last_listed.elapsed());
    assert!(matches!(client.lookup(key("b")).await, Ok(Admission::Running { .. })));
    control.stop().await;
}

/// The metrics of connections, with the names of ports in place of their numbers. Without values, as
/// connections come and go while the metrics are read.
fn names(listening: &daemon::Listening, metrics: &[&str]) -> String {
    let ports = [("http", listening.http), ("rpc", listening.rpc), ("peer", listening.peer)];
    let name = |line: &&str| {
        let metric = match line.starts_with('#') {
            true => line,
            false => line.rsplit_once(' ').expect("a metric has a value").0,
        };
        ports.iter().fold(metric.to_owned(), |metric, (name, addr)| {
            let port = addr.map_or(0, |addr| addr.port());
            metric.replace(&format!("port=\"{port}\""), &format!("port=\"{name}\""))
        })
    };
    let mut names: Vec<String> = metrics.iter().map(name).collect();
    names.sort();
    names.join("\n")
}

/// Guards against metrics that are renamed or removed by accident.
#[actix_rt::test]
async fn metrics_have_their_names_and_values() {
    let Instance { control, client, .. } = Instance::alone().await;
    let session = client.register(hello(1)).await.expect("registered");
    client.admit(admit(session.epoch, 1, "a")).await.expect("admitted");
    client.sync_sidecar(sidecar_sync(&registry::server(1, 1), None)).await.expect("answered");
    assert_eq!(client.sync_entry(entry_sync(id::Epoch(0), 1)).await, Err(Refusal::Fenced));
    let addr = control.listening().http.expect("control serves HTTP");
    let get = async |path: &str| {
        let mut response = awc::Client::default()
            .get(format!("http://{addr}{path}"))
            .send()
            .await
            .expect("an answer");
        let body = response.body().await.expect("a body");
        (response.status(), String::from_utf8(body.to_vec()).expect("text"))
    };
    assert_eq!(get("/health").await, (StatusCode::OK, "ok\n".into()));
    let (_, text) = get("/metrics").await;
    let lines = text.lines().filter(|l| !l.starts_with("# HELP"));
    let (connections, others): (Vec<&str>, Vec<&str>) =
        lines.partition(|l| l.trim_start_matches("# TYPE ").starts_with("briargauge_connection"));
    insta::assert_snapshot!("metrics", others.join("\n"));
    insta::assert_snapshot!("connection_metrics", names(&control.listening(), &connections));
    control.stop().await;
}
