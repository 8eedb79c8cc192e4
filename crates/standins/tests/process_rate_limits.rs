//! Rate limits that endpoints advertise in their answers, through real gateways.

use std::time::Duration;

use sequoiahold_standins::hosted::{Cluster, request};

/// Time within which a gateway must log what an answer advertised.
const LOG_TIMEOUT: Duration = Duration::from_secs(5);

#[actix_rt::test]
async fn gateway_logs_when_an_endpoint_advertises_and_lifts_a_limit() {
    let cluster = Cluster::start(1, 1).await.expect("a cluster");
    let logged = async |text: &str| {
        cluster
            .wait_until(LOG_TIMEOUT, async || {
                cluster.call(0, &request("GET", "/read/1", "key-1")).await;
                cluster.log(0).expect("a log").contains(text)
            })
            .await
    };
    cluster.workers[0].set_rate_limit(Some("many"));
    assert!(logged("unreadable rate limit").await);
    cluster.workers[0].set_rate_limit(Some("2.5"));
    assert!(logged("endpoint advertises a rate limit").await);
    cluster.workers[0].set_rate_limit(None);
    assert!(logged("endpoint lifts its rate limit").await);
}
