//! Process started by a test, with signals sent to it by its id.

use std::ffi::OsStr;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use super::wait::until;

/// Child process; killed on drop.
pub struct Process {
    child: Child,
    frozen: bool,
}

impl Process {
    /// Starts `program` of this build and appends its output to the file `log`.
    pub fn start(
        program: &str,
        args: impl IntoIterator<Item = impl AsRef<OsStr>>,
        env: &[(&str, &str)],
        log: &Path,
    ) -> Self {
        let out = File::options().create(true).append(true).open(log).unwrap();
        let child = Command::new(program_path(program))
            .args(args)
            .envs(env.iter().copied())
            .stdin(Stdio::null())
            .stdout(out.try_clone().unwrap())
            .stderr(out)
            .spawn()
            .unwrap_or_else(|e| panic!("{program}: {e}; scripts/test builds it"));
        Self {
            child,
            frozen: false,
        }
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process until [`Process::resume`].
    pub fn freeze(&mut self) {
        self.signal("STOP");
        self.frozen = true;
    }

    /// Resumes the suspended process.
    pub fn resume(&mut self) {
        self.signal("CONT");
        self.frozen = false;
    }

    /// Sends SIGTERM, as an operator or the VM's owner does.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Returns whether the process is running.
    pub fn is_alive(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits until the process exits by itself.
    pub async fn ended(&mut self) -> ExitStatus {
        let mut status = None;
        until("the process's own end", || {
            status = self.child.try_wait().unwrap();
            std::future::ready(status.is_some())
        })
        .await;
        status.unwrap()
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(sent.unwrap().success(), "kill -{name} {id}");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.is_alive() {
            self.kill();
        }
    }
}

/// Returns the path of a program of this build, next to the daemon.
fn program_path(program: &str) -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_fireflyd")).with_file_name(program)
}

/// Runs a program of this build; returns its exit status and output.
pub fn run(program: &str, args: &[String]) -> (i32, String) {
    let output = Command::new(program_path(program))
        .args(args)
        .stdin(Stdio::null())
        .output()
        .unwrap_or_else(|e| panic!("{program}: {e}; scripts/test builds it"));
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    (output.status.code().unwrap_or(-1), text)
}
