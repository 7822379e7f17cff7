//! Attempts at the backend server that make no progress, and what the server takes meanwhile.

use super::{
    BackendServer, Running, Sidecar,
    progress::{Admission, Change, Progress, Sample},
};

impl Sidecar {
    /// Detects that attempts at the backend server stand still: their progress has not changed for at
    /// least `stall_ms`. `None` detects nothing.
    pub fn with_stall_detection(self, stall_ms: Option<u64>) -> Sidecar {
        Sidecar { stall_ms, ..self }
    }

    /// Stops the attempts that stand still. `running` is from an answer of the backend server that was
    /// made at `clock_ms` on its clock.
    pub(super) fn watch_progress(&mut self, now_ms: u64, clock_ms: u64, running: &[Running]) {
        let Some(backend) = &mut self.backend else { return };
        let samples = backend.samples(now_ms, running);
        backend.progress_known = running.iter().all(|running| running.progress.is_some());
        let Some(progress) = &mut backend.progress else { return };
        let verdict = progress.observe(now_ms, clock_ms, &samples);
        let server = &backend.server.id;
        let (attempts, stopped) = (samples.len(), verdict.stops.len());
        match verdict.change {
            Some(Change::Stalled { for_ms }) => log::warn!(
                "event=server_stalled server={server} runs={attempts} stopped={stopped} \
                 for_ms={for_ms}"
            ),
            Some(Change::Recovered { after_ms, trials }) => log::info!(
                "event=server_recovered server={server} runs={attempts} after_ms={after_ms} \
                 trials={trials}"
            ),
            None => {}
        }
        for sample in samples.iter().filter(|sample| verdict.stops.contains(&sample.attempt)) {
            let Sample { attempt, percent, ran_ms, .. } = sample;
            log::info!("event=run_stalled run={attempt} percent={percent} ran_ms={ran_ms}");
        }
        for attempt in verdict.stops {
            self.stop(attempt);
        }
    }
}

impl BackendServer {
    /// Returns the progress of the attempts in the list that are assigned and not being stopped.
    fn samples(&self, now_ms: u64, running: &[Running]) -> Vec<Sample> {
        let sample = |running: &Running| {
            let assignment = self.assignments.get(&running.attempt)?;
            assignment.is_wanted().then_some(Sample {
                attempt: running.attempt,
                percent: running.progress?,
                ran_ms: now_ms.saturating_sub(assignment.called_ms),
                estimate_ms: assignment.start.estimate_ms,
            })
        };
        running.iter().filter_map(sample).collect()
    }

    /// Whether attempts that make no progress are stopped.
    pub fn watches_progress(&self) -> bool {
        self.progress.is_some() && self.progress_known && !self.unresponsive()
    }

    /// Returns which attempts may start as far as the progress of the others is concerned.
    pub fn admission(&self, now_ms: u64) -> Admission {
        let runs = |attempt: &_| self.assignments.contains_key(attempt);
        let admission = |progress: &Progress| progress.admission(now_ms, runs);
        self.progress.as_ref().map_or(Admission::All, admission)
    }
}
