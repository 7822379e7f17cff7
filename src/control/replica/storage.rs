//! The thread that writes the log, so that a sync never holds up the event thread.

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
use tokio::sync::mpsc as events;

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

/// Pause before a failed write is tried again.
const RETRY: Duration = Duration::from_millis(100);

/// Work for the thread, done in order.
pub(super) enum Job {
    Save(Box<Save>),
    /// Removes the log up to an index that a stored snapshot covers.
    Trim(u64),
    Renew,
}

/// What became of a job.
pub(super) enum Done {
    Saved(Box<Save>),
    /// The state that a snapshot is made of is no longer in use.
    Serialised,
    Compacted(Snapshot),
    Trimmed,
    Renewed(Id),
    /// The job is tried again until it succeeds.
    Failed(String),
    /// A snapshot could not be stored; it is not tried again.
    NotCompacted(String),
}

/// The running thread. It ends, and closes the log, when this is dropped.
pub(super) struct Storage {
    jobs: mpsc::Sender<Job>,
    ended: Arc<AtomicBool>,
    files: Arc<dyn Files>,
    done: events::WeakUnboundedSender<Done>,
}

impl Storage {
    /// Serialises and stores a snapshot on a thread of its own: both take long for a large state,
    /// and neither heartbeats nor the log may wait for them.
    pub fn snapshot(&self, meta: SnapshotMeta, state: Arc<machine::State>) {
        let Some(done) = self.done.upgrade() else { return };
        let files = self.files.clone();
        thread::spawn(move || {
            let data = Bytes::from(postcard::to_stdvec(&*state).expect("states serialise"));
            drop(state);
            let _ = done.send(Done::Serialised);
            let snapshot = Snapshot { meta, data };
            let stored = snapshot.store(&*files);
            // The folder must be free once the channel is closed.
            drop(files);
            let _ = done.send(match stored {
                Ok(()) => Done::Compacted(snapshot),
                Err(e) => Done::NotCompacted(e.to_string()),
            });
        });
    }

    pub fn submit(&self, job: Job) {
        // The thread ends before this only if the replica has gone.
        let _ = self.jobs.send(job);
    }
}

impl Drop for Storage {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

/// Starts the thread. The channel of results closes once the log is closed.
pub(super) fn start(log: Log) -> (Storage, events::UnboundedReceiver<Done>) {
    let (jobs, queue) = mpsc::channel();
    let (done, results) = events::unbounded_channel();
    let ended = Arc::new(AtomicBool::new(false));
    let (files, weak) = (log.files(), done.downgrade());
    let writer = Writer { log, done, ended: ended.clone() };
    thread::spawn(move || writer.run(&queue));
    (Storage { jobs, ended, files, done: weak }, results)
}

/// What the thread holds; the log is closed before the channel.
struct Writer {
    log: Log,
    done: events::UnboundedSender<Done>,
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
                    stored.map(|()| Done::Saved(save))
                }
                Job::Renew => self.persist(Log::renew_disk_id).map(Done::Renewed),
                Job::Trim(index) => Some(match self.log.trim(index) {
                    Ok(()) => Done::Trimmed,
                    Err(e) => Done::NotCompacted(e.to_string()),
                }),
            };
            if result.and_then(|done| self.done.send(done).ok()).is_none() {
                return;
            }
        }
    }

    /// Repeats a write until it succeeds; `None` if the replica stops meanwhile.
    fn persist<T>(&mut self, write: impl Fn(&mut Log) -> Result<T>) -> Option<T> {
        loop {
            match write(&mut self.log) {
                Ok(value) => return Some(value),
                Err(e) => self.done.send(Done::Failed(e.to_string())).ok()?,
            }
            if self.ended.load(Ordering::Relaxed) {
                return None;
            }
            thread::sleep(RETRY);
        }
    }
}

fn records(save: &Save) -> Vec<Record> {
    let hard_state = save.hard_state.map(Record::HardState);
    hard_state.into_iter().chain(save.entries.iter().cloned().map(Record::Entry)).collect()
}
