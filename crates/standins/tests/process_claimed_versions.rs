//! Weights that real loaders bring while entries of the list claim versions that nobody has.

use std::time::Duration;

use rstest::rstest;
use sequoiahold_standins::hosted::{LoaderFleet, MODEL, Outage, loopback_addr, registry_entry};
use serde_json::json;

/// Number of loaders.
const LOADERS: usize = 3;
/// Time within which weights must be in use again after a loss of power.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Time for which requests are sent.
const CALL_TIME: Duration = Duration::from_millis(500);
/// Time for which loaders act on an entry.
const ENTRY_TIME: Duration = Duration::from_secs(2);
/// Calls for chunk lists that are allowed while all engines hold their weights.
const MAX_LIST_CALLS: u32 = LOADERS as u32;

/// Starts a fleet without an announced version.
async fn start(outage: Outage) -> LoaderFleet {
    let fleet = LoaderFleet::start_unannounced(LOADERS).await.expect("a fleet");
    fleet.origin.set_outage(outage);
    assert!(fleet.call_for(CALL_TIME).await > 0, "version 1 is not served");
    fleet
}

/// Publishes entries of other writers that claim to hold versions, at addresses where nobody
/// listens.
fn claim(fleet: &LoaderFleet, service: &str, versions: &[u64]) {
    for version in versions {
        let mut entry = registry_entry(loopback_addr(), "ready");
        entry["service"] = json!(service);
        entry["models"] = json!([{ "name": MODEL, "version": version }]);
        entry["born"] = json!(1);
        fleet.store.put(&format!("servers/x-{version}"), Some(entry));
    }
}

/// Has the first engines lose power and their loaders start again.
fn lose_power(fleet: &LoaderFleet, engines: usize) {
    for number in 0..engines {
        fleet.loaders[number].kill();
        fleet.engines[number].lose_power(&format!("i-{number}-again"));
    }
    for loader in &fleet.loaders[..engines] {
        loader.start().expect("a loader");
    }
}

/// Waits until all engines hold version 1, which must then be served.
async fn expect_recovery(fleet: &LoaderFleet) {
    let are_loaded = || fleet.engines.iter().all(|engine| engine.version() == Some(1));
    assert!(fleet.wait_until(RECOVERY_TIME, are_loaded).await, "an engine holds no weights");
    assert!(fleet.call_for(CALL_TIME).await > 0, "the weights are not served");
}

// Guards against an entry in the list keeping all engines from any weights for good.
#[rstest]
#[case::service_that_is_not_configured("llm-trial", &[9], Outage::NewerVersions)]
#[case::configured_service("llm", &[9], Outage::NewerVersions)]
#[case::several_versions("llm", &[7, 9, 1_000], Outage::NewerVersions)]
#[case::list_without_chunks("llm", &[9], Outage::NewerChunks)]
#[actix_rt::test]
async fn engines_load_what_the_origin_has_though_an_entry_claims_a_version(
    #[case] service: &str,
    #[case] versions: &[u64],
    #[case] outage: Outage,
) {
    let fleet = start(outage).await;
    claim(&fleet, service, versions);
    actix_rt::time::sleep(ENTRY_TIME).await;
    lose_power(&fleet, LOADERS);
    expect_recovery(&fleet).await;
}

// Guards against an entry in the list keeping a single engine that lost power from the weights of
// its peers.
#[rstest]
#[case::origin_without_the_version(Outage::NewerVersions)]
#[case::origin_down(Outage::All)]
#[actix_rt::test]
async fn single_engine_loads_what_its_peers_have_though_an_entry_claims_a_version(
    #[case] outage: Outage,
) {
    let fleet = start(Outage::NewerVersions).await;
    claim(&fleet, "llm", &[9]);
    // The peers have the chunk list by then.
    actix_rt::time::sleep(ENTRY_TIME).await;
    fleet.origin.set_outage(outage);
    lose_power(&fleet, 1);
    expect_recovery(&fleet).await;
}

// Guards against loaders asking without end for a version that is only claimed.
#[actix_rt::test]
async fn claimed_version_is_not_asked_for_while_all_engines_hold_theirs() {
    let fleet = start(Outage::NewerVersions).await;
    let before = fleet.origin.calls().lists;
    claim(&fleet, "llm", &[9]);
    actix_rt::time::sleep(ENTRY_TIME * 2).await;
    let calls = fleet.origin.calls().lists - before;
    assert!(calls <= MAX_LIST_CALLS, "{calls} calls for chunk lists");
    assert!(fleet.call_for(CALL_TIME).await > 0, "version 1 is not served");
}
