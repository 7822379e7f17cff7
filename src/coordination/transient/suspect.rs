//! Tasks that may crash backend servers. A crash ends all attempts on the server, and the task of
//! each of them may have caused it. Such a suspect runs next on a server that is held for it: this
//! entry starts nothing else there, so that another crash affects no other task of it and has one
//! suspect.

use super::{Key, Scheduler, crash};
use crate::protocol::queue::Task;

/// One in this many servers of a service is held for suspects at a time, but at least one.
const SERVERS_PER_HELD: usize = 8;
/// Longest time for which a server that was lost while it was held counts as held, in ms. It counts
/// until it accepts start commands again.
const LOST_HELD_MS: u64 = 5_000;

impl Scheduler {
    /// Starts suspects of the service at `service_index` in `ready` on servers that are held for
    /// them.
    pub(super) fn assign_suspects(&mut self, now_ms: u64, service_index: usize) {
        self.release_servers(now_ms, service_index);
        if self.ready[service_index].suspects.is_empty() {
            return;
        }
        self.hold_servers(now_ms, service_index);
        let free = self.servers.iter().filter(|(_, server)| server.outstanding() == 0);
        let free = free.filter_map(|(key, server)| Some((Key(key), server.held_for?)));
        let free: Vec<(Key, Task)> =
            free.filter(|(_, task)| self.may_start(now_ms, *task)).collect();
        for (key, task) in free {
            if let Some(needs) = self.jobs[&task.job].step(task).map(|step| step.needs)
                && self.servers[key.0].has_capacity(&needs)
            {
                self.start(now_ms, task, key);
            }
        }
    }

    /// Whether a suspect may start: its step may, no attempt of it is commanded, and none of its crashes
    /// is about to decide that its job fails.
    fn may_start(&self, now_ms: u64, task: Task) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return false };
        job.is_step_ready(task)
            && job.progress(task).is_some_and(|progress| {
                progress.placement.is_none() && !crash::awaits_decision(&progress.crashes, now_ms)
            })
    }

    fn is_placed(&self, task: Task) -> bool {
        let progress = self.jobs.get(&task.job).and_then(|job| job.progress(task));
        progress.is_some_and(|progress| progress.placement.is_some())
    }

    /// Releases servers whose suspects have ended, or wait and cannot start there any more.
    fn release_servers(&mut self, now_ms: u64, service_index: usize) {
        let (service, ready) = &self.ready.get_index(service_index).expect("a known service");
        let released = self.servers.iter().filter(|(_, server)| {
            let Some(task) = server.held_for else { return false };
            let usable = || {
                let step = self.jobs.get(&task.job).and_then(|job| job.step(task));
                step.is_some_and(|step| server.suits(now_ms, service, task, step))
            };
            server.sidecar.server.service == **service
                && !(ready.suspects.contains(&task)
                    && (self.is_placed(task) || self.may_start(now_ms, task) && usable()))
        });
        let released: Vec<usize> = released.map(|(key, _)| key).collect();
        for key in released {
            self.servers[key].held_for = None;
        }
    }

    /// Holds servers for waiting suspects: those with the fewest attempts of this entry. Suspects of
    /// jobs that can be on time come first, those of jobs without value last.
    fn hold_servers(&mut self, now_ms: u64, service_index: usize) {
        let (service, ready) = self.ready.get_index(service_index).expect("a known service");
        let servers = || self.servers.iter().filter(|(_, s)| s.sidecar.server.service == *service);
        let held: Vec<Task> = servers().filter_map(|(_, server)| server.held_for).collect();
        let lost = servers().filter(|(_, server)| {
            server.lost_held_ms.is_some_and(|lost_ms| lost_ms + LOST_HELD_MS > now_ms)
        });
        let used = held.len() + lost.count();
        let most = servers().filter(|(_, s)| s.connected).count().div_ceil(SERVERS_PER_HELD);
        let mut waiting: Vec<Task> = ready.suspects.iter().copied().collect();
        waiting.retain(|task| self.may_start(now_ms, *task) && !held.contains(task));
        waiting.sort_by_key(|task| {
            let job = &self.jobs[&task.job];
            (job.has_no_value(now_ms), job.is_late(now_ms), job.latest_start_ms, *task)
        });
        let mut chosen: Vec<(usize, Task)> = Vec::new();
        for task in waiting {
            if used + chosen.len() >= most {
                break;
            }
            let Some(step) = self.jobs[&task.job].step(task) else { continue };
            let suitable = servers().filter(|(key, server)| {
                server.held_for.is_none()
                    && !chosen.iter().any(|(other, _)| other == key)
                    && server.suits(now_ms, service, task, step)
                    && server.sidecar.server.capacity.fits(&step.needs)
            });
            let best = suitable.min_by(|(_, a), (_, b)| {
                let cost = a.cost(step).total_cmp(&b.cost(step));
                a.outstanding().cmp(&b.outstanding()).then(cost)
            });
            chosen.extend(best.map(|(key, _)| (key, task)));
        }
        for (key, task) in chosen {
            self.servers[key].held_for = Some(task);
        }
    }
}
