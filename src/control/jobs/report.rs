//! Handles the reports of sidecars about the attempts that run and have ended at their backend
//! servers.

use std::{cell::RefMut, time::Duration};

use tokio::time;

use super::{CONFIRM_MAX_AGE_MS, Coordinator, LEASE_MS, LEASE_SLACK_MS, Leadership, Sidecar};
use crate::{
    coordination::schedule::Server,
    protocol::{
        queue::{Attempt, Outcome, Phase},
        wire::queue::{Backend, Commands, Completion, Crash, Refusal, Report, ServerId},
    },
    state::machine::queue::{Change, Completion as StoredCompletion, Crash as StoredCrash, Queues},
    util,
};

/// Longest time that a report waits for commands.
const REPORT_WAIT_MAX: Duration = Duration::from_millis(1_000);
/// Pause before a refused change is proposed again.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What a report has led to.
enum Handled {
    /// Nothing was changed, as its process has not shown that it runs. The process may register under
    /// this generation.
    Offered(u64),
    /// The sidecar is registered.
    Registered {
        /// Whether this report has registered it. The answer then waits for nothing, as the sidecar
        /// has no lease yet.
        newly: bool,
        unstored: Option<Unstored>,
    },
}

/// Completions that a report has brought and that have to be stored.
struct Unstored {
    sidecar: String,
    server: ServerId,
    /// The completions with their numbers.
    completions: Vec<(u64, StoredCompletion)>,
}

impl Coordinator {
    /// Handles a report and returns the commands for its sidecar.
    pub async fn report(&self, report: Report) -> Result<Commands, Refusal> {
        let wait = Duration::from_millis(report.wait_ms).min(REPORT_WAIT_MAX);
        self.wait_for_leader().await;
        let (newly, unstored) = match self.handle_report(&report)? {
            Handled::Offered(generation) => return self.offer(generation),
            Handled::Registered { newly, unstored } => (newly, unstored),
        };
        if let Some(unstored) = unstored {
            actix_rt::spawn(self.clone().store_completions(unstored));
        }
        self.assign(util::boot_ms());
        if !newly {
            self.wait_for_commands(&report, wait).await;
        }
        self.commands(&report)
    }

    /// Handles a report, and registers its sidecar if that is due.
    fn handle_report(&self, report: &Report) -> Result<Handled, Refusal> {
        let now_ms = util::boot_ms();
        // A generation of a group that may never serve must not become a fencing token.
        self.check_formed()?;
        let mut leadership = self.inner.leadership.borrow_mut();
        let Some(leadership) = leadership.as_mut() else { return Err(self.not_leader()) };
        let state = self.inner.replica.state();
        let queues = state.queues();
        let known = leadership.sidecars.get(&report.sidecar);
        if known.is_some_and(|sidecar| sidecar.is_outdated(report)) {
            // What it says and still holds is in the newer ones.
            log::info!("event=report_outdated sidecar={} number={}", report.sidecar, report.number);
            return Ok(Handled::Registered { newly: false, unstored: None });
        }
        if known.is_some_and(|sidecar| sidecar.is_unproven(report)) {
            return Ok(Handled::Offered(leadership.offer_generation(report)));
        }
        // Before the server is removed, so that none of these tasks starts in between.
        for crash in &report.crashes {
            leadership.scheduler.crashed(now_ms, &report.sidecar, crash, queues);
        }
        leadership.scheduler.decide_crashes(report, queues);
        leadership.scheduler.add_undecided(now_ms, report, queues);
        let newly = self.register(leadership, report, queues);
        let unstored = self.handle_contents(now_ms, leadership, report, queues);
        Ok(Handled::Registered { newly, unstored })
    }

    /// Handles what a registered sidecar reports. Returns the completions that have to be stored, if
    /// there are any.
    fn handle_contents(
        &self,
        now_ms: u64,
        leadership: &mut Leadership,
        report: &Report,
        queues: &Queues,
    ) -> Option<Unstored> {
        let Leadership { scheduler, sidecars, list_changes, .. } = leadership;
        let sidecar = sidecars.get_mut(&report.sidecar)?;
        sidecar.record_report(report);
        sidecar.report_count.set(sidecar.report_count.get() + 1);
        sidecar.wake.notify_waiters();
        if report.generation == sidecar.generation {
            scheduler.remove_decided(report, queues);
        }
        let (server, key) = sidecar.server.clone()?;
        if let Backend::Present(info) = &report.backend {
            // The present process of the sidecar knows the server, and stops what an earlier
            // process left running there.
            sidecar.earlier_attempts_ended_ms = None;
            if scheduler.describe(key, info) {
                *list_changes += 1;
                self.inner.view_changed.notify_waiters();
            }
        }
        if report.generation != sidecar.generation {
            return None;
        }
        sidecar.acknowledge_batches(report.batch);
        let mut completions = Vec::new();
        for Completion { number, attempt, outcome } in &report.completions {
            if !sidecar.begin_storing(*number) {
                continue;
            }
            let completion =
                attempt.and_then(|attempt| scheduler.ended(now_ms, key, attempt, *outcome, queues));
            match completion {
                Some(completion) => completions.push((*number, completion)),
                None => sidecar.mark_stored(*number),
            }
        }
        for refused in &report.not_started {
            log::info!(
                "event=not_started run={} sidecar={} reason={:?}",
                refused.attempt,
                report.sidecar,
                refused.reason
            );
            scheduler.not_started(now_ms, key, refused, queues);
        }
        if let Some(running) = report.running.as_ref().filter(|_| !sidecar.synced) {
            log::info!("event=synced sidecar={} running={}", report.sidecar, running.len());
            scheduler.sync(now_ms, key, running, queues);
            scheduler.recovered(&report.sidecar);
            sidecar.synced = true;
        }
        let unstored = Unstored { sidecar: report.sidecar.clone(), server, completions };
        (!unstored.completions.is_empty()).then_some(unstored)
    }

    /// Registers a sidecar if its process or its backend server is new to this leader: under the
    /// generation that the process has shown, or else a new one. Returns whether it did.
    fn register(&self, leadership: &mut Leadership, report: &Report, queues: &Queues) -> bool {
        let known = leadership.sidecars.get(&report.sidecar);
        if known.is_some_and(|sidecar| sidecar.matches(report)) {
            return false;
        }
        let shown = known.and_then(|sidecar| sidecar.generation_of_candidate(report.incarnation));
        let generation = shown.unwrap_or_else(|| leadership.next_generation());
        let sidecar = leadership
            .sidecars
            .entry(report.sidecar.clone())
            .or_insert_with(|| Sidecar::new(report, generation));
        sidecar.reset(report, generation);
        leadership.list_changes += 1;
        self.inner.view_changed.notify_waiters();
        // A sidecar whose process has just started does not know its server yet. The server that
        // its earlier process reported stays registered until the sidecar reports its server or
        // the time set below is reached. One that has started again under its id stays registered,
        // as it may have received calls that were meant for its earlier process.
        let may_be_same_server = match &report.backend {
            Backend::Unknown => true,
            Backend::Lost => false,
            Backend::Present(server) => {
                sidecar.server.as_ref().is_some_and(|(known, _)| known.id == server.id.id)
            }
        };
        sidecar.earlier_attempts_ended_ms = match &report.backend {
            Backend::Unknown => Some(util::boot_ms() + LEASE_SLACK_MS),
            Backend::Lost | Backend::Present(_) => None,
        };
        if !may_be_same_server && let Some((id, key)) = sidecar.server.take() {
            log::warn!("event=server_lost sidecar={} server={id} reason=replaced", report.sidecar);
            leadership.scheduler.remove_server(util::boot_ms(), key, queues);
        }
        if let Some((_, key)) = &sidecar.server
            && let Some(server) = leadership.scheduler.server_mut(*key)
        {
            // Nothing is started there until the sidecar has reported, under the new generation,
            // which attempts run.
            server.shut();
        }
        if let (Some((known, key)), Some(server)) = (&mut sidecar.server, report.backend.server())
            && *known != server.id
        {
            log::warn!("event=server_restarted sidecar={} server={}", report.sidecar, server.id);
            leadership.scheduler.restarted(util::boot_ms(), *key, server.clone());
            *known = server.id.clone();
            sidecar.reset_completions();
        }
        if sidecar.server.is_none()
            && let Some(server) = report.backend.server()
        {
            sidecar.reset_completions();
            let key = leadership.scheduler.add_server(Server::new(server.clone()));
            sidecar.server = Some((server.id.clone(), key));
        }
        log::info!(
            "event=session sidecar={} session={} link={generation} server={}",
            report.sidecar,
            report.incarnation,
            report.backend.server().map_or("none", |server| &server.id.id)
        );
        true
    }

    /// Stores completions, then updates the scheduler and assigns the tasks that have become ready.
    async fn store_completions(self, unstored: Unstored) {
        let Unstored { sidecar: name, server, completions } = unstored;
        let to_store: Vec<StoredCompletion> =
            completions.iter().map(|(_, completion)| *completion).collect();
        let term = self.inner.replica.leading();
        if !self.store(term, Change::Complete(to_store)).await {
            // The completions are not acknowledged, so the sidecar keeps reporting them, and a
            // leader of a later term stores them.
            log::warn!("event=ends_not_stored sidecar={name} ends={}", completions.len());
            return;
        }
        {
            let mut leadership = self.inner.leadership.borrow_mut();
            let Some(leadership) =
                leadership.as_mut().filter(|leadership| Some(leadership.term) == term)
            else {
                return;
            };
            let state = self.inner.replica.state();
            for (_, completion) in &completions {
                log_end(&name, completion);
                leadership.scheduler.outcome_stored(completion, state.queues());
            }
            let sidecar = leadership.sidecars.get_mut(&name);
            // Another server, which has replaced this one, numbers its own completions.
            if let Some(sidecar) = sidecar.filter(|sidecar| sidecar.server_id() == Some(&server)) {
                completions.iter().for_each(|(number, _)| sidecar.mark_stored(*number));
                sidecar.wake.notify_waiters();
            }
        }
        self.assign(util::boot_ms());
    }

    /// Proposes a change until it is stored, since a leader whose leadership transfer is aborted
    /// refuses changes for a while and goes on leading. Returns false if the instance does not lead
    /// `term` any more; the change may then be stored or not.
    async fn store(&self, term: Option<u64>, change: Change) -> bool {
        while term.is_some() && self.inner.replica.leading() == term {
            match self.inner.batcher.propose(change.clone()).await {
                Ok(_) => return true,
                Err(refusal) => log::info!("event=store_refused refusal={refusal:?}"),
            }
            time::sleep(STORE_RETRY_DELAY).await;
        }
        false
    }

    /// Fences attempts whose ends are not known, then lets their tasks start again.
    pub(super) fn store_fence(&self, term: u64, attempts: Vec<Attempt>) {
        if attempts.is_empty() {
            return;
        }
        let coordinator = self.clone();
        actix_rt::spawn(async move {
            if !coordinator.store(Some(term), Change::Fence(attempts.clone())).await {
                // A leader of a later term waits for reports, and then fences anew.
                log::warn!("event=fence_not_stored attempts={}", attempts.len());
                return;
            }
            let mut leadership = coordinator.inner.leadership.borrow_mut();
            if let Some(leadership) = leadership.as_mut().filter(|l| l.term == term) {
                log::info!("event=fence_stored attempts={}", attempts.len());
                let state = coordinator.inner.replica.state();
                leadership.scheduler.fence_stored(&attempts, state.queues());
            }
        });
    }

    /// Stores the reported crashes that are due, then updates the scheduler.
    pub(super) fn store_crashes(&self, now_ms: u64) {
        let mut leadership = self.inner.leadership.borrow_mut();
        let Some(leadership) = leadership.as_mut() else { return };
        let crashes = leadership.scheduler.crashes_due(now_ms);
        if !crashes.is_empty() {
            let (coordinator, term) = (self.clone(), leadership.term);
            actix_rt::spawn(async move {
                if coordinator.store(Some(term), Change::Crash(crashes.clone())).await {
                    coordinator.crashes_stored(term, &crashes);
                } else {
                    // The sidecars keep reporting them, and a leader of a later term stores them.
                    log::warn!("event=crashes_not_stored crashes={}", crashes.len());
                }
            });
        }
    }

    /// Updates the scheduler after crashes were stored.
    fn crashes_stored(&self, term: u64, crashes: &[StoredCrash]) {
        let mut leadership = self.inner.leadership.borrow_mut();
        let Some(leadership) = leadership.as_mut().filter(|leadership| leadership.term == term)
        else {
            return;
        };
        let state = self.inner.replica.state();
        for crash in crashes {
            let record = state.queues().job(crash.attempt.task.job);
            let progress = record.and_then(|record| record.progress(crash.attempt.task));
            log::warn!(
                "event=crash_counted run={} crashes={} isolated={}",
                crash.attempt,
                progress.map_or(0, |progress| progress.crashes.len()),
                crash.isolated
            );
            if record.is_some_and(|record| record.phase == Phase::Failed) {
                log::warn!("event=job_given_up job={} reason=crashes", crash.attempt.task.job);
            }
            leadership.scheduler.crash_stored(crash, state.queues());
        }
    }

    /// Returns when commands are due, completions were stored, a newer report has arrived, there are
    /// newer drains than the report names, or `wait` is over.
    async fn wait_for_commands(&self, report: &Report, wait: Duration) {
        let Report { sidecar: name, generation, drains, .. } = report;
        let has_newer_drains = || self.inner.drains.borrow().version > *drains;
        let (wake, report_count, stored) = {
            let leadership = self.inner.leadership.borrow();
            let Some(sidecar) =
                leadership.as_ref().and_then(|leadership| leadership.sidecars.get(name))
            else {
                return;
            };
            if sidecar.generation != *generation
                || sidecar.has_due(util::boot_ms())
                || has_newer_drains()
            {
                return;
            }
            (sidecar.wake.clone(), sidecar.report_count.clone(), sidecar.completions_stored())
        };
        let count_before = report_count.get();
        let commands_due = async {
            loop {
                wake.notified().await;
                let leadership = self.inner.leadership.borrow();
                let Some(sidecar) =
                    leadership.as_ref().and_then(|leadership| leadership.sidecars.get(name))
                else {
                    return;
                };
                let now_ms = util::boot_ms();
                let due = sidecar.has_due(now_ms)
                    || sidecar.generation != *generation
                    || has_newer_drains()
                    || sidecar.completions_stored() != stored;
                if report_count.get() != count_before || due {
                    return;
                }
            }
        };
        let _ = time::timeout(wait, commands_due).await;
    }

    /// Returns this instance's leadership unless it may be partitioned from the others, and another
    /// one may lead.
    fn confirmed(&self, now_ms: u64) -> Result<RefMut<'_, Leadership>, Refusal> {
        let leadership = self.inner.leadership.borrow_mut();
        let leadership = RefMut::filter_map(leadership, Option::as_mut);
        let leadership = leadership.map_err(|_| self.not_leader())?;
        match now_ms <= leadership.confirmed_ms + CONFIRM_MAX_AGE_MS {
            true => Ok(leadership),
            false => Err(self.led_by(None)),
        }
    }

    /// The answer to a report whose process has not shown that it runs: a generation, without a lease
    /// or commands.
    fn offer(&self, generation: u64) -> Result<Commands, Refusal> {
        let term = self.confirmed(util::boot_ms())?.term;
        let members = self.inner.replica.members();
        let drains = self.inner.drains.borrow().clone();
        Ok(Commands { term, generation, members, drains, ..Commands::default() })
    }

    /// The commands that are due for the sidecar that sent a report, with a new lease.
    fn commands(&self, report: &Report) -> Result<Commands, Refusal> {
        let now_ms = util::boot_ms();
        let mut leadership = self.confirmed(now_ms)?;
        let leadership = &mut *leadership;
        let Report { sidecar: name, completions, crashes, .. } = report;
        let members = self.inner.replica.members();
        let state = self.inner.replica.state();
        let counts = |attempt: &Attempt| {
            state.queues().job(attempt.task.job).is_some_and(|record| record.crash_counts(*attempt))
        };
        // Once the crash is certain, only what is to be stored of it matters: attempts that had begun, or
        // one that was alone.
        let pending = |crash: &Crash| match crash.confirmed && !crash.is_alone() {
            true => crash.attempts.iter().any(counts),
            false => crash.all_attempts().any(counts),
        };
        let crashes_stored =
            crashes.iter().filter(|crash| !pending(crash)).map(|crash| crash.number).collect();
        let fenced = |completion: &&Completion| {
            let Some(attempt) = completion.attempt else { return false };
            let record = state.queues().job(attempt.task.job);
            completion.outcome != Outcome::Stopped
                && record.is_some_and(|record| record.fenced(attempt))
        };
        let completions_fenced =
            completions.iter().filter(fenced).map(|completion| completion.number).collect();
        let (term, until_ms) = (leadership.term, leadership.confirmed_ms + LEASE_MS);
        let earlier_until_ms = leadership.started_ms + LEASE_MS;
        let Some(sidecar) = leadership.sidecars.get_mut(name) else {
            // This instance has lost the leadership and regained it since the report arrived, and
            // the sidecar has not reported to it again.
            return Err(self.not_leader());
        };
        if sidecar.incarnation != report.incarnation {
            let detail = "another process of the sidecar has registered".to_owned();
            return Err(Refusal::NotReady { detail });
        }
        sidecar.lease_until_ms = until_ms;
        // Until the sidecar has listed its attempts, some that an earlier leader commanded may go on
        // under this lease. They end before the inherited tasks are given up.
        let granted_until_ms = match sidecar.synced {
            true => until_ms,
            false => until_ms.min(earlier_until_ms),
        };
        Ok(Commands {
            term,
            generation: sidecar.generation,
            lease_ms: granted_until_ms.saturating_sub(now_ms),
            completions_stored: sidecar.completions_stored(),
            completions_fenced,
            crashes_stored,
            batches: if sidecar.synced { sidecar.take_due(now_ms) } else { Vec::new() },
            members,
            drains: self.inner.drains.borrow().clone(),
        })
    }
}

/// Logs a stored completion. Those of tasks that are done alone would exceed the limit on log lines.
fn log_end(sidecar: &str, completion: &StoredCompletion) {
    let level = match completion.outcome {
        Outcome::Done => log::Level::Debug,
        Outcome::Failed | Outcome::Stopped => log::Level::Info,
    };
    let StoredCompletion { attempt, outcome } = completion;
    log::log!(level, "event=end run={attempt} how={outcome:?} sidecar={sidecar}");
}
