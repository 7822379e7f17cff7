//! HTTP interface between a backend server and its sidecar.
//!
//! A backend server sends `POST /announce` to its sidecar at start and then every
//! [`ANNOUNCE_INTERVAL_MS`]. Before it exits, it ceases to announce itself and sends `POST /leave`.
//! The sidecar answers that call when no attempt is queued or runs, or after its drain limit;
//! then the backend server exits.
//!
//! The sidecar sends each attempt once, as `POST /run` with the header [`ATTEMPT_HEADER`]. The
//! backend server repeats the header in its response. If the status is 2xx, the body is the task's
//! answer, a JSON text; any other status means that the task failed. The response should state its
//! length. If it does not, only an object, an array or a string is accepted, because other JSON
//! texts, such as numbers, may be truncated without becoming invalid.
//!
//! If the sidecar closes the connection, the backend server must stop the task. The backend server
//! must never run the same attempt id twice; the sidecar never sends one twice.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::protocol::job;

/// Header of `POST /run` that contains the attempt id; the response repeats it.
pub const ATTEMPT_HEADER: &str = "x-attempt";

/// Body of `POST /announce`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announce {
    /// Address at which the backend server accepts `POST /run`.
    pub addr: SocketAddr,
    /// Random number drawn when the backend server's process starts; a new one means a restart.
    pub start: u64,
    /// Number of tasks that it runs concurrently.
    pub slots: u16,
    /// Number of concurrent connections that it accepts.
    pub connections: u16,
    /// Kinds of task that it runs; empty means all kinds.
    #[serde(default)]
    pub kinds: Vec<String>,
    /// Resources of the worker that it runs on.
    pub size: job::Needs,
}

/// Interval at which a backend server repeats its announcement, in ms.
pub const ANNOUNCE_INTERVAL_MS: u64 = 500;
/// A sidecar treats its backend server as gone once the last announcement is this old, in ms.
pub const ANNOUNCE_LEASE_MS: u64 = 2_000;

/// Body of `POST /leave`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leave {
    /// The number that the leaving backend server announced as its `start`.
    pub start: u64,
}

/// Body of `POST /run` to the backend server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Run {
    #[serde(rename = "team")]
    pub account: String,
    pub kind: String,
    /// The task's input as the caller sent it, a JSON text.
    pub input: Box<serde_json::value::RawValue>,
}
