//! The replicated state: every control instance applies the same commands in the same order.
//!
//! `apply` must be deterministic: time comes with the command.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::protocol::{
    id,
    wire::{self, control},
};

/// A change of the replicated state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Proposer's clock, ms since the Unix epoch. The state's time is the highest one applied.
    pub now_ms: u64,
    pub op: Op,
}

/// What a command does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Op {
    Register(control::Hello),
    Admit(control::Admit),
    Finish(control::Finish),
    Change(control::Change),
    /// Ends entry sessions.
    Fence(Vec<id::Epoch>),
    /// Records the open jobs of fenced sessions as failed.
    Abandon(Vec<id::Epoch>),
}

/// Result of a command.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    Registered(id::Epoch),
    Admission(control::Admission),
    Finished(control::Finished),
    Changed(control::Changed),
    Done,
    /// The command's session is fenced.
    Fenced,
}

/// The replicated state.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct State {
    sessions: IndexMap<u64, Session>,
    jobs: IndexMap<id::Key, Job>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Session {
    addr: SocketAddr,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Job {
    job: id::Job,
    run: id::Run,
    digest: [u8; 32],
    outcome: Option<wire::Outcome>,
}

impl State {
    /// Applies the command at log position `index`.
    pub fn apply(&mut self, index: u64, command: Command) -> Reply {
        match command.op {
            Op::Register(hello) => {
                self.sessions.insert(index, Session { addr: hello.addr });
                Reply::Registered(id::Epoch(index))
            }
            Op::Admit(admit) => Reply::Admission(self.admit(index, admit)),
            Op::Finish(finish) => {
                if let Some(job) = self.jobs.values_mut().find(|j| j.job == finish.job) {
                    job.outcome = Some(finish.outcome);
                }
                Reply::Finished(control::Finished::Recorded)
            }
            Op::Change(_) | Op::Fence(_) | Op::Abandon(_) => Reply::Done,
        }
    }

    fn admit(&mut self, index: u64, admit: control::Admit) -> control::Admission {
        let job = self.jobs.entry(admit.key).or_insert(Job {
            job: id::Job(index),
            run: admit.run,
            digest: admit.digest,
            outcome: None,
        });
        let owner = self.sessions[&job.run.epoch.0].addr;
        match &job.outcome {
            _ if job.digest != admit.digest => control::Admission::Conflict,
            Some(outcome) => {
                control::Admission::Finished { job: job.job, owner, outcome: outcome.clone() }
            }
            None if job.run == admit.run => control::Admission::Admitted { job: job.job },
            None => control::Admission::Running { job: job.job, owner },
        }
    }
}
