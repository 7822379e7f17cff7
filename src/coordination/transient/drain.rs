//! Drains: nothing starts on the servers of drained data centres. Jobs that can run nowhere else are
//! refused at once if nothing of them has run.

use super::{JobOutcome, Scheduler, job::Job};
use crate::{
    coordination::drain,
    protocol::{
        queue::{Id, Step},
        wire::queue::Drains,
    },
};

impl Scheduler {
    /// The drained data centres.
    pub fn drains(&self) -> &Drains {
        &self.drains
    }

    /// Takes over drains of a newer version. Returns whether they are newer.
    pub fn update_drains(&mut self, now_ms: u64, drains: &Drains) -> bool {
        let newer = drain::update(&mut self.drains, drains);
        if newer {
            for (_, server) in &mut self.servers {
                server.set_drained(&self.drains);
            }
            self.refuse_drained();
            self.assign(now_ms);
        }
        newer
    }

    /// Refuses the jobs that can run nowhere because of drains, and of which nothing has run.
    pub fn refuse_drained(&mut self) {
        if self.drains.data_centres.is_empty() {
            return;
        }
        let refused = self.jobs.iter().filter(|(_, job)| self.is_drained(job));
        let refused: Vec<Id> = refused.map(|(id, _)| *id).collect();
        refused.into_iter().for_each(|id| self.refuse_as_drained(id));
    }

    /// Refuses a job if it can run nowhere because of drains, and nothing of it has run.
    pub(super) fn refuse_if_drained(&mut self, id: Id) {
        if self.jobs.get(&id).is_some_and(|job| self.is_drained(job)) {
            self.refuse_as_drained(id);
        }
    }

    fn refuse_as_drained(&mut self, id: Id) {
        log::info!("event=refused job={id} reason=drained");
        self.remove_job(id);
        self.actions.finished.push((id, JobOutcome::NotRun));
    }

    /// Whether nothing of a job has run, and a step of it can run on no server whose data centre is
    /// not drained.
    fn is_drained(&self, job: &Job) -> bool {
        let drained_away = |step: &Step| {
            let mut suited = false;
            for (_, server) in &self.servers {
                if server.matches(&job.service, step) {
                    suited = true;
                    if !server.is_drained() {
                        return false;
                    }
                }
            }
            suited
        };
        !self.drains.data_centres.is_empty()
            && job.has_not_run()
            && job.submitted.steps.iter().any(drained_away)
    }
}
