//! Rate limits that endpoints advertise in their answers, through real gateways.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use rstest::rstest;
use sequoiahold_standins::{
    hosted::{Call, Cluster, request},
    processes::Signal,
};

/// Time after an endpoint first advertised a limit from which the limit must hold.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// The span in which the requests of all gateways are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Factor on what a limit allows in the span, and the requests allowed beyond.
const LIMIT_TOLERANCE: (f64, f64) = (1.5, 5.0);
/// Time within which all gateways must know that a limit is lifted.
const LIFT_TIMEOUT: Duration = Duration::from_secs(12);
/// Time for which a limit is in force while a gateway stands still, too short for it to be suspected.
const HOLD_TIME: Duration = Duration::from_millis(400);
/// Time within which a request is refused that cannot be served.
const REFUSAL_TIME: Duration = Duration::from_millis(200);
/// Interval between two requests of callers.
const CALL_INTERVAL: Duration = Duration::from_millis(10);
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

/// Returns the largest number of requests that reached an endpoint within [`LIMIT_WINDOW`], in a
/// window that starts at `since` or later.
fn most_in_window(cluster: &Cluster, endpoint: usize, since: Instant) -> usize {
    let requests = cluster.workers[endpoint].requests();
    let arrived: Vec<Instant> =
        requests.iter().map(|request| request.arrived).filter(|at| *at >= since).collect();
    let counts = arrived.iter().enumerate().map(|(index, first)| {
        arrived[index..].iter().take_while(|at| **at - *first < LIMIT_WINDOW).count()
    });
    counts.max().unwrap_or(0)
}

#[rstest]
#[case::two_gateways(2, ["1", "1.3"])]
#[case::eight_gateways(8, ["1", "3.5"])]
#[actix_rt::test]
async fn endpoint_gets_at_most_the_rate_that_it_advertises_from_all_gateways(
    #[case] gateways: usize,
    #[case] limits: [&str; 2],
) {
    let cluster = Rc::new(Cluster::start(gateways, 8).await.expect("a cluster"));
    cluster.send_reads(Duration::from_secs(1), CALL_INTERVAL).await;
    for (endpoint, limit) in limits.iter().enumerate() {
        cluster.workers[endpoint].set_rate_limit(Some(limit));
    }
    let due = Instant::now() + CONTACT_TIME;
    let answers = cluster.send_reads(CONTACT_TIME + LIMIT_WINDOW * 2, CALL_INTERVAL).await;
    for (endpoint, limit) in limits.iter().enumerate() {
        let rate: f64 = limit.parse().expect("a number");
        let (factor, extra) = LIMIT_TOLERANCE;
        let allowed = factor * rate * LIMIT_WINDOW.as_secs_f64() + extra;
        let most = most_in_window(&cluster, endpoint, due);
        assert!(
            most as f64 <= allowed,
            "{most} requests within 4 s at a limit of {limit} a second"
        );
    }
    let answered = answers.iter().filter(|call| call.status == 200).count();
    assert_eq!(answered, answers.len(), "the other endpoints have room for all");
}

/// Returns the number of requests that reach an endpoint while reads are sent for 2 s.
async fn reads_at(cluster: &Rc<Cluster>, endpoint: usize) -> usize {
    let before = cluster.workers[endpoint].requests().len();
    cluster.send_reads(Duration::from_secs(2), CALL_INTERVAL).await;
    cluster.workers[endpoint].requests().len() - before
}

/// Only gateways that send to the endpoint see in its answers that the limit is lifted.
#[actix_rt::test]
async fn endpoint_that_lifts_its_limit_is_used_by_all_gateways_again() {
    let cluster = Rc::new(Cluster::start(8, 4).await.expect("a cluster"));
    let usual = reads_at(&cluster, 0).await;
    cluster.workers[0].set_rate_limit(Some("1"));
    reads_at(&cluster, 0).await;
    let limited = reads_at(&cluster, 0).await;
    assert!(limited <= 8, "{limited} requests in 2 s at a limit of 1 a second");
    cluster.workers[0].set_rate_limit(None);
    let is_lifted = async || {
        let gateways = 0..cluster.gateways();
        let logs = gateways.map(|number| cluster.log(number).expect("a log"));
        cluster.send_reads(Duration::from_millis(200), CALL_INTERVAL).await;
        logs.filter(|log| log.contains("endpoint lifts its rate limit")).count() == 8
    };
    assert!(cluster.wait_until(LIFT_TIMEOUT, is_lifted).await, "a gateway still keeps the limit");
    let lifted = reads_at(&cluster, 0).await;
    assert!(2 * lifted >= usual, "{lifted} requests in 2 s, {usual} before the limit");
}

/// The start and the end of the limit wait in its socket.
#[actix_rt::test]
async fn gateway_that_stood_still_does_not_keep_a_limit_that_ended_meanwhile() {
    let cluster = Rc::new(Cluster::start(2, 1).await.expect("a cluster"));
    cluster.send_reads(Duration::from_secs(1), CALL_INTERVAL).await;
    let times_logged =
        |number: usize, text: &str| cluster.log(number).expect("a log").matches(text).count();
    let answer_logs = async |text: &str| {
        let has_logged = async || {
            cluster.call(0, &request("GET", "/read/1", "key-1")).await;
            times_logged(0, text) == 1
        };
        assert!(cluster.wait_until(LOG_TIMEOUT, has_logged).await, "no log line: {text}");
    };
    cluster.signal(1, Signal::Stop);
    cluster.workers[0].set_rate_limit(Some("20"));
    answer_logs("endpoint advertises a rate limit").await;
    actix_rt::time::sleep(HOLD_TIME).await;
    cluster.workers[0].set_rate_limit(None);
    answer_logs("endpoint lifts its rate limit").await;
    cluster.signal(1, Signal::Continue);
    let has_ended = async || {
        times_logged(1, "endpoint advertises a rate limit") == 1
            && times_logged(1, "endpoint lifts its rate limit") == 1
    };
    assert!(cluster.wait_until(LIFT_TIMEOUT, has_ended).await, "the gateway still keeps the limit");
}

#[actix_rt::test]
async fn requests_beyond_the_limits_of_all_endpoints_are_refused_at_once() {
    let cluster = Rc::new(Cluster::start(2, 1).await.expect("a cluster"));
    cluster.workers[0].set_rate_limit(Some("1"));
    cluster.send_reads(Duration::from_secs(2), CALL_INTERVAL).await;
    let answers = cluster.send_reads(Duration::from_secs(4), CALL_INTERVAL).await;
    let refused: Vec<&Call> = answers.iter().filter(|call| call.status == 503).collect();
    let answered = answers.iter().filter(|call| call.status == 200).count();
    assert_eq!(answered + refused.len(), answers.len());
    assert!((2..=11).contains(&answered), "{answered} answered in 4 s at a limit of 1 a second");
    // A request may wait for a turn that is near.
    let at_once = refused.iter().filter(|call| call.took < REFUSAL_TIME).count();
    assert!(at_once + 8 >= refused.len(), "{at_once} of {} refused at once", refused.len());
    let has_delay = |call: &&Call| {
        let delay = call.header("retry-after").and_then(|text| text.parse::<f64>().ok());
        delay.is_some_and(|delay| delay > 0.0 && delay <= 1.0)
    };
    assert!(refused.iter().all(has_delay), "a refusal without a time to come back");
}
