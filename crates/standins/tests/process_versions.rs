//! Real gateways that start after operators have announced versions.

use std::time::{Duration, Instant};

use sequoiahold_standins::{
    hosted::{Cluster, registry_entry, request},
    processes::Signal,
};
use serde_json::json;

/// Time within which an announced version must be in use.
const ROLLOUT: Duration = Duration::from_secs(4);
/// Time from the first announcement to the second, and from the second to the restart.
const PAUSES: [Duration; 2] = [Duration::from_millis(1_800), Duration::from_millis(200)];
/// Time that the started gateway has for its first read before a peer answers it.
const READ_TIME: Duration = Duration::from_millis(500);

fn model_request() -> String {
    request("GET", "/read/1", "key-1").replacen("\r\n", "\r\nModel: m\r\n", 1)
}

/// Starts two gateways before an endpoint that holds version 1 of a model.
async fn start() -> Cluster {
    let adjust = |settings: &mut serde_json::Value| {
        settings["node"]["bounds"]["version"] = json!("4s");
    };
    let cluster = Cluster::start_with(2, 1, adjust).await.expect("a cluster");
    let mut entry = registry_entry(cluster.addrs[0], "ready");
    entry["models"] = json!([{ "name": "m", "version": 1, "adapters": [] }]);
    cluster.store.put("servers/i-0", Some(entry));
    announce(&cluster, 1);
    let serves = async || cluster.call(0, &model_request()).await.status == 200;
    assert!(cluster.wait_until(ROLLOUT, serves).await, "the first version does not serve");
    cluster
}

fn announce(cluster: &Cluster, version: u64) {
    cluster.store.put("op/version/m", Some(json!({ "model": "m", "version": version })));
}

/// Returns the number of requests sent through the second gateway that reach the endpoint after the
/// rollout time of a version announced at `announced`, until the next one is due.
async fn late_requests(cluster: &Cluster, announced: Instant) -> usize {
    actix_rt::time::sleep(ROLLOUT.saturating_sub(announced.elapsed())).await;
    let before = cluster.workers[0].requests().len();
    while announced.elapsed() < ROLLOUT + PAUSES[0] {
        cluster.call(1, &model_request()).await;
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    cluster.workers[0].requests().len() - before
}

/// The gateway reads a state that shows the last version only, and hears of the one before from a
/// peer afterwards.
#[actix_rt::test]
async fn restarted_gateway_sends_nothing_to_a_version_replaced_twice_before_its_start() {
    let cluster = start().await;
    announce(&cluster, 2);
    let announced = Instant::now();
    actix_rt::time::sleep(PAUSES[0]).await;
    announce(&cluster, 3);
    actix_rt::time::sleep(PAUSES[1]).await;
    cluster.signal(0, Signal::Stop);
    cluster.start_gateway(1).expect("a gateway");
    actix_rt::time::sleep(READ_TIME).await;
    cluster.signal(0, Signal::Continue);
    cluster.wait_ready(1).await.expect("a gateway");
    let late = late_requests(&cluster, announced).await;
    assert_eq!(late, 0, "requests ran on the old version after the rollout time");
}

/// No gateway knows when version 2 was announced, as all have restarted since; version 3 does not
/// allow version 1 again.
#[actix_rt::test]
async fn gateway_started_after_a_restart_of_all_sends_nothing_to_the_version_before() {
    let cluster = start().await;
    announce(&cluster, 2);
    let announced = Instant::now();
    for number in 0..cluster.gateways() {
        cluster.start_gateway(number).expect("a gateway");
    }
    for number in 0..cluster.gateways() {
        cluster.wait_ready(number).await.expect("a gateway");
    }
    actix_rt::time::sleep((ROLLOUT / 2).saturating_sub(announced.elapsed())).await;
    announce(&cluster, 3);
    actix_rt::time::sleep(PAUSES[1]).await;
    cluster.start_gateway(1).expect("a gateway");
    cluster.wait_ready(1).await.expect("a gateway");
    let late = late_requests(&cluster, announced).await;
    assert_eq!(late, 0, "requests ran on the old version after the rollout time");
}
