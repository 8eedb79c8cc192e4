//! Real processes of the system under test.

use std::{
    fs::File,
    os::unix::process::CommandExt as _,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use anyhow::Context as _;
use serde::Serialize;

/// Time between two checks of whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    /// The name of its VM.
    pub vm: String,
    child: Child,
}

/// A signal that is sent to a process.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// Kills the process (`SIGKILL`).
    Kill,
    /// Requests a graceful stop (`SIGTERM`).
    Terminate,
    /// Pauses the process (`SIGSTOP`).
    Stop,
    /// Says that the settings have changed (`SIGHUP`).
    Reload,
    /// Resumes a paused process (`SIGCONT`).
    Continue,
}

impl Process {
    /// Starts `program ROLE --config FILE`, with its settings and log files in `dir`.
    pub fn start(
        program: &Path,
        role: &str,
        vm: &str,
        dir: &Path,
        settings: &impl Serialize,
    ) -> anyhow::Result<Self> {
        let config = dir.join(format!("{vm}.json"));
        std::fs::write(&config, serde_json::to_vec_pretty(settings)?)?;
        let log = File::options().create(true).append(true).open(dir.join(format!("{vm}.log")))?;
        let mut command = Command::new(program);
        command.arg(role).arg("--config").arg(&config);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        kill_with_parent(&mut command);
        let child =
            command.spawn().with_context(|| format!("cannot start {}", program.display()))?;
        Ok(Self { vm: vm.to_owned(), child })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let number = match signal {
            Signal::Kill => libc::SIGKILL,
            Signal::Terminate => libc::SIGTERM,
            Signal::Stop => libc::SIGSTOP,
            Signal::Reload => libc::SIGHUP,
            Signal::Continue => libc::SIGCONT,
        };
        send_signal(self.child.id(), number);
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)) | Err(_))
    }

    /// Waits until the process has ended; returns whether it did within `timeout`.
    pub async fn wait(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if self.has_ended() {
                return true;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        false
    }
}

/// Returns the path of the `sequoiahold` program built beside the running tool or test.
pub fn program_path() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let mut paths = own.ancestors().skip(1).map(|dir| dir.join("sequoiahold"));
    paths.find(|path| path.is_file()).unwrap_or_else(|| "sequoiahold".into())
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sets the process to be killed when the thread that starts it ends, even by a signal.
#[expect(unsafe_code, reason = "the standard library cannot set a parent death signal")]
fn kill_with_parent(command: &mut Command) {
    // SAFETY: prctl takes integers and is safe to call between fork and exec.
    unsafe {
        command.pre_exec(|| {
            libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
            Ok(())
        });
    }
}

#[expect(unsafe_code, reason = "the standard library sends no signal other than SIGKILL")]
fn send_signal(id: u32, signal: libc::c_int) {
    // SAFETY: kill takes two integers and accesses no memory of this process.
    unsafe {
        libc::kill(id as libc::pid_t, signal);
    }
}
