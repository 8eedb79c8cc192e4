//! Retries whose earlier attempts are held on the way and reach endpoints much later.

use std::{
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use sequoiahold_standins::{
    fixture::sleep,
    hosted::{Cluster, loopback_addr, registry_entry, request},
    relay::{Direction, TcpRelay},
};
use serde_json::json;

/// Number of gateways.
const GATEWAYS: usize = 2;
/// Number of endpoints; the links to all but the last are held.
const ENDPOINTS: usize = 9;
/// Numbers of the endpoints whose links are held together, each group one window after the other.
const GROUPS: [std::ops::Range<usize>; 2] = [0..4, 4..8];
/// Slots of each endpoint, enough for all requests.
const SLOTS: u32 = 400;
/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(8);
/// Time for which requests are sent before the first link is held.
const LEAD_TIME: Duration = Duration::from_millis(3_000);
/// Retries allowed for each request within the window.
const RETRY_RATIO: f64 = 0.05;
/// The window.
const RETRY_WINDOW: Duration = Duration::from_secs(3);
/// Time for which the links of a group are held before those of the next one, or the release.
const GROUP_TIME: Duration = Duration::from_millis(3_400);
/// Time from the release to the end of the test.
const RELEASE_TIME: Duration = Duration::from_millis(1_500);

// Guards against retries of two windows reaching endpoints in one, as links are released.
#[actix_rt::test]
async fn retries_of_two_windows_do_not_arrive_in_one() {
    let cluster = start_cluster().await;
    let mut relays = vec![];
    for number in 0..ENDPOINTS {
        let relay = TcpRelay::start(loopback_addr(), cluster.addrs[number]).await.expect("a relay");
        let mut entry = registry_entry(relay.addr, "ready");
        entry["slots"] = json!(SLOTS);
        entry["sequence"] = json!(2);
        cluster.store.put(&format!("servers/i-{number}"), Some(entry));
        relays.push(relay);
    }
    let calls = actix_rt::spawn(send_reads(cluster.clone()));
    sleep(LEAD_TIME).await;
    for group in GROUPS {
        relays[group].iter().for_each(|r| r.filter.block_direction(Some(Direction::ToServer)));
        sleep(GROUP_TIME).await;
    }
    relays.iter().for_each(|relay| relay.filter.block_direction(None));
    let sent = calls.await.expect("the calls");
    let repeats = repeats(&cluster);
    let worst = repeats.iter().map(|start| {
        let requests = [0, 1, 2].map(|halves| within(&sent, *start - RETRY_WINDOW * halves / 2));
        let requests = requests.into_iter().max().unwrap_or(0);
        (within(&repeats, *start), requests as f64 * RETRY_RATIO)
    });
    let worst = worst.max_by(|a, b| (a.0 as f64 - a.1).total_cmp(&(b.0 as f64 - b.1)));
    let (count, allowed) = worst.expect("no retry at all");
    assert!(count as f64 <= allowed, "{count} repeats in a window, {allowed} allowed");
}

async fn start_cluster() -> Rc<Cluster> {
    let cluster = Cluster::start_with(GATEWAYS, ENDPOINTS, |settings| {
        let bounds = &mut settings["node"]["bounds"];
        bounds["retry_ratio"] = json!(RETRY_RATIO);
        bounds["retry_extra"] = json!(0.0);
        bounds["retry_window"] = json!(format!("{}s", RETRY_WINDOW.as_secs()));
    });
    Rc::new(cluster.await.expect("a cluster"))
}

/// Sends reads at a steady rate up to the end of the test; returns when each was sent.
async fn send_reads(cluster: Rc<Cluster>) -> Vec<Instant> {
    let started = Instant::now();
    let total = LEAD_TIME + GROUP_TIME * GROUPS.len() as u32 + RELEASE_TIME;
    let (mut sent, mut calls) = (vec![], vec![]);
    while started.elapsed() < total {
        let (cluster, number) = (cluster.clone(), sent.len() % GATEWAYS);
        sent.push(Instant::now());
        calls.push(actix_rt::spawn(async move {
            cluster.call(number, &request("GET", "/read/1", "key-1")).await
        }));
        sleep(REQUEST_INTERVAL).await;
    }
    for call in calls {
        call.await.expect("a finished call");
    }
    sent
}

/// Returns when requests arrived that had arrived before, in order.
fn repeats(cluster: &Cluster) -> Vec<Instant> {
    let mut arrivals: Vec<_> =
        cluster.workers.iter().flat_map(|worker| worker.arrivals()).collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    let mut seen = BTreeSet::new();
    arrivals.retain(|arrival| arrival.attempt.is_some() && !seen.insert(arrival.attempt.clone()));
    arrivals.into_iter().map(|arrival| arrival.at).collect()
}

/// Returns how many of the times are in the window that begins at `start`.
fn within(times: &[Instant], start: Instant) -> usize {
    times.iter().filter(|at| **at >= start && **at < start + RETRY_WINDOW).count()
}
