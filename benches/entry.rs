//! Measures how many task starts one entry thread carries out, with jobs of 100 tasks and simulated
//! sidecars that complete tasks at once: `cargo bench --bench entry`.
//!
//! Control, sidecars and callers run on threads of their own. The processor time of the entry's
//! thread per task is the figure that does not depend on what else the machine runs.

#[path = "../tests/fake/mod.rs"]
mod fake;

use std::{
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::Relaxed},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use briargauge::protocol::wire::control::Server;

const TASKS_PER_JOB: usize = 100;
/// Number of callers, each of which keeps one job in flight.
const JOBS_IN_FLIGHT: usize = 64;
const SIDECARS: usize = 8;
/// Number of single requests whose response time is measured.
const REQUESTS: usize = 2_000;
const WARM_UP: Duration = Duration::from_secs(1);
const MEASURED: Duration = Duration::from_secs(4);

fn main() {
    let servers: Vec<Server> = (0..SIDECARS / 2).flat_map(|_| start_two_sidecars()).collect();
    let control = start_control(servers);
    let done = Arc::new(AtomicUsize::new(0));
    let done_by_callers = done.clone();
    fake::run(async move {
        let (_entry, addr) = fake::entry(&[control], fake::limits()).await;
        while fake::get(addr, "/health").await.code != 200 {}
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        measure_response_time(addr).await;
        start_callers(addr, done_by_callers);
        actix_rt::time::sleep(WARM_UP).await;
        let (start, jobs, cpu) = (Instant::now(), done.load(Relaxed), thread_time());
        actix_rt::time::sleep(MEASURED).await;
        let tasks = ((done.load(Relaxed) - jobs) * TASKS_PER_JOB) as f64;
        let (wall, cpu) = (start.elapsed().as_secs_f64(), (thread_time() - cpu).as_secs_f64());
        println!(
            "starts_per_s={:.0} starts_per_cpu_s={:.0} us_per_task={:.1} busy={:.2}",
            tasks / wall,
            tasks / cpu,
            cpu * 1e6 / tasks,
            cpu / wall,
        );
        std::process::exit(0);
    });
}

/// Prints the response time of single idempotent requests that another thread sends one after the
/// other.
async fn measure_response_time(addr: SocketAddr) {
    let (send, sorted) = tokio::sync::oneshot::channel();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let client = fake::client();
            let body = r#"{"team":"desk","idempotent":true,"task":{"kind":"quote","input":1}}"#;
            let mut micros = Vec::new();
            for _ in 0..REQUESTS {
                let start = Instant::now();
                let answer = fake::post_by(&client, addr, "/v1/requests", body).await;
                assert_eq!(answer.code, 200, "{}", answer.text);
                micros.push(start.elapsed().as_micros());
            }
            micros.sort_unstable();
            send.send(micros).unwrap();
        });
    });
    let micros = sorted.await.unwrap();
    println!("request_us p50={} p99={}", micros[REQUESTS / 2], micros[REQUESTS * 99 / 100]);
}

/// Processor time that this thread has used.
fn thread_time() -> Duration {
    let stat = fs::read_to_string("/proc/thread-self/schedstat").unwrap();
    Duration::from_nanos(stat.split(' ').next().unwrap().parse().unwrap())
}

/// Starts two sidecars on a new thread.
fn start_two_sidecars() -> Vec<Server> {
    let (send, servers) = mpsc::channel();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let (one, two) =
                (fake::sidecar::Sidecar::start().await, fake::sidecar::Sidecar::start().await);
            send.send(vec![one.as_server_at(one.addr()), two.as_server_at(two.addr())]).unwrap();
            std::future::pending::<()>().await;
        });
    });
    servers.recv().unwrap()
}

/// Starts a control instance on a new thread that reports `servers` to the entry.
fn start_control(servers: Vec<Server>) -> SocketAddr {
    let (send, addr) = mpsc::channel();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let control = fake::control::Control::start().await;
            servers.into_iter().for_each(|server| control.add(server));
            send.send(control.addr()).unwrap();
            std::future::pending::<()>().await;
        });
    });
    addr.recv().unwrap()
}

/// Starts all callers on a new thread; each keeps one job in flight.
fn start_callers(addr: SocketAddr, done: Arc<AtomicUsize>) {
    thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let client = fake::client();
            let callers = (0..JOBS_IN_FLIGHT).map(|caller| {
                let (client, done) = (client.clone(), done.clone());
                async move {
                    for number in 0.. {
                        let body = fake::numbered(&format!("{caller}-{number}"), TASKS_PER_JOB);
                        let call = client.post(format!("http://{addr}/v1/jobs"));
                        let mut response = call.send_body(body.to_string()).await.unwrap();
                        assert_eq!(response.status(), 200, "{:?}", response.body().await);
                        response.body().await.unwrap();
                        done.fetch_add(1, Relaxed);
                    }
                }
            });
            futures::future::join_all(callers).await;
        });
    });
}
