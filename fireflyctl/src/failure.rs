//! Failures of jobs, with their result codes and exit statuses.
//!
//! | status | meaning |
//! |---|---|
//! | 0 | done |
//! | 1 | failed for another reason, which is printed |
//! | 64 | the command line is wrong |
//! | 65 | the file has faults, all of which are printed (1002) |
//! | 69 | the platform or a node did not answer; nothing was changed (1004) |
//! | 74 | the platform did not answer; it is unknown whether the change took effect (1004) |
//! | 75 | another operator's change came first; nothing was changed (1003) |
//! | 76 | accepted, but replaced since or not seen active on every node within the wait; or a node still has work |

use fireflycroft::{Code, Diff};
use std::fmt;
use std::path::PathBuf;

/// Result of a job.
pub type Result<T> = std::result::Result<T, Failure>;

/// Failure of a job.
#[derive(Debug)]
pub enum Failure {
    /// Wrong command line, with the text to print.
    Usage(String),
    /// Faults of a file.
    Faults(PathBuf, Vec<FileFault>),
    /// The platform or a node did not answer; nothing was changed.
    Unavailable(String),
    /// It is unknown whether the change took effect.
    OutcomeUnknown(String),
    /// Another operator's change came first.
    Conflict(Box<Conflict>),
    /// Accepted, and replaced by another operator since.
    Replaced {
        /// Version that was accepted.
        version: u64,
        /// Author of the replacement.
        author: String,
        /// Current version.
        now: u64,
    },
    /// Accepted, but not active on all nodes.
    NotActive {
        /// Version that was accepted.
        version: u64,
        /// Nodes that didn't report it as active.
        nodes: Vec<String>,
    },
    /// These nodes didn't answer.
    NoAnswer(Vec<String>),
    /// This node still has work at the end of the wait.
    StillDraining(String),
    /// Any other failure.
    Other(anyhow::Error),
}

/// Fault of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileFault {
    /// Line and column, both from 1; `None` for a fault outside the file.
    pub position: Option<(usize, usize)>,
    /// Field, such as `workspaces[3].brand`.
    pub field: String,
    /// What is wrong.
    pub text: String,
}

/// Conflicting changes of a configuration by two operators.
#[derive(Debug)]
pub struct Conflict {
    /// Version that both changes are based on.
    pub base_version: u64,
    /// Current version.
    pub version: u64,
    /// Author of the current version.
    pub author: String,
    /// Change that this operator requested.
    pub mine: Diff,
    /// Changes by others since; `None` when they are no longer known.
    pub theirs: Option<Diff>,
}

impl Failure {
    /// Returns the exit status.
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

    /// Returns the result code, if the failure has one.
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
            Self::OutcomeUnknown(why) => write!(f, "it is unknown whether it took effect: {why}"),
            Self::Conflict(conflict) => conflict.fmt(f),
            Self::Replaced {
                version,
                author,
                now,
            } => {
                write!(
                    f,
                    "version {version} was accepted, but {author} has replaced it by version {now}"
                )
            }
            Self::NotActive { version, nodes } => {
                let nodes = nodes.join(", ");
                write!(
                    f,
                    "version {version} is accepted, but not seen active on {nodes}"
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
            None => write!(f, "\nactive configuration: ")?,
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
            "{author} published version {version}, you built on version {base_version}; nothing was changed"
        )?;
        writeln!(f, "yours:\n{mine}")?;
        match theirs {
            Some(theirs) => write!(f, "others', since version {base_version}:\n{theirs}"),
            None => write!(f, "others', since version {base_version}: no longer known"),
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
