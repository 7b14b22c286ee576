//! Log appender that never blocks on a slow reader.
//!
//! Lines go into a bounded queue, and a separate thread writes them out. When
//! the reader stalls and the queue fills, lines below warning level are dropped
//! first: the last quarter of the queue is reserved for warnings and errors.
//! Dropped lines are counted, and the count is logged with the next batch.

use crate::{LineLayout, utc};
use logforth::record::{Level, Record};
use logforth::{Append, Diagnostic, Error, Layout};
use std::collections::VecDeque;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// Capacity of the queue in bytes: a few seconds of the busiest process's log.
pub const QUEUE_BYTES: usize = 1 << 20;

/// Divisor of the queue's capacity that gives the part reserved for warnings and errors.
const FAILURE_RESERVE_DIVISOR: usize = 4;

/// Time that the writer waits for further lines, so that many go into one write.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Maximum time to write out the queue at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Queued lines, and counts of dropped ones.
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
    /// Fails if the thread can't be started.
    pub fn start(out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let writer_shared = shared.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || run_writer(&writer_shared, out))?;
        Ok(Self { shared })
    }

    /// Returns the number of dropped lines not yet reported, and of warnings and errors among them.
    #[must_use]
    pub fn dropped(&self) -> (u64, u64) {
        let queue = self.shared.lock();
        (queue.dropped, queue.dropped_failures)
    }

    /// Queues a line, or drops it if the queue is full for lines of its level.
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
        // A closed stream leaves no place to report the error.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
        shared.lock().writing = false;
        shared.written.notify_all();
    }
}

/// Takes all queued lines, and appends one that reports dropped lines.
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
