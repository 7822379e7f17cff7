//! Tests of the leader of the durable jobs, with a replica that stores its log on disk.

mod durable;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use briargauge::{
    control::{
        jobs::{self, Coordinator, Handler},
        replica::{self, Replica},
    },
    protocol::{
        id,
        queue::{Attempt, Id, Phase, Resources, Task},
        wire::{
            control,
            queue::{
                Answer, Backend, Call, Commands, Drains, Refusal, Report, Server, ServerId,
                Service as _, ServiceClient, View,
            },
        },
    },
    state::machine::{self, queue},
    transport::rpc,
};
use durable::HOST;
use tempfile::TempDir;
use tokio::time;

/// Time limit for a condition; only reached by a failing test.
const LIMIT: Duration = Duration::from_secs(10);

/// A control instance that is a cluster of its own, with a configuration and without sidecars.
struct Instance {
    replica: Replica,
    coordinator: Coordinator,
    server: rpc::Server,
    _folder: TempDir,
}

impl Instance {
    async fn start() -> Instance {
        let instance = Instance::of_group(1).await;
        instance.answer(Call::Configure(Arc::new(durable::config(2)))).await;
        instance
    }

    /// The only voter of a group that should have `voters`, without a configuration.
    async fn of_group(voters: usize) -> Instance {
        Instance::with_settings(jobs::Settings::new(voters, 60_000)).await
    }

    async fn with_settings(settings: jobs::Settings) -> Instance {
        let folder = TempDir::new().unwrap();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let path = folder.path().to_path_buf();
        let replica = replica::Settings::new(id::Node(1), any_port, path);
        let replica = Replica::start(replica).await.unwrap();
        replica.init().await.unwrap();
        let coordinator = Coordinator::new(replica.clone(), settings);
        actix_rt::spawn(coordinator.clone().run());
        let handler = Handler::new(coordinator.clone());
        let server = rpc::serve_to_end(any_port, handler.serve()).await.unwrap();
        Instance { replica, coordinator, server, _folder: folder }
    }

    /// Makes a call again and again until it is answered.
    async fn answer(&self, call: Call) -> Answer {
        let answered = async {
            loop {
                match self.coordinator.call(call.clone()).await {
                    Ok(answer) => return answer,
                    Err(Refusal::NotReady { .. } | Refusal::NotLeader { .. }) => {
                        time::sleep(Duration::from_millis(10)).await;
                    }
                    Err(refusal) => panic!("{refusal:?}"),
                }
            }
        };
        time::timeout(LIMIT, answered).await.expect("the call is answered")
    }

    /// Makes a call on a connection that closes after `open`, whether it is answered or not.
    async fn call_briefly(&self, call: Call, open: Duration) {
        let client: ServiceClient = rpc::connect(self.server.addr()).await.unwrap();
        let answer = client.call(rpc::context(LIMIT), self.replica.cluster(), call);
        // Most calls are not answered in time.
        let _ = time::timeout(open, answer).await;
    }
}

fn path(id: Id) -> String {
    format!("/q/{id}")
}

fn submit(id: Id) -> Call {
    Call::Submit { host: HOST.to_owned(), path: path(id), job: durable::job(1) }
}

/// Report `number` of a sidecar whose server has capacity for one task.
fn report(number: u64, losses: u64, generation: u64, running: Option<Vec<Attempt>>) -> Report {
    let server = Server {
        id: ServerId { id: "b".to_owned(), started_at_ms: 1 },
        service: "quotes".to_owned(),
        data_centre: "saga".to_owned(),
        capacity: Resources { cpu_milli: 1_000, memory_mb: 1, accelerators: 0 },
        labels: Vec::new(),
        draining: false,
    };
    Report {
        sidecar: "s".to_owned(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: 1,
        number,
        backend: Backend::Present(server),
        losses,
        generation,
        running,
        undecided: Vec::new(),
        completions: Vec::new(),
        crashes: Vec::new(),
        not_started: Vec::new(),
        batch: 0,
        wait_ms: 0,
        drains: 0,
    }
}

/// The attempts that an answer commands.
fn starts(commands: &Commands) -> Vec<u32> {
    let starts = commands.batches.iter().flat_map(|batch| &batch.starts);
    starts.map(|start| start.attempt.number).collect()
}

fn query(path: &str) -> Call {
    Call::Query { host: HOST.to_owned(), path: path.to_owned() }
}

/// Guards against a stored job that never runs, as the scheduler is not told of it when the
/// caller's connection closes before the answer.
#[actix_rt::test]
async fn jobs_are_scheduled_though_their_callers_have_disconnected() {
    let instance = Instance::start().await;
    let ids: Vec<Id> = (1..=40).map(Id).collect();
    for id in &ids {
        instance.call_briefly(submit(*id), Duration::from_micros(100 * id.0)).await;
    }
    // This job is committed after all others.
    instance.answer(submit(Id(0))).await;
    let mut scheduled = 1;
    for id in &ids {
        match instance.answer(query(&path(*id))).await {
            Answer::NoJob => {}
            answer => {
                assert_eq!(answer, Answer::State(Phase::Queued), "job {id}");
                scheduled += 1;
            }
        }
    }
    assert_eq!(instance.answer(query("/q/")).await, Answer::Pending(scheduled));
    instance.coordinator.stop();
    instance.replica.stop().await;
}

/// Guards against a task that is left behind: the server was lost with it, and was present again
/// before a report could say so.
#[actix_rt::test]
async fn a_task_starts_again_though_the_loss_of_its_server_was_not_reported() {
    let instance = Instance::start().await;
    let report = async |number, losses, generation, running| {
        instance.coordinator.report(report(number, losses, generation, running)).await.unwrap()
    };
    let generation = report(1, 0, 0, None).await.generation;
    report(2, 0, generation, Some(Vec::new())).await;
    instance.answer(submit(Id(1))).await;
    assert_eq!(starts(&report(3, 0, generation, None).await), [1]);

    let renewed = report(5, 1, generation, None).await.generation;
    assert!(renewed > generation, "the loss is known: {renewed}");
    // A delayed report from before the loss changes nothing.
    assert_eq!(report(4, 0, generation, None).await.generation, renewed);
    assert_eq!(starts(&report(6, 1, renewed, Some(Vec::new())).await), [2]);
    instance.coordinator.stop();
    instance.replica.stop().await;
}

/// Guards against a second run of a task beside the first: a delayed report that the server was lost
/// arrives after the server has been registered again.
#[actix_rt::test]
async fn a_delayed_report_of_a_loss_removes_no_server() {
    let instance = Instance::start().await;
    let generation = instance.coordinator.report(report(2, 1, 0, None)).await.unwrap().generation;
    instance.coordinator.report(report(3, 1, generation, Some(Vec::new()))).await.unwrap();
    instance.answer(submit(Id(1))).await;
    let commands = instance.coordinator.report(report(4, 1, generation, None)).await.unwrap();
    assert_eq!(starts(&commands), [1]);
    let delayed = Report { backend: Backend::Lost, ..report(1, 1, 0, None) };
    let commands = instance.coordinator.report(delayed).await.unwrap();
    assert_eq!(commands.generation, generation);
    instance.coordinator.stop();
    instance.replica.stop().await;
}

/// Reports that an earlier process of a sidecar may have sent before it ended.
fn claims_of_an_earlier_process() -> Vec<Report> {
    let mut other_server = report(7, 0, 0, None);
    if let Backend::Present(server) = &mut other_server.backend {
        server.id.id = "a".to_owned();
    }
    let mut other_start = report(8, 0, 0, None);
    if let Backend::Present(server) = &mut other_start.backend {
        server.id.started_at_ms = 0;
    }
    vec![
        Report { backend: Backend::Lost, ..report(6, 0, 0, None) },
        other_server,
        other_start,
        Report { backend: Backend::Unknown, ..report(9, 0, 0, None) },
        Report { losses: 1, ..report(10, 0, 0, None) },
        report(11, 0, 0, None),
    ]
}

/// Guards against a second run of a task beside the first, and against a server that is not used any
/// more: a delayed report of an earlier process of a sidecar, which says that its server was lost or
/// is another one, arrives after the present process has registered.
#[actix_rt::test]
async fn a_delayed_report_of_an_earlier_process_of_a_sidecar_changes_nothing() {
    let instance = Instance::start().await;
    let report = async |report| instance.coordinator.report(report).await.unwrap();
    let earlier = report(self::report(1, 0, 0, None)).await.generation;
    report(self::report(2, 0, earlier, Some(Vec::new()))).await;

    // A new process registers with its second report, and gets work in the answer.
    instance.answer(submit(Id(1))).await;
    let present = |report| Report { incarnation: 2, ..report };
    let generation = report(present(self::report(1, 0, 0, None))).await.generation;
    assert!(generation > earlier, "a fencing token of its own: {generation}");
    let listed = present(self::report(2, 0, generation, Some(Vec::new())));
    let commands = report(listed).await;
    assert_eq!(commands.generation, generation);
    let started = starts(&commands);
    assert_eq!(started.len(), 1);

    // Another server has room for the task.
    let other = |number, generation, running| {
        let mut other = self::report(number, 0, generation, running);
        other.sidecar = "t".to_owned();
        if let Backend::Present(server) = &mut other.backend {
            server.id.id = "c".to_owned();
        }
        other
    };
    let other_generation = report(other(1, 0, None)).await.generation;
    report(other(2, other_generation, Some(Vec::new()))).await;

    let with_earlier = [0, earlier].into_iter().flat_map(|generation| {
        claims_of_an_earlier_process()
            .into_iter()
            .map(move |report| Report { generation, ..report })
    });
    for (number, delayed) in (3..).zip(with_earlier) {
        let named = format!("{delayed:?}");
        let answer = report(delayed).await;
        assert!(answer.batches.is_empty(), "{named}");
        let elsewhere = starts(&report(other(number, other_generation, None)).await);
        assert!(elsewhere.is_empty(), "{elsewhere:?} is commanded elsewhere after {named}");
        let kept = report(present(self::report(number, 0, generation, None))).await;
        assert_eq!(kept.generation, generation, "{named}");
    }
    instance.coordinator.stop();
    instance.replica.stop().await;
}

/// Guards against attempts that two processes of a sidecar start: a report of the earlier one, which
/// waited for commands, was answered with those of the present one's registration.
#[actix_rt::test]
async fn a_process_of_a_sidecar_gets_no_commands_of_another_one() {
    let instance = Instance::start().await;
    let report = async |report| instance.coordinator.report(report).await;
    let earlier = report(self::report(1, 0, 0, None)).await.unwrap().generation;
    let listed = self::report(2, 0, earlier, Some(Vec::new()));
    report(listed).await.unwrap();
    let waiting = report(Report { wait_ms: 500, ..self::report(3, 0, earlier, None) });
    let replaced = async {
        time::sleep(Duration::from_millis(50)).await;
        let present = |report| Report { incarnation: 2, ..report };
        let first = report(present(self::report(1, 0, 0, None))).await.unwrap();
        let listed = present(self::report(2, 0, first.generation, Some(Vec::new())));
        report(listed).await.unwrap().generation
    };
    let (answer, generation) = futures::join!(waiting, replaced);
    let answered = answer.as_ref().map(|commands| commands.generation);
    assert!(answered != Ok(generation) && answered != Ok(generation + 1), "{answer:?}");
    instance.coordinator.stop();
    instance.replica.stop().await;
}

/// Guards against a second run of a task beside the first: an attempt of the earlier leader that the
/// new one did not know yet went on under its lease, while the new leader started the task elsewhere.
#[actix_rt::test]
async fn a_lease_outlasts_those_of_the_earlier_leader_only_once_the_attempts_are_known() {
    let instance = Instance::start().await;
    let named = |name: &str, report| Report { sidecar: name.to_owned(), ..report };
    let report = async |report| instance.coordinator.report(report).await.unwrap();
    // The instance has led since before this moment, so leases of an earlier leader end 2,500 ms
    // after it at the latest. A lease for known attempts has 1,500 ms left at least, or is refused.
    let led = time::Instant::now();
    for (name, contact_ms, longest_ms) in [("s", 1_500, 1_000), ("t", 3_900, 0)] {
        time::sleep_until(led + Duration::from_millis(contact_ms)).await;
        let first = report(named(name, self::report(1, 0, 0, None))).await;
        assert!(first.lease_ms <= longest_ms, "{name}: {} ms", first.lease_ms);
        // Long enough for the coordinator to give up servers without a lease.
        time::sleep(Duration::from_millis(100)).await;
        let listed = named(name, self::report(2, 0, first.generation, Some(Vec::new())));
        let second = report(listed).await;
        assert_eq!(second.generation, first.generation, "{name}");
        assert!(second.lease_ms >= 1_500, "{name}: {} ms", second.lease_ms);
    }
    instance.coordinator.stop();
    instance.replica.stop().await;
}

/// Guards against a second run of a task beside the first: a server that starts again under its id
/// may carry out a start that was meant for its earlier process, while the leader starts the task
/// elsewhere at once.
#[actix_rt::test]
async fn a_task_waits_until_it_does_not_run_at_a_server_that_has_started_again() {
    let instance = Instance::start().await;
    let report = async |report| instance.coordinator.report(report).await.unwrap();
    let first = report(self::report(1, 0, 0, None)).await.generation;
    report(self::report(2, 0, first, Some(Vec::new()))).await;
    instance.answer(submit(Id(1))).await;
    assert_eq!(starts(&report(self::report(3, 0, first, None)).await), [1]);

    // Another server has room for the task.
    let other = |number, generation, running| {
        let mut other = self::report(number, 0, generation, running);
        other.sidecar = "t".to_owned();
        if let Backend::Present(server) = &mut other.backend {
            server.id.id = "c".to_owned();
        }
        other
    };
    let generation = report(other(1, 0, None)).await.generation;
    report(other(2, generation, Some(Vec::new()))).await;

    let restarted = |number, generation, running| {
        let mut restarted = self::report(number, 0, generation, running);
        if let Backend::Present(server) = &mut restarted.backend {
            server.id.started_at_ms = 2;
        }
        restarted
    };
    let second = report(restarted(4, first, None)).await.generation;
    assert!(second > first);
    let elsewhere = starts(&report(other(3, generation, None)).await);
    assert!(elsewhere.is_empty(), "it may run, and {elsewhere:?} is commanded elsewhere");
    let mut commanded = starts(&report(restarted(5, second, Some(Vec::new()))).await);
    commanded.extend(starts(&report(other(4, generation, None)).await));
    assert_eq!(commanded, [2]);
    instance.coordinator.stop();
    instance.replica.stop().await;
}

/// Guards against a second run of a task beside the first: a call to start an attempt had no answer
/// before its server was lost, and the server may carry it out seconds later, while the leader starts
/// the task elsewhere at once.
#[actix_rt::test]
async fn a_task_waits_while_an_attempt_may_still_start_at_a_lost_server() {
    let instance = Instance::start().await;
    let report = async |report| instance.coordinator.report(report).await.unwrap();
    let first = report(self::report(1, 0, 0, None)).await.generation;
    report(self::report(2, 0, first, Some(Vec::new()))).await;
    instance.answer(submit(Id(1))).await;
    assert_eq!(starts(&report(self::report(3, 0, first, None)).await), [1]);

    // Another server has room for the task.
    let other = |number, generation, running| {
        let mut other = self::report(number, 0, generation, running);
        other.sidecar = "t".to_owned();
        if let Backend::Present(server) = &mut other.backend {
            server.id.id = "c".to_owned();
        }
        other
    };
    let generation = report(other(1, 0, None)).await.generation;
    report(other(2, generation, Some(Vec::new()))).await;

    let attempt = Attempt { task: Task { job: Id(1), step: 0, index: 0 }, number: 1 };
    let undecided = |report| Report { undecided: vec![attempt], ..report };
    let lost = Report { backend: Backend::Lost, ..self::report(4, 1, first, None) };
    let second = report(undecided(lost)).await.generation;
    let elsewhere = starts(&report(other(3, generation, None)).await);
    assert!(elsewhere.is_empty(), "it may start, and {elsewhere:?} is commanded elsewhere");

    // The server answers again, and is not known to be free of the attempt yet.
    let third = report(undecided(self::report(5, 1, second, None))).await.generation;
    let elsewhere = starts(&report(other(4, generation, None)).await);
    assert!(elsewhere.is_empty(), "it may start, and {elsewhere:?} is commanded elsewhere");

    let mut commanded = starts(&report(self::report(6, 1, third, Some(Vec::new()))).await);
    commanded.extend(starts(&report(other(5, generation, None)).await));
    assert_eq!(commanded, [2]);
    instance.coordinator.stop();
    instance.replica.stop().await;
}

/// Guards against calls and reports that one voter of three accepts because it has waited long: the
/// loss of its disk, which is tolerated, would lose what it accepted, and sidecars would keep its
/// fencing tokens.
#[actix_rt::test]
async fn a_single_voter_of_three_accepts_nothing() {
    const WATCHED: Duration = Duration::from_secs(8);
    let instance = Instance::of_group(3).await;
    let end = time::Instant::now() + WATCHED;
    while time::Instant::now() < end {
        let call = Call::Configure(Arc::new(durable::config(2)));
        let answer = instance.coordinator.call(call).await;
        assert!(answer.is_err(), "{answer:?}");
        let commands = instance.coordinator.report(report(1, 0, 0, None)).await;
        assert!(commands.is_err(), "{commands:?}");
    }
    instance.coordinator.stop();
    instance.replica.stop().await;
}

/// Guards against a leader that stores jobs until its memory is used up, that refuses a job which it has
/// stored before, and whose memory stays used after the ends of jobs.
#[actix_rt::test]
async fn jobs_are_refused_while_their_memory_is_used_up() {
    let wide = || durable::job(1_000);
    let jobs_max_bytes = 13 * queue::memory_bytes(&wide()) / 2;
    let settings = jobs::Settings { jobs_max_bytes, ..jobs::Settings::new(1, 0) };
    let instance = Instance::with_settings(settings).await;
    instance.answer(Call::Configure(Arc::new(durable::config(2)))).await;
    let submit =
        |id, job| instance.answer(Call::Submit { host: HOST.to_owned(), path: path(id), job });
    let answers = [
        submit(Id(1), wide()).await,
        submit(Id(2), wide()).await,
        submit(Id(3), wide()).await,
        submit(Id(4), wide()).await,
        submit(Id(1), wide()).await,
        submit(Id(5), durable::job(4)).await,
    ];
    use Answer::{Accepted, Full};
    assert_eq!(answers, [Accepted, Accepted, Accepted, Full, Accepted, Accepted]);
    let cancel = Call::Cancel { host: HOST.to_owned(), path: path(Id(1)) };
    assert_eq!(instance.answer(cancel).await, Accepted);
    assert_eq!(submit(Id(4), wide()).await, Accepted);
}

fn drain(data_centre: &str, drained: bool) -> Call {
    Call::Drain { data_centre: data_centre.to_owned(), drained }
}

impl Instance {
    fn rules(&self) -> (u64, String) {
        let state = self.replica.state();
        (state.rules().version, state.rules().text.clone())
    }
}

/// Guards against an order that changes something when it arrives again, against rules that grow with
/// each order, and against an order that is refused because others arrive at the same time.
#[actix_rt::test]
async fn an_order_to_drain_changes_the_rules_once() {
    let instance = Instance::start().await;
    for _ in 0..2 {
        assert_eq!(instance.answer(drain("saga", false)).await, Answer::Accepted);
        assert_eq!(instance.rules(), (0, String::new()), "there is nothing to end");
    }
    for _ in 0..2 {
        assert_eq!(instance.answer(drain("saga", true)).await, Answer::Accepted);
        assert_eq!(instance.rules().0, 1);
    }
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let orders = futures::future::join_all(names.map(|name| {
        let coordinator = instance.coordinator.clone();
        async move { coordinator.call(drain(name, true)).await }
    }));
    assert_eq!(orders.await, vec![Ok(Answer::Accepted); names.len()]);
    assert_eq!(instance.rules().0, 1 + names.len() as u64);
    for name in names.iter().chain(&["saga"]) {
        assert_eq!(instance.answer(drain(name, false)).await, Answer::Accepted);
    }
    assert_eq!(instance.rules().1, "");
    instance.coordinator.stop();
    instance.replica.stop().await;
}

/// Guards against a drain of a data centre that does not exist, against a name that adds another rule,
/// and against a drain that cannot be ended because its data centre was removed from the settings.
#[actix_rt::test]
async fn only_known_data_centres_are_drained() {
    let instance = Instance::start().await;
    let know = |names: &[&str]| {
        let names = names.iter().map(|name| (*name).to_owned()).collect();
        instance.coordinator.set_data_centres(Some(names));
    };
    know(&["saga", "kurume"]);
    for name in ["ena", "", "saga # a: b", "saga\ndrain data-centre kurume", "Saga"] {
        for drained in [true, false] {
            assert_eq!(instance.answer(drain(name, drained)).await, Answer::NoDataCentre);
        }
    }
    assert_eq!(instance.answer(drain("saga", true)).await, Answer::Accepted);
    know(&["kurume"]);
    assert_eq!(instance.answer(drain("saga", true)).await, Answer::Accepted, "it is in force");
    assert_eq!(instance.answer(drain("saga", false)).await, Answer::Accepted);
    assert_eq!(instance.answer(drain("saga", true)).await, Answer::NoDataCentre);
    assert_eq!(instance.rules().1, "");
    instance.coordinator.stop();
    instance.replica.stop().await;
}

/// Guards against a sidecar or an entry that learns of a drain only with its next report or call, and
/// against one that misses a drain because an answer was lost.
#[actix_rt::test]
async fn a_drain_answers_waiting_reports_and_watch_calls_at_once() {
    let instance = Instance::start().await;
    let generation = instance.coordinator.report(report(1, 0, 0, None)).await.unwrap().generation;
    let synced = report(2, 0, generation, Some(Vec::new()));
    instance.coordinator.report(synced).await.unwrap();
    let watch = |sidecars, drains| Call::Watch { config: 2, sidecars, wait_ms: 1_000, drains };
    let Answer::View(View { sidecars, .. }) = instance.answer(watch(0, 0)).await else {
        panic!("no view")
    };
    let version = sidecars.expect("the list is new").0;
    let waiting = Report { wait_ms: 1_000, ..report(3, 0, generation, None) };
    let started = std::time::Instant::now();
    let (commands, view, order) = tokio::join!(
        instance.coordinator.report(waiting),
        instance.answer(watch(version, 0)),
        async {
            time::sleep(Duration::from_millis(100)).await;
            instance.answer(drain("saga", true)).await
        }
    );
    assert!(started.elapsed() < Duration::from_millis(900), "{:?}", started.elapsed());
    assert_eq!(order, Answer::Accepted);
    let saga = Drains { version: 1, data_centres: vec!["saga".to_owned()] };
    assert_eq!(commands.unwrap().drains, saga);
    let Answer::View(View { drains, .. }) = view else { panic!("{view:?}") };
    assert_eq!(drains, Some(saga.clone()));
    // Both answers may have been lost.
    let waiting = Report { wait_ms: 1_000, ..report(4, 0, generation, None) };
    let commands = instance.coordinator.report(waiting).await.unwrap();
    let view = instance.answer(watch(version, 0)).await;
    assert!(started.elapsed() < Duration::from_millis(900), "{:?}", started.elapsed());
    assert_eq!(commands.drains, saga);
    assert!(matches!(view, Answer::View(View { drains: Some(_), .. })));
    let metrics = String::from_utf8(instance.coordinator.metrics()).unwrap();
    assert!(metrics.contains("briargauge_drained_data_centres 1"), "{metrics}");
    instance.coordinator.stop();
    instance.replica.stop().await;
}

/// Guards against a drain that the leader does not act by because it came as an ordinary change of the
/// rules, and against a task that starts in the drained data centre or is lost.
#[actix_rt::test]
async fn a_drain_by_a_change_of_the_rules_holds_durable_tasks_back() {
    let instance = Instance::start().await;
    let change = |base, text: &str| machine::Command {
        now_ms: 1,
        op: machine::Op::Change(control::Change {
            id: format!("change-{base}"),
            operator: "ito".to_owned(),
            base,
            text: text.to_owned(),
        }),
    };
    instance.replica.propose(change(0, "drain data-centre saga # ito: power\n")).await.unwrap();
    let generation = instance.coordinator.report(report(1, 0, 0, None)).await.unwrap().generation;
    instance.coordinator.report(report(2, 0, generation, Some(Vec::new()))).await.unwrap();
    instance.answer(submit(Id(1))).await;
    let waiting =
        |number| Report { wait_ms: 300, drains: 1, ..report(number, 0, generation, None) };
    let commands = instance.coordinator.report(waiting(3)).await.unwrap();
    assert_eq!((starts(&commands), commands.drains.version), (vec![], 1));
    assert_eq!(instance.answer(query(&path(Id(1)))).await, Answer::State(Phase::Queued));
    instance.replica.propose(change(1, "")).await.unwrap();
    let mut started = Vec::new();
    for number in 4..8 {
        started.extend(starts(&instance.coordinator.report(waiting(number)).await.unwrap()));
    }
    assert_eq!(started, [1]);
    instance.coordinator.stop();
    instance.replica.stop().await;
}
