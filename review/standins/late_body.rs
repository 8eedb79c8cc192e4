//! Answers that reach their callers over a narrow link after the timeout of their route.

use std::{
    io::{self, Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    case::Case,
    http::{Connection, Message, Reply, serve},
    platform::{Machine, Store, config, request, route, service, worker_entry},
    process::Process,
    segments::connect_with_segments,
};

/// Rate of a squeezed link of a gateway's machine.
const LINK_BYTES_PER_S: f64 = 9.1e6 / 8.0;
/// Time for which the link is squeezed.
const SQUEEZE_TIME: Duration = Duration::from_millis(5_500);
/// Bytes that the link takes at once.
const PIECE_BYTES: usize = 4_096;
/// Length of a document.
const DOCUMENT_BYTES: usize = 1_600_000;
/// Number of callers that fetch a document at the same time.
const CALLERS: usize = 3;
/// Time for which a caller waits (`Deadline-Ms`).
const DEADLINE: Duration = Duration::from_millis(6_000);
/// The route's `timeout_ms`.
const TIMEOUT_MS: u64 = 1_000;

/// Returns whether a caller got an answer that belongs to another request.
pub fn run(case: &Case) -> Result<bool, String> {
    let platform = case.free_addr(&case.machine());
    let store = Store::start(platform)?;
    for number in 0..3 {
        let (id, addr) = (format!("i-{number}"), case.free_addr(&case.machine()));
        let name = id.clone();
        serve(addr, move |request| answer(&name, request))?;
        store.put(&format!("servers/{id}"), &worker_entry("postgang", addr));
    }
    let routes = [route("parcel-status", "/parcel/", "idempotent", "postgang", TIMEOUT_MS)];
    let tenants: [(&str, &[&str]); 1] = [("oslo-home", &["key-oslo"])];
    store.put("op/config", &config(3, &routes, &[service("postgang")], &tenants));

    let machines = [Machine::new(case, "front-1"), Machine::new(case, "front-2")];
    let peer_port = case.free_addr(&machines[0].ip).port();
    for machine in &machines {
        let settings = machine.gateway_settings(peer_port, &machines, platform);
        Process::start(case, "gateway", &machine.vm, &settings)?;
    }
    machines.iter().try_for_each(Machine::wait_ready)?;

    let link = case.free_addr(&case.machine());
    let rate = (!case.is_calm()).then_some(LINK_BYTES_PER_S);
    start_link(link, machines[0].callers, rate)?;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let case = case.clone();
            thread::spawn(move || call_in_turn(&case, number, link))
        })
        .collect();
    let mut foreign = 0;
    for caller in callers {
        foreign += caller.join().map_err(|_| "a caller failed")??;
    }
    case.note(&format!("answers that belong to another request: {foreign}"));
    Ok(foreign > 0)
}

fn answer(id: &str, request: &Message) -> Reply {
    if request.target() == "/health" {
        return Reply::status(200).with("Instance-Id", id);
    }
    if request.header("expect-instance").is_some_and(|expected| expected != id) {
        return Reply::status(421).with("Instance-Id", id);
    }
    thread::sleep(Duration::from_millis(30));
    let attempt = request.header("attempt-id").unwrap_or("");
    let body = body(attempt, request.target());
    Reply::status(200).with("Attempt-Id", attempt).with("Server-Stamp", id).body(body)
}

/// Returns the body of the answer to a request, which names that request.
fn body(attempt: &str, target: &str) -> Vec<u8> {
    let mut body = format!("answer to {attempt}\n").into_bytes();
    if target.contains("document") {
        body.resize(DOCUMENT_BYTES, b'.');
    }
    body
}

/// Fetches a document and then asks for the status of three parcels, all on one connection; returns
/// the number of answers that belong to another request.
fn call_in_turn(case: &Case, number: usize, link: SocketAddr) -> Result<usize, String> {
    let mut connection = Connection::open(link).map_err(|error| error.to_string())?;
    let mut foreign = 0;
    for path in ["/parcel/document", "/parcel/1", "/parcel/2", "/parcel/3"] {
        let (attempt, sent) = (case.attempt_id(), Instant::now());
        let deadline = format!("Deadline-Ms: {}\r\n", DEADLINE.as_millis());
        let text = request("GET", path, &attempt, Some("key-oslo"), &deadline);
        let answer = match connection.exchange(&text) {
            Ok(answer) => answer,
            Err(error) => {
                case.note(&format!("caller {number}: {attempt} {path}: no answer: {error}"));
                break;
            }
        };
        let echoed = answer.header("attempt-id").unwrap_or("none");
        // An answer without an id can't be told to belong to another request.
        let is_other = echoed != attempt && echoed != "none";
        let is_own = !is_other && (answer.status() != 200 || answer.body == body(&attempt, path));
        foreign += usize::from(!is_own);
        case.note(&format!(
            "caller {number}: {attempt} {path}: {} after {} ms, Attempt-Id {echoed}, {} bytes{}",
            answer.status(),
            sent.elapsed().as_millis(),
            answer.body.len(),
            if is_own { "" } else { ", BELONGS TO ANOTHER REQUEST" }
        ));
        if sent.elapsed() > DEADLINE {
            case.note(&format!("caller {number}: gives up, as the deadline has passed"));
            break;
        }
    }
    Ok(foreign)
}

/// Starts a link to a gateway that sends at most `rate` bytes a second to all callers together.
fn start_link(addr: SocketAddr, gateway: SocketAddr, rate: Option<f64>) -> Result<(), String> {
    let SocketAddr::V4(gateway) = gateway else { return Err("not an IPv4 address".to_owned()) };
    let listener = TcpListener::bind(addr).map_err(|error| error.to_string())?;
    // The time at which the link is free again.
    let started = Instant::now();
    let free_at = Arc::new(Mutex::new(started));
    thread::spawn(move || {
        for caller in listener.incoming().flatten() {
            let Ok(gateway) = connect_with_segments(gateway) else { continue };
            let (Ok(up_from), Ok(up_to)) = (caller.try_clone(), gateway.try_clone()) else {
                continue;
            };
            thread::spawn(move || forward(up_from, up_to, |_| {}));
            let free_at = free_at.clone();
            thread::spawn(move || {
                forward(gateway, caller, |bytes| {
                    let is_squeezed = started.elapsed() < SQUEEZE_TIME;
                    let Some(rate) = rate.filter(|_| is_squeezed) else { return };
                    let until = {
                        let mut free_at = free_at.lock().unwrap();
                        let time = Duration::from_secs_f64(bytes as f64 / rate);
                        *free_at = (*free_at).max(Instant::now()) + time;
                        *free_at
                    };
                    thread::sleep(until.saturating_duration_since(Instant::now()));
                })
            });
        }
    });
    Ok(())
}

/// Forwards bytes until one side closes; `wait` takes the time that the link needs for them.
fn forward(mut from: TcpStream, mut to: TcpStream, wait: impl Fn(usize)) -> io::Result<()> {
    let mut piece = [0; PIECE_BYTES];
    loop {
        let read = from.read(&mut piece)?;
        if read == 0 {
            return to.shutdown(Shutdown::Write);
        }
        wait(read);
        to.write_all(&piece[..read])?;
    }
}
