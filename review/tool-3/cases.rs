//! The cases.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{Verdict, record::Record, system::System};

const PREFIX: &str = "/lohu930/";

pub fn run(name: &str, record: Record, trouble: bool) -> Verdict {
    match name {
        "first-seed" => first_seed(record, trouble),
        "refused" => refused(record, trouble),
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

/// The start of a kept job gets no answer, and its runner, whose path then refuses connections, carries it out
/// seconds later. Meanwhile the task has run elsewhere.
fn refused(record: Record, trouble: bool) -> Verdict {
    let mut system = System::new(record.clone(), 5, 1, 7);
    system.start();
    if !system.configure(7, &[(PREFIX, 4)], s(20)) {
        return Verdict::NotRun("no configuration".to_owned());
    }
    thread::sleep(s(4));
    const LATE_MS: u64 = 2_600;
    // One of 41 starts is late.
    let short = "{\"spec\":\"ms=100\",\"steps\":[{\"replicas\":1,\"cpu\":500,\"memMb\":256,\
                 \"estRuntimeMs\":100}]}";
    for n in 0..40 {
        let path = format!("{PREFIX}000000000000a1{n:02x}");
        if system.client_until(0, "POST", &path, short, s(5), |code| code == 200).is_none() {
            return Verdict::NotRun("a job was not accepted".to_owned());
        }
    }
    thread::sleep(s(1));
    if trouble {
        system.runners.iter().for_each(|runner| runner.set_late_start(LATE_MS));
    }
    let body = "{\"spec\":\"ms=900\",\"steps\":[{\"replicas\":1,\"cpu\":500,\"memMb\":256,\
                \"estRuntimeMs\":900}]}";
    let path = format!("{PREFIX}5c0e7a21d94b36f8");
    let accepted = system.client(0, "POST", &path, 1_500, body);
    if !matches!(accepted, Ok((200, _))) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    if trouble {
        let end = Instant::now() + s(5);
        let at = loop {
            if let Some(at) = system.runners.iter().position(|runner| runner.has_withheld()) {
                break at;
            }
            if Instant::now() > end {
                return Verdict::NotRun("no start came".to_owned());
            }
            thread::sleep(Duration::from_millis(1));
        };
        let others = system.runners.iter().enumerate().filter(|(other, _)| *other != at);
        others.for_each(|(_, runner)| runner.set_late_start(0));
        system.runners[at].cut();
        thread::sleep(s(4));
        system.runners[at].heal();
    }
    let done = wait_for(s(40), || {
        let answer = system.client(0, "GET", &path, 1_500, "");
        thread::sleep(Duration::from_millis(300));
        matches!(answer, Ok((200, body)) if body.contains("completed")).then_some(())
    });
    let breaks = system.watch.breaks();
    match breaks.is_empty() {
        false => Verdict::Broken(format!("{breaks:?}")),
        true if done.is_some() => Verdict::Held("the task has run once".to_owned()),
        true => Verdict::NotRun("the job is not completed".to_owned()),
    }
}
