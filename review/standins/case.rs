//! A run of a case: its record, its temporary folder and its processes.

use std::{
    fs::{self, File},
    io::Write as _,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU16, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::process::Process;

/// Time after which a run is ended.
const TIME_LIMIT: Duration = Duration::from_secs(112);

/// A run of a case.
#[derive(Clone)]
pub struct Case {
    inner: Arc<Inner>,
}

struct Inner {
    started: Instant,
    /// Whether the disruption is left out.
    calm: bool,
    temp: PathBuf,
    record: Mutex<File>,
    processes: Mutex<Vec<Arc<Process>>>,
    next_host: AtomicU16,
    next_id: AtomicU64,
}

impl Case {
    /// Opens the record in `dir`, and ends the run after [`TIME_LIMIT`].
    pub fn start(name: &str, dir: PathBuf) -> std::io::Result<Self> {
        let temp = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        fs::create_dir_all(&temp)?;
        let inner = Inner {
            started: Instant::now(),
            calm: std::env::var("TROUBLE").is_ok_and(|value| value == "0"),
            temp,
            record: Mutex::new(File::create(dir.join("record.txt"))?),
            processes: Mutex::default(),
            next_host: AtomicU16::new(2),
            next_id: AtomicU64::new(1),
        };
        let case = Self { inner: Arc::new(inner) };
        case.note(&format!(
            "case {name}, disruption: {}",
            if case.is_calm() { "no" } else { "yes" }
        ));
        let watched = case.clone();
        thread::spawn(move || {
            thread::sleep(TIME_LIMIT);
            watched.note("the time limit is reached; exit code 2");
            watched.finish();
            std::process::exit(2);
        });
        Ok(case)
    }

    /// Returns whether the disruption is left out.
    pub fn is_calm(&self) -> bool {
        self.inner.calm
    }

    /// Returns the temporary folder of this run.
    pub fn temp(&self) -> &Path {
        &self.inner.temp
    }

    /// Writes a line with the time since the start of the run to the record.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.inner.started.elapsed().as_secs_f64());
        let mut record = self.inner.record.lock().unwrap();
        record.write_all(line.as_bytes()).expect("the record can be written");
    }

    /// Keeps a process, so that it is ended with the run.
    pub fn keep(&self, process: Arc<Process>) {
        self.inner.processes.lock().unwrap().push(process);
    }

    /// Ends all processes and removes the temporary folder.
    pub fn finish(&self) {
        for process in self.inner.processes.lock().unwrap().drain(..) {
            process.kill();
        }
        if let Err(error) = fs::remove_dir_all(&self.inner.temp) {
            eprintln!("cannot remove {}: {error}", self.inner.temp.display());
        }
    }

    /// Returns a loopback address for one machine, at which the port is free.
    pub fn machine(&self) -> String {
        let [high, low] = std::process::id().to_be_bytes()[2..] else { unreachable!() };
        let host = self.inner.next_host.fetch_add(1, Ordering::Relaxed);
        format!("127.{}.{}.{host}", 64 + high % 64, low)
    }

    /// Returns a free port of a machine.
    pub fn free_addr(&self, machine: &str) -> SocketAddr {
        let listener = TcpListener::bind((machine, 0)).expect("a loopback address can be bound");
        listener.local_addr().expect("a bound listener has an address")
    }

    /// Returns a new attempt id.
    pub fn attempt_id(&self) -> String {
        format!("{:016x}", self.inner.next_id.fetch_add(1, Ordering::Relaxed))
    }
}
