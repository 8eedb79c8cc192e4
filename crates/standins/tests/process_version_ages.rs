//! Real gateways that learn late, or from others, when a version was announced.

use std::time::{Duration, Instant};

use sequoiahold_standins::{
    hosted::{Behaviour, Cluster, gateway_config, registry_entry, request},
    processes::Signal,
};
use serde_json::json;

/// Time within which an announced version must be in use.
const ROLLOUT: Duration = Duration::from_secs(8);
/// Time within which a gateway in contact with its peers must know what they know.
const LEARN_TIME: Duration = Duration::from_secs(2);

fn model_request(method: &str, path: &str) -> String {
    request(method, path, "key-1").replacen("\r\n", "\r\nModel: m\r\n", 1)
}

/// Starts gateways before an endpoint that holds version 1 of a model.
async fn start(gateways: usize, rollout: Duration) -> Cluster {
    let adjust = |settings: &mut serde_json::Value| {
        settings["node"]["bounds"]["version"] = json!(format!("{}s", rollout.as_secs()));
    };
    let cluster = Cluster::start_with(gateways, 1, adjust).await.expect("a cluster");
    let mut entry = registry_entry(cluster.addrs[0], "ready");
    entry["models"] = json!([{ "name": "m", "version": 1, "adapters": [] }]);
    cluster.store.put("servers/i-0", Some(entry));
    announce(&cluster, 1);
    for number in 0..gateways {
        assert!(serves(&cluster, number).await, "gateway {number} does not serve the version");
    }
    cluster
}

fn announce(cluster: &Cluster, version: u64) {
    cluster.store.put("op/version/m", Some(json!({ "model": "m", "version": version })));
}

/// Returns whether a gateway serves the version of the endpoint soon.
async fn serves(cluster: &Cluster, number: usize) -> bool {
    let read = model_request("GET", "/read/1");
    cluster.wait_until(LEARN_TIME, async || cluster.call(number, &read).await.status == 200).await
}

/// Two gateways start while the one that knows the age stands still, so that each learns of the
/// other first.
#[actix_rt::test]
async fn gateway_that_met_another_started_one_first_learns_the_age_of_a_version() {
    let cluster = start(3, ROLLOUT).await;
    announce(&cluster, 2);
    let announced = Instant::now();
    assert!(serves(&cluster, 0).await, "the old version is no longer used");
    cluster.signal(0, Signal::Stop);
    for number in 1..3 {
        cluster.start_gateway(number).expect("a gateway");
    }
    for number in 1..3 {
        cluster.wait_ready(number).await.expect("a gateway");
    }
    cluster.signal(0, Signal::Continue);
    let served = [serves(&cluster, 1).await, serves(&cluster, 2).await];
    assert!(announced.elapsed() < ROLLOUT * 3 / 4, "too slow to tell: {:?}", announced.elapsed());
    assert_eq!(served, [true, true], "a started gateway refuses a version that is still valid");
}

/// The version is announced half a second before the end of the pause; its peer knows that.
#[actix_rt::test]
async fn gateway_that_stood_still_does_not_date_a_version_by_the_start_of_its_pause() {
    let cluster = start(2, ROLLOUT / 2).await;
    cluster.signal(1, Signal::Stop);
    actix_rt::time::sleep(ROLLOUT / 2).await;
    announce(&cluster, 2);
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    cluster.signal(1, Signal::Continue);
    assert!(serves(&cluster, 0).await, "the old version is no longer used");
    assert!(serves(&cluster, 1).await, "a gateway refuses a version that is still valid");
}

/// The version is announced while the request already waits at the endpoint.
#[actix_rt::test]
async fn request_sent_before_a_version_is_announced_is_withdrawn_within_the_rollout_time() {
    let cluster = start(1, ROLLOUT).await;
    let mut config = gateway_config(2, &["key-1"]);
    config["routes"][0]["timeout_ms"] = json!(15_000);
    cluster.store.put("op/config", Some(config));
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    cluster.workers[0].set_behaviour(Behaviour::NeverAnswer);
    let before = cluster.workers[0].requests().len();
    let order = model_request("POST", "/order/1").replace("Deadline-Ms: 3000", "Deadline-Ms: 9500");
    let later = async {
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        announce(&cluster, 2);
        Instant::now()
    };
    let (call, announced) = tokio::join!(cluster.call(0, &order), later);
    let waited = announced.elapsed();
    assert!(waited < ROLLOUT, "withdrawn after {waited:?}");
    assert_eq!(call.status, 502, "{}", call.text);
    assert_eq!(cluster.workers[0].requests().len(), before + 1);
}

/// The restored state has version 1, which says nothing of when version 2 was announced; operators
/// write it again.
#[actix_rt::test]
async fn gateway_started_after_a_restore_does_not_date_a_lost_version_by_its_start() {
    let cluster = start(2, ROLLOUT / 2).await;
    let copy = cluster.store.copy();
    announce(&cluster, 2);
    let announced = Instant::now();
    actix_rt::time::sleep(ROLLOUT / 4).await;
    cluster.signal(0, Signal::Stop);
    cluster.store.restore(&copy);
    cluster.start_gateway(1).expect("a gateway");
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    cluster.signal(0, Signal::Continue);
    cluster.wait_ready(1).await.expect("a gateway");
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    announce(&cluster, 2);
    actix_rt::time::sleep((ROLLOUT / 2).saturating_sub(announced.elapsed())).await;
    let before = cluster.workers[0].requests().len();
    while announced.elapsed() < ROLLOUT / 2 + LEARN_TIME {
        cluster.call(1, &model_request("GET", "/read/1")).await;
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    let late = cluster.workers[0].requests().len() - before;
    assert_eq!(late, 0, "requests ran on the old version after the rollout time");
}
