//! Output of a job: results on one stream, warnings and failures on the other.

use crate::failure::Result;
use serde::Serialize;
use std::fmt::Display;
use std::io::Write;

/// Output streams of a job.
pub struct Console<'a> {
    /// Results.
    pub out: &'a mut dyn Write,
    /// Warnings and failures.
    pub err: &'a mut dyn Write,
}

impl Console<'_> {
    /// Writes a line of the result.
    ///
    /// # Errors
    ///
    /// Fails when the stream is closed.
    pub fn print(&mut self, line: impl Display) -> Result<()> {
        writeln!(self.out, "{line}")?;
        Ok(())
    }

    /// Writes a warning or failure.
    ///
    /// # Errors
    ///
    /// Fails when the stream is closed.
    pub fn warn(&mut self, line: impl Display) -> Result<()> {
        writeln!(self.err, "{line}")?;
        Ok(())
    }

    /// Writes the result as JSON.
    ///
    /// # Errors
    ///
    /// Fails when the stream is closed.
    pub fn print_json(&mut self, value: &impl Serialize) -> Result<()> {
        let text = serde_json::to_string_pretty(value).map_err(anyhow::Error::from)?;
        self.print(text)
    }
}
