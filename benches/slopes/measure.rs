//! Measures time and memory and prints slopes.

use std::{cell::Cell, fs, hint, time::Instant};

/// Size of a page of memory, in bytes.
const PAGE_BYTES: u64 = 4096;

thread_local! {
    static ROLE: Cell<&'static str> = const { Cell::new("") };
}

/// Sets the role that later lines of this thread name.
pub fn set_role(role: &'static str) {
    ROLE.set(role);
}

/// Prints one line of output.
pub fn line(resource: &str, per: &str, value: f64, unit: &str) {
    let role = ROLE.get();
    println!("role={role} resource={resource} per={per} value={value:.3} unit={unit}");
}

/// Prints the mean time of `work` in µs over `times` calls, after a tenth as many warm-up calls.
pub fn cpu<T>(per: &str, times: usize, mut work: impl FnMut(usize) -> T) {
    for n in 0..times / 10 {
        hint::black_box(work(n));
    }
    let start = Instant::now();
    for n in times / 10..times / 10 + times {
        hint::black_box(work(n));
    }
    line("cpu", per, start.elapsed().as_secs_f64() * 1e6 / times as f64, "us");
}

/// Prints the growth of the resident set during `make`, divided by `count`, and returns the result
/// of `make`.
pub fn memory<T>(per: &str, count: usize, make: impl FnOnce() -> T) -> T {
    let before = resident_bytes();
    let made = hint::black_box(make());
    let grown = resident_bytes().saturating_sub(before);
    line("memory", per, grown as f64 / count as f64, "bytes");
    made
}

/// Resident set of this process, in bytes.
fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").expect("/proc/self/statm is readable");
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.expect("the second figure is the resident set") * PAGE_BYTES
}
