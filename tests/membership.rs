//! Replacement of control instances: replicas over loopback whose leader maintains the members. An
//! instance that is replaced is gone for good, and an empty one starts at another address.

use std::{
    future::Future,
    net::{SocketAddr, TcpListener},
    path::Path,
    process,
    sync::atomic::{AtomicU16, Ordering},
    time::{Duration, Instant},
};

use briargauge::{
    control::{
        jobs::{self, Coordinator},
        replica::{Replica, Settings},
    },
    protocol::{id, wire::control},
    state::machine::{Command, Op},
};
use tempfile::TempDir;
use tokio::{
    task::{JoinHandle, LocalSet},
    time,
};

/// Target: longest time from the start of a replacement until it counts as a voter.
const CATCH_UP_MAX: Duration = Duration::from_secs(4);
/// Time from the loss of an instance to the start of its replacement.
const START_DELAY: Duration = Duration::from_secs(1);
/// Time limit for what the tests only prepare.
const LIMIT: Duration = Duration::from_secs(30);
const VOTERS: usize = 5;
const POLL: Duration = Duration::from_millis(5);

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// An address at which nothing listens yet. Its IP address is of its own, as another process may use the
/// port at 127.0.0.1 meanwhile, also for a connection to elsewhere.
fn free_addr() -> SocketAddr {
    static COUNT: AtomicU16 = AtomicU16::new(0);
    let [high, low] = COUNT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = (process::id() % 200) as u8 + 10;
    let any_port = SocketAddr::from(([127, process, high, low], 0));
    TcpListener::bind(any_port).unwrap().local_addr().unwrap()
}

/// A running control instance, without its client services.
struct Instance {
    addr: SocketAddr,
    id: (id::Node, id::Disk),
    replica: Replica,
    tasks: JoinHandle<()>,
}

impl Instance {
    async fn start(node: u64, at: SocketAddr, directory: &Path, seeds: &[SocketAddr]) -> Instance {
        let settings = Settings {
            peers: seeds.to_vec(),
            first_start: seeds.contains(&at),
            voters: VOTERS,
            client_addr: SocketAddr::from(([127, 0, 0, 2], at.port())),
            ..Settings::new(id::Node(node), at, directory.to_path_buf())
        };
        let tasks = LocalSet::new();
        let limit = Instant::now() + LIMIT;
        let replica = loop {
            match tasks.run_until(Replica::start(settings.clone())).await {
                Ok(replica) => break replica,
                // The storage thread of the earlier process may still hold the directory.
                Err(e) => assert!(Instant::now() < limit, "{e}"),
            }
            time::sleep(POLL).await;
        };
        let coordinator = Coordinator::new(replica.clone(), jobs::Settings::new(VOTERS, 60_000));
        tasks.spawn_local(coordinator.run());
        let status = replica.status();
        Instance {
            addr: at,
            id: (status.node, status.disk),
            replica,
            tasks: actix_rt::spawn(tasks),
        }
    }

    /// Ends the instance as the end of its process does: at once, with all its connections.
    async fn kill(self) {
        self.tasks.abort();
        // The result says only that the tasks were aborted.
        let _ = self.tasks.await;
    }

    fn leads(&self) -> bool {
        self.replica.leading().is_some()
    }
}

/// The control instances that are alive.
struct Group {
    alive: Vec<Instance>,
    directories: Vec<TempDir>,
}

impl Group {
    /// Starts five instances, three of which are seeds, and waits until all are voters.
    async fn form() -> Group {
        let addrs: Vec<SocketAddr> = (0..VOTERS).map(|_| free_addr()).collect();
        let mut group = Group { alive: Vec::new(), directories: Vec::new() };
        for at in &addrs {
            group.start_at(*at, &addrs[..3]).await;
        }
        let stands = Instant::now() + LIMIT;
        group.wait("the first five are voters", stands, |group| group.stands(VOTERS)).await;
        group
    }

    /// Forms a group that has lost a follower, and returns the address of that one too.
    async fn without_a_follower() -> (Group, SocketAddr) {
        let mut group = Group::form().await;
        group.wait_for_leader().await;
        let lost = group.followers()[0];
        group.lose(lost).await;
        (group, lost)
    }

    async fn start_at(&mut self, at: SocketAddr, seeds: &[SocketAddr]) -> SocketAddr {
        let directory = TempDir::new().unwrap();
        let node = self.directories.len() as u64 + 1;
        self.alive.push(Instance::start(node, at, directory.path(), seeds).await);
        self.directories.push(directory);
        at
    }

    /// Starts an empty instance at a new address.
    async fn start(&mut self, seeds: &[SocketAddr]) -> SocketAddr {
        self.start_at(free_addr(), seeds).await
    }

    fn get(&self, at: SocketAddr) -> Option<&Instance> {
        self.alive.iter().find(|instance| instance.addr == at)
    }

    /// The leader with the highest term.
    fn leader(&self) -> Option<&Instance> {
        let leading = self.alive.iter().filter(|instance| instance.leads());
        leading.max_by_key(|instance| instance.replica.leading())
    }

    /// Addresses of the instances that don't lead.
    fn followers(&self) -> Vec<SocketAddr> {
        let followers = self.alive.iter().filter(|instance| !instance.leads());
        followers.map(|instance| instance.addr).collect()
    }

    fn addrs(&self) -> Vec<SocketAddr> {
        self.alive.iter().map(|instance| instance.addr).collect()
    }

    /// Waits for a leader and returns its address.
    async fn wait_for_leader(&self) -> SocketAddr {
        let limit = Instant::now() + LIMIT;
        self.wait("an instance leads", limit, |group| group.leader().is_some()).await;
        self.leader().unwrap().addr
    }

    async fn kill(&mut self, at: SocketAddr) -> SocketAddr {
        let position = self.alive.iter().position(|instance| instance.addr == at).unwrap();
        self.alive.remove(position).kill().await;
        at
    }

    /// Kills an instance and waits for as long as its replacement takes to start.
    async fn lose(&mut self, at: SocketAddr) {
        self.kill(at).await;
        time::sleep(START_DELAY).await;
    }

    /// Whether the leader counts the instance at `at` as a voter.
    fn votes(&self, at: SocketAddr) -> bool {
        let (Some(leader), Some(instance)) = (self.leader(), self.get(at)) else { return false };
        let members = leader.replica.status().members;
        members.iter().any(|member| (member.node, member.disk) == instance.id && member.votes)
    }

    /// Whether the leader's voters are exactly the instances that are alive, `count` of them.
    fn stands(&self, count: usize) -> bool {
        let Some(leader) = self.leader() else { return false };
        let voters = leader.replica.status().members.iter().filter(|member| member.votes).count();
        voters == count
            && self.alive.len() == count
            && self.addrs().iter().all(|at| self.votes(*at))
    }

    /// Waits until `condition` holds; panics with what each instance knows after `limit`.
    async fn wait(&self, what: &str, limit: Instant, condition: impl Fn(&Group) -> bool) {
        while !condition(self) {
            assert!(Instant::now() < limit, "not in time: {what}\n{}", self.describe());
            time::sleep(POLL).await;
        }
    }

    /// Waits until a learner could vote.
    async fn wait_for_standby(&self) {
        let standby = |group: &Group| {
            let seen = group.leader().map(|leader| leader.replica.group());
            seen.is_some_and(|seen| seen.members.iter().any(|member| member.standby))
        };
        self.wait("a learner could vote", Instant::now() + LIMIT, standby).await;
    }

    /// Waits until a change is acknowledged.
    async fn commit(&self, limit: Instant) {
        let hello = control::Hello { addr: addr(1), data_centre: "saga".to_owned(), start: 1 };
        let command = Command { now_ms: 1, op: Op::Register(hello) };
        let committed = async {
            loop {
                if let Some(leader) = self.leader()
                    && leader.replica.propose(command.clone()).await.is_ok()
                {
                    return;
                }
                time::sleep(POLL).await;
            }
        };
        let left = limit.saturating_duration_since(Instant::now());
        let result = time::timeout(left, committed).await;
        assert!(result.is_ok(), "no change was acknowledged in time\n{}", self.describe());
    }

    /// Checks that five instances that are alive are the voters, and that a change is acknowledged,
    /// within [`CATCH_UP_MAX`] of `started`.
    async fn check_stands(&self, started: Instant) {
        let limit = started + CATCH_UP_MAX;
        self.wait("five voters stand", limit, |group| group.stands(VOTERS)).await;
        self.commit(limit).await;
    }

    /// Checks that the instance at `at` is a voter, and that a change is acknowledged, within
    /// [`CATCH_UP_MAX`] of `started`.
    async fn check_joined(&self, at: SocketAddr, started: Instant) {
        let limit = started + CATCH_UP_MAX;
        self.wait("the newcomer is a voter", limit, |group| group.votes(at)).await;
        self.commit(limit).await;
    }

    fn describe(&self) -> String {
        let line = |instance: &Instance| {
            let status = instance.replica.status();
            let members: Vec<(u64, bool)> =
                status.members.iter().map(|member| (member.node.0, member.votes)).collect();
            format!(
                "node={} role={:?} term={} members={members:?}\n",
                status.node.0, status.role, status.term
            )
        };
        self.alive.iter().map(line).collect()
    }

    async fn stop(self) {
        for instance in self.alive {
            instance.kill().await;
        }
    }
}

/// Repeats `step` until `future` ends.
async fn during(future: impl Future<Output = ()>, mut step: impl AsyncFnMut()) {
    let repeated = async {
        loop {
            step().await;
            time::sleep(POLL).await;
        }
    };
    tokio::select! {
        () = future => {}
        () = repeated => {}
    }
}

/// Guards against a replacement that stays outside the group because none of its seeds leads.
#[actix_rt::test]
async fn a_replacement_whose_seeds_do_not_lead_joins() {
    let (mut group, _) = Group::without_a_follower().await;
    let seeds = group.followers();
    assert_eq!(seeds.len(), 3);
    let started = Instant::now();
    group.start(&seeds).await;
    group.check_stands(started).await;
    group.stop().await;
}

/// Guards against a replacement that stays outside because the last of its seeds that is alive, which
/// does not lead, is lost 1 s after its start.
#[actix_rt::test]
async fn a_replacement_whose_seeds_are_lost_later_joins() {
    let (mut group, lost) = Group::without_a_follower().await;
    let seed = group.followers()[0];
    let started = Instant::now();
    let newcomer = group.start(&[lost, free_addr(), seed]).await;
    time::sleep(Duration::from_secs(1)).await;
    group.kill(seed).await;
    group.check_joined(newcomer, started).await;
    group.stop().await;
}

/// Guards against a replacement that is forgotten because the leader changes right after its start, and
/// the only seed that is alive is the earlier leader.
#[actix_rt::test]
async fn a_replacement_joins_although_the_leader_changes() {
    let (mut group, lost) = Group::without_a_follower().await;
    let old = group.wait_for_leader().await;
    let started = Instant::now();
    group.start(&[old, lost, free_addr()]).await;
    time::sleep(Duration::from_millis(100)).await;
    group.get(old).unwrap().replica.transfer_leadership().await;
    let hand_on = async || {
        let old = group.get(old).unwrap();
        if old.leads() {
            old.replica.transfer_leadership().await;
        }
    };
    during(group.check_stands(started), hand_on).await;
    group.stop().await;
}

/// Guards against a replacement that stays outside because the leader, one of its two seeds, is lost as
/// it starts, and the other does not lead.
#[actix_rt::test]
async fn a_replacement_joins_although_the_leader_is_lost() {
    let (mut group, lost) = Group::without_a_follower().await;
    let old = group.wait_for_leader().await;
    let seed = group.followers()[0];
    let started = Instant::now();
    let newcomer = group.start(&[old, seed, lost]).await;
    time::sleep(Duration::from_millis(100)).await;
    group.kill(old).await;
    let hand_on = async || {
        let seed = group.get(seed).unwrap();
        if seed.leads() {
            seed.replica.transfer_leadership().await;
        }
    };
    during(group.check_joined(newcomer, started), hand_on).await;
    group.stop().await;
}

/// Guards against a member that stays outside for good because all instances that it knows were
/// replaced while it was silent.
#[actix_rt::test]
async fn a_member_that_was_silent_while_all_others_were_replaced_joins() {
    let mut group = Group::form().await;
    group.wait_for_leader().await;
    let silent = group.followers()[0];
    let position = group.alive.iter().position(|instance| instance.addr == silent).unwrap();
    let known = group.addrs();
    group.kill(silent).await;
    for at in known.iter().filter(|at| **at != silent) {
        group.lose(*at).await;
        let seeds = group.addrs();
        let started = Instant::now();
        let newcomer = group.start(&seeds).await;
        group.check_joined(newcomer, started).await;
        time::sleep_until((started + CATCH_UP_MAX).into()).await;
    }
    let started = Instant::now();
    let directory = group.directories[position].path();
    let returned = Instance::start(position as u64 + 1, silent, directory, &known).await;
    group.alive.push(returned);
    group.check_stands(started).await;
    group.stop().await;
}

/// Guards against a group that lacks a voter for seconds after a planned stop, although a learner could
/// vote at once, and against a stop that waits although nobody could.
#[actix_rt::test]
async fn a_planned_stop_hands_the_vote_to_a_learner() {
    let mut group = Group::form().await;
    group.wait_for_leader().await;
    let stopping = group.followers()[0];
    let begun = Instant::now();
    group.get(stopping).unwrap().replica.leave().await;
    assert!(begun.elapsed() < Duration::from_millis(500), "{:?}", begun.elapsed());
    assert!(group.votes(stopping), "there is no learner");

    let seeds = group.addrs();
    let newcomer = group.start(&seeds).await;
    group.wait_for_standby().await;
    assert!(!group.votes(newcomer));
    group.get(stopping).unwrap().replica.leave().await;
    group.kill(stopping).await;
    let limit = Instant::now() + Duration::from_millis(500);
    group.wait("the newcomer votes", limit, |group| group.votes(newcomer)).await;
    group.check_stands(Instant::now()).await;
    group.stop().await;
}

/// Lets `count` replacements die as soon as the leader knows them, then waits for one that lives and
/// started with them.
async fn join_beside_dead_replacements(count: usize) {
    let (mut group, _) = Group::without_a_follower().await;
    let seeds = group.addrs();
    let started = Instant::now();
    for _ in 0..count {
        let dead = group.start(&seeds).await;
        let applies = |group: &Group| {
            let Some(leader) = group.leader() else { return false };
            let member =
                leader.replica.status().members.iter().any(|m| m.addr.port() == dead.port());
            let seen = leader.replica.group();
            member || seen.applicants.iter().any(|applicant| applicant.hello.peer == dead)
        };
        group.wait("the leader knows the replacement", started + LIMIT, applies).await;
        group.kill(dead).await;
    }
    let started = Instant::now();
    group.start(&seeds).await;
    group.check_stands(started).await;
    group.stop().await;
}

/// Guards against a replacement that waits behind one that has died since it introduced itself.
#[actix_rt::test]
async fn a_replacement_joins_beside_a_dead_one() {
    join_beside_dead_replacements(1).await;
}

/// Guards against a wait that grows with the number of replacements that have died since they
/// introduced themselves.
#[actix_rt::test]
async fn a_replacement_joins_beside_two_dead_ones() {
    join_beside_dead_replacements(2).await;
}

/// Guards against the second of two replacements that waits too long for the first, or is forgotten.
#[actix_rt::test]
async fn two_replacements_at_once_join() {
    let mut group = Group::form().await;
    group.wait_for_leader().await;
    let lost = group.followers();
    group.kill(lost[0]).await;
    group.lose(lost[1]).await;
    let seeds = group.addrs();
    let started = Instant::now();
    group.start(&seeds).await;
    group.start(&seeds).await;
    group.check_stands(started).await;
    group.stop().await;
}

/// Guards against a leader that takes a blank instance of another system, which has got the address of
/// a former member.
#[actix_rt::test]
async fn a_leader_takes_no_blank_instance_of_another_system() {
    let (mut group, lost) = Group::without_a_follower().await;
    let seeds = group.addrs();
    let started = Instant::now();
    group.start(&seeds).await;
    group.check_stands(started).await;
    let own = group.leader().unwrap().replica.cluster();
    time::sleep(Duration::from_secs(1)).await;

    // The first instances of another system, which are seeds of each other.
    let other: Vec<SocketAddr> = vec![lost, free_addr(), free_addr()];
    let mut others = Vec::new();
    let directories: Vec<TempDir> = (0..3).map(|_| TempDir::new().unwrap()).collect();
    for (i, at) in other.iter().enumerate() {
        let node = 101 + i as u64;
        others.push(Instance::start(node, *at, directories[i].path(), &other).await);
        time::sleep(Duration::from_millis(1_500)).await;
    }
    time::sleep(Duration::from_secs(8)).await;
    let seen: Vec<_> = others.iter().map(|o| (o.id.0, o.replica.cluster())).collect();
    let members: Vec<u64> = group
        .leader()
        .unwrap()
        .replica
        .status()
        .members
        .iter()
        .map(|member| member.node.0)
        .collect();
    assert!(members.iter().all(|node| *node < 100), "{members:?}");
    assert!(seen.iter().all(|(_, cluster)| *cluster != own), "{seen:?}");
    for instance in others {
        instance.kill().await;
    }
    group.stop().await;
}

/// Guards against a stopping instance that is added again while its open calls end.
#[actix_rt::test]
async fn an_instance_that_stops_is_not_added_again() {
    let mut group = Group::form().await;
    group.wait_for_leader().await;
    let seeds = group.addrs();
    let newcomer = group.start(&seeds).await;
    group.wait_for_standby().await;
    let stopping = group.followers().into_iter().find(|at| *at != newcomer).unwrap();
    group.get(stopping).unwrap().replica.leave().await;
    let id = group.get(stopping).unwrap().id;
    let drained = Instant::now() + Duration::from_secs(1);
    while Instant::now() < drained {
        let members = group.leader().unwrap().replica.status().members;
        let again = members.iter().any(|m| (m.node, m.disk) == id && !m.votes);
        assert!(!again, "added again {:?} before the end", drained - Instant::now());
        time::sleep(POLL).await;
    }
    group.stop().await;
}

/// Guards against an instance outside a group whose stop waits for a vote that it does not have.
#[actix_rt::test]
async fn a_blank_instance_stops_at_once() {
    let mut group = Group { alive: Vec::new(), directories: Vec::new() };
    let at = group.start(&[free_addr()]).await;
    let begun = Instant::now();
    group.get(at).unwrap().replica.leave().await;
    assert!(begun.elapsed() < Duration::from_millis(500), "{:?}", begun.elapsed());
    group.stop().await;
}

/// Guards against an instance that stops as the leader, without handing over, because it was chosen as the
/// next leader while it waited for a learner to vote in its place.
#[actix_rt::test]
async fn an_instance_that_stops_does_not_take_over_the_leadership() {
    let mut group = Group::form().await;
    group.wait_for_leader().await;
    let seeds = group.addrs();
    let newcomer = group.start(&seeds).await;
    group.wait_for_standby().await;
    let leader = group.wait_for_leader().await;
    let voters: Vec<&Instance> = group.alive.iter().filter(|i| i.addr != newcomer).collect();
    let stop = async |instance: &Instance| {
        instance.replica.leave().await;
        instance.leads()
    };
    let first = voters.iter().find(|instance| instance.addr == leader).unwrap();
    let others: Vec<&&Instance> =
        voters.iter().filter(|instance| instance.addr != leader).collect();
    let second = others.iter().max_by_key(|instance| instance.id).unwrap();
    let (a, b) = tokio::join!(stop(first), stop(second));
    assert!(!a && !b, "leads at its end: first {a}, second {b}");
    group.stop().await;
}
