//! The sidecar's side of the registration with the leader: reports of crashes, ends and running
//! attempts, and the leader's commands.

use super::{BackendServer, Sidecar, Source, backend::Sent};
use crate::protocol::wire::queue::{Backend, Commands, Crash, Report, Server, ServerId};

impl Sidecar {
    /// Records, for the leader, a crash of the present incarnation of the backend server under the
    /// attempts that were sent to it; `confirmed` if another one has answered. A draining server is
    /// about to leave, and its end is no crash.
    pub(super) fn record_crash(&mut self, confirmed: bool) {
        let Some(backend) = &mut self.backend else { return };
        let lost = std::mem::take(&mut backend.unaccounted);
        let of_leader: Vec<&Sent> =
            lost.iter().filter(|sent| sent.source == Source::Leader).collect();
        if of_leader.is_empty() || backend.server.draining || self.draining {
            return;
        }
        let attempts = |began: bool| {
            let sent = of_leader.iter().filter(|sent| sent.began == began);
            sent.map(|sent| sent.attempt).collect()
        };
        self.last_crash += 1;
        self.crashes.push(Crash {
            number: self.last_crash,
            server: backend.server.id.clone(),
            others: (lost.len() - of_leader.len()) as u32,
            attempts: attempts(true),
            sent: attempts(false),
            confirmed,
        });
        self.actions.report_due = true;
    }

    /// Records that the crash of `server` is certain, if one was recorded.
    pub(super) fn confirm_crash(&mut self, server: &ServerId) {
        for crash in self.crashes.iter_mut().filter(|crash| crash.server == *server) {
            crash.confirmed = true;
        }
    }

    /// Takes back the crash of `server`, which has answered again.
    pub(super) fn withdraw_crash(&mut self, server: &ServerId) {
        let withdrawn = |crash: &mut Crash| crash.server == *server && !crash.confirmed;
        for crash in self.crashes.extract_if(.., withdrawn) {
            log::info!(
                "event=crash_withdrawn server={server} runs={}",
                crash.all_attempts().count()
            );
        }
    }

    /// Builds a report to the leader, which may delay its answer by `wait_ms`. It lists no attempts
    /// and no completions while foreign attempts may still run, and no attempts while some may have
    /// ended with completions that are not known here.
    pub fn report(&mut self, wait_ms: u64) -> Report {
        self.reports += 1;
        let backend = self.backend.as_ref().filter(|backend| !backend.lost);
        let describe = |backend: &BackendServer| Server {
            draining: backend.server.draining || self.draining,
            ..backend.server.clone()
        };
        let clean = backend.filter(|backend| backend.found_clean);
        Report {
            sidecar: self.name.clone(),
            addr: self.addr,
            incarnation: self.incarnation,
            number: self.reports,
            backend: match backend {
                Some(backend) => Backend::Present(describe(backend)),
                None if self.announced => Backend::Lost,
                None => Backend::Unknown,
            },
            losses: self.losses,
            generation: self.generation,
            running: clean
                .filter(|backend| {
                    backend.accounted && backend.reported_generation != self.generation
                })
                .map(BackendServer::of_leader),
            undecided: self.backend.as_ref().map_or_else(Vec::new, BackendServer::undecided),
            completions: clean
                .map_or_else(Vec::new, |backend| backend.completions.values().cloned().collect()),
            not_started: self.not_started.clone(),
            crashes: self.crashes.clone(),
            batch: self.batch,
            wait_ms,
            drains: self.drains.version,
        }
    }

    /// Handles the commands that answer a report sent at `sent_ms`.
    pub fn handle_commands(
        &mut self,
        now_ms: u64,
        sent_ms: u64,
        report: &Report,
        commands: Commands,
    ) {
        // Drains have versions of their own, and what a leader has stored stays stored, whichever term
        // and generation it answers under.
        self.update_drains(now_ms, &commands.drains);
        self.crashes.retain(|crash| !commands.crashes_stored.contains(&crash.number));
        if commands.term < self.term || commands.generation < self.generation {
            log::info!("event=commands_outdated term={} known={}", commands.term, self.term);
            return;
        }
        self.term = commands.term;
        self.lease_until_ms = self.lease_until_ms.max(sent_ms + commands.lease_ms);
        if self.token == 0 {
            self.token = commands.generation;
            log::info!("event=fence token={}", self.token);
        }
        if commands.generation > self.generation {
            self.generation = commands.generation;
            self.batch = 0;
            self.out_of_order.clear();
            self.not_started.clear();
            self.actions.report_due |= self.clean();
            return;
        }
        // The leader does not handle the contents of a report with an outdated generation, and
        // batches for a backend server that is gone or has been replaced do not concern the present
        // one. The leader starts their tasks elsewhere once it knows of a loss, whether the server
        // is back or not.
        let Some(backend) = &mut self.backend else { return };
        if report.backend.server().map(|s| &s.id) != Some(&backend.server.id)
            || report.generation != self.generation
            || report.losses != self.losses
        {
            return;
        }
        if report.running.is_some() {
            backend.reported_generation = self.generation;
        }
        let fenced = &commands.completions_fenced;
        backend.drop_stored(now_ms, &report.completions, commands.completions_stored, fenced);
        self.not_started.retain(|refused| !report.not_started.contains(refused));
        self.out_of_order.extend(commands.batches.into_iter().map(|batch| (batch.number, batch)));
        self.handle_batches(now_ms);
    }

    /// Handles the batches received so far, each once and by ascending number. Answers on one
    /// connection may overtake each other, so a batch may arrive before its predecessor.
    fn handle_batches(&mut self, now_ms: u64) {
        while let Some(slot) = self.out_of_order.first_entry() {
            if *slot.key() > self.batch + 1 {
                break;
            }
            let batch = slot.remove();
            if batch.number <= self.batch {
                continue;
            }
            self.batch = batch.number;
            // The leader commands a start only if its own records show free capacity, so its
            // attempts are not queued here: one without free capacity is refused at once.
            for start in batch.starts {
                self.handle_start(now_ms, Source::Leader, start, now_ms, now_ms);
            }
            for attempt in batch.stops {
                self.stop(attempt);
            }
        }
    }
}
