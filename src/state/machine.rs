//! The replicated state: every control instance applies the same commands in the same order.
//!
//! `apply` depends on the state and the command alone: the time is part of the command, and the
//! limits are set by a command of their own.

mod admission;
mod history;
pub mod queue;
mod session;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::protocol::{
    id,
    wire::{self, control},
};

/// A change of the replicated state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Clock of the proposing leader, in ms since the Unix epoch. The state's time is the highest
    /// one applied.
    pub now_ms: u64,
    pub op: Op,
}

/// What a command does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Op {
    /// Opens an entry session.
    Register(control::Hello),
    /// Records a submission before any of its tasks starts.
    Admit(control::Admit),
    /// Records how a submission ended.
    Finish(control::Finish),
    /// Replaces the rules.
    Change(control::Change),
    /// Ends entry sessions, so that they can admit nothing and record no outcomes any more.
    Fence(Vec<id::Epoch>),
    /// Records the open jobs of fenced sessions as failed. Proposed once none of their tasks can
    /// start any more.
    Abandon(Vec<id::Epoch>),
    /// Sets the limits for kept keys and answers. The leader proposes this when its settings differ
    /// from the limits in force.
    Limit(Limits),
    /// Changes to the queues of durable jobs, in order.
    Queue(Vec<queue::Change>),
}

/// Result of a command.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    Registered(id::Epoch),
    Admission(control::Admission),
    Finished(control::Finished),
    Changed(control::Changed),
    /// Results of the changes to the queues, in the same order.
    Queue(Vec<queue::Reply>),
    Done,
    /// The command's session is fenced.
    Fenced,
    /// The command contradicts the state, for example by finishing another session's job.
    Invalid(&'static str),
}

/// How long keys are kept, and how many keys and how many bytes of answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// How long a key is kept, counted from its submission's `created_at_ms`.
    pub retention_ms: u64,
    /// Most keys kept. Above this number the oldest finished ones are removed early, and
    /// submissions that were created no later than these are refused from then on.
    pub keys_max: u64,
    /// Most bytes of answers kept. Above this size the oldest answers are dropped, but their keys
    /// are kept.
    pub answers_max_bytes: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            retention_ms: 24 * 60 * 60 * 1_000,
            keys_max: 2_000_000,
            answers_max_bytes: 512 * 1024 * 1024,
        }
    }
}

/// How far `created_at_ms` may lie in the future, in ms, for callers whose clocks run ahead.
pub const FUTURE_MAX_MS: u64 = 5 * 60 * 1_000;
/// How much longer than the retention a finished record is kept, in ms. A submission that is still
/// within the retention by another instance's clock is then answered from the record.
pub const SKEW_MARGIN_MS: u64 = 5 * 60 * 1_000;

pub use history::{DECISIONS_MAX, HISTORY_MAX, HISTORY_MAX_BYTES, NAME_MAX_BYTES, RULES_MAX_BYTES};

/// The replicated state.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct State {
    now_ms: u64,
    limits: Limits,
    sessions: session::Sessions,
    admissions: admission::Admissions,
    history: history::History,
    queues: queue::Queues,
}

impl State {
    /// Applies the command at log position `index`.
    pub fn apply(&mut self, index: u64, command: Command) -> Reply {
        self.now_ms = self.now_ms.max(command.now_ms);
        let mut updater = admission::Updater {
            now_ms: self.now_ms,
            limits: self.limits,
            sessions: &mut self.sessions,
            admissions: &mut self.admissions,
        };
        updater.sweep();
        match command.op {
            Op::Register(hello) => Reply::Registered(self.sessions.register(index, &hello)),
            Op::Admit(admit) => updater.admit(index, &admit),
            Op::Finish(finish) => updater.finish(finish),
            Op::Change(change) => Reply::Changed(self.history.change(self.now_ms, &change)),
            Op::Fence(epochs) => {
                for epoch in epochs {
                    self.sessions.fence(index, epoch);
                }
                Reply::Done
            }
            Op::Abandon(epochs) => {
                for epoch in epochs {
                    updater.abandon(epoch);
                }
                Reply::Done
            }
            Op::Limit(limits) => {
                self.limits = limits;
                Reply::Done
            }
            Op::Queue(changes) => {
                let apply = |change| self.queues.apply(self.now_ms, change);
                Reply::Queue(changes.into_iter().map(apply).collect())
            }
        }
    }

    /// The state's time: the highest clock of an applied command, in ms since the Unix epoch.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// What is known of a key.
    pub fn lookup(&self, key: &id::Key) -> control::Admission {
        self.admissions.lookup(key, &self.sessions)
    }

    /// The queues of durable jobs.
    pub fn queues(&self) -> &queue::Queues {
        &self.queues
    }

    /// The rules in force.
    pub fn rules(&self) -> &control::Rules {
        self.history.rules()
    }

    /// The newest accepted changes of the rules, newest first: at most `limit`, and fewer if their
    /// texts are long.
    pub fn history(&self, limit: usize) -> Vec<control::Accepted> {
        self.history.newest(limit)
    }

    /// The list of live entry sessions for sidecars.
    pub fn sessions(&self) -> control::Sessions {
        self.sessions.list()
    }

    pub fn is_live(&self, epoch: id::Epoch) -> bool {
        self.sessions.is_live(epoch)
    }

    /// The live session that an entry instance opened under the number that it drew for the
    /// registration, see `control::Hello::start`.
    pub fn live_session(&self, start: u64) -> Option<id::Epoch> {
        self.sessions.live_session(start)
    }

    /// Sessions that an address has opened and that have not been abandoned.
    pub fn sessions_at(&self, addr: SocketAddr) -> Vec<id::Epoch> {
        self.sessions.at(addr)
    }

    /// Fenced sessions whose open jobs have not been recorded as failed yet.
    pub fn fenced_sessions(&self) -> Vec<id::Epoch> {
        self.sessions.fenced()
    }

    /// Number of keys kept.
    pub fn keys(&self) -> usize {
        self.admissions.keys()
    }

    /// Number of jobs without an outcome.
    pub fn open_jobs(&self) -> usize {
        self.admissions.open_jobs()
    }

    /// Size of the inline answers kept.
    pub fn answer_bytes(&self) -> u64 {
        self.admissions.answer_bytes()
    }
}

fn failed_outcome(reason: crate::protocol::job::Failure, detail: &str) -> wire::Outcome {
    wire::Outcome::Failed { reason, detail: detail.into() }
}
