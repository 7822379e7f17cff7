//! Drawn faults while clients hand in jobs of both kinds. Looks for breaks; it is no case by itself.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    proxy::Proxy,
    record::Record,
    system::System,
    watch::{Rng, Watch},
};

const KEPT: &str = "/kept/";
const LOOSE: &str = "/loose/";
static WIPED: AtomicU64 = AtomicU64::new(0);

struct Job {
    id: String,
    cancelled: bool,
    fails: u64,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn soak(record: Record, seed: u64, kinds: &str) -> Verdict {
    let mut system = System::new(record.clone(), 5, 2, 6);
    if kinds.contains("part") {
        system.lead_through_proxies();
    }
    system.start();
    if !system.configure(7, &[(KEPT, 3), (LOOSE, 3)], ms(20_000)) {
        return Verdict::NotRun("no configuration".to_owned());
    }
    thread::sleep(ms(2_000));
    let stop = AtomicBool::new(false);
    let accepted = Mutex::new(Vec::<Job>::new());
    let nodes = Mutex::new((
        std::mem::take(&mut system.controls),
        std::mem::take(&mut system.entries),
        std::mem::take(&mut system.sidecars),
    ));
    let (system_ref, stop_ref, accepted_ref, nodes_ref) = (&system, &stop, &accepted, &nodes);
    let lost = thread::scope(|scope| {
        for c in 0..10 {
            scope.spawn(move || client(system_ref, seed * 100 + c, stop_ref, accepted_ref));
        }
        let mut rng = Rng::new(seed);
        let all: Vec<&str> = kinds.split(',').collect();
        let mut handles = Vec::new();
        for _ in 0..18 {
            thread::sleep(ms(500 + rng.below(2_500)));
            let kind = all[rng.below(all.len() as u64) as usize];
            let mut rng = Rng::new(rng.next());
            let record = record.clone();
            let kind = kind.to_owned();
            handles
                .push(scope.spawn(move || fault(system_ref, nodes_ref, &record, &mut rng, &kind)));
        }
        for handle in handles {
            let _ = handle.join();
        }
        record.line("no more faults");
        thread::sleep(ms(3_000));
        stop.store(true, Ordering::SeqCst);
        thread::sleep(ms(2_000));
        finish(&system, &accepted)
    });
    let (controls, entries, sidecars) = nodes.into_inner().unwrap();
    (system.controls, system.entries, system.sidecars) = (controls, entries, sidecars);
    let exits: Vec<String> = system
        .controls
        .iter_mut()
        .chain(&mut system.entries)
        .chain(&mut system.sidecars)
        .filter_map(|node| (!node.runs()).then(|| format!("EXIT {}", node.name)))
        .collect();
    let mut breaks = system.watch.breaks();
    breaks.extend(lost);
    breaks.extend(exits);
    let count = accepted.lock().unwrap().len();
    match breaks.is_empty() {
        true => Verdict::Held(format!("{count} kept jobs")),
        false => Verdict::Broken(format!("{count} kept jobs; {breaks:#?}")),
    }
}

fn client(system: &System, seed: u64, stop: &AtomicBool, accepted: &Mutex<Vec<Job>>) {
    let mut rng = Rng::new(seed + 7);
    while !stop.load(Ordering::SeqCst) {
        let id = format!("{:016x}", rng.next());
        let entry = rng.below(2) as usize;
        if rng.below(3) == 0 {
            kept(system, &mut rng, &id, entry, accepted, stop);
        } else {
            loose(system, &mut rng, &id, entry);
        }
        thread::sleep(ms(rng.below(200)));
    }
}

fn steps(rng: &mut Rng, most_ms: u64, watch: &Watch, id: &str) -> (String, u64) {
    let count = 1 + rng.below(3);
    let run = 50 + rng.below(most_ms);
    let mut known = Vec::new();
    let steps: Vec<String> = (0..count)
        .map(|n| {
            let after = if n > 0 { format!(",\"dependsOn\":[{}]", n - 1) } else { String::new() };
            let (cpu, most) = (300 + rng.below(1_500), rng.below(4));
            known.push((cpu, if most == 0 { 99 } else { most }));
            let most = if most > 0 { format!(",\"maxPerServer\":{most}") } else { String::new() };
            format!(
                "{{\"replicas\":{},\"cpu\":{cpu},\"memMb\":64,\"estRuntimeMs\":{run}{after}{most}}}",
                1 + rng.below(5),
            )
        })
        .collect();
    watch.note_steps(id, &known);
    (steps.join(","), run)
}

fn kept(
    system: &System,
    rng: &mut Rng,
    id: &str,
    entry: usize,
    accepted: &Mutex<Vec<Job>>,
    stop: &AtomicBool,
) {
    let (steps, run) = steps(rng, 2_500, &system.watch, id);
    let fails = if rng.below(8) == 0 { 1 + rng.below(2) } else { 0 };
    let body = format!("{{\"spec\":\"ms={run};fails={fails}\",\"steps\":[{steps}]}}");
    let path = format!("{KEPT}{id}");
    let mut entry = entry;
    for _ in 0..20 {
        match system.client(entry, "POST", &path, 1_500, &body) {
            Ok((200..=299, _)) => {
                let cancel = rng.below(5) == 0;
                if cancel {
                    thread::sleep(ms(rng.below(2_500)));
                    for _ in 0..10 {
                        let at = rng.below(2) as usize;
                        if let Ok((200..=299 | 410, _)) =
                            system.client(at, "DELETE", &path, 1_500, "")
                        {
                            system.watch.cancelled(id);
                            break;
                        }
                        thread::sleep(ms(300));
                    }
                } else if rng.below(5) == 0 {
                    thread::sleep(ms(rng.below(3_000)));
                    let _ = system.client(rng.below(2) as usize, "POST", &path, 1_500, &body);
                }
                let job = Job { id: id.to_owned(), cancelled: cancel, fails };
                accepted.lock().unwrap().push(job);
                return;
            }
            Ok((429 | 503, _)) => return,
            _ => {}
        }
        if stop.load(Ordering::SeqCst) {
            return;
        }
        thread::sleep(ms(300));
        entry = rng.below(2) as usize;
    }
}

fn loose(system: &System, rng: &mut Rng, id: &str, entry: usize) {
    let (steps, run) = steps(rng, 500, &system.watch, id);
    let body = format!("{{\"spec\":\"ms={run}\",\"bestEffort\":true,\"steps\":[{steps}]}}");
    let path = format!("{LOOSE}{id}");
    system.watch.note_loose(id);
    let mut entry = entry;
    for _ in 0..3 {
        // Some clients leave early, and send the job again.
        let deadline = if rng.below(4) == 0 { 50 + rng.below(500) } else { 1_500 };
        match system.client(entry, "POST", &path, deadline, &body) {
            Ok((502 | 504, _)) | Err(_) => {}
            Ok(_) => return,
        }
        thread::sleep(ms(1_300));
        entry = rng.below(2) as usize;
    }
}

/// Asks for all kept jobs until each has ended; returns what is lost.
fn finish(system: &System, accepted: &Mutex<Vec<Job>>) -> Vec<String> {
    let mut lost = Vec::new();
    let mut open: Vec<(String, bool, u64)> = accepted
        .lock()
        .unwrap()
        .iter()
        .map(|job| (job.id.clone(), job.cancelled, job.fails))
        .collect();
    for round in 0..60 {
        open.retain(|(id, cancelled, fails)| {
            let path = format!("{KEPT}{id}");
            let answer = system.client(round % 2, "GET", &path, 1_500, "");
            let Ok((code, body)) = answer else { return true };
            let failed = system.watch.failed(id);
            match code {
                200 if body.contains("completed") => false,
                200 if body.contains("canceled") && *cancelled => false,
                200 if body.contains("failed") => {
                    if failed < 3 {
                        lost.push(format!("LOST {id} failed, {failed} ends failed, fails={fails}"));
                    }
                    false
                }
                200 if body.contains("canceled") => {
                    lost.push(format!("LOST {id} canceled without a cancel"));
                    false
                }
                410 if !*cancelled => {
                    lost.push(format!("LOST {id} 410"));
                    false
                }
                410 => false,
                _ => true,
            }
        });
        if open.is_empty() {
            break;
        }
        thread::sleep(ms(500));
    }
    lost.extend(open.iter().map(|(id, ..)| format!("LOST {id} has not ended")));
    lost
}

type Nodes = (Vec<crate::system::Node>, Vec<crate::system::Node>, Vec<crate::system::Node>);

/// The processes of all classes.
struct Nodes3<'a> {
    all: Vec<&'a mut crate::system::Node>,
}

impl<'a> Nodes3<'a> {
    fn of(nodes: &'a mut Nodes) -> Nodes3<'a> {
        let (controls, entries, sidecars) = nodes;
        Nodes3 { all: controls.iter_mut().chain(entries).chain(sidecars).collect() }
    }
}

fn fault(system: &System, nodes: &Mutex<Nodes>, record: &Record, rng: &mut Rng, kind: &str) {
    let long = [300, 800, 1_500, 3_000, 5_000][rng.below(5) as usize];
    let pick = |nodes: &mut Nodes, class: &str, n: u64| -> usize {
        let count = match class {
            "core" => nodes.0.len(),
            "edge" => nodes.1.len(),
            _ => nodes.2.len(),
        };
        n as usize % count
    };
    let n = rng.next();
    let on = |class: &str, act: &mut dyn FnMut(&mut crate::system::Node)| {
        let mut nodes = nodes.lock().unwrap();
        let at = pick(&mut nodes, class, n);
        let list = match class {
            "core" => &mut nodes.0,
            "edge" => &mut nodes.1,
            _ => &mut nodes.2,
        };
        act(&mut list[at]);
    };
    let (what, class) = kind.split_once('-').unwrap_or((kind, "side"));
    match what {
        "kill" => {
            on(class, &mut |node| {
                record.line(&format!("FAULT kill {} for {long} ms", node.name));
                node.kill();
            });
            thread::sleep(ms(long));
            on(class, &mut |node| node.start(record));
        }
        "wipe" => {
            // No more disks than two are lost at once; one is lost for 4 s more than its machine is down.
            if WIPED.fetch_add(1, Ordering::SeqCst) >= 2 {
                WIPED.fetch_sub(1, Ordering::SeqCst);
                return;
            }
            on("core", &mut |node| {
                record.line(&format!("FAULT {} loses its disk, for {long} ms", node.name));
                node.kill();
                node.wipe();
                node.set("bootstrap|json", "false");
            });
            thread::sleep(ms(long));
            on("core", &mut |node| node.start(record));
            thread::sleep(ms(4_500));
            WIPED.fetch_sub(1, Ordering::SeqCst);
        }
        "term" => {
            on(class, &mut |node| {
                record.line(&format!("FAULT term {}", node.name));
                node.signal("-TERM");
            });
            thread::sleep(ms(6_000));
            on(class, &mut |node| {
                node.kill();
                node.start(record);
            });
        }
        "stop" => {
            on(class, &mut |node| {
                record.line(&format!("FAULT stop {} for {long} ms", node.name));
                node.signal("-STOP");
            });
            thread::sleep(ms(long));
            on(class, &mut |node| node.signal("-CONT"));
        }
        "crash" => {
            let runner = &system.runners[n as usize % system.runners.len()];
            record.line(&format!("FAULT crash for {long} ms"));
            runner.crash();
            thread::sleep(ms(long));
            let id = match rng.below(2) {
                0 => runner.kind.id.clone(),
                _ => format!("{}-{:x}", runner.kind.id, rng.below(65_536)),
            };
            runner.start(&id);
        }
        "late" | "grants" => {
            record.line(&format!("FAULT late orders ({what})"));
            let runner = &system.runners[n as usize % system.runners.len()];
            runner.set_grants(what == "grants");
            runner.set_late(200);
            thread::sleep(ms(5_500));
            runner.set_late(0);
        }
        "hang" => {
            let runner = &system.runners[n as usize % system.runners.len()];
            record.line(&format!("FAULT hang {} for {long} ms", runner.kind.id));
            runner.set_hung(true);
            thread::sleep(ms(long));
            runner.set_hung(false);
        }
        "cut" => {
            let runner = &system.runners[n as usize % system.runners.len()];
            runner.cut();
            thread::sleep(ms(long));
            runner.heal();
        }
        "mute" => {
            let runner = &system.runners[n as usize % system.runners.len()];
            record.line(&format!("FAULT mute {} for {long} ms", runner.kind.id));
            runner.set_mute(true);
            thread::sleep(ms(long));
            runner.set_mute(false);
        }
        // Parts an entry or a sidecar from the control instances.
        "part" => {
            let mut name = String::new();
            on(class, &mut |node| name = node.name.clone());
            let refuse = rng.below(2) == 0;
            record.line(&format!("FAULT {name} is cut off for {long} ms, refuse={refuse}"));
            system.paths[&name].iter().for_each(|path| path.cut(refuse));
            thread::sleep(ms(long));
            system.paths[&name].iter().for_each(Proxy::heal);
            record.line(&format!("{name} is in touch again"));
        }
        "spot" => {
            let runner = &system.runners[n as usize % system.runners.len()];
            record.line(&format!("FAULT spot {}", runner.kind.id));
            runner.leave();
            thread::sleep(ms(long));
            let id = match rng.below(2) {
                0 => runner.kind.id.clone(),
                _ => format!("{}-{:x}", runner.kind.id, rng.below(65_536)),
            };
            runner.start(&id);
        }
        "leave" => {
            let runner = &system.runners[n as usize % system.runners.len()];
            record.line(&format!("FAULT leave {}", runner.kind.id));
            runner.drain();
            thread::sleep(ms(5_000));
            runner.crash();
            thread::sleep(ms(1_000));
            runner.start(&format!("{}-{:x}", runner.kind.id, rng.below(65_536)));
        }
        "all" => {
            record.line(&format!("FAULT all processes are killed, for {long} ms"));
            let mut nodes = nodes.lock().unwrap();
            let Nodes3 { all } = Nodes3::of(&mut nodes);
            let mut all = all;
            all.iter_mut().for_each(|node| node.kill());
            thread::sleep(ms(long.min(1_500)));
            all.iter_mut().for_each(|node| node.start(record));
        }
        "herd" => {
            record.line("FAULT all core processes are killed");
            let mut nodes = nodes.lock().unwrap();
            nodes.0.iter_mut().for_each(crate::system::Node::kill);
            thread::sleep(ms(500));
            nodes.0.iter_mut().for_each(|node| node.start(record));
        }
        _ => record.line(&format!("no fault {kind}")),
    }
}
