//! Reports of sidecars to the leader.

use std::net::SocketAddr;

use briargauge::protocol::{
    queue::Attempt,
    wire::queue::{Backend, Report},
};

/// Report of a sidecar whose server is lost and may run or start `undecided`.
pub fn of_loss(sidecar: &str, undecided: &[Attempt]) -> Report {
    Report {
        sidecar: sidecar.to_owned(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: 1,
        number: 1,
        backend: Backend::Lost,
        losses: 1,
        generation: 1,
        running: None,
        undecided: undecided.to_vec(),
        completions: Vec::new(),
        not_started: Vec::new(),
        crashes: Vec::new(),
        batch: 0,
        wait_ms: 0,
        drains: 0,
    }
}
