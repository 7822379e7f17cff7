//! Reports of sidecars: what runs and has ended at their backend servers.

use std::time::Duration;

use tokio::time;

use super::{CONFIRM_MAX_MS, Coordinator, LEASE_MS, LEASE_SLACK_MS, Lead, Sidecar};
use crate::{
    coordination::schedule::Server,
    protocol::wire::queue::{Backend, Commands, Completion, Refusal, Report},
    state::machine::queue::{self, Change, Queues},
    util,
};

/// Longest time that a report waits for orders.
const WAIT_MAX: Duration = Duration::from_millis(1_000);

impl Coordinator {
    /// Takes a report and returns orders.
    pub async fn report(&self, report: Report) -> Result<Commands, Refusal> {
        let name = report.sidecar.clone();
        let wait = Duration::from_millis(report.wait_ms).min(WAIT_MAX);
        let generation = report.generation;
        self.leader_known().await;
        let completions = self.take_report(report)?;
        if !completions.is_empty() {
            actix_rt::spawn(self.clone().store_completions(name.clone(), completions));
        }
        self.assign(util::boot_ms());
        self.wait_for_commands(&name, generation, wait).await;
        self.commands(&name)
    }

    /// Returns the ends that have to be stored.
    fn take_report(&self, report: Report) -> Result<Vec<(u64, queue::Completion)>, Refusal> {
        let now_ms = util::boot_ms();
        let mut lead = self.inner.lead.borrow_mut();
        let Some(lead) = lead.as_mut() else { return Err(self.not_leader()) };
        let state = self.inner.replica.state();
        let queues = state.queues();
        self.meet(lead, &report, queues);
        let Lead { scheduler, sidecars, lists, .. } = lead;
        let Some(sidecar) = sidecars.get_mut(&report.sidecar) else { return Ok(Vec::new()) };
        sidecar.reports.set(sidecar.reports.get() + 1);
        sidecar.wake.notify_waiters();
        let Some((_, key)) = sidecar.server.clone() else { return Ok(Vec::new()) };
        if let Backend::Present(info) = report.backend {
            // The present process has met the server, and stops what an earlier one left.
            sidecar.over_ms = None;
            if let Some(server) = scheduler.server_mut(key)
                && server.info != info
            {
                server.describe(info);
                *lists += 1;
                self.inner.changed.notify_waiters();
            }
        }
        if report.generation != sidecar.generation {
            return Ok(Vec::new());
        }
        sidecar.taken(report.batch);
        let mut to_store = Vec::new();
        for Completion { number, attempt, outcome } in report.completions {
            if !sidecar.take_completion(number) {
                continue;
            }
            let completion =
                attempt.and_then(|attempt| scheduler.ended(now_ms, key, attempt, outcome));
            match completion {
                Some(completion) => to_store.push((number, completion)),
                None => sidecar.stored(number),
            }
        }
        for not in &report.not_started {
            log::info!(
                "event=not_started run={} sidecar={} reason={:?}",
                not.attempt,
                report.sidecar,
                not.reason
            );
            scheduler.not_started(now_ms, key, not, queues);
        }
        if let Some(running) = report.running.filter(|_| !sidecar.synced) {
            log::info!("event=synced sidecar={} running={}", report.sidecar, running.len());
            scheduler.sync(now_ms, key, &running, queues);
            sidecar.synced = true;
        }
        Ok(to_store)
    }

    /// Opens a session for a sidecar or a backend server that is new to this leader.
    fn meet(&self, lead: &mut Lead, report: &Report, queues: &Queues) {
        if lead.sidecars.get(&report.sidecar).is_some_and(|sidecar| sidecar.knows(report)) {
            return;
        }
        let generation = lead.next_generation();
        let sidecar = lead
            .sidecars
            .entry(report.sidecar.clone())
            .or_insert_with(|| Sidecar::new(report.incarnation, report.addr, generation));
        sidecar.reset(report.incarnation, generation);
        sidecar.addr = report.addr;
        lead.lists += 1;
        self.inner.changed.notify_waiters();
        let kept = match &report.backend {
            Backend::Unknown => true,
            Backend::Lost => false,
            Backend::Present(server) => {
                sidecar.server.as_ref().is_some_and(|(id, _)| *id == server.id)
            }
        };
        sidecar.over_ms = match &report.backend {
            Backend::Unknown => Some(util::boot_ms() + LEASE_SLACK_MS),
            Backend::Lost | Backend::Present(_) => None,
        };
        if !kept && let Some((id, key)) = sidecar.server.take() {
            log::warn!("event=server_lost sidecar={} server={id} reason=replaced", report.sidecar);
            lead.scheduler.remove_server(key, queues);
        }
        if let Some((_, key)) = &sidecar.server
            && let Some(server) = lead.scheduler.server_mut(*key)
        {
            server.shut();
        }
        if sidecar.server.is_none()
            && let Some(server) = report.backend.server()
        {
            sidecar.reset_completions();
            let key = lead.scheduler.add_server(Server::new(server.clone()));
            sidecar.server = Some((server.id.clone(), key));
        }
        log::info!(
            "event=session sidecar={} session={} link={generation} server={}",
            report.sidecar,
            report.incarnation,
            report.backend.server().map_or("none", |server| &server.id.id)
        );
    }

    /// Stores ends and lets what waited for them go on.
    async fn store_completions(self, name: String, completions: Vec<(u64, queue::Completion)>) {
        let changes: Vec<queue::Completion> =
            completions.iter().map(|(_, completion)| *completion).collect();
        let term = self.inner.replica.leading();
        let stored = self.inner.batcher.propose(Change::Complete(changes)).await;
        {
            let mut lead = self.inner.lead.borrow_mut();
            let Some(lead) = lead.as_mut().filter(|lead| Some(lead.term) == term) else { return };
            if let Err(refusal) = stored {
                // The next leader learns of the ends from the sidecar.
                log::warn!("event=ends_not_stored sidecar={name} refusal={refusal:?}");
                return;
            }
            let state = self.inner.replica.state();
            for (number, completion) in &completions {
                log::info!(
                    "event=end run={} how={:?} sidecar={name}",
                    completion.attempt,
                    completion.outcome
                );
                lead.scheduler.outcome_stored(completion, state.queues());
                if let Some(sidecar) = lead.sidecars.get_mut(&name) {
                    sidecar.stored(*number);
                }
            }
            if let Some(sidecar) = lead.sidecars.get(&name) {
                sidecar.wake.notify_waiters();
            }
        }
        self.assign(util::boot_ms());
    }

    /// Returns when there are orders, a newer report has come, or `wait` is over.
    async fn wait_for_commands(&self, name: &str, generation: u64, wait: Duration) {
        let (wake, reports, stored) = {
            let lead = self.inner.lead.borrow();
            let Some(sidecar) = lead.as_ref().and_then(|lead| lead.sidecars.get(name)) else {
                return;
            };
            if sidecar.generation != generation || sidecar.has_due(util::boot_ms()) {
                return;
            }
            (sidecar.wake.clone(), sidecar.reports.clone(), sidecar.completions_stored())
        };
        let number = reports.get();
        let wanted = async {
            loop {
                wake.notified().await;
                let lead = self.inner.lead.borrow();
                let Some(sidecar) = lead.as_ref().and_then(|lead| lead.sidecars.get(name)) else {
                    return;
                };
                let now_ms = util::boot_ms();
                let news = sidecar.has_due(now_ms)
                    || sidecar.generation != generation
                    || sidecar.completions_stored() != stored;
                if reports.get() != number || news {
                    return;
                }
            }
        };
        let _ = time::timeout(wait, wanted).await;
    }

    fn commands(&self, name: &str) -> Result<Commands, Refusal> {
        let now_ms = util::boot_ms();
        let mut lead = self.inner.lead.borrow_mut();
        let Some(lead) = lead.as_mut() else { return Err(self.not_leader()) };
        if lead.confirmed_ms + CONFIRM_MAX_MS < now_ms {
            // Cut off, perhaps: another instance may lead.
            return Err(Refusal::NotLeader { leader: None });
        }
        let control_addrs = self.members();
        let (term, until_ms) = (lead.term, lead.confirmed_ms + LEASE_MS);
        let Some(sidecar) = lead.sidecars.get_mut(name) else { return Err(self.not_leader()) };
        sidecar.lease_until_ms = until_ms;
        Ok(Commands {
            term,
            generation: sidecar.generation,
            lease_ms: until_ms.saturating_sub(now_ms),
            completions_stored: sidecar.completions_stored(),
            batches: if sidecar.synced { sidecar.due(now_ms) } else { Vec::new() },
            control_addrs,
        })
    }
}
