//! Real gateways whose platform restores its state from a copy that lacks the latest changes.

use std::time::{Duration, Instant};

use sequoiahold_standins::hosted::{Cluster, StoreCopy, gateway_config, registry_entry, request};

/// Time within which a change must be in force at all gateways.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Time for which the store does not answer.
const OUTAGE: Duration = Duration::from_millis(1_500);

/// Returns the status of a read with a key at each gateway.
async fn statuses(cluster: &Cluster, key: &str) -> Vec<u16> {
    let mut statuses = vec![];
    for number in 0..cluster.gateways() {
        statuses.push(cluster.call(number, &request("GET", "/read/1", key)).await.status);
    }
    statuses
}

/// Waits until the answers of all gateways to reads with a key have a status; returns whether they
/// had within [`APPLY_TIME`].
async fn reaches(cluster: &Cluster, key: &str, status: u16) -> bool {
    let has_status =
        async || statuses(cluster, key).await.iter().all(|answered| *answered == status);
    cluster.wait_until(APPLY_TIME, has_status).await
}

/// Takes the store down, and back with a copy of its state, to which `rewrite` adds what is
/// written again.
async fn restore(cluster: &Cluster, copy: &StoreCopy, rewrite: impl FnOnce()) {
    cluster.store.set_down(true);
    actix_rt::time::sleep(OUTAGE).await;
    cluster.store.restore(copy);
    rewrite();
    cluster.store.set_down(false);
}

/// The first change after the return has a revision that gateways know from before.
#[actix_rt::test]
async fn change_published_after_the_state_was_restored_is_in_force_in_time() {
    let cluster = Cluster::start(3, 2).await.expect("a cluster");
    let copy = cluster.store.copy();
    for (version, key) in [(2, "key-2"), (3, "key-3")] {
        cluster.store.put("op/config", Some(gateway_config(version, &[key])));
        assert!(reaches(&cluster, key, 200).await, "configuration {version} before");
    }
    restore(&cluster, &copy, || {
        cluster.store.put("op/config", Some(gateway_config(3, &["key-3"])));
    })
    .await;
    let returned = Instant::now();
    while returned.elapsed() < APPLY_TIME * 2 {
        assert_eq!(statuses(&cluster, "key-3").await, [200; 3], "a configuration came back older");
    }
    cluster.store.put("op/config", Some(gateway_config(4, &["key-4"])));
    assert!(reaches(&cluster, "key-4", 200).await, "configuration 4 is not in force");
    assert_eq!(statuses(&cluster, "key-3").await, [401; 3]);
}

/// The store has reached the revisions of before when the gateways return to it.
#[actix_rt::test]
async fn changes_under_revisions_that_were_given_out_before_are_not_missed() {
    let cluster = Cluster::start(3, 2).await.expect("a cluster");
    let copy = cluster.store.copy();
    cluster.store.put("op/config", Some(gateway_config(2, &["key-2"])));
    assert!(reaches(&cluster, "key-2", 200).await, "configuration 2");
    restore(&cluster, &copy, || {
        cluster.store.put("op/config", Some(gateway_config(3, &["key-3"])));
        cluster.store.put("op/other", Some(1.into()));
        cluster.store.put("op/other", Some(2.into()));
    })
    .await;
    assert!(reaches(&cluster, "key-3", 200).await, "configuration 3 is not in force");
}

/// Operators and endpoints write what was lost again, but not at once.
#[actix_rt::test]
async fn restored_state_takes_neither_an_evacuation_nor_a_leave_back() {
    let cluster = Cluster::start(2, 2).await.expect("a cluster");
    let copy = cluster.store.copy();
    let leaving = registry_entry(cluster.addrs[0], "draining");
    cluster.store.put("servers/i-0", Some(leaving.clone()));
    actix_rt::time::sleep(APPLY_TIME).await;
    let before = cluster.workers[0].requests().len();
    restore(&cluster, &copy, || {}).await;
    let returned = Instant::now();
    while returned.elapsed() < APPLY_TIME {
        assert_eq!(statuses(&cluster, "key-1").await, [200; 2]);
    }
    cluster.store.put("servers/i-0", Some(leaving.clone()));
    cluster.store.put("op/evacuate/z1", Some(1.into()));
    assert!(reaches(&cluster, "key-1", 503).await, "the zone is not evacuated");
    restore(&cluster, &copy, || {}).await;
    let returned = Instant::now();
    while returned.elapsed() < APPLY_TIME {
        assert_eq!(statuses(&cluster, "key-1").await, [503; 2], "the evacuation was taken back");
    }
    cluster.store.put("servers/i-0", Some(leaving));
    cluster.store.put("op/evacuate/z1", Some(1.into()));
    actix_rt::time::sleep(APPLY_TIME).await;
    cluster.store.put("op/evacuate/z1", None);
    assert!(reaches(&cluster, "key-1", 200).await, "the zone is not taken back");
    let late = cluster.workers[0].requests().len() - before;
    assert_eq!(late, 0, "requests reached the endpoint that leaves");
}
