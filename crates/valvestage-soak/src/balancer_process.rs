//! One balancer: the real program, started and signalled by its process id.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Instant;

use nix::errno::Errno;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// `BalancerProcess` is a balancer with its settings file and its log.
pub struct BalancerProcess {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    starts: u32,
    started: Instant,
    child: Option<Child>,
}

impl BalancerProcess {
    /// `new` writes the settings; nothing is started yet.
    pub fn new(program: &Path, folder: &Path, number: usize, settings: &str) -> io::Result<Self> {
        let file = folder.join(format!("balancer-{number}.toml"));
        fs::write(&file, settings)?;

        Ok(Self {
            program: program.to_owned(),
            settings: file,
            log: folder.join(format!("balancer-{number}.log")),
            starts: 0,
            started: Instant::now(),
            child: None,
        })
    }

    /// `start` starts it. Logs of all its lives go to one file.
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
        self.started = Instant::now();
        self.child = Some(child);
        Ok(())
    }

    /// `replace_settings` writes other settings.
    pub fn replace_settings(&self, settings: &str) -> io::Result<()> {
        fs::write(&self.settings, settings)
    }

    /// `is_running` tells whether it was started and has not been seen to end.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Returns whether it runs, and the last lines that it wrote in all its lives.
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

    /// `id` gives its process id, while it runs.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// `started` gives when it was started last.
    #[must_use]
    pub fn started(&self) -> Instant {
        self.started
    }

    /// `starts` gives how often it was started.
    #[must_use]
    pub fn starts(&self) -> u32 {
        self.starts
    }

    /// `signal` sends a signal, if it runs.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        let id = i32::try_from(child.id()).map_err(io::Error::other)?;

        // A child that has ended keeps its id until it is waited for, so that it is no other's.
        match kill(Pid::from_raw(id), signal) {
            Ok(()) | Err(Errno::ESRCH) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }

    /// `take_end` gives how it ended, once.
    pub fn take_end(&mut self) -> io::Result<Option<ExitStatus>> {
        let Some(child) = &mut self.child else { return Ok(None) };
        let status = child.try_wait()?;

        if status.is_some() {
            self.child = None;
        }
        Ok(status)
    }

    /// `end` kills it and waits for its end.
    pub fn end(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }
}

impl Drop for BalancerProcess {
    fn drop(&mut self) {
        if let Err(error) = self.end() {
            log::error!("end a balancer: {error}");
        }
    }
}
