//! Handles the calls of entries and operators about jobs and the configuration.

use std::{sync::Arc, time::Duration};

use tokio::time;

use super::{Coordinator, admission::Verdict};
use crate::{
    protocol::{
        queue::{Config, Id, Job, Phase},
        wire::{
            control,
            queue::{Answer, Call, Refusal, View},
        },
    },
    state::machine::queue::{Change, Reply, Submission},
    util,
};

/// Longest time that a watch call waits for changes.
const WATCH_WAIT_MAX: Duration = Duration::from_millis(1_000);
/// Longest time that a configuration waits for others to be stored.
const CONFIGURE_WAIT_MAX: Duration = Duration::from_millis(500);
/// Time for which further changes are collected before a watch call is answered.
const COLLECT_TIME: Duration = Duration::from_millis(15);

/// Versions of what an entry knows, as in [`Call::Watch`].
#[derive(Debug, Clone, Copy)]
struct Versions {
    config: u64,
    sidecars: u64,
    drains: u64,
}

impl Coordinator {
    /// Carries out a call if this instance leads, and refuses it otherwise.
    pub async fn call(&self, call: Call) -> Result<Answer, Refusal> {
        self.wait_for_leader().await;
        let term = self.check_formed()?;
        match call {
            Call::Submit { host, path, job } => self.submit(term, host, path, job).await,
            Call::Query { host, path } => self.query(&host, &path).await,
            Call::Cancel { host, path } => self.cancel(&host, &path).await,
            Call::Configure(config) => self.configure(config).await,
            Call::Watch { config, sidecars, wait_ms, drains } => {
                let known = Versions { config, sidecars, drains };
                let wait = Duration::from_millis(wait_ms).min(WATCH_WAIT_MAX);
                if time::timeout(wait, self.wait_for_change(known)).await.is_ok() {
                    time::sleep(COLLECT_TIME).await;
                }
                self.confirm_current().await?;
                self.view(known).map(Answer::View)
            }
            Call::Drain { data_centre, drained } => self.drain(&data_centre, drained).await,
            Call::ReadConfig => {
                self.confirm_current().await?;
                let state = self.inner.replica.state();
                Ok(state.queues().config().cloned().map_or(Answer::NoConfig, Answer::Config))
            }
        }
    }

    /// Returns once [`Coordinator::view`] has something to return, or this instance does not lead.
    async fn wait_for_change(&self, known: Versions) {
        loop {
            let view_changed = self.inner.view_changed.notified();
            match self.view(known) {
                Ok(View { config: None, sidecars: None, drains: None, .. }) => view_changed.await,
                Ok(_) | Err(_) => return,
            }
        }
    }

    /// The configuration and the drains if they are newer than those known, and the list of sidecars
    /// if it has another version.
    fn view(&self, known: Versions) -> Result<View, Refusal> {
        let leadership = self.inner.leadership.borrow();
        let Some(leadership) = leadership.as_ref() else { return Err(self.not_leader()) };
        let state = self.inner.replica.state();
        let newer = state.queues().config().filter(|stored| stored.version > known.config);
        let version = leadership.sidecar_list_version();
        let drains = self.inner.drains.borrow();
        Ok(View {
            config: newer.cloned(),
            sidecars: (version != known.sidecars).then(|| (version, leadership.sidecar_list())),
            members: self.inner.replica.members(),
            drains: (drains.version > known.drains).then(|| drains.clone()),
        })
    }

    /// Returns once the state of this instance is confirmed to be current.
    pub(super) async fn confirm_current(&self) -> Result<(), Refusal> {
        match self.inner.barrier.wait().await {
            Ok(_) => Ok(()),
            Err(control::Refusal::NotLeader { leader }) => Err(self.led_by(leader)),
            Err(refusal) => Err(Refusal::NotReady { detail: format!("{refusal:?}") }),
        }
    }

    async fn propose(&self, change: Change) -> Result<Reply, Refusal> {
        self.inner.batcher.propose(change).await.map_err(|refusal| match refusal {
            control::Refusal::NotLeader { leader } => self.led_by(leader),
            refusal => Refusal::Unknown { detail: format!("{refusal:?}") },
        })
    }

    /// The job that `path` names within its queue, or `None` if it names the queue itself.
    fn locate(&self, host: &str, path: &str) -> Result<Option<Id>, Answer> {
        let state = self.inner.replica.state();
        let Some(config) = state.queues().config() else { return Err(Answer::NoConfig) };
        let Some((_, rest)) = config.route(host, path) else { return Err(Answer::NoQueue) };
        match Id::parse(rest) {
            Some(id) => Ok(Some(id)),
            None if rest.is_empty() => Ok(None),
            None => Err(Answer::NoJob),
        }
    }

    async fn submit(
        &self,
        term: u64,
        host: String,
        path: String,
        job: Job,
    ) -> Result<Answer, Refusal> {
        let id = match self.locate(&host, &path) {
            Ok(Some(id)) => id,
            Ok(None) => return Ok(Answer::NoJob),
            Err(answer) => {
                // Another instance may have stored a newer configuration.
                self.confirm_current().await?;
                match self.locate(&host, &path) {
                    Ok(Some(id)) => id,
                    _ => return Ok(answer),
                }
            }
        };
        if let Err(fault) = job.check() {
            log::warn!("event=submit_invalid job={id} fault={fault:?}");
            return Err(Refusal::NotReady { detail: fault });
        }
        let _pending = match self.admit(id, &job).await? {
            Verdict::Admitted(guard) => guard,
            Verdict::Stored => return Ok(Answer::Accepted),
            Verdict::Pending(ended) => {
                drop(job);
                ended.notified().await;
                return match self.inner.replica.state().queues().job(id) {
                    Some(_) => Ok(Answer::Accepted),
                    None => Err(Refusal::Unknown { detail: "the job was not stored".to_owned() }),
                };
            }
            Verdict::Full => {
                self.inner.meter.job_refused(id);
                return Ok(Answer::Full);
            }
        };
        let keep_ms = self.inner.settings.keep_ms;
        let submission = Submission { id, host, path, job, term, keep_ms };
        let reply = self.propose(Change::Submit(submission)).await?;
        log::info!("event=submit job={id} outcome={reply:?} term={term}");
        match reply {
            Reply::Done => self.schedule(id),
            Reply::Known => {}
            Reply::NoQueue => return Ok(Answer::NoQueue),
            Reply::NoConfig | Reply::Unknown => return Ok(Answer::NoConfig),
        }
        Ok(Answer::Accepted)
    }

    /// Decides whether a submission is proposed. It is refused only by a state that is current, as
    /// another leader may have stored the job.
    async fn admit(&self, id: Id, job: &Job) -> Result<Verdict, Refusal> {
        let decide = || {
            let state = self.inner.replica.state();
            self.inner.admission.decide(id, job, state.queues())
        };
        match decide() {
            Verdict::Full => {
                self.confirm_current().await?;
                Ok(decide())
            }
            verdict => Ok(verdict),
        }
    }

    /// Passes a job that has just been stored to the scheduler, and assigns its tasks.
    fn schedule(&self, id: Id) {
        let now_ms = util::boot_ms();
        {
            let mut leadership = self.inner.leadership.borrow_mut();
            let Some(leadership) = leadership.as_mut() else { return };
            let state = self.inner.replica.state();
            leadership.scheduler.accept(now_ms, id, state.queues());
        }
        self.assign(now_ms);
    }

    async fn query(&self, host: &str, path: &str) -> Result<Answer, Refusal> {
        self.confirm_current().await?;
        let leadership = self.inner.leadership.borrow();
        let Some(leadership) = leadership.as_ref() else { return Err(self.not_leader()) };
        let id = match self.locate(host, path) {
            Ok(id) => id,
            Err(answer) => return Ok(answer),
        };
        let state = self.inner.replica.state();
        let Some(id) = id else {
            let is_pending = |(id, job_prefix, job_host): (Id, &str, &str)| {
                path == job_prefix && host == job_host && !leadership.scheduler.started(id)
            };
            let open = state.queues().open();
            let count = open.filter(|(id, r)| is_pending((*id, &r.prefix, &r.host))).count();
            return Ok(Answer::Pending(count as u64));
        };
        Ok(match state.queues().job(id) {
            None => Answer::NoJob,
            Some(record) if record.phase.is_terminal() => Answer::State(record.phase),
            Some(_) if leadership.scheduler.started(id) => Answer::State(Phase::Running),
            Some(_) => Answer::State(Phase::Queued),
        })
    }

    async fn cancel(&self, host: &str, path: &str) -> Result<Answer, Refusal> {
        self.confirm_current().await?;
        let id = match self.locate(host, path) {
            Ok(Some(id)) => id,
            Ok(None) => return Ok(Answer::NoJob),
            Err(answer) => return Ok(answer),
        };
        let reply = self.propose(Change::Cancel(id)).await?;
        log::info!("event=cancel job={id} outcome={reply:?}");
        if reply == Reply::Unknown {
            return Ok(Answer::NoJob);
        }
        let now_ms = util::boot_ms();
        {
            let mut leadership = self.inner.leadership.borrow_mut();
            let state = self.inner.replica.state();
            if let (Some(leadership), Some(record)) = (leadership.as_mut(), state.queues().job(id))
            {
                leadership.scheduler.close(id, record);
            }
        }
        self.assign(now_ms);
        Ok(Answer::Accepted)
    }

    /// Whether a configuration of this version would change nothing.
    fn is_configured(&self, version: u64) -> bool {
        let state = self.inner.replica.state();
        state.queues().config().is_some_and(|stored| stored.version >= version)
    }

    async fn configure(&self, config: Arc<Config>) -> Result<Answer, Refusal> {
        let (version, queues) = (config.version, config.queues.len());
        let bytes = config.document.len();
        let Some(_pass) = self.inner.config_gate.enter(bytes, CONFIGURE_WAIT_MAX).await else {
            log::warn!("event=configure_refused version={version} reason=memory");
            return Err(Refusal::NotReady { detail: "too many configurations at once".to_owned() });
        };
        if self.is_configured(version) {
            self.confirm_current().await?;
            log::info!("event=configure version={version} queues={queues} outcome=Known");
            return Ok(Answer::Accepted);
        }
        let reply = self.propose(Change::Configure(config)).await?;
        log::info!("event=configure version={version} queues={queues} outcome={reply:?}");
        self.inner.view_changed.notify_waiters();
        Ok(Answer::Accepted)
    }
}
