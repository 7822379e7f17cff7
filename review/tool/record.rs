//! What was sent, answered and run, in the order in which it was seen.

use std::{fs::File, io::Write, path::Path, sync::Mutex, time::Instant};

use crate::runner::Spec;

/// A start, an end or the acknowledgement of an end at a runner.
#[derive(Debug, Clone)]
pub enum Event {
    Start {
        at_ms: u64,
        runner: String,
        labels: Vec<String>,
        task: String,
        run: u64,
    },
    /// `lapses` counts how often the runner's lease had lapsed before.
    End {
        at_ms: u64,
        runner: String,
        task: String,
        run: u64,
        how: String,
        lapses: u64,
    },
    /// The end was taken note of: `ackCursor` has reached it.
    Noted {
        runner: String,
        task: String,
        run: u64,
        how: String,
        lapses: u64,
    },
}

pub struct Record {
    started: Instant,
    file: Mutex<File>,
    events: Mutex<Vec<Event>>,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { started: Instant::now(), file: Mutex::new(file), events: Mutex::default() }
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn log(&self, line: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {}", self.now_ms(), line.as_ref());
    }

    pub fn start(&self, runner: &Spec, task: &str, run: u64, spec: &str) {
        let (id, labels) = (runner.id.clone(), runner.labels.clone());
        let spec = &spec[..spec.len().min(40)];
        self.log(format!("start runner={id} task={task} run={run} spec={spec:?}"));
        let at_ms = self.now_ms();
        let task = task.to_owned();
        self.events.lock().unwrap().push(Event::Start { at_ms, runner: id, labels, task, run });
    }

    pub fn end(&self, runner: &str, task: &str, run: u64, how: &str, number: u64, lapses: u64) {
        self.log(format!("end runner={runner} task={task} run={run} how={how} number={number}"));
        let at_ms = self.now_ms();
        let (runner, task, how) = (runner.to_owned(), task.to_owned(), how.to_owned());
        self.events.lock().unwrap().push(Event::End { at_ms, runner, task, run, how, lapses });
    }

    pub fn noted(&self, runner: &str, task: &str, run: u64, how: &str, number: u64, lapses: u64) {
        self.log(format!("noted runner={runner} task={task} run={run} how={how} number={number}"));
        let (runner, task, how) = (runner.to_owned(), task.to_owned(), how.to_owned());
        self.events.lock().unwrap().push(Event::Noted { runner, task, run, how, lapses });
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }
}
