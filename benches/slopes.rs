//! Measures what each role costs per unit of work: `cargo bench --bench slopes`.
//!
//! Prints `role=ROLE resource=cpu|memory|bytes per=UNIT value=NUMBER unit=UNIT` lines, from
//! which `docs/CAPACITY.md` derives the number of instances. CPU times are those of one call
//! without network and disk. Memory is the growth of the resident set divided by the number of
//! items.

use std::{env, process::Command};

#[path = "slopes/control.rs"]
mod control;
#[path = "slopes/entry.rs"]
mod entry;
#[path = "slopes/measure.rs"]
mod measure;
#[path = "slopes/sidecar.rs"]
mod sidecar;

const ROLES: [(&str, fn()); 3] =
    [("control", control::print), ("entry", entry::print), ("sidecar", sidecar::print)];

/// Measures each role in a process of its own. In a shared process, memory that one role has freed
/// would be reused by the next without a growth of the resident set.
fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    for (role, print) in ROLES {
        if args.iter().any(|arg| arg == role) {
            measure::set_role(role);
            return print();
        }
    }
    for (role, _) in ROLES {
        let program = env::current_exe().expect("the benchmark has a path");
        let status = Command::new(program).arg(role).status().expect("the benchmark starts");
        assert!(status.success(), "role {role} failed");
    }
}
