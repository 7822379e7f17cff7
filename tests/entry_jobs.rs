//! The entry of the job queues, with a leader and a sidecar that the tests control.

use std::{
    cell::{Cell, RefCell},
    future,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use briargauge::{
    coordination::transient,
    entry::jobs::{Ended, Entry},
    leader::{Failure, LeaderClient},
    protocol::{
        id,
        queue::{Attempt, Config, Id, Job, Queue, Resources, Step},
        wire::{
            queue::{
                self, Answer, Call, Commands, Drains, Refusal, Report, Server, ServerId, Sidecar,
                View,
            },
            work::{self, Load, Outcome, Renewal, Reply, Revision, StartCommand, Status},
        },
    },
    transport::{limit::bound::Instance, rpc},
    util,
};
use tarpc::context::Context;
use tokio::{join, sync::watch, time};

const HOST: &str = "co-op.example";
const CLUSTER: id::Cluster = id::Cluster(1);
const REVISION: Revision = Revision { incarnation: 1, change: 0 };
/// Time limit for a condition; only reached by a failing test.
const LIMIT: Duration = Duration::from_secs(10);

fn any() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn config(version: u64, prefixes: &[&str]) -> Arc<Config> {
    let queue = |prefix: &&str| Queue {
        host: HOST.to_owned(),
        prefix: (*prefix).to_owned(),
        service: "quotes".to_owned(),
        max_attempts: 2,
        timeout_ms: 100,
        slo_ms: 10_000,
        ..Queue::default()
    };
    let queues = prefixes.iter().map(queue).collect();
    Arc::new(Config { version, queues, services: Vec::new(), document: String::new() })
}

fn job() -> Job {
    let needs = Resources { cpu_milli: 1_000, memory_mb: 1, accelerators: 0 };
    let step = Step { tasks: 1, needs, estimate_ms: 10_000, ..Step::default() };
    Job::new("spec".to_owned(), vec![step])
}

/// The server beside a sidecar.
fn server(sidecar: &str) -> Server {
    Server {
        id: ServerId { id: format!("b-{sidecar}"), started_at_ms: 1 },
        service: "quotes".to_owned(),
        data_centre: "saga".to_owned(),
        capacity: Resources { cpu_milli: 1_000, memory_mb: 10, accelerators: 0 },
        labels: Vec::new(),
        draining: false,
    }
}

/// A leading control instance, which knows the sidecars `s` and, if there is one, `u`.
#[derive(Clone)]
struct Leader {
    config: Rc<RefCell<Arc<Config>>>,
    sidecars: Rc<RefCell<Vec<SocketAddr>>>,
    drains: Rc<RefCell<Drains>>,
    /// Whether calls that wait for changes are left without an answer.
    losing_waits: Rc<Cell<bool>>,
    /// Whether another instance leads, which nobody knows.
    deposed: Rc<Cell<bool>>,
}

impl queue::Service for Leader {
    async fn call(
        self,
        _: Context,
        cluster: Option<id::Cluster>,
        call: Call,
    ) -> Result<Answer, Refusal> {
        if cluster != Some(CLUSTER) {
            return Err(Refusal::OtherCluster { cluster: CLUSTER });
        }
        let Call::Watch { config, sidecars, wait_ms, drains } = call else {
            return Ok(Answer::NoJob);
        };
        if self.deposed.get() {
            return Err(Refusal::NotLeader { leader: None, members: None });
        }
        if self.losing_waits.get() && wait_ms > 0 {
            future::pending::<()>().await;
        }
        let version = self.sidecars.borrow().len() as u64;
        let changed = || {
            let newer = self.drains.borrow().version > drains;
            newer || self.config.borrow().version != config || sidecars != version
        };
        let end = time::Instant::now() + Duration::from_millis(wait_ms);
        while !changed() && time::Instant::now() < end {
            time::sleep(Duration::from_millis(5)).await;
        }
        let newer = self.config.borrow().clone();
        let describe = |(name, addr): (&str, &SocketAddr)| Sidecar {
            name: name.to_owned(),
            addr: *addr,
            server: server(name),
        };
        let list = ["s", "u"].into_iter().zip(&*self.sidecars.borrow()).map(describe).collect();
        Ok(Answer::View(View {
            config: (newer.version > config).then_some(newer),
            sidecars: (sidecars != version).then_some((version, list)),
            members: None,
            drains: Some(self.drains.borrow().clone()).filter(|newest| newest.version > drains),
        }))
    }

    async fn report(
        self,
        _: Context,
        _: Option<id::Cluster>,
        _: Report,
    ) -> Result<Commands, Refusal> {
        Ok(Commands::default())
    }
}

/// A sidecar whose attempts run until they are stopped.
#[derive(Clone)]
struct Worker {
    name: &'static str,
    incarnation: u64,
    running: Rc<RefCell<Vec<Attempt>>>,
    starts: Rc<Cell<usize>>,
    renewals: Rc<Cell<usize>>,
    /// The newest drains that a renewal has brought.
    drains: Rc<RefCell<Drains>>,
    stopped: watch::Sender<Option<Attempt>>,
    /// Number of calls to stop attempts or to cancel a job that are left without an answer and have
    /// no effect.
    calls_to_lose: Rc<Cell<usize>>,
}

impl Worker {
    fn new(name: &'static str, incarnation: u64) -> Worker {
        Worker {
            name,
            incarnation,
            running: Rc::default(),
            starts: Rc::default(),
            renewals: Rc::default(),
            drains: Rc::default(),
            stopped: watch::channel(None).0,
            calls_to_lose: Rc::default(),
        }
    }

    /// Listens at `addr`, once no other server does.
    async fn serve(&self, addr: SocketAddr) -> rpc::Server {
        let served = async {
            loop {
                match rpc::serve(addr, work::Service::serve(self.clone())).await {
                    Ok(server) => return server,
                    Err(_) => time::sleep(Duration::from_millis(5)).await,
                }
            }
        };
        time::timeout(LIMIT, served).await.expect("the address is free")
    }

    fn load(&self) -> Load {
        Load { revision: REVISION, open: true, ..Load::default() }
    }

    async fn lose_call(&self) {
        if self.calls_to_lose.get() > 0 {
            self.calls_to_lose.set(self.calls_to_lose.get() - 1);
            future::pending::<()>().await;
        }
    }
}

impl work::Service for Worker {
    async fn renew(self, _: Context, _: Option<id::Cluster>, renewal: Renewal) -> Status {
        self.renewals.set(self.renewals.get() + 1);
        *self.drains.borrow_mut() = renewal.drains.clone();
        Status {
            sidecar: (renewal.revision == Revision::default()).then(|| self.name.to_owned()),
            incarnation: self.incarnation,
            clock_ms: util::boot_ms(),
            clean: true,
            load: self.load(),
            server: (renewal.revision != REVISION).then(|| server(self.name)),
            members: None,
        }
    }

    async fn run(self, _: Context, _: Option<id::Cluster>, command: StartCommand) -> Reply {
        let attempt = command.start.attempt;
        self.running.borrow_mut().push(attempt);
        self.starts.set(self.starts.get() + 1);
        let mut stopped = self.stopped.subscribe();
        let _ = stopped.wait_for(|stopped| *stopped == Some(attempt)).await;
        self.running.borrow_mut().retain(|running| *running != attempt);
        Reply {
            outcome: Outcome::Stopped,
            took_ms: 0,
            clock_ms: util::boot_ms(),
            load: self.load(),
        }
    }

    async fn stop(self, _: Context, _: work::Entry, attempts: Vec<Attempt>) {
        self.lose_call().await;
        for attempt in attempts {
            self.stopped.send_replace(Some(attempt));
        }
    }

    async fn release(self, _: Context, _: work::Entry) -> bool {
        true
    }

    async fn cancel(self, _: Context, _: Id) -> bool {
        self.lose_call().await;
        false
    }
}

struct World {
    leader: Leader,
    worker: Worker,
    entry: Entry,
    /// Serves the calls to `worker`.
    sidecar: RefCell<Option<rpc::Server>>,
    _control: rpc::Server,
}

impl World {
    /// An entry that knows the queue `/q/` and is connected to the sidecar.
    async fn start() -> World {
        World::start_within(Instance::default()).await
    }

    /// Like [`World::start`], with the limits of an instance.
    async fn start_within(instance: Instance) -> World {
        let worker = Worker::new("s", 1);
        let sidecar = worker.serve(any()).await;
        let leader = Leader {
            config: Rc::new(RefCell::new(config(1, &["/q/"]))),
            sidecars: Rc::new(RefCell::new(vec![sidecar.addr()])),
            drains: Rc::default(),
            losing_waits: Rc::default(),
            deposed: Rc::default(),
        };
        let control = rpc::serve(any(), queue::Service::serve(leader.clone())).await.unwrap();
        let entry = Entry::start(LeaderClient::new(vec![control.addr()]), instance);
        let sidecar = RefCell::new(Some(sidecar));
        let world = World { leader, worker, entry, sidecar, _control: control };
        until("the entry is ready", || world.entry.ready()).await;
        // The first renewal opens the connection, and the second is sent over it.
        until("the sidecar is connected", || world.worker.renewals.get() > 1).await;
        world
    }

    /// Runs a job of one task, whose caller leaves after `deadline_ms`.
    async fn run(&self, path: &str, deadline_ms: u64) -> Ended {
        let leaves_ms = util::boot_ms() + deadline_ms;
        self.entry.run_job(HOST, path, job(), Some(leaves_ms)).await
    }

    fn running(&self) -> usize {
        self.worker.running.borrow().len()
    }
}

async fn until(what: &str, condition: impl Fn() -> bool) {
    let end = time::Instant::now() + LIMIT;
    while !condition() {
        assert!(time::Instant::now() < end, "not reached within {LIMIT:?}: {what}");
        time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against an entry that takes jobs until its memory is used up, that refuses a job which it
/// holds, and whose memory stays used after the ends of jobs.
#[actix_rt::test]
async fn jobs_are_refused_at_once_while_there_is_no_memory() {
    let job_bytes = 9 * transient::memory_bytes(&job()) as u64 / 2;
    let memory_bytes = Some(4 * job_bytes);
    let world = World::start_within(Instance { memory_bytes, ..Instance::default() }).await;
    let ended = join!(
        world.run("/q/0000000000000001", 600),
        world.run("/q/0000000000000002", 600),
        world.run("/q/0000000000000001", 600),
    );
    assert_eq!(ended, (Ended::Expired, Ended::Full, Ended::Expired));
    assert_eq!(world.run("/q/0000000000000002", 100).await, Ended::Expired);
    let forward = |path: &str, steps| {
        let job = Job::new("spec".to_owned(), vec![job().steps[0].clone(); steps]);
        world.entry.submit(HOST.to_owned(), path.to_owned(), job, None)
    };
    let answer = forward("/q/0000000000000003", 100).await.unwrap();
    assert_eq!(answer, Answer::Full, "the leader does not know it");
}

/// Guards against an answer that a queue does not exist, although it was added by an accepted change:
/// the answer that would have brought the change to the entry was lost.
#[actix_rt::test]
async fn a_queue_that_was_just_added_exists_though_the_entry_has_not_heard_of_it() {
    let world = World::start().await;
    world.leader.losing_waits.set(true);
    time::sleep(Duration::from_millis(500)).await;
    world.leader.config.replace(config(2, &["/q/", "/new/"]));
    let ended = world.run("/new/0000000000000001", 400).await;
    assert_eq!((ended, world.worker.starts.get()), (Ended::Expired, 1), "it starts and runs on");
}

/// Guards against an entry without a leader that answers that a queue does not exist, which may have
/// been added by an accepted change. Jobs of queues that it knows go on.
#[actix_rt::test]
async fn an_entry_without_a_leader_says_of_no_queue_that_it_does_not_exist() {
    let world = World::start().await;
    assert_eq!(world.run("/none/0000000000000001", 400).await, Ended::NoQueue);
    world.leader.deposed.set(true);
    time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(world.run("/none/0000000000000002", 400).await, Ended::NotReady);
    let started = time::Instant::now();
    assert_eq!(world.run("/q/0000000000000003", 300).await, Ended::Expired);
    assert_eq!(world.worker.starts.get(), 1);
    assert!(started.elapsed() < Duration::from_millis(380), "{:?}", started.elapsed());
}

/// Guards against two runs of a task at the same time: a call to stop an attempt was lost, and the
/// renewals of its entry let it go on, while its caller had sent the job to another entry.
#[actix_rt::test]
async fn a_stop_without_an_answer_is_repeated() {
    let world = World::start().await;
    world.worker.calls_to_lose.set(1);
    assert_eq!(world.run("/q/0000000000000001", 300).await, Ended::Expired);
    assert_eq!(world.running(), 1, "the stop is lost");
    time::sleep(Duration::from_millis(600)).await;
    assert_eq!(world.running(), 0);
}

/// Guards against the answer that a job is not known, after which its caller takes it for ended, while
/// its attempts go on at a sidecar that did not answer.
#[actix_rt::test]
async fn a_job_is_not_unknown_while_a_sidecar_has_not_answered() {
    let world = World::start().await;
    let cancel =
        || world.entry.cancel(HOST.to_owned(), "/q/0000000000000001".to_owned(), Some(LIMIT));
    world.worker.calls_to_lose.set(1);
    let answer = cancel().await;
    assert!(matches!(answer, Err(Failure::Unknown { .. })), "{answer:?}");
    assert!(matches!(cancel().await, Ok(Answer::NoJob)));
}

/// Guards against two runs of a task at the same time, and against starts at a server that the entry
/// did not choose: another sidecar has taken over the address of one that is not reached any more, and
/// says that nothing is left at its own server.
#[actix_rt::test]
async fn another_sidecar_at_the_same_address_does_not_count() {
    /// The lease of the connection and the longest one of the server, less what has passed of the
    /// former before the connection breaks.
    const LEASES: Duration = Duration::from_millis(1_500);
    let world = World::start().await;
    let job = world.run("/q/0000000000000001", 5_000);
    let replaced = async {
        until("the task runs", || world.running() == 1).await;
        let addr = world.leader.sidecars.borrow()[0];
        drop(world.sidecar.take());
        let broken = time::Instant::now();
        let (other, elsewhere) = (Worker::new("t", 2), Worker::new("u", 3));
        let _other = other.serve(addr).await;
        let server = elsewhere.serve(any()).await;
        world.leader.sidecars.borrow_mut().push(server.addr());
        until("the task starts again", || other.starts.get() + elsewhere.starts.get() > 0).await;
        assert_eq!(other.starts.get(), 0, "it starts at a sidecar that the entry does not know");
        assert!(broken.elapsed() >= LEASES, "it starts after {:?}", broken.elapsed());
    };
    tokio::select! {
        () = replaced => {}
        ended = job => panic!("{ended:?}"),
    }
}

/// Guards against a sidecar without a path to the leader that starts tasks in a drained data centre for
/// long: the entry passes the drains on at once, also while it has no attempts there, and refuses a job
/// that has no server left.
#[actix_rt::test]
async fn drains_are_passed_on_to_idle_sidecars() {
    let world = World::start().await;
    let drained = Drains { version: 3, data_centres: vec!["saga".to_owned()] };
    *world.leader.drains.borrow_mut() = drained.clone();
    until("the sidecar has the drains", || *world.worker.drains.borrow() == drained).await;
    let path = format!("/q/{}", Id(1));
    let refused = world.entry.run_job(HOST, &path, job(), None);
    assert_eq!(time::timeout(LIMIT, refused).await, Ok(Ended::NotRun));
    assert_eq!(world.worker.starts.get(), 0);
    let metrics = String::from_utf8(world.entry.metrics()).unwrap();
    assert!(metrics.contains("briargauge_drained_data_centres 1"), "{metrics}");
}
