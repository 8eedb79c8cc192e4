//! Endpoints that answer a request twice, and are reached again at the same address.

use std::{cell::Cell, time::Duration};

use futures_util::future::join_all;
use rstest::rstest;
use sequoiahold_standins::{
    callers::{Order, Outcome},
    deployment::Setup,
    fixture::{assert_consistent, count, start_with_orders},
    hosted::{Behaviour, Cluster, gateway_config, loopback_addr, registry_entry, request},
    relay::TcpRelay,
};
use serde_json::json;

/// Number of starts of the endpoint.
const STARTS: u32 = 6;
/// Number of orders at the same time, as often as it takes until one meets the entry of the start
/// before.
const ORDERS: usize = 4;
/// Number of orders one after another.
const NEXT_ORDERS: usize = 20;
/// Time that an order takes, longer than the delay of a second answer.
const WORK_TIME: Duration = Duration::from_millis(60);
/// Time within which a changed list must be in use.
const TIMEOUT: Duration = Duration::from_secs(10);

// Guards against the second copy of a refusal being taken for the answer to the next attempt of the
// same request, which then runs and is reported as not run.
#[rstest]
#[actix_rt::test]
async fn second_copy_of_a_refusal_is_not_the_answer_to_the_next_attempt(
    #[values(421, 503)] status: u16,
    #[values(1, 10, 25)] delay_ms: u64,
) {
    let cluster = Cluster::start(1, 1).await.expect("a cluster");
    let relay = TcpRelay::start(loopback_addr(), cluster.addrs[0]).await.expect("a relay");
    let mut config = gateway_config(2, &["key-1"]);
    config["routes"][0]["attempts"] = json!(2);
    cluster.store.put("op/config", Some(config));
    cluster.store.put("servers/i-0", None);
    relay.filter.repeat_answers(status, Duration::from_millis(delay_ms));
    for start in 1..=STARTS {
        // The entry of the start before is still in the list, and may be chosen.
        let (old, new) = (format!("i-old-{start}"), format!("i-new-{start}"));
        cluster.workers[0].restart(&new);
        cluster.workers[0].set_behaviour(Behaviour::LateHead(WORK_TIME));
        cluster.workers[0].set_mismatch(status);
        let entry = || Some(registry_entry(relay.addr, "ready"));
        cluster.store.put(&format!("servers/{new}"), entry());
        let is_served =
            async || cluster.call(0, &request("GET", "/read/1", "key-1")).await.status == 200;
        assert!(cluster.wait_until(TIMEOUT, is_served).await, "no request is served");
        cluster.store.put(&format!("servers/{old}"), entry());
        let (before, statuses) = (relay.filter.repeats(), Cell::new(0));
        let is_repeated = async || {
            for order in join_all((0..ORDERS).map(|_| place_order(&cluster))).await {
                let (status, runs) = order;
                statuses.set(statuses.get() + usize::from(status == 200));
                assert!(runs <= 1, "an order ran {runs} times");
                let is_refused = matches!(status, 408 | 421 | 429 | 503);
                assert!(runs == 0 || !is_refused, "an order that ran was answered {status}");
            }
            relay.filter.repeats() > before
        };
        assert!(cluster.wait_until(TIMEOUT, is_repeated).await, "no refusal was sent twice");
        assert!(statuses.get() > 0, "no order was served");
        cluster.store.put(&format!("servers/{old}"), None);
        cluster.store.put(&format!("servers/{new}"), None);
    }
}

// Guards against the second copy of an answer of an engine or service being taken by the endpoint
// process for the answer to the next request.
#[rstest]
#[case::at_once(0)]
#[case::late(10)]
#[actix_rt::test]
async fn second_copy_of_an_answer_is_not_that_to_the_next_request_at_an_entry(
    #[case] delay_ms: u64,
) {
    let setup = Setup { relays: true, ..Setup::for_test() };
    let deployment = start_with_orders(setup).await.expect("a deployment");
    for relay in deployment.engine_relays.values() {
        relay.filter.repeat_answers(200, Duration::from_millis(delay_ms));
    }
    let (caller, entry) = (deployment.caller(), deployment.entries()[0]);
    let service = deployment.plan.order_service();
    let mut calls = vec![];
    for number in 0..NEXT_ORDERS {
        let order = Order::now(&format!("plate-{number}"));
        calls.push(caller.place_order(entry, &service, &order).await);
    }
    assert_consistent(&deployment, &calls);
    assert_eq!(count(&calls, Outcome::Answered), NEXT_ORDERS, "{calls:?}");
}

/// Places an order; returns the status and how often it ran.
async fn place_order(cluster: &Cluster) -> (u16, usize) {
    let order = request("POST", "/order/1", "key-1");
    let id = order.lines().find_map(|line| line.strip_prefix("Attempt-Id: ")).expect("an id");
    let answer = cluster.call(0, &order).await;
    let runs = cluster.workers[0].requests();
    (answer.status, runs.iter().filter(|run| run.attempt == id).count())
}
