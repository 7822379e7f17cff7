//! Costs of the sidecar: the time to admit an attempt, and the memory for its record.

use briargauge::{
    coordination::{
        lease::Lease,
        slot::{Limits, Request, Slots},
    },
    protocol::{id, job, wire::control},
};

use crate::measure::{cpu, memory};

const INCARNATION: id::Incarnation = id::Incarnation(7);
/// Attempts recorded to measure memory.
const ATTEMPTS: u64 = 100_000;
/// Live sessions of entries.
const SESSIONS: u64 = 40;

pub fn print() {
    let lease = lease();
    let mut slots = memory("remembered_attempt", ATTEMPTS as usize, || {
        let mut slots = Slots::new(INCARNATION, limits());
        for seq in 0..ATTEMPTS {
            start(&mut slots, &lease, seq);
        }
        slots
    });
    let mut seq = ATTEMPTS;
    cpu("attempt", 200_000, |_| {
        seq += 1;
        start(&mut slots, &lease, seq);
    });
}

fn limits() -> Limits {
    Limits {
        slots: 8,
        connections: 64,
        queue: 8,
        kinds: Vec::new(),
        size: job::Needs { cpus: 64, memory_mb: 128_000, accelerators: 1 },
    }
}

fn lease() -> Lease {
    let live = (1..=SESSIONS).map(id::Epoch).collect();
    let view = control::SidecarView {
        lease_ms: 3_600_000,
        confirmed_age_ms: 0,
        rules: None,
        sessions: Some(control::Sessions { as_of: SESSIONS, live }),
    };
    let mut lease = Lease::default();
    lease.confirm(0, view);
    lease
}

/// Offers an attempt, which starts at once, and ends it.
fn start(slots: &mut Slots, lease: &Lease, seq: u64) {
    let execution = id::Execution { epoch: id::Epoch(1 + seq % SESSIONS), seq };
    let attempt = id::Attempt { execution, task: 0, number: 0 };
    let request = Request {
        attempt,
        incarnation: INCARNATION,
        account: id::Account("desk".into()),
        kind: "quote".into(),
        declared_ms: Some(100),
        needs: job::Needs::default(),
        deadline: 1 << 40,
    };
    slots.offer(seq, lease, request);
    slots.ended(attempt);
}
