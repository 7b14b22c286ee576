//! Log lines on a standard stream: one line of key=value pairs for each event.
//!
//! A line begins with `time` (UTC, with milliseconds), `level` and `event`; the pairs of the event
//! follow. Within [`in_request`] each line carries `req`, whichever module writes it:
//!
//! ```text
//! time=2026-01-31T08:15:00.250Z level=warn event=offer_refused req=7f3a code=2003
//! ```
//!
//! The lines of libraries, which name no event, have `event=log` with `target` and `message`.

mod bounded;

pub use bounded::{BoundedAppend, QUEUE_BYTES};

use std::fmt::Write;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use logforth::kv::{KeyView, ValueView, Visitor};
use logforth::record::{Level, LevelFilter, Record};
use logforth::{Diagnostic, Error, Layout, starter_log};

/// Key of the event's name.
const EVENT_KEY: &str = "event";
/// Key of the request's id.
const REQUEST_ID_KEY: &str = "req";
/// Event of a line that names none.
const DEFAULT_EVENT: &str = "log";
/// Seconds of a day.
const SECONDS_PER_DAY: u64 = 86_400;

tokio::task_local! {
    static REQUEST_ID: Arc<str>;
}

/// Where the lines go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard output, by a thread of its own, so that a reader that stalls holds nothing up.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Sends the log of the process to `output`, from `level` up.
///
/// # Errors
///
/// An error when the process has a log already.
pub fn init(level: log::LevelFilter, output: Output) -> anyhow::Result<()> {
    // The level is checked by the macros, before a line is put together.
    let all = LevelFilter::All;
    let applied = match output {
        Output::Stdout => {
            let append = BoundedAppend::start(std::io::stdout())?;
            starter_log::builder()
                .dispatch(|d| d.filter(all).append(append))
                .try_apply()
        }
        Output::Stderr => starter_log::stderr()
            .layout(LineLayout)
            .filter(all)
            .try_apply(),
    };
    applied.map_err(|e| anyhow::anyhow!("log: {e}"))?;
    log::set_max_level(level);
    Ok(())
}

/// Runs `task` with `req=id` on each of its log lines.
///
/// Tasks that it spawns don't take the id over.
pub async fn in_request<T>(id: impl Into<Arc<str>>, task: impl Future<Output = T>) -> T {
    REQUEST_ID.scope(id.into(), task).await
}

/// Runs `f` with `req=id` on each of its log lines.
pub fn in_request_sync<T>(id: impl Into<Arc<str>>, f: impl FnOnce() -> T) -> T {
    REQUEST_ID.sync_scope(id.into(), f)
}

/// The layout of a line.
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

/// A line in the making.
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

    /// Writes a value, in quotes when it is empty or holds more than plain characters.
    fn value(&mut self, value: &str) {
        if !value.is_empty() && value.chars().all(is_plain) {
            self.text.push_str(value);
            return;
        }
        self.text.push('"');
        for c in value.chars() {
            match c {
                '"' | '\\' => self.text.extend(['\\', c]),
                // What could end the line or move the cursor is written as an escape.
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
        // Outside a request there is no id.
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

/// Whether a character needs no quotes.
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

/// A time as `YYYY-MM-DDThh:mm:ss.mmmZ`; times before 1970 are taken for its first moment.
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

/// Year, month and day of a count of days since 1970-01-01.
///
/// Counts in years that begin in March, so that the leap day is the last of its year.
fn civil_date(days: u64) -> (u64, u64, u64) {
    /// Days from 0000-03-01 to 1970-01-01.
    const DAYS_TO_1970: u64 = 719_468;
    /// Days of 400 years.
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
