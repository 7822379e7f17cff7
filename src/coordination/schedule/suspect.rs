//! Tasks that may have crashed backend servers. A crash ends all attempts at the server, so each of
//! their tasks is a suspect until it is done, or until the crash is explained by another task.

use std::collections::{BTreeMap, VecDeque};

use indexmap::{IndexMap, IndexSet};

use crate::{
    protocol::{
        queue::{Attempt, Id, Task},
        wire::queue::{self as wire, ServerId},
    },
    state::machine::queue::Crash,
};

/// Time around a crash within which the loss of other servers suggests a common cause, in ms.
const COMMON_CAUSE_MS: u64 = 300;
/// Number of other servers whose loss within that time suggests a common cause.
const COMMON_CAUSE_SERVERS: usize = 2;
/// One of so many backend servers of a service, rounded up, may run suspects or be down because of
/// one. More suspects would take too much from other tasks; fewer would wait for long, as each crash
/// keeps a server down for seconds.
const SERVERS_PER_SUSPECT: usize = 3;
/// While no other tasks wait, one server, and one more of so many, is left to tasks that may come.
const SERVERS_PER_SPARE: usize = 8;
/// Longest time for which a server that crashed under a suspect counts as down because of it, in
/// ms.
const DOWN_MAX_MS: u64 = 10_000;

/// Returns the number of a service's backend servers that may run suspects, or be down because of
/// them, at the same time, and the same while no other tasks wait: those above the first number have
/// to be idle.
pub fn servers_max(servers: usize) -> (usize, usize) {
    let spare = 1 + servers / SERVERS_PER_SPARE;
    let most = servers.div_ceil(SERVERS_PER_SUSPECT);
    (most, servers.saturating_sub(spare).max(most))
}

/// A reported crash that is not stored yet. Once it is confirmed, its task does not start before it is.
#[derive(Debug)]
struct Report {
    /// The sidecar that reports it.
    sidecar: String,
    server: ServerId,
    /// Whether nothing else had been sent to the server.
    alone: bool,
    /// Whether the attempt is known to have run there.
    began: bool,
    reported_ms: u64,
    /// From when it may be stored.
    due_ms: u64,
    /// Whether nothing but the attempt explains the crash; not known before `due_ms`.
    isolated: Option<bool>,
    /// Whether it is certain that the server has ended. It is not stored before.
    confirmed: bool,
    storing: bool,
    /// Whether the process of the sidecar that reports it has ended. What its next one tells of the
    /// server decides.
    orphaned: bool,
}

impl Report {
    /// Whether the crash counts once it is confirmed. An attempt that may not have begun explains a
    /// crash only if nothing else does.
    fn counts(&self) -> bool {
        self.began || self.alone
    }

    fn awaits_storage(&self) -> bool {
        self.confirmed && self.counts()
    }
}

/// What a report of a sidecar has shown of crashes that were not confirmed.
#[derive(Debug, Default)]
pub struct Decided {
    /// Tasks under an attempt of which a server has certainly crashed.
    pub confirmed: Vec<Task>,
    /// Tasks that are no suspects any more.
    pub cleared: Vec<Task>,
}

/// The suspects and the crashes that made them so.
#[derive(Debug, Default)]
pub struct Suspects {
    /// For each suspect, the servers that have crashed, or may have, and that no other task explains;
    /// `None` stands for crashes that an earlier leader stored.
    tasks: BTreeMap<Task, IndexSet<Option<ServerId>>>,
    reports: BTreeMap<Attempt, Report>,
    /// Processes of the sidecars, by their names.
    processes: IndexMap<String, u64>,
    /// Servers lost lately.
    losses: VecDeque<(u64, ServerId)>,
    /// Sidecars whose server crashed under a suspect, with its service, and until when it counts as
    /// down. The next incarnation of a server may have another id.
    down: IndexMap<String, (String, u64)>,
}

impl Suspects {
    /// Adds a suspect whose crashes an earlier leader has stored.
    pub fn inherit(&mut self, task: Task) {
        self.tasks.entry(task).or_default().insert(None);
    }

    pub fn contains(&self, task: Task) -> bool {
        self.tasks.contains_key(&task)
    }

    /// Whether a confirmed crash under an attempt of the task is not stored yet.
    pub fn awaits_storage(&self, task: Task) -> bool {
        self.reports.range(super::attempts_range(task)).any(|(_, report)| report.awaits_storage())
    }

    /// Number of crashes under attempts of the task that count once they are confirmed, without those
    /// that were reported so long ago that nothing waits for what they are.
    pub fn unconfirmed(&self, now_ms: u64, task: Task) -> usize {
        let of_task = self.reports.range(super::attempts_range(task));
        let waits = |report: &Report| {
            report.counts() && !report.confirmed && now_ms < report.reported_ms + DOWN_MAX_MS
        };
        of_task.filter(|(_, report)| waits(report)).count()
    }

    /// Whether a task of the job is a suspect, or a confirmed crash under one is not stored yet.
    pub fn concerns(&self, job: Id) -> bool {
        let task = Task { job, step: 0, index: 0 };
        let suspect = self.tasks.range(task..).next().map(|(task, _)| task.job);
        let first = Attempt { task, number: 0 };
        let mut of_job =
            self.reports.range(first..).take_while(|(attempt, _)| attempt.task.job == job);
        suspect == Some(job) || of_job.any(|(_, report)| report.awaits_storage())
    }

    /// Records the loss of a server, for whatever reason.
    pub fn lost(&mut self, now_ms: u64, server: ServerId) {
        self.losses.retain(|(at_ms, _)| at_ms + 2 * COMMON_CAUSE_MS >= now_ms);
        if self.losses.iter().all(|(_, lost)| *lost != server) {
            self.losses.push_back((now_ms, server));
        }
    }

    /// Records that a sidecar's server crashed under a suspect that ran there apart.
    pub fn took_down(&mut self, now_ms: u64, sidecar: &str, service: &str) {
        self.down.insert(sidecar.to_owned(), (service.to_owned(), now_ms + DOWN_MAX_MS));
    }

    /// Records that a sidecar's server is up.
    pub fn up(&mut self, sidecar: &str) {
        self.down.swap_remove(sidecar);
    }

    /// Number of the service's servers that are down because of suspects.
    pub fn down(&mut self, now_ms: u64, service: &str) -> usize {
        self.down.retain(|_, (_, until_ms)| *until_ms > now_ms);
        self.down.values().filter(|(name, _)| name == service).count()
    }

    /// Records a report of a crash under an attempt. Returns false if that was done before. Until the
    /// crash is confirmed, it only makes the task a suspect, and so does one that does not count. If it
    /// may decide that the job fails, it is stored only once servers lost by a common cause have been
    /// reported too.
    pub fn report(
        &mut self,
        now_ms: u64,
        sidecar: &str,
        crash: &wire::Crash,
        attempt: Attempt,
    ) -> bool {
        if let Some(known) = self.reports.get_mut(&attempt) {
            let newly = crash.confirmed && !std::mem::replace(&mut known.confirmed, true);
            if newly && !known.counts() {
                self.reports.remove(&attempt);
            }
            return newly;
        }
        let decides = crash.is_alone() && self.contains(attempt.task) || !crash.confirmed;
        let report = Report {
            sidecar: sidecar.to_owned(),
            server: crash.server.clone(),
            alone: crash.is_alone(),
            began: crash.attempts.contains(&attempt),
            reported_ms: now_ms,
            due_ms: now_ms + if decides { COMMON_CAUSE_MS } else { 0 },
            isolated: None,
            confirmed: crash.confirmed,
            storing: false,
            orphaned: false,
        };
        if !report.awaits_storage() {
            self.tasks.entry(attempt.task).or_default().insert(Some(crash.server.clone()));
        }
        if !report.confirmed || report.counts() {
            self.reports.insert(attempt, report);
        }
        true
    }

    /// Decides on the crashes of a sidecar that are not confirmed and that it does not report any more.
    /// Its process takes back one whose server has answered again. If that process has ended, the
    /// incarnation that its successor knows shows whether the server has crashed.
    pub fn decide(&mut self, report: &wire::Report) -> Decided {
        let before = self.processes.insert(report.sidecar.clone(), report.incarnation);
        let restarted = before.is_some_and(|before| before != report.incarnation);
        let present = report.backend.server().map(|server| &server.id);
        let mut decided = Decided::default();
        let mut withdrawn = Vec::new();
        self.reports.retain(|attempt, known| {
            let reported = || report.crashes.iter().flat_map(wire::Crash::all_attempts);
            if known.confirmed
                || known.sidecar != report.sidecar
                || reported().any(|other| other == attempt)
            {
                return true;
            }
            known.orphaned |= restarted;
            match present {
                None if known.orphaned => true,
                Some(server) if known.orphaned && *server != known.server => {
                    log::info!("event=crash_confirmed run={attempt} server={}", known.server);
                    known.confirmed = true;
                    decided.confirmed.push(attempt.task);
                    known.counts()
                }
                _ => {
                    log::info!("event=crash_withdrawn run={attempt} server={}", known.server);
                    withdrawn.push((attempt.task, known.server.clone()));
                    false
                }
            }
        });
        for (task, server) in withdrawn {
            let Some(servers) = self.tasks.get_mut(&task) else { continue };
            if servers.swap_remove(&Some(server)) && servers.is_empty() {
                self.tasks.remove(&task);
                decided.cleared.push(task);
            }
        }
        decided
    }

    /// Returns the crashes that are to be stored now.
    pub fn due(&mut self, now_ms: u64) -> Vec<Crash> {
        let mut due = Vec::new();
        for (attempt, report) in &mut self.reports {
            if report.storing || report.due_ms > now_ms {
                continue;
            }
            let near = |at_ms: u64| at_ms.abs_diff(report.reported_ms) <= COMMON_CAUSE_MS;
            let others = || {
                let lost = self.losses.iter().filter(|(_, server)| *server != report.server);
                lost.filter(|(at_ms, _)| near(*at_ms)).count()
            };
            let isolated = report
                .isolated
                .unwrap_or_else(|| report.began && report.alone && others() < COMMON_CAUSE_SERVERS);
            report.isolated = Some(isolated);
            if report.confirmed {
                report.storing = true;
                due.push(Crash { attempt: *attempt, isolated });
            }
        }
        due
    }

    /// Records that a crash is stored. If the replicated state has counted it, the task is a suspect.
    pub fn stored(&mut self, attempt: Attempt, counted: bool) {
        if let Some(report) = self.reports.remove(&attempt).filter(|_| counted) {
            self.tasks.entry(attempt.task).or_default().insert(Some(report.server));
        }
    }

    /// Removes a task that is done or whose job has ended.
    pub fn remove(&mut self, task: Task) {
        self.tasks.remove(&task);
        self.reports.retain(|attempt, report| attempt.task != task || report.confirmed);
    }

    /// Records that `task` has crashed servers, which explains these crashes. Returns the tasks that
    /// are no suspects any more. Those for which `keep` is true stay suspects.
    pub fn explain(&mut self, task: Task, keep: impl Fn(Task) -> bool) -> Vec<Task> {
        let Some(crashed) = self.tasks.remove(&task) else { return Vec::new() };
        let mut cleared = Vec::new();
        for (other, servers) in &self.tasks {
            let explained =
                |server: &Option<ServerId>| server.is_some() && crashed.contains(server);
            if servers.iter().all(explained) && !keep(*other) {
                cleared.push(*other);
            }
        }
        cleared.iter().for_each(|other| self.remove(*other));
        cleared
    }
}
