//! The cases.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::Channel,
    record::Record,
    runner::Run,
    system::{self, Role, Shape, System, job_id},
};

/// The broken rule as it was seen, or `None` if the rule held.
type Outcome = Result<Option<String>, String>;

const CANCEL_MS: u64 = 3_000;
const DRAIN_MS: u64 = 2_000;
const RETRY_MS: u64 = 1_300;
const GRACE_MS: u64 = 6_000;
/// Deadline of the clients and timeout of the route.
const DEADLINE_MS: u64 = 1_500;
const FINISH_S: u64 = 14;
const RECOVERY_S: u64 = 12;

pub fn run(case: &str, record: &Record, trouble: bool) -> Outcome {
    match case {
        "successor" => successor(record, trouble),
        "late-transient" => late_transient(record, trouble),
        "late-start" => late_start(record, trouble),
        "many-ends" => many_ends(record, trouble),
        "late-request" => late_request(record, trouble),
        "canceled-copy" => canceled_copy(record, trouble),
        "drain" => drain(record, trouble),
        "cuts" => cuts(record, trouble),
        "suspects" => suspects(record, trouble),
        _ => Err("no such case".to_owned()),
    }
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Waits until `done`, at most for `limit_ms`. Returns whether it is.
fn wait_for(limit_ms: u64, done: impl Fn() -> bool) -> bool {
    let end = Instant::now() + Duration::from_millis(limit_ms);
    while !done() {
        if Instant::now() > end {
            return false;
        }
        sleep_ms(2);
    }
    true
}

fn job(spec: &str, step: &str, more: &str) -> String {
    format!("{{\"spec\":\"{spec}\",\"steps\":[{{{step}}}]{more}}}")
}

/// One control instance is replaced by a new one, whose settings name other seeds than the leader.
/// Later two others lose their disks. CONFIG: read back at the end, the config doesn't come.
fn successor(record: &Record, trouble: bool) -> Outcome {
    let shape = Shape { cores: 5, entries: 1, runners: vec![16_000] };
    let mut system = System::start(record, shape)?;
    // The first seed has formed the group and leads it.
    let (replaced, successor, lost) = (2, 5, [3, 4]);
    let mut cores = vec![0, 1, replaced, 3, 4];
    if trouble {
        system.signal(Role::Control, replaced, "-KILL");
        system.wait(Role::Control, replaced);
        sleep_ms(1_000);
        system.seeds = vec![1, 3, 4];
        record.add(
            "platform: a new instance with an empty disk at another address, seeds 1, 3 and 4",
        );
        system.spawn(Role::Control, successor, false)?;
        cores[2] = successor;
    }
    sleep_ms(24_000);
    if !system.configure(&cores, 2, Duration::from_secs(5)) {
        return Err("the config was not acknowledged".to_owned());
    }
    // The final fault: all processes end, and two disks are lost.
    for core in &cores {
        system.signal(Role::Control, *core, "-KILL");
        system.wait(Role::Control, *core);
    }
    lost.iter().for_each(|core| system.wipe(*core));
    sleep_ms(1_000);
    for core in &cores {
        system.spawn(Role::Control, *core, false)?;
    }
    // `recoveryS`, and then `contactMs` and more for the reading.
    sleep_ms(RECOVERY_S * 1_000);
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end {
        for core in &cores {
            let answer = system.operate(*core, "GET", "").filter(|answer| answer.status() == 200);
            let version =
                answer.and_then(|answer| crate::json::parse(&answer.body)?.number("version"));
            match version {
                Some(2) => return Ok(None),
                Some(other) => {
                    return Ok(Some(format!(
                        "CONFIG: version {other} is read back, 2 was acknowledged"
                    )));
                }
                None => sleep_ms(200),
            }
        }
    }
    Ok(Some("CONFIG: version 2 was acknowledged, and no config is read back 12 to 32 s after the machines are back".to_owned()))
}

/// The process of a sidecar is killed and started again while its runner holds more than 500 ends.
/// TWICE: a start after a run has ended `done`, if that end is taken note of later.
fn many_ends(record: &Record, trouble: bool) -> Outcome {
    const TASKS: usize = 980;
    let shape = Shape { cores: 5, entries: 1, runners: vec![64_000; 6] };
    let mut system = System::start(record, shape)?;
    // The runner that ends a task sooner than declared gets the next ones.
    let step = "\"replicas\":1,\"cpu\":50,\"memMb\":64,\"estRuntimeMs\":200";
    if !system.submit(0, &job_id(0), &job("run_ms=20", step, "")) {
        return Err("a job was not accepted".to_owned());
    }
    wait_for(3_000, || system.runs().iter().any(|run| run.ended.is_some()));
    let at = system.runners.iter().position(|runner| !runner.runs().is_empty());
    let at = at.ok_or("no runner ran the first job")?;
    let runner = system.runners[at].clone();
    wait_for(3_000, || runner.until_beat() < Duration::from_millis(300));
    wait_for(3_000, || runner.until_beat() > Duration::from_millis(1_480));
    // Two jobs with tasks of a twentieth of a core, for which that runner has the room.
    let step = "\"replicas\":490,\"cpu\":50,\"memMb\":64,\"estRuntimeMs\":900";
    for number in 1..3 {
        if !system.submit(0, &job_id(number), &job("run_ms=900", step, "")) {
            return Err("a job was not accepted".to_owned());
        }
    }
    wait_for(3_000, || runner.runs().len() > TASKS);
    let (active, left) = (runner.active(), runner.until_beat().as_millis());
    record.add(format!("running: {active}; the next report of {at} comes in {left} ms"));
    if trouble {
        wait_for(2_000, || runner.unacknowledged() > 0 || runner.active() < TASKS);
        system.signal(Role::Sidecar, at, "-KILL");
        system.wait(Role::Sidecar, at);
        sleep_ms(100);
        system.spawn(Role::Sidecar, at, false)?;
    }
    wait_for(15_000, || {
        sleep_ms(200);
        (1..3).all(|number| system.state(0, &job_id(number)).as_deref() == Some("completed"))
    });
    sleep_ms(2_000);
    Ok(twice(record, &system.runs()))
}

/// Starts after a run of the same task has ended `done`, and ends that are taken note of.
fn twice(record: &Record, runs: &[Run]) -> Option<String> {
    let mut broken = 0;
    for first in runs {
        let Some((ended, "done")) = first.ended else { continue };
        if first.noted.is_none() || first.lapsed {
            continue;
        }
        for again in runs.iter().filter(|again| again.task == first.task && again.started > ended) {
            broken += 1;
            if broken <= 10 {
                record.add(format!(
                    "twice: {} run {} ended done at {ended}, noted at {:?}; run {} started at {}",
                    first.task, first.run, first.noted, again.run, again.started
                ));
            }
        }
    }
    (broken > 0).then(|| format!("TWICE: {broken} starts after a run of the task had ended done"))
}

/// A start gets no answer and is carried out late, and the sidecar that has sent it freezes. TWICE: two
/// runs of the task at the same time.
fn late_start(record: &Record, trouble: bool) -> Outcome {
    let shape = Shape { cores: 5, entries: 1, runners: vec![16_000; 7] };
    let system = System::start(record, shape)?;
    // Other orders: of all of them, one is carried out late.
    let step = "\"replicas\":4,\"cpu\":500,\"memMb\":64,\"estRuntimeMs\":60";
    for number in 0..10 {
        if !system.submit(0, &job_id(number), &job("run_ms=60", step, "")) {
            return Err("a job was not accepted".to_owned());
        }
        sleep_ms(100);
    }
    sleep_ms(500);
    if trouble {
        system.runners.iter().for_each(|runner| runner.set_late(Some(5_000)));
    }
    let step = "\"replicas\":1,\"cpu\":500,\"memMb\":64,\"estRuntimeMs\":3500";
    let id = job_id(100);
    if !system.submit(0, &id, &job("run_ms=3500", step, "")) {
        return Err("the job was not accepted".to_owned());
    }
    if trouble {
        let late = || system.runners.iter().position(|runner| runner.late() > 0);
        wait_for(2_000, || late().is_some());
        let at = late().ok_or("no start came")?;
        system.signal(Role::Sidecar, at, "-STOP");
        system.runners.iter().for_each(|runner| runner.set_late(None));
        sleep_ms(6_700);
        system.signal(Role::Sidecar, at, "-CONT");
    }
    sleep_ms(8_000);
    system.state(0, &id);
    Ok(both_at_once(&system.runs(), &id))
}

/// Two runs of one task of a job at the same time.
fn both_at_once(runs: &[Run], id: &str) -> Option<String> {
    let end = |run: &Run| run.ended.map_or(u64::MAX, |(at, _)| at);
    for (at, first) in runs.iter().enumerate().filter(|(_, run)| run.task.starts_with(id)) {
        for second in runs[at + 1..].iter().filter(|second| second.task == first.task) {
            let both = end(first).min(end(second)).saturating_sub(second.started);
            if both > 0 && second.started < end(first) {
                let Run { task, run, runner, .. } = first;
                return Some(format!(
                    "TWICE: {task} runs on {runner} (run {run}) and on {} (run {}) at the same time for {both} ms",
                    second.runner, second.run
                ));
            }
        }
    }
    None
}

/// As `late_start`, for a job that need not be kept: its client sends it again at another entry.
fn late_transient(record: &Record, trouble: bool) -> Outcome {
    let shape = Shape { cores: 5, entries: 2, runners: vec![16_000; 7] };
    let system = System::start(record, shape)?;
    let step = "\"replicas\":4,\"cpu\":500,\"memMb\":64,\"estRuntimeMs\":60";
    for number in 0..10 {
        system.submit(0, &job_id(number), &job("run_ms=60", step, ",\"bestEffort\":true"));
    }
    if trouble {
        system.runners.iter().for_each(|runner| runner.set_late(Some(3_200)));
    }
    let step = "\"replicas\":1,\"cpu\":500,\"memMb\":64,\"estRuntimeMs\":900";
    let body = job("run_ms=900", step, ",\"bestEffort\":true");
    let id = job_id(100);
    thread::scope(|scope| {
        let first = scope.spawn(|| system.client(0, "POST", &id, 1_500, &body));
        if trouble {
            let late = || system.runners.iter().position(|runner| runner.late() > 0);
            wait_for(1_000, || late().is_some());
            let at = late();
            if let Some(at) = at {
                system.signal(Role::Sidecar, at, "-STOP");
            }
            system.runners.iter().for_each(|runner| runner.set_late(None));
            if let Some(at) = at {
                let system = &system;
                scope.spawn(move || {
                    sleep_ms(5_500);
                    system.signal(Role::Sidecar, at, "-CONT");
                });
            }
        }
        let first = first.join().ok().flatten();
        if first.is_none_or(|answer| matches!(answer.status(), 502 | 504)) {
            sleep_ms(RETRY_MS);
            system.client(1, "POST", &id, 1_500, &body);
        }
    });
    sleep_ms(2_000);
    Ok(both_at_once(&system.runs(), &id))
}

/// An entry gets SIGTERM, and later a request on a channel that is open. LOST: the channel ends
/// without a complete answer after the request was passed on to a runner.
fn late_request(record: &Record, trouble: bool) -> Outcome {
    let shape = Shape { cores: 5, entries: 2, runners: vec![8_000; 2] };
    let system = System::start(record, shape)?;
    let io = |e: std::io::Error| e.to_string();
    let mut channel = Channel::open(system.front(0)).map_err(io)?;
    let headers = system::client_headers(1_500);
    channel.send("GET", system::PREFIX, &headers, "").map_err(io)?;
    let answer = channel.receive(Duration::from_millis(1_500)).map_err(io)?;
    record.add(format!(
        "client: GET {} answered {} {}",
        system::PREFIX,
        answer.status(),
        answer.body
    ));
    sleep_ms(50);
    let stopped = record.now();
    if trouble {
        system.signal(Role::Entry, 0, "-TERM");
    }
    sleep_ms(4_330);
    // Each runner has the room for one task at a time.
    let step = "\"replicas\":14,\"cpu\":6200,\"memMb\":64,\"estRuntimeMs\":200";
    let body = job("run_ms=200", step, ",\"bestEffort\":true");
    let id = job_id(1);
    let sent = record.now();
    record.add(format!("client: POST {}{id} on the open channel", system::PREFIX));
    if let Err(e) = channel.send("POST", &format!("{}{id}", system::PREFIX), &headers, &body) {
        return Err(format!("the channel was closed before the request: {e}"));
    }
    let answer = channel.receive(Duration::from_millis(2_500));
    let took = record.now() - sent;
    let starts = system.runs().iter().filter(|run| run.task.starts_with(&id)).count();
    match answer {
        Ok(answer) => {
            record.add(format!(
                "client: answered {} {} after {took} ms",
                answer.status(),
                answer.body
            ));
            Ok(None)
        }
        Err(e) if starts == 0 => Err(format!("the request was not read: {:?}", e.kind())),
        Err(e) if !trouble => {
            Err(format!("the channel ended without planned work: {:?}", e.kind()))
        }
        Err(e) => {
            record
                .add(format!("client: the channel ended after {took} ms without an answer: {e:?}"));
            let ended = e.kind() != std::io::ErrorKind::WouldBlock;
            // The excuses: the deadline, and a request that was sent no later than 3 s after the SIGTERM.
            let excused = took >= DEADLINE_MS || sent <= stopped + 3_000;
            let planned = sent + took <= stopped + GRACE_MS + 1_000;
            Ok((ended && planned && !excused).then(|| {
                format!("LOST: the channel ended {took} ms after the request, of which {starts} tasks were started, without an answer")
            }))
        }
    }
}

/// A copy of a request arrives after its job was cancelled. UNASKED: a task starts later than
/// `cancel_ms` after the cancelling was acknowledged.
fn canceled_copy(record: &Record, trouble: bool) -> Outcome {
    let shape = Shape { cores: 5, entries: 2, runners: vec![16_000; 3] };
    let system = System::start(record, shape)?;
    let step = "\"replicas\":4,\"cpu\":500,\"memMb\":64,\"estRuntimeMs\":900";
    let body = job("run_ms=900", step, ",\"bestEffort\":true");
    let id = job_id(1);
    let canceled = thread::scope(|scope| {
        let post = scope.spawn(|| system.client(0, "POST", &id, 1_500, &body));
        sleep_ms(300);
        let delete = system.client(0, "DELETE", &id, 1_500, "");
        let at = record.now();
        let _ = post.join();
        delete.is_some_and(|answer| matches!(answer.status(), 200 | 410)).then_some(at)
    });
    let Some(canceled) = canceled else { return Err("the job was not cancelled".to_owned()) };
    sleep_ms(CANCEL_MS + 1_000);
    if trouble {
        record.add("the network delivers a copy of the POST");
        system.client(1, "POST", &id, 1_500, &body);
    }
    sleep_ms(500);
    let late = system.runs().iter().filter(|run| run.started > canceled + CANCEL_MS).count();
    Ok((late > 0).then(|| {
        format!("UNASKED: {late} tasks started later than {CANCEL_MS} ms after the cancelling was acknowledged")
    }))
}

/// A runner's room shrinks and it drains. DRAIN: starts later than `drainMs` after the report that
/// says so was acknowledged.
fn drain(record: &Record, trouble: bool) -> Outcome {
    let shape = Shape { cores: 5, entries: 2, runners: vec![16_000; 3] };
    let system = System::start(record, shape)?;
    let step = "\"replicas\":4,\"cpu\":500,\"memMb\":64,\"estRuntimeMs\":60";
    let body = job("run_ms=60", step, ",\"bestEffort\":true");
    let leaving = &system.runners[0];
    let drained = thread::scope(|scope| {
        for client in 0..2 {
            let (system, body) = (&system, &body);
            scope.spawn(move || {
                for number in 0..90 {
                    system.client(
                        client,
                        "POST",
                        &job_id(1_000 * client as u64 + number),
                        1_500,
                        body,
                    );
                    sleep_ms(40);
                }
            });
        }
        sleep_ms(1_500);
        // The room shrinks by half, and the report that says so is the first that says `draining`.
        leaving.describe(if trouble { 8_000 } else { 16_000 }, true);
        let until = leaving.until_beat();
        thread::sleep(until + Duration::from_millis(100));
        record.now()
    });
    let late: Vec<Run> =
        leaving.runs().into_iter().filter(|run| run.started > drained + DRAIN_MS).collect();
    let last = late.last().map_or(0, |run| run.started - drained);
    Ok((!late.is_empty()).then(|| {
        format!("DRAIN: {} starts later than {DRAIN_MS} ms after the ack, the last one {last} ms after it", late.len())
    }))
}

/// The path to the runner of a task refuses channels for a while, twice. LOST: the job is shown as
/// failed without cause: no run of it has ended `failed`, and no runner has crashed.
fn cuts(record: &Record, trouble: bool) -> Outcome {
    let shape = Shape { cores: 5, entries: 1, runners: vec![16_000; 6] };
    let system = System::start(record, shape)?;
    let step = "\"replicas\":1,\"cpu\":500,\"memMb\":64,\"estRuntimeMs\":4000";
    let id = job_id(1);
    if !system.submit(0, &id, &job("run_ms=4000", step, "")) {
        return Err("the job was not accepted".to_owned());
    }
    let mut cut = Vec::new();
    for _ in 0..2 {
        let fresh =
            || system.runners.iter().find(|r| r.active() > 0 && !cut.contains(&r.settings.id));
        if !wait_for(20_000, || fresh().is_some()) {
            break;
        }
        let Some(runner) = fresh() else { break };
        sleep_ms(500);
        if trouble {
            runner.set_refusing(true);
            sleep_ms(4_000);
            runner.set_refusing(false);
        }
        cut.push(runner.settings.id.clone());
    }
    sleep_ms(6_000);
    let state = system.state(0, &id);
    let failed =
        system.runs().iter().filter(|run| matches!(run.ended, Some((_, "failed")))).count();
    Ok((state.as_deref() == Some("failed") && failed == 0)
        .then(|| "LOST: the job is shown as failed, and no run of it has failed".to_owned()))
}

/// A runner crashes under many tasks of different jobs. LOST: `finish_s` after the end of the traffic
/// accepted jobs have had nothing running for 3 s, although nearly all of the capacity is free.
fn suspects(record: &Record, trouble: bool) -> Outcome {
    let system = System::start(record, Shape { cores: 5, entries: 2, runners: vec![16_000; 7] })?;
    let step = "\"replicas\":1,\"cpu\":200,\"memMb\":64,\"estRuntimeMs\":2000";
    for number in 0..80 {
        if !system.submit((number % 2) as usize, &job_id(number), &job("run_ms=2000", step, "")) {
            return Err("a job was not accepted".to_owned());
        }
    }
    let busiest = system.runners.iter().max_by_key(|runner| runner.active()).unwrap();
    record.add(format!("the traffic has ended; the busiest runner runs {}", busiest.active()));
    if trouble {
        busiest.crash(4_500);
    }
    sleep_ms(FINISH_S * 1_000);
    let before = system.runs();
    sleep_ms(3_000);
    let runs = system.runs();
    let waits = |number: &u64| {
        let of_job = |run: &&Run| run.task.starts_with(&job_id(*number));
        let active = |run: &Run| run.ended.is_none_or(|(_, how)| how == "done");
        !before.iter().filter(of_job).any(active)
            && runs.iter().filter(of_job).count() == before.iter().filter(of_job).count()
    };
    let waiting = (0..80).filter(waits).count();
    let most = runs.len() - before.len();
    record.add(format!("waiting: {waiting}, starts in the 3 s: {most}"));
    Ok((waiting > 0).then(|| format!("LOST: {waiting} of 80 jobs have had nothing running for 3 s, {FINISH_S} s after the traffic")))
}
