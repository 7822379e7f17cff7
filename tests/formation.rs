//! Formation of a cluster by the first seed: the decision by itself, and replicas over loopback.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::Path,
    process,
    sync::atomic::{AtomicU16, Ordering},
    time::{Duration, Instant},
};

use briargauge::{
    control::replica::{Replica, Settings},
    coordination::formation::{Claim, Formation, Step},
    protocol::{
        id,
        wire::{
            control::{MemberChange, Role},
            peer::{Id, Standing},
        },
    },
    state::origin::Origin,
};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use tempfile::TempDir;
use tokio::time;

/// Time limit for a condition; only reached by a failing test.
const LIMIT: Duration = Duration::from_secs(30);
/// Time in which a founder that hears blank instances decides.
const WATCHED: Duration = Duration::from_millis(8_000);

/// Number of drawn histories.
const HISTORIES: u64 = 20_000;

const FOUNDER: Id = Id { node: id::Node(1), disk: id::Disk(10) };
const LOST: Id = Id { node: id::Node(1), disk: id::Disk(11) };

fn addr(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn other(node: u64) -> Id {
    Id { node: id::Node(node), disk: id::Disk(10 * node) }
}

fn blank(id: Id) -> Standing {
    Standing {
        id,
        cluster: None,
        first_start: true,
        voters: Vec::new(),
        committed_voters: 0,
        members: Vec::new(),
        leads: false,
        has_leader: false,
    }
}

fn member(id: Id, voters: &[Id], has_leader: bool) -> Standing {
    Standing { cluster: Some(7), voters: voters.to_vec(), has_leader, ..blank(id) }
}

/// A founder at address 1 with the seeds at addresses 1 to `seeds`.
fn founder(seeds: u16, voters: usize) -> Formation {
    let seeds: Vec<SocketAddr> = (1..=seeds).map(addr).collect();
    Formation::new(0, FOUNDER, addr(1), &seeds, voters)
}

/// Lets the founder decide every 100 ms from `from` to `to`, each time with these answers, by the port
/// of the instance. Returns when it formed a cluster, and its last decision.
fn decide(
    formation: &mut Formation,
    (from, to): (u64, u64),
    answers: &[(u16, Standing)],
) -> (Option<u64>, Step) {
    let mut last = Step::WaitForSeeds;
    for now in (from..=to).step_by(100) {
        for (at, standing) in answers {
            formation.record(addr(*at), now, standing);
        }
        last = formation.step(now);
        if last == Step::Form {
            return (Some(now), last);
        }
    }
    (None, last)
}

/// Guards against a cluster that is formed although no, or too few, instances have said that they
/// are blank, and against one that is not formed although enough have.
#[test]
fn a_cluster_is_formed_by_a_majority_of_blank_instances() {
    let answers = [(2, blank(other(2))), (3, blank(other(3))), (4, blank(other(4)))];
    let formed = |seeds, voters, answers: &[(u16, Standing)]| {
        decide(&mut founder(seeds, voters), (0, 20_000), answers).0
    };
    assert_eq!(formed(1, 1, &[]), Some(0), "a single instance");
    assert_eq!(formed(1, 3, &[]), None, "a single seed alone, of three voters");
    assert_eq!(formed(1, 3, &answers[1..2]), Some(0), "a single seed, and another instance");
    assert_eq!(formed(3, 3, &answers[..2]), Some(0), "all seeds");
    assert_eq!(formed(3, 3, &answers[..1]), Some(3_000), "one seed of three is silent");
    assert_eq!(formed(3, 3, &[]), None, "two seeds of three are silent");
    assert_eq!(formed(3, 5, &answers[..1]), None, "two of five voters could be lost disks");
    assert_eq!(
        formed(3, 5, &[answers[0].clone(), answers[2].clone()]),
        Some(3_000),
        "three of five"
    );
    let same_node = [(2, blank(other(2))), (4, blank(other(2)))];
    assert_eq!(formed(3, 5, &same_node), None, "one instance at two addresses");
    let own = [(2, blank(FOUNDER)), (3, blank(other(3)))];
    assert_eq!(formed(3, 3, &own), Some(0), "the founder's own second address");
}

/// Guards against a second cluster: one instance that belongs to a cluster must be enough to form none,
/// and for good, although it falls silent later, answers late, or others restart.
#[test]
fn a_member_is_a_veto() {
    let voters = [LOST, other(2), other(3)];
    for voter in [member(other(2), &voters, true), member(other(2), &voters, false)] {
        let mut formation = founder(3, 3);
        let first = decide(&mut formation, (0, 100), &[(2, voter)]);
        assert_eq!(first, (None, Step::WaitForMembers));
        let later = decide(&mut formation, (200, 20_000), &[(3, blank(other(3)))]);
        assert_eq!(later, (None, Step::WaitForMembers));
    }
    let mut formation = founder(3, 3);
    formation.record(addr(2), 500, &blank(other(2)));
    formation.record(addr(2), 100, &member(other(2), &[], false));
    let late = decide(&mut formation, (600, 20_000), &[(3, blank(other(3)))]);
    assert_eq!(late, (None, Step::WaitForMembers), "an answer that was overtaken");
    let mut formation = founder(3, 3);
    formation.record(addr(2), 100, &member(other(2), &voters, true));
    let wiped =
        decide(&mut formation, (200, 20_000), &[(2, blank(other(2))), (3, blank(other(3)))]);
    assert_eq!(wiped, (None, Step::WaitForMembers), "its disk was lost, and its cluster may live");
    let restarted = Standing { first_start: false, ..blank(other(2)) };
    let mut formation = founder(3, 3);
    let lost = decide(&mut formation, (0, 20_000), &[(2, restarted)]);
    assert_eq!(lost, (None, Step::WaitForMajority), "a blank instance that has started before");
}

/// Guards against a first start that never succeeds because an instance was being added to a cluster
/// that ended with the founder's own disk, and against overlooking that the cluster lives.
#[test]
fn a_learner_of_a_lost_single_voter_is_no_veto() {
    let claim = |standing| founder(3, 3).record(addr(2), 0, &standing);
    assert_eq!(claim(member(other(2), &[LOST], false)), Some(Claim::Abandoned));
    assert_eq!(claim(member(other(2), &[LOST], true)), Some(Claim::Member), "it has a leader");
    assert_eq!(claim(member(other(2), &[LOST, other(2)], false)), Some(Claim::Member));
    assert_eq!(claim(member(other(2), &[LOST, other(3)], false)), Some(Claim::Member));
    assert_eq!(claim(member(LOST, &[LOST], false)), Some(Claim::Member), "the voter itself");
    assert_eq!(claim(member(other(2), &[], false)), Some(Claim::Member), "an empty log");
    let answers = [(2, member(other(2), &[LOST], false)), (3, blank(other(3)))];
    let formed = decide(&mut founder(3, 3), (0, 20_000), &answers);
    assert_eq!(formed, (Some(3_000), Step::Form));
}

/// Guards against a decision by answers from before a pause of the founder, and against one right after
/// it, before the others could be heard.
#[test]
fn a_pause_of_the_founder_starts_the_wait_again() {
    let answers = [(2, blank(other(2)))];
    let mut formation = founder(3, 3);
    assert_eq!(decide(&mut formation, (0, 1_000), &answers).0, None);
    assert_eq!(formation.step(10_000), Step::WaitForMajority, "the answers are outdated");
    assert_eq!(decide(&mut formation, (10_100, 20_000), &answers).0, Some(13_000));
}

/// Interval at which simulated instances ask and decide, in ms.
const TICK_MS: u64 = 75;
/// Number of ticks in which something happens to the instances.
const EVENT_TICKS: u64 = 80;
/// Longest pause, or time without the process, in ticks.
const LENGTH_MAX_TICKS: u64 = 60;
/// Number of ticks after the last pause until a cluster must have been formed: 4.5 s.
const QUIET_TICKS: u64 = 60;

/// A control instance of a simulated first start, without its consensus.
#[derive(Debug, Clone)]
struct Simulated {
    id: Id,
    origin: Option<Origin>,
    member: bool,
    /// Tick at which the process starts.
    starts: u64,
    /// Tick until which the running process is suspended.
    suspended: u64,
    first_start: bool,
    running: bool,
}

/// What happens to an instance at a tick.
#[derive(Debug, Clone, Copy)]
struct Event {
    tick: u64,
    instance: usize,
    kind: Kind,
    /// Length of a pause or of the time until the process starts again, in ticks.
    length: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// The process ends, and starts again with settings of a first start or others.
    Restart {
        first_start: bool,
    },
    Suspend,
    LoseDisk,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Event {
        let first_start = bool::arbitrary(g);
        let restart = Kind::Restart { first_start };
        Event {
            tick: u64::arbitrary(g) % EVENT_TICKS,
            instance: usize::arbitrary(g),
            kind: *g.choose(&[restart, restart, Kind::Suspend, Kind::LoseDisk]).unwrap(),
            length: u64::arbitrary(g) % LENGTH_MAX_TICKS,
        }
    }
}

/// Plays a first start of `voters` instances, three of which are seeds. At most `losses` of them lose
/// their disks. Returns the number of clusters formed, and which instances kept their disks.
fn first_start(
    voters: usize,
    losses: usize,
    starts: &[u8],
    events: &[Event],
) -> (usize, Vec<bool>) {
    let seeds: Vec<SocketAddr> = (0..3).map(addr).collect();
    let instance = |number: usize| Simulated {
        id: other(number as u64 + 1),
        origin: None,
        member: false,
        starts: starts.get(number).map_or(0, |start| u64::from(*start) % 5),
        suspended: 0,
        first_start: true,
        running: false,
    };
    let mut instances: Vec<Simulated> = (0..voters).map(instance).collect();
    let mut formations: Vec<Option<Formation>> = (0..voters).map(|_| None).collect();
    let mut kept = vec![true; voters];
    let mut formed = 0;
    for tick in 0..EVENT_TICKS + LENGTH_MAX_TICKS + QUIET_TICKS {
        let now = tick * TICK_MS;
        for event in events.iter().filter(|event| event.tick == tick) {
            let at = event.instance % voters;
            let hit = &mut instances[at];
            let lost = kept.iter().filter(|kept| !**kept).count();
            match event.kind {
                Kind::Suspend => hit.suspended = hit.suspended.max(tick + event.length),
                Kind::LoseDisk if kept[at] && lost >= losses => {}
                // Nothing is stored by a process that has not started.
                _ if !hit.running && !matches!(event.kind, Kind::LoseDisk) => {}
                kind => {
                    hit.running = false;
                    hit.starts = tick + 1 + event.length;
                    hit.first_start = kept[at] && kind == Kind::Restart { first_start: true };
                    formations[at] = None;
                    if kind == Kind::LoseDisk {
                        let disk = id::Disk(hit.id.disk.0 + 1);
                        hit.id = Id { disk, ..hit.id };
                        (hit.origin, hit.member, kept[at]) = (None, false, false);
                    }
                }
            }
        }
        for at in 0..voters {
            let starting = &mut instances[at];
            if !starting.running && starting.starts <= tick {
                starting.running = true;
                let mut listed = seeds.clone();
                if !starting.first_start {
                    listed.rotate_left(at % 3);
                }
                let stored = starting.origin.take();
                starting.origin = Origin::at_start(stored, starting.first_start, &listed);
                let origin = starting.origin.as_ref().filter(|_| !starting.member);
                let own = addr(at as u16);
                formations[at] = origin
                    .filter(|origin| origin.seeds.first() == Some(&own))
                    .map(|origin| Formation::new(now, starting.id, own, &origin.seeds, voters));
            }
        }
        let answers: Vec<(usize, Standing)> = instances
            .iter()
            .enumerate()
            .filter(|(_, asked)| asked.running && asked.suspended <= tick)
            .map(|(at, asked)| {
                let standing = match asked.member {
                    true => member(asked.id, &[asked.id], true),
                    false => blank(asked.id),
                };
                (at, Standing { first_start: asked.origin.is_some(), ..standing })
            })
            .collect();
        for at in 0..voters {
            if !instances[at].running || instances[at].suspended > tick {
                continue;
            }
            if let Some(formation) = &mut formations[at] {
                for (from, standing) in answers.iter().filter(|(from, _)| *from != at) {
                    formation.record(addr(*from as u16), now, standing);
                }
                if formation.step(now) == Step::Form {
                    formations[at] = None;
                    instances[at].member = true;
                    formed += 1;
                }
            } else if !instances[at].member && (tick + at as u64).is_multiple_of(4) {
                // It is added by the leader, if that is there.
                instances[at].member =
                    answers.iter().any(|(_, standing)| standing.cluster.is_some());
            }
        }
    }
    (formed, kept)
}

/// Guards against two clusters, and against a first start without any although the first seed and enough
/// others keep their disks, in drawn histories of restarts, suspended processes and lost disks.
#[test]
fn drawn_first_starts_form_one_cluster() {
    fn holds(five: bool, starts: Vec<u8>, events: Vec<Event>) -> TestResult {
        let (voters, losses) = if five { (5, 2) } else { (3, 1) };
        let (formed, kept) = first_start(voters, losses, &starts, &events);
        // Without the first seed's disk, or with it and no other seed's, none may be formed.
        let must_form = kept[0] && (kept[1] || kept[2]);
        match formed == 1 || (formed == 0 && !must_form) {
            true => TestResult::passed(),
            false => TestResult::error(format!("formed={formed} kept={kept:?}")),
        }
    }
    QuickCheck::new()
        .tests(HISTORIES)
        .max_tests(2 * HISTORIES)
        .quickcheck(holds as fn(bool, Vec<u8>, Vec<Event>) -> TestResult);
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

fn settings(node: u64, at: SocketAddr, directory: &Path, seeds: &[SocketAddr]) -> Settings {
    Settings {
        peers: seeds.to_vec(),
        first_start: true,
        client_addr: SocketAddr::from(([127, 0, 0, 2], at.port())),
        ..Settings::new(id::Node(node), at, directory.to_path_buf())
    }
}

/// Waits until `condition` holds; panics after [`LIMIT`].
async fn until(what: &str, condition: impl Fn() -> bool) {
    let holds = async {
        while !condition() {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    time::timeout(LIMIT, holds)
        .await
        .unwrap_or_else(|_| panic!("not met within {LIMIT:?}: {what}"));
}

async fn add(leader: &Replica, added: &Replica) {
    let addr = added.peer_addr().unwrap();
    let limit = Instant::now() + LIMIT;
    while leader.change_members(MemberChange::Add { addr }).await.is_err() {
        assert!(Instant::now() < limit, "no instance was added");
        time::sleep(Duration::from_millis(5)).await;
    }
    let node = added.status().node;
    let votes = || leader.status().members.iter().any(|member| member.node == node && member.votes);
    until("the added instance votes", votes).await;
}

/// Guards against a second cluster by the word of seeds that are no members: two other instances are
/// the voters, and the seeds know of the cluster only by asking. They keep it over a restart.
#[actix_rt::test]
async fn seeds_that_are_no_members_know_the_cluster() {
    let directories: Vec<TempDir> = (0..6).map(|_| TempDir::new().unwrap()).collect();
    let addrs: Vec<SocketAddr> = (0..5).map(|_| free_addr()).collect();
    let seeds = &addrs[..3];
    let start = async |number: usize, directory: usize| {
        let directory = directories[directory].path();
        Replica::start(settings(number as u64, addrs[number], directory, seeds)).await.unwrap()
    };
    let mut replicas = Vec::new();
    for number in 0..5 {
        replicas.push(start(number, number).await);
    }
    until("the first seed leads", || replicas[0].leading().is_some()).await;
    add(&replicas[0], &replicas[3]).await;
    add(&replicas[0], &replicas[4]).await;
    let is_blank = |replica: &Replica| matches!(replica.status().role, Role::Blank);
    for seed in &replicas[1..3] {
        until("a seed has heard of the cluster", || !is_blank(seed)).await;
        assert!(seed.init().await.is_err(), "an operator's command would form a second cluster");
    }
    for replica in &replicas {
        replica.stop().await;
    }
    let seeds = [start(1, 1).await, start(2, 2).await];
    let founder = start(0, 5).await;
    let end = Instant::now() + WATCHED;
    while Instant::now() < end {
        assert_eq!(founder.leading(), None, "a second cluster");
        time::sleep(Duration::from_millis(20)).await;
    }
    for replica in seeds.iter().chain([&founder]) {
        replica.stop().await;
    }
}

/// Guards against a system that never starts because the first seed lost its disk right after it had
/// formed the cluster. Nothing but that disk belonged to the cluster, so another one is formed.
#[actix_rt::test]
async fn a_first_seed_that_lost_its_disk_at_once_forms_a_cluster_again() {
    let directories: Vec<TempDir> = (0..4).map(|_| TempDir::new().unwrap()).collect();
    let seeds: Vec<SocketAddr> = (0..3).map(|_| free_addr()).collect();
    let start = async |number: usize, directory: usize| {
        let directory = directories[directory].path();
        Replica::start(settings(number as u64, seeds[number], directory, &seeds)).await.unwrap()
    };
    let founder = start(0, 0).await;
    let others = [start(1, 1).await, start(2, 2).await];
    until("the first seed leads", || founder.leading().is_some()).await;
    founder.stop().await;
    let founder = start(0, 3).await;
    until("the first seed leads again", || founder.leading().is_some()).await;
    for other in &others {
        add(&founder, other).await;
    }
    for replica in others.iter().chain([&founder]) {
        replica.stop().await;
    }
}

/// Starts three seeds at their addresses and lets those of `before` restart before all of them run.
/// Restarted ones have settings that say that this is no first start, and list the seeds in another
/// order. Returns the clusters to which the seeds belong in the end.
async fn clusters_after_early_restarts(before: &[usize]) -> Vec<id::Cluster> {
    let directories: Vec<TempDir> = (0..3).map(|_| TempDir::new().unwrap()).collect();
    let seeds: Vec<SocketAddr> = (0..3).map(|_| free_addr()).collect();
    let start = async |number: usize, first_start: bool| {
        let directory = directories[number].path();
        let mut listed = seeds.clone();
        if !first_start {
            listed.rotate_left(number);
        }
        let settings = settings(number as u64, seeds[number], directory, &listed);
        Replica::start(Settings { first_start, ..settings }).await.unwrap()
    };
    for number in before {
        start(*number, true).await.stop().await;
    }
    let mut replicas = Vec::new();
    for number in 0..3 {
        replicas.push(start(number, !before.contains(&number)).await);
    }
    let leads = |replica: &Replica| replica.leading().is_some();
    until("a seed leads", || replicas.iter().any(leads)).await;
    let leader = replicas.iter().find(|replica| leads(replica)).unwrap();
    for other in &replicas {
        if other.peer_addr() != leader.peer_addr() {
            add(leader, other).await;
        }
    }
    let clusters = replicas.iter().filter_map(Replica::cluster).collect();
    for replica in &replicas {
        replica.stop().await;
    }
    clusters
}

/// Guards against a system that never starts because seeds restart before the cluster is formed: their
/// settings then say that this is no first start, and their disks are still those of it.
#[actix_rt::test]
async fn seeds_that_restart_before_the_formation_do_not_prevent_it() {
    for before in [&[0][..], &[1, 2], &[0, 1], &[0, 1, 2]] {
        let clusters = clusters_after_early_restarts(before).await;
        assert_eq!(clusters, [clusters[0]; 3], "restarted before: {before:?}");
    }
}

/// Guards against a cluster formed by disks that may have been lost: neither a first seed nor others
/// whose folders were emptied form one, unless their settings are those of a first start.
#[actix_rt::test]
async fn emptied_folders_of_a_later_start_form_no_cluster() {
    let directories: Vec<TempDir> = (0..3).map(|_| TempDir::new().unwrap()).collect();
    let seeds: Vec<SocketAddr> = (0..3).map(|_| free_addr()).collect();
    for lost in [&[0][..], &[1, 2]] {
        let mut replicas = Vec::new();
        for number in 0..3 {
            let directory = directories[number].path();
            if lost.contains(&number) {
                fs::remove_dir_all(directory).unwrap();
            }
            let first_start = !lost.contains(&number);
            let settings = settings(number as u64, seeds[number], directory, &seeds);
            let settings = Settings { first_start, ..settings };
            replicas.push(Replica::start(settings).await.unwrap());
        }
        let end = Instant::now() + WATCHED;
        while Instant::now() < end {
            assert!(replicas.iter().all(|replica| replica.cluster().is_none()), "{lost:?}");
            time::sleep(Duration::from_millis(20)).await;
        }
        for replica in &replicas {
            replica.stop().await;
        }
    }
}

/// Guards against a system that never starts because the first seed lost its disk before the group had
/// other voters, and restarts with settings that say that this is no first start.
#[actix_rt::test]
#[ignore = "known_red"]
async fn a_first_seed_whose_disk_is_lost_early_does_not_stop_the_system() {
    let directories: Vec<TempDir> = (0..4).map(|_| TempDir::new().unwrap()).collect();
    let seeds: Vec<SocketAddr> = (0..3).map(|_| free_addr()).collect();
    let start = async |number: usize, directory: usize, first_start: bool| {
        let directory = directories[directory].path();
        let settings = settings(number as u64, seeds[number], directory, &seeds);
        Replica::start(Settings { first_start, ..settings }).await.unwrap()
    };
    let founder = start(0, 0, true).await;
    let others = [start(1, 1, true).await, start(2, 2, true).await];
    until("the first seed leads", || founder.leading().is_some()).await;
    founder.stop().await;
    let founder = start(0, 3, false).await;
    let leads = |replica: &Replica| replica.leading().is_some();
    until("a seed leads", || leads(&founder) || others.iter().any(leads)).await;
    for replica in others.iter().chain([&founder]) {
        replica.stop().await;
    }
}

/// Guards against a second cluster by the word of the founder's own empty disk: it loses its disk, keeps
/// the settings of the first start, the only other voter is silent, and the third seed starts late.
#[actix_rt::test]
#[ignore = "known_red"]
async fn a_founder_without_its_disk_and_a_late_seed_form_no_second_cluster() {
    let directories: Vec<TempDir> = (0..4).map(|_| TempDir::new().unwrap()).collect();
    let seeds: Vec<SocketAddr> = (0..3).map(|_| free_addr()).collect();
    let start = async |number: usize, directory: usize| {
        let directory = directories[directory].path();
        Replica::start(settings(number as u64, seeds[number], directory, &seeds)).await.unwrap()
    };
    let founder = start(0, 0).await;
    let voter = start(1, 1).await;
    until("the first seed leads", || founder.leading().is_some()).await;
    add(&founder, &voter).await;
    founder.stop().await;
    voter.stop().await;
    let founder = start(0, 3).await;
    let late = start(2, 2).await;
    let end = Instant::now() + WATCHED;
    while Instant::now() < end {
        assert_eq!(founder.cluster(), None, "a second cluster");
        time::sleep(Duration::from_millis(20)).await;
    }
    for replica in [&founder, &late] {
        replica.stop().await;
    }
}

/// Guards against a blank instance that is bound to a foreign cluster, because a member of that cluster
/// has lost its leader and still asks at an address that the blank instance has taken over.
#[actix_rt::test]
async fn a_blank_instance_ignores_a_cluster_that_is_not_its_seeds() {
    let directories: Vec<TempDir> = (0..3).map(|_| TempDir::new().unwrap()).collect();
    let addrs: Vec<SocketAddr> = (0..3).map(|_| free_addr()).collect();
    let start = async |number: usize, seeds: &[SocketAddr]| {
        let settings = settings(number as u64, addrs[number], directories[number].path(), seeds);
        Replica::start(settings).await.unwrap()
    };
    let foreign = [start(0, &addrs).await, start(1, &addrs).await];
    foreign[0].init().await.unwrap();
    add(&foreign[0], &foreign[1]).await;
    // Until the other voter knows that its vote is committed.
    time::sleep(Duration::from_millis(500)).await;
    foreign[0].stop().await;
    let blank = start(2, &[]).await;
    let end = Instant::now() + Duration::from_secs(2);
    while Instant::now() < end {
        assert!(matches!(blank.status().role, Role::Blank), "{:?}", blank.status());
        time::sleep(Duration::from_millis(20)).await;
    }
    foreign[1].stop().await;
    blank.stop().await;
}
