//! Admissions: which submissions are known, by key and by job, and how they ended.

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

/// Most records dropped by one command, so that no command takes long after a quiet time.
const SWEEP_MAX: usize = 256;

/// Digest of team and key. Keys are kept as 16 bytes of SHA-256: a collision among 10^9 keys has a
/// probability below 10^-20, and a digest takes a fraction of the memory of the names.
type Name = [u8; 16];

fn name(key: &id::Key) -> Name {
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
    /// Closed records created before this are forgotten. Never decreases, so a forgotten key stays
    /// refused when the retention is raised later.
    horizon_ms: u64,
    records: IndexMap<id::Job, Record>,
    keys: IndexMap<Name, id::Job>,
    /// Closed records by `created_at_ms`.
    closed: BTreeSet<(u64, id::Job)>,
    /// Jobs without an outcome by session.
    open: BTreeSet<(id::Epoch, id::Job)>,
    /// Earlier jobs of keys that were freed by `NotRun`, with the job that took over.
    freed: IndexMap<id::Job, id::Job>,
    /// Jobs with an inline answer in the order of their ends.
    answers: VecDeque<id::Job>,
    answer_bytes: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Record {
    name: Name,
    execution: id::Execution,
    digest: [u8; 32],
    created_at_ms: u64,
    end: End,
    /// Runs that had the key before and ended as `NotRun`; the newest of each open session.
    past: Vec<Past>,
}

/// How a submission ended, if it has.
#[serde_with::serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum End {
    Open,
    NotRun {
        reason: job::Refusal,
        detail: String,
    },
    /// Anything else but inline answers.
    Other(wire::Outcome),
    /// Inline answers in the encoding of the log: a hundred short texts of their own take several
    /// times the memory.
    Answers(#[serde_as(as = "serde_with::Bytes")] Box<[u8]>),
}

impl End {
    fn new(outcome: wire::Outcome) -> End {
        match outcome {
            wire::Outcome::Completed(wire::Answer::Inline(texts)) => {
                let bytes = postcard::to_stdvec(&texts).expect("texts serialise");
                End::Answers(bytes.into())
            }
            wire::Outcome::NotRun { reason, detail } => End::NotRun { reason, detail },
            other => End::Other(other),
        }
    }

    fn outcome(&self) -> Option<wire::Outcome> {
        match self {
            End::Open => None,
            End::NotRun { reason, detail } => {
                Some(wire::Outcome::NotRun { reason: *reason, detail: detail.clone() })
            }
            End::Other(outcome) => Some(outcome.clone()),
            End::Answers(bytes) => {
                let texts = postcard::from_bytes(bytes).expect("texts as written by `new`");
                Some(wire::Outcome::Completed(wire::Answer::Inline(texts)))
            }
        }
    }

    fn is_open(&self) -> bool {
        matches!(self, End::Open)
    }

    /// Bytes of inline answers.
    fn answer_bytes(&self) -> u64 {
        if let End::Answers(bytes) = self { bytes.len() as u64 } else { 0 }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct Past {
    execution: id::Execution,
    job: id::Job,
    reason: job::Refusal,
}

impl Record {
    /// Whether `run` is a late copy of a run that had the key before.
    ///
    /// Without this check a delayed `admit` would occupy a freed key for a run that nobody has.
    fn late(&self, execution: id::Execution) -> bool {
        let newer =
            |other: id::Execution| other.epoch == execution.epoch && other.seq >= execution.seq;
        newer(self.execution) || self.past.iter().any(|p| newer(p.execution))
    }
}

impl Admissions {
    pub fn keys(&self) -> usize {
        self.records.len()
    }

    pub fn open_jobs(&self) -> usize {
        self.open.len()
    }

    pub fn answer_bytes(&self) -> u64 {
        self.answer_bytes
    }

    /// What is known of a key, without changing anything.
    pub fn lookup(&self, key: &id::Key, sessions: &Sessions) -> control::Admission {
        let known = self.keys.get(&name(key)).filter(|job| !self.expired(**job));
        match known {
            Some(job) => self.known(*job, sessions),
            None => control::Admission::Unknown,
        }
    }

    fn known(&self, job: id::Job, sessions: &Sessions) -> control::Admission {
        let record = &self.records[&job];
        let owner = sessions.addr(record.execution.epoch);
        match record.end.outcome() {
            None => control::Admission::Running { job, owner },
            Some(outcome) => control::Admission::Finished { job, owner, outcome },
        }
    }

    fn expired(&self, job: id::Job) -> bool {
        let record = &self.records[&job];
        !record.end.is_open() && record.created_at_ms < self.horizon_ms
    }
}

/// One command's work on the admissions.
pub struct Step<'a> {
    pub now_ms: u64,
    pub limits: Limits,
    pub sessions: &'a mut Sessions,
    pub admissions: &'a mut Admissions,
}

impl Step<'_> {
    /// Forgets closed records that are too old or too many, a bounded number at a time.
    pub fn sweep(&mut self) {
        let kept_ms = self.limits.retention_ms.saturating_add(SKEW_MARGIN_MS);
        let all = &mut *self.admissions;
        all.horizon_ms = all.horizon_ms.max(self.now_ms.saturating_sub(kept_ms));
        for _ in 0..SWEEP_MAX {
            let all = &mut *self.admissions;
            let Some(&(created_at_ms, job)) = all.closed.first() else { break };
            let crowded = all.records.len() as u64 > self.limits.keys_max;
            if created_at_ms >= all.horizon_ms && !crowded {
                break;
            }
            all.horizon_ms = all.horizon_ms.max(created_at_ms + 1);
            self.remove(job);
        }
        self.drop_answers();
    }

    fn drop_answers(&mut self) {
        let all = &mut *self.admissions;
        while let Some(job) = all.answers.front() {
            let record = all.records.get_mut(job);
            let bytes = record.as_ref().map_or(0, |r| r.end.answer_bytes());
            if bytes > 0 && all.answer_bytes <= self.limits.answers_max_bytes {
                break;
            }
            if bytes > 0
                && let Some(record) = record
            {
                let detail = "the answer was dropped to bound the memory of control";
                record.end = End::new(machine::failed(job::Failure::AnswerLost, detail));
                all.answer_bytes -= bytes;
            }
            all.answers.pop_front();
        }
    }

    fn remove(&mut self, job: id::Job) -> Option<Record> {
        let all = &mut *self.admissions;
        let record = all.records.swap_remove(&job)?;
        all.keys.swap_remove(&record.name);
        all.closed.remove(&(record.created_at_ms, job));
        all.answer_bytes -= record.end.answer_bytes();
        for past in &record.past {
            all.freed.swap_remove(&past.job);
        }
        self.sessions.release(record.execution.epoch);
        Some(record)
    }

    pub fn admit(&mut self, index: u64, admit: &control::Admit) -> Reply {
        if !self.sessions.live(admit.execution.epoch) {
            return Reply::Fenced;
        }
        Reply::Admission(self.admission(index, admit))
    }

    fn admission(&mut self, index: u64, admit: &control::Admit) -> control::Admission {
        let name = name(&admit.key);
        if let Some(&job) = self.admissions.keys.get(&name) {
            if !self.admissions.expired(job) {
                return self.readmission(index, job, admit);
            }
            self.remove(job);
        }
        if !self.in_range(admit.created_at_ms) {
            return control::Admission::Expired;
        }
        self.insert(index, name, admit, Vec::new())
    }

    /// An admission of a known key.
    fn readmission(
        &mut self,
        index: u64,
        job: id::Job,
        admit: &control::Admit,
    ) -> control::Admission {
        let record = &self.admissions.records[&job];
        if record.digest != admit.digest {
            return control::Admission::Conflict;
        }
        match &record.end {
            End::Open if record.execution == admit.execution => {
                control::Admission::Admitted { job }
            }
            End::NotRun { .. } if !record.late(admit.execution) => {
                if !self.in_range(admit.created_at_ms) {
                    return control::Admission::Expired;
                }
                self.take_over(index, job, admit)
            }
            _ => self.admissions.known(job, self.sessions),
        }
    }

    /// Gives a freed key to a new run.
    fn take_over(
        &mut self,
        index: u64,
        job: id::Job,
        admit: &control::Admit,
    ) -> control::Admission {
        let Some(record) = self.remove(job) else { return control::Admission::Unknown };
        let mut past = record.past;
        past.retain(|p| {
            p.execution.epoch != record.execution.epoch && self.sessions.live(p.execution.epoch)
        });
        if let End::NotRun { reason, .. } = record.end
            && self.sessions.live(record.execution.epoch)
        {
            past.push(Past { execution: record.execution, job, reason });
        }
        for past in &past {
            self.admissions.freed.insert(past.job, id::Job(index));
        }
        self.insert(index, record.name, admit, past)
    }

    fn insert(
        &mut self,
        index: u64,
        name: Name,
        admit: &control::Admit,
        past: Vec<Past>,
    ) -> control::Admission {
        let job = id::Job(index);
        let record = Record {
            name,
            execution: admit.execution,
            digest: admit.digest,
            created_at_ms: admit.created_at_ms,
            end: End::Open,
            past,
        };
        let all = &mut *self.admissions;
        all.records.insert(job, record);
        all.keys.insert(name, job);
        all.open.insert((admit.execution.epoch, job));
        self.sessions.hold(admit.execution.epoch);
        control::Admission::Admitted { job }
    }

    fn in_range(&self, created_at_ms: u64) -> bool {
        let oldest = self.now_ms.saturating_sub(self.limits.retention_ms);
        let oldest = oldest.max(self.admissions.horizon_ms);
        (oldest..=self.now_ms.saturating_add(FUTURE_MAX_MS)).contains(&created_at_ms)
    }

    pub fn finish(&mut self, finish: control::Finish) -> Reply {
        if let Some(reason) = self.freed(finish.job) {
            return Reply::Finished(match finish.outcome {
                wire::Outcome::NotRun { .. } => control::Finished::Recorded,
                _ => control::Finished::Already {
                    outcome: wire::Outcome::NotRun { reason, detail: String::new() },
                },
            });
        }
        let live = self.sessions.live(finish.epoch);
        let record = self.admissions.records.get(&finish.job);
        match record.map(|record| (record, record.end.outcome())) {
            // A repeated end is answered even when the session has ended meanwhile: the outcome
            // that stands is the truth about the job.
            Some((_, Some(outcome))) if outcome == finish.outcome => {
                Reply::Finished(control::Finished::Recorded)
            }
            Some((_, Some(outcome))) => Reply::Finished(control::Finished::Already { outcome }),
            _ if !live => Reply::Fenced,
            Some((record, _)) if record.execution.epoch != finish.epoch => {
                Reply::Invalid("the job belongs to another session")
            }
            Some(_) => {
                self.close(finish.job, finish.outcome);
                Reply::Finished(control::Finished::Recorded)
            }
            None => Reply::Finished(control::Finished::Already {
                outcome: machine::failed(job::Failure::OutcomeUnknown, "the job is not known"),
            }),
        }
    }

    fn freed(&self, job: id::Job) -> Option<job::Refusal> {
        let successor = self.admissions.freed.get(&job)?;
        let record = self.admissions.records.get(successor)?;
        record.past.iter().find(|p| p.job == job).map(|p| p.reason)
    }

    fn close(&mut self, job: id::Job, outcome: wire::Outcome) {
        let all = &mut *self.admissions;
        let Some(record) = all.records.get_mut(&job) else { return };
        record.end = End::new(outcome);
        let bytes = record.end.answer_bytes();
        all.open.remove(&(record.execution.epoch, job));
        all.closed.insert((record.created_at_ms, job));
        if bytes > 0 {
            all.answers.push_back(job);
            all.answer_bytes += bytes;
        }
    }

    /// Ends the open jobs of a fenced session.
    pub fn abandon(&mut self, epoch: id::Epoch) {
        if !self.sessions.abandon(epoch) {
            return;
        }
        let jobs = (epoch, id::Job(0))..=(epoch, id::Job(u64::MAX));
        let jobs: Vec<id::Job> = self.admissions.open.range(jobs).map(|(_, job)| *job).collect();
        for job in jobs {
            self.close(job, wire::Outcome::entry_lost());
        }
        self.sessions.forget(epoch);
    }
}
