//! Measures the replicated log and prints one `key=value` line per figure: `cargo bench --bench
//! control`. Takes no arguments.
//!
//! The figures depend on how long the disk under the temporary directory takes to sync a write;
//! `sync_us` gives that time for comparison.

use std::{
    fs,
    io::Write,
    net::SocketAddr,
    path::Path,
    time::{Duration, Instant},
};

use briargauge::{
    control::replica::{Replica, Settings},
    protocol::{
        id,
        wire::control::{self, MemberChange},
    },
    state::machine::{Command, Op, Reply},
};
use futures::stream::{self, StreamExt};
use hdrhistogram::Histogram;
use tempfile::TempDir;
use tokio::time;

/// Number of admissions in the measurement of throughput.
const ADMISSIONS: u64 = 50_000;
/// Number of these that are in flight at a time.
const CONCURRENT: usize = 1_000;
/// Number of admissions one after the other, in the measurement of latency.
const SEQUENTIAL: u64 = 500;
const FAILOVERS: usize = 10;
const POLL: Duration = Duration::from_millis(1);

#[actix_rt::main]
async fn main() {
    // `cargo test` runs benches as well; there is nothing to check here.
    if std::env::args().all(|arg| arg != "--bench") {
        return;
    }
    println!("sync_us={}", sync_us());
    measure_group().await;
    for changes in [1_000, 100_000] {
        measure_restart(changes).await;
    }
}

/// Median time in µs of a write of 256 bytes with a sync.
fn sync_us() -> u128 {
    let dir = TempDir::new().expect("a temporary directory is created");
    let mut file = fs::File::create(dir.path().join("probe")).expect("probe file");
    let mut times: Vec<u128> = (0..200)
        .map(|_| {
            let start = Instant::now();
            file.write_all(&[0; 256]).and_then(|()| file.sync_data()).expect("probe write");
            start.elapsed().as_micros()
        })
        .collect();
    times.sort_unstable();
    times[times.len() / 2]
}

/// Measures latency, throughput and failover of three replicas on loopback.
async fn measure_group() {
    let mut dirs: Vec<TempDir> =
        (0..3).map(|_| TempDir::new().expect("a temporary directory is created")).collect();
    let mut replicas = vec![start(0, dirs[0].path(), &[]).await];
    replicas[0].init().await.expect("init");
    let peers = [replicas[0].peer_addr().expect("listens")];
    for (node, dir) in dirs.iter().enumerate().skip(1) {
        replicas.push(start(node as u64, dir.path(), &peers).await);
        let addr = client_addr(node as u64);
        replicas[0].change_members(MemberChange::Add { addr }).await.expect("add");
    }
    while replicas[0].status().members.iter().filter(|v| v.votes).count() < 3 {
        time::sleep(POLL).await;
    }
    let epoch = register(&replicas[0]).await;
    let mut latency = Histogram::<u64>::new(3).expect("valid precision");
    for number in 0..SEQUENTIAL {
        let sent = Instant::now();
        replicas[0].propose(admit(epoch, number)).await.expect("admitted");
        latency.saturating_record(sent.elapsed().as_micros() as u64);
    }
    println!("admission_p50_us={}", latency.value_at_quantile(0.5));
    println!("admission_p99_us={}", latency.value_at_quantile(0.99));
    let bytes = log_bytes(dirs[0].path());
    let started = Instant::now();
    admit_all(&replicas[0], epoch, SEQUENTIAL..SEQUENTIAL + ADMISSIONS).await;
    let elapsed = started.elapsed().as_secs_f64();
    println!("admissions_per_s={:.0}", ADMISSIONS as f64 / elapsed);
    let grown = log_bytes(dirs[0].path()).saturating_sub(bytes);
    println!("log_bytes_per_admission={:.0}", grown as f64 / ADMISSIONS as f64);
    measure_failovers(&mut replicas, &mut dirs).await;
    for replica in &replicas {
        replica.stop().await;
    }
}

/// Prints the time from the stop of a leader until another replica leads and passes a barrier.
async fn measure_failovers(replicas: &mut [Replica], dirs: &mut [TempDir]) {
    let mut gaps = Vec::new();
    for _ in 0..FAILOVERS {
        let old = loop {
            match replicas.iter().position(|r| r.leading().is_some()) {
                Some(at) => break at,
                None => time::sleep(POLL).await,
            }
        };
        replicas[old].stop().await;
        let stopped = Instant::now();
        loop {
            let next = replicas.iter().find(|r| r.leading().is_some());
            if let Some(next) = next
                && next.barrier().await.is_ok()
            {
                break;
            }
            time::sleep(POLL).await;
        }
        gaps.push(stopped.elapsed().as_millis());
        let others = (0..3).filter(|other| *other != old);
        let peers: Vec<SocketAddr> =
            others.map(|other| replicas[other].peer_addr().expect("listens")).collect();
        replicas[old] = start(old as u64, dirs[old].path(), &peers).await;
        time::sleep(Duration::from_secs(1)).await;
    }
    gaps.sort_unstable();
    println!("failover_ms_median={}", gaps[gaps.len() / 2]);
    println!("failover_ms_max={}", gaps[gaps.len() - 1]);
}

/// Prints how long a single replica takes from its start to its first barrier, with the given
/// number of admissions in its log, and the time and size of a snapshot.
async fn measure_restart(changes: u64) {
    let dir = TempDir::new().expect("a temporary directory is created");
    let replica = start(0, dir.path(), &[]).await;
    replica.init().await.expect("init");
    let epoch = register(&replica).await;
    admit_all(&replica, epoch, 0..changes).await;
    replica.stop().await;
    let started = Instant::now();
    let replica = start(0, dir.path(), &[]).await;
    while replica.barrier().await.is_err() {
        time::sleep(POLL).await;
    }
    println!("restart_after_{changes}_ms={}", started.elapsed().as_millis());
    let started = Instant::now();
    let bytes = postcard::to_stdvec(&*replica.state()).expect("states serialise").len();
    println!("snapshot_after_{changes}_us={}", started.elapsed().as_micros());
    println!("snapshot_after_{changes}_bytes={bytes}");
    replica.stop().await;
}

async fn start(node: u64, dir: &Path, peers: &[SocketAddr]) -> Replica {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut settings = Settings::new(id::Node(node), any_port, dir.to_path_buf());
    settings.peers = peers.to_vec();
    settings.client_addr = client_addr(node);
    Replica::start(settings).await.expect("replica starts")
}

fn client_addr(node: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + node as u16))
}

async fn register(replica: &Replica) -> id::Epoch {
    let addr = client_addr(99);
    let hello = control::Hello { addr, data_centre: "saga".to_owned(), start: 1 };
    match replica.propose(Command { now_ms: 1, op: Op::Register(hello) }).await {
        Ok(Reply::Registered(epoch)) => epoch,
        other => panic!("{other:?}"),
    }
}

async fn admit_all(replica: &Replica, epoch: id::Epoch, numbers: std::ops::Range<u64>) {
    stream::iter(numbers)
        .map(|number| replica.propose(admit(epoch, number)))
        .buffer_unordered(CONCURRENT)
        .for_each(async |reply| drop(reply.expect("admitted")))
        .await;
}

fn admit(epoch: id::Epoch, number: u64) -> Command {
    let key = id::Key {
        account: id::Account("repair-desk".to_owned()),
        key: format!("order-{number:08}"),
    };
    let admit = control::Admit {
        execution: id::Execution { epoch, seq: number },
        key,
        digest: [7; 32],
        created_at_ms: 1,
        tasks: 100,
    };
    Command { now_ms: 1, op: Op::Admit(admit) }
}

/// Size of all log files in a data directory.
fn log_bytes(dir: &Path) -> u64 {
    let files = fs::read_dir(dir)
        .expect("the directory is readable")
        .map(|entry| entry.expect("the entry is readable"));
    let logs = files.filter(|entry| entry.path().extension().is_some_and(|e| e == "log"));
    logs.map(|entry| entry.metadata().expect("metadata").len()).sum()
}
