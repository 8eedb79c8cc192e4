//! Graceful shutdown of real processes under load, with long answers and slow orders.

use std::time::Duration;

use futures_util::future::{join, join_all};
use rstest::rstest;
use sequoiahold_standins::{
    callers::{Order, Outcome},
    deployment::Setup,
    fixture::{WAIT_TIMEOUT, count, count_lost, sleep, start_with_orders},
    load::{Load, LoadSpec},
    plain::Mode,
};

/// Requests whose answers take about two seconds each.
const LONG_ANSWERS: LoadSpec =
    LoadSpec { seed: 1, pause: Duration::from_millis(150), orders: 10, repeats: 0, tokens: 200 };

#[rstest]
#[actix_rt::test]
async fn stopping_endpoint_finishes_long_answers() {
    let mut deployment = start_with_orders(Setup::for_test()).await.unwrap();
    let load = Load::start(&deployment, LONG_ANSWERS);
    sleep(Duration::from_secs(2)).await;
    let vm = deployment.plan.model_vms().remove(0);
    let running = deployment.engines[&vm].state.borrow().running.len();
    assert!(running > 0, "the endpoint runs no request before the stop");
    assert!(deployment.stop_process(&vm, WAIT_TIMEOUT).await, "the endpoint did not end");
    sleep(Duration::from_secs(1)).await;
    let calls = load.stop().await;
    assert_eq!(count_lost(&calls), 0, "answers were cut off or outcomes are unknown");
    assert!(count(&calls, Outcome::Answered) > 10);
}

#[rstest]
#[actix_rt::test]
async fn stopping_entry_finishes_long_answers() {
    let mut deployment = start_with_orders(Setup::for_test()).await.unwrap();
    let load = Load::start(&deployment, LONG_ANSWERS);
    sleep(Duration::from_secs(2)).await;
    let vm = deployment.plan.entry_vms().remove(0);
    load.remove_entry(deployment.entry(&vm));
    let running = deployment.status(&vm).await.unwrap().running;
    assert!(running > 0, "the entry has no request in progress before the stop");
    assert!(deployment.stop_process(&vm, WAIT_TIMEOUT).await, "the entry did not end");
    sleep(Duration::from_secs(1)).await;
    let calls = load.stop().await;
    assert_eq!(count_lost(&calls), 0, "answers were cut off or outcomes are unknown");
    assert!(count(&calls, Outcome::Answered) > 10);
}

#[rstest]
#[actix_rt::test]
async fn stopping_endpoints_finish_slow_orders() {
    let mut deployment = start_with_orders(Setup::for_test()).await.unwrap();
    let (caller, service) = (deployment.caller(), deployment.plan.order_service());
    let entry = deployment.entries()[0];
    deployment.plain_state.borrow_mut().mode = Mode::Slow(Duration::from_secs(3));
    let orders: Vec<Order> = (0..10).map(|n| Order::now(&format!("plate-{n}"))).collect();
    let calls = join_all(orders.iter().map(|order| caller.place_order(entry, &service, order)));
    let stops = async {
        sleep(Duration::from_secs(1)).await;
        for vm in deployment.plan.order_vms() {
            assert!(deployment.stop_process(&vm, WAIT_TIMEOUT).await, "the endpoint did not end");
        }
    };
    let (calls, ()) = join(calls, stops).await;
    assert_eq!(count(&calls, Outcome::Answered), 10, "an order was not answered");
    assert_eq!(deployment.records().repeated_orders(), 0);
}
