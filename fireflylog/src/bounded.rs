//! Writing lines without ever waiting for whoever reads them.
//!
//! Lines go into a bounded queue, and a thread of its own writes them out. When
//! the reader stalls and the queue fills, lines of what went well are dropped
//! first: the last quarter of the queue is kept for warnings and errors. What
//! was dropped is counted, and said in a line as soon as there is room again.

use crate::{LineLayout, utc};
use logforth::record::{Level, Record};
use logforth::{Append, Diagnostic, Error, Layout};
use std::collections::VecDeque;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// Bytes that wait to be written at most; a few seconds of the busiest process.
pub const QUEUE_BYTES: usize = 1 << 20;

/// Part of the queue that is kept for warnings and errors: one in so many.
const FAILURE_RESERVE_DIVISOR: usize = 4;

/// Time for which the writer gathers lines after the first, so that many go in one write.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Longest wait for the queue to be written at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Lines that wait, and what was dropped.
#[derive(Debug, Default)]
struct Queue {
    lines: VecDeque<Vec<u8>>,
    bytes: usize,
    dropped: u64,
    dropped_failures: u64,
    writing: bool,
}

#[derive(Debug, Default)]
struct Shared {
    queue: Mutex<Queue>,
    filled: Condvar,
    written: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Appender that queues lines for a writer thread.
#[derive(Clone, Debug)]
pub struct BoundedAppend {
    shared: Arc<Shared>,
}

impl BoundedAppend {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// When no thread can be started.
    pub fn start(out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let writer_shared = shared.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || run_writer(&writer_shared, out))?;
        Ok(Self { shared })
    }

    /// Lines dropped so far that have not been told of yet, failures among them.
    #[must_use]
    pub fn dropped(&self) -> (u64, u64) {
        let queue = self.shared.lock();
        (queue.dropped, queue.dropped_failures)
    }

    /// Queues a line, or drops it when there is no room for its kind.
    pub fn push(&self, line: Vec<u8>, is_failure: bool) {
        let limit = if is_failure {
            QUEUE_BYTES
        } else {
            QUEUE_BYTES - QUEUE_BYTES / FAILURE_RESERVE_DIVISOR
        };
        let mut queue = self.shared.lock();
        if queue.bytes + line.len() > limit {
            queue.dropped += 1;
            queue.dropped_failures += u64::from(is_failure);
            return;
        }
        queue.bytes += line.len();
        queue.lines.push_back(line);
        if queue.lines.len() == 1 {
            self.shared.filled.notify_one();
        }
    }
}

impl Append for BoundedAppend {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = LineLayout.format(record, diags)?;
        line.push(b'\n');
        self.push(line, record.level() >= Level::Warn);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let mut queue = self.shared.lock();
        while queue.writing || !queue.lines.is_empty() {
            let Some(remaining) = deadline.checked_duration_since(Instant::now()) else {
                return Ok(());
            };
            let waited = self.shared.written.wait_timeout(queue, remaining);
            queue = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        Ok(())
    }
}

fn run_writer(shared: &Shared, mut out: impl Write) {
    loop {
        let mut queue = shared.lock();
        while queue.lines.is_empty() {
            let waited = shared.filled.wait(queue);
            queue = waited.unwrap_or_else(PoisonError::into_inner);
        }
        drop(queue);
        thread::sleep(BATCH_DELAY);
        let batch = take_batch(shared);
        // Nobody is left to tell when the stream itself is closed.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
        shared.lock().writing = false;
        shared.written.notify_all();
    }
}

/// All lines that wait, with one about those that were dropped.
fn take_batch(shared: &Shared) -> Vec<u8> {
    let mut queue = shared.lock();
    queue.writing = true;
    queue.bytes = 0;
    let mut batch: Vec<u8> = queue.lines.drain(..).flatten().collect();
    let dropped = std::mem::take(&mut queue.dropped);
    let failures = std::mem::take(&mut queue.dropped_failures);
    if dropped > 0 {
        let time = utc(SystemTime::now());
        let line = format!(
            "time={time} level=warn event=log_dropped lines={dropped} of_failures={failures}\n"
        );
        batch.extend_from_slice(line.as_bytes());
    }
    batch
}
