//! HTTP between a backend server and its sidecar.
//!
//! A backend server sends `POST /announce` to its sidecar at start and then every
//! [`ANNOUNCE_INTERVAL_MS`]. When it is to stop it stops announcing, sends `POST /leave`, and ends
//! once that is answered, because by then no attempt is in flight.
//!
//! The sidecar sends each attempt once, as `POST /run` with the header [`ATTEMPT_HEADER`]. The
//! answer repeats that header. With a 2xx status its body is the task's answer, a JSON text; any
//! other status means that the task failed. It should state its length: without, only an object,
//! array or string is accepted, since the end of other texts could be missing unnoticed. If the
//! sidecar closes the connection, the task is to be stopped. An attempt id that is seen twice must
//! never be run again; the sidecar never sends one twice.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::protocol::job;

/// Header that names the attempt in a `POST /run` and that the reply echoes.
pub const ATTEMPT_HEADER: &str = "x-attempt";

/// Body of `POST /announce`, sent at start and then at least every `ANNOUNCE_INTERVAL_MS`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announce {
    /// Where the backend server takes `POST /run`.
    pub addr: SocketAddr,
    /// Random number of this start of the backend server; a new one means a restart.
    pub start: u64,
    /// Tasks it runs at once.
    pub slots: u16,
    /// Connections it accepts.
    pub connections: u16,
    /// Kinds of task it runs; empty for all.
    #[serde(default)]
    pub kinds: Vec<String>,
    /// Size of the worker it runs on.
    pub size: job::Needs,
}

/// How often a backend server repeats its announcement, in ms.
pub const ANNOUNCE_INTERVAL_MS: u64 = 500;
/// Age of the last announcement after which a sidecar counts its backend server as gone, in ms.
pub const ANNOUNCE_LEASE_MS: u64 = 2_000;

/// Body of `POST /leave`. The sidecar answers once the attempts in flight have ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leave {
    /// The start that leaves, as announced.
    pub start: u64,
}

/// Body of `POST /run` to the backend server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Run {
    #[serde(rename = "team")]
    pub account: String,
    pub kind: String,
    /// The caller's input as JSON text.
    pub input: Box<serde_json::value::RawValue>,
}
