//! Logging to a standard stream: one line of key=value pairs per event.
//!
//! A line begins with `time` (UTC, with milliseconds), `level` and `event`, followed by the pairs
//! of the event. Within [`in_request`] each line has `req`, whichever module logs it:
//!
//! ```text
//! time=2026-01-31T08:15:00.250Z level=warn event=offer_refused req=7f3a code=2003
//! ```
//!
//! Lines without an event, as logged by libraries, have `event=log` with `target` and `message`.
//! Values are cut at [`MAX_VALUE_BYTES`].

mod bounded;
mod stderr;

pub use bounded::{BoundedAppend, QUEUE_BYTES};

use std::fmt::Write;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use logforth::kv::{KeyView, ValueView, Visitor};
use logforth::record::{Level, LevelFilter, Record};
use logforth::{Diagnostic, Error, Layout, starter_log};

/// Key of the event name.
const EVENT_KEY: &str = "event";
/// Key of the request id.
const REQUEST_ID_KEY: &str = "req";
/// Event name of a line without one.
const DEFAULT_EVENT: &str = "log";
/// Longest value in a line, in bytes: one line can't fill the queue, so that no others are dropped for it.
pub const MAX_VALUE_BYTES: usize = 4 << 10;
const SECONDS_PER_DAY: u64 = 86_400;

tokio::task_local! {
    static REQUEST_ID: Arc<str>;
}

/// Stream that receives the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard output, written by a separate thread so that a stalled reader blocks nothing.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Directs the process's log to `output`, from `level` up.
///
/// # Errors
///
/// Fails if the process already has a logger or the writer thread can't be started.
pub fn init(level: log::LevelFilter, output: Output) -> anyhow::Result<()> {
    // The log macros check the level before a line is formatted.
    let all = LevelFilter::All;
    let applied = match output {
        Output::Stdout => {
            let append = BoundedAppend::start(std::io::stdout())?;
            starter_log::builder()
                .dispatch(|d| d.filter(all).append(append))
                .try_apply()
        }
        Output::Stderr => starter_log::builder()
            .dispatch(|d| d.filter(all).append(stderr::StderrAppend))
            .try_apply(),
    };
    applied.map_err(|e| anyhow::anyhow!("log: {e}"))?;
    log::set_max_level(level);
    Ok(())
}

/// Runs `task` with `req=id` on each of its log lines.
///
/// Tasks that it spawns don't inherit the id.
pub async fn in_request<T>(id: impl Into<Arc<str>>, task: impl Future<Output = T>) -> T {
    REQUEST_ID.scope(id.into(), task).await
}

/// Runs `f` with `req=id` on each of its log lines.
pub fn in_request_sync<T>(id: impl Into<Arc<str>>, f: impl FnOnce() -> T) -> T {
    REQUEST_ID.sync_scope(id.into(), f)
}

/// Layout of a log line.
#[derive(Clone, Copy, Debug)]
pub struct LineLayout;

impl Layout for LineLayout {
    fn format(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<Vec<u8>, Error> {
        let mut line = Line::default();
        line.pair("time", &utc(record.time()));
        line.pair("level", level_name(record.level()));
        line.event(record);
        line.request(record);
        record.key_values().visit(&mut line)?;
        line.message(record);
        Ok(line.text.into_bytes())
    }
}

/// Builder of a line.
#[derive(Default)]
struct Line {
    text: String,
}

impl Line {
    fn pair(&mut self, key: &str, value: &str) {
        if !self.text.is_empty() {
            self.text.push(' ');
        }
        self.text
            .extend(key.chars().map(|c| if is_plain(c) { c } else { '_' }));
        self.text.push('=');
        self.value(value);
    }

    /// Writes a value, cut to [`MAX_VALUE_BYTES`] with its length after it.
    fn value(&mut self, value: &str) {
        let kept = &value[..value.floor_char_boundary(MAX_VALUE_BYTES)];
        if kept.len() < value.len() {
            self.quoted_if_needed(&format!("{kept}... {} bytes", value.len()));
        } else {
            self.quoted_if_needed(value);
        }
    }

    /// Writes a value, quoted if it is empty or contains other than plain characters.
    fn quoted_if_needed(&mut self, value: &str) {
        if !value.is_empty() && value.chars().all(is_plain) {
            self.text.push_str(value);
            return;
        }
        self.text.push('"');
        for c in value.chars() {
            match c {
                '"' | '\\' => self.text.extend(['\\', c]),
                // Characters that could end the line or move the cursor are escaped.
                c if c.is_control() || matches!(c, '\u{2028}' | '\u{2029}') => {
                    self.text.extend(c.escape_default());
                }
                c => self.text.push(c),
            }
        }
        self.text.push('"');
    }

    fn event(&mut self, record: &Record) {
        if let Some(event) = record.key_values().get(EVENT_KEY) {
            self.pair(EVENT_KEY, &event.to_string());
        } else {
            self.pair(EVENT_KEY, DEFAULT_EVENT);
            self.pair("target", record.target());
        }
    }

    fn request(&mut self, record: &Record) {
        if let Some(req) = record.key_values().get(REQUEST_ID_KEY) {
            self.pair(REQUEST_ID_KEY, &req.to_string());
            return;
        }
        // There is no id outside a request.
        let _ = REQUEST_ID.try_with(|req| self.pair(REQUEST_ID_KEY, req));
    }

    fn message(&mut self, record: &Record) {
        let message = record.payload().to_string();
        if !message.is_empty() {
            self.pair("message", &message);
        }
    }
}

impl Visitor for Line {
    fn visit(&mut self, key: KeyView, value: ValueView) -> Result<(), Error> {
        if !matches!(key.as_str(), EVENT_KEY | REQUEST_ID_KEY) {
            self.pair(key.as_str(), &value.to_string());
        }
        Ok(())
    }
}

/// Returns whether a character needs no quotes.
fn is_plain(c: char) -> bool {
    c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\')
}

fn level_name(level: Level) -> &'static str {
    match level {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
        other => other.name(),
    }
}

/// Formats a time as `YYYY-MM-DDThh:mm:ss.mmmZ`; times before 1970 give the start of 1970.
#[must_use]
pub fn utc(time: SystemTime) -> String {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    let (days, second) = (
        since_epoch.as_secs() / SECONDS_PER_DAY,
        since_epoch.as_secs() % SECONDS_PER_DAY,
    );
    let (year, month, day) = civil_date(days);
    let (hour, minute) = (second / 3600, second / 60 % 60);
    let mut text = format!("{year:04}-{month:02}-{day:02}T");
    // Writing to a string can't fail.
    let _ = write!(text, "{hour:02}:{minute:02}:{:02}", second % 60);
    let _ = write!(text, ".{:03}Z", since_epoch.subsec_millis());
    text
}

/// Returns year, month and day for a number of days since 1970-01-01.
///
/// Years are counted from March, so that the leap day is the last day of its year.
fn civil_date(days: u64) -> (u64, u64, u64) {
    /// Days from 0000-03-01 to 1970-01-01.
    const DAYS_TO_1970: u64 = 719_468;
    /// Days in 400 years.
    const DAYS_PER_ERA: u64 = 146_097;
    let days = days + DAYS_TO_1970;
    let (era, day_of_era) = (days / DAYS_PER_ERA, days % DAYS_PER_ERA);
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 {
        month_from_march + 3
    } else {
        month_from_march - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
