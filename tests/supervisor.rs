//! Panics in asynchronous tasks.

use std::{cell::Cell, time::Duration};

use briargauge::supervisor;
use tokio::time::{self, Instant};

/// Guards against a loop that ends for good after a panic, and against one that is started again so
/// often that it takes the processor.
#[actix_rt::test]
async fn a_loop_goes_on_after_panics() {
    let runs = Cell::new(0);
    let start = || async {
        runs.set(runs.get() + 1);
        assert!(runs.get() > 3, "run {}", runs.get());
    };
    let started = Instant::now();
    time::timeout(Duration::from_secs(20), supervisor::restart("test", start)).await.unwrap();
    assert_eq!(runs.get(), 4);
    assert!(started.elapsed() >= Duration::from_millis(50 + 100 + 200));
}

/// Guards against waiters that never learn that a task has panicked.
#[actix_rt::test]
async fn a_panic_has_no_result() {
    let text = String::from("an owned message");
    assert_eq!(supervisor::catch("test", async { panic!("{text}") }).await, None::<()>);
    assert_eq!(supervisor::catch("test", async { 1 }).await, Some(1));
    assert_eq!(supervisor::catch_in("test", || -> u8 { panic!("message") }), None);
    assert_eq!(supervisor::catch_in("test", || 1), Some(1));
}
