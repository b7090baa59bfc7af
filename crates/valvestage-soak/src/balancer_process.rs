//! Balancer as a process of the real executable, signalled by its process id.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Instant;

use nix::errno::Errno;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Balancer process with its settings file and its log file. Dropping it kills the process.
pub struct BalancerProcess {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    starts: u32,
    last_start: Instant,
    child: Option<Child>,
}

impl BalancerProcess {
    /// Writes the settings file into `folder`, without starting the process.
    pub fn new(program: &Path, folder: &Path, number: usize, settings: &str) -> io::Result<Self> {
        let file = folder.join(format!("balancer-{number}.toml"));
        fs::write(&file, settings)?;

        Ok(Self {
            program: program.to_owned(),
            settings: file,
            log: folder.join(format!("balancer-{number}.log")),
            starts: 0,
            last_start: Instant::now(),
            child: None,
        })
    }

    /// Starts the process. The output of all its starts is appended to one log file.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let errors = log.try_clone()?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;

        self.starts += 1;
        self.last_start = Instant::now();
        self.child = Some(child);
        Ok(())
    }

    /// Overwrites the settings file. A running process reads it only after SIGHUP.
    pub fn replace_settings(&self, settings: &str) -> io::Result<()> {
        fs::write(&self.settings, settings)
    }

    /// Reports whether the process was started and its exit has not been collected yet.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Returns a text with the process state, the number of starts and the last `count` lines of
    /// the log.
    #[must_use]
    pub fn last_lines(&self, count: usize) -> String {
        let state = if self.is_running() { "runs" } else { "does not run" };
        let log = fs::read(&self.log)
            .map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
            .unwrap_or_else(|error| error.to_string());

        let lines: Vec<_> = log.lines().collect();
        let last = &lines[lines.len().saturating_sub(count)..];
        format!("{} {state}, {} starts:\n{}", self.log.display(), self.starts, last.join("\n"))
    }

    /// Returns the process id, or `None` if the process does not run.
    #[must_use]
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the time of the last start, or that of the creation if there was none.
    #[must_use]
    pub fn last_start(&self) -> Instant {
        self.last_start
    }

    /// Returns the number of starts.
    #[must_use]
    pub fn starts(&self) -> u32 {
        self.starts
    }

    /// Sends a signal to the process. Does nothing if the process does not run.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        let id = i32::try_from(child.id()).map_err(io::Error::other)?;

        // An exited child keeps its process id until it is waited for, so the id cannot have been
        // reused.
        match kill(Pid::from_raw(id), signal) {
            Ok(()) | Err(Errno::ESRCH) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }

    /// Collects the exit status of the process without blocking. Returns `None` while it runs, and
    /// after its status has been returned once.
    pub fn poll_exit(&mut self) -> io::Result<Option<ExitStatus>> {
        let Some(child) = &mut self.child else { return Ok(None) };
        let status = child.try_wait()?;

        if status.is_some() {
            self.child = None;
        }
        Ok(status)
    }

    /// Kills the process and waits for its exit. Does nothing if it does not run.
    pub fn kill_and_wait(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }
}

impl Drop for BalancerProcess {
    fn drop(&mut self) {
        if let Err(error) = self.kill_and_wait() {
            log::error!("failed to kill a balancer: {error}");
        }
    }
}
