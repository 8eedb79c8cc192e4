//! The project's own programs, started with the commands of the deploy file.

use std::{
    fs::{self, File},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
};

use crate::case::Case;

/// A signal, with its number on Linux for both arm64 and x86-64.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    Continue = 18,
    Stop = 19,
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// A process of the system under test.
pub struct Process {
    child: Mutex<Child>,
}

impl Process {
    /// Starts a role of the deploy file with a settings file; its log goes to the temporary folder.
    pub fn start(case: &Case, role: &str, vm: &str, settings: &str) -> Result<Arc<Self>, String> {
        let run = run_words(role)?;
        let file = case.temp().join(format!("{vm}.json"));
        fs::write(&file, settings).map_err(|error| error.to_string())?;
        let log = case.temp().join(format!("{vm}.log"));
        let options = &mut File::options();
        let output = options.create(true).append(true).open(&log).map_err(|e| e.to_string())?;
        let mut command = Command::new(&run[0]);
        command.args(&run[1..]).env_clear().env("SEQUOIAHOLD_CONFIG", &file);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        let errors = output.try_clone().map_err(|error| error.to_string())?;
        let command = command.stdin(Stdio::null()).stdout(output).stderr(errors);
        let child = command.spawn().map_err(|error| format!("{}: {error}", run[0]))?;
        case.note(&format!("{vm}: process {} of role {role} started", child.id()));
        let process = Arc::new(Self { child: Mutex::new(child) });
        case.keep(process.clone());
        Ok(process)
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.lock().unwrap().id()
    }

    /// Sends a signal; direct, as a shell would take as long as the windows that are tested.
    pub fn signal(&self, signal: Signal) {
        // SAFETY: the call has no memory to share; the child has not been waited for.
        let sent = unsafe { kill(self.id() as i32, signal as i32) };
        assert_eq!(sent, 0, "{signal:?} cannot be sent");
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        let mut child = self.child.lock().unwrap();
        // It may have ended by itself, as its log then tells.
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Returns the words of a role's command in the deploy file.
fn run_words(role: &str) -> Result<Vec<String>, String> {
    let text = fs::read_to_string("deploy/system.toml").map_err(|error| error.to_string())?;
    let section = text.split(&format!("[roles.{role}]")).nth(1).ok_or("no such role")?;
    let line =
        section.lines().find_map(|line| line.strip_prefix("run = \"")).ok_or("no command")?;
    let command = line.strip_suffix('"').ok_or("unreadable command")?;
    Ok(command.split(' ').map(str::to_owned).collect())
}
