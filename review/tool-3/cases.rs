//! The cases.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{Verdict, record::Record, system::System};

const PREFIX: &str = "/lohu930/";

pub fn run(name: &str, record: Record, trouble: bool) -> Verdict {
    match name {
        "crashes" => crashes(record, trouble),
        "first-seed" => first_seed(record, trouble),
        "cancel" => cancel(record, trouble),
        "pending" => pending(record, trouble),
        "starved" => starved(record, trouble),
        "soak" => {
            let seed = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
            let kinds = std::env::var("KINDS").unwrap_or_default();
            crate::soak::soak(record, seed, &kinds)
        }
        _ => Verdict::NotRun(format!("no case {name}")),
    }
}

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Waits until `wanted` returns something, at most for `limit`.
fn wait_for<T>(limit: Duration, mut wanted: impl FnMut() -> Option<T>) -> Option<T> {
    let end = Instant::now() + limit;
    loop {
        if let Some(found) = wanted() {
            return Some(found);
        }
        if Instant::now() >= end {
            return None;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// A kept job of one task runs for 8 s. The runner under it crashes twice, seconds apart, and is back
/// each time. No run of the task ends `failed`.
fn crashes(record: Record, trouble: bool) -> Verdict {
    let mut system = System::new(record.clone(), 5, 1, 7);
    system.start();
    if !system.configure(7, &[(PREFIX, 4)], s(20)) {
        return Verdict::NotRun("no configuration".to_owned());
    }
    thread::sleep(s(4));
    let path = format!("{PREFIX}5c0e7a21d94b36f8");
    let body = "{\"spec\":\"ms=8000\",\"steps\":[{\"replicas\":1,\"cpu\":500,\"memMb\":256,\
                \"estRuntimeMs\":8000}]}";
    let accepted = system.client_until(0, "POST", &path, body, s(10), |code| code == 200);
    if accepted.is_none() {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    for n in 0..2 * u32::from(trouble) {
        // The runner that has run the task for 2 s.
        let under = wait_for(s(20), || {
            let runners = system.runners.iter();
            let mut at_work = runners.filter(|r| r.active().iter().any(|(_, _, ms)| *ms >= 2_000));
            at_work.next().cloned()
        });
        let Some(runner) = under else {
            record.line("the task runs nowhere");
            break;
        };
        runner.crash();
        thread::sleep(s(3));
        runner.start(&format!("{}-{n}", runner.kind.id));
    }
    let end = Instant::now() + s(50);
    let mut state = String::new();
    while Instant::now() < end {
        if let Ok((200, body)) = system.client(0, "GET", &path, 1_500, "") {
            state = body;
            if state.contains("completed") || state.contains("failed") {
                break;
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    match state.contains("failed") {
        true => {
            Verdict::Broken("the job is shown as failed, and no run of it ended failed".to_owned())
        }
        false if state.contains("completed") => Verdict::Held("the job is completed".to_owned()),
        false => Verdict::NotRun(format!("the job's state is {state:?}")),
    }
}

/// At the first start, the machine of the first seed loses power and its disk, and is back 3 s later.
fn first_seed(record: Record, trouble: bool) -> Verdict {
    let mut system = System::new(record.clone(), 5, 1, 1);
    system.start();
    if trouble {
        thread::sleep(Duration::from_millis(250));
        let first = &mut system.controls[0];
        first.kill();
        first.wipe();
        first.set("bootstrap|json", "false");
        record.line(&format!("{} loses power and its disk", first.name));
        thread::sleep(s(3));
        system.controls[0].start(&record);
    }
    // `ackMs` is 4 s; all machines are back long before.
    let configured = system.configure(7, &[(PREFIX, 4)], s(50));
    let body = "{\"spec\":\"ms=300\",\"steps\":[{\"replicas\":1,\"cpu\":500,\"memMb\":256,\
                \"estRuntimeMs\":300}]}";
    let path = format!("{PREFIX}5c0e7a21d94b36f8");
    let served = system.client_until(0, "POST", &path, body, s(10), |code| code == 200).is_some();
    match (configured, served) {
        (true, true) => Verdict::Held("the configuration and a job are accepted".to_owned()),
        (false, false) => Verdict::Broken("for 60 s nothing is accepted".to_owned()),
        other => Verdict::NotRun(format!("configured and served: {other:?}")),
    }
}

/// A job that need not be kept waits at one entry between two steps, for lack of room. Its client cancels
/// it at another entry, which acknowledges that. The second step starts more than `cancel_ms` later.
fn cancel(record: Record, trouble: bool) -> Verdict {
    let mut system = System::new(record.clone(), 5, 2, 1);
    system.start();
    if !system.configure(7, &[(PREFIX, 4)], s(20)) {
        return Verdict::NotRun("no configuration".to_owned());
    }
    thread::sleep(s(4));
    let system = &system;
    let (kept, path) = (format!("{PREFIX}00000000000000a1"), format!("{PREFIX}5c0e7a21d94b36f8"));
    let job = |first: &str| {
        format!(
            "{{\"spec\":\"ms={first}\",\"bestEffort\":true,\"steps\":[\
             {{\"replicas\":1,\"cpu\":500,\"memMb\":256,\"estRuntimeMs\":500}},\
             {{\"replicas\":1,\"cpu\":7800,\"memMb\":256,\"estRuntimeMs\":500,\"dependsOn\":[0]}}]}}"
        )
    };
    thread::scope(|scope| {
        // 6 of the runner's 8 cores are at work for 12 s.
        let body = "{\"spec\":\"ms=12000\",\"steps\":[{\"replicas\":1,\"cpu\":6000,\"memMb\":256,\
                    \"estRuntimeMs\":12000}]}";
        system.client_until(0, "POST", &kept, body, s(10), |code| code == 200);
        thread::sleep(s(1));
        let job = scope.spawn(|| system.client(0, "POST", &path, 30_000, &job("500")));
        thread::sleep(s(2));
        let answer = match trouble {
            true => system.client(1, "DELETE", &path, 3_000, ""),
            false => Ok((0, String::new())),
        };
        let at = record.s();
        let started = wait_for(s(20), || {
            let active = system.runners[0].active();
            active.into_iter().find(|(task, ..)| task.starts_with("5c0e7a21d94b36f8.0.1"))
        });
        let after = record.s() - at;
        let ended = job.join();
        record.line(&format!("the job's answer: {ended:?}"));
        match (answer, started) {
            (Ok((200..=299 | 410, _)), Some(_)) if after > 3.2 => Verdict::Broken(format!(
                "a task of the cancelled job starts {after:.1} s after the ack"
            )),
            (Ok((0, _)), Some(_)) => Verdict::Held("the job runs".to_owned()),
            (answer, started) => Verdict::Held(format!("{answer:?} {started:?}")),
        }
    })
}

/// Ten kept jobs wait for the one runner with the label that they require. It answers each start with 503.
/// The queue is then asked for its number of pending jobs.
fn pending(record: Record, trouble: bool) -> Verdict {
    const JOBS: u64 = 10;
    let mut system = System::new(record.clone(), 5, 1, 7);
    system.label(0, "b");
    system.start();
    if !system.configure(7, &[(PREFIX, 4)], s(20)) {
        return Verdict::NotRun("no configuration".to_owned());
    }
    thread::sleep(s(4));
    let runner = system.runners[0].clone();
    if trouble {
        runner.set_sheds(true);
    }
    let body = "{\"spec\":\"ms=300\",\"steps\":[{\"replicas\":1,\"cpu\":500,\"memMb\":256,\
                \"estRuntimeMs\":300,\"requiredLabel\":\"b\"}]}";
    for n in 0..JOBS {
        let path = format!("{PREFIX}5c0e7a21d94b36{n:02x}");
        if system.client_until(0, "POST", &path, body, s(10), |code| code == 200).is_none() {
            return Verdict::NotRun("a job was not accepted".to_owned());
        }
    }
    // `visible_ms` + 2 s after the last ack, and a second more.
    thread::sleep(s(6));
    let begun = system.watch.begun();
    let waiting = JOBS - begun.min(JOBS);
    let answer = system.client_until(0, "GET", PREFIX, "", s(10), |code| code == 200);
    let shown =
        answer.as_ref().and_then(|(_, body)| crate::json::Json::parse(body)?.num("pending"));
    let Some(shown) = shown else {
        return Verdict::NotRun(format!("the number of pending jobs is not known: {answer:?}"));
    };
    record.line(&format!("{waiting} jobs have not begun; pending: {shown}"));
    runner.set_sheds(false);
    match 2 * shown < waiting {
        true => Verdict::Broken(format!("{waiting} jobs have not begun, and pending is {shown}")),
        false => Verdict::Held(format!("{waiting} jobs have not begun, and pending is {shown}")),
    }
}

/// A kept job of 40 tasks requires the label of one runner. That runner is lost for good. Ten further kept
/// jobs need no label; six runners are sound and idle.
fn starved(record: Record, trouble: bool) -> Verdict {
    const JOBS: u64 = 10;
    let mut system = System::new(record.clone(), 5, 1, 7);
    system.label(0, "b");
    system.start();
    if !system.configure(7, &[(PREFIX, 4)], s(20)) {
        return Verdict::NotRun("no configuration".to_owned());
    }
    thread::sleep(s(4));
    let job = |label: &str, tasks: u32| {
        format!(
            "{{\"spec\":\"ms=500\",\"steps\":[{{\"replicas\":{tasks},\"cpu\":500,\"memMb\":256,\
             \"estRuntimeMs\":500{label}}}]}}"
        )
    };
    let accepted = |path: &str, body: &str| {
        system.client_until(0, "POST", path, body, s(10), |code| code == 200).is_some()
    };
    if trouble {
        system.runners[0].crash();
        thread::sleep(s(2));
    }
    let large = job(",\"requiredLabel\":\"b\"", 40);
    if !accepted(&format!("{PREFIX}00000000000000a1"), &large) {
        return Verdict::NotRun("the large job was not accepted".to_owned());
    }
    let ids: Vec<String> = (0..JOBS).map(|n| format!("5c0e7a21d94b36{n:02x}")).collect();
    for id in &ids {
        if !accepted(&format!("{PREFIX}{id}"), &job("", 1)) {
            return Verdict::NotRun("a job was not accepted".to_owned());
        }
        thread::sleep(Duration::from_millis(100));
    }
    // `finish_s` is 14 s; the rule then allows 3 s without anything at work.
    let end = record.s();
    record.line("the traffic ends");
    let all_begun = || ids.iter().all(|id| system.watch.has_begun(id));
    let _ = wait_for(s(40), || all_begun().then_some(()));
    let waiting: Vec<&String> = ids.iter().filter(|id| !system.watch.has_begun(id)).collect();
    let after = record.s() - end;
    for id in &waiting {
        let _ = system.client(0, "GET", &format!("{PREFIX}{id}"), 1_500, "");
    }
    match waiting.is_empty() {
        true => Verdict::Held(format!("all jobs have begun {after:.1} s after the traffic")),
        false => Verdict::Broken(format!(
            "{after:.1} s after the traffic {} of {JOBS} jobs have not begun; six runners are idle",
            waiting.len()
        )),
    }
}
