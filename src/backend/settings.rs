//! Settings of the stand-in backend server.

use std::{net::SocketAddr, path::PathBuf};

use serde::Deserialize;

use crate::{backend::fault::Fault, config, protocol::job};

/// Settings of the stand-in backend server.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address of its HTTP server: `POST /run`, health, faults and the observations for tests.
    pub http: SocketAddr,
    /// The `http` address of its sidecar.
    pub sidecar: SocketAddr,
    /// Name in its answers; the default is its address.
    #[serde(default)]
    pub name: Option<String>,
    #[serde(default = "defaults::slots")]
    pub slots: u16,
    #[serde(default = "defaults::connections")]
    pub connections: u16,
    /// Kinds of tasks that it runs; empty means all kinds.
    #[serde(default)]
    pub kinds: Vec<String>,
    #[serde(default = "defaults::size")]
    pub size: job::Needs,
    /// The run time of a task is its `work_ms` divided by this.
    #[serde(default = "defaults::speed")]
    pub speed: f64,
    /// File to which the attempt id of each start is appended, so that starts are counted across
    /// restarts of the process.
    #[serde(default)]
    pub starts_file: Option<PathBuf>,
    /// Fault that the stand-in simulates from the start.
    #[serde(default)]
    pub fault: Fault,
    /// Time limit for running tasks to end after SIGTERM.
    #[serde(default = "defaults::drain_limit_ms")]
    pub drain_limit_ms: u64,
}

mod defaults {
    use crate::protocol::job;

    pub fn slots() -> u16 {
        8
    }

    pub fn connections() -> u16 {
        64
    }

    pub fn size() -> job::Needs {
        job::Needs { cpus: 16, memory_mb: 32 * 1024, accelerators: 0 }
    }

    pub fn speed() -> f64 {
        1.0
    }

    pub fn drain_limit_ms() -> u64 {
        30_000
    }
}

impl config::Settings for Settings {
    fn check(&self) -> Result<(), (String, String)> {
        if !(self.speed.is_finite() && self.speed > 0.0) {
            return Err(("speed".into(), "must be positive".into()));
        }
        if self.slots == 0 || self.connections == 0 {
            return Err(("slots".into(), "slots and connections must be positive".into()));
        }
        Ok(())
    }
}
