use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::timeout;

use crate::Result;

/// A child process, which is killed on drop.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    ready: String,
}

/// Timeout for a process to print its ready line.
const START_TIMEOUT: Duration = Duration::from_secs(20);

impl Process {
    /// Starts a binary of this workspace and waits for its ready line; standard error is appended
    /// to `log`.
    pub(crate) async fn spawn(program: &str, arguments: &[String], log: &Path) -> Result<Self> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)?;
        let mut child = Command::new(binary(program)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        let stdout = child.stdout.take().ok_or("the process has no output")?;
        let mut lines = BufReader::new(stdout).lines();
        let line = timeout(START_TIMEOUT, lines.next_line()).await;
        let ready = match line {
            Ok(Ok(Some(line))) if line.starts_with("ready ") => line,
            _ => return Err(format!("{program} {arguments:?} did not print a ready line").into()),
        };
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok(Self { child, ready })
    }

    /// Returns the address `name=ADDRESS` of the ready line, or the line's last word without it.
    pub(crate) fn address(&self, name: &str) -> Result<SocketAddr> {
        let prefix = format!("{name}=");
        let words = || self.ready.split_whitespace();
        let word = words()
            .find_map(|word| word.strip_prefix(&prefix))
            .or(words().last());
        Ok(word.ok_or("the ready line is empty")?.parse()?)
    }

    /// Returns the process id, or `None` after the process has ended.
    pub(crate) fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal; fails if the process has ended.
    pub(crate) fn signal(&self, signal: Signal) -> Result<()> {
        let id = self.id().ok_or("the process has ended")?;
        let pid = Pid::from_raw(i32::try_from(id)?).ok_or("the process id is 0")?;
        Ok(kill_process(pid, signal)?)
    }

    /// Waits until the process has ended, for at most `limit`.
    pub(crate) async fn wait(&mut self, limit: Duration) -> Result<ExitStatus> {
        let status = timeout(limit, self.child.wait()).await;
        Ok(status.map_err(|_elapsed| format!("the process did not end within {limit:?}"))??)
    }

    /// Sends SIGKILL and waits for the process to end.
    pub(crate) async fn kill(&mut self) -> Result<()> {
        Ok(self.child.kill().await?)
    }
}

/// Returns the path of a binary that was built together with this one.
pub(crate) fn binary(name: &str) -> Result<PathBuf> {
    let mut folder = std::env::current_exe()?
        .parent()
        .ok_or("no folder")?
        .to_owned();
    // Test binaries are in the subfolder `deps`.
    if folder.ends_with("deps") {
        folder.pop();
    }
    let path = folder.join(name);
    if !path.exists() {
        return Err(format!(
            "{} is missing; run `cargo build --workspace`",
            path.display()
        )
        .into());
    }
    Ok(path)
}

/// Builds all binaries in the build profile of this one.
pub(crate) fn build() -> Result<()> {
    let mut command = std::process::Command::new(env!("CARGO"));
    command.args(["build", "--workspace", "--bins", "--quiet"]);
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    if command
        .current_dir(crate::deployment::root())
        .status()?
        .success()
    {
        return Ok(());
    }
    Err("the build failed".into())
}
