//! Cost of the control process per unit of work: `cargo bench --bench slopes`.
//!
//! Prints `role=control resource=cpu|memory|bytes per=UNIT value=NUMBER unit=UNIT` lines, from
//! which `docs/CAPACITY.md` computes instances. CPU times are those of one call without network
//! and disk; memory is the growth of the resident set divided by the number of items.

#[path = "slopes/control.rs"]
mod control;
#[path = "slopes/measure.rs"]
mod measure;

fn main() {
    control::print();
}
