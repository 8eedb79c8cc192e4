//! Tracking of requests that are in flight when endpoints crash, shared between gateways.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use sequoiahold_core::{
    direct::{membership::Role, platform::Codec},
    ids::{ClientId, Digest, InstanceId},
    suspect::{Crash, Fingerprint, Suspects, Suspicion},
    time::Time,
};

use super::{parts, state::Gateway};
use crate::{h1::IncomingRequest, node::Datagram};

/// Number of times that a crash is announced, as datagrams may be lost.
const CRASH_SENDS: u32 = 2;
/// Interval between two announcements of a crash.
const CRASH_SEND_INTERVAL: Duration = Duration::from_millis(250);

/// Requests in flight by endpoint, and requests suspected of crashing endpoints.
#[derive(Default)]
pub(super) struct CrashSuspects {
    in_flight: BTreeMap<InstanceId, Vec<Fingerprint>>,
    suspects: Suspects,
}

impl CrashSuspects {
    /// Returns whether a request is blocked because it is suspected of crashing endpoints.
    pub(super) fn is_blocked(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.suspicion(fingerprint) == Suspicion::Blocked
    }

    /// Removes all suspicion from a request that completed.
    pub(super) fn clear(&mut self, fingerprint: Fingerprint) {
        self.suspects.clear(fingerprint);
    }

    /// Records a crash that this gateway or another one observed.
    pub(super) fn record_crash(&mut self, now: Time, crash: Crash) {
        self.suspects.expire(now);
        log_crash(&crash);
        self.suspects.record_crash(now, crash);
    }

    fn remove_in_flight(&mut self, instance: &InstanceId, fingerprint: Fingerprint) {
        let Some(fingerprints) = self.in_flight.get_mut(instance) else { return };
        if let Some(index) = fingerprints.iter().position(|other| *other == fingerprint) {
            fingerprints.swap_remove(index);
        }
        if fingerprints.is_empty() {
            self.in_flight.remove(instance);
        }
    }
}

/// Guard that tracks a request as in flight at an endpoint until it is dropped.
pub(super) struct InFlightGuard<C: Codec> {
    gateway: Rc<Gateway<C>>,
    instance: InstanceId,
    fingerprint: Fingerprint,
}

impl<C: Codec> Drop for InFlightGuard<C> {
    fn drop(&mut self) {
        self.gateway.suspects.borrow_mut().remove_in_flight(&self.instance, self.fingerprint);
    }
}

/// Returns the fingerprint of a request, the same for each retry and repetition.
pub(super) fn fingerprint(request: &IncomingRequest, account: Option<&ClientId>) -> Fingerprint {
    let account = account.map_or("", |account| account.as_str());
    let request_line = format!("{} {} {account}\n", request.method, request.target);
    Fingerprint::from(&Digest::of(&[request_line.as_bytes(), &request.body].concat()))
}

/// Tracks a request as in flight at an endpoint until the guard is dropped.
pub(super) fn track_in_flight<C: Codec>(
    gateway: &Rc<Gateway<C>>,
    instance: &InstanceId,
    fingerprint: Fingerprint,
) -> InFlightGuard<C> {
    let mut suspects = gateway.suspects.borrow_mut();
    suspects.in_flight.entry(instance.clone()).or_default().push(fingerprint);
    InFlightGuard { gateway: gateway.clone(), instance: instance.clone(), fingerprint }
}

/// Records a crash and announces it to the other gateways.
pub(super) fn report_crash<C: Codec>(gateway: &Rc<Gateway<C>>, instance: &InstanceId) {
    let now = gateway.node.now();
    let started_ms = parts::engine_start(gateway, instance).started_ms;
    let record = format!("{} {}", gateway.node.settings.vm, started_ms.unwrap_or_default());
    let incarnation = Digest::of(record.as_bytes());
    let crash = {
        let mut suspects = gateway.suspects.borrow_mut();
        let fingerprints = suspects.in_flight.get(instance).cloned().unwrap_or_default();
        let Ok(vm) = instance.as_str().parse() else { return };
        // Each gateway reports the crash with its own requests in flight, so the incarnation is
        // derived from the gateway and the start of the engine: records of several gateways count
        // as separate crashes.
        let crash = Crash { vm, incarnation: Fingerprint::from(&incarnation).0, fingerprints };
        log_crash(&crash);
        suspects.record_crash(now, crash.clone());
        crash
    };
    let gateway = gateway.clone();
    actix_rt::spawn(async move {
        let datagram = Datagram::Crash(crash);
        for _ in 0..CRASH_SENDS {
            gateway.node.send(gateway.node.peer_addrs(Role::Gateway), &datagram);
            actix_rt::time::sleep(CRASH_SEND_INTERVAL).await;
        }
    });
}

fn log_crash(crash: &Crash) {
    let (instance, record) = (crash.vm.as_str(), format!("{:016x}", crash.incarnation));
    let in_flight = crash.fingerprints.len();
    log::info!(target: "request", instance, record = record.as_str(), in_flight; "crash reported");
}
