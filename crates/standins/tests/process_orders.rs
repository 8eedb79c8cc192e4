//! Orders that are repeated, lost or cut off run at most once.

use std::time::Duration;

use futures_util::future::join;
use rstest::rstest;
use sequoiahold_standins::{
    callers::{Order, Outcome},
    deployment::{Deployment, Setup},
    fixture::{WAIT_TIMEOUT, assert_consistent, count, sleep, start_with_orders},
    load::{Load, LoadSpec},
    plain::Mode,
};

/// One order every 30 ms and no other request; each order is sent through two entries.
const REPEATED_ORDERS: LoadSpec =
    LoadSpec { seed: 1, pause: Duration::from_millis(30), orders: 1, repeats: 1, tokens: 1 };

async fn start_orders() -> Deployment {
    start_with_orders(Setup::for_test()).await.unwrap()
}

#[rstest]
#[actix_rt::test]
async fn order_repeated_through_two_entries_runs_once_while_its_endpoint_is_killed() {
    let mut deployment = start_orders().await;
    let load = Load::start(&deployment, REPEATED_ORDERS);
    sleep(Duration::from_secs(1)).await;
    let vm = deployment.plan.order_vms().remove(0);
    deployment.kill_process(&vm).await;
    sleep(Duration::from_secs(2)).await;
    deployment.start_process(&vm).unwrap();
    deployment.wait_open(WAIT_TIMEOUT).await.unwrap();
    sleep(Duration::from_secs(1)).await;
    let calls = load.stop().await;
    assert!(count(&calls, Outcome::Answered) > 0);
    assert_consistent(&deployment, &calls);
}

#[rstest]
#[actix_rt::test]
async fn order_repeated_after_its_endpoint_restarted_runs_once() {
    let mut deployment = start_orders().await;
    let (caller, service) = (deployment.caller(), deployment.plan.order_service());
    let entries = deployment.entries();
    let orders: Vec<Order> = (0..10).map(|n| Order::now(&format!("plate-{n}"))).collect();
    let mut calls = Vec::new();
    for order in &orders {
        calls.push(caller.place_order(entries[0], &service, order).await);
    }
    for vm in deployment.plan.order_vms() {
        deployment.kill_process(&vm).await;
        deployment.start_process(&vm).unwrap();
    }
    deployment.wait_orders(WAIT_TIMEOUT).await.unwrap();
    for order in &orders {
        calls.push(caller.place_order(entries[1], &service, order).await);
    }
    assert_eq!(count(&calls[..10], Outcome::Answered), 10);
    assert_consistent(&deployment, &calls);
}

#[rstest]
#[case::before_the_answer(Mode::Crash)]
#[case::within_the_answer(Mode::AbortBody)]
#[actix_rt::test]
async fn order_whose_service_crashed_after_running_it_is_not_reported_as_not_run(
    #[case] mode: Mode,
) {
    let deployment = start_orders().await;
    let (caller, service) = (deployment.caller(), deployment.plan.order_service());
    let (entries, order) = (deployment.entries(), Order::now("plate"));
    deployment.plain_state.borrow_mut().mode = mode;
    let first = caller.place_order(entries[0], &service, &order).await;
    deployment.plain_state.borrow_mut().mode = Mode::Immediate;
    let second = caller.place_order(entries[1], &service, &order).await;
    assert_ne!(first.outcome, Outcome::NotRun, "an order that ran was refused as not run");
    assert_ne!(first.outcome, Outcome::Answered, "an aborted answer was accepted as complete");
    assert_consistent(&deployment, &[first, second]);
}

#[rstest]
#[actix_rt::test]
async fn order_repeated_while_its_first_copy_runs_is_not_run_again() {
    let deployment = start_orders().await;
    let (caller, service) = (deployment.caller(), deployment.plan.order_service());
    let (entries, order) = (deployment.entries(), Order::now("plate"));
    deployment.plain_state.borrow_mut().mode = Mode::Slow(Duration::from_secs(2));
    let first = caller.place_order(entries[0], &service, &order);
    let second = async {
        sleep(Duration::from_millis(500)).await;
        caller.place_order(entries[1], &service, &order).await
    };
    let (first, second) = join(first, second).await;
    assert_eq!(first.outcome, Outcome::Answered);
    assert_consistent(&deployment, &[first, second]);
}

#[rstest]
#[actix_rt::test]
async fn ticket_runs_once_and_not_after_a_restart() {
    let mut deployment = start_orders().await;
    let (caller, service) = (deployment.caller(), deployment.plan.order_service());
    let entries = deployment.entries();
    let mut calls = Vec::new();
    let mut unused = Vec::new();
    for number in 0..10 {
        let key = caller.request_ticket(entries[0], &service).await.expect("a ticket");
        let order = Order { name: format!("plate-{number}"), key };
        if number % 2 == 0 {
            calls.push(caller.place_order(entries[0], &service, &order).await);
            calls.push(caller.place_order(entries[1], &service, &order).await);
        } else {
            unused.push(order);
        }
    }
    for vm in deployment.plan.order_vms() {
        deployment.kill_process(&vm).await;
        deployment.start_process(&vm).unwrap();
    }
    deployment.wait_open(WAIT_TIMEOUT).await.unwrap();
    for order in &unused {
        calls.push(caller.place_order(entries[1], &service, order).await);
    }
    let ran = deployment.plain_state.borrow().order_runs.clone();
    assert!(
        unused.iter().all(|order| !ran.contains_key(&order.name)),
        "a ticket issued before the restart ran"
    );
    assert!(count(&calls, Outcome::Answered) >= 5);
    assert_consistent(&deployment, &calls);
}
