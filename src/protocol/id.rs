//! Identifiers. All are opaque numbers or names; none is ever reused.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Longest name of a client account, in bytes.
pub const ACCOUNT_MAX_BYTES: usize = 64;
/// Longest caller's key, in bytes.
pub const KEY_MAX_BYTES: usize = 128;

/// Name of a client account.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Account(pub String);

/// A caller's submission key, unique within its client account.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    pub account: Account,
    pub key: String,
}

/// An admitted submission: the log index of its admission record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Job(pub u64);

/// A session of an entry: the log index of its registration record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// One execution of a submission or unkeyed request by one entry session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Execution {
    pub epoch: Epoch,
    pub seq: u64,
}

/// One try to start one task of an execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Attempt {
    pub execution: Execution,
    /// Index of the task in its submission.
    pub task: u16,
    /// 0 for the first try.
    pub number: u16,
}

/// One life of a backend server as its sidecar sees it: random, drawn at each start or announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// A control instance, by the number in its settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Node(pub u64);

/// A data folder of a control instance: random, drawn when the folder is created.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Disk(pub u64);

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
