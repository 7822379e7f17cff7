//! Identifiers. All are opaque numbers or names, and none is ever reused.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Maximum length of a client account's name, in bytes.
pub const ACCOUNT_MAX_BYTES: usize = 64;
/// Maximum length of a caller's submission key, in bytes.
pub const KEY_MAX_BYTES: usize = 128;

/// Name of a client account.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Account(pub String);

/// A submission's key. Callers choose it; it is unique within its client account.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    pub account: Account,
    pub key: String,
}

/// An admitted submission, identified by the log index of its admission record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Job(pub u64);

/// Fencing token of an entry's session: the log index of the session's registration record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// One execution of a submission, or of a request without a key, in one session of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Execution {
    pub epoch: Epoch,
    pub seq: u64,
}

/// One attempt to run one task of an execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Attempt {
    pub execution: Execution,
    /// Index of the task in its submission.
    pub task: u16,
    /// 0 for the first attempt at the task.
    pub number: u16,
}

/// One incarnation of a backend server as its sidecar sees it. The sidecar draws the number at
/// random when a backend server announces itself that has started anew or has another address than
/// the last one, and when the sidecar itself has restarted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// A control instance, identified by the number in its settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Node(pub u64);

/// A data directory of a control instance. The number is drawn at random when the directory is
/// created.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Disk(pub u64);

/// A cluster of control instances. The number is drawn at random when the cluster is formed. Terms,
/// log indexes, and all numbers that are derived from them, are comparable only within one cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Cluster(pub u64);

impl fmt::Display for Cluster {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Display for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Display for Job {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl fmt::Display for Execution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.epoch.0, self.seq)
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}-{}", self.execution, self.task, self.number)
    }
}
