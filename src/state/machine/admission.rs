//! Admissions: which submissions are known, by key and by job, and how they ended.
//!
//! An admission gives the submission's key to one execution, under a job number of its own. Once
//! that execution has ended as `NotRun` the key is free: a new execution of the same submission
//! may take it over, under a new job number.

use std::collections::{BTreeSet, VecDeque};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    protocol::{
        id, job,
        wire::{self, control},
    },
    state::machine::{self, FUTURE_MAX_MS, Limits, Reply, SKEW_MARGIN_MS, session::Sessions},
    util,
};

/// Most records that one command removes. Without this limit, the first command after an idle
/// period could take long, because records expire while no command removes them.
const SWEEP_MAX: usize = 256;

/// Digest of client account and key. Keys are kept as 16 bytes of SHA-256: a collision among 10^9
/// keys has a probability below 10^-20, and a digest takes a fraction of the memory of the names.
type KeyDigest = [u8; 16];

fn key_digest(key: &id::Key) -> KeyDigest {
    let mut bytes = Vec::with_capacity(key.account.0.len() + key.key.len() + 8);
    bytes.extend_from_slice(&(key.account.0.len() as u64).to_le_bytes());
    bytes.extend_from_slice(key.account.0.as_bytes());
    bytes.extend_from_slice(key.key.as_bytes());
    let digest = util::sha256(&bytes);
    digest[..16].try_into().expect("a SHA-256 digest has 32 bytes")
}

/// All known submissions.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Admissions {
    /// Finished records created before this time count as expired. It never decreases, so that a
    /// key that has been removed stays refused when the retention is raised later.
    horizon_ms: u64,
    records: IndexMap<id::Job, Record>,
    jobs: IndexMap<KeyDigest, id::Job>,
    /// Finished records by `created_at_ms`.
    finished: BTreeSet<(u64, id::Job)>,
    /// Jobs without an outcome, by session.
    open: BTreeSet<(id::Epoch, id::Job)>,
    /// For each earlier job of a key that was taken over, the job that has the key now.
    successors: IndexMap<id::Job, id::Job>,
    /// Jobs that finished with inline answers, in the order in which they finished. A job whose
    /// record was removed stays until it reaches the front.
    answers: VecDeque<id::Job>,
    answer_bytes: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Record {
    key_digest: KeyDigest,
    execution: id::Execution,
    content_digest: [u8; 32],
    created_at_ms: u64,
    outcome: StoredOutcome,
    /// Executions that had the key before and ended as `NotRun`: the newest of each live session.
    earlier: Vec<EarlierExecution>,
}

/// How a submission ended, if it has.
#[serde_with::serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum StoredOutcome {
    /// The submission has not ended.
    Open,
    NotRun {
        reason: job::Refusal,
        detail: String,
    },
    /// Any other outcome without inline answers.
    Other(wire::Outcome),
    /// Inline answers, encoded as in the log: a hundred short strings, each with its own
    /// allocation, take several times the memory.
    InlineAnswers(#[serde_as(as = "serde_with::Bytes")] Box<[u8]>),
}

impl StoredOutcome {
    fn new(outcome: wire::Outcome) -> StoredOutcome {
        match outcome {
            wire::Outcome::Completed(wire::Answer::Inline(texts)) => {
                let bytes = postcard::to_stdvec(&texts).expect("texts serialise");
                StoredOutcome::InlineAnswers(bytes.into())
            }
            wire::Outcome::NotRun { reason, detail } => StoredOutcome::NotRun { reason, detail },
            other => StoredOutcome::Other(other),
        }
    }

    /// The outcome as sent to entry instances, or `None` if the submission has not ended.
    fn decoded(&self) -> Option<wire::Outcome> {
        match self {
            StoredOutcome::Open => None,
            StoredOutcome::NotRun { reason, detail } => {
                Some(wire::Outcome::NotRun { reason: *reason, detail: detail.clone() })
            }
            StoredOutcome::Other(outcome) => Some(outcome.clone()),
            StoredOutcome::InlineAnswers(bytes) => {
                let texts = postcard::from_bytes(bytes).expect("texts as written by `new`");
                Some(wire::Outcome::Completed(wire::Answer::Inline(texts)))
            }
        }
    }

    fn is_open(&self) -> bool {
        matches!(self, StoredOutcome::Open)
    }

    /// Size of the inline answers.
    fn answer_bytes(&self) -> u64 {
        if let StoredOutcome::InlineAnswers(bytes) = self { bytes.len() as u64 } else { 0 }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct EarlierExecution {
    execution: id::Execution,
    job: id::Job,
    reason: job::Refusal,
}

impl Record {
    /// Whether the key has already been given to `execution` or to a later execution of the same
    /// session, so that this admission is a delayed copy.
    ///
    /// Without this check a delayed `admit` would give a free key to an execution that no entry
    /// instance runs any more.
    fn is_stale(&self, execution: id::Execution) -> bool {
        let not_older =
            |other: id::Execution| other.epoch == execution.epoch && other.seq >= execution.seq;
        not_older(self.execution) || self.earlier.iter().any(|e| not_older(e.execution))
    }
}

impl Admissions {
    /// Number of keys kept.
    pub fn keys(&self) -> usize {
        self.records.len()
    }

    /// Number of jobs without an outcome.
    pub fn open_jobs(&self) -> usize {
        self.open.len()
    }

    pub fn answer_bytes(&self) -> u64 {
        self.answer_bytes
    }

    /// What is known of a key. Changes nothing, unlike an admission.
    pub fn lookup(&self, key: &id::Key, sessions: &Sessions) -> control::Admission {
        let known = self.jobs.get(&key_digest(key)).filter(|job| !self.is_expired(**job));
        match known {
            Some(job) => self.existing(*job, sessions),
            None => control::Admission::Unknown,
        }
    }

    /// Describes a known job: running, or finished with its outcome.
    fn existing(&self, job: id::Job, sessions: &Sessions) -> control::Admission {
        let record = &self.records[&job];
        let owner = sessions.addr(record.execution.epoch);
        match record.outcome.decoded() {
            None => control::Admission::Running { job, owner },
            Some(outcome) => control::Admission::Finished { job, owner, outcome },
        }
    }

    fn is_expired(&self, job: id::Job) -> bool {
        let record = &self.records[&job];
        !record.outcome.is_open() && record.created_at_ms < self.horizon_ms
    }
}

/// Applies one command to the admissions.
pub struct Updater<'a> {
    pub now_ms: u64,
    pub limits: Limits,
    pub sessions: &'a mut Sessions,
    pub admissions: &'a mut Admissions,
}

impl Updater<'_> {
    /// Removes the oldest finished records while they are expired or more keys are kept than
    /// allowed, at most [`SWEEP_MAX`] at a time. Then drops the oldest answers above their limit.
    pub fn sweep(&mut self) {
        let kept_ms = self.limits.retention_ms.saturating_add(SKEW_MARGIN_MS);
        let admissions = &mut *self.admissions;
        admissions.horizon_ms = admissions.horizon_ms.max(self.now_ms.saturating_sub(kept_ms));
        for _ in 0..SWEEP_MAX {
            let admissions = &mut *self.admissions;
            let Some(&(created_at_ms, job)) = admissions.finished.first() else { break };
            let over_limit = admissions.records.len() as u64 > self.limits.keys_max;
            if created_at_ms >= admissions.horizon_ms && !over_limit {
                break;
            }
            admissions.horizon_ms = admissions.horizon_ms.max(created_at_ms + 1);
            self.remove(job);
        }
        self.drop_answers();
    }

    fn drop_answers(&mut self) {
        let admissions = &mut *self.admissions;
        while let Some(job) = admissions.answers.front() {
            let record = admissions.records.get_mut(job);
            let bytes = record.as_ref().map_or(0, |r| r.outcome.answer_bytes());
            if bytes > 0 && admissions.answer_bytes <= self.limits.answers_max_bytes {
                break;
            }
            if bytes > 0
                && let Some(record) = record
            {
                let detail = "the answer was dropped to bound the memory of control";
                let outcome = machine::failed_outcome(job::Failure::AnswerLost, detail);
                record.outcome = StoredOutcome::new(outcome);
                admissions.answer_bytes -= bytes;
            }
            admissions.answers.pop_front();
        }
    }

    fn remove(&mut self, job: id::Job) -> Option<Record> {
        let admissions = &mut *self.admissions;
        let record = admissions.records.swap_remove(&job)?;
        admissions.jobs.swap_remove(&record.key_digest);
        admissions.finished.remove(&(record.created_at_ms, job));
        admissions.answer_bytes -= record.outcome.answer_bytes();
        for earlier in &record.earlier {
            admissions.successors.swap_remove(&earlier.job);
        }
        self.sessions.remove_record(record.execution.epoch);
        Some(record)
    }

    pub fn admit(&mut self, index: u64, admit: &control::Admit) -> Reply {
        if !self.sessions.is_live(admit.execution.epoch) {
            return Reply::Fenced;
        }
        Reply::Admission(self.admit_live(index, admit))
    }

    /// Admits an execution whose session is live.
    fn admit_live(&mut self, index: u64, admit: &control::Admit) -> control::Admission {
        let key_digest = key_digest(&admit.key);
        if let Some(&job) = self.admissions.jobs.get(&key_digest) {
            if !self.admissions.is_expired(job) {
                return self.admit_known_key(index, job, admit);
            }
            self.remove(job);
        }
        if !self.accepts_created_at(admit.created_at_ms) {
            return control::Admission::Expired;
        }
        self.insert(index, key_digest, admit, Vec::new())
    }

    /// Handles an admission whose key belongs to `job`. The execution takes over the key if `job`
    /// has ended as `NotRun`.
    fn admit_known_key(
        &mut self,
        index: u64,
        job: id::Job,
        admit: &control::Admit,
    ) -> control::Admission {
        let record = &self.admissions.records[&job];
        if record.content_digest != admit.digest {
            return control::Admission::Conflict;
        }
        match &record.outcome {
            StoredOutcome::Open if record.execution == admit.execution => {
                control::Admission::Admitted { job }
            }
            StoredOutcome::NotRun { .. } if !record.is_stale(admit.execution) => {
                if !self.accepts_created_at(admit.created_at_ms) {
                    return control::Admission::Expired;
                }
                self.take_over(index, job, admit)
            }
            _ => self.admissions.existing(job, self.sessions),
        }
    }

    /// Gives the key of `job`, which ended as `NotRun`, to a new execution.
    fn take_over(
        &mut self,
        index: u64,
        job: id::Job,
        admit: &control::Admit,
    ) -> control::Admission {
        let Some(record) = self.remove(job) else { return control::Admission::Unknown };
        let mut earlier = record.earlier;
        earlier.retain(|e| {
            e.execution.epoch != record.execution.epoch && self.sessions.is_live(e.execution.epoch)
        });
        if let StoredOutcome::NotRun { reason, .. } = record.outcome
            && self.sessions.is_live(record.execution.epoch)
        {
            earlier.push(EarlierExecution { execution: record.execution, job, reason });
        }
        for earlier in &earlier {
            self.admissions.successors.insert(earlier.job, id::Job(index));
        }
        self.insert(index, record.key_digest, admit, earlier)
    }

    fn insert(
        &mut self,
        index: u64,
        key_digest: KeyDigest,
        admit: &control::Admit,
        earlier: Vec<EarlierExecution>,
    ) -> control::Admission {
        let job = id::Job(index);
        let record = Record {
            key_digest,
            execution: admit.execution,
            content_digest: admit.digest,
            created_at_ms: admit.created_at_ms,
            outcome: StoredOutcome::Open,
            earlier,
        };
        let admissions = &mut *self.admissions;
        admissions.records.insert(job, record);
        admissions.jobs.insert(key_digest, job);
        admissions.open.insert((admit.execution.epoch, job));
        self.sessions.add_record(admit.execution.epoch);
        control::Admission::Admitted { job }
    }

    /// Whether a submission is neither expired nor created too far in the future.
    fn accepts_created_at(&self, created_at_ms: u64) -> bool {
        let oldest = self.now_ms.saturating_sub(self.limits.retention_ms);
        let oldest = oldest.max(self.admissions.horizon_ms);
        (oldest..=self.now_ms.saturating_add(FUTURE_MAX_MS)).contains(&created_at_ms)
    }

    pub fn finish(&mut self, finish: control::Finish) -> Reply {
        if let Some(reason) = self.not_run_reason(finish.job) {
            return Reply::Finished(match finish.outcome {
                wire::Outcome::NotRun { .. } => control::Finished::Recorded,
                _ => control::Finished::Already {
                    outcome: wire::Outcome::NotRun { reason, detail: String::new() },
                },
            });
        }
        let live = self.sessions.is_live(finish.epoch);
        let record = self.admissions.records.get(&finish.job);
        match record.map(|record| (record, record.outcome.decoded())) {
            // A recorded outcome is final, so a report on a finished job is answered even if its
            // session has been fenced since.
            Some((_, Some(outcome))) if outcome == finish.outcome => {
                Reply::Finished(control::Finished::Recorded)
            }
            Some((_, Some(outcome))) => Reply::Finished(control::Finished::Already { outcome }),
            _ if !live => Reply::Fenced,
            Some((record, _)) if record.execution.epoch != finish.epoch => {
                Reply::Invalid("the job belongs to another session")
            }
            Some(_) => {
                self.record_outcome(finish.job, finish.outcome);
                Reply::Finished(control::Finished::Recorded)
            }
            None => Reply::Finished(control::Finished::Already {
                outcome: machine::failed_outcome(
                    job::Failure::OutcomeUnknown,
                    "the job is not known",
                ),
            }),
        }
    }

    /// Why `job` was not run, if a later job has taken over its key.
    fn not_run_reason(&self, job: id::Job) -> Option<job::Refusal> {
        let successor = self.admissions.successors.get(&job)?;
        let record = self.admissions.records.get(successor)?;
        record.earlier.iter().find(|e| e.job == job).map(|e| e.reason)
    }

    fn record_outcome(&mut self, job: id::Job, outcome: wire::Outcome) {
        let admissions = &mut *self.admissions;
        let Some(record) = admissions.records.get_mut(&job) else { return };
        record.outcome = StoredOutcome::new(outcome);
        let bytes = record.outcome.answer_bytes();
        admissions.open.remove(&(record.execution.epoch, job));
        admissions.finished.insert((record.created_at_ms, job));
        if bytes > 0 {
            admissions.answers.push_back(job);
            admissions.answer_bytes += bytes;
        }
    }

    /// Records the open jobs of a fenced session as failed.
    pub fn abandon(&mut self, epoch: id::Epoch) {
        if !self.sessions.abandon(epoch) {
            return;
        }
        let jobs = (epoch, id::Job(0))..=(epoch, id::Job(u64::MAX));
        let jobs: Vec<id::Job> = self.admissions.open.range(jobs).map(|(_, job)| *job).collect();
        for job in jobs {
            self.record_outcome(job, wire::Outcome::entry_lost());
        }
        self.sessions.remove_if_unused(epoch);
    }
}
