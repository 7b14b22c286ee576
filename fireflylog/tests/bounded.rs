//! The bounded appender keeps lines in order, never blocks, and drops lines by level.

use fireflylog::{BoundedAppend, QUEUE_BYTES};
use logforth::Append;
use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex};

macro_rules! cases {
    ($($name:ident => $body:expr;)+) => {
        $(
            #[test]
            fn $name() {
                $body
            }
        )+
    };
}

cases! {
    lines_come_out_in_order => in_order();
    stalled_reader_does_not_block_callers => does_not_block_on_stall();
    failures_are_queued_when_other_lines_are_dropped => queues_failures();
    dropped_lines_are_reported => reports_dropped();
}

/// Output stream whose reader can stall.
#[derive(Clone, Default)]
struct Stream {
    written: Arc<Mutex<Vec<u8>>>,
    open: Arc<(Mutex<bool>, Condvar)>,
    write_started: Arc<(Mutex<bool>, Condvar)>,
}

impl Stream {
    fn open(&self) {
        *self.open.0.lock().unwrap() = true;
        self.open.1.notify_all();
    }

    /// Waits until the writer has started a write.
    fn await_write(&self) {
        let mut write_started = self.write_started.0.lock().unwrap();
        while !*write_started {
            write_started = self.write_started.1.wait(write_started).unwrap();
        }
    }

    fn text(&self) -> String {
        String::from_utf8(self.written.lock().unwrap().clone()).unwrap()
    }
}

impl Write for Stream {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        *self.write_started.0.lock().unwrap() = true;
        self.write_started.1.notify_all();
        let mut open = self.open.0.lock().unwrap();
        while !*open {
            open = self.open.1.wait(open).unwrap();
        }
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn append() -> (BoundedAppend, Stream) {
    let stream = Stream::default();
    (BoundedAppend::start(stream.clone()).unwrap(), stream)
}

const LINE: usize = 1_000;

fn line(byte: u8) -> Vec<u8> {
    let mut line = vec![byte; LINE - 1];
    line.push(b'\n');
    line
}

/// Opens the stream and waits until the written text meets the condition.
fn written(append: &BoundedAppend, stream: &Stream, is_complete: impl Fn(&str) -> bool) -> String {
    stream.open();
    loop {
        append.flush().unwrap();
        let text = stream.text();
        if is_complete(&text) {
            return text;
        }
    }
}

fn in_order() {
    let (append, stream) = append();
    for byte in b'a'..=b'j' {
        append.push(vec![byte, b'\n'], false);
    }
    let text = written(&append, &stream, |t| t.len() == 20);
    assert_eq!(text.replace('\n', ""), "abcdefghij");
}

/// Fills the queue behind a batch whose write is stalled.
fn fill(append: &BoundedAppend, stream: &Stream) {
    append.push(line(b'1'), false);
    stream.await_write();
    for _ in 0..QUEUE_BYTES / LINE {
        append.push(line(b's'), false);
    }
}

fn does_not_block_on_stall() {
    let (append, stream) = append();
    fill(&append, &stream);
    // This point is reached although the stream accepts no byte.
    assert!(append.dropped().0 > 0);
}

fn queues_failures() {
    let (append, stream) = append();
    fill(&append, &stream);
    let before = append.dropped();
    append.push(line(b's'), false);
    append.push(line(b'f'), true);
    let after = append.dropped();
    assert_eq!(after, (before.0 + 1, 0));
    written(&append, &stream, |t| t.contains("ffff"));
}

fn reports_dropped() {
    let (append, stream) = append();
    fill(&append, &stream);
    let text = written(&append, &stream, |t| t.contains("event=log_dropped"));
    assert!(text.contains("of_failures=0"));
    assert_eq!(append.dropped(), (0, 0));
}
