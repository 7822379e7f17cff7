//! The thread that writes the log, so that a sync never blocks the event loop.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread,
    time::Duration,
};

use bytes::Bytes;
use tokio::sync::mpsc as async_mpsc;

use crate::{
    coordination::consensus::Save,
    error::Result,
    protocol::wire::peer::{Id, SnapshotMeta},
    state::{
        log::{Log, Record, files::Files},
        machine,
        snapshot::Snapshot,
    },
};

/// Pause before a failed write is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A job for the storage thread; jobs are done in order.
pub(super) enum Job {
    Save(Box<Save>),
    /// Removes log segments up to an index that a stored snapshot covers.
    Trim(u64),
    /// Gives the data directory a new disk id.
    RenewDiskId,
}

/// Result of a job, or of making a snapshot.
pub(super) enum JobResult {
    Saved(Box<Save>),
    /// A snapshot is serialised: the state is no longer shared and entries can be applied again.
    StateReleased,
    SnapshotStored(Snapshot),
    Trimmed,
    DiskIdRenewed(Id),
    /// A write failed; it is repeated until it succeeds.
    Failed(String),
    /// A snapshot could not be stored. The replica makes another one later.
    SnapshotFailed(String),
    /// The log could not be trimmed. This is not repeated.
    TrimFailed(String),
}

/// Handle of the storage thread. Dropping it ends the thread, which closes the log.
pub(super) struct Storage {
    jobs: mpsc::Sender<Job>,
    /// Set to make the thread stop repeating a failing write.
    ended: Arc<AtomicBool>,
    files: Arc<dyn Files>,
    results: async_mpsc::WeakUnboundedSender<JobResult>,
}

impl Storage {
    /// Serialises and stores a snapshot on a separate thread. Both take long for a large state, and
    /// neither heartbeats nor log writes may be delayed by them.
    pub fn snapshot(&self, meta: SnapshotMeta, state: Arc<machine::State>) {
        let Some(results) = self.results.upgrade() else { return };
        let files = self.files.clone();
        thread::spawn(move || {
            let mut data = postcard::to_stdvec(&*state).expect("states serialise");
            drop(state);
            data.shrink_to_fit();
            let data = Bytes::from(data);
            let _ = results.send(JobResult::StateReleased);
            let snapshot = Snapshot { meta, data };
            let stored = snapshot.store(&*files);
            // The data directory must be unlocked before the channel is closed.
            drop(files);
            let _ = results.send(match stored {
                Ok(()) => JobResult::SnapshotStored(snapshot),
                Err(e) => JobResult::SnapshotFailed(e.to_string()),
            });
        });
    }

    pub fn submit(&self, job: Job) {
        // Sending fails only if the replica, which receives the results, is gone.
        let _ = self.jobs.send(job);
    }
}

impl Drop for Storage {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

/// Starts the storage thread. The result channel closes once the log is closed.
pub(super) fn start(log: Log) -> (Storage, async_mpsc::UnboundedReceiver<JobResult>) {
    let (jobs, queue) = mpsc::channel();
    let (sender, results) = async_mpsc::unbounded_channel();
    let ended = Arc::new(AtomicBool::new(false));
    let (files, weak) = (log.files(), sender.downgrade());
    let writer = Writer { log, results: sender, ended: ended.clone() };
    thread::spawn(move || writer.run(&queue));
    (Storage { jobs, ended, files, results: weak }, results)
}

/// State of the storage thread. The field order matters: the log is dropped, and so closed, before
/// the result channel.
struct Writer {
    log: Log,
    results: async_mpsc::UnboundedSender<JobResult>,
    ended: Arc<AtomicBool>,
}

impl Writer {
    fn run(mut self, queue: &mpsc::Receiver<Job>) {
        while let Ok(job) = queue.recv() {
            let result = match job {
                Job::Save(save) => {
                    let records = records(&save);
                    let stored = self.persist(|log| match &save.install {
                        Some(snapshot) => log.install(snapshot, &records),
                        None if records.is_empty() => Ok(()),
                        None => log.append(&records),
                    });
                    stored.map(|()| JobResult::Saved(save))
                }
                Job::RenewDiskId => self.persist(Log::renew_disk_id).map(JobResult::DiskIdRenewed),
                Job::Trim(index) => Some(match self.log.trim(index) {
                    Ok(()) => JobResult::Trimmed,
                    Err(e) => JobResult::TrimFailed(e.to_string()),
                }),
            };
            if result.and_then(|result| self.results.send(result).ok()).is_none() {
                return;
            }
        }
    }

    /// Repeats a write until it succeeds. Returns `None` if the replica stops before that.
    fn persist<T>(&mut self, write: impl Fn(&mut Log) -> Result<T>) -> Option<T> {
        loop {
            match write(&mut self.log) {
                Ok(value) => return Some(value),
                Err(e) => self.results.send(JobResult::Failed(e.to_string())).ok()?,
            }
            if self.ended.load(Ordering::Relaxed) {
                return None;
            }
            thread::sleep(RETRY_PAUSE);
        }
    }
}

fn records(save: &Save) -> Vec<Record> {
    let hard_state = save.hard_state.map(Record::HardState);
    hard_state.into_iter().chain(save.entries.iter().cloned().map(Record::Entry)).collect()
}
