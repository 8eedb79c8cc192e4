//! Retries of all gateways together while gateways are killed and endpoints fail.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use sequoiahold_standins::{
    hosted::{Behaviour, Cluster, request},
    processes::Signal,
};
use serde_json::json;

/// Number of gateways.
const GATEWAYS: usize = 6;
/// Number of endpoints.
const ENDPOINTS: usize = 4;
/// Number of times that all gateways are killed.
const KILLS: usize = 6;
/// Time for which gateways run before requests come, so that they know each other.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);
/// Number of reads through each gateway between two kills.
const READS: usize = 5;
/// Retries allowed for each request within the window.
const RETRY_RATIO: f64 = 0.2;
/// Further retries allowed within the window.
const RETRY_EXTRA: f64 = 60.0;
/// The window, longer than the whole test.
const RETRY_WINDOW: Duration = Duration::from_secs(60);

// Guards against each start of a gateway bringing a share of its own of the allowed retries.
#[actix_rt::test]
async fn retries_stay_within_the_budget_while_all_gateways_are_killed_again_and_again() {
    let cluster = Cluster::start_with(GATEWAYS, ENDPOINTS, |settings| {
        settings["node"]["restarted"] = json!(true);
        let bounds = &mut settings["node"]["bounds"];
        bounds["retry_ratio"] = json!(RETRY_RATIO);
        bounds["retry_extra"] = json!(RETRY_EXTRA);
        bounds["retry_window"] = json!(format!("{}s", RETRY_WINDOW.as_secs()));
    })
    .await
    .expect("a cluster");
    let started = Instant::now();
    cluster.workers.iter().for_each(|worker| worker.set_behaviour(Behaviour::Refuse(429)));
    for _ in 0..KILLS {
        actix_rt::time::sleep(SETTLE_TIME).await;
        let reads = (0..GATEWAYS).flat_map(|number| {
            let cluster = &cluster;
            (0..READS).map(move |_| async move {
                cluster.call(number, &request("GET", "/read/1", "key-1")).await
            })
        });
        join_all(reads).await;
        for number in 0..GATEWAYS {
            cluster.signal(number, Signal::Kill);
            cluster.start_gateway(number).expect("a gateway");
        }
        for number in 0..GATEWAYS {
            cluster.wait_ready(number).await.expect("a gateway");
        }
    }
    assert!(started.elapsed() < RETRY_WINDOW, "the test took longer than the window");
    let arrivals: Vec<_> = cluster.workers.iter().flat_map(|worker| worker.arrivals()).collect();
    let attempts: HashSet<_> =
        arrivals.iter().filter_map(|arrival| arrival.attempt.as_ref()).collect();
    let retries = arrivals.len() - attempts.len();
    let requests = (KILLS * GATEWAYS * READS) as f64;
    let allowed = requests * RETRY_RATIO + RETRY_EXTRA;
    assert!(
        retries as f64 <= allowed,
        "{retries} retries of {requests} requests, {allowed} allowed"
    );
}
