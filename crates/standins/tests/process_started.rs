//! What a gateway that starts again knows of requests that crash endpoints.

use std::time::Duration;

use sequoiahold_standins::hosted::{Behaviour, Cluster, request};

/// Number of endpoints.
const ENDPOINTS: usize = 8;
/// Number of times that the caller sends the request through each gateway.
const CALLS: usize = 6;
/// Time within which a started gateway must know what its peers know.
const LEARN_TIME: Duration = Duration::from_secs(2);

fn arrivals(cluster: &Cluster) -> usize {
    cluster.workers.iter().map(|worker| worker.requests().len()).sum()
}

async fn send(cluster: &Cluster, number: usize) {
    for _ in 0..CALLS {
        cluster.call(number, &request("GET", "/read/crash", "key-1")).await;
        actix_rt::time::sleep(LEARN_TIME / 10).await;
    }
}

#[ignore = "known red: a started gateway is not told of blocked requests"]
#[actix_rt::test]
async fn request_blocked_as_it_crashes_endpoints_reaches_none_from_a_restarted_gateway() {
    let cluster = Cluster::start(2, ENDPOINTS).await.expect("a cluster");
    cluster.workers.iter().for_each(|worker| worker.set_behaviour(Behaviour::CloseUnanswered));
    send(&cluster, 0).await;
    let blocked = arrivals(&cluster);
    send(&cluster, 1).await;
    assert_eq!(arrivals(&cluster), blocked, "the other gateway does not block the request");
    cluster.start_gateway(1).expect("a gateway");
    cluster.wait_ready(1).await.expect("a gateway");
    actix_rt::time::sleep(LEARN_TIME).await;
    send(&cluster, 1).await;
    let more = arrivals(&cluster) - blocked;
    assert_eq!(more, 0, "requests reached endpoints through the restarted gateway");
}
