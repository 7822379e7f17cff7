//! Log output: limited in volume, and never blocking the program.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use briargauge::output::Output;

/// A log target that blocks every write until it is opened.
#[derive(Clone, Default)]
struct BlockedTarget {
    inner: Arc<Inner>,
}

#[derive(Default)]
struct Inner {
    state: Mutex<State>,
    opened: Condvar,
}

#[derive(Default)]
struct State {
    open: bool,
    written: Vec<u8>,
}

impl BlockedTarget {
    fn open(&self) {
        self.inner.state.lock().unwrap().open = true;
        self.inner.opened.notify_all();
    }

    fn wait_for(&self, text: &str) -> String {
        let deadline = Instant::now() + Duration::from_secs(10);
        loop {
            let written = self.inner.state.lock().unwrap().written.clone();
            let written = String::from_utf8(written).unwrap();
            if written.contains(text) {
                return written;
            }
            assert!(Instant::now() < deadline, "no {text:?} in {} bytes after 10 s", written.len());
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Write for BlockedTarget {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.inner.state.lock().unwrap();
        while !state.open {
            state = self.inner.opened.wait(state).unwrap();
        }
        state.written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a program that blocks because nobody reads its log.
#[test]
fn blocked_target_does_not_block_the_writer() {
    let target = BlockedTarget::default();
    let mut output = Output::new(target.clone());
    let start = Instant::now();
    for _ in 0..100_000 {
        output.write_all(b"event=x\n").unwrap();
    }
    assert!(start.elapsed() < Duration::from_secs(5));
    target.open();
    target.wait_for("event=log_dropped lines=");
}

/// Guards against a log that grows with the load, and against dropped lines that are not reported.
#[test]
fn lines_above_the_rate_limit_are_dropped_and_counted() {
    let target = BlockedTarget::default();
    target.open();
    let mut output = Output::new(target.clone());
    for _ in 0..450 {
        output.write_all(b"event=x\n").unwrap();
    }
    std::thread::sleep(Duration::from_millis(1_100));
    output.write_all(b"event=last\n").unwrap();
    let written = target.wait_for("event=last");
    let lines = written.matches("event=x\n").count();
    let dropped: usize = written
        .split("lines=")
        .skip(1)
        .map(|rest| rest.split_whitespace().next().unwrap().parse::<usize>().unwrap())
        .sum();
    assert_eq!(lines + dropped, 450);
    assert!(lines <= 400, "{lines}");
}
