//! What `sequoiahold explain` makes of the logs of real gateways.

use std::{
    io::Write as _,
    process::{Command, Stdio},
    time::Duration,
};

use sequoiahold_standins::{
    hosted::{Cluster, request},
    processes::program_path,
};

/// Time within which a request must be refused and its refusal be logged.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns what `sequoiahold explain` prints on a request from a log.
fn explain(id: &str, log: &str) -> String {
    let mut command = Command::new(program_path());
    command.args(["explain", id]).stdin(Stdio::piped()).stdout(Stdio::piped());
    let mut child = command.spawn().expect("a process");
    let mut input = child.stdin.take().expect("a pipe");
    input.write_all(log.as_bytes()).expect("a reader");
    drop(input);
    let output = child.wait_with_output().expect("an output");
    String::from_utf8(output.stdout).expect("text")
}

/// Returns the id of a request from its text.
fn attempt_id(request: &str) -> &str {
    let headers = request.lines().filter_map(|line| line.split_once(": "));
    let mut ids = headers.filter(|(name, _)| name.eq_ignore_ascii_case("attempt-id"));
    ids.next().expect("an id").1
}

#[actix_rt::test]
async fn refusal_by_a_rate_limit_is_explained_by_the_endpoint_and_its_next_turn() {
    let cluster = Cluster::start(1, 1).await.expect("a cluster");
    cluster.workers[0].set_rate_limit(Some("0.5"));
    let mut refused = None;
    let has_refused = async || {
        let request = request("GET", "/read/1", "key-1");
        let call = cluster.call(0, &request).await;
        refused = (call.status == 503).then(|| attempt_id(&request).to_owned());
        refused.is_some()
    };
    assert!(cluster.wait_until(REFUSAL_TIMEOUT, has_refused).await, "no request was refused");
    let id = refused.expect("a refused request");
    let explained = || explain(&id, &cluster.log(0).expect("a log"));
    let is_logged = async || explained().contains("ended: ");
    assert!(cluster.wait_until(REFUSAL_TIMEOUT, is_logged).await, "{}", explained());
    let report = explained();
    assert!(report.contains("endpoints unavailable: causes i-0 rate_limit "), "{report}");
    let mut told =
        report.lines().filter(|line| line.contains("endpoint advertises a rate limit: "));
    assert!(told.any(|line| line.ends_with(", instance i-0, rate 0.5")), "{report}");
}
