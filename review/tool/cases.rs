//! The cases. Each returns the breaks of its rule that clients and runners have seen.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::Path,
    sync::Arc,
    thread,
    time::Duration,
};

use crate::{
    record::{Event, Record},
    runner::{Runner, Spec},
    system::{Kind, SERVICE, Size, System, config, job, until, until_now},
};

type Broken = Result<Vec<String>, String>;

/// Work of one task, in thousandths of a core, and a runner of 64 cores, as on the users' sheet.
const CPU: u32 = 6_200;
const CORES: u64 = 64_000;

pub fn play(case: &str, trouble: bool, record: Arc<Record>) -> Broken {
    match case {
        "cut" => cut(trouble, record),
        "blocked" => blocked(trouble, record),
        "kind" => kind(trouble, record),
        "pending" => pending(trouble, record),
        "cancel" => cancel(trouble, record),
        "install" => install(trouble, record),
        "overlap" => overlap(trouble, record),
        _ => Err(format!("unknown case {case}")),
    }
}

fn sleep(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn system(
    sidecars: u8,
    proxied: Option<(Kind, u8)>,
    record: Arc<Record>,
) -> Result<System, String> {
    let size = Size { controls: 5, losses: 2, entries: 2, sidecars };
    let mut system = System::new(Path::new("."), size, proxied, record);
    system.start(&config(7))?;
    Ok(system)
}

/// One life of the runner beside sidecar `number`. Its first label is its kind, the second its rack.
fn runner(system: &System, number: u8, life: u8, kind: &str) -> Arc<Runner> {
    let spec = Spec {
        id: format!("i-{number}-{life}"),
        addr: system.app(number),
        sidecar: system.announcements(number),
        service: SERVICE.to_owned(),
        labels: vec![kind.to_owned(), format!("r{}-1", number / 3)],
        cpu: CORES,
    };
    Runner::start(spec, system.record.clone())
}

fn id(number: u64) -> String {
    format!("{:016x}", 0x5c0e_7a21_d94b_0000 + number)
}

/// Waits until a small job has run, which shows that the runners get work.
fn warm_up(system: &System, runners: usize) -> Result<(), String> {
    // One task a runner fills more than half of it, so each runner gets one.
    let warm = job(runners as u32, 40_000, 50, "", "");
    system.submit(0, &id(0xfff0), &warm)?;
    until(Duration::from_secs(15), "the first job has run", || {
        system.state(0, &id(0xfff0)) == "completed"
    })
}

fn job_of(task: &str) -> &str {
    task.split('.').next().unwrap_or_default()
}

/// Starts of a task after a run of it has ended `done`, if that end was taken note of and the
/// runner's lease had not lapsed between the two.
fn starts_after_done(events: &[Event]) -> Vec<String> {
    let mut noted: BTreeMap<(&str, &str, u64), u64> = BTreeMap::new();
    for event in events {
        if let Event::Noted { runner, task, run, how, lapses } = event
            && how == "done"
        {
            noted.insert((runner, task, *run), *lapses);
        }
    }
    let mut done: BTreeMap<&str, (u64, String)> = BTreeMap::new();
    let mut broken = Vec::new();
    for event in events {
        match event {
            Event::End { at_ms, runner, task, run, how, lapses } if how == "done" => {
                if noted.get(&(runner.as_str(), task.as_str(), *run)) == Some(lapses) {
                    done.entry(task).or_insert((*at_ms, format!("{runner} run {run}")));
                }
            }
            Event::Start { at_ms, runner, task, run, .. } => {
                if let Some((done_ms, by)) = done.get(task.as_str()) {
                    broken.push(format!(
                        "TWICE task {task} ended done on {by} at {done_ms} ms, which was taken note \
                         of, and started on {runner} run {run} at {at_ms} ms"
                    ));
                }
            }
            _ => {}
        }
    }
    broken
}

/// A sidecar is cut off from all control instances for 6 s while tasks of kept jobs run at its
/// runner.
fn cut(trouble: bool, record: Arc<Record>) -> Broken {
    let mut system = system(5, Some((Kind::Sidecar, 4)), record.clone())?;
    let runners: Vec<Arc<Runner>> = (0..5).map(|n| runner(&system, n, 1, "a")).collect();
    warm_up(&system, runners.len())?;
    // 11 jobs of 4 tasks of 0.9 s: more than four runners hold, so each gets some.
    let ids: Vec<String> = (1..=11).map(id).collect();
    for id in &ids {
        system.submit(0, id, &job(4, CPU, 900, "", ""))?;
    }
    until(Duration::from_secs(5), "the runner has work", || runners[4].busy() > 0)?;
    if trouble {
        system.cut(true);
    }
    sleep(5_900);
    if trouble {
        system.cut(false);
    }
    until(Duration::from_secs(30), "all jobs are completed", || {
        ids.iter().all(|id| system.state(1, id) == "completed")
    })?;
    sleep(3_000);
    if system.ended() {
        return Err("a process has ended by itself".to_owned());
    }
    Ok(starts_after_done(&record.events()))
}

/// The only runner of one kind is lost for good while jobs that require its kind wait.
fn blocked(trouble: bool, record: Arc<Record>) -> Broken {
    let mut system = system(7, None, record.clone())?;
    let kinds = ["a", "a", "b", "a", "a", "a", "a"];
    let runners: Vec<Arc<Runner>> =
        kinds.iter().zip(0..).map(|(kind, n)| runner(&system, n, 1, kind)).collect();
    warm_up(&system, runners.len())?;
    if trouble {
        runners[2].crash();
        sleep(1_000);
    }
    // 5 jobs of 8 tasks that need the kind `b`, then 5 jobs that run anywhere.
    for number in 1..=5 {
        let body = job(8, CPU, 60, r#","requiredLabel":"b""#, "");
        system.submit(0, &id(number), &body)?;
    }
    sleep(1_000);
    let free: Vec<String> = (11..=15).map(id).collect();
    for id in &free {
        system.submit(0, id, &job(4, CPU, 200, "", ""))?;
    }
    let last_ms = record.now_ms();
    // `finish_s` after the end of the traffic, and the 3 s of the rule.
    sleep(14_000 + 4_000);
    let states: Vec<String> = free.iter().map(|id| system.state(1, id)).collect();
    let started: BTreeSet<String> = record
        .events()
        .iter()
        .filter_map(|event| match event {
            Event::Start { task, .. } => Some(job_of(task).to_owned()),
            _ => None,
        })
        .collect();
    let waited_ms = record.now_ms() - last_ms;
    if system.ended() {
        return Err("a process has ended by itself".to_owned());
    }
    let stuck = free.iter().zip(states).filter(|(id, _)| !started.contains(*id));
    Ok(stuck
        .map(|(id, state)| {
            format!(
                "LOST job {id} ({state}) has nothing running for {waited_ms} ms, and six idle \
                 runners may run it"
            )
        })
        .collect())
}

/// All control instances are down for 9 s, and a runner crashes meanwhile and comes back as another
/// kind.
fn kind(trouble: bool, record: Arc<Record>) -> Broken {
    let mut system = system(7, None, record.clone())?;
    let kinds = ["a", "a", "b", "b", "a", "a", "a"];
    let runners: Vec<Arc<Runner>> =
        kinds.iter().zip(0..).map(|(kind, n)| runner(&system, n, 1, kind)).collect();
    warm_up(&system, runners.len())?;
    let started_ms = record.now_ms();
    let mut number = 0;
    let mut next = None;
    let mut steps = vec![(1_000, 0), (2_000, 1), (4_500, 2), (10_000, 3)].into_iter().peekable();
    while record.now_ms() < started_ms + 13_000 {
        if let Some((_, step)) = steps.next_if(|(at_ms, _)| record.now_ms() >= started_ms + at_ms)
            && trouble
        {
            match step {
                0 => (0..5).for_each(|control| system.kill(Kind::Control, control)),
                1 => runners[2].crash(),
                2 => {
                    let mut spec = runners[2].next_life(2);
                    spec.labels[0] = "a".to_owned();
                    next = Some(Runner::start(spec, record.clone()));
                }
                _ => {
                    for control in 0..5 {
                        system.launch(Kind::Control, control, false)?;
                    }
                }
            }
        }
        number += 1;
        // Jobs that need not be kept, each with one task that requires the kind `b`.
        let body = job(1, CPU, 60, r#","requiredLabel":"b""#, r#","bestEffort":true"#);
        system.call((number % 2) as u8, "POST", &id(number), &body);
        sleep(50);
    }
    drop(next);
    if system.ended() {
        return Err("a process has ended by itself".to_owned());
    }
    let wrong = record.events().into_iter().filter_map(|event| match event {
        Event::Start { at_ms, runner, labels, task, .. }
            if !task.starts_with(&id(0xfff0)) && !labels.iter().any(|label| label == "b") =>
        {
            Some(format!(
                "ROUTE task {task} requires the label b and started on {runner}, which has {}, at \
                 {at_ms} ms",
                labels.join("+")
            ))
        }
        _ => None,
    });
    Ok(wrong.collect())
}

/// The only runner of one kind is unhealthy for 6.5 s and refuses all starts.
fn pending(trouble: bool, record: Arc<Record>) -> Broken {
    let mut system = system(7, None, record.clone())?;
    let kinds = ["a", "a", "b", "a", "a", "a", "a"];
    let runners: Vec<Arc<Runner>> =
        kinds.iter().zip(0..).map(|(kind, n)| runner(&system, n, 1, kind)).collect();
    warm_up(&system, runners.len())?;
    if trouble {
        runners[2].set_unhealthy(true);
    }
    let ids: Vec<String> = (1..=5).map(id).collect();
    for id in &ids {
        let body = job(1, CPU, 60, r#","requiredLabel":"b""#, "");
        system.submit(0, id, &body)?;
    }
    // `visible_ms` and 2 s after the last acknowledgement.
    sleep(5_300);
    let asked_ms = record.now_ms();
    let answer = system.call(1, "GET", "", "");
    let begun: BTreeSet<String> = record
        .events()
        .iter()
        .filter_map(|event| match event {
            Event::Start { at_ms, task, .. } if *at_ms <= asked_ms => Some(job_of(task).to_owned()),
            _ => None,
        })
        .collect();
    runners[2].set_unhealthy(false);
    let Some((200, body)) = answer else { return Err(format!("no count: {answer:?}")) };
    let given = crate::json::parse(&body).and_then(|body| body.number("pending"));
    let given = given.ok_or("the count cannot be read")?;
    let waiting = ids.iter().filter(|id| !begun.contains(*id)).count() as u64;
    if system.ended() {
        return Err("a process has ended by itself".to_owned());
    }
    Ok(match 2 * given < waiting {
        true => vec![format!(
            "MIXED pending is given as {given}, and {waiting} jobs that were accepted over 5 s \
             before have not begun"
        )],
        false => Vec::new(),
    })
}

/// A client's channel is reset, it sends its job again at another node, and then cancels it.
fn cancel(trouble: bool, record: Arc<Record>) -> Broken {
    let mut system = system(3, None, record.clone())?;
    let runners: Vec<Arc<Runner>> = (0..3).map(|n| runner(&system, n, 1, "a")).collect();
    warm_up(&system, runners.len())?;
    // Three jobs fill the runners for some seconds.
    let full = job(3, 60_000, 5_300, "", r#","bestEffort":true"#);
    let busy = system.open(0, &id(100), &full)?;
    until(Duration::from_secs(5), "the runners are full", || {
        runners.iter().all(|runner| runner.busy() > 0)
    })?;
    let id = id(1);
    let body = job(1, 30_000, 8_000, "", r#","bestEffort":true"#);
    let first = system.open(1, &id, &body)?;
    sleep(100);
    let second = match trouble {
        true => {
            first.reset();
            sleep(1_300);
            Some(system.open(0, &id, &body)?)
        }
        false => {
            sleep(1_300);
            None
        }
    };
    sleep(100);
    let answer = system.call(1, "DELETE", &id, "");
    let cancelled_ms = record.now_ms();
    let Some((200..=299 | 410, _)) = answer else {
        return Err(format!("not cancelled: {answer:?}"));
    };
    sleep(9_000);
    drop((busy, second));
    if system.ended() {
        return Err("a process has ended by itself".to_owned());
    }
    let late = record.events().into_iter().filter_map(|event| match event {
        Event::Start { at_ms, runner, task, .. }
            if job_of(&task) == id && at_ms > cancelled_ms + 3_000 =>
        {
            Some(format!(
                "UNASKED task {task} started on {runner} {} ms after its cancelling was \
                 acknowledged with {answer:?}",
                at_ms - cancelled_ms
            ))
        }
        _ => None,
    });
    Ok(late.collect())
}

/// Hands in 2,500 kept jobs with long specs, so that the log grows by more than 8 MB.
fn accept_long_jobs(system: &System, sent: &mut u64) -> Result<(), String> {
    let body = job(1, 1_000, 10, "", "");
    let body = body.replacen("\"10\"", &format!("\"10 done {}\"", "x".repeat(3_900)), 1);
    for _ in 0..25 {
        let ids: Vec<String> = (0..100).map(|n| id(0x10_0000 + *sent + n)).collect();
        let accepted = thread::scope(|scope| {
            let clients: Vec<_> = ids
                .chunks(25)
                .map(|ids| scope.spawn(|| ids.iter().try_for_each(|id| system.hand_in(id, &body))))
                .collect();
            clients.into_iter().all(|client| client.join().is_ok_and(|result| result.is_ok()))
        });
        if !accepted {
            return Err("a job was not accepted".to_owned());
        }
        *sent += 100;
    }
    system.record.log(format!("jobs accepted={sent}"));
    Ok(())
}

/// A control instance is down while much work is accepted, and is killed again while it stores the
/// snapshot that it is sent. Some time later two disks are lost while all instances are killed.
fn install(trouble: bool, record: Arc<Record>) -> Broken {
    const LAST: u8 = 4;
    let size = Size { controls: 5, losses: 2, entries: 1, sidecars: 2 };
    let mut system = System::new(Path::new("."), size, None, record.clone());
    system.start(&config(7))?;
    let runners: Vec<Arc<Runner>> = (0..2).map(|n| runner(&system, n, 1, "a")).collect();
    warm_up(&system, runners.len())?;
    // The final fault alone is played with TROUBLE=final.
    let alone = std::env::var("TROUBLE").is_ok_and(|value| value == "final");
    let kills = trouble && !alone;
    // The kill has to come before the next write of the log, so it may take more than one try.
    let mut sent = 0;
    for attempt in 1..=6 {
        let before = system.snapshots(LAST);
        if kills {
            system.kill(Kind::Control, LAST);
        }
        let others: Vec<Vec<String>> = (0..LAST).map(|control| system.snapshots(control)).collect();
        accept_long_jobs(&system, &mut sent)?;
        until(Duration::from_secs(10), "the others have a new snapshot", || {
            others.iter().zip(0..).all(|(old, control)| system.snapshots(control) != *old)
        })?;
        if !kills {
            break;
        }
        system.launch(Kind::Control, LAST, false)?;
        until_now(Duration::from_secs(10), "the snapshot is stored", || {
            system.snapshots(LAST).iter().any(|name| !before.contains(name))
        })?;
        system.kill(Kind::Control, LAST);
        let early = system.snapshot_is_newest(LAST);
        record.log(format!("attempt={attempt} before_next_write={early}"));
        system.launch(Kind::Control, LAST, false)?;
        if early {
            break;
        }
        sleep(2_000);
    }
    // `contactMs` and `catchUpS`, and more is accepted.
    sleep(8_000);
    for n in 0..20 {
        system.submit(0, &id(10_000 + n), &job(1, CPU, 10, "", ""))?;
    }
    sleep(2_000);
    if system.ended() {
        return Err("a process has ended by itself before the final fault".to_owned());
    }
    if trouble {
        record.log("final fault");
        (0..=LAST).for_each(|control| system.kill(Kind::Control, control));
        system.wipe(0)?;
        system.wipe(1)?;
        sleep(800);
        for control in 0..=LAST {
            system.launch(Kind::Control, control, false)?;
        }
    }
    // A process that ends is started again, as the platform does.
    let mut starts = 1;
    let mut state = String::new();
    // `recoveryS` and `finish_s`.
    let known = until(Duration::from_secs(12 + 14), "a job is known", || {
        if system.has_ended(Kind::Control, LAST) && starts < 4 {
            record.log(format!("ended by itself: {}", system.last_error(Kind::Control, LAST)));
            system.kill(Kind::Control, LAST);
            let _ = system.launch(Kind::Control, LAST, false);
            starts += 1;
        }
        state = system.state(0, &id(10_019));
        ["queued", "running", "completed"].contains(&state.as_str())
    });
    Ok(match known {
        Ok(()) => Vec::new(),
        Err(_) => vec![
            format!("LOST job {} was accepted, and its state is {state} 26 s after", id(10_019)),
            format!("Fault control-4 has ended by itself at each of {starts} starts"),
        ],
    })
}

/// An entry dies right after a renewal of its lease, the one before which was delayed, and the sidecar
/// freezes shortly before the lease ends.
fn overlap(trouble: bool, record: Arc<Record>) -> Broken {
    let mut system = system(5, Some((Kind::Entry, 0)), record.clone())?;
    let runners: Vec<Arc<Runner>> = (0..5).map(|n| runner(&system, n, 1, "a")).collect();
    warm_up(&system, runners.len())?;
    sleep(1_500);
    let id = id(1);
    let body = job(1, CPU, 3_600, "", r#","bestEffort":true"#);
    let first = system.open(0, &id, &body)?;
    let mut at = None;
    until(Duration::from_secs(5), "the task runs", || {
        at = runners.iter().position(|runner| runner.busy() > 0);
        at.is_some()
    })?;
    let at = at.unwrap_or_default();
    sleep(300);
    if trouble {
        // The proxies of the sidecars come first.
        let proxy = &system.proxies[at];
        proxy.delay_next(250);
        until_now(Duration::from_secs(3), "the next renewal has passed", || {
            proxy.passed().is_some_and(|passed| passed >= 1)
        })?;
        system.kill(Kind::Entry, 0);
        drop(first);
        sleep(900);
        system.freeze(Kind::Sidecar, at as u8, true);
        sleep(400);
        let second = system.open(1, &id, &body)?;
        // The platform starts the killed process again.
        sleep(1_700);
        system.launch(Kind::Entry, 0, false)?;
        sleep(1_300);
        system.freeze(Kind::Sidecar, at as u8, false);
        drop(second);
    } else {
        sleep(5_000);
    }
    sleep(1_000);
    let mut running: BTreeMap<String, (String, u64)> = BTreeMap::new();
    let mut broken = Vec::new();
    for event in record.events() {
        match event {
            Event::Start { at_ms, runner, task, run, .. } => {
                if let Some((other, since_ms)) = running.get(&task) {
                    broken.push(format!(
                        "TWICE task {task} started on {runner} run {run} at {at_ms} ms and ran on \
                         {other} since {since_ms} ms"
                    ));
                }
                running.insert(task, (runner, at_ms));
            }
            Event::End { runner, task, .. } => {
                if running.get(&task).is_some_and(|(other, _)| *other == runner) {
                    running.remove(&task);
                }
            }
            _ => {}
        }
    }
    Ok(broken)
}
