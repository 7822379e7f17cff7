//! Two clusters of control instances whose addresses are known to the same processes, as after an
//! instance that had lost its disk formed a cluster of its own. Whoever follows one of them takes
//! nothing from the other.

mod durable;
mod reports;

use std::{
    cell::{Cell, RefCell},
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use briargauge::{
    control::{
        jobs::{self, Coordinator, Handler},
        replica::{self, Replica},
    },
    coordination::sidecar::{Poll, PollReply, Running, StartResult},
    entry,
    leader::LeaderClient,
    protocol::{
        id,
        queue::{Attempt, Config, Id, Resources},
        wire::{
            control::MemberChange,
            queue::{
                Answer, Backend, Call, Refusal, Report, Server, ServerId, Service as _,
                ServiceClient, Start,
            },
        },
    },
    sidecar::{self, jobs::PollResult},
    transport::{limit::bound, rpc},
    util,
};
use durable::HOST;
use tempfile::TempDir;
use tokio::time;

/// Time limit for a condition; only reached by a failing test.
const LIMIT: Duration = Duration::from_secs(15);
/// Time in which a process that mixes the clusters would have followed the other one.
const MIX_TIME: Duration = Duration::from_secs(2);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// The configuration `version`, with the queue `/q/`.
fn config(version: u64) -> Config {
    Config { version, ..durable::config(2) }
}

fn path(id: u64) -> String {
    format!("/q/{}", Id(id))
}

fn server() -> Server {
    Server {
        id: ServerId { id: "b".to_owned(), started_at_ms: 1 },
        service: "quotes".to_owned(),
        data_centre: "saga".to_owned(),
        capacity: Resources { cpu_milli: 1_000, memory_mb: 1, accelerators: 0 },
        labels: Vec::new(),
        draining: false,
    }
}

async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let holds = async {
        while !condition().await {
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    time::timeout(LIMIT, holds).await.unwrap_or_else(|_| panic!("{what}"));
}

/// A control instance that serves calls. It is blank at first.
struct Instance {
    replica: Replica,
    coordinator: Coordinator,
    server: rpc::Server,
    folder: TempDir,
}

impl Instance {
    async fn blank(node: u64, peers: Vec<SocketAddr>) -> Instance {
        Instance::on(TempDir::new().unwrap(), node, peers).await
    }

    async fn on(folder: TempDir, node: u64, peers: Vec<SocketAddr>) -> Instance {
        let path = folder.path().to_path_buf();
        let settings = replica::Settings::new(id::Node(node), any_port(), path);
        let replica = Replica::start(replica::Settings { peers, ..settings }).await.unwrap();
        let settings = jobs::Settings::new(1, 60_000);
        let coordinator = Coordinator::new(replica.clone(), settings);
        actix_rt::spawn(coordinator.clone().run());
        let handler = Handler::new(coordinator.clone());
        let server = rpc::serve_to_end(any_port(), handler.serve()).await.unwrap();
        replica.advertise(server.addr());
        Instance { replica, coordinator, server, folder }
    }

    /// A cluster of its own with a configuration.
    async fn cluster(config: Config) -> Instance {
        let instance = Instance::blank(1, Vec::new()).await;
        instance.replica.init().await.unwrap();
        instance.answer(Call::Configure(Arc::new(config))).await;
        instance
    }

    fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Answer of this instance's cluster to a call.
    async fn answer(&self, call: Call) -> Answer {
        LeaderClient::new(vec![self.addr()]).call(call, LIMIT).await.expect("it is answered")
    }

    /// Starts the instance anew on its folder, and so in a higher term.
    async fn restart(self) -> Instance {
        Instance::on(self.stop().await, 1, Vec::new()).await
    }

    async fn stop(self) -> TempDir {
        self.coordinator.stop();
        self.replica.stop().await;
        self.folder
    }

    /// Names of the sidecars that the leader knows.
    async fn sidecars(&self) -> Vec<String> {
        let call = Call::Watch { config: 0, sidecars: 0, wait_ms: 0, drains: 0 };
        let Answer::View(view) = self.answer(call).await else { panic!("no view") };
        let (_, sidecars) = view.sidecars.expect("the list has changed");
        sidecars.into_iter().map(|sidecar| sidecar.name).collect()
    }
}

/// Version of the configuration that a client reads, if it is answered.
async fn version(client: &LeaderClient) -> Option<u64> {
    match client.call(Call::ReadConfig, MIX_TIME).await {
        Ok(Answer::Config(config)) => Some(config.version),
        Ok(answer) => panic!("{answer:?}"),
        Err(_) => None,
    }
}

/// A backend server that records the attempts that it is asked to start, and finishes none.
#[derive(Clone, Default)]
struct Recorder {
    starts: Rc<RefCell<Vec<Attempt>>>,
    polls: Rc<Cell<u32>>,
}

impl sidecar::jobs::Backend for Recorder {
    async fn start(&self, _: SocketAddr, _: &ServerId, start: &Start, _: &Poll) -> StartResult {
        self.starts.borrow_mut().push(start.attempt);
        StartResult::Started
    }

    async fn stop(&self, _: SocketAddr, _: &ServerId, _: Attempt, _: u64) -> bool {
        false
    }

    async fn poll(&self, _: SocketAddr, _: &ServerId, _: &Poll, _: Duration) -> PollResult {
        time::sleep(Duration::from_millis(5)).await;
        self.polls.set(self.polls.get() + 1);
        let listed = |attempt: &Attempt| Running { attempt: *attempt, progress: None };
        let running = self.starts.borrow().iter().map(listed).collect();
        PollResult::Replied(PollReply {
            clock_ms: util::boot_ms(),
            running,
            completions: Vec::new(),
            truncated: false,
        })
    }

    async fn check(&self, addr: SocketAddr, server: &ServerId, poll: &Poll) -> PollResult {
        self.poll(addr, server, poll, Duration::ZERO).await
    }
}

/// Starts a sidecar beside a backend server, and waits until it may start attempts there.
async fn start_sidecar(leader: LeaderClient) -> (SocketAddr, Recorder) {
    let addr = TcpListener::bind(any_port()).unwrap().local_addr().unwrap();
    let backend = Recorder::default();
    let options = sidecar::jobs::Options {
        name: "s".to_owned(),
        addr,
        listen: addr,
        max_lease_ms: 1_000,
        stall_ms: None,
    };
    let sidecar = sidecar::jobs::Sidecar::start(options, leader, backend.clone());
    sidecar.await.unwrap().announce(server(), any_port(), 1, 0);
    until("the backend server is polled", async || backend.polls.get() > 3).await;
    (addr, backend)
}

/// Guards against reads of an older configuration, and against changes that are accepted and lost:
/// a client that cannot reach its own cluster turned to the leader of another one.
#[actix_rt::test]
async fn a_client_calls_no_other_cluster() {
    let (first, second) = (Instance::cluster(config(5)).await, Instance::cluster(config(2)).await);
    let client = LeaderClient::new(vec![first.addr()]);
    assert_eq!(version(&client).await, Some(5));
    client.set_seeds(vec![first.addr(), second.addr()]);
    first.stop().await;
    assert_eq!(version(&client).await, None);
    let changed = client.call(Call::Configure(Arc::new(config(9))), MIX_TIME).await;
    assert!(changed.is_err(), "{changed:?}");
    assert_eq!(version(&LeaderClient::new(vec![second.addr()])).await, Some(2));
    second.stop().await;
}

/// Guards against operators that read an older configuration at a control instance, which knows the
/// address of an instance of another cluster.
#[actix_rt::test]
async fn a_control_instance_calls_no_other_cluster_than_its_own() {
    let (first, second) = (Instance::cluster(config(5)).await, Instance::cluster(config(2)).await);
    let client = LeaderClient::with_replica(vec![second.addr()], first.replica.clone());
    // It knows its own instance, although the settings do not name it.
    assert_eq!(version(&client).await, Some(5));
    client.set_seeds(vec![first.addr(), second.addr()]);
    assert_eq!(version(&client).await, Some(5));
    first.stop().await;
    assert_eq!(version(&client).await, None);
    second.stop().await;
}

/// Guards against operators that read the configuration of the cluster that first answered a control
/// instance without one, after the instance has joined another cluster.
#[actix_rt::test]
async fn a_control_instance_follows_the_cluster_that_it_joins() {
    let (first, second) = (Instance::cluster(config(5)).await, Instance::cluster(config(2)).await);
    let peers = vec![first.replica.peer_addr().unwrap()];
    let joining = Instance::blank(2, Vec::new()).await;
    let client = LeaderClient::with_replica(vec![second.addr()], joining.replica.clone());
    assert_eq!(version(&client).await, Some(2));
    joining.replica.set_peers(&peers);
    until("it joins", async || joining.replica.cluster().is_some()).await;
    // It knows the members of its own cluster, although the settings name none of them.
    assert_eq!(version(&client).await, Some(5));
    client.set_seeds(vec![second.addr(), joining.addr(), first.addr()]);
    assert_eq!(version(&client).await, Some(5));
    first.stop().await;
    assert_eq!(version(&client).await, None);
    for instance in [joining, second] {
        instance.stop().await;
    }
}

/// Guards against callers that know one member only, which knows no leader, and that never hear of the
/// others.
#[actix_rt::test]
async fn a_member_without_a_leader_names_the_members() {
    let first = Instance::cluster(config(5)).await;
    let joining = Instance::blank(2, vec![first.replica.peer_addr().unwrap()]).await;
    let addr = joining.replica.peer_addr().unwrap();
    first.replica.change_members(MemberChange::Add { addr }).await.unwrap();
    let mut addrs = [first.addr(), joining.addr()];
    addrs.sort_unstable();
    let cluster = first.replica.cluster();
    let client: ServiceClient = rpc::connect(joining.addr()).await.unwrap();
    let named = async || {
        let answer = client.call(rpc::context(LIMIT), cluster, Call::ReadConfig).await.unwrap();
        let Err(Refusal::NotLeader { leader, members }) = answer else { panic!("{answer:?}") };
        let mut members = members.expect("it belongs to a cluster");
        members.addrs.sort_unstable();
        (leader, members)
    };
    until("it knows both members", async || named().await.1.addrs == addrs).await;
    let (leader, members) = named().await;
    assert_eq!((leader, Some(members.cluster)), (Some(first.addr()), cluster));
    first.stop().await;
    until("it knows no leader", async || named().await.0.is_none()).await;
    assert_eq!(named().await, (None, members));
    joining.stop().await;
}

/// Guards against a kept job that runs twice: the leader of another cluster, whose terms and
/// generations are higher, registered a sidecar and commanded starts there.
#[actix_rt::test]
async fn a_sidecar_starts_nothing_for_another_cluster() {
    let first = Instance::cluster(config(5)).await;
    let mut second = Instance::cluster(config(2)).await;
    for _ in 0..3 {
        second = second.restart().await;
    }
    let leader = LeaderClient::new(vec![first.addr()]);
    let (_, backend) = start_sidecar(leader.clone()).await;
    assert_eq!(first.sidecars().await, ["s"]);
    leader.set_seeds(vec![first.addr(), second.addr()]);
    first.stop().await;
    let job = durable::job(1);
    second.answer(Call::Submit { host: HOST.to_owned(), path: path(1), job }).await;
    time::sleep(MIX_TIME).await;
    assert_eq!(*backend.starts.borrow(), []);
    assert_eq!(second.sidecars().await, [""; 0]);
    second.stop().await;
}

/// Guards against an entry that obeys the configuration of another cluster because its version is
/// higher.
#[actix_rt::test]
async fn an_entry_takes_no_configuration_of_another_cluster() {
    let first = Instance::cluster(config(5)).await;
    let second = Instance::cluster(Config { queues: Vec::new(), ..config(9) }).await;
    let leader = LeaderClient::new(vec![first.addr()]);
    let entry = entry::jobs::Entry::start(leader.clone(), bound::Instance::default());
    until("the entry is configured", async || entry.ready()).await;
    leader.set_seeds(vec![first.addr(), second.addr()]);
    first.stop().await;
    time::sleep(MIX_TIME).await;
    let path = path(1);
    let ended = entry.run_job(HOST, &path, durable::job(1), None);
    let ended = time::timeout(LIMIT, ended).await.expect("the job ends");
    assert_eq!(ended, entry::jobs::Ended::NotRun, "the queue is in force");
    second.stop().await;
}

/// Guards against tasks that run by the configuration of a cluster that the sidecar does not follow:
/// an entry of the other cluster knew its address from an earlier process there.
#[actix_rt::test]
async fn a_sidecar_starts_nothing_for_an_entry_of_another_cluster() {
    let (first, second) = (Instance::cluster(config(5)).await, Instance::cluster(config(2)).await);
    let (addr, backend) = start_sidecar(LeaderClient::new(vec![second.addr()])).await;
    let earlier =
        Report { addr, backend: Backend::Present(server()), ..reports::of_loss("s", &[]) };
    let reporter = LeaderClient::new(vec![first.addr()]);
    until("the sidecar is registered", async || {
        matches!(reporter.report(earlier.clone(), LIMIT).await, Ok(Ok(_)))
    })
    .await;
    assert_eq!(first.sidecars().await, ["s"]);
    let run = async |cluster: &Instance, id| {
        let entry = entry::jobs::Entry::start(
            LeaderClient::new(vec![cluster.addr()]),
            bound::Instance::default(),
        );
        until("the entry is configured", async || entry.ready()).await;
        let path = path(id);
        let job = entry.run_job(HOST, &path, durable::job(1), None);
        // The backend server finishes nothing.
        let _ = time::timeout(MIX_TIME, job).await;
        backend.starts.borrow().iter().map(|start| start.task.job).collect::<Vec<Id>>()
    };
    assert_eq!(run(&first, 1).await, []);
    assert_eq!(run(&second, 2).await, [Id(2)]);
    first.stop().await;
    second.stop().await;
}
