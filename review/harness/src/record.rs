//! What was sent, answered and run, with times in ms since the start of the case.

use std::{
    fmt::Display,
    fs, io,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { start: Instant::now(), lines: Arc::default() }
    }

    /// Time since the start, in ms.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn add(&self, text: impl Display) {
        let now = self.now();
        self.lines.lock().unwrap().push((now, text.to_string()));
    }

    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines.iter().map(|(at, line)| format!("{at:>7} {line}\n")).collect();
        fs::write(path, text)
    }
}
