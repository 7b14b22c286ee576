//! Why a job failed, with the result code and the exit status.
//!
//! | status | meaning |
//! |---|---|
//! | 0 | done |
//! | 1 | failed for another reason, which is printed |
//! | 64 | the command line is wrong |
//! | 65 | the file holds faults, all of which are printed (1002) |
//! | 69 | the platform or a node did not answer; nothing was changed (1004) |
//! | 74 | the platform did not answer; whether the change took effect is not known (1004) |
//! | 75 | another operator was first; nothing was changed (1003) |
//! | 76 | accepted, but replaced since or not seen in force on every node within the wait; a node that still drains |

use fireflycroft::{Code, Diff};
use std::fmt;
use std::path::PathBuf;

/// Result of a job.
pub type Result<T> = std::result::Result<T, Failure>;

/// Why a job failed.
#[derive(Debug)]
pub enum Failure {
    /// The command line is wrong; the text to print.
    Usage(String),
    /// A file holds faults.
    Faults(PathBuf, Vec<FileFault>),
    /// The platform or a node did not answer; nothing was changed.
    Unavailable(String),
    /// Whether the change took effect is not known.
    OutcomeUnknown(String),
    /// Another operator was first.
    Conflict(Box<Conflict>),
    /// Accepted, and replaced by another operator since.
    Replaced {
        /// Version that was accepted.
        version: u64,
        /// Who replaced it.
        author: String,
        /// Version in force now.
        now: u64,
    },
    /// Accepted, but not in force on so many nodes.
    NotActive {
        /// Version that was accepted.
        version: u64,
        /// Nodes that didn't report it.
        nodes: Vec<String>,
    },
    /// These nodes didn't answer.
    NoAnswer(Vec<String>),
    /// A node still has work at the end of the wait.
    StillDraining(String),
    /// Anything else.
    Other(anyhow::Error),
}

/// One fault of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileFault {
    /// Line and column, from 1; `None` for a fault outside the file.
    pub position: Option<(usize, usize)>,
    /// Field, such as `workspaces[3].brand`.
    pub field: String,
    /// What is wrong.
    pub text: String,
}

/// Two operators' changes of one configuration.
#[derive(Debug)]
pub struct Conflict {
    /// Version that both changed.
    pub base_version: u64,
    /// Version in force now.
    pub version: u64,
    /// Who wrote it.
    pub author: String,
    /// What this operator wanted to change.
    pub mine: Diff,
    /// What others changed since; `None` when that isn't known any more.
    pub theirs: Option<Diff>,
}

impl Failure {
    /// Exit status.
    #[must_use]
    pub const fn exit(&self) -> u8 {
        match self {
            Self::Usage(_) => 64,
            Self::Faults(..) => 65,
            Self::Unavailable(_) | Self::NoAnswer(_) => 69,
            Self::OutcomeUnknown(_) => 74,
            Self::Conflict(_) => 75,
            Self::NotActive { .. } | Self::Replaced { .. } | Self::StillDraining(_) => 76,
            Self::Other(_) => 1,
        }
    }

    /// Result code, where there is one.
    #[must_use]
    pub const fn code(&self) -> Option<Code> {
        match self {
            Self::Usage(_) => Some(Code::BadSettings),
            Self::Faults(..) => Some(Code::BadConfig),
            Self::Unavailable(_) | Self::OutcomeUnknown(_) => Some(Code::PlatformUnavailable),
            Self::Conflict(_) => Some(Code::ConfigConflict),
            Self::NotActive { .. }
            | Self::Replaced { .. }
            | Self::NoAnswer(_)
            | Self::StillDraining(_)
            | Self::Other(_) => None,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(code) = self.code() {
            write!(f, "{} ", code.number())?;
        }
        match self {
            Self::Usage(text) => f.write_str(text.trim_end()),
            Self::Faults(path, faults) => {
                let path = path.display();
                write!(f, "{path}: {} faults", faults.len())?;
                faults.iter().try_for_each(|fault| fault.write(f, &path))
            }
            Self::Unavailable(why) => write!(f, "nothing was changed: {why}"),
            Self::OutcomeUnknown(why) => write!(f, "whether it took effect is not known: {why}"),
            Self::Conflict(conflict) => conflict.fmt(f),
            Self::Replaced {
                version,
                author,
                now,
            } => {
                write!(
                    f,
                    "version {version} was accepted, and {author} put version {now} in its place"
                )
            }
            Self::NotActive { version, nodes } => {
                let nodes = nodes.join(", ");
                write!(
                    f,
                    "version {version} is accepted, but not seen in force on {nodes}"
                )
            }
            Self::NoAnswer(nodes) => write!(f, "no answer from {}", nodes.join(", ")),
            Self::StillDraining(node) => write!(f, "{node} still has work"),
            Self::Other(e) => write!(f, "{e:#}"),
        }
    }
}

impl FileFault {
    fn write(&self, f: &mut fmt::Formatter<'_>, path: &impl fmt::Display) -> fmt::Result {
        match self.position {
            Some((line, column)) => write!(f, "\n{path}:{line}:{column}: ")?,
            None => write!(f, "\nin force: ")?,
        }
        write!(f, "{}: {}", self.field, self.text)
    }
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            base_version,
            version,
            author,
            mine,
            theirs,
        } = self;
        writeln!(
            f,
            "{author} put version {version} in force, you built on version {base_version}; nothing was changed"
        )?;
        writeln!(f, "yours:\n{mine}")?;
        match theirs {
            Some(theirs) => write!(f, "others', since version {base_version}:\n{theirs}"),
            None => write!(
                f,
                "others', since version {base_version}: not known any more"
            ),
        }
    }
}

impl From<anyhow::Error> for Failure {
    fn from(e: anyhow::Error) -> Self {
        Self::Other(e)
    }
}

impl From<std::io::Error> for Failure {
    fn from(e: std::io::Error) -> Self {
        Self::Other(e.into())
    }
}
