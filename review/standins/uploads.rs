//! All callers upload at the same time, each within the limits of the configuration.

use std::{
    collections::BTreeSet,
    fs,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    case::Case,
    http::{Connection, Message, Reply, serve},
    platform::{Machine, Store, config, request, route, service, worker_entry},
    process::Process,
};

/// The gateway's limit of memory (`memory_mb`), in kilobytes.
const MEMORY_KB: u64 = 260 * 1_024;
/// Number of callers that upload.
const UPLOADERS: usize = 90;
/// Number of callers that book returns on connections that they keep.
const BOOKERS: usize = 6;
/// Length of an upload, below `max_body_bytes` of 4,194,304.
const UPLOAD_BYTES: usize = 4_000_000;
/// Rate of an uploader; all together stay below the 1,000 Mbit/s of the gateway's link.
const UPLOAD_BYTES_PER_S: f64 = 1.3e6;
/// Time that a worker takes.
const WORK_TIME: Duration = Duration::from_millis(200);
/// Time for which callers book returns.
const BOOK_TIME: Duration = Duration::from_secs(8);
/// The largest number of passed on requests without an answer that the rule allows.
const MAX_UNANSWERED: usize = 3;

/// The attempt ids of the requests that workers ran.
type Runs = Arc<Mutex<BTreeSet<String>>>;

/// Returns whether more than three requests from kept connections ran and were never answered.
pub fn run(case: &Case) -> Result<bool, String> {
    let platform = case.free_addr(&case.machine());
    let store = Store::start(platform)?;
    let runs = Runs::default();
    for number in 0..3 {
        let (id, addr) = (format!("i-{number}"), case.free_addr(&case.machine()));
        let (name, runs) = (id.clone(), runs.clone());
        serve(addr, move |request| answer(&name, &runs, request))?;
        store.put(&format!("servers/{id}"), &worker_entry("postgang", addr));
    }
    let routes = [route("book-return", "/book/", "non_idempotent", "postgang", 6_000)];
    let tenants: [(&str, &[&str]); 1] = [("oslo-home", &["key-oslo"])];
    store.put("op/config", &config(3, &routes, &[service("postgang")], &tenants));
    let machine = Machine::new(case, "front-1");
    let peer_port = case.free_addr(&machine.ip).port();
    let seeds = [machine.clone()];
    let settings = machine.gateway_settings(peer_port, &seeds, platform);
    let gateway = Process::start(case, "gateway", &machine.vm, &settings)?;
    machine.wait_ready()?;
    // Machines are in touch `contact_ms` after their start.
    thread::sleep(Duration::from_millis(3_500));

    let limit = watch_memory(case, gateway);
    let bookers: Vec<_> = (0..BOOKERS)
        .map(|_| {
            let (case, runs, addr) = (case.clone(), runs.clone(), machine.callers);
            thread::spawn(move || book(&case, &runs, addr))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let uploaders = if case.is_calm() { 0 } else { UPLOADERS };
    case.note(&format!("{uploaders} callers upload {UPLOAD_BYTES} bytes each"));
    let uploads: Vec<_> = (0..uploaders)
        .map(|_| {
            let (case, addr) = (case.clone(), machine.callers);
            thread::spawn(move || upload(&case, addr))
        })
        .collect();
    let (mut answered, mut unanswered) = (0, 0);
    for booker in bookers {
        let (more_answered, more_unanswered) = booker.join().map_err(|_| "a caller failed")?;
        answered += more_answered;
        unanswered += more_unanswered;
    }
    let uploaded: usize =
        uploads.into_iter().map(|upload| usize::from(upload.join().unwrap_or(false))).sum();
    let most = limit.stop();
    case.note(&format!(
        "largest memory of the gateway: {most} KB of {MEMORY_KB} KB; uploads answered: {uploaded}; \
         bookings answered: {answered}, run and never answered: {unanswered}"
    ));
    Ok(unanswered > MAX_UNANSWERED)
}

fn answer(id: &str, runs: &Runs, request: &Message) -> Reply {
    if request.target() == "/health" {
        return Reply::status(200).with("Instance-Id", id);
    }
    if request.header("expect-instance").is_some_and(|expected| expected != id) {
        return Reply::status(421).with("Instance-Id", id);
    }
    let attempt = request.header("attempt-id").unwrap_or("");
    runs.lock().unwrap().insert(attempt.to_owned());
    thread::sleep(WORK_TIME);
    let body = format!("booked {attempt}").into_bytes();
    Reply::status(200).with("Attempt-Id", attempt).with("Server-Stamp", id).body(body)
}

/// Books returns one after the other on one connection until it ends; returns the numbers of
/// bookings that were answered, and that ran without an answer.
fn book(case: &Case, runs: &Runs, addr: SocketAddr) -> (usize, usize) {
    let Ok(mut connection) = Connection::open(addr) else { return (0, 0) };
    let (until, mut answered) = (Instant::now() + BOOK_TIME, 0);
    while Instant::now() < until {
        let attempt = case.attempt_id();
        let text = request("POST", "/book/1", &attempt, Some("key-oslo"), "Deadline-Ms: 6000\r\n");
        match connection.exchange(&text) {
            Ok(_) => answered += 1,
            Err(error) => {
                let ran = runs.lock().unwrap().contains(&attempt);
                case.note(&format!("booking {attempt}: no answer ({error}), ran: {ran}"));
                return (answered, usize::from(ran && answered > 0));
            }
        }
    }
    (answered, 0)
}

/// Uploads a body; returns whether it was answered.
fn upload(case: &Case, addr: SocketAddr) -> bool {
    let attempt = case.attempt_id();
    let head = format!(
        "POST /book/upload HTTP/1.1\r\nHost: tann.example\r\nAttempt-Id: {attempt}\r\n\
         Authorization: Bearer key-oslo\r\nDeadline-Ms: 6000\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
    );
    let sent = Connection::open(addr).and_then(|mut connection| {
        connection.send(head.as_bytes())?;
        let (started, piece, mut sent) = (Instant::now(), [b'x'; 20_000], 0);
        while sent < UPLOAD_BYTES {
            connection.send(&piece)?;
            sent += piece.len();
            let due = started + Duration::from_secs_f64(sent as f64 / UPLOAD_BYTES_PER_S);
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        connection.receive()
    });
    sent.is_ok()
}

/// The platform's watch over the memory of a process.
struct MemoryLimit {
    ended: Arc<AtomicBool>,
    watch: thread::JoinHandle<u64>,
}

impl MemoryLimit {
    /// Ends the watch and returns the largest memory seen, in kilobytes.
    fn stop(self) -> u64 {
        self.ended.store(true, Ordering::SeqCst);
        self.watch.join().unwrap_or(0)
    }
}

/// Kills a process that exceeds its memory, as the platform does.
fn watch_memory(case: &Case, process: Arc<Process>) -> MemoryLimit {
    let ended = Arc::new(AtomicBool::new(false));
    let (case, stop) = (case.clone(), ended.clone());
    let watch = thread::spawn(move || {
        let mut most = 0;
        while !stop.load(Ordering::SeqCst) {
            most = resident_kb(process.id()).max(most);
            if most > MEMORY_KB {
                case.note(&format!("the gateway holds {most} KB and is killed"));
                process.kill();
                break;
            }
            thread::sleep(Duration::from_millis(10));
        }
        most
    });
    MemoryLimit { ended, watch }
}

/// Returns the resident memory of a process, 0 if it has ended.
fn resident_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().split(' ').next()?.parse().ok()).unwrap_or(0)
}
