//! Panics in asynchronous tasks. A panic ends only the task in which it happens, so each task either
//! is restarted here or reports the panic to those who wait for it.

use std::{
    any::Any,
    future::Future,
    panic::{self, AssertUnwindSafe},
    time::Duration,
};

use actix_rt::task::JoinHandle;
use futures::FutureExt;
use tokio::time::{self, Instant};

/// Pause before the first restart of a loop. Each further pause is twice as long.
const PAUSE_MIN: Duration = Duration::from_millis(50);
/// Longest pause before a restart of a loop.
const PAUSE_MAX: Duration = Duration::from_secs(2);
/// A loop that ran for this long is restarted after the shortest pause again.
const STABLE_AFTER: Duration = Duration::from_secs(30);

/// Logs each panic as one line, in place of the default message on the standard error stream.
pub fn log_panics() {
    panic::set_hook(Box::new(|panic| {
        let at = panic.location().map(ToString::to_string).unwrap_or_default();
        log::error!("event=panic at={at} reason={:?}", message(panic.payload()));
    }));
}

/// Spawns a loop that runs on a clone of `owner` until it returns. If it panics, it is started again
/// after a pause.
pub fn spawn<T, F>(step: &'static str, owner: &T, run: impl Fn(T) -> F + 'static) -> JoinHandle<()>
where
    T: Clone + 'static,
    F: Future<Output = ()> + 'static,
{
    let owner = owner.clone();
    actix_rt::spawn(restart(step, move || run(owner.clone())))
}

/// Runs a loop until it returns. If it panics, `start` creates it again after a pause.
pub async fn restart<F: Future<Output = ()>>(step: &'static str, start: impl Fn() -> F) {
    let mut pause = PAUSE_MIN;
    loop {
        let started = Instant::now();
        if catch(step, start()).await.is_some() {
            return;
        }
        if started.elapsed() >= STABLE_AFTER {
            pause = PAUSE_MIN;
        }
        log::warn!("event=restart step={step} pause_ms={}", pause.as_millis());
        time::sleep(pause).await;
        pause = PAUSE_MAX.min(2 * pause);
    }
}

/// Returns the output of a future, or `None` if it panics.
pub async fn catch<F: Future>(step: &str, future: F) -> Option<F::Output> {
    let result = AssertUnwindSafe(future).catch_unwind().await;
    result.map_err(|panic| log_caught(step, &*panic)).ok()
}

/// Returns the result of a function, or `None` if it panics.
pub fn catch_in<T>(step: &str, function: impl FnOnce() -> T) -> Option<T> {
    let result = panic::catch_unwind(AssertUnwindSafe(function));
    result.map_err(|panic| log_caught(step, &*panic)).ok()
}

fn log_caught(step: &str, panic: &(dyn Any + Send)) {
    log::error!("event=task_panicked step={step} reason={:?}", message(panic));
}

fn message(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str)).unwrap_or("unknown")
}
