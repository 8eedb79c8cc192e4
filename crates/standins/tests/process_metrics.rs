//! Metrics of real gateways.

use std::{cell::Cell, time::Duration};

use sequoiahold_standins::hosted::{Cluster, loopback_addr, request};

/// Time within which the metrics must show what a gateway knows.
const METRICS_TIMEOUT: Duration = Duration::from_secs(10);

/// The metrics of a gateway whose endpoint advertises a rate limit, with labels.
const EXPECTED_LINES: [&str; 4] = [
    "sequoiahold_rate_limited_endpoints 1",
    "sequoiahold_unavailable_endpoints{cause=\"rate_limit\"} 1",
    "sequoiahold_unavailable_endpoints{cause=\"pause\"} 0",
    "sequoiahold_first_seconds_count{route=\"reads\"} ",
];
/// The names and types of all metrics of a gateway that knows of no versions.
const EXPECTED_TYPES: [&str; 9] = [
    "sequoiahold_requests counter",
    "sequoiahold_account_requests counter",
    "sequoiahold_first_seconds histogram",
    "sequoiahold_account_first_seconds histogram",
    "sequoiahold_sends counter",
    "sequoiahold_blocked_parts counter",
    "sequoiahold_rate_limited_endpoints gauge",
    "sequoiahold_paced_endpoints gauge",
    "sequoiahold_unavailable_endpoints gauge",
];

#[actix_rt::test]
async fn metrics_count_an_endpoint_whose_rate_limit_leaves_no_turn() {
    let addr = loopback_addr();
    let cluster = Cluster::start_with(1, 1, |settings| {
        settings["node"]["metrics"] = addr.to_string().into();
    });
    let cluster = cluster.await.expect("a cluster");
    cluster.workers[0].set_rate_limit(Some("0.2"));
    let text = Cell::default();
    let is_shown = async || {
        cluster.call(0, &request("GET", "/read/1", "key-1")).await;
        let response = awc::Client::default().get(format!("http://{addr}/metrics")).send().await;
        let body = response.expect("an answer").body().await.expect("a body");
        let body = String::from_utf8(body.to_vec()).expect("text");
        let is_shown = EXPECTED_LINES.iter().all(|line| body.contains(line));
        text.set(body);
        is_shown
    };
    let shown = cluster.wait_until(METRICS_TIMEOUT, is_shown).await;
    let text = text.take();
    assert!(shown, "{text}");
    let types: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("# TYPE ")).collect();
    assert_eq!(types, EXPECTED_TYPES);
}
