//! Log output: bounded, and never in the way of the program.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use briargauge::output::Output;

/// A reader that takes nothing until it is opened.
#[derive(Clone, Default)]
struct Pipe {
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
    read: Vec<u8>,
}

impl Pipe {
    fn open(&self) {
        self.inner.state.lock().unwrap().open = true;
        self.inner.opened.notify_all();
    }

    fn wait_for(&self, text: &str) -> String {
        let end = Instant::now() + Duration::from_secs(10);
        loop {
            let read = self.inner.state.lock().unwrap().read.clone();
            let read = String::from_utf8(read).unwrap();
            if read.contains(text) {
                return read;
            }
            assert!(Instant::now() < end, "no {text:?} in {} bytes", read.len());
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.inner.state.lock().unwrap();
        while !state.open {
            state = self.inner.opened.wait(state).unwrap();
        }
        state.read.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a program that stands still because nobody reads its log.
#[test]
fn a_reader_that_takes_nothing_holds_up_nobody() {
    let pipe = Pipe::default();
    let mut output = Output::new(pipe.clone());
    let start = Instant::now();
    for _ in 0..100_000 {
        output.write_all(b"event=x\n").unwrap();
    }
    assert!(start.elapsed() < Duration::from_secs(5));
    pipe.open();
    pipe.wait_for("event=log_dropped lines=");
}

/// Guards against a log that grows with the load, and against lines dropped without a word.
#[test]
fn lines_beyond_the_bound_are_counted() {
    let pipe = Pipe::default();
    pipe.open();
    let mut output = Output::new(pipe.clone());
    for _ in 0..450 {
        output.write_all(b"event=x\n").unwrap();
    }
    std::thread::sleep(Duration::from_millis(1_100));
    output.write_all(b"event=last\n").unwrap();
    let read = pipe.wait_for("event=last");
    let lines = read.matches("event=x\n").count();
    let dropped: usize = read
        .split("lines=")
        .skip(1)
        .map(|rest| rest.split_whitespace().next().unwrap().parse::<usize>().unwrap())
        .sum();
    assert_eq!(lines + dropped, 450);
    assert!(lines <= 400, "{lines}");
}
