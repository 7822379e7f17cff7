//! Log output that never blocks the program. Lines are dropped and counted if the reader is too
//! slow for them or if they exceed the limit on lines per second.

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

/// Maximum number of lines that are buffered for the reader. Further lines are dropped.
const BUFFERED_MAX: usize = 4_096;
/// Maximum number of lines in a second. Further lines are dropped.
const LINES_PER_S_MAX: u32 = 400;
const SECOND: Duration = Duration::from_secs(1);

/// A writer of lines that never blocks. After it is dropped, its thread ends once all buffered
/// lines are written.
#[derive(Debug)]
pub struct Output {
    lines: SyncSender<Vec<u8>>,
    /// Number of dropped lines that have not been reported yet.
    dropped: Arc<AtomicU64>,
    /// Start of the current second.
    second_start: Instant,
    /// Number of lines in the current second.
    count: u32,
}

impl Output {
    /// Starts a thread that writes the lines to `target`.
    pub fn new(target: impl Write + Send + 'static) -> Output {
        let (lines, queue) = mpsc::sync_channel(BUFFERED_MAX);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        thread::spawn(move || write_lines(target, &queue, &counter));
        Output { lines, dropped, second_start: Instant::now(), count: 0 }
    }

    /// Counts a line and returns whether it is within the limit on lines per second.
    fn admit(&mut self) -> bool {
        if self.second_start.elapsed() >= SECOND {
            self.second_start = Instant::now();
            self.count = 0;
        }
        self.count += 1;
        self.count <= LINES_PER_S_MAX
    }
}

impl Write for Output {
    /// Accepts or drops one line. Always reports it as written.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let accepted = self.admit()
            && match self.lines.try_send(line.to_vec()) {
                Ok(()) => true,
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
            };
        if !accepted {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the [`Output`] is dropped. Reports dropped lines in the log itself.
fn write_lines(mut target: impl Write, queue: &mpsc::Receiver<Vec<u8>>, dropped: &AtomicU64) {
    while let Ok(mut lines) = queue.recv() {
        while let Ok(line) = queue.try_recv() {
            lines.extend(line);
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            lines.extend(format!("level=WARN event=log_dropped lines={count}\n").into_bytes());
        }
        // There is no other place to report that the log could not be written, so the failure is
        // counted as a dropped line.
        if target.write_all(&lines).and_then(|()| target.flush()).is_err() {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}
