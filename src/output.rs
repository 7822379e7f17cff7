//! Log output that never holds up the program: lines that the reader is too slow for, or that exceed
//! the bound on volume, are dropped and counted.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, SyncSender, TrySendError},
    },
    thread,
    time::{Duration, Instant},
};

/// Lines that may wait for the reader.
const WAITING_MAX: usize = 4_096;
/// Lines in a second; further ones are dropped.
const LINES_PER_S: u32 = 400;
const SECOND: Duration = Duration::from_secs(1);

/// A bounded writer of lines. Dropping it ends its thread once all lines are written.
#[derive(Debug)]
pub struct Output {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    since: Instant,
    count: u32,
}

impl Output {
    /// Writes to `target` on a thread of its own.
    pub fn new(target: impl Write + Send + 'static) -> Output {
        let (lines, queue) = mpsc::sync_channel(WAITING_MAX);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        thread::spawn(move || write_lines(target, &queue, &counter));
        Output { lines, dropped, since: Instant::now(), count: 0 }
    }

    /// Whether a line is within the bound on volume.
    fn admit(&mut self) -> bool {
        if self.since.elapsed() >= SECOND {
            self.since = Instant::now();
            self.count = 0;
        }
        self.count += 1;
        self.count <= LINES_PER_S
    }
}

impl Write for Output {
    /// Takes one line.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let taken = self.admit()
            && match self.lines.try_send(line.to_vec()) {
                Ok(()) => true,
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
            };
        if !taken {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(mut target: impl Write, queue: &mpsc::Receiver<Vec<u8>>, dropped: &AtomicU64) {
    while let Ok(mut lines) = queue.recv() {
        while let Ok(line) = queue.try_recv() {
            lines.extend(line);
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            lines.extend(format!("level=WARN event=log_dropped lines={count}\n").into_bytes());
        }
        // A log that cannot be written has no other place to say so.
        if target.write_all(&lines).and_then(|()| target.flush()).is_err() {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}
