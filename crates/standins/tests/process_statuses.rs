//! Answers of endpoints and engines whose status is none, at each role and on streams.

use std::time::Duration;

use futures_util::future::{join, join_all};
use rstest::rstest;
use sequoiahold_standins::{
    callers::{ChatRequest, Order, Outcome},
    deployment::Setup,
    fixture::{assert_consistent, count, start_with_orders},
    hosted::{Cluster, loopback_addr, registry_entry, request},
    relay::TcpRelay,
};
use serde_json::json;

/// Number of requests of each kind.
const REQUESTS: usize = 4;
/// Time within which the endpoint serves again once its answers are sound.
const RECOVERY_TIME: Duration = Duration::from_secs(20);

/// Starts a gateway before an endpoint that is reached through a relay.
async fn start(is_model: bool) -> (Cluster, TcpRelay) {
    let cluster = Cluster::start(1, 1).await.expect("a cluster");
    let relay = TcpRelay::start(loopback_addr(), cluster.addrs[0]).await.expect("a relay");
    let mut entry = registry_entry(relay.addr, "ready");
    if is_model {
        entry["models"] = json!([{ "name": "m", "version": 1, "adapters": [] }]);
        cluster.store.put("op/version/m", Some(json!({ "model": "m", "version": 1 })));
    }
    // The worker knows itself by its first name, and answers 421 to requests for another.
    cluster.workers[0].restart("i-relayed");
    cluster.store.put("servers/i-0", None);
    cluster.store.put("servers/i-relayed", Some(entry));
    expect_service(&cluster, is_model).await;
    (cluster, relay)
}

async fn expect_service(cluster: &Cluster, is_model: bool) {
    let is_served = async || cluster.call(0, &call("/read/1", is_model)).await.status == 200;
    assert!(cluster.wait_until(RECOVERY_TIME, is_served).await, "no request is served");
}

fn call(path: &str, is_model: bool) -> String {
    let call = request("GET", path, "key-1");
    if is_model { call.replacen("\r\n", "\r\nModel: m\r\n", 1) } else { call }
}

// Guards against a status that is none, as endpoints in trouble send, reaching callers as an answer.
#[rstest]
#[case::zero("000")]
#[case::below_the_first("099")]
#[case::two_digits("20")]
#[case::four_digits("2000")]
#[case::negative("-01")]
#[case::informational("100")]
#[case::switch_of_protocols("101")]
#[case::above_the_last("600")]
#[case::greatest("999")]
#[actix_rt::test]
async fn gateway_passes_on_no_status_that_is_none(
    #[case] status: &str,
    #[values(false, true)] is_model: bool,
) {
    let (cluster, relay) = start(is_model).await;
    relay.filter.set_status(Some(status));
    let before = cluster.workers[0].requests().len();
    let paths = ["/order/1", "/stream/1", "/read/1"].into_iter().cycle().take(3 * REQUESTS);
    let calls = paths.map(|path| {
        let cluster = &cluster;
        async move { cluster.call(0, &call(path, is_model)).await }
    });
    for answer in join_all(calls).await {
        let is_own = matches!(answer.status, 502..=504);
        assert!(is_own, "a caller got {:?}", answer.text.lines().next());
    }
    assert!(cluster.workers[0].requests().len() > before, "no request reached the endpoint");
    relay.filter.set_status(None);
    expect_service(&cluster, is_model).await;
}

// Guards against the same at entries and the endpoint processes before engines and plain services.
#[rstest]
#[case::zero("000")]
#[case::informational("100")]
#[case::switch_of_protocols("101")]
#[case::above_the_last("600")]
#[case::greatest("999")]
#[actix_rt::test]
async fn entry_passes_on_no_status_that_is_none(#[case] status: &str) {
    let setup = Setup { relays: true, ..Setup::for_test() };
    let deployment = start_with_orders(setup).await.expect("a deployment");
    let (caller, entry) = (deployment.caller(), deployment.entries()[0]);
    let (orders, chats) = (deployment.plan.order_service(), deployment.plan.model_service());
    for relay in deployment.engine_relays.values() {
        relay.filter.set_status(Some(status));
    }
    let pairs = (0..REQUESTS).map(|number| {
        let (caller, orders, chats) = (&caller, &orders, &chats);
        let fingerprints = &deployment.fingerprints;
        async move {
            let order = Order::now(&format!("plate-{number}"));
            let prompt = format!("prompt {number}");
            let chat = ChatRequest { service: chats, prompt: &prompt, tokens: 2 };
            let chat = caller.chat(entry, &chat, fingerprints);
            <[_; 2]>::from(join(caller.place_order(entry, orders, &order), chat).await)
        }
    });
    let calls = join_all(pairs).await.concat();
    let outcomes: Vec<Outcome> = calls.iter().map(|call| call.outcome).collect();
    assert_eq!(count(&calls, Outcome::Unknown), calls.len(), "{outcomes:?}");
    assert_consistent(&deployment, &calls);
}
