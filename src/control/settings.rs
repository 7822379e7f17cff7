//! Settings of a control instance.

use std::{net::SocketAddr, path::PathBuf};

use serde::Deserialize;

use crate::{config, control::replica, protocol::id, state::machine};

/// Shortest retention of keys, in ms. A submission that is sent again must still find its key.
const RETENTION_MIN_MS: u64 = 60_000;

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Number of this instance, which no other instance of the cluster has.
    pub node: u64,
    /// Directory of the log and the snapshots. It is created if it does not exist.
    pub data_folder: PathBuf,
    /// Where `/health` and `/metrics` are served.
    pub http: SocketAddr,
    /// Where the calls of entry instances, sidecars and operators are served.
    pub rpc: SocketAddr,
    /// Address at which entry instances, sidecars and operators reach `rpc`, if it is a different
    /// one.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Where the connections of other control instances are accepted.
    #[serde(default = "peer")]
    pub peer: SocketAddr,
    /// `peer` addresses of other control instances. An instance introduces itself there while it
    /// has no leader, or is not listed as a member with its current addresses.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// How long keys are kept after their submission was created.
    #[serde(default = "retention_ms")]
    pub retention_ms: u64,
    /// Most keys kept.
    #[serde(default = "keys_max")]
    pub keys_max: u64,
    /// Most bytes of answers kept.
    #[serde(default = "answers_max_bytes")]
    pub answers_max_bytes: u64,
    /// Time limit for a stop to transfer leadership and answer the calls in flight.
    #[serde(default = "drain_limit_ms")]
    pub drain_limit_ms: u64,
}

impl Settings {
    pub fn replica(&self) -> replica::Settings {
        replica::Settings {
            client_addr: self.advertise.unwrap_or(self.rpc),
            peers: self.peers.clone(),
            ..replica::Settings::new(id::Node(self.node), self.peer, self.data_folder.clone())
        }
    }

    pub fn limits(&self) -> machine::Limits {
        machine::Limits {
            retention_ms: self.retention_ms,
            keys_max: self.keys_max,
            answers_max_bytes: self.answers_max_bytes,
        }
    }
}

impl config::Settings for Settings {
    fn check(&self) -> Result<(), (String, String)> {
        if self.retention_ms < RETENTION_MIN_MS {
            return Err(("retention_ms".into(), format!("must be at least {RETENTION_MIN_MS}")));
        }
        if self.keys_max == 0 {
            return Err(("keys_max".into(), "must be at least 1".into()));
        }
        Ok(())
    }
}

fn retention_ms() -> u64 {
    machine::Limits::default().retention_ms
}

fn keys_max() -> u64 {
    machine::Limits::default().keys_max
}

fn answers_max_bytes() -> u64 {
    machine::Limits::default().answers_max_bytes
}

fn peer() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn drain_limit_ms() -> u64 {
    5_000
}
