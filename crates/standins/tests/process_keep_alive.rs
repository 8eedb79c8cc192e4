//! Keep-alive timeouts beyond the range of the clock, at each connection of gateways and loaders.

use std::time::Duration;

use rstest::rstest;
use sequoiahold_standins::hosted::{Cluster, LoaderFleet, request};

/// Number of requests of each kind.
const REQUESTS: usize = 4;
/// Time within which a rollout of 6 s must have ended.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(25);
/// The greatest signed 64-bit number of seconds.
const HUGE: &str = "timeout=9223372036854775807, max=100";

// Guards against a gateway that ends as an endpoint announces a timeout that its clock cannot hold.
#[rstest]
#[case::signed(HUGE)]
#[case::unsigned("timeout=18446744073709551615")]
#[case::beyond_64_bits("timeout=18446744073709551616")]
#[case::of_200_digits(&format!("timeout={}", "9".repeat(200)))]
#[actix_rt::test]
async fn endpoint_with_a_huge_keep_alive_timeout_is_served_from(#[case] value: &str) {
    let cluster = Cluster::start(1, 1).await.expect("a cluster");
    cluster.workers[0].keep_alive.set(Some(value));
    for path in ["/order/1", "/stream/1", "/read/1"].into_iter().cycle().take(3 * REQUESTS) {
        let answer = cluster.call(0, &request("GET", path, "key-1")).await;
        assert_eq!((answer.status, answer.error), (200, None), "{path}");
    }
}

// Guards against the same where the store announces it: the gateway never becomes ready.
#[actix_rt::test]
async fn store_with_a_huge_keep_alive_timeout_is_read() {
    let cluster = Cluster::start(1, 1).await.expect("a cluster");
    cluster.store.keep_alive.set(Some(HUGE));
    cluster.start_gateway(0).expect("a gateway");
    cluster.wait_ready(0).await.expect("a gateway that is ready");
    assert_eq!(cluster.call(0, &request("GET", "/read/1", "key-1")).await.status, 200);
}

// Guards against the same at loaders, whose engines would keep the version that they hold.
#[rstest]
#[case::engine(true)]
#[case::origin(false)]
#[actix_rt::test]
async fn version_is_loaded_past_a_huge_keep_alive_timeout(#[case] is_engine: bool) {
    let fleet = LoaderFleet::start(1).await.expect("a fleet");
    let (engine, origin) = (&fleet.engines[0].keep_alive, &fleet.origin.keep_alive);
    (if is_engine { engine } else { origin }).set(Some(HUGE));
    fleet.publish_version(2);
    assert!(fleet.wait_version(0, 2, ROLLOUT_TIMEOUT).await, "version 2 is not loaded");
}
