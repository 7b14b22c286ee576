//! Contents of the stand-ins' run logs.

use std::fs;
use std::io;
use std::path::Path;

use serde::Deserialize;

/// A generation that an engine accepted into its queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerationRun {
    /// Tag of the caller's request.
    pub mark: String,
    /// Random number of the generation, contained in its tokens.
    pub nonce: String,
    /// Index of its log among those read.
    pub log_index: usize,
}

/// A call that a plain service ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainRun {
    /// Tag of the caller's request.
    pub mark: String,
    /// Path of the call.
    pub path: String,
    /// Sequence number for this path.
    pub number: u64,
}

/// Runs read from the logs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Runs {
    /// Generations, log by log.
    pub generations: Vec<GenerationRun>,
    /// Calls of plain services, log by log.
    pub calls: Vec<PlainRun>,
    /// Tags of requests that crashed their engine or service, one for each crash.
    pub crashes: Vec<String>,
}

#[derive(Deserialize)]
struct LogLine {
    event: String,
    mark: Option<String>,
    nonce: Option<String>,
    path: Option<String>,
    number: Option<u64>,
}

impl Runs {
    /// Reads the run logs at `paths`.
    ///
    /// # Errors
    ///
    /// Returns an error when a log can't be read or a line can't be parsed. A last
    /// line without a line end is skipped.
    pub fn read(paths: impl IntoIterator<Item = impl AsRef<Path>>) -> io::Result<Self> {
        let mut runs = Self::default();
        for (log_index, path) in paths.into_iter().enumerate() {
            let text = fs::read_to_string(path)?;
            for line in text.split_inclusive('\n').filter(|l| l.ends_with('\n')) {
                runs.add(log_index, serde_json::from_str(line)?);
            }
        }
        Ok(runs)
    }

    /// Returns how often requests with this mark ran.
    #[must_use]
    pub fn count(&self, mark: &str) -> usize {
        let generations = self.generations.iter().filter(|r| r.mark == mark).count();
        let calls = self.calls.iter().filter(|r| r.mark == mark).count();
        generations + calls
    }

    /// Returns the indexes of the logs with generations with this mark.
    #[must_use]
    pub fn log_indexes(&self, mark: &str) -> Vec<usize> {
        let own = self.generations.iter().filter(|r| r.mark == mark);
        own.map(|r| r.log_index).collect()
    }

    /// Returns whether a generation with this mark and nonce ran.
    #[must_use]
    pub fn has_generation(&self, mark: &str, nonce: &str) -> bool {
        let own = |r: &&GenerationRun| r.mark == mark && r.nonce == nonce;
        self.generations.iter().any(|r| own(&r))
    }

    fn add(&mut self, log_index: usize, line: LogLine) {
        let mark = line.mark.unwrap_or_default();
        match line.event.as_str() {
            "started" => self.generations.push(GenerationRun {
                mark,
                nonce: line.nonce.unwrap_or_default(),
                log_index,
            }),
            "ran" => self.calls.push(PlainRun {
                mark,
                path: line.path.unwrap_or_default(),
                number: line.number.unwrap_or_default(),
            }),
            "crashed" => self.crashes.push(mark),
            _ => {}
        }
    }
}
