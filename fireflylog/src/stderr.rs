//! Log appender to standard error.

use std::io::Write;

use logforth::record::Record;
use logforth::{Append, Diagnostic, Error, Layout};

use crate::LineLayout;

/// Appender that drops the lines it can't write, as on a full disk: no place is left to report the error.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StderrAppend;

impl Append for StderrAppend {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = LineLayout.format(record, diags)?;
        line.push(b'\n');
        let _ = std::io::stderr().write_all(&line);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}
