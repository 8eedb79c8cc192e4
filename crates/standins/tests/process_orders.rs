//! Orders that are repeated, lost or broken off run at most once.

use std::time::Duration;

use futures_util::future::join;
use rstest::rstest;
use sequoiahold_standins::{
    callers::{Order, Received},
    deployment::{Deployment, Setup},
    fixture::{PATIENCE, assert_sound, count, pass, start},
    load::{Load, Shape},
    plain::Mode,
};

/// One order every 30 ms and nothing else, each placed through two entries.
const ORDERS: Shape =
    Shape { seed: 1, pause: Duration::from_millis(30), orders: 1, repeats: 1, tokens: 1 };

async fn start_orders() -> Deployment {
    let deployment = start(Setup::for_test()).await.unwrap();
    deployment.wait_orders(PATIENCE).await.unwrap();
    deployment
}

#[rstest]
#[actix_rt::test]
async fn order_repeated_through_two_entries_while_the_endpoint_is_killed() {
    let mut deployment = start_orders().await;
    let load = Load::start(&deployment, ORDERS);
    pass(Duration::from_secs(1)).await;
    let vm = deployment.plan.order_vms().remove(0);
    deployment.kill(&vm).await;
    pass(Duration::from_secs(2)).await;
    deployment.start_process(&vm).unwrap();
    deployment.wait_open(PATIENCE).await.unwrap();
    pass(Duration::from_secs(1)).await;
    let calls = load.stop().await;
    assert!(count(&calls, Received::Answered) > 0);
    assert_sound(&deployment, &calls);
}

#[rstest]
#[actix_rt::test]
async fn order_repeated_after_its_endpoint_came_back() {
    let mut deployment = start_orders().await;
    let (caller, service) = (deployment.caller(), deployment.plan.orders());
    let entries = deployment.entries();
    let orders: Vec<Order> = (0..10).map(|n| Order::now(&format!("plate-{n}"))).collect();
    let mut calls = Vec::new();
    for order in &orders {
        calls.push(caller.order(entries[0], &service, order).await);
    }
    for vm in deployment.plan.order_vms() {
        deployment.kill(&vm).await;
        deployment.start_process(&vm).unwrap();
    }
    deployment.wait_orders(PATIENCE).await.unwrap();
    for order in &orders {
        calls.push(caller.order(entries[1], &service, order).await);
    }
    assert_eq!(count(&calls[..10], Received::Answered), 10);
    assert_sound(&deployment, &calls);
}

#[rstest]
#[actix_rt::test]
async fn order_whose_service_crashes_after_running_it() {
    let deployment = start_orders().await;
    let (caller, service) = (deployment.caller(), deployment.plan.orders());
    let (entries, order) = (deployment.entries(), Order::now("plate"));
    deployment.plain.borrow_mut().mode = Mode::Crash;
    let first = caller.order(entries[0], &service, &order).await;
    deployment.plain.borrow_mut().mode = Mode::Prompt;
    let second = caller.order(entries[1], &service, &order).await;
    assert_ne!(first.received, Received::NotRun, "the order has run");
    assert_ne!(first.received, Received::Answered, "the answer was broken off");
    assert_sound(&deployment, &[first, second]);
}

#[rstest]
#[actix_rt::test]
async fn order_repeated_while_the_first_copy_runs() {
    let deployment = start_orders().await;
    let (caller, service) = (deployment.caller(), deployment.plan.orders());
    let (entries, order) = (deployment.entries(), Order::now("plate"));
    deployment.plain.borrow_mut().mode = Mode::Slow(Duration::from_secs(2));
    let first = caller.order(entries[0], &service, &order);
    let second = async {
        pass(Duration::from_millis(500)).await;
        caller.order(entries[1], &service, &order).await
    };
    let (first, second) = join(first, second).await;
    assert_eq!(first.received, Received::Answered);
    assert_sound(&deployment, &[first, second]);
}

#[rstest]
#[actix_rt::test]
async fn ticket_runs_once_and_not_after_a_restart() {
    let mut deployment = start_orders().await;
    let (caller, service) = (deployment.caller(), deployment.plan.orders());
    let entries = deployment.entries();
    let mut calls = Vec::new();
    let mut unused = Vec::new();
    for number in 0..10 {
        let key = caller.ticket(entries[0], &service).await.expect("a ticket");
        let order = Order { name: format!("plate-{number}"), key };
        if number % 2 == 0 {
            calls.push(caller.order(entries[0], &service, &order).await);
            calls.push(caller.order(entries[1], &service, &order).await);
        } else {
            unused.push(order);
        }
    }
    for vm in deployment.plan.order_vms() {
        deployment.kill(&vm).await;
        deployment.start_process(&vm).unwrap();
    }
    deployment.wait_open(PATIENCE).await.unwrap();
    for order in &unused {
        calls.push(caller.order(entries[1], &service, order).await);
    }
    let ran = deployment.plain.borrow().ran.clone();
    assert!(unused.iter().all(|order| !ran.contains_key(&order.name)), "no old ticket runs");
    assert!(count(&calls, Received::Answered) >= 5);
    assert_sound(&deployment, &calls);
}
