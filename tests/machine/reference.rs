//! A reference model of the replicated state, written without regard to cost: it keeps every list
//! complete and searches it from end to end.

use briargauge::{
    protocol::{
        id, job,
        rule::Rules,
        wire::{self, control},
    },
    state::machine::{Command, FUTURE_MAX_MS, Limits, Op, Reply, SKEW_MARGIN_MS},
};

#[derive(Debug, Default)]
pub struct Reference {
    now_ms: u64,
    limits: Limits,
    horizon_ms: u64,
    sessions: Vec<Session>,
    submissions: Vec<Submission>,
    decisions: Vec<(control::Change, control::Changed)>,
    accepted: Vec<control::Accepted>,
}

#[derive(Debug)]
struct Session {
    epoch: id::Epoch,
    hello: control::Hello,
    live: bool,
    abandoned: bool,
}

#[derive(Debug)]
struct Submission {
    job: id::Job,
    admit: control::Admit,
    outcome: Option<wire::Outcome>,
    /// Position of the submission whose key this one took over, which ended as `NotRun`.
    previous: Option<usize>,
}

impl Reference {
    /// The correct replies. There are several where the real state may have removed a record
    /// that this model still has.
    pub fn apply(&mut self, index: u64, command: &Command) -> Vec<Reply> {
        self.now_ms = self.now_ms.max(command.now_ms);
        let kept_ms = self.limits.retention_ms + SKEW_MARGIN_MS;
        self.horizon_ms = self.horizon_ms.max(self.now_ms - kept_ms);
        let reply = match &command.op {
            Op::Register(hello) => {
                let known = self.sessions.iter().find(|s| s.live && s.hello.start == hello.start);
                let epoch = known.map_or(id::Epoch(index), |s| s.epoch);
                if known.is_none() {
                    let hello = hello.clone();
                    self.sessions.push(Session { epoch, hello, live: true, abandoned: false });
                }
                Reply::Registered(epoch)
            }
            Op::Admit(admit) if !self.is_live(admit.execution.epoch) => Reply::Fenced,
            Op::Admit(admit) => Reply::Admission(self.admit(index, admit)),
            Op::Finish(finish) => return self.finish(finish),
            Op::Change(change) => Reply::Changed(self.change(change)),
            Op::Fence(epochs) => {
                for session in &mut self.sessions {
                    session.live &= !epochs.contains(&session.epoch);
                }
                Reply::Done
            }
            Op::Abandon(epochs) => {
                epochs.iter().for_each(|epoch| self.abandon(*epoch));
                Reply::Done
            }
            Op::Limit(limits) => {
                self.limits = *limits;
                Reply::Done
            }
            Op::Queue(_) => unreachable!("changes of the queues are tested in tests/queues.rs"),
        };
        vec![reply]
    }

    fn is_live(&self, epoch: id::Epoch) -> bool {
        self.sessions.iter().any(|s| s.epoch == epoch && s.live)
    }

    /// Position of the newest submission with a key, unless it is expired.
    fn newest(&self, key: &id::Key) -> Option<usize> {
        let at = self.submissions.iter().rposition(|s| s.admit.key == *key)?;
        (!self.is_expired(at)).then_some(at)
    }

    fn is_expired(&self, at: usize) -> bool {
        let submission = &self.submissions[at];
        submission.outcome.is_some() && submission.admit.created_at_ms < self.horizon_ms
    }

    fn in_range(&self, created_at_ms: u64) -> bool {
        created_at_ms >= self.now_ms - self.limits.retention_ms
            && created_at_ms >= self.horizon_ms
            && created_at_ms <= self.now_ms + FUTURE_MAX_MS
    }

    fn admit(&mut self, index: u64, admit: &control::Admit) -> control::Admission {
        let newest = self.newest(&admit.key);
        if let Some(at) = newest {
            let known = &self.submissions[at];
            if known.admit.digest != admit.digest {
                return control::Admission::Conflict;
            }
            let not_run = matches!(known.outcome, Some(wire::Outcome::NotRun { .. }));
            if known.outcome.is_none() && known.admit.execution == admit.execution {
                return control::Admission::Admitted { job: known.job };
            }
            if !not_run || self.is_stale(at, admit.execution) {
                return self.lookup(&admit.key);
            }
        }
        if !self.in_range(admit.created_at_ms) {
            return control::Admission::Expired;
        }
        let job = id::Job(index);
        let admit = admit.clone();
        self.submissions.push(Submission { job, admit, outcome: None, previous: newest });
        control::Admission::Admitted { job }
    }

    /// Whether an execution has had the key already, or is older than one of its session that has.
    fn is_stale(&self, at: usize, execution: id::Execution) -> bool {
        let submission = &self.submissions[at];
        let known = submission.admit.execution;
        (known.epoch == execution.epoch && known.seq >= execution.seq)
            || submission.previous.is_some_and(|previous| self.is_stale(previous, execution))
    }

    fn finish(&mut self, finish: &control::Finish) -> Vec<Reply> {
        let live = self.is_live(finish.epoch);
        let already = |outcome| Reply::Finished(control::Finished::Already { outcome });
        let unknown = || {
            let reason = job::Failure::OutcomeUnknown;
            let detail = "the job is not known".into();
            if live { already(wire::Outcome::Failed { reason, detail }) } else { Reply::Fenced }
        };
        let Some(at) = self.submissions.iter().position(|s| s.job == finish.job) else {
            return vec![unknown()];
        };
        let newest = self.newest(&self.submissions[at].admit.key);
        let submission = &self.submissions[at];
        let not_run = matches!(finish.outcome, wire::Outcome::NotRun { .. });
        match &submission.outcome {
            Some(wire::Outcome::NotRun { reason, .. }) if newest != Some(at) => {
                let outcome = wire::Outcome::NotRun { reason: *reason, detail: String::new() };
                let exact = if not_run {
                    Reply::Finished(control::Finished::Recorded)
                } else {
                    already(outcome)
                };
                vec![exact, unknown()]
            }
            _ if self.is_expired(at) => vec![unknown()],
            Some(outcome) if *outcome == finish.outcome => {
                vec![Reply::Finished(control::Finished::Recorded)]
            }
            Some(outcome) => vec![already(outcome.clone())],
            None if !live => vec![Reply::Fenced],
            None if submission.admit.execution.epoch != finish.epoch => {
                vec![Reply::Invalid("the job belongs to another session")]
            }
            None => {
                self.submissions[at].outcome = Some(finish.outcome.clone());
                vec![Reply::Finished(control::Finished::Recorded)]
            }
        }
    }

    fn abandon(&mut self, epoch: id::Epoch) {
        let fenced = |s: &&mut Session| s.epoch == epoch && !s.live && !s.abandoned;
        let Some(session) = self.sessions.iter_mut().find(fenced) else { return };
        session.abandoned = true;
        for submission in &mut self.submissions {
            if submission.admit.execution.epoch == epoch && submission.outcome.is_none() {
                submission.outcome = Some(wire::Outcome::Failed {
                    reason: job::Failure::EntryLost,
                    detail: "the entry that ran the job was lost".into(),
                });
            }
        }
    }

    fn change(&mut self, change: &control::Change) -> control::Changed {
        if let Some((first, answer)) = self.decisions.iter().find(|(c, _)| c.id == change.id) {
            let other = control::Changed::Invalid { detail: String::new() };
            return if first == change { answer.clone() } else { other };
        }
        let version = self.rules().version;
        let answer = if change.base != version {
            let winner = self.accepted.last().map_or(String::new(), |a| a.operator.clone());
            control::Changed::Conflict { version, winner }
        } else if Rules::parse(&change.text).is_err() {
            control::Changed::Invalid { detail: String::new() }
        } else {
            let version = version + 1;
            self.accepted.push(control::Accepted {
                version,
                id: change.id.clone(),
                operator: change.operator.clone(),
                at_ms: self.now_ms,
                text: change.text.clone(),
            });
            control::Changed::Accepted { version }
        };
        self.decisions.push((change.clone(), answer.clone()));
        answer
    }

    pub fn lookup(&self, key: &id::Key) -> control::Admission {
        let Some(at) = self.newest(key) else { return control::Admission::Unknown };
        let submission = &self.submissions[at];
        let job = submission.job;
        let session = self.sessions.iter().find(|s| s.epoch == submission.admit.execution.epoch);
        let owner = session.expect("each submission was admitted by a known session").hello.addr;
        match &submission.outcome {
            None => control::Admission::Running { job, owner },
            Some(outcome) => control::Admission::Finished { job, owner, outcome: outcome.clone() },
        }
    }

    pub fn rules(&self) -> control::Rules {
        let newest = self.accepted.last();
        control::Rules {
            version: newest.map_or(0, |a| a.version),
            text: newest.map_or(String::new(), |a| a.text.clone()),
        }
    }

    pub fn history(&self, limit: usize) -> Vec<control::Accepted> {
        self.accepted.iter().rev().take(limit).cloned().collect()
    }

    pub fn live(&self) -> Vec<id::Epoch> {
        self.sessions.iter().filter(|s| s.live).map(|s| s.epoch).collect()
    }

    pub fn open_jobs(&self) -> usize {
        self.submissions.iter().filter(|s| s.outcome.is_none()).count()
    }
}
